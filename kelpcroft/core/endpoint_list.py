"""The list of servers and the purges that the feed tells, and where the feed is."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from typing import TYPE_CHECKING

from kelpcroft.core import effects, inputs
from kelpcroft.core.attempts import Attempts
from kelpcroft.core.messages import TimerKind
from kelpcroft.core.state import MS, Attempt, State
from kelpcroft.decision import interface as api
from kelpcroft.decision.statistics import mix64
from kelpcroft.discovery.endpoint_view import EndpointView
from kelpcroft.discovery.schedule import DiscoverySchedule
from kelpcroft.discovery.watch_timeouts import WatchTimeouts, watch_timeouts
from kelpcroft.startup.options import StartupOptions

if TYPE_CHECKING:  # imported where a file switches it on
    from kelpcroft.core.replica_feed import ReplicaFeed
    from kelpcroft.operator_file.model import ControlReplicas

EMPTY_ANSWERS_MOST = 3  # in a row, that came at once with nothing new; more are no answers


def concerns(purge: inputs.Purge, attempt: Attempt) -> bool:
    """Whether an attempt asks for what was purged."""
    call = attempt.request.message
    return (
        call.group == purge.group
        if purge.object_number is None
        else call.object_number == purge.object_number
    )


class EndpointList:
    """Who may be used, and up to which event of the feed that is known."""

    def __init__(self, state: State, attempts: Attempts, drive: Callable[[], None]) -> None:
        self.state, self.attempts, self.drive = state, attempts, drive
        self.view = EndpointView()  # what is known, up to which event
        self.listed = False  # a list has come
        self.feed_at = state.config.feed_address
        self.schedule = DiscoverySchedule(state.config.settings.instances, 0)
        self.called_ns = self.called_at = 0  # when the feed was last called, from which event
        self.parts = self.past = 0  # events of a long answer; purges left out of it
        self.replicas: ControlReplicas | None = None  # told by the operator's file
        self.replica_feed: ReplicaFeed | None = None  # of them, in place of the configuration's feed
        self.empty_answers = 0  # answers in a row that came at once with nothing
        self.hasty = False  # the last call was to be answered at once

    @property
    def last_event(self) -> int:
        """The last event of the feed."""
        return self.view.last_event_number

    def start(self, begin: StartupOptions, gentle_ns: int, replicas: ControlReplicas | None) -> None:
        """What was known at the start, and the first call, ``gentle_ns`` later after many starts."""
        config = self.state.config
        seed = mix64(self.state.own ^ self.state.now)
        self.schedule = DiscoverySchedule(config.settings.instances, seed, begin.list_calls_per_s)
        self.take(config.initial_endpoints)
        if replicas is not None:
            self.follow(replicas)
            return
        self.call_in(self.schedule.first_call_delay_ns() + gentle_ns if self.schedule.has_budget else 0)

    def begin(self, begin: StartupOptions) -> None:
        """The operator's file was read."""
        self.schedule.set_budget(self.state.settings.instances, begin.list_calls_per_s)

    def follow(self, replicas: ControlReplicas | None) -> None:
        """Watch control replicas from now on, or the configuration's feed where none are named.  Nothing is
        known of how its numbers and theirs go together: the whole list is asked for."""
        if replicas == self.replicas:
            return
        self.replicas, self.schedule.consecutive_failures = replicas, 0
        if replicas is None:
            self.replica_feed, self.view.last_event_number = None, 0
            self.state.effects.append(effects.SwitchFeed(self.feed_at))
            self.call()
            return
        from kelpcroft.core.replica_feed import ReplicaFeed

        self.replica_feed = ReplicaFeed(self, replicas, mix64(self.state.own ^ self.state.now))
        self.replica_feed.begin()

    def on_news(self, news: inputs.WatchResponse) -> None:
        """An answer of the feed; then the next call at once, as what the feed has counts as heard.  One that
        comes at once with nothing new, again and again, is no answer: it would be asked for in a loop.  One
        that counts anew costs a fleet two calls each: under a budget the second is spread as well."""
        if self.replica_feed is not None:
            self.replica_feed.on_news(news)
            return
        if news.has_more:
            self.take_piece(news)
            return
        fresh = bool(news.events or news.unusable_events or self.parts) or news.last_event != self.last_event
        quick = not self.hasty and self.state.now - self.called_ns < self.watch().wait_ns // 2
        self.empty_answers = 0 if fresh or not quick else self.empty_answers + 1
        anew = self.take(news)
        repeated = self.parts > 0 and self.last_event <= self.called_at
        self.end_pieces()
        if repeated:
            self.call_in(self.schedule.record_failure(wasted_bytes=news.bytes_read))
        elif anew or self.empty_answers >= (1 if self.schedule.has_budget else EMPTY_ANSWERS_MOST):
            self.call_in(self.schedule.record_failure())
        else:
            self.schedule.record_success()
            self.call()

    def take_piece(self, news: inputs.WatchResponse) -> None:
        """Part of an answer that is too long to be taken as one, as after hours without the feed."""
        if not self.parts:
            self.state.log(
                "feed.behind",
                f"feed: far behind at event {self.called_at}: the answer is taken event by event",
                "info",
                {"from": self.called_at},
            )
        self.parts += len(news.events) + len(news.unusable_events)
        self.take_events(news)
        self.view.record_progress(news.last_event)

    def end_pieces(self) -> None:
        """Such an answer has ended or broken off: what came of it stays."""
        if self.parts:
            self.state.log(
                "feed.pieces",
                f"feed: {self.parts} events of a long answer taken, up to "
                f"{self.last_event}; {self.past} purges of them no longer matter",
                "info",
                {"events": self.parts, "to": self.last_event, "past": self.past},
            )
        self.parts = self.past = 0

    def call_in(self, wait_ns: int) -> None:
        """The next call of the feed, now or later."""
        if wait_ns > 0:
            self.state.wake(wait_ns, TimerKind.POLL_FEED)
        else:
            self.call()

    def call(self) -> None:
        """Ask for what comes after the last event."""
        self.called_ns, self.called_at, self.hasty = self.state.now, self.last_event, False
        watch = self.watch()
        self.poll(watch.wait_ns // MS, watch.silence_ns)

    def poll(self, wait_ms: int, late_ns: int) -> None:
        """One call, for what comes after the last event."""
        if self.replica_feed is None:
            self.state.effects.append(effects.PollFeed(self.last_event, wait_ms, late_ns))
            return
        position = self.replica_feed.subscription.requested_position()
        self.state.effects.append(
            effects.PollFeed(position.event_number, wait_ms, late_ns, position.fingerprint)
        )

    def watch(self) -> WatchTimeouts:
        """How long a call waits for news, and when it is doubted."""
        return watch_timeouts(self.state.settings.rules, self.schedule.news_wait_ms() * MS)

    def on_stalled(self) -> None:
        """Ask anew, to be answered at once: what was told while the process stood still counts as told."""
        self.state.counters["stalls"] += 1
        self.hasty = True
        self.poll(1, self.watch().silence_ns)

    def refused(self, why: str) -> None:
        self.state.log("feed.refused", f"feed: not used: {why}", "warning", {"why": why})

    def take(self, news: inputs.WatchResponse) -> bool:
        """A whole answer of the feed.  Whether the whole list is to be asked for."""
        self.view.begin_response(news.last_event)
        self.take_events(news)
        before = self.last_event
        anew = self.view.end_response(self.state.now, news.last_event)
        if anew:
            self.state.log(
                "feed.renumbered",
                f"feed: its numbers went back from {before} to {news.last_event}: "
                "the whole list is asked for",
                "warning",
                {"before": before, "after": news.last_event},
            )
        return anew

    def take_events(self, news: inputs.WatchResponse) -> None:
        """Events of the feed, in their order."""
        for why in news.unusable_events:
            self.refused(why)
        for event in news.events:
            if isinstance(event, inputs.EndpointUpdate):
                self.take_list(event)
            else:
                self.take_purge(event)

    def take_list(self, event: inputs.EndpointUpdate) -> None:
        """The whole list or a change, as far as it can be used."""
        why = self.foreign(event)
        lines, faults = self.view.select_usable(event.endpoints, event.is_full_list, event.event_number)
        for fault in [why] if why else faults:
            self.refused(fault)
        if not why and (lines or not faults):
            self.view.apply(lines, event.is_full_list)
            self.on_members(inputs.EndpointUpdate(event.is_full_list, tuple(lines), event.event_number))

    def take_purge(self, event: inputs.Purge) -> None:
        """A purge.  In a long answer one so old that whoever heard it in time has forgotten it by now changes
        nothing, and there are many of them."""
        ago = max(0, self.state.now - event.purged_at_ns)
        if self.parts and ago > self.state.settings.rules.purge_retention_ns:
            self.past += 1
            return
        self.state.counters["purges"] += 1
        self.state.events.append(api.Purged(event.object_number, event.group, ago))
        self.drive()
        self.attempts.recall(partial(concerns, event))

    def foreign(self, members: inputs.EndpointUpdate) -> str:
        """What in a list event the settings do not know, or "".  Such an event changes nothing."""
        zones, kinds = self.state.config.settings.zones, self.state.config.kinds.names
        for e in members.endpoints:
            if e.zone not in zones:
                return f"zone: {e.zone!r} of {e.name} is not one of {', '.join(zones)}"
            if kinds and e.kind not in kinds:
                return f"type: {e.kind!r} of {e.name} is not one of {', '.join(sorted(kinds))}"
        return ""

    def on_members(self, members: inputs.EndpointUpdate) -> None:
        form = (
            "update" if self.listed and not members.is_full_list else "replace" if self.listed else "restored"
        )
        if form == "replace":
            kept = {e.name for e in members.endpoints}
            for name in [n for n in self.state.endpoints if n not in kept]:
                self.leave(name)
        self.listed = True
        if self.state.is_tracing:
            self.state.trace(
                "list",
                whole=members.is_full_list,
                servers=[
                    [e.name, e.kind, e.zone, e.state, e.weight, e.started_ns] for e in members.endpoints
                ],
            )
        for e in members.endpoints:
            if e.state == "in_service":
                self.state.endpoints[e.name] = e
            else:
                self.leave(e.name)
        role = self.state.config.kinds.role_of
        self.state.events.append(
            api.ServerList(
                form,
                tuple(
                    api.Server(e.name, role(e.kind), e.zone, e.cell, e.state, e.weight, e.started_ns)
                    for e in members.endpoints
                ),
            )
        )
        self.drive()
        known = self.state.endpoints
        self.attempts.recall(lambda a: a.fetch.server not in known or a.fetch.fill_source not in known)

    def leave(self, name: str) -> None:
        """A server takes nothing new; its connections go once they are empty."""
        self.state.endpoints.pop(name, None)
        self.state.connections.full.pop(name, None)
        for link in list(self.state.connections.by_server.get(name, ())):
            link.shunned = True
            self.attempts.rest(link)

    def on_feed_lost(self, lost: inputs.WatchFailed) -> None:
        """A call failed: the list and purges known so far stay as they are, and the feed is called again, at
        once or in a while (``start/listing.py``), or another replica is."""
        if self.replica_feed is not None:
            self.replica_feed.move_on(lost.reason)
            return
        if not self.schedule.consecutive_failures:
            self.state.log("feed.lost", f"feed: {lost.reason}", "warning", {"why": lost.reason})
        self.end_pieces()
        further = self.last_event > self.called_at
        self.call_in(self.schedule.record_failure(lost.retry_after_ns, 0 if further else lost.bytes_read))

    def move(self, feed: tuple[str, int]) -> str:
        """A file read again may name another address of the feed.  Its numbers go on, so nothing is told
        twice.  What is said of it in the log."""
        if feed == self.feed_at:
            return "the feed stays where it is"
        if self.replica_feed is not None:
            self.feed_at = feed
            return "the feed is not called: control replicas are named"
        self.feed_at, self.schedule.consecutive_failures = feed, 0
        self.state.effects.append(effects.SwitchFeed(feed))
        self.call()
        return f"the feed is at {feed[0]}:{feed[1]}"
