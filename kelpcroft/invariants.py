"""Invariants: asserted in debug builds, counted in release builds (``python -O``)."""

from __future__ import annotations

from collections import Counter

violations: Counter[str] = Counter()  # number of violations of each invariant in this process


def check_invariant(condition: bool, invariant: str) -> bool:
    """Returns whether an invariant holds; if not, a debug build fails and a release build counts it.

    Args:
        condition: The value of the invariant, which must be true.
        invariant: The invariant as a sentence, which names its counter in the log.
    """
    if not condition:
        violations[invariant] += 1
        assert condition, invariant
    return condition


def violation_summary() -> str:
    """Returns the counts for the log; empty if no invariant was violated."""
    return ", ".join(f"{invariant}: {count}" for invariant, count in sorted(violations.items()))
