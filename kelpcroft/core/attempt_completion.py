"""The end of an attempt: removed from the tables, counted, and reported to the decision package once."""

from __future__ import annotations

from kelpcroft.core.server_connections import ServerConnections
from kelpcroft.core.state import Attempt, State
from kelpcroft.decision import interface as api
from kelpcroft.decision.interface import FillResult, Outcome
from kelpcroft.invariants import check_invariant

# Outcomes after which the elapsed time is a sample of the route's latency.
TIMED_OUTCOMES = (Outcome.OK, Outcome.TIMEOUT, Outcome.CANCELLED)
# Fill results that report that the origin or another fill source rejected the fetch or failed.
SOURCE_FAILURES = (FillResult.SOURCE_REFUSED, FillResult.SOURCE_BROKE, FillResult.ORIGIN_FAILED)


class AttemptCompletion:
    """Ends attempts."""

    def __init__(self, state: State, connections: ServerConnections) -> None:
        self.state = state
        self.connections = connections

    def finish(
        self,
        attempt: Attempt,
        outcome: Outcome,
        fill_result: FillResult = FillResult.NONE,
        source_wait_ns: int = 0,
        load_report: dict[str, float] | None = None,
    ) -> None:
        """End an attempt: update the tables, the estimators and the decision package, in this order.

        Args:
            attempt: An attempt that has not ended.
            outcome: How it ended.
            fill_result: Result of the server's fill, as its response reports it.
            source_wait_ns: Wait for the fill source's first byte; 0 = not reported.
            load_report: The load that the server reports; None = no report.
        """
        state = self.state
        if not check_invariant(state.attempts.pop(attempt.number, None) is not None, "an attempt ends once"):
            return
        request = attempt.request
        elapsed_ns = state.now - attempt.started_ns
        self.remove_from_tables(attempt)
        self.record_execution(attempt, outcome)
        if state.is_tracing:
            self.trace_end(attempt, outcome, fill_result, source_wait_ns, load_report or {})
        self.update_estimators(attempt, outcome, fill_result, source_wait_ns, load_report)
        state.events.append(
            api.AttemptEnded(
                request.id,
                attempt.index,
                attempt.forward.server,
                outcome,
                elapsed_ns,
                request.has_final_response,
                fill_result,
                source_wait_ns,
                load_report or {},
            )
        )

    def update_estimators(
        self,
        attempt: Attempt,
        outcome: Outcome,
        fill_result: FillResult,
        source_wait_ns: int,
        load_report: dict[str, float] | None,
    ) -> None:
        """Report the end to the origin concurrency limit, the fleet size estimate and the route's latency."""
        state = self.state
        if attempt.fetches_from_origin and state.origin_limit is not None:
            is_late = self.is_late_at_origin(attempt, outcome, fill_result, source_wait_ns)
            state.origin_limit.record_finished(state.now, attempt.started_ns, is_late)
            state.set_cold_budget_share(state.cold_budget_share)
        if state.fleet_size is not None and load_report and "outstanding" in load_report:
            self.record_fleet_report(attempt.forward.server, load_report["outstanding"])
        allowance = attempt.request.allowance
        if (
            allowance is not None
            and allowance.records_latency
            and attempt.is_sent
            and outcome in TIMED_OUTCOMES
        ):
            allowance.record_latency(state.now, state.now - attempt.started_ns)

    def remove_from_tables(self, attempt: Attempt) -> None:
        """Remove an attempt from its connection and its request."""
        request, connection = attempt.request, attempt.connection
        connection.unsent.pop(request.message.trace_id, None)
        connection.in_flight.pop(request.message.trace_id, None)
        self.connections.release(connection)
        del self.state.attempt_numbers[request.id, attempt.index]
        request.attempts_in_flight -= 1
        self.state.release_memory(request)
        self.state.requests_to_check.append(request)

    def record_execution(self, attempt: Attempt, outcome: Outcome) -> None:
        """Count the outcome, and record whether the attempt may have been executed."""
        request = attempt.request
        self.state.counters[outcome.name.lower()] += 1
        request.may_have_executed = not outcome.proves_not_executed
        if not request.may_have_executed:
            self.record_not_executed(attempt)

    def record_not_executed(self, attempt: Attempt) -> None:
        """Record that an attempt was certainly not executed, and delete its record of the key."""
        message = attempt.request.message
        if message.idempotency_key:
            self.state.idempotency_keys.record_not_executed(
                message.request_class, message.idempotency_key, attempt.number
            )

    def record_fleet_report(self, server: str, outstanding: float) -> None:
        """Report a server's outstanding requests, and how many of them are from this router."""
        state = self.state
        assert state.fleet_size is not None
        own_outstanding = sum(
            len(connection.in_flight) for connection in state.connections.by_server.get(server, ())
        )
        state.fleet_size.record_report(state.now, outstanding, own_outstanding + 1)

    def trace_end(
        self,
        attempt: Attempt,
        outcome: Outcome,
        fill_result: FillResult,
        source_wait_ns: int,
        load_report: dict[str, float],
    ) -> None:
        """Trace the step ``ended``: an attempt has ended."""
        self.state.trace(
            "ended",
            id=attempt.request.message.trace_id,
            cls=attempt.request.message.request_class,
            server=attempt.forward.server,
            source=attempt.forward.fill_source,
            n=attempt.index,
            outcome=outcome.name,
            note=fill_result.name,
            took=self.state.now - attempt.started_ns,
            waited=source_wait_ns,
            sent=attempt.is_sent,
            report=load_report,
        )

    def is_late_at_origin(
        self, attempt: Attempt, outcome: Outcome, fill_result: FillResult, source_wait_ns: int
    ) -> bool | None:
        """Whether the origin was too slow for a fetch; None if the attempt's end does not show it."""
        if outcome in (Outcome.TIMEOUT, Outcome.FULL) or fill_result in SOURCE_FAILURES:
            return True
        if outcome is not Outcome.OK:
            return None
        forward = attempt.forward
        if fill_result is FillResult.HIT and forward.server != forward.fill_source:
            return None
        state, message = self.state, attempt.request.message
        transfer_ns = state.expected_transfer_ns(message.request_class, message.size_kb)
        wait_ns = max(source_wait_ns, state.now - attempt.started_ns - transfer_ns)
        latency_objective_ns = attempt.request.request_class.latency_objective_ns
        return state.origin_limit is not None and state.origin_limit.is_late(wait_ns, latency_objective_ns)
