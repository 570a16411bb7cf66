"""What the operator's file says of a start.  The defaults change nothing."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Begin:
    """How this router begins beside all others that begin with it."""

    list_calls: float = 0.0  # calls a second that the list service bears of all routers; 0 = no budget
    store: bool = False  # fetches out at the store are few at first
    count: bool = False  # routers of the zone are counted by what caches report
