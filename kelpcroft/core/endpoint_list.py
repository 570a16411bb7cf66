"""Endpoint list of the router: applies the feed's updates of endpoints and its purges."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from functools import partial
from typing import NamedTuple

from kelpcroft.core.attempts import Attempts
from kelpcroft.core.decision_loop import DecisionLoop
from kelpcroft.core.feed_position import FeedPosition
from kelpcroft.core.inputs import EndpointRecord, EndpointUpdate, Purge, WatchResponse
from kelpcroft.core.state import Attempt, State
from kelpcroft.decision import interface as api
from kelpcroft.discovery.endpoint_view import IN_SERVICE

MAX_RECENT_PURGES = 4_096  # purges that are kept for a successor process; older ones are dropped


class ReceivedPurge(NamedTuple):
    """A purge, and when it was applied."""

    purge: Purge
    received_ns: int


class EndpointList:
    """Applies events of the feed to the core and to the decision package.

    Attributes:
        position: The last event that was applied, and the watch on the feed.
        has_endpoint_list: A snapshot or an update has been applied.
        chunked_response_events: Number of events received of a watch response that arrives in chunks; 0 if no
            such response is arriving.
        skipped_purges: Number of purges of that response that were skipped as too old.
        changes: Number of updates and purges that were applied.
        recent_purges: The last purges that were applied, in that order.
    """

    def __init__(
        self, state: State, position: FeedPosition, attempts: Attempts, decisions: DecisionLoop
    ) -> None:
        self.state = state
        self.position = position
        self.attempts = attempts
        self.decisions = decisions
        self.has_endpoint_list = False
        self.chunked_response_events = 0
        self.skipped_purges = 0
        self.changes = 0
        self.recent_purges: deque[ReceivedPurge] = deque(maxlen=MAX_RECENT_PURGES)

    @property
    def last_event(self) -> int:
        """Number of the last event that was applied."""
        return self.position.last_event

    def apply_events(self, response: WatchResponse) -> None:
        """Apply the events of a watch response, in their order."""
        for reason in response.unusable_events:
            self.log_not_applied(reason)
        for event in response.events:
            if isinstance(event, EndpointUpdate):
                self.apply_usable(event)
            else:
                self.apply_purge(event)

    def apply_usable(self, update: EndpointUpdate) -> None:
        """Apply the usable endpoints of a snapshot or an update."""
        reason = self.unknown_field(update)
        usable, reasons = self.position.view.select_usable(
            update.endpoints, update.is_snapshot, update.event_number
        )
        for rejection in [reason] if reason else reasons:
            self.log_not_applied(rejection)
        if not reason and (usable or not reasons):
            self.position.view.apply(usable, update.is_snapshot)
            self.apply(EndpointUpdate(update.is_snapshot, tuple(usable), update.event_number))

    def apply_purge(self, purge: Purge) -> None:
        """Apply a purge.

        In a response that arrives in chunks, a purge older than ``purge_retention_ns`` is skipped: a router
        that received it in time would have discarded it by now, and such a response has many of them.
        """
        state = self.state
        age_ns = max(0, state.now - purge.purged_at_ns)
        if self.chunked_response_events and age_ns > state.settings.rules.purge_retention_ns:
            self.skipped_purges += 1
            return
        state.counters["purges"] += 1
        self.changes += 1
        self.recent_purges.append(ReceivedPurge(purge, state.now))
        state.events.append(api.Purged(purge.object_number, purge.group, age_ns))
        self.decisions.run()
        self.attempts.cancel_matching(partial(matches_purge, purge))

    def assume_unknown_purges(self, ago_ns: int) -> None:
        """Treat every object as purged ``ago_ns`` before now, as purges until then may be unknown."""
        self.state.events.append(api.PurgesUnknown(ago_ns))
        self.decisions.run()
        self.attempts.cancel_matching(lambda _attempt: True)

    def unknown_field(self, update: EndpointUpdate) -> str:
        """Return the first zone or type in an update that the settings do not contain, or "".

        An update that contains one is not applied.
        """
        zones, kinds = self.state.config.settings.zones, self.state.config.machine_kinds.names
        for endpoint in update.endpoints:
            if endpoint.zone not in zones:
                return f"zone: {endpoint.zone!r} of {endpoint.name} is not one of {', '.join(zones)}"
            if kinds and endpoint.kind not in kinds:
                return f"type: {endpoint.kind!r} of {endpoint.name} is not one of {', '.join(sorted(kinds))}"
        return ""

    def apply(self, update: EndpointUpdate) -> None:
        """Apply an update.

        Attempts that have not been sent and need a server that is no longer in service are cancelled, so that
        the decision package selects again.
        """
        update_kind = self.kind_of_update(update)
        if update_kind == "replace":
            self.retire_unlisted(update.endpoints)
        self.has_endpoint_list = True
        self.changes += 1
        if self.state.is_tracing:
            self.trace_list(update)
        for endpoint in update.endpoints:
            if endpoint.state == IN_SERVICE:
                self.state.endpoints[endpoint.name] = endpoint
            else:
                self.retire(endpoint.name)
        self.state.events.append(
            api.EndpointListChanged(update_kind, tuple(map(self.to_decision_server, update.endpoints)))
        )
        self.decisions.run()
        self.attempts.cancel_matching(self.uses_unlisted_server)

    def kind_of_update(self, update: EndpointUpdate) -> str:
        """Name of an update in the decision package: "restored" first, then "replace" or "update"."""
        if not self.has_endpoint_list:
            return "restored"
        return "replace" if update.is_snapshot else "update"

    def to_decision_server(self, endpoint: EndpointRecord) -> api.Server:
        """Convert an endpoint to the decision package's type."""
        return api.Server(
            endpoint.name,
            self.state.config.machine_kinds.role_of(endpoint.kind),
            endpoint.zone,
            endpoint.cell,
            endpoint.state,
            endpoint.weight,
            endpoint.started_ns,
        )

    def uses_unlisted_server(self, attempt: Attempt) -> bool:
        """Whether an attempt is sent to, or filled from, a server that is not in service."""
        in_service = self.state.endpoints
        return attempt.forward.server not in in_service or attempt.forward.fill_source not in in_service

    def retire_unlisted(self, listed: Iterable[EndpointRecord]) -> None:
        """Retire the servers that a snapshot does not contain."""
        names = {endpoint.name for endpoint in listed}
        for name in [name for name in self.state.endpoints if name not in names]:
            self.retire(name)

    def retire(self, name: str) -> None:
        """Remove a server from the list, and close each of its connections once it has become idle."""
        self.state.endpoints.pop(name, None)
        self.attempts.connections.retire_server(name)

    def log_not_applied(self, reason: str) -> None:
        """Log that an event, or an endpoint of one, is not applied."""
        self.state.log("feed.refused", f"feed: not applied: {reason}", "warning", {"why": reason})

    def trace_list(self, update: EndpointUpdate) -> None:
        """Trace the step ``list``: an update of the endpoint list is applied."""
        self.state.trace(
            "list",
            whole=update.is_snapshot,
            servers=[[e.name, e.kind, e.zone, e.state, e.weight, e.started_ns] for e in update.endpoints],
        )


def matches_purge(purge: Purge, attempt: Attempt) -> bool:
    """Whether an attempt requests an object that was purged."""
    message = attempt.request.message
    if purge.object_number is None:
        return message.group == purge.group
    return message.object_number == purge.object_number
