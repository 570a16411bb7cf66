"""The reader of an operator's file: builds the model from the KDL tree, one top-level node after another."""

from __future__ import annotations

from collections.abc import Callable, Generator, Iterable
from dataclasses import replace

from kelpcroft.operator_file import values
from kelpcroft.operator_file.diagnostics import DiagnosticCollector, abbreviated, suggestion
from kelpcroft.operator_file.match_reader import MatchReader
from kelpcroft.operator_file.model import (
    BudgetSettings,
    ControlReplicas,
    OperatorFile,
    Route,
    RouteMatch,
    RoutePolicy,
)
from kelpcroft.operator_file.node_reader import MAX_ADDRESSES, NodeReader
from kelpcroft.operator_file.policy_reader import POLICY_NODES, PolicyReader
from kelpcroft.operator_file.text import KdlNode
from kelpcroft.startup.options import StartupOptions

VERSION = 1  # version of the file's format
MIN_STALE_NS = 2 * values.SECOND  # a replica receives a response from its upstream once a second
MAX_STALE_NS = 60 * values.SECOND  # upper bound of ``stale``
MIN_LIST_CALLS_PER_S = 0.1  # lower bound of ``list-calls``
MAX_LIST_CALLS_PER_S = 1e6  # upper bound of ``list-calls``
MAX_BUDGET_RATIO = 10  # tokens per request
MIN_BURST = 1  # tokens; fewer would never allow an attempt
DEFAULT_BURST = 10.0  # tokens


class OperatorFileReader(NodeReader):
    """Reads one file.  The attributes collect the contents of the nodes that were read so far."""

    def __init__(self, diagnostics: DiagnosticCollector) -> None:
        super().__init__(diagnostics)
        self.match_reader = MatchReader(diagnostics)
        self.policy_reader = PolicyReader(diagnostics)
        self.routes: list[Route] = []  # without the defaults, which may follow the routes in the file
        self.budgets: list[BudgetSettings] = []
        self.defaults = RoutePolicy()
        self.exposes_state = False
        self.start_options = StartupOptions()
        self.control_replicas: ControlReplicas | None = None
        self.node_offsets: dict[str, int] = {}  # offsets of the nodes that may occur once, by name
        # Offsets of budgets and routes, by the name of the node and their own name.
        self.name_offsets: dict[tuple[str, str], int] = {}

    def read_file(self, nodes: Iterable[KdlNode]) -> Generator[None, None, OperatorFile]:
        """Read a complete file, one step for each top-level node.

        Raises:
            TooManyDiagnostics: The file has MAX_DIAGNOSTICS errors or more.
        """
        is_first = True
        for node in nodes:
            yield
            if is_first and node.name != "kelpcroft":
                self.diagnostics.add(
                    node.offset,
                    "no-version",
                    f"the first node is 'kelpcroft version={VERSION}', not {abbreviated(node.name)}",
                )
            is_first = False
            self.read_top_level_node(node)
        file = OperatorFile(
            self.routes_with_defaults(),
            tuple(self.budgets),
            self.defaults,
            self.exposes_state,
            self.start_options,
            self.control_replicas,
            self.diagnostics.position_of(self.node_offsets.get("start", 0)),
        )
        self.check_budget_names(file)
        return file

    def routes_with_defaults(self) -> tuple[Route, ...]:
        """The routes, with the defaults merged into their policies."""
        if self.defaults == RoutePolicy():
            return tuple(self.routes)
        return tuple(
            replace(route, policy=route.policy.with_defaults(self.defaults)) for route in self.routes
        )

    def read_top_level_node(self, node: KdlNode) -> None:
        """Read a top-level node: one that may occur once, or a budget or a route, which has a name."""
        if node.name in NAMED_NODES:
            self.read_named_node(node)
            return
        if node.name not in SINGLE_NODE_READERS:
            self.diagnostics.add(
                node.offset,
                "unknown-node",
                f"unknown node {abbreviated(node.name)}{suggestion(node.name, TOP_LEVEL_NODES)}",
            )
            return
        if node.name in self.node_offsets:
            line = self.line_of(self.node_offsets[node.name])
            self.diagnostics.add(
                node.offset, "duplicate-node", f"{node.name!r} stands at line {line} already"
            )
            return
        self.node_offsets[node.name] = node.offset
        SINGLE_NODE_READERS[node.name](self, node)

    def read_named_node(self, node: KdlNode) -> None:
        """Read a budget or a route.  A repeated name is reported, and the node is read nevertheless."""
        name = self.read_name(node)
        if name and (node.name, name) in self.name_offsets:
            line = self.line_of(self.name_offsets[node.name, name])
            self.diagnostics.add(
                node.offset,
                "duplicate-name",
                f"{node.name} {abbreviated(name)} stands at line {line} already",
            )
        self.name_offsets.setdefault((node.name, name), node.offset)
        if node.name == "budget":
            self.budgets.append(self.read_budget(node, name))
        else:
            self.routes.append(self.read_route(node, name))

    def read_version(self, node: KdlNode) -> None:
        """Read ``kelpcroft version=1``."""
        self.check_structure(node, 0, ("version",))
        version = node.properties.get("version")
        if version is None:
            self.diagnostics.add(
                node.offset, "no-version", f"the version is missing; write kelpcroft version={VERSION}"
            )
        elif isinstance(version.value, bool) or not isinstance(version.value, int):
            self.diagnostics.add(
                version.value_offset,
                "wrong-type",
                f"the version must be a whole number, not {abbreviated(version.value)}",
            )
        elif version.value != VERSION:
            self.diagnostics.add(
                version.value_offset,
                "unknown-version",
                f"version {abbreviated(version.value)} is not known here; write version {VERSION}",
            )

    def read_control(self, node: KdlNode) -> None:
        """Read ``control state=#true``: the information that the control address serves."""
        self.check_structure(node, 0, ("state",))
        self.exposes_state = bool(
            self.read_property(node, "state", values.parse_flag, "a flag, as in state=#true")
        )

    def read_start(self, node: KdlNode) -> None:
        """Read ``start list-calls=50 store=#true count=#true``: limits while many routers start together."""
        self.check_structure(node, 0, ("list-calls", "store", "count"))
        if not node.properties:
            self.diagnostics.add(
                node.offset,
                "missing-value",
                "'start' needs list-calls=50 (the requests a second of all routers "
                "that the list service can serve), store=#true or count=#true",
            )
        list_requests_per_s = self.read_property(
            node,
            "list-calls",
            lambda raw: values.parse_number(raw, MIN_LIST_CALLS_PER_S, MAX_LIST_CALLS_PER_S, "bad-rate"),
        )
        limit_origin_fetches = self.read_property(node, "store", values.parse_flag)
        estimate_fleet_size = self.read_property(node, "count", values.parse_flag)
        self.start_options = StartupOptions(
            list_requests_per_s or 0.0, bool(limit_origin_fetches), bool(estimate_fleet_size)
        )

    def read_replicas(self, node: KdlNode) -> None:
        """Read ``replicas "10.0.0.1:7100" stale="3s"``: the control replicas that are watched."""
        self.check_structure(node, MAX_ADDRESSES, ("stale",))
        stale_ns = self.read_property(node, "stale", values.parse_duration)
        if stale_ns is not None and not MIN_STALE_NS <= stale_ns <= MAX_STALE_NS:
            self.diagnostics.add(
                node.properties["stale"].value_offset,
                "bad-duration",
                f"'stale' is from {MIN_STALE_NS // values.SECOND}s, as a replica receives a response "
                f"from its upstream once a second, to {MAX_STALE_NS // values.SECOND}s",
            )
            stale_ns = None
        addresses = self.read_addresses(node)
        if not addresses:
            return
        if stale_ns is None:
            self.control_replicas = ControlReplicas(addresses)
        else:
            self.control_replicas = ControlReplicas(addresses, stale_ns)

    def read_defaults(self, node: KdlNode) -> None:
        """Read ``defaults { ... }``: the policy for all fields that a route does not state."""
        self.check_structure(node, 0, (), POLICY_NODES)
        self.defaults = self.policy_reader.read_policy(node)

    def read_budget(self, node: KdlNode, name: str) -> BudgetSettings:
        """Read ``budget "b" ratio=0.2 least="5/s" burst=20``."""
        self.check_structure(node, 1, ("ratio", "least", "burst"))
        ratio = self.read_property(
            node,
            "ratio",
            lambda raw: values.parse_number(raw, 0, MAX_BUDGET_RATIO, "bad-ratio"),
            "a ratio, as in ratio=0.2",
        )
        min_per_s = self.read_property(node, "least", values.parse_rate)
        burst = self.read_property(
            node, "burst", lambda raw: values.parse_number(raw, MIN_BURST, values.MAX_BURST, "bad-ratio")
        )
        return BudgetSettings(
            name,
            ratio or 0.0,
            min_per_s or 0.0,
            DEFAULT_BURST if burst is None else burst,
            self.diagnostics.position_of(node.offset),
        )

    def read_route(self, node: KdlNode, name: str) -> Route:
        """Read ``route "r" { match ...; ... }``, without the defaults."""
        self.check_structure(node, 1, (), (*POLICY_NODES, "match"))
        matches = [child for child in node.children if child.name == "match"]
        match = RouteMatch()
        if matches:
            match = self.match_reader.read_match(matches[0])
        else:
            self.diagnostics.add(
                node.offset,
                "missing-value",
                f"route {abbreviated(name)} has no 'match'; an empty one matches all requests",
            )
        for repeated in matches[1:]:
            self.diagnostics.add(
                repeated.offset,
                "duplicate-node",
                f"route {abbreviated(name)} has a 'match' already; write lists in one, such as class=\"a,b\"",
            )
        match_offset = matches[0].offset if matches else node.offset
        return Route(
            name,
            match,
            self.policy_reader.read_policy(node),
            self.diagnostics.position_of(node.offset),
            self.diagnostics.position_of(match_offset),
        )

    def check_budget_names(self, file: OperatorFile) -> None:
        """Report budgets that are used and not declared, and budgets that are declared and not used."""
        declared = [budget.name for budget in file.budgets]
        for name, offset in self.policy_reader.budget_references:
            if name not in declared:
                self.diagnostics.add(
                    offset,
                    "unknown-budget",
                    f"there is no budget {abbreviated(name)}{suggestion(name, declared)}",
                )
        used = {reference.name for reference in self.policy_reader.budget_references}
        for budget in file.budgets:
            if budget.name and budget.name not in used:
                self.diagnostics.add(
                    budget.position,
                    "unused-budget",
                    f"nobody uses budget {abbreviated(budget.name)}; "
                    "name it at 'attempts' or 'copies', or remove it",
                )


# Top-level nodes that may occur once.
SINGLE_NODE_READERS: dict[str, Callable[[OperatorFileReader, KdlNode], None]] = {
    "kelpcroft": OperatorFileReader.read_version,
    "control": OperatorFileReader.read_control,
    "start": OperatorFileReader.read_start,
    "replicas": OperatorFileReader.read_replicas,
    "defaults": OperatorFileReader.read_defaults,
}
NAMED_NODES = ("budget", "route")
TOP_LEVEL_NODES = (*SINGLE_NODE_READERS, *NAMED_NODES)
