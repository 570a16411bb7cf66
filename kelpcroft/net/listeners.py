"""Listening sockets for clients (bound here or inherited from the platform) and the control address."""

from __future__ import annotations

import selectors
import socket
from typing import TYPE_CHECKING, Final

from kelpcroft.config import Address, ConfigError

if TYPE_CHECKING:  # a control replica uses this module too, without a transport
    from kelpcroft.net.transport import Transport

LISTEN_QUEUE_LENGTH: Final = 1024  # maximum number of connections in the kernel's accept queue


def bind_listener(key: str, address: Address) -> socket.socket:
    """Binds a listening socket to an address.

    Raises:
        ConfigError: The address cannot be bound; the message names ``key``.
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
    """Adopts the listening socket inherited from the platform as descriptor ``fd`` (``$ROUTER_FD``).

    It must be a listening TCP socket over IPv4 or IPv6.  Connections in the kernel's accept queue belong to
    the socket, not to this process: when this process closes its descriptor, another process that holds the
    same socket accepts them.

    Raises:
        ConfigError: The descriptor is not such a socket; it stays open.
    """
    try:
        sock = socket.socket(fileno=fd)
    except OSError as error:
        raise ConfigError(
            f"ROUTER_FD: descriptor {fd}: {error.strerror or error}; expected a listening TCP socket"
        ) from error
    defect = _listener_defect(sock)
    if defect:
        sock.detach()
        raise ConfigError(f"ROUTER_FD: descriptor {fd} {defect}; expected a listening TCP socket")
    sock.setblocking(False)
    return sock


def _listener_defect(sock: socket.socket) -> str:
    """Returns why a socket is not a listening TCP socket; empty if it is one."""
    kind = sock.getsockopt(socket.SOL_SOCKET, socket.SO_TYPE)
    family = sock.getsockopt(socket.SOL_SOCKET, socket.SO_DOMAIN)
    is_listening = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN)
    if kind != socket.SOCK_STREAM or family not in (socket.AF_INET, socket.AF_INET6):
        return "is not a TCP socket over IPv4 or IPv6"
    if not is_listening:
        return "does not listen"
    return ""


def listening_address(sock: socket.socket) -> str:
    """Returns the ``host:port`` at which a socket listens."""
    host, port = sock.getsockname()[:2]
    return f"{host}:{port}"


class Listener:
    """A listening socket in the event loop, watched while connections can be accepted."""

    def __init__(self, transport: Transport) -> None:
        self.transport = transport
        self.sock: socket.socket | None = None
        self.is_registered = False  # whether the selector watches the socket

    def open(self, sock: socket.socket) -> None:
        """Starts to accept connections on a socket."""
        self.sock = sock
        self.set_registered(True)

    def set_registered(self, is_on: bool) -> None:
        """Starts or stops watching the socket.

        A socket with waiting connections that cannot be accepted is ready in every iteration, and the loop
        would spin on it.  The sweep starts watching again.
        """
        if self.sock is None or is_on == self.is_registered:
            return
        self.is_registered = is_on
        if is_on:
            self.transport.selector.register(self.sock, selectors.EVENT_READ, None)
        else:
            self.transport.selector.unregister(self.sock)

    def accept(self) -> socket.socket:
        """Accepts the next connection and makes its socket non-blocking.

        Raises:
            BlockingIOError: No connection waits.
            OSError: The connection could not be accepted.
        """
        assert self.sock is not None
        sock, _ = self.sock.accept()
        sock.setblocking(False)
        # Without this, written bytes may wait in the kernel, and a close can discard them.
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return sock

    def log_failed_accept(self, operation: str, error: OSError) -> None:
        """Logs that a connection could not be accepted."""
        self.transport.log("accept.failed", f"{operation}: {error}", {"why": str(error)}, "warning")

    def close(self) -> None:
        """Closes the listening socket; no more connections are accepted."""
        if self.sock is not None:
            self.set_registered(False)
            self.sock.close()
            self.sock = None
