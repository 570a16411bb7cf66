"""Fill sources: the ordered list of servers from which a miss is filled.

From "Squid: The Definitive Guide", section 10.10: a sibling that holds the object, the quickest parent, a
backup parent, the origin.  docs/design.md tells what differs here.
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

# Parents within this multiple of the best score share fills by object hash
MAX_PARENT_SCORE_RATIO: Final = 3.0
# The origin shares them too where the best parent is this many times slower
MIN_ORIGIN_ADVANTAGE: Final = 2.0
# A sibling's copy is believed in this long after an answer showed it
KNOWN_COPY_LIFETIME_NS: Final = 10 * SECOND_NS


class FillSources:
    """Ranks the servers that may fill a miss, or answer past the caches."""

    def __init__(self, state: RouterState, slow_start: SlowStart, ejection: OutlierEjection) -> None:
        self.state = state
        self.slow_start = slow_start
        self.ejection = ejection

    def ranked_sources(self, request: InFlightRequest, cache: Endpoint | None) -> list[Endpoint]:
        """Return the fill sources of a request in the order to try.

        Args:
            request: The request.
            cache: The cache that is asked; None to go past the caches.

        Returns:
            The sources; for a request that only a hit may answer, the cache itself.
        """
        if request.cache_only and cache is not None:
            return [cache]
        origins = self._allowed_origins(request)
        if request.request_class.uncacheable:
            return origins or self._ranked_parents(request)
        sources = self._holding_sibling(request, cache) if cache is not None else []
        parents = self._ranked_parents(request)
        backups = sorted(parents[1:], key=_backup_order)
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

    def _holding_sibling(self, request: InFlightRequest, cache: Endpoint) -> list[Endpoint]:
        """Return, in a list, the first sibling (or none) that recent answers showed to hold the object."""
        if self.state.settings.siblings == "off" or request.history is None:
            return []
        known_copies = request.history.known_copies
        if cache.server.name in known_copies:
            return []
        siblings = [
            self.state.directory.by_name[name]
            for name, answered_ns in known_copies.items()
            if self._is_copy_believed(request, name, answered_ns)
        ]
        # All are asked for their budget, though one is returned: it advances each one's window of work sent.
        return [sibling for sibling in siblings if self._may_fill_from_sibling(request, sibling)][:1]

    def _is_copy_believed(self, request: InFlightRequest, name: str, answered_ns: int) -> bool:
        is_fresh = self.state.now_ns - answered_ns < KNOWN_COPY_LIFETIME_NS
        return is_fresh and name in self.state.directory.by_name and name not in request.excluded_sources

    def _may_fill_from_sibling(self, request: InFlightRequest, sibling: Endpoint) -> bool:
        is_live_cache = not sibling.is_ejected and sibling.server.role is Role.CACHE
        return is_live_cache and is_usable(sibling) and self.slow_start.has_budget(sibling, request)

    def _ranked_parents(self, request: InFlightRequest) -> list[Endpoint]:
        """Return the parents in the order to try.

        First comes an ejected one whose trial is due, then the hash's pick, which may be an origin, then the
        other live ones.  Where none is live, all ejected ones whose trials are due.
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
        first = self._pick_by_score(request, live)
        return [*trials[:1], first, *[parent for parent in live if parent is not first]]

    def _is_trial_allowed(self, request: InFlightRequest, parent: Endpoint) -> bool:
        """Return True if an ejected parent may get this request as a trial."""
        is_due = parent.is_ejected and self.ejection.is_trial_due(request, parent)
        return is_due and self.slow_start.has_budget(parent, request)

    def _pick_by_score(self, request: InFlightRequest, live: list[Endpoint]) -> Endpoint:
        """Return the hash's pick of the parents with a low score: time to the first byte over weight.

        Those near the best share fills, so that an object keeps to one parent, in inverse proportion to their
        scores: all routers rank alike, and the best one fills up.
        """
        origins = self._comparable_origins(request)
        scores = self._latency_scores([*live, *origins])
        best_score = min([scores[parent.server.name] for parent in live])
        near = [
            parent for parent in live if scores[parent.server.name] <= best_score * MAX_PARENT_SCORE_RATIO
        ]
        # Exception: where all parents are much slower than the origin, it gets a share.
        near += [
            origin for origin in origins if scores[origin.server.name] * MIN_ORIGIN_ADVANTAGE < best_score
        ]
        picked = near[0]
        picked_rank = self._parent_rank(request, picked, scores)
        for candidate in near[1:]:
            rank = self._parent_rank(request, candidate, scores)
            if rank > picked_rank:
                picked = candidate
                picked_rank = rank
        return picked

    def _comparable_origins(self, request: InFlightRequest) -> list[Endpoint]:
        """Return the origins whose time to the first byte is known, for a request that they may fill."""
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
        """Return the score of each server by its name; lower is quicker."""
        measured = [
            endpoint.log_first_byte_ns.mean
            for endpoint in endpoints
            if endpoint.log_first_byte_ns.sample_count
        ]
        average = sum(measured) / len(measured) if measured else 0.0
        return {
            endpoint.server.name: endpoint.latency_score(self.state.now_ns, average) for endpoint in endpoints
        }

    def _parent_rank(self, request: InFlightRequest, endpoint: Endpoint, scores: dict[str, float]) -> float:
        warm_fraction = endpoint.warm_fraction(self.state.now_ns, self.state.settings.rules)
        weight = warm_fraction / scores[endpoint.server.name]
        return endpoint.rendezvous_rank(request.object_hash, weight)


def _backup_order(parent: Endpoint) -> tuple[int, str]:
    """The backup parent is the one that was asked for the fewest fills."""
    return parent.fills_requested, parent.server.name
