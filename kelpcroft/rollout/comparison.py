"""Selection of the requests to compare: the control group, the intervals, and the required comparisons."""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple

from kelpcroft.rollout.judge import NO_REQUESTS, RequestSample, Verdict, ZoneClass
from kelpcroft.rollout.observations import is_unknown
from kelpcroft.rollout.phases import NEW_BUILD_PHASES, Phase, RolloutOutcome
from kelpcroft.rollout.state import NEVER_NS, NO_STAGE, RolloutState, RouterState

# A class with at most this share of its zone's requested weight is too rare to require a comparison.
RARE_CLASS_SHARE = 0.02
SamplesByZoneClass = dict[ZoneClass, RequestSample]


def add_samples(sums: SamplesByZoneClass, router: RouterState, samples: Mapping[str, RequestSample]) -> None:
    """Add one router's samples by class to the sums by zone and class."""
    for class_name, sample in samples.items():
        zone_class = ZoneClass(router.zone, class_name)
        sums[zone_class] = sums.get(zone_class, NO_REQUESTS) + sample


def control_group(state: RolloutState) -> list[RouterState]:
    """The routers of the old build that are restarted beside the new ones of this stage.

    The restart makes them as cold as the new ones that they are compared with.  They are the last routers of
    each zone of the stage.  The result is empty if the stage has no control group, and before the first
    stage.
    """
    if state.stage_index == NO_STAGE:
        return []
    count_per_zone = state.plan.stages[state.stage_index].control_count
    if not count_per_zone:
        return []
    changing_names = {target.name for target in state.stages[state.stage_index]}
    group: list[RouterState] = []
    for zone in sorted(stage_zones(state)):
        candidates = [
            router
            for router in state.routers.values()
            if router.zone == zone
            and router.name not in changing_names
            and router.phase not in NEW_BUILD_PHASES
        ]
        group += candidates[-count_per_zone:]
    return group


def stage_zones(state: RolloutState) -> set[str]:
    """The zones in which the current stage changes routers."""
    return {target.zone for target in state.stages[state.stage_index]}


def required_comparisons(state: RolloutState) -> frozenset[ZoneClass]:
    """The comparisons that must rule a regression out before the current stage may end.

    These are all zones of the stage in which an old router is left, each combined with every class that has
    more than RARE_CLASS_SHARE of the weight requested there, on both sides together.  A zone with an old
    router but without any request requires a comparison of the class "", which never gets evidence: a lack of
    requests must not count as a good result.
    """
    old_routers = control_group(state) or [
        router for router in state.routers.values() if router.phase is Phase.WAITING
    ]
    zones = {router.zone for router in old_routers} & stage_zones(state)
    requested_weights: dict[ZoneClass, float] = {}
    for router in state.routers.values():
        if router.zone in zones and router.last_report is not None:
            for class_name, sample in router.last_report.samples_by_class.items():
                zone_class = ZoneClass(router.zone, class_name)
                requested_weights[zone_class] = (
                    requested_weights.get(zone_class, 0.0) + sample.requested_weight
                )
    totals = {
        zone: sum(weight for zone_class, weight in requested_weights.items() if zone_class.zone == zone)
        for zone in zones
    }
    frequent_classes = {
        zone_class
        for zone_class, weight in requested_weights.items()
        if weight > RARE_CLASS_SHARE * totals[zone_class.zone]
    }
    return frozenset(frequent_classes | {ZoneClass(zone, "") for zone in zones if not totals[zone]})


class ComparedPhases(NamedTuple):
    """Phases of the routers that represent the new build and the old one in comparisons."""

    new: tuple[Phase, ...]
    old: Phase


def _compared_phases(state: RolloutState) -> ComparedPhases:
    """The compared phases at this point of the rollout.

    After a rollback, the routers that were rolled back represent the new side, which shows whether the
    regression has disappeared.
    """
    if state.rolled_back_ns != NEVER_NS:
        return ComparedPhases((Phase.ROLLED_BACK,), Phase.WAITING)
    if control_group(state):
        return ComparedPhases((Phase.WARMING_UP, Phase.COMPARED), Phase.CONTROL)
    return ComparedPhases((Phase.COMPARED,), Phase.WAITING)


def close_interval(state: RolloutState) -> None:
    """End the interval if it is long enough, and add its requests to the baselines and the judge.

    A regression stops a rollout that runs or is held.  During a rollback only the judge records it.
    """
    if state.now_ns - state.last_interval_ns < state.plan.poll_interval_ns:
        return
    state.last_interval_ns = state.now_ns
    new, old = _collect_interval(state)
    if state.stage_index == NO_STAGE:
        return
    state.judge.add_interval(new, old)
    verdict, zone_class = state.judge.verdict(frozenset())
    may_be_stopped = state.outcome in (RolloutOutcome.RUNNING, RolloutOutcome.HELD)
    if verdict is Verdict.REGRESSION and zone_class and may_be_stopped:
        state.regression_zone_class = zone_class
        state.handle_regression(
            "worse",
            f"class {zone_class.request_class!r} does worse in zone {zone_class.zone!r}",
            state.judge.figures(),
        )


def _collect_interval(state: RolloutState) -> tuple[SamplesByZoneClass, SamplesByZoneClass]:
    """Move each router's uncounted requests into the samples of the new and the old side, and return both."""
    phases = _compared_phases(state)
    new: SamplesByZoneClass = {}
    old: SamplesByZoneClass = {}
    for router in state.routers.values():
        samples, router.uncounted = router.uncounted, {}
        if router.phase is Phase.WAITING:  # it ran the old build throughout the interval
            for class_name, sample in samples.items():
                router.baseline[class_name] = router.baseline.get(class_name, NO_REQUESTS) + sample
        if state.stage_index == NO_STAGE or is_unknown(state, router):
            continue
        if router.phase in phases.new:
            add_samples(new, router, samples)
        elif router.phase is phases.old:
            add_samples(old, router, samples)
    return new, old
