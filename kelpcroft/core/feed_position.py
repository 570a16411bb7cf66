"""Position of the router in the feed of endpoints and purges, and its watch requests."""

from __future__ import annotations

from typing import TYPE_CHECKING

from kelpcroft.core.effects import SendWatchRequest
from kelpcroft.core.inputs import WatchResponse
from kelpcroft.core.messages import TimerKind
from kelpcroft.core.state import MS, State
from kelpcroft.discovery.endpoint_view import EndpointView
from kelpcroft.discovery.schedule import DiscoverySchedule
from kelpcroft.discovery.watch_timeouts import WatchTimeouts, watch_timeouts

if TYPE_CHECKING:  # at run time, imported only where the operator's file names control replicas
    from kelpcroft.control_log.subscription import Subscription

IMMEDIATE_WAIT_MS = 1  # wait of a watch request to which the feed responds immediately


class FeedPosition:
    """The last event that was applied, and the watch requests for the events after it.

    Attributes:
        view: The last record of each server, and the number of the last event.
        schedule: Delays of the watch requests.
        subscription: The subscription to control replicas; None if the configuration's feed is watched.
        requested_ns: When the last watch request was sent, except those after a process stall.
        requested_from_event: The last applied event at that time.
        requires_immediate_response: The last watch request does not wait for events.
        has_responded: A response to a watch request of this process has been applied completely.
    """

    def __init__(self, state: State) -> None:
        self.state = state
        self.view = EndpointView()
        self.schedule = DiscoverySchedule(state.config.settings.instances, 0)
        self.subscription: Subscription | None = None
        self.requested_ns = 0
        self.requested_from_event = 0
        self.requires_immediate_response = False
        self.has_responded = False

    @property
    def last_event(self) -> int:
        """Number of the last event that was applied."""
        return self.view.last_event_number

    def schedule_watch_request(self, wait_ns: int) -> None:
        """Send the next watch request after a delay, or immediately if the delay is 0."""
        if wait_ns > 0:
            self.state.schedule(wait_ns, TimerKind.SEND_WATCH_REQUEST)
        else:
            self.send_watch_request()

    def send_watch_request(self) -> None:
        """Send a watch request for the events after the last one."""
        self.requested_ns = self.state.now
        self.requested_from_event = self.last_event
        self.requires_immediate_response = False
        timeouts = self.timeouts()
        self.append_watch_request(timeouts.wait_ns // MS, timeouts.silence_ns)

    def refresh_after_stall(self) -> None:
        """Send a watch request after a process stall, to which the feed responds immediately.

        The rules count the events that the feed published during the stall as known to the router.
        """
        self.state.counters["stalls"] += 1
        self.requires_immediate_response = True
        self.append_watch_request(IMMEDIATE_WAIT_MS, self.timeouts().silence_ns)

    def send_immediate_request(self) -> None:
        """Send a watch request to which the feed responds immediately, with or without events."""
        self.requested_ns = self.state.now
        self.requested_from_event = self.last_event
        self.requires_immediate_response = True
        self.append_watch_request(IMMEDIATE_WAIT_MS, self.timeouts().silence_ns)

    def append_watch_request(self, wait_ms: int, response_timeout_ns: int) -> None:
        """Send one watch request, from the subscription's position or after the last event."""
        if self.subscription is None:
            self.state.effects.append(SendWatchRequest(self.last_event, wait_ms, response_timeout_ns))
            return
        position = self.subscription.requested_position()
        self.state.effects.append(
            SendWatchRequest(position.event_number, wait_ms, response_timeout_ns, position.fingerprint)
        )

    def timeouts(self) -> WatchTimeouts:
        """How long a watch request waits for events, and its silence timeout after that."""
        return watch_timeouts(self.state.settings.rules, self.schedule.event_wait_ms() * MS)

    def is_early_empty_response(self, response: WatchResponse, has_events: bool) -> bool:
        """Whether a response without events arrived before half of its wait had passed.

        The router would send requests in a loop if it followed each such response with one immediately.
        """
        if has_events or response.last_event != self.last_event:
            return False
        waited_ns = self.state.now - self.requested_ns
        return not self.requires_immediate_response and waited_ns < self.timeouts().wait_ns // 2
