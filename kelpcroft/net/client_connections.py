"""Clients' connections: reading of requests, sending of responses, and closing."""

from __future__ import annotations

import socket
from collections import deque
from dataclasses import replace
from typing import Final

from kelpcroft.core import effects, inputs, messages
from kelpcroft.net.client_codec import CancelMessage, ClientCodec, ClientMessage
from kelpcroft.net.client_memory import ClientMemory
from kelpcroft.net.fair_turns import FIRST_CLIENT_READ_BYTES, ReadPacer
from kelpcroft.net.lingering_close import LingeringClients
from kelpcroft.net.listeners import Listener
from kelpcroft.net.read_estimate import ReadEstimate
from kelpcroft.net.transport import (
    NO_EVENTS,
    READABLE,
    SECOND,
    WRITABLE,
    Connection,
    ConnectionHandler,
    Transport,
)

# A client is not read while more than this of its output is unsent.
MAX_UNSENT_BYTES_PER_CLIENT: Final = 512 * 1024
# If input may have waited unread for longer than this, the client may have disconnected meanwhile: its socket
# is read again even after a read that did not fill the buffer.
POSSIBLE_DISCONNECT_AFTER_NS: Final = SECOND // 20
# A pending request that waited at most this long keeps its remaining time unchanged.
MIN_REPORTED_QUEUED_NS: Final = SECOND // 1_000
# A client with at least this many pending messages, or bytes of request bodies in them, is not read.
MAX_PENDING_MESSAGES: Final = 64
MAX_PENDING_BODY_BYTES: Final = 64 * 1024
MAX_DISPATCHES_PER_TURN: Final = 32  # pending messages of one client that are dispatched in a row
CANCELS_PER_MESSAGE: Final = 32  # so many requests named in a cancel count as one message
# Maximum time until a new client's first message, and from the first byte of a message to its last.
SILENT_CLIENT_TIMEOUT_NS: Final = 2 * SECOND
# A connection without open requests is closed after this; most clients close theirs after 4 s.
IDLE_CLIENT_TIMEOUT_NS: Final = 5 * SECOND
NEW_CLIENT_GRACE_NS: Final = SECOND  # in a drain, a client that has sent no message is closed after this
# In a drain, an idle connection with responses that its client may not have read is kept this long at most.
MAX_DRAIN_WAIT_NS: Final = 3 * SECOND
WRITE_STALL_TIMEOUT_NS: Final = 10 * SECOND  # a connection that accepts no output for this long is closed
# Maximum number of log lines about lost clients between two sweeps, as misbehaving clients can appear in
# hundreds.
MAX_LOGGED_LOSSES_PER_SWEEP: Final = 2


class ClientConnection(Connection):
    """A client's connection."""

    def __init__(self, handler: ClientConnections, number: int, sock: socket.socket, now: int) -> None:
        super().__init__(handler, sock, now)
        self.number = number
        self.codec = ClientCodec(number)
        self.read_pacer = ReadPacer(FIRST_CLIENT_READ_BYTES)
        self.read_estimate = ReadEstimate()
        self.last_early_turn = self.last_turn  # number of its last turn among clients with open requests
        self.is_connected = True
        self.has_sent_message = False  # the client has sent at least one complete message
        self.last_message_ns = now  # when the last message arrived, else when the connection was accepted
        self.partial_since_ns = 0  # when an incomplete message began to arrive; 0 = there is none
        # Messages not yet passed to the reducer, each with the time at which it was read.
        self.pending_messages: deque[tuple[int, inputs.ClientRequest | inputs.HealthRequest]] = deque()
        self.is_closing = False  # its input is discarded, and no further response is due
        self.closing_since_ns = 0
        self.has_misbehaved = False  # its connection was closed for what it sent
        self.discarded_bytes = 0  # bytes of input discarded since ``closing_since_ns``
        self.last_arrival_ns = now  # when bytes were last received, or found to have arrived in the socket
        self.waiting_bytes = 0  # bytes found in the socket while it is not read
        self.has_reservation = False  # memory for its incomplete message is reserved
        self.pending_bytes = 0  # memory for which its pending messages are charged

    def cancel_pending(self, request_numbers: frozenset[int]) -> set[int]:
        """Drops requests that the reducer has not received yet; returns the numbers of those dropped."""
        dropped = {pending[1].request_number for pending in self.pending_messages} & request_numbers
        if dropped:
            self.pending_messages = deque(
                pending for pending in self.pending_messages if pending[1].request_number not in dropped
            )
        return dropped

    def has_full_backlog(self) -> bool:
        """Whether so much is pending that the client is not read before some of it is dispatched."""
        if not self.pending_messages:
            return False
        body_bytes = sum(
            len(message.body)
            for _, message in self.pending_messages
            if isinstance(message, inputs.ClientRequest)
        )
        return len(self.pending_messages) >= MAX_PENDING_MESSAGES or body_bytes >= MAX_PENDING_BODY_BYTES

    def is_silent(self, now: int) -> bool:
        """Whether a client has been silent for too long, within a message or before its first one."""
        silent_since_ns = self.partial_since_ns
        if not silent_since_ns and not self.has_sent_message:
            silent_since_ns = self.last_message_ns
        return bool(silent_since_ns) and now - silent_since_ns > SILENT_CLIENT_TIMEOUT_NS

    def has_unread_input(self) -> bool:
        """Whether input waits unread in the client's socket."""
        try:
            return bool(self.sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT))
        except OSError:
            return False


class ClientConnections(ConnectionHandler[ClientConnection]):
    """All clients' connections, each under its unique number."""

    def __init__(self, transport: Transport, listener: Listener, max_open: int, max_closing: int) -> None:
        """``max_open`` and ``max_closing`` bound the open connections and those in a lingering close."""
        super().__init__(transport)
        self.listener = listener
        self.max_open = max_open
        self.open: dict[int, ClientConnection] = {}
        self.lingering = LingeringClients(self, max_closing)
        self.memory = ClientMemory(self, transport)
        transport.pool.reclaim = self.memory.reclaim_output
        self.clients_with_pending: dict[ClientConnection, None] = {}  # clients with pending messages
        # Closes that the reducer has requested, each with its reason.
        self.requested_closes: list[tuple[ClientConnection, str]] = []
        self.is_draining = False  # each connection is closed once no response is due on it
        self.drain_began_ns = 0
        self.logged_losses = 0  # log lines about lost clients since the last sweep
        self.queued_ns = 0  # how long the input being read counts as having waited in the socket
        self.max_unread_ns = 0  # upper bound of that time

    # Effects ----------------------------------------------------------------------------------------------

    def send(self, number: int, chunks: tuple[messages.Body, ...]) -> None:
        """Queues a response for a client, if its connection is still open."""
        client = self.open.get(number)
        if client is not None:
            self.transport.queue_write(client, chunks)

    def close_client(self, effect: effects.CloseClient) -> None:
        """Closes a client's connection at the next flush; its input is discarded from now on."""
        client = self.open.get(effect.client)
        if client is not None:
            client.is_closing = True
            self.requested_closes.append((client, effect.reason))

    def drain(self, effect: effects.DrainClients) -> None:
        """Starts or stops a drain, which closes each connection once no response is due on it."""
        if effect.is_enabled and not self.is_draining:
            self.drain_began_ns = self.transport.clock.now()
        self.is_draining = effect.is_enabled
        self._close_idle()

    # Events of a connection -------------------------------------------------------------------------------

    def read(self, connection: ClientConnection) -> None:
        """Reads a few buffers; input on a closing connection is discarded."""
        if connection.is_closing:
            self.lingering.discard_input(connection)
        else:
            super().read(connection)
            self.memory.after_read(connection)

    def may_read(self, connection: ClientConnection) -> bool:
        """Whether there is memory for what a read may add to the client's incomplete message."""
        if connection.is_closing or self.memory.may_read(connection):
            return True
        # The input waits from now on: its time in the socket counts when it is read.
        connection.unread_since_ns = connection.unread_since_ns or self.transport.clock.now() - self.queued_ns
        return False

    def max_read_bytes(self, connection: ClientConnection) -> int:
        """Returns how many bytes may be read at once."""
        return self.memory.max_read_bytes(connection)

    def resumed(self, connection: ClientConnection) -> None:
        """The time in which a client was not read does not count as its own."""
        self.memory.resumed(connection)

    def reads_until_empty(self) -> bool:
        """Whether a disconnect may be waiting in the socket behind unread input."""
        return self.max_unread_ns > POSSIBLE_DISCONNECT_AFTER_NS

    def receive(self, connection: ClientConnection, data: memoryview) -> None:
        """Queues messages for ``dispatch_pending``; a cancel takes effect immediately.

        Raises:
            ClientProtocolError: The bytes are not valid messages.
        """
        messages = connection.codec.receive_data(data, self.queued_ns)
        connection.read_pacer.record(len(data), _work_of(messages))
        now = self.transport.clock.now()
        connection.last_arrival_ns = now
        connection.waiting_bytes = 0
        if messages:
            connection.has_sent_message = True
            connection.last_message_ns = now
            connection.partial_since_ns = 0
        if not connection.codec.has_partial_message():
            connection.partial_since_ns = 0
        elif not connection.partial_since_ns:
            connection.partial_since_ns = now
        for message in messages:
            if isinstance(message, CancelMessage):
                self.cancel(connection, message.request_numbers)
            else:
                connection.pending_messages.append((now, message))
                self.memory.charge_pending(connection, message)
                self.clients_with_pending[connection] = None

    def cancel(self, client: ClientConnection, request_numbers: frozenset[int]) -> None:
        """Cancels a client's requests; numbers of requests that are not open cost nothing."""
        # A pending request is dropped without an attempt, and no response to it is due.
        dropped = client.cancel_pending(request_numbers)
        self.memory.release_cancelled(client)
        open_numbers = self.transport.reducer.state.requests_by_client.get(client.number, {}).keys()
        for request_number in sorted(open_numbers & request_numbers - dropped):
            self.transport.handle_input(inputs.CancelRequest(client.number, request_number))

    def dispatch_pending(self, client: ClientConnection) -> None:
        """Passes a client's next pending messages to the reducer, in the order in which they were sent.

        A request's remaining time counts from its sending, so the time that it was pending is subtracted.
        """
        for _ in range(MAX_DISPATCHES_PER_TURN):
            if not client.pending_messages or client.is_closing:
                break
            read_ns, message = client.pending_messages.popleft()
            self.memory.release_pending(client, message)
            queued_ns = self.transport.clock.now() - read_ns
            if queued_ns > MIN_REPORTED_QUEUED_NS and isinstance(message, inputs.ClientRequest):
                message = replace(
                    message,
                    remaining_time_ns=message.remaining_time_ns - queued_ns,
                    queued_ns=message.queued_ns + queued_ns,
                )
            self.transport.handle_input(message)
        if client.is_closing:
            client.pending_messages.clear()
            self.memory.release_all(client)
        if not client.pending_messages:
            self.clients_with_pending.pop(client, None)

    def malformed_input(self, connection: ClientConnection, reason: str) -> None:
        """Closes a connection after malformed input; the client can still read the responses already sent."""
        connection.has_misbehaved = True
        self.close_gracefully(connection, reason)

    def interest_of(self, connection: ClientConnection) -> int:
        """Returns the events to watch: input unless too much output is stored, writability if any is."""
        stored_bytes = connection.write_buffer.stored_bytes()
        readable = NO_EVENTS if stored_bytes > MAX_UNSENT_BYTES_PER_CLIENT else READABLE
        return readable | (WRITABLE if stored_bytes else NO_EVENTS)

    def bytes_written(self, connection: ClientConnection) -> None:
        """Records what the client has yet to read."""
        connection.read_estimate.record_sent(self.transport.clock.now(), connection.write_buffer.sent_bytes)

    def all_written(self, connection: ClientConnection) -> None:
        """Shuts down the output side of a closing connection; in a drain, closes an idle one."""
        if connection.is_closing:
            self.lingering.end_output(connection)
        elif self.is_draining:
            self.close_when_idle(connection)

    # Closing of connections -------------------------------------------------------------------------------

    def close_gracefully(self, client: ClientConnection, reason: str = "") -> None:
        """Closes a client's connection without losing the responses already sent or queued.

        The client's input is discarded, and its open requests end without a response.  Queued responses are
        written, and then the output side is shut down.  The socket is closed when the client has closed its
        side or a limit of the lingering close is reached (``LingeringClients``).
        """
        if client.number not in self.open:
            return
        client.is_closing = True
        client.closing_since_ns = self.transport.clock.now()
        self.clients_with_pending.pop(client, None)
        client.pending_messages.clear()
        self.memory.release_all(client)
        del self.open[client.number]
        self.listener.set_registered(True)
        self._log_loss(client, reason)
        self.lingering.add(client)
        self.lingering.end_output(client)
        self.transport.handle_input(inputs.ClientDisconnected(client.number))

    def close_requested(self) -> None:
        """Closes the connections whose close the reducer has requested since the last flush."""
        requested = self.requested_closes
        self.requested_closes = []
        for client, reason in requested:
            client.has_misbehaved = True
            self.close_gracefully(client, reason)

    def close_when_idle(self, client: ClientConnection) -> None:
        """In a drain, closes a client's connection once no response is due on it.

        The connection stays open while a message is partly read or input waits unread in the socket, and for
        MAX_DRAIN_WAIT_NS at most while the client may not have read all responses.  The client sends a
        request that crosses the close again, to another router.
        """
        if not self.is_draining or client.is_closing:
            return
        if client.unread_since_ns or client.codec.has_partial_message():
            return
        now = self.transport.clock.now()
        age_ns = now - client.last_message_ns
        if not client.has_sent_message and age_ns < NEW_CLIENT_GRACE_NS:
            return  # a new connection, whose first request is probably in flight
        if not self.is_idle(client) or client.has_unread_input():  # unread input is read first
            return
        if client.read_estimate.has_read_all(now, client.sock):
            self.close_gracefully(client)
        elif now - self.drain_began_ns >= MAX_DRAIN_WAIT_NS:
            unread_bytes = client.read_estimate.unread_bytes(now)
            self.close_gracefully(client, f"closed in a drain; it may have {unread_bytes} bytes unread")

    def _close_idle(self) -> None:
        for client in list(self.open.values()):
            self.close_when_idle(client)

    def connection_failed(
        self,
        connection: ClientConnection,
        reason: str,
        is_unreachable: bool = False,  # noqa: ARG002
    ) -> None:
        """Closes a connection that has ended or failed; notifies the reducer if it was open."""
        if connection.number in self.open:
            self.close(connection)
            self._log_loss(connection, reason)
            self.transport.handle_input(inputs.ClientDisconnected(connection.number))
        elif connection.number in self.lingering.clients:
            self.close(connection)

    def _log_loss(self, client: ClientConnection, reason: str) -> None:
        """Logs the reason for the loss of a client's connection, a limited number of times per sweep."""
        if not reason or self.logged_losses >= MAX_LOGGED_LOSSES_PER_SWEEP:
            return
        self.logged_losses += 1
        fields: dict[str, object] = {"client": client.number, "why": reason}
        self.transport.log("client.lost", f"client {client.number}: {reason}", fields, "warning")

    def close(self, connection: ClientConnection) -> None:
        """Closes the socket of an open or closing connection immediately."""
        self.log_discarded(connection)
        self.transport.close(connection)
        self.clients_with_pending.pop(connection, None)
        connection.pending_messages.clear()
        self.memory.release_all(connection)
        self.open.pop(connection.number, None)
        self.lingering.clients.pop(connection.number, None)
        if len(self.open) < self.max_open:
            self.listener.set_registered(True)

    def log_discarded(self, client: ClientConnection) -> None:
        """Logs the input that arrived on a connection after its close; none of it is answered."""
        if client.discarded_bytes and client.closing_since_ns and not client.has_misbehaved:
            self._log_loss(
                client, f"{client.discarded_bytes} bytes arrived after the close and were discarded"
            )

    def log_unwritten(self, client: ClientConnection) -> None:
        """Logs the output that the client did not accept in time."""
        stored_bytes = client.write_buffer.stored_bytes()
        if stored_bytes:
            self._log_loss(client, f"{stored_bytes} bytes of its responses were not written in time")

    # Sweep ------------------------------------------------------------------------------------------------

    def has_unread_responses(self, now: int) -> bool:
        """Whether a client has unsent output, or may not have read all that was sent."""
        return any(
            client.write_buffer.stored_bytes()
            or client in self.transport.pending_writes
            or not client.read_estimate.has_read_all(now, client.sock)
            for client in self.open.values()
        )

    def is_idle(self, client: ClientConnection) -> bool:
        """Whether a client has no open or pending request and no unsent output."""
        if client.write_buffer.stored_bytes() or client in self.transport.pending_writes:
            return False
        if client.pending_messages:
            return False
        return client.number not in self.transport.reducer.state.requests_by_client

    def sweep(self, now: int) -> None:
        """Closes connections that accept no output, are silent, or have been idle for too long.

        Some clients never close their connections, and would otherwise occupy every connection slot.
        """
        self.logged_losses = 0
        self.lingering.sweep(now)
        self.memory.sweep(now)
        if self.is_draining:
            self._close_idle()
        for client in list(self.open.values()):
            if client.write_buffer.stored_bytes() and now - client.last_progress_ns > WRITE_STALL_TIMEOUT_NS:
                self.connection_failed(client, "accepts no more output")
            elif not client.unread_since_ns:
                is_idle = (
                    now - client.last_message_ns > IDLE_CLIENT_TIMEOUT_NS
                    and self.is_idle(client)
                    and client.read_estimate.has_read_all(now, client.sock)
                )
                if (client.is_silent(now) or is_idle) and not client.has_unread_input():
                    self.close_gracefully(client)


def _work_of(messages: list[ClientMessage]) -> int:
    """Returns how many messages a read counts as; a cancel that names many requests counts as several."""
    cancelled = sum(
        len(message.request_numbers) for message in messages if isinstance(message, CancelMessage)
    )
    return len(messages) + cancelled // CANCELS_PER_MESSAGE
