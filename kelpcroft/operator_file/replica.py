"""A control replica's file.

    control-replica version=1
    listen "10.0.0.1:7100"
    list-service "10.0.0.9:7000"             // one or more; or
    peer "10.0.0.2:7100"                     // other control replicas, tried in turn with it
    lease "3s"                               // without word from upstream it is stale after this
    batch "400ms"                            // between two answers to one watcher
    watches 1000                             // at the most; more are refused

Read like the operator's file: KDL, every fault with its position and a stable code, all of them at once.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from contextlib import suppress
from dataclasses import dataclass, replace

from kelpcroft.operator_file import values
from kelpcroft.operator_file.diagnostics import (
    Diagnostic,
    DiagnosticCollector,
    TooManyDiagnostics,
    abbreviated,
    suggestion,
)
from kelpcroft.operator_file.node_reader import NodeReader
from kelpcroft.operator_file.text import KdlNode, parse_nodes

VERSION = 1
MS = values.MS
SECOND = values.SECOND
HEAD = "control-replica"
LEASE_RANGE_NS = (2 * SECOND, 60 * SECOND)  # upstream is heard once a second
BATCH_RANGE_NS = (10 * MS, 1 * SECOND)  # more would keep news back for longer than purges may take
MAX_WATCHES = 10_000
FILE_OFFSET = 0  # of what a file lacks

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
    diagnostics = DiagnosticCollector()
    file = ControlReplicaFile()
    with suppress(TooManyDiagnostics):
        file = ReplicaFileReader(diagnostics).read_file(parse_nodes(data, diagnostics))
    return file, diagnostics.in_file_order()


class ReplicaFileReader(NodeReader):
    """Reads one file; what nodes may hold is checked as in the operator's file."""

    def __init__(self, diagnostics: DiagnosticCollector) -> None:
        super().__init__(diagnostics)
        self.file = ControlReplicaFile()  # as far as it was read
        self.node_offsets: dict[str, int] = {}

    def read_file(self, nodes: Iterable[KdlNode]) -> ControlReplicaFile:
        """The whole file; what it does not say, or not well, has its default."""
        for index, node in enumerate(nodes):
            if index == 0 and node.name != HEAD:
                self.diagnostics.add(
                    node.offset,
                    "no-version",
                    f"the first node is '{HEAD} version={VERSION}', not {abbreviated(node.name)}",
                )
            self.read_top_level_node(node)
        self.check_needed_nodes()
        return self.file

    def read_top_level_node(self, node: KdlNode) -> None:
        """A node at the top, each of which may stand once."""
        if node.name not in NODE_READERS:
            self.diagnostics.add(
                node.offset,
                "unknown-node",
                f"a replica's file holds no {abbreviated(node.name)}{suggestion(node.name, NODE_READERS)}",
            )
        elif node.name in self.node_offsets:
            line = self.line_of(self.node_offsets[node.name])
            self.diagnostics.add(
                node.offset, "duplicate-node", f"{node.name!r} stands at line {line} already"
            )
        else:
            self.node_offsets[node.name] = node.offset
            NODE_READERS[node.name](self, node)

    def check_needed_nodes(self) -> None:
        """An address to listen at, and something to listen to."""
        if "listen" not in self.node_offsets:
            self.note_missing("listen", '"10.0.0.1:7100"')
        if "list-service" not in self.node_offsets and "peer" not in self.node_offsets:
            self.note_missing("list-service", '"10.0.0.9:7000"')

    def note_missing(self, name: str, example: str) -> None:
        """A node is missing that the file needs."""
        self.diagnostics.add(
            FILE_OFFSET, "missing-value", f"there is no {name}; add one, as {name} {example}"
        )

    def read_version(self, node: KdlNode) -> None:
        """``control-replica version=1``."""
        self.check_structure(node, 0, ("version",))
        found = node.properties.get("version")
        if found is None or found.value != VERSION or isinstance(found.value, bool):
            offset = node.offset if found is None else found.value_offset
            self.diagnostics.add(offset, "unknown-version", f"{HEAD} version={VERSION} is known here")

    def read_listen(self, node: KdlNode) -> None:
        """``listen "10.0.0.1:7100"``."""
        self.check_structure(node, 1, ())
        address = self.read_argument(node, values.parse_address, 'an address, as in listen "10.0.0.1:7100"')
        if address is not None:
            self.file = replace(self.file, listen=address)

    def read_list_services(self, node: KdlNode) -> None:
        """``list-service "10.0.0.9:7000"``, one or more."""
        self.check_structure(node, len(node.arguments), ())
        self.file = replace(self.file, list_services=self.read_addresses(node))

    def read_peers(self, node: KdlNode) -> None:
        """``peer "10.0.0.2:7100"``, one or more."""
        self.check_structure(node, len(node.arguments), ())
        self.file = replace(self.file, peers=self.read_addresses(node))

    def read_lease(self, node: KdlNode) -> None:
        """``lease "3s"``."""
        lease_ns = self.read_duration_within(node, LEASE_RANGE_NS)
        if lease_ns is not None:
            self.file = replace(self.file, lease_ns=lease_ns)

    def read_batch(self, node: KdlNode) -> None:
        """``batch "400ms"``."""
        batch_ns = self.read_duration_within(node, BATCH_RANGE_NS)
        if batch_ns is not None:
            self.file = replace(self.file, batch_ns=batch_ns)

    def read_watches(self, node: KdlNode) -> None:
        """``watches 1000``."""
        self.check_structure(node, 1, ())
        watches = self.read_argument(
            node, lambda raw: values.parse_count(raw, 1, MAX_WATCHES), "a count, as in watches 1000"
        )
        if watches is not None:
            self.file = replace(self.file, watches=watches)

    def read_duration_within(self, node: KdlNode, bounds_ns: tuple[int, int]) -> int | None:
        """A node's argument as a duration between two others, in ns."""
        self.check_structure(node, 1, ())
        duration_ns: int | None = self.read_argument(
            node, values.parse_duration, f'a time, as in {node.name} "500ms"'
        )
        if duration_ns is None:
            return None
        min_ns, max_ns = bounds_ns
        if min_ns <= duration_ns <= max_ns:
            return duration_ns
        self.diagnostics.add(
            node.arguments[0].offset,
            "bad-duration",
            f"{node.name!r} is from {min_ns // MS}ms to {max_ns // MS}ms",
        )
        return None


NODE_READERS: dict[str, Callable[[ReplicaFileReader, KdlNode], None]] = {
    HEAD: ReplicaFileReader.read_version,
    "listen": ReplicaFileReader.read_listen,
    "list-service": ReplicaFileReader.read_list_services,
    "peer": ReplicaFileReader.read_peers,
    "lease": ReplicaFileReader.read_lease,
    "batch": ReplicaFileReader.read_batch,
    "watches": ReplicaFileReader.read_watches,
}
