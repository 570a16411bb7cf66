"""Fill sources: the ordered list of servers from which a miss is filled.

The order is that of "Squid: The Definitive Guide", section 10.10: a sibling that holds the object, the
fastest parent, a backup parent, the origin.  docs/design.md describes the differences.
"""

from __future__ import annotations

from typing import Final

from kelpcroft.decision.endpoint import Endpoint
from kelpcroft.decision.endpoint_directory import is_usable
from kelpcroft.decision.events import Role
from kelpcroft.decision.outlier_ejection import OutlierEjection
from kelpcroft.decision.requests import InFlightRequest
from kelpcroft.decision.router_state import RouterState
from kelpcroft.decision.slow_start import SlowStart
from kelpcroft.decision.units import SECOND_NS

# Parents with a score within this multiple of the best score share fills by object hash
MAX_PARENT_SCORE_RATIO: Final = 3.0
# The origin shares fills too if the best parent is more than this many times slower
MIN_ORIGIN_ADVANTAGE: Final = 2.0
# How long after a response from a sibling the sibling is assumed to hold the object
KNOWN_COPY_LIFETIME_NS: Final = 10 * SECOND_NS


class FillSources:
    """Ranks the servers that may fill a miss, or respond directly if the caches are bypassed."""

    def __init__(self, state: RouterState, slow_start: SlowStart, ejection: OutlierEjection) -> None:
        self.state = state
        self.slow_start = slow_start
        self.ejection = ejection

    def ranked_sources(self, request: InFlightRequest, cache: Endpoint | None) -> list[Endpoint]:
        """Return the fill sources of a request in the order to try.

        Args:
            request: The request.
            cache: The cache that the request is sent to; None to bypass the caches.

        Returns:
            The sources; the cache itself for a request that only a hit may serve.
        """
        if request.cache_only and cache is not None:
            return [cache]
        origins = self._allowed_origins(request)
        if request.request_class.uncacheable:
            return origins or self._ranked_parents(request)
        sources = self._sibling_with_copy(request, cache) if cache is not None else []
        parents = self._ranked_parents(request)
        backups = sorted(parents[1:], key=_backup_sort_key)
        sources += parents[:1]
        sources += backups[:1] if origins else backups
        return sources + [
            origin
            for origin in origins
            if not origin.is_ejected or self.ejection.is_trial_due(request, origin)
        ]

    def _allowed_origins(self, request: InFlightRequest) -> list[Endpoint]:
        if not (self.state.origin_fills_allowed or request.request_class.uncacheable):
            return []
        return [
            origin
            for origin in self.state.directory.origins
            if origin.server.name not in request.excluded_sources
        ]

    def _sibling_with_copy(self, request: InFlightRequest, cache: Endpoint) -> list[Endpoint]:
        """Return a list with the first sibling that recent responses showed to hold the object, if any."""
        if self.state.settings.siblings == "off" or request.history is None:
            return []
        known_copies = request.history.known_copies
        if cache.server.name in known_copies:
            return []
        siblings = [
            self.state.directory.by_name[name]
            for name, response_ns in known_copies.items()
            if self._is_copy_usable(request, name, response_ns)
        ]
        # The budget of each sibling is checked although only one sibling is returned, because the check
        # advances the sibling's window of work sent.
        return [sibling for sibling in siblings if self._may_fill_from_sibling(request, sibling)][:1]

    def _is_copy_usable(self, request: InFlightRequest, name: str, response_ns: int) -> bool:
        is_recent = self.state.now_ns - response_ns < KNOWN_COPY_LIFETIME_NS
        return is_recent and name in self.state.directory.by_name and name not in request.excluded_sources

    def _may_fill_from_sibling(self, request: InFlightRequest, sibling: Endpoint) -> bool:
        is_live_cache = not sibling.is_ejected and sibling.server.role is Role.CACHE
        return is_live_cache and is_usable(sibling) and self.slow_start.has_budget(sibling, request)

    def _ranked_parents(self, request: InFlightRequest) -> list[Endpoint]:
        """Return the parents in the order to try.

        An ejected parent whose trial is due comes first, then the server selected by hash, which may be an
        origin, then the other live parents.  If no parent is live, all ejected parents whose trials are due
        are returned.
        """
        allowed = [
            parent
            for parent in self.state.directory.parents
            if parent.server.name not in request.excluded_sources
        ]
        trials = [parent for parent in allowed if self._is_trial_allowed(request, parent)]
        live = [
            parent
            for parent in allowed
            if not parent.is_ejected and self.slow_start.has_budget(parent, request)
        ]
        if not live:
            return trials
        selected = self._select_by_score(request, live)
        return [*trials[:1], selected, *[parent for parent in live if parent is not selected]]

    def _is_trial_allowed(self, request: InFlightRequest, parent: Endpoint) -> bool:
        """Return True if this request may be sent to an ejected parent as a trial."""
        is_due = parent.is_ejected and self.ejection.is_trial_due(request, parent)
        return is_due and self.slow_start.has_budget(parent, request)

    def _select_by_score(self, request: InFlightRequest, live: list[Endpoint]) -> Endpoint:
        """Return the server that the hash selects among those with a low score (time to first byte / weight).

        Parents with a score near the best one share the objects in inverse proportion to their scores, and
        the hash keeps each object at one parent.  If only the best parent were used, it would be overloaded,
        as all routers rank parents alike.
        """
        origins = self._comparable_origins(request)
        scores = self._latency_scores([*live, *origins])
        best_score = min([scores[parent.server.name] for parent in live])
        eligible = [
            parent for parent in live if scores[parent.server.name] <= best_score * MAX_PARENT_SCORE_RATIO
        ]
        # Exception: if all parents are much slower than the origin, the origin receives a share.
        eligible += [
            origin for origin in origins if scores[origin.server.name] * MIN_ORIGIN_ADVANTAGE < best_score
        ]
        selected = eligible[0]
        selected_hash_score = self._parent_hash_score(request, selected, scores)
        for candidate in eligible[1:]:
            hash_score = self._parent_hash_score(request, candidate, scores)
            if hash_score > selected_hash_score:
                selected = candidate
                selected_hash_score = hash_score
        return selected

    def _comparable_origins(self, request: InFlightRequest) -> list[Endpoint]:
        """Return the origins that may fill the request and whose time to first byte has been measured."""
        if request.request_class.uncacheable:
            return []
        return [
            origin
            for origin in self.state.directory.origins
            if origin.log_first_byte_ns.sample_count
            and not origin.is_ejected
            and origin.server.name not in request.excluded_sources
        ]

    def _latency_scores(self, endpoints: list[Endpoint]) -> dict[str, float]:
        """Return the score of each server by name; a lower score is faster."""
        log_times = [
            endpoint.log_first_byte_ns.mean
            for endpoint in endpoints
            if endpoint.log_first_byte_ns.sample_count
        ]
        average_log_ns = sum(log_times) / len(log_times) if log_times else 0.0
        return {
            endpoint.server.name: endpoint.latency_score(self.state.now_ns, average_log_ns)
            for endpoint in endpoints
        }

    def _parent_hash_score(
        self, request: InFlightRequest, endpoint: Endpoint, scores: dict[str, float]
    ) -> float:
        warm_fraction = endpoint.warm_fraction(self.state.now_ns, self.state.settings.rules)
        weight = warm_fraction / scores[endpoint.server.name]
        return endpoint.hash_score(request.object_hash, weight)


def _backup_sort_key(parent: Endpoint) -> tuple[int, str]:
    """Return the sort key of backup parents: the parent with the fewest requested fills comes first."""
    return parent.fills_requested, parent.server.name
