"""The state machine of a rollout: events and the time in, effects out.  It keeps, at every instant:

- one change under way at a router, and no more routers away than the plan's limits, in all and per zone;
- nothing is concluded from an answer that did not come: where a step's end was not heard, the router's own
  digests say what it is; a router that does not answer is unknown, never good;
- nothing goes on without evidence: a stage ends when every router of it is warm, its least time is over and
  harm is ruled out wherever an old router is left to compare with; past its most time it is held;
- every run ends, or is held with what is missing named.

A router is told by ``Report``s, cumulative counters of one process instance.  A new instance that nobody
asked for is a crash; counters that fall under the same instance are a contradiction and say nothing.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum

from kelpcroft.rollout.judge import Place, RegressionJudge, RequestSample, Verdict
from kelpcroft.rollout.plan import RolloutPlan, RouterTarget

SMALL_SHARE = 0.02  # of a zone's worth: a class below it is too rare to wait for
MEMORY_SPARE_KB = 16 * 1024  # a process may have so much more than the old in any case
STALE_TURNS = 3  # polls without an answer after which a router is unknown


class Phase(Enum):
    """Where a router is."""

    WAITING = "waiting"  # of the old
    DRAINING = "out of service"  # asked to let its clients go
    CHANGING = "changed"  # the change was ordered; ready is waited for
    WARMING_UP = "cold"  # in service with the new, not judged yet
    COMPARED = "judged"  # warm, compared with the old
    ACCEPTED = "kept"  # its stage is over
    ROLLBACK_DRAINING = "leaving"  # to be taken back: asked to let its clients go
    ROLLING_BACK = "undone"  # the old was ordered; ready is waited for
    ROLLED_BACK = "taken back"
    CONTROL_DRAINING = "out, to be restarted"  # of the old: the control group of a stage
    CONTROL_RESTARTING = "restarted"  # ready is waited for
    CONTROL = "control"  # of the old, and as cold as the new


AWAY = frozenset(
    (
        Phase.DRAINING,
        Phase.CHANGING,
        Phase.WARMING_UP,
        Phase.ROLLBACK_DRAINING,
        Phase.ROLLING_BACK,
        Phase.CONTROL_DRAINING,
        Phase.CONTROL_RESTARTING,
    )
)
OLD = frozenset((Phase.WAITING, Phase.CONTROL))
MOVED = frozenset(  # an order of ours ends the process in these
    (
        Phase.CHANGING,
        Phase.ROLLING_BACK,
        Phase.DRAINING,
        Phase.ROLLBACK_DRAINING,
        Phase.CONTROL_DRAINING,
        Phase.CONTROL_RESTARTING,
    )
)
NEW = frozenset((Phase.CHANGING, Phase.WARMING_UP, Phase.COMPARED, Phase.ACCEPTED))


class HoldCause(Enum):
    """Why a rollout is held, where that decides how the hold ends."""

    NONE = ""
    SILENCE = "silence"  # too many routers do not answer: it ends by itself once they do
    PEOPLE = "people"  # an order, or a finding that people are to look at: it ends by their order


class RolloutOutcome(Enum):
    """Where the whole is."""

    RUNNING = "running"
    HELD = "held"  # nothing new is begun; what is under way at a router is finished
    ROLLING_BACK = "reverting"
    DONE = "done"
    ROLLED_BACK = "taken back"


@dataclass(frozen=True, slots=True)
class RouterReport:
    """What a router says of itself."""

    router: str
    instance: str  # of the process: another one after each start
    digests: Mapping[str, str]  # program, settings, rules
    ready: bool
    in_service: bool
    invariant_violations: int = 0
    samples_by_class: Mapping[str, RequestSample] = field(default_factory=dict)  # since this instance began
    peak_memory_kb: int = 0  # the most that it has had; 0 = not told


@dataclass(frozen=True, slots=True)
class NoAnswer:
    """A router did not answer, or not in a way that can be read."""

    router: str


@dataclass(frozen=True, slots=True)
class Tick:
    """Time has passed."""


class OperatorCommand(Enum):
    """What people say."""

    HOLD = "hold"
    RESUME = "resume"
    REVERT = "revert"


Event = RouterReport | NoAnswer | Tick | OperatorCommand


class CommandKind(Enum):
    """What is to be done at a router.  Each may be ordered again without harm."""

    POLL = "ask"
    DRAIN = "take out of service"
    APPLY = "change"
    UNDO = "change back"
    RESTART = "restart as it is"
    ENABLE = "put in service"


@dataclass(frozen=True, slots=True)
class RouterCommand:
    """One order to a router."""

    router: str
    kind: CommandKind


@dataclass(frozen=True, slots=True)
class HistoryEntry:
    """A decision for the history: a stable name, a sentence, and the figures that it was made on."""

    name: str
    text: str
    figures: Mapping[str, object] = field(default_factory=dict)


Effect = RouterCommand | HistoryEntry


@dataclass(slots=True)
class Router:
    """One router as the rollout knows it."""

    target: RouterTarget
    phase: Phase = Phase.WAITING
    since_ns: int = 0
    last_report_ns: int = -1  # last report; -1 = none yet
    report: RouterReport | None = None
    first: Mapping[str, str] = field(default_factory=dict)  # digests before anything
    invariants: int = 0  # counted by the instance when the phase began
    was: str = ""  # the instance that is to be restarted
    before: dict[str, RequestSample] = field(default_factory=dict)  # by class, while nothing was changed
    fresh: dict[str, RequestSample] = field(default_factory=dict)  # by class, since the last slice


class Rollout:
    """One run of a plan.  ``handle`` is the only way to change it."""

    def __init__(self, plan: RolloutPlan, now: int) -> None:
        self.plan, self.now = plan, now
        self.routers = {t.name: Router(t, since_ns=now) for t in plan.routers}
        self.stages = plan.routers_by_stage()
        self.stage, self.stage_ns = -1, now
        self.outcome = RolloutOutcome.RUNNING
        self.reason = ""  # it is held or taken back
        self.hold_cause = HoldCause.NONE
        self.judge = RegressionJudge(plan.rates)
        self.polled_ns = self.sliced_ns = now - plan.every_ns
        self.looked_ns = now  # since when somebody asks: before that, silence is nobody's
        self.memory_kb = 0  # the most that a router of the old has told
        self.harmed: Place | None = None
        self.after_ns = -1  # since when all is taken back
        self.effects: list[Effect] = []

    def handle(self, now: int, event: Event) -> list[Effect]:
        """One event.  The time never runs back: an earlier one counts as the last."""
        paused = now - self.now > self.plan.every_ns
        self.now, self.effects = max(now, self.now), []
        if paused:
            self.look_anew()
        if isinstance(event, RouterReport):
            self.on_report(event)
        elif isinstance(event, OperatorCommand):
            self.on_order(event)
        # Steps are Tick's: a report alone would look at every router for each router that reports.
        if not isinstance(event, RouterReport | NoAnswer) and self.outcome not in (
            RolloutOutcome.DONE,
            RolloutOutcome.ROLLED_BACK,
        ):
            self.poll()
            self.step()
        return self.effects

    def look_anew(self) -> None:
        """This process stood still for longer than a polling interval.  It asked nobody meanwhile, so that
        time is not the routers' silence; answers that waited here are from before the pause, and do not count
        as heard since."""
        self.looked_ns = self.now + 1
        self.polled_ns = self.now - self.plan.every_ns
        self.restart_deadlines()

    def restart_deadlines(self) -> None:
        """Each step under way has its time anew: nobody looked meanwhile."""
        for router in self.routers.values():
            if router.phase in AWAY and router.phase is not Phase.WARMING_UP:
                router.since_ns = self.now

    def resume_after_takeover(self, now: int, repeat: bool) -> list[Effect]:
        """After another process has taken over: what was ordered last at each router may never have gone out.
        Orders that do no harm twice go out again; a change only if its tool says so (``repeat``), else the
        router's own digests tell what became of it, and time does where they do not."""
        left = self.now
        self.now, self.effects = max(now, self.now), []
        self.polled_ns = self.now - self.plan.every_ns
        self.looked_ns = self.now
        if self.stage < 0:
            self.stage_ns += self.now - left  # nothing was begun, and nobody was listened to meanwhile
        again = dict.fromkeys(
            (Phase.DRAINING, Phase.ROLLBACK_DRAINING, Phase.CONTROL_DRAINING), CommandKind.DRAIN
        )
        again |= dict.fromkeys((Phase.WARMING_UP, Phase.ROLLED_BACK, Phase.CONTROL), CommandKind.ENABLE)
        if repeat:
            again |= {
                Phase.CHANGING: CommandKind.APPLY,
                Phase.ROLLING_BACK: CommandKind.UNDO,
                Phase.CONTROL_RESTARTING: CommandKind.RESTART,
            }
        self.restart_deadlines()
        for name, router in self.routers.items():
            if router.phase in again:
                self.effects.append(RouterCommand(name, again[router.phase]))
        self.note(
            "resumed", f"taken over in stage {self.stage + 1} of {len(self.stages)}, {self.outcome.value}"
        )
        return self.effects

    # What is heard ----------------------------------------------------------------------------------------

    def on_report(self, r: RouterReport) -> None:
        router = self.routers.get(r.router)
        if router is None:
            return
        last = router.report
        if last is None:
            router.first = dict(r.digests)
        elif r.instance == last.instance and (
            r.invariant_violations < last.invariant_violations
            or any(
                r.samples_by_class.get(cls, RequestSample()).request_count < told.request_count
                for cls, told in last.samples_by_class.items()
            )
        ):
            self.note(
                "contradiction", f"{r.router} counts less than before; that is not used", router=r.router
            )
            return
        router.last_report_ns, router.report = self.now, r
        if router.phase in OLD:
            self.memory_kb = max(self.memory_kb, r.peak_memory_kb)
        for cls, total in r.samples_by_class.items():
            earlier = (
                last.samples_by_class.get(cls, RequestSample())
                if last and last.instance == r.instance
                else RequestSample()
            )
            more = RequestSample(
                total.request_count - earlier.request_count,
                total.requested_weight - earlier.requested_weight,
                total.in_time_weight - earlier.in_time_weight,
            )
            if last is None:
                continue  # what was before the rollout is of unknown length
            router.fresh[cls] = router.fresh.get(cls, RequestSample()) + more
        if last and last.instance != r.instance and router.phase not in MOVED:
            self.harm(
                router, "crash", f"{r.router} was started again by nobody's order"
            ) if router.phase in NEW else self.note(
                "restarted", f"{r.router} was started again", router=r.router
            )
        elif r.invariant_violations > router.invariants and router.phase in NEW:
            self.harm(router, "invariant", f"{r.router} counts {r.invariant_violations} broken invariants")

    def on_order(self, order: OperatorCommand) -> None:
        if order is OperatorCommand.HOLD and self.outcome is RolloutOutcome.RUNNING:
            self.hold("ordered")
        elif order is OperatorCommand.HOLD and self.hold_cause is HoldCause.SILENCE:
            self.hold("ordered")  # it no longer ends by itself
        elif order is OperatorCommand.RESUME and self.outcome is RolloutOutcome.HELD:
            self.go_on("the rollout goes on")
        elif order is OperatorCommand.REVERT and self.outcome in (
            RolloutOutcome.RUNNING,
            RolloutOutcome.HELD,
        ):
            self.revert("ordered")

    # What is known ----------------------------------------------------------------------------------------

    def unknown(self, router: Router) -> bool:
        """Whether nothing was heard of a router for so long that nothing is known of it."""
        since = max(router.last_report_ns, self.begun(router), self.looked_ns)
        return self.now - since > STALE_TURNS * self.plan.every_ns

    def answering(self) -> bool:
        """Whether no more routers than the plan allows are without an answer since this process last looked
        and asked.  One that is being changed may be silent and does not count."""
        silent = (
            r.last_report_ns < self.looked_ns or self.unknown(r)
            for r in self.routers.values()
            if r.phase not in (Phase.CHANGING, Phase.ROLLING_BACK)
        )
        return sum(silent) <= self.plan.unknown_most

    def begun(self, router: Router) -> int:
        """A process that is being changed is silent for a while, and has until ready to speak."""
        waits = router.phase in (Phase.CHANGING, Phase.ROLLING_BACK)
        return router.since_ns + (self.plan.ready_ns if waits else 0)

    def told(self, router: Router, new: bool) -> bool:
        """Whether a router says that it is the new, or the old as it was at first."""
        if router.report is None:
            return False
        digests = router.report.digests
        if new:
            return all(digests.get(what) == digest for what, digest in self.plan.change)
        return all(digests.get(what) == router.first.get(what) for what, _ in self.plan.change)

    def away(self, zone: str = "") -> int:
        """Routers that do not serve as they should: being changed, cold, or unknown."""
        return sum(
            1
            for r in self.routers.values()
            if (not zone or r.target.zone == zone) and (r.phase in AWAY or self.unknown(r))
        )

    def room(self, router: Router) -> bool:
        """Whether one more may be away.  A router that is unknown itself is not begun."""
        zone = router.target.zone
        return (
            not self.unknown(router)
            and router.last_report_ns >= self.looked_ns
            and self.away() < self.plan.at_once
            and self.away(zone) < self.plan.per_zone
        )

    # What is done -----------------------------------------------------------------------------------------

    def poll(self) -> None:
        """Ask every router, in every turn."""
        if self.now - self.polled_ns >= self.plan.every_ns:
            self.polled_ns = self.now
            self.effects += [RouterCommand(name, CommandKind.POLL) for name in self.routers]

    def step(self) -> None:
        """All that can go on now."""
        self.slice()
        for router in self.routers.values():
            self.advance(router)
        lost = sorted(n for n, r in self.routers.items() if self.unknown(r))
        if self.outcome is RolloutOutcome.RUNNING and len(lost) > self.plan.unknown_most:
            self.hold(f"{len(lost)} routers do not answer: {', '.join(lost[:5])}", HoldCause.SILENCE)
        elif (
            self.outcome is RolloutOutcome.HELD and self.hold_cause is HoldCause.SILENCE and self.answering()
        ):
            self.go_on("routers answer again within the plan's limit: the rollout goes on")
        if self.outcome is RolloutOutcome.RUNNING:
            self.forward()
        elif self.outcome is RolloutOutcome.ROLLING_BACK:
            self.backward()

    def advance(self, router: Router) -> None:
        """One router's way through what was begun at it."""
        r, waited = router.report, self.now - router.since_ns
        heard = r is not None and router.last_report_ns >= router.since_ns  # since the phase began
        assert r is not None or not heard
        if router.phase in (Phase.DRAINING, Phase.ROLLBACK_DRAINING):
            if heard and r is not None and not r.in_service:
                undo = router.phase is Phase.ROLLBACK_DRAINING
                self.enter(router, Phase.ROLLING_BACK if undo else Phase.CHANGING)
                self.effects.append(
                    RouterCommand(router.target.name, CommandKind.UNDO if undo else CommandKind.APPLY)
                )
            elif router.phase is Phase.ROLLBACK_DRAINING and self.unknown(router):
                # It died in its change: there is nobody to let go, and what ran there is to run again.
                self.enter(router, Phase.ROLLING_BACK)
                self.effects.append(RouterCommand(router.target.name, CommandKind.UNDO))
            elif waited > self.plan.ready_ns:
                self.stuck(router, "does not go out of service")
        elif router.phase is Phase.CONTROL_DRAINING:
            if heard and r is not None and not r.in_service:
                router.was = r.instance
                self.enter(router, Phase.CONTROL_RESTARTING)
                self.effects.append(RouterCommand(router.target.name, CommandKind.RESTART))
            elif waited > self.plan.ready_ns:
                self.stuck(router, "does not go out of service")
        elif router.phase is Phase.CONTROL_RESTARTING:
            if heard and r is not None and r.ready and r.instance != router.was and self.told(router, False):
                self.enter(router, Phase.CONTROL)
                self.effects.append(RouterCommand(router.target.name, CommandKind.ENABLE))
            elif waited > self.plan.ready_ns:
                self.stuck(router, "is not ready in time after it was restarted as it was")
        elif router.phase in (Phase.CHANGING, Phase.ROLLING_BACK):
            new = router.phase is Phase.CHANGING
            if heard and r is not None and r.ready and self.told(router, new):
                self.enter(router, Phase.WARMING_UP if new else Phase.ROLLED_BACK)
                self.effects.append(RouterCommand(router.target.name, CommandKind.ENABLE))
            elif waited > self.plan.ready_ns:
                what = (
                    "says that it is something else"
                    if heard and r is not None and r.ready
                    else "is not ready"
                )
                if new:
                    self.harm(router, "not-ready", f"{router.target.name} {what} in time after its change")
                else:
                    self.stuck(router, f"{what} in time after it was changed back")
        elif (
            router.phase is Phase.WARMING_UP
            and self.unknown(router)
            and (self.now - max(router.last_report_ns, self.looked_ns) > self.plan.ready_ns)
        ):
            # Dead or out of reach, which no answer tells: people are asked, and the stage does not hang.
            self.stuck(router, "has not answered since its change")
        elif router.phase is Phase.WARMING_UP and heard and r is not None and not r.ready:
            if waited > self.plan.ready_ns:
                self.harm(router, "not-ready", f"{router.target.name} is not ready in time in service")
        elif (
            router.phase is Phase.WARMING_UP
            and heard
            and waited >= self.plan.cold_ns
            and not self.unknown(router)
        ):
            if not self.controls():
                router.fresh.clear()
            self.enter(router, Phase.COMPARED)
        elif (
            router.phase in (Phase.COMPARED, Phase.ACCEPTED)
            and heard
            and r is not None
            and not self.told(router, True)
        ):
            self.harm(router, "wrong-digest", f"{router.target.name} says that it is something else")
        if router.phase in NEW and heard and r is not None and self.memory_kb:
            most = int(self.plan.memory * self.memory_kb) + MEMORY_SPARE_KB
            if r.peak_memory_kb > most:
                self.harm(
                    router,
                    "memory",
                    f"{router.target.name} has {r.peak_memory_kb // 1024} MB, over {most // 1024}: "
                    "the old had "
                    f"{self.memory_kb // 1024} at the most",
                )

    def stuck(self, router: Router, what: str) -> None:
        """It does not come on, and no harm is shown: people are asked, once."""
        if self.outcome is RolloutOutcome.RUNNING:
            self.hold(f"{router.target.name} {what}")
        elif self.outcome is RolloutOutcome.ROLLING_BACK and not self.reason.endswith(what):
            self.reason = f"{router.target.name} {what}"
            self.note("stuck", self.reason, router=router.target.name)

    def enter(self, router: Router, phase: Phase) -> None:
        router.phase, router.since_ns = phase, self.now
        if phase in (Phase.WARMING_UP, Phase.ROLLED_BACK) and router.report is not None:
            router.invariants = router.report.invariant_violations if phase is Phase.ROLLED_BACK else 0

    def forward(self) -> None:
        """Begin what the stage wants, and end the stage when all of it is shown to be well."""
        if self.stage < 0:
            if any(r.last_report_ns < 0 for r in self.routers.values()):
                if self.now - self.stage_ns > self.plan.ready_ns:
                    missing = sorted(n for n, r in self.routers.items() if r.last_report_ns < 0)
                    self.hold(f"never heard of {', '.join(missing[:5])}")
                return
            if self.now - self.stage_ns < self.plan.slowest_ns:
                return  # each router's own figures from before the change
            self.begin(0)
        here = [self.routers[t.name] for t in self.stages[self.stage]]
        for router in self.controls():
            if router.phase is Phase.WAITING and self.room(router):
                self.enter(router, Phase.CONTROL_DRAINING)
                self.effects.append(RouterCommand(router.target.name, CommandKind.DRAIN))
                self.note(
                    "control",
                    f"{router.target.name} is restarted as it is, to compare with",
                    router=router.target.name,
                )
        for router in here if self.away() < self.plan.at_once else ():
            if router.phase is Phase.WAITING and self.room(router):
                if self.told(router, True):
                    self.note(
                        "already", f"{router.target.name} is the new already", router=router.target.name
                    )
                    self.enter(router, Phase.WARMING_UP)
                    continue
                self.enter(router, Phase.DRAINING)
                self.effects.append(RouterCommand(router.target.name, CommandKind.DRAIN))
                self.note("begun", f"{router.target.name} is changed", router=router.target.name)
        if any(router.phase is not Phase.COMPARED for router in here):
            return
        warm = self.now - max((router.since_ns for router in here), default=self.now)
        stage = self.plan.stages[self.stage]
        verdict, place = self.judge.verdict(self.comparable())
        if (
            verdict is not Verdict.REGRESSION
            and warm >= stage.least_ns
            and (verdict is Verdict.NO_REGRESSION or not self.comparable())
            and all(r.last_report_ns >= self.looked_ns and not self.unknown(r) for r in here)
        ):
            alone = sorted({r.target.zone for r in here} - {zone for zone, _ in self.comparable()})
            more = f"; nothing was left to compare with in {', '.join(alone)}" if alone else ""
            self.note("stage-good", f"stage {stage.name!r} is good{more}", **self.judge.figures())
            for router in here:
                self.enter(router, Phase.ACCEPTED)
            for router in self.controls():
                self.enter(router, Phase.WAITING)
            if self.stage + 1 == len(self.stages):
                self.outcome = RolloutOutcome.DONE
                self.note("done", f"all {len(self.routers)} routers are changed")
            else:
                self.begin(self.stage + 1)
        elif warm > stage.most_ns:
            self.hold(
                f"stage {stage.name!r}: not enough evidence"
                + (f" of class {place[1]!r} in zone {place[0]!r}" if place else "")
            )

    def begin(self, stage: int) -> None:
        """A stage, with what each side did before."""
        self.stage, self.stage_ns, self.judge = stage, self.now, RegressionJudge(self.plan.rates)
        changing = {t.name for t in self.stages[stage]}
        controls = {r.target.name for r in self.controls()}
        for name, router in self.routers.items():
            if router.phase is Phase.WAITING and (not controls or name in controls | changing):
                self.judge.add_baseline(
                    name in changing,
                    {(router.target.zone, cls): sample for cls, sample in router.before.items()},
                )
        self.note("stage", f"stage {self.plan.stages[stage].name!r} begins", routers=sorted(changing))

    def controls(self) -> list[Router]:
        """The routers of the old that are restarted beside the new of this stage, so that as cold is compared
        with as cold: the last of each zone of the stage."""
        count = self.plan.stages[self.stage].control if self.stage >= 0 else 0
        if not count:
            return []
        changing = {t.name for t in self.stages[self.stage]}
        zones = {t.zone for t in self.stages[self.stage]}
        found: list[Router] = []
        for zone in sorted(zones):
            here = [
                r
                for r in self.routers.values()
                if r.target.zone == zone and r.target.name not in changing and r.phase not in NEW
            ]
            found += here[-count:]
        return found

    def comparable(self) -> frozenset[Place]:
        """Where evidence is wanted: zones of this stage in which an old router is left, by each class that
        has SMALL_SHARE of the worth asked for there, on whichever side.  A zone with an old router and no
        request at all wants evidence too: it has none, and silence is not good."""
        zones = {t.zone for t in self.stages[self.stage]}
        asked: dict[Place, float] = {}
        old = self.controls() or [r for r in self.routers.values() if r.phase is Phase.WAITING]
        left = {r.target.zone for r in old} & zones
        for router in self.routers.values():
            if router.target.zone in left:
                for cls, sample in (router.report.samples_by_class if router.report else {}).items():
                    place = router.target.zone, cls
                    asked[place] = asked.get(place, 0.0) + sample.requested_weight
        whole = {zone: sum(worth for (z, _), worth in asked.items() if z == zone) for zone in left}
        wanted = {(z, cls) for (z, cls), worth in asked.items() if worth > SMALL_SHARE * whole[z]}
        return frozenset(wanted | {(zone, "") for zone in left if not whole[zone]})

    def slice(self) -> None:
        """A slice of time: what each side did in it goes to the judge, or to the figures from before."""
        if self.now - self.sliced_ns < self.plan.every_ns:
            return
        self.sliced_ns = self.now
        sides: dict[bool, dict[Place, RequestSample]] = {True: {}, False: {}}
        control = bool(self.controls()) and self.after_ns < 0
        old = Phase.CONTROL if control else Phase.WAITING
        judged = (Phase.WARMING_UP, Phase.COMPARED) if control else (Phase.COMPARED,)
        for router in self.routers.values():
            fresh, router.fresh = router.fresh, {}
            new = router.phase in ((Phase.ROLLED_BACK,) if self.after_ns >= 0 else judged)
            if router.phase is Phase.WAITING:  # all that still wait are the old, at the same time
                for cls, sample in fresh.items():
                    router.before[cls] = router.before.get(cls, RequestSample()) + sample
            if self.stage >= 0 and (new or router.phase is old) and not self.unknown(router):
                for cls, sample in fresh.items():
                    place = router.target.zone, cls
                    sides[new][place] = sides[new].get(place, RequestSample()) + sample
        if self.stage >= 0:
            self.judge.add_slice(sides[True], sides[False])
            verdict, worst = self.judge.verdict(frozenset())
            if (
                verdict is Verdict.REGRESSION
                and worst
                and self.outcome in (RolloutOutcome.RUNNING, RolloutOutcome.HELD)
            ):
                self.harmed = worst
                self.stop(
                    "worse", f"class {worst[1]!r} does worse in zone {worst[0]!r}", self.judge.figures()
                )

    # What stops it ----------------------------------------------------------------------------------------

    def hold(self, why: str, cause: HoldCause = HoldCause.PEOPLE) -> None:
        self.outcome, self.reason, self.hold_cause = RolloutOutcome.HELD, why, cause
        self.note("held", why, **self.judge.figures())

    def go_on(self, why: str) -> None:
        """A hold is over."""
        self.outcome, self.reason, self.stage_ns = RolloutOutcome.RUNNING, "", self.now
        self.hold_cause = HoldCause.NONE
        self.note("resumed", why)

    def harm(self, router: Router, name: str, why: str) -> None:
        """A sign that needs no statistics."""
        if self.outcome in (RolloutOutcome.RUNNING, RolloutOutcome.HELD):
            self.stop(name, why, {"router": router.target.name})

    def stop(self, name: str, why: str, figures: Mapping[str, object]) -> None:
        self.note(name, why, **figures)
        if self.plan.take_back:
            self.revert(why)
        elif self.outcome is RolloutOutcome.RUNNING:
            self.hold(why)

    def revert(self, why: str) -> None:
        self.outcome, self.reason = RolloutOutcome.ROLLING_BACK, why
        self.note("reverting", f"taken back: {why}")

    def backward(self) -> None:
        """Take back what is changed, the last first, within the limits."""
        for router in self.routers.values():
            if router.phase is Phase.CONTROL_DRAINING:
                self.effects.append(RouterCommand(router.target.name, CommandKind.ENABLE))
            if router.phase in (Phase.CONTROL_DRAINING, Phase.CONTROL):
                self.enter(router, Phase.WAITING)
        left = [
            r for r in reversed(list(self.routers.values())) if r.phase in NEW or r.phase is Phase.DRAINING
        ]
        for router in left:
            if router.phase is Phase.DRAINING:  # not changed yet: it goes back in as it is
                self.enter(router, Phase.ROLLED_BACK)
                self.effects.append(RouterCommand(router.target.name, CommandKind.ENABLE))
            elif router.phase in AWAY or self.unknown(router) or self.room(router):
                # One that is away already, or silent, is no loss of capacity: it need not wait for room.
                silent = self.unknown(router)  # looked at once: a new phase has its time to speak
                self.enter(router, Phase.ROLLING_BACK if silent else Phase.ROLLBACK_DRAINING)
                self.effects.append(
                    RouterCommand(router.target.name, CommandKind.UNDO if silent else CommandKind.DRAIN)
                )
        back = [r for r in self.routers.values() if r.phase not in (Phase.WAITING, Phase.ROLLED_BACK)]
        if back:
            return
        if self.after_ns < 0:
            self.after_ns = self.now
            self.judge = RegressionJudge(self.plan.rates)
            for router in self.routers.values():
                router.fresh.clear()
                new = router.phase is Phase.ROLLED_BACK
                self.judge.add_baseline(new, {(router.target.zone, c): s for c, s in router.before.items()})
            self.note("taken-back", "all that was changed is taken back")
        verdict, place = self.judge.verdict(frozenset((self.harmed,)) if self.harmed else frozenset())
        over = self.now - self.after_ns > max((s.most_ns for s in self.plan.stages), default=0)
        if self.harmed is None or verdict is not Verdict.UNDECIDED or over:
            self.outcome = RolloutOutcome.ROLLED_BACK
            words = (
                "there was no figure to compare"
                if self.harmed is None
                else "the harm is still there: it is not the change's"
                if verdict is Verdict.REGRESSION
                else "the harm is gone"
                if verdict is Verdict.NO_REGRESSION
                else "whether the harm is gone is not known"
            )
            self.note("ended", f"taken back; {words}", **self.judge.figures())

    def note(self, name: str, text: str, **figures: object) -> None:
        self.effects.append(HistoryEntry(name, text, figures))
