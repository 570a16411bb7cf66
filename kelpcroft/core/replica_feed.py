"""Watch on control replicas, which replace the configuration's feed of endpoints and purges.

The module is imported only where the operator's file names replicas.  ``kelpcroft.control_log`` judges each
response and selects the next replica; this module applies the result to ``EndpointList``.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from kelpcroft.control_log.follower import ResponseHead, ResponseVerdict
from kelpcroft.control_log.subscription import NextRequest, Subscription
from kelpcroft.core.effects import SwitchFeed
from kelpcroft.core.endpoint_list import EndpointList
from kelpcroft.core.feed_position import FeedPosition
from kelpcroft.core.inputs import EndpointUpdate, Purge, WatchFailed, WatchResponse
from kelpcroft.core.state import State
from kelpcroft.discovery.endpoint_view import IN_SERVICE

if TYPE_CHECKING:
    from kelpcroft.operator_file.model import ControlReplicas

# Early responses without events, in a row, that do not count as a request loop: one for a first state that is
# suspect, and two that are in flight across a move to another replica.
MAX_EMPTY_RESPONSES = 3


class ReplicaFeed:
    """One router's watch on control replicas."""

    def __init__(
        self,
        state: State,
        position: FeedPosition,
        endpoint_list: EndpointList,
        replicas: ControlReplicas,
        seed: int,
    ) -> None:
        """Create a watch on replicas; ``seed`` differs between routers and between starts of a router."""
        self.state = state
        self.position = position
        self.endpoint_list = endpoint_list
        self.subscription = Subscription(state.now, replicas.addresses, replicas.stale_after_ns, seed)
        self.empty_responses = 0  # early responses without events, in a row
        # Chunks received of the current response.  Responses of replicas are bounded, so a response in chunks
        # does not come from a replica.
        self.chunks = 0

    def start(self) -> None:
        """Send the first watch request, after a short random delay."""
        self.position.subscription = self.subscription
        self.state.effects.append(SwitchFeed(self.subscription.current_address))
        self.position.schedule_watch_request(self.subscription.selector.short_random_delay_ns())

    def on_response(self, response: WatchResponse) -> None:
        """Apply what a response's verdict permits, and send the next watch request."""
        if response.has_more:
            self.chunks += 1
            return
        has_snapshot = any(isinstance(e, EndpointUpdate) and e.is_snapshot for e in response.events)
        as_of_ms = 0 if self.chunks else response.as_of_ms
        head = ResponseHead(response.last_event, response.log_fingerprint, as_of_ms, has_snapshot)
        self.chunks = 0
        if self.is_requesting_in_a_loop(response):
            self.move_to_next_replica("it responds immediately without events")
            return
        outcome = self.subscription.record_response(self.state.now, head)
        if outcome.verdict is ResponseVerdict.APPLY:
            self.apply_all(response, has_snapshot)
            self.position.has_responded = True
        elif outcome.verdict is ResponseVerdict.APPLY_REMOVALS_ONLY:
            self.apply_removals(response)
        if outcome.next_request is NextRequest.NEXT_REPLICA:
            self.move_to_next_replica(outcome.reason)
            return
        if outcome.next_request is NextRequest.HOME_REPLICA:
            self.state.effects.append(SwitchFeed(self.subscription.current_address))
        self.position.send_watch_request()

    def is_requesting_in_a_loop(self, response: WatchResponse) -> bool:
        """Whether too many early responses without events arrived in a row.

        A healthy replica waits for events before it responds.
        """
        if self.position.is_early_empty_response(response, bool(response.events)):
            self.empty_responses += 1
        else:
            self.empty_responses = 0
        return self.empty_responses > MAX_EMPTY_RESPONSES

    def apply_all(self, response: WatchResponse, has_snapshot: bool) -> None:
        """Apply all events of a response.

        A snapshot may belong to another log, whose event numbers are lower.
        """
        view = self.position.view
        if has_snapshot:
            view.last_event_number = 0
        view.begin_response(max(view.last_event_number, response.last_event))
        self.endpoint_list.apply_events(response)
        view.last_event_number = response.last_event

    def apply_removals(self, response: WatchResponse) -> None:
        """Apply only the purges of a response, and the removals of known servers.

        The response's state may be earlier than the state that was applied.
        """
        known = self.position.view.endpoints
        for event in response.events:
            if isinstance(event, Purge):
                self.endpoint_list.apply_purge(event)
                continue
            removed = tuple(
                endpoint
                for endpoint in event.endpoints
                if endpoint.state != IN_SERVICE
                and endpoint.name in known
                and endpoint.started_ns >= known[endpoint.name].started_ns
            )
            if removed and not self.endpoint_list.unknown_field(event):
                self.position.view.apply(removed, False)
                self.endpoint_list.apply(EndpointUpdate(False, removed, event.event_number))

    def on_failed(self, failed: WatchFailed) -> None:
        """Move to the next replica after a failed watch request."""
        self.move_to_next_replica(failed.reason)

    def move_to_next_replica(self, reason: str) -> None:
        """Move from the current replica to the next one."""
        host, port = self.subscription.current_address
        if not self.subscription.selector.consecutive_failures:
            fields: dict[str, object] = {"replica": f"{host}:{port}", "why": reason}
            text = f"moving away from control replica {host}:{port}: {reason}"
            self.state.log("replica.left", text, "warning", fields)
        self.chunks = 0
        self.empty_responses = 0
        wait_ns = self.subscription.select_next_replica(self.state.now)
        self.state.effects.append(SwitchFeed(self.subscription.current_address))
        self.position.schedule_watch_request(wait_ns)
