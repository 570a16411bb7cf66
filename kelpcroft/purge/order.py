"""One order of purges for the whole fleet: a hybrid logical clock with a bound on how far clocks may differ.

A stamp is the wall clock in milliseconds, or the largest stamp seen if that is ahead, with a counter that
keeps stamps of one millisecond apart; the router's number settles what is left.  A purge made after another
was heard of is always ordered after it, whatever the clocks say (Kulkarni et al., "Logical Physical
Clocks", 2014).
"""

from __future__ import annotations

from typing import NamedTuple

MS = 1_000_000
MAX_CLOCK_LEAD_MS = 5_000  # a stamp further ahead of the own clock is refused: twice two seconds, and some
MAX_COUNTER = 0xFFFF


class PurgeStamp(NamedTuple):
    """A place in the order; tuples compare as the order is."""

    ms: int  # Unix milliseconds, of the clock or of what was heard
    counter: int
    router: int


class ClockAheadError(ValueError):
    """A stamp from a clock that is too far ahead; taking it would drag the whole fleet's order along.

    Attributes:
        lead_ms: how far it is ahead of the own clock.
    """

    def __init__(self, lead_ms: int) -> None:
        super().__init__(f"a stamp {lead_ms} ms ahead of this clock; {MAX_CLOCK_LEAD_MS} at the most")
        self.lead_ms = lead_ms


class HybridClock:
    """The clock of one router.  Its stamps only grow, whatever the wall clock does."""

    def __init__(self, router: int) -> None:
        """Begin before any stamp.

        Args:
            router: another number for each router.
        """
        self.router = router
        self.last = PurgeStamp(0, 0, router)

    def next_stamp(self, now_ns: int) -> PurgeStamp:
        """A stamp for a purge that is made here now."""
        wall_ms = now_ns // MS
        if wall_ms > self.last.ms:
            self.last = PurgeStamp(wall_ms, 0, self.router)
        elif self.last.counter < MAX_COUNTER:
            self.last = PurgeStamp(self.last.ms, self.last.counter + 1, self.router)
        else:
            self.last = PurgeStamp(self.last.ms + 1, 0, self.router)
        return self.last

    def observe(self, now_ns: int, stamp: PurgeStamp) -> None:
        """Another router's stamp: what is made here from now on comes after it.

        Raises:
            ClockAheadError: it is further ahead of the own clock than ``MAX_CLOCK_LEAD_MS``; nothing of it is
                taken.
        """
        lead_ms = stamp.ms - now_ns // MS
        if lead_ms > MAX_CLOCK_LEAD_MS:
            raise ClockAheadError(lead_ms)
        if (stamp.ms, stamp.counter) > (self.last.ms, self.last.counter):
            self.last = PurgeStamp(stamp.ms, stamp.counter, self.router)
