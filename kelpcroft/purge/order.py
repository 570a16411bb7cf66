"""One order of purges for the whole fleet: a hybrid logical clock with a bound on how far clocks may differ.

A stamp is the wall clock in milliseconds, or the largest stamp seen if that is ahead, with a counter that
keeps stamps of one millisecond apart; the router's number settles what is left.  A purge made after another
was heard of is always ordered after it, whatever the clocks say (Kulkarni et al., "Logical Physical
Clocks", 2014).
"""

from __future__ import annotations

from typing import NamedTuple

MS = 1_000_000
AHEAD_MS = 5_000  # a stamp further ahead of the own clock is refused: twice two seconds, and some
COUNTER_MOST = 0xFFFF


class Stamp(NamedTuple):
    """A place in the order; tuples compare as the order is."""

    ms: int  # Unix milliseconds, of the clock or of what was heard
    counter: int
    router: int


class Ahead(ValueError):
    """A stamp from a clock that is too far ahead; taking it would drag the whole fleet's order along."""


class HybridClock:
    """The clock of one router.  Its stamps only grow, whatever the wall clock does."""

    def __init__(self, router: int) -> None:
        self.router = router
        self.last = Stamp(0, 0, router)

    def next(self, now_ns: int) -> Stamp:
        """A stamp for a purge that is made here now."""
        wall = now_ns // MS
        if wall > self.last.ms:
            self.last = Stamp(wall, 0, self.router)
        elif self.last.counter < COUNTER_MOST:
            self.last = Stamp(self.last.ms, self.last.counter + 1, self.router)
        else:
            self.last = Stamp(self.last.ms + 1, 0, self.router)
        return self.last

    def heard(self, now_ns: int, stamp: Stamp) -> None:
        """Another router's stamp: what is made here from now on comes after it.  Raises Ahead for one further
        ahead of the own clock than AHEAD_MS, and takes nothing of it."""
        if stamp.ms - now_ns // MS > AHEAD_MS:
            raise Ahead(f"a stamp {stamp.ms - now_ns // MS} ms ahead of this clock; {AHEAD_MS} at the most")
        if (stamp.ms, stamp.counter) > (self.last.ms, self.last.counter):
            self.last = Stamp(stamp.ms, stamp.counter, self.router)
