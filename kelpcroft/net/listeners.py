"""Listening sockets: the clients' one, bound here or inherited from the platform, and the control address."""

from __future__ import annotations

import socket

from kelpcroft.config import Address, ConfigError

BACKLOG = 1024  # connections that the kernel queues before one is accepted


def bind_listener(key: str, address: Address) -> socket.socket:
    """A listening socket of our own at an address.  ConfigError, naming ``key``, where it cannot be had."""
    family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
    sock = socket.socket(family, socket.SOCK_STREAM)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind(address)
        sock.listen(BACKLOG)
    except OSError as error:
        sock.close()
        raise ConfigError(f"{key}: {address[0]}:{address[1]}: {error.strerror or error}") from error
    sock.setblocking(False)
    return sock


def adopt_listener(fd: int) -> socket.socket:
    """The listening socket that the platform hands down as descriptor ``fd`` (``$ROUTER_FD``).

    It must be a TCP socket over IPv4 or IPv6 that listens; ConfigError otherwise, the descriptor left as
    it was.  Connections that the kernel has queued on it belong to the socket, not to this process: when this
    process closes its descriptor, those that wait are taken by another process that holds the same socket."""
    try:
        sock = socket.socket(fileno=fd)
    except OSError as error:
        raise ConfigError(
            f"ROUTER_FD: descriptor {fd}: {error.strerror or error}; a listening TCP socket would do"
        ) from error
    kind = sock.getsockopt(socket.SOL_SOCKET, socket.SO_TYPE)
    family = sock.getsockopt(socket.SOL_SOCKET, socket.SO_DOMAIN)
    listens = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN)
    why = (
        "is not of TCP"
        if kind != socket.SOCK_STREAM or family not in (socket.AF_INET, socket.AF_INET6)
        else "does not listen"
        if not listens
        else ""
    )
    if why:
        sock.detach()
        raise ConfigError(f"ROUTER_FD: descriptor {fd} {why}; a listening TCP socket would do")
    sock.setblocking(False)
    return sock


def listening_address(sock: socket.socket) -> str:
    """``host:port`` at which a socket listens."""
    host, port = sock.getsockname()[:2]
    return f"{host}:{port}"
