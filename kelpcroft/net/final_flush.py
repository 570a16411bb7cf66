"""The end of the process: the last output is written, and clients get a little time to read it."""

from __future__ import annotations

import socket
from typing import Final

from kelpcroft.net.buffers import BUFFER_BYTES
from kelpcroft.net.client_connections import ClientConnection, ClientConnections
from kelpcroft.net.transport import SECOND, Transport

SHUTDOWN_LINGER_NS: Final = SECOND // 5  # time at the exit in which clients can read the last responses


def flush_and_close(transport: Transport, clients: ClientConnections) -> None:
    """Writes the remaining output, then waits up to SHUTDOWN_LINGER_NS for clients to read it and close.

    A close with unread input would reset their connections, so the output side is shut down first.  Input
    that arrives from then on is discarded and never forwarded to a server.
    """
    for client in clients.open.values():
        try:
            client.write_buffer.write(client.sock)
            clients.log_unwritten(client)
            client.sock.shutdown(socket.SHUT_WR)
        except OSError:
            pass
    end_ns = transport.clock.now() + SHUTDOWN_LINGER_NS
    selector = transport.selector
    while (clients.open or clients.lingering.clients) and transport.clock.now() < end_ns:
        for key, _ in selector.select((end_ns - transport.clock.now()) / SECOND):
            # Not ``client``: the compiler gives that variable the type of the loop above.
            connection = key.data
            if not isinstance(connection, ClientConnection):
                selector.unregister(key.fileobj)
            elif _has_disconnected(connection):
                clients.close(connection)


def _has_disconnected(client: ClientConnection) -> bool:
    """Whether a client has closed its side or its connection has failed; discards the bytes it reads."""
    try:
        return not client.sock.recv(BUFFER_BYTES)
    except BlockingIOError:
        return False
    except OSError:
        return True
