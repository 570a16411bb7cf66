"""Routers as a rollout sees them, in virtual time.

Processes start, serve, go out of service and back, crash and fall silent, with a share of requests that is
not answered in time. For tests and benchmarks of ``kelpcroft.rollout``; a seed replays a run.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

from kelpcroft.rollout.events import (
    CommandKind,
    Event,
    HistoryEntry,
    NoAnswer,
    OperatorCommand,
    RouterCommand,
    RouterReport,
    Tick,
)
from kelpcroft.rollout.judge import RequestSample
from kelpcroft.rollout.phases import RolloutOutcome
from kelpcroft.rollout.plan import RolloutPlan
from kelpcroft.rollout.plan_file import load_plan
from kelpcroft.rollout.state_machine import Rollout

S = 10**9
NEVER_NS = 1 << 80
START = 1_000 * S
STARTS_IN_NS = 2 * S
NEW_BUILD = "beef"
OLD_BUILD = "old"
USUAL_MEMORY_MB = 30.0
CLASS_RATES = {"reads": 1, "writes": 3}  # by what a router's rate is divided for each class
DRIFT_DECAY = 0.95  # of the share of late requests that comes and goes everywhere at once
DRIFT_STEP = 0.01
EVERYWHERE = ""  # in place of a zone
DEFAULT_STAGES = (
    'stage "one" count=1 least="30s" most="900s"\n'
    'stage "half" share="50%" least="30s" most="900s"\n'
    'stage "all" share="100%" least="30s" most="900s"\n'
)
DEFAULT_LIMITS = (
    'limits at-once=3 per-zone=1\nwatch every="1s" slowest="30s" ready="10s" cold="10s" unknown=1\n'
)
# The share of a class's requests at a router now that is late beyond the usual.
Harm = Callable[["SimulatedFleet", "SimulatedRouter", str], float]


def make_plan(zones: int, each: int, stages: str = "", more: str = "") -> RolloutPlan:
    """A plan for so many zones of so many routers; by default one router, a half, and the rest.

    Args:
        zones: How many there are: z0, z1, ...
        each: Routers of each: n0-0, n0-1, ...
        stages: Lines in place of the default stages.
        more: Lines in place of the default limits and times.
    """
    names = [(f"n{z}-{n}", f"z{z}") for z in range(zones) for n in range(each)]
    text = 'rollout version=1\nchange { program build="beef"; }\n'
    text += "".join(f'router "{name}" zone="{zone}"\n' for name, zone in names)
    text += stages or DEFAULT_STAGES
    text += more or DEFAULT_LIMITS
    plan, faults = load_plan(text.encode())
    assert not faults, [fault.format_for("plan") for fault in faults]
    return plan


@dataclass
class SimulatedRouter:
    """One router over all its processes; times are those of the fleet, in ns."""

    name: str
    zone: str
    build: str = OLD_BUILD
    instance: int = 1  # counts its processes
    in_service: bool = True
    ready_at: int = 0
    started: int = 0
    alive: bool = True
    silent_until_ns: int = 0
    invariants: int = 0  # violations that it reports
    memory_mb: float = USUAL_MEMORY_MB
    classes: dict[str, RequestSample] = field(default_factory=dict)  # of this process

    def serves(self, now_ns: int) -> bool:
        """Whether it takes clients' requests."""
        return self.alive and self.in_service and now_ns >= self.ready_at


class SimulatedFleet:
    """All routers of a plan, and the rollout that changes them, second by second."""

    def __init__(
        self, plan: RolloutPlan, seed: int, harm: Harm, rate: float = 30.0, usual: float = 0.03
    ) -> None:
        """Build the fleet before its first second.

        Args:
            plan: Whose routers there are.
            seed: Of all that is left to chance.
            harm: What the change costs.
            rate: Reads a second at each router.
            usual: The share of requests that is late anyway.
        """
        self.plan = plan
        self.random = Random(seed)
        self.harm = harm
        self.rate = rate
        self.usual_late_share = usual
        self.now = START
        self.routers = {target.name: SimulatedRouter(target.name, target.zone) for target in plan.routers}
        self.rollout = Rollout(plan, self.now)
        self.history: list[HistoryEntry] = []
        self.commands: list[tuple[int, str, CommandKind]] = []  # when, to which router, what
        self.max_unavailable: dict[str, int] = {}  # by zone, and EVERYWHERE
        self.changed_routers: set[str] = set()
        self.harmed_requests = 0.0
        self.lost_command_share = 0.0
        self.new_build_never_ready = False
        self.new_build_crash_after_ns = 0  # 0 = never
        self._drift = 0.0
        self._pending_answers: list[Event] = []  # of this second, told behind its tick

    def deliver(self, event: Event) -> None:
        """Tell the rollout of an event and carry out what it asks for."""
        for effect in self.rollout.handle(self.now, event):
            if isinstance(effect, HistoryEntry):
                self.history.append(effect)
            elif effect.kind is CommandKind.POLL:
                self._pending_answers.append(self.answer(self.routers[effect.router]))
            else:
                self.commands.append((self.now, effect.router, effect.kind))
                if self.random.random() >= self.lost_command_share:
                    self.carry_out(effect)

    def answer(self, router: SimulatedRouter) -> Event:
        """What a router says of itself now."""
        is_starting = self.now < router.ready_at and router.started == self.now
        if not router.alive or self.now < router.silent_until_ns or is_starting:
            return NoAnswer(router.name)
        is_ready = self.now >= router.ready_at
        return RouterReport(
            router.name,
            f"{router.name}-{router.instance}",
            {"program": router.build},
            is_ready,
            router.in_service and is_ready,
            router.invariants,
            dict(router.classes),
            round(router.memory_mb * 1024),
        )

    def carry_out(self, command: RouterCommand) -> None:
        """A command arrives at its router."""
        router = self.routers[command.router]
        if command.kind is CommandKind.DRAIN:
            router.in_service = False
        elif command.kind is CommandKind.ENABLE:
            router.in_service = True
        elif command.kind is CommandKind.RESTART:
            self.start(router, router.build)
        else:
            build = NEW_BUILD if command.kind is CommandKind.APPLY else OLD_BUILD
            self.changed_routers.add(router.name)
            if router.build != build:
                self.start(router, build)

    def start(self, router: SimulatedRouter, build: str) -> None:
        """A new process of a router, with this build."""
        never_ready = build == NEW_BUILD and self.new_build_never_ready
        router.build = build
        router.instance += 1
        router.started = self.now
        router.ready_at = NEVER_NS if never_ready else self.now + STARTS_IN_NS
        router.alive = True
        router.classes = {}
        router.invariants = 0
        router.memory_mb = USUAL_MEMORY_MB

    def run_second(self) -> None:
        """One second: requests, then the rollout's turn."""
        self.now += S
        self._pending_answers = []
        self._drift = DRIFT_DECAY * self._drift + self.random.gauss(0, DRIFT_STEP)
        for router in self.routers.values():
            if self._crashes_now(router):
                self.start(router, NEW_BUILD)  # the platform starts it again
            if router.serves(self.now):
                for cls in CLASS_RATES:
                    self._play_requests(router, cls)
        self.deliver(Tick())
        for event in self._pending_answers:
            self.deliver(event)
        self._count_unavailable()

    def _crashes_now(self, router: SimulatedRouter) -> bool:
        return bool(
            router.build == NEW_BUILD
            and self.new_build_crash_after_ns
            and router.alive
            and self.now - router.started >= self.new_build_crash_after_ns
        )

    def _play_requests(self, router: SimulatedRouter, cls: str) -> None:
        """A class's requests of this second at a router, and how many of them were late."""
        rate = self.rate / CLASS_RATES[cls]
        asked = max(0, round(self.random.gauss(rate, math.sqrt(rate))))
        harm = self.harm(self, router, cls)
        late_share = min(1.0, max(0.0, self.usual_late_share + self._drift + harm))
        deviation = math.sqrt(asked * late_share * (1 - late_share))
        late = min(asked, max(0, round(self.random.gauss(asked * late_share, deviation))))
        if router.build == NEW_BUILD:
            self.harmed_requests += asked * harm
        sample = RequestSample(asked, float(asked), float(asked - late))
        router.classes[cls] = router.classes.get(cls, RequestSample()) + sample

    def _count_unavailable(self) -> None:
        unavailable: dict[str, int] = {EVERYWHERE: 0}
        for router in self.routers.values():
            if not router.serves(self.now):
                unavailable[EVERYWHERE] += 1
                unavailable[router.zone] = unavailable.get(router.zone, 0) + 1
        for zone, count in unavailable.items():
            self.max_unavailable[zone] = max(count, self.max_unavailable.get(zone, 0))

    def run(
        self, seconds: int = 4_000, operator_commands: dict[int, OperatorCommand] | None = None
    ) -> RolloutOutcome:
        """Play until the rollout is over, or held with no command to come.

        Args:
            seconds: The longest.
            operator_commands: What people say, by second of this run.
        """
        commands = operator_commands or {}
        for second in range(seconds):
            if second in commands:
                self.deliver(commands[second])
            self.run_second()
            if self.rollout.outcome in (RolloutOutcome.DONE, RolloutOutcome.ROLLED_BACK):
                break
            is_held = self.rollout.outcome is RolloutOutcome.HELD
            if is_held and not any(at > second for at in commands):
                break
        return self.rollout.outcome
