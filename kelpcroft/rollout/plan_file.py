"""Reader of rollout files: from bytes to a plan.

An example with most nodes:

    rollout version=1

    change {
        program build="5f2c09e1a7b3d480"          // the digest that a router of the new build reports
        settings digest="..."                     // the digests of new settings and of a new operator's file
        rules digest="..."
    }
    router "n1" zone="edge-1" control="127.0.0.1:9101"
    router "n2" zone="edge-1" control="127.0.0.1:9102"

    stage "one" count=1 least="2m" most="20m"
    stage "half" share="50%" least="2m" most="20m"
    stage "all" share="100%" least="2m" most="20m"

    limits at-once=2 per-zone=1
    order "edge-3,edge-1"                         // zones whose routers are changed first
    watch every="1s" slowest="30s" ready="20s" cold="20s" unknown=1
    stop harm=0.05 tolerance=0 false-stop=0.01 missed-harm=0.05
    then "take-back"                              // or "hold"
    act timeout="60s" repeat=#true {
        // The operators' tool, run without a shell; each string is one argument.
        apply "deploy" "{router}" "new"
        undo "deploy" "{router}" "old"
    }

The format is KDL, as for the operator's file.  All diagnostics are reported together, each with its position
and a stable code.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from dataclasses import replace
from typing import TypeVar

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
from kelpcroft.rollout import plan_values
from kelpcroft.rollout.errors import StopCriteriaError
from kelpcroft.rollout.judge import StopCriteria
from kelpcroft.rollout.plan import (
    BuildFolders,
    ComponentChange,
    PlacementCommands,
    RolloutPlan,
    RouterTarget,
    Stage,
)
from kelpcroft.rollout.plan_checks import check_plan

T = TypeVar("T")

VERSION = 1  # version of the file format
MAX_STAGES = 64  # most stages in one file
MAX_COMMAND_WORDS = 64  # most arguments of one command, its program included

COMPONENTS = ("program", "settings", "rules")  # nodes in ``change``
COMMANDS = ("apply", "undo", "restart")  # nodes in ``act`` with the operators' tool
BUILDS = ("old", "new")  # nodes in a local ``act`` and in ``homes``
REGRESSION_REACTIONS = ("take-back", "hold")  # arguments of ``then``: the reaction to a regression


def load_plan(data: bytes) -> tuple[RolloutPlan, list[Diagnostic]]:
    """Read a file's bytes into a plan.

    Returns:
        The plan and its diagnostics, in the file's order.  The plan may be used only if there are none.
    """
    diagnostics = DiagnosticCollector()
    plan = RolloutPlan()
    try:
        plan = PlanReader(diagnostics).read_plan(parse_nodes(data, diagnostics))
        if not diagnostics.count:
            check_plan(plan, diagnostics)
    except TooManyDiagnostics:
        pass  # the diagnostics collected so far are reported
    return plan, diagnostics.in_file_order()


class PlanReader(NodeReader):
    """Reader of one rollout file.

    An unusable node or value gets a diagnostic and is left out of the plan; reading continues after it.  The
    structure of nodes is checked as in the operator's file.
    """

    def __init__(self, diagnostics: DiagnosticCollector) -> None:
        super().__init__(diagnostics)
        # By name: the offset of each node that is allowed once.
        self._section_offsets: dict[str, int] = {}
        # By kind and name: the offset of each router and stage.
        self._name_offsets: dict[tuple[str, str], int] = {}

    def read_plan(self, nodes: Iterable[KdlNode]) -> RolloutPlan:
        """Read the top-level nodes of a file into a plan."""
        plan = RolloutPlan()
        routers: list[RouterTarget] = []
        stages: list[Stage] = []
        for n, node in enumerate(nodes):
            if n == 0 and node.name != "rollout":
                self.diagnostics.add(
                    node.offset,
                    "no-version",
                    f"the first node is 'rollout version={VERSION}', not {abbreviated(node.name)}",
                )
            if node.name not in TOP_NODES:
                self.diagnostics.add(
                    node.offset,
                    "unknown-node",
                    f"a rollout file has no node {abbreviated(node.name)}{suggestion(node.name, TOP_NODES)}",
                )
            elif node.name == "router":
                routers.append(self._read_router(node, self._read_unique_name(node)))
            elif node.name == "stage":
                stages.append(self._read_stage(node, self._read_unique_name(node)))
            elif self._is_first_of_kind(node):
                plan = SECTION_READERS[node.name](self, node, plan)
        self._check_presence(routers, stages)
        return replace(
            plan, routers=tuple(routers[: plan_values.MAX_ROUTERS]), stages=tuple(stages[:MAX_STAGES])
        )

    def _read_unique_name(self, node: KdlNode) -> str:
        """Read the name of a router or stage; a name that is already used gets a diagnostic."""
        name = self.read_name(node)
        key = (node.name, name)
        if name and key in self._name_offsets:
            self.diagnostics.add(
                node.offset,
                "duplicate-name",
                f"{node.name} {abbreviated(name)} is already defined in line "
                f"{self.line_of(self._name_offsets[key])}",
            )
        self._name_offsets.setdefault(key, node.offset)
        return name

    def _is_first_of_kind(self, node: KdlNode) -> bool:
        """Whether a node that is allowed once occurs for the first time; a repetition gets a diagnostic."""
        if node.name in self._section_offsets:
            line = self.line_of(self._section_offsets[node.name])
            self.diagnostics.add(
                node.offset, "duplicate-node", f"{node.name!r} is already defined in line {line}"
            )
            return False
        self._section_offsets[node.name] = node.offset
        return True

    def _check_presence(self, routers: list[RouterTarget], stages: list[Stage]) -> None:
        """Add a diagnostic for each required node that is missing."""
        if "change" not in self._section_offsets:
            self.diagnostics.add(0, "no-change", 'there is no change; add change { program build="..." }')
        for kind, entries in (("router", routers), ("stage", stages)):
            if not entries:
                self.diagnostics.add(0, f"no-{kind}", f'there is no {kind}; add one, as in {kind} "one"')

    # Nodes that are allowed once, each read into the plan -------------------------------------------------

    def read_version(self, node: KdlNode, plan: RolloutPlan) -> RolloutPlan:
        """Read ``rollout version=1``."""
        self.check_structure(node, 0, ("version",))
        version = node.properties.get("version")
        if version is None:
            self.diagnostics.add(
                node.offset, "no-version", f"the version is missing; write rollout version={VERSION}"
            )
        elif version.value != VERSION or isinstance(version.value, bool):
            self.diagnostics.add(
                version.value_offset,
                "unknown-version",
                f"version {abbreviated(version.value)} is not supported; version {VERSION} is",
            )
        return plan

    def read_change(self, node: KdlNode, plan: RolloutPlan) -> RolloutPlan:
        """Read ``change { program build="..."; settings digest="..."; rules digest="..." }``."""
        self.check_structure(node, 0, (), COMPONENTS)
        changes = []
        for child in node.children:
            if child.name in COMPONENTS:
                key = "build" if child.name == "program" else "digest"
                self.check_structure(child, 0, (key,))
                expected = f'the new one\'s digest, as in {key}="5f2c09e1a7b3d480"'
                digest = self.read_property(child, key, plan_values.parse_digest, expected)
                changes.append(ComponentChange(child.name, digest or ""))
        if not changes:
            self.diagnostics.add(
                node.offset, "no-change", "'change' is empty; add program, settings or rules"
            )
        return replace(plan, changes=tuple(changes))

    def read_limits(self, node: KdlNode, plan: RolloutPlan) -> RolloutPlan:
        """Read ``limits at-once=2 per-zone=1``."""
        self.check_structure(node, 0, ("at-once", "per-zone"))
        at_once = self.read_property(node, "at-once", plan_values.parse_positive_count)
        per_zone = self.read_property(node, "per-zone", plan_values.parse_positive_count)
        return replace(
            plan,
            max_unavailable=value_or_default(at_once, plan.max_unavailable),
            max_unavailable_per_zone=value_or_default(per_zone, plan.max_unavailable_per_zone),
        )

    def read_order(self, node: KdlNode, plan: RolloutPlan) -> RolloutPlan:
        """Read ``order "edge-3,edge-1"``."""
        self.check_structure(node, 1, ())
        zones = self.read_argument(node, values.parse_list, 'zones, as in order "edge-3,edge-1"')
        return replace(plan, zone_order=tuple(dict.fromkeys(zones or ())))

    def read_watch(self, node: KdlNode, plan: RolloutPlan) -> RolloutPlan:
        """Read ``watch every="1s" slowest="30s" ready="20s" cold="20s" unknown=1``."""
        self.check_structure(node, 0, ("every", "slowest", "ready", "cold", "unknown"))
        every_ns = self.read_property(node, "every", values.parse_duration)
        slowest_ns = self.read_property(node, "slowest", values.parse_duration)
        ready_ns = self.read_property(node, "ready", values.parse_duration)
        cold_ns = self.read_property(node, "cold", values.parse_duration)
        unknown = self.read_property(node, "unknown", plan_values.parse_count)
        return replace(
            plan,
            poll_interval_ns=value_or_default(every_ns, plan.poll_interval_ns),
            slowest_signal_ns=value_or_default(slowest_ns, plan.slowest_signal_ns),
            ready_timeout_ns=value_or_default(ready_ns, plan.ready_timeout_ns),
            warm_up_ns=value_or_default(cold_ns, plan.warm_up_ns),
            max_unknown=value_or_default(unknown, plan.max_unknown),
        )

    def read_stop(self, node: KdlNode, plan: RolloutPlan) -> RolloutPlan:
        """Read ``stop harm=0.05 tolerance=0 false-stop=0.01 missed-harm=0.05 memory=1.5``."""
        keys = ("harm", "tolerance", "false-stop", "missed-harm")
        self.check_structure(node, 0, (*keys, "memory"))
        ratio = self.read_property(node, "memory", plan_values.parse_memory_ratio)
        criteria: dict[str, float] = {}
        for key in keys:
            value = self.read_property(node, key, plan_values.parse_probability)
            if value is not None:
                criteria[key.replace("-", "_")] = value
        try:
            stop_criteria = StopCriteria(**criteria)
        except StopCriteriaError as error:
            self.diagnostics.add(node.offset, "bad-rate", str(error))
            return plan
        return replace(
            plan, stop_criteria=stop_criteria, max_memory_ratio=value_or_default(ratio, plan.max_memory_ratio)
        )

    def read_then(self, node: KdlNode, plan: RolloutPlan) -> RolloutPlan:
        """Read ``then "take-back"`` or ``then "hold"``."""
        self.check_structure(node, 1, ())
        reaction = self.read_argument(node, plan_values.parse_name, "take-back or hold")
        if reaction is not None and reaction not in REGRESSION_REACTIONS:
            self.diagnostics.add(
                node.offset,
                "unknown-word",
                f"{abbreviated(reaction)}{suggestion(reaction, REGRESSION_REACTIONS)}; "
                f"there are {' and '.join(REGRESSION_REACTIONS)}",
            )
        return replace(plan, rolls_back_on_regression=reaction != "hold")

    def read_act(self, node: KdlNode, plan: RolloutPlan) -> RolloutPlan:
        """Read ``act timeout="60s" repeat=#true {apply ...; undo ...; restart ...}`` or ``act local=#true``.

        The first form runs the operators' tool; the second replaces processes of this machine.
        """
        self.check_structure(node, 0, ("timeout", "repeat", "local"), (*COMMANDS, *BUILDS))
        timeout_ns = self.read_property(node, "timeout", values.parse_duration)
        repeat = self.read_property(node, "repeat", values.parse_flag)
        plan = replace(plan, command_timeout_ns=value_or_default(timeout_ns, plan.command_timeout_ns))
        if self.read_property(node, "local", values.parse_flag):
            # The driver of local processes checks the running process first, so its commands are idempotent.
            return replace(plan, local_builds=self._read_build_folders(node), commands_repeatable=True)
        commands = self._read_commands(node, COMMANDS, ("apply", "undo"), "router")
        return replace(
            plan,
            apply_command=commands.get("apply", ()),
            undo_command=commands.get("undo", ()),
            restart_command=commands.get("restart", ()),
            commands_repeatable=bool(repeat),
        )

    def read_placement(self, node: KdlNode, plan: RolloutPlan) -> RolloutPlan:
        """Read ``homes objects=2000 { old ...; new ... }``.

        Its commands print where each build places objects.
        """
        self.check_structure(node, 0, ("objects",), BUILDS)
        count = self.read_property(node, "objects", plan_values.parse_object_count)
        commands = self._read_commands(node, BUILDS, BUILDS, "config")
        return replace(
            plan,
            placement_commands=PlacementCommands(commands.get("old", ()), commands.get("new", ())),
            placement_object_count=value_or_default(count, plan.placement_object_count),
        )

    # Nodes with a name, and child nodes -------------------------------------------------------------------

    def _read_router(self, node: KdlNode, name: str) -> RouterTarget:
        """Read ``router "n1" zone="edge-1" control="127.0.0.1:9101"``."""
        self.check_structure(node, 1, ("zone", "control", "config", "rules"))
        zone = self.read_property(node, "zone", plan_values.parse_name, 'a zone, as in zone="edge-1"')
        control_address = self.read_property(node, "control", plan_values.parse_control_address)
        config_path = self.read_property(node, "config", plan_values.parse_path)
        rules_path = self.read_property(node, "rules", plan_values.parse_path)
        return RouterTarget(
            name,
            zone or "",
            control_address or "",
            config_path or "",
            rules_path or "",
            self.diagnostics.position_of(node.offset),
        )

    def _read_stage(self, node: KdlNode, name: str) -> Stage:
        """Read ``stage "half" share="50%" least="2m" most="20m" control=1``."""
        self.check_structure(node, 1, ("count", "share", "least", "most", "control"))
        control_count = self.read_property(node, "control", plan_values.parse_count)
        router_count = self.read_property(node, "count", plan_values.parse_positive_count)
        router_share = self.read_property(node, "share", plan_values.parse_router_share)
        if "count" not in node.properties and "share" not in node.properties:
            self.diagnostics.add(node.offset, "missing-value", "'stage' needs count=3 or share=\"10%\"")
        elif "count" in node.properties and "share" in node.properties:
            self.diagnostics.add(node.offset, "count-and-share", "'stage' needs a count or a share, not both")
        min_ns = self.read_property(node, "least", values.parse_duration, 'a minimum time, as in least="2m"')
        max_ns = self.read_property(node, "most", values.parse_duration, 'a maximum time, as in most="20m"')
        return Stage(
            name,
            router_count or 0,
            router_share or 0.0,
            min_ns or 0,
            max_ns or 0,
            control_count or 0,
            self.diagnostics.position_of(node.offset),
        )

    def _read_build_folders(self, node: KdlNode) -> BuildFolders:
        """Read the folders of the builds in a local ``act``."""
        folders: dict[str, str] = {}
        for child in node.children:
            if child.name in BUILDS:
                self.check_structure(child, 1, ())
                expected = 'the folder of a build, as in old "/srv/router"'
                folders[child.name] = self.read_argument(child, plan_values.parse_path, expected) or ""
        if not all(folders.get(build) for build in BUILDS):
            self.diagnostics.add(
                node.offset, "missing-value", "a local 'act' needs old and new, each with a folder"
            )
        return BuildFolders(folders.get("old", ""), folders.get("new", ""))

    def _read_commands(
        self, node: KdlNode, names: tuple[str, ...], required_names: tuple[str, ...], example_field: str
    ) -> dict[str, tuple[str, ...]]:
        """Read the commands in a node, by name, each as an argument list.

        Args:
            node: The node whose children are the commands.
            names: The names that commands may have.
            required_names: The commands that must not be missing.
            example_field: The placeholder that a diagnostic shows in its example.
        """
        commands: dict[str, tuple[str, ...]] = {}
        for child in node.children:
            if child.name in names:
                self.check_structure(child, MAX_COMMAND_WORDS, ())
                words = [
                    self.read_value(child, offset, raw, plan_values.parse_command_word)
                    for raw, offset in child.arguments
                ]
                commands[child.name] = tuple(word or "" for word in words)
        for name in required_names:
            if not commands.get(name):
                self.diagnostics.add(
                    node.offset,
                    "missing-value",
                    f'{node.name!r} needs {name}, as in {name} "tool" "{{{example_field}}}"',
                )
        return commands


SectionReader = Callable[[PlanReader, KdlNode, RolloutPlan], RolloutPlan]
SECTION_READERS: Mapping[str, SectionReader] = {  # by name, the reader of each node that is allowed once
    "rollout": PlanReader.read_version,
    "change": PlanReader.read_change,
    "limits": PlanReader.read_limits,
    "order": PlanReader.read_order,
    "watch": PlanReader.read_watch,
    "stop": PlanReader.read_stop,
    "then": PlanReader.read_then,
    "act": PlanReader.read_act,
    "homes": PlanReader.read_placement,
}
# Names of all top-level nodes.
TOP_NODES = (
    "rollout",
    "change",
    "router",
    "stage",
    "limits",
    "order",
    "watch",
    "stop",
    "then",
    "act",
    "homes",
)


def value_or_default(value: T | None, default: T) -> T:
    """The value from the file, or the default if the file has none that can be used."""
    return default if value is None else value
