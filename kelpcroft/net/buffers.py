"""Buffers of one size, used again from a pool, and what waits to be written in them."""

from __future__ import annotations

import socket
from collections import deque
from typing import Final

from kelpcroft.core.messages import Body
from kelpcroft.invariants import holds

BUFFER_BYTES: Final = 64 * 1024
MAX_PIECES_PER_WRITE: Final = 64  # of one gathering write; the system takes 1,024


class BufferPool:
    """Hands buffers out and takes them back; ``capacity`` bounds those that are out."""

    def __init__(self, capacity: int) -> None:
        self.capacity = capacity
        self.in_use = 0
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
    """Bytes that wait to be written on one connection.

    Pieces of this turn of the loop are written straight from where they lie; what the system does not take at
    once is copied into pooled buffers, so that memory is counted there.
    """

    def __init__(self, pool: BufferPool) -> None:
        self.pool = pool
        self.pieces: list[Body] = []  # of this turn
        self.stored: deque[bytearray] = deque()  # pooled: the first from ``start``, the last up to ``end``
        self.start = 0
        self.end = 0
        self.sent_bytes = 0  # that the system has taken, in all

    def add(self, pieces: list[Body] | tuple[Body, ...]) -> None:
        """Adds bytes to write."""
        self.pieces += pieces

    def stored_bytes(self) -> int:
        """How many bytes are stored, those of this turn left out."""
        return (len(self.stored) - 1) * BUFFER_BYTES + self.end - self.start if self.stored else 0

    def write(self, sock: socket.socket) -> bool:
        """Writes what the socket takes, and stores the rest.

        Returns:
            False where the pool has no room for the rest.

        Raises:
            OSError: the connection is broken.
        """
        if not self._write_stored(sock):
            return self._store(0, 0)
        pieces = self.pieces
        index = 0
        while index < len(pieces):
            batch = pieces[index : index + MAX_PIECES_PER_WRITE]
            try:
                sent = sock.sendmsg(batch)
            except BlockingIOError:
                return self._store(index, 0)
            self.sent_bytes += sent
            for piece in batch:
                if sent < len(piece):
                    return self._store(index, sent)
                sent -= len(piece)
                index += 1
        self.pieces = []
        return True

    def _write_stored(self, sock: socket.socket) -> bool:
        """Writes what is stored; returns whether all of it is written."""
        while self.stored:
            is_last = len(self.stored) == 1
            view = memoryview(self.stored[0])[self.start : self.end if is_last else BUFFER_BYTES]
            try:
                sent = sock.send(view)
            except BlockingIOError:
                return False
            self.start += sent
            self.sent_bytes += sent
            if sent < len(view):
                return False
            self.pool.release(self.stored.popleft())
            self.start = 0
        return True

    def _store(self, index: int, skipped_bytes: int) -> bool:
        """Copies the pieces from one on, less some bytes of it, into pooled buffers; False without room."""
        pieces = self.pieces[index:]
        self.pieces = []
        for piece in pieces:
            view = memoryview(piece)[skipped_bytes:]
            skipped_bytes = 0
            while view:
                if not self.stored or self.end == BUFFER_BYTES:
                    buffer = self.pool.acquire()
                    if buffer is None:
                        return False
                    if not self.stored:
                        self.start = 0
                    self.stored.append(buffer)
                    self.end = 0
                count = min(len(view), BUFFER_BYTES - self.end)
                self.stored[-1][self.end : self.end + count] = view[:count]
                self.end += count
                view = view[count:]
        return True

    def clear(self) -> None:
        """Gives all buffers back."""
        while self.stored:
            self.pool.release(self.stored.popleft())
        self.pieces = []
