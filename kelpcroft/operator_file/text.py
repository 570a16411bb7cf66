"""The KDL parser: from bytes to a tree of nodes, arguments and properties, each with its offset in the text.

ckdl parses the values, and ``NodeLocator`` finds the offset of each node; ``attach_offsets`` combines both
results.  The locator runs first, as it also enforces the limits.  Both process one top-level node at a time.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from typing import NamedTuple

import ckdl

from kelpcroft.operator_file.diagnostics import DiagnosticCollector, FilePosition, SourceText, abbreviated
from kelpcroft.operator_file.locator import KdlSyntaxError, NodeLocator, NodeSpan

MAX_FILE_BYTES = 1 << 20  # a larger file is rejected without being parsed
FILE_START = FilePosition(1, 1)  # position of diagnostics for the complete file
EXCERPT_CHARACTERS = 30  # length of the excerpt of a file's text in a message

Value = str | int | float | bool | None


class KdlArgument(NamedTuple):
    """An argument of a node, and its offset in the text."""

    value: Value
    offset: int


@dataclass(slots=True)
class KdlProperty:
    """The value of a property, and the offsets of its key and its value in the text."""

    value: Value
    key_offset: int
    value_offset: int


@dataclass(slots=True)
class KdlNode:
    """A node, and its offset in the text."""

    name: str
    offset: int
    arguments: list[KdlArgument]
    properties: dict[str, KdlProperty]
    children: list[KdlNode]


def parse_nodes(data: bytes, diagnostics: DiagnosticCollector) -> Iterator[KdlNode]:
    """Parse the top-level nodes of a file one at a time: the tree of a large file takes much memory.

    Nodes that are not valid KDL are reported to ``diagnostics`` and left out.  The text of the file becomes
    the source of ``diagnostics``, which computes positions from it.

    Raises:
        TooManyDiagnostics: The file has MAX_DIAGNOSTICS errors or more.
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
    """Decode a file.  Returns None, and reports it, where the file is too large or not UTF-8."""
    if len(data) > MAX_FILE_BYTES:
        diagnostics.add(FILE_START, "too-large", f"the file has over {MAX_FILE_BYTES} bytes")
        return None
    try:
        return data.decode()
    except UnicodeDecodeError as error:
        valid_text = data[: error.start].decode()
        diagnostics.add(
            SourceText(valid_text).position_of(len(valid_text)),
            "not-utf8",
            f"byte {data[error.start]:#04x} does not begin a UTF-8 character; save the file as UTF-8",
        )
        return None


def parse_node(text: str, span: NodeSpan, diagnostics: DiagnosticCollector) -> list[KdlNode]:
    """Parse one top-level node.  Returns an empty list, and reports it, where the node cannot be parsed."""
    try:
        nodes = ckdl.parse(text[span.offset : span.end], version=2).nodes
    except ValueError as error:
        offset = innermost_invalid_node(text, span)
        excerpt = text[offset : offset + EXCERPT_CHARACTERS]
        diagnostics.add(offset, "not-kdl", f"{error}: near {abbreviated(excerpt)}")
        return []
    return attach_offsets(nodes, [span], diagnostics)


def innermost_invalid_node(text: str, span: NodeSpan) -> int:
    """The offset of the innermost node that does not parse by itself: the place of the parser's error."""
    offset = span.offset
    children = span.children
    while True:
        for child in children:
            if not parses_by_itself(text, child):
                offset = child.offset
                children = child.children
                break
        else:
            return offset


def parses_by_itself(text: str, span: NodeSpan) -> bool:
    """Whether a node parses by itself."""
    try:
        ckdl.parse(text[span.offset : span.end], version=2)
    except ValueError:
        return False
    return True


def attach_offsets(
    nodes: list[ckdl.Node], spans: list[NodeSpan], diagnostics: DiagnosticCollector
) -> list[KdlNode]:
    """Combine parsed nodes with their offsets.  Where parser and locator disagree, the file is rejected."""
    if len(nodes) != len(spans):
        diagnostics.add(FILE_START, "not-kdl", f"{len(nodes)} nodes were parsed, but {len(spans)} located")
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
                f"the arguments and properties of {abbreviated(node.name)} cannot be located; "
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
    """A node's properties by key.  A repeated key is reported, and its last value is used."""
    properties: dict[str, KdlProperty] = {}
    for key, key_offset, value_offset in span.properties:
        if key in properties:
            diagnostics.add(key_offset, "duplicate-key", f"{key!r} stands here twice; write it once")
        if key not in parsed:
            diagnostics.add(
                key_offset, "not-kdl", f"{abbreviated(key)} cannot be located; write it without escapes"
            )
            continue
        properties[key] = KdlProperty(without_annotation(parsed[key]), key_offset, value_offset)
    return properties


def without_annotation(value: object) -> Value:
    """A value without its type annotation, which has no meaning in this file."""
    if isinstance(value, (str, int, float, bool)):
        return value
    return without_annotation(value.value) if isinstance(value, ckdl.Value) else None
