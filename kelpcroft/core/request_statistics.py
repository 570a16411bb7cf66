"""Results of requests by class since the start of this process, for the comparison of routers.

The module is pure.  The statistics are kept only if the operator's file enables them (``control
state=#true``).  Their size is bounded: classes beyond MAX_CLASSES are counted together.
"""

from __future__ import annotations

from dataclasses import dataclass

MAX_CLASSES = 64  # classes with counts of their own
OTHER_CLASSES = "(others)"  # name under which all other classes are counted


@dataclass(slots=True)
class ClassCounts:
    """Counts of the ended requests of a class, and the sums of their priority weights.

    Attributes:
        ended: All ended requests.
        served: Requests that were served.
        late: Served requests that missed their latency objective.
        rejected: Rejected requests: a retry is harmless.
        failed: Requests that failed.
        cancelled: Requests that their clients cancelled or whose clients disconnected.
        attempts: Attempts made for all of them.
        priority_weight: Sum of the priority weights of all requests, except those that their clients ended
            within the objective.
        weight_in_time: Sum of the priority weights of the requests served within the objective.
    """

    ended: int = 0
    served: int = 0
    late: int = 0
    rejected: int = 0
    failed: int = 0
    cancelled: int = 0
    attempts: int = 0
    priority_weight: float = 0.0
    weight_in_time: float = 0.0


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

    def record_end(
        self, class_name: str, result: str, attempts: int, priority_weight: float, in_time: bool
    ) -> None:
        """Count a request's end.

        A request that its client cancelled after the latency objective counts as not served in time.  One
        that was cancelled earlier adds no priority weight.

        Args:
            class_name: The request's class.
            result: "served", "refused", "failed" or "gone".
            attempts: Number of attempts made for it.
            priority_weight: The priority weight of its class.
            in_time: It ended within its latency objective.
        """
        counts = self.counts_of(class_name)
        counts.ended += 1
        counts.attempts += attempts
        if result == "served":
            counts.served += 1
            counts.late += not in_time
        elif result == "refused":
            counts.rejected += 1
        elif result == "failed":
            counts.failed += 1
        else:
            counts.cancelled += 1
            if in_time:
                return
        counts.priority_weight += priority_weight
        if result == "served" and in_time:
            counts.weight_in_time += priority_weight

    def as_json(self) -> dict[str, dict[str, float]]:
        """All counts by class.  The keys are on the wire of the control address."""
        return {
            class_name: {
                "asked": counts.ended,
                "served": counts.served,
                "late": counts.late,
                "refused": counts.rejected,
                "failed": counts.failed,
                "gone": counts.cancelled,
                "attempts": counts.attempts,
                "worth": round(counts.priority_weight, 3),
                "in_time": round(counts.weight_in_time, 3),
            }
            for class_name, counts in self.classes.items()
        }
