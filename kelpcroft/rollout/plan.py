"""A rollout file: what changes, on which routers, in which stages, and what stops it.

    rollout version=1

    change {
        program build="5f2c09e1a7b3d480"          // the digest that a router of the new build tells
        settings digest="..."                     // and of the new settings, or the new operator's file
        rules digest="..."
    }
    router "n1" zone="edge-1" control="127.0.0.1:9101"
    router "n2" zone="edge-1" control="127.0.0.1:9102"

    stage "one" count=1 least="2m" most="20m"
    stage "half" share="50%" least="2m" most="20m"
    stage "all" share="100%" least="2m" most="20m"

    limits at-once=2 per-zone=1
    order "edge-3,edge-1"                         // zones that come first
    watch every="1s" slowest="30s" ready="20s" cold="20s" unknown=1
    stop harm=0.05 tolerance=0 false-stop=0.01 missed-harm=0.05
    then "take-back"                              // or "hold"
    act timeout="60s" repeat=#true {              // the operators' own tool; no shell; each word one argument
        apply "deploy" "{router}" "new"
        undo "deploy" "{router}" "old"
    }

Read like the operator's file: KDL, every fault with its place and a stable code, all of them at once.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from kelpcroft.deployment_check.known_keys import address_form
from kelpcroft.operator_file import values
from kelpcroft.operator_file.diagnostics import (
    Diagnostic,
    DiagnosticCollector,
    FilePosition,
    TooManyDiagnostics,
    abbreviated,
    suggestion,
)
from kelpcroft.operator_file.node_reader import NodeReader
from kelpcroft.operator_file.text import KdlNode, Value, parse_nodes
from kelpcroft.operator_file.values import InvalidValue
from kelpcroft.rollout.judge import StopCriteria

VERSION = 1
SECOND = 10**9
ROUTERS_MOST, STAGES_MOST = 10_000, 64
WHATS = ("program", "settings", "rules")
TOP = ("rollout", "change", "router", "stage", "limits", "order", "watch", "stop", "then", "act", "homes")
PATHS = ("config", "rules")
COMMANDS = ("apply", "undo", "restart")
HOLDERS = ("router", "zone", "control", "config")
WORDS_MOST, WORD_MOST = 64, 4_096
THEN = ("take-back", "hold")


@dataclass(frozen=True, slots=True)
class RouterTarget:
    """One router that is to be changed."""

    name: str
    zone: str
    control: str = ""
    config: str = ""  # what a local one is started with
    rules: str = ""
    place: FilePosition = field(default=FilePosition(), compare=False)


@dataclass(frozen=True, slots=True)
class Stage:
    """Up to so many routers, or such a share of all, are changed; then it bakes."""

    name: str
    count: int  # 0 = ``share`` says
    share: float
    least_ns: int
    most_ns: int
    control: int = 0  # routers of the old that are restarted in each zone of it, to compare with
    place: FilePosition = field(default=FilePosition(), compare=False)

    def reaches(self, routers: int) -> int:
        """Routers that are changed at its end, of so many."""
        return min(routers, self.count or max(1, round(self.share * routers)))


@dataclass(frozen=True, slots=True)
class RolloutPlan:
    """A whole file."""

    change: tuple[tuple[str, str], ...] = ()  # what, and the digest of the new one
    routers: tuple[RouterTarget, ...] = ()
    stages: tuple[Stage, ...] = ()
    at_once: int = 1  # routers out of service or not judged ready, in all ...
    per_zone: int = 1  # ... and in one zone
    order: tuple[str, ...] = ()
    every_ns: int = SECOND
    slowest_ns: int = 30 * SECOND  # the slowest signal that a stage must wait for
    ready_ns: int = 20 * SECOND  # a changed router must be ready within this
    cold_ns: int = 20 * SECOND  # and is not judged for so long after
    unknown_most: int = 1  # with more routers that do not answer, nothing new is begun
    rates: StopCriteria = StopCriteria()
    take_back: bool = True
    apply: tuple[str, ...] = ()  # the command that changes a router; {router} stands for its name
    undo: tuple[str, ...] = ()
    restart: tuple[str, ...] = ()  # the command that restarts one as it is, for a control group
    local: tuple[str, str] | None = None  # processes of this machine: folders of the old build and the new
    homes: tuple[tuple[str, ...], tuple[str, ...]] | None = None  # commands that ask the old and the new
    objects: int = 2_000  # for how many of them
    memory: float = 1.5  # a new router may have so many times the most memory of an old one
    act_ns: int = 60 * SECOND  # it must have ended by then
    repeat: bool = False  # to run it twice does no harm

    def routers_by_stage(self) -> list[list[RouterTarget]]:
        """Who is changed in which stage: zones in their order, one router of each in turn, so that every
        stage spreads over the zones and a zone's last routers come last."""
        zones: dict[str, list[RouterTarget]] = {zone: [] for zone in self.order}
        for router in self.routers:
            zones.setdefault(router.zone, []).append(router)
        turns = [found for found in zones.values() if found]
        longest = max(map(len, turns), default=0)
        queue = [found[n] for n in range(longest) for found in turns if n < len(found)]
        stages, at = [], 0
        for stage in self.stages:
            end = max(at, stage.reaches(len(queue)))
            stages.append(queue[at:end])
            at = end
        return stages

    def longest_ns(self) -> int:
        """The longest that it can take, changes included: each waits for ready and for warm."""
        rounds = sum(-(-len(found) // self.at_once) for found in self.routers_by_stage())
        return sum(s.most_ns for s in self.stages) + rounds * (self.ready_ns + self.cold_ns)


def load_plan(data: bytes) -> tuple[RolloutPlan, list[Diagnostic]]:
    """A file's bytes as a plan, and all that is wrong with it."""
    faults, plan = DiagnosticCollector(), RolloutPlan()
    try:
        plan = PlanReader(faults).plan(parse_nodes(data, faults))
        if not faults.count:
            judge(plan, faults)
    except TooManyDiagnostics:
        pass
    return plan, faults.in_file_order()


class PlanReader(NodeReader):
    """One rollout file; what nodes may hold is checked as in the operator's file."""

    def plan(self, items: Iterable[KdlNode]) -> RolloutPlan:
        said: dict[str, object] = {}
        routers: list[RouterTarget] = []
        stages: list[Stage] = []
        seen: dict[str, int] = {}
        names: dict[tuple[str, str], int] = {}
        for n, item in enumerate(items):
            if n == 0 and item.name != "rollout":
                self.diagnostics.add(
                    item.offset,
                    "no-version",
                    f"the first node is 'rollout version={VERSION}', not {abbreviated(item.name)}",
                )
            if item.name not in TOP:
                self.diagnostics.add(
                    item.offset,
                    "unknown-node",
                    f"a rollout holds no {abbreviated(item.name)}{suggestion(item.name, TOP)}",
                )
                continue
            if item.name in ("router", "stage"):
                name = self.read_name(item)
                if name and (item.name, name) in names:
                    self.diagnostics.add(
                        item.offset,
                        "duplicate-name",
                        f"{item.name} {abbreviated(name)} stands at line "
                        f"{self.line_of(names[item.name, name])} already",
                    )
                names.setdefault((item.name, name), item.offset)
                if item.name == "router":
                    routers.append(self.target(item, name))
                else:
                    stages.append(self.stage(item, name))
                continue
            if item.name in seen:
                self.diagnostics.add(
                    item.offset,
                    "duplicate-node",
                    f"{item.name!r} stands at line {self.line_of(seen[item.name])} already",
                )
                continue
            seen[item.name] = item.offset
            if item.name == "rollout":
                self.version(item)
            else:
                said.update(getattr(self, f"read_{item.name}")(item))
        if "change" not in seen:
            self.diagnostics.add(0, "no-change", 'what changes? add change { program build="..." }')
        for what, found in (("router", routers), ("stage", stages)):
            if not found:
                self.diagnostics.add(0, f"no-{what}", f'there is no {what}; add one, as {what} "one"')
        return RolloutPlan(routers=tuple(routers[:ROUTERS_MOST]), stages=tuple(stages[:STAGES_MOST]), **said)  # type: ignore[arg-type]

    def version(self, item: KdlNode) -> None:
        self.check_structure(item, 0, ("version",))
        found = item.properties.get("version")
        if found is None:
            self.diagnostics.add(item.offset, "no-version", f"which version? write rollout version={VERSION}")
        elif found.value != VERSION or isinstance(found.value, bool):
            self.diagnostics.add(
                found.value_offset,
                "unknown-version",
                f"version {abbreviated(found.value)} is not known here; version {VERSION} is",
            )

    def read_change(self, item: KdlNode) -> dict[str, object]:
        self.check_structure(item, 0, (), WHATS)
        found = []
        for child in item.children:
            if child.name not in WHATS:
                continue
            key = "build" if child.name == "program" else "digest"
            self.check_structure(child, 0, (key,))
            digest = self.read_property(
                child, key, hexadecimal, f'the new one\'s digest, as in {key}="5f2c09e1a7b3d480"'
            )
            found.append((child.name, digest or ""))
        if not found:
            self.diagnostics.add(
                item.offset, "no-change", "it touches nothing; program, settings or rules would do"
            )
        return {"change": tuple(found)}

    def target(self, item: KdlNode, name: str) -> RouterTarget:
        self.check_structure(item, 1, ("zone", "control", "config", "rules"))
        zone = self.read_property(
            item, "zone", lambda v: values.parse_text(v, "a name"), 'a zone, as in zone="edge-1"'
        )
        control = self.read_property(item, "control", reachable)
        config, rules = (
            self.read_property(item, key, lambda v: values.parse_text(v, "a path")) for key in PATHS
        )
        return RouterTarget(
            name,
            zone or "",
            control or "",
            config or "",
            rules or "",
            self.diagnostics.position_of(item.offset),
        )

    def stage(self, item: KdlNode, name: str) -> Stage:
        self.check_structure(item, 1, ("count", "share", "least", "most", "control"))
        control = self.read_property(item, "control", lambda v: values.parse_count(v, 0, ROUTERS_MOST))
        count = self.read_property(item, "count", lambda v: values.parse_count(v, 1, ROUTERS_MOST))
        share = self.read_property(item, "share", a_share)
        if (
            (count is None) == (share is None)
            and "count" not in item.properties
            and "share" not in item.properties
        ):
            self.diagnostics.add(item.offset, "missing-value", "'stage' wants count=3 or share=\"10%\"")
        elif "count" in item.properties and "share" in item.properties:
            self.diagnostics.add(item.offset, "count-and-share", "'stage' takes a count or a share, not both")
        least = self.read_property(item, "least", values.parse_duration, 'its least time, as in least="2m"')
        most = self.read_property(item, "most", values.parse_duration, 'its most time, as in most="20m"')
        place = self.diagnostics.position_of(item.offset)
        return Stage(name, count or 0, share or 0.0, least or 0, most or 0, control or 0, place)

    def read_limits(self, item: KdlNode) -> dict[str, object]:
        self.check_structure(item, 0, ("at-once", "per-zone"))
        found = {
            key.replace("-", "_"): self.read_property(
                item, key, lambda v: values.parse_count(v, 1, ROUTERS_MOST)
            )
            for key in ("at-once", "per-zone")
        }
        return {key: value for key, value in found.items() if value is not None}

    def read_order(self, item: KdlNode) -> dict[str, object]:
        self.check_structure(item, 1, ())
        found = self.read_argument(item, values.parse_list, 'zones, as in order "edge-3,edge-1"')
        return {"order": tuple(dict.fromkeys(found or ()))}

    def read_watch(self, item: KdlNode) -> dict[str, object]:
        keys = ("every", "slowest", "ready", "cold")
        self.check_structure(item, 0, (*keys, "unknown"))
        found = {f"{key}_ns": self.read_property(item, key, values.parse_duration) for key in keys}
        found["unknown_most"] = self.read_property(
            item, "unknown", lambda v: values.parse_count(v, 0, ROUTERS_MOST)
        )
        return {key: value for key, value in found.items() if value is not None}

    def read_stop(self, item: KdlNode) -> dict[str, object]:
        self.check_structure(item, 0, ("harm", "tolerance", "false-stop", "missed-harm", "memory"))
        memory = self.read_property(item, "memory", lambda v: values.parse_number(v, 1, 100, "bad-rate"))
        found = {}
        for key in ("harm", "tolerance", "false-stop", "missed-harm"):
            value = self.read_property(item, key, lambda v: values.parse_number(v, 0, 1, "bad-rate"))
            if value is not None:
                found[key.replace("-", "_")] = value
        try:
            return {"rates": StopCriteria(**found)} | ({} if memory is None else {"memory": memory})
        except ValueError as error:
            self.diagnostics.add(item.offset, "bad-rate", str(error))
            return {}

    def read_act(self, item: KdlNode) -> dict[str, object]:
        self.check_structure(item, 0, ("timeout", "repeat", "local"), (*COMMANDS, "old", "new"))
        limit, repeat = (
            self.read_property(item, "timeout", values.parse_duration),
            self.read_property(item, "repeat", values.parse_flag),
        )
        said = {"act_ns": limit} if limit else {}
        if self.read_property(item, "local", values.parse_flag):
            folders = {}
            for child in item.children:
                if child.name in ("old", "new"):
                    self.check_structure(child, 1, ())
                    what = 'the folder of a build, as in old "/srv/router"'
                    folders[child.name] = self.read_argument(
                        child, lambda v: values.parse_text(v, "a path"), what
                    )
            if not all(folders.get(name) for name in ("old", "new")):
                self.diagnostics.add(
                    item.offset, "missing-value", "a local 'act' wants old and new, each a folder"
                )
            # It looks before it acts, so that to repeat it does no harm.
            return said | {"local": (folders.get("old", ""), folders.get("new", "")), "repeat": True}
        found = self.commands(item, COMMANDS, ("apply", "undo"), "router")
        return {**found, **said, "repeat": bool(repeat)}

    def commands(
        self, item: KdlNode, names: tuple[str, ...], needed: tuple[str, ...], holder: str
    ) -> dict[str, tuple[str, ...]]:
        """The commands that a node holds, by their names, each as a list of words."""
        found: dict[str, tuple[str, ...]] = {}
        for child in item.children:
            if child.name in names:
                self.check_structure(child, WORDS_MOST, ())
                words = [self.read_value(child, place, raw, argument) for raw, place in child.arguments]
                found[child.name] = tuple(word or "" for word in words)
        for name in needed:
            if not found.get(name):
                what = f'{item.name!r} wants {name}, as in {name} "tool" "{{{holder}}}"'
                self.diagnostics.add(item.offset, "missing-value", what)
        return found

    def read_homes(self, item: KdlNode) -> dict[str, object]:
        self.check_structure(item, 0, ("objects",), ("old", "new"))
        count = self.read_property(item, "objects", lambda v: values.parse_count(v, 1, 100_000))
        found = self.commands(item, ("old", "new"), ("old", "new"), "config")
        both = {"homes": (found.get("old", ()), found.get("new", ()))}
        return both | ({"objects": count} if count else {})

    def read_then(self, item: KdlNode) -> dict[str, object]:
        self.check_structure(item, 1, ())
        word = self.read_argument(item, lambda v: values.parse_text(v, "a name"), "take-back or hold")
        if word is not None and word not in THEN:
            self.diagnostics.add(
                item.offset,
                "unknown-word",
                f"{abbreviated(word)}{suggestion(word, THEN)}; there are {' and '.join(THEN)}",
            )
        return {"take_back": word != "hold"}


def hexadecimal(raw: Value) -> str:
    text = values.parse_text(raw, "hex digits")
    if not 4 <= len(text) <= 64 or set(text) - set("0123456789abcdef"):
        raise InvalidValue("bad-digest", f"{abbreviated(raw)} is not 4 to 64 hex digits in lower case")
    return text


def argument(raw: Value) -> str:
    """One word of a command.  What stands in braces is one of HOLDERS; {{ and }} are braces."""
    text = values.parse_text(raw, "a name")
    if not text or len(text) > WORD_MOST or "\0" in text:
        raise InvalidValue("bad-word", f"{abbreviated(raw)} is no argument of a command")
    try:
        text.format(**dict.fromkeys(HOLDERS, ""))
    except (KeyError, IndexError, ValueError) as error:
        raise InvalidValue(
            "bad-word", f"{abbreviated(raw)}: {error} is none of {', '.join('{' + h + '}' for h in HOLDERS)}"
        ) from error
    return text


def reachable(raw: Value) -> str:
    text = values.parse_text(raw, "a name")
    if address_form(text):
        raise InvalidValue("bad-address", f"{abbreviated(raw)} is no address; host:port would do")
    return text


def a_share(raw: Value) -> float:
    found = values.parse_share(raw)
    if found is None:
        raise InvalidValue("bad-share", f'{abbreviated(raw)} is no share; write one as "10%"')
    return found


def judge(plan: RolloutPlan, faults: DiagnosticCollector) -> None:
    """What each node may say and the whole may not."""
    zones: dict[str, list[str]] = {}
    for router in plan.routers:
        zones.setdefault(router.zone, []).append(router.name)
    for zone in plan.order:
        if zone not in zones:
            faults.add(
                0, "unknown-zone", f"order: no router is of zone {abbreviated(zone)}{suggestion(zone, zones)}"
            )
    reached = 0
    for stage, found in zip(plan.stages, plan.routers_by_stage(), strict=True):
        what = f"stage {abbreviated(stage.name)}"
        end = stage.reaches(len(plan.routers))
        if end <= reached:
            faults.add(
                stage.place,
                "stage-shrinks",
                f"{what} reaches {end} routers, where {reached} are changed before it; each must reach more",
            )
        reached = max(reached, end)
        if stage.least_ns < plan.slowest_ns:
            faults.add(
                stage.place,
                "bake-too-short",
                f"{what} may end after {stage.least_ns / SECOND:g}s, the "
                f"slowest signal takes {plan.slowest_ns / SECOND:g}s",
            )
        if stage.most_ns < stage.least_ns:
            faults.add(stage.place, "least-over-most", f"{what} has more least than most time")
        here = {r.name for r in found}
        for zone, names in zones.items():
            if len(names) > 1 and here.issuperset(names):
                faults.add(
                    stage.place,
                    "whole-zone",
                    f"{what} changes all {len(names)} routers of zone "
                    f"{abbreviated(zone)}: none of the old would be left there to compare with",
                )
        if stage.control:
            judge_control(plan, stage, found, zones, faults)
    if plan.local:
        for router in plan.routers:
            if not router.config:
                faults.add(
                    router.place,
                    "no-config",
                    f"router {abbreviated(router.name)}: a local one wants config, "
                    "the file that it starts with",
                )
        if {what for what, _ in plan.change} != {"program"}:
            faults.add(0, "local-program", "a local 'act' changes the program, and nothing else")
    if plan.stages and plan.routers and reached < len(plan.routers):
        faults.add(
            plan.stages[-1].place,
            "not-all",
            f'the last stage reaches {reached} of {len(plan.routers)} routers; end with share="100%"',
        )
    for zone, names in zones.items():
        if plan.per_zone >= len(names) > 1:
            faults.add(
                0,
                "zone-out",
                f"limits: {plan.per_zone} routers of zone {abbreviated(zone)} may be out at once, "
                f"and it has {len(names)}",
            )


def judge_control(
    plan: RolloutPlan,
    stage: Stage,
    found: list[RouterTarget],
    zones: dict[str, list[str]],
    faults: DiagnosticCollector,
) -> None:
    """A control group is compared from its start on, so it must start beside the new ones, once."""
    what, here = f"stage {abbreviated(stage.name)}", [r.zone for r in found]
    for zone in sorted(set(here)):
        if here.count(zone) > 1:
            faults.add(
                stage.place,
                "control-many",
                f"{what} changes {here.count(zone)} routers of zone {abbreviated(zone)} one after another; a "
                "control group is for a stage that changes one",
            )
        if len(zones[zone]) < 1 + stage.control:
            faults.add(
                stage.place,
                "control-few",
                f"{what}: zone {abbreviated(zone)} has {len(zones[zone])} routers, "
                f"too few for {stage.control} "
                "beside the new one",
            )
        elif plan.per_zone < 1 + stage.control or plan.at_once < len(set(here)) * (1 + stage.control):
            faults.add(
                stage.place,
                "control-room",
                f"{what}: limits must let {1 + stage.control} routers of a zone be out at once, and "
                f"{len(set(here)) * (1 + stage.control)} in all",
            )
    if not plan.restart and not plan.local:
        faults.add(stage.place, "no-restart", f"{what}: a control group wants restart in 'act'")
