"""Clients' MessagePack-RPC: bytes in, messages out, and answers as bytes.  No socket here."""

from __future__ import annotations

import math
import re
from collections.abc import Iterable
from typing import Any

import msgpack

from kelpcroft.core.inputs import CancelRequest, ClientRequest, HealthRequest
from kelpcroft.core.messages import Body

NS_PER_MS = 1_000_000
BODY_MOST = 48_000  # bytes of a request's body
MESSAGE_MOST = 65_536  # bytes of a message; what nested lists make of them is some sixty times as much
FIELDS_MOST = 64  # fields of a request
TEXT_MOST = 1_024  # bytes of a field
MAX_OPEN_CALLS_PER_CLIENT = 32  # requests that a client may have open on one connection
PART_MOST, GROUP_MOST = 9_999, 255
PATIENCE_MOST_MS = 60_000
CANCELS_MOST = 1_024  # calls in one cancel
MAX_IDEMPOTENCY_KEY_CHARS = 128  # characters of an idempotency key
NONCE = re.compile(
    rf"[!-+\--<>-~]{{1,{MAX_IDEMPOTENCY_KEY_CHARS}}}"
)  # visible ASCII but for what parts servers' fields
SIZE_MOST_KB = 1e9
HEX = frozenset("0123456789abcdef")
EMPTY_MAP, SAME = b"\x80", msgpack.packb({"keep": "1"})


class ClientProtocolError(ValueError):
    """Bytes that are no message of this protocol."""


class Fields(dict[Any, Any]):
    """A map as it came, which knows of a key that stood in it twice: a dict keeps the last one only."""

    __slots__ = ("twice",)

    def __init__(self, pairs: Iterable[tuple[Any, Any]]) -> None:
        found = list(pairs)
        super().__init__(found)
        self.twice = len(self) < len(found) and [k for k, _ in found].count("nonce") > 1


class ClientCodec:
    """One client's connection."""

    def __init__(self, client: int, read_size: int) -> None:
        self.client, self.waited_ns = client, 0
        self.fed = self.whole = 0  # bytes taken in, and those of whole messages
        self.unpacker = msgpack.Unpacker(
            raw=False,
            read_size=4_096,
            max_buffer_size=MESSAGE_MOST + read_size,
            max_str_len=TEXT_MOST,
            max_bin_len=BODY_MOST,
            max_array_len=CANCELS_MOST,
            max_map_len=FIELDS_MOST,
            max_ext_len=0,
            object_pairs_hook=Fields,
        )

    def receive_data(
        self, data: memoryview, waited_ns: int = 0
    ) -> list[ClientRequest | CancelRequest | HealthRequest]:
        """The messages that these bytes complete.  Patience counts from the client's send: what they may have
        waited to be read is taken off it."""
        self.waited_ns = waited_ns
        self.fed += len(data)
        found: list[ClientRequest | CancelRequest | HealthRequest] = []
        unread: set[int] = set()  # calls that came with these bytes, so none is answered yet
        try:
            self.unpacker.feed(data)
            for raw in self.unpacker:
                self.whole = self.unpacker.tell()
                for one in self.message(raw):
                    found.append(one)
                    if isinstance(one, CancelRequest):
                        unread.discard(one.request_number)
                    else:
                        unread.add(one.request_number)
                        if len(unread) > MAX_OPEN_CALLS_PER_CLIENT:
                            raise ClientProtocolError(
                                f"more than {MAX_OPEN_CALLS_PER_CLIENT} requests at once"
                            )
        except ClientProtocolError:
            raise
        except Exception as error:  # msgpack raises many kinds, all of them for bytes that are not its own
            raise ClientProtocolError(f"{type(error).__name__}: {error}") from error
        if self.fed - self.whole > MESSAGE_MOST:
            raise ClientProtocolError(f"a message of more than {MESSAGE_MOST} bytes")
        return found

    def has_partial_message(self) -> bool:
        """Whether a message has begun and not ended."""
        return self.fed > self.whole

    def message(self, raw: Any) -> list[ClientRequest | CancelRequest | HealthRequest]:
        """One decoded message."""
        if isinstance(raw, list) and len(raw) == 3 and raw[0] == 2:
            if raw[1] == "cancel" and isinstance(raw[2], list) and all(type(x) is int for x in raw[2]):
                return [CancelRequest(self.client, x) for x in raw[2]]
        elif isinstance(raw, list) and len(raw) == 4 and raw[0] == 0:
            _, call, method, params = raw
            if (
                type(call) is int
                and 0 < call < 1 << 32
                and isinstance(method, str)
                and isinstance(params, list)
                and params
                and isinstance(params[0], dict)
            ):
                if method == "health":
                    return [HealthRequest(self.client, call)]
                if len(params) == 2 and isinstance(params[1], (bytes, str)):
                    return [self.call(call, method, params[0], params[1])]
        raise ClientProtocolError(f"not a request, a cancel or a health check: {str(raw)[:80]}")

    def call(self, call: int, cls: str, fields: dict[str, Any], body: bytes | str) -> ClientRequest:
        """A request's fields, each checked: what a server cannot use must not come to it in our name."""
        trace, item = self.hexadecimal(fields, "trace"), self.hexadecimal(fields, "entity")
        tag = self.hexadecimal(fields, "cached") if "cached" in fields else ""
        patience_ms = self.count(fields, "patience", None, PATIENCE_MOST_MS)
        if not patience_ms:
            raise ClientProtocolError("patience: is 0")
        number = self.count(fields, "block", "0", PART_MOST)
        nonce, fault = self.nonce(fields)
        return ClientRequest(
            client=self.client,
            request_number=call,
            request_class=cls,
            trace_id=trace,
            remaining_time_ns=patience_ms * NS_PER_MS - self.waited_ns,
            object_id=item,
            part_id=str(number),
            object_number=int(item, 16),
            part_number=number,
            group=self.count(fields, "family", "0", GROUP_MOST),
            is_retry=fields.get("redo") == "1",
            etag=tag,
            body=body.encode() if isinstance(body, str) else body,
            queued_ns=self.waited_ns,
            idempotency_key=nonce,
            size_kb=self.size(fields),
            validation_error=fault,
        )

    @staticmethod
    def nonce(fields: dict[str, Any]) -> tuple[str, str]:
        """The idempotency key, and why the request cannot be used where the key cannot: a server that read
        another key than the client meant would run a repeat as a new request."""
        text = fields.get("nonce")
        if text is None and "nonce" not in fields:
            return "", ""
        if getattr(fields, "twice", False):
            return "", "nonce: stands twice"
        if not isinstance(text, str) or not NONCE.fullmatch(text):
            return (
                "",
                f"nonce: {str(text)[:40]!r} is not 1 to {MAX_IDEMPOTENCY_KEY_CHARS} visible characters "
                "but , and =",
            )
        return text, ""

    @staticmethod
    def size(fields: dict[str, Any]) -> float:
        """The part's size in KB as the settings count; one that cannot be used is as none: it only helps."""
        text = fields.get("size")
        try:
            found = float(text) if isinstance(text, str) and len(text) <= 32 else 0.0
        except ValueError:
            return 0.0
        return found if math.isfinite(found) and 0 < found <= SIZE_MOST_KB else 0.0

    @staticmethod
    def hexadecimal(fields: dict[str, Any], key: str) -> str:
        """A field of hex digits."""
        text = fields.get(key)
        if not isinstance(text, str) or len(text) != 16 or not HEX.issuperset(text):
            raise ClientProtocolError(f"{key}: {str(text)[:40]!r} is not 16 hex digits")
        return text

    @staticmethod
    def count(fields: dict[str, Any], key: str, absent: str | None, most: int) -> int:
        """A field that counts something."""
        text = fields.get(key, absent)
        if not isinstance(text, str) or not text.isascii() or not text.isdigit() or len(text) > 12:
            raise ClientProtocolError(f"{key}: {str(text)[:40]!r} is not a whole number")
        if int(text) > most:
            raise ClientProtocolError(f"{key}: {text} is over {most}")
        return int(text)


def encode_response(call: int, body: Body, same: bool) -> tuple[Body, ...]:
    """A served answer, in pieces so that its bytes are not copied."""
    size = len(body)
    head = (
        b"\x94\x01"
        + msgpack.packb(call)
        + b"\xc0\x92"
        + (
            b"\xc4" + size.to_bytes(1, "big")
            if size < 1 << 8
            else b"\xc5" + size.to_bytes(2, "big")
            if size < 1 << 16
            else b"\xc6" + size.to_bytes(4, "big")
        )
    )
    return (head, body, SAME if same else EMPTY_MAP) if size else (head + (SAME if same else EMPTY_MAP),)


def encode_rejection(call: int, pause_ns: int) -> bytes:
    """A refusal; a pause is rounded up, so that nobody comes back early."""
    fields = {"pause": str(-(-pause_ns // NS_PER_MS))} if pause_ns > 0 else {}
    return bytes(msgpack.packb([1, call, ["Shed", fields], None]))


def encode_failure(call: int) -> bytes:
    """A failure."""
    return bytes(msgpack.packb([1, call, ["Fault", {}], None]))


def encode_health(call: int, fit: bool) -> bytes:
    """The answer to a health check."""
    return bytes(msgpack.packb([1, call, None, [fit, {}]]))
