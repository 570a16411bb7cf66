"""How many fetches a router may have out at the store while it begins.  Pure.

When boxes and hubs start empty, every request is a miss, and hubs admit hardly any of it: all routers turn to
the store in the same second, before the first late answer could tell anyone.  So a router begins with one
fetch out at the store; the bound goes up by one in a round of answers in good time, and down by half after a
late one (additive increase, multiplicative decrease).  Orders are never held back, though they count.  Once
nothing was late for CALM_NS, or OPEN_MOST were out in time, the bound is over for good: past its start a
router has better signs than this one.

Times are Unix nanoseconds; the time is an argument.
"""

from __future__ import annotations

FIRST = 1.0
OPEN_MOST = 32.0  # so many out in time: nothing is bounded any more
CALM_NS = 10 * 10**9  # nothing late for so long, and much was asked: the same
CALM_LEAST = 20  # answers in that time
LATE_SHARE = 2 / 3  # of a class's wanted time: a wait for the store beyond it is late


class OriginConcurrencyLimit:
    """The bound of one router."""

    def __init__(self, now: int) -> None:
        self.limit, self.in_flight, self.is_lifted = FIRST, 0, False
        self.cut_ns, self.late_ns, self.good = 0, now, 0

    def has_capacity(self) -> bool:
        """Whether one more may go out."""
        return self.is_lifted or self.in_flight < self.limit

    def is_late(self, wait_ns: float, wanted_ns: int) -> bool:
        """Whether a wait for the store was too long for a class's wanted time."""
        return wait_ns > LATE_SHARE * wanted_ns

    def record_sent(self) -> None:
        """One more is out."""
        self.in_flight += 1

    def record_finished(self, now: int, sent_ns: int, late: bool | None) -> None:
        """One is not out any more; ``late``: whether it took too long, None where that does not tell.  What
        was sent before the last cut says nothing of its effect."""
        self.in_flight = max(0, self.in_flight - 1)
        if late is None or self.is_lifted:
            return
        if late:
            self.late_ns, self.good = now, 0
            if sent_ns >= self.cut_ns:
                self.limit, self.cut_ns = max(1.0, self.limit / 2), now
            return
        self.good += 1
        self.limit += 1 / self.limit
        self.is_lifted = self.limit >= OPEN_MOST or now - self.late_ns >= CALM_NS and self.good >= CALM_LEAST
