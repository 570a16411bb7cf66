"""Watch on the feed that the configuration names: its responses and failures, and the next requests."""

from __future__ import annotations

from kelpcroft.core.effects import SwitchFeed
from kelpcroft.core.endpoint_list import EndpointList
from kelpcroft.core.feed_position import FeedPosition
from kelpcroft.core.inputs import WatchFailed, WatchResponse
from kelpcroft.core.state import State

# This many early responses without events in a row count as a failed watch request.  Under a budget of
# requests, the first one does.
MAX_EMPTY_RESPONSES = 3


class ConfiguredFeed:
    """One router's watch on its configured feed."""

    def __init__(self, state: State, position: FeedPosition, endpoint_list: EndpointList) -> None:
        self.state = state
        self.position = position
        self.endpoint_list = endpoint_list
        self.address = state.config.feed_address
        self.empty_responses = 0  # early responses without events, in a row

    def on_response(self, response: WatchResponse) -> None:
        """Apply a response, then send the next watch request immediately.

        It is sent immediately because the rules count an event as known to the router as soon as the feed has
        it.  Repeated early responses without events count as failures, because the router would otherwise
        send watch requests in a loop.  Event numbers that went back cost each router of the fleet a second
        request, for a snapshot.  That request is delayed as after a failure, so that under a budget the
        fleet's requests are spread over time.
        """
        if response.has_more:
            self.apply_chunk(response)
            return
        schedule = self.position.schedule
        has_events = bool(
            response.events or response.unusable_events or self.endpoint_list.chunked_response_events
        )
        if self.position.is_early_empty_response(response, has_events):
            self.empty_responses += 1
        else:
            self.empty_responses = 0
        needs_snapshot = self.apply_response(response)
        made_no_progress = (
            self.endpoint_list.chunked_response_events > 0
            and self.position.last_event <= self.position.requested_from_event
        )
        self.end_chunked_response()
        if made_no_progress:
            self.position.schedule_watch_request(schedule.record_failure(wasted_bytes=response.bytes_read))
        elif needs_snapshot or self.empty_responses >= (1 if schedule.has_budget else MAX_EMPTY_RESPONSES):
            self.position.schedule_watch_request(schedule.record_failure())
        else:
            schedule.record_success()
            self.position.has_responded = True
            self.position.send_watch_request()

    def apply_response(self, response: WatchResponse) -> bool:
        """Apply a complete response, or the end of a response that arrived in chunks.

        Returns:
            Whether a snapshot must be requested, because the feed's event numbers went back.
        """
        view = self.position.view
        view.begin_response(response.last_event)
        self.endpoint_list.apply_events(response)
        before = self.position.last_event
        needs_snapshot = view.end_response(self.state.now, response.last_event)
        if needs_snapshot:
            self.state.log(
                "feed.renumbered",
                f"feed: event numbers went back from {before} to {response.last_event}: "
                "requesting a snapshot",
                "warning",
                {"before": before, "after": response.last_event},
            )
        return needs_snapshot

    def apply_chunk(self, response: WatchResponse) -> None:
        """Apply one chunk of a response too long to be decoded in one go, as after hours without the feed."""
        endpoint_list, requested_from = self.endpoint_list, self.position.requested_from_event
        if not endpoint_list.chunked_response_events:
            self.state.log(
                "feed.behind",
                f"feed: far behind at event {requested_from}: the response is applied in chunks",
                "info",
                {"from": requested_from},
            )
        endpoint_list.chunked_response_events += len(response.events) + len(response.unusable_events)
        endpoint_list.apply_events(response)
        self.position.view.record_progress(response.last_event)

    def end_chunked_response(self) -> None:
        """Log and reset the counts of a response in chunks that has ended or failed.

        The events that were applied stay applied.
        """
        endpoint_list = self.endpoint_list
        events, skipped = endpoint_list.chunked_response_events, endpoint_list.skipped_purges
        if events:
            last_event = self.position.last_event
            self.state.log(
                "feed.pieces",
                f"feed: received {events} events of a response in chunks, up to {last_event}; "
                f"skipped {skipped} purges of them as too old",
                "info",
                {"events": events, "to": last_event, "past": skipped},
            )
        endpoint_list.chunked_response_events = 0
        endpoint_list.skipped_purges = 0

    def on_failed(self, failed: WatchFailed) -> None:
        """Keep the endpoint list after a failed watch request, and send the next request after a delay."""
        schedule = self.position.schedule
        if not schedule.consecutive_failures:
            self.state.log("feed.lost", f"feed: {failed.reason}", "warning", {"why": failed.reason})
        self.end_chunked_response()
        has_progressed = self.position.last_event > self.position.requested_from_event
        wasted_bytes = 0 if has_progressed else failed.bytes_read
        self.position.schedule_watch_request(schedule.record_failure(failed.retry_after_ns, wasted_bytes))

    def switch_to(self, address: tuple[str, int]) -> None:
        """Watch the feed at an address from now on; failures at the previous address no longer count."""
        self.address = address
        self.position.schedule.consecutive_failures = 0
        self.state.effects.append(SwitchFeed(address))
        self.position.send_watch_request()
