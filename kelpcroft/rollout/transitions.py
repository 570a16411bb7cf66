"""Transitions of one router from phase to phase while a change, rollback or restart is in progress.

A change passes through DRAINING, CHANGING, WARMING_UP, COMPARED and, at the end of its stage, ACCEPTED.  A
rollback passes through ROLLBACK_DRAINING, ROLLING_BACK, ROLLED_BACK.  A router of the control group passes
through CONTROL_DRAINING, CONTROL_RESTARTING, CONTROL.  A phase ends when the router itself reports the
expected state in a report that arrived after the phase began; a command that was sent proves nothing.  A
phase that exceeds its time-out is a regression if the new build causes the delay; otherwise an operator has
to intervene (``RolloutState.escalate``).
"""

from __future__ import annotations

from collections.abc import Callable, Mapping

from kelpcroft.rollout.comparison import control_group
from kelpcroft.rollout.events import CommandKind, RouterReport
from kelpcroft.rollout.observations import is_unknown, reports_new_build, reports_old_build
from kelpcroft.rollout.phases import NEW_BUILD_PHASES, Phase
from kelpcroft.rollout.state import RolloutState, RouterState

MEMORY_ALLOWANCE_KB = 16 * 1024  # kB that a new process may have above the plan's ratio of the old peak

# Function that handles a router in one phase.  It takes the router's last report, or None if that arrived
# before the phase began.
Step = Callable[[RolloutState, RouterState, RouterReport | None], None]


def advance_router(state: RolloutState, router: RouterState) -> None:
    """Move one router to its next phase if the conditions are met."""
    report = router.report_in_phase()
    step = STEPS.get(router.phase)
    if step is not None:
        step(state, router, report)
    if report is not None and router.phase in NEW_BUILD_PHASES:
        _check_memory(state, router, report)


def _is_overdue(state: RolloutState, router: RouterState) -> bool:
    """Whether a router has been in its phase for longer than the plan's ready time-out."""
    return state.now_ns - router.phase_since_ns > state.plan.ready_timeout_ns


def _has_left_service(report: RouterReport | None) -> bool:
    return report is not None and not report.in_service


def _is_ready(report: RouterReport | None) -> bool:
    return report is not None and report.ready


def _step_draining(state: RolloutState, router: RouterState, report: RouterReport | None) -> None:
    """Command the change once the router is out of service."""
    if _has_left_service(report):
        state.enter(router, Phase.CHANGING)
        state.send(router, CommandKind.APPLY)
    elif _is_overdue(state, router):
        state.escalate(router, "does not go out of service")


def _step_rollback_draining(state: RolloutState, router: RouterState, report: RouterReport | None) -> None:
    """Command the change back once the router is out of service, or immediately if its state is unknown.

    A router that crashed during its change has no clients to drain, and the old build has to run there again.
    """
    if _has_left_service(report) or is_unknown(state, router):
        state.enter(router, Phase.ROLLING_BACK)
        state.send(router, CommandKind.UNDO)
    elif _is_overdue(state, router):
        state.escalate(router, "does not go out of service")


def _step_control_draining(state: RolloutState, router: RouterState, report: RouterReport | None) -> None:
    """Command the restart of a router of the control group once it is out of service."""
    if report is not None and not report.in_service:
        router.instance_before_restart = report.instance
        state.enter(router, Phase.CONTROL_RESTARTING)
        state.send(router, CommandKind.RESTART)
    elif _is_overdue(state, router):
        state.escalate(router, "does not go out of service")


def _step_control_restarting(state: RolloutState, router: RouterState, report: RouterReport | None) -> None:
    """Put a restarted router back in service, so that new routers can be compared with it."""
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


def _describe_start_failure(report: RouterReport | None) -> str:
    """Why a router that was started does not count as ready: not ready, or not the expected build."""
    return "says that it is something else" if _is_ready(report) else "is not ready"


def _step_changing(state: RolloutState, router: RouterState, report: RouterReport | None) -> None:
    """Put a changed router in service once it is ready; exceeding the time-out is a regression."""
    if _is_ready(report) and reports_new_build(state, router):
        state.enter(router, Phase.WARMING_UP)
        state.send(router, CommandKind.ENABLE)
    elif _is_overdue(state, router):
        failure = _describe_start_failure(report)
        state.report_regression(router, "not-ready", f"{router.name} {failure} in time after its change")


def _step_rolling_back(state: RolloutState, router: RouterState, report: RouterReport | None) -> None:
    """Put a router with the old build back in service once it is ready."""
    if _is_ready(report) and reports_old_build(state, router):
        state.enter(router, Phase.ROLLED_BACK)
        state.send(router, CommandKind.ENABLE)
    elif _is_overdue(state, router):
        state.escalate(router, f"{_describe_start_failure(report)} in time after it was changed back")


def _step_warming_up(state: RolloutState, router: RouterState, report: RouterReport | None) -> None:
    """Begin to compare a router once it is warm."""
    is_silent = is_unknown(state, router)
    if is_silent and _silence_ns(state, router) > state.plan.ready_timeout_ns:
        # A missing response does not distinguish a crash from a network failure.  An operator has to
        # intervene, since otherwise the stage would wait forever.
        state.escalate(router, "has not answered since its change")
    elif report is None:
        return
    elif not report.ready:
        if _is_overdue(state, router):
            state.report_regression(router, "not-ready", f"{router.name} is not ready in time in service")
    elif not is_silent and state.now_ns - router.phase_since_ns >= state.plan.warm_up_ns:
        if not control_group(state):
            router.uncounted.clear()  # requests while it was cold: no equally cold router is compared with it
        state.enter(router, Phase.COMPARED)


def _silence_ns(state: RolloutState, router: RouterState) -> int:
    """For how long this process has had no report from a router."""
    return state.now_ns - max(router.last_report_ns, state.polling_since_ns)


def _step_new_build_in_service(state: RolloutState, router: RouterState, report: RouterReport | None) -> None:
    """Report a regression if a changed router no longer reports the new build."""
    if report is not None and not reports_new_build(state, router):
        state.report_regression(router, "wrong-digest", f"{router.name} says that it is something else")


def _check_memory(state: RolloutState, router: RouterState, report: RouterReport) -> None:
    """Report a regression if a new process's peak memory exceeds the limit derived from the old build's peak.

    A peak never decreases, so a leak is detected as soon as it passes the limit.
    """
    if not state.old_peak_memory_kb:
        return
    limit_kb = int(state.plan.max_memory_ratio * state.old_peak_memory_kb) + MEMORY_ALLOWANCE_KB
    if report.peak_memory_kb > limit_kb:
        state.report_regression(
            router,
            "memory",
            f"{router.name} has {report.peak_memory_kb // 1024} MB, over {limit_kb // 1024}: the old had "
            f"{state.old_peak_memory_kb // 1024} at the most",
        )


STEPS: Mapping[Phase, Step] = {  # routers leave the other phases at the end of the stage or by a rollback
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
