"""Clients' connections: what they ask, what they are answered, and when their connections end."""

from __future__ import annotations

import socket
from collections import deque
from dataclasses import replace
from typing import Final

from kelpcroft.core import effects, inputs, messages
from kelpcroft.net.buffers import BUFFER_BYTES
from kelpcroft.net.client_codec import ClientCodec
from kelpcroft.net.lingering_close import LingeringClients
from kelpcroft.net.listeners import Listener
from kelpcroft.net.transport import (
    NO_EVENTS,
    READABLE,
    SECOND,
    WRITABLE,
    Connection,
    ConnectionHandler,
    Transport,
)

MAX_UNREAD_BYTES_PER_CLIENT: Final = 512 * 1024  # a client that has not read so much is not read either
# What waited so long unread may be from a client that has left: its socket is read to the end.
MAYBE_GONE_NS: Final = SECOND // 20
QUEUED_REPORTED_NS: Final = SECOND // 1_000  # a shorter wait here is not taken off a request's time
SILENT_CLIENT_TIMEOUT_NS: Final = 2 * SECOND  # for its first message, and for each that it has begun
IDLE_CLIENT_TIMEOUT_NS: Final = 5 * SECOND  # with nothing open; usual ones go by themselves after 4 s
NEW_CLIENT_GRACE_NS: Final = SECOND  # in a drain, one that has sent nothing is closed after this
WRITE_STALL_TIMEOUT_NS: Final = 10 * SECOND  # a connection that takes nothing for so long is closed
MAX_LOGGED_LOSSES_PER_SWEEP: Final = 2  # lines about bad clients between sweeps: they come in hundreds


class ClientConnection(Connection):
    """A client's connection."""

    def __init__(self, handler: ClientConnections, number: int, sock: socket.socket, now: int) -> None:
        super().__init__(handler, sock, now)
        self.number = number
        self.codec = ClientCodec(number, BUFFER_BYTES)
        self.is_connected = True
        self.has_sent_message = False  # a whole one
        self.last_message_ns = now  # when the last one came, or else the connection
        self.partial_since_ns = 0  # when the message began of which a part has come
        # Messages that the reducer has not been told yet, each with when it was read.
        self.pending_messages: deque[tuple[int, inputs.ClientRequest | inputs.HealthRequest]] = deque()
        self.is_closing = False  # nothing more is taken from it, and nothing more is owed
        self.closing_since_ns = 0
        self.discarded_bytes = 0  # read since then and not used

    def cancel_pending(self, request_number: int) -> bool:
        """Drops a request that the reducer was not told yet; returns whether there was one."""
        others = [pending for pending in self.pending_messages if pending[1].request_number != request_number]
        was_pending = len(others) < len(self.pending_messages)
        self.pending_messages = deque(others)
        return was_pending

    def is_silent(self, now: int) -> bool:
        """Whether it says nothing for long: in the middle of a message, or before its first."""
        silent_since_ns = self.partial_since_ns
        if not silent_since_ns and not self.has_sent_message:
            silent_since_ns = self.last_message_ns
        return bool(silent_since_ns) and now - silent_since_ns > SILENT_CLIENT_TIMEOUT_NS

    def has_unread_input(self) -> bool:
        """Whether something that it sent waits to be read."""
        try:
            return bool(self.sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT))
        except OSError:
            return False


class ClientConnections(ConnectionHandler[ClientConnection]):
    """All clients' connections, by numbers given here."""

    def __init__(self, transport: Transport, listener: Listener, max_open: int, max_closing: int) -> None:
        """``max_open`` and ``max_closing`` bound the connections in use and those that are being ended."""
        super().__init__(transport)
        self.listener = listener
        self.max_open = max_open
        self.open: dict[int, ClientConnection] = {}
        self.lingering = LingeringClients(self, max_closing)
        self.with_pending: dict[ClientConnection, None] = {}  # with messages not told to the reducer yet
        self.decided_closes: list[tuple[ClientConnection, str]] = []  # by the reducer, and why
        self.is_draining = False  # connections are ended once nothing is owed on them
        self.logged_losses = 0  # lines about bad clients since the last sweep
        self.unread_ns = 0  # the longest that what is being read may have waited in the socket

    # Effects ----------------------------------------------------------------------------------------------

    def send(self, number: int, pieces: tuple[messages.Body, ...]) -> None:
        """Queues a response for a client, if its connection is still open."""
        client = self.open.get(number)
        if client is not None:
            self.transport.queue_write(client, pieces)

    def close_client(self, effect: effects.CloseClient) -> None:
        """Ends a client's connection at the next flush; nothing more is taken from it."""
        client = self.open.get(effect.client)
        if client is not None:
            client.is_closing = True
            self.decided_closes.append((client, effect.reason))

    def drain(self, effect: effects.DrainClients) -> None:
        """Begins to end connections once nothing is owed on them, or stops doing so."""
        self.is_draining = effect.is_enabled
        self._close_idle()

    # Events of a connection -------------------------------------------------------------------------------

    def read(self, connection: ClientConnection) -> None:
        """Reads a few buffers; what a client sends whose connection is being ended is discarded."""
        if connection.is_closing:
            self.lingering.discard_input(connection)
        else:
            super().read(connection)

    def reads_until_empty(self) -> bool:
        """Whether the close of a client that has left may wait behind what is read."""
        return self.unread_ns > MAYBE_GONE_NS

    def receive(self, connection: ClientConnection, data: memoryview) -> None:
        """Keeps messages for ``dispatch_pending``; a cancel counts at once.

        Raises:
            ClientProtocolError: the bytes are no messages.
        """
        messages = connection.codec.receive_data(data, self.unread_ns)
        now = self.transport.clock.now()
        if messages:
            connection.has_sent_message = True
            connection.last_message_ns = now
            connection.partial_since_ns = 0
        if not connection.codec.has_partial_message():
            connection.partial_since_ns = 0
        elif not connection.partial_since_ns:
            connection.partial_since_ns = now
        for message in messages:
            if isinstance(message, inputs.CancelRequest):
                # A request that was not told yet is never sent on, and nothing is owed.
                if not connection.cancel_pending(message.request_number):
                    self.transport.handle_input(message)
            else:
                connection.pending_messages.append((now, message))
                self.with_pending[connection] = None

    def dispatch_pending(self, client: ClientConnection) -> None:
        """Tells the reducer what a client has sent, in its order.

        A request's remaining time counts from the client's send: what it waited here is taken off it.
        """
        while client.pending_messages and not client.is_closing:
            read_ns, message = client.pending_messages.popleft()
            queued_ns = self.transport.clock.now() - read_ns
            if queued_ns > QUEUED_REPORTED_NS and isinstance(message, inputs.ClientRequest):
                message = replace(
                    message,
                    remaining_time_ns=message.remaining_time_ns - queued_ns,
                    queued_ns=message.queued_ns + queued_ns,
                )
            self.transport.handle_input(message)
        client.pending_messages.clear()
        self.with_pending.pop(client, None)

    def malformed_input(self, connection: ClientConnection, reason: str) -> None:
        """Ends a connection that says what cannot be read; responses on their way still arrive."""
        self.close_gracefully(connection, reason)

    def interest_of(self, connection: ClientConnection) -> int:
        """What the selector is to report: input, unless the client does not read what it is sent."""
        stored_bytes = connection.write_buffer.stored_bytes()
        readable = NO_EVENTS if stored_bytes > MAX_UNREAD_BYTES_PER_CLIENT else READABLE
        return readable | (WRITABLE if stored_bytes else NO_EVENTS)

    def all_written(self, connection: ClientConnection) -> None:
        """Ends our side of a closing connection; in a drain, ends one that is idle now."""
        if connection.is_closing:
            self.lingering.end_output(connection)
        elif self.is_draining:
            self.close_when_idle(connection)

    # Ends of connections ----------------------------------------------------------------------------------

    def close_gracefully(self, client: ClientConnection, reason: str = "") -> None:
        """The one way to end a client's connection.

        Nothing more is taken from it and what it has open is given up; what was answered is written, then our
        side ends, and then the client's, or its time is over (see ``LingeringClients``).
        """
        if client.number not in self.open:
            return
        client.is_closing = True
        client.closing_since_ns = self.transport.clock.now()
        self.with_pending.pop(client, None)
        del self.open[client.number]
        self.listener.set_listening(True)
        self._log_loss(client, reason)
        self.lingering.add(client)
        self.lingering.end_output(client)
        self.transport.handle_input(inputs.ClientDisconnected(client.number))

    def close_as_decided(self) -> None:
        """Ends the connections that the reducer has had closed since the last flush."""
        decided = self.decided_closes
        self.decided_closes = []
        for client, reason in decided:
            self.close_gracefully(client, reason)

    def close_when_idle(self, client: ClientConnection) -> None:
        """In a drain, ends a client's connection once nothing is owed on it.

        Nothing of a message may be half read and nothing wait unread in the socket: a request that crosses
        the close is sent again by the client, and goes to another router.
        """
        if not self.is_draining or client.is_closing:
            return
        if client.unread_since_ns or client.codec.has_partial_message():
            return
        age_ns = self.transport.clock.now() - client.last_message_ns
        if not client.has_sent_message and age_ns < NEW_CLIENT_GRACE_NS:
            return  # new: its first request is on the way
        if self.is_idle(client) and not client.has_unread_input():  # else it is read soon, then ended
            self.close_gracefully(client)

    def _close_idle(self) -> None:
        for client in list(self.open.values()):
            self.close_when_idle(client)

    def connection_failed(
        self,
        connection: ClientConnection,
        reason: str,
        is_unreachable: bool = False,  # noqa: ARG002
    ) -> None:
        """Closes a connection that has ended or failed; the reducer is informed if it was in use."""
        if connection.number in self.open:
            self.close(connection)
            self._log_loss(connection, reason)
            self.transport.handle_input(inputs.ClientDisconnected(connection.number))
        elif connection.number in self.lingering.clients:
            self.close(connection)

    def _log_loss(self, client: ClientConnection, reason: str) -> None:
        """Writes to the log why a client's connection has ended, a few times between sweeps."""
        if not reason or self.logged_losses >= MAX_LOGGED_LOSSES_PER_SWEEP:
            return
        self.logged_losses += 1
        fields: dict[str, object] = {"client": client.number, "why": reason}
        self.transport.log("client.lost", f"client {client.number}: {reason}", fields, "warning")

    def close(self, connection: ClientConnection) -> None:
        """Closes a connection at once, in use or being ended."""
        self.transport.close(connection)
        self.with_pending.pop(connection, None)
        connection.pending_messages.clear()
        self.open.pop(connection.number, None)
        self.lingering.clients.pop(connection.number, None)
        if len(self.open) < self.max_open:
            self.listener.set_listening(True)

    # Sweep ------------------------------------------------------------------------------------------------

    def is_idle(self, client: ClientConnection) -> bool:
        """Whether nothing is owed on a client's connection and nothing waits to be written."""
        if client.write_buffer.stored_bytes() or client in self.transport.pending_writes:
            return False
        if client.pending_messages:
            return False
        return client.number not in self.transport.reducer.state.requests_by_client

    def sweep(self, now: int) -> None:
        """Ends connections that take nothing any more, say nothing, or have had nothing open for long.

        Some clients keep their connection for good, and would hold every place.
        """
        self.logged_losses = 0
        self.lingering.sweep(now)
        if self.is_draining:
            self._close_idle()
        for client in list(self.open.values()):
            if client.write_buffer.stored_bytes() and now - client.last_progress_ns > WRITE_STALL_TIMEOUT_NS:
                self.connection_failed(client, "takes nothing any more")
            elif not client.unread_since_ns:
                is_idle = now - client.last_message_ns > IDLE_CLIENT_TIMEOUT_NS and self.is_idle(client)
                if (client.is_silent(now) or is_idle) and not client.has_unread_input():
                    self.close_gracefully(client)
