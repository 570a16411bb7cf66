"""What became of requests, by class, since this process began: for those who compare routers.  Pure.

Kept only where the operator's file asks for it (``control state=#true``).  Its length is bounded: classes
past MAX_CLASSES are counted together.
"""

from __future__ import annotations

from dataclasses import dataclass

MAX_CLASSES = 64
OTHER_CLASSES = "(others)"


@dataclass(slots=True)
class ClassCounts:
    """Requests of a class that ended, and the worth that they asked for and got in time.

    Attributes:
        asked: All of them, but those that were given up early count in no worth.
        served: Answered.
        late: Of the served, those past their latency objective.
        refused: Rejected: a retry is harmless.
        failed: Answered with a failure.
        gone: Their clients left.
        attempts: Made for all of them.
        worth: Priority weights of what was asked for.
        in_time: Priority weights of what was served within the objective.
    """

    asked: int = 0
    served: int = 0
    late: int = 0
    refused: int = 0
    failed: int = 0
    gone: int = 0
    attempts: int = 0
    worth: float = 0.0
    in_time: float = 0.0


class RequestStatistics:
    """All classes of one process."""

    def __init__(self) -> None:
        self.classes: dict[str, ClassCounts] = {}

    def counts_of(self, class_name: str) -> ClassCounts:
        """A class's counts; those of all others together where there are too many classes."""
        counts = self.classes.get(class_name)
        if counts is None:
            if len(self.classes) >= MAX_CLASSES:
                class_name = OTHER_CLASSES
            counts = self.classes.setdefault(class_name, ClassCounts())
        return counts

    def record_end(self, class_name: str, how: str, attempts: int, worth: float, in_time: bool) -> None:
        """Count a request's end.

        A request that its client gave up after its time was not answered in time; one that was given up
        early asked for nothing in the end.

        Args:
            class_name: The request's class.
            how: "served", "refused", "failed" or "gone".
            attempts: How many were made for it.
            worth: Its class's priority weight.
            in_time: It ended within its latency objective.
        """
        counts = self.counts_of(class_name)
        counts.asked += 1
        counts.attempts += attempts
        if how == "served":
            counts.served += 1
            counts.late += not in_time
        elif how == "refused":
            counts.refused += 1
        elif how == "failed":
            counts.failed += 1
        else:
            counts.gone += 1
            if in_time:
                return
        counts.worth += worth
        if how == "served" and in_time:
            counts.in_time += worth

    def as_json(self) -> dict[str, dict[str, float]]:
        """All counts by class.  The keys are on the wire of the control address."""
        return {
            class_name: {
                "asked": counts.asked,
                "served": counts.served,
                "late": counts.late,
                "refused": counts.refused,
                "failed": counts.failed,
                "gone": counts.gone,
                "attempts": counts.attempts,
                "worth": round(counts.worth, 3),
                "in_time": round(counts.in_time, 3),
            }
            for class_name, counts in self.classes.items()
        }
