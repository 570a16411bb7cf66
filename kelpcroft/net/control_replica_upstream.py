"""Connection of a control replica to its upstream: one at a time, with at most one outstanding request."""

from __future__ import annotations

import heapq
import os
import selectors
import socket
from collections.abc import Callable
from typing import NamedTuple

from kelpcroft.control_log.messages import UPSTREAM_TIMEOUT_MARGIN_NS, SendUpstreamRequest, UpstreamResponse
from kelpcroft.control_log.upstream import UPSTREAM_WAIT_NS
from kelpcroft.control_log.upstream_selection import Address
from kelpcroft.net.clock import Clock
from kelpcroft.net.feed_codec import MAX_SNAPSHOT_BYTES, FeedError, encode_watch_request
from kelpcroft.net.upstream_codec import UpstreamCodec

MS = 1_000_000
SECOND = 1_000 * MS
READ_BYTES = 1 << 16  # largest number of bytes read from the connection in one call
CONNECT_TIMEOUT_NS = 400 * MS  # longest time to connect to an upstream


class UpstreamConnection:
    """A connection to the upstream and its outstanding request.  Times are Unix ns."""

    def __init__(self, address: Address, sock: socket.socket, now: int) -> None:
        self.address = address
        self.sock = sock
        self.codec = UpstreamCodec(MAX_SNAPSHOT_BYTES)
        self.unwritten = b""
        self.is_connected = False
        self.awaits_response = False
        self.requested_ns = now
        self.last_received_ns = now


class ScheduledRequest(NamedTuple):
    """A request that is due later; the sequence number keeps the order of requests due at the same time."""

    due_ns: int
    sequence: int
    request: SendUpstreamRequest


class UpstreamClient:
    """Sends a replica's watch requests when they are due, and reads the responses."""

    def __init__(
        self,
        selector: selectors.BaseSelector,
        clock: Clock,
        peers: frozenset[Address],
        on_response: Callable[[UpstreamResponse], None],
        on_failure: Callable[[str], None],
    ) -> None:
        """Creates the client without a connection.

        Args:
            selector: selector of the loop, which calls the function registered for a socket when it is ready.
            clock: the time in Unix ns.
            peers: addresses of control replicas; requests to them contain the position's fingerprint.
            on_response: called with each response, or chunk of a response.
            on_failure: called with the reason when a request has failed.
        """
        self._selector = selector
        self._clock = clock
        self._peers = peers
        self._on_response = on_response
        self._on_failure = on_failure
        self._connection: UpstreamConnection | None = None
        self._scheduled: list[ScheduledRequest] = []  # a heap
        self._sequence = 0

    def schedule(self, request: SendUpstreamRequest) -> None:
        """Schedules a request that is sent when its delay has passed."""
        self._sequence += 1
        due_ns = self._clock.now() + request.delay_ns
        heapq.heappush(self._scheduled, ScheduledRequest(due_ns, self._sequence, request))

    def next_request_ns(self) -> int | None:
        """Returns when ``send_due_requests`` is to be called next."""
        return self._scheduled[0].due_ns if self._scheduled else None

    def send_due_requests(self, now: int) -> None:
        """Sends the requests that are due."""
        while self._scheduled and self._scheduled[0].due_ns <= now:
            self._send_request(heapq.heappop(self._scheduled).request)

    def fail_silent_request(self, now: int) -> None:
        """Fails the outstanding request if the upstream has been silent for too long."""
        connection = self._connection
        if connection is None or not connection.awaits_response:
            return
        silent_since_ns = max(connection.requested_ns, connection.last_received_ns)
        timeout_ns = CONNECT_TIMEOUT_NS
        if connection.is_connected:
            timeout_ns = UPSTREAM_WAIT_NS + UPSTREAM_TIMEOUT_MARGIN_NS
        if now - silent_since_ns > timeout_ns:
            self._fail("no response in time")

    def close(self) -> None:
        """Closes the connection, if there is one."""
        if self._connection is not None:
            self._selector.unregister(self._connection.sock)
            self._connection.sock.close()
            self._connection = None

    def _send_request(self, request: SendUpstreamRequest) -> None:
        """Sends a request, on the open connection or on a new one."""
        now = self._clock.now()
        connection = self._connection
        if connection is not None and (request.on_new_connection or connection.address != request.address):
            self.close()
            connection = None
        if connection is None:
            connection = self._connect(request.address, now)
            self._connection = connection
        fingerprint = request.position.fingerprint if request.address in self._peers else None
        connection.unwritten += encode_watch_request(
            request.address, request.position.event_number, request.wait_ns // MS, fingerprint
        )
        connection.awaits_response = True
        connection.requested_ns = now
        if connection.is_connected:
            self._write(connection)

    def _connect(self, address: Address, now: int) -> UpstreamConnection:
        sock = socket.socket(socket.AF_INET6 if ":" in address[0] else socket.AF_INET)
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.connect_ex(address)  # a failure is read from the socket (SO_ERROR) once the selector reports it
        connection = UpstreamConnection(address, sock, now)
        self._selector.register(sock, selectors.EVENT_READ | selectors.EVENT_WRITE, self._on_ready)
        return connection

    def _on_ready(self, events: int) -> None:
        """Handles the events that the selector reported for the connection."""
        connection = self._connection
        if connection is None:  # it was closed earlier in this iteration
            return
        if events & selectors.EVENT_WRITE:
            if not connection.is_connected:
                error_code = connection.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
                if error_code:
                    self._fail(os.strerror(error_code))
                    return
                connection.is_connected = True
            self._write(connection)
        if events & selectors.EVENT_READ and connection is self._connection:
            self._read(connection)

    def _write(self, connection: UpstreamConnection) -> None:
        """Writes the request, which is small; bytes that the socket does not accept wait for the selector."""
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
        """Reads bytes of a response."""
        try:
            data = connection.sock.recv(READ_BYTES)
        except BlockingIOError:
            return
        except OSError as error:
            self._fail(str(error))
            return
        if not data:
            self._fail("closed by the upstream")
            return
        connection.last_received_ns = self._clock.now()
        decode_error = ""
        try:
            connection.codec.receive_data(memoryview(data))
        except FeedError as error:
            decode_error = str(error)
        self._deliver(connection)  # also the values that were completed before the error
        if decode_error and connection is self._connection:
            self._fail(f"malformed: {decode_error}")

    def _deliver(self, connection: UpstreamConnection) -> None:
        """Passes on the completed responses and chunks of a response."""
        for response in connection.codec.completed:
            if connection is not self._connection and response.has_more:
                break  # the connection was closed meanwhile, so this response will never be complete
            if not response.has_more:
                connection.awaits_response = False
                if not connection.codec.keeps_alive:
                    self.close()
            self._on_response(response)

    def _fail(self, reason: str) -> None:
        """Closes the connection and reports its outstanding request, if any, as failed."""
        was_outstanding = self._connection is not None and self._connection.awaits_response
        self.close()
        if was_outstanding:
            self._on_failure(reason)
