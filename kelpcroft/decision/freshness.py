"""Freshness: age limits that exclude copies from before a purge."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

from kelpcroft.decision.events import Purged, PurgeEvent, PurgesUnknown
from kelpcroft.decision.requests import InFlightRequest
from kelpcroft.decision.router_state import RouterState
from kelpcroft.decision.units import MS

PURGE_MARGIN_NS: Final = MS  # how much an age limit is shorter than the time since the purge


@dataclass(frozen=True, slots=True)
class Purge:
    """The latest purge of an object or a group: its time, and the time until which it must be kept."""

    purged_ns: int
    relevant_until_ns: int


class Freshness:
    """Keeps recent purges and computes age limits from them.

    Attributes:
        object_purges: Purges of single objects, by object.
        group_purges: Purges of all objects of a group, by group.
        unknown_purges: The latest time at which any object may have been purged without this router's
            knowledge; None if all purges are known.
    """

    def __init__(self, state: RouterState) -> None:
        self.state = state
        self.object_purges: dict[int, Purge] = {}
        self.group_purges: dict[int, Purge] = {}
        self.unknown_purges: Purge | None = None

    def handle(self, event: PurgeEvent) -> None:
        """Apply an event that concerns purges."""
        if isinstance(event, Purged):
            self.record_purge(event)
        elif isinstance(event, PurgesUnknown):
            self.record_unknown_purges(event.ago_ns)
        else:
            self.unknown_purges = None

    def record_purge(self, event: Purged) -> None:
        """Record a purge, which is kept until no fill that was then in progress can still be stored."""
        purged_ns = self.state.now_ns - event.ago_ns
        relevant_until_ns = self.state.now_ns + self.state.settings.rules.purge_retention_ns
        if event.object_id is None:
            self._record(self.group_purges, event.purge_group, purged_ns, relevant_until_ns)
        else:
            self._record(self.object_purges, event.object_id, purged_ns, relevant_until_ns)

    def record_unknown_purges(self, ago_ns: int) -> None:
        """Record that any object may have been purged until ``ago_ns`` before now."""
        relevant_until_ns = self.state.now_ns + self.state.settings.rules.purge_retention_ns
        self.unknown_purges = Purge(self.state.now_ns - ago_ns, relevant_until_ns)

    def _record(self, purges: dict[int, Purge], key: int, purged_ns: int, relevant_until_ns: int) -> None:
        previous = purges.get(key)
        purges[key] = Purge(max(purged_ns, previous.purged_ns if previous else 0), relevant_until_ns)

    def remove_old_purges(self) -> None:
        """Remove the purges that no longer affect any copy."""
        now_ns = self.state.now_ns
        self.object_purges = {k: p for k, p in self.object_purges.items() if p.relevant_until_ns >= now_ns}
        self.group_purges = {k: p for k, p in self.group_purges.items() if p.relevant_until_ns >= now_ns}
        if self.unknown_purges is not None and self.unknown_purges.relevant_until_ns < now_ns:
            self.unknown_purges = None

    def max_age_ns(self, request: InFlightRequest) -> int:
        """Return the maximum age of an acceptable copy; 0 if only the limit of the request's class applies.

        While copies from before a purge may exist, only copies younger than the purge are acceptable, and the
        limit is never 0.  This remains so after the servers' own sweep, because a copy that was read just
        before the purge may be stored after the sweep.
        """
        object_purge = self.object_purges.get(request.request.object_id)
        group_purge = self.group_purges.get(request.request.purge_group)
        purged_ns = max(
            object_purge.purged_ns if object_purge else 0,
            group_purge.purged_ns if group_purge else 0,
            self.unknown_purges.purged_ns if self.unknown_purges else 0,
        )
        if not purged_ns:
            return 0
        limit = max(PURGE_MARGIN_NS, self.state.now_ns - purged_ns - PURGE_MARGIN_NS)
        lifetime_ns = request.request_class.freshness_lifetime_ns
        return min(limit, lifetime_ns) if lifetime_ns else limit
