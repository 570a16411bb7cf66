"""A rollout's plan: what changes, on which routers, in which stages, and what stops it.

These are the records; ``plan_file`` reads them from a rollout file and ``plan_checks`` says what a file may
say node by node but not as a whole.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

from kelpcroft.operator_file.diagnostics import FilePosition
from kelpcroft.rollout.judge import StopCriteria

NS_PER_S = 10**9
DEFAULT_STOP_CRITERIA = StopCriteria()


class ComponentChange(NamedTuple):
    """One thing that changes, and the digest that a router reports once it has it.

    Attributes:
        component: ``program``, ``settings`` or ``rules``.
        digest: Hexadecimal.
    """

    component: str
    digest: str


class BuildFolders(NamedTuple):
    """Where the two builds stand for processes of this machine."""

    old: str
    new: str


class PlacementCommands(NamedTuple):
    """The argument lists that ask the old build and the new where they put objects."""

    old: tuple[str, ...]
    new: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class RouterTarget:
    """One router that is to be changed.

    Attributes:
        name: The router's own, as it reports it.
        zone: Its zone.
        control_address: ``host:port`` of its control address; "" where the file gives none.
        config_path: What a local one is started with.
        rules_path: The operator's file of a local one; "" for none.
        position: Where the file names it.
    """

    name: str
    zone: str
    control_address: str = ""
    config_path: str = ""
    rules_path: str = ""
    position: FilePosition = field(default=FilePosition(), compare=False)


@dataclass(frozen=True, slots=True)
class Stage:
    """A step of the rollout: it changes routers up to a count or a share of all, then watches them.

    Attributes:
        name: For people.
        router_count: Routers that are changed at its end; 0 = ``router_share`` says.
        router_share: The same as a share of all.
        min_ns: The least time that the stage lasts once its routers are warm.
        max_ns: The rollout is held where there is no verdict after this time with warm routers.
        control_count: Routers of the old build that are restarted in each of its zones, to compare with.
        position: Where the file names it.
    """

    name: str
    router_count: int
    router_share: float
    min_ns: int
    max_ns: int
    control_count: int = 0
    position: FilePosition = field(default=FilePosition(), compare=False)

    def changed_count(self, total: int) -> int:
        """Routers that are changed at its end, of ``total``."""
        return min(total, self.router_count or max(1, round(self.router_share * total)))


@dataclass(frozen=True, slots=True)
class RolloutPlan:
    """A whole rollout file.

    Attributes:
        changes: What changes.
        routers: All routers, in the file's order.
        stages: In their order.
        max_unavailable: Routers that may be out of service or not warm at once, in all.
        max_unavailable_per_zone: The same in one zone.
        zone_order: Zones that come first.
        poll_interval_ns: How often each router is asked.
        slowest_signal_ns: The slowest signal that a stage must wait for.
        ready_timeout_ns: A changed router must be ready within this.
        warm_up_ns: A changed router in service is not compared before this has passed.
        max_unknown: With more routers that do not answer, nothing new is begun.
        stop_criteria: What counts as harm.
        rolls_back_on_harm: Whether harm is taken back; else the rollout is held.
        apply_command: The command that changes a router; ``{router}`` stands for its name.
        undo_command: The command that changes it back.
        restart_command: The command that restarts one as it is, for a control group.
        local_builds: Where routers are processes of this machine, the folders of the builds.
        placement_commands: What asks each build where it puts objects; None where the file has none.
        placement_object_count: How many objects the builds are asked about.
        max_memory_ratio: Limit of a new router's peak memory, in times of the highest peak of the old.
        command_timeout_ns: A command must have ended by then.
        commands_repeatable: Whether to run one twice does no harm.
    """

    changes: tuple[ComponentChange, ...] = ()
    routers: tuple[RouterTarget, ...] = ()
    stages: tuple[Stage, ...] = ()
    max_unavailable: int = 1
    max_unavailable_per_zone: int = 1
    zone_order: tuple[str, ...] = ()
    poll_interval_ns: int = NS_PER_S
    slowest_signal_ns: int = 30 * NS_PER_S
    ready_timeout_ns: int = 20 * NS_PER_S
    warm_up_ns: int = 20 * NS_PER_S
    max_unknown: int = 1
    stop_criteria: StopCriteria = DEFAULT_STOP_CRITERIA
    rolls_back_on_harm: bool = True
    apply_command: tuple[str, ...] = ()
    undo_command: tuple[str, ...] = ()
    restart_command: tuple[str, ...] = ()
    local_builds: BuildFolders | None = None
    placement_commands: PlacementCommands | None = None
    placement_object_count: int = 2_000
    max_memory_ratio: float = 1.5
    command_timeout_ns: int = 60 * NS_PER_S
    commands_repeatable: bool = False

    def routers_by_zone(self) -> dict[str, list[RouterTarget]]:
        """The routers of each zone, both in the file's order."""
        zones: dict[str, list[RouterTarget]] = {}
        for router in self.routers:
            zones.setdefault(router.zone, []).append(router)
        return zones

    def routers_by_stage(self) -> list[list[RouterTarget]]:
        """The routers that each stage changes.

        Zones go in their order, one router of each in turn, so that every stage spreads over the zones and a
        zone's last routers come last.
        """
        queue = self._change_order()
        stages = []
        start = 0
        for stage in self.stages:
            end = max(start, stage.changed_count(len(queue)))
            stages.append(queue[start:end])
            start = end
        return stages

    def _change_order(self) -> list[RouterTarget]:
        """All routers, in the order in which they are changed."""
        by_zone = self.routers_by_zone()
        zone_names = dict.fromkeys((*self.zone_order, *by_zone))
        zones = [by_zone[name] for name in zone_names if name in by_zone]
        longest = max(map(len, zones), default=0)
        return [zone[n] for n in range(longest) for zone in zones if n < len(zone)]

    def shortest_ns(self) -> int:
        """The shortest time that it can take: each round of a stage waits until its routers are warm."""
        return (
            sum(stage.min_ns for stage in self.stages)
            + self.slowest_signal_ns
            + self._round_count() * self.warm_up_ns
        )

    def longest_ns(self) -> int:
        """The longest time that it can take: each round of a stage waits for ready and for warm."""
        rounds_ns = self._round_count() * (self.ready_timeout_ns + self.warm_up_ns)
        return sum(stage.max_ns for stage in self.stages) + rounds_ns

    def _round_count(self) -> int:
        """How often as many routers as may be unavailable are changed, over all stages."""
        return sum(-(-len(routers) // self.max_unavailable) for routers in self.routers_by_stage())
