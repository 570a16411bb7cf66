"""Where this router stands in the feed of endpoints and purges, and its calls for what comes next."""

from __future__ import annotations

from typing import TYPE_CHECKING

from kelpcroft.core.effects import PollFeed
from kelpcroft.core.inputs import WatchResponse
from kelpcroft.core.messages import TimerKind
from kelpcroft.core.state import MS, State
from kelpcroft.discovery.endpoint_view import EndpointView
from kelpcroft.discovery.schedule import DiscoverySchedule
from kelpcroft.discovery.watch_timeouts import WatchTimeouts, watch_timeouts

if TYPE_CHECKING:  # imported where a file names control replicas
    from kelpcroft.control_log.subscription import Subscription

STALLED_WAIT_MS = 1  # a call that is to be answered at once


class FeedPosition:
    """The last event that is known, and the next call.

    Attributes:
        view: What is known of each server, and up to which event.
        schedule: When the feed is called.
        subscription: To control replicas, where these are followed in place of the configuration's feed.
        called_ns: When the feed was last called.
        called_at_event: The event named in that call.
        wants_answer_at_once: The last call was to be answered at once, news or none.
    """

    def __init__(self, state: State) -> None:
        self.state = state
        self.view = EndpointView()
        self.schedule = DiscoverySchedule(state.config.settings.instances, 0)
        self.subscription: Subscription | None = None
        self.called_ns = 0
        self.called_at_event = 0
        self.wants_answer_at_once = False

    @property
    def last_event(self) -> int:
        """The number of the last event that is known."""
        return self.view.last_event_number

    def call_in(self, wait_ns: int) -> None:
        """Make the next call of the feed, now or later."""
        if wait_ns > 0:
            self.state.schedule(wait_ns, TimerKind.POLL_FEED)
        else:
            self.call()

    def call(self) -> None:
        """Ask for what comes after the last event."""
        self.called_ns = self.state.now
        self.called_at_event = self.last_event
        self.wants_answer_at_once = False
        timeouts = self.timeouts()
        self.poll(timeouts.wait_ns // MS, timeouts.silence_ns)

    def call_after_stall(self) -> None:
        """Ask anew, to be answered at once: what the feed sent while the process stalled counts as known."""
        self.state.counters["stalls"] += 1
        self.wants_answer_at_once = True
        self.poll(STALLED_WAIT_MS, self.timeouts().silence_ns)

    def poll(self, wait_ms: int, response_timeout_ns: int) -> None:
        """One call, for what comes after the last event."""
        if self.subscription is None:
            self.state.effects.append(PollFeed(self.last_event, wait_ms, response_timeout_ns))
            return
        position = self.subscription.requested_position()
        self.state.effects.append(
            PollFeed(position.event_number, wait_ms, response_timeout_ns, position.fingerprint)
        )

    def timeouts(self) -> WatchTimeouts:
        """How long a call waits for news, and when it is doubted."""
        return watch_timeouts(self.state.settings.rules, self.schedule.news_wait_ms() * MS)

    def is_empty_answer(self, response: WatchResponse, has_events: bool) -> bool:
        """Whether an answer came at once with nothing new: asked for again and again it makes a loop."""
        if has_events or response.last_event != self.last_event:
            return False
        waited_ns = self.state.now - self.called_ns
        return not self.wants_answer_at_once and waited_ns < self.timeouts().wait_ns // 2
