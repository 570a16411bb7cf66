"""What ``kelpcroft rollout status`` prints: where a run stands and the evidence so far."""

from __future__ import annotations

import time
from typing import TypedDict

import click

from kelpcroft.store.rollouts import StoredRun

# One comparison; a functional form, as one of its keys is a word of the language.
EvidenceRow = TypedDict(
    "EvidenceRow", {"zone": str, "class": str, "slices": int, "mean": float, "verdict": str}
)


class RunStatus(TypedDict):
    """A run as people and scripts see it; the keys are part of the command.

    ``stage`` counts from 1, 0 before the first; ``routers`` holds their phases; ``led`` says whether a
    controller's lease lasts.
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
    """Whether a controller's lease lasts."""
    return run.lease_ns > time.time_ns()


def run_status(run: StoredRun) -> RunStatus:
    """Where a run stands."""
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
                "slices": slice_count,
                "mean": difference_sum / slice_count if slice_count else 0.0,
                "verdict": verdict,
            }
            for zone, request_class, _, _, slice_count, difference_sum, verdict in snapshot["bets"]
        ],
    }


def print_status(status: RunStatus) -> None:
    """Print where a run stands, for people."""
    reason = f": {status['why']}" if status["why"] else ""
    led = "led" if status["led"] else "nobody leads it"
    click.echo(f"run {status['run']}: {status['outcome']}{reason}, stage {status['stage']}, {led}")
    names_by_phase: dict[str, list[str]] = {}
    for name, phase in status["routers"].items():
        names_by_phase.setdefault(phase, []).append(name)
    for phase, names in names_by_phase.items():
        click.echo(f"  {phase}: {', '.join(names)}")
    for row in status["evidence"]:
        click.echo(
            f"  {row['zone']}, {row['class']}: {row['verdict']} after {row['slices']} slices, "
            f"{row['mean']:+.3f} more harm than the old"
        )
