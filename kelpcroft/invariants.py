"""What must always hold: asserted in debug builds, counted in release builds (``python -O``)."""

from __future__ import annotations

from collections import Counter

violations: Counter[str] = Counter()  # how often each invariant did not hold, in this process


def holds(condition: bool, invariant: str) -> bool:
    """Whether an invariant holds.  A debug build stops where it does not; a release build counts it.

    Args:
        condition: What must be true.
        invariant: A sentence for it: the counter's name in the log.
    """
    if not condition:
        violations[invariant] += 1
        assert condition, invariant
    return condition


def violation_summary() -> str:
    """The counts for the log; empty while every invariant has held."""
    return ", ".join(f"{invariant}: {count}" for invariant, count in sorted(violations.items()))
