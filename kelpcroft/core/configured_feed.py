"""The feed that the configuration names: its answers and failures, and the calls that follow."""

from __future__ import annotations

from kelpcroft.core.effects import SwitchFeed
from kelpcroft.core.endpoint_list import EndpointList
from kelpcroft.core.feed_position import FeedPosition
from kelpcroft.core.inputs import WatchFailed, WatchResponse
from kelpcroft.core.state import State

# In a row, that came at once with nothing new: this many count as a failed call.  Under a budget of calls
# the first one does.
MAX_EMPTY_ANSWERS = 3


class ConfiguredFeed:
    """One router's watch on its configured feed."""

    def __init__(self, state: State, position: FeedPosition, endpoint_list: EndpointList) -> None:
        self.state = state
        self.position = position
        self.endpoint_list = endpoint_list
        self.address = state.config.feed_address
        self.empty_answers = 0  # in a row, that came at once with nothing new

    def on_response(self, response: WatchResponse) -> None:
        """Take an answer up; then call again at once: what the feed has counts as known to the router.

        Answers that come at once with nothing new, again and again, count as failures, else the router would
        poll in a loop.  Numbers that went back cost each router of the fleet a second call, for the whole
        list: it waits as after a failure, so that under a budget it is spread as well.
        """
        if response.has_more:
            self.take_piece(response)
            return
        schedule = self.position.schedule
        has_events = bool(
            response.events or response.unusable_events or self.endpoint_list.events_of_long_answer
        )
        if self.position.is_empty_answer(response, has_events):
            self.empty_answers += 1
        else:
            self.empty_answers = 0
        needs_full_list = self.take_response(response)
        brought_nothing = (
            self.endpoint_list.events_of_long_answer > 0
            and self.position.last_event <= self.position.called_at_event
        )
        self.end_long_answer()
        if brought_nothing:
            self.position.call_in(schedule.record_failure(wasted_bytes=response.bytes_read))
        elif needs_full_list or self.empty_answers >= (1 if schedule.has_budget else MAX_EMPTY_ANSWERS):
            self.position.call_in(schedule.record_failure())
        else:
            schedule.record_success()
            self.position.call()

    def take_response(self, response: WatchResponse) -> bool:
        """Take up a whole answer.

        Returns:
            Whether the whole list is to be asked for, as the feed's numbers went back.
        """
        view = self.position.view
        view.begin_response(response.last_event)
        self.endpoint_list.take_events(response)
        before = self.position.last_event
        needs_full_list = view.end_response(self.state.now, response.last_event)
        if needs_full_list:
            self.state.log(
                "feed.renumbered",
                f"feed: its numbers went back from {before} to {response.last_event}: "
                "the whole list is asked for",
                "warning",
                {"before": before, "after": response.last_event},
            )
        return needs_full_list

    def take_piece(self, response: WatchResponse) -> None:
        """Take up part of an answer that is too long to be taken as one, as after hours without the feed."""
        endpoint_list, called_at = self.endpoint_list, self.position.called_at_event
        if not endpoint_list.events_of_long_answer:
            self.state.log(
                "feed.behind",
                f"feed: far behind at event {called_at}: the answer is taken event by event",
                "info",
                {"from": called_at},
            )
        endpoint_list.events_of_long_answer += len(response.events) + len(response.unusable_events)
        endpoint_list.take_events(response)
        self.position.view.record_progress(response.last_event)

    def end_long_answer(self) -> None:
        """Such an answer has ended or broken off: what came of it stays."""
        endpoint_list = self.endpoint_list
        events, left_out = endpoint_list.events_of_long_answer, endpoint_list.purges_left_out
        if events:
            last_event = self.position.last_event
            self.state.log(
                "feed.pieces",
                f"feed: {events} events of a long answer taken, up to {last_event}; "
                f"{left_out} purges of them no longer matter",
                "info",
                {"events": events, "to": last_event, "past": left_out},
            )
        endpoint_list.events_of_long_answer = 0
        endpoint_list.purges_left_out = 0

    def on_failed(self, failed: WatchFailed) -> None:
        """A call failed: what is known stays, and the feed is called again, at once or in a while."""
        schedule = self.position.schedule
        if not schedule.consecutive_failures:
            self.state.log("feed.lost", f"feed: {failed.reason}", "warning", {"why": failed.reason})
        self.end_long_answer()
        has_progressed = self.position.last_event > self.position.called_at_event
        wasted_bytes = 0 if has_progressed else failed.bytes_read
        self.position.call_in(schedule.record_failure(failed.retry_after_ns, wasted_bytes))

    def switch_to(self, address: tuple[str, int]) -> None:
        """Call the feed at an address from now on, whatever failed at the last one."""
        self.address = address
        self.position.schedule.consecutive_failures = 0
        self.state.effects.append(SwitchFeed(address))
        self.position.call()
