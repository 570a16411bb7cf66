"""Memory that an unfinished message of a client takes: hundreds of clients may hold one each."""

from __future__ import annotations

import tracemalloc

import msgpack
import pytest

from benchmarks.client_memory import unfinished_requests
from kelpcroft.net.client_codec import MAX_MESSAGE_BYTES, ClientCodec, ClientProtocolError

MAX_BYTES_PER_CLIENT = 4 * MAX_MESSAGE_BYTES  # 340 clients then hold 85 MB of 192 MB


@pytest.mark.parametrize("kind", unfinished_requests())
def test_an_unfinished_message_takes_no_more_than_a_few_times_its_bytes(kind: str) -> None:
    """Its values were created as they arrived: 60 KB of empty arrays took 4 MB, 1 KB of array heads 3 MB."""
    data = memoryview(unfinished_requests()[kind][:MAX_MESSAGE_BYTES])
    tracemalloc.start()
    try:
        codec = ClientCodec(1)
        for start in range(0, len(data), 8_192):
            assert codec.receive_data(data[start : start + 8_192]) == []
        held_bytes, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert codec.has_partial_message()
    assert held_bytes <= MAX_BYTES_PER_CLIENT


def test_a_message_that_stays_unfinished_is_rejected_at_its_limit() -> None:
    # Each array ends with the next one, and all their lengths are allowed.
    arrays = (b"\xdc\x04\x00" + b"\x90" * 1023) * (MAX_MESSAGE_BYTES // 1024)
    codec = ClientCodec(1)
    assert codec.receive_data(memoryview(arrays[:MAX_MESSAGE_BYTES])) == []
    with pytest.raises(ClientProtocolError, match="over 65536 bytes"):
        codec.receive_data(memoryview(arrays[MAX_MESSAGE_BYTES : MAX_MESSAGE_BYTES + 1]))


@pytest.mark.parametrize(
    "head",
    [
        b"\xdd\x00\xff\xff\xff",  # an array
        b"\xde\x00\x41",  # a map
        b"\xc5\xbb\x81",  # a binary
        b"\xda\x04\x01",  # a string
        b"\xc7\x01\x05",  # an extension
        b"\xc1",
    ],
)
def test_a_length_over_its_limit_is_rejected_with_its_head(head: bytes) -> None:
    with pytest.raises(ClientProtocolError):
        ClientCodec(1).receive_data(memoryview(b"\x94\x00" + head))


def test_a_message_split_at_every_byte_is_decoded_once() -> None:
    data = msgpack.packb([2, "cancel", [1, 2]]) * 2
    for split in range(1, len(data)):
        codec = ClientCodec(1)
        messages = codec.receive_data(memoryview(data[:split]))
        messages += codec.receive_data(memoryview(data[split:]))
        assert len(messages) == 2
        assert not codec.has_partial_message()
