"""Codec of the servers' RESP: encodes commands and decodes responses.  No socket here.

The parser is part of this module because the reader of hiredis allocates a list of whatever length the header
of an array states: a dozen bytes from a faulty peer made it request 7 GB of memory
(docs/design/architecture-history.md).  A response is always four strings (the attempt's id, an outcome word,
fields and the body), so no other types of RESP need to be supported.
"""

from __future__ import annotations

import re
from functools import lru_cache
from itertools import product
from typing import Final

from kelpcroft.core.effects import CancelAttempt, SendAttempt, SendHealthCheck
from kelpcroft.core.inputs import ServerResponse
from kelpcroft.core.messages import Body
from kelpcroft.decision.interface import FillResult, Outcome
from kelpcroft.net.errors import ProtocolError

NS_PER_MS: Final = 1_000_000

MAX_HEAD_BYTES: Final = 4_096  # size of a response without its body
MAX_HEAD_LINES: Final = 8  # lines of a response without its body
MAX_BODY_BYTES: Final = 262_144  # size of a response's body; an object has at most 240,000 bytes
# A longer last string of a command is not copied: it stays a chunk of its own.
MAX_COPIED_BYTES: Final = 1_024
MAX_CACHED_REPORTS: Final = 256  # parsed load reports that are kept for reuse

# The first bytes of every response.
HEAD_START = b"*4\r\n$"
# A response up to its body: three strings, each after its length, and the length of the body.
HEAD = re.compile(rb"\*4\r\n" + rb"\$(\d{1,6})\r\n([^\r\n]*)\r\n" * 3 + rb"\$(\d{1,6})\r\n")
NOT_MODIFIED_WORD: Final = "KEEP"  # the client's copy is current
OUTCOMES = {
    "DONE": Outcome.OK,
    NOT_MODIFIED_WORD: Outcome.OK,
    "LACK": Outcome.MISS,
    "WAIT": Outcome.FULL,
    "BROKE": Outcome.ERROR,
    "PAST": Outcome.MOOT,
    "FIT": Outcome.OK,
    "UNFIT": Outcome.ERROR,
}
FILL_RESULTS = {
    "mem": FillResult.HIT,
    "parent": FillResult.FILLED,
    "origin": FillResult.FILLED_FROM_ORIGIN,
    "shared": FillResult.JOINED,
    "old": FillResult.STALE,
    "denied": FillResult.SOURCE_REFUSED,
    "unreached": FillResult.SOURCE_BROKE,
    "absent": FillResult.SOURCE_LACKS,
    "crowded": FillResult.NO_FILL_PLACE,
    "behind": FillResult.ORIGIN_FAILED,
}
# An attempt's options on the wire, keyed by (join_fill, cached_only, no_parent_copy, refresh_in_background).
OPTIONS = {
    flags: "+".join(letter for letter, flag in zip("jhnr", flags, strict=True) if flag)
    for flags in product((False, True), repeat=4)
}


class ServerProtocolError(ProtocolError):
    """Bytes that are not a valid response of this protocol."""


# Commands -------------------------------------------------------------------------------------------------


def encode_attempt(attempt: SendAttempt) -> list[Body]:
    """Encodes the command that sends an attempt."""
    fields = [
        f"cls={attempt.request_class}",
        f"item={attempt.object_id}",
        f"chunk={attempt.part_id}",
        f"limit={attempt.timeout_ms}",
    ]
    if attempt.idempotency_key:
        fields.append(f"nonce={attempt.idempotency_key}")
    if attempt.source:
        fields.append(f"next={attempt.source}")
    if attempt.retention_rank:
        fields.append(f"admit={attempt.retention_rank}")
    if attempt.max_age_ms:
        fields.append(f"agelim={attempt.max_age_ms}")
    options = OPTIONS[
        attempt.join_fill, attempt.cached_only, attempt.no_parent_copy, attempt.refresh_in_background
    ]
    if options:
        fields.append(f"ways={options}")
    if attempt.etag:
        fields.append(f"cached={attempt.etag}")
    return _encode_command(b"PULL", attempt.attempt_id.encode(), ",".join(fields).encode(), attempt.body)


def encode_cancel(cancel: CancelAttempt) -> list[Body]:
    """Encodes the command that cancels an attempt."""
    return _encode_command(b"KILL", cancel.attempt_id.encode())


def encode_health_check(health_check: SendHealthCheck) -> list[Body]:
    """Encodes the command that requests a health check."""
    return _encode_command(b"METER", health_check.attempt_id.encode())


def _encode_command(*strings: Body) -> list[Body]:
    """Encodes a RESP array; a long last string stays a chunk of its own, so that its bytes are not copied."""
    head = b"*%d\r\n" % len(strings)
    for string in strings[:-1]:
        head += b"$%d\r\n%s\r\n" % (len(string), string)
    last_string = strings[-1]
    head += b"$%d\r\n" % len(last_string)
    return (
        [head, last_string, b"\r\n"]
        if len(last_string) > MAX_COPIED_BYTES
        else [head + last_string + b"\r\n"]
    )


# Responses ------------------------------------------------------------------------------------------------


class ServerCodec:
    """Decodes the responses on one server connection."""

    def __init__(self, connection: int) -> None:
        """``connection``: number of the connection, which each response contains."""
        self.connection = connection
        self.head = b""  # the incomplete head of the next response
        # Attempt id, outcome word and fields of the response whose body is being received.
        self.strings = ("", "", "")
        self.body: bytearray | None = None  # the body being received, with its line end
        self.received_bytes = 0  # how many bytes of the body have been received
        self.error = ""  # why no further response can be decoded; empty if one can

    def receive_data(self, data: memoryview) -> list[ServerResponse]:
        """Decodes bytes and returns the responses that they complete.

        Responses ahead of malformed bytes are valid; ``error`` then gives the reason why the connection
        cannot be used any longer.
        """
        responses: list[ServerResponse] = []
        try:
            self._decode(data, responses)
        except ServerProtocolError as error:
            self.error = str(error)
        return responses

    def has_partial_message(self) -> bool:
        """Whether an incomplete response has been received."""
        return self.body is not None or bool(self.head)

    def _decode(self, data: memoryview, responses: list[ServerResponse]) -> None:
        """Adds the responses that these bytes complete to the list, also those ahead of malformed bytes.

        Raises:
            ServerProtocolError: some of the bytes are malformed.
        """
        offset = 0
        while offset < len(data):
            body = self.body
            if body is None:
                offset += self._read_head(data[offset : offset + MAX_HEAD_BYTES])
                continue
            byte_count = min(len(data) - offset, len(body) - self.received_bytes)
            body[self.received_bytes : self.received_bytes + byte_count] = data[offset : offset + byte_count]
            self.received_bytes += byte_count
            offset += byte_count
            if self.received_bytes == len(body):
                # The next byte is checked as well: a body whose stated length is four bytes too large takes
                # the first line of the next response ("*4" and its line end), so it ends in a line end too.
                if not body.endswith(b"\r\n") or bytes(data[offset : offset + 1]) not in (b"", b"*"):
                    raise ServerProtocolError("a body does not end at its stated length")
                del body[-2:]
                responses.append(self._convert_response(body))
                self.body = None

    def _read_head(self, data: memoryview) -> int:
        """Decodes a response's head, up to its body; returns how many of these bytes belong to it."""
        buffered_bytes = len(self.head)
        self.head += bytes(data)
        match = HEAD.match(self.head)
        if match is None:
            if not self._may_become_head():
                raise ServerProtocolError(f"not a response: {self.head[:60]!r}")
            return len(data)
        strings = match.group(2, 4, 6)
        sizes = match.group(1, 3, 5)
        if any(len(string) != int(size) for string, size in zip(strings, sizes, strict=True)):
            raise ServerProtocolError(f"a string does not have its stated length: {self.head[:60]!r}")
        size = int(match.group(7))
        if size > MAX_BODY_BYTES:
            raise ServerProtocolError(f"a body of {size} bytes is over {MAX_BODY_BYTES} bytes")
        try:
            attempt_id, outcome_word, fields = strings
            self.strings = attempt_id.decode(), outcome_word.decode(), fields.decode()
        except UnicodeDecodeError as error:
            raise ServerProtocolError(str(error)) from error
        self.body = bytearray(size + 2)
        self.received_bytes = 0
        self.head = b""
        return match.end() - buffered_bytes

    def _may_become_head(self) -> bool:
        """Whether the bytes received so far can become a response's head when more bytes arrive."""
        return (
            len(self.head) < MAX_HEAD_BYTES
            and self.head.count(b"\r\n") < MAX_HEAD_LINES
            and (self.head.startswith(HEAD_START) or HEAD_START.startswith(self.head))
        )

    def _convert_response(self, body: bytearray) -> ServerResponse:
        """Converts the four strings of a response to a message."""
        attempt_id, outcome_word, field_text = self.strings
        outcome = OUTCOMES.get(outcome_word)
        if outcome is None:
            raise ServerProtocolError(f"{outcome_word[:40]!r} is not an outcome word")
        fields = _parse_fields(field_text)
        try:
            source_wait_ns = int(float(fields.get("slow") or 0) * NS_PER_MS)
            load_report = _parse_load_report(fields.get("meter", ""))
        except (ValueError, OverflowError) as error:
            raise ServerProtocolError(str(error)) from error
        # A word that is unknown here, as from a newer server, counts as no fill result.
        fill_result = FILL_RESULTS.get(fields.get("tell", ""), FillResult.NONE)
        not_modified = outcome_word == NOT_MODIFIED_WORD
        etag = fields.get("sum", "") if not_modified else ""
        return ServerResponse(
            self.connection,
            attempt_id,
            outcome,
            fill_result,
            source_wait_ns,
            load_report,
            not_modified,
            body,
            etag,
        )


def _parse_fields(text: str) -> dict[str, str]:
    """Parses ``name=value,name=value``, or ``-`` for no fields."""
    if text in ("-", ""):
        return {}
    pairs = [pair.partition("=") for pair in text.split(",")]
    if not all(name and equals for name, equals, _ in pairs):
        raise ServerProtocolError(f"fields: {text[:80]!r}")
    return {name: value for name, _, value in pairs}


@lru_cache(maxsize=MAX_CACHED_REPORTS)
def _parse_load_report(text: str) -> dict[str, float]:
    """Parses ``inflight:7;util:0.61``.

    The results are cached because a server sends the same report for some hundred milliseconds.
    """
    pairs = (pair.partition(":") for pair in text.split(";") if pair)
    return {name: float(value) for name, _, value in pairs}
