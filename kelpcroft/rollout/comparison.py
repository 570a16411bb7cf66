"""Which requests are compared with which: the control group, the slices of time, where evidence is wanted."""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple

from kelpcroft.rollout.judge import NO_REQUESTS, RequestSample, Verdict, ZoneClass
from kelpcroft.rollout.observations import is_unknown
from kelpcroft.rollout.phases import NEW_BUILD_PHASES, Phase, RolloutOutcome
from kelpcroft.rollout.state import NEVER_NS, NO_STAGE, RolloutState, RouterState

RARE_CLASS_SHARE = 0.02  # of a zone's requested weight: a class up to this is too rare to wait for
Samples = dict[ZoneClass, RequestSample]


def add_samples(sums: Samples, router: RouterState, samples: Mapping[str, RequestSample]) -> None:
    """Add one router's samples by class to sums by zone and class."""
    for name, sample in samples.items():
        place = ZoneClass(router.zone, name)
        sums[place] = sums.get(place, NO_REQUESTS) + sample


def control_group(state: RolloutState) -> list[RouterState]:
    """The routers of the old build that are restarted beside the new ones of this stage.

    They are the last of each zone of the stage, so that as cold is compared with as cold.  Empty where the
    stage wants none, and before the first stage.
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
    """The zones in which the stage under way changes routers."""
    return {target.zone for target in state.stages[state.stage_index]}


def required_comparisons(state: RolloutState) -> frozenset[ZoneClass]:
    """Where the stage under way wants evidence.

    That is each zone of it in which an old router is left, by each class with over RARE_CLASS_SHARE of the
    weight requested there, on whichever side.  A zone with an old router and no request at all wants
    evidence too, of the class "": it has none, and silence is not good.
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
    """Which routers stand for the new build and which for the old, by their phases."""

    new: tuple[Phase, ...]
    old: Phase


def _compared_phases(state: RolloutState) -> ComparedPhases:
    """After a rollback, the routers that were taken back stand for the new: is the harm gone?"""
    if state.rolled_back_ns != NEVER_NS:
        return ComparedPhases((Phase.ROLLED_BACK,), Phase.WAITING)
    if control_group(state):
        return ComparedPhases((Phase.WARMING_UP, Phase.COMPARED), Phase.CONTROL)
    return ComparedPhases((Phase.COMPARED,), Phase.WAITING)


def close_slice(state: RolloutState) -> None:
    """End a slice of time if it is long enough: what each side did in it goes to the baselines and the judge.

    A regression stops the rollout, or the taking back goes on with its verdict.
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
    """The samples of the new side and the old; each router's uncounted requests are emptied into them."""
    phases = _compared_phases(state)
    new: Samples = {}
    old: Samples = {}
    for router in state.routers.values():
        samples, router.uncounted = router.uncounted, {}
        if router.phase is Phase.WAITING:  # all that still wait are of the old build, at the same time
            for name, sample in samples.items():
                router.baseline[name] = router.baseline.get(name, NO_REQUESTS) + sample
        if state.stage_index == NO_STAGE or is_unknown(state, router):
            continue
        if router.phase in phases.new:
            add_samples(new, router, samples)
        elif router.phase is phases.old:
            add_samples(old, router, samples)
    return new, old
