"""Progress of a rollout through its stages, within the plan's limits of unavailable routers.

A stage ends only on evidence: all of its routers are warm, its minimum time is over, and a regression is
ruled out wherever an old router is left to compare with.  If the stage reaches its maximum time first, the
rollout is held.
"""

from __future__ import annotations

from kelpcroft.rollout.comparison import SamplesByZoneClass, add_samples, control_group, required_comparisons
from kelpcroft.rollout.events import CommandKind
from kelpcroft.rollout.judge import RegressionJudge, Verdict, ZoneClass
from kelpcroft.rollout.observations import (
    has_recent_report,
    is_unknown,
    may_become_unavailable,
    reports_new_build,
    unavailable_count,
)
from kelpcroft.rollout.phases import Phase, RolloutOutcome
from kelpcroft.rollout.state import NO_STAGE, RolloutState, RouterState

MAX_NAMES_SHOWN = 5  # most router names that a reason lists


def advance_rollout(state: RolloutState) -> None:
    """Begin the changes of the stage, and end the stage once the evidence suffices."""
    if state.stage_index == NO_STAGE:
        if not _has_baselines(state):
            return
        begin_stage(state, 0)
    stage_routers = [state.routers[target.name] for target in state.stages[state.stage_index]]
    _begin_control_group(state)
    _begin_changes(state, stage_routers)
    if all(router.phase is Phase.COMPARED for router in stage_routers):
        _end_stage_if_decided(state, stage_routers)


def _has_baselines(state: RolloutState) -> bool:
    """Whether every router has reported and the baselines cover the delay of the slowest signal.

    Holds the rollout if a router has not reported within the ready time-out.
    """
    waited_ns = state.now_ns - state.stage_since_ns
    without_report = sorted(name for name, router in state.routers.items() if router.last_report_ns < 0)
    if without_report:
        if waited_ns > state.plan.ready_timeout_ns:
            state.hold(f"never heard of {', '.join(without_report[:MAX_NAMES_SHOWN])}")
        return False
    return waited_ns >= state.plan.slowest_signal_ns


def begin_stage(state: RolloutState, index: int) -> None:
    """Enter a stage, with a new judge that has the baselines of both sides."""
    state.stage_index = index
    state.stage_since_ns = state.now_ns
    state.judge = RegressionJudge(state.plan.stop_criteria)
    changing_names = {target.name for target in state.stages[index]}
    control_names = {router.name for router in control_group(state)}
    for name, router in state.routers.items():
        is_new = name in changing_names
        is_compared = not control_names or is_new or name in control_names
        if router.phase is Phase.WAITING and is_compared:
            baseline: SamplesByZoneClass = {}
            add_samples(baseline, router, router.baseline)
            state.judge.add_baseline(is_new, baseline)
    stage = state.plan.stages[index]
    state.add_history("stage", f"stage {stage.name!r} begins", routers=sorted(changing_names))


def _begin_control_group(state: RolloutState) -> None:
    """Take the routers of the control group out of service, to restart them without a change."""
    for router in control_group(state):
        if router.phase is Phase.WAITING and may_become_unavailable(state, router):
            state.enter(router, Phase.CONTROL_DRAINING)
            state.send(router, CommandKind.DRAIN)
            state.add_history(
                "control", f"{router.name} is restarted as it is, to compare with", router=router.name
            )


def _begin_changes(state: RolloutState, stage_routers: list[RouterState]) -> None:
    """Take as many routers of the stage out of service as the limits allow."""
    if unavailable_count(state) >= state.plan.max_unavailable:
        return
    for router in stage_routers:
        if router.phase is not Phase.WAITING or not may_become_unavailable(state, router):
            continue
        if reports_new_build(state, router):
            state.add_history("already", f"{router.name} is the new already", router=router.name)
            state.enter(router, Phase.WARMING_UP)
        else:
            state.enter(router, Phase.DRAINING)
            state.send(router, CommandKind.DRAIN)
            state.add_history("begun", f"{router.name} is changed", router=router.name)


def _end_stage_if_decided(state: RolloutState, stage_routers: list[RouterState]) -> None:
    """Accept the stage if a regression is ruled out; hold the rollout after the stage's maximum time."""
    stage = state.plan.stages[state.stage_index]
    warm_since_ns = max((router.phase_since_ns for router in stage_routers), default=state.now_ns)
    warm_ns = state.now_ns - warm_since_ns
    required = required_comparisons(state)
    verdict, zone_class = state.judge.verdict(required)
    is_regression_ruled_out = verdict is Verdict.NO_REGRESSION or (
        not required and verdict is not Verdict.REGRESSION
    )
    all_respond = all(
        has_recent_report(state, router) and not is_unknown(state, router) for router in stage_routers
    )
    if warm_ns >= stage.min_ns and is_regression_ruled_out and all_respond:
        _accept_stage(state, stage_routers, required)
    elif warm_ns > stage.max_ns:
        missing_evidence = (
            f" of class {zone_class.request_class!r} in zone {zone_class.zone!r}" if zone_class else ""
        )
        state.hold(f"stage {stage.name!r}: not enough evidence{missing_evidence}")


def _accept_stage(
    state: RolloutState, stage_routers: list[RouterState], required: frozenset[ZoneClass]
) -> None:
    """End a stage without a regression, and begin the next one if there is one."""
    stage = state.plan.stages[state.stage_index]
    uncompared_zones = sorted(
        {router.zone for router in stage_routers} - {zone_class.zone for zone_class in required}
    )
    uncompared_text = (
        f"; nothing was left to compare with in {', '.join(uncompared_zones)}" if uncompared_zones else ""
    )
    state.add_history("stage-good", f"stage {stage.name!r} is good{uncompared_text}", **state.judge.figures())
    for router in stage_routers:
        state.enter(router, Phase.ACCEPTED)
    for router in control_group(state):
        state.enter(router, Phase.WAITING)
    if state.stage_index + 1 == len(state.stages):
        state.outcome = RolloutOutcome.DONE
        state.add_history("done", f"all {len(state.routers)} routers are changed")
    else:
        begin_stage(state, state.stage_index + 1)
