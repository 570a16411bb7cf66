"""Event loop of a control replica: it carries out the decisions of ``kelpcroft.control_log.replica``.

``control_replica_upstream`` owns the connection to the replica's upstream, and ``control_replica_watchers``
owns the connections of its watchers.
"""

from __future__ import annotations

import os
import selectors
import signal
import socket
from contextlib import closing
from typing import TypedDict

import orjson

from kelpcroft.control_log.messages import (
    Effect,
    RejectWatcher,
    SendUpstreamRequest,
    SendWatchResponse,
    UpstreamResponse,
    WatchRequest,
    WriteLogEvent,
)
from kelpcroft.control_log.replica import ControlReplica
from kelpcroft.core.effects import LogEvent
from kelpcroft.log import EventLog
from kelpcroft.net.clock import Clock
from kelpcroft.net.control_replica_upstream import UpstreamClient
from kelpcroft.net.control_replica_watchers import WatcherConnections
from kelpcroft.net.watch_codec import EventsRequest, StateRequest, encode_response, encode_unavailable

MS = 1_000_000
SECOND = 1_000 * MS
# Longest wait of one iteration, and so the longest time between checks for a silent upstream.
MAX_ITERATION_WAIT_NS = SECOND // 2
IDLE_CHECK_INTERVAL_NS = SECOND  # time between two searches for idle watchers
SIGNALS_READ_BYTES = 1 << 16  # largest number of bytes read from the signal pipe in one call
# Connections beyond the limit of watches: for status requests, and connections that are about to be closed.
SPARE_CONNECTIONS = 64


class ReplicaStatus(TypedDict):
    """Response to ``GET /control/state``; operators and older builds read its keys, in this order."""

    last: int
    mark: str
    stale: bool
    age_ms: int
    upstream: str
    watches: int
    in_step: int
    connections: int
    servers: int
    purges: int
    tail: int
    bytes_out: int
    answers: int
    snapshots: int
    refusals: int
    upstream_calls: int
    moves: int


class ControlReplicaServer:
    """The event loop of one control replica; it waits for sockets and timers and makes no decisions."""

    def __init__(
        self, replica: ControlReplica, listener: socket.socket, clock: Clock, event_log: EventLog
    ) -> None:
        self._replica = replica
        self._listener = listener
        self._clock = clock
        self._event_log = event_log
        self._selector = selectors.DefaultSelector()
        self._upstream = UpstreamClient(
            self._selector,
            clock,
            replica.options.peers,
            on_response=self._on_upstream_response,
            on_failure=self._on_upstream_failure,
        )
        self._watchers = WatcherConnections(
            self._selector,
            listener,
            clock,
            replica.options.max_watches + SPARE_CONNECTIONS,
            on_request=self._on_request,
            on_disconnect=replica.on_watcher_disconnected,
        )
        self._signals: int | None = None
        self._is_stopping = False
        self._idle_checked_ns = 0
        self._response_bytes = 0  # body bytes of all watch responses

    def run(self, signals: int | None = None) -> None:
        """Serves until a signal stops the process.

        Args:
            signals: the read end of the pipe to which the numbers of signals are written.
        """
        with self._selector, closing(self._upstream), closing(self._watchers):
            self._selector.register(self._listener, selectors.EVENT_READ, self._watchers.on_listener_ready)
            self._signals = signals
            if signals is not None:
                self._selector.register(signals, selectors.EVENT_READ, self._on_signals)
            self._perform(self._replica.start(self._clock.now()))
            while not self._is_stopping:
                self._run_iteration()

    def _run_iteration(self) -> None:
        """Runs one iteration: waits for sockets, handles them and then the timers that are due."""
        for key, events in self._selector.select(self._wait_s(self._clock.now())):
            key.data(events)
        now = self._clock.now()
        self._upstream.send_due_requests(now)
        self._upstream.fail_silent_request(now)
        self._perform(self._replica.on_timer(now))
        if now - self._idle_checked_ns > IDLE_CHECK_INTERVAL_NS:
            self._idle_checked_ns = now
            self._watchers.close_idle(now)

    def _wait_s(self, now: int) -> float:
        """Returns how many seconds the selector may wait if no socket becomes ready."""
        due_times_ns = (
            self._replica.next_timer_ns(),
            self._upstream.next_request_ns(),
            now + MAX_ITERATION_WAIT_NS,
        )
        return max(0, min(due_ns for due_ns in due_times_ns if due_ns is not None) - now) / SECOND

    def _on_signals(self, _events: int) -> None:
        """Stops the loop on any signal except SIGHUP, for which there is no file to reload."""
        assert self._signals is not None
        numbers = os.read(self._signals, SIGNALS_READ_BYTES)
        self._is_stopping = any(number != signal.SIGHUP for number in numbers)

    def _perform(self, effects: list[Effect]) -> None:
        """Carries out the effects that the replica returned."""
        for effect in effects:
            match effect:
                case SendWatchResponse(watcher_id, body):
                    self._response_bytes += len(body)
                    self._watchers.write(watcher_id, encode_response(body))
                case RejectWatcher(watcher_id, reason, retry_after_s):
                    self._watchers.write(watcher_id, encode_unavailable(reason, retry_after_s))
                case SendUpstreamRequest():
                    self._upstream.schedule(effect)
                case WriteLogEvent(event, text, fields, level):
                    self._event_log.write(self._clock.now(), LogEvent(event, text, level, fields))

    def _on_upstream_response(self, response: UpstreamResponse) -> None:
        self._perform(self._replica.on_upstream_response(self._clock.now(), response))

    def _on_upstream_failure(self, reason: str) -> None:
        self._perform(self._replica.on_upstream_failed(self._clock.now(), reason))

    def _on_request(self, watcher_id: int, request: EventsRequest | StateRequest) -> None:
        """Handles one request of a watcher or of an operator."""
        if isinstance(request, StateRequest):
            self._watchers.write(watcher_id, encode_response(orjson.dumps(self._status())))
            return
        watch = WatchRequest(watcher_id, request.position, request.has_fingerprint, request.wait_ns)
        self._perform(self._replica.on_watch(self._clock.now(), watch))

    def _status(self) -> ReplicaStatus:
        """Returns the replica's status for ``GET /control/state``."""
        now = self._clock.now()
        replica = self._replica
        counters = replica.counters
        host, port = replica.upstream.selector.current_address
        return {
            "last": replica.log.last_event_number,
            "mark": replica.log.last_fingerprint,
            "stale": replica.is_stale,
            "age_ms": now // MS - replica.upstream.follower.as_of_ms,
            "upstream": f"{host}:{port}",
            "watches": len(replica.watches.pending),
            "in_step": replica.watches.caught_up_count(),
            "connections": len(self._watchers),
            "servers": len(replica.log.servers),
            "purges": len(replica.log.purges),
            "tail": len(replica.log.tail),
            "bytes_out": self._response_bytes,
            "answers": counters.answers,
            "snapshots": counters.snapshots,
            "refusals": counters.refusals,
            "upstream_calls": counters.upstream_calls,
            "moves": counters.moves,
        }
