"""State machine of a rollout: takes events and the time, returns effects.

Its invariants at every instant:

- a router has at most one change in progress, and a change begins only within the plan's limits of
  unavailable routers, in total and per zone;
- a missing response proves nothing: where the end of a step was not reported, the digests that the router
  reports show which build it runs; the state of a router that does not respond is unknown and never counts as
  a good result;
- a rollout proceeds only on evidence: a stage ends when all of its routers are warm, its minimum time is over
  and a regression is ruled out wherever an old router is left to compare with; after its maximum time without
  a verdict the rollout is held;
- every run ends, or it is held with a reason that names the missing evidence or routers.

The state machine receives ``RouterReport``s of each router, which hold cumulative counters of one process
instance.  A new instance that no command caused is a crash.  Counters that decrease within one instance are a
contradiction, and the report is discarded.
"""

from __future__ import annotations

from kelpcroft.rollout.comparison import close_interval
from kelpcroft.rollout.events import (
    CommandKind,
    Effect,
    Event,
    NoResponse,
    OperatorCommand,
    RouterCommand,
    RouterReport,
)
from kelpcroft.rollout.observations import enough_routers_respond, is_unknown, record_report
from kelpcroft.rollout.phases import HoldCause, Phase, RolloutOutcome
from kelpcroft.rollout.rollback import roll_back_routers
from kelpcroft.rollout.stages import MAX_NAMES_SHOWN, advance_rollout
from kelpcroft.rollout.state import NO_STAGE, RolloutState
from kelpcroft.rollout.transitions import advance_router

RESENT_COMMANDS = {  # by phase: the command that is sent again after a takeover; all are idempotent
    Phase.DRAINING: CommandKind.DRAIN,
    Phase.ROLLBACK_DRAINING: CommandKind.DRAIN,
    Phase.CONTROL_DRAINING: CommandKind.DRAIN,
    Phase.WARMING_UP: CommandKind.ENABLE,
    Phase.ROLLED_BACK: CommandKind.ENABLE,
    Phase.CONTROL: CommandKind.ENABLE,
}
RESENT_COMMANDS_IF_REPEATABLE = {  # the same, for commands that the plan declares to be idempotent
    Phase.CHANGING: CommandKind.APPLY,
    Phase.ROLLING_BACK: CommandKind.UNDO,
    Phase.CONTROL_RESTARTING: CommandKind.RESTART,
}


class Rollout(RolloutState):
    """State machine of one run of a plan.

    Once it is created, or restored by ``snapshot.from_snapshot``, only ``handle`` and
    ``resume_after_takeover`` change it.
    """

    def handle(self, now_ns: int, event: Event) -> list[Effect]:
        """Handle one event.

        Args:
            now_ns: The current time.  A time before that of the previous event is replaced by the latter.
            event: The event.

        Returns:
            The commands to send and the history entries to write, in this order.
        """
        was_stalled = now_ns - self.now_ns > self.plan.poll_interval_ns
        self._begin_event(now_ns)
        if was_stalled:
            self._restart_silence_measurement()
        if isinstance(event, RouterReport):
            record_report(self, event)
        elif isinstance(event, OperatorCommand):
            self._handle_operator_command(event)
        # Reports do not trigger a step: each step examines every router, so a step for each report would
        # cost time quadratic in the number of routers.  The controller sends a Tick in every iteration.
        if not isinstance(event, RouterReport | NoResponse) and not self.outcome.is_final:
            self._poll_if_due()
            self._step()
        return self.effects

    def resume_after_takeover(self, now_ns: int, commands_repeatable: bool) -> list[Effect]:
        """Continue a rollout that a predecessor has led; its last commands may not have been sent.

        Idempotent commands are sent again.  A change that must not be repeated is not sent again: the digests
        that the router reports show whether it took effect, or the time-out of its phase expires.

        Args:
            now_ns: The current time.
            commands_repeatable: Whether the operators' tool may be run twice for the same change.

        Returns:
            The commands to send and the history entries to write, in this order.
        """
        last_event_ns = self.now_ns
        self._begin_event(now_ns)
        self.last_poll_ns = self.now_ns - self.plan.poll_interval_ns
        self.polling_since_ns = self.now_ns
        if self.stage_index == NO_STAGE:
            self.stage_since_ns += self.now_ns - last_event_ns  # no baseline was collected meanwhile
        self.restart_deadlines()
        resent_commands = RESENT_COMMANDS | (RESENT_COMMANDS_IF_REPEATABLE if commands_repeatable else {})
        for router in self.routers.values():
            if router.phase in resent_commands:
                self.send(router, resent_commands[router.phase])
        self.add_history(
            "resumed",
            f"taken over in stage {self.stage_index + 1} of {len(self.stages)}, {self.outcome.value}",
        )
        return self.effects

    def _begin_event(self, now_ns: int) -> None:
        self.now_ns = max(now_ns, self.now_ns)
        self.effects = []

    def _restart_silence_measurement(self) -> None:
        """Restart the measurement of silence after a process stall longer than a polling interval.

        This process polled no router during the stall, so that time does not count as silence of the routers.
        Responses that are still queued date from before the stall.  The measurement therefore begins one
        nanosecond after now, so that they do not count as recent reports.
        """
        self.polling_since_ns = self.now_ns + 1
        self.last_poll_ns = self.now_ns - self.plan.poll_interval_ns
        self.restart_deadlines()

    def _handle_operator_command(self, command: OperatorCommand) -> None:
        """Execute an operator's command if it applies to the present outcome; otherwise ignore it.

        HOLD during a hold for silence turns it into an operators' hold, which only a command ends.
        """
        is_running = self.outcome is RolloutOutcome.RUNNING
        is_held = self.outcome is RolloutOutcome.HELD
        match command:
            case OperatorCommand.HOLD if is_running or self.hold_cause is HoldCause.SILENCE:
                self.hold("ordered")
            case OperatorCommand.RESUME if is_held:
                self.end_hold("the rollout goes on")
            case OperatorCommand.REVERT if is_running or is_held:
                self.start_rollback("ordered")

    def _poll_if_due(self) -> None:
        """Poll every router once per polling interval."""
        if self.now_ns - self.last_poll_ns >= self.plan.poll_interval_ns:
            self.last_poll_ns = self.now_ns
            self.effects += [RouterCommand(name, CommandKind.POLL) for name in self.routers]

    def _step(self) -> None:
        """Execute every transition that is possible now."""
        close_interval(self)
        for router in self.routers.values():
            advance_router(self, router)
        self._hold_or_resume_for_silence()
        if self.outcome is RolloutOutcome.RUNNING:
            advance_rollout(self)
        elif self.outcome is RolloutOutcome.ROLLING_BACK:
            roll_back_routers(self)

    def _hold_or_resume_for_silence(self) -> None:
        """Hold the rollout while more routers are silent than the plan allows, and resume it afterwards."""
        unknown_names = sorted(name for name, router in self.routers.items() if is_unknown(self, router))
        if self.outcome is RolloutOutcome.RUNNING and len(unknown_names) > self.plan.max_unknown:
            self.hold(
                f"{len(unknown_names)} routers do not answer: {', '.join(unknown_names[:MAX_NAMES_SHOWN])}",
                HoldCause.SILENCE,
            )
        elif (
            self.outcome is RolloutOutcome.HELD
            and self.hold_cause is HoldCause.SILENCE
            and enough_routers_respond(self)
        ):
            self.end_hold("routers answer again within the plan's limit: the rollout goes on")
