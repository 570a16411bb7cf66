"""Settings for a start in the operator's file.  The defaults change nothing."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class StartupOptions:
    """How this router starts while many others start too: node ``start`` of the operator's file."""

    # Watch requests of all routers that the list service can serve; 0 = no budget (``list-calls``).
    list_requests_per_s: float = 0.0
    limit_origin_fetches: bool = False  # limits fetches in flight to the origin at first (``store``)
    estimate_fleet_size: bool = False  # estimates the zone's routers from reports of caches (``count``)
