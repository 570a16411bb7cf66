"""Cache selection: weighted rendezvous hashing with bounded loads.

Each object has one home among the caches of the zone, the same at every router (highest random weight, Thaler
and Ravishankar, 1998).  A cache with many more requests in flight than the zone's mean per weight ranks last
(consistent hashing with bounded loads, Mirrokni et al., 2018), as does a cache that has recently rejected a
request.
"""

from __future__ import annotations

from typing import Final

from kelpcroft.decision.endpoint import MAX_COLD_UTILIZATION, Endpoint
from kelpcroft.decision.idempotency import IdempotencyGuard
from kelpcroft.decision.outlier_ejection import OutlierEjection
from kelpcroft.decision.requests import InFlightRequest
from kelpcroft.decision.router_state import RouterState
from kelpcroft.decision.slow_start import SlowStart

# Requests in flight per weight that a cache may have, as a multiple of the zone's mean
MAX_LOAD_OVER_MEAN: Final = 1.75
# Requests in flight of this router that a cache may always have, so that random variation alone moves no
# object
MIN_REQUESTS_BEFORE_BOUND: Final = 4.0
MIN_COMPARED_UTILIZATION: Final = 0.1  # reported utilizations below this value count as equal
# Slowdown, as a multiple of that of the zone's fastest cache, above which a cache receives fewer objects
MAX_SLOWDOWN_RATIO: Final = 3.0
MIN_SLOW_CACHE_SHARE: Final = 0.25  # smallest share of its objects that a slow cache keeps
MIN_SLOWDOWN: Final = 1e-9  # prevents a division by 0


class Candidate:
    """A cache that a request may be sent to; candidates sort in the order in which to try them.

    Attributes:
        endpoint: The cache.
        hash_score: The cache's weighted rendezvous score for the object, which is highest at the object's
            home.
        weight: The weight from which the cache's load limit is computed.
        is_overloaded: True if the cache has too many requests in flight for its weight, or is at capacity.
    """

    __slots__ = ("endpoint", "hash_score", "is_overloaded", "weight")

    def __init__(self, endpoint: Endpoint, hash_score: float, weight: float) -> None:
        self.endpoint = endpoint
        self.hash_score = hash_score
        self.weight = weight
        self.is_overloaded = False

    def __lt__(self, other: Candidate) -> bool:
        if self.is_overloaded != other.is_overloaded:
            return other.is_overloaded
        if self.hash_score != other.hash_score:
            return self.hash_score > other.hash_score
        return self.endpoint.server.name < other.endpoint.server.name


class CacheSelection:
    """Ranks the caches of the zone for an object."""

    def __init__(
        self,
        state: RouterState,
        slow_start: SlowStart,
        idempotency: IdempotencyGuard,
        ejection: OutlierEjection,
    ) -> None:
        self.state = state
        self.slow_start = slow_start
        self.idempotency = idempotency
        self.ejection = ejection

    def ranked_caches(self, request: InFlightRequest) -> list[Endpoint]:
        """Return the caches that may serve the request in the order to try: by hash, overloaded caches last.

        An ejected cache comes first if a trial request is due and the hash would select the cache anyway.
        """
        candidates: list[Candidate] = []
        trials: list[Candidate] = []
        total_requests = 0
        total_weight = 0.0
        zone_mean = self._mean_utilization()
        min_utilization = self._min_compared_utilization()
        slowdown_limit = self._slowdown_limit()
        for cache in self.state.directory.zone_caches:
            if cache.server.name in request.excluded_servers or not self.idempotency.may_send(request, cache):
                continue
            warm_fraction = cache.warm_fraction(self.state.now_ns, self.state.settings.rules)
            if cache.is_ejected:
                if self._is_trial_allowed(cache, request, warm_fraction):
                    hash_score = cache.hash_score(request.object_hash, cache.server.weight)
                    trials.append(Candidate(cache, hash_score, 0.0))
                continue
            if request.cache_only and warm_fraction < 1:
                continue  # a hit is unlikely there, and the request would use up the cold cache's budget
            preference = cache.load_preference(zone_mean, min_utilization)
            weight = cache.server.weight * warm_fraction * preference
            total_requests = total_requests + cache.requests_in_flight
            total_weight = total_weight + weight
            if self.slow_start.has_budget_at(cache, request, warm_fraction):
                share = self._share_by_slowdown(cache, slowdown_limit)
                hash_score = cache.hash_score(request.object_hash, weight * share)
                candidates.append(Candidate(cache, hash_score, weight))
        max_requests_per_weight = (
            MAX_LOAD_OVER_MEAN * (total_requests + 1) / total_weight if total_weight else 0.0
        )
        best_score = max([candidate.hash_score for candidate in candidates], default=0.0)
        due_trials = [candidate.endpoint for candidate in trials if candidate.hash_score > best_score]
        return due_trials[:1] + self._order_by_hash(candidates, max_requests_per_weight)

    def _order_by_hash(self, candidates: list[Candidate], max_requests_per_weight: float) -> list[Endpoint]:
        """Return caches by hash score, with overloaded caches and caches at capacity last."""
        for candidate in candidates:
            endpoint = candidate.endpoint
            max_requests = max(MIN_REQUESTS_BEFORE_BOUND, max_requests_per_weight * candidate.weight)
            candidate.is_overloaded = (
                endpoint.requests_in_flight >= max_requests
                or self.state.now_ns < endpoint.at_capacity_until_ns
            )
        return [candidate.endpoint for candidate in sorted(candidates)]

    def _is_trial_allowed(self, cache: Endpoint, request: InFlightRequest, warm_fraction: float) -> bool:
        """Return True if this request may be sent to an ejected cache as a trial."""
        is_due = self.ejection.is_trial_due(request, cache)
        return is_due and self.slow_start.has_budget_at(cache, request, warm_fraction)

    def _mean_utilization(self) -> float:
        """Return the mean utilization of those caches of the zone that report it, or 1 if none does."""
        reported = [
            cache.mean_utilization.mean
            for cache in self.state.directory.zone_caches
            if cache.mean_utilization.sample_count
        ]
        return sum(reported) / len(reported) if reported else 1.0

    def _min_compared_utilization(self) -> float:
        """Return the utilization below which caches count as equal; it is higher if the list has weights."""
        if self.state.settings.weight_source == "off":
            return MIN_COMPARED_UTILIZATION
        return MAX_COLD_UTILIZATION

    def _slowdown_limit(self) -> float:
        """Return the slowdown above which a cache receives fewer objects."""
        min_slowdown = min([cache.slowdown.mean for cache in self.state.directory.zone_caches], default=1.0)
        return MAX_SLOWDOWN_RATIO * min_slowdown

    def _share_by_slowdown(self, cache: Endpoint, slowdown_limit: float) -> float:
        """Return the share of its objects that a cache keeps, under 1 if it is much slower than its peers.

        This is an exception to the hash, for a cache that holds a hot object or fails gradually.
        """
        return min(1.0, max(MIN_SLOW_CACHE_SHARE, slowdown_limit / max(cache.slowdown.mean, MIN_SLOWDOWN)))
