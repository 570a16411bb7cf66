"""The end of a message is found as by the decoder, however its bytes are split."""

from __future__ import annotations

from typing import Any

import msgpack
import pytest
from hypothesis import given
from hypothesis import strategies as st

from kelpcroft.net.client_codec import MESSAGE_LIMITS
from kelpcroft.net.errors import ProtocolError
from kelpcroft.net.message_scanner import MessageScanner

SCALARS = (
    st.none()
    | st.booleans()
    | st.integers(-(2**63), 2**64 - 1)
    | st.floats()
    | st.text(max_size=300)
    | st.binary(max_size=300)
)
VALUES = st.recursive(
    SCALARS,
    lambda inner: st.lists(inner, max_size=20) | st.dictionaries(st.text(max_size=40), inner, max_size=20),
    max_leaves=40,
)


@given(st.lists(VALUES, min_size=1, max_size=3), st.integers(1, 64))
def test_messages_split_anywhere_end_where_they_were_packed(values: list[Any], piece_bytes: int) -> None:
    packed = [bytes(msgpack.packb(value)) for value in values]
    stream, data, ends = b"".join(packed), bytearray(), []
    scanner = MessageScanner(MESSAGE_LIMITS)
    for start in range(0, len(stream), piece_bytes):
        data += stream[start : start + piece_bytes]
        while scanner.position < len(data) and scanner.scan(data):
            ends.append(scanner.position)
            scanner.begin(scanner.position)
    if len(ends) < len(packed) and scanner.scan(data):
        ends.append(scanner.position)
    assert ends == [len(b"".join(packed[: index + 1])) for index in range(len(packed))]


@given(st.binary(max_size=200))
def test_any_bytes_end_as_the_decoder_says_or_are_rejected(data: bytes) -> None:
    scanner = MessageScanner(MESSAGE_LIMITS)
    try:
        is_complete = bool(data) and scanner.scan(bytearray(data))
    except ProtocolError:
        return
    unpacker = msgpack.Unpacker(strict_map_key=False)
    unpacker.feed(data)
    try:
        unpacker.skip()
    except msgpack.OutOfData:
        assert not is_complete
    except ValueError:
        assert not is_complete, "the decoder rejects it when it is complete"
    else:
        assert is_complete
        assert scanner.position == unpacker.tell()


def test_the_missing_bytes_are_known_once_the_last_value_has_begun() -> None:
    message = bytes(msgpack.packb([0, 1, "page", [{"trace": "00"}, bytes(40_000)]]))
    scanner = MessageScanner(MESSAGE_LIMITS)
    assert not scanner.scan(bytearray(message[:10]))
    assert scanner.missing_bytes(10) == 0
    assert not scanner.scan(bytearray(message[:100]))
    assert scanner.missing_bytes(100) == len(message) - 100


def test_a_scanner_keeps_nothing_of_a_message() -> None:
    scanner = MessageScanner(MESSAGE_LIMITS)
    nested = b"\xdc\x04\x00" * 20_000
    assert not scanner.scan(bytearray(nested))
    assert set(vars(scanner)) == {"limits", "position", "missing_values"}


def test_a_float_in_a_message_is_skipped_by_its_size() -> None:
    for value in (1.5, 2**40, -(2**40), 255, -1):
        data = bytearray(msgpack.packb(value))
        scanner = MessageScanner(MESSAGE_LIMITS)
        assert scanner.scan(data)
        assert scanner.position == len(data)


def test_the_limits_are_those_of_the_decoder() -> None:
    with pytest.raises(ProtocolError):
        MessageScanner(MESSAGE_LIMITS).scan(bytearray(b"\xc6\x00\x00\xbb\x81"))
