"""What became of requests, by class, since this process began: for those who compare routers.  Pure.

Kept only where the operator's file asks for it (``control state=#true``).  Its length is bounded: classes
past CLASSES_MOST are counted together.
"""

from __future__ import annotations

from dataclasses import dataclass

MAX_CLASSES = 64
OTHER_CLASSES = "(others)"


@dataclass(slots=True)
class Counts:
    """Requests that ended, and the worth that they asked for and got in time."""

    asked: int = 0
    served: int = 0
    late: int = 0  # of the served
    refused: int = 0
    failed: int = 0
    gone: int = 0  # their clients left
    attempts: int = 0
    worth: float = 0.0
    in_time: float = 0.0


class RequestStatistics:
    """All classes of one process."""

    def __init__(self) -> None:
        self.classes: dict[str, Counts] = {}

    def of(self, cls: str) -> Counts:
        """A class's counts."""
        found = self.classes.get(cls)
        if found is None:
            if len(self.classes) >= MAX_CLASSES:
                cls = OTHER_CLASSES
            found = self.classes.setdefault(cls, Counts())
        return found

    def record_end(self, cls: str, how: str, attempts: int, worth: float, in_time: bool) -> None:
        """A request's end: served, refused, failed or gone.  One that its client gave up after its time was
        not answered in time; one that was given up early asked for nothing in the end."""
        c = self.of(cls)
        c.asked += 1
        c.attempts += attempts
        if how == "served":
            c.served += 1
            c.late += not in_time
        elif how == "refused":
            c.refused += 1
        elif how == "failed":
            c.failed += 1
        else:
            c.gone += 1
            if in_time:
                return
        c.worth += worth
        if how == "served" and in_time:
            c.in_time += worth

    def as_json(self) -> dict[str, dict[str, float]]:
        """All counts, as numbers by name."""
        return {
            cls: {
                "asked": c.asked,
                "served": c.served,
                "late": c.late,
                "refused": c.refused,
                "failed": c.failed,
                "gone": c.gone,
                "attempts": c.attempts,
                "worth": round(c.worth, 3),
                "in_time": round(c.in_time, 3),
            }
            for cls, c in self.classes.items()
        }
