"""How many fetches a router may have out at the origin while it begins.  Pure.

Additive increase, multiplicative decrease, as TCP's congestion window.  When caches and parents start empty,
every request is a miss, and parents admit hardly any of it: all routers turn to the origin in the same
second, before the first late answer could tell anyone.  So a router begins with one fetch out at the origin;
the limit goes up by one in a round of answers in good time, and down by half after a late one.  Requests of
uncacheable classes (orders) are never held back, though they count.  Once nothing was late for ``CALM_NS``,
or ``MAX_LIMIT`` were out in time, the limit is lifted for good: past its start a router has better signs than
this one.

Times are Unix nanoseconds; the time is an argument.
"""

from __future__ import annotations

FIRST_LIMIT = 1.0
MAX_LIMIT = 32.0  # so many out in time: nothing is bounded any more
CALM_NS = 10 * 10**9  # nothing late for so long, and much was asked: the same
MIN_CALM_RESPONSES = 20  # in that time
LATE_SHARE = 2 / 3  # of a class's latency objective: a wait for the origin beyond it is late


class OriginConcurrencyLimit:
    """The limit of one router.

    Attributes:
        limit: how many may be out.
        in_flight: how many are out.
        is_lifted: nothing is bounded any more.
    """

    def __init__(self, now: int) -> None:
        """Begin with one."""
        self.limit = FIRST_LIMIT
        self.in_flight = 0
        self.is_lifted = False
        self._reduced_ns = 0  # when the limit last went down
        self._last_late_ns = now
        self._in_time = 0  # answers since one was late

    def has_capacity(self) -> bool:
        """Whether one more may go out."""
        return self.is_lifted or self.in_flight < self.limit

    def is_late(self, wait_ns: float, objective_ns: int) -> bool:
        """Whether a wait for the origin was too long for a class's latency objective."""
        return wait_ns > LATE_SHARE * objective_ns

    def record_sent(self) -> None:
        """One more is out."""
        self.in_flight += 1

    def record_finished(self, now: int, sent_ns: int, late: bool | None) -> None:
        """One is not out any more.

        Args:
            now: Unix ns, as ``sent_ns``.
            sent_ns: when it went out.  What was sent before the limit last went down says nothing of its
                effect.
            late: whether it took too long; None where that does not tell.
        """
        self.in_flight = max(0, self.in_flight - 1)
        if late is None or self.is_lifted:
            return
        if late:
            self._record_late(now, sent_ns)
        else:
            self._record_in_time(now)

    def _record_late(self, now: int, sent_ns: int) -> None:
        self._last_late_ns = now
        self._in_time = 0
        if sent_ns >= self._reduced_ns:
            self.limit = max(1.0, self.limit / 2)
            self._reduced_ns = now

    def _record_in_time(self, now: int) -> None:
        self._in_time += 1
        self.limit += 1 / self.limit
        is_calm = now - self._last_late_ns >= CALM_NS and self._in_time >= MIN_CALM_RESPONSES
        self.is_lifted = self.limit >= MAX_LIMIT or is_calm
