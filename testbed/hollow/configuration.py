"""Configurations of a fleet of a given size, derived from examples/config.json."""

from __future__ import annotations

import json
from dataclasses import dataclass
from typing import Any

from testbed.stand_ins import ROOT

PARENTS = 9  # parents among the servers, in the hub zone; one more server is the origin


@dataclass(frozen=True, slots=True)
class FleetSize:
    """Numbers of routers, servers and zones."""

    routers: int = 590
    servers: int = 150
    zones: int = 19  # with caches and routers; the hub zone of the parents and the origin is not counted

    def zone_names(self) -> tuple[str, ...]:
        """Names of the zones with caches."""
        return tuple(f"z{n}" for n in range(self.zones))

    def zone_of(self, router: int) -> str:
        """The zone of a router; routers are spread evenly over the zones."""
        return f"z{router % self.zones}"

    def routers_by_zone(self) -> list[int]:
        """The number of routers in each zone; the last entry, the hub zone's, is 0."""
        return [len(range(zone, self.routers, self.zones)) for zone in range(self.zones)] + [0]


def endpoint(name: str, zone: str, kind: str, number: int, status: str = "active") -> dict[str, Any]:
    """A server's record in the endpoint list. Nothing listens at its address."""
    return {
        "name": name,
        "address": f"10.9.{number // 250}.{number % 250 + 1}:9000",
        "zone": zone,
        "type": kind,
        "group": 0,
        "status": status,
        "weight": 4,
        "since_ms": 0,
    }


def endpoints(size: FleetSize) -> list[dict[str, Any]]:
    """The complete endpoint list: caches spread over the zones, parents, and the origin."""
    caches = max(size.zones, size.servers - PARENTS - 1)
    lines = [endpoint(f"s-{n:04x}", f"z{n % size.zones}", "box", n) for n in range(caches)]
    lines += [endpoint(f"p-{n:04x}", "hub", "parent", caches + n) for n in range(PARENTS)]
    return [*lines, endpoint("origin", "hub", "origin", caches + PARENTS)]


def configuration(size: FleetSize, router: int, feed: str, listen: str, mgmt: str) -> dict[str, Any]:
    """One router's configuration."""
    raw: dict[str, Any] = json.loads((ROOT / "examples/config.json").read_text())
    zones = [*size.zone_names(), "hub"]
    family_info = {
        **raw["settings"]["family_info"],
        "hub_of": [size.zones] * len(zones),
        "instances_by_zone": size.routers_by_zone(),
    }
    settings = {
        **raw["settings"],
        "az": size.zone_of(router),
        "dcs": zones,
        "family_info": family_info,
        "instances": size.routers,
        "self_index": router,
        "weight_source": "nominal",
    }
    first_event = {"n": 1, "members": {"index": 1, "snapshot": True, "endpoints": endpoints(size)}}
    return {
        **raw,
        "name": f"r{router}",
        "listen": listen,
        "mgmt": mgmt,
        "feed": feed,
        "seed": f"{router:016x}",
        "known": {"n": 1, "events": [first_event]},
        "settings": settings,
    }
