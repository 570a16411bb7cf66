"""The servers that this router knows, as the list of servers tells them."""

from __future__ import annotations

from kelpcroft.decision.endpoint import Endpoint
from kelpcroft.decision.events import Role, ServerList
from kelpcroft.decision.object_history import ObjectHistories


def is_usable(endpoint: Endpoint) -> bool:
    """Return True if a server is in the list and not draining."""
    return endpoint.is_listed and endpoint.server.state == "in_service"


class EndpointDirectory:
    """All known servers by name, and those that may be used by role.

    The lists by role keep a request from looking through the whole fleet.  They change with the list of
    servers and only then, at once: a server that drains gets nothing from the next request on.

    Attributes:
        by_name: All that are known, also those that drain or have left the list.
        zone_caches: Usable caches of the own zone.
        parents: Usable parents of all zones.
        origins: Usable origins.
    """

    def __init__(self, zone: str, histories: ObjectHistories) -> None:
        """Start empty.

        Args:
            zone: The router's own zone.
            histories: What is remembered of objects: the copies of a restarted cache are removed there.
        """
        self.zone = zone
        self.histories = histories
        self.by_name: dict[str, Endpoint] = {}
        self.zone_caches: list[Endpoint] = []
        self.parents: list[Endpoint] = []
        self.origins: list[Endpoint] = []

    def apply(self, event: ServerList) -> None:
        """Take in a list of servers or changes to it."""
        if event.form != "update":
            for endpoint in self.by_name.values():
                endpoint.is_listed = False
        for server in event.servers:
            known = self.by_name.get(server.name)
            if known is None:
                self.by_name[server.name] = Endpoint(server)
                continue
            if server.started_ns > known.server.started_ns:
                known.record_restart(server.started_ns)  # the list overrides an inferred start
                self.histories.drop_known_copies(server.name)
            known.server = server
            known.is_listed = True
        self._drop_terminated()
        self._index_by_role()

    def _drop_terminated(self) -> None:
        """Forget servers that are gone for good (names are not used again) with nothing in flight there."""
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
