"""Watch requests of a control replica's watchers, held until there are new events.  Pure.

A watcher receives a response when there are new events, and at the latest when its wait is over.  The
interval between two responses to one watcher is at least ``batch_ns``.  This bounds each watcher's requests
whatever the rate of events, and delays new events by at most that time.
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
    RejectWatcher,
    ReplicaCounters,
    ReplicaOptions,
    SendWatchResponse,
    WatchRequest,
)

# Divisor of ``batch_ns`` for a request whose own wait is shorter than ``batch_ns``.
SHORT_WAIT_BATCH_DIVISOR = 4
EARLY_RESPONSE_NS = 100 * MS  # the response is sent this long before the end of the request's wait
MAX_WAIT_NS = 5 * SECOND  # longest wait of a request (the protocol's bound)
MAX_CACHED_BODIES = 16  # encoded responses that are kept for other watchers at the same position


@dataclass(slots=True)
class PendingWatch:
    """A watch request without a response yet.  Times are Unix ns."""

    request: WatchRequest
    received_ns: int
    wait_ends_ns: int  # the response is due by then
    due_ns: int = 0  # the time of its valid timer; other timers of the request are obsolete


class WatchTimer(NamedTuple):
    """Timer for one watcher's pending request."""

    due_ns: int
    watcher_id: int


class WatchQueue:
    """The watch requests that wait at one replica.

    Attributes:
        pending: The requests by the watcher's id.
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
        self._responded_ns: dict[int, int] = {}  # by watcher: when the last response was sent
        self._timers: list[WatchTimer] = []  # a heap; some entries are obsolete
        self._bodies: dict[LogPosition, bytes] = {}  # encoded responses, by the requested position

    def add(self, now: int, request: WatchRequest) -> None:
        """Adds a watcher's request.  A second request of one watcher replaces the first."""
        watcher_id = request.watcher_id
        if watcher_id not in self.pending and len(self.pending) >= self._options.max_watches:
            self._reject(watcher_id, f"over {self._options.max_watches} watches")
            return
        wait_ends_ns = now + max(0, min(request.wait_ns, MAX_WAIT_NS) - EARLY_RESPONSE_NS)
        pending = PendingWatch(request, now, wait_ends_ns)
        self.pending[watcher_id] = pending
        self._respond_or_wait(now, pending)

    def remove(self, watcher_id: int) -> None:
        """Removes a watcher whose connection has ended."""
        self.pending.pop(watcher_id, None)
        self._responded_ns.pop(watcher_id, None)

    def next_timer_ns(self) -> int | None:
        """Returns when ``on_timer`` is due; None where no request waits."""
        return self._timers[0].due_ns if self._timers else None

    def on_timer(self, now: int) -> None:
        """Responds to the requests that are due."""
        while self._timers and self._timers[0].due_ns <= now:
            due_ns, watcher_id = heapq.heappop(self._timers)
            pending = self.pending.get(watcher_id)
            if pending is not None and pending.due_ns == due_ns:
                self._respond_or_wait(now, pending)

    def on_change(self, now: int) -> None:
        """Responds to all watchers that a change of the state or of its lease affects."""
        for pending in list(self.pending.values()):
            self._respond_or_wait(now, pending)

    def drop_cached_bodies(self) -> None:
        """Drops the encoded responses because the log has changed."""
        self._bodies.clear()

    def caught_up_count(self) -> int:
        """Returns how many watchers wait at the last event."""
        last_number = self._log.last_event_number
        return sum(pending.request.position.event_number == last_number for pending in self.pending.values())

    def _respond_or_wait(self, now: int, pending: PendingWatch) -> None:
        """Responds to a request that is due, or sets the timer for it."""
        watcher_id = pending.request.watcher_id
        ready_ns = now if self._has_new_events_for(pending.request) else pending.wait_ends_ns
        due_ns = max(self._earliest_response_ns(pending), ready_ns)
        if due_ns <= now:
            self._respond(now, pending.request)
            return
        if pending.due_ns != due_ns:
            pending.due_ns = due_ns
            heapq.heappush(self._timers, WatchTimer(due_ns, watcher_id))

    def _earliest_response_ns(self, pending: PendingWatch) -> int:
        """Returns the end of the minimum interval after the last response to this watcher."""
        interval_ns = self._options.batch_ns
        if pending.wait_ends_ns - pending.received_ns < interval_ns:
            interval_ns //= SHORT_WAIT_BATCH_DIVISOR
        return self._responded_ns.get(pending.request.watcher_id, 0) + interval_ns

    def _has_new_events_for(self, request: WatchRequest) -> bool:
        """Returns whether the replica has something to send in response to a request.

        A request with a fingerprint may be ahead of this replica.  It waits, because the events that the
        follower already has are about to arrive here.  If this replica follows another log, the response
        comes at the end of the wait.
        """
        if self._lease.is_stale:
            return True
        number = request.position.event_number
        last_number = self._log.last_event_number
        if not request.has_fingerprint or number < last_number:
            return number != last_number
        if number > last_number:
            return False
        return request.position.fingerprint != self._log.last_fingerprint

    def _respond(self, now: int, request: WatchRequest) -> None:
        """Responds with the events after a watcher's position."""
        watcher_id = request.watcher_id
        del self.pending[watcher_id]
        if self._lease.is_stale and not request.has_fingerprint:
            # This watcher cannot distinguish a stale state from a current one.
            self._reject(watcher_id, "stale")
            return
        try:
            body = self._response_body(now, request)
        except SnapshotIncompleteError as error:
            self._reject(watcher_id, str(error))
            return
        self._responded_ns[watcher_id] = now
        self._counters.answers += 1
        if not request.position.event_number:
            self._counters.snapshots += 1
        self._effects.add(SendWatchResponse(watcher_id, body))

    def _reject(self, watcher_id: int, reason: str) -> None:
        self._counters.refusals += 1
        self._effects.add(RejectWatcher(watcher_id, reason))

    def _response_body(self, now: int, request: WatchRequest) -> bytes:
        """Returns the response's JSON, which is cached by position for watchers with fingerprints."""
        if not request.has_fingerprint:
            return self._encode(self._events_for(now, request))
        body = self._bodies.get(request.position)
        if body is None:
            body = self._encode(self._events_for(now, request))
            if len(self._bodies) >= MAX_CACHED_BODIES:
                self._bodies.clear()
            self._bodies[request.position] = body
        return body

    def _events_for(self, now: int, request: WatchRequest) -> list[bytes]:
        """Returns the events that a follower at a position lacks.

        Raises:
            SnapshotIncompleteError: A snapshot is due, and there are more servers or purges than are kept.
        """
        number = request.position.event_number
        last_number = self._log.last_event_number
        if not last_number or number > last_number:
            return []
        if request.has_fingerprint:
            has_position = self._log.contains(number, request.position.fingerprint)
        else:
            has_position = self._log.contains_number(number)
        if number and has_position:
            return self._log.events_after(number)
        return self._log.snapshot(now // MS)

    def _encode(self, events: list[bytes]) -> bytes:
        """Returns a response with events that are already encoded."""
        head = orjson.dumps(
            {
                "n": self._log.last_event_number,
                "mark": self._log.last_fingerprint,
                "as_of": self._follower.as_of_ms,
            }
        )
        return head[:-1] + b',"events":[' + b",".join(events) + b"]}"
