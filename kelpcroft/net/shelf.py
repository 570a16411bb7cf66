"""Shelves' RESP: commands as bytes, and answers from bytes.  No socket here.

Own code, as hiredis' reader allocates a list of whatever length an array's head claims: a dozen bytes from a
broken peer made it ask for 7 GB (docs/architecture.md).  Answers have four strings, so little is lost.
"""

from __future__ import annotations

from kelpcroft.messages import Answer, Body, Check, Kill, Pull
from zincgrade.interface import Note, Outcome

NS_PER_MS = 1_000_000
WORDS = 4                    # bulk strings in an answer
LINE_MOST = 32               # bytes of a head, as in *4 or $240000
STEP = 512                   # bytes looked at together outside a body
TEXT_MOST = 16_384           # bytes of a field that is not the body
BODY_MOST = 262_144          # an object has 240,000 at most
ENDS = {
    "DONE": Outcome.OK, "KEEP": Outcome.OK, "LACK": Outcome.MISS, "WAIT": Outcome.FULL,
    "BROKE": Outcome.ERROR, "PAST": Outcome.MOOT, "FIT": Outcome.OK, "UNFIT": Outcome.ERROR,
}
NOTES = {
    "mem": Note.HIT, "parent": Note.FILLED, "origin": Note.FILLED_FROM_ORIGIN, "shared": Note.JOINED,
    "old": Note.STALE, "denied": Note.SOURCE_REFUSED, "unreached": Note.SOURCE_BROKE,
    "absent": Note.SOURCE_LACKS, "crowded": Note.NO_FILL_PLACE, "behind": Note.ORIGIN_FAILED,
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
    if p.source:
        fields.append(f"next={p.source}")
    if p.rank:
        fields.append(f"admit={p.rank}")
    if p.age_limit_ms:
        fields.append(f"agelim={p.age_limit_ms}")
    ways = "+".join(w for w, on in (("j", p.join), ("h", p.held_only), ("n", p.no_parent_copy),
                                    ("r", p.renew)) if on)
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


def report_of(text: str) -> dict[str, float]:
    """``inflight:7;util:0.61``."""
    pairs = (pair.partition(":") for pair in text.split(";") if pair)
    return {name: float(value) for name, _, value in pairs}


class ShelfCodec:
    """Answers on one connection."""

    def __init__(self, link: int) -> None:
        self.link = link
        self.head = bytearray()             # bytes that no complete string has been made of
        self.words: list[str] = []          # of the answer being read
        self.inside = False                 # behind the array's own head
        self.body: bytearray | None = None  # being filled, its line end included
        self.filled = 0

    def feed(self, data: memoryview) -> list[Answer]:
        """The answers that these bytes complete."""
        found: list[Answer] = []
        at = 0
        while at < len(data):
            if self.body is not None:
                take = min(len(data) - at, len(self.body) - self.filled)
                self.fill(data[at:at + take], found)
            else:
                # In small steps: what belongs to a body should go straight there.
                take = min(len(data) - at, STEP)
                self.head += data[at:at + take]
                while self.step(found):
                    pass
            at += take
        return found

    def step(self, found: list[Answer]) -> bool:
        """Take one array head, word or body start off ``head``; False where it holds none yet."""
        line = self.head.find(b"\r\n", 0, LINE_MOST)
        if line < 0:
            if len(self.head) >= LINE_MOST:
                raise ShelfError("a line is too long")
            return False
        kind, digits = bytes(self.head[:1]), bytes(self.head[1:line])
        if kind != (b"$" if self.inside else b"*") or not digits.isdigit():
            raise ShelfError(f"not an answer: {bytes(self.head[:line])!r}")
        size, start = int(digits), line + 2
        if not self.inside:
            if size != WORDS:
                raise ShelfError(f"{size} strings in an answer of {WORDS}")
            self.inside = True
            del self.head[:start]
        elif len(self.words) < WORDS - 1:
            if size > TEXT_MOST:
                raise ShelfError(f"a word of {size} bytes")
            if len(self.head) < start + size + 2:
                return False
            if not self.head.startswith(b"\r\n", start + size):
                raise ShelfError("a word does not end where it should")
            try:
                self.words.append(self.head[start:start + size].decode())
            except UnicodeDecodeError as error:
                raise ShelfError(str(error)) from error
            del self.head[:start + size + 2]
        else:
            if size > BODY_MOST:
                raise ShelfError(f"a body of {size} bytes")
            self.body, self.filled = bytearray(size + 2), 0
            part = self.head[start:start + size + 2]
            del self.head[:start + size + 2]
            self.fill(part, found)
        return True

    def fill(self, data: memoryview | bytearray, found: list[Answer]) -> None:
        """Some bytes of the body, no more than it lacks."""
        body = self.body
        if body is None:
            return
        body[self.filled:self.filled + len(data)] = data
        self.filled += len(data)
        if self.filled == len(body):
            if not body.endswith(b"\r\n"):
                raise ShelfError("a body does not end where it should")
            del body[-2:]
            id, word, text = self.words
            found.append(self.answer(id, word, text, body))
            self.body, self.inside = None, False
            self.words.clear()

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
        return Answer(self.link, id, outcome, note, waited, report, word == "KEEP", body)
