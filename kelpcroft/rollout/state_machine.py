"""The state machine of a rollout: events and the time in, effects out.

It keeps, at every instant:

- one change under way at a router, and no more routers unavailable than the plan's limits, in all and per
  zone;
- nothing is concluded from an answer that did not come: where a step's end was not reported, the router's own
  digests show what it is; a router that does not answer is unknown, never good;
- nothing goes on without evidence: a stage ends when every router of it is warm, its least time is over and
  harm is ruled out wherever an old router is left to compare with; past its most time it is held;
- every run ends, or is held with what is missing named.

A router is known by its ``RouterReport``s, cumulative counters of one process instance.  A new instance
that no command asked for is a crash; counters that fall under the same instance are a contradiction and say
nothing.
"""

from __future__ import annotations

from kelpcroft.rollout.comparison import close_slice
from kelpcroft.rollout.events import (
    CommandKind,
    Effect,
    Event,
    NoAnswer,
    OperatorCommand,
    RouterCommand,
    RouterReport,
)
from kelpcroft.rollout.observations import enough_routers_answer, is_unknown, record_report
from kelpcroft.rollout.phases import HoldCause, Phase, RolloutOutcome
from kelpcroft.rollout.rollback import go_back
from kelpcroft.rollout.stages import MAX_NAMES_SHOWN, go_forward
from kelpcroft.rollout.state import NO_STAGE, RolloutState
from kelpcroft.rollout.transitions import advance

COMMANDS_SENT_AGAIN = {  # after a take-over: these do no harm twice
    Phase.DRAINING: CommandKind.DRAIN,
    Phase.ROLLBACK_DRAINING: CommandKind.DRAIN,
    Phase.CONTROL_DRAINING: CommandKind.DRAIN,
    Phase.WARMING_UP: CommandKind.ENABLE,
    Phase.ROLLED_BACK: CommandKind.ENABLE,
    Phase.CONTROL: CommandKind.ENABLE,
}
REPEATABLE_COMMANDS = {  # the operators' tool has to say that these do no harm twice
    Phase.CHANGING: CommandKind.APPLY,
    Phase.ROLLING_BACK: CommandKind.UNDO,
    Phase.CONTROL_RESTARTING: CommandKind.RESTART,
}


class Rollout(RolloutState):
    """One run of a plan.

    Once it is created, or restored by ``snapshot.from_snapshot``, only ``handle`` and
    ``resume_after_takeover`` change it.
    """

    def handle(self, now_ns: int, event: Event) -> list[Effect]:
        """Take one event.

        Args:
            now_ns: The time.  It never runs back: an earlier one counts as the last.
            event: What happened.

        Returns:
            What is to be done and written, in this order.
        """
        stood_still = now_ns - self.now_ns > self.plan.poll_interval_ns
        self._begin_event(now_ns)
        if stood_still:
            self._restart_listening()
        if isinstance(event, RouterReport):
            record_report(self, event)
        elif isinstance(event, OperatorCommand):
            self._handle_operator_command(event)
        # Steps are Tick's: after each report they would look at every router for each router that reports.
        if not isinstance(event, RouterReport | NoAnswer) and not self.outcome.is_final:
            self._poll_if_due()
            self._step()
        return self.effects

    def resume_after_takeover(self, now_ns: int, repeat: bool) -> list[Effect]:
        """Go on after another process has led: its last commands may never have gone out.

        Commands that do no harm twice go out again.  A change that may not be repeated does not: the
        router's own digests show what became of it, or its time-out decides.

        Args:
            now_ns: The time.
            repeat: Whether the operators' tool may be run twice.

        Returns:
            What is to be done and written, in this order.
        """
        left_ns = self.now_ns
        self._begin_event(now_ns)
        self.last_poll_ns = self.now_ns - self.plan.poll_interval_ns
        self.listening_since_ns = self.now_ns
        if self.stage_index == NO_STAGE:
            self.stage_since_ns += self.now_ns - left_ns  # nobody was listened to meanwhile
        self.restart_deadlines()
        again = COMMANDS_SENT_AGAIN | (REPEATABLE_COMMANDS if repeat else {})
        for router in self.routers.values():
            if router.phase in again:
                self.send(router, again[router.phase])
        self.add_history(
            "resumed",
            f"taken over in stage {self.stage_index + 1} of {len(self.stages)}, {self.outcome.value}",
        )
        return self.effects

    def _begin_event(self, now_ns: int) -> None:
        self.now_ns = max(now_ns, self.now_ns)
        self.effects = []

    def _restart_listening(self) -> None:
        """Start to listen from now on, as this process stood still for longer than a polling interval.

        It polled nobody meanwhile, so that time is not the routers' silence.  Answers that waited here are
        from before the pause: they do not count as answers since, so listening begins one nanosecond later.
        """
        self.listening_since_ns = self.now_ns + 1
        self.last_poll_ns = self.now_ns - self.plan.poll_interval_ns
        self.restart_deadlines()

    def _handle_operator_command(self, command: OperatorCommand) -> None:
        """Do what people order, where the rollout stands so that it can be done.

        A hold for silence that is ordered as well no longer ends by itself.
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
        """Ask every router, once in a polling interval."""
        if self.now_ns - self.last_poll_ns >= self.plan.poll_interval_ns:
            self.last_poll_ns = self.now_ns
            self.effects += [RouterCommand(name, CommandKind.POLL) for name in self.routers]

    def _step(self) -> None:
        """Do all that can go on now."""
        close_slice(self)
        for router in self.routers.values():
            advance(self, router)
        self._hold_or_resume_for_silence()
        if self.outcome is RolloutOutcome.RUNNING:
            go_forward(self)
        elif self.outcome is RolloutOutcome.ROLLING_BACK:
            go_back(self)

    def _hold_or_resume_for_silence(self) -> None:
        """Hold the rollout while more routers are silent than the plan allows."""
        unknown = sorted(name for name, router in self.routers.items() if is_unknown(self, router))
        if self.outcome is RolloutOutcome.RUNNING and len(unknown) > self.plan.max_unknown:
            self.hold(
                f"{len(unknown)} routers do not answer: {', '.join(unknown[:MAX_NAMES_SHOWN])}",
                HoldCause.SILENCE,
            )
        elif (
            self.outcome is RolloutOutcome.HELD
            and self.hold_cause is HoldCause.SILENCE
            and enough_routers_answer(self)
        ):
            self.end_hold("routers answer again within the plan's limit: the rollout goes on")
