"""Control address: each connection carries one control request and one response, then it is closed."""

from __future__ import annotations

import os
import socket
from typing import Final

from kelpcroft.core import effects, inputs
from kelpcroft.net import control_codec
from kelpcroft.net.client_acceptor import ClientAcceptor
from kelpcroft.net.listeners import Listener, bind_listener, listening_address
from kelpcroft.net.memory import peak_kb
from kelpcroft.net.transport import (
    MAX_ACCEPTS_PER_TURN,
    OUT_OF_DESCRIPTORS,
    READABLE,
    SECOND,
    Connection,
    ConnectionHandler,
    Transport,
)

CALLER_TIMEOUT_NS: Final = 5 * SECOND  # time for a control client to send its request and read the response


class ControlConnection(Connection):
    """A control client's connection."""

    def __init__(self, handler: ControlEndpoint, number: int, sock: socket.socket, now: int) -> None:
        super().__init__(handler, sock, now)
        self.number = number
        self.codec = control_codec.ControlCodec(handler.serves_state)
        self.is_connected = True
        self.opened_ns = now
        self.is_answered = False  # the request is complete or has its response; later bytes are ignored


class ControlEndpoint(ConnectionHandler[ControlConnection]):
    """The control address and its clients."""

    def __init__(self, transport: Transport, acceptor: ClientAcceptor, max_callers: int) -> None:
        super().__init__(transport)
        self.acceptor = acceptor
        self.max_callers = max_callers
        self.listener = Listener(transport)
        self.callers: dict[int, ControlConnection] = {}
        self.serves_state = False  # GET /control/state is enabled
        self.has_told_identity = False

    def listen(self, sock: socket.socket | None) -> None:
        """Listens on the given socket, or at the control address of the configuration, if any."""
        address = self.transport.config.control_address
        if sock is None and address is not None:
            sock = bind_listener("mgmt", address)
        if sock is None:
            return
        self.listener.open(sock)
        at = listening_address(sock)
        self.transport.log("control.listens", f"control address on {at}", {"at": at})

    def accept(self) -> None:
        """Accepts waiting connections; at their limit a new one replaces the oldest one."""
        for _ in range(MAX_ACCEPTS_PER_TURN):
            try:
                sock = self.listener.accept()
            except BlockingIOError:
                return
            except OSError as error:
                self.listener.log_failed_accept("control accept", error)
                if error.errno in OUT_OF_DESCRIPTORS and not self._free_descriptor():
                    self.listener.set_listening(False)
                    return
                continue
            if len(self.callers) >= self.max_callers:
                self._close_oldest()
            number = self.transport.next_number()
            caller = ControlConnection(self, number, sock, self.transport.clock.now())
            self.callers[number] = caller
            self.transport.set_interest(caller, READABLE)

    def _free_descriptor(self) -> bool:
        """Frees the descriptor of the oldest control connection, else of a client; returns whether it did.

        Control connections are closed after ``CALLER_TIMEOUT_NS`` in any case; the oldest is closed now.
        """
        if self.callers:
            self._close_oldest()
            return True
        return self.acceptor.free_descriptor()

    def _close_oldest(self) -> None:
        self.close(min(self.callers.values(), key=_opened_ns))

    # Effects ----------------------------------------------------------------------------------------------

    def respond(self, effect: effects.ControlResponse) -> None:
        """Sends the response to a control request that the reducer handled."""
        caller = self.callers.get(effect.caller)
        if caller is None:
            return
        fields = effect.fields
        if "instance" in fields:  # the response to GET /control/state
            fields = {**fields, "memory_kb": peak_kb()}
        self._answer(caller, control_codec.reply(effect.ok, fields, caller.codec.head_only))

    def set_state_endpoint(self, effect: effects.SetStateEndpoint) -> None:
        """Enables or disables GET /control/state.

        The identity of this process (its program's digest and its instance name) is determined once, when the
        request is first enabled: nothing is read or imported for it unless an operator's file enables it.
        """
        self.serves_state = effect.is_enabled
        if effect.is_enabled and not self.has_told_identity:
            from pathlib import Path

            from kelpcroft.store.identity import program_digest

            self.has_told_identity = True
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
        elif not connection.is_answered:
            result = connection.codec.receive_data(data)
            if isinstance(result, inputs.ControlVerb):
                connection.is_answered = True
                self.transport.handle_input(inputs.ControlRequest(connection.number, result))
            elif result is not None:
                self._answer(connection, result)

    def _answer(self, caller: ControlConnection, answer: bytes) -> None:
        """Queues the only response of a connection, which is shut down after the response is written."""
        caller.is_answered = True
        self.transport.queue_write(caller, (answer,))

    def all_written(self, connection: ControlConnection) -> None:
        """Shuts down our side; the connection is closed once the client closes it or its time is over."""
        try:
            connection.sock.shutdown(socket.SHUT_WR)
        except OSError:
            self.close(connection)

    def connection_failed(
        self, connection: ControlConnection, reason: str, is_unreachable: bool = False
    ) -> None:
        """Does nothing: ``sweep`` closes the connection after ``CALLER_TIMEOUT_NS``."""

    def close(self, connection: ControlConnection) -> None:
        """Closes a connection."""
        self.transport.close(connection)
        self.callers.pop(connection.number, None)

    def sweep(self, now: int) -> None:
        """Closes connections that have been open for longer than ``CALLER_TIMEOUT_NS``."""
        for caller in [c for c in self.callers.values() if now - c.opened_ns > CALLER_TIMEOUT_NS]:
            self.close(caller)


def _opened_ns(caller: ControlConnection) -> int:
    return caller.opened_ns
