"""Server selection: chooses the servers of a request's next attempt."""

from __future__ import annotations

from kelpcroft.decision.admission import Admission
from kelpcroft.decision.cache_selection import CacheSelection
from kelpcroft.decision.endpoint import Endpoint
from kelpcroft.decision.events import Role
from kelpcroft.decision.fill_sources import FillSources
from kelpcroft.decision.idempotency import IdempotencyGuard
from kelpcroft.decision.requests import InFlightRequest
from kelpcroft.decision.router_state import RouterState


class AttemptServers:
    """The servers of an attempt.

    Attributes:
        endpoint: The server that the attempt is sent to.
        fill_source: The server from which a miss there is filled.
    """

    __slots__ = ("endpoint", "fill_source")

    def __init__(self, endpoint: Endpoint, fill_source: Endpoint) -> None:
        self.endpoint = endpoint
        self.fill_source = fill_source


class ServerSelection:
    """Selects a cache and a fill source, or a parent or origin if the caches are bypassed."""

    def __init__(
        self,
        state: RouterState,
        admission: Admission,
        idempotency: IdempotencyGuard,
        caches: CacheSelection,
        sources: FillSources,
    ) -> None:
        self.state = state
        self.admission = admission
        self.idempotency = idempotency
        self.caches = caches
        self.sources = sources

    def select_servers(self, request: InFlightRequest) -> AttemptServers | None:
        """Return the servers of the next attempt, or None if no server can be used."""
        if not request.bypasses_cache:
            for cache in self.caches.ranked_caches(request):
                for source in self.sources.ranked_sources(request, cache):
                    return AttemptServers(cache, source)
        return self._select_bypass_servers(request)

    def _select_bypass_servers(self, request: InFlightRequest) -> AttemptServers | None:
        """Return a parent or the origin for the attempt, if no cache of the zone can take the request."""
        if not self.state.settings.allows_cache_bypass:
            return None
        if not request.request_class.uncacheable and (
            request.cache_only or self.admission.is_fill_link_full()
        ):
            return None
        origins = self.state.directory.origins
        for endpoint in self.sources.ranked_sources(request, None):
            is_excluded_origin = request.bypasses_cache and endpoint.server.role is Role.ORIGIN
            if self.idempotency.may_send(request, endpoint) and not is_excluded_origin:
                return AttemptServers(endpoint, origins[0] if origins else endpoint)
        return None
