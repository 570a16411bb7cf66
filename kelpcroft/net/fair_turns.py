"""Fair turns among connections: bounds the work that one peer's input can cause before others are read.

In each iteration the connections that are ready get a turn in the order in which they had their last one, so
that a peer whose turn uses up the time of an iteration is last in the next iteration.  In its turn a
connection is read a few times, and a read takes only as many bytes as the reads before it show to be little
work.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Final, Protocol, TypeVar

from kelpcroft.net.buffers import BUFFER_BYTES

MAX_MESSAGES_PER_READ: Final = 64  # a read with more messages ends the turn, and later reads are smaller
MIN_READ_BYTES: Final = 1_024  # lower bound of the size of a read
FIRST_CLIENT_READ_BYTES: Final = 8_192  # size of a client's first read, as nothing is known about the client
GROWTH_FACTOR: Final = 4  # the size of a read grows by this factor after a full read with few messages


class HasTurns(Protocol):
    """A connection that gets turns."""

    last_turn: int


T = TypeVar("T", bound=HasTurns)


def in_turn(ready: Iterable[tuple[T, int]]) -> list[tuple[T, int]]:
    """Returns ready connections, each with its events, in the order of their last turns, the oldest first."""
    return sorted(ready, key=_last_turn)


def _last_turn(ready: tuple[HasTurns, int]) -> int:
    return ready[0].last_turn


class ReadPacer:
    """Size of a connection's next read.

    Attributes:
        max_bytes: The maximum number of bytes that the next read may take.
        is_turn_over: The last read contained so many messages that the connection is not read again in this
            turn.
    """

    def __init__(self, first_read_bytes: int = BUFFER_BYTES) -> None:
        self.max_bytes = first_read_bytes
        self.is_turn_over = False

    def record(self, byte_count: int, message_count: int) -> None:
        """Adapts the size to a read of ``byte_count`` bytes that completed ``message_count`` messages."""
        self.is_turn_over = message_count > MAX_MESSAGES_PER_READ
        if self.is_turn_over:
            fitting_bytes = byte_count * MAX_MESSAGES_PER_READ // message_count
            self.max_bytes = max(MIN_READ_BYTES, fitting_bytes)
        elif byte_count >= self.max_bytes:
            self.max_bytes = min(BUFFER_BYTES, self.max_bytes * GROWTH_FACTOR)
