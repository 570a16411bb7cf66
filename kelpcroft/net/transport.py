"""What all kinds of connection share: the selector, buffers, pending writes and the way to the reducer.

Three classes.  A ``Connection`` is one socket with what waits to be written on it.  A ``ConnectionHandler``
owns all connections of one kind and says what their events mean (one module a kind: ``client_connections``,
``server_connections``, ``feed_client``, ``control_endpoint``).  The ``Transport`` is the part of the event
loop that handlers see.
"""

from __future__ import annotations

import errno
import selectors
import socket
from collections.abc import Callable
from typing import Any, Final, Generic, TypeVar

from kelpcroft.config import Config
from kelpcroft.core import effects, inputs, messages
from kelpcroft.core.reducer import Reducer
from kelpcroft.log import EventLog
from kelpcroft.net.buffers import BUFFER_BYTES, BufferPool, WriteBuffer
from kelpcroft.net.clock import Clock
from kelpcroft.net.errors import ProtocolError

SECOND: Final = 1_000_000_000
MAX_READS_PER_TURN: Final = 2  # buffers read from one connection before the others have their turn
MAX_ACCEPTS_PER_TURN: Final = 64  # connections accepted before the others have their turn
POOL_MEMORY_SHARE: Final = 3  # pooled buffers may take one part in so many of the memory
# Errors of a socket call when nothing is left to make a socket of.
OUT_OF_DESCRIPTORS: Final = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)
# Errors of a connect that say that nobody is there.
UNREACHABLE: Final = (errno.ECONNREFUSED, errno.EHOSTUNREACH, errno.ENETUNREACH, errno.ETIMEDOUT)

NO_EVENTS: Final = 0
READABLE: Final = selectors.EVENT_READ
WRITABLE: Final = selectors.EVENT_WRITE

C = TypeVar("C", bound="Connection")


class Connection:
    """A connection of any kind: its socket and what waits to be written on it."""

    def __init__(self, handler: ConnectionHandler[Any], sock: socket.socket, now: int) -> None:
        self.handler = handler
        self.sock = sock
        self.write_buffer = WriteBuffer(handler.transport.pool)
        self.is_connected = False
        self.interest = NO_EVENTS  # what the selector is asked to report
        self.unread_since_ns = 0  # its unread input came no later than this; 0 = there is none
        self.last_progress_ns = now  # when something was last written, or nothing waited

    def is_open(self) -> bool:
        """Whether the socket is not closed yet: what came before in the same turn may have closed it."""
        return self.sock.fileno() >= 0


class ConnectionHandler(Generic[C]):
    """Owns all connections of one kind; subclasses say what an event on one of them means."""

    def __init__(self, transport: Transport) -> None:
        self.transport = transport

    def read(self, connection: C) -> None:
        """Reads a few buffers from one connection.

        All connections share one read buffer: codecs copy what they keep, so it is free again when this
        returns, and clients that do not read, whose responses hold the pool, cannot keep anyone from being
        read.
        """
        buffer = self.transport.read_buffer
        try:
            for _ in range(MAX_READS_PER_TURN):
                count = connection.sock.recv_into(buffer)
                if not count:
                    self.connection_failed(connection, "")
                    return
                self.receive(connection, memoryview(buffer)[:count])
                if (count < BUFFER_BYTES and not self.reads_until_empty()) or not connection.is_open():
                    return
        except BlockingIOError:
            pass
        except ProtocolError as error:
            self.malformed_input(connection, f"malformed: {error}")
        except OSError as error:
            self.connection_failed(connection, error.strerror or str(error))

    def reads_until_empty(self) -> bool:
        """Whether a socket is read on even where the last read did not fill the buffer."""
        return False

    def receive(self, connection: C, data: memoryview) -> None:
        """Passes bytes to the codec, and what it makes of them to the reducer.

        Raises:
            ProtocolError: the bytes are no message of the protocol.
        """
        raise NotImplementedError

    def malformed_input(self, connection: C, reason: str) -> None:
        """Gives a connection up on which no further message can be found."""
        self.connection_failed(connection, reason)

    def connected(self, connection: C) -> None:
        """A connection that was being opened stands."""

    def before_write(self, connection: C) -> None:
        """What is queued is about to be written; the connection may be closed or not stand yet."""

    def bytes_written(self, connection: C) -> None:
        """A write has not failed; the system has taken some bytes, or none."""

    def all_written(self, connection: C) -> None:
        """A write has left nothing that waits, also where nothing was queued."""

    def interest_of(self, connection: C) -> int:
        """What the selector is to report of a connection: input, and room where something waits."""
        return READABLE | WRITABLE if connection.write_buffer.stored_bytes() else READABLE

    def connection_failed(self, connection: C, reason: str, is_unreachable: bool = False) -> None:
        """Closes a connection that has ended or failed, and reports it to the reducer.

        Called again for one that is closed already, it does nothing.

        Args:
            connection: the one that has ended.
            reason: for the log; empty where the peer has closed it.
            is_unreachable: it could not be opened as nobody is there.
        """
        raise NotImplementedError

    def close(self, connection: C) -> None:
        """Closes a connection and forgets it; the reducer is not informed."""
        raise NotImplementedError


class Transport:
    """The part of the event loop that connection handlers see.

    Inputs go to the reducer by ``handle_input``; what it asks for is carried out at once by the handler that
    ``effect_handlers`` names for the effect's type.  Bytes that handlers queue are written when the loop
    flushes.
    """

    def __init__(self, config: Config, clock: Clock, event_log: EventLog) -> None:
        self.config = config
        self.clock = clock
        self.event_log = event_log
        self.reducer = Reducer(config)
        self.selector = selectors.DefaultSelector()
        # Of bytes that are not written yet.
        self.pool = BufferPool(config.memory_mb * 1024 * 1024 // POOL_MEMORY_SHARE // BUFFER_BYTES)
        self.read_buffer = bytearray(BUFFER_BYTES)  # of what is read, one connection at a time
        self.effect_handlers: dict[type, Callable[[Any], None]] = {}  # by the exact type of the effect
        self.pending_writes: dict[Connection, None] = {}  # connections with something queued
        self.failed_writes: list[tuple[Connection, str]] = []  # and why
        # Connections that could not even be begun.
        self.failed_opens: list[inputs.ServerConnectionLost | inputs.WatchFailed] = []
        self.last_number = 0  # given to a connection or a timer

    # The reducer ------------------------------------------------------------------------------------------

    def handle_input(self, message: inputs.Input) -> None:
        """Tells the reducer one input, and carries out what it asks for."""
        self.perform_effects(self.reducer.handle(self.clock.now(), message))

    def perform_effects(self, requested: list[effects.Effect]) -> None:
        """Carries out what the reducer asked for, in its order."""
        handlers = self.effect_handlers
        for effect in requested:
            handlers[type(effect)](effect)

    def next_number(self) -> int:
        """A number that no connection and no timer has had."""
        self.last_number += 1
        return self.last_number

    def write_log_event(self, effect: effects.LogEvent) -> None:
        """Writes an event of the reducer to the log."""
        self.event_log.write(self.clock.now(), effect)

    def log(self, event: str, text: str, fields: dict[str, object], level: str = "info") -> None:
        """Writes an event of the transport's own to the log."""
        self.event_log.write(self.clock.now(), effects.LogEvent(event, text, level, fields))

    # Sockets ----------------------------------------------------------------------------------------------

    def set_interest(self, connection: Connection, events: int) -> None:
        """Sets what the selector is to report of a connection."""
        if events == connection.interest:
            return
        if not connection.interest:
            self.selector.register(connection.sock, events, connection)
        elif events:
            self.selector.modify(connection.sock, events, connection)
        else:
            self.selector.unregister(connection.sock)
        connection.interest = events

    def close(self, connection: Connection) -> None:
        """Closes a connection's socket and gives its buffers back; its handler forgets it."""
        if connection.interest:
            self.set_interest(connection, NO_EVENTS)
        connection.write_buffer.clear()
        self.pending_writes.pop(connection, None)
        connection.sock.close()

    def queue_write(
        self, connection: Connection, pieces: list[messages.Body] | tuple[messages.Body, ...]
    ) -> None:
        """Queues bytes for the end of this turn."""
        connection.write_buffer.add(pieces)
        self.pending_writes[connection] = None

    def writable(self, connection: Connection) -> None:
        """The selector says that a connection has room, or that the opening of one is decided."""
        if not connection.is_connected:
            code = connection.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
            if code:
                reason = errno.errorcode.get(code, str(code))
                connection.handler.connection_failed(connection, reason, code in UNREACHABLE)
                return
            connection.is_connected = True
            connection.handler.connected(connection)
        self.write(connection)

    def write(self, connection: Connection) -> None:
        """Writes what the socket takes; a failure is reported by ``report_failed_writes``."""
        stored_before = connection.write_buffer.stored_bytes()
        try:
            is_stored = connection.write_buffer.write(connection.sock)
        except OSError as error:
            self.failed_writes.append((connection, f"write: {error.strerror}"))
            return
        stored = connection.write_buffer.stored_bytes()
        if not stored or stored < stored_before:
            connection.last_progress_ns = self.clock.now()
        connection.handler.bytes_written(connection)
        if not is_stored:
            self.failed_writes.append((connection, "no buffers left for what it does not read"))
            return
        self.set_interest(connection, connection.handler.interest_of(connection))
        if not stored:
            connection.handler.all_written(connection)

    # Parts of a flush -------------------------------------------------------------------------------------

    def has_pending_work(self) -> bool:
        """Whether something is to be written, or a failure is to be reported."""
        return bool(self.pending_writes or self.failed_writes or self.failed_opens)

    def write_pending(self) -> None:
        """Writes what is queued."""
        pending = self.pending_writes
        self.pending_writes = {}
        for connection in pending:
            connection.handler.before_write(connection)
            if connection.is_connected and connection.is_open():
                self.write(connection)

    def report_failed_writes(self) -> None:
        """Gives up the connections whose writes have failed."""
        failed = self.failed_writes
        self.failed_writes = []
        for connection, reason in failed:
            connection.handler.connection_failed(connection, reason)

    def report_failed_opens(self) -> None:
        """Tells the reducer of connections that could not be begun."""
        failed = self.failed_opens
        self.failed_opens = []
        for message in failed:
            self.handle_input(message)
