"""Which of several replicas is called, and when the next one is.  Pure.

Each follower has an order of its own among the addresses, by its seed, and its home is the first: so a
fleet is spread evenly, and so are those who leave a dead replica.  After a failure (silence, a refusal, a
stale or a late state) it moves to the next address: soon, at a random moment, so that a dead replica's
followers do not arrive together.  Once all have failed, calls are made at the pace of AGAIN_NS, however
long that lasts.  Away from home it goes back after a while: else a replica that was restarted would stay
without followers.

Times are nanoseconds; the time is an argument.
"""

from __future__ import annotations

from random import Random

MS = 1_000_000
SECOND = 1_000 * MS
MAX_FIRST_RETRY_DELAY_NS = 100 * MS  # the first failures: the next address is called within this
RETRY_PERIOD_NS = 1_000 * MS  # once all have failed: between two calls, half of it more or less by chance
RETURN_HOME_NS = 60 * SECOND  # away from home: it is tried again after this, half of it more or less

Address = tuple[str, int]


class UpstreamSelector:
    """One follower's choice of a replica."""

    def __init__(self, addresses: tuple[Address, ...], seed: int) -> None:
        """At least one address; ``seed``: another for each follower."""
        self.random = Random(seed)
        self.addresses = list(addresses)
        self.random.shuffle(self.addresses)
        self.home_index = self.current_index = 0
        self.consecutive_failures = 0
        self.home_at_ns = 0  # away from home: when it is tried again

    @property
    def current_address(self) -> Address:
        """The address to call."""
        return self.addresses[self.current_index]

    def around(self, span_ns: int) -> int:
        """A time of half of it more or less, by chance."""
        return span_ns // 2 + int(self.random.random() * span_ns)

    def short_random_delay_ns(self) -> int:
        """A short time by chance, so that many do not call together, in ns."""
        return int(self.random.random() * MAX_FIRST_RETRY_DELAY_NS)

    def record_failure(self, now: int) -> int:
        """Move to the next address: how long to wait before it is called, in ns."""
        self.consecutive_failures += 1
        self.current_index = (self.current_index + 1) % len(self.addresses)
        self.home_at_ns = now + self.around(RETURN_HOME_NS)
        if self.consecutive_failures < len(self.addresses):
            return self.short_random_delay_ns()
        return self.around(RETRY_PERIOD_NS)

    def record_success(self, now: int) -> bool:
        """A good answer came: whether the next call goes to another address, which is home."""
        self.consecutive_failures = 0
        if self.current_index == self.home_index or now < self.home_at_ns:
            return False
        self.current_index = self.home_index
        return True
