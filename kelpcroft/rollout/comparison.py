"""Selection of the requests to compare: the control group, the intervals, and the required comparisons."""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple

from kelpcroft.rollout.judge import NO_REQUESTS, RequestSample, Verdict, ZoneClass
from kelpcroft.rollout.observations import is_unknown
from kelpcroft.rollout.phases import NEW_BUILD_PHASES, Phase, RolloutOutcome
from kelpcroft.rollout.state import NEVER_NS, NO_STAGE, RolloutState, RouterState

RARE_CLASS_SHARE = 0.02  # share of a zone's requested weight up to which a class is too rare to wait for
Samples = dict[ZoneClass, RequestSample]


def add_samples(sums: Samples, router: RouterState, samples: Mapping[str, RequestSample]) -> None:
    """Add one router's samples by class to the sums by zone and class."""
    for name, sample in samples.items():
        place = ZoneClass(router.zone, name)
        sums[place] = sums.get(place, NO_REQUESTS) + sample


def control_group(state: RolloutState) -> list[RouterState]:
    """The routers of the old build that are restarted beside the new ones of this stage.

    The restart makes them as cold as the new ones that they are compared with.  They are the last routers of
    each zone of the stage.  The group is empty if the stage has none, and before the first stage.
    """
    if state.stage_index == NO_STAGE:
        return []
    count_per_zone = state.plan.stages[state.stage_index].control_count
    if not count_per_zone:
        return []
    changing = {target.name for target in state.stages[state.stage_index]}
    group: list[RouterState] = []
    for zone in sorted(stage_zones(state)):
        candidates = [
            router
            for router in state.routers.values()
            if router.zone == zone and router.name not in changing and router.phase not in NEW_BUILD_PHASES
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
    requested: dict[ZoneClass, float] = {}
    for router in state.routers.values():
        if router.zone in zones and router.last_report is not None:
            for name, sample in router.last_report.samples_by_class.items():
                place = ZoneClass(router.zone, name)
                requested[place] = requested.get(place, 0.0) + sample.requested_weight
    totals = {
        zone: sum(weight for place, weight in requested.items() if place.zone == zone) for zone in zones
    }
    frequent = {
        place for place, weight in requested.items() if weight > RARE_CLASS_SHARE * totals[place.zone]
    }
    return frozenset(frequent | {ZoneClass(zone, "") for zone in zones if not totals[zone]})


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


def close_slice(state: RolloutState) -> None:
    """End the interval if it is long enough, and add its requests to the baselines and the judge.

    A regression stops a rollout that runs or is held.  During a rollback only the judge records it.
    """
    if state.now_ns - state.last_slice_ns < state.plan.poll_interval_ns:
        return
    state.last_slice_ns = state.now_ns
    new, old = _collect_slice(state)
    if state.stage_index == NO_STAGE:
        return
    state.judge.add_slice(new, old)
    verdict, place = state.judge.verdict(frozenset())
    running = state.outcome in (RolloutOutcome.RUNNING, RolloutOutcome.HELD)
    if verdict is Verdict.REGRESSION and place and running:
        state.regression_place = place
        state.stop(
            "worse",
            f"class {place.request_class!r} does worse in zone {place.zone!r}",
            state.judge.figures(),
        )


def _collect_slice(state: RolloutState) -> tuple[Samples, Samples]:
    """Move each router's uncounted requests into the samples of the new and the old side, and return both."""
    phases = _compared_phases(state)
    new: Samples = {}
    old: Samples = {}
    for router in state.routers.values():
        samples, router.uncounted = router.uncounted, {}
        if router.phase is Phase.WAITING:  # has run the old build throughout the interval
            for name, sample in samples.items():
                router.baseline[name] = router.baseline.get(name, NO_REQUESTS) + sample
        if state.stage_index == NO_STAGE or is_unknown(state, router):
            continue
        if router.phase in phases.new:
            add_samples(new, router, samples)
        elif router.phase is phases.old:
            add_samples(old, router, samples)
    return new, old
