"""The file of a control replica, and its reader.

    control-replica version=1
    listen "10.0.0.1:7100"
    list-service "10.0.0.9:7000"             // one or more; or
    peer "10.0.0.2:7100"                     // other control replicas, used as upstreams too
    lease "3s"                               // a state not confirmed by upstream for this long is stale
    batch "400ms"                            // interval between two responses to one watcher
    watches 1000                             // maximum; further watch requests are rejected

Read like the operator's file: it is KDL, and all diagnostics are reported at once, each with its position and
a stable code.
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
VERSION_NODE = "control-replica"
LEASE_RANGE_NS = (2 * SECOND, 60 * SECOND)  # upstream sends a response once a second
BATCH_RANGE_NS = (10 * MS, 1 * SECOND)  # a longer interval would delay events by more than a purge may take
MAX_WATCHES = 10_000  # upper bound of ``watches``
FILE_OFFSET = 0  # offset of diagnostics for missing nodes

Address = tuple[str, int]


@dataclass(frozen=True, slots=True)
class ControlReplicaFile:
    """The contents of a control replica's file."""

    listen: Address = ("127.0.0.1", 0)
    list_services: tuple[Address, ...] = ()
    peers: tuple[Address, ...] = ()
    lease_ns: int = 3 * SECOND
    batch_ns: int = 400 * MS
    watches: int = 1_000


def load(data: bytes) -> tuple[ControlReplicaFile, list[Diagnostic]]:
    """Parse the bytes of a file.  Returns its contents and all diagnostics."""
    diagnostics = DiagnosticCollector()
    file = ControlReplicaFile()
    with suppress(TooManyDiagnostics):
        file = ReplicaFileReader(diagnostics).read_file(parse_nodes(data, diagnostics))
    return file, diagnostics.in_file_order()


class ReplicaFileReader(NodeReader):
    """Reads one file, and checks the structure of its nodes as in the operator's file."""

    def __init__(self, diagnostics: DiagnosticCollector) -> None:
        super().__init__(diagnostics)
        self.file = ControlReplicaFile()  # the contents that were read so far
        self.node_offsets: dict[str, int] = {}

    def read_file(self, nodes: Iterable[KdlNode]) -> ControlReplicaFile:
        """Read a complete file.  A value that is missing or invalid keeps its default."""
        for index, node in enumerate(nodes):
            if index == 0 and node.name != VERSION_NODE:
                self.diagnostics.add(
                    node.offset,
                    "no-version",
                    f"the first node must be '{VERSION_NODE} version={VERSION}', "
                    f"not {abbreviated(node.name)}",
                )
            self.read_top_level_node(node)
        self.check_required_nodes()
        return self.file

    def read_top_level_node(self, node: KdlNode) -> None:
        """Read a top-level node.  Each may occur once, and a repeated one is reported."""
        if node.name not in NODE_READERS:
            self.diagnostics.add(
                node.offset,
                "unknown-node",
                f"unknown node {abbreviated(node.name)}{suggestion(node.name, NODE_READERS)}",
            )
        elif node.name in self.node_offsets:
            line = self.line_of(self.node_offsets[node.name])
            self.diagnostics.add(
                node.offset, "duplicate-node", f"{node.name!r} already occurs at line {line}"
            )
        else:
            self.node_offsets[node.name] = node.offset
            NODE_READERS[node.name](self, node)

    def check_required_nodes(self) -> None:
        """Report a missing address to listen on, and missing upstreams."""
        if "listen" not in self.node_offsets:
            self.report_missing_node("listen", '"10.0.0.1:7100"')
        if "list-service" not in self.node_offsets and "peer" not in self.node_offsets:
            self.report_missing_node("list-service", '"10.0.0.9:7000"')

    def report_missing_node(self, name: str, example: str) -> None:
        """Report that a required node is missing."""
        self.diagnostics.add(
            FILE_OFFSET, "missing-value", f"there is no {name}; add one, as in {name} {example}"
        )

    def read_version(self, node: KdlNode) -> None:
        """Read ``control-replica version=1``."""
        self.check_structure(node, 0, ("version",))
        version = node.properties.get("version")
        if version is None or version.value != VERSION or isinstance(version.value, bool):
            offset = node.offset if version is None else version.value_offset
            self.diagnostics.add(
                offset, "unknown-version", f"unsupported version; write {VERSION_NODE} version={VERSION}"
            )

    def read_listen(self, node: KdlNode) -> None:
        """Read ``listen "10.0.0.1:7100"``."""
        self.check_structure(node, 1, ())
        address = self.read_argument(node, values.parse_address, 'an address, as in listen "10.0.0.1:7100"')
        if address is not None:
            self.file = replace(self.file, listen=address)

    def read_list_services(self, node: KdlNode) -> None:
        """Read ``list-service "10.0.0.9:7000"``, one or more addresses."""
        self.check_structure(node, len(node.arguments), ())
        self.file = replace(self.file, list_services=self.read_addresses(node))

    def read_peers(self, node: KdlNode) -> None:
        """Read ``peer "10.0.0.2:7100"``, one or more addresses."""
        self.check_structure(node, len(node.arguments), ())
        self.file = replace(self.file, peers=self.read_addresses(node))

    def read_lease(self, node: KdlNode) -> None:
        """Read ``lease "3s"``."""
        lease_ns = self.read_duration_within(node, LEASE_RANGE_NS)
        if lease_ns is not None:
            self.file = replace(self.file, lease_ns=lease_ns)

    def read_batch(self, node: KdlNode) -> None:
        """Read ``batch "400ms"``."""
        batch_ns = self.read_duration_within(node, BATCH_RANGE_NS)
        if batch_ns is not None:
            self.file = replace(self.file, batch_ns=batch_ns)

    def read_watches(self, node: KdlNode) -> None:
        """Read ``watches 1000``."""
        self.check_structure(node, 1, ())
        watches = self.read_argument(
            node, lambda raw: values.parse_count(raw, 1, MAX_WATCHES), "a count, as in watches 1000"
        )
        if watches is not None:
            self.file = replace(self.file, watches=watches)

    def read_duration_within(self, node: KdlNode, bounds_ns: tuple[int, int]) -> int | None:
        """Parse a node's argument as a duration between two bounds, in ns.  Returns None if it is invalid."""
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
            f"{node.name!r} must be from {min_ns // MS}ms to {max_ns // MS}ms",
        )
        return None


NODE_READERS: dict[str, Callable[[ReplicaFileReader, KdlNode], None]] = {
    VERSION_NODE: ReplicaFileReader.read_version,
    "listen": ReplicaFileReader.read_listen,
    "list-service": ReplicaFileReader.read_list_services,
    "peer": ReplicaFileReader.read_peers,
    "lease": ReplicaFileReader.read_lease,
    "batch": ReplicaFileReader.read_batch,
    "watches": ReplicaFileReader.read_watches,
}
