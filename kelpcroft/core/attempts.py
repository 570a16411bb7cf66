"""Attempts in flight: responses, timeouts, connects and lost connections, cancellation, back-off, hedges."""

from __future__ import annotations

from collections.abc import Callable

from kelpcroft.core.attempt_completion import AttemptCompletion
from kelpcroft.core.attempt_sending import AttemptSender
from kelpcroft.core.client_requests import ClientRequests
from kelpcroft.core.connection_pool import PooledConnection
from kelpcroft.core.effects import (
    CancelAttempt,
    CloseServerConnection,
    ScheduleTimer,
    SendHealthCheck,
    SendResponse,
)
from kelpcroft.core.health_checks import HealthChecks
from kelpcroft.core.inputs import ServerConnectionLost, ServerResponse
from kelpcroft.core.messages import TimerKey, TimerKind
from kelpcroft.core.response_times import ResponseTimes
from kelpcroft.core.server_connections import ServerConnections
from kelpcroft.core.state import SECOND, Attempt, OpenRequest, State
from kelpcroft.decision import interface as api
from kelpcroft.decision.interface import Outcome
from kelpcroft.invariants import check_invariant

# A server that responded within this time is running, even if it refuses a connection.
RECENT_RESPONSE_NS = SECOND


class Attempts:
    """Handles inputs, timers and actions that concern attempts.  ``AttemptCompletion`` ends each one once."""

    def __init__(self, state: State, requests: ClientRequests) -> None:
        self.state = state
        self.requests = requests
        self.connections = ServerConnections(state)
        self.health_checks = HealthChecks(state, self.connections)
        self.completion = AttemptCompletion(state, self.connections)
        self.response_times = ResponseTimes()
        self.sender = AttemptSender(state, self.connections, self.completion, self.response_times)

    def on_response(self, response: ServerResponse) -> None:
        """Handle a server's response; it may match no attempt or health check that is in flight."""
        state = self.state
        connection = state.connections.by_number.get(response.connection)
        if connection is None:
            return
        connection.last_response_ns = state.now
        number = connection.in_flight.pop(response.attempt_id, None)
        if number is None:
            # It crossed the cancellation on the wire, is a duplicate, or has an id that was never sent.
            state.counters["answers unasked"] += 1
            return
        if response.outcome is not Outcome.OK:
            connection.retired_ids[response.attempt_id] = state.now
        self.connections.release(connection)
        check = state.health_checks.pop(number, None)
        if check is not None:
            self.health_checks.finish(check, response.outcome, response.load_report)
            return
        self.finish_with_response(state.attempts[number], response)

    def finish_with_response(self, attempt: Attempt, response: ServerResponse) -> None:
        """End an attempt with its server's response, and serve the request if the response is a success."""
        state, message = self.state, attempt.request.message
        outcome = response.outcome
        if response.not_modified and not is_copy_of_client(response.etag, message.etag):
            # The response confirms a copy that is not the one the client holds (or the client named none),
            # so it cannot serve this request.
            state.counters["copies not named"] += 1
            outcome = Outcome.ERROR
        else:
            self.response_times.record(state.now - attempt.started_ns)
            if outcome is Outcome.OK and not attempt.request.has_final_response:
                final_response = SendResponse(
                    message.client, message.request_number, response.body, response.not_modified
                )
                self.requests.finish(attempt.request, final_response)
                state.counters["served"] += 1
        self.completion.finish(
            attempt, outcome, response.fill_result, response.source_wait_ns, response.load_report
        )

    def on_connected(self, number: int) -> None:
        """Handle an established connection: send the attempts and health checks that waited for it."""
        state = self.state
        connection = state.connections.by_number.get(number)
        if connection is None:
            return
        connection.is_connected = True
        connection.last_response_ns = state.now
        connection.idle_since_ns = state.now
        state.connections.refusals.pop(connection.server, None)
        if state.is_tracing:
            state.trace("up", server=connection.server, link=number, waiting=len(connection.unsent))
        queued, connection.unsent = connection.unsent, {}
        # All of them are added before the first is sent: an attempt that ends while it is sent must not leave
        # the connection empty, which would release it.
        connection.in_flight.update(queued)
        for attempt_id, queued_number in queued.items():
            if queued_number in state.health_checks:
                state.effects.append(SendHealthCheck(number, attempt_id))
            else:
                self.sender.send(state.attempts[queued_number])

    def on_connect_timeout(self, number: int) -> None:
        """Close a connection that was not established within the connect timeout."""
        connection = self.state.connections.by_number.get(number)
        if connection is not None and not connection.is_connected:
            self.state.effects.append(CloseServerConnection(number))
            self.on_connection_lost(ServerConnectionLost(number, "connect timeout", True))

    def on_connection_lost(self, message: ServerConnectionLost) -> None:
        """Handle a connection that ended or could not be established.

        Attempts that waited for the connection were not sent, so they were not executed.  Those in flight
        when the connection was lost may have been executed.
        """
        state = self.state
        connection = state.connections.remove(message.connection)
        if connection is None:
            return
        self.log_connection_lost(connection, message)
        is_at_connection_limit = message.is_unreachable and self.is_at_connection_limit(connection)
        if is_at_connection_limit:
            state.counters["no place"] += 1
            state.connections.record_refusal(connection.server, state.now)
        unsent_outcome = Outcome.MOOT
        if message.is_unreachable and not is_at_connection_limit:
            unsent_outcome = Outcome.CONNECT_FAILED
        for attempt_id, number in list(connection.unsent.items()):
            self.end_or_requeue(number, unsent_outcome, attempt_id in message.unsent_attempt_ids)
        for attempt_id, number in list(connection.in_flight.items()):
            self.end_or_requeue(number, Outcome.RESET, attempt_id in message.unsent_attempt_ids)

    def is_at_connection_limit(self, connection: PooledConnection) -> bool:
        """Whether a server that refused a connection is only at its connection limit.

        A server that responded on another connection within RECENT_RESPONSE_NS is running.  The waiting
        attempts are sent on the other connections; for those that cannot be, the decision package selects
        servers again.
        """
        if connection.is_connected:
            return False
        for other in self.state.connections.by_server.get(connection.server, ()):
            if other.is_connected and self.state.now - other.last_response_ns < RECENT_RESPONSE_NS:
                return True
        return False

    def log_connection_lost(self, connection: PooledConnection, message: ServerConnectionLost) -> None:
        """Trace a lost connection, and log it if it carried attempts or health checks."""
        load = connection.load()
        if self.state.is_tracing:
            self.state.trace(
                "lost",
                server=connection.server,
                link=message.connection,
                up=connection.is_connected,
                why=message.reason,
                down=message.is_unreachable,
                load=load,
            )
        if load:
            self.state.log(
                "link.lost",
                f"connection to {connection.server} lost with {load} requests on it: {message.reason}",
                "warning",
                {"server": connection.server, "out": load, "why": message.reason},
            )

    def end_or_requeue(self, number: int, outcome: Outcome, was_unsent: bool) -> None:
        """End an attempt or health check of a lost connection, or queue the attempt on another connection.

        Args:
            number: Number of the attempt or health check.
            outcome: How it ended.
            was_unsent: Not all of its bytes were written.
        """
        check = self.state.health_checks.pop(number, None)
        if check is not None:
            self.health_checks.finish(check, outcome)
            return
        attempt = self.state.attempts[number]
        if was_unsent and attempt.is_sent:
            # No server can have executed it, so it is treated as one that still waits for its connection.
            attempt.is_sent = False
            outcome = Outcome.MOOT
            self.state.counters["never written"] += 1
            self.completion.record_not_executed(attempt)
        if outcome is not Outcome.MOOT or not self.sender.retry_connection(attempt):
            self.completion.finish(attempt, outcome)

    def on_timeout(self, number: int) -> None:
        """End an attempt that timed out.  One that still waits for its connection was not executed."""
        attempt = self.state.attempts.get(number)
        if attempt is None:
            return
        if not attempt.is_sent:
            self.completion.finish(attempt, Outcome.MOOT)
            return
        if attempt.connection.last_response_ns <= attempt.started_ns:
            # The connection has been silent since the attempt began: the machine may be cut off from the
            # network, and be reachable again only through a new connection.
            attempt.connection.is_retiring = True
        self.cancel_at_server(attempt)
        self.completion.finish(attempt, Outcome.TIMEOUT)

    def cancel(self, action: api.Cancel) -> None:
        """Cancel an attempt, whether or not its request already has its final response."""
        number = self.state.attempt_numbers.get((action.id, action.attempt))
        if number is None:
            return
        attempt = self.state.attempts[number]
        if attempt.is_sent:
            self.cancel_at_server(attempt)
        self.completion.finish(attempt, Outcome.CANCELLED)

    def cancel_at_server(self, attempt: Attempt) -> None:
        """Send the server a cancellation of a sent attempt; the connection stays open for other attempts."""
        connection, attempt_id = attempt.connection, attempt.request.message.trace_id
        connection.retired_ids[attempt_id] = self.state.now
        self.state.effects.append(CancelAttempt(connection.number, attempt_id))

    def end_unsent(self, request: OpenRequest) -> None:
        """End the attempts of a finished request that still wait for a connection."""
        for index in range(request.attempts_made):
            number = self.state.attempt_numbers.get((request.id, index), 0)
            attempt = self.state.attempts.get(number)
            if attempt is not None and not attempt.is_sent:
                self.completion.finish(attempt, Outcome.MOOT)

    def cancel_matching(self, is_invalid: Callable[[Attempt], bool]) -> None:
        """End the attempts that wait for a connection and that an update has made invalid (rules 3 and 5).

        Their servers were selected before the update, and they would be sent up to a connect timeout after
        it.  The decision package selects servers again.
        """
        invalid = [a for a in self.state.attempts.values() if not a.is_sent and is_invalid(a)]
        for attempt in invalid:
            self.completion.finish(attempt, Outcome.MOOT)

    def back_off(self, action: api.BackOff) -> None:
        """Start a request's back-off; the next attempt is charged to the route's retry budget now."""
        request = self.state.requests.get(int(action.id))
        if request is None or not check_invariant(
            not request.is_backing_off, "a request has at most one back-off"
        ):
            return
        request.is_backing_off = True
        if request.allowance is not None:
            check_invariant(request.allowance.spend_retry(self.state.now), "no budget is overdrawn")
        key = TimerKey(TimerKind.RETRY_BACKOFF, int(action.id), 0)
        self.state.effects.append(ScheduleTimer(action.until_ns, key))

    def on_backoff_elapsed(self, number: int) -> None:
        """Report the end of a request's back-off to the decision package."""
        request = self.state.requests.get(number)
        if request is not None and request.is_backing_off:
            self.state.requests_to_check.append(request)
            self.state.events.append(api.BackoffElapsed(request.id))

    def on_hedge_due(self, number: int, attempts_made: int) -> None:
        """Report that a hedge is due, if no attempt was made since the timer was set and one is in flight."""
        request = self.state.requests.get(number)
        if request is None or request.allowance is None:
            return
        if request.attempts_in_flight and request.attempts_made == attempts_made:
            can_hedge = request.allowance.can_hedge(self.state.now)
            self.state.events.append(api.HedgeDue(request.id, can_hedge))


def is_copy_of_client(response_etag: str, client_etag: str) -> bool:
    """Whether a server's "not modified" response refers to the copy that the client holds."""
    return bool(client_etag) and response_etag.strip('"') == client_etag
