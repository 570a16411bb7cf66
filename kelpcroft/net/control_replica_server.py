"""The sockets of a control replica: one upstream connection, many watchers, one loop."""

from __future__ import annotations

import heapq
import os
import selectors
import signal
import socket

import orjson

from kelpcroft.control_log import replica as core
from kelpcroft.control_log.replica import ControlReplica
from kelpcroft.control_log.upstream_selection import Address
from kelpcroft.core.effects import LogEvent
from kelpcroft.log import EventLog
from kelpcroft.net.clock import Clock
from kelpcroft.net.feed_codec import MAX_SNAPSHOT_BYTES, FeedError, encode_poll
from kelpcroft.net.upstream_codec import UpstreamCodec
from kelpcroft.net.watch_codec import (
    EventsRequest,
    StateRequest,
    WatchRequestError,
    WatchServerCodec,
    answered,
    bad,
    refused,
)

MS = 1_000_000
SECOND = 1_000 * MS
READ_SIZE = 1 << 16
ACCEPTS_PER_TURN = 256
SPARE_CONNECTIONS = 64  # beyond the watches: callers for the state, and connections about to end
UNWRITTEN_MOST = 8 << 20  # bytes that wait for one watcher
IDLE_NS = 20 * SECOND  # a watcher that calls no more, or reads no more, is let go after this
SWEEP_NS = SECOND  # between looks for such
CONNECT_NS = 400 * MS  # an upstream connection stands by then


class Watcher:
    """One watcher's connection."""

    def __init__(self, number: int, sock: socket.socket, now: int) -> None:
        self.number, self.sock, self.codec = number, sock, WatchServerCodec()
        self.unwritten = bytearray()
        self.moved_ns = now  # when it last called or took something
        self.ending = False  # closed once all is written


class Upstream:
    """The connection to upstream, with the call that is out on it."""

    def __init__(self, address: Address, sock: socket.socket, now: int) -> None:
        self.address, self.sock = address, sock
        self.codec = UpstreamCodec(MAX_SNAPSHOT_BYTES)
        self.unwritten = b""
        self.up, self.waits = False, False
        self.begun_ns = self.heard_ns = now


class ReplicaLoop:
    """Owns every socket of a control replica; decides nothing."""

    def __init__(
        self, replica: ControlReplica, listener: socket.socket, clock: Clock, events: EventLog
    ) -> None:
        self.replica, self.listener, self.clock, self.events = replica, listener, clock, events
        self.selector = selectors.DefaultSelector()
        self.watchers: dict[int, Watcher] = {}
        self.most = replica.options.watches_most + SPARE_CONNECTIONS
        self.upstream: Upstream | None = None
        self.calls: list[tuple[int, int, core.CallUpstream]] = []  # that are due later
        self.made = self.swept_ns = 0
        self.bytes_out = 0  # of answers to watchers
        self.signals: int | None = None
        self.stopping = False

    def run(self, signals: int | None = None) -> None:
        """Serve until a signal asks for the end."""
        self.selector.register(self.listener, selectors.EVENT_READ, None)
        self.signals = signals
        if signals is not None:
            self.selector.register(signals, selectors.EVENT_READ, None)
        self.carry_out(self.replica.start(self.clock.now()))
        while not self.stopping:
            self.turn()
        for watcher in list(self.watchers.values()):
            self.drop(watcher)

    def turn(self) -> None:
        """Wait, read, do what is due."""
        now = self.clock.now()
        due = [self.replica.next_timer_ns(), self.calls[0][0] if self.calls else None, now + SECOND // 2]
        wait = max(0, min(x for x in due if x is not None) - now) / SECOND
        for key, events in self.selector.select(wait):
            if key.fileobj is self.listener:
                self.accept()
            elif isinstance(key.data, Watcher):
                self.watcher_ready(key.data, events)
            elif isinstance(key.data, Upstream):
                self.upstream_ready(key.data, events)
            else:
                self.on_signals()
        now = self.clock.now()
        while self.calls and self.calls[0][0] <= now:
            self.call(heapq.heappop(self.calls)[2])
        self.look_upstream(now)
        self.carry_out(self.replica.on_timer(now))
        if now - self.swept_ns > SWEEP_NS:
            self.sweep(now)

    def on_signals(self) -> None:
        """Any signal but SIGHUP ends the process; there is nothing to read again."""
        assert self.signals is not None
        self.stopping = any(number != signal.SIGHUP for number in os.read(self.signals, READ_SIZE))

    def carry_out(self, effects: list[core.Effect]) -> None:
        """What the replica decided."""
        for e in effects:
            if isinstance(e, core.SendWatchResponse):
                self.bytes_out += len(e.body)
                self.write(e.watcher_id, answered(e.body))
            elif isinstance(e, core.RefuseWatcher):
                self.write(e.watcher_id, refused(e.reason, e.retry_after_s))
            elif isinstance(e, core.CallUpstream):
                self.made += 1
                heapq.heappush(self.calls, (self.clock.now() + e.delay_ns, self.made, e))
            else:
                self.events.write(self.clock.now(), LogEvent(e.event, e.text, e.level, e.fields))

    # Upstream ---------------------------------------------------------------------------------------------

    def call(self, e: core.CallUpstream) -> None:
        """One call, on the connection that stands or on a new one."""
        now = self.clock.now()
        if self.upstream is not None and (e.on_new_connection or self.upstream.address != e.address):
            self.close_upstream()
        if self.upstream is None:
            sock = socket.socket(socket.AF_INET6 if ":" in e.address[0] else socket.AF_INET)
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            sock.connect_ex(e.address)  # what is wrong with it shows on the socket
            self.upstream = Upstream(e.address, sock, now)
            self.selector.register(sock, selectors.EVENT_READ | selectors.EVENT_WRITE, self.upstream)
        upstream = self.upstream
        marked = e.position.fingerprint if e.address in self.replica.options.peers else None
        upstream.unwritten += encode_poll(e.address, e.position.event_number, e.wait_ns // MS, marked)
        upstream.waits, upstream.begun_ns = True, now
        if upstream.up:
            self.write_upstream(upstream)

    def write_upstream(self, upstream: Upstream) -> None:
        """A call is small: what is not taken at once waits for the selector."""
        try:
            sent = upstream.sock.send(upstream.unwritten)
        except BlockingIOError:
            sent = 0
        except OSError as error:
            self.lose_upstream(str(error))
            return
        upstream.unwritten = upstream.unwritten[sent:]
        self.selector.modify(
            upstream.sock,
            selectors.EVENT_READ | (selectors.EVENT_WRITE if upstream.unwritten else 0),
            upstream,
        )

    def upstream_ready(self, upstream: Upstream, events: int) -> None:
        """What the selector said of the upstream connection."""
        if upstream is not self.upstream:
            return
        if events & selectors.EVENT_WRITE:
            if not upstream.up:
                code = upstream.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
                if code:
                    self.lose_upstream(os.strerror(code))
                    return
                upstream.up = True
            self.write_upstream(upstream)
        if events & selectors.EVENT_READ and upstream is self.upstream:
            self.read_upstream(upstream)

    def read_upstream(self, upstream: Upstream) -> None:
        """Bytes of an answer."""
        try:
            data = upstream.sock.recv(READ_SIZE)
        except BlockingIOError:
            return
        except OSError as error:
            self.lose_upstream(str(error))
            return
        if not data:
            self.lose_upstream("closed")
            return
        upstream.heard_ns = self.clock.now()
        fault = ""
        try:
            upstream.codec.receive_data(memoryview(data))
        except FeedError as error:
            fault = str(error)
        for feed in upstream.codec.completed:  # also what came whole before a fault
            if upstream is not self.upstream and feed.has_more:
                break  # what has begun is of no use any more
            if not feed.has_more:
                upstream.waits = False
                if not upstream.codec.keeps_alive:
                    self.close_upstream()
            self.carry_out(self.replica.on_upstream_response(self.clock.now(), feed))
        if fault and upstream is self.upstream:
            self.lose_upstream(f"malformed: {fault}")

    def look_upstream(self, now: int) -> None:
        """Give up a call that is silent for too long."""
        upstream = self.upstream
        if upstream is None or not upstream.waits:
            return
        since = max(upstream.begun_ns, upstream.heard_ns)
        most = core.UPSTREAM_WAIT_NS + core.UPSTREAM_TIMEOUT_MARGIN_NS if upstream.up else CONNECT_NS
        if now - since > most:
            self.lose_upstream("no answer in time")

    def lose_upstream(self, why: str) -> None:
        """The connection is gone; a call that was out on it has failed."""
        waited = self.upstream is not None and self.upstream.waits
        self.close_upstream()
        if waited:
            self.carry_out(self.replica.on_upstream_failed(self.clock.now(), why))

    def close_upstream(self) -> None:
        if self.upstream is not None:
            self.selector.unregister(self.upstream.sock)
            self.upstream.sock.close()
            self.upstream = None

    # Watchers ---------------------------------------------------------------------------------------------

    def accept(self) -> None:
        """Connections that wait; past the most that are kept they are closed at once."""
        for _ in range(ACCEPTS_PER_TURN):
            try:
                sock, _ = self.listener.accept()
            except OSError:
                return
            if len(self.watchers) >= self.most:
                sock.close()
                continue
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self.made += 1
            watcher = self.watchers[self.made] = Watcher(self.made, sock, self.clock.now())
            self.selector.register(sock, selectors.EVENT_READ, watcher)

    def watcher_ready(self, watcher: Watcher, events: int) -> None:
        """What the selector said of a watcher's connection."""
        if events & selectors.EVENT_WRITE:
            self.flush(watcher)
        if not events & selectors.EVENT_READ or watcher.number not in self.watchers:
            return
        try:
            data = watcher.sock.recv(READ_SIZE)
        except BlockingIOError:
            return
        except OSError:
            data = b""
        if not data:
            self.drop(watcher)
            return
        try:
            found = watcher.codec.feed(data)
        except WatchRequestError as error:
            self.write(watcher.number, bad(str(error)))
            watcher.ending = True
            self.flush(watcher)
            return
        watcher.moved_ns = self.clock.now()
        for one in found:
            self.take(watcher, one)

    def take(self, watcher: Watcher, one: EventsRequest | StateRequest) -> None:
        """One call."""
        if isinstance(one, StateRequest):
            self.write(watcher.number, answered(orjson.dumps(self.state())))
            return
        watch = core.WatchRequest(watcher.number, one.position, one.knows_fingerprints, one.wait_ns)
        self.carry_out(self.replica.on_watch(self.clock.now(), watch))

    def state(self) -> dict[str, object]:
        """What an operator asks for."""
        now, r = self.clock.now(), self.replica
        host, port = r.sources.current_address
        return {
            "last": r.log.last_event_number,
            "mark": r.log.last_fingerprint,
            "stale": r.is_stale,
            "age_ms": now // MS - r.follower.as_of_ms,
            "upstream": f"{host}:{port}",
            "watches": len(r.waiting),
            "in_step": r.in_step(),
            "connections": len(self.watchers),
            "servers": len(r.log.lines),
            "purges": len(r.log.purges),
            "tail": len(r.log.tail),
            "bytes_out": self.bytes_out,
            **r.counts,
        }

    def write(self, number: int, data: bytes) -> None:
        """Bytes for a watcher."""
        watcher = self.watchers.get(number)
        if watcher is None:
            return
        watcher.unwritten += data
        if len(watcher.unwritten) > UNWRITTEN_MOST:
            self.drop(watcher)
        else:
            self.flush(watcher)

    def flush(self, watcher: Watcher) -> None:
        """Write what a watcher's socket takes."""
        if watcher.unwritten:
            try:
                sent = watcher.sock.send(watcher.unwritten)
            except BlockingIOError:
                sent = 0
            except OSError:
                self.drop(watcher)
                return
            if sent:
                del watcher.unwritten[:sent]
                watcher.moved_ns = self.clock.now()
        if watcher.ending and not watcher.unwritten:
            self.drop(watcher)
            return
        self.selector.modify(
            watcher.sock, selectors.EVENT_READ | (selectors.EVENT_WRITE if watcher.unwritten else 0), watcher
        )

    def drop(self, watcher: Watcher) -> None:
        """A watcher's connection ends."""
        if self.watchers.pop(watcher.number, None) is None:
            return
        self.selector.unregister(watcher.sock)
        watcher.sock.close()
        self.replica.on_watcher_disconnected(watcher.number)

    def sweep(self, now: int) -> None:
        """Let those go who neither call nor read any more."""
        self.swept_ns = now
        for watcher in list(self.watchers.values()):
            if now - watcher.moved_ns > IDLE_NS:
                self.drop(watcher)
