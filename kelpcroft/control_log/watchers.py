"""Whom a control replica answers: the calls of its watchers that wait for news.  Pure.

A watcher is answered when there is news, and once its wait is over.  Between two answers to one watcher lie
at least ``batch_ns``: so its calls are bounded whatever the rate of events, and news is told within that.
"""

from __future__ import annotations

import heapq
from dataclasses import dataclass
from typing import NamedTuple

import orjson

from kelpcroft.control_log.follower import LogFollower, LogPosition
from kelpcroft.control_log.lease import StateLease
from kelpcroft.control_log.log import ControlLog, SnapshotIncompleteError
from kelpcroft.control_log.messages import (
    MS,
    SECOND,
    EffectList,
    RefuseWatcher,
    ReplicaCounters,
    ReplicaOptions,
    SendWatchResponse,
    WatchRequest,
)

SHORT_WAIT_BATCH_SHARE = 4  # a call that is to be answered at once may follow in a part of the batch's time
EARLY_RESPONSE_NS = 100 * MS  # a watcher's call is answered so much before its wait is over
MAX_WAIT_NS = 5 * SECOND  # no call waits longer (the protocol's bound)
MAX_CACHED_BODIES = 16  # encoded answers kept for other watchers of the same position


@dataclass(slots=True)
class PendingWatch:
    """A call that is not answered yet.  Times are Unix ns."""

    request: WatchRequest
    since_ns: int
    until_ns: int  # it is answered by then
    due_ns: int = 0  # its entry among the timers that counts


class WatchTimer(NamedTuple):
    """When to look at which watcher's call again."""

    due_ns: int
    watcher_id: int


class WatchQueue:
    """The calls that wait at one replica.

    Attributes:
        pending: by the watcher's number.
    """

    def __init__(
        self,
        options: ReplicaOptions,
        log: ControlLog,
        follower: LogFollower,
        lease: StateLease,
        effects: EffectList,
        counters: ReplicaCounters,
    ) -> None:
        self.pending: dict[int, PendingWatch] = {}
        self._options = options
        self._log = log
        self._follower = follower
        self._lease = lease
        self._effects = effects
        self._counters = counters
        self._answered_ns: dict[int, int] = {}  # by watcher: when it was last answered
        self._timers: list[WatchTimer] = []  # a heap; some entries are out of date
        self._bodies: dict[LogPosition, bytes] = {}  # answers as of now, by the position asked for

    def add(self, now: int, request: WatchRequest) -> None:
        """A watcher calls.  A second call replaces the first."""
        watcher_id = request.watcher_id
        if watcher_id not in self.pending and len(self.pending) >= self._options.max_watches:
            self._refuse(watcher_id, f"over {self._options.max_watches} watches")
            return
        until_ns = now + max(0, min(request.wait_ns, MAX_WAIT_NS) - EARLY_RESPONSE_NS)
        pending = PendingWatch(request, now, until_ns)
        self.pending[watcher_id] = pending
        self._answer_or_wait(now, pending)

    def remove(self, watcher_id: int) -> None:
        """A watcher's connection has ended."""
        self.pending.pop(watcher_id, None)
        self._answered_ns.pop(watcher_id, None)

    def next_timer_ns(self) -> int | None:
        """When ``on_timer`` is to be called next; None where no call waits."""
        return self._timers[0].due_ns if self._timers else None

    def on_timer(self, now: int) -> None:
        """Answer the calls whose time has come."""
        while self._timers and self._timers[0].due_ns <= now:
            due_ns, watcher_id = heapq.heappop(self._timers)
            pending = self.pending.get(watcher_id)
            if pending is not None and pending.due_ns == due_ns:
                self._answer_or_wait(now, pending)

    def on_change(self, now: int) -> None:
        """The state or its lease has changed, for all watchers."""
        for pending in list(self.pending.values()):
            self._answer_or_wait(now, pending)

    def drop_cached_bodies(self) -> None:
        """The log has changed: answers are encoded anew."""
        self._bodies.clear()

    def caught_up_count(self) -> int:
        """How many watchers wait at the last event."""
        last = self._log.last_event_number
        return sum(pending.request.position.event_number == last for pending in self.pending.values())

    def _answer_or_wait(self, now: int, pending: PendingWatch) -> None:
        """Answer a call, or see when to look at it again."""
        watcher_id = pending.request.watcher_id
        needed_ns = now if self._has_news_for(pending.request) else pending.until_ns
        due_ns = max(self._earliest_answer_ns(pending), needed_ns)
        if due_ns <= now:
            self._answer(now, pending.request)
            return
        if pending.due_ns != due_ns:
            pending.due_ns = due_ns
            heapq.heappush(self._timers, WatchTimer(due_ns, watcher_id))

    def _earliest_answer_ns(self, pending: PendingWatch) -> int:
        """The batch's time after the last answer to this watcher."""
        interval_ns = self._options.batch_ns
        if pending.until_ns - pending.since_ns < interval_ns:
            interval_ns //= SHORT_WAIT_BATCH_SHARE
        return self._answered_ns.get(pending.request.watcher_id, 0) + interval_ns

    def _has_news_for(self, request: WatchRequest) -> bool:
        """Whether there is anything to tell.

        A follower that is ahead is waited for: news that it has is on its way here, unless this is another
        log.
        """
        if self._lease.is_stale:
            return True
        number = request.position.event_number
        last = self._log.last_event_number
        if not request.knows_fingerprints or number < last:
            return number != last
        if number > last:
            return False
        return request.position.fingerprint != self._log.last_fingerprint

    def _answer(self, now: int, request: WatchRequest) -> None:
        """Tell a watcher what comes after its position."""
        watcher_id = request.watcher_id
        del self.pending[watcher_id]
        if self._lease.is_stale and not request.knows_fingerprints:
            self._refuse(watcher_id, "stale")  # it could not tell old news from none
            return
        try:
            body = self._body(now, request)
        except SnapshotIncompleteError as error:
            self._refuse(watcher_id, str(error))
            return
        self._answered_ns[watcher_id] = now
        self._counters.answers += 1
        if not request.position.event_number:
            self._counters.snapshots += 1
        self._effects.add(SendWatchResponse(watcher_id, body))

    def _refuse(self, watcher_id: int, reason: str) -> None:
        self._counters.refusals += 1
        self._effects.add(RefuseWatcher(watcher_id, reason))

    def _body(self, now: int, request: WatchRequest) -> bytes:
        """The answer's JSON, for a known position from those made before."""
        if not request.knows_fingerprints:
            return self._encode(self._events_for(now, request))
        body = self._bodies.get(request.position)
        if body is None:
            body = self._encode(self._events_for(now, request))
            if len(self._bodies) >= MAX_CACHED_BODIES:
                self._bodies.clear()
            self._bodies[request.position] = body
        return body

    def _events_for(self, now: int, request: WatchRequest) -> list[bytes]:
        """What a follower at a position lacks.  Raises SnapshotIncompleteError."""
        number = request.position.event_number
        last = self._log.last_event_number
        if not last or number > last:
            return []
        if request.knows_fingerprints:
            is_known = self._log.contains(number, request.position.fingerprint)
        else:
            is_known = self._log.contains_number(number)
        if number and is_known:
            return self._log.events_after(number)
        return self._log.snapshot(now // MS)

    def _encode(self, events: list[bytes]) -> bytes:
        """An answer with events that are encoded already."""
        head = orjson.dumps(
            {
                "n": self._log.last_event_number,
                "mark": self._log.last_fingerprint,
                "as_of": self._follower.as_of_ms,
            }
        )
        return head[:-1] + b',"events":[' + b",".join(events) + b"]}"
