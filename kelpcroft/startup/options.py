"""What the operator's file says of a start.  The defaults change nothing."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class StartupOptions:
    """How this router begins beside all others that begin with it: node ``start`` of the operator's file."""

    list_calls_per_s: float = 0.0  # that the list service bears of all; 0 = no budget (``list-calls``)
    limit_origin_fetches: bool = False  # fetches out at the origin are few at first (``store``)
    estimate_fleet_size: bool = False  # routers of the zone are counted by what caches report (``count``)
