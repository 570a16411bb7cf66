"""A TCP relay on loopback that injects faults into a link; one thread handles all its connections."""

from __future__ import annotations

import random
import selectors
import socket
import struct
import threading
import time
from collections import deque
from contextlib import suppress
from dataclasses import dataclass, field
from enum import Enum
from typing import NamedTuple

SLOW_BYTES = 64  # bytes that LinkMode.SLOW forwards every SLOW_S
SLOW_S = 0.02
SELECT_TIMEOUT_S = 0.01
READ_BYTES = 65_536
CONNECT_TIMEOUT_S = 5
GARBAGE = b"\x00garbage\xff" * 8
GOLDEN_RATIO = 0.618  # its multiples spread the share evenly over connections


class LinkMode(Enum):
    """How the link treats bytes and new connections."""

    PASS = "pass"
    REFUSE = "refuse"  # new connections are reset; open connections continue
    RESET = "reset"  # open and new connections are reset
    SILENT = "silent"  # nothing is forwarded and no connection ends
    ONE_WAY = "one way"  # requests are forwarded, responses are discarded
    DELAY = "delay"  # both directions are delayed by ``delay_s`` to twice ``delay_s``, drawn at random
    SLOW = "slow"  # a few bytes at a time
    CUT = "cut"  # the next response is truncated in the middle and its connection is reset
    GARBAGE = "garbage"  # responses are replaced with garbage


class RelayCommand(Enum):
    """A command of another thread to the relay's thread."""

    DROP = "drop"
    STOP = "stop"


class TimedBytes(NamedTuple):
    """Bytes to be written, and the earliest time for it (``time.monotonic``)."""

    due_s: float
    data: bytes


@dataclass(eq=False)
class End:
    """One side of one connection through the relay."""

    sock: socket.socket
    is_server: bool  # bytes read at this end are forwarded to the client
    other: End | None = None
    queue: deque[TimedBytes] = field(default_factory=deque)
    is_end_pending: bool = False  # the peer of the other end has sent its end of stream ...
    end_forwarded: bool = False  # ... which was forwarded to the peer of this end


class Relay:
    """Listens on a port of its own and forwards to a target. A context manager.

    The mode may change at any time. ``share`` is the share of connections to which it applies; a connection's
    number decides whether it is one of them. ``accepted`` counts connections. ``target`` may be set to
    another address, which new connections use.
    """

    def __init__(self, target: tuple[str, int], delay_s: float = 2.0, seed: int = 1) -> None:
        """Listen and start the thread; ``delay_s`` is the delay of ``LinkMode.DELAY``."""
        self.target = target
        self.delay_s = delay_s
        self.mode = LinkMode.PASS
        self.share = 1.0
        self.accepted = 0
        self._random = random.Random(seed)
        self._listener = socket.create_server(("127.0.0.1", 0), backlog=256)
        self._listener.setblocking(False)
        self.address: tuple[str, int] = self._listener.getsockname()[:2]
        self._selector = selectors.DefaultSelector()
        self._selector.register(self._listener, selectors.EVENT_READ, None)
        self._ends: set[End] = set()
        self._affected: set[End] = set()  # ends to which the mode applies
        self._commands: deque[RelayCommand] = deque()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def __enter__(self) -> Relay:
        return self

    def __exit__(self, *_: object) -> None:
        self._commands.append(RelayCommand.STOP)
        self._thread.join(5)

    def change(self, mode: LinkMode, share: float = 1.0) -> None:
        """Set the mode and the share of connections to which it applies."""
        self.share = share
        self.mode = mode
        if mode is LinkMode.RESET:
            self.drop()

    def drop(self) -> None:
        """Reset all open connections; new ones are accepted."""
        self._commands.append(RelayCommand.DROP)

    # The relay's thread -----------------------------------------------------------------------------------

    def _run(self) -> None:
        while not self._carry_out_commands():
            for key, _ in self._selector.select(SELECT_TIMEOUT_S):
                if key.data is None:
                    self._accept()
                elif key.data in self._ends:
                    self._read(key.data)
            now = time.monotonic()
            for end in list(self._ends):
                self._write(end, now)
        self._listener.close()
        self._selector.close()

    def _carry_out_commands(self) -> bool:
        """Carry out the commands of other threads; return whether one of them was to stop."""
        while self._commands:
            command = self._commands.popleft()
            for end in list(self._ends):
                self._close(end)
            if command is RelayCommand.STOP:
                return True
        return False

    def _applies(self, mode: LinkMode, end: End) -> bool:
        return self.mode is mode and end in self._affected

    def _accept(self) -> None:
        try:
            client, _ = self._listener.accept()
        except OSError:
            return
        self.accepted += 1
        is_affected = (self.accepted * GOLDEN_RATIO) % 1 < self.share
        client_end = End(client, is_server=False)
        if self.mode in (LinkMode.REFUSE, LinkMode.RESET) and is_affected:
            self._close(client_end)
            return
        try:
            server_end = End(socket.create_connection(self.target, CONNECT_TIMEOUT_S), is_server=True)
        except OSError:
            self._close(client_end)
            return
        client_end.other = server_end
        server_end.other = client_end
        for end in (client_end, server_end):
            end.sock.setblocking(False)
            end.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self._ends.add(end)
            if is_affected:
                self._affected.add(end)
            self._selector.register(end.sock, selectors.EVENT_READ, end)

    def _read(self, end: End) -> None:
        if self._applies(LinkMode.SILENT, end):
            time.sleep(0.001)  # the socket stays readable, so the loop would spin without a pause
            return
        try:
            data = end.sock.recv(READ_BYTES)
        except BlockingIOError:
            return
        except OSError:
            self._close(end)
            return
        other = end.other
        assert other is not None
        if data:
            self._forward(end, other, data)
        else:
            other.is_end_pending = True
            self._selector.unregister(end.sock)
        self._write(other, time.monotonic())

    def _forward(self, end: End, other: End, data: bytes) -> None:
        """Queue data that was read at one end for the other, as the mode requires."""
        due_s = time.monotonic()
        if end.is_server and self._applies(LinkMode.ONE_WAY, end):
            return
        if end.is_server and self._applies(LinkMode.CUT, end):
            with suppress(OSError):
                other.sock.sendall(data[: len(data) // 2])
            self._close(end)
            return
        if end.is_server and self._applies(LinkMode.GARBAGE, end):
            data = GARBAGE
        elif self._applies(LinkMode.DELAY, end):
            due_s += self.delay_s * (1 + self._random.random())
            if other.queue:
                due_s = max(due_s, other.queue[-1].due_s)  # bytes keep their order
        if self._applies(LinkMode.SLOW, end):
            for n in range(0, len(data), SLOW_BYTES):
                other.queue.append(TimedBytes(due_s + n // SLOW_BYTES * SLOW_S, data[n : n + SLOW_BYTES]))
        else:
            other.queue.append(TimedBytes(due_s, data))

    def _write(self, end: End, now_s: float) -> None:
        """Write the data that is due at an end."""
        if end not in self._ends or self._applies(LinkMode.SILENT, end):
            return
        try:
            while end.queue and end.queue[0].due_s <= now_s:
                due_s, data = end.queue[0]
                sent = end.sock.send(data)
                if sent < len(data):
                    end.queue[0] = TimedBytes(due_s, data[sent:])
                    return
                end.queue.popleft()
            if end.is_end_pending and not end.queue:
                self._forward_end(end)
        except BlockingIOError:
            return  # unsent data stays in the queue
        except OSError:
            self._close(end)

    def _forward_end(self, end: End) -> None:
        end.is_end_pending = False
        end.sock.shutdown(socket.SHUT_WR)
        end.end_forwarded = True
        if end.other and end.other.end_forwarded:
            self._close(end, reset=False)  # both directions have ended

    def _close(self, end: End, *, reset: bool = True) -> None:
        """Close both ends of a connection immediately."""
        for side in (end, end.other):
            if side is None:
                continue
            self._affected.discard(side)
            if side in self._ends:
                self._ends.discard(side)
                with suppress(KeyError):
                    self._selector.unregister(side.sock)
            with suppress(OSError):
                if reset:
                    side.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                side.sock.close()
