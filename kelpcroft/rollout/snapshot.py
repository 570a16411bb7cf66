"""Conversion of a rollout to JSON and back, so that another process can continue it; without I/O.

A snapshot contains each router's phase with its start, original digests, last report and baseline, the stage,
and the evidence of the judge.  It does not contain the requests of the current interval.  They are lost
with the process, which can only reduce the evidence.

The keys are a stored form that earlier and later versions read.  They keep their names even where the code
names the same value differently.  ``hold_cause``, ``memory`` and ``was`` are missing in snapshots of earlier
versions.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any, NotRequired, TypedDict

from kelpcroft.rollout.errors import SnapshotError
from kelpcroft.rollout.events import RouterReport
from kelpcroft.rollout.judge import RegressionJudge, RequestSample, SequentialTest, Verdict, ZoneClass
from kelpcroft.rollout.phases import HoldCause, Phase, RolloutOutcome
from kelpcroft.rollout.plan import RolloutPlan
from kelpcroft.rollout.state import RolloutState, RouterState
from kelpcroft.rollout.state_machine import Rollout

VERSION = 1  # version of the stored form

StoredSample = list[float]  # request count, requested weight, in-time weight
StoredSamples = dict[str, StoredSample]  # by class


class StoredReport(TypedDict):
    """Stored form of a router's last report."""

    instance: str
    digests: dict[str, str]
    ready: bool
    in_service: bool
    invariants: int
    classes: StoredSamples
    memory: NotRequired[int]  # kB


class StoredRouter(TypedDict):
    """Stored form of one router.  Times are nanoseconds."""

    phase: str
    since: int
    heard: int
    report: StoredReport | None
    first: dict[str, str]
    invariants: int
    before: StoredSamples
    was: NotRequired[str]


class StoredRollout(TypedDict):
    """Stored form of a rollout.  Times are nanoseconds.

    ``bets`` has a row for each test: zone, class, the logarithms by stake of the evidence of a regression and
    of that against one, the number of intervals, the sum of differences, the verdict.  ``sides`` has a row
    for each side of each comparison: zone, class, whether it is the new side, its baseline.
    """

    v: int
    now: int
    stage: int
    stage_ns: int
    outcome: str
    why: str
    hold_cause: NotRequired[str]
    memory: NotRequired[int]
    harmed: list[str] | None
    after: int
    routers: dict[str, StoredRouter]
    bets: list[list[Any]]
    sides: list[list[Any]]


def to_snapshot(rollout: RolloutState) -> StoredRollout:
    """Convert a rollout to the form from which ``from_snapshot`` restores it."""
    zone_class = rollout.regression_zone_class
    return {
        "v": VERSION,
        "now": rollout.now_ns,
        "stage": rollout.stage_index,
        "stage_ns": rollout.stage_since_ns,
        "outcome": rollout.outcome.value,
        "why": rollout.reason,
        "hold_cause": rollout.hold_cause.value,
        "memory": rollout.old_peak_memory_kb,
        "harmed": list(zone_class) if zone_class else None,
        "after": rollout.rolled_back_ns,
        "routers": {name: _router_to_json(router) for name, router in rollout.routers.items()},
        "bets": [_test_to_json(zone_class, test) for zone_class, test in rollout.judge.tests.items()],
        "sides": [
            [*key.zone_class, key.is_new, _sample_to_json(side.baseline)]
            for key, side in rollout.judge.sides.items()
        ],
    }


def _sample_to_json(sample: RequestSample) -> StoredSample:
    return [sample.request_count, sample.requested_weight, sample.in_time_weight]


def _samples_to_json(samples: Mapping[str, RequestSample]) -> StoredSamples:
    return {name: _sample_to_json(sample) for name, sample in samples.items()}


def _test_to_json(zone_class: ZoneClass, test: SequentialTest) -> list[Any]:
    return [
        zone_class.zone,
        zone_class.request_class,
        test.regression_log_evidence,
        test.no_regression_log_evidence,
        test.interval_count,
        test.difference_sum,
        test.verdict.value,
    ]


def _router_to_json(router: RouterState) -> StoredRouter:
    report = router.last_report
    return {
        "phase": router.phase.value,
        "since": router.phase_since_ns,
        "heard": router.last_report_ns,
        "report": None if report is None else _report_to_json(report),
        "first": dict(router.original_digests),
        "invariants": router.invariant_baseline,
        "before": _samples_to_json(router.baseline),
        "was": router.instance_before_restart,
    }


def _report_to_json(report: RouterReport) -> StoredReport:
    return {
        "instance": report.instance,
        "digests": dict(report.digests),
        "ready": report.ready,
        "in_service": report.in_service,
        "invariants": report.invariant_violations,
        "classes": _samples_to_json(report.samples_by_class),
        "memory": report.peak_memory_kb,
    }


def from_snapshot(plan: RolloutPlan, raw: Mapping[str, Any]) -> Rollout:
    """Restore a rollout as of its last event; ``resume_after_takeover`` sets the current time.

    Args:
        plan: The plan that the snapshot's rollout executes.
        raw: The result of ``to_snapshot``, decoded from JSON; its form is checked here.

    Raises:
        SnapshotError: The snapshot has another version, has other routers than the plan, or is malformed.
    """
    try:
        _check_is_of_plan(plan, raw)
        return _rollout_from_json(plan, raw)
    except SnapshotError:
        raise
    except (KeyError, TypeError, ValueError, IndexError) as error:
        missing_key = str(error.args[0]) if isinstance(error, KeyError) else ""
        raise SnapshotError(f"{type(error).__name__}: {error}", key=missing_key) from error


def _check_is_of_plan(plan: RolloutPlan, raw: Mapping[str, Any]) -> None:
    if raw["v"] != VERSION:
        raise SnapshotError(f"version {raw['v']!r} is not known here; version {VERSION} is", key="v")
    if set(raw["routers"]) != {target.name for target in plan.routers}:
        raise SnapshotError("it is of other routers than the plan's", key="routers")


def _rollout_from_json(plan: RolloutPlan, raw: Mapping[str, Any]) -> Rollout:
    rollout = Rollout(plan, int(raw["now"]))
    rollout.stage_index = int(raw["stage"])
    rollout.stage_since_ns = int(raw["stage_ns"])
    rollout.reason = str(raw["why"])
    rollout.outcome = RolloutOutcome(raw["outcome"])
    rollout.rolled_back_ns = int(raw["after"])
    rollout.hold_cause = HoldCause(raw.get("hold_cause", ""))
    rollout.old_peak_memory_kb = int(raw.get("memory", 0))
    if raw["harmed"]:
        rollout.regression_zone_class = ZoneClass(str(raw["harmed"][0]), str(raw["harmed"][1]))
    for name, row in raw["routers"].items():
        rollout.routers[name] = _router_from_json(rollout.routers[name], row)
    rollout.judge = _judge_from_json(plan, raw)
    return rollout


def _sample_from_json(row: StoredSample) -> RequestSample:
    request_count, requested_weight, in_time_weight = row
    return RequestSample(int(request_count), float(requested_weight), float(in_time_weight))


def _samples_from_json(rows: StoredSamples) -> dict[str, RequestSample]:
    return {name: _sample_from_json(row) for name, row in rows.items()}


def _router_from_json(initial: RouterState, row: StoredRouter) -> RouterState:
    report = row["report"]
    return RouterState(
        initial.target,
        phase=Phase(row["phase"]),
        phase_since_ns=int(row["since"]),
        last_report_ns=int(row["heard"]),
        last_report=None if report is None else _report_from_json(initial.name, report),
        original_digests=dict(row["first"]),
        invariant_baseline=int(row["invariants"]),
        instance_before_restart=str(row.get("was", "")),
        baseline=_samples_from_json(row["before"]),
    )


def _report_from_json(name: str, row: StoredReport) -> RouterReport:
    return RouterReport(
        name,
        instance=row["instance"],
        digests=row["digests"],
        ready=row["ready"],
        in_service=row["in_service"],
        invariant_violations=row["invariants"],
        samples_by_class=_samples_from_json(row["classes"]),
        peak_memory_kb=int(row.get("memory", 0)),
    )


def _judge_from_json(plan: RolloutPlan, raw: Mapping[str, Any]) -> RegressionJudge:
    judge = RegressionJudge(plan.stop_criteria)
    for zone, request_class, regression, no_regression, intervals, difference_sum, verdict in raw["bets"]:
        test = SequentialTest(plan.stop_criteria)
        test.regression_log_evidence = list(regression)
        test.no_regression_log_evidence = list(no_regression)
        test.interval_count = intervals
        test.difference_sum = difference_sum
        test.verdict = Verdict(verdict)
        judge.tests[ZoneClass(zone, request_class)] = test
    for zone, request_class, is_new, baseline in raw["sides"]:
        judge.side(ZoneClass(zone, request_class), is_new).baseline = _sample_from_json(baseline)
    return judge
