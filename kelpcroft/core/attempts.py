"""Attempts in flight: answers, time-outs, connections established or lost, cancellation, back-off, hedges."""

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
from kelpcroft.invariants import holds

RECENT_RESPONSE_NS = SECOND  # a server that answered so lately lives, though it refuses a connection


class Attempts:
    """What becomes of attempts once they are made.  Each one ends once, by ``AttemptCompletion``."""

    def __init__(self, state: State, requests: ClientRequests) -> None:
        self.state = state
        self.requests = requests
        self.connections = ServerConnections(state)
        self.health_checks = HealthChecks(state, self.connections)
        self.completion = AttemptCompletion(state, self.connections)
        self.response_times = ResponseTimes()
        self.sender = AttemptSender(state, self.connections, self.completion, self.response_times)

    def on_response(self, response: ServerResponse) -> None:
        """A server has answered an attempt or a health check, or what was none or is over."""
        state = self.state
        connection = state.connections.by_number.get(response.connection)
        if connection is None:
            return
        connection.last_response_ns = state.now
        number = connection.in_flight.pop(response.attempt_id, None)
        if number is None:
            # It crossed the cancellation, or is a second copy, or nobody's.
            state.counters["answers unasked"] += 1
            return
        if response.outcome is not Outcome.OK:
            connection.retired_ids[response.attempt_id] = state.now
        self.connections.release(connection)
        check = state.health_checks.pop(number, None)
        if check is not None:
            self.health_checks.finish(check, response.outcome, response.load_report)
            return
        self.take_response(state.attempts[number], response)

    def take_response(self, attempt: Attempt, response: ServerResponse) -> None:
        """End an attempt by its server's answer, and answer its request where that serves it."""
        state, message = self.state, attempt.request.message
        outcome = response.outcome
        if response.not_modified and not is_copy_of_client(response.etag, message.etag):
            # It calls a copy current that the client did not name, or another: that is no answer to this.
            state.counters["copies not named"] += 1
            outcome = Outcome.ERROR
        else:
            self.response_times.record(state.now - attempt.started_ns)
            if outcome is Outcome.OK and not attempt.request.is_answered:
                answer = SendResponse(
                    message.client, message.request_number, response.body, response.not_modified
                )
                self.requests.finish(attempt.request, answer)
                state.counters["served"] += 1
        self.completion.finish(attempt, outcome, response.note, response.source_wait_ns, response.load_report)

    def on_connected(self, number: int) -> None:
        """A connection is established: what waited for it is written."""
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
        waiting, connection.unsent = connection.unsent, {}
        connection.in_flight.update(
            waiting
        )  # all at once: one that ends here must not leave an idle connection
        for attempt_id, waiting_number in waiting.items():
            if waiting_number in state.health_checks:
                state.effects.append(SendHealthCheck(number, attempt_id))
            else:
                self.sender.send(state.attempts[waiting_number])

    def on_connect_timeout(self, number: int) -> None:
        """A connection that is not established by now is given up."""
        connection = self.state.connections.by_number.get(number)
        if connection is not None and not connection.is_connected:
            self.state.effects.append(CloseServerConnection(number))
            self.on_connection_lost(ServerConnectionLost(number, "no connection in time", True))

    def on_connection_lost(self, lost: ServerConnectionLost) -> None:
        """A connection has ended, or could not be had.

        Before it was established nothing was sent, so nothing ran; what was in flight when it broke may have
        run.
        """
        state = self.state
        connection = state.connections.remove(lost.connection)
        if connection is None:
            return
        self.log_connection_lost(connection, lost)
        is_crowded = lost.is_unreachable and self.is_crowded(connection)
        if is_crowded:
            state.counters["no place"] += 1
            state.connections.record_refusal(connection.server, state.now)
        unsent_outcome = Outcome.MOOT
        if lost.is_unreachable and not is_crowded:
            unsent_outcome = Outcome.CONNECT_FAILED
        for attempt_id, number in list(connection.unsent.items()):
            self.lose(number, unsent_outcome, attempt_id in lost.unsent_attempt_ids)
        for attempt_id, number in list(connection.in_flight.items()):
            self.lose(number, Outcome.RESET, attempt_id in lost.unsent_attempt_ids)

    def is_crowded(self, connection: PooledConnection) -> bool:
        """Whether a server that refuses a connection has merely no place for one more.

        One that answered on another connection just now is not gone.  What waited takes the others, and
        where it cannot, the decision module chooses anew.
        """
        if connection.is_connected:
            return False
        for other in self.state.connections.by_server.get(connection.server, ()):
            if other.is_connected and self.state.now - other.last_response_ns < RECENT_RESPONSE_NS:
                return True
        return False

    def log_connection_lost(self, connection: PooledConnection, lost: ServerConnectionLost) -> None:
        """The trace's step, and a line where anything was out."""
        load = connection.load()
        if self.state.is_tracing:
            self.state.trace(
                "lost",
                server=connection.server,
                link=lost.connection,
                up=connection.is_connected,
                why=lost.reason,
                down=lost.is_unreachable,
                load=load,
            )
        if load:
            self.state.log(
                "link.lost",
                f"connection to {connection.server} lost with {load} out: {lost.reason}",
                "warning",
                {"server": connection.server, "out": load, "why": lost.reason},
            )

    def lose(self, number: int, outcome: Outcome, was_unsent: bool) -> None:
        """End what a lost connection carried, or have it wait for another one.

        Args:
            number: Of an attempt or a health check.
            outcome: How it ended.
            was_unsent: Not all of its bytes were written.
        """
        check = self.state.health_checks.pop(number, None)
        if check is not None:
            self.health_checks.finish(check, outcome)
            return
        attempt = self.state.attempts[number]
        if was_unsent and attempt.is_sent:
            # Nobody can have run it, and it goes out as if it had waited.
            attempt.is_sent = False
            outcome = Outcome.MOOT
            self.state.counters["never written"] += 1
            self.completion.record_not_executed(attempt)
        if outcome is not Outcome.MOOT or not self.sender.retry_connection(attempt):
            self.completion.finish(attempt, outcome)

    def on_timeout(self, number: int) -> None:
        """An attempt's time is over.  One that still waits for its connection has certainly not run."""
        attempt = self.state.attempts.get(number)
        if attempt is None:
            return
        if not attempt.is_sent:
            self.completion.finish(attempt, Outcome.MOOT)
            return
        if attempt.connection.last_response_ns <= attempt.started_ns:
            # Nothing at all since: the machine may be cut off, and come back behind another connection.
            attempt.connection.is_retiring = True
        self.withdraw(attempt)
        self.completion.finish(attempt, Outcome.TIMEOUT)

    def cancel(self, action: api.Cancel) -> None:
        """Stop waiting for an attempt of a request, answered or not."""
        number = self.state.attempt_numbers.get((action.id, action.attempt))
        if number is None:
            return
        attempt = self.state.attempts[number]
        if attempt.is_sent:
            self.withdraw(attempt)
        self.completion.finish(attempt, Outcome.CANCELLED)

    def withdraw(self, attempt: Attempt) -> None:
        """Give a sent attempt up at its server, its connection being others' too."""
        connection, attempt_id = attempt.connection, attempt.request.message.trace_id
        connection.retired_ids[attempt_id] = self.state.now
        self.state.effects.append(CancelAttempt(connection.number, attempt_id))

    def abandon(self, request: OpenRequest) -> None:
        """What still waits for its connection, of a request that is over, ends now."""
        for index in range(request.attempts_made):
            number = self.state.attempt_numbers.get((request.id, index), 0)
            attempt = self.state.attempts.get(number)
            if attempt is not None and not attempt.is_sent:
                self.completion.finish(attempt, Outcome.MOOT)

    def cancel_matching(self, is_stale: Callable[[Attempt], bool]) -> None:
        """Rules 3 and 5: what still waits for its connection was chosen before this news.

        The decision module chooses anew, as it would otherwise be sent up to a connection's time after it.
        """
        stale = [a for a in self.state.attempts.values() if not a.is_sent and is_stale(a)]
        for attempt in stale:
            self.completion.finish(attempt, Outcome.MOOT)

    def back_off(self, action: api.BackOff) -> None:
        """A request waits for its next attempt, which its route pays for now."""
        request = self.state.requests.get(int(action.id))
        if request is None or not holds(not request.is_backing_off, "a request waits once"):
            return
        request.is_backing_off = True
        if request.allowance is not None:
            holds(request.allowance.spend_retry(self.state.now), "no budget is overdrawn")
        key = TimerKey(TimerKind.RETRY_BACKOFF, int(action.id), 0)
        self.state.effects.append(ScheduleTimer(action.until_ns, key))

    def on_backoff_elapsed(self, number: int) -> None:
        """A request's wait between two attempts is over."""
        request = self.state.requests.get(number)
        if request is not None and request.is_backing_off:
            self.state.touched_requests.append(request)
            self.state.events.append(api.BackoffElapsed(request.id))

    def on_hedge_due(self, number: int, attempts_made: int) -> None:
        """An attempt is out long enough for a second copy, if it is the last that was made."""
        request = self.state.requests.get(number)
        if request is None or request.allowance is None:
            return
        if request.attempts_in_flight and request.attempts_made == attempts_made:
            can_hedge = request.allowance.can_hedge(self.state.now)
            self.state.events.append(api.HedgeDue(request.id, can_hedge))


def is_copy_of_client(response_etag: str, client_etag: str) -> bool:
    """Whether a server that calls a copy current means the one that the client holds."""
    return bool(client_etag) and response_etag.strip('"') == client_etag
