"""Which of several replicas is called, and when the next one is.  Pure.

Each follower has an order of its own among the addresses, by its seed, and its home is the first: so a fleet
is spread evenly, and so are those who leave a dead replica.  After a failure (silence, a refusal, a stale or
an outdated state) it moves to the next address: soon, at a random moment, so that a dead replica's followers
do not arrive together.  Once all have failed, calls are made at the pace of ``RETRY_PERIOD_NS``, however long
that lasts.  Away from home it goes back after a while: else a replica that was restarted would stay without
followers.

Times are nanoseconds; the time is an argument.
"""

from __future__ import annotations

from random import Random

MS = 1_000_000
SECOND = 1_000 * MS
MAX_FIRST_RETRY_DELAY_NS = 100 * MS  # while some address has not failed: the next is called within this
RETRY_PERIOD_NS = 1_000 * MS  # once all have failed: between two calls, half of it more or less by chance
RETURN_HOME_NS = 60 * SECOND  # away from home: it is tried again after this, half of it more or less

Address = tuple[str, int]  # host and port


class UpstreamSelector:
    """One follower's choice of the address that it calls."""

    def __init__(self, addresses: tuple[Address, ...], seed: int) -> None:
        """Choose a home among the addresses.

        Args:
            addresses: at least one.
            seed: another for each follower.
        """
        self._random = Random(seed)
        self.addresses = list(addresses)
        self._random.shuffle(self.addresses)
        self.home_index = 0
        self.current_index = 0
        self.consecutive_failures = 0
        self._return_home_ns = 0  # away from home: when it is tried again

    @property
    def current_address(self) -> Address:
        """The address to call."""
        return self.addresses[self.current_index]

    def short_random_delay_ns(self) -> int:
        """A short time by chance, so that many do not call together."""
        return int(self._random.random() * MAX_FIRST_RETRY_DELAY_NS)

    def record_failure(self, now: int) -> int:
        """Move to the next address.

        Returns:
            How long to wait before it is called, in ns.
        """
        self.consecutive_failures += 1
        self.current_index = (self.current_index + 1) % len(self.addresses)
        self._return_home_ns = now + self._jittered(RETURN_HOME_NS)
        if self.consecutive_failures < len(self.addresses):
            return self.short_random_delay_ns()
        return self._jittered(RETRY_PERIOD_NS)

    def record_success(self, now: int) -> bool:
        """A good answer came, and the current address may change.

        Returns:
            Whether the next call goes to another address, which is home.
        """
        self.consecutive_failures = 0
        if self.current_index == self.home_index or now < self._return_home_ns:
            return False
        self.current_index = self.home_index
        return True

    def _jittered(self, span_ns: int) -> int:
        """A time of this length, half of it more or less by chance."""
        return span_ns // 2 + int(self._random.random() * span_ns)
