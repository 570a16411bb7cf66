"""Rollback: changed routers are changed back, in reverse order of the plan and within the same limits.

Once all are rolled back, they are compared with routers that were never changed.  Both run the old build, so
a regression that is still present was not caused by the change.
"""

from __future__ import annotations

from kelpcroft.rollout.comparison import SamplesByZoneClass, add_samples
from kelpcroft.rollout.events import CommandKind
from kelpcroft.rollout.judge import RegressionJudge, Verdict
from kelpcroft.rollout.observations import is_unknown, may_become_unavailable
from kelpcroft.rollout.phases import NEW_BUILD_PHASES, UNAVAILABLE_PHASES, Phase, RolloutOutcome
from kelpcroft.rollout.state import NEVER_NS, RolloutState, RouterState

CONCLUSIONS = {  # the last history entry's conclusion, by the verdict of the comparison after the rollback
    Verdict.REGRESSION: "the harm is still there: it is not the change's",
    Verdict.NO_REGRESSION: "the harm is gone",
    Verdict.UNDECIDED: "whether the harm is gone is not known",
}


def roll_back_routers(state: RolloutState) -> None:
    """Change back the routers that the limits allow, and end the rollout after the last comparison."""
    _release_control_group(state)
    for router in reversed(list(state.routers.values())):
        _roll_back(state, router)
    if any(router.phase not in (Phase.WAITING, Phase.ROLLED_BACK) for router in state.routers.values()):
        return
    if state.rolled_back_ns == NEVER_NS:
        _begin_final_comparison(state)
    _end_if_decided(state)


def _release_control_group(state: RolloutState) -> None:
    """Return routers of the control group to normal service.

    A router that is being restarted is not changed here; it reaches CONTROL by its own transition.
    """
    for router in state.routers.values():
        if router.phase is Phase.CONTROL_DRAINING:
            state.send(router, CommandKind.ENABLE)
        if router.phase in (Phase.CONTROL_DRAINING, Phase.CONTROL):
            state.enter(router, Phase.WAITING)


def _roll_back(state: RolloutState, router: RouterState) -> None:
    """Begin the rollback of one router if it was drained or changed and the limits allow it."""
    if router.phase is Phase.DRAINING:  # not changed yet, so it returns to service with the old build
        state.enter(router, Phase.ROLLED_BACK)
        state.send(router, CommandKind.ENABLE)
    elif router.phase in NEW_BUILD_PHASES:
        # Draining a router that is unavailable or silent already costs no capacity, so the limits do not
        # apply to it.
        # Evaluated before the router enters a phase, which restarts the time from which its silence counts.
        is_silent = is_unknown(state, router)
        if router.phase in UNAVAILABLE_PHASES or is_silent or may_become_unavailable(state, router):
            state.enter(router, Phase.ROLLING_BACK if is_silent else Phase.ROLLBACK_DRAINING)
            state.send(router, CommandKind.UNDO if is_silent else CommandKind.DRAIN)


def _begin_final_comparison(state: RolloutState) -> None:
    """Begin to compare the routers that were rolled back with those that were never changed."""
    state.rolled_back_ns = state.now_ns
    state.judge = RegressionJudge(state.plan.stop_criteria)
    for router in state.routers.values():
        router.uncounted.clear()
        baseline: SamplesByZoneClass = {}
        add_samples(baseline, router, router.baseline)
        state.judge.add_baseline(router.phase is Phase.ROLLED_BACK, baseline)
    state.add_history("taken-back", "all that was changed is taken back")


def _end_if_decided(state: RolloutState) -> None:
    """End the rollout once the comparison has a verdict or has timed out, or if there is nothing to compare.

    The comparison lasts at most as long as the greatest maximum time of a stage.
    """
    zone_class = state.regression_zone_class
    if zone_class is None:
        _end(state, "there was no figure to compare")
        return
    verdict = state.judge.verdict(frozenset((zone_class,))).verdict
    longest_stage_ns = max((stage.max_ns for stage in state.plan.stages), default=0)
    is_overdue = state.now_ns - state.rolled_back_ns > longest_stage_ns
    if verdict is not Verdict.UNDECIDED or is_overdue:
        _end(state, CONCLUSIONS[verdict])


def _end(state: RolloutState, conclusion: str) -> None:
    state.outcome = RolloutOutcome.ROLLED_BACK
    state.add_history("ended", f"taken back; {conclusion}", **state.judge.figures())
