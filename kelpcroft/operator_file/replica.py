"""A control replica's file.

    control-replica version=1
    listen "10.0.0.1:7100"
    list-service "10.0.0.9:7000"             // one or more; or
    peer "10.0.0.2:7100"                     // other control replicas, tried in turn with it
    lease "3s"                               // without word from upstream for so long it is stale
    batch "400ms"                            // between two answers to one watcher
    watches 1000                             // at the most; more are refused

Read like the operator's file: KDL, every fault with its place and a stable code, all of them at once.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

from kelpcroft.operator_file import values
from kelpcroft.operator_file.diagnostics import (
    Diagnostic,
    DiagnosticCollector,
    TooManyDiagnostics,
    abbreviated,
    suggestion,
)
from kelpcroft.operator_file.reader import NodeReader
from kelpcroft.operator_file.text import KdlNode, parse_nodes

VERSION = 1
MS = 10**6
SECOND = 1_000 * MS
HEAD = "control-replica"
TOP = (HEAD, "listen", "list-service", "peer", "lease", "batch", "watches")
LEASE_NS = (2 * SECOND, 60 * SECOND)  # upstream is heard once a second
BATCH_NS = (10 * MS, 1 * SECOND)  # more would keep news back for longer than purges may take
WATCHES_MOST = 10_000

Address = tuple[str, int]


@dataclass(frozen=True, slots=True)
class ControlReplicaFile:
    """What such a file says."""

    listen: Address = ("127.0.0.1", 0)
    list_services: tuple[Address, ...] = ()
    peers: tuple[Address, ...] = ()
    lease_ns: int = 3 * SECOND
    batch_ns: int = 400 * MS
    watches: int = 1_000


def load(data: bytes) -> tuple[ControlReplicaFile, list[Diagnostic]]:
    """A file's bytes, and all that is wrong with them."""
    faults, file = DiagnosticCollector(), ControlReplicaFile()
    try:
        file = ReplicaReader(faults).replica(parse_nodes(data, faults))
    except TooManyDiagnostics:
        pass
    return file, faults.in_file_order()


class ReplicaReader(NodeReader):
    """One file; what nodes may hold is checked as in the operator's file."""

    def replica(self, items: Iterable[KdlNode]) -> ControlReplicaFile:
        """The whole file."""
        said: dict[str, Any] = {}
        seen: dict[str, int] = {}
        for n, item in enumerate(items):
            if n == 0 and item.name != HEAD:
                self.diagnostics.add(
                    item.offset,
                    "no-version",
                    f"the first node is '{HEAD} version={VERSION}', not {abbreviated(item.name)}",
                )
            if item.name not in TOP:
                self.diagnostics.add(
                    item.offset,
                    "unknown-node",
                    f"a replica's file holds no {abbreviated(item.name)}{suggestion(item.name, TOP)}",
                )
            elif item.name in seen:
                self.diagnostics.add(
                    item.offset,
                    "duplicate-node",
                    f"{item.name!r} stands at line {self.line_of(seen[item.name])} already",
                )
            else:
                seen[item.name] = item.offset
                said.update(self.node(item))
        for name, example in (("listen", '"10.0.0.1:7100"'), ("list-service", '"10.0.0.9:7000"')):
            if name not in seen and not (name == "list-service" and "peer" in seen):
                self.diagnostics.add(0, "missing-value", f"there is no {name}; add one, as {name} {example}")
        return ControlReplicaFile(**{key: value for key, value in said.items() if value is not None})

    def node(self, item: KdlNode) -> dict[str, Any]:
        """What one node says."""
        if item.name == HEAD:
            self.check_structure(item, 0, ("version",))
            found = item.properties.get("version")
            if found is None or found.value != VERSION or isinstance(found.value, bool):
                place = item.offset if found is None else found.value_offset
                self.diagnostics.add(place, "unknown-version", f"{HEAD} version={VERSION} is known here")
            return {}
        if item.name in ("list-service", "peer"):
            self.check_structure(item, len(item.arguments), ())
            return {"list_services" if item.name == "list-service" else "peers": self.read_addresses(item)}
        self.check_structure(item, 1, ())
        if item.name == "listen":
            return {
                "listen": self.read_argument(
                    item, values.parse_address, 'an address, as in listen "10.0.0.1:7100"'
                )
            }
        if item.name == "watches":

            def count(raw: Any) -> int:
                return values.parse_count(raw, 1, WATCHES_MOST)

            return {"watches": self.read_argument(item, count, "a count, as in watches 1000")}
        return {f"{item.name}_ns": self.span(item, LEASE_NS if item.name == "lease" else BATCH_NS)}

    def span(self, item: KdlNode, whole: tuple[int, int]) -> int | None:
        """A duration between two others."""
        found: int | None = self.read_argument(
            item, values.parse_duration, f'a time, as in {item.name} "500ms"'
        )
        if found is not None and not whole[0] <= found <= whole[1]:
            self.diagnostics.add(
                item.arguments[0][1],
                "bad-duration",
                f"{item.name!r} is from {whole[0] // MS}ms to {whole[1] // MS}ms",
            )
            return None
        return found
