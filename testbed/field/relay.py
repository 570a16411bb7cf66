"""A link that can be broken: a TCP relay on loopback, all its connections in one thread."""

from __future__ import annotations

import random
import selectors
import socket
import struct
import threading
import time
from collections import deque
from dataclasses import dataclass, field
from enum import Enum

SLOW_BYTES = 64  # passed at once in Mode.SLOW, every SLOW_S
SLOW_S = 0.02


class LinkMode(Enum):
    """What the link does with bytes and with new connections."""

    PASS = "pass"
    REFUSE = "refuse"  # new connections are reset; those that stand go on
    RESET = "reset"  # all are reset
    SILENT = "silent"  # nothing passes, nothing ends
    ONE_WAY = "one way"  # requests pass, answers do not
    DELAY = "delay"  # both ways late by ``delay_s`` and up to as much more by chance
    SLOW = "slow"  # a few bytes at a time
    CUT = "cut"  # the next answer is cut in the middle and its connection reset
    GARBAGE = "garbage"  # answers are replaced


@dataclass(eq=False)
class End:
    """One side of one connection through the relay."""

    sock: socket.socket
    answers: bool  # what is read here goes to the client
    other: End | None = None
    queue: deque[tuple[float, bytes]] = field(default_factory=deque)  # what is to be written, and when
    ending: bool = False  # the other side has said its last ...
    said: bool = False  # ... and was passed on


class Relay:
    """Listens on a port of its own and passes on to a target.  A context manager; its mode may change, and
    ``share`` says to how many of the connections, by their number, it applies."""

    def __init__(self, target: tuple[str, int], delay_s: float = 2.0, seed: int = 1) -> None:
        self.target, self.delay_s, self.mode, self.share = target, delay_s, LinkMode.PASS, 1.0
        self.random = random.Random(seed)
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=256)
        self.listener.setblocking(False)
        self.address: tuple[str, int] = self.listener.getsockname()[:2]
        self.selector = selectors.DefaultSelector()
        self.selector.register(self.listener, selectors.EVENT_READ, None)
        self.ends: set[End] = set()
        self.struck: set[End] = set()  # to which the mode applies
        self.passed = 0  # connections that reached the target
        self.asked: deque[str] = deque()  # what other threads want: modes, drops, the end
        self.thread = threading.Thread(target=self.run, daemon=True)
        self.thread.start()

    def __enter__(self) -> Relay:
        return self

    def __exit__(self, *_: object) -> None:
        self.asked.append("stop")
        self.thread.join(5)

    def change(self, mode: LinkMode, share: float = 1.0) -> None:
        """Another mode from now on."""
        self.share, self.mode = share, mode
        if mode is LinkMode.RESET:
            self.asked.append("drop")

    def drop(self) -> None:
        """Reset what stands; new connections pass."""
        self.asked.append("drop")

    # In the thread ----------------------------------------------------------------------------------------

    def run(self) -> None:
        while True:
            while self.asked:
                if self.asked.popleft() == "stop":
                    for end in list(self.ends):
                        self.reset(end)
                    self.listener.close()
                    self.selector.close()
                    return
                for end in list(self.ends):
                    self.reset(end)
            for key, _ in self.selector.select(0.01):
                if key.data is None:
                    self.accept()
                elif key.data in self.ends:
                    self.read(key.data)
            now = time.monotonic()
            for end in list(self.ends):
                self.write(end, now)

    def strikes(self, end: End, mode: LinkMode) -> bool:
        return self.mode is mode and end in self.struck

    def accept(self) -> None:
        try:
            client, _ = self.listener.accept()
        except OSError:
            return
        self.passed += 1
        hit = (self.passed * 0.618) % 1 < self.share
        near = End(client, False)
        if self.mode in (LinkMode.REFUSE, LinkMode.RESET) and hit:
            self.reset(near)
            return
        try:
            far = End(socket.create_connection(self.target, 5), True)
        except OSError:
            self.reset(near)
            return
        near.other, far.other = far, near
        for end in (near, far):
            end.sock.setblocking(False)
            end.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self.ends.add(end)
            if hit:
                self.struck.add(end)
            self.selector.register(end.sock, selectors.EVENT_READ, end)

    def read(self, end: End) -> None:
        other = end.other
        assert other is not None
        if self.strikes(end, LinkMode.SILENT):
            time.sleep(0.001)
            return
        try:
            data = end.sock.recv(65_536)
        except BlockingIOError:
            return
        except OSError:
            self.reset(end)
            return
        due = time.monotonic()
        if not data:
            other.ending = True
            self.selector.unregister(end.sock)
        elif end.answers and self.strikes(end, LinkMode.ONE_WAY):
            return
        elif end.answers and self.strikes(end, LinkMode.CUT):
            try:
                other.sock.sendall(data[: len(data) // 2])
            except OSError:
                pass
            self.reset(end)
            return
        elif end.answers and self.strikes(end, LinkMode.GARBAGE):
            data = b"\x00garbage\xff" * 8
        elif self.strikes(end, LinkMode.DELAY):
            due += self.delay_s * (1 + self.random.random())
            if other.queue:
                due = max(due, other.queue[-1][0])  # bytes keep their order
        if data and self.strikes(end, LinkMode.SLOW):
            for n in range(0, len(data), SLOW_BYTES):
                other.queue.append((due + n // SLOW_BYTES * SLOW_S, data[n : n + SLOW_BYTES]))
        elif data:
            other.queue.append((due, data))
        self.write(other, time.monotonic())

    def write(self, end: End, now: float) -> None:
        if end not in self.ends or self.strikes(end, LinkMode.SILENT):
            return
        try:
            while end.queue and end.queue[0][0] <= now:
                due, data = end.queue.popleft()
                sent = end.sock.send(data)
                if sent < len(data):
                    end.queue.appendleft((due, data[sent:]))
                    return
            if end.ending and not end.queue:
                end.ending = False
                end.sock.shutdown(socket.SHUT_WR)
                end.said = True
                if end.other and end.other.said:
                    self.reset(end, False)  # both have said their last
        except BlockingIOError:
            end.queue.appendleft((due, data))
        except OSError:
            self.reset(end)

    def reset(self, end: End, hard: bool = True) -> None:
        """Both sides of a connection, at once."""
        for one in (end, end.other):
            if one is None:
                continue
            self.struck.discard(one)
            if one in self.ends:
                self.ends.discard(one)
                try:
                    self.selector.unregister(one.sock)
                except KeyError:
                    pass
            try:
                if hard:
                    one.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                one.sock.close()
            except OSError:
                pass
