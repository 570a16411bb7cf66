"""Connections to servers: caches, parents and the origin."""

from __future__ import annotations

import socket
from collections import deque
from typing import Final

from kelpcroft.core import effects, inputs, messages
from kelpcroft.core.memory_budget import MemoryAccount
from kelpcroft.net import server_codec
from kelpcroft.net.connector import Connector
from kelpcroft.net.transport import SECOND, WRITABLE, Connection, ConnectionHandler, Transport

# A connection that has been idle for longer than this is read before an attempt is written to it.
READ_BEFORE_WRITE_IDLE_NS: Final = SECOND // 50
# Maximum silence within a response; after a longer pause the connection is closed.
PARTIAL_RESPONSE_TIMEOUT_NS: Final = SECOND // 5
WRITE_STALL_TIMEOUT_NS: Final = 10 * SECOND  # a connection that accepts no output for this long is closed


class ServerConnection(Connection):
    """A connection to one server.

    The reducer assigns its number, in ``OpenServerConnection``.
    """

    def __init__(
        self, handler: ServerConnections, number: int, sock: socket.socket, now: int, address: str = ""
    ) -> None:
        super().__init__(handler, sock, now)
        self.number = number
        self.address = address
        self.held_bytes = 0  # memory for which its incomplete response is charged
        self.codec = server_codec.ServerCodec(number)
        self.last_read_ns = now  # when bytes were last received
        self.queued_bytes = 0  # total of all bytes ever queued
        # Attempts that are not completely written: the total of queued bytes at the end of each, and its id.
        self.unsent_attempts: deque[tuple[int, str]] = deque()
        self.has_partial_response = False  # the value last reported to the reducer


class ServerConnections(ConnectionHandler[ServerConnection]):
    """All connections to servers, each under the number that the reducer assigned."""

    def __init__(self, transport: Transport, connector: Connector) -> None:
        super().__init__(transport)
        self.connector = connector
        self.memory: MemoryAccount = transport.reducer.state.memory
        self.open: dict[int, ServerConnection] = {}

    # Effects ----------------------------------------------------------------------------------------------

    def open_connection(self, effect: effects.OpenServerConnection) -> None:
        """Starts to open a connection; the reducer is notified when it is established or has failed."""
        host, _, port = effect.address.rpartition(":")
        now = self.transport.clock.now()
        try:
            sock = self.connector.connect((host, int(port)))
        except OSError as error:
            # Reported at the next flush, after the effects of the current input are carried out.  No
            # connection was opened, so none is closed.
            self.transport.failed_opens.append(inputs.ServerConnectionLost(effect.connection, str(error)))
            return
        connection = ServerConnection(self, effect.connection, sock, now, effect.address)
        self.open[effect.connection] = connection
        self.transport.set_interest(connection, WRITABLE)

    def close_connection(self, effect: effects.CloseServerConnection) -> None:
        """Closes a connection, with all attempts in flight on it."""
        connection = self.open.get(effect.connection)
        if connection is not None:
            self.close(connection)

    def send_attempt(self, effect: effects.SendAttempt) -> None:
        """Sends an attempt."""
        self.send(effect.connection, server_codec.encode_attempt(effect), effect.attempt_id)

    def cancel_attempt(self, effect: effects.CancelAttempt) -> None:
        """Sends the command that cancels an attempt."""
        self.send(effect.connection, server_codec.encode_cancel(effect))

    def send_health_check(self, effect: effects.SendHealthCheck) -> None:
        """Sends a health check."""
        self.send(effect.connection, server_codec.encode_health_check(effect))

    def send(self, number: int, chunks: list[messages.Body], attempt_id: str = "") -> None:
        """Queues bytes for a server; ``attempt_id`` is given if they are an attempt."""
        connection = self.open.get(number)
        if connection is None:
            return
        connection.queued_bytes += sum(map(len, chunks))
        if attempt_id:
            connection.unsent_attempts.append((connection.queued_bytes, attempt_id))
        self.transport.queue_write(connection, chunks)

    # Events of a connection -------------------------------------------------------------------------------

    def connected(self, connection: ServerConnection) -> None:
        """Reports an established connection to the reducer."""
        self.transport.handle_input(inputs.ServerConnected(connection.number))

    def before_write(self, connection: ServerConnection) -> None:
        """Reads an idle connection before an attempt, as its server may have closed it since the select."""
        if connection.unsent_attempts and connection.is_connected and connection.is_open():
            last_active_ns = max(connection.last_read_ns, connection.last_progress_ns)
            if self.transport.clock.now() - last_active_ns > READ_BEFORE_WRITE_IDLE_NS:
                self.read(connection)

    def bytes_written(self, connection: ServerConnection) -> None:
        """Removes the attempts that are completely written from ``unsent_attempts``."""
        unsent = connection.unsent_attempts
        while unsent and unsent[0][0] <= connection.write_buffer.sent_bytes:
            unsent.popleft()

    def may_read(self, connection: ServerConnection) -> bool:
        """Whether a response is already being received, or there is memory for the body of one more."""
        if connection.codec.body is not None:
            return True
        return self.memory.unfinished_responses.has_room(connection.address, server_codec.MAX_BODY_BYTES)

    def charge_response(self, connection: ServerConnection) -> None:
        """Charges a connection for the body of its incomplete response."""
        responses = self.memory.unfinished_responses
        responses.release(connection.address, connection.held_bytes)
        body = connection.codec.body
        connection.held_bytes = 0 if body is None else len(body)
        responses.charge(connection.address, connection.held_bytes)

    def receive(self, connection: ServerConnection, data: memoryview) -> None:
        """Passes the responses that these bytes complete to the reducer; reports a partial response."""
        codec = connection.codec
        connection.last_read_ns = self.transport.clock.now()
        responses = codec.receive_data(data)
        self.charge_response(connection)
        connection.read_pacer.record(len(data), len(responses))
        for response in responses:
            self.transport.handle_input(response)
        if codec.error:
            self.connection_failed(connection, f"malformed: {codec.error}")
        elif connection.has_partial_response != codec.has_partial_message():
            connection.has_partial_response = not connection.has_partial_response
            self.transport.handle_input(
                inputs.PartialResponse(connection.number, connection.has_partial_response)
            )

    def connection_failed(
        self, connection: ServerConnection, reason: str, is_unreachable: bool = False
    ) -> None:
        """Closes a connection and reports it to the reducer, with the attempts that cannot have run."""
        if connection.number not in self.open:
            return
        sent_bytes = connection.write_buffer.sent_bytes
        unsent = frozenset(
            attempt_id for end_bytes, attempt_id in connection.unsent_attempts if end_bytes > sent_bytes
        )
        self.close(connection)
        self.transport.handle_input(
            inputs.ServerConnectionLost(
                connection.number, reason or "closed by the server", is_unreachable, unsent
            )
        )

    def close(self, connection: ServerConnection) -> None:
        """Closes and removes a connection; the reducer is not notified."""
        self.memory.unfinished_responses.release(connection.address, connection.held_bytes)
        connection.held_bytes = 0
        self.transport.close(connection)
        self.open.pop(connection.number, None)

    def sweep(self, now: int) -> None:
        """Closes connections that accept no more output or whose response is incomplete and stalled."""
        for connection in list(self.open.values()):
            if (
                connection.write_buffer.stored_bytes()
                and now - connection.last_progress_ns > WRITE_STALL_TIMEOUT_NS
            ):
                self.connection_failed(connection, "accepts no more output")
            elif (
                connection.codec.has_partial_message()
                and not connection.is_read_paused
                and now - connection.last_read_ns > PARTIAL_RESPONSE_TIMEOUT_NS
            ):
                self.connection_failed(connection, "the rest of a response did not arrive in time")
