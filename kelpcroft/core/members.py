"""The list of servers and the purges that the feed tells, and where the feed is."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial

from kelpcroft import messages as m
from kelpcroft.core.attempts import Attempts
from kelpcroft.core.state import MS, Attempt, State
from kelpcroft.messages import Timer
from kelpcroft.start.begin import Begin
from kelpcroft.start.listing import Listing
from kelpcroft.start.lists import View
from kelpcroft.start.watch import Watch, bounded
from zincgrade import interface as api
from zincgrade.estimate import mix

HOLLOW_MOST = 3              # answers in a row that came at once with nothing new, before one is no answer


def concerns(purge: m.Purge, attempt: Attempt) -> bool:
    """Whether an attempt asks for what was purged."""
    call = attempt.request.call
    return call.group == purge.group if purge.object is None else call.object_number == purge.object


class Members:
    """Who may be used, and up to which event of the feed that is known."""

    def __init__(self, state: State, attempts: Attempts, drive: Callable[[], None]) -> None:
        self.state, self.attempts, self.drive = state, attempts, drive
        self.view = View()                                   # what is known, up to which event
        self.listed = False                                  # a list has come
        self.feed_at = state.config.feed
        self.listing = Listing(state.config.settings.instances, 0)
        self.called_ns = 0                                   # when the feed was last called
        self.hollow = 0                                      # answers in a row that came at once with nothing
        self.hasty = False                                   # the last call was to be answered at once

    @property
    def seen(self) -> int:
        """The last event of the feed."""
        return self.view.seen

    def start(self, begin: Begin, gentle_ns: int) -> None:
        """What was known at the start, and the first call, ``gentle_ns`` later after many starts."""
        config = self.state.config
        seed = mix(self.state.own ^ self.state.now)
        self.listing = Listing(config.settings.instances, seed, begin.list_calls)
        self.take(config.known)
        self.call_in(self.listing.first() + gentle_ns if self.listing.bounded else 0)

    def begin(self, begin: Begin) -> None:
        """The operator's file was read."""
        self.listing.resize(self.state.settings.instances, begin.list_calls)

    def on_news(self, news: m.News) -> None:
        """An answer of the feed; then the next call at once, as what the feed has counts as heard.  One that
        comes at once with nothing new, again and again, is no answer: it would be asked for in a loop.  One
        that counts anew costs a fleet two calls each: under a budget the second is spread as well."""
        fresh = bool(news.events or news.faults) or news.last != self.seen
        quick = not self.hasty and self.state.now - self.called_ns < self.watch().wait_ns // 2
        self.hollow = 0 if fresh or not quick else self.hollow + 1
        anew = self.take(news)
        if anew or self.hollow >= (1 if self.listing.bounded else HOLLOW_MOST):
            self.call_in(self.listing.failed())
        else:
            self.listing.answered()
            self.call()

    def call_in(self, wait_ns: int) -> None:
        """The next call of the feed, now or later."""
        if wait_ns > 0:
            self.state.wake(wait_ns, Timer.FEED)
        else:
            self.call()

    def call(self) -> None:
        """Ask for what comes after the last event."""
        self.called_ns, self.hasty = self.state.now, False
        watch = self.watch()
        self.state.effects.append(m.Poll(self.seen, watch.wait_ns // MS, watch.late_ns))

    def watch(self) -> Watch:
        """How long a call waits for news, and when it is doubted."""
        return bounded(self.state.settings.rules, self.listing.wait_ms() * MS)

    def on_stalled(self) -> None:
        """Ask anew, to be answered at once: what was told while the process stood still counts as told."""
        self.state.tally["stalls"] += 1
        self.hasty = True
        self.state.effects.append(m.Poll(self.seen, 1, self.watch().late_ns))

    def refused(self, why: str) -> None:
        self.state.log("feed.refused", f"feed: not used: {why}", "warning", {"why": why})

    def take(self, news: m.News) -> bool:
        """Events of the feed, in their order.  Whether the whole list is to be asked for."""
        self.view.answer(news.last)
        for why in news.faults:
            self.refused(why)
        for event in news.events:
            if isinstance(event, m.Members):
                why = self.foreign(event)
                lines, faults = self.view.usable(event.endpoints, event.whole, event.number)
                for fault in [why] if why else faults:
                    self.refused(fault)
                if not why and (lines or not faults):
                    self.view.take(lines, event.whole)
                    self.on_members(m.Members(event.whole, tuple(lines), event.number))
            else:
                self.state.tally["purges"] += 1
                ago = max(0, self.state.now - event.at_ns)
                self.state.events.append(api.Purged(event.object, event.group, ago))
                self.drive()
                self.attempts.recall(partial(concerns, event))
        before = self.seen
        anew = self.view.over(self.state.now, news.last)
        if anew:
            self.state.log("feed.renumbered", f"feed: its numbers went back from {before} to {news.last}: "
                           "the whole list is asked for", "warning", {"before": before, "after": news.last})
        return anew

    def foreign(self, members: m.Members) -> str:
        """What in a list event the settings do not know, or "".  Such an event changes nothing."""
        zones, kinds = self.state.config.settings.zones, self.state.config.kinds.names
        for e in members.endpoints:
            if e.zone not in zones:
                return f"zone: {e.zone!r} of {e.name} is not one of {', '.join(zones)}"
            if kinds and e.kind not in kinds:
                return f"type: {e.kind!r} of {e.name} is not one of {', '.join(sorted(kinds))}"
        return ""

    def on_members(self, members: m.Members) -> None:
        form = "update" if self.listed and not members.whole else "replace" if self.listed else "restored"
        if form == "replace":
            kept = {e.name for e in members.endpoints}
            for name in [n for n in self.state.endpoints if n not in kept]:
                self.leave(name)
        self.listed = True
        if self.state.traced:
            self.state.trace("list", whole=members.whole, servers=[
                [e.name, e.kind, e.zone, e.state, e.weight, e.started_ns] for e in members.endpoints])
        for e in members.endpoints:
            if e.state == "in_service":
                self.state.endpoints[e.name] = e
            else:
                self.leave(e.name)
        role = self.state.config.kinds.role
        self.state.events.append(api.ServerList(form, tuple(
            api.Server(e.name, role(e.kind), e.zone, e.cell, e.state, e.weight, e.started_ns)
            for e in members.endpoints)))
        self.drive()
        known = self.state.endpoints
        self.attempts.recall(lambda a: a.fetch.cache not in known or a.fetch.source not in known)

    def leave(self, name: str) -> None:
        """A server takes nothing new; its connections go once they are empty."""
        self.state.endpoints.pop(name, None)
        self.state.links.full.pop(name, None)
        for link in list(self.state.links.by_server.get(name, ())):
            link.shunned = True
            self.attempts.rest(link)

    def on_feed_lost(self, lost: m.FeedLost) -> None:
        """A call failed: the list and purges known so far stay as they are, and the feed is called again, at
        once or in a while (``start/listing.py``)."""
        if not self.listing.failures:
            self.state.log("feed.lost", f"feed: {lost.why}", "warning", {"why": lost.why})
        self.call_in(self.listing.failed(lost.retry_after_ns))

    def move(self, feed: tuple[str, int]) -> str:
        """A file read again may name another address of the feed.  Its numbers go on, so nothing is told
        twice.  What is said of it in the log."""
        if feed == self.feed_at:
            return "the feed stays where it is"
        self.feed_at, self.listing.failures = feed, 0
        self.state.effects.append(m.Move(feed))
        self.call()
        return f"the feed is at {feed[0]}:{feed[1]}"
