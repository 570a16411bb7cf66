"""Outgoing connections, with a fallback for the case that no descriptor is left."""

from __future__ import annotations

import errno
import socket

from kelpcroft.config import Address
from kelpcroft.net.client_acceptor import ClientAcceptor
from kelpcroft.net.transport import OUT_OF_DESCRIPTORS_ERRORS


class Connector:
    """Starts connections to servers and to the feed."""

    def __init__(self, acceptor: ClientAcceptor) -> None:
        self.acceptor = acceptor

    def connect(self, address: Address) -> socket.socket:
        """Returns a non-blocking socket whose connect has been started.

        If no descriptor is left, an idle or closing client's is freed: the descriptor budget was computed
        from a limit that no longer holds.

        Raises:
            OSError: No socket is available, or the connect failed immediately.
        """
        family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
        try:
            sock = socket.socket(family, socket.SOCK_STREAM)
        except OSError as error:
            if error.errno not in OUT_OF_DESCRIPTORS_ERRORS or not self.acceptor.free_descriptor():
                raise
            sock = socket.socket(family, socket.SOCK_STREAM)
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        error_number = sock.connect_ex(address)
        if error_number not in (0, errno.EINPROGRESS):
            sock.close()
            raise OSError(error_number, errno.errorcode.get(error_number, "?"))
        return sock
