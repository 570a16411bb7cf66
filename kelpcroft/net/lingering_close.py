"""Lingering close: ends clients' connections without losing the responses that are on their way.

A close over unread bytes resets the connection, and a response just written goes with it (RFC 9112, 9.6, says
the same of HTTP).  So our side ends once all is written, what the client still sends is read and discarded,
and the connection is closed when the client has ended it, or its time or its bytes are used up.
"""

from __future__ import annotations

import socket
from typing import TYPE_CHECKING, Final

from kelpcroft.net.transport import MAX_READS_PER_TURN, SECOND

if TYPE_CHECKING:
    from kelpcroft.net.client_connections import ClientConnection, ClientConnections

LINGERING_CLOSE_TIMEOUT_NS: Final = SECOND  # the client ends its side within this ...
LINGERING_CLOSE_MAX_BYTES: Final = 1 << 20  # ... and sends at most this meanwhile


class LingeringClients:
    """The clients whose connections are being ended, longest first."""

    def __init__(self, owner: ClientConnections, max_clients: int) -> None:
        self.owner = owner
        self.transport = owner.transport
        self.max_clients = max_clients
        self.clients: dict[int, ClientConnection] = {}

    def add(self, client: ClientConnection) -> None:
        """Begins to end a connection; past the bound the one that is being ended longest is closed."""
        self.clients[client.number] = client
        if len(self.clients) > self.max_clients:
            self.close_oldest()

    def close_oldest(self) -> None:
        """Closes the connection that is being ended longest, if any."""
        for client in list(self.clients.values())[:1]:
            self.owner.close(client)

    def end_output(self, client: ClientConnection) -> None:
        """Ends our side of a connection, once what was answered is written."""
        if client.write_buffer.stored_bytes() or client in self.transport.pending_writes:
            return
        if client.is_open():
            try:
                client.sock.shutdown(socket.SHUT_WR)
            except OSError:
                self.owner.close(client)

    def discard_input(self, client: ClientConnection) -> None:
        """Reads what a client still sends, and does not use it."""
        try:
            for _ in range(MAX_READS_PER_TURN):
                count = client.sock.recv_into(self.transport.read_buffer)
                client.discarded_bytes += count
                if not count:
                    self.owner.connection_failed(client, "")
                    return
                if client.discarded_bytes > LINGERING_CLOSE_MAX_BYTES:
                    self.owner.close(client)
                    return
        except BlockingIOError:
            pass
        except OSError:
            self.owner.connection_failed(client, "")

    def sweep(self, now: int) -> None:
        """Closes connections whose clients have not ended them in time."""
        for client in list(self.clients.values()):
            if now - client.closing_since_ns > LINGERING_CLOSE_TIMEOUT_NS:
                self.owner.close(client)
