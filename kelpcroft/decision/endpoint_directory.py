"""Directory of the servers in the endpoint list, by name and by role."""

from __future__ import annotations

from kelpcroft.decision.endpoint import Endpoint
from kelpcroft.decision.events import EndpointListChanged, Role
from kelpcroft.decision.object_history import ObjectHistories


def is_usable(endpoint: Endpoint) -> bool:
    """Return True if a server is in the endpoint list and not draining."""
    return endpoint.is_listed and endpoint.server.state == "in_service"


class EndpointDirectory:
    """All servers by name, and the usable servers by role.

    The lists by role avoid a scan of the complete fleet for each request.  They are rebuilt immediately with
    each change of the endpoint list and at no other time, so that a draining server receives nothing from the
    next request on.

    Attributes:
        by_name: All servers, including those that drain or have left the list.
        zone_caches: Usable caches of the router's own zone.
        parents: Usable parents of all zones.
        origins: Usable origins.
    """

    def __init__(self, zone: str, histories: ObjectHistories) -> None:
        """Create an empty directory.

        Args:
            zone: The router's own zone.
            histories: The object histories, from which the copies of a restarted cache are removed.
        """
        self.zone = zone
        self.histories = histories
        self.by_name: dict[str, Endpoint] = {}
        self.zone_caches: list[Endpoint] = []
        self.parents: list[Endpoint] = []
        self.origins: list[Endpoint] = []

    def apply(self, event: EndpointListChanged) -> None:
        """Apply a complete endpoint list or changes to it."""
        if event.update_kind != "update":
            for endpoint in self.by_name.values():
                endpoint.is_listed = False
        for server in event.servers:
            existing = self.by_name.get(server.name)
            if existing is None:
                self.by_name[server.name] = Endpoint(server)
                continue
            if server.started_ns > existing.server.started_ns:
                existing.record_restart(server.started_ns)  # the list overrides an inferred start
                self.histories.drop_known_copies(server.name)
            existing.server = server
            existing.is_listed = True
        self._drop_terminated()
        self._index_by_role()

    def _drop_terminated(self) -> None:
        """Remove terminated servers that have no attempts in flight; their names are not reused."""
        self.by_name = {
            name: endpoint
            for name, endpoint in self.by_name.items()
            if endpoint.server.state != "terminated" or endpoint.requests_in_flight
        }

    def _index_by_role(self) -> None:
        usable = [endpoint for endpoint in self.by_name.values() if is_usable(endpoint)]
        self.zone_caches = [
            endpoint
            for endpoint in usable
            if endpoint.server.role is Role.CACHE and endpoint.server.zone == self.zone
        ]
        self.parents = [endpoint for endpoint in usable if endpoint.server.role is Role.PARENT]
        self.origins = [endpoint for endpoint in usable if endpoint.server.role is Role.ORIGIN]
