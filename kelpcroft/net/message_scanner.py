"""Finds the end of a MessagePack message whose bytes arrive in pieces.

The scanner holds a few numbers, not the values or the bytes of the message: hundreds of clients may each have
an incomplete message.  A length over its limit is rejected with the head that states it, as the message would
be rejected when it is complete.  The format is that of the MessagePack specification.
"""

from __future__ import annotations

from typing import Final

from kelpcroft.net.errors import ProtocolError

# First bytes of the values whose head has more than one byte, or that need a check.
NEVER_USED: Final = 0xC1
BINARY_8: Final = 0xC4
EXTENSION_8: Final = 0xC7
FLOAT_32: Final = 0xCA
STRING_8: Final = 0xD9
ARRAY_16: Final = 0xDC
MAP_16: Final = 0xDE
# Payload of the numbers: float 32 and 64, uint 8 to 64, int 8 to 64.
NUMBER_BYTES: Final = (4, 8, 1, 2, 4, 8, 1, 2, 4, 8)


class MessageLimits:
    """Limits of the values in a message.

    Attributes:
        string_bytes: Length of a string.
        binary_bytes: Length of a binary.
        array_values: Number of values in an array.
        map_pairs: Number of pairs in a map.
    """

    def __init__(self, string_bytes: int, binary_bytes: int, array_values: int, map_pairs: int) -> None:
        self.string_bytes = string_bytes
        self.binary_bytes = binary_bytes
        self.array_values = array_values
        self.map_pairs = map_pairs


class MessageScanner:
    """Scans the messages of one connection, one after the other.

    Attributes:
        position: Where the next head is expected in the bytes of the message; it may be behind their end.
        missing_values: How many values the message still needs; 0 = it ends at ``position``.
    """

    def __init__(self, limits: MessageLimits) -> None:
        self.limits = limits
        self.position = 0
        self.missing_values = 1

    def begin(self, start: int) -> None:
        """Expects the first byte of a message at an index of the data."""
        self.position = start
        self.missing_values = 1

    def missing_bytes(self, size: int) -> int:
        """Returns how many bytes after the first ``size`` complete the message; 0 if it is not known yet."""
        return 0 if self.missing_values else self.position - size

    def scan(self, data: bytearray) -> bool:
        """Scans the data from where the last call has stopped; returns whether the message is complete.

        Raises:
            ProtocolError: The message will be invalid, whatever follows.
        """
        size = len(data)
        while self._skip_short(data, size):
            head = data[self.position]
            if head >= 0xC0:
                if not self._scan_long_head(data, head):
                    return False
            elif head >= 0x90:
                self._open(1, head & 0x0F, self.limits.array_values)
            else:
                self._open(1, 2 * (head & 0x0F), 2 * self.limits.map_pairs)
        return not self.missing_values and self.position <= size

    def _skip_short(self, data: bytearray, size: int) -> bool:
        """Moves behind small numbers and short strings; returns whether other values follow.

        A client may send tens of thousands of them, so they are skipped in one loop.
        """
        position, missing_values = self.position, self.missing_values
        while missing_values and position < size:
            head = data[position]
            if 0xA0 <= head < 0xC0:
                position += 1 + (head & 0x1F)
            elif head < 0x80 or head >= 0xE0:
                position += 1
            else:
                break
            missing_values -= 1
        self.position, self.missing_values = position, missing_values
        return missing_values > 0 and position < size

    def _skip(self, byte_count: int) -> None:
        """Moves behind a value."""
        self.position += byte_count
        self.missing_values -= 1

    def _open(self, head_bytes: int, values: int, max_values: int) -> None:
        """Moves behind the head of an array or a map."""
        if values > max_values:
            raise ProtocolError(f"{values} values in an array or a map are over {max_values}")
        self.position += head_bytes
        self.missing_values += values - 1

    def _skip_bytes(self, head_bytes: int, length: int, max_length: int) -> None:
        """Moves behind a string or a binary."""
        if length > max_length:
            raise ProtocolError(f"a string of {length} bytes is over {max_length} bytes")
        self._skip(head_bytes + length)

    def _scan_long_head(self, data: bytearray, head: int) -> bool:
        """Scans a value whose first byte does not state its length; returns False if the head is cut."""
        if head == NEVER_USED:
            raise ProtocolError("the byte 0xc1 begins no value")
        if head < BINARY_8:  # nil, false, true
            self._skip(1)
        elif head < EXTENSION_8:
            return self._scan_sized(data, 1 << (head - BINARY_8), head)
        elif head < FLOAT_32 or 0xD4 <= head < STRING_8:
            raise ProtocolError("an extension type")
        elif head < 0xD4:
            self._skip(1 + NUMBER_BYTES[head - FLOAT_32])
        elif head < ARRAY_16:
            return self._scan_sized(data, 1 << (head - STRING_8), head)
        else:
            return self._scan_sized(data, 4 if head & 1 else 2, head)
        return True

    def _scan_sized(self, data: bytearray, length_bytes: int, head: int) -> bool:
        """Scans a value with a length of ``length_bytes`` bytes; returns False if the length is cut."""
        end = self.position + 1 + length_bytes
        if end > len(data):
            return False
        length = int.from_bytes(data[self.position + 1 : end], "big")
        if head < EXTENSION_8:
            self._skip_bytes(1 + length_bytes, length, self.limits.binary_bytes)
        elif head < ARRAY_16:
            self._skip_bytes(1 + length_bytes, length, self.limits.string_bytes)
        elif head < MAP_16:
            self._open(1 + length_bytes, length, self.limits.array_values)
        else:
            self._open(1 + length_bytes, 2 * length, 2 * self.limits.map_pairs)
        return True
