"""A link for datagrams between routers that can be broken: a UDP relay on loopback, in one thread.

Each datagram is lost, repeated, kept for longer than the next or delayed as a seed says, by its number: the
same datagrams in the same order meet the same fate.  Answers go back the way their requests came, as each
sender gets a socket of its own towards the target."""

from __future__ import annotations

import heapq
import selectors
import socket
import threading
import time
from dataclasses import dataclass
from random import Random

SENDERS_MOST = 256  # sockets towards the target; the oldest goes for another


@dataclass(frozen=True)
class DatagramFate:
    """What happens to datagrams: shares of them, and the delay of the rest in seconds, up to twice that."""

    lost: float = 0.0
    repeated: float = 0.0
    late: float = 0.0  # overtaken: delayed by ``late_s`` more
    delay_s: float = 0.0
    late_s: float = 0.05
    silent: bool = False  # nothing passes


class DatagramRelay:
    """Listens on a port of its own and passes on to a target.  A context manager; its fate may change."""

    def __init__(self, target: tuple[str, int], fate: DatagramFate = DatagramFate(), seed: int = 1) -> None:  # noqa: B008
        self.target, self.fate, self.random = target, fate, Random(seed)
        self.sock = self.made()
        self.address: tuple[str, int] = self.sock.getsockname()[:2]
        self.selector = selectors.DefaultSelector()
        self.selector.register(self.sock, selectors.EVENT_READ, None)
        self.senders: dict[tuple[str, int], socket.socket] = {}
        self.heap: list[tuple[float, int, socket.socket, tuple[str, int], bytes]] = []
        self.seen = self.passed = self.number = 0
        self.stopping = threading.Event()
        self.thread = threading.Thread(target=self.run, daemon=True)
        self.thread.start()

    @staticmethod
    def made() -> socket.socket:
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sock.bind(("127.0.0.1", 0))
        sock.setblocking(False)
        return sock

    def __enter__(self) -> DatagramRelay:
        return self

    def __exit__(self, *_: object) -> None:
        self.stopping.set()
        self.thread.join(5)
        for sock in (self.sock, *self.senders.values()):
            sock.close()
        self.selector.close()

    def run(self) -> None:
        while not self.stopping.is_set():
            for key, _ in self.selector.select(0.005):
                sock = key.fileobj
                assert isinstance(sock, socket.socket)
                try:
                    data, sender = sock.recvfrom(65_536)
                except OSError:
                    continue
                if key.data is None:
                    self.pass_on(self.towards(sender), self.target, data)
                else:
                    self.pass_on(self.sock, key.data, data)
            now = time.monotonic()
            while self.heap and self.heap[0][0] <= now:
                _, _, sock, to, data = heapq.heappop(self.heap)
                try:
                    sock.sendto(data, to)
                    self.passed += 1
                except OSError:
                    continue

    def towards(self, sender: tuple[str, int]) -> socket.socket:
        """The socket on which this sender's datagrams go to the target."""
        if sender not in self.senders:
            if len(self.senders) >= SENDERS_MOST:
                old = self.senders.pop(next(iter(self.senders)))
                self.selector.unregister(old)
                old.close()
            self.senders[sender] = sock = self.made()
            self.selector.register(sock, selectors.EVENT_READ, sender)
        return self.senders[sender]

    def pass_on(self, sock: socket.socket, to: tuple[str, int], data: bytes) -> None:
        self.seen += 1
        f, r = self.fate, self.random
        lost, repeated, late = r.random() < f.lost, r.random() < f.repeated, r.random() < f.late
        delay = f.delay_s * (1 + r.random())
        if lost or f.silent:
            return
        for again in range(1 + repeated):
            self.number += 1
            due = time.monotonic() + delay + again * f.late_s + late * f.late_s
            heapq.heappush(self.heap, (due, self.number, sock, to, data))
