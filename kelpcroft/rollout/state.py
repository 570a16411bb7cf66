"""Record of one run of a plan, and the changes to it that several modules of the state machine make.

``RolloutState`` owns the record and the effects of the event that is being handled.  The decisions are
functions in the other modules of this package, which take the record as an argument.  Times are nanoseconds
of the controller's clock.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from kelpcroft.rollout.events import CommandKind, Effect, HistoryEntry, RouterCommand, RouterReport
from kelpcroft.rollout.judge import RegressionJudge, RequestSample, ZoneClass
from kelpcroft.rollout.phases import COMMAND_IN_PROGRESS_PHASES, HoldCause, Phase, RolloutOutcome
from kelpcroft.rollout.plan import RolloutPlan, RouterTarget

NEVER_NS = -1  # the time of an event that has not happened yet
NO_STAGE = -1  # value of ``stage_index`` while baselines are still being collected


@dataclass(slots=True)
class RouterState:
    """State of one router in the rollout.

    Attributes:
        target: Its entry in the plan.
        phase: Its phase.
        phase_since_ns: When it entered the phase, or when the phase's deadline was restarted.
        last_report_ns: When its last report arrived; NEVER_NS before the first one.
        last_report: Its last report.
        original_digests: Its digests in its first report, before anything was changed.
        invariant_baseline: Invariant violations above this count are attributed to the new build.
        instance_before_restart: The process instance that a control group's restart ends.
        baseline: Requests by class while it waited unchanged.
        uncounted: Requests by class since the last interval ended.
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
        """Its last report if it arrived after the phase began; an older one does not describe the phase."""
        return self.last_report if self.last_report_ns >= self.phase_since_ns else None


class RolloutState:
    """Record of one run of a plan.

    Attributes:
        plan: The plan that is executed.
        now_ns: The time of the last event; it never decreases.
        routers: The routers by name, in the plan's order.
        stages: The routers of each stage of the plan.
        stage_index: The index of the current stage, or NO_STAGE.
        stage_since_ns: When the stage began, or when the last hold in it ended.
        outcome: The outcome of the run so far.
        reason: Why the run is held or rolled back.
        hold_cause: Decides how a hold ends.
        judge: The comparisons of the stage; after a rollback, those of the routers that were rolled back.
        last_poll_ns: When the routers were last polled.
        last_interval_ns: When the last interval of comparison ended.
        polling_since_ns: When this process began to poll, or had its last stall; earlier silence of a
            router does not count.
        old_peak_memory_kb: The highest peak memory that a router of the old build has reported.
        regression_zone_class: The comparison that stopped the rollout; None where no comparison did.
        rolled_back_ns: When the last router was rolled back, or NEVER_NS.
        effects: The effects of the event that is being handled, in order.
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
        self.last_interval_ns = now_ns - plan.poll_interval_ns
        self.polling_since_ns = now_ns
        self.old_peak_memory_kb = 0
        self.regression_zone_class: ZoneClass | None = None
        self.rolled_back_ns = NEVER_NS
        self.effects: list[Effect] = []

    # Effects and phases -----------------------------------------------------------------------------------

    def add_history(self, name: str, text: str, **figures: object) -> None:
        """Add a history entry to the effects."""
        self.effects.append(HistoryEntry(name, text, figures))

    def send(self, router: RouterState, kind: CommandKind) -> None:
        """Add a command for a router to the effects."""
        self.effects.append(RouterCommand(router.name, kind))

    def enter(self, router: RouterState, phase: Phase) -> None:
        """Move a router to a phase; its time in the phase begins now."""
        router.phase = phase
        router.phase_since_ns = self.now_ns
        if router.last_report is None:
            return
        if phase is Phase.WARMING_UP:
            router.invariant_baseline = 0  # the new process counts violations from its start
        elif phase is Phase.ROLLED_BACK:
            router.invariant_baseline = router.last_report.invariant_violations

    def restart_deadlines(self) -> None:
        """Restart the deadline of each command in progress, because no reports were processed meanwhile."""
        for router in self.routers.values():
            if router.phase in COMMAND_IN_PROGRESS_PHASES:
                router.phase_since_ns = self.now_ns

    # Holding, resuming and rolling back -------------------------------------------------------------------

    def hold(self, reason: str, cause: HoldCause = HoldCause.OPERATORS) -> None:
        """Hold the rollout: no new change begins until the hold ends."""
        self.outcome = RolloutOutcome.HELD
        self.reason = reason
        self.hold_cause = cause
        self.add_history("held", reason, **self.judge.figures())

    def end_hold(self, text: str) -> None:
        """Resume the rollout; the stage's time starts again."""
        self.outcome = RolloutOutcome.RUNNING
        self.reason = ""
        self.stage_since_ns = self.now_ns
        self.hold_cause = HoldCause.NONE
        self.add_history("resumed", text)

    def start_rollback(self, reason: str) -> None:
        """Begin to change every changed router back to the old build."""
        self.outcome = RolloutOutcome.ROLLING_BACK
        self.reason = reason
        self.add_history("reverting", f"taken back: {reason}")

    def handle_regression(self, name: str, reason: str, figures: Mapping[str, object]) -> None:
        """React to a regression: roll back, or hold for the operators, as the plan specifies."""
        self.add_history(name, reason, **figures)
        if self.plan.rolls_back_on_regression:
            self.start_rollback(reason)
        elif self.outcome is RolloutOutcome.RUNNING:
            self.hold(reason)

    def report_regression(self, router: RouterState, name: str, reason: str) -> None:
        """Stop for a regression that needs no statistical test, if the rollout is running or held."""
        if self.outcome in (RolloutOutcome.RUNNING, RolloutOutcome.HELD):
            self.handle_regression(name, reason, {"router": router.name})

    def escalate(self, router: RouterState, description: str) -> None:
        """Request an operator's intervention, once, for a router that is stuck without showing a regression.

        A running rollout is held.  A rollback continues, and its reason and history name the router.
        """
        reason = f"{router.name} {description}"
        if self.outcome is RolloutOutcome.RUNNING:
            self.hold(reason)
        elif self.outcome is RolloutOutcome.ROLLING_BACK and not self.reason.endswith(description):
            self.reason = reason
            self.add_history("stuck", reason, router=router.name)
