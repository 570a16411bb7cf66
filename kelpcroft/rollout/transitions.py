"""One router's way from phase to phase through what was begun at it.

A change goes DRAINING, CHANGING, WARMING_UP, COMPARED and, with its stage, ACCEPTED; a rollback goes
ROLLBACK_DRAINING, ROLLING_BACK, ROLLED_BACK; a router of the control group goes CONTROL_DRAINING,
CONTROL_RESTARTING, CONTROL.  A step is over when the router itself says so, in a report from after the
phase began; a command that was sent proves nothing.  A step that takes longer than its time-out is harm if
the new build is at fault, else it is for people (``RolloutState.escalate``).
"""

from __future__ import annotations

from collections.abc import Callable, Mapping

from kelpcroft.rollout.comparison import control_group
from kelpcroft.rollout.events import CommandKind, RouterReport
from kelpcroft.rollout.observations import is_unknown, reports_new_build, reports_old_build
from kelpcroft.rollout.phases import NEW_BUILD_PHASES, Phase
from kelpcroft.rollout.state import RolloutState, RouterState

SPARE_MEMORY_KB = 16 * 1024  # a process may have so much more than the old in any case

# A step's function is given the router's report if it came since the phase began.
Step = Callable[[RolloutState, RouterState, RouterReport | None], None]


def advance(state: RolloutState, router: RouterState) -> None:
    """Take one router as far as it can go now."""
    report = router.report_in_phase()
    step = STEPS.get(router.phase)
    if step is not None:
        step(state, router, report)
    if report is not None and router.phase in NEW_BUILD_PHASES:
        _check_memory(state, router, report)


def _is_overdue(state: RolloutState, router: RouterState) -> bool:
    """Whether a router has been in its phase for longer than a step may take."""
    return state.now_ns - router.phase_since_ns > state.plan.ready_timeout_ns


def _has_left_service(report: RouterReport | None) -> bool:
    return report is not None and not report.in_service


def _is_ready(report: RouterReport | None) -> bool:
    return report is not None and report.ready


def _step_draining(state: RolloutState, router: RouterState, report: RouterReport | None) -> None:
    """Order the change once clients are gone."""
    if _has_left_service(report):
        state.enter(router, Phase.CHANGING)
        state.send(router, CommandKind.APPLY)
    elif _is_overdue(state, router):
        state.escalate(router, "does not go out of service")


def _step_rollback_draining(state: RolloutState, router: RouterState, report: RouterReport | None) -> None:
    """Order the old build once clients are gone, or at once where the router is silent.

    One that died in its change has nobody to let go, and what ran there is to run again.
    """
    if _has_left_service(report) or is_unknown(state, router):
        state.enter(router, Phase.ROLLING_BACK)
        state.send(router, CommandKind.UNDO)
    elif _is_overdue(state, router):
        state.escalate(router, "does not go out of service")


def _step_control_draining(state: RolloutState, router: RouterState, report: RouterReport | None) -> None:
    """Order the restart of a router of the control group once clients are gone."""
    if report is not None and not report.in_service:
        router.instance_before_restart = report.instance
        state.enter(router, Phase.CONTROL_RESTARTING)
        state.send(router, CommandKind.RESTART)
    elif _is_overdue(state, router):
        state.escalate(router, "does not go out of service")


def _step_control_restarting(state: RolloutState, router: RouterState, report: RouterReport | None) -> None:
    """Put a restarted router back in service, to be compared with."""
    if (
        report is not None
        and report.ready
        and report.instance != router.instance_before_restart
        and reports_old_build(state, router)
    ):
        state.enter(router, Phase.CONTROL)
        state.send(router, CommandKind.ENABLE)
    elif _is_overdue(state, router):
        state.escalate(router, "is not ready in time after it was restarted as it was")


def _missing_after_start(report: RouterReport | None) -> str:
    """What a router that was started lacks."""
    return "says that it is something else" if _is_ready(report) else "is not ready"


def _step_changing(state: RolloutState, router: RouterState, report: RouterReport | None) -> None:
    """Put a changed router in service once it is ready; one that is not in time is harm."""
    if _is_ready(report) and reports_new_build(state, router):
        state.enter(router, Phase.WARMING_UP)
        state.send(router, CommandKind.ENABLE)
    elif _is_overdue(state, router):
        missing = _missing_after_start(report)
        state.report_harm(router, "not-ready", f"{router.name} {missing} in time after its change")


def _step_rolling_back(state: RolloutState, router: RouterState, report: RouterReport | None) -> None:
    """Put a router with the old build back in service once it is ready."""
    if _is_ready(report) and reports_old_build(state, router):
        state.enter(router, Phase.ROLLED_BACK)
        state.send(router, CommandKind.ENABLE)
    elif _is_overdue(state, router):
        state.escalate(router, f"{_missing_after_start(report)} in time after it was changed back")


def _step_warming_up(state: RolloutState, router: RouterState, report: RouterReport | None) -> None:
    """Compare a router once it is warm."""
    silent = is_unknown(state, router)
    if silent and _silent_ns(state, router) > state.plan.ready_timeout_ns:
        # Dead or out of reach, which no answer tells: people are asked, and the stage does not hang.
        state.escalate(router, "has not answered since its change")
    elif report is None:
        return
    elif not report.ready:
        if _is_overdue(state, router):
            state.report_harm(router, "not-ready", f"{router.name} is not ready in time in service")
    elif not silent and state.now_ns - router.phase_since_ns >= state.plan.warm_up_ns:
        if not control_group(state):
            router.uncounted.clear()  # of its cold time, which nothing as cold is compared with
        state.enter(router, Phase.COMPARED)


def _silent_ns(state: RolloutState, router: RouterState) -> int:
    """How long a router has not answered this process."""
    return state.now_ns - max(router.last_report_ns, state.listening_since_ns)


def _step_new_build_in_service(state: RolloutState, router: RouterState, report: RouterReport | None) -> None:
    """Watch that a router stays what it was changed to."""
    if report is not None and not reports_new_build(state, router):
        state.report_harm(router, "wrong-digest", f"{router.name} says that it is something else")


def _check_memory(state: RolloutState, router: RouterState, report: RouterReport) -> None:
    """Harm where a new process's peak exceeds what the old build's peak allows.

    A peak never falls, so a leak is found when it passes the limit.
    """
    if not state.old_peak_memory_kb:
        return
    limit_kb = int(state.plan.max_memory_ratio * state.old_peak_memory_kb) + SPARE_MEMORY_KB
    if report.peak_memory_kb > limit_kb:
        state.report_harm(
            router,
            "memory",
            f"{router.name} has {report.peak_memory_kb // 1024} MB, over {limit_kb // 1024}: the old had "
            f"{state.old_peak_memory_kb // 1024} at the most",
        )


STEPS: Mapping[Phase, Step] = {  # the other phases end by their stage, or by the rollback
    Phase.DRAINING: _step_draining,
    Phase.CHANGING: _step_changing,
    Phase.WARMING_UP: _step_warming_up,
    Phase.COMPARED: _step_new_build_in_service,
    Phase.ACCEPTED: _step_new_build_in_service,
    Phase.ROLLBACK_DRAINING: _step_rollback_draining,
    Phase.ROLLING_BACK: _step_rolling_back,
    Phase.CONTROL_DRAINING: _step_control_draining,
    Phase.CONTROL_RESTARTING: _step_control_restarting,
}
