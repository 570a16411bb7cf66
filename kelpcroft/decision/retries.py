"""Retries, rerouting, back-off and hedging: what follows an attempt that ended without an answer.

An attempt after one that may have executed is a *retry*; one after an attempt that certainly did nothing is a
*reroute*.  A second attempt while another is out is a *hedge*.
"""

from __future__ import annotations

from typing import Final

from kelpcroft.decision.actions import BackOff
from kelpcroft.decision.events import AttemptEnded, FillResult, HedgeDue, Outcome, RouteRetryPolicy
from kelpcroft.decision.forwarding import Forwarding
from kelpcroft.decision.request_completion import RequestCompletion
from kelpcroft.decision.requests import Attempt, InFlightRequest
from kelpcroft.decision.router_state import RouterState

# Further attempts earned by each request (a retry budget by token bucket) ...
RETRY_TOKENS_PER_REQUEST: Final = 0.2
MAX_RETRY_TOKENS: Final = 20.0  # ... and how many may be saved up
MAX_SAME_SERVER_RESETS: Final = 2  # lost connections after which a request still tries the same server again


class Retries:
    """Decides on further attempts of a request.

    Attributes:
        retry_tokens: Further attempts that this router may send of its own accord; a route may have a budget
            of its own, which is kept outside of the decisions.
    """

    def __init__(self, state: RouterState, forwarding: Forwarding, completion: RequestCompletion) -> None:
        self.state = state
        self.forwarding = forwarding
        self.completion = completion
        self.retry_tokens: float = MAX_RETRY_TOKENS

    def earn_tokens(self) -> None:
        """Earn part of a retry by a new request."""
        self.retry_tokens = min(MAX_RETRY_TOKENS, self.retry_tokens + RETRY_TOKENS_PER_REQUEST)

    def after_failure(self, request: InFlightRequest, attempt: Attempt, event: AttemptEnded) -> None:
        """Try again after the last attempt in flight ended without an answer, or give the final answer."""
        retry_policy = request.request.retry_policy
        is_past_deadline = self.state.now_ns >= request.deadline_ns
        if retry_policy and (
            (retry_policy.shortens_deadline and is_past_deadline)
            or not self._route_allows_next(request, retry_policy, event)
        ):
            self.completion.reject_or_fail(request)
        elif is_past_deadline:
            self.completion.fail(request)
        elif event.outcome is Outcome.RESET and request.reset_count < MAX_SAME_SERVER_RESETS:
            # The copy is there, or on its way: elsewhere it would be filled once more.
            # The guard against a second execution still holds.
            request.reset_count += 1
            self._send_again(request, not event.outcome.proves_not_executed)
        else:
            self._exclude_failed(request, attempt, event)
            self._spend_and_send_again(request, event)

    def _exclude_failed(self, request: InFlightRequest, attempt: Attempt, event: AttemptEnded) -> None:
        """Mark the server or the fill source that this request should not try again."""
        is_source_fault = event.outcome is Outcome.MISS or event.fill_result in (
            FillResult.SOURCE_REFUSED,
            FillResult.SOURCE_BROKE,
            FillResult.SOURCE_LACKS,
            FillResult.ORIGIN_FAILED,
        )
        is_cause_known = event.fill_result is not FillResult.NONE or event.outcome in (
            Outcome.MISS,
            Outcome.CONNECT_FAILED,
            Outcome.RESET,
        )
        is_filled = attempt.is_filled()
        source_name = attempt.fill_source.server.name
        if is_filled and (is_source_fault or not is_cause_known):
            request.excluded_sources.add(source_name)
            has_no_copy = event.fill_result is FillResult.SOURCE_LACKS or event.outcome is Outcome.MISS
            if request.history is not None and has_no_copy:
                request.history.known_copies.pop(source_name, None)
        if not (is_filled and is_source_fault):
            request.excluded_servers.add(attempt.endpoint.server.name)

    def _spend_and_send_again(self, request: InFlightRequest, event: AttemptEnded) -> None:
        """Pay for the next attempt and send it: a miss is free, and a route with a budget pays itself."""
        retry_policy = request.request.retry_policy
        is_miss = event.outcome is Outcome.MISS
        is_free = is_miss or (retry_policy is not None and retry_policy.has_retry_budget)
        if is_miss and request.cache_only:
            self.completion.reject_or_fail(request)
            return
        if not is_free:
            if self.retry_tokens < 1:
                self.completion.reject_or_fail(request)
                return
            self.retry_tokens -= 1
        self._send_again(request, not event.outcome.proves_not_executed)

    def _route_allows_next(
        self, request: InFlightRequest, retry_policy: RouteRetryPolicy, event: AttemptEnded
    ) -> bool:
        """Return True if the route lets a request go on after this end."""
        if event.outcome.proves_not_executed:
            return retry_policy.max_reroutes < 0 or request.reroute_count < retry_policy.max_reroutes
        has_attempt_left = (
            not retry_policy.max_attempts or request.retry_count + 1 < retry_policy.max_attempts
        )
        is_retryable = retry_policy.retry_on is None or event.outcome in retry_policy.retry_on
        is_paid_for = event.retry_budget_available or not retry_policy.has_retry_budget
        return has_attempt_left and is_retryable and is_paid_for

    def _send_again(self, request: InFlightRequest, may_have_executed: bool) -> None:
        """Send the next attempt; after one that may have executed, when the route's back-off is over."""
        if not may_have_executed:
            request.reroute_count += 1
            self.forwarding.send_next_attempt(request)
            return
        request.retry_count += 1
        until_ns = self.state.now_ns + self._backoff_ns(request)
        if until_ns == self.state.now_ns:
            self.forwarding.send_next_attempt(request)
        elif until_ns >= request.deadline_ns:
            self.completion.reject_or_fail(request)  # at once: the back-off would outlast the client
        else:
            self.state.actions.append(BackOff(request.request.id, until_ns))

    def _backoff_ns(self, request: InFlightRequest) -> int:
        """Return the route's wait before a retry; its last one holds for all further retries."""
        retry_policy = request.request.retry_policy
        if retry_policy is None or not retry_policy.backoff_ns:
            return 0
        last = len(retry_policy.backoff_ns)
        return retry_policy.backoff_ns[min(request.retry_count, last) - 1]

    def hedge(self, request: InFlightRequest, event: HedgeDue) -> None:
        """Send a second attempt of what is out, at another server or not at all."""
        if not self._may_hedge(request, event):
            return
        busy = {attempt.endpoint.server.name for attempt in request.attempts_in_flight.values()}
        busy -= request.excluded_servers
        request.excluded_servers |= busy
        route = (
            self.forwarding.routes.pick_route(request) if self.state.now_ns < request.deadline_ns else None
        )
        request.excluded_servers -= busy
        if route is not None:
            request.hedge_count += 1
            self.forwarding.send(request, route, request.deadline_ns - self.state.now_ns)

    def _may_hedge(self, request: InFlightRequest, event: HedgeDue) -> bool:
        retry_policy = request.request.retry_policy
        if retry_policy is None or not event.retry_budget_available:
            return False
        if request.is_closed or request.response_started or not request.attempts_in_flight:
            return False
        if request.hedge_count >= retry_policy.max_hedges:
            return False
        return not self.forwarding.has_no_attempt_left(request)
