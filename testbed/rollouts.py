"""The routers of a rollout in virtual time.

Processes start, serve, go out of service and return, crash and stop responding. A share of their requests
gets no response in time. For tests and benchmarks of ``kelpcroft.rollout``; the same seed gives the same run.
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
    NoResponse,
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
START = 1_000 * S  # start of virtual time
STARTS_IN_NS = 2 * S  # from the start of a process until it is ready
NEW_BUILD = "beef"
OLD_BUILD = "old"
USUAL_MEMORY_MB = 30.0
RATE_DIVISORS = {"reads": 1, "writes": 3}  # by class: the router's request rate is divided by this
DRIFT_DECAY = 0.95  # per second, of the drift: a share of late requests that varies for all routers together
DRIFT_STEP = 0.01  # standard deviation of the drift's change in a second
EVERYWHERE = ""  # key of all zones together
DEFAULT_STAGES = (
    'stage "one" count=1 least="30s" most="900s"\n'
    'stage "half" share="50%" least="30s" most="900s"\n'
    'stage "all" share="100%" least="30s" most="900s"\n'
)
DEFAULT_LIMITS = (
    'limits at-once=3 per-zone=1\nwatch every="1s" slowest="30s" ready="10s" cold="10s" unknown=1\n'
)
# Returns the additional share of a class's requests at a router that is late now because of a regression.
Harm = Callable[["SimulatedFleet", "SimulatedRouter", str], float]


def make_plan(zones: int, routers_per_zone: int, stages: str = "", limits: str = "") -> RolloutPlan:
    """A plan whose stages are, by default, one router, half of them, and all.

    Args:
        zones: Number of zones: z0, z1, ...
        routers_per_zone: Number of routers in each zone: n0-0, n0-1, ...
        stages: Lines that replace the default stages.
        limits: Lines that replace the default limits and times.
    """
    names = [(f"n{z}-{n}", f"z{z}") for z in range(zones) for n in range(routers_per_zone)]
    text = 'rollout version=1\nchange { program build="beef"; }\n'
    text += "".join(f'router "{name}" zone="{zone}"\n' for name, zone in names)
    text += stages or DEFAULT_STAGES
    text += limits or DEFAULT_LIMITS
    plan, faults = load_plan(text.encode())
    assert not faults, [fault.format_for("plan") for fault in faults]
    return plan


@dataclass
class SimulatedRouter:
    """One router and the processes that it runs in turn; times are those of the fleet, in ns."""

    name: str
    zone: str
    build: str = OLD_BUILD
    instance: int = 1  # counts its processes
    in_service: bool = True
    ready_at: int = 0
    started: int = 0
    alive: bool = True
    silent_until_ns: int = 0
    invariants: int = 0  # invariant violations that it reports
    memory_mb: float = USUAL_MEMORY_MB
    classes: dict[str, RequestSample] = field(default_factory=dict)  # counts of this process

    def serves(self, now_ns: int) -> bool:
        """Whether it accepts clients' requests."""
        return self.alive and self.in_service and now_ns >= self.ready_at


class SimulatedFleet:
    """All routers of a plan, and the rollout that changes them, in steps of one second."""

    def __init__(
        self, plan: RolloutPlan, seed: int, harm: Harm, rate: float = 30.0, usual_late_share: float = 0.03
    ) -> None:
        """Build the fleet; ``run`` or ``run_second`` starts its time.

        Args:
            plan: The rollout's plan with its routers.
            seed: Seed of all random draws.
            harm: The regression of the change.
            rate: Reads a second at each router.
            usual_late_share: The share of requests that is late without the change.
        """
        self.plan = plan
        self.random = Random(seed)
        self.harm = harm
        self.rate = rate
        self.usual_late_share = usual_late_share
        self.now = START
        self.routers = {target.name: SimulatedRouter(target.name, target.zone) for target in plan.routers}
        self.rollout = Rollout(plan, self.now)
        self.history: list[HistoryEntry] = []
        self.commands: list[tuple[int, str, CommandKind]] = []  # time, router and kind
        self.max_unavailable: dict[str, int] = {}  # by zone, and EVERYWHERE
        self.changed_routers: set[str] = set()
        self.harmed_requests = 0.0
        self.lost_command_share = 0.0
        self.new_build_never_ready = False
        self.new_build_crash_after_ns = 0  # 0 = never
        self._drift = 0.0
        self._pending_reports: list[Event] = []  # reports of this second, delivered after its tick

    def deliver(self, event: Event) -> None:
        """Pass an event to the rollout and carry out its effects."""
        for effect in self.rollout.handle(self.now, event):
            if isinstance(effect, HistoryEntry):
                self.history.append(effect)
            elif effect.kind is CommandKind.POLL:
                self._pending_reports.append(self.poll_router(self.routers[effect.router]))
            else:
                self.commands.append((self.now, effect.router, effect.kind))
                if self.random.random() >= self.lost_command_share:
                    self.carry_out(effect)

    def poll_router(self, router: SimulatedRouter) -> Event:
        """A router's report, or ``NoAnswer`` if it does not respond."""
        is_starting = self.now < router.ready_at and router.started == self.now
        if not router.alive or self.now < router.silent_until_ns or is_starting:
            return NoResponse(router.name)
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
        """Carry out a command at its router."""
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
        """Start a new process of a router with this build."""
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
        """Run one second: the requests first, then the rollout's tick and the routers' reports."""
        self.now += S
        self._pending_reports = []
        self._drift = DRIFT_DECAY * self._drift + self.random.gauss(0, DRIFT_STEP)
        for router in self.routers.values():
            if self._crashes_now(router):
                self.start(router, NEW_BUILD)  # the platform restarts it
            if router.serves(self.now):
                for cls in RATE_DIVISORS:
                    self._draw_requests(router, cls)
        self.deliver(Tick())
        for event in self._pending_reports:
            self.deliver(event)
        self._count_unavailable()

    def _crashes_now(self, router: SimulatedRouter) -> bool:
        return bool(
            router.build == NEW_BUILD
            and self.new_build_crash_after_ns
            and router.alive
            and self.now - router.started >= self.new_build_crash_after_ns
        )

    def _draw_requests(self, router: SimulatedRouter, cls: str) -> None:
        """Draw the number of a class's requests at a router in this second, and how many are late."""
        rate = self.rate / RATE_DIVISORS[cls]
        sent = max(0, round(self.random.gauss(rate, math.sqrt(rate))))
        harm = self.harm(self, router, cls)
        late_share = min(1.0, max(0.0, self.usual_late_share + self._drift + harm))
        deviation = math.sqrt(sent * late_share * (1 - late_share))
        late = min(sent, max(0, round(self.random.gauss(sent * late_share, deviation))))
        if router.build == NEW_BUILD:
            self.harmed_requests += sent * harm
        sample = RequestSample(sent, float(sent), float(sent - late))
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
        """Run until the rollout has ended, or is held with no operator command to come.

        Args:
            seconds: Longest duration.
            operator_commands: Commands of operators by second of this run.
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
