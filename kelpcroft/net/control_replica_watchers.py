"""The connections of those who follow a control replica: routers, other replicas, and operators."""

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
READ_BYTES = 1 << 16
MAX_ACCEPTS_PER_TURN = 256
MAX_UNWRITTEN_BYTES = 8 << 20  # that wait for one watcher
IDLE_TIMEOUT_NS = 20 * SECOND  # a watcher that calls no more, or reads no more, is closed after this


class WatcherConnection:
    """One watcher's connection."""

    def __init__(self, number: int, sock: socket.socket, now: int) -> None:
        self.number = number
        self.sock = sock
        self.codec = WatchServerCodec()
        self.unwritten = bytearray()
        self.last_progress_ns = now  # when it last called or took something
        self.is_ending = False  # closed once all is written


class WatcherConnections:
    """Accepts watchers, reads their calls and writes what is for them.  Its length counts the connections."""

    def __init__(
        self,
        selector: selectors.BaseSelector,
        listener: socket.socket,
        clock: Clock,
        max_connections: int,
        on_request: Callable[[int, EventsRequest | StateRequest], None],
        on_disconnect: Callable[[int], None],
    ) -> None:
        """Start with none.

        Args:
            selector: calls what is registered with a socket when that is ready.
            listener: where watchers come in; not closed here.
            clock: tells Unix ns.
            max_connections: further ones are closed at once.
            on_request: a watcher, by its number, has called.
            on_disconnect: a watcher, by its number, has gone.
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
        """Accept the connections that wait; past the most that are kept they are closed at once."""
        for _ in range(MAX_ACCEPTS_PER_TURN):
            try:
                sock, _ = self._listener.accept()
            except OSError:
                return
            if len(self._connections) >= self._max_connections:
                sock.close()
                continue
            self._add(sock)

    def write(self, number: int, data: bytes) -> None:
        """Send bytes to a watcher.  One that has gone gets none; one that reads too little is closed."""
        watcher = self._connections.get(number)
        if watcher is None:
            return
        watcher.unwritten += data
        if len(watcher.unwritten) > MAX_UNWRITTEN_BYTES:
            self._drop(watcher)
        else:
            self._flush(watcher)

    def drop_idle(self, now: int) -> None:
        """Let those go who neither call nor read any more."""
        for watcher in list(self._connections.values()):
            if now - watcher.last_progress_ns > IDLE_TIMEOUT_NS:
                self._drop(watcher)

    def close(self) -> None:
        """End all connections."""
        for watcher in list(self._connections.values()):
            self._drop(watcher)

    def _add(self, sock: socket.socket) -> None:
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._last_number += 1
        watcher = WatcherConnection(self._last_number, sock, self._clock.now())
        self._connections[watcher.number] = watcher
        self._selector.register(sock, selectors.EVENT_READ, partial(self._on_ready, watcher))

    def _on_ready(self, watcher: WatcherConnection, events: int) -> None:
        """Handle what the selector reported of a watcher's connection."""
        if events & selectors.EVENT_WRITE:
            self._flush(watcher)
        if events & selectors.EVENT_READ and watcher.number in self._connections:
            self._read(watcher)

    def _read(self, watcher: WatcherConnection) -> None:
        """Bytes of calls."""
        try:
            data = watcher.sock.recv(READ_BYTES)
        except BlockingIOError:
            return
        except OSError:
            data = b""
        if not data:
            self._drop(watcher)
            return
        try:
            requests = watcher.codec.receive_data(data)
        except WatchRequestError as error:
            self.write(watcher.number, encode_bad_request(str(error)))
            watcher.is_ending = True
            self._flush(watcher)
            return
        watcher.last_progress_ns = self._clock.now()
        for request in requests:
            self._on_request(watcher.number, request)

    def _flush(self, watcher: WatcherConnection) -> None:
        """Write what a watcher's socket takes."""
        if watcher.unwritten:
            try:
                sent = watcher.sock.send(watcher.unwritten)
            except BlockingIOError:
                sent = 0
            except OSError:
                self._drop(watcher)
                return
            if sent:
                del watcher.unwritten[:sent]
                watcher.last_progress_ns = self._clock.now()
        if watcher.is_ending and not watcher.unwritten:
            self._drop(watcher)
            return
        self._watch_for(watcher)

    def _watch_for(self, watcher: WatcherConnection) -> None:
        """Ask the selector for input, and for room while anything is unwritten."""
        interest = selectors.EVENT_READ
        if watcher.unwritten:
            interest |= selectors.EVENT_WRITE
        key = self._selector.get_key(watcher.sock)
        self._selector.modify(watcher.sock, interest, key.data)

    def _drop(self, watcher: WatcherConnection) -> None:
        """A watcher's connection ends."""
        if self._connections.pop(watcher.number, None) is None:
            return
        self._selector.unregister(watcher.sock)
        watcher.sock.close()
        self._on_disconnect(watcher.number)
