"""Order of purges for the whole fleet: a hybrid logical clock with a bound on the difference between clocks.

A stamp is the wall clock in milliseconds, or the largest received stamp if that is ahead, with a counter that
separates stamps of one millisecond.  The router's number decides between stamps that are equal otherwise.  A
purge made after another one was received is always ordered after it, whatever the clocks show (Kulkarni et
al., "Logical Physical Clocks", 2014).
"""

from __future__ import annotations

from typing import NamedTuple

MS = 1_000_000
# A stamp further ahead of the local clock is rejected: twice two seconds, plus a margin.
MAX_CLOCK_LEAD_MS = 5_000
MAX_COUNTER = 0xFFFF  # after this many further stamps in one millisecond the stamp's time advances


class PurgeStamp(NamedTuple):
    """A position in the order; stamps compare in that order."""

    ms: int  # Unix milliseconds, of the local clock or of a received stamp
    counter: int
    router: int


class ClockAheadError(ValueError):
    """A stamp from a clock that is too far ahead, which would move the whole fleet's order ahead with it.

    Attributes:
        lead_ms: How far it is ahead of the local clock.
    """

    def __init__(self, lead_ms: int) -> None:
        super().__init__(f"stamp {lead_ms} ms ahead of the local clock; at most {MAX_CLOCK_LEAD_MS} allowed")
        self.lead_ms = lead_ms


class HybridClock:
    """The clock of one router.  Its stamps only increase, whatever the wall clock does."""

    def __init__(self, router: int) -> None:
        """Creates a clock that has issued and observed no stamp.

        Args:
            router: A different number for each router.
        """
        self.router = router
        self.last = PurgeStamp(0, 0, router)

    def next_stamp(self, now_ns: int) -> PurgeStamp:
        """Returns a stamp for a purge that this router makes now."""
        wall_ms = now_ns // MS
        if wall_ms > self.last.ms:
            self.last = PurgeStamp(wall_ms, 0, self.router)
        elif self.last.counter < MAX_COUNTER:
            self.last = PurgeStamp(self.last.ms, self.last.counter + 1, self.router)
        else:
            self.last = PurgeStamp(self.last.ms + 1, 0, self.router)
        return self.last

    def observe(self, now_ns: int, stamp: PurgeStamp) -> None:
        """Records another router's stamp, so that the next local stamps are ordered after it.

        Raises:
            ClockAheadError: It is further ahead of the local clock than ``MAX_CLOCK_LEAD_MS``; it is not
                recorded.
        """
        lead_ms = stamp.ms - now_ns // MS
        if lead_ms > MAX_CLOCK_LEAD_MS:
            raise ClockAheadError(lead_ms)
        if (stamp.ms, stamp.counter) > (self.last.ms, self.last.counter):
            self.last = PurgeStamp(stamp.ms, stamp.counter, self.router)
