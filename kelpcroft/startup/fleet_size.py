"""How many routers there really are beside this one, by what the zone's caches report.  Pure.

The settings say how many routers a zone has, and each spends its part of a cold server's room by that number.
After a power cut a tenth of them may be there, or twice as many in a change.  A cache's report says how many
requests it holds of all routers (``outstanding``); this router knows how many of them are its own.  Over all
caches and some seconds, all of them over its own is the number of routers of its own weight:

    routers = sum(reported) / sum(own)

so what each router takes is in proportion to what it carries, and the sum is what one zone may take however
many they are and however unevenly they are loaded.  More than the settings say counts as it is; fewer counts
with a margin of FEWER, as reports are late and a burst of others may be on its way.
"""

from __future__ import annotations

import math

from kelpcroft.decision.statistics import DecayingSum

SPAN_NS = 4 * 10**9  # reports count 1/e after so long
SAMPLES = 4.0  # of them, faded, before they say anything
MORE, FEWER = 1.25, 1.5  # by so much at the least it must differ; and the margin where there are fewer
MOST = 16.0  # times the settings' number, and as small a part of it
INSANE = 1e6  # no cache holds as many requests


class FleetSizeEstimator:
    """The routers of one zone."""

    def __init__(self, said: int) -> None:
        """``said``: routers of the zone by the settings."""
        self.said = max(1, said)
        self.all, self.own, self.seen = DecayingSum(SPAN_NS), DecayingSum(SPAN_NS), DecayingSum(SPAN_NS)

    def record_report(self, now: int, reported: float, own: int) -> None:
        """A cache's report of requests held, and how many of this router's were there.  One that cannot be
        right says nothing; one under our own number is of before they came."""
        if own > 0 and 0 <= reported < INSANE:
            self.all.add(now, max(reported, float(own)))
            self.own.add(now, own)
            self.seen.add(now, 1.0)

    def estimated_routers(self, now: int) -> int:
        """The number to reckon with."""
        own = self.own.value_at(now)
        if own <= 0 or self.seen.value_at(now) < SAMPLES:
            return self.said
        found = min(MOST * self.said, max(self.said / MOST, self.all.value_at(now) / own))
        if found > MORE * self.said:
            return math.ceil(found - 1e-6)
        fewer = FEWER * found
        return max(1, math.ceil(fewer)) if fewer * MORE < self.said else self.said
