"""A pool of reusable buffers of one size, and the output of a connection that is stored in them."""

from __future__ import annotations

import socket
from collections import deque
from typing import Final

from kelpcroft.core.messages import Body
from kelpcroft.invariants import check_invariant

BUFFER_BYTES: Final = 64 * 1024
MAX_CHUNKS_PER_WRITE: Final = 64  # chunks in one gathering write; the kernel accepts at most 1,024


class BufferPool:
    """A pool of reusable buffers; at most ``capacity`` of them are in use."""

    def __init__(self, capacity: int) -> None:
        self.capacity = capacity
        self.in_use = 0
        self.free: list[bytearray] = []

    def acquire(self) -> bytearray | None:
        """Returns a buffer, or None if all are in use."""
        if self.in_use >= self.capacity:
            return None
        self.in_use += 1
        return self.free.pop() if self.free else bytearray(BUFFER_BYTES)

    def release(self, buffer: bytearray) -> None:
        """Returns a buffer to the pool."""
        if check_invariant(self.in_use > 0 and len(buffer) == BUFFER_BYTES, "a buffer goes back once"):
            self.in_use -= 1
            self.free.append(buffer)


class WriteBuffer:
    """Output of one connection that has not been sent yet.

    Chunks added in this iteration are written without a copy.  The bytes that the kernel does not accept
    immediately are copied into pooled buffers, so that the pool bounds their memory.
    """

    def __init__(self, pool: BufferPool) -> None:
        self.pool = pool
        self.chunks: list[Body] = []  # chunks added since the last write
        self.stored: deque[bytearray] = deque()  # pooled buffers with unsent bytes
        self.start = 0  # first unsent byte in the first pooled buffer
        self.end = 0  # end of the used bytes in the last pooled buffer
        self.sent_bytes = 0  # total of the bytes that the kernel has accepted

    def add(self, chunks: list[Body] | tuple[Body, ...]) -> None:
        """Adds chunks to be written."""
        self.chunks += chunks

    def stored_bytes(self) -> int:
        """Returns the number of bytes in pooled buffers; chunks not yet passed to a write do not count."""
        return (len(self.stored) - 1) * BUFFER_BYTES + self.end - self.start if self.stored else 0

    def write(self, sock: socket.socket) -> bool:
        """Writes as much as the socket accepts, and stores the rest.

        Returns:
            False if the pool has no buffer left for the rest.

        Raises:
            OSError: The connection has failed.
        """
        if not self._write_stored(sock):
            return self._store(0, 0)
        chunks = self.chunks
        index = 0
        while index < len(chunks):
            batch = chunks[index : index + MAX_CHUNKS_PER_WRITE]
            try:
                sent = sock.sendmsg(batch)
            except BlockingIOError:
                return self._store(index, 0)
            self.sent_bytes += sent
            for chunk in batch:
                if sent < len(chunk):
                    return self._store(index, sent)
                sent -= len(chunk)
                index += 1
        self.chunks = []
        return True

    def _write_stored(self, sock: socket.socket) -> bool:
        """Writes the stored bytes; returns whether all of them are written."""
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
        """Copies unsent chunks into pooled buffers.

        Args:
            index: Index of the first unsent chunk.
            skipped_bytes: Bytes of that chunk that are already sent.

        Returns:
            False if the pool has no buffer left.
        """
        chunks = self.chunks[index:]
        self.chunks = []
        for chunk in chunks:
            view = memoryview(chunk)[skipped_bytes:]
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
        """Drops all output and returns its buffers to the pool."""
        while self.stored:
            self.pool.release(self.stored.popleft())
        self.chunks = []
