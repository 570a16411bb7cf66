"""The state machine of a control replica: it follows one upstream and answers many watchers.  Pure.

- Upstream is the list service or another replica.  One call is out at a time, so what upstream hears does not
  grow with the watchers here.
- A watcher is answered when there is news, and once its wait is over; between two answers to one watcher
  lie at least ``batch_ns``, so that its calls are bounded whatever the rate of events, and news is told
  within that.
- Every answer says as of when the state is known to be complete.  Past the lease this replica is stale: it
  says so by that time, at once, so that nobody takes old news for none.

Times are Unix nanoseconds that do not run back; the time is an argument.
"""

from __future__ import annotations

import heapq
from dataclasses import dataclass
from typing import Any, Union

import orjson

from kelpcroft.controllog.follower import Follower, Head, Position, Verdict
from kelpcroft.controllog.log import ControlLog, LogFull, canonical, mark_of
from kelpcroft.controllog.sources import Address, Sources

MS = 1_000_000
SECOND = 1_000 * MS
UPSTREAM_WAIT_NS = SECOND  # a call waits so long for news: the state is known to be complete as often
UPSTREAM_LATE_NS = 400 * MS  # past its wait an answer has come by then, or the connection is given up
HASTY_SHARE = 4  # a call that is to be answered at once may follow in a part of the batch's time
EARLY_NS = 100 * MS  # a watcher's call is answered so much before its wait is over
WAIT_MOST_NS = 5 * SECOND  # no call waits longer (the protocol's bound)
BODIES_KEPT = 16  # encoded answers kept for other watchers of the same position
RETRY_S = 1  # a watcher that is refused is told to come back after this


@dataclass(frozen=True, slots=True)
class Options:
    """One replica's settings."""

    upstreams: tuple[Address, ...]
    peers: frozenset[Address] = frozenset()  # those of them that are replicas; the others are list services
    lease_ns: int = 3 * SECOND
    batch_ns: int = 400 * MS
    watches_most: int = 1_000
    purge_span_ns: int = 66 * SECOND


@dataclass(frozen=True, slots=True)
class Feed:
    """An answer from upstream, or a piece of one (``more``)."""

    last: int
    events: tuple[Any, ...]
    mark: str = ""
    as_of_ms: int | None = None  # None: it is a list service's, which is complete when it is given
    more: bool = False


@dataclass(frozen=True, slots=True)
class Watch:
    """A watcher's call."""

    watcher: int
    position: Position
    marked: bool  # it knows of marks; else its number is all it has
    wait_ns: int


@dataclass(frozen=True, slots=True)
class Answer:
    """The body of an answer to a watcher."""

    watcher: int
    body: bytes


@dataclass(frozen=True, slots=True)
class Refuse:
    """A watcher is turned away for now."""

    watcher: int
    why: str
    retry_s: int = RETRY_S


@dataclass(frozen=True, slots=True)
class CallUpstream:
    """Call an address for what comes after a position, ``delay_ns`` from now; ``anew``: on a new
    connection, as what still comes on the one that stands is of no use."""

    address: Address
    position: Position
    wait_ns: int
    delay_ns: int = 0
    anew: bool = False


@dataclass(frozen=True, slots=True)
class Note:
    """An event for the log."""

    event: str
    text: str
    fields: dict[str, object]
    level: str = "info"


Effect = Union[Answer, Refuse, CallUpstream, Note]


@dataclass(slots=True)
class Waiting:
    """A call that is not answered yet."""

    watch: Watch
    since_ns: int
    until_ns: int
    due_ns: int = 0  # its entry in the heap that counts


class Replica:
    """One control replica.  ``start``, ``on_*`` are its inputs; each returns what is to be done."""

    def __init__(self, options: Options, seed: int) -> None:
        self.options = options
        self.log = ControlLog(options.purge_span_ns // MS)
        self.follower = Follower()
        self.sources = Sources(options.upstreams, seed)
        self.waiting: dict[int, Waiting] = {}  # by watcher
        self.answered_ns: dict[int, int] = {}  # by watcher: when it was last answered
        self.heap: list[tuple[int, int]] = []  # when to look at which watcher
        self.bodies: dict[Position, bytes] = {}  # answers as of now, by the position asked for
        self.called_ns = 0
        self.unsure = False  # the connection was lost: is it the same log still?
        self.told = False  # the last answer from upstream brought something
        self.stale = True
        self.effects: list[Effect] = []
        self.counts = {"answers": 0, "snapshots": 0, "refusals": 0, "upstream_calls": 0, "moves": 0}

    # Upstream ---------------------------------------------------------------------------------------------

    def start(self, now: int) -> list[Effect]:
        """The first call."""
        self.effects = []
        self.call(now, 0)
        return self.effects

    def call(self, now: int, delay_ns: int, anew: bool = False) -> None:
        """Call upstream."""
        self.called_ns = now + delay_ns
        self.counts["upstream_calls"] += 1
        position = self.follower.asks()
        if self.unsure and position.number and self.sources.address not in self.options.peers:
            # A list service knows no marks, and counts from 1 when it is restarted: the last event that is
            # known is asked for again, to be held against what it was.
            position = Position(self.log.last - 1)
        self.effects.append(CallUpstream(self.sources.address, position, UPSTREAM_WAIT_NS, delay_ns, anew))

    def on_upstream_lost(self, now: int, why: str) -> list[Effect]:
        """A call failed: another address is asked, and what is known stays."""
        self.effects = []
        self.move(now, why)
        self.review(now)
        return self.effects

    def move(self, now: int, why: str) -> None:
        """To the next upstream."""
        before = self.sources.address
        if not self.sources.failures:
            self.note("upstream.lost", f"upstream {before[0]}:{before[1]}: {why}", {"why": why}, "warning")
        self.counts["moves"] += 1
        self.unsure = True
        self.call(now, self.sources.failed(now))

    def on_upstream(self, now: int, feed: Feed) -> list[Effect]:
        """An answer from upstream, in whole or in pieces."""
        self.effects, self.told = [], self.brings(feed)
        if self.sources.address in self.options.peers:
            self.on_peer(now, feed)
        else:
            self.on_list_service(now, feed)
        self.bodies.clear()
        self.review(now)
        return self.effects

    def brings(self, feed: Feed) -> bool:
        """Whether an answer holds an event past those that are known, or begins another state."""
        numbers = [raw["n"] for raw in feed.events if isinstance(raw, dict) and type(raw.get("n")) is int]
        return self.follower.resync or max([feed.last, *numbers]) > self.log.last

    def on_list_service(self, now: int, feed: Feed) -> None:
        """The list service's answer is complete as of the call; its numbers go back when it was restarted."""
        f = self.follower
        if f.resync or not f.position.number:
            if self.log.last:
                self.log.begin_anew()
            f.resync, f.position = False, Position(max(1, self.log.last))
        other = self.unsure and self.log.last and not self.repeats(feed.events)
        if other or not feed.more and feed.last < self.log.last:
            before, f.resync, self.unsure = self.log.last, True, False
            self.note(
                "upstream.renumbered",
                f"it counts anew: {feed.last} after {before}: the whole list is asked for",
                {"before": before, "after": feed.last},
                "warning",
            )
            self.call(now, 0, anew=True)
            return
        self.unsure = False
        self.extend(now, feed.events)
        if feed.more:
            f.position = Position(max(f.position.number, self.log.last), self.log.mark)
            return
        head = Head(feed.last, self.log.mark, self.called_ns // MS, False)
        f.act(head, Verdict.TAKE)
        self.good(now)

    def repeats(self, events: tuple[Any, ...]) -> bool:
        """Whether the last event that is known is told again as it was."""
        return any(
            isinstance(raw, dict)
            and raw.get("n") == self.log.last
            and mark_of(canonical(raw)) == self.log.mark
            for raw in events
        )

    def on_peer(self, now: int, feed: Feed) -> None:
        """Another replica's answer may be of an earlier state than this one's."""
        self.unsure = True  # numbers of a list service that is asked after it are to be held against it
        if feed.more or feed.as_of_ms is None:
            self.move(now, "it does not answer as a control replica")
            return
        whole = any(isinstance(e, dict) and e.get("members", {}).get("snapshot") for e in feed.events)
        head = Head(feed.last, feed.mark, feed.as_of_ms, whole)
        verdict = self.follower.judge(head)
        self.follower.act(head, verdict)
        if verdict is Verdict.TAKE and whole:
            self.log.begin_anew()
            for event in feed.events:
                self.used(self.log.apply(event, now // MS))
            self.log.set_base(feed.last, feed.mark)
        elif verdict is Verdict.TAKE:
            self.extend(now, feed.events)
        elif verdict is Verdict.DEPARTURES:
            self.take_departures(now, feed.events)
        if verdict is Verdict.BEHIND:
            self.move(now, "it is behind")
        elif verdict is Verdict.TAKE and now // MS - feed.as_of_ms > self.options.lease_ns // MS:
            self.move(now, "it is stale")
        else:
            self.good(now)

    def good(self, now: int) -> None:
        """Go on with the next call, at home if it is time.  An answer that came at once and brought nothing
        would else be asked for in a loop."""
        self.sources.answered(now)
        idle = not self.told and now - self.called_ns < UPSTREAM_WAIT_NS // 2
        self.call(now, self.options.batch_ns if idle else 0)

    def extend(self, now: int, events: tuple[Any, ...]) -> None:
        """Events behind those that are known; one that is known already is not told twice."""
        for raw in events:
            number = raw.get("n") if isinstance(raw, dict) else None
            if type(number) is int and number <= self.log.last:
                continue
            self.used(self.log.add(raw, now // MS))

    def take_departures(self, now: int, events: tuple[Any, ...]) -> None:
        """Of an earlier or doubtful state: its purges, and known servers that go.  They stand in the state
        and in snapshots; those who follow by the tail hear of them from whoever is later."""
        for raw in events:
            if "purge" in raw:
                self.used(self.log.apply(raw, now // MS))

    def used(self, fault: str) -> None:
        if fault:
            self.note("upstream.refused", f"not used: {fault}", {"why": fault}, "warning")

    # Watchers ---------------------------------------------------------------------------------------------

    def on_watch(self, now: int, watch: Watch) -> list[Effect]:
        """A watcher calls.  A second call replaces the first."""
        self.effects = []
        if watch.watcher not in self.waiting and len(self.waiting) >= self.options.watches_most:
            self.refuse(watch.watcher, f"over {self.options.watches_most} watches")
            return self.effects
        until = now + max(0, min(watch.wait_ns, WAIT_MOST_NS) - EARLY_NS)
        self.waiting[watch.watcher] = Waiting(watch, now, until)
        self.look(now, self.waiting[watch.watcher])
        return self.effects

    def on_gone(self, watcher: int) -> None:
        """A watcher's connection has ended."""
        self.waiting.pop(watcher, None)
        self.answered_ns.pop(watcher, None)

    def next_due(self) -> int | None:
        """When ``on_due`` is to be called next: a watcher's time, or the end of the lease."""
        ends = [] if self.stale else [self.follower.as_of_ms * MS + self.options.lease_ns + 1]
        return min([*(entry[0] for entry in self.heap[:1]), *ends], default=None)

    def on_due(self, now: int) -> list[Effect]:
        """Answer whose time has come; the lease may have run out."""
        self.effects = []
        if not self.stale and not self.fresh(now):
            self.review(now)
        while self.heap and self.heap[0][0] <= now:
            due, watcher = heapq.heappop(self.heap)
            waiting = self.waiting.get(watcher)
            if waiting is not None and waiting.due_ns == due:
                self.look(now, waiting)
        return self.effects

    def fresh(self, now: int) -> bool:
        """Whether the state was complete within the lease."""
        return bool(self.follower.as_of_ms) and now - self.follower.as_of_ms * MS <= self.options.lease_ns

    def in_step(self) -> int:
        """How many watchers wait at the last event."""
        return sum(w.watch.position.number == self.log.last for w in self.waiting.values())

    def review(self, now: int) -> None:
        """Something changed for all watchers."""
        stale = not self.fresh(now)
        if stale != self.stale:
            self.stale = stale
            age = (now - self.follower.as_of_ms * MS) / SECOND
            if stale:
                self.note(
                    "replica.stale",
                    f"nothing from upstream for {age:.1f} s: watchers are told so",
                    {"age_s": round(age, 3)},
                    "warning",
                )
            else:
                last = self.log.last
                self.note("replica.fresh", f"in step with upstream at {last}", {"last": last})
        for waiting in list(self.waiting.values()):
            self.look(now, waiting)

    def look(self, now: int, waiting: Waiting) -> None:
        """Answer a call, or see when to look again."""
        watcher = waiting.watch.watcher
        batch = self.options.batch_ns
        hasty = waiting.until_ns - waiting.since_ns < batch
        least = self.answered_ns.get(watcher, 0) + (batch // HASTY_SHARE if hasty else batch)
        at = max(least, now if self.news(waiting) else waiting.until_ns)
        if at <= now:
            self.answer(now, waiting)
            return
        if waiting.due_ns != at:
            waiting.due_ns = at
            heapq.heappush(self.heap, (at, watcher))

    def news(self, waiting: Waiting) -> bool:
        """Whether there is anything to tell.  A follower that is ahead is waited for: news that it has is on
        its way here, unless this is another log."""
        if self.stale:
            return True
        position = waiting.watch.position
        if not waiting.watch.marked:
            return position.number != self.log.last
        if position.number > self.log.last:
            return False
        return position.number != self.log.last or position.mark != self.log.mark

    def answer(self, now: int, waiting: Waiting) -> None:
        """Tell a watcher what comes after its position."""
        watcher, position = waiting.watch.watcher, waiting.watch.position
        del self.waiting[watcher]
        if self.stale and not waiting.watch.marked:
            self.refuse(watcher, "stale")  # it could not tell old news from none
            return
        try:
            body = self.body(now, waiting.watch)
        except LogFull as error:
            self.refuse(watcher, str(error))
            return
        self.answered_ns[watcher] = now
        self.counts["answers"] += 1
        self.counts["snapshots"] += not position.number
        self.effects.append(Answer(watcher, body))

    def body(self, now: int, watch: Watch) -> bytes:
        """The answer's text."""
        found = self.bodies.get(watch.position) if watch.marked else None
        if found is None:
            found = self.encode(self.events(now, watch))
            if len(self.bodies) >= BODIES_KEPT:
                self.bodies.clear()
            if watch.marked:
                self.bodies[watch.position] = found
        return found

    def events(self, now: int, watch: Watch) -> list[bytes]:
        """What a follower at a position lacks."""
        number, last = watch.position.number, self.log.last
        if not last:
            return []
        if number > last:
            return []
        known = self.log.holds(number, watch.position.mark) if watch.marked else self.log.plain(number)
        return self.log.after(number) if number and known else self.log.snapshot(now // MS)

    def encode(self, events: list[bytes]) -> bytes:
        head = orjson.dumps({"n": self.log.last, "mark": self.log.mark, "as_of": self.follower.as_of_ms})
        return head[:-1] + b',"events":[' + b",".join(events) + b"]}"

    def refuse(self, watcher: int, why: str) -> None:
        self.counts["refusals"] += 1
        self.effects.append(Refuse(watcher, why))

    def note(self, event: str, text: str, fields: dict[str, object], level: str = "info") -> None:
        self.effects.append(Note(event, text, fields, level))
