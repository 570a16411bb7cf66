"""Bytes to a tree of KDL nodes in which every node, argument and property knows its place.

ckdl parses, and tells no positions.  ``Locator`` walks the same text and finds where each node and value
stands, in document order; ``tree`` lays one beside the other.  The locator runs first, as it also holds the
limits: nothing larger or deeper than these is handed to the parser.  Both go node by node at the top.
"""

from __future__ import annotations

import re
from collections.abc import Iterator
from dataclasses import dataclass, field

import ckdl

from kelpcroft.operator_file.diagnostics import (
    NEWLINE,
    DiagnosticCollector,
    FilePosition,
    SourceText,
    abbreviated,
)

MAX_FILE_BYTES = 1 << 20  # of a file
MAX_NODES = 20_100  # in it
DEPTH_MOST = 16  # of children in children
ENTRIES_MOST = 26_000  # arguments and properties in all

Value = str | int | float | bool | None

BLANK = r"[ \t\ufeff\u00a0\u1680\u2000-\u200a\u202f\u205f\u3000]"
TOKEN = re.compile(
    rf"{BLANK}*(?:(?P<newline>(?:{NEWLINE})(?:{BLANK}|{NEWLINE})*)|(?P<comment>//[^\n\r\x85\x0b\x0c\u2028\u2029]*)"
    rf"|(?P<block>/\*)|(?P<dash>/-)|(?P<more>\\{BLANK}*(?://[^\n\r]*)?(?:{NEWLINE}|\Z))|(?P<mark>[;{{}}()=])"
    r'|(?P<raw>(?P<hashes>#+)(?:"""(?s:.*?)"""|"(?s:.*?)")(?P=hashes))'
    r'|(?P<long>"""(?s:(?:\\.|[^\\])*?)""")|(?P<string>"(?:\\(?s:.)|[^"\\])*")'
    r"|(?P<word>(?:[^\s{}();=\"\\/\ufeff\x85\u2028\u2029])+)|(?P<end>\Z))"
)
EQUALS = re.compile(rf"{BLANK}*(?:(?P<sure>=)|/\*|\\)")
SIMPLE = re.compile(  # most properties and arguments, in one match
    rf'{BLANK}*(?:(?P<key>[A-Za-z_][A-Za-z0-9_-]*)=(?P<value>"[^"\\\n\r]*"|[A-Za-z0-9_.#-]+)'
    r'|(?P<arg>"[^"\\\n\r]*"))(?=[ \t\n;{}])'
)
BLOCK = re.compile(r"/\*|\*/")


class KdlSyntaxError(Exception):
    """The text stops being KDL at ``at``."""

    def __init__(self, at: int, reason: str) -> None:
        super().__init__(reason)
        self.at, self.reason, self.code = at, reason, "not-kdl"


class LimitExceeded(KdlSyntaxError):
    """A limit is passed at ``at``."""

    def __init__(self, at: int, code: str, reason: str) -> None:
        super().__init__(at, reason)
        self.code = code


@dataclass(slots=True)
class Spot:
    """Where a node and its parts stand: offsets into the text."""

    at: int
    end: int = 0
    args: list[int] = field(default_factory=list)
    props: list[tuple[str, int, int]] = field(default_factory=list)  # key, where it and its value stand
    children: list[Spot] = field(default_factory=list)


class NodeLocator:
    """One pass over a text.  It judges no more of the grammar than it needs to find its way."""

    def __init__(self, text: str) -> None:
        self.text, self.at = text, 0
        self.nodes = self.entries = 0

    def top_level_nodes(self) -> Iterator[Spot]:
        """The nodes at the top, each once it is whole.  Raises NotKdl."""
        top: list[Spot] = []
        stack: list[tuple[list[Spot], Spot | None]] = [(top, None)]
        while True:
            kind, at, word = self.take(skip_lines=True)
            if not kind:
                if len(stack) > 1:
                    owner = stack[-1][1]
                    raise KdlSyntaxError(
                        owner.at if owner else at, "the children of this node are not closed: '}'"
                    )
                return
            if kind == "mark" and word == ";":
                continue
            if kind == "mark" and word == "}":
                if len(stack) == 1:
                    raise KdlSyntaxError(at, "a '}' closes nothing")
                _, owner = stack.pop()
                if owner:
                    owner.end = self.at
                    if self.entry(owner):
                        raise KdlSyntaxError(self.at, "a node has children once")
                if len(stack) == 1 and top:
                    yield top.pop()
                continue
            dropped = kind == "dash"
            if dropped:
                kind, at, word = self.take(skip_lines=True)
            if kind == "mark" and word == "(":
                kind, at, word = self.annotated(at)
            if kind not in ("word", "string", "long", "raw"):
                raise KdlSyntaxError(at, f"a node's name is due, not {abbreviated(word)}")
            self.nodes += 1
            if self.nodes > MAX_NODES:
                raise LimitExceeded(at, "too-many-nodes", f"over {MAX_NODES} nodes; match more with fewer")
            spot = Spot(at, self.at)
            if not dropped:
                stack[-1][0].append(spot)
            if self.entry(spot):
                if len(stack) > DEPTH_MOST:
                    raise LimitExceeded(at, "too-deep", f"children nested over {DEPTH_MOST} deep")
                stack.append((spot.children, spot))
            elif len(stack) == 1 and top:
                yield top.pop()

    def entry(self, spot: Spot) -> bool:
        """A node's arguments and properties up to its end.  True where its children begin."""
        while True:
            start = self.at
            simple = SIMPLE.match(self.text, start)
            if simple is not None and self.entries < ENTRIES_MOST:
                self.entries += 1
                self.at = spot.end = simple.end()
                if simple["key"] is not None:
                    spot.props.append((simple["key"], simple.start("key"), simple.start("value")))
                else:
                    spot.args.append(simple.start("arg"))
                continue
            kind, at, word = self.take()
            dropped = kind == "dash"
            if dropped:
                kind, at, word = self.take(skip_lines=True)
            if kind in ("", "newline", "comment") or kind == "mark" and word in (";", "}"):
                if word == "}":
                    self.at = start  # closes the node round this one
                spot.end = max(spot.end, start)
                return False
            if kind == "mark" and word == "{":
                if dropped:
                    self.skip_children(at)
                    continue
                return True
            if kind == "mark" and word == "(":
                kind, at, word = self.annotated(at)
            if kind not in ("word", "string", "long", "raw"):
                raise KdlSyntaxError(at, f"an argument or a property is due, not {abbreviated(word)}")
            self.entries += 1
            if self.entries > ENTRIES_MOST:
                raise LimitExceeded(at, "too-many-nodes", f"over {ENTRIES_MOST} arguments and properties")
            if self.equals():
                key = self.plain(kind, word)
                kind, value_at, word = self.take()
                if kind == "mark" and word == "(":
                    kind, value_at, word = self.annotated(value_at)
                if kind not in ("word", "string", "long", "raw"):
                    raise KdlSyntaxError(value_at, f"a property's value is due, not {abbreviated(word)}")
                if not dropped:
                    spot.props.append((key, at, value_at))
            elif not dropped:
                spot.args.append(at)
            spot.end = self.at

    def equals(self) -> bool:
        """Whether an equals sign follows, after blanks, comments and continued lines; it is taken if so."""
        after = self.at
        match = EQUALS.match(self.text, after)
        if match is None:
            return False
        if match["sure"]:
            self.at = match.end()
            return True
        _, _, word = self.take()
        if word != "=":
            self.at = after
        return word == "="

    def skip_children(self, at: int) -> None:
        """A block that was struck out with ``/-``."""
        depth = 1
        while depth:
            kind, _, word = self.take(skip_lines=True)
            if not kind:
                raise KdlSyntaxError(at, "these children are not closed: '}'")
            depth += (kind == "mark" and word == "{") - (kind == "mark" and word == "}")

    def annotated(self, at: int) -> tuple[str, int, str]:
        """What follows a type annotation."""
        self.take()
        kind, _, word = self.take()
        if kind != "mark" or word != ")":
            raise KdlSyntaxError(at, "a type annotation is not closed: ')'")
        return self.take()

    def take(self, skip_lines: bool = False) -> tuple[str, int, str]:
        """The next token that means something: its kind, where it stands and its text; "" at the end."""
        while True:
            match = TOKEN.match(self.text, self.at)
            if match is None:
                at = self.at
                raise KdlSyntaxError(at, f"nothing in KDL begins with {abbreviated(self.text[at : at + 12])}")
            kind = match.lastgroup or ""
            at = match.start(kind)
            self.at = match.end()
            if kind == "block":
                self.skip_comment(at)
            elif kind == "end":
                return "", at, ""
            elif kind != "more" and not (skip_lines and kind in ("newline", "comment")):
                return kind, at, match[kind]

    def skip_comment(self, at: int) -> None:
        """A comment between ``/*`` and ``*/``; such comments nest."""
        depth = 1
        while depth:
            match = BLOCK.search(self.text, self.at)
            if match is None:
                raise KdlSyntaxError(at, "this comment is not closed: '*/'")
            depth += 1 if match[0] == "/*" else -1
            self.at = match.end()

    @staticmethod
    def plain(kind: str, word: str) -> str:
        """A property's key as the parser gives it."""
        if kind == "word":
            return word
        if kind == "string" and "\\" not in word:
            return word[1:-1]
        try:
            return str(ckdl.parse(f"- {word}", version=2).nodes[0].args[0])
        except ValueError:
            return word


@dataclass(slots=True)
class KdlProperty:
    """A property's value, with the places of its key and of itself (offsets into the text)."""

    value: Value
    key_offset: int
    value_offset: int


@dataclass(slots=True)
class KdlNode:
    """A node with its places (offsets into the text)."""

    name: str
    offset: int
    arguments: list[tuple[Value, int]]
    properties: dict[str, KdlProperty]
    children: list[KdlNode]


def parse_nodes(data: bytes, faults: DiagnosticCollector) -> Iterator[KdlNode]:
    """The nodes at the top of a file, one at a time, as a whole tree of a large file takes much memory.  What
    is no KDL is noted among ``faults`` and left out."""
    if len(data) > MAX_FILE_BYTES:
        faults.add(FilePosition(1, 1), "too-large", f"over {MAX_FILE_BYTES} bytes")
        return
    try:
        text = data.decode()
    except UnicodeDecodeError as error:
        before = data[: error.start].decode()
        faults.add(
            SourceText(before).position_of(len(before)),
            "not-utf8",
            f"byte {data[error.start]:#04x} begins no UTF-8 character; save the file as UTF-8",
        )
        return
    faults.source = SourceText(text)
    try:
        for spot in NodeLocator(text).top_level_nodes():
            try:
                nodes = ckdl.parse(text[spot.at : spot.end], version=2).nodes
            except ValueError as error:
                at = worst(text, spot)
                faults.add(at, "not-kdl", f"{error}: near {abbreviated(text[at : at + 30])}")
                continue
            yield from beside(nodes, [spot], faults)
    except KdlSyntaxError as error:
        faults.add(error.at, error.code, error.reason)


def worst(text: str, whole: Spot) -> int:
    """Where the parser's fault is: the innermost node that does not parse on its own."""
    at, spots = whole.at, whole.children
    while True:
        for spot in spots:
            try:
                ckdl.parse(text[spot.at : spot.end], version=2)
            except ValueError:
                at, spots = spot.at, spot.children
                break
        else:
            return at


def beside(nodes: list[ckdl.Node], spots: list[Spot], faults: DiagnosticCollector) -> list[KdlNode]:
    """Parsed nodes with their places.  Where both disagree the file is refused, not guessed at."""
    items: list[KdlNode] = []
    if len(nodes) != len(spots):
        faults.add(FilePosition(1, 1), "not-kdl", f"{len(nodes)} nodes were parsed where {len(spots)} stand")
        return items
    for node, spot in zip(nodes, spots, strict=True):
        found, values = node.properties, node.args
        if len(values) != len(spot.args) or len(found) != len({key for key, _, _ in spot.props}):
            faults.add(
                spot.at,
                "not-kdl",
                f"the parts of {abbreviated(node.name)} cannot be told apart; "
                "write them without escapes and comments",
            )
            continue
        props: dict[str, KdlProperty] = {}
        for key, at, value_at in spot.props:
            if key in props:
                faults.add(at, "duplicate-key", f"{key!r} stands here twice; the last would win")
            if key not in found:
                faults.add(
                    at, "not-kdl", f"{abbreviated(key)} cannot be told apart; write it without escapes"
                )
                continue
            props[key] = KdlProperty(bare(found[key]), at, value_at)
        args = [(bare(value), at) for value, at in zip(values, spot.args, strict=True)]
        children = beside(node.children, spot.children, faults) if spot.children else []
        items.append(KdlNode(node.name, spot.at, args, props, children))
    return items


def bare(value: object) -> Value:
    """A value without its type annotation, which means nothing here."""
    if isinstance(value, (str, int, float, bool)):
        return value
    return bare(value.value) if isinstance(value, ckdl.Value) else None
