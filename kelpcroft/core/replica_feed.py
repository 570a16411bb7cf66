"""The list of servers and the purges as control replicas tell them, in place of the configuration's feed.

Imported only where the operator's file names replicas.  What an answer is good for and which replica is
called next is ``kelpcroft.control_log``'s; this part carries it out on the state that ``core.members`` owns.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from kelpcroft.control_log.follower import ResponseHead, ResponseVerdict
from kelpcroft.control_log.subscription import NextCall, Subscription
from kelpcroft.core import effects, inputs
from kelpcroft.discovery.endpoint_view import IN_SERVICE

if TYPE_CHECKING:
    from kelpcroft.core.endpoint_list import EndpointList
    from kelpcroft.operator_file.model import ControlReplicas


EMPTY_ANSWERS_MOST = 3  # a first state that is doubtful, and two that cross a move, are not taken for a loop


class ReplicaFeed:
    """One router's watch on control replicas."""

    def __init__(self, members: EndpointList, replicas: ControlReplicas, seed: int) -> None:
        """``seed``: another for each router and each of its starts."""
        self.members, self.state = members, members.state
        self.subscription = Subscription(self.state.now, replicas.addresses, replicas.stale_after_ns, seed)
        self.empty_answers = 0  # in a row, that came at once with nothing new
        self.pieces = 0  # of an answer that came in pieces: it is no replica's, whose answers are bounded

    def begin(self) -> None:
        """The first call."""
        self.state.effects.append(effects.SwitchFeed(self.subscription.current_address))
        self.members.call_in(self.subscription.selector.short_random_delay_ns())

    def on_news(self, news: inputs.WatchResponse) -> None:
        """An answer: what its verdict allows is taken, and the next call follows."""
        if news.has_more:
            self.pieces += 1
            return
        whole = any(isinstance(event, inputs.EndpointUpdate) and event.is_full_list for event in news.events)
        head = ResponseHead(news.last_event, news.log_fingerprint, 0 if self.pieces else news.as_of_ms, whole)
        self.pieces = 0
        if self.is_no_answer(news):
            self.move_on("it answers at once with nothing")
            return
        outcome = self.subscription.record_response(self.state.now, head)
        if outcome.verdict is ResponseVerdict.APPLY:
            self.take(news, whole)
        elif outcome.verdict is ResponseVerdict.APPLY_REMOVALS_ONLY:
            self.take_departures(news)
        if outcome.next_call is NextCall.NEXT_REPLICA:
            self.move_on(outcome.reason)
            return
        if outcome.next_call is NextCall.HOME_REPLICA:
            self.state.effects.append(effects.SwitchFeed(self.subscription.current_address))
        self.members.call()

    def is_no_answer(self, news: inputs.WatchResponse) -> bool:
        """Whether answers came at once with nothing new, too often in a row: a replica that is well waits,
        and this one would be asked in a loop."""
        members = self.members
        fresh = bool(news.events) or news.last_event != members.last_event
        quick = not members.hasty and self.state.now - members.called_ns < members.watch().wait_ns // 2
        self.empty_answers = 0 if fresh or not quick else self.empty_answers + 1
        return self.empty_answers > EMPTY_ANSWERS_MOST

    def take(self, news: inputs.WatchResponse, whole: bool) -> None:
        """The events as they stand.  A whole list may be of another log, whose numbers are lower."""
        view = self.members.view
        if whole:
            view.last_event_number = 0
        view.begin_response(max(view.last_event_number, news.last_event))
        self.members.take_events(news)
        view.last_event_number = news.last_event

    def take_departures(self, news: inputs.WatchResponse) -> None:
        """Of a state that may be earlier than what is known: its purges, and known servers that go."""
        known = self.members.view.endpoints
        for event in news.events:
            if isinstance(event, inputs.Purge):
                self.members.take_purge(event)
                continue
            going = tuple(
                line
                for line in event.endpoints
                if line.state != IN_SERVICE
                and line.name in known
                and line.started_ns >= known[line.name].started_ns
            )
            if going and not self.members.foreign(event):
                self.members.view.apply(going, False)
                self.members.on_members(inputs.EndpointUpdate(False, going, event.event_number))

    def move_on(self, why: str) -> None:
        """Leave a replica for the next one."""
        host, port = self.subscription.current_address
        if not self.subscription.selector.consecutive_failures:
            fields: dict[str, object] = {"replica": f"{host}:{port}", "why": why}
            text = f"control replica {host}:{port} is left: {why}"
            self.state.log("replica.left", text, "warning", fields)
        self.pieces = self.empty_answers = 0
        wait_ns = self.subscription.select_next_replica(self.state.now)
        self.state.effects.append(effects.SwitchFeed(self.subscription.current_address))
        self.members.call_in(wait_ns)
