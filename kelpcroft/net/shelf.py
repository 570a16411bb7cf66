"""Shelves' RESP: commands as bytes, and answers from bytes.  No socket here.

Own code, as hiredis' reader allocates a list of whatever length an array's head claims: a dozen bytes from a
broken peer made it ask for 7 GB (docs/architecture.md).  Answers have four strings, so little is lost.
"""

from __future__ import annotations

import re
from functools import lru_cache
from itertools import product

from kelpcroft.messages import Answer, Body, Check, Kill, Pull
from zincgrade.interface import Note, Outcome

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
    "mem": Note.HIT,
    "parent": Note.FILLED,
    "origin": Note.FILLED_FROM_ORIGIN,
    "shared": Note.JOINED,
    "old": Note.STALE,
    "denied": Note.SOURCE_REFUSED,
    "unreached": Note.SOURCE_BROKE,
    "absent": Note.SOURCE_LACKS,
    "crowded": Note.NO_FILL_PLACE,
    "behind": Note.ORIGIN_FAILED,
}
WAYS = {
    on: "+".join(w for w, x in zip("jhnr", on, strict=True) if x) for on in product((False, True), repeat=4)
}


class ShelfError(ValueError):
    """Bytes that are no answer of this protocol."""


def command(*words: Body) -> list[Body]:
    """A RESP array; the last word stays a piece of its own, so that its bytes are not copied."""
    head = b"*%d\r\n" % len(words)
    for word in words[:-1]:
        head += b"$%d\r\n%s\r\n" % (len(word), word)
    last = words[-1]
    head += b"$%d\r\n" % len(last)
    return [head, last, b"\r\n"] if len(last) > 1_024 else [head + last + b"\r\n"]


def pull(p: Pull) -> list[Body]:
    """An attempt."""
    fields = [f"cls={p.cls}", f"item={p.object}", f"chunk={p.part}", f"limit={p.limit_ms}"]
    if p.nonce:
        fields.append(f"nonce={p.nonce}")
    if p.source:
        fields.append(f"next={p.source}")
    if p.rank:
        fields.append(f"admit={p.rank}")
    if p.age_limit_ms:
        fields.append(f"agelim={p.age_limit_ms}")
    ways = WAYS[p.join, p.held_only, p.no_parent_copy, p.renew]
    if ways:
        fields.append(f"ways={ways}")
    if p.tag:
        fields.append(f"cached={p.tag}")
    return command(b"PULL", p.id.encode(), ",".join(fields).encode(), p.body)


def kill(k: Kill) -> list[Body]:
    """An attempt is given up."""
    return command(b"KILL", k.id.encode())


def check(c: Check) -> list[Body]:
    """A probe."""
    return command(b"METER", c.id.encode())


def fields_of(text: str) -> dict[str, str]:
    """``name=value,name=value`` or ``-``."""
    if text in ("-", ""):
        return {}
    pairs = [pair.partition("=") for pair in text.split(",")]
    if not all(name and equals for name, equals, _ in pairs):
        raise ShelfError(f"fields: {text[:80]!r}")
    return {name: value for name, _, value in pairs}


@lru_cache(maxsize=256)
def report_of(text: str) -> dict[str, float]:
    """``inflight:7;util:0.61``.  A server's report is the same for some hundred milliseconds."""
    pairs = (pair.partition(":") for pair in text.split(";") if pair)
    return {name: float(value) for name, _, value in pairs}


class ShelfCodec:
    """Answers on one connection."""

    def __init__(self, link: int) -> None:
        self.link = link
        self.head = b""  # of an answer, not all there yet
        self.words = ("", "", "")  # id, word and fields of the answer whose body is being filled
        self.body: bytearray | None = None  # its line end included
        self.filled = 0
        self.fault = ""  # why nothing more can be read

    def feed(self, data: memoryview) -> list[Answer]:
        """The answers that these bytes complete.  Those ahead of bytes that are none are good; ``fault`` then
        says why the connection is of no further use."""
        found: list[Answer] = []
        try:
            self.take(data, found)
        except ShelfError as error:
            self.fault = str(error)
        return found

    def partial(self) -> bool:
        """Whether an answer has begun and not ended."""
        return self.body is not None or bool(self.head)

    def take(self, data: memoryview, found: list[Answer]) -> None:
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
                    raise ShelfError("a body does not end where it should")
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
                raise ShelfError(f"not an answer: {self.head[:60]!r}")
            return len(data)
        words, sizes = match.group(2, 4, 6), match.group(1, 3, 5)
        if any(len(word) != int(size) for word, size in zip(words, sizes, strict=True)):
            raise ShelfError(f"a word's length is not what it says: {self.head[:60]!r}")
        size = int(match.group(7))
        if size > BODY_MOST:
            raise ShelfError(f"a body of {size} bytes")
        try:
            id, word, text = words
            self.words = id.decode(), word.decode(), text.decode()
        except UnicodeDecodeError as error:
            raise ShelfError(str(error)) from error
        self.body, self.filled, self.head = bytearray(size + 2), 0, b""
        return match.end() - before

    def answer(self, id: str, word: str, text: str, body: bytearray) -> Answer:
        """The four strings as a message."""
        outcome = ENDS.get(word)
        if outcome is None:
            raise ShelfError(f"{word[:40]!r} is not an answer's word")
        fields = fields_of(text)
        try:
            waited = int(float(fields.get("slow") or 0) * NS_PER_MS)
            report = report_of(fields.get("meter", ""))
        except (ValueError, OverflowError) as error:
            raise ShelfError(str(error)) from error
        note = NOTES.get(fields.get("tell", ""), Note.NONE)  # a note of a later day says nothing here
        named = fields.get("sum", "") if word == "KEEP" else ""
        return Answer(self.link, id, outcome, note, waited, report, word == "KEEP", body, named)
