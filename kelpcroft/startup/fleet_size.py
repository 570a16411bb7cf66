"""How many routers there really are beside this one, by what the zone's caches report.  Pure.

The settings say how many routers a zone has, and each spends its part of a cold server's capacity by that
number.  After a power cut a tenth of them may be there, or twice as many in a change.  A cache's report says
how many requests it holds of all routers (``outstanding``); this router knows how many of them are its own.
Over all caches and some seconds, all of them over its own is the number of routers of its own weight:

    routers = sum(reported) / sum(own)

so what each router takes is in proportion to what it carries, and the sum is what one zone may take however
many they are and however unevenly they are loaded.  More than the settings say counts as it is; fewer counts
with a margin of ``FEWER_ROUTERS_MARGIN``, as reports are late and a burst of others may be on its way.
"""

from __future__ import annotations

import math

from kelpcroft.decision.statistics import DecayingSum

TIME_CONSTANT_NS = 4 * 10**9  # reports count 1/e after so long
MIN_REPORTS = 4.0  # of them, decayed, before they say anything
MIN_DIFFERENCE = 1.25  # the estimate differs from the settings' number by this factor, or counts as it
FEWER_ROUTERS_MARGIN = 1.5  # and counts so many times where there are fewer
MAX_DIFFERENCE = 16.0  # times the settings' number, and as small a part of it
MAX_SANE_REPORT = 1e6  # no cache holds as many requests
ROUNDING_SLACK = 1e-6  # a quotient so little above a whole number is that number


class FleetSizeEstimator:
    """The routers of one zone."""

    def __init__(self, configured_routers: int) -> None:
        """Begin with no report.

        Args:
            configured_routers: routers of the zone by the settings.
        """
        self._configured = max(1, configured_routers)
        self._reported = DecayingSum(TIME_CONSTANT_NS)  # requests at caches, of all routers
        self._own = DecayingSum(TIME_CONSTANT_NS)  # of them, this router's
        self._reports = DecayingSum(TIME_CONSTANT_NS)

    def record_report(self, now: int, reported: float, own: int) -> None:
        """A cache's report of requests held, and how many of this router's were there.

        One that cannot be right says nothing; one under our own number is of before they came.
        """
        if own > 0 and 0 <= reported < MAX_SANE_REPORT:
            self._reported.add(now, max(reported, float(own)))
            self._own.add(now, own)
            self._reports.add(now, 1.0)

    def estimated_routers(self, now: int) -> int:
        """The number to reckon with."""
        own = self._own.value_at(now)
        if own <= 0 or self._reports.value_at(now) < MIN_REPORTS:
            return self._configured
        estimate = self._reported.value_at(now) / own
        estimate = min(MAX_DIFFERENCE * self._configured, max(self._configured / MAX_DIFFERENCE, estimate))
        if estimate > MIN_DIFFERENCE * self._configured:
            return math.ceil(estimate - ROUNDING_SLACK)
        with_margin = FEWER_ROUTERS_MARGIN * estimate
        if with_margin * MIN_DIFFERENCE < self._configured:
            return max(1, math.ceil(with_margin))
        return self._configured
