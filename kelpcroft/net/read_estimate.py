"""Estimate of what a client has not read yet.

The kernel accepts output long before the client reads it: the output waits in the send buffer and in the
client's receive buffer, which the router cannot see.  A close takes effect for the client only once it has
read everything before the close, so requests that it sends until then are lost.
"""

from __future__ import annotations

import fcntl
import socket
import sys
import termios
from typing import Final

NS_PER_S: Final = 1_000_000_000
MIN_READ_BYTES_PER_S: Final = 750_000  # slow clients read up to 1 MB/s, and are assumed to read this much
MAX_UNREAD_NS: Final = 10 * NS_PER_S  # output that was sent this long ago counts as read or as abandoned
# Output that is read within this time counts as read: a request that crosses a close by 50 ms is sent again.
ON_ITS_WAY_NS: Final = 25_000_000
ON_ITS_WAY_BYTES: Final = 64 * 1024  # fewer unacknowledged bytes count as being on their way
INT_BYTES: Final = 4  # size of the result of TIOCOUTQ


class ReadEstimate:
    """When a client that reads MIN_READ_BYTES_PER_S has read everything that was sent to it.

    Attributes:
        sent_bytes: Total of the bytes that the kernel has accepted.
        last_sent_ns: When the kernel last accepted bytes.
        read_by_ns: When all of them are read.
    """

    def __init__(self) -> None:
        self.sent_bytes = 0
        self.last_sent_ns = 0
        self.read_by_ns = 0

    def record_sent(self, now: int, sent_bytes: int) -> None:
        """Records the total of the bytes that the kernel has accepted."""
        added_bytes = sent_bytes - self.sent_bytes
        if added_bytes <= 0:
            return
        self.sent_bytes = sent_bytes
        self.last_sent_ns = now
        read_by_ns = max(self.read_by_ns, now) + added_bytes * NS_PER_S // MIN_READ_BYTES_PER_S
        self.read_by_ns = min(read_by_ns, now + MAX_UNREAD_NS)

    def unread_bytes(self, now: int) -> int:
        """Returns how many bytes a slow client may not have read."""
        return max(0, self.read_by_ns - now) * MIN_READ_BYTES_PER_S // NS_PER_S

    def has_read_all(self, now: int, sock: socket.socket) -> bool:
        """Whether the client has read everything, or reads the rest while a close is on its way."""
        if now + ON_ITS_WAY_NS < self.read_by_ns:
            return False
        return now > self.last_sent_ns + MAX_UNREAD_NS or unacknowledged_bytes(sock) <= ON_ITS_WAY_BYTES


def unacknowledged_bytes(sock: socket.socket) -> int:
    """Returns how many bytes in the socket's send buffer the peer has not acknowledged; 0 if unknown."""
    return _queue_size(sock, termios.TIOCOUTQ)


def unread_bytes(sock: socket.socket) -> int:
    """Returns how many bytes wait in the socket's receive buffer; 0 if unknown."""
    return _queue_size(sock, termios.FIONREAD)


def _queue_size(sock: socket.socket, request: int) -> int:
    try:
        size = fcntl.ioctl(sock.fileno(), request, bytes(INT_BYTES))
    except (OSError, ValueError):
        return 0
    return int.from_bytes(size, sys.byteorder)
