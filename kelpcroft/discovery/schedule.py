"""Schedule of a router's watch requests to the list service: at start, after responses and failures.  Pure.

A watch request costs little for one router, but much when hundreds of routers send it in the same instant.
No process counts the requests of a fleet.  So where the operator's file sets a budget, ``requests_per_s`` for
all routers together, each router keeps to its own share:

- the first request is sent after a random delay within the fleet's cycle, ``routers / requests_per_s``, at
  most ``MAX_FIRST_REQUEST_DELAY_NS``; until then the router uses the endpoint list that it already has;
- a first failed request is repeated after a random 0 to 1 cycle, each further one after 0.5 to 1.5 cycles
  (jitter).  So an unresponsive service receives ``requests_per_s`` from the whole fleet on average, whatever
  the fleet's size and however long the outage lasts.  After it, all routers have returned within 1.5 cycles
  and never all at the same time.  A Retry-After is respected, up to ``MAX_RETRY_AFTER_NS``;
- a response is followed immediately by the next request, because the grace periods of events begin when the
  service has them;
- the wait of a request grows with the fleet's cycle (1 to 4 s); nothing else bounds the requests of a fleet
  without events;
- a response that arrives early without new events counts as a failure; it would otherwise be requested in a
  tight loop.

The budget and the rules conflict: while a request is delayed, the router receives the service's events late,
by at most ``max_delay_ns``.  Rules on drains and purges whose grace period starts when the service has the
event require that delay to be shorter than the grace period.  So without a budget none of this applies: a
request is sent immediately, a failed one is repeated immediately, and then after 25 to 400 ms, doubling.
"""

from __future__ import annotations

from collections.abc import Callable

MS = 1_000_000
SECOND = 1_000 * MS
SECOND_RETRY_DELAY_NS = 25 * MS  # without a budget: after a second failure; doubles with each further one
MAX_RETRY_DELAY_NS = 400 * MS  # without a budget: longest delay after a failure
MAX_DOUBLINGS = 8  # after more doublings the delay exceeds its bound anyway
MIN_EVENT_WAIT_MS = 1_000  # shortest wait of a watch request for new events
MAX_EVENT_WAIT_MS = 4_000  # longest wait of a watch request for new events
MAX_FIRST_REQUEST_DELAY_NS = 5 * SECOND  # the first request is sent by then, whatever the fleet's size
MAX_RETRY_CYCLES = 1.5  # a failed request is repeated within this many cycles
MAX_RETRY_AFTER_NS = 30 * SECOND  # a longer Retry-After is cut to this
FREE_WASTED_BYTES = 256 << 10  # a response without progress up to this size adds no delay
WASTED_BYTES_PER_S = 64 << 10  # a larger one adds the time that it would take at this rate
MAX_WASTE_DELAY_NS = 60 * SECOND  # longest such delay: a recovered service receives a request by then


class DiscoverySchedule:
    """One router's share of the watch requests to the list service.

    Attributes:
        has_budget: Whether the operator's file sets a budget.
        cycle_ns: The time in which each router of the fleet may send one request; 0 without a budget.
        consecutive_failures: Failed requests since the last response.
    """

    def __init__(self, routers: int, seed: int, requests_per_s: float = 0.0) -> None:
        """Creates the schedule before the first request.

        Args:
            routers: Number of routers in the fleet.
            seed: A different number for each router and each of its starts.
            requests_per_s: Budget of the whole fleet; 0 means no budget.
        """
        self.seed = seed
        self.random: Callable[[], float] | None = None
        self.consecutive_failures = 0
        self.has_budget = False
        self.cycle_ns = 0
        self.set_budget(routers, requests_per_s)

    def set_budget(self, routers: int, requests_per_s: float) -> None:
        """Sets another budget from the operator's file; 0 requests a second means no budget."""
        self.has_budget = requests_per_s > 0
        if self.has_budget and self.random is None:
            from random import Random  # imported only where a file sets a budget

            self.random = Random(self.seed).random
        self.cycle_ns = int(max(1, routers) / requests_per_s * SECOND) if self.has_budget else 0

    @property
    def max_delay_ns(self) -> int:
        """The longest delay of the first new event after an outage."""
        return int(MAX_RETRY_CYCLES * self.cycle_ns) if self.has_budget else MAX_RETRY_DELAY_NS

    def random_delay_ns(self, max_ns: int) -> int:
        """Returns a uniformly random duration up to ``max_ns``; 0 without a budget."""
        return int(self.random() * max_ns) if self.random else 0

    def first_request_delay_ns(self) -> int:
        """Returns how long after its start the router sends its first request."""
        return self.random_delay_ns(min(self.cycle_ns, MAX_FIRST_REQUEST_DELAY_NS))

    def event_wait_ms(self) -> int:
        """Returns how long a request waits for new events."""
        return min(MAX_EVENT_WAIT_MS, max(MIN_EVENT_WAIT_MS, self.cycle_ns // MS))

    def record_success(self) -> None:
        """Records a response: the next request may be sent immediately."""
        self.consecutive_failures = 0

    def record_failure(self, retry_after_ns: int = 0, wasted_bytes: int = 0) -> int:
        """Records a failed request.

        Args:
            retry_after_ns: The response's Retry-After; 0 where it has none.
            wasted_bytes: Size of a response that did not advance the router's position.  A response that is
                permanently too long would otherwise be requested in an endless loop.

        Returns:
            How long to wait before the next request, in ns.
        """
        self.consecutive_failures += 1
        waste_delay_ns = 0
        if wasted_bytes > FREE_WASTED_BYTES:
            waste_delay_ns = min(MAX_WASTE_DELAY_NS, wasted_bytes * SECOND // WASTED_BYTES_PER_S)
        return max(waste_delay_ns, self.retry_delay_ns(retry_after_ns))

    def retry_delay_ns(self, retry_after_ns: int) -> int:
        """Returns how long to wait after a failure, apart from the bytes that it wasted."""
        if not self.has_budget:
            return self._backoff_ns()
        # After a single lost connection, the router sends its next request soon.
        wait_ns = self.random_delay_ns(self.cycle_ns)
        if self.consecutive_failures > 1:
            wait_ns += self.cycle_ns // 2  # spreads the retries of a whole fleet over its cycle
        if retry_after_ns > 0:
            retry_after_delay_ns = min(retry_after_ns, MAX_RETRY_AFTER_NS) + self.random_delay_ns(
                self.cycle_ns
            )
            wait_ns = max(wait_ns, retry_after_delay_ns)
        return wait_ns

    def _backoff_ns(self) -> int:
        """Returns the delay without a budget: 0 at first, then a delay that doubles."""
        if self.consecutive_failures == 1:
            return 0
        doublings = min(self.consecutive_failures - 2, MAX_DOUBLINGS)
        return min(SECOND_RETRY_DELAY_NS << doublings, MAX_RETRY_DELAY_NS)
