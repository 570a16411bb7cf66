"""The record of one run of a plan, and the changes to it that every part of the state machine uses.

``RolloutState`` owns the record and the effects of the event that is being handled.  What decides stands in
the modules beside it, as functions that take the record.  Times are nanoseconds of the caller's clock.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from kelpcroft.rollout.events import CommandKind, Effect, HistoryEntry, RouterCommand, RouterReport
from kelpcroft.rollout.judge import RegressionJudge, RequestSample, ZoneClass
from kelpcroft.rollout.phases import COMMAND_UNDER_WAY_PHASES, HoldCause, Phase, RolloutOutcome
from kelpcroft.rollout.plan import RolloutPlan, RouterTarget

NEVER_NS = -1  # a time that has not come yet
NO_STAGE = -1  # of ``stage_index``: baselines are still being collected


@dataclass(slots=True)
class RouterState:
    """One router as the rollout knows it.

    Attributes:
        target: What the plan says of it.
        phase: Where it is.
        phase_since_ns: When it entered the phase, or when the phase's deadline was restarted.
        last_report_ns: When it reported last; NEVER_NS before the first report.
        last_report: What it said then.
        original_digests: Its digests in its first report, before anything was changed.
        invariant_baseline: Invariant violations above this count are the new build's.
        instance_before_restart: The process that a control group's restart ends.
        baseline: Requests by class while nothing was changed at it.
        uncounted: Requests by class since the last slice.
    """

    target: RouterTarget
    phase: Phase = Phase.WAITING
    phase_since_ns: int = 0
    last_report_ns: int = NEVER_NS
    last_report: RouterReport | None = None
    original_digests: Mapping[str, str] = field(default_factory=dict)
    invariant_baseline: int = 0
    instance_before_restart: str = ""
    baseline: dict[str, RequestSample] = field(default_factory=dict)
    uncounted: dict[str, RequestSample] = field(default_factory=dict)

    @property
    def name(self) -> str:
        """Its name in the plan."""
        return self.target.name

    @property
    def zone(self) -> str:
        """Its zone in the plan."""
        return self.target.zone

    def report_in_phase(self) -> RouterReport | None:
        """Its last report, if it came since the phase began: an older one says nothing of the phase."""
        return self.last_report if self.last_report_ns >= self.phase_since_ns else None


class RolloutState:
    """One run of a plan.

    Attributes:
        plan: What is carried out.
        now_ns: The time of the last event; never runs back.
        routers: By name, in the plan's order.
        stages: The routers of each stage of the plan.
        stage_index: The stage under way, or NO_STAGE.
        stage_since_ns: When it began, or a hold in it ended.
        outcome: Where the whole is.
        reason: Why it is held or taken back.
        hold_cause: How a hold ends.
        judge: The comparisons of the stage; after a rollback, of the routers that were taken back.
        last_poll_ns: When routers were asked last.
        last_slice_ns: When the last slice of time ended.
        listening_since_ns: Since when this process polls; before that, silence is nobody's fault.
        old_peak_memory_kb: The most memory that a router of the old build has had.
        regression_place: The comparison that stopped the rollout.
        rolled_back_ns: Since when all routers are taken back, or NEVER_NS.
        effects: Of the event that is being handled, in their order.
    """

    def __init__(self, plan: RolloutPlan, now_ns: int) -> None:
        self.plan = plan
        self.now_ns = now_ns
        self.routers = {target.name: RouterState(target, phase_since_ns=now_ns) for target in plan.routers}
        self.stages = plan.routers_by_stage()
        self.stage_index = NO_STAGE
        self.stage_since_ns = now_ns
        self.outcome = RolloutOutcome.RUNNING
        self.reason = ""
        self.hold_cause = HoldCause.NONE
        self.judge = RegressionJudge(plan.stop_criteria)
        self.last_poll_ns = now_ns - plan.poll_interval_ns
        self.last_slice_ns = now_ns - plan.poll_interval_ns
        self.listening_since_ns = now_ns
        self.old_peak_memory_kb = 0
        self.regression_place: ZoneClass | None = None
        self.rolled_back_ns = NEVER_NS
        self.effects: list[Effect] = []

    # Effects and phases -----------------------------------------------------------------------------------

    def add_history(self, name: str, text: str, **figures: object) -> None:
        """Add an entry of the history to the effects."""
        self.effects.append(HistoryEntry(name, text, figures))

    def send(self, router: RouterState, kind: CommandKind) -> None:
        """Add a command to a router to the effects."""
        self.effects.append(RouterCommand(router.name, kind))

    def enter(self, router: RouterState, phase: Phase) -> None:
        """Move a router to a phase; its time there begins now."""
        router.phase = phase
        router.phase_since_ns = self.now_ns
        if router.last_report is None:
            return
        if phase is Phase.WARMING_UP:
            router.invariant_baseline = 0  # the new build's own: it counts from its start
        elif phase is Phase.ROLLED_BACK:
            router.invariant_baseline = router.last_report.invariant_violations

    def restart_deadlines(self) -> None:
        """Give each step under way its whole time again: nobody looked meanwhile."""
        for router in self.routers.values():
            if router.phase in COMMAND_UNDER_WAY_PHASES:
                router.phase_since_ns = self.now_ns

    # What ends, holds or continues the run ----------------------------------------------------------------

    def hold(self, reason: str, cause: HoldCause = HoldCause.PEOPLE) -> None:
        """Begin nothing new until the cause is over."""
        self.outcome = RolloutOutcome.HELD
        self.reason = reason
        self.hold_cause = cause
        self.add_history("held", reason, **self.judge.figures())

    def end_hold(self, text: str) -> None:
        """Go on; the stage has its whole time again."""
        self.outcome = RolloutOutcome.RUNNING
        self.reason = ""
        self.stage_since_ns = self.now_ns
        self.hold_cause = HoldCause.NONE
        self.add_history("resumed", text)

    def start_rollback(self, reason: str) -> None:
        """Begin to take back all that was changed."""
        self.outcome = RolloutOutcome.ROLLING_BACK
        self.reason = reason
        self.add_history("reverting", f"taken back: {reason}")

    def stop(self, name: str, reason: str, figures: Mapping[str, object]) -> None:
        """Harm is shown: take the change back, or hold it for people, as the plan says."""
        self.add_history(name, reason, **figures)
        if self.plan.rolls_back_on_harm:
            self.start_rollback(reason)
        elif self.outcome is RolloutOutcome.RUNNING:
            self.hold(reason)

    def report_harm(self, router: RouterState, name: str, reason: str) -> None:
        """Stop for a sign that needs no statistics, unless the rollout is over or going back."""
        if self.outcome in (RolloutOutcome.RUNNING, RolloutOutcome.HELD):
            self.stop(name, reason, {"router": router.name})

    def escalate(self, router: RouterState, finding: str) -> None:
        """Ask people, once: a router does not go on and no harm is shown."""
        reason = f"{router.name} {finding}"
        if self.outcome is RolloutOutcome.RUNNING:
            self.hold(reason)
        elif self.outcome is RolloutOutcome.ROLLING_BACK and not self.reason.endswith(finding):
            self.reason = reason
            self.add_history("stuck", reason, router=router.name)
