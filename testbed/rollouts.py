"""Routers as a rollout sees them, in virtual time: processes that start, serve, go out of service and back,
crash and fall silent, with a share of requests that is not answered in time.  For tests and benchmarks of
``kelpcroft.rollout``; a seed replays a run."""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

from kelpcroft.rollout.judge import RequestSample
from kelpcroft.rollout.plan import RolloutPlan, load_plan
from kelpcroft.rollout.state_machine import (
    CommandKind,
    Event,
    HistoryEntry,
    NoAnswer,
    OperatorCommand,
    Rollout,
    RolloutOutcome,
    RouterCommand,
    RouterReport,
    Tick,
)

S = 10**9
Harm = Callable[
    ["SimulatedFleet", "SimulatedRouter", str], float
]  # of a class at a router now, over the usual


def make_plan(zones: int, each: int, stages: str = "", more: str = "") -> RolloutPlan:
    """A plan for so many zones of so many routers; one stage of one router, one of a half, and the rest."""
    names = [(f"n{z}-{n}", f"z{z}") for z in range(zones) for n in range(each)]
    text = 'rollout version=1\nchange { program build="beef"; }\n' + "".join(
        f'router "{name}" zone="{zone}"\n' for name, zone in names
    )
    text += stages or (
        'stage "one" count=1 least="30s" most="900s"\nstage "half" share="50%" least="30s" most="900s"\n'
        'stage "all" share="100%" least="30s" most="900s"\n'
    )
    text += (
        more
        or 'limits at-once=3 per-zone=1\nwatch every="1s" slowest="30s" ready="10s" cold="10s" unknown=1\n'
    )
    plan, faults = load_plan(text.encode())
    assert not faults, [f.format_for("plan") for f in faults]
    return plan


@dataclass
class SimulatedRouter:
    """One router."""

    name: str
    zone: str
    build: str = "old"
    wanted: str = "old"
    instance: int = 1
    in_service: bool = True
    ready_at: int = 0
    started: int = 0
    alive: bool = True
    silent_until_ns: int = 0
    invariants: int = 0
    memory_mb: float = 30.0
    classes: dict[str, RequestSample] = field(default_factory=dict)


class SimulatedFleet:
    """All routers of a plan, and the rollout that changes them."""

    def __init__(
        self, plan: RolloutPlan, seed: int, harm: Harm, rate: float = 30.0, usual: float = 0.03
    ) -> None:
        self.plan, self.random, self.harm = plan, Random(seed), harm
        self.rate, self.usual = rate, usual
        self.now = 1_000 * S
        self.routers = {t.name: SimulatedRouter(t.name, t.zone) for t in plan.routers}
        self.rollout = Rollout(plan, self.now)
        self.history: list[HistoryEntry] = []
        self.commands: list[tuple[int, str, CommandKind]] = []
        self.max_unavailable: dict[str, int] = {}
        self.changed_routers: set[str] = set()
        self.harmed_requests = 0.0  # requests that the change cost
        self.lost_command_share = 0.0  # share of orders that never arrive
        self.new_build_never_ready = False  # of the new build
        self.new_build_crash_after_ns = 0  # of the new build, in ns
        self.wander = 0.0
        self.later: list[Event] = []  # answers of this second, told behind its tick

    def deliver(self, event: Event) -> None:
        for effect in self.rollout.handle(self.now, event):
            if isinstance(effect, HistoryEntry):
                self.history.append(effect)
            elif effect.kind is CommandKind.POLL:
                self.ask(self.routers[effect.router])
            else:
                self.commands.append((self.now, effect.router, effect.kind))
                if self.random.random() >= self.lost_command_share:
                    self.carry_out(effect)

    def ask(self, p: SimulatedRouter) -> None:
        self.later.append(self.answer(p))

    def answer(self, p: SimulatedRouter) -> Event:
        """What a router says of itself now."""
        if not p.alive or self.now < p.silent_until_ns or self.now < p.ready_at and p.started == self.now:
            return NoAnswer(p.name)
        ready = self.now >= p.ready_at
        return RouterReport(
            p.name,
            f"{p.name}-{p.instance}",
            {"program": p.build},
            ready,
            p.in_service and ready,
            p.invariants,
            dict(p.classes),
            round(p.memory_mb * 1024),
        )

    def carry_out(self, do: RouterCommand) -> None:
        p = self.routers[do.router]
        if do.kind is CommandKind.DRAIN:
            p.in_service = False
        elif do.kind is CommandKind.ENABLE:
            p.in_service = True
        elif do.kind is CommandKind.RESTART:
            self.start(p, p.build)
        else:
            build = "beef" if do.kind is CommandKind.APPLY else "old"
            self.changed_routers.add(p.name)
            if p.build != build:
                self.start(p, build)

    def start(self, p: SimulatedRouter, build: str) -> None:
        p.build, p.instance, p.started, p.classes, p.invariants = build, p.instance + 1, self.now, {}, 0
        p.alive, p.memory_mb = True, 30.0
        p.ready_at = 1 << 80 if build == "beef" and self.new_build_never_ready else self.now + 2 * S

    def run_second(self) -> None:
        """One second: requests, then the rollout's turn."""
        self.now += S
        self.later = []
        self.wander = 0.95 * self.wander + self.random.gauss(0, 0.01)
        for p in self.routers.values():
            if (
                p.build == "beef"
                and self.new_build_crash_after_ns
                and p.alive
                and self.now - p.started >= self.new_build_crash_after_ns
            ):
                self.start(p, "beef")  # the platform starts it again
            if not p.alive or not p.in_service or self.now < p.ready_at:
                continue
            for cls in ("reads", "writes"):
                rate = self.rate if cls == "reads" else self.rate / 3
                asked = max(0, round(self.random.gauss(rate, math.sqrt(rate))))
                more = self.harm(self, p, cls)
                share = min(1.0, max(0.0, self.usual + self.wander + more))
                spread = math.sqrt(asked * share * (1 - share))
                bad = min(asked, max(0, round(self.random.gauss(asked * share, spread))))
                self.harmed_requests += asked * more if p.build == "beef" else 0.0
                p.classes[cls] = p.classes.get(cls, RequestSample()) + RequestSample(
                    asked, float(asked), float(asked - bad)
                )
        self.deliver(Tick())
        for event in self.later:
            self.deliver(event)
        away: dict[str, int] = {"": 0}
        for p in self.routers.values():
            if not p.alive or not p.in_service or self.now < p.ready_at:
                away[""] += 1
                away[p.zone] = away.get(p.zone, 0) + 1
        for zone, count in away.items():
            self.max_unavailable[zone] = max(count, self.max_unavailable.get(zone, 0))

    def run(
        self, seconds: int = 4_000, operator_commands: dict[int, OperatorCommand] | None = None
    ) -> RolloutOutcome:
        """Until it is over or held."""
        for n in range(seconds):
            if operator_commands and n in operator_commands:
                self.deliver(operator_commands[n])
            self.run_second()
            if self.rollout.outcome in (RolloutOutcome.DONE, RolloutOutcome.ROLLED_BACK):
                break
            if self.rollout.outcome is RolloutOutcome.HELD and not (
                operator_commands and any(at > n for at in operator_commands)
            ):
                break
        return self.rollout.outcome
