"""Predecessor: the router's previous process, the service state it recorded, and the time of its end."""

from __future__ import annotations

from kelpcroft.core.effects import DrainClients, ReadPredecessorState
from kelpcroft.core.inputs import PredecessorEnded, PredecessorState
from kelpcroft.core.messages import TimerKind
from kelpcroft.core.process_status import ProcessStatus
from kelpcroft.core.state import MS, SECOND, State
from kelpcroft.startup import RestartOverlap


class Predecessor:
    """Applies the predecessor's service state, and shares the cold budgets with it while it runs."""

    def __init__(self, state: State, process: ProcessStatus, restart_overlap: RestartOverlap) -> None:
        self.state = state
        self.process = process
        self.restart_overlap = restart_overlap

    def start(self) -> None:
        """Begin the overlap with the predecessor at the start of this process."""
        self.restart_overlap.start(self.state.now)
        self.update_budget_share()

    def update_budget_share(self) -> None:
        """Report this process's current share of its router's cold budgets to the decision package."""
        state = self.state
        share = self.restart_overlap.budget_share(state.now)
        state.set_cold_budget_share(share)
        if share < 1:
            if self.process.service_state.shares_listener:
                state.effects.append(ReadPredecessorState())
            remaining_ns = self.restart_overlap.overlap_ends_ns - state.now
            state.schedule(min(SECOND, max(MS, remaining_ns)), TimerKind.RESTART_OVERLAP)

    def on_state(self, recorded: PredecessorState) -> None:
        """Apply the predecessor's service state at the start: an operator's drain outlives the process."""
        state = self.state
        if recorded.is_in_service is None:
            if recorded.reason:
                state.log(
                    "handover.refused",
                    f"predecessor's service state not applied: {recorded.reason}",
                    "warning",
                    {"why": recorded.reason},
                )
        elif not recorded.is_in_service and self.process.service_state.drain(recorded.since_ns):
            state.log(
                "service.out",
                "out of service, as the predecessor was: closing client connections",
                "info",
                {"since_s": round((state.now - recorded.since_ns) / SECOND, 3), "handed": True},
            )
            state.effects.append(DrainClients(True))

    def on_ended(self, ended: PredecessorEnded) -> None:
        """Record that the predecessor has ended.

        An end from before the start of this process belongs to an earlier predecessor and is ignored.
        """
        if ended.ended_at_ns >= self.process.started_ns:
            self.restart_overlap.on_predecessor_ended(self.state.now, ended.ended_at_ns)
