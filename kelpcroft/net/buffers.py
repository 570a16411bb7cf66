"""Buffers of one size, used again from a pool, and what waits to be written in them."""

from __future__ import annotations

import socket
from collections import deque

from kelpcroft.core.messages import Body
from kelpcroft.invariants import holds

BUFFER_BYTES = 64 * 1024
PIECES_MOST = 64  # of one gathering write; the system takes 1,024


class BufferPool:
    """Hands buffers out and takes them back; ``most`` bounds those that are out."""

    def __init__(self, most: int) -> None:
        self.capacity, self.in_use = most, 0
        self.free: list[bytearray] = []

    def acquire(self) -> bytearray | None:
        """A buffer, or None when all are out."""
        if self.in_use >= self.capacity:
            return None
        self.in_use += 1
        return self.free.pop() if self.free else bytearray(BUFFER_BYTES)

    def release(self, buffer: bytearray) -> None:
        """A buffer comes back."""
        if holds(self.in_use > 0 and len(buffer) == BUFFER_BYTES, "a buffer goes back once"):
            self.in_use -= 1
            self.free.append(buffer)


class WriteBuffer:
    """Bytes for one connection.  Pieces of this turn of the loop are written straight from where they lie;
    what the system does not take at once is copied into pooled buffers, so that memory is counted there."""

    def __init__(self, pool: BufferPool) -> None:
        self.pool = pool
        self.pieces: list[Body] = []  # of this turn
        self.stored: deque[bytearray] = deque()  # pooled: the first from ``start``, the last up to ``end``
        self.start = self.end = 0
        self.sent_bytes = 0  # bytes that the system has taken, in all

    def add(self, pieces: list[Body] | tuple[Body, ...]) -> None:
        """More bytes to write."""
        self.pieces += pieces

    def size(self) -> int:
        """Bytes stored, those of this turn left out."""
        return (len(self.stored) - 1) * BUFFER_BYTES + self.end - self.start if self.stored else 0

    def write(self, sock: socket.socket) -> bool:
        """Write what the socket takes; False where the pool has no room for the rest.  May raise OSError."""
        while self.stored:
            last = len(self.stored) == 1
            view = memoryview(self.stored[0])[self.start : self.end if last else BUFFER_BYTES]
            try:
                sent = sock.send(view)
            except BlockingIOError:
                return self.store(0, 0)
            self.start += sent
            self.sent_bytes += sent
            if sent < len(view):
                return self.store(0, 0)
            self.pool.release(self.stored.popleft())
            self.start = 0
        pieces, at = self.pieces, 0
        while at < len(pieces):
            batch = pieces[at : at + PIECES_MOST]
            try:
                sent = sock.sendmsg(batch)
            except BlockingIOError:
                return self.store(at, 0)
            self.sent_bytes += sent
            for piece in batch:
                if sent < len(piece):
                    return self.store(at, sent)
                sent -= len(piece)
                at += 1
        self.pieces = []
        return True

    def store(self, at: int, skip: int) -> bool:
        """Copy the pieces from one on, less some bytes of it, into pooled buffers."""
        pieces, self.pieces = self.pieces[at:], []
        for piece in pieces:
            view = memoryview(piece)[skip:]
            skip = 0
            while view:
                if not self.stored or self.end == BUFFER_BYTES:
                    buffer = self.pool.acquire()
                    if buffer is None:
                        return False
                    if not self.stored:
                        self.start = 0
                    self.stored.append(buffer)
                    self.end = 0
                take = min(len(view), BUFFER_BYTES - self.end)
                self.stored[-1][self.end : self.end + take] = view[:take]
                self.end += take
                view = view[take:]
        return True

    def clear(self) -> None:
        """Give all buffers back."""
        while self.stored:
            self.pool.release(self.stored.popleft())
        self.pieces = []
