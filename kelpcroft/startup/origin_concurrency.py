"""Limit on the fetches that a router may have in flight to the origin while it starts.  Pure.

Additive increase, multiplicative decrease, as in TCP's congestion window.  When caches and parents start
empty, every request is a miss, and parents admit hardly any of them.  All routers then turn to the origin in
the same second, before any of them has received a late response.  So a router starts with one fetch in flight
to the origin.  The limit rises by one per round of responses in time, and halves after a late one.  Requests
of uncacheable classes (orders) are never held back, but they count.  The limit is lifted permanently once
nothing was late for ``LIFT_AFTER_NS``, or once it has reached ``MAX_LIMIT``: after its start a router has
better signals than this one.

Times are Unix nanoseconds; the time is an argument.
"""

from __future__ import annotations

FIRST_LIMIT = 1.0  # fetches in flight at the start
MAX_LIMIT = 32.0  # the limit is lifted when it reaches this
LIFT_AFTER_NS = 10 * 10**9  # the limit is lifted after this long without a late response
MIN_RESPONSES_TO_LIFT = 20  # this many responses in time since the last late one are required too
LATE_SHARE = 2 / 3  # a wait for the origin above this share of the class's latency objective is late


class OriginConcurrencyLimit:
    """The limit of one router.

    Attributes:
        limit: How many fetches may be in flight.
        in_flight: How many fetches are in flight.
        is_lifted: Whether the limit no longer applies.
    """

    def __init__(self, now: int) -> None:
        """Starts with a limit of one."""
        self.limit = FIRST_LIMIT
        self.in_flight = 0
        self.is_lifted = False
        self._reduced_ns = 0  # when the limit was last reduced
        self._last_late_ns = now
        self._responses_in_time = 0  # responses since the last late one

    def has_capacity(self) -> bool:
        """Returns whether one more fetch may be sent."""
        return self.is_lifted or self.in_flight < self.limit

    def is_late(self, wait_ns: float, objective_ns: int) -> bool:
        """Returns whether a wait for the origin was too long for a class's latency objective."""
        return wait_ns > LATE_SHARE * objective_ns

    def record_sent(self) -> None:
        """Records a fetch that is in flight from now on."""
        self.in_flight += 1

    def record_finished(self, now: int, sent_ns: int, was_late: bool | None) -> None:
        """Records a fetch that is no longer in flight.

        Args:
            now: Unix ns, as ``sent_ns``.
            sent_ns: When it was sent.  A fetch sent before the limit was last reduced is no evidence of the
                effect of that reduction.
            was_late: Whether it took too long; None where its duration is no evidence.
        """
        self.in_flight = max(0, self.in_flight - 1)
        if was_late is None or self.is_lifted:
            return
        if was_late:
            self._record_late(now, sent_ns)
        else:
            self._record_in_time(now)

    def _record_late(self, now: int, sent_ns: int) -> None:
        self._last_late_ns = now
        self._responses_in_time = 0
        if sent_ns >= self._reduced_ns:
            self.limit = max(1.0, self.limit / 2)
            self._reduced_ns = now

    def _record_in_time(self, now: int) -> None:
        self._responses_in_time += 1
        self.limit += 1 / self.limit
        is_stable = (
            now - self._last_late_ns >= LIFT_AFTER_NS and self._responses_in_time >= MIN_RESPONSES_TO_LIFT
        )
        self.is_lifted = self.limit >= MAX_LIMIT or is_stable
