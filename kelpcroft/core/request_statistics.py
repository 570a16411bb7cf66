"""Results of requests by class since the start of this process, for the comparison of routers.  Pure.

The statistics are kept only if the operator's file enables them (``control state=#true``).  Their size is
bounded: classes beyond MAX_CLASSES are counted together.
"""

from __future__ import annotations

from dataclasses import dataclass

MAX_CLASSES = 64  # classes with counts of their own
OTHER_CLASSES = "(others)"  # name under which all other classes are counted


@dataclass(slots=True)
class ClassCounts:
    """Counts of the ended requests of a class, and the sums of their priority weights.

    Attributes:
        asked: All ended requests.
        served: Requests that were served.
        late: Served requests that missed their latency objective.
        refused: Rejected requests: a retry is harmless.
        failed: Requests that failed.
        gone: Requests that their clients cancelled or whose clients disconnected.
        attempts: Attempts made for all of them.
        worth: Sum of the priority weights of all requests not ended by their clients within the objective.
        in_time: Sum of the priority weights of the requests served within the objective.
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
    """The counts of all classes in one process."""

    def __init__(self) -> None:
        self.classes: dict[str, ClassCounts] = {}

    def counts_of(self, class_name: str) -> ClassCounts:
        """The counts of a class, or the shared counts of all classes beyond MAX_CLASSES."""
        counts = self.classes.get(class_name)
        if counts is None:
            if len(self.classes) >= MAX_CLASSES:
                class_name = OTHER_CLASSES
            counts = self.classes.setdefault(class_name, ClassCounts())
        return counts

    def record_end(self, class_name: str, how: str, attempts: int, worth: float, in_time: bool) -> None:
        """Count a request's end.

        A request that its client cancelled after the latency objective counts as not served in time.  One
        that was cancelled earlier adds no priority weight.

        Args:
            class_name: The request's class.
            how: "served", "refused", "failed" or "gone".
            attempts: Number of attempts made for it.
            worth: The priority weight of its class.
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
