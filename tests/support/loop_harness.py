"""Harness that runs the event loop on real loopback sockets, one iteration at a time, with a test clock.

Peers are plain sockets of the test, so bytes, closes, signals and deadlines occur in the order in which
the test causes them.  Nothing here sleeps, and no result depends on the speed of the machine: ``run_until``
runs iterations at one instant of the test clock until a condition holds.
"""

from __future__ import annotations

import copy
import os
import resource
import selectors
import socket
import struct
import time
import unittest
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Any

import msgpack
import pytest

from kelpcroft.config import parse_config
from kelpcroft.core import effects
from kelpcroft.net.clock import Clock
from kelpcroft.net.event_loop import EventLoop
from tests.support.exchange_player import EXAMPLE, SERVERS, WAIT_S

MS, SECOND = 10**6, 10**9
NOW = 1_764_576_000 * SECOND
STEP_NS = 100 * MS
OBJECT = "7f3a9c21e0b4d655"


class NonBlockingSelector(selectors.DefaultSelector):
    """A selector that never waits, as the test moves the clock; it omits the sockets in ``hidden``."""

    def __init__(self) -> None:
        super().__init__()
        self.hidden: set[Any] = set()

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        return [(key, events) for key, events in super().select(0) if key.fileobj not in self.hidden]


class Peer:
    """One end of a connection, read and written as bytes."""

    def __init__(self, sock: socket.socket) -> None:
        self.sock, self.received, self.ended, self.reset = sock, b"", False, False
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def send(self, data: bytes) -> None:
        self.sock.sendall(data)

    def read(self) -> bytes:
        """Returns all bytes received; detects an end or a reset by the other side."""
        while not self.ended and self.sock.fileno() >= 0:
            try:
                data = self.sock.recv(1 << 16)
            except BlockingIOError:
                break
            except ConnectionResetError:
                self.ended = self.reset = True
                break
            self.received += data
            self.ended = not data
        return self.received

    def close(self, reset: bool = False) -> None:
        if reset:
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.sock.close()

    def responses(self) -> list[Any]:
        """Returns the MessagePack messages received."""
        unpacker = msgpack.Unpacker(raw=False)
        unpacker.feed(self.read())
        return list(unpacker)

    def attempt_ids(self) -> list[str]:
        """Returns the ids of the attempts received, in their order."""
        words = self.read().split(b"\r\n")
        return [words[n + 2].decode() for n, word in enumerate(words) if word == b"PULL"]


def server_response(
    id: str, body: bytes = b"by", word: bytes = b"DONE", fields: bytes = b"tell=mem"
) -> bytes:
    """Returns a server's response."""
    parts = (id.encode(), word, fields, body)
    return b"*4\r\n" + b"".join(b"$%d\r\n%s\r\n" % (len(part), part) for part in parts)


def client_request(
    number: int,
    trace: str = "",
    class_name: str = "page",
    remaining_ms: int = 2_000,
    body: bytes = b"",
    **extra_fields: str,
) -> bytes:
    """Returns a client's request; its trace id is its number by default."""
    fields = {
        "trace": trace or f"{number:016x}",
        "patience": str(remaining_ms),
        "entity": OBJECT,
        "block": "0",
        "family": "17",
        **extra_fields,
    }
    return bytes(msgpack.packb([0, number, class_name, [fields, body]]))


class LoopHarness:
    """One router in the test process, with its servers' listening sockets."""

    def __init__(
        self,
        case: unittest.TestCase,
        listed: tuple[str, ...] = ("cache1", "parent", "origin"),
        feed: bool = True,
        order_class: dict[str, Any] | None = None,
        settings_limits: dict[str, Any] | None = None,
        settings: dict[str, Any] | None = None,
        **config_changes: Any,
    ) -> None:
        """Starts the router.

        Args:
            case: The test case, which closes the sockets at its end.
            listed: Names of the servers in the endpoint list.
            feed: Whether the list service listens.
            order_class: Changed settings of the order class.
            settings_limits: Changed ``settings.limits``.
            settings: Other changed settings.
            config_changes: Other changed keys of the configuration.
        """
        self.now, self.tick_ns = NOW, 0  # the time, and its increase at each reading of the clock
        self.listeners = {n: socket.create_server(("127.0.0.1", 0)) for n in (*listed, "feed")}
        for sock in self.listeners.values():
            sock.setblocking(False)
            case.addCleanup(sock.close)
        endpoints = [
            {
                "name": SERVERS[n][0],
                "address": self.address_of(n),
                "zone": SERVERS[n][1],
                "type": SERVERS[n][2],
                "status": "active",
            }
            for n in listed
        ]
        feed_address = self.address_of("feed")
        if not feed:
            self.listeners.pop("feed").close()
        raw = copy.deepcopy(
            {
                **EXAMPLE,
                "feed": feed_address,
                "known": {
                    "n": 1,
                    "events": [{"n": 1, "members": {"index": 1, "snapshot": True, "endpoints": endpoints}}],
                },
                **config_changes,
            }
        )
        raw["settings"].update(settings or {})
        raw["settings"]["limits"].update(settings_limits or {})
        raw["settings"]["classes"][1].update(order_class or {})
        self.raw = raw
        self.logged: list[effects.LogEvent] = []
        self.loop = EventLoop(parse_config(raw, {}), Clock(self.clock))
        self.loop.transport.selector.close()
        self.loop.transport.selector = self.selector = NonBlockingSelector()
        self.loop.transport.event_log.write = lambda now, log: self.logged.append(log)  # type: ignore[method-assign]
        listener = socket.create_server(("127.0.0.1", 0))
        listener.setblocking(False)
        self.address = listener.getsockname()
        self.loop.start(listener=listener)
        case.addCleanup(self.close_sockets)
        self.case = case

    def clock(self) -> int:
        self.now += self.tick_ns
        return self.now

    def address_of(self, name: str) -> str:
        return f"127.0.0.1:{self.listeners[name].getsockname()[1]}"

    def close_sockets(self) -> None:
        loop = self.loop
        for peer in [
            *loop.clients.open.values(),
            *loop.servers.open.values(),
            *loop.control.connections.values(),
            *([loop.feed.connection] if loop.feed.connection else []),
        ]:
            peer.sock.close()
        for sock in (loop.acceptor.listener.sock, loop.control.listener.sock):
            if sock is not None:
                sock.close()
        loop.selector.close()

    def iterate(self, after_ns: int = 0, iterations: int = 1) -> None:
        """Runs iterations.

        Args:
            after_ns: Time that passes first, in steps short enough not to count as a process stall, with
                one iteration per step.
            iterations: Number of iterations at the final instant, including that of the last step.
        """
        end = self.now + after_ns
        while self.now < end:
            self.now = min(end, self.now + STEP_NS)
            self.loop.run_iteration()
        for _ in range(iterations - bool(after_ns)):
            self.loop.run_iteration()

    def run_until(self, condition: Callable[[], Any], description: str = "") -> None:
        """Runs iterations at this instant until a condition holds, so that bytes in flight arrive."""
        end = time.monotonic() + WAIT_S
        while not condition():
            assert time.monotonic() < end, f"condition not reached in {WAIT_S} s: {description or condition}"
            self.loop.run_iteration()

    def client(self) -> Peer:
        """Returns a client whose connection the router has accepted."""
        peer = Peer(socket.create_connection(self.address, WAIT_S))
        self.case.addCleanup(peer.sock.close)
        local_address = peer.sock.getsockname()
        self.run_until(
            lambda: any(
                client.sock.fileno() >= 0 and client.sock.getpeername() == local_address
                for client in self.loop.clients.open.values()
            ),
            "the client is accepted",
        )
        return peer

    def socket_of(self, peer: Peer) -> socket.socket:
        """Returns the router's socket of a client's connection."""
        local_address = peer.sock.getsockname()
        (found,) = [
            client.sock
            for client in self.loop.clients.open.values()
            if client.sock.getpeername() == local_address
        ]
        return found

    def served_client(self, number: int = 1) -> tuple[Peer, Peer]:
        """Returns a client that has received a response, and the cache's end of the server connection."""
        client = self.client()
        client.send(client_request(number))
        cache = self.accept_from_router("cache1")
        self.run_until(cache.attempt_ids, "the attempt arrives")
        cache.send(server_response(cache.attempt_ids()[-1]))
        self.run_until(client.responses, "the response arrives")
        return client, cache

    def accept_from_router(self, name: str) -> Peer:
        """Returns the server's end of the router's next connection to it."""
        accepted: list[socket.socket] = []

        def has_accepted() -> bool:
            try:
                accepted.append(self.listeners[name].accept()[0])
            except BlockingIOError:
                return False
            return True

        self.run_until(has_accepted, f"the router connects to {name}")
        self.case.addCleanup(accepted[0].close)
        return Peer(accepted[0])

    def assert_no_connect(self, name: str, iterations: int = 5) -> None:
        """Asserts that the router does not connect to a server."""
        for _ in range(iterations):
            self.loop.run_iteration()
            with pytest.raises(BlockingIOError):
                self.listeners[name].accept()

    @contextmanager
    def no_descriptors(self) -> Iterator[None]:
        """Lowers the limit so that the process has no descriptors left."""
        soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
        free = os.dup(0)
        os.close(free)
        resource.setrlimit(resource.RLIMIT_NOFILE, (free, hard))
        try:
            yield
        finally:
            resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))
