"""Lingering close: closes clients' connections without losing responses in flight.

A close with unread input resets the connection and can discard a response that was just written (RFC 9112,
section 9.6, describes the same for HTTP).  Therefore the output side is shut down once all output is written,
and further input from the client is read and discarded.  The socket is closed when the client has closed its
side, or when the limit of time or of discarded bytes is reached.
"""

from __future__ import annotations

import socket
from typing import TYPE_CHECKING, Final

from kelpcroft.net.transport import MAX_READS_PER_ITERATION, SECOND

if TYPE_CHECKING:
    from kelpcroft.net.client_connections import ClientConnection, ClientConnections

LINGERING_CLOSE_TIMEOUT_NS: Final = SECOND  # maximum time until the client closes its side
LINGERING_CLOSE_MAX_BYTES: Final = 1 << 20  # maximum input discarded in that time


class LingeringClients:
    """Clients in a lingering close, oldest close first."""

    def __init__(self, connections: ClientConnections, max_clients: int) -> None:
        self.connections = connections
        self.transport = connections.transport
        self.max_clients = max_clients
        self.clients: dict[int, ClientConnection] = {}

    def add(self, client: ClientConnection) -> None:
        """Starts the lingering close of a connection; closes the oldest one if there are too many."""
        self.clients[client.number] = client
        if len(self.clients) > self.max_clients:
            self.close_oldest()

    def close_oldest(self) -> None:
        """Closes the socket that has been in a lingering close for longest, if there is one."""
        for client in list(self.clients.values())[:1]:
            self.connections.close(client)

    def end_output(self, client: ClientConnection) -> None:
        """Shuts down the output side of a connection if all its output is written."""
        if client.write_buffer.stored_bytes() or client in self.transport.pending_writes:
            return
        if client.is_open():
            try:
                client.sock.shutdown(socket.SHUT_WR)
            except OSError:
                self.connections.close(client)

    def discard_input(self, client: ClientConnection) -> None:
        """Reads and discards a client's input."""
        try:
            for _ in range(MAX_READS_PER_ITERATION):
                count = client.sock.recv_into(self.transport.read_buffer)
                client.discarded_bytes += count
                if not count:
                    self.connections.connection_failed(client, "")
                    return
                if client.discarded_bytes > LINGERING_CLOSE_MAX_BYTES:
                    self.connections.close(client)
                    return
        except BlockingIOError:
            pass
        except OSError:
            self.connections.connection_failed(client, "")

    def sweep(self, now: int) -> None:
        """Closes the sockets of clients that have not closed their side in time."""
        for client in list(self.clients.values()):
            if now - client.closing_since_ns > LINGERING_CLOSE_TIMEOUT_NS:
                self.connections.close(client)
