"""Admission of client requests, and the single final response to each of them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from kelpcroft.core.effects import CloseClient, Effect, FailRequest, RejectRequest, SendResponse
from kelpcroft.core.inputs import ClientRequest
from kelpcroft.core.memory_budget import REQUEST_BYTES
from kelpcroft.core.state import OpenRequest, State
from kelpcroft.decision import interface as api
from kelpcroft.decision.interface import Idempotency, RequestClass
from kelpcroft.invariants import check_invariant

if TYPE_CHECKING:
    from kelpcroft.routes import RequestAllowance

MAX_OPEN_REQUESTS_PER_CLIENT = 32  # a client that exceeds this is disconnected

FinalResponse = SendResponse | RejectRequest | FailRequest

# How a request ended, as written in the step trace (``ROUTER_TRACE``).
TRACE_RESULTS: dict[type[Effect], str] = {
    SendResponse: "Serve",
    RejectRequest: "Decline",
    FailRequest: "Break",
}
# How a request ended, as written in the statistics on the control address.
STATISTICS_RESULTS: dict[type[Effect], str] = {
    SendResponse: "served",
    RejectRequest: "refused",
    FailRequest: "failed",
}
# The same, in the step trace and the statistics, if the client cancelled the request or disconnected.
NO_RESPONSE_RESULT = "gone"


class ClientRequests:
    """Admits client requests and sends one final response to each of them."""

    def __init__(self, state: State) -> None:
        self.state = state

    def on_request(self, message: ClientRequest) -> None:
        """Admit a request, or send its final response immediately.

        A misbehaving client receives an error, or its connection is closed, before an attempt is made for
        it.  Servers would respond with errors, which would count against the server and against the other
        request with the same id.
        """
        state = self.state
        if self.close_misbehaving_client(message):
            return
        request_class = state.classes.get(message.request_class)
        if request_class is None or not self.is_valid(message, request_class):
            self.fail_invalid(message, request_class)
            return
        # A key is recorded for unsafe classes too.  A class that a reload makes keyed is unsafe during the
        # settings transition, and a retry after the transition must find the execution of this request.
        is_keyed = request_class.idempotency is not Idempotency.SAFE and bool(message.idempotency_key)
        reason = self.reject_reason(message, is_keyed)
        if reason:
            self.reject(message, reason)
            return
        self.admit(message, request_class, is_keyed)

    def close_misbehaving_client(self, message: ClientRequest) -> bool:
        """Close a client that reuses an open request's number or has too many open; return whether it did."""
        requests_of_client = self.state.requests_by_client.get(message.client, {})
        if message.request_number in requests_of_client:
            reason = f"request number {message.request_number} is already open"
        elif len(requests_of_client) >= MAX_OPEN_REQUESTS_PER_CLIENT:
            reason = "too many open requests"
        else:
            return False
        self.state.counters["hung up on"] += 1
        self.state.effects.append(CloseClient(message.client, reason))
        return True

    def is_valid(self, message: ClientRequest, request_class: RequestClass) -> bool:
        """Whether a request is valid: it can be forwarded unchanged."""
        if message.validation_error:
            return False
        if message.remaining_time_ns > 2 * request_class.deadline_ns > 0:
            return False
        if message.trace_id in self.state.open_trace_ids:
            return False
        return request_class.idempotency is not Idempotency.KEYED or bool(message.idempotency_key)

    def fail_invalid(self, message: ClientRequest, request_class: RequestClass | None) -> None:
        """Fail a request that was decoded but is not valid."""
        self.state.counters["not usable"] += 1
        if self.state.statistics is not None and request_class is not None:
            weight = request_class.priority_weight
            self.state.statistics.record_end(request_class.name, "failed", 0, weight, False)
        self.state.effects.append(FailRequest(message.client, message.request_number))

    def reject_reason(self, message: ClientRequest, is_keyed: bool) -> str:
        """The name of the counter for the reason why a valid request is rejected; "" if it is admitted."""
        state = self.state
        if is_keyed:
            if (message.request_class, message.idempotency_key) in state.idempotency_keys.in_use:
                # Another request with this key is open here.  Two are never in flight at the same time.
                return "keys in use"
            if state.idempotency_keys.is_full(state.now):
                return "keys too many"
        max_open = state.settings.limits.max_open_requests
        if max_open and len(state.requests) >= max_open:
            return "too many open"
        if not state.memory.open_requests.has_room(message.client, memory_of(message)):
            state.memory.turned_away["requests rejected"] += 1
            return "no memory"
        return ""

    def admit(self, message: ClientRequest, request_class: RequestClass, is_keyed: bool) -> None:
        """Admit a request and pass it to the decision package."""
        state = self.state
        state.last_number += 1
        number = state.last_number
        allowance = self.route_allowance(message, request_class)
        time_allowed_ns = message.remaining_time_ns
        if allowance is not None:
            time_allowed_ns = allowance.response_timeout_ns
        request = OpenRequest(
            str(number),
            message,
            request_class,
            state.now + time_allowed_ns,
            allowance,
            time_allowed_ns=time_allowed_ns,
            charged_bytes=memory_of(message),
        )
        state.memory.open_requests.charge(message.client, request.charged_bytes)
        state.requests[number] = request
        state.requests_by_client.setdefault(message.client, {})[message.request_number] = request
        state.open_trace_ids.add(message.trace_id)
        prior_execution = None
        if is_keyed:
            state.idempotency_keys.in_use.add((message.request_class, message.idempotency_key))
            prior_execution = state.idempotency_keys.find(
                state.now, message.request_class, message.idempotency_key
            )
        state.counters["taken"] += 1
        state.requests_to_check.append(request)
        if state.is_tracing:
            self.trace_admitted(message)
        prior_attempt_unknown = is_keyed and message.is_retry and prior_execution is None
        state.events.append(decision_request(request, prior_execution, prior_attempt_unknown))

    def route_allowance(self, message: ClientRequest, request_class: RequestClass) -> RequestAllowance | None:
        """The attempts and budgets that the request's route allows it; None if there are no routes."""
        if self.state.routes is None:
            return None
        return self.state.routes.admit(
            self.state.now,
            request_class,
            message.object_id,
            message.group,
            message.part_number,
            message.is_retry,
            len(message.body) > 0,
            message.remaining_time_ns,
            message.queued_ns,
        )

    def trace_admitted(self, message: ClientRequest) -> None:
        """Trace the step ``taken``: a request was admitted."""
        self.state.trace(
            "taken",
            id=message.trace_id,
            cls=message.request_class,
            object=message.object_id,
            part=message.part_number,
            patience=message.remaining_time_ns,
            retry=message.is_retry,
        )

    def reject(self, message: ClientRequest, reason: str) -> None:
        """Reject a request that is not admitted: the client may retry it without harm.

        The request fails instead if an earlier request with its key may have been executed and a retry
        through another router would execute it again.  This is rule 2, which holds for every rejection,
        including those that the decision package does not receive.

        Args:
            message: The request.
            reason: Name of the counter for the reason.
        """
        state = self.state
        state.counters[reason] += 1
        request_class = state.classes.get(message.request_class)
        if state.statistics is not None and request_class is not None:
            weight = request_class.priority_weight
            state.statistics.record_end(request_class.name, "refused", 0, weight, False)
        if request_class is not None and self.is_retry_harmful(message, request_class):
            state.effects.append(FailRequest(message.client, message.request_number))
        else:
            state.effects.append(RejectRequest(message.client, message.request_number, 0))

    def is_retry_harmful(self, message: ClientRequest, request_class: RequestClass) -> bool:
        """Whether a retry through another router might repeat an execution for the same key."""
        if request_class.idempotency is Idempotency.SAFE or not message.idempotency_key:
            return False
        if request_class.idempotency is Idempotency.KEYED and request_class.dedup_scope == "all":
            return False  # every server drops the repeat
        keys = self.state.idempotency_keys
        if (message.request_class, message.idempotency_key) in keys.in_use:
            return True
        prior_execution = keys.find(self.state.now, message.request_class, message.idempotency_key)
        return prior_execution is not None

    def finish(self, request: OpenRequest, response: FinalResponse | None) -> None:
        """End a request: send its final response, or none (None) if its client no longer waits."""
        if not check_invariant(not request.has_final_response, "one final response for each request"):
            return
        state = self.state
        request.has_final_response = True
        self.remove_from_tables(request)
        state.release_memory(request)
        if request.allowance is not None:
            request.allowance.release()
        if state.statistics is not None:
            self.record_statistics(request, response)
        if state.is_tracing:
            state.trace(
                "final",
                id=request.message.trace_id,
                cls=request.message.request_class,
                tries=request.attempts_made,
                how=TRACE_RESULTS[type(response)] if response else NO_RESPONSE_RESULT,
                out=request.attempts_in_flight,
                left=request.deadline_ns - state.now,
            )
        if response:
            state.effects.append(response)

    def remove_from_tables(self, request: OpenRequest) -> None:
        """Remove a request that has ended from the tables."""
        state, message = self.state, request.message
        del state.requests[int(request.id)]
        state.open_trace_ids.discard(message.trace_id)
        if message.idempotency_key:
            state.idempotency_keys.in_use.discard((message.request_class, message.idempotency_key))
        requests_of_client = state.requests_by_client[message.client]
        del requests_of_client[message.request_number]
        if not requests_of_client:
            del state.requests_by_client[message.client]

    def record_statistics(self, request: OpenRequest, response: FinalResponse | None) -> None:
        """Add a request's end to the statistics.  Its elapsed time counts from when the client sent it."""
        state, message, request_class = self.state, request.message, request.request_class
        if state.statistics is None:
            return
        transfer_ns = state.expected_transfer_ns(message.request_class, message.size_kb)
        elapsed_ns = state.now - request.deadline_ns + request.time_allowed_ns + message.queued_ns
        in_time = (
            elapsed_ns
            <= request_class.latency_objective_ns + request_class.objective_transfer_multiple * transfer_ns
        )
        state.statistics.record_end(
            request_class.name,
            STATISTICS_RESULTS[type(response)] if response else NO_RESPONSE_RESULT,
            request.attempts_made,
            request_class.priority_weight,
            in_time,
        )

    def finish_without_response(self, request: OpenRequest) -> None:
        """End a request whose client cancelled it or disconnected."""
        self.finish(request, None)
        self.state.events.append(api.ClientDisconnected(request.id))

    def reject_or_fail(self, action: api.Reject | api.Fail) -> None:
        """Send the rejection or failure that the decision package has decided on."""
        request = self.state.requests.get(int(action.id))
        if request is None:
            return
        client, request_number = request.message.client, request.message.request_number
        if isinstance(action, api.Reject):
            self.state.counters["refused"] += 1
            self.finish(request, RejectRequest(client, request_number, action.retry_after_ns))
        else:
            self.state.counters["failed"] += 1
            self.finish(request, FailRequest(client, request_number))


def memory_of(message: ClientRequest) -> int:
    """The memory that a request takes while it is pending or open, in bytes."""
    return REQUEST_BYTES + len(message.body)


def decision_request(
    request: OpenRequest, prior_execution: api.PossibleExecution | None, prior_attempt_unknown: bool
) -> api.Request:
    """The request event that the decision package receives.

    Args:
        request: A request that was admitted.
        prior_execution: The possible execution of an earlier request with the same key.
        prior_attempt_unknown: The request is a retry with a key that this router has no record of.
    """
    message = request.message
    return api.Request(
        id=request.id,
        class_name=message.request_class,
        time_remaining_ns=request.time_allowed_ns,
        object_id=message.object_number,
        part=message.part_number,
        purge_group=message.group,
        size_kb=message.size_kb,
        is_write=len(message.body) > 0,
        is_retry=message.is_retry,
        retry_policy=None if request.allowance is None else request.allowance.policy,
        prior_execution=prior_execution,
        prior_attempt_unknown=prior_attempt_unknown,
    )
