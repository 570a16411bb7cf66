"""A rollout as JSON and back, so that another process can go on with it.  Pure.

What is kept: each router's phase, since when, what it was at first, its last report and its figures from
before; the stage; the bets of the judgement.  What is not: fresh figures of the slice under way, which are
lost with the process; that is evidence less, never more.
"""

from __future__ import annotations

from typing import Any

from kelpcroft.rollout.judge import RegressionJudge, RequestSample, SequentialTest, Verdict
from kelpcroft.rollout.plan import RolloutPlan
from kelpcroft.rollout.state_machine import HoldCause, Phase, Rollout, RolloutOutcome, Router, RouterReport

VERSION = 1


class SnapshotError(ValueError):
    """A snapshot that cannot be used; the message says why."""


def samples(found: dict[str, RequestSample]) -> dict[str, list[float]]:
    return {cls: [s.request_count, s.requested_weight, s.in_time_weight] for cls, s in found.items()}


def of_samples(raw: dict[str, list[float]]) -> dict[str, RequestSample]:
    return {cls: RequestSample(int(a), float(w), float(t)) for cls, (a, w, t) in raw.items()}


def to_snapshot(r: Rollout) -> dict[str, Any]:
    """All that is needed to go on."""
    routers = {}
    for name, x in r.routers.items():
        told = None
        if x.report is not None:
            p = x.report
            told = {
                "instance": p.instance,
                "digests": dict(p.digests),
                "ready": p.ready,
                "in_service": p.in_service,
                "invariants": p.invariant_violations,
                "classes": samples(dict(p.samples_by_class)),
                "memory": p.peak_memory_kb,
            }
        routers[name] = {
            "phase": x.phase.value,
            "since": x.since_ns,
            "heard": x.last_report_ns,
            "report": told,
            "first": dict(x.first),
            "invariants": x.invariants,
            "before": samples(x.before),
            "was": x.was,
        }
    bets = [
        [*place, b.worse, b.fine, b.slice_count, b.total, b.verdict.value]
        for place, b in r.judge.tests.items()
    ]
    sides = [[*place, new, samples({"": side.before})[""]] for (place, new), side in r.judge.sides.items()]
    return {
        "v": VERSION,
        "now": r.now,
        "stage": r.stage,
        "stage_ns": r.stage_ns,
        "outcome": r.outcome.value,
        "why": r.reason,
        "hold_cause": r.hold_cause.value,
        "memory": r.memory_kb,
        "harmed": list(r.harmed) if r.harmed else None,
        "after": r.after_ns,
        "routers": routers,
        "bets": bets,
        "sides": sides,
    }


def from_snapshot(plan: RolloutPlan, raw: dict[str, Any]) -> Rollout:
    """The rollout as it was left; ``resume`` tells it the time.  Raises SnapshotError."""
    try:
        if raw["v"] != VERSION:
            raise SnapshotError(f"version {raw['v']!r} is not known here; version {VERSION} is")
        if set(raw["routers"]) != {t.name for t in plan.routers}:
            raise SnapshotError("it is of other routers than the plan's")
        r = Rollout(plan, int(raw["now"]))
        r.stage, r.stage_ns, r.reason = int(raw["stage"]), int(raw["stage_ns"]), str(raw["why"])
        r.outcome, r.after_ns = RolloutOutcome(raw["outcome"]), int(raw["after"])
        r.hold_cause = HoldCause(raw.get("hold_cause", ""))
        r.memory_kb = int(raw.get("memory", 0))
        r.harmed = (str(raw["harmed"][0]), str(raw["harmed"][1])) if raw["harmed"] else None
        for name, x in raw["routers"].items():
            router = r.routers[name] = Router(
                r.routers[name].target, Phase(x["phase"]), int(x["since"]), int(x["heard"])
            )
            router.first, router.invariants = dict(x["first"]), int(x["invariants"])
            router.before = of_samples(x["before"])
            if x["report"] is not None:
                p = x["report"]
                router.report = RouterReport(
                    name,
                    p["instance"],
                    p["digests"],
                    p["ready"],
                    p["in_service"],
                    p["invariants"],
                    of_samples(p["classes"]),
                    int(p.get("memory", 0)),
                )
            router.was = str(x.get("was", ""))
        r.judge = RegressionJudge(plan.rates)
        for zone, cls, worse, fine, slices, total, verdict in raw["bets"]:
            bet = r.judge.tests[zone, cls] = SequentialTest(plan.rates)
            bet.worse, bet.fine, bet.slice_count, bet.total = list(worse), list(fine), slices, total
            bet.verdict = Verdict(verdict)
        for zone, cls, new, before in raw["sides"]:
            r.judge.side((zone, cls), new).before = of_samples({"": before})[""]
    except (KeyError, TypeError, ValueError, IndexError) as error:
        if isinstance(error, SnapshotError):
            raise
        raise SnapshotError(f"{type(error).__name__}: {error}") from error
    return r
