"""Choice of the replica that receives the next watch request, and the delay before it.  Pure.

Each follower shuffles the addresses by its own seed, and its home is the first in that order.  So a fleet is
spread evenly over the replicas, and so are the followers that leave an unreachable replica.  After a failure
(no response, a rejection, a stale or an outdated state) a follower moves to the next address after a short
random delay, so that the followers of an unreachable replica do not arrive together.  Once all addresses have
failed, it sends requests at intervals of about ``RETRY_PERIOD_NS``, for as long as they fail.  A follower
away from its home returns there after a while; otherwise a restarted replica would have no followers.

Times are nanoseconds; the time is an argument.
"""

from __future__ import annotations

from random import Random

MS = 1_000_000
SECOND = 1_000 * MS
MAX_FIRST_RETRY_DELAY_NS = 100 * MS  # longest delay before the next address while some have not failed
RETRY_PERIOD_NS = 1_000 * MS  # mean interval between requests once all have failed; jitter of half of it
RETURN_HOME_NS = 60 * SECOND  # mean time away from home before it is tried again; jitter of half of it

Address = tuple[str, int]  # host and port


class UpstreamSelector:
    """One follower's choice of the address that it follows."""

    def __init__(self, addresses: tuple[Address, ...], seed: int) -> None:
        """Chooses a home among the addresses.

        Args:
            addresses: At least one.
            seed: A different number for each follower.
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
        """The address that receives the watch requests now."""
        return self.addresses[self.current_index]

    def short_random_delay_ns(self) -> int:
        """Returns a short random delay, so that many followers do not send requests together."""
        return int(self._random.random() * MAX_FIRST_RETRY_DELAY_NS)

    def record_failure(self, now: int) -> int:
        """Moves to the next address.

        Returns:
            How long to wait before the request to it, in ns.
        """
        self.consecutive_failures += 1
        self.current_index = (self.current_index + 1) % len(self.addresses)
        self._return_home_ns = now + self._jittered(RETURN_HOME_NS)
        if self.consecutive_failures < len(self.addresses):
            return self.short_random_delay_ns()
        return self._jittered(RETRY_PERIOD_NS)

    def record_success(self, now: int) -> bool:
        """Records a usable response, after which the follower may return to its home.

        Returns:
            Whether the current address has changed to the home.
        """
        self.consecutive_failures = 0
        if self.current_index == self.home_index or now < self._return_home_ns:
            return False
        self.current_index = self.home_index
        return True

    def _jittered(self, mean_ns: int) -> int:
        """Returns a random duration between half and one and a half times ``mean_ns``."""
        return mean_ns // 2 + int(self._random.random() * mean_ns)
