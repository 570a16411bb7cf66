"""State that this router keeps of one server: a cache, a parent or the origin.

An ``Endpoint`` holds the server's row of the endpoint list and the measurements of this router.  Decisions
that use them are made in other modules: ejection in ``outlier_ejection``, budgets during warm-up in
``slow_start``, ranking in ``cache_selection`` and ``fill_sources``.
"""

from __future__ import annotations

import math
from hashlib import blake2b
from typing import Final

from kelpcroft.decision.events import Role, Server
from kelpcroft.decision.outlier_state import OutlierState
from kelpcroft.decision.settings import Rules
from kelpcroft.decision.statistics import DecayingSum, MeanDeviation, SlidingWindowSum, rendezvous_score
from kelpcroft.decision.units import MS, SECOND_NS

# Time in which a score without new samples moves halfway to the average, so that slow servers receive
# requests again
SCORE_HALF_LIFE_NS: Final = 4 * SECOND_NS
UTILIZATION_GAIN: Final = 0.05  # weight of a new load report in the mean utilization
# Largest factor by which load reports raise a server's share of the objects, or lower it
MAX_LOAD_PREFERENCE: Final = 4.0
# Weight of a new sample in the running means of one server, of which one router receives few samples
ENDPOINT_GAIN: Final = 0.3
WORK_TIME_CONSTANT_NS: Final = 4 * SECOND_NS  # offered or completed work of this age counts 1/e
MAX_COLD_UTILIZATION: Final = 0.7  # highest reported utilization up to which a cold cache is loaded
MIN_COLD_UTILIZATION: Final = 0.25  # a lower reported utilization of a cold cache counts as this value
LONG_AGO_NS: Final = 10**15  # 11 days, longer than the interval of any rule


class Endpoint:
    """One server: its row of the endpoint list, and measurements from its responses and load reports.

    Attributes:
        server: The server's row of the endpoint list.
        is_listed: True while the server is in the endpoint list.
        outlier_state: Whether the server is ejected, and when it receives its next trial request.
        hash_seed: The seed of the server's rendezvous scores, the same at every router.
        started_ns: The last start of the server, listed or inferred.
        at_capacity_until_ns: The time until which the server ranks last, as it has rejected a request of this
            router.
        requests_in_flight: The number of this router's attempts in flight at the server.
        requests_awaiting_fill: The number of those attempts that wait for their fill source, and so use none
            of the server's own capacity.
        last_hit_sent_ns: When the latest request was sent that the server served from its own copy.
        fills_requested: The number of fills that this router has requested from the server as a parent.
        log_first_byte_ns: Natural logarithm of the server's time to first byte, in nanoseconds; fills that
            failed or are overdue count as slow ones.
        first_byte_updated_ns: When ``log_first_byte_ns`` last changed.
        slowdown: Response time as a multiple of the expected minimum: see ``LatencyModel.record_latency``.
        work_sent: Transfer time of the requests sent to the server within a recent window.
        work_completed: Transfer time of the requests that the server has completed, decaying with time.
        utilization: The last reported utilization; 1 is full.
        mean_utilization: The running mean of the reported utilization.
    """

    def __init__(self, server: Server) -> None:
        self.server = server
        self.is_listed = True
        self.outlier_state = OutlierState()
        self.hash_seed = int.from_bytes(blake2b(server.name.encode(), digest_size=8).digest(), "big")
        self.started_ns = server.started_ns or -LONG_AGO_NS
        self.at_capacity_until_ns = 0
        self.requests_in_flight = 0
        self.requests_awaiting_fill = 0
        self.last_hit_sent_ns = 0
        self.fills_requested = 0
        self.log_first_byte_ns = MeanDeviation(0.0, ENDPOINT_GAIN)
        self.first_byte_updated_ns = 0
        self.slowdown = MeanDeviation(1.0, ENDPOINT_GAIN)
        self.work_sent = SlidingWindowSum()
        self.work_completed = DecayingSum(WORK_TIME_CONSTANT_NS)
        self.utilization = 1.0
        self.mean_utilization = MeanDeviation(1.0, UTILIZATION_GAIN)

    @property
    def is_ejected(self) -> bool:
        """True while the server receives only trial requests."""
        return self.outlier_state.is_ejected

    def warm_fraction(self, now_ns: int, rules: Rules) -> float:
        """Return the minimum share of its capacity that the server has now, which is 1 once it is warm.

        A server is cold when it starts and while it is ejected, and warms up linearly within the warm-up time
        of the rules.  The origin has no cache and so is never cold.
        """
        role = self.server.role
        if role is Role.PARENT:
            cold_share = rules.parent_cold_capacity_share
            warm_up_ns = rules.parent_warm_up_ns
        else:
            cold_share = rules.cold_capacity_share
            warm_up_ns = rules.warm_up_ns
        if role is Role.ORIGIN or not (self.is_ejected or now_ns - self.started_ns < warm_up_ns):
            return 1.0
        if self.is_ejected:
            return cold_share
        return cold_share + (1 - cold_share) * max(0, now_ns - self.started_ns) / warm_up_ns

    def record_restart(self, at_ns: int) -> None:
        """Record a start, listed or inferred; work completed before it does not show current capacity."""
        if at_ns > self.started_ns:
            self.work_completed = DecayingSum(WORK_TIME_CONSTANT_NS)
        self.started_ns = at_ns

    def spare_capacity(self, now_ns: int) -> float:
        """Return this router's work per unit of time at which the server reaches ``MAX_COLD_UTILIZATION``.

        Work is measured as transfer time.  The result is derived from the work that the server has recently
        completed and the utilization it reported.
        """
        completed = self.work_completed.value_at(now_ns)
        return (
            completed
            / WORK_TIME_CONSTANT_NS
            * MAX_COLD_UTILIZATION
            / max(self.utilization, MIN_COLD_UTILIZATION)
        )

    def load_preference(self, zone_mean: float, min_utilization: float) -> float:
        """Return the factor on the server's weight, above 1 if its utilization is below the zone's mean.

        Utilizations under ``min_utilization`` count as equal: moving objects to the least busy server loses
        their copies, and a server without copies is idle precisely because it has none.
        """
        preference = 1.0
        if self.mean_utilization.sample_count:
            utilization = max(self.mean_utilization.mean, min_utilization)
            preference = (max(zone_mean, min_utilization) / utilization) ** 2
        return min(MAX_LOAD_PREFERENCE, max(1 / MAX_LOAD_PREFERENCE, preference))

    def latency_score(self, now_ns: int, average_log_ns: float) -> float:
        """Return the time to first byte divided by the weight; it nears the average without new samples.

        Args:
            now_ns: The time.
            average_log_ns: The mean logarithm of the time to first byte of the ranked servers.
        """
        own_share = 0.0
        if self.log_first_byte_ns.sample_count:
            own_share = 0.5 ** ((now_ns - self.first_byte_updated_ns) / SCORE_HALF_LIFE_NS)
        own_log_ns = self.log_first_byte_ns.mean
        return math.exp(average_log_ns + own_share * (own_log_ns - average_log_ns)) / self.server.weight

    def record_first_byte(self, now_ns: int, time_ns: float) -> None:
        """Record one time to first byte."""
        self.log_first_byte_ns.add(math.log(max(time_ns, MS)))
        self.first_byte_updated_ns = now_ns

    def available_capacity(self, now_ns: int, rules: Rules) -> float:
        """Return the number of parallel transfers that the server has capacity for now, from its weight."""
        if self.is_ejected:
            return 0.0
        return self.server.weight * self.warm_fraction(now_ns, rules)

    def hash_score(self, object_hash: int, weight: float) -> float:
        """Return the weighted rendezvous score for an object; the object's home has the highest score."""
        return weight * rendezvous_score(object_hash ^ self.hash_seed)
