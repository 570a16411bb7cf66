"""Connections of a control replica's watchers: routers, other replicas, and operators."""

from __future__ import annotations

import selectors
import socket
from collections.abc import Callable
from functools import partial

from kelpcroft.net.clock import Clock
from kelpcroft.net.watch_codec import (
    EventsRequest,
    StateRequest,
    WatchRequestError,
    WatchServerCodec,
    encode_bad_request,
)

MS = 1_000_000
SECOND = 1_000 * MS
READ_BYTES = 1 << 16  # largest number of bytes read from a connection in one call
MAX_ACCEPTS_PER_ITERATION = 256  # connections accepted before the other sockets are handled
MAX_UNWRITTEN_BYTES = 8 << 20  # bytes that may be queued for one watcher
IDLE_TIMEOUT_NS = 20 * SECOND  # a connection without bytes in either direction for this long is closed


class WatcherConnection:
    """One watcher's connection."""

    def __init__(self, number: int, sock: socket.socket, now: int) -> None:
        self.number = number
        self.sock = sock
        self.codec = WatchServerCodec()
        self.unwritten = bytearray()
        self.last_progress_ns = now  # when the watcher last sent a request or accepted bytes
        self.closes_after_write = False  # the connection is closed after all queued bytes are written


class WatcherConnections:
    """Accepts watchers, reads their requests and writes the responses.  ``len()`` counts the connections."""

    def __init__(
        self,
        selector: selectors.BaseSelector,
        listener: socket.socket,
        clock: Clock,
        max_connections: int,
        on_request: Callable[[int, EventsRequest | StateRequest], None],
        on_disconnect: Callable[[int], None],
    ) -> None:
        """Starts without connections.

        Args:
            selector: selector of the loop, which calls the function registered for a socket when it is ready.
            listener: the listening socket, which is not closed here.
            clock: the time in Unix ns.
            max_connections: connections beyond this number are closed immediately.
            on_request: called with a watcher's number and its request.
            on_disconnect: called with a watcher's number after its connection was closed.
        """
        self._selector = selector
        self._listener = listener
        self._clock = clock
        self._max_connections = max_connections
        self._on_request = on_request
        self._on_disconnect = on_disconnect
        self._connections: dict[int, WatcherConnection] = {}
        self._last_number = 0

    def __len__(self) -> int:
        return len(self._connections)

    def on_listener_ready(self, _events: int) -> None:
        """Accepts waiting connections; connections beyond the limit are closed immediately."""
        for _ in range(MAX_ACCEPTS_PER_ITERATION):
            try:
                sock, _ = self._listener.accept()
            except OSError:
                return
            if len(self._connections) >= self._max_connections:
                sock.close()
                continue
            self._add_watcher(sock)

    def write(self, number: int, data: bytes) -> None:
        """Queues bytes for a watcher, if still connected; closes its connection if it reads too slowly."""
        watcher = self._connections.get(number)
        if watcher is None:
            return
        watcher.unwritten += data
        if len(watcher.unwritten) > MAX_UNWRITTEN_BYTES:
            self._close_watcher(watcher)
        else:
            self._flush(watcher)

    def close_idle(self, now: int) -> None:
        """Closes connections that have been idle for longer than ``IDLE_TIMEOUT_NS``."""
        for watcher in list(self._connections.values()):
            if now - watcher.last_progress_ns > IDLE_TIMEOUT_NS:
                self._close_watcher(watcher)

    def close(self) -> None:
        """Closes all connections."""
        for watcher in list(self._connections.values()):
            self._close_watcher(watcher)

    def _add_watcher(self, sock: socket.socket) -> None:
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._last_number += 1
        watcher = WatcherConnection(self._last_number, sock, self._clock.now())
        self._connections[watcher.number] = watcher
        self._selector.register(sock, selectors.EVENT_READ, partial(self._on_ready, watcher))

    def _on_ready(self, watcher: WatcherConnection, events: int) -> None:
        """Handles the events that the selector reported for a watcher's connection."""
        if events & selectors.EVENT_WRITE:
            self._flush(watcher)
        if events & selectors.EVENT_READ and watcher.number in self._connections:
            self._read(watcher)

    def _read(self, watcher: WatcherConnection) -> None:
        """Reads requests; a malformed one gets a response, after which the connection is closed."""
        try:
            data = watcher.sock.recv(READ_BYTES)
        except BlockingIOError:
            return
        except OSError:
            data = b""
        if not data:
            self._close_watcher(watcher)
            return
        try:
            requests = watcher.codec.receive_data(data)
        except WatchRequestError as error:
            self.write(watcher.number, encode_bad_request(str(error)))
            watcher.closes_after_write = True
            self._flush(watcher)
            return
        watcher.last_progress_ns = self._clock.now()
        for request in requests:
            self._on_request(watcher.number, request)

    def _flush(self, watcher: WatcherConnection) -> None:
        """Writes as many queued bytes as the watcher's socket accepts."""
        if watcher.unwritten:
            try:
                sent = watcher.sock.send(watcher.unwritten)
            except BlockingIOError:
                sent = 0
            except OSError:
                self._close_watcher(watcher)
                return
            if sent:
                del watcher.unwritten[:sent]
                watcher.last_progress_ns = self._clock.now()
        if watcher.closes_after_write and not watcher.unwritten:
            self._close_watcher(watcher)
            return
        self._update_interest(watcher)

    def _update_interest(self, watcher: WatcherConnection) -> None:
        """Registers for input, and for output while bytes are queued."""
        interest = selectors.EVENT_READ
        if watcher.unwritten:
            interest |= selectors.EVENT_WRITE
        key = self._selector.get_key(watcher.sock)
        self._selector.modify(watcher.sock, interest, key.data)

    def _close_watcher(self, watcher: WatcherConnection) -> None:
        """Closes a watcher's connection and reports it."""
        if self._connections.pop(watcher.number, None) is None:
            return
        self._selector.unregister(watcher.sock)
        watcher.sock.close()
        self._on_disconnect(watcher.number)
