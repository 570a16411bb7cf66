"""What must always hold: asserted in debug builds, counted in release builds (python -O)."""

from __future__ import annotations

from collections import Counter

violations: Counter[str] = Counter()


def holds(condition: bool, name: str) -> bool:
    """Whether it holds.  A debug build stops where it does not; a release build counts it and goes on."""
    if not condition:
        violations[name] += 1
        assert condition, name
    return condition


def violation_summary() -> str:
    """The counts for the log; empty while nothing has been broken."""
    return ", ".join(f"{name}: {n}" for name, n in sorted(violations.items()))
