"""The base class of all readers of KDL files: checks the structure of a node and parses its values.

Everything that is wrong is reported and skipped, and reading continues.

Readers of the operator's file (``reader``), of a control replica's file (``replica``) and of a rollout's plan
(``kelpcroft.rollout.plan``) are subclasses.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, TypeVar

from kelpcroft.operator_file import values
from kelpcroft.operator_file.diagnostics import DiagnosticCollector, abbreviated, suggestion
from kelpcroft.operator_file.text import KdlNode, Value
from kelpcroft.operator_file.values import InvalidValue

MAX_NAME_CHARACTERS = 64  # length of the name of a budget, a route or another node
MAX_ADDRESSES = 16  # addresses of control replicas in one node
REPEATABLE_NODES = ("match",)  # the reader of a route reports a second one with a message of its own

Parsed = TypeVar("Parsed")


class NodeReader:
    """Reads nodes and their values, and reports errors to ``diagnostics``."""

    def __init__(self, diagnostics: DiagnosticCollector) -> None:
        self.diagnostics = diagnostics

    def check_structure(
        self,
        node: KdlNode,
        max_arguments: int,
        known_keys: tuple[str, ...],
        known_children: tuple[str, ...] = (),
    ) -> None:
        """Report extra arguments, unknown keys, and unknown or repeated children of a node."""
        for _, offset in node.arguments[max_arguments:]:
            self.diagnostics.add(
                offset, "unknown-key", f"{node.name!r} takes {argument_count_text(max_arguments)}"
            )
        for key, node_property in node.properties.items():
            if key not in known_keys:
                self.diagnostics.add(
                    node_property.key_offset,
                    "unknown-key",
                    f"{node.name!r} has no property {abbreviated(key)}{suggestion(key, known_keys)}",
                )
        child_names: set[str] = set()
        for child in node.children:
            if child.name not in known_children:
                self.diagnostics.add(
                    child.offset,
                    "unknown-node",
                    f"{node.name!r} holds no {abbreviated(child.name)}"
                    f"{suggestion(child.name, known_children)}",
                )
            elif child.name in child_names and child.name not in REPEATABLE_NODES:
                self.diagnostics.add(
                    child.offset, "duplicate-node", f"{child.name!r} stands twice in this {node.name!r}"
                )
            child_names.add(child.name)

    def read_value(
        self, node: KdlNode, offset: int, raw: Value, parse: Callable[[Value], Parsed]
    ) -> Parsed | None:
        """Parse a value of a node.  Returns None, and reports it at its offset, where it is invalid."""
        try:
            return parse(raw)
        except InvalidValue as error:
            self.diagnostics.add(offset, error.code, f"{node.name}: {error.reason}")
            return None

    # Returns Any, and callers annotate the result: with a type variable, the type of a parser that returns a
    # union would be lost.
    def read_argument(self, node: KdlNode, parse: Callable[[Value], Any], expected: str) -> Any:
        """Parse a node's first argument.  Returns None, and reports it, where it is missing or invalid."""
        if not node.arguments:
            self.diagnostics.add(node.offset, "missing-value", f"{node.name!r} wants {expected}")
            return None
        argument = node.arguments[0]
        return self.read_value(node, argument.offset, argument.value, parse)

    def read_property(
        self, node: KdlNode, key: str, parse: Callable[[Value], Any], expected: str = ""
    ) -> Any:
        """Parse a property.  Returns None where it is missing or invalid; an invalid value is reported.

        Args:
            node: The node that may have the property.
            key: The property's key.
            parse: The parser; raises InvalidValue for an invalid value.
            expected: Description of the value for the message that a required property is missing; empty for
                an optional property.
        """
        node_property = node.properties.get(key)
        if node_property is not None:
            return self.read_value(node, node_property.value_offset, node_property.value, parse)
        if expected:
            self.diagnostics.add(node.offset, "missing-value", f"{node.name!r} wants {expected}")
        return None

    def read_name(self, node: KdlNode) -> str:
        """Parse the node's argument as a name.  Returns "" and reports it where it is missing or invalid."""
        return self.read_argument(node, parse_name, f'a name, as in {node.name} "orders"') or ""

    def read_addresses(self, node: KdlNode) -> tuple[tuple[str, int], ...]:
        """Parse the arguments as addresses: at least one, at most MAX_ADDRESSES, and each only once."""
        seen: set[tuple[str, int]] = set()
        addresses: list[tuple[str, int]] = []
        for raw, offset in node.arguments[:MAX_ADDRESSES]:
            address = self.read_value(node, offset, raw, values.parse_address)
            if address in seen:
                self.diagnostics.add(offset, "duplicate-name", f"{abbreviated(raw)} stands there already")
            elif address is not None:
                seen.add(address)
                addresses.append(address)
        if not node.arguments:
            self.diagnostics.add(
                node.offset,
                "missing-value",
                f'{node.name!r} wants addresses, as in {node.name} "10.0.0.1:7100"',
            )
        return tuple(addresses)

    def line_of(self, offset: int) -> int:
        """The line of an offset, counted from 1."""
        return self.diagnostics.position_of(offset).line


def argument_count_text(count: int) -> str:
    """A number of arguments in words."""
    if count == 0:
        return "no argument"
    return "one argument" if count == 1 else f"{count} arguments"


def parse_name(raw: Value) -> str:
    """Parse a name: 1 to MAX_NAME_CHARACTERS printable characters."""
    text = values.parse_text(raw, "a name")
    if not text or len(text) > MAX_NAME_CHARACTERS or not text.isprintable():
        raise InvalidValue(
            "bad-name",
            f"{abbreviated(raw)} is not a name; write 1 to {MAX_NAME_CHARACTERS} printable characters",
        )
    return text


def value_offset(node: KdlNode, key: str) -> int:
    """The offset of a property's value, or the node's offset where it has no such property."""
    node_property = node.properties.get(key)
    return node_property.value_offset if node_property else node.offset
