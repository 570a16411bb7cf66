"""Codec of the clients' MessagePack-RPC: decodes messages and encodes responses.  No socket here.

A request is ``[0, call, method, [fields, body]]``, a cancel ``[2, "cancel", [call, ...]]``, a response
``[1, call, error, result]``, where ``call`` is the number of the request.  Fields have the names of the wire
(``entity``, ``patience``, ``nonce``); ``ClientCodec._convert_request`` maps them to the names of the code.
"""

from __future__ import annotations

import math
import re
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from typing import Any, Final

import msgpack

from kelpcroft.core.inputs import ClientRequest, HealthRequest
from kelpcroft.core.messages import Body
from kelpcroft.net.errors import ProtocolError
from kelpcroft.net.message_scanner import MessageLimits, MessageScanner

NS_PER_MS: Final = 1_000_000

# Size of one message.  Its decoded values may take some sixty times as much memory, so only complete messages
# are decoded, one at a time.
MAX_MESSAGE_BYTES: Final = 65_536
MAX_BODY_BYTES: Final = 48_000  # size of a request's body
MAX_FIELDS: Final = 64  # number of fields in a request
MAX_FIELD_BYTES: Final = 1_024  # length of a field, and of any other string in a message
MAX_REQUESTS_PER_READ: Final = 32  # requests without a cancel in the bytes of one read
MAX_REQUESTS_PER_CANCEL: Final = 1_024  # requests that one message may cancel
MAX_PART_NUMBER: Final = 9_999  # largest part number that a request may name
MAX_GROUP_NUMBER: Final = 255  # largest group number that a request may name
MAX_REMAINING_TIME_MS: Final = 60_000  # longest remaining time that a request may name
MAX_SIZE_KB: Final = 1e9  # a part's size over this is ignored
MAX_IDEMPOTENCY_KEY_CHARS: Final = 128  # length of an idempotency key
MAX_COUNT_DIGITS: Final = 12  # length of a numeric field
MAX_SIZE_CHARS: Final = 32  # length of the field with a part's size; a longer one is ignored
IDENTIFIER_CHARS: Final = 16  # length of the ids of objects, traces and copies: 64 bits as hex digits

# Visible ASCII except comma and equals sign, which separate the fields of a server's command.
IDEMPOTENCY_KEY = re.compile(rf"[!-+\--<>-~]{{1,{MAX_IDEMPOTENCY_KEY_CHARS}}}")
HEX_DIGITS = frozenset("0123456789abcdef")

# The kind of a message is its first element.
REQUEST: Final = 0
RESPONSE: Final = 1
NOTIFICATION: Final = 2
MESSAGE_LIMITS: Final = MessageLimits(MAX_FIELD_BYTES, MAX_BODY_BYTES, MAX_REQUESTS_PER_CANCEL, MAX_FIELDS)
NO_FIELDS = b"\x80"  # an empty map
NOT_MODIFIED_FIELDS = msgpack.packb({"keep": "1"})  # the client's copy is current


@dataclass(frozen=True, slots=True)
class CancelMessage:
    """A client cancels requests; it may name requests that are not open."""

    request_numbers: frozenset[int]


ClientMessage = ClientRequest | CancelMessage | HealthRequest


class ClientProtocolError(ProtocolError):
    """Bytes that are not a valid message of this protocol."""


class Fields(dict[Any, Any]):
    """A decoded map that records whether it contained the idempotency key twice.

    A plain dict keeps only the last value of a repeated key.
    """

    __slots__ = ("has_two_keys",)

    def __init__(self, pairs: Iterable[tuple[Any, Any]]) -> None:
        items = list(pairs)
        super().__init__(items)
        self.has_two_keys = len(self) < len(items) and [key for key, _ in items].count("nonce") > 1


class ClientCodec:
    """Decodes the messages of one client connection.

    A scanner finds the end of each message without creating its values: the values of an incomplete message
    may take far more memory than its bytes, for each of hundreds of connections.

    Attributes:
        partial: The bytes of the incomplete message.
    """

    def __init__(self, client: int) -> None:
        """Creates the codec of a new connection.

        Args:
            client: number of the connection, which each message contains.
        """
        self.client = client
        self.queued_ns = 0  # how long the bytes being decoded may have waited before they were read
        self.partial = bytearray()
        self.scanner = MessageScanner(MESSAGE_LIMITS)

    def receive_data(self, data: memoryview, queued_ns: int = 0) -> list[ClientMessage]:
        """Decodes bytes and returns the messages that they complete.

        Args:
            data: the bytes that were read; the codec keeps no reference to them.
            queued_ns: how long the bytes may have waited before they were read.  It is subtracted from the
                remaining time of each request, which counts from the moment the client sent the request.

        Raises:
            ClientProtocolError: the bytes are not valid messages, or a message is too large, or one read
                completes too many requests.
        """
        self.queued_ns = queued_ns
        try:
            messages = self._decode_messages(data)
        except ClientProtocolError:
            raise
        except ProtocolError as error:  # of the scanner
            raise ClientProtocolError(str(error)) from error
        except Exception as error:  # msgpack raises many types of exception, all of them for malformed bytes
            raise ClientProtocolError(f"{type(error).__name__}: {error}") from error
        return messages

    def _decode_messages(self, data: memoryview) -> list[ClientMessage]:
        """Returns all complete messages; together they may open ``MAX_REQUESTS_PER_READ`` requests."""
        messages: list[ClientMessage] = []
        open_requests: set[int] = set()  # requests in these bytes, none of which has a response yet
        for message_bytes in self._split_messages(data):
            message = self._convert_message(_decode(message_bytes))
            messages.append(message)
            if isinstance(message, CancelMessage):
                open_requests -= message.request_numbers
                continue
            open_requests.add(message.request_number)
            if len(open_requests) > MAX_REQUESTS_PER_READ:
                raise ClientProtocolError(f"more than {MAX_REQUESTS_PER_READ} requests at once")
        return messages

    def _split_messages(self, data: memoryview) -> Iterator[bytes]:
        """Yields the bytes of each complete message, and keeps those of an incomplete one.

        Raises:
            ProtocolError: A message is too large, or has a length over its limit.
        """
        partial = self.partial
        partial += data
        start = 0
        while start < len(partial) and self.scanner.scan(partial):
            end = self.scanner.position
            if end - start > MAX_MESSAGE_BYTES:
                break
            yield bytes(memoryview(partial)[start:end])
            start = end
            self.scanner.begin(start)
        if len(partial) - start > MAX_MESSAGE_BYTES:
            raise ClientProtocolError(f"a message is over {MAX_MESSAGE_BYTES} bytes")
        if start:
            self.partial = partial[start:]  # a copy, so that the memory of the complete messages is released
            self.scanner.position -= start

    def has_partial_message(self) -> bool:
        """Whether an incomplete message has been received."""
        return bool(self.partial)

    def missing_bytes(self) -> int:
        """Returns how many bytes complete the incomplete message; 0 if that is not known yet."""
        return self.scanner.missing_bytes(len(self.partial))

    def discard_partial_message(self) -> None:
        """Releases the bytes of an incomplete message, on a connection whose input is no longer decoded."""
        self.partial = bytearray()
        self.scanner.begin(0)

    def _convert_message(self, raw: Any) -> ClientMessage:
        """Converts one decoded message: a request, a health check or a cancel."""
        if isinstance(raw, list) and len(raw) == 3 and raw[0] == NOTIFICATION:
            if raw[1] == "cancel" and isinstance(raw[2], list) and all(type(x) is int for x in raw[2]):
                return CancelMessage(frozenset(raw[2]))
        elif isinstance(raw, list) and len(raw) == 4 and raw[0] == REQUEST:
            _, request_number, method, params = raw
            if (
                type(request_number) is int
                and 0 < request_number < 1 << 32
                and isinstance(method, str)
                and isinstance(params, list)
                and params
                and isinstance(params[0], dict)
            ):
                if method == "health":
                    return HealthRequest(self.client, request_number)
                if len(params) == 2 and isinstance(params[1], (bytes, str)):
                    return self._convert_request(request_number, method, params[0], params[1])
        raise ClientProtocolError(f"not a request, a cancel or a health check: {str(raw)[:80]}")

    def _convert_request(
        self, request_number: int, request_class: str, fields: dict[str, Any], body: bytes | str
    ) -> ClientRequest:
        """Converts a request and checks its fields: no server may receive a value that it cannot use."""
        trace_id = _parse_identifier(fields, "trace")
        object_id = _parse_identifier(fields, "entity")
        etag = _parse_identifier(fields, "cached") if "cached" in fields else ""
        remaining_time_ms = _parse_count(fields, "patience", None, MAX_REMAINING_TIME_MS)
        if not remaining_time_ms:
            raise ClientProtocolError("patience: is 0")
        part_number = _parse_count(fields, "block", "0", MAX_PART_NUMBER)
        idempotency_key, validation_error = _parse_idempotency_key(fields)
        return ClientRequest(
            client=self.client,
            request_number=request_number,
            request_class=request_class,
            trace_id=trace_id,
            remaining_time_ns=remaining_time_ms * NS_PER_MS - self.queued_ns,
            object_id=object_id,
            part_id=str(part_number),
            object_number=int(object_id, 16),
            part_number=part_number,
            group=_parse_count(fields, "family", "0", MAX_GROUP_NUMBER),
            is_retry=fields.get("redo") == "1",
            etag=etag,
            body=body.encode() if isinstance(body, str) else body,
            queued_ns=self.queued_ns,
            idempotency_key=idempotency_key,
            size_kb=_parse_size_kb(fields),
            validation_error=validation_error,
        )


def _decode(message_bytes: bytes) -> Any:
    """Decodes one complete message; raises one of many exceptions if it is malformed."""
    return msgpack.unpackb(
        message_bytes,
        raw=False,
        max_str_len=MAX_FIELD_BYTES,
        max_bin_len=MAX_BODY_BYTES,
        max_array_len=MAX_REQUESTS_PER_CANCEL,
        max_map_len=MAX_FIELDS,
        max_ext_len=0,
        object_pairs_hook=Fields,
    )


# Fields of a request --------------------------------------------------------------------------------------


def _parse_identifier(fields: dict[str, Any], key: str) -> str:
    """Returns a field of 16 hex digits."""
    text = fields.get(key)
    if not isinstance(text, str) or len(text) != IDENTIFIER_CHARS or not HEX_DIGITS.issuperset(text):
        raise ClientProtocolError(f"{key}: {str(text)[:40]!r} is not {IDENTIFIER_CHARS} hex digits")
    return text


def _parse_count(fields: dict[str, Any], key: str, default: str | None, maximum: int) -> int:
    """Returns the number in a field of decimal digits."""
    text = fields.get(key, default)
    if not isinstance(text, str) or not text.isascii() or not text.isdigit() or len(text) > MAX_COUNT_DIGITS:
        raise ClientProtocolError(f"{key}: {str(text)[:40]!r} is not a whole number")
    if int(text) > maximum:
        raise ClientProtocolError(f"{key}: {text} is over {maximum}")
    return int(text)


def _parse_idempotency_key(fields: dict[str, Any]) -> tuple[str, str]:
    """Returns the idempotency key, and the reason if it is invalid; the request is then invalid as well.

    If a server read another key than the client meant, it would run a repeated request as a new one.
    """
    text = fields.get("nonce")
    if text is None and "nonce" not in fields:
        return "", ""
    if getattr(fields, "has_two_keys", False):
        return "", "nonce: is given twice"
    if not isinstance(text, str) or not IDEMPOTENCY_KEY.fullmatch(text):
        allowed = f"1 to {MAX_IDEMPOTENCY_KEY_CHARS} visible characters except , and ="
        return "", f"nonce: {str(text)[:40]!r} is not {allowed}"
    return text, ""


def _parse_size_kb(fields: dict[str, Any]) -> float:
    """Returns the part's size in KB, in the unit of the settings; 0 if it is absent or cannot be used."""
    text = fields.get("size")
    if not isinstance(text, str) or len(text) > MAX_SIZE_CHARS:
        return 0.0
    try:
        size_kb = float(text)
    except ValueError:
        return 0.0
    return size_kb if math.isfinite(size_kb) and 0 < size_kb <= MAX_SIZE_KB else 0.0


# Responses ------------------------------------------------------------------------------------------------


def encode_response(request_number: int, body: Body, not_modified: bool) -> tuple[Body, ...]:
    """Encodes the response to a served request, in chunks so that the bytes of the body are not copied."""
    size = len(body)
    head = b"\x94\x01" + msgpack.packb(request_number) + b"\xc0\x92" + _encode_binary_header(size)
    fields = NOT_MODIFIED_FIELDS if not_modified else NO_FIELDS
    return (head, body, fields) if size else (head + fields,)


def _encode_binary_header(size: int) -> bytes:
    """Encodes the header of a MessagePack binary of ``size`` bytes: bin 8, bin 16 or bin 32."""
    if size < 1 << 8:
        return b"\xc4" + size.to_bytes(1, "big")
    if size < 1 << 16:
        return b"\xc5" + size.to_bytes(2, "big")
    return b"\xc6" + size.to_bytes(4, "big")


def encode_rejection(request_number: int, retry_after_ns: int) -> bytes:
    """Encodes the response to a rejected request.

    The time until a retry is rounded up to whole milliseconds, so that no client retries too early.
    """
    fields = {"pause": str(-(-retry_after_ns // NS_PER_MS))} if retry_after_ns > 0 else {}
    return bytes(msgpack.packb([RESPONSE, request_number, ["Shed", fields], None]))


def encode_failure(request_number: int) -> bytes:
    """Encodes the response to a failed request."""
    return bytes(msgpack.packb([RESPONSE, request_number, ["Fault", {}], None]))


def encode_health(request_number: int, is_ready: bool) -> bytes:
    """Encodes the response to a health check."""
    return bytes(msgpack.packb([RESPONSE, request_number, None, [is_ready, {}]]))
