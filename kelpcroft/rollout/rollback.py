"""The way back: what was changed is changed back, the last first, within the same limits.

Once all is taken back, the old build is compared with itself: if the harm stays, it was not the change's.
"""

from __future__ import annotations

from kelpcroft.rollout.comparison import Samples, add_samples
from kelpcroft.rollout.events import CommandKind
from kelpcroft.rollout.judge import RegressionJudge, Verdict
from kelpcroft.rollout.observations import is_unknown, may_become_unavailable
from kelpcroft.rollout.phases import NEW_BUILD_PHASES, UNAVAILABLE_PHASES, Phase, RolloutOutcome
from kelpcroft.rollout.state import NEVER_NS, RolloutState, RouterState

FINDINGS = {
    Verdict.REGRESSION: "the harm is still there: it is not the change's",
    Verdict.NO_REGRESSION: "the harm is gone",
    Verdict.UNDECIDED: "whether the harm is gone is not known",
}


def go_back(state: RolloutState) -> None:
    """Take back what can be taken back now, and end the rollout once the old build is judged."""
    _release_control_group(state)
    for router in reversed(list(state.routers.values())):
        _take_back(state, router)
    if any(router.phase not in (Phase.WAITING, Phase.ROLLED_BACK) for router in state.routers.values()):
        return
    if state.rolled_back_ns == NEVER_NS:
        _begin_last_comparison(state)
    _end_if_decided(state)


def _release_control_group(state: RolloutState) -> None:
    """Let routers of the control group serve as before; one that restarts comes back by itself."""
    for router in state.routers.values():
        if router.phase is Phase.CONTROL_DRAINING:
            state.send(router, CommandKind.ENABLE)
        if router.phase in (Phase.CONTROL_DRAINING, Phase.CONTROL):
            state.enter(router, Phase.WAITING)


def _take_back(state: RolloutState, router: RouterState) -> None:
    """Begin the way back of one router, if it was touched and the limits allow it."""
    if router.phase is Phase.DRAINING:  # not changed yet: it goes back in service as it is
        state.enter(router, Phase.ROLLED_BACK)
        state.send(router, CommandKind.ENABLE)
    elif router.phase in NEW_BUILD_PHASES:
        # One that is unavailable already, or silent, is no loss of capacity: it need not wait for the limits.
        silent = is_unknown(state, router)  # asked before the new phase, which has its own time to speak
        if router.phase in UNAVAILABLE_PHASES or silent or may_become_unavailable(state, router):
            state.enter(router, Phase.ROLLING_BACK if silent else Phase.ROLLBACK_DRAINING)
            state.send(router, CommandKind.UNDO if silent else CommandKind.DRAIN)


def _begin_last_comparison(state: RolloutState) -> None:
    """Compare the routers that were taken back with those that were never changed."""
    state.rolled_back_ns = state.now_ns
    state.judge = RegressionJudge(state.plan.stop_criteria)
    for router in state.routers.values():
        router.uncounted.clear()
        baseline: Samples = {}
        add_samples(baseline, router, router.baseline)
        state.judge.add_baseline(router.phase is Phase.ROLLED_BACK, baseline)
    state.add_history("taken-back", "all that was changed is taken back")


def _end_if_decided(state: RolloutState) -> None:
    """End the rollout once it is known whether the harm is gone, or nothing is left to wait for."""
    place = state.regression_place
    if place is None:
        _end(state, "there was no figure to compare")
        return
    verdict = state.judge.verdict(frozenset((place,))).verdict
    longest_stage_ns = max((stage.max_ns for stage in state.plan.stages), default=0)
    is_overdue = state.now_ns - state.rolled_back_ns > longest_stage_ns
    if verdict is not Verdict.UNDECIDED or is_overdue:
        _end(state, FINDINGS[verdict])


def _end(state: RolloutState, finding: str) -> None:
    state.outcome = RolloutOutcome.ROLLED_BACK
    state.add_history("ended", f"taken back; {finding}", **state.judge.figures())
