"""Clients' MessagePack-RPC: bytes in, messages out, and answers as bytes.  No socket here.

A request is ``[0, call, method, [fields, body]]``, a cancel ``[2, "cancel", [call, ...]]``, an answer
``[1, call, error, result]``.  The names of fields are those of the wire (``entity``, ``patience``,
``nonce``); what they are called in the code is in ``ClientCodec._request``.
"""

from __future__ import annotations

import math
import re
from collections.abc import Iterable
from typing import Any, Final

import msgpack

from kelpcroft.core.inputs import CancelRequest, ClientRequest, HealthRequest
from kelpcroft.core.messages import Body
from kelpcroft.net.errors import ProtocolError

NS_PER_MS: Final = 1_000_000

MAX_MESSAGE_BYTES: Final = 65_536  # what nested lists make of them in memory is some sixty times as much
MAX_BODY_BYTES: Final = 48_000  # of a request
MAX_FIELDS: Final = 64  # of a request
MAX_FIELD_BYTES: Final = 1_024
MAX_OPEN_CALLS_PER_CLIENT: Final = 32  # requests that a client may have open on one connection
MAX_CALLS_PER_CANCEL: Final = 1_024
MAX_PART_NUMBER: Final = 9_999
MAX_GROUP_NUMBER: Final = 255
MAX_REMAINING_TIME_MS: Final = 60_000
MAX_SIZE_KB: Final = 1e9
MAX_IDEMPOTENCY_KEY_CHARS: Final = 128
MAX_COUNT_DIGITS: Final = 12
MAX_SIZE_CHARS: Final = 32
IDENTIFIER_CHARS: Final = 16  # of objects, traces and copies: 64 bits as hex digits
UNPACKER_READ_BYTES: Final = 4_096

# Visible ASCII but for the two characters that part servers' fields.
IDEMPOTENCY_KEY = re.compile(rf"[!-+\--<>-~]{{1,{MAX_IDEMPOTENCY_KEY_CHARS}}}")
HEX_DIGITS = frozenset("0123456789abcdef")

REQUEST: Final = 0  # the first element of a message
ANSWER: Final = 1
NOTIFICATION: Final = 2
NO_FIELDS = b"\x80"  # an empty map
NOT_MODIFIED_FIELDS = msgpack.packb({"keep": "1"})  # the copy that the client holds is the one

ClientMessage = ClientRequest | CancelRequest | HealthRequest


class ClientProtocolError(ProtocolError):
    """Bytes that are no message of this protocol."""


class Fields(dict[Any, Any]):
    """A map as it came, which knows whether an idempotency key stood in it twice.

    A dict keeps the last one only.
    """

    __slots__ = ("has_two_keys",)

    def __init__(self, pairs: Iterable[tuple[Any, Any]]) -> None:
        found = list(pairs)
        super().__init__(found)
        self.has_two_keys = len(self) < len(found) and [key for key, _ in found].count("nonce") > 1


class ClientCodec:
    """The messages of one client's connection."""

    def __init__(self, client: int, read_size: int) -> None:
        """Begins at the start of a connection.

        Args:
            client: the connection's number, which goes into each message.
            read_size: bytes that ``receive_data`` is given at once, at the most.
        """
        self.client = client
        self.queued_ns = 0  # how long the bytes being decoded may have waited to be read
        self.received_bytes = 0
        self.decoded_bytes = 0  # of those, in whole messages
        self.unpacker = msgpack.Unpacker(
            raw=False,
            read_size=UNPACKER_READ_BYTES,
            max_buffer_size=MAX_MESSAGE_BYTES + read_size,
            max_str_len=MAX_FIELD_BYTES,
            max_bin_len=MAX_BODY_BYTES,
            max_array_len=MAX_CALLS_PER_CANCEL,
            max_map_len=MAX_FIELDS,
            max_ext_len=0,
            object_pairs_hook=Fields,
        )

    def receive_data(self, data: memoryview, queued_ns: int = 0) -> list[ClientMessage]:
        """The messages that these bytes complete.

        Args:
            data: what was read; nothing of it is kept by reference.
            queued_ns: how long they may have waited to be read: a request's remaining time counts from the
                client's send, so this is taken off it.

        Raises:
            ClientProtocolError: they are no messages, or too many or too large ones.
        """
        self.queued_ns = queued_ns
        self.received_bytes += len(data)
        try:
            self.unpacker.feed(data)
            messages = self._whole_messages()
        except ClientProtocolError:
            raise
        except Exception as error:  # msgpack raises many kinds, all of them for bytes that are not its own
            raise ClientProtocolError(f"{type(error).__name__}: {error}") from error
        if self.received_bytes - self.decoded_bytes > MAX_MESSAGE_BYTES:
            raise ClientProtocolError(f"a message of more than {MAX_MESSAGE_BYTES} bytes")
        return messages

    def _whole_messages(self) -> list[ClientMessage]:
        """What the unpacker has whole; at most so many requests at once as a client may have open."""
        messages: list[ClientMessage] = []
        open_calls: set[int] = set()  # that came with these bytes, so none is answered yet
        for raw in self.unpacker:
            self.decoded_bytes = self.unpacker.tell()
            for message in self._messages(raw):
                messages.append(message)
                if isinstance(message, CancelRequest):
                    open_calls.discard(message.request_number)
                    continue
                open_calls.add(message.request_number)
                if len(open_calls) > MAX_OPEN_CALLS_PER_CLIENT:
                    raise ClientProtocolError(f"more than {MAX_OPEN_CALLS_PER_CLIENT} requests at once")
        return messages

    def has_partial_message(self) -> bool:
        """Whether a message has begun and not ended."""
        return self.received_bytes > self.decoded_bytes

    def _messages(self, raw: Any) -> list[ClientMessage]:
        """What one decoded message says: one thing, or a cancel of several requests."""
        if isinstance(raw, list) and len(raw) == 3 and raw[0] == NOTIFICATION:
            if raw[1] == "cancel" and isinstance(raw[2], list) and all(type(x) is int for x in raw[2]):
                return [CancelRequest(self.client, number) for number in raw[2]]
        elif isinstance(raw, list) and len(raw) == 4 and raw[0] == REQUEST:
            _, number, method, params = raw
            if (
                type(number) is int
                and 0 < number < 1 << 32
                and isinstance(method, str)
                and isinstance(params, list)
                and params
                and isinstance(params[0], dict)
            ):
                if method == "health":
                    return [HealthRequest(self.client, number)]
                if len(params) == 2 and isinstance(params[1], (bytes, str)):
                    return [self._request(number, method, params[0], params[1])]
        raise ClientProtocolError(f"not a request, a cancel or a health check: {str(raw)[:80]}")

    def _request(
        self, number: int, request_class: str, fields: dict[str, Any], body: bytes | str
    ) -> ClientRequest:
        """A request's fields, each checked: what a server cannot use must not come to it in our name."""
        trace_id = _identifier(fields, "trace")
        object_id = _identifier(fields, "entity")
        etag = _identifier(fields, "cached") if "cached" in fields else ""
        remaining_time_ms = _count(fields, "patience", None, MAX_REMAINING_TIME_MS)
        if not remaining_time_ms:
            raise ClientProtocolError("patience: is 0")
        part_number = _count(fields, "block", "0", MAX_PART_NUMBER)
        idempotency_key, validation_error = _idempotency_key(fields)
        return ClientRequest(
            client=self.client,
            request_number=number,
            request_class=request_class,
            trace_id=trace_id,
            remaining_time_ns=remaining_time_ms * NS_PER_MS - self.queued_ns,
            object_id=object_id,
            part_id=str(part_number),
            object_number=int(object_id, 16),
            part_number=part_number,
            group=_count(fields, "family", "0", MAX_GROUP_NUMBER),
            is_retry=fields.get("redo") == "1",
            etag=etag,
            body=body.encode() if isinstance(body, str) else body,
            queued_ns=self.queued_ns,
            idempotency_key=idempotency_key,
            size_kb=_size_kb(fields),
            validation_error=validation_error,
        )


# Fields of a request --------------------------------------------------------------------------------------


def _identifier(fields: dict[str, Any], key: str) -> str:
    """A field of 16 hex digits."""
    text = fields.get(key)
    if not isinstance(text, str) or len(text) != IDENTIFIER_CHARS or not HEX_DIGITS.issuperset(text):
        raise ClientProtocolError(f"{key}: {str(text)[:40]!r} is not {IDENTIFIER_CHARS} hex digits")
    return text


def _count(fields: dict[str, Any], key: str, default: str | None, maximum: int) -> int:
    """A field that counts something, as decimal digits."""
    text = fields.get(key, default)
    if not isinstance(text, str) or not text.isascii() or not text.isdigit() or len(text) > MAX_COUNT_DIGITS:
        raise ClientProtocolError(f"{key}: {str(text)[:40]!r} is not a whole number")
    if int(text) > maximum:
        raise ClientProtocolError(f"{key}: {text} is over {maximum}")
    return int(text)


def _idempotency_key(fields: dict[str, Any]) -> tuple[str, str]:
    """The idempotency key, and why the request cannot be used where the key cannot.

    A server that read another key than the client meant would run a repeat as a new request.
    """
    text = fields.get("nonce")
    if text is None and "nonce" not in fields:
        return "", ""
    if getattr(fields, "has_two_keys", False):
        return "", "nonce: stands twice"
    if not isinstance(text, str) or not IDEMPOTENCY_KEY.fullmatch(text):
        allowed = f"1 to {MAX_IDEMPOTENCY_KEY_CHARS} visible characters but , and ="
        return "", f"nonce: {str(text)[:40]!r} is not {allowed}"
    return text, ""


def _size_kb(fields: dict[str, Any]) -> float:
    """The part's size in KB as the settings count; 0 where it is absent or cannot be used."""
    text = fields.get("size")
    if not isinstance(text, str) or len(text) > MAX_SIZE_CHARS:
        return 0.0
    try:
        size_kb = float(text)
    except ValueError:
        return 0.0
    return size_kb if math.isfinite(size_kb) and 0 < size_kb <= MAX_SIZE_KB else 0.0


# Answers --------------------------------------------------------------------------------------------------


def encode_response(request_number: int, body: Body, not_modified: bool) -> tuple[Body, ...]:
    """The answer to a request that was served, in pieces so that the body's bytes are not copied."""
    size = len(body)
    head = b"\x94\x01" + msgpack.packb(request_number) + b"\xc0\x92" + _binary_head(size)
    fields = NOT_MODIFIED_FIELDS if not_modified else NO_FIELDS
    return (head, body, fields) if size else (head + fields,)


def _binary_head(size: int) -> bytes:
    """What goes before so many bytes of a MessagePack binary: bin 8, bin 16 or bin 32."""
    if size < 1 << 8:
        return b"\xc4" + size.to_bytes(1, "big")
    if size < 1 << 16:
        return b"\xc5" + size.to_bytes(2, "big")
    return b"\xc6" + size.to_bytes(4, "big")


def encode_rejection(request_number: int, retry_after_ns: int) -> bytes:
    """The answer to a request that was rejected; a pause is rounded up, so that nobody comes back early."""
    fields = {"pause": str(-(-retry_after_ns // NS_PER_MS))} if retry_after_ns > 0 else {}
    return bytes(msgpack.packb([ANSWER, request_number, ["Shed", fields], None]))


def encode_failure(request_number: int) -> bytes:
    """The answer to a request that has failed."""
    return bytes(msgpack.packb([ANSWER, request_number, ["Fault", {}], None]))


def encode_health(request_number: int, is_ready: bool) -> bytes:
    """The answer to a health check."""
    return bytes(msgpack.packb([ANSWER, request_number, None, [is_ready, {}]]))
