"""Memory that clients make the process hold: who is not read, and who is closed, when it runs short.

Bytes that wait in the kernel cost the process nothing, so a client is first left unread: without a
reservation, a client may have a small incomplete message only, and is read again when the rest of its message
waits in the kernel.  A client that holds a reservation and stops within its message is closed if others wait
for one, and of the clients that do not read their responses the one that has stopped longest.  Requests that
have been read are never dropped for memory: the reducer rejects those for which there is no room.
"""

from __future__ import annotations

import contextlib
import socket
from typing import TYPE_CHECKING, Final

from kelpcroft.core.client_requests import memory_of
from kelpcroft.core.inputs import ClientRequest, HealthRequest
from kelpcroft.core.memory_budget import FURTHER_DIVISOR, MemoryAccount
from kelpcroft.net.buffers import BUFFER_BYTES, STORED_BUFFER_BYTES
from kelpcroft.net.client_codec import MAX_MESSAGE_BYTES
from kelpcroft.net.read_estimate import unread_bytes
from kelpcroft.net.transport import SECOND, Transport

if TYPE_CHECKING:
    from kelpcroft.net.client_connections import ClientConnection, ClientConnections

# Size of an incomplete message that needs no reservation.
SMALL_MESSAGE_BYTES: Final = 2 * 1024
# A client with a reservation may be closed for others that wait if it has sent nothing for this long.
STALLED_MESSAGE_NS: Final = SECOND
# A client that is not read is closed if nothing more of its message has arrived for this long.
STOPPED_MESSAGE_NS: Final = 2 * SECOND
# A client may be closed for others' output if it has accepted none for this long.
STALLED_OUTPUT_NS: Final = SECOND // 4
# On loopback a segment has up to 64 KB, and a receive window of less than two segments may stay closed.
RECEIVE_BUFFER_BYTES: Final = 256 * 1024
HEALTH_REQUEST_BYTES: Final = 512  # memory of a pending health request
# States of a TCP connection whose peer has closed it, in ``struct tcp_info`` (tcp(7)).
TCP_CLOSED_STATES: Final = (7, 8)  # TCP_CLOSE, TCP_CLOSE_WAIT


class ClientMemory:
    """Decides which clients are read and which are closed, by what the memory account has left."""

    def __init__(self, clients: ClientConnections, transport: Transport) -> None:
        self.clients = clients
        self.transport = transport
        self.account: MemoryAccount = transport.reducer.state.memory

    # Reading ----------------------------------------------------------------------------------------------

    def may_read(self, client: ClientConnection) -> bool:
        """Whether a client may be read now; takes a reservation for its message if there is room."""
        if self._reserve(client) or len(client.codec.partial) < SMALL_MESSAGE_BYTES:
            return True
        missing_bytes = client.codec.missing_bytes()
        return 0 < missing_bytes <= unread_bytes(client.sock)

    def max_read_bytes(self, client: ClientConnection) -> int:
        """Returns how many bytes may be read at once."""
        max_bytes = client.read_pacer.max_bytes
        if client.has_reservation:
            return max_bytes
        if len(client.codec.partial) < SMALL_MESSAGE_BYTES:
            return min(max_bytes, SMALL_MESSAGE_BYTES - len(client.codec.partial))
        return min(BUFFER_BYTES, client.codec.missing_bytes())

    def may_read_early(self, client: ClientConnection) -> bool:
        """Whether a client may be read before its turn: its requests then stay pending."""
        return self.account.open_requests.has_room(client.number, MAX_MESSAGE_BYTES)

    def after_read(self, client: ClientConnection) -> None:
        """Returns the reservation of a client whose incomplete message is small, also if nothing was read."""
        if len(client.codec.partial) < SMALL_MESSAGE_BYTES:
            self.return_reservation(client)

    def resumed(self, client: ClientConnection) -> None:
        """Called when a client is read again: the time in which it was not read does not count as its own."""
        if client.codec.has_partial_message():
            client.partial_since_ns = self.transport.clock.now()
            client.last_arrival_ns = client.partial_since_ns

    def _reserve(self, client: ClientConnection) -> bool:
        messages = self.account.unfinished_messages
        if not client.has_reservation and messages.fits(MAX_MESSAGE_BYTES):
            client.has_reservation = True
            messages.charge(client.number, MAX_MESSAGE_BYTES)
        return client.has_reservation

    def return_reservation(self, client: ClientConnection) -> None:
        """Returns a client's reservation, if it has one."""
        if client.has_reservation:
            client.has_reservation = False
            self.account.unfinished_messages.release(client.number, MAX_MESSAGE_BYTES)

    # Pending messages -------------------------------------------------------------------------------------

    def charge_pending(self, client: ClientConnection, message: ClientRequest | HealthRequest) -> None:
        """Charges a message that waits for the reducer."""
        byte_count = _pending_bytes(message)
        client.pending_bytes += byte_count
        self.account.open_requests.charge(client.number, byte_count)

    def release_pending(self, client: ClientConnection, message: ClientRequest | HealthRequest) -> None:
        """Releases a message that no longer waits for the reducer."""
        byte_count = _pending_bytes(message)
        client.pending_bytes -= byte_count
        self.account.open_requests.release(client.number, byte_count)

    def release_cancelled(self, client: ClientConnection) -> None:
        """Releases the messages that were cancelled while they waited."""
        pending_bytes = sum(_pending_bytes(message) for _, message in client.pending_messages)
        self.account.open_requests.release(client.number, client.pending_bytes - pending_bytes)
        client.pending_bytes = pending_bytes

    def release_all(self, client: ClientConnection) -> None:
        """Releases all that a client holds whose input is no longer used."""
        self.account.open_requests.release(client.number, client.pending_bytes)
        client.pending_bytes = 0
        self.return_reservation(client)
        client.codec.discard_partial_message()

    # Output -----------------------------------------------------------------------------------------------

    def has_room_for_response(self, client: ClientConnection, byte_count: int) -> bool:
        """Whether a response may be queued; for a client that has read those before it always may."""
        stored_bytes = client.write_buffer.stored_bytes()
        free_bytes, used_bytes = self.transport.pool.free_bytes(), self.transport.pool.used_bytes()
        if not stored_bytes or byte_count <= STORED_BUFFER_BYTES or used_bytes + byte_count <= free_bytes:
            return True
        if stored_bytes + byte_count <= free_bytes // FURTHER_DIVISOR:
            return True
        self.account.turned_away["responses replaced by a failure"] += 1
        return False

    def reclaim_output(self) -> bool:
        """Drops the output of the client that has accepted none for longest; returns whether there was one.

        Its connection fails at the end of the flush; until then nothing is written to it.
        """
        now = self.transport.clock.now()
        stalled = [
            client
            for client in (*self.clients.open.values(), *self.clients.lingering.clients.values())
            if client.write_buffer.stored_bytes()
            and now - client.last_progress_ns >= STALLED_OUTPUT_NS
            and client is not self.transport.writing
        ]
        if not stalled:
            return False
        client = min(stalled, key=_last_progress_ns)
        client.write_buffer.clear()
        client.is_connected = False
        self.transport.failed_writes.append((client, "accepts no output while memory is short"))
        self.account.turned_away["clients closed that do not read"] += 1
        return True

    # Sweep ------------------------------------------------------------------------------------------------

    def sweep(self, now: int) -> None:
        """Closes clients that have left while unread, and those that have stopped within a message."""
        unread = [client for client in self.clients.open.values() if client.is_read_paused]
        for client in unread:
            if _has_peer_closed(client.sock):
                self.clients.connection_failed(client, "")
            elif self._has_stopped_unread(client, now):
                self._close_stopped(client)
        if not unread:
            return
        for client in list(self.clients.open.values()):
            is_stalled = client.has_reservation and now - client.last_arrival_ns >= STALLED_MESSAGE_NS
            if is_stalled and not client.has_unread_input():
                self._close_stopped(client)

    def _has_stopped_unread(self, client: ClientConnection, now: int) -> bool:
        """Whether nothing has arrived for long in the socket of a client that is not read."""
        waiting_bytes = unread_bytes(client.sock)
        if waiting_bytes != client.waiting_bytes:
            client.waiting_bytes = waiting_bytes
            client.last_arrival_ns = now
        return now - client.last_arrival_ns >= STOPPED_MESSAGE_NS

    def _close_stopped(self, client: ClientConnection) -> None:
        """Closes a client that has stopped within a message, unless a response to it is due."""
        if self.clients.is_idle(client):
            self.account.turned_away["clients closed within a message"] += 1
            self.clients.close_gracefully(client, "stopped within a message while memory is short")


def enlarge_receive_buffer(sock: socket.socket) -> None:
    """Lets the kernel hold complete messages of a client that is not read."""
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)


def _pending_bytes(message: ClientRequest | HealthRequest) -> int:
    return memory_of(message) if isinstance(message, ClientRequest) else HEALTH_REQUEST_BYTES


def _last_progress_ns(client: ClientConnection) -> int:
    return client.last_progress_ns


def _has_peer_closed(sock: socket.socket) -> bool:
    """Whether the peer has closed its side, also if unread input waits before the end."""
    try:
        state = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)
    except OSError:
        return False
    return bool(state) and state[0] in TCP_CLOSED_STATES
