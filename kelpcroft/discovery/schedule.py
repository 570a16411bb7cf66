"""When a router calls the list service: at its start, after each answer and after each failure.  Pure.

A call is cheap for one router and dear for hundreds that make it in the same instant.  Nobody counts the
calls of a fleet, so where the operator's file names a budget, ``calls_per_s`` for all routers together, each
keeps to its own part of it:

- the first call comes after a wait by chance within the fleet's cycle, ``routers / calls_per_s``,
  ``MAX_FIRST_CALL_DELAY_NS`` at the most; until then what was known serves;
- a failed call is made again after 0.5 to 1.5 cycles by chance (jitter), so that a dead service hears
  ``calls_per_s`` from the whole fleet on average, however many they are and however long it is dead, and
  after an outage the fleet is back within 1.5 cycles and never at once.  Retry-After is waited for,
  ``MAX_RETRY_AFTER_NS`` at most;
- an answer is followed by the next call at once: what is told next counts from when the service has it;
- a call waits for news the longer the larger the fleet (1 to 4 s), which is all that bounds a fleet at rest;
- an answer that comes at once and brings nothing counts as a failure: it would be asked for in a loop.

Where the budget and the rules pull against each other: while a call is held back, what the service has is
heard late, ``max_delay_ns`` at the most.  Rules on drains and purges that count from when the service has its
news want that under their grace.  So without a budget nothing of this holds: a call is made at once, a failed
one at once and then after 25 to 400 ms, doubling.
"""

from __future__ import annotations

from collections.abc import Callable

MS = 1_000_000
SECOND = 1_000 * MS
SECOND_RETRY_DELAY_NS = 25 * MS  # without a budget: after a second failure in a row, doubling with each ...
MAX_RETRY_DELAY_NS = 400 * MS  # ... up to this
MAX_DOUBLINGS = 8  # past them the delay is over its bound anyway
MIN_NEWS_WAIT_MS = 1_000  # how long a call waits for news
MAX_NEWS_WAIT_MS = 4_000
MAX_FIRST_CALL_DELAY_NS = 5 * SECOND  # the first call is made by then, whatever the fleet
MAX_CYCLES_LATE = 1.5  # a failed call is made again within so many cycles
MAX_RETRY_AFTER_NS = 30 * SECOND  # of Retry-After, so much is waited for at the most
FREE_WASTED_BYTES = 256 << 10  # of a call that brought nothing: no more than this is a mishap ...
WASTED_BYTES_PER_S = 64 << 10  # ... and more is waited for as if it had come at this pace ...
MAX_WASTE_DELAY_NS = 60 * SECOND  # ... so long at the most: a feed that is well again is heard by then


class DiscoverySchedule:
    """One router's part of the calls to the list service.

    Attributes:
        has_budget: the operator's file names one.
        cycle_ns: the time in which each router of the fleet may call once; 0 without a budget.
        consecutive_failures: since the last answer.
    """

    def __init__(self, routers: int, seed: int, calls_per_s: float = 0.0) -> None:
        """Begin before the first call.

        Args:
            routers: how many there are in the fleet.
            seed: another for each router and each of its starts.
            calls_per_s: of the whole fleet; 0 is no budget.
        """
        self.seed = seed
        self.random: Callable[[], float] | None = None
        self.consecutive_failures = 0
        self.has_budget = False
        self.cycle_ns = 0
        self.set_budget(routers, calls_per_s)

    def set_budget(self, routers: int, calls_per_s: float) -> None:
        """Another budget, from the operator's file; 0 calls a second is none."""
        self.has_budget = calls_per_s > 0
        if self.has_budget and self.random is None:
            from random import Random  # not even imported where no file names a budget

            self.random = Random(self.seed).random
        self.cycle_ns = int(max(1, routers) / calls_per_s * SECOND) if self.has_budget else 0

    @property
    def max_delay_ns(self) -> int:
        """How late the first news after an outage may be heard."""
        return int(MAX_CYCLES_LATE * self.cycle_ns) if self.has_budget else MAX_RETRY_DELAY_NS

    def chance(self, max_ns: int) -> int:
        """A time up to so much, any as likely as the next; 0 without a budget."""
        return int(self.random() * max_ns) if self.random else 0

    def first_call_delay_ns(self) -> int:
        """How long after its start the router makes its first call."""
        return self.chance(min(self.cycle_ns, MAX_FIRST_CALL_DELAY_NS))

    def news_wait_ms(self) -> int:
        """How long a call is to wait for news."""
        return min(MAX_NEWS_WAIT_MS, max(MIN_NEWS_WAIT_MS, self.cycle_ns // MS))

    def record_success(self) -> None:
        """An answer has come: the next call may go out at once."""
        self.consecutive_failures = 0

    def record_failure(self, retry_after_ns: int = 0, wasted_bytes: int = 0) -> int:
        """A call has failed.

        Args:
            retry_after_ns: what the service asked for; 0 where it did not.
            wasted_bytes: of an answer that brought the router no further.  One that is too long for ever
                would else be asked for without end.

        Returns:
            How long to wait before the next call, in ns.
        """
        self.consecutive_failures += 1
        waste_delay_ns = 0
        if wasted_bytes > FREE_WASTED_BYTES:
            waste_delay_ns = min(MAX_WASTE_DELAY_NS, wasted_bytes * SECOND // WASTED_BYTES_PER_S)
        return max(waste_delay_ns, self.retry_delay_ns(retry_after_ns))

    def retry_delay_ns(self, retry_after_ns: int) -> int:
        """How long to wait after a failure, whatever the failed call cost."""
        if not self.has_budget:
            return self._backoff_ns()
        wait_ns = self.chance(self.cycle_ns)  # one cut connection is heard of soon
        if self.consecutive_failures > 1:
            wait_ns += self.cycle_ns // 2  # a whole fleet's come again spread over its cycle
        if retry_after_ns > 0:
            asked_ns = min(retry_after_ns, MAX_RETRY_AFTER_NS) + self.chance(self.cycle_ns)
            wait_ns = max(wait_ns, asked_ns)
        return wait_ns

    def _backoff_ns(self) -> int:
        """Without a budget: nothing at first, then a delay that doubles."""
        if self.consecutive_failures == 1:
            return 0
        doublings = min(self.consecutive_failures - 2, MAX_DOUBLINGS)
        return min(SECOND_RETRY_DELAY_NS << doublings, MAX_RETRY_DELAY_NS)
