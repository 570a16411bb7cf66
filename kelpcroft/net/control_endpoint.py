"""Control address: each connection carries one control request and one response, then it is closed."""

from __future__ import annotations

import os
import socket
from collections.abc import Callable
from typing import Final

from kelpcroft.core import effects, inputs
from kelpcroft.net import control_codec
from kelpcroft.net.client_acceptor import ClientAcceptor
from kelpcroft.net.listeners import Listener, bind_listener, listening_address
from kelpcroft.net.memory import peak_kb
from kelpcroft.net.transport import (
    MAX_ACCEPTS_PER_ITERATION,
    OUT_OF_DESCRIPTORS_ERRORS,
    READABLE,
    SECOND,
    Connection,
    ConnectionHandler,
    Transport,
)

# Time for a control client to send its request and read the response.
CONTROL_CLIENT_TIMEOUT_NS: Final = 5 * SECOND


class ControlConnection(Connection):
    """A control client's connection."""

    def __init__(self, handler: ControlEndpoint, number: int, sock: socket.socket, now: int) -> None:
        super().__init__(handler, sock, now)
        self.number = number
        self.codec = control_codec.ControlCodec(handler.serves_state)
        self.is_connected = True
        self.opened_ns = now
        self.ignores_input = False  # the request is complete or has its response; later bytes are ignored


class ControlEndpoint(ConnectionHandler[ControlConnection]):
    """The control address and its clients."""

    def __init__(
        self,
        transport: Transport,
        acceptor: ClientAcceptor,
        max_connections: int,
        memory_state: Callable[[], dict[str, object]],
    ) -> None:
        """``memory_state`` returns what the state on the control address says about memory."""
        super().__init__(transport)
        self.memory_state = memory_state
        self.acceptor = acceptor
        self.max_connections = max_connections
        self.listener = Listener(transport)
        self.connections: dict[int, ControlConnection] = {}
        self.serves_state = False  # GET /control/state is enabled
        self.has_sent_identity = False

    def listen(self, sock: socket.socket | None) -> None:
        """Listens on the given socket, or at the control address of the configuration, if any."""
        address = self.transport.config.control_address
        if sock is None and address is not None:
            sock = bind_listener("mgmt", address)
        if sock is None:
            return
        self.listener.open(sock)
        bound_address = listening_address(sock)
        self.transport.log("control.listens", f"control address on {bound_address}", {"at": bound_address})

    def accept(self) -> None:
        """Accepts waiting connections; at their limit a new one replaces the oldest one."""
        for _ in range(MAX_ACCEPTS_PER_ITERATION):
            try:
                sock = self.listener.accept()
            except BlockingIOError:
                return
            except OSError as error:
                self.listener.log_failed_accept("control accept", error)
                if error.errno in OUT_OF_DESCRIPTORS_ERRORS and not self._free_descriptor():
                    self.listener.set_registered(False)
                    return
                continue
            if len(self.connections) >= self.max_connections:
                self._close_oldest()
            number = self.transport.next_number()
            connection = ControlConnection(self, number, sock, self.transport.clock.now())
            self.connections[number] = connection
            self.transport.set_interest(connection, READABLE)

    def _free_descriptor(self) -> bool:
        """Frees the descriptor of the oldest control connection, else of a client; returns whether it did.

        ``sweep`` would close the oldest connection after ``CONTROL_CLIENT_TIMEOUT_NS`` in any case.
        """
        if self.connections:
            self._close_oldest()
            return True
        return self.acceptor.free_descriptor()

    def _close_oldest(self) -> None:
        self.close(min(self.connections.values(), key=_opened_ns))

    # Effects ----------------------------------------------------------------------------------------------

    def respond(self, effect: effects.ControlResponse) -> None:
        """Sends the response to a control request that the reducer handled."""
        connection = self.connections.get(effect.control_client)
        if connection is None:
            return
        fields = effect.fields
        if "instance" in fields:  # the response to GET /control/state
            fields = {**fields, "memory_kb": peak_kb(), "memory": self.memory_state()}
        self._send_response(
            connection, control_codec.encode_control_response(effect.ok, fields, connection.codec.omits_body)
        )

    def set_state_endpoint(self, effect: effects.SetStateEndpoint) -> None:
        """Enables or disables GET /control/state.

        The identity of this process (its program's digest and its instance name) is determined once, when the
        request is first enabled: nothing is read or imported for it unless an operator's file enables it.
        """
        self.serves_state = effect.is_enabled
        if effect.is_enabled and not self.has_sent_identity:
            from pathlib import Path

            from kelpcroft.store.identity import program_digest

            self.has_sent_identity = True
            instance = f"{os.getpid()}-{self.transport.clock.now():x}"
            package = Path(__file__).parent.parent
            self.transport.handle_input(inputs.ProcessIdentity(program_digest(package), instance))

    # Events of a connection -------------------------------------------------------------------------------

    def read(self, connection: ControlConnection) -> None:
        """Passes a complete control request to the reducer; queues an error response to any other bytes."""
        try:
            data = connection.sock.recv(control_codec.READ_BYTES)
        except BlockingIOError:
            return
        except OSError:
            self.close(connection)
            return
        if not data:
            self.close(connection)
        elif not connection.ignores_input:
            result = connection.codec.receive_data(data)
            if isinstance(result, inputs.ControlOperation):
                connection.ignores_input = True
                self.transport.handle_input(inputs.ControlRequest(connection.number, result))
            elif result is not None:
                self._send_response(connection, result)

    def _send_response(self, connection: ControlConnection, response: bytes) -> None:
        """Queues the only response of a connection, which is shut down after the response is written."""
        connection.ignores_input = True
        self.transport.queue_write(connection, (response,))

    def all_written(self, connection: ControlConnection) -> None:
        """Shuts down the output side; the connection is closed once the client closes it, or by ``sweep``."""
        try:
            connection.sock.shutdown(socket.SHUT_WR)
        except OSError:
            self.close(connection)

    def connection_failed(
        self, connection: ControlConnection, reason: str, is_unreachable: bool = False
    ) -> None:
        """Does nothing: ``sweep`` closes the connection after ``CONTROL_CLIENT_TIMEOUT_NS``."""

    def close(self, connection: ControlConnection) -> None:
        """Closes a connection."""
        self.transport.close(connection)
        self.connections.pop(connection.number, None)

    def sweep(self, now: int) -> None:
        """Closes connections that have been open for longer than ``CONTROL_CLIENT_TIMEOUT_NS``."""
        for connection in [
            other for other in self.connections.values() if now - other.opened_ns > CONTROL_CLIENT_TIMEOUT_NS
        ]:
            self.close(connection)


def _opened_ns(connection: ControlConnection) -> int:
    return connection.opened_ns
