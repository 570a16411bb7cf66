"""The reader of a route's ``match`` node, which selects the requests of the route."""

from __future__ import annotations

import re

from kelpcroft.operator_file import values
from kelpcroft.operator_file.diagnostics import abbreviated, suggestion
from kelpcroft.operator_file.model import EFFECT_NAMES, GROUP_RANGE, PART_RANGE, Range, RouteMatch
from kelpcroft.operator_file.node_reader import NodeReader
from kelpcroft.operator_file.text import KdlNode, Value
from kelpcroft.operator_file.values import InvalidValue

OBJECT_PREFIX = re.compile(r"[0-9a-f]{1,16}")
MATCH_KEYS = (
    "class",
    "group",
    "object",
    "part",
    "zone",
    "retry",
    "write",
    "effect",
    "through",
    "multipart",
)


class MatchReader(NodeReader):
    """Reads ``match`` nodes."""

    def read_match(self, node: KdlNode) -> RouteMatch:
        """Read a match.  Invalid properties are reported and left out."""
        self.check_structure(node, 0, MATCH_KEYS)
        return RouteMatch(
            classes=tuple(self.read_property(node, "class", values.parse_list) or ()),
            groups=self.read_ranges(node, "group", GROUP_RANGE),
            parts=self.read_ranges(node, "part", PART_RANGE),
            objects=tuple(self.read_property(node, "object", parse_object_prefixes) or ()),
            zones=tuple(self.read_property(node, "zone", values.parse_list) or ()),
            retry=self.read_property(node, "retry", values.parse_flag),
            write=self.read_property(node, "write", values.parse_flag),
            effects=tuple(self.read_property(node, "effect", parse_effects) or ()),
            uncacheable=self.read_property(node, "through", values.parse_flag),
            multipart=self.read_property(node, "multipart", values.parse_flag),
        )

    def read_ranges(self, node: KdlNode, key: str, allowed: Range) -> tuple[Range, ...]:
        """Parse a property that lists ranges within the allowed one; a single number is a range too."""

        def parse(raw: Value) -> tuple[Range, ...]:
            if isinstance(raw, int) and not isinstance(raw, bool):
                return (values.parse_range(raw, allowed),)
            return tuple(values.parse_range(word, allowed) for word in values.parse_list(raw, "a range"))

        return self.read_property(node, key, parse) or ()


def parse_effects(raw: Value) -> list[str]:
    """Parse a list of EFFECT_NAMES."""
    effects = values.parse_list(raw)
    for effect in effects:
        if effect not in EFFECT_NAMES:
            raise InvalidValue(
                "unknown-effect",
                f"unknown effect {abbreviated(effect)}{suggestion(effect, EFFECT_NAMES)}; "
                f"known effects: {', '.join(EFFECT_NAMES)}",
            )
    return effects


def parse_object_prefixes(raw: Value) -> list[str]:
    """Parse a list of prefixes of object identifiers, in hex digits."""
    prefixes = values.parse_list(raw, "hex digits")
    for prefix in prefixes:
        if not OBJECT_PREFIX.fullmatch(prefix):
            raise InvalidValue("bad-object", f"{abbreviated(prefix)} is not 1 to 16 hex digits in lowercase")
    return prefixes
