"""A pool of reusable buffers of one size, and the output of a connection that is stored in them."""

from __future__ import annotations

import socket
from collections import deque
from collections.abc import Callable
from itertools import islice
from typing import Final

from kelpcroft.core.messages import Body
from kelpcroft.invariants import check_invariant

BUFFER_BYTES: Final = 64 * 1024  # size of the buffer into which sockets are read
STORED_BUFFER_BYTES: Final = 4 * 1024  # size of a pooled buffer; hundreds of clients may use a part of one
MAX_CHUNKS_PER_WRITE: Final = 64  # chunks in one gathering write; the kernel accepts at most 1,024


class BufferPool:
    """A pool of reusable buffers; at most ``capacity`` of them are in use."""

    def __init__(self, capacity: int) -> None:
        self.capacity = capacity
        self.in_use = 0
        self.free: list[bytearray] = []
        # Called when all buffers are in use; returns whether it has released some.
        self.reclaim: Callable[[], bool] | None = None

    def acquire(self) -> bytearray | None:
        """Returns a buffer, or None if all are in use and none can be reclaimed."""
        while self.in_use >= self.capacity:
            if self.reclaim is None or not self.reclaim():
                return None
        self.in_use += 1
        return self.free.pop() if self.free else bytearray(STORED_BUFFER_BYTES)

    def used_bytes(self) -> int:
        """Returns the size of the buffers in use."""
        return self.in_use * STORED_BUFFER_BYTES

    def free_bytes(self) -> int:
        """Returns the size of the buffers that are not in use."""
        return (self.capacity - self.in_use) * STORED_BUFFER_BYTES

    def set_limit(self, byte_count: int) -> None:
        """Changes the size of all buffers together; those in use stay in use."""
        self.capacity = byte_count // STORED_BUFFER_BYTES
        del self.free[max(0, self.capacity - self.in_use) :]

    def release(self, buffer: bytearray) -> None:
        """Returns a buffer to the pool."""
        if check_invariant(self.in_use > 0 and len(buffer) == STORED_BUFFER_BYTES, "a buffer goes back once"):
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
        return (len(self.stored) - 1) * STORED_BUFFER_BYTES + self.end - self.start if self.stored else 0

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
            views = self._first_stored()
            try:
                sent = sock.sendmsg(views)
            except BlockingIOError:
                return False
            self.sent_bytes += sent
            is_partial = sent < sum(map(len, views))
            for view in views:
                if sent < len(view):
                    self.start += sent
                    break
                sent -= len(view)
                self.pool.release(self.stored.popleft())
                self.start = 0
            if is_partial:
                return False
        return True

    def _first_stored(self) -> list[memoryview]:
        """Returns the unsent bytes of the first pooled buffers."""
        views = [memoryview(buffer) for buffer in islice(self.stored, MAX_CHUNKS_PER_WRITE)]
        if len(views) == len(self.stored):
            views[-1] = views[-1][: self.end]
        views[0] = views[0][self.start :]
        return views

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
                if not self.stored or self.end == STORED_BUFFER_BYTES:
                    buffer = self.pool.acquire()
                    if buffer is None:
                        return False
                    if not self.stored:
                        self.start = 0
                    self.stored.append(buffer)
                    self.end = 0
                count = min(len(view), STORED_BUFFER_BYTES - self.end)
                self.stored[-1][self.end : self.end + count] = view[:count]
                self.end += count
                view = view[count:]
        return True

    def clear(self) -> None:
        """Drops all output and returns its buffers to the pool."""
        while self.stored:
            self.pool.release(self.stored.popleft())
        self.chunks = []
