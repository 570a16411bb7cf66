"""Shelves' RESP: commands as bytes, and answers from bytes.  No socket here.

Own code, as hiredis' reader allocates a list of whatever length an array's head claims: a dozen bytes from a
broken peer made it ask for 7 GB (docs/architecture.md).  Answers have four strings, so little is lost.
"""

from __future__ import annotations

import re
from functools import lru_cache
from itertools import product

from kelpcroft.core.effects import CancelAttempt, SendAttempt, SendHealthCheck
from kelpcroft.core.inputs import ServerResponse
from kelpcroft.core.messages import Body
from kelpcroft.decision.interface import FillResult, Outcome

NS_PER_MS = 1_000_000
HEAD_MOST = 4_096  # bytes of an answer without its body
HEAD_LINES = 8  # line ends in them
START = b"*4\r\n$"
HEAD = re.compile(rb"\*4\r\n" + rb"\$(\d{1,6})\r\n([^\r\n]*)\r\n" * 3 + rb"\$(\d{1,6})\r\n")
BODY_MOST = 262_144  # an object has 240,000 at most
ENDS = {
    "DONE": Outcome.OK,
    "KEEP": Outcome.OK,
    "LACK": Outcome.MISS,
    "WAIT": Outcome.FULL,
    "BROKE": Outcome.ERROR,
    "PAST": Outcome.MOOT,
    "FIT": Outcome.OK,
    "UNFIT": Outcome.ERROR,
}
NOTES = {
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
WAYS = {
    on: "+".join(w for w, x in zip("jhnr", on, strict=True) if x) for on in product((False, True), repeat=4)
}


class ServerProtocolError(ValueError):
    """Bytes that are no answer of this protocol."""


def command(*words: Body) -> list[Body]:
    """A RESP array; the last word stays a piece of its own, so that its bytes are not copied."""
    head = b"*%d\r\n" % len(words)
    for word in words[:-1]:
        head += b"$%d\r\n%s\r\n" % (len(word), word)
    last = words[-1]
    head += b"$%d\r\n" % len(last)
    return [head, last, b"\r\n"] if len(last) > 1_024 else [head + last + b"\r\n"]


def encode_attempt(p: SendAttempt) -> list[Body]:
    """An attempt."""
    fields = [f"cls={p.request_class}", f"item={p.object_id}", f"chunk={p.part_id}", f"limit={p.timeout_ms}"]
    if p.idempotency_key:
        fields.append(f"nonce={p.idempotency_key}")
    if p.source:
        fields.append(f"next={p.source}")
    if p.retention_rank:
        fields.append(f"admit={p.retention_rank}")
    if p.max_age_ms:
        fields.append(f"agelim={p.max_age_ms}")
    ways = WAYS[p.join_fill, p.cache_only, p.no_parent_copy, p.refresh_behind]
    if ways:
        fields.append(f"ways={ways}")
    if p.etag:
        fields.append(f"cached={p.etag}")
    return command(b"PULL", p.attempt_id.encode(), ",".join(fields).encode(), p.body)


def encode_cancel(k: CancelAttempt) -> list[Body]:
    """An attempt is given up."""
    return command(b"KILL", k.attempt_id.encode())


def encode_health_check(c: SendHealthCheck) -> list[Body]:
    """A probe."""
    return command(b"METER", c.attempt_id.encode())


def fields_of(text: str) -> dict[str, str]:
    """``name=value,name=value`` or ``-``."""
    if text in ("-", ""):
        return {}
    pairs = [pair.partition("=") for pair in text.split(",")]
    if not all(name and equals for name, equals, _ in pairs):
        raise ServerProtocolError(f"fields: {text[:80]!r}")
    return {name: value for name, _, value in pairs}


@lru_cache(maxsize=256)
def report_of(text: str) -> dict[str, float]:
    """``inflight:7;util:0.61``.  A server's report is the same for some hundred milliseconds."""
    pairs = (pair.partition(":") for pair in text.split(";") if pair)
    return {name: float(value) for name, _, value in pairs}


class ServerCodec:
    """Answers on one connection."""

    def __init__(self, link: int) -> None:
        self.link = link
        self.head = b""  # of an answer, not all there yet
        self.words = ("", "", "")  # id, word and fields of the answer whose body is being filled
        self.body: bytearray | None = None  # its line end included
        self.filled = 0
        self.error = ""  # why nothing more can be read

    def receive_data(self, data: memoryview) -> list[ServerResponse]:
        """The answers that these bytes complete.  Those ahead of bytes that are none are good; ``fault`` then
        says why the connection is of no further use."""
        found: list[ServerResponse] = []
        try:
            self.take(data, found)
        except ServerProtocolError as error:
            self.error = str(error)
        return found

    def has_partial_message(self) -> bool:
        """Whether an answer has begun and not ended."""
        return self.body is not None or bool(self.head)

    def take(self, data: memoryview, found: list[ServerResponse]) -> None:
        at = 0
        while at < len(data):
            body = self.body
            if body is None:
                at += self.begin(data[at : at + HEAD_MOST])
                continue
            take = min(len(data) - at, len(body) - self.filled)
            body[self.filled : self.filled + take] = data[at : at + take]
            self.filled += take
            at += take
            if self.filled == len(body):
                # What follows at once is looked at too: a body said to be four bytes longer than it is takes
                # them from the next answer's head, and ends as a body should.
                if not body.endswith(b"\r\n") or bytes(data[at : at + 1]) not in (b"", b"*"):
                    raise ServerProtocolError("a body does not end where it should")
                del body[-2:]
                id, word, text = self.words
                found.append(self.answer(id, word, text, body))
                self.body = None

    def begin(self, data: memoryview) -> int:
        """An answer's head, up to its body: how many of these bytes belong to it."""
        before = len(self.head)
        self.head += bytes(data)
        match = HEAD.match(self.head)
        if match is None:
            if (
                len(self.head) >= HEAD_MOST
                or self.head.count(b"\r\n") >= HEAD_LINES
                or not (self.head.startswith(START) or START.startswith(self.head))
            ):
                raise ServerProtocolError(f"not an answer: {self.head[:60]!r}")
            return len(data)
        words, sizes = match.group(2, 4, 6), match.group(1, 3, 5)
        if any(len(word) != int(size) for word, size in zip(words, sizes, strict=True)):
            raise ServerProtocolError(f"a word's length is not what it says: {self.head[:60]!r}")
        size = int(match.group(7))
        if size > BODY_MOST:
            raise ServerProtocolError(f"a body of {size} bytes")
        try:
            id, word, text = words
            self.words = id.decode(), word.decode(), text.decode()
        except UnicodeDecodeError as error:
            raise ServerProtocolError(str(error)) from error
        self.body, self.filled, self.head = bytearray(size + 2), 0, b""
        return match.end() - before

    def answer(self, id: str, word: str, text: str, body: bytearray) -> ServerResponse:
        """The four strings as a message."""
        outcome = ENDS.get(word)
        if outcome is None:
            raise ServerProtocolError(f"{word[:40]!r} is not an answer's word")
        fields = fields_of(text)
        try:
            waited = int(float(fields.get("slow") or 0) * NS_PER_MS)
            report = report_of(fields.get("meter", ""))
        except (ValueError, OverflowError) as error:
            raise ServerProtocolError(str(error)) from error
        note = NOTES.get(fields.get("tell", ""), FillResult.NONE)  # a note of a later day says nothing here
        named = fields.get("sum", "") if word == "KEEP" else ""
        return ServerResponse(self.link, id, outcome, note, waited, report, word == "KEEP", body, named)
