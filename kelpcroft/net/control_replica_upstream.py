"""The connection of a control replica to whom it follows: one at a time, with one call out on it."""

from __future__ import annotations

import heapq
import os
import selectors
import socket
from collections.abc import Callable
from typing import NamedTuple

from kelpcroft.control_log.messages import UPSTREAM_TIMEOUT_MARGIN_NS, CallUpstream, UpstreamResponse
from kelpcroft.control_log.upstream import UPSTREAM_WAIT_NS
from kelpcroft.control_log.upstream_selection import Address
from kelpcroft.net.clock import Clock
from kelpcroft.net.feed_codec import MAX_SNAPSHOT_BYTES, FeedError, encode_poll
from kelpcroft.net.upstream_codec import UpstreamCodec

MS = 1_000_000
SECOND = 1_000 * MS
READ_BYTES = 1 << 16
CONNECT_TIMEOUT_NS = 400 * MS


class UpstreamConnection:
    """A connection to upstream, and the call that is out on it.  Times are Unix ns."""

    def __init__(self, address: Address, sock: socket.socket, now: int) -> None:
        self.address = address
        self.sock = sock
        self.codec = UpstreamCodec(MAX_SNAPSHOT_BYTES)
        self.unwritten = b""
        self.is_connected = False
        self.awaits_response = False
        self.called_ns = now
        self.last_heard_ns = now


class ScheduledCall(NamedTuple):
    """A call that is due later; the sequence number keeps calls of one moment in their order."""

    due_ns: int
    sequence: int
    call: CallUpstream


class UpstreamCaller:
    """Makes a replica's calls when they are due, and reads their answers."""

    def __init__(
        self,
        selector: selectors.BaseSelector,
        clock: Clock,
        peers: frozenset[Address],
        on_response: Callable[[UpstreamResponse], None],
        on_failure: Callable[[str], None],
    ) -> None:
        """Start without a connection.

        Args:
            selector: calls what is registered with a socket when that is ready.
            clock: tells Unix ns.
            peers: addresses of control replicas; calls to them name the position's fingerprint.
            on_response: an answer, or a piece of one, has come.
            on_failure: a call has failed, for this reason.
        """
        self._selector = selector
        self._clock = clock
        self._peers = peers
        self._on_response = on_response
        self._on_failure = on_failure
        self._connection: UpstreamConnection | None = None
        self._scheduled: list[ScheduledCall] = []  # a heap
        self._sequence = 0

    def schedule(self, call: CallUpstream) -> None:
        """Make a call once its delay has passed."""
        self._sequence += 1
        due_ns = self._clock.now() + call.delay_ns
        heapq.heappush(self._scheduled, ScheduledCall(due_ns, self._sequence, call))

    def next_call_ns(self) -> int | None:
        """When ``make_due_calls`` is to be called next."""
        return self._scheduled[0].due_ns if self._scheduled else None

    def make_due_calls(self, now: int) -> None:
        """Make the calls whose time has come."""
        while self._scheduled and self._scheduled[0].due_ns <= now:
            self._call(heapq.heappop(self._scheduled).call)

    def give_up_silent_call(self, now: int) -> None:
        """Fail the call that is out if nothing has been heard for too long."""
        connection = self._connection
        if connection is None or not connection.awaits_response:
            return
        since_ns = max(connection.called_ns, connection.last_heard_ns)
        timeout_ns = CONNECT_TIMEOUT_NS
        if connection.is_connected:
            timeout_ns = UPSTREAM_WAIT_NS + UPSTREAM_TIMEOUT_MARGIN_NS
        if now - since_ns > timeout_ns:
            self._fail("no answer in time")

    def close(self) -> None:
        """End the connection, if there is one."""
        if self._connection is not None:
            self._selector.unregister(self._connection.sock)
            self._connection.sock.close()
            self._connection = None

    def _call(self, call: CallUpstream) -> None:
        """Make a call, on the connection that stands or on a new one."""
        now = self._clock.now()
        connection = self._connection
        if connection is not None and (call.on_new_connection or connection.address != call.address):
            self.close()
            connection = None
        if connection is None:
            connection = self._connect(call.address, now)
            self._connection = connection
        fingerprint = call.position.fingerprint if call.address in self._peers else None
        connection.unwritten += encode_poll(
            call.address, call.position.event_number, call.wait_ns // MS, fingerprint
        )
        connection.awaits_response = True
        connection.called_ns = now
        if connection.is_connected:
            self._write(connection)

    def _connect(self, address: Address, now: int) -> UpstreamConnection:
        sock = socket.socket(socket.AF_INET6 if ":" in address[0] else socket.AF_INET)
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.connect_ex(address)  # what is wrong with it shows on the socket
        connection = UpstreamConnection(address, sock, now)
        self._selector.register(sock, selectors.EVENT_READ | selectors.EVENT_WRITE, self._on_ready)
        return connection

    def _on_ready(self, events: int) -> None:
        """Handle what the selector reported of the connection."""
        connection = self._connection
        if connection is None:  # closed since, in this turn
            return
        if events & selectors.EVENT_WRITE:
            if not connection.is_connected:
                code = connection.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
                if code:
                    self._fail(os.strerror(code))
                    return
                connection.is_connected = True
            self._write(connection)
        if events & selectors.EVENT_READ and connection is self._connection:
            self._read(connection)

    def _write(self, connection: UpstreamConnection) -> None:
        """A call is small: what is not taken at once waits for the selector."""
        try:
            sent = connection.sock.send(connection.unwritten)
        except BlockingIOError:
            sent = 0
        except OSError as error:
            self._fail(str(error))
            return
        connection.unwritten = connection.unwritten[sent:]
        interest = selectors.EVENT_READ
        if connection.unwritten:
            interest |= selectors.EVENT_WRITE
        self._selector.modify(connection.sock, interest, self._on_ready)

    def _read(self, connection: UpstreamConnection) -> None:
        """Bytes of an answer."""
        try:
            data = connection.sock.recv(READ_BYTES)
        except BlockingIOError:
            return
        except OSError as error:
            self._fail(str(error))
            return
        if not data:
            self._fail("closed")
            return
        connection.last_heard_ns = self._clock.now()
        problem = ""
        try:
            connection.codec.receive_data(memoryview(data))
        except FeedError as error:
            problem = str(error)
        self._deliver(connection)  # also what came whole before a fault
        if problem and connection is self._connection:
            self._fail(f"malformed: {problem}")

    def _deliver(self, connection: UpstreamConnection) -> None:
        """Hand on the answers, and pieces of one, that have come."""
        for response in connection.codec.completed:
            if connection is not self._connection and response.has_more:
                break  # what has begun is of no use any more
            if not response.has_more:
                connection.awaits_response = False
                if not connection.codec.keeps_alive:
                    self.close()
            self._on_response(response)

    def _fail(self, reason: str) -> None:
        """The connection is gone; a call that was out on it has failed."""
        was_out = self._connection is not None and self._connection.awaits_response
        self.close()
        if was_out:
            self._on_failure(reason)
