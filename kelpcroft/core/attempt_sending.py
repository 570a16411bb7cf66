"""The start of an attempt, from the decision package's ForwardRequest to its bytes on a connection."""

from __future__ import annotations

from typing import TYPE_CHECKING

from kelpcroft.core.attempt_completion import AttemptCompletion
from kelpcroft.core.connection_pool import PooledConnection
from kelpcroft.core.effects import ScheduleTimer, SendAttempt
from kelpcroft.core.inputs import ClientRequest
from kelpcroft.core.messages import TimerKey, TimerKind
from kelpcroft.core.response_times import ResponseTimes
from kelpcroft.core.server_connections import ServerConnections
from kelpcroft.core.state import MS, Attempt, OpenRequest, State
from kelpcroft.decision import interface as api
from kelpcroft.decision.interface import Idempotency, Outcome
from kelpcroft.invariants import check_invariant

if TYPE_CHECKING:
    from kelpcroft.routes import RequestAllowance

MAX_CONNECTIONS_PER_ATTEMPT = 3  # connections used for one attempt while each is lost before it is sent


class AttemptSender:
    """Creates attempts and sends them on their connections."""

    def __init__(
        self,
        state: State,
        connections: ServerConnections,
        completion: AttemptCompletion,
        response_times: ResponseTimes,
    ) -> None:
        self.state = state
        self.connections = connections
        self.completion = completion
        self.response_times = response_times

    def forward(self, action: api.ForwardRequest) -> None:
        """Send an attempt, now or when its connection is established.

        If it cannot be sent, its end is reported to the decision package while the same input is handled.
        """
        state = self.state
        request = state.requests.get(int(action.id))
        if request is None or not check_invariant(
            not request.has_final_response, "no attempt after the final response"
        ):
            return
        index = request.attempts_made
        request.attempts_made += 1
        if request.allowance is not None:
            self.charge(request, request.allowance)
        connection = self.connections.acquire(action.server, request)
        if connection is None or action.fill_source not in state.endpoints:
            request.may_have_executed = False
            state.events.append(api.AttemptEnded(action.id, index, action.server, Outcome.MOOT, 0, False))
            return
        attempt = self.register(action, request, index, connection)
        self.schedule_timeout(attempt)
        self.send_or_queue(attempt)

    def register(
        self, action: api.ForwardRequest, request: OpenRequest, index: int, connection: PooledConnection
    ) -> Attempt:
        """Create an attempt and add it to the tables."""
        state = self.state
        state.last_number += 1
        attempt = Attempt(state.last_number, request, action, state.now, index, connection)
        request.attempts_in_flight += 1
        if state.origin_limit is not None:
            source = state.endpoints[action.fill_source]
            attempt.fetches_from_origin = state.config.machine_kinds.role_of(source.kind) is api.Role.ORIGIN
            if attempt.fetches_from_origin:
                state.origin_limit.record_sent()
                state.set_cold_budget_share(state.cold_budget_share)
        state.attempts[attempt.number] = attempt
        state.attempt_numbers[action.id, index] = attempt.number
        return attempt

    def schedule_timeout(self, attempt: Attempt) -> None:
        """Schedule the attempt timeout, at the latest at the request's deadline.

        The decision package receives the end at the deadline, and its final response is sent within the
        response slack.
        """
        due_ns = attempt.request.deadline_ns
        if attempt.forward.timeout_ns:
            due_ns = min(self.state.now + attempt.forward.timeout_ns, due_ns)
        key = TimerKey(TimerKind.ATTEMPT_TIMEOUT, attempt.number, 0)
        self.state.effects.append(ScheduleTimer(due_ns, key))

    def charge(self, request: OpenRequest, allowance: RequestAllowance) -> None:
        """Charge a retry or a hedge to the route's budget, and schedule the next hedge.

        The first attempt is not charged, nor is a retry after an attempt that was certainly not executed.
        A retry after a back-off was charged when the back-off began.
        """
        state = self.state
        within_budget = True
        if request.attempts_in_flight:
            within_budget = allowance.spend_hedge(state.now)
            state.counters["copies"] += 1
        elif request.attempts_made > 1 and request.may_have_executed and not request.is_backing_off:
            within_budget = allowance.spend_retry(state.now)
        request.is_backing_off = False
        check_invariant(within_budget, "no budget is overdrawn")
        if allowance.hedge_delay_ns:
            key = TimerKey(TimerKind.HEDGE, int(request.id), request.attempts_made)
            state.effects.append(ScheduleTimer(state.now + allowance.hedge_delay_ns, key))

    def retry_connection(self, attempt: Attempt) -> bool:
        """Move an attempt to another connection; return whether it was moved.

        Nothing was sent on the lost connection, and its reset is not evidence against the server.
        """
        if attempt.request.has_final_response:
            return False
        attempt.failed_connections += 1
        if attempt.failed_connections >= MAX_CONNECTIONS_PER_ATTEMPT:
            return False
        connection = self.connections.acquire(attempt.forward.server, attempt.request)
        if connection is None:
            return False
        attempt.connection = connection
        self.send_or_queue(attempt)
        return True

    def send_or_queue(self, attempt: Attempt) -> None:
        """Send an attempt, or queue it until its connection is established."""
        connection, trace_id = attempt.connection, attempt.request.message.trace_id
        if connection.is_connected:
            connection.in_flight[trace_id] = attempt.number
            self.send(attempt)
        else:
            connection.unsent[trace_id] = attempt.number

    def send(self, attempt: Attempt) -> None:
        """Send an attempt with the rest of its timeout."""
        state, forward = self.state, attempt.forward
        if attempt.request.has_final_response:
            # The client has its response or no longer waits, so the attempt, which waited for its connection,
            # is not sent.
            self.completion.finish(attempt, Outcome.MOOT)
            return
        if not self.bind_idempotency_key(attempt):
            self.completion.finish(attempt, Outcome.MOOT)
            return
        attempt.is_sent = True
        self.schedule_silence_timer(attempt.connection)
        due_ns = min(attempt.started_ns + forward.timeout_ns, attempt.request.deadline_ns)
        if state.is_tracing:
            self.trace_send(attempt, due_ns)
        state.effects.append(send_effect(attempt, max(1, (due_ns - state.now) // MS)))

    def bind_idempotency_key(self, attempt: Attempt) -> bool:
        """Record that a key may be executed from now on; a safe class needs no record.

        Returns:
            False if the attempt must not be sent: it was chosen within its key's deduplication window, but
            the window ended while the attempt waited for its connection.
        """
        state, message = self.state, attempt.request.message
        if not message.idempotency_key:
            return True
        request_class = attempt.request.request_class
        if request_class.idempotency is Idempotency.SAFE:
            return True
        prior_execution = state.idempotency_keys.find(
            state.now, message.request_class, message.idempotency_key
        )
        if prior_execution is not None and request_class.idempotency is Idempotency.KEYED:
            window_ends_ns = prior_execution.sent_ns + request_class.dedup_window_ns
            if state.now + state.settings.clock_tick_ns >= window_ends_ns:
                return False
        endpoint = state.endpoints.get(attempt.forward.server)
        state.idempotency_keys.record_send(
            state.now,
            request_class,
            message.idempotency_key,
            attempt.number,
            endpoint.zone if endpoint else "",
            endpoint.cell if endpoint else 0,
        )
        return True

    def schedule_silence_timer(self, connection: PooledConnection) -> None:
        """Schedule the silence timer of a connection, unless it has one."""
        if connection.has_silence_timer:
            return
        connection.has_silence_timer = True
        # If health checks are allowed, the timer first fires at half the limit, to send a health check.
        divisor = 2 if self.state.settings.limits.may_probe else 1
        delay_ns = self.response_times.silence_timeout_ns() // divisor
        self.state.schedule(delay_ns, TimerKind.CONNECTION_SILENCE, connection.number)

    def trace_send(self, attempt: Attempt, due_ns: int) -> None:
        """Trace the step ``sent``: an attempt was sent."""
        forward = attempt.forward
        self.state.trace(
            "sent",
            id=attempt.request.message.trace_id,
            cls=attempt.request.message.request_class,
            server=forward.server,
            source=forward.fill_source,
            n=attempt.index,
            rank=forward.retention_rank,
            held_only=forward.cached_only,
            late=self.state.now - attempt.started_ns,
            limit=due_ns - self.state.now,
        )


def send_effect(attempt: Attempt, timeout_ms: int) -> SendAttempt:
    """The effect with which the event loop sends an attempt."""
    forward = attempt.forward
    message: ClientRequest = attempt.request.message
    return SendAttempt(
        connection=attempt.connection.number,
        attempt_id=message.trace_id,
        request_class=message.request_class,
        object_id=message.object_id,
        part_id=message.part_id,
        timeout_ms=timeout_ms,
        source="" if forward.fill_source == forward.server else forward.fill_source,
        retention_rank=forward.retention_rank,
        max_age_ms=max(1, forward.max_age_ns // MS) if forward.max_age_ns else 0,
        join_fill=forward.coalesce,
        cached_only=forward.cached_only,
        no_parent_copy=forward.no_parent_copy,
        refresh_in_background=forward.refresh_in_background,
        etag=message.etag,
        body=message.body,
        idempotency_key=message.idempotency_key,
    )
