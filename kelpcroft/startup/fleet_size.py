"""Estimate of the actual number of routers in the zone, from the reports of the zone's caches.  Pure.

The settings state how many routers a zone has, and from that number each router computes its share of a cold
server's capacity.  After a power cut a tenth of them may run, or twice as many during a change.  A cache's
report states how many requests of all routers it holds (``outstanding``).  This router counts how many of
them are its own.  Over all caches and some seconds, the quotient is the number of routers with this router's
load:

    routers = sum(reported) / sum(own)

So each router spends a share in proportion to its load, and the sum is the capacity for one zone, however
many routers there are and however uneven their load.  An estimate above the settings' number is used as it
is.  A lower one is multiplied by ``FEWER_ROUTERS_MARGIN``, because reports are late and a burst from other
routers may be in flight.
"""

from __future__ import annotations

import math

from kelpcroft.decision.statistics import DecayingSum

TIME_CONSTANT_NS = 4 * 10**9  # a report's weight falls to 1/e in this time
MIN_REPORTS = 4.0  # the estimate is used from this many reports, decayed
MIN_DIFFERENCE = 1.25  # the settings' number is used unless the estimate differs by this factor
FEWER_ROUTERS_MARGIN = 1.5  # an estimate below the settings' number is multiplied by this
MAX_DIFFERENCE = 16.0  # the estimate is at most this many times the settings' number, and at least 1/16 of it
MAX_PLAUSIBLE_REPORT = 1e6  # no cache holds this many requests
ROUNDING_SLACK = 1e-6  # a quotient above a whole number by at most this is that number


class FleetSizeEstimator:
    """Estimates the number of routers of one zone."""

    def __init__(self, configured_routers: int) -> None:
        """Creates an estimator without reports.

        Args:
            configured_routers: The zone's routers according to the settings.
        """
        self._configured_routers = max(1, configured_routers)
        self._reported_requests = DecayingSum(TIME_CONSTANT_NS)  # requests at caches, of all routers
        self._own_requests = DecayingSum(TIME_CONSTANT_NS)  # this router's requests among them
        self._reports = DecayingSum(TIME_CONSTANT_NS)

    def record_report(self, now: int, reported_requests: float, own_requests: int) -> None:
        """Records a cache's report of the requests that it holds, and how many of them are this router's.

        An impossible report is ignored.  A report below this router's own number dates from before those
        requests arrived, and counts as that number.
        """
        if own_requests > 0 and 0 <= reported_requests < MAX_PLAUSIBLE_REPORT:
            self._reported_requests.add(now, max(reported_requests, float(own_requests)))
            self._own_requests.add(now, own_requests)
            self._reports.add(now, 1.0)

    def estimated_routers(self, now: int) -> int:
        """Returns the number of routers from which this router computes its share."""
        own_requests = self._own_requests.value_at(now)
        if own_requests <= 0 or self._reports.value_at(now) < MIN_REPORTS:
            return self._configured_routers
        estimate = self._reported_requests.value_at(now) / own_requests
        estimate = min(
            MAX_DIFFERENCE * self._configured_routers,
            max(self._configured_routers / MAX_DIFFERENCE, estimate),
        )
        if estimate > MIN_DIFFERENCE * self._configured_routers:
            return math.ceil(estimate - ROUNDING_SLACK)
        with_margin = FEWER_ROUTERS_MARGIN * estimate
        if with_margin * MIN_DIFFERENCE < self._configured_routers:
            return max(1, math.ceil(with_margin))
        return self._configured_routers
