"""What all readers of KDL files share: the structure of a node, and its values.

Whatever is wrong is noted and left out, and the rest is read on.

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

MAX_NAME_CHARACTERS = 64
MAX_ADDRESSES = 16  # of control replicas
REPEATABLE_NODES = ("match",)  # a route complains of a second one itself

Parsed = TypeVar("Parsed")


class NodeReader:
    """Reads nodes and their values, and notes what is wrong with them in ``diagnostics``."""

    def __init__(self, diagnostics: DiagnosticCollector) -> None:
        self.diagnostics = diagnostics

    def check_structure(
        self, node: KdlNode, arguments: int, keys: tuple[str, ...], children: tuple[str, ...] = ()
    ) -> None:
        """Note what a node may not hold: too many arguments, other keys, other or repeated children."""
        for _, offset in node.arguments[arguments:]:
            self.diagnostics.add(offset, "unknown-key", f"{node.name!r} takes {argument_count(arguments)}")
        for key, found in node.properties.items():
            if key not in keys:
                self.diagnostics.add(
                    found.key_offset,
                    "unknown-key",
                    f"{node.name!r} has no {abbreviated(key)}{suggestion(key, keys)}",
                )
        seen: set[str] = set()
        for child in node.children:
            if child.name not in children:
                self.diagnostics.add(
                    child.offset,
                    "unknown-node",
                    f"{node.name!r} holds no {abbreviated(child.name)}{suggestion(child.name, children)}",
                )
            elif child.name in seen and child.name not in REPEATABLE_NODES:
                self.diagnostics.add(
                    child.offset, "duplicate-node", f"{child.name!r} stands twice in this {node.name!r}"
                )
            seen.add(child.name)

    def read_value(
        self, node: KdlNode, offset: int, raw: Value, parse: Callable[[Value], Parsed]
    ) -> Parsed | None:
        """A value of a node, parsed; None, and a diagnostic at its offset, where it cannot be used."""
        try:
            return parse(raw)
        except InvalidValue as error:
            self.diagnostics.add(offset, error.code, f"{node.name}: {error.reason}")
            return None

    # What is read is typed by the caller: a parser of a union type would lose it otherwise.
    def read_argument(self, node: KdlNode, parse: Callable[[Value], Any], expected: str) -> Any:
        """A node's first argument, parsed; None, and a diagnostic, where it is missing or cannot be used."""
        if not node.arguments:
            self.diagnostics.add(node.offset, "missing-value", f"{node.name!r} wants {expected}")
            return None
        argument = node.arguments[0]
        return self.read_value(node, argument.offset, argument.value, parse)

    def read_property(
        self, node: KdlNode, key: str, parse: Callable[[Value], Any], expected: str = ""
    ) -> Any:
        """A property, parsed; None where it is missing, or cannot be used, which is noted.

        Args:
            node: The node that may have it.
            key: The property's key.
            parse: Raises InvalidValue for what cannot be used.
            expected: What is due, for a property that is not optional.
        """
        found = node.properties.get(key)
        if found is not None:
            return self.read_value(node, found.value_offset, found.value, parse)
        if expected:
            self.diagnostics.add(node.offset, "missing-value", f"{node.name!r} wants {expected}")
        return None

    def read_name(self, node: KdlNode) -> str:
        """A name, which is the node's argument; empty, and a diagnostic, where it cannot be used."""
        return self.read_argument(node, parse_name, f'a name, as in {node.name} "orders"') or ""

    def read_addresses(self, node: KdlNode) -> tuple[tuple[str, int], ...]:
        """All arguments, MAX_ADDRESSES at the most, as addresses, each once; one is due at the least."""
        found: set[tuple[str, int]] = set()
        addresses: list[tuple[str, int]] = []
        for raw, offset in node.arguments[:MAX_ADDRESSES]:
            address = self.read_value(node, offset, raw, values.parse_address)
            if address in found:
                self.diagnostics.add(offset, "duplicate-name", f"{abbreviated(raw)} stands there already")
            elif address is not None:
                found.add(address)
                addresses.append(address)
        if not node.arguments:
            self.diagnostics.add(
                node.offset,
                "missing-value",
                f'{node.name!r} wants addresses, as in {node.name} "10.0.0.1:7100"',
            )
        return tuple(addresses)

    def line_of(self, offset: int) -> int:
        """The line of an offset, from 1."""
        return self.diagnostics.position_of(offset).line


def argument_count(count: int) -> str:
    """How many arguments, in words."""
    if count == 0:
        return "no argument"
    return "one argument" if count == 1 else f"{count} arguments"


def parse_name(raw: Value) -> str:
    """Some printable text of up to MAX_NAME_CHARACTERS."""
    text = values.parse_text(raw, "a name")
    if not text or len(text) > MAX_NAME_CHARACTERS or not text.isprintable():
        raise InvalidValue(
            "bad-name",
            f"{abbreviated(raw)} is no name; 1 to {MAX_NAME_CHARACTERS} printable characters",
        )
    return text


def value_offset(node: KdlNode, key: str) -> int:
    """Where a property's value stands; where the node does if it has no such property."""
    found = node.properties.get(key)
    return found.value_offset if found else node.offset
