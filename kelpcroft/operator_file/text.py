"""Bytes to a tree of KDL nodes in which every node, argument and property knows its offset in the text.

ckdl parses and ``NodeLocator`` finds where each node stands; ``attach_offsets`` lays one beside the other.
The locator runs first, as it also enforces the limits.  Both go node by node at the top.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from typing import NamedTuple

import ckdl

from kelpcroft.operator_file.diagnostics import DiagnosticCollector, FilePosition, SourceText, abbreviated
from kelpcroft.operator_file.locator import KdlSyntaxError, NodeLocator, NodeSpan

MAX_FILE_BYTES = 1 << 20
FILE_START = FilePosition(1, 1)
EXCERPT_CHARACTERS = 30  # of the text, in a message

Value = str | int | float | bool | None


class KdlArgument(NamedTuple):
    """An argument of a node, and its offset into the text."""

    value: Value
    offset: int


@dataclass(slots=True)
class KdlProperty:
    """A property's value, with the offsets of its key and of itself into the text."""

    value: Value
    key_offset: int
    value_offset: int


@dataclass(slots=True)
class KdlNode:
    """A node with its offset into the text."""

    name: str
    offset: int
    arguments: list[KdlArgument]
    properties: dict[str, KdlProperty]
    children: list[KdlNode]


def parse_nodes(data: bytes, diagnostics: DiagnosticCollector) -> Iterator[KdlNode]:
    """The nodes at the top of a file, one at a time, as a whole tree of a large file takes much memory.

    What is no KDL is noted in ``diagnostics`` and left out; that also learns the file's text, for positions.

    Raises:
        TooManyDiagnostics: The file has more faults than are kept.
    """
    text = decode_text(data, diagnostics)
    if text is None:
        return
    diagnostics.source = SourceText(text)
    try:
        for span in NodeLocator(text).top_level_nodes():
            yield from parse_node(text, span, diagnostics)
    except KdlSyntaxError as error:
        diagnostics.add(error.offset, error.code, error.message)


def decode_text(data: bytes, diagnostics: DiagnosticCollector) -> str | None:
    """A file's text, or None and a diagnostic where it is too large or no UTF-8."""
    if len(data) > MAX_FILE_BYTES:
        diagnostics.add(FILE_START, "too-large", f"over {MAX_FILE_BYTES} bytes")
        return None
    try:
        return data.decode()
    except UnicodeDecodeError as error:
        before = data[: error.start].decode()
        diagnostics.add(
            SourceText(before).position_of(len(before)),
            "not-utf8",
            f"byte {data[error.start]:#04x} begins no UTF-8 character; save the file as UTF-8",
        )
        return None


def parse_node(text: str, span: NodeSpan, diagnostics: DiagnosticCollector) -> list[KdlNode]:
    """One node at the top; none, and diagnostics, where it cannot be parsed."""
    try:
        nodes = ckdl.parse(text[span.offset : span.end], version=2).nodes
    except ValueError as error:
        offset = innermost_broken_node(text, span)
        excerpt = text[offset : offset + EXCERPT_CHARACTERS]
        diagnostics.add(offset, "not-kdl", f"{error}: near {abbreviated(excerpt)}")
        return []
    return attach_offsets(nodes, [span], diagnostics)


def innermost_broken_node(text: str, broken: NodeSpan) -> int:
    """Where the parser's fault is: the offset of the innermost node that does not parse on its own."""
    offset = broken.offset
    children = broken.children
    while True:
        for child in children:
            if not parses_alone(text, child):
                offset = child.offset
                children = child.children
                break
        else:
            return offset


def parses_alone(text: str, span: NodeSpan) -> bool:
    """Whether the parser takes a node by itself."""
    try:
        ckdl.parse(text[span.offset : span.end], version=2)
    except ValueError:
        return False
    return True


def attach_offsets(
    nodes: list[ckdl.Node], spans: list[NodeSpan], diagnostics: DiagnosticCollector
) -> list[KdlNode]:
    """Parsed nodes with their offsets.  Where both passes disagree the file is refused, not guessed at."""
    if len(nodes) != len(spans):
        diagnostics.add(FILE_START, "not-kdl", f"{len(nodes)} nodes were parsed where {len(spans)} stand")
        return []
    located: list[KdlNode] = []
    for node, span in zip(nodes, spans, strict=True):
        parsed_arguments = node.args
        parsed_properties = node.properties
        keys = {key for key, _, _ in span.properties}
        if len(parsed_arguments) != len(span.arguments) or len(parsed_properties) != len(keys):
            diagnostics.add(
                span.offset,
                "not-kdl",
                f"the parts of {abbreviated(node.name)} cannot be told apart; "
                "write them without escapes and comments",
            )
            continue
        properties = locate_properties(parsed_properties, span, diagnostics)
        arguments = [
            KdlArgument(without_annotation(value), offset)
            for value, offset in zip(parsed_arguments, span.arguments, strict=True)
        ]
        children = attach_offsets(node.children, span.children, diagnostics) if span.children else []
        located.append(KdlNode(node.name, span.offset, arguments, properties, children))
    return located


def locate_properties(
    parsed: Mapping[str, object], span: NodeSpan, diagnostics: DiagnosticCollector
) -> dict[str, KdlProperty]:
    """A node's properties by key; a key that stands twice is noted, and its last value taken."""
    properties: dict[str, KdlProperty] = {}
    for key, key_offset, value_offset in span.properties:
        if key in properties:
            diagnostics.add(key_offset, "duplicate-key", f"{key!r} stands here twice; the last would win")
        if key not in parsed:
            diagnostics.add(
                key_offset, "not-kdl", f"{abbreviated(key)} cannot be told apart; write it without escapes"
            )
            continue
        properties[key] = KdlProperty(without_annotation(parsed[key]), key_offset, value_offset)
    return properties


def without_annotation(value: object) -> Value:
    """A value without its type annotation, which means nothing here."""
    if isinstance(value, (str, int, float, bool)):
        return value
    return without_annotation(value.value) if isinstance(value, ckdl.Value) else None
