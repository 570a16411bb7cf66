"""Listening sockets: the clients' one, bound here or inherited from the platform, and the control address."""

from __future__ import annotations

import selectors
import socket
from typing import TYPE_CHECKING, Final

from kelpcroft.config import Address, ConfigError

if TYPE_CHECKING:  # a control replica listens as well, and has no transport
    from kelpcroft.net.transport import Transport

LISTEN_QUEUE_LENGTH: Final = 1024  # connections that the kernel queues before one is accepted


def bind_listener(key: str, address: Address) -> socket.socket:
    """A listening socket of our own at an address.

    Raises:
        ConfigError: naming ``key``, where it cannot be had.
    """
    family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
    sock = socket.socket(family, socket.SOCK_STREAM)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind(address)
        sock.listen(LISTEN_QUEUE_LENGTH)
    except OSError as error:
        sock.close()
        raise ConfigError(f"{key}: {address[0]}:{address[1]}: {error.strerror or error}") from error
    sock.setblocking(False)
    return sock


def adopt_listener(fd: int) -> socket.socket:
    """The listening socket that the platform hands down as descriptor ``fd`` (``$ROUTER_FD``).

    It must be a TCP socket over IPv4 or IPv6 that listens.  Connections that the kernel has queued on it
    belong to the socket, not to this process: when this process closes its descriptor, those that wait are
    taken by another process that holds the same socket.

    Raises:
        ConfigError: it is no such socket; the descriptor is left as it was.
    """
    try:
        sock = socket.socket(fileno=fd)
    except OSError as error:
        raise ConfigError(
            f"ROUTER_FD: descriptor {fd}: {error.strerror or error}; a listening TCP socket would do"
        ) from error
    why_not = _why_no_listener(sock)
    if why_not:
        sock.detach()
        raise ConfigError(f"ROUTER_FD: descriptor {fd} {why_not}; a listening TCP socket would do")
    sock.setblocking(False)
    return sock


def _why_no_listener(sock: socket.socket) -> str:
    """Why a socket is no listening one of TCP; empty where it is."""
    kind = sock.getsockopt(socket.SOL_SOCKET, socket.SO_TYPE)
    family = sock.getsockopt(socket.SOL_SOCKET, socket.SO_DOMAIN)
    is_listening = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN)
    if kind != socket.SOCK_STREAM or family not in (socket.AF_INET, socket.AF_INET6):
        return "is not of TCP"
    if not is_listening:
        return "does not listen"
    return ""


def listening_address(sock: socket.socket) -> str:
    """``host:port`` at which a socket listens."""
    host, port = sock.getsockname()[:2]
    return f"{host}:{port}"


class Listener:
    """A listening socket in the event loop, watched while connections can be taken."""

    def __init__(self, transport: Transport) -> None:
        self.transport = transport
        self.sock: socket.socket | None = None
        self.is_listening = False  # the selector reports it

    def open(self, sock: socket.socket) -> None:
        """Takes connections on this socket from now on."""
        self.sock = sock
        self.set_listening(True)

    def set_listening(self, is_on: bool) -> None:
        """Watches the socket, or leaves it alone.

        One on which connections wait that cannot be accepted is ready in every turn, and the loop would spin
        on it.  The sweep tries it again.
        """
        if self.sock is None or is_on == self.is_listening:
            return
        self.is_listening = is_on
        if is_on:
            self.transport.selector.register(self.sock, selectors.EVENT_READ, None)
        else:
            self.transport.selector.unregister(self.sock)

    def accept(self) -> socket.socket:
        """The next connection, ready for the loop.

        Raises:
            BlockingIOError: none waits.
            OSError: it could not be taken.
        """
        assert self.sock is not None
        sock, _ = self.sock.accept()
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)  # a close takes along what waits
        return sock

    def log_failed_accept(self, what: str, error: OSError) -> None:
        """Writes to the log that a connection could not be taken."""
        self.transport.log("accept.failed", f"{what}: {error}", {"why": str(error)}, "warning")

    def close(self) -> None:
        """Takes no more connections."""
        if self.sock is not None:
            self.set_listening(False)
            self.sock.close()
            self.sock = None
