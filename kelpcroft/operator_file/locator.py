"""Offsets of the nodes, arguments and properties of a KDL text, found in one pass over its tokens.

The KDL parser in use (ckdl) reports no positions, so ``NodeLocator`` scans the same text itself, in document
order.  It also enforces the limits: no text that exceeds them is passed to the parser.  Source of the
grammar: KDL 2.0.0, kdl.dev.
"""

from __future__ import annotations

import re
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import NamedTuple

import ckdl

from kelpcroft.operator_file.diagnostics import NEWLINE, abbreviated

MAX_NODES = 20_100  # nodes in one file
MAX_DEPTH = 16  # levels of nested children
MAX_ENTRIES = 26_000  # arguments and properties in one file

BLANK = r"[ \t\ufeff\u00a0\u1680\u2000-\u200a\u202f\u205f\u3000]"
TOKEN = re.compile(
    rf"{BLANK}*(?:(?P<newline>(?:{NEWLINE})(?:{BLANK}|{NEWLINE})*)|(?P<comment>//[^\n\r\x85\x0b\x0c\u2028\u2029]*)"
    rf"|(?P<block>/\*)|(?P<dash>/-)|(?P<more>\\{BLANK}*(?://[^\n\r]*)?(?:{NEWLINE}|\Z))|(?P<mark>[;{{}}()=])"
    r'|(?P<raw>(?P<hashes>#+)(?:"""(?s:.*?)"""|"(?s:.*?)")(?P=hashes))'
    r'|(?P<long>"""(?s:(?:\\.|[^\\])*?)""")|(?P<string>"(?:\\(?s:.)|[^"\\])*")'
    r"|(?P<word>(?:[^\s{}();=\"\\/\ufeff\x85\u2028\u2029])+)|(?P<end>\Z))"
)
EQUALS = re.compile(rf"{BLANK}*(?:(?P<sure>=)|/\*|\\)")
SIMPLE_ENTRY = re.compile(  # the usual forms of a property or an argument, in one match
    rf'{BLANK}*(?:(?P<key>[A-Za-z_][A-Za-z0-9_-]*)=(?P<value>"[^"\\\n\r]*"|[A-Za-z0-9_.#-]+)'
    r'|(?P<arg>"[^"\\\n\r]*"))(?=[ \t\n;{}])'
)
BLOCK_COMMENT_EDGE = re.compile(r"/\*|\*/")

END_OF_TEXT = ""
VALUE_KINDS = ("word", "string", "long", "raw")  # tokens that may be a name, a key or a value
LINE_KINDS = ("newline", "comment")
NODE_END_KINDS = (END_OF_TEXT, *LINE_KINDS)
NODE_END_MARKS = (";", "}")


class Token(NamedTuple):
    """A token other than blanks, block comments and line continuations."""

    kind: str  # name of a group of TOKEN, or END_OF_TEXT
    offset: int
    text: str

    def is_mark(self, mark: str) -> bool:
        """Whether it is this punctuation mark."""
        return self.kind == "mark" and self.text == mark

    def ends_node(self) -> bool:
        """Whether a node without children ends here."""
        return self.kind in NODE_END_KINDS or (self.kind == "mark" and self.text in NODE_END_MARKS)


class KdlSyntaxError(Exception):
    """The text is not valid KDL.

    Attributes:
        offset: The offset of the error in the text, in characters.
        message: The message for operators.
        code: The rule that is broken, see Diagnostic.code.
    """

    def __init__(self, offset: int, message: str, code: str = "not-kdl") -> None:
        super().__init__(message)
        self.offset = offset
        self.message = message
        self.code = code


class LimitExceededError(KdlSyntaxError):
    """MAX_NODES, MAX_DEPTH or MAX_ENTRIES is exceeded at ``offset``."""


class PropertySpan(NamedTuple):
    """The key of a property, as the parser returns it, and its offsets in the text."""

    key: str
    key_offset: int
    value_offset: int


@dataclass(slots=True)
class NodeSpan:
    """The offsets in the text of a node, its arguments, its properties and its children."""

    offset: int
    end: int = 0
    arguments: list[int] = field(default_factory=list)
    properties: list[PropertySpan] = field(default_factory=list)
    children: list[NodeSpan] = field(default_factory=list)


class NodeLocator:
    """One pass over a text.  Checks only as much of the grammar as is needed to find the offsets."""

    def __init__(self, text: str) -> None:
        self.text = text
        self.offset = 0  # offset of the next token
        self.node_count = 0
        self.entry_count = 0

    def top_level_nodes(self) -> Iterator[NodeSpan]:
        """Yield each top-level node when it is complete.

        Raises:
            KdlSyntaxError: The text is not valid KDL, or exceeds a limit.
        """
        complete: list[NodeSpan] = []  # at most one
        parents: list[NodeSpan] = []  # the nodes whose children are being read, the outermost first
        while True:
            token = self.next_token(skip_lines=True)
            if token.kind == END_OF_TEXT:
                if parents:
                    raise KdlSyntaxError(parents[-1].offset, "the children of this node are not closed: '}'")
                return
            if token.is_mark(";"):
                continue
            if token.is_mark("}"):
                self.close_children(token, parents)
            else:
                self.read_node(token, parents, complete)
            if complete and not parents:
                yield complete.pop()

    def read_node(self, token: Token, parents: list[NodeSpan], complete: list[NodeSpan]) -> None:
        """Read a node that begins with ``token``, up to its end or to its children."""
        is_commented_out = token.kind == "dash"
        if is_commented_out:
            token = self.next_token(skip_lines=True)
        if token.is_mark("("):
            token = self.token_after_annotation(token.offset)
        if token.kind not in VALUE_KINDS:
            raise KdlSyntaxError(token.offset, f"a node's name is due, not {abbreviated(token.text)}")
        self.node_count += 1
        if self.node_count > MAX_NODES:
            raise LimitExceededError(
                token.offset, f"over {MAX_NODES} nodes; use fewer, with lists and ranges", "too-many-nodes"
            )
        node = NodeSpan(token.offset, self.offset)
        if not is_commented_out:
            siblings = parents[-1].children if parents else complete
            siblings.append(node)
        if self.read_entries(node):
            if len(parents) >= MAX_DEPTH:
                raise LimitExceededError(token.offset, f"children nested over {MAX_DEPTH} deep", "too-deep")
            parents.append(node)

    def close_children(self, token: Token, parents: list[NodeSpan]) -> None:
        """Read a closing brace, and the rest of the node whose children it closes."""
        if not parents:
            raise KdlSyntaxError(token.offset, "this '}' closes nothing")
        node = parents.pop()
        node.end = self.offset
        if self.read_entries(node):
            raise KdlSyntaxError(self.offset, "a node has only one block of children")

    def read_entries(self, node: NodeSpan) -> bool:
        """Read a node's arguments and properties up to its end.  Returns True where its children begin."""
        while True:
            start = self.offset
            if self.read_simple_entry(node):
                continue
            token = self.next_token()
            is_commented_out = token.kind == "dash"
            if is_commented_out:
                token = self.next_token(skip_lines=True)
            if token.ends_node():
                if token.text == "}":
                    self.offset = start  # this brace closes the parent
                node.end = max(node.end, start)
                return False
            if not token.is_mark("{"):
                self.read_entry(node, token, is_commented_out)
            elif is_commented_out:
                self.skip_children(token.offset)
            else:
                return True

    def read_simple_entry(self, node: NodeSpan) -> bool:
        """Read an entry of a usual form, see SIMPLE_ENTRY.  Returns False, and reads nothing, without one."""
        entry = SIMPLE_ENTRY.match(self.text, self.offset)
        if entry is None or self.entry_count >= MAX_ENTRIES:
            return False
        self.entry_count += 1
        self.offset = entry.end()
        node.end = self.offset
        if entry["key"] is None:
            node.arguments.append(entry.start("arg"))
        else:
            node.properties.append(PropertySpan(entry["key"], entry.start("key"), entry.start("value")))
        return True

    def read_entry(self, node: NodeSpan, token: Token, is_commented_out: bool) -> None:
        """Read an argument or a property that begins with ``token``."""
        if token.is_mark("("):
            token = self.token_after_annotation(token.offset)
        if token.kind not in VALUE_KINDS:
            raise KdlSyntaxError(
                token.offset, f"expected an argument or a property, not {abbreviated(token.text)}"
            )
        self.entry_count += 1
        if self.entry_count > MAX_ENTRIES:
            raise LimitExceededError(
                token.offset, f"over {MAX_ENTRIES} arguments and properties", "too-many-nodes"
            )
        if self.skip_equals_sign():
            key = parsed_key(token)
            value = self.next_token()
            if value.is_mark("("):
                value = self.token_after_annotation(value.offset)
            if value.kind not in VALUE_KINDS:
                raise KdlSyntaxError(
                    value.offset, f"expected the value of a property, not {abbreviated(value.text)}"
                )
            if not is_commented_out:
                node.properties.append(PropertySpan(key, token.offset, value.offset))
        elif not is_commented_out:
            node.arguments.append(token.offset)
        node.end = self.offset

    def skip_equals_sign(self) -> bool:
        """Read an equals sign, after blanks, comments and line continuations.  Returns False without one."""
        start = self.offset
        match = EQUALS.match(self.text, start)
        if match is None:
            return False
        if match["sure"]:
            self.offset = match.end()
            return True
        has_equals_sign = self.next_token().text == "="
        if not has_equals_sign:
            self.offset = start
        return has_equals_sign

    def skip_children(self, offset: int) -> None:
        """Skip a block of children that begins at ``offset`` and is commented out with ``/-``."""
        depth = 1
        while depth:
            token = self.next_token(skip_lines=True)
            if token.kind == END_OF_TEXT:
                raise KdlSyntaxError(offset, "these children are not closed: '}'")
            if token.is_mark("{"):
                depth += 1
            elif token.is_mark("}"):
                depth -= 1

    def token_after_annotation(self, offset: int) -> Token:
        """Skip a type annotation that begins at ``offset``, and return the next token."""
        self.next_token()
        if not self.next_token().is_mark(")"):
            raise KdlSyntaxError(offset, "a type annotation is not closed: ')'")
        return self.next_token()

    def next_token(self, skip_lines: bool = False) -> Token:
        """Read the next token; END_OF_TEXT at the end.  ``skip_lines`` skips newlines and line comments."""
        while True:
            match = TOKEN.match(self.text, self.offset)
            if match is None:
                excerpt = self.text[self.offset : self.offset + 12]
                raise KdlSyntaxError(self.offset, f"nothing in KDL begins with {abbreviated(excerpt)}")
            kind = match.lastgroup or ""
            offset = match.start(kind)
            self.offset = match.end()
            if kind == "end":
                return Token(END_OF_TEXT, offset, "")
            if kind == "block":
                self.skip_block_comment(offset)
            elif kind != "more" and not (skip_lines and kind in LINE_KINDS):
                return Token(kind, offset, match[kind])

    def skip_block_comment(self, offset: int) -> None:
        """Skip a comment between ``/*`` and ``*/`` that begins at ``offset``; such comments nest."""
        depth = 1
        while depth:
            match = BLOCK_COMMENT_EDGE.search(self.text, self.offset)
            if match is None:
                raise KdlSyntaxError(offset, "this comment is not closed: '*/'")
            depth += 1 if match[0] == "/*" else -1
            self.offset = match.end()


def parsed_key(token: Token) -> str:
    """The key of a property as the parser returns it."""
    if token.kind == "word":
        return token.text
    if token.kind == "string" and "\\" not in token.text:
        return token.text[1:-1]
    try:
        return str(ckdl.parse(f"- {token.text}", version=2).nodes[0].args[0])
    except ValueError:
        return token.text
