"""One server as this router knows it: a cache, a parent or the origin.

An ``Endpoint`` holds what the list of servers says and what this router has measured.  What follows from it
is decided elsewhere: ejection in ``outlier_ejection``, warm-up budgets in ``slow_start``, order in
``cache_selection`` and ``fill_sources``.
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

# Without new samples a score moves half of its way to the average in this time: slow servers are tried again
SCORE_HALF_LIFE_NS: Final = 4 * SECOND_NS
UTILIZATION_GAIN: Final = 0.05  # weight of a new load report in the mean utilisation
# Reports of load move at most so many times the objects to a server, or from it
MAX_LOAD_PREFERENCE: Final = 4.0
ENDPOINT_GAIN: Final = 0.3  # weight of a new sample in one server's figures, of which a router sees few
WORK_SPAN_NS: Final = 4 * SECOND_NS  # offered or completed work of this long ago counts 1/e
MAX_COLD_UTILIZATION: Final = 0.7  # how busy a cold cache may get by its reports ...
MIN_COLD_UTILIZATION: Final = 0.25  # ... of which a lower one counts as this much
LONG_AGO_NS: Final = 10**15  # further back than any rule looks: 11 days


class Endpoint:
    """One server: its line of the list, and what its answers and reports tell.

    Attributes:
        server: Its line of the list.
        is_listed: True while the list has it.
        outlier_state: Whether it is ejected, and when it gets its next trial request.
        hash_seed: What makes its rendezvous scores its own; the same at every router.
        started_ns: Its last start, by the list, or inferred.
        at_capacity_until_ns: Until then it is asked last, as it has rejected a request of this router.
        requests_in_flight: Attempts of this router that are out at it.
        requests_awaiting_fill: Those of them that wait for their fill source, and so take no capacity of its
            own.
        last_hit_sent_ns: When the latest request was sent that it has answered from its own copy.
        fills_requested: Fills that this router has asked it for as a parent.
        log_first_byte_ns: Natural logarithm of its time to the first byte, in nanoseconds; fills that failed
            or are overdue count as slow ones.
        first_byte_updated_ns: When that figure last changed.
        slowdown: Its answer times over what they take at the least: see ``LatencyModel.record_latency``.
        work_sent: Transfer times of what was sent to it of late.
        work_completed: Transfer times of what it has answered.
        utilization: How busy it reports to be, 1 for fully.
        mean_utilization: The same over a while.
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
        self.work_completed = DecayingSum(WORK_SPAN_NS)
        self.utilization = 1.0
        self.mean_utilization = MeanDeviation(1.0, UTILIZATION_GAIN)

    @property
    def is_ejected(self) -> bool:
        """True while it gets trial requests only."""
        return self.outlier_state.is_ejected

    def warm_fraction(self, now_ns: int, rules: Rules) -> float:
        """Return the share of its capacity that the server has at the least, 1 once it is warm.

        A server is cold at its start and while it is ejected, and warms up linearly in the stated time.  The
        origin keeps nothing and so is never cold.
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
        """Record a start, listed or inferred: work completed before does not show what it can do now."""
        if at_ns > self.started_ns:
            self.work_completed = DecayingSum(WORK_SPAN_NS)
        self.started_ns = at_ns

    def spare_capacity(self, now_ns: int) -> float:
        """Return the transfer time per unit of time that it can give this router at ``MAX_COLD_UTILIZATION``.

        The figure follows from what it has completed of late and how busy it was with that.
        """
        completed = self.work_completed.value_at(now_ns)
        return completed / WORK_SPAN_NS * MAX_COLD_UTILIZATION / max(self.utilization, MIN_COLD_UTILIZATION)

    def load_preference(self, zone_mean: float, min_utilization: float) -> float:
        """Return how much more it should get, as it reports to be less busy than the zone's mean.

        Utilisations under ``min_utilization`` are alike: to move objects to the idlest server costs their
        copies, and a server without copies is idle for that very reason.
        """
        preference = 1.0
        if self.mean_utilization.sample_count:
            utilization = max(self.mean_utilization.mean, min_utilization)
            preference = (max(zone_mean, min_utilization) / utilization) ** 2
        return min(MAX_LOAD_PREFERENCE, max(1 / MAX_LOAD_PREFERENCE, preference))

    def latency_score(self, now_ns: int, average_log_ns: float) -> float:
        """Return its time to the first byte over its weight; without new samples, that nears the average.

        Args:
            now_ns: The time.
            average_log_ns: The logarithm of the average time to the first byte of its peers.
        """
        own_share = 0.0
        if self.log_first_byte_ns.sample_count:
            own_share = 0.5 ** ((now_ns - self.first_byte_updated_ns) / SCORE_HALF_LIFE_NS)
        own_log_ns = self.log_first_byte_ns.mean
        return math.exp(average_log_ns + own_share * (own_log_ns - average_log_ns)) / self.server.weight

    def record_first_byte(self, now_ns: int, time_ns: float) -> None:
        """Take in one time to the first byte."""
        self.log_first_byte_ns.add(math.log(max(time_ns, MS)))
        self.first_byte_updated_ns = now_ns

    def available_capacity(self, now_ns: int, rules: Rules) -> float:
        """Return the transfers that it can carry now, by the list's weight."""
        if self.is_ejected:
            return 0.0
        return self.server.weight * self.warm_fraction(now_ns, rules)

    def rendezvous_rank(self, object_hash: int, weight: float) -> float:
        """Return its weighted rendezvous score for an object: the largest one is the object's home."""
        return weight * rendezvous_score(object_hash ^ self.hash_seed)
