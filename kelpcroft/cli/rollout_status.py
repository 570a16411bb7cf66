"""The state of a run and the evidence gathered, printed by ``kelpcroft rollout status``."""

from __future__ import annotations

import time
from typing import TypedDict

import click

from kelpcroft.store.rollouts import StoredRun

# One comparison.  The functional form is needed because the key ``class`` is a Python keyword.
EvidenceRow = TypedDict(
    "EvidenceRow", {"zone": str, "class": str, "slices": int, "mean": float, "verdict": str}
)


class RunStatus(TypedDict):
    """The printed state of a run; scripts rely on the keys.

    ``stage`` counts from 1 and is 0 before the first stage; ``routers`` has the phase of each router by name;
    ``led`` is true while a controller holds a lease that has not expired.
    """

    run: int
    outcome: str
    why: str
    stage: int
    led: bool
    began_ns: int
    routers: dict[str, str]
    evidence: list[EvidenceRow]


def is_led(run: StoredRun) -> bool:
    """Return whether a controller holds a lease that has not expired."""
    return run.lease_ns > time.time_ns()


def run_status(run: StoredRun) -> RunStatus:
    """Return the state of a run."""
    snapshot = run.snapshot
    return {
        "run": run.id,
        "outcome": run.outcome,
        "why": snapshot["why"],
        "stage": snapshot["stage"] + 1,
        "led": is_led(run),
        "began_ns": run.began_ns,
        "routers": {name: router["phase"] for name, router in snapshot["routers"].items()},
        "evidence": [
            {
                "zone": zone,
                "class": request_class,
                "slices": interval_count,
                "mean": difference_sum / interval_count if interval_count else 0.0,
                "verdict": verdict,
            }
            for zone, request_class, _, _, interval_count, difference_sum, verdict in snapshot["bets"]
        ],
    }


def print_status(status: RunStatus) -> None:
    """Print the state of a run as text."""
    reason = f": {status['why']}" if status["why"] else ""
    leader = "led" if status["led"] else "no controller leads it"
    click.echo(f"run {status['run']}: {status['outcome']}{reason}, stage {status['stage']}, {leader}")
    names_by_phase: dict[str, list[str]] = {}
    for name, phase in status["routers"].items():
        names_by_phase.setdefault(phase, []).append(name)
    for phase, names in names_by_phase.items():
        click.echo(f"  {phase}: {', '.join(names)}")
    for row in status["evidence"]:
        click.echo(
            f"  {row['zone']}, {row['class']}: {row['verdict']} after {row['slices']} intervals, "
            f"mean difference of late shares from the old {row['mean']:+.3f}"
        )
