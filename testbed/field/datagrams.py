"""A UDP relay on loopback, in one thread, that injects faults into datagrams between routers.

Each datagram is lost, repeated, overtaken by later ones or delayed. A seeded generator decides this by the
datagram's number, so the same datagrams in the same order are treated alike in every run. Each sender gets
a socket of its own towards the target, and responses that arrive there are sent back to that sender.
"""

from __future__ import annotations

import heapq
import selectors
import socket
import threading
import time
from contextlib import suppress
from dataclasses import dataclass
from random import Random
from typing import NamedTuple

MAX_SENDERS = 256  # sockets towards the target; at the limit the oldest is closed to make room
SELECT_TIMEOUT_S = 0.005
MAX_DATAGRAM_BYTES = 65_536


@dataclass(frozen=True)
class DatagramFaults:
    """Shares of datagrams that are lost, repeated or late, and the delay of those that are sent on.

    Every datagram that is sent on is delayed by ``delay_s`` to twice ``delay_s``, drawn at random.
    """

    lost: float = 0.0
    repeated: float = 0.0
    late: float = 0.0  # delayed by ``late_s`` more, so that later datagrams overtake it
    delay_s: float = 0.0
    late_s: float = 0.05
    silent: bool = False  # no datagram is sent on


class TimedDatagram(NamedTuple):
    """A datagram that the relay is to send."""

    due_s: float
    number: int  # breaks ties, so that sockets are never compared
    sock: socket.socket
    to: tuple[str, int]
    data: bytes


class DatagramRelay:
    """Listens on a port of its own and forwards to a target. A context manager.

    ``faults`` may be changed while the relay runs. ``received`` and ``sent`` count datagrams.
    """

    def __init__(
        self,
        target: tuple[str, int],
        faults: DatagramFaults = DatagramFaults(),
        seed: int = 1,
    ) -> None:
        """Bind a port and start the thread."""
        self.target = target
        self.faults = faults
        self.received = 0
        self.sent = 0
        self._random = Random(seed)
        self._sock = open_socket()
        self.address: tuple[str, int] = self._sock.getsockname()[:2]
        self._selector = selectors.DefaultSelector()
        self._selector.register(self._sock, selectors.EVENT_READ, None)
        self._senders: dict[tuple[str, int], socket.socket] = {}
        self._heap: list[TimedDatagram] = []
        self._number = 0
        self._stop = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def __enter__(self) -> DatagramRelay:
        return self

    def __exit__(self, *_: object) -> None:
        self._stop.set()
        self._thread.join(5)
        for sock in (self._sock, *self._senders.values()):
            sock.close()
        self._selector.close()

    def _run(self) -> None:
        while not self._stop.is_set():
            for key, _ in self._selector.select(SELECT_TIMEOUT_S):
                sock = key.fileobj
                assert isinstance(sock, socket.socket)
                try:
                    data, sender = sock.recvfrom(MAX_DATAGRAM_BYTES)
                except OSError:
                    continue
                if key.data is None:
                    self._forward(self._socket_for(sender), self.target, data)
                else:
                    self._forward(self._sock, key.data, data)
            self._send_due(time.monotonic())

    def _send_due(self, now_s: float) -> None:
        while self._heap and self._heap[0].due_s <= now_s:
            due = heapq.heappop(self._heap)
            with suppress(OSError):
                due.sock.sendto(due.data, due.to)
                self.sent += 1

    def _socket_for(self, sender: tuple[str, int]) -> socket.socket:
        """The socket on which this sender's datagrams are sent to the target."""
        if sender not in self._senders:
            if len(self._senders) >= MAX_SENDERS:
                oldest = self._senders.pop(next(iter(self._senders)))
                self._selector.unregister(oldest)
                oldest.close()
            sock = open_socket()
            self._senders[sender] = sock
            self._selector.register(sock, selectors.EVENT_READ, sender)
        return self._senders[sender]

    def _forward(self, sock: socket.socket, to: tuple[str, int], data: bytes) -> None:
        """Lose, repeat or delay a datagram.

        Each datagram takes four random draws whether it is lost or not, so that the faults of one do not
        change those of later ones.
        """
        self.received += 1
        faults = self.faults
        is_lost = self._random.random() < faults.lost
        is_repeated = self._random.random() < faults.repeated
        is_late = self._random.random() < faults.late
        delay_s = faults.delay_s * (1 + self._random.random())
        if is_lost or faults.silent:
            return
        for repeat in range(1 + is_repeated):
            self._number += 1
            due_s = time.monotonic() + delay_s + repeat * faults.late_s + is_late * faults.late_s
            heapq.heappush(self._heap, TimedDatagram(due_s, self._number, sock, to, data))


def open_socket() -> socket.socket:
    """A non-blocking UDP socket on a free port of loopback."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sock.bind(("127.0.0.1", 0))
    sock.setblocking(False)
    return sock
