"""Stand-in servers of several zones, each of which may be listed with a relay's address."""

from __future__ import annotations

from typing import Any, NamedTuple

from testbed.field.relay import Relay
from testbed.stand_ins import FEED, SERVERS, ServerScript, StandInServers, respond_immediately


class ServerRow(NamedTuple):
    """One stand-in: its name in the testbed, and its id, zone and type in the list."""

    name: str
    server_id: str
    zone: str
    kind: str


class ZonedServers(StandInServers):
    """Stand-in servers: caches in every zone, parents, the origin and the feed."""

    def __init__(
        self,
        zones: tuple[str, ...],
        script: ServerScript = respond_immediately,
        caches_per_zone: int = 1,
        parent_count: int = 1,
    ) -> None:
        """Listen for the caches of each zone, the parents, the origin and the feed."""
        caches = []
        for zone in zones:
            for n in range(caches_per_zone):
                suffix = f"-{n}" if n else ""
                caches.append(ServerRow(f"cache-{zone}{suffix}", f"s-{zone}{suffix}", zone, "box"))
        parents = [
            ServerRow(f"parent{n or ''}", f"s-p{n or ''}", "hub", "parent") for n in range(parent_count)
        ]
        self.rows = [*caches, *parents, ServerRow("origin", *SERVERS["origin"])]
        super().__init__(script, tuple(row.name for row in self.rows))
        self.zones = zones
        self.relays: dict[str, Relay] = {}  # by stand-in's name, or "feed"
        self.weight = 1.0
        self.published_lines: dict[str, dict[str, Any]] = {}  # latest published line of each changed server

    def line(self, name: str, status: str = "active", since_ms: int = 0) -> dict[str, Any]:
        """A server's row in the list."""
        row = next(row for row in self.rows if row.name == name)
        relay = self.relays.get(name)
        return {
            "name": row.server_id,
            "address": f"127.0.0.1:{relay.address[1]}" if relay else self.address_of(name),
            "zone": row.zone,
            "type": row.kind,
            "status": status,
            "weight": self.weight,
            "since_ms": since_ms,
        }

    def feed_address(self) -> str:
        """The address at which routers reach the feed: that of its relay, if it has one."""
        relay = self.relays.get(FEED)
        return f"127.0.0.1:{relay.address[1]}" if relay else self.address_of(FEED)

    def endpoint_snapshot(self) -> dict[str, Any]:
        """The present list of servers, as an event of the feed."""
        lines = [self.published_lines.get(row.name) or self.line(row.name) for row in self.rows]
        return {"n": 1, "members": {"index": 1, "snapshot": True, "endpoints": lines}}

    def change(self, name: str, status: str = "active", since_ms: int = 0) -> int:
        """Publish an event with one server's new line; return the event's number."""
        line = self.published_lines[name] = self.line(name, status, since_ms)
        return self.publish(members={"index": 2, "snapshot": False, "endpoints": [line]})

    def relay(self, names: list[str], delay_s: float) -> None:
        """Put a relay in front of each of these servers; call it before any router starts."""
        for name in names:
            port = self.listeners[name].getsockname()[1]
            self.relays[name] = Relay(("127.0.0.1", port), delay_s, seed=len(self.relays))
