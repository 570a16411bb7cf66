"""Plan of a rollout: the components that change, the routers, the stages, and the criteria that stop it.

This module holds the records.  ``plan_file`` reads them from a rollout file, and ``plan_checks`` checks
conditions that involve several nodes of the file.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

from kelpcroft.operator_file.diagnostics import FilePosition
from kelpcroft.rollout.judge import StopCriteria

NS_PER_S = 10**9
DEFAULT_STOP_CRITERIA = StopCriteria()


class ComponentChange(NamedTuple):
    """One component that changes, and the digest that a router reports once it has the new one.

    Attributes:
        component: ``program``, ``settings`` or ``rules``.
        digest: The new component's digest in hexadecimal.
    """

    component: str
    digest: str


class BuildFolders(NamedTuple):
    """Folders of the two builds, for routers that are processes of this machine."""

    old: str
    new: str


class PlacementCommands(NamedTuple):
    """Argument lists of the commands that print where the old build and the new one place objects."""

    old: tuple[str, ...]
    new: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class RouterTarget:
    """One router that the rollout changes.

    Attributes:
        name: The router's name, as the router reports it.
        zone: Its zone.
        control_address: ``host:port`` of its control address; "" if the file has none.
        config_path: The configuration file with which a router on this machine is started.
        rules_path: The operator's file of a router on this machine; "" for none.
        position: The position of its node in the file.
    """

    name: str
    zone: str
    control_address: str = ""
    config_path: str = ""
    rules_path: str = ""
    position: FilePosition = field(default=FilePosition(), compare=False)


@dataclass(frozen=True, slots=True)
class Stage:
    """Stage of the rollout: it changes routers up to a count or a share of all, then compares them.

    Attributes:
        name: The stage's name in texts for operators.
        router_count: The total of routers that are changed by its end; 0 = given by ``router_share``.
        router_share: The same as a share of all routers.
        min_ns: The minimum time that the stage lasts once its routers are warm.
        max_ns: If there is no verdict after this time with warm routers, the rollout is held.
        control_count: Routers of the old build that are restarted in each of its zones as a control group.
        position: The position of its node in the file.
    """

    name: str
    router_count: int
    router_share: float
    min_ns: int
    max_ns: int
    control_count: int = 0
    position: FilePosition = field(default=FilePosition(), compare=False)

    def changed_count(self, total: int) -> int:
        """The number of routers, of ``total``, that are changed by the end of the stage."""
        return min(total, self.router_count or max(1, round(self.router_share * total)))


@dataclass(frozen=True, slots=True)
class RolloutPlan:
    """Content of a rollout file.

    Attributes:
        changes: The components that change.
        routers: All routers, in the file's order.
        stages: The stages, in the file's order.
        max_unavailable: Routers that may be out of service or not warm at the same time, in total.
        max_unavailable_per_zone: The same for each zone.
        zone_order: Zones whose routers are changed before those of other zones.
        poll_interval_ns: The interval between two polls of each router.
        slowest_signal_ns: The delay of the slowest signal for which a stage must wait.
        ready_timeout_ns: The time within which a changed router must be ready.
        warm_up_ns: The time that a changed router is in service before it is compared.
        max_unknown: The number of routers that may be unresponsive; with more, no new change begins.
        stop_criteria: The criteria of a regression.
        rolls_back_on_regression: Whether a regression is rolled back; otherwise the rollout is held.
        apply_command: The command that changes a router; ``{router}`` stands for its name.
        undo_command: The command that changes a router back.
        restart_command: The command that restarts a router without a change, for a control group.
        local_builds: The folders of the builds if routers are processes of this machine, otherwise None.
        placement_commands: The commands that print each build's placement; None if the file has none.
        placement_object_count: The number of objects whose placements are compared.
        max_memory_ratio: Limit of a new router's peak memory, as a multiple of the old build's highest peak.
        command_timeout_ns: The time within which a command must end.
        commands_repeatable: Whether the commands are idempotent.
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
    rolls_back_on_regression: bool = True
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
        """The routers by zone; zones and routers are in the file's order."""
        zones: dict[str, list[RouterTarget]] = {}
        for router in self.routers:
            zones.setdefault(router.zone, []).append(router)
        return zones

    def routers_by_stage(self) -> list[list[RouterTarget]]:
        """The routers that each stage changes.

        Routers are taken from the zones in turn, one at a time, in the order of zones.  Every stage therefore
        spreads over the zones, and the last routers of each zone are changed last.
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
        """The shortest duration of the rollout: each round of a stage waits until its routers are warm."""
        return (
            sum(stage.min_ns for stage in self.stages)
            + self.slowest_signal_ns
            + self._round_count() * self.warm_up_ns
        )

    def longest_ns(self) -> int:
        """The longest duration without holds: each round waits until its routers are ready, and then warm."""
        rounds_ns = self._round_count() * (self.ready_timeout_ns + self.warm_up_ns)
        return sum(stage.max_ns for stage in self.stages) + rounds_ns

    def _round_count(self) -> int:
        """The number of rounds over all stages; each round changes as many routers as may be unavailable."""
        return sum(-(-len(routers) // self.max_unavailable) for routers in self.routers_by_stage())
