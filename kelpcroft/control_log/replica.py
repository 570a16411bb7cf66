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

from kelpcroft.control_log.follower import LogFollower, LogPosition, ResponseHead, ResponseVerdict
from kelpcroft.control_log.log import ControlLog, SnapshotIncompleteError, canonical_json, event_fingerprint
from kelpcroft.control_log.upstream_selection import Address, UpstreamSelector

MS = 1_000_000
SECOND = 1_000 * MS
UPSTREAM_WAIT_NS = SECOND  # a call waits so long for news: the state is known to be complete as often
UPSTREAM_TIMEOUT_MARGIN_NS = (
    400 * MS
)  # past its wait an answer has come by then, or the connection is given up
HASTY_SHARE = 4  # a call that is to be answered at once may follow in a part of the batch's time
EARLY_NS = 100 * MS  # a watcher's call is answered so much before its wait is over
WAIT_MOST_NS = 5 * SECOND  # no call waits longer (the protocol's bound)
BODIES_KEPT = 16  # encoded answers kept for other watchers of the same position
RETRY_S = 1  # a watcher that is refused is told to come back after this


@dataclass(frozen=True, slots=True)
class ReplicaOptions:
    """One replica's settings."""

    upstreams: tuple[Address, ...]
    peers: frozenset[Address] = frozenset()  # those of them that are replicas; the others are list services
    lease_ns: int = 3 * SECOND
    batch_ns: int = 400 * MS
    watches_most: int = 1_000
    purge_span_ns: int = 66 * SECOND


@dataclass(frozen=True, slots=True)
class UpstreamResponse:
    """An answer from upstream, or a piece of one (``more``)."""

    last_event_number: int
    events: tuple[Any, ...]
    fingerprint: str = ""
    as_of_ms: int | None = None  # None: it is a list service's, which is complete when it is given
    has_more: bool = False


@dataclass(frozen=True, slots=True)
class WatchRequest:
    """A watcher's call."""

    watcher_id: int
    position: LogPosition
    knows_fingerprints: bool  # it knows of marks; else its number is all it has
    wait_ns: int


@dataclass(frozen=True, slots=True)
class SendWatchResponse:
    """The body of an answer to a watcher."""

    watcher_id: int
    body: bytes


@dataclass(frozen=True, slots=True)
class RefuseWatcher:
    """A watcher is turned away for now."""

    watcher_id: int
    reason: str
    retry_after_s: int = RETRY_S


@dataclass(frozen=True, slots=True)
class CallUpstream:
    """Call an address for what comes after a position, ``delay_ns`` from now; ``anew``: on a new
    connection, as what still comes on the one that stands is of no use."""

    address: Address
    position: LogPosition
    wait_ns: int
    delay_ns: int = 0
    on_new_connection: bool = False


@dataclass(frozen=True, slots=True)
class WriteLogEvent:
    """An event for the log."""

    event: str
    text: str
    fields: dict[str, object]
    level: str = "info"


Effect = Union[SendWatchResponse, RefuseWatcher, CallUpstream, WriteLogEvent]


@dataclass(slots=True)
class Waiting:
    """A call that is not answered yet."""

    watch: WatchRequest
    since_ns: int
    until_ns: int
    due_ns: int = 0  # its entry in the heap that counts


class ControlReplica:
    """One control replica.  ``start``, ``on_*`` are its inputs; each returns what is to be done."""

    def __init__(self, options: ReplicaOptions, seed: int) -> None:
        self.options = options
        self.log = ControlLog(options.purge_span_ns // MS)
        self.follower = LogFollower()
        self.sources = UpstreamSelector(options.upstreams, seed)
        self.waiting: dict[int, Waiting] = {}  # by watcher
        self.answered_ns: dict[int, int] = {}  # by watcher: when it was last answered
        self.heap: list[tuple[int, int]] = []  # when to look at which watcher
        self.bodies: dict[LogPosition, bytes] = {}  # answers as of now, by the position asked for
        self.called_ns = 0
        self.unsure = False  # the connection was lost: is it the same log still?
        self.told = False  # the last answer from upstream brought something
        self.is_stale = True
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
        position = self.follower.requested_position()
        if self.unsure and position.event_number and self.sources.current_address not in self.options.peers:
            # A list service knows no marks, and counts from 1 when it is restarted: the last event that is
            # known is asked for again, to be held against what it was.
            position = LogPosition(self.log.last_event_number - 1)
        self.effects.append(
            CallUpstream(self.sources.current_address, position, UPSTREAM_WAIT_NS, delay_ns, anew)
        )

    def on_upstream_failed(self, now: int, why: str) -> list[Effect]:
        """A call failed: another address is asked, and what is known stays."""
        self.effects = []
        self.move(now, why)
        self.review(now)
        return self.effects

    def move(self, now: int, why: str) -> None:
        """To the next upstream."""
        before = self.sources.current_address
        if not self.sources.consecutive_failures:
            self.note("upstream.lost", f"upstream {before[0]}:{before[1]}: {why}", {"why": why}, "warning")
        self.counts["moves"] += 1
        self.unsure = True
        self.call(now, self.sources.record_failure(now))

    def on_upstream_response(self, now: int, feed: UpstreamResponse) -> list[Effect]:
        """An answer from upstream, in whole or in pieces."""
        self.effects, self.told = [], self.brings(feed)
        if self.sources.current_address in self.options.peers:
            self.on_peer(now, feed)
        else:
            self.on_list_service(now, feed)
        self.bodies.clear()
        self.review(now)
        return self.effects

    def brings(self, feed: UpstreamResponse) -> bool:
        """Whether an answer holds an event past those that are known, or begins another state."""
        numbers = [raw["n"] for raw in feed.events if isinstance(raw, dict) and type(raw.get("n")) is int]
        return self.follower.resync or max([feed.last_event_number, *numbers]) > self.log.last_event_number

    def on_list_service(self, now: int, feed: UpstreamResponse) -> None:
        """The list service's answer is complete as of the call; its numbers go back when it was restarted."""
        f = self.follower
        if f.resync or not f.position.event_number:
            if self.log.last_event_number:
                self.log.begin_anew()
            f.resync, f.position = False, LogPosition(max(1, self.log.last_event_number))
        other = self.unsure and self.log.last_event_number and not self.repeats(feed.events)
        if other or not feed.has_more and feed.last_event_number < self.log.last_event_number:
            before, f.resync, self.unsure = self.log.last_event_number, True, False
            self.note(
                "upstream.renumbered",
                f"it counts anew: {feed.last_event_number} after {before}: the whole list is asked for",
                {"before": before, "after": feed.last_event_number},
                "warning",
            )
            self.call(now, 0, anew=True)
            return
        self.unsure = False
        self.extend(now, feed.events)
        if feed.has_more:
            f.position = LogPosition(
                max(f.position.event_number, self.log.last_event_number), self.log.last_fingerprint
            )
            return
        head = ResponseHead(feed.last_event_number, self.log.last_fingerprint, self.called_ns // MS, False)
        f.record_verdict(head, ResponseVerdict.APPLY)
        self.good(now)

    def repeats(self, events: tuple[Any, ...]) -> bool:
        """Whether the last event that is known is told again as it was."""
        return any(
            isinstance(raw, dict)
            and raw.get("n") == self.log.last_event_number
            and event_fingerprint(canonical_json(raw)) == self.log.last_fingerprint
            for raw in events
        )

    def on_peer(self, now: int, feed: UpstreamResponse) -> None:
        """Another replica's answer may be of an earlier state than this one's."""
        self.unsure = True  # numbers of a list service that is asked after it are to be held against it
        if feed.has_more or feed.as_of_ms is None:
            self.move(now, "it does not answer as a control replica")
            return
        whole = any(isinstance(e, dict) and e.get("members", {}).get("snapshot") for e in feed.events)
        head = ResponseHead(feed.last_event_number, feed.fingerprint, feed.as_of_ms, whole)
        verdict = self.follower.judge(head)
        self.follower.record_verdict(head, verdict)
        if verdict is ResponseVerdict.APPLY and whole:
            self.log.begin_anew()
            for event in feed.events:
                self.used(self.log.apply(event, now // MS))
            self.log.set_base(feed.last_event_number, feed.fingerprint)
        elif verdict is ResponseVerdict.APPLY:
            self.extend(now, feed.events)
        elif verdict is ResponseVerdict.APPLY_REMOVALS_ONLY:
            self.take_departures(now, feed.events)
        if verdict is ResponseVerdict.OUTDATED:
            self.move(now, "it is behind")
        elif verdict is ResponseVerdict.APPLY and now // MS - feed.as_of_ms > self.options.lease_ns // MS:
            self.move(now, "it is stale")
        else:
            self.good(now)

    def good(self, now: int) -> None:
        """Go on with the next call, at home if it is time.  An answer that came at once and brought nothing
        would else be asked for in a loop."""
        self.sources.record_success(now)
        idle = not self.told and now - self.called_ns < UPSTREAM_WAIT_NS // 2
        self.call(now, self.options.batch_ns if idle else 0)

    def extend(self, now: int, events: tuple[Any, ...]) -> None:
        """Events behind those that are known; one that is known already is not told twice."""
        for raw in events:
            number = raw.get("n") if isinstance(raw, dict) else None
            if type(number) is int and number <= self.log.last_event_number:
                continue
            self.used(self.log.append(raw, now // MS))

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

    def on_watch(self, now: int, watch: WatchRequest) -> list[Effect]:
        """A watcher calls.  A second call replaces the first."""
        self.effects = []
        if watch.watcher_id not in self.waiting and len(self.waiting) >= self.options.watches_most:
            self.refuse(watch.watcher_id, f"over {self.options.watches_most} watches")
            return self.effects
        until = now + max(0, min(watch.wait_ns, WAIT_MOST_NS) - EARLY_NS)
        self.waiting[watch.watcher_id] = Waiting(watch, now, until)
        self.look(now, self.waiting[watch.watcher_id])
        return self.effects

    def on_watcher_disconnected(self, watcher: int) -> None:
        """A watcher's connection has ended."""
        self.waiting.pop(watcher, None)
        self.answered_ns.pop(watcher, None)

    def next_timer_ns(self) -> int | None:
        """When ``on_due`` is to be called next: a watcher's time, or the end of the lease."""
        ends = [] if self.is_stale else [self.follower.as_of_ms * MS + self.options.lease_ns + 1]
        return min([*(entry[0] for entry in self.heap[:1]), *ends], default=None)

    def on_timer(self, now: int) -> list[Effect]:
        """Answer whose time has come; the lease may have run out."""
        self.effects = []
        if not self.is_stale and not self.fresh(now):
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
        return sum(w.watch.position.event_number == self.log.last_event_number for w in self.waiting.values())

    def review(self, now: int) -> None:
        """Something changed for all watchers."""
        stale = not self.fresh(now)
        if stale != self.is_stale:
            self.is_stale = stale
            age = (now - self.follower.as_of_ms * MS) / SECOND
            if stale:
                self.note(
                    "replica.stale",
                    f"nothing from upstream for {age:.1f} s: watchers are told so",
                    {"age_s": round(age, 3)},
                    "warning",
                )
            else:
                last = self.log.last_event_number
                self.note("replica.fresh", f"in step with upstream at {last}", {"last": last})
        for waiting in list(self.waiting.values()):
            self.look(now, waiting)

    def look(self, now: int, waiting: Waiting) -> None:
        """Answer a call, or see when to look again."""
        watcher = waiting.watch.watcher_id
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
        if self.is_stale:
            return True
        position = waiting.watch.position
        if not waiting.watch.knows_fingerprints:
            return position.event_number != self.log.last_event_number
        if position.event_number > self.log.last_event_number:
            return False
        return (
            position.event_number != self.log.last_event_number
            or position.fingerprint != self.log.last_fingerprint
        )

    def answer(self, now: int, waiting: Waiting) -> None:
        """Tell a watcher what comes after its position."""
        watcher, position = waiting.watch.watcher_id, waiting.watch.position
        del self.waiting[watcher]
        if self.is_stale and not waiting.watch.knows_fingerprints:
            self.refuse(watcher, "stale")  # it could not tell old news from none
            return
        try:
            body = self.body(now, waiting.watch)
        except SnapshotIncompleteError as error:
            self.refuse(watcher, str(error))
            return
        self.answered_ns[watcher] = now
        self.counts["answers"] += 1
        self.counts["snapshots"] += not position.event_number
        self.effects.append(SendWatchResponse(watcher, body))

    def body(self, now: int, watch: WatchRequest) -> bytes:
        """The answer's text."""
        found = self.bodies.get(watch.position) if watch.knows_fingerprints else None
        if found is None:
            found = self.encode(self.events(now, watch))
            if len(self.bodies) >= BODIES_KEPT:
                self.bodies.clear()
            if watch.knows_fingerprints:
                self.bodies[watch.position] = found
        return found

    def events(self, now: int, watch: WatchRequest) -> list[bytes]:
        """What a follower at a position lacks."""
        number, last = watch.position.event_number, self.log.last_event_number
        if not last:
            return []
        if number > last:
            return []
        known = (
            self.log.contains(number, watch.position.fingerprint)
            if watch.knows_fingerprints
            else self.log.plain(number)
        )
        return self.log.events_after(number) if number and known else self.log.snapshot(now // MS)

    def encode(self, events: list[bytes]) -> bytes:
        head = orjson.dumps(
            {
                "n": self.log.last_event_number,
                "mark": self.log.last_fingerprint,
                "as_of": self.follower.as_of_ms,
            }
        )
        return head[:-1] + b',"events":[' + b",".join(events) + b"]}"

    def refuse(self, watcher: int, why: str) -> None:
        self.counts["refusals"] += 1
        self.effects.append(RefuseWatcher(watcher, why))

    def note(self, event: str, text: str, fields: dict[str, object], level: str = "info") -> None:
        self.effects.append(WriteLogEvent(event, text, fields, level))
