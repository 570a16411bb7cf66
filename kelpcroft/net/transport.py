"""Shared code of all kinds of connection: selector, buffers, pending writes, and access to the reducer.

There are three classes.  A ``Connection`` is one socket with its unsent output.  A ``ConnectionHandler`` owns
all connections of one kind and handles their events (one module per kind: ``client_connections``,
``server_connections``, ``feed_client``, ``control_endpoint``).  The ``Transport`` is the interface of the
event loop to the handlers.
"""

from __future__ import annotations

import errno
import selectors
import socket
from collections.abc import Callable
from typing import Any, Final, Generic, TypeVar

from kelpcroft.config import Config
from kelpcroft.core import effects, inputs, messages
from kelpcroft.core.memory_limit import initial_budget
from kelpcroft.core.reducer import Reducer
from kelpcroft.log import EventLog
from kelpcroft.net.buffers import BUFFER_BYTES, STORED_BUFFER_BYTES, BufferPool, WriteBuffer
from kelpcroft.net.clock import Clock
from kelpcroft.net.errors import ProtocolError
from kelpcroft.net.fair_turns import ReadPacer

SECOND: Final = 1_000_000_000
MAX_READS_PER_ITERATION: Final = 2  # buffers read from one connection before other connections are handled
MAX_ACCEPTS_PER_ITERATION: Final = 64  # connections accepted in a row before other connections are handled
MAX_QUEUED_BYTES: Final = 512 * 1024  # queued output that is written before more input is handled
RESUME_INTERVAL_NS: Final = SECOND // 100  # between two tries to read the connections that are not read
# Errors of a socket call for lack of descriptors or kernel memory.
OUT_OF_DESCRIPTORS_ERRORS: Final = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)
# Errors of a connect that show that nothing accepts connections at the address.
UNREACHABLE_ERRORS: Final = (errno.ECONNREFUSED, errno.EHOSTUNREACH, errno.ENETUNREACH, errno.ETIMEDOUT)

NO_EVENTS: Final = 0
READABLE: Final = selectors.EVENT_READ
WRITABLE: Final = selectors.EVENT_WRITE

C = TypeVar("C", bound="Connection")


class Connection:
    """A connection of any kind: its socket and its unsent output."""

    def __init__(self, handler: ConnectionHandler[Any], sock: socket.socket, now: int) -> None:
        self.handler = handler
        self.sock = sock
        self.write_buffer = WriteBuffer(handler.transport.pool)
        self.is_connected = False
        self.interest = NO_EVENTS  # events registered at the selector
        self.is_read_paused = False  # not read until there is memory for its input
        self.read_pacer = ReadPacer()
        self.last_turn = handler.transport.next_turn()  # number of its last turn, or of its opening
        self.unread_since_ns = 0  # its unread input arrived after this; 0 = no input is known to wait
        self.last_progress_ns = now  # when stored output last shrank or was found empty

    def is_open(self) -> bool:
        """Whether the socket is open; an earlier event of the same iteration may have closed it."""
        return self.sock.fileno() >= 0


class ConnectionHandler(Generic[C]):
    """Owner of all connections of one kind; subclasses handle the events of these connections."""

    def __init__(self, transport: Transport) -> None:
        self.transport = transport

    def read(self, connection: C) -> None:
        """Reads a few buffers from one connection.

        All connections share one read buffer.  Codecs copy the bytes that they keep, so the buffer is free
        again when this method returns.  Clients that do not read fill the pool with their responses, but
        reading needs no pooled buffer, so every other connection can still be read.
        """
        buffer = self.transport.read_buffer
        try:
            for _ in range(MAX_READS_PER_ITERATION):
                if not self.may_read(connection):
                    self.transport.pause_reading(connection)
                    return
                max_bytes = self.max_read_bytes(connection)
                count = connection.sock.recv_into(buffer, max_bytes)
                if not count:
                    self.connection_failed(connection, "")
                    return
                self.receive(connection, memoryview(buffer)[:count])
                if connection.read_pacer.is_turn_over or not connection.is_open():
                    return
                if count < max_bytes and not self.reads_until_empty():
                    return
        except BlockingIOError:
            pass
        except ProtocolError as error:
            self.malformed_input(connection, f"malformed: {error}")
        except OSError as error:
            self.connection_failed(connection, error.strerror or str(error))

    def may_read(self, connection: C) -> bool:  # noqa: ARG002
        """Whether there is memory for what a read may add; it is asked again before reading resumes."""
        return True

    def max_read_bytes(self, connection: C) -> int:
        """Returns how many bytes may be read at once."""
        return connection.read_pacer.max_bytes

    def resumed(self, connection: C) -> None:
        """Called when a connection is read again after a pause for lack of memory."""

    def reads_until_empty(self) -> bool:
        """Whether reading continues after a read that did not fill the buffer."""
        return False

    def receive(self, connection: C, data: memoryview) -> None:
        """Passes bytes to the codec, and the decoded messages to the reducer.

        Raises:
            ProtocolError: The bytes are not a valid message of the protocol.
        """
        raise NotImplementedError

    def malformed_input(self, connection: C, reason: str) -> None:
        """Handles malformed input, after which the connection's next message cannot be located."""
        self.connection_failed(connection, reason)

    def connected(self, connection: C) -> None:
        """Called when a connection is established."""

    def before_write(self, connection: C) -> None:
        """Called before queued output is written; the connection may be closed or not established yet."""

    def bytes_written(self, connection: C) -> None:
        """Called after a write that did not fail; the kernel may have accepted no bytes."""

    def all_written(self, connection: C) -> None:
        """Called after a write that leaves no stored output, even if nothing was queued."""

    def interest_of(self, connection: C) -> int:
        """Returns the events to watch on a connection: input, and writability if output is stored."""
        return READABLE | WRITABLE if connection.write_buffer.stored_bytes() else READABLE

    def connection_failed(self, connection: C, reason: str, is_unreachable: bool = False) -> None:
        """Closes a connection that has ended or failed, and reports it to the reducer.

        A second call for the same connection has no effect.

        Args:
            connection: The connection that has ended.
            reason: Text for the log; empty if the peer has closed the connection.
            is_unreachable: The connection was not established, as nothing accepts connections there.
        """
        raise NotImplementedError

    def close(self, connection: C) -> None:
        """Closes and removes a connection; the reducer is not notified."""
        raise NotImplementedError


class Transport:
    """The interface of the event loop to the connection handlers.

    ``handle_input`` passes an input to the reducer; the effects that it returns are carried out immediately,
    each by the handler that ``effect_handlers`` names for its type.  Output that handlers queue is written
    when the loop flushes.
    """

    def __init__(self, config: Config, clock: Clock, event_log: EventLog) -> None:
        self.config = config
        self.clock = clock
        self.event_log = event_log
        self.reducer = Reducer(config)
        self.selector = selectors.DefaultSelector()
        # Buffers of output that is not sent yet.
        self.pool = BufferPool(initial_budget(config).unsent_output // STORED_BUFFER_BYTES)
        self.read_buffer = bytearray(BUFFER_BYTES)  # holds the input of one connection at a time
        self.effect_handlers: dict[type, Callable[[Any], None]] = {}  # by the exact type of the effect
        self.pending_writes: dict[Connection, None] = {}  # connections with queued output
        self.queued_bytes = 0  # total of the queued output since the last flush
        self.writing: Connection | None = None  # the connection that is being written to
        self.paused: dict[Connection, None] = {}  # connections that are not read for lack of memory
        self.last_resume_ns = 0  # when it was last tried to read them again
        self.failed_writes: list[tuple[Connection, str]] = []  # connections, each with the reason
        # Connections for which no connect could be started.
        self.failed_opens: list[inputs.ServerConnectionLost | inputs.WatchFailed] = []
        self.last_number = 0  # last number of a connection or a timer
        self.last_turn = 0  # last number of a connection's turn

    # The reducer ------------------------------------------------------------------------------------------

    def handle_input(self, message: inputs.Input) -> None:
        """Passes an input to the reducer and carries out the resulting effects."""
        self.perform_effects(self.reducer.handle(self.clock.now(), message))

    def perform_effects(self, requested_effects: list[effects.Effect]) -> None:
        """Carries out the reducer's effects in their order."""
        handlers = self.effect_handlers
        for effect in requested_effects:
            handlers[type(effect)](effect)

    def next_number(self) -> int:
        """Returns a number that no connection or timer has had before."""
        self.last_number += 1
        return self.last_number

    def next_turn(self) -> int:
        """Returns the number of the next turn of a connection; later turns have higher numbers."""
        self.last_turn += 1
        return self.last_turn

    def write_log_event(self, effect: effects.LogEvent) -> None:
        """Writes a log event of the reducer."""
        self.event_log.write(self.clock.now(), effect)

    def log(self, event: str, text: str, fields: dict[str, object], level: str = "info") -> None:
        """Writes a log event of the net package."""
        self.event_log.write(self.clock.now(), effects.LogEvent(event, text, level, fields))

    # Sockets ----------------------------------------------------------------------------------------------

    def set_interest(self, connection: Connection, events: int) -> None:
        """Sets the events that the selector reports for a connection."""
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
        """Closes a connection's socket and releases its buffers; its handler removes the connection."""
        if connection.interest:
            self.set_interest(connection, NO_EVENTS)
        connection.write_buffer.clear()
        self.pending_writes.pop(connection, None)
        self.paused.pop(connection, None)
        connection.sock.close()

    def queue_write(
        self, connection: Connection, chunks: list[messages.Body] | tuple[messages.Body, ...]
    ) -> None:
        """Queues bytes to be written at the next flush."""
        connection.write_buffer.add(chunks)
        self.queued_bytes += sum(map(len, chunks))
        self.pending_writes[connection] = None

    def pause_reading(self, connection: Connection) -> None:
        """Leaves a connection's input in the kernel until there is memory for it."""
        connection.is_read_paused = True
        self.paused[connection] = None
        self.reducer.state.memory.turned_away["connections not read"] += 1
        self.set_interest(connection, connection.interest & ~READABLE)

    def resume_reading(self, now: int) -> None:
        """Reads paused connections again, those first that have waited longest, as far as there is memory."""
        if now - self.last_resume_ns < RESUME_INTERVAL_NS:
            return
        self.last_resume_ns = now
        for connection in list(self.paused):
            if connection.handler.may_read(connection):
                connection.is_read_paused = False
                del self.paused[connection]
                connection.handler.resumed(connection)
                self.set_interest(connection, connection.handler.interest_of(connection))

    def handle_writable(self, connection: Connection) -> None:
        """Handles a connection reported as writable: a connect has finished, or there is room for output."""
        if not connection.is_connected:
            error_number = connection.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
            if error_number:
                reason = errno.errorcode.get(error_number, str(error_number))
                connection.handler.connection_failed(connection, reason, error_number in UNREACHABLE_ERRORS)
                return
            connection.is_connected = True
            connection.handler.connected(connection)
        self.write(connection)

    def write(self, connection: Connection) -> None:
        """Writes as much as the socket accepts; ``report_failed_writes`` reports a failure."""
        stored_before = connection.write_buffer.stored_bytes()
        self.writing = connection
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
            self.failed_writes.append((connection, "no pooled buffer left for unsent output"))
            return
        interest = connection.handler.interest_of(connection)
        self.set_interest(connection, interest & ~READABLE if connection.is_read_paused else interest)
        if not stored:
            connection.handler.all_written(connection)

    # Steps of a flush -------------------------------------------------------------------------------------

    def has_pending_work(self) -> bool:
        """Whether there is output to write or a failure to report."""
        return bool(self.pending_writes or self.failed_writes or self.failed_opens)

    def write_pending(self) -> None:
        """Writes queued output."""
        pending = self.pending_writes
        self.pending_writes = {}
        self.queued_bytes = 0
        for connection in pending:
            connection.handler.before_write(connection)
            if connection.is_connected and connection.is_open():
                self.write(connection)

    def report_failed_writes(self) -> None:
        """Closes the connections whose writes have failed."""
        failed = self.failed_writes
        self.failed_writes = []
        for connection, reason in failed:
            connection.handler.connection_failed(connection, reason)

    def report_failed_opens(self) -> None:
        """Reports connections for which no connect could be started to the reducer."""
        failed = self.failed_opens
        self.failed_opens = []
        for message in failed:
            self.handle_input(message)
