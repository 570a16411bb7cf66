"""Retries, rerouting, back-off and hedging: the further attempts of a request.

An attempt after an attempt that may have executed is a *retry*.  An attempt after an attempt that certainly
did not execute is a *reroute*.  A second attempt while another is in flight is a *hedge*.
"""

from __future__ import annotations

from typing import Final

from kelpcroft.decision.actions import BackOff
from kelpcroft.decision.events import AttemptEnded, FillResult, HedgeDue, Outcome, RouteRetryPolicy
from kelpcroft.decision.forwarding import Forwarding
from kelpcroft.decision.request_completion import RequestCompletion
from kelpcroft.decision.requests import Attempt, InFlightRequest
from kelpcroft.decision.router_state import RouterState

RETRY_TOKENS_PER_REQUEST: Final = 0.2  # tokens that each request adds to the retry budget (a token bucket)
MAX_RETRY_TOKENS: Final = 20.0  # capacity of the token bucket; each further attempt costs one token
# Maximum number of lost connections of a request after which it is sent to the same server again
MAX_SAME_SERVER_RESETS: Final = 2


class Retries:
    """Decides on further attempts of a request.

    Attributes:
        retry_tokens: The number of further attempts that this router's own budget currently allows.  A route
            may have a separate budget, which is kept outside the decision package.
    """

    def __init__(self, state: RouterState, forwarding: Forwarding, completion: RequestCompletion) -> None:
        self.state = state
        self.forwarding = forwarding
        self.completion = completion
        self.retry_tokens: float = MAX_RETRY_TOKENS

    def add_tokens(self) -> None:
        """Add the tokens of a new request to the retry budget."""
        self.retry_tokens = min(MAX_RETRY_TOKENS, self.retry_tokens + RETRY_TOKENS_PER_REQUEST)

    def handle_failure(self, request: InFlightRequest, attempt: Attempt, event: AttemptEnded) -> None:
        """Send another attempt after the last attempt in flight failed, or send the final response."""
        retry_policy = request.request.retry_policy
        is_past_deadline = self.state.now_ns >= request.deadline_ns
        if retry_policy and (
            (retry_policy.shortens_deadline and is_past_deadline)
            or not self._route_allows_attempt(request, retry_policy, event)
        ):
            self.completion.reject_or_fail(request)
        elif is_past_deadline:
            self.completion.fail(request)
        elif event.outcome is Outcome.RESET and request.reset_count < MAX_SAME_SERVER_RESETS:
            # The server holds the copy or is filling it; another server would have to fill it again.
            # Server selection still applies the guard against a second execution.
            request.reset_count += 1
            self._send_again(request, not event.outcome.proves_not_executed)
        else:
            self._exclude_failed(request, attempt, event)
            self._charge_and_send_again(request, event)

    def _exclude_failed(self, request: InFlightRequest, attempt: Attempt, event: AttemptEnded) -> None:
        """Exclude the server or the fill source that failed from further attempts of this request."""
        is_source_failure = event.outcome is Outcome.MISS or event.fill_result in (
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
        has_fill_source = attempt.has_fill_source()
        source_name = attempt.fill_source.server.name
        if has_fill_source and (is_source_failure or not is_cause_known):
            request.excluded_sources.add(source_name)
            has_no_copy = event.fill_result is FillResult.SOURCE_LACKS or event.outcome is Outcome.MISS
            if request.history is not None and has_no_copy:
                request.history.known_copies.pop(source_name, None)
        if not (has_fill_source and is_source_failure):
            request.excluded_servers.add(attempt.endpoint.server.name)

    def _charge_and_send_again(self, request: InFlightRequest, event: AttemptEnded) -> None:
        """Charge the next attempt to the retry budget and send it.

        An attempt after a miss is free, as is an attempt of a route that has its own budget.
        """
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

    def _route_allows_attempt(
        self, request: InFlightRequest, retry_policy: RouteRetryPolicy, event: AttemptEnded
    ) -> bool:
        """Return True if the route allows another attempt after this end."""
        if event.outcome.proves_not_executed:
            return retry_policy.max_reroutes < 0 or request.reroute_count < retry_policy.max_reroutes
        is_below_max_attempts = (
            not retry_policy.max_attempts or request.retry_count + 1 < retry_policy.max_attempts
        )
        is_retryable = retry_policy.retry_on is None or event.outcome in retry_policy.retry_on
        is_within_budget = event.retry_budget_available or not retry_policy.has_retry_budget
        return is_below_max_attempts and is_retryable and is_within_budget

    def _send_again(self, request: InFlightRequest, may_have_executed: bool) -> None:
        """Send the next attempt, after the route's back-off if the last attempt may have executed."""
        if not may_have_executed:
            request.reroute_count += 1
            self.forwarding.send_next_attempt(request)
            return
        request.retry_count += 1
        retry_at_ns = self.state.now_ns + self._backoff_ns(request)
        if retry_at_ns == self.state.now_ns:
            self.forwarding.send_next_attempt(request)
        elif retry_at_ns >= request.deadline_ns:
            self.completion.reject_or_fail(request)  # immediately: the back-off would end after the deadline
        else:
            self.state.actions.append(BackOff(request.request.id, retry_at_ns))

    def _backoff_ns(self, request: InFlightRequest) -> int:
        """Return the route's delay before a retry; its last delay applies to all further retries."""
        retry_policy = request.request.retry_policy
        if retry_policy is None or not retry_policy.backoff_ns:
            return 0
        delay_count = len(retry_policy.backoff_ns)
        return retry_policy.backoff_ns[min(request.retry_count, delay_count) - 1]

    def hedge(self, request: InFlightRequest, event: HedgeDue) -> None:
        """Send a second attempt of a request in flight, if another server is available for it."""
        if not self._may_hedge(request, event):
            return
        in_flight_servers = {attempt.endpoint.server.name for attempt in request.attempts_in_flight.values()}
        in_flight_servers -= request.excluded_servers
        request.excluded_servers |= in_flight_servers
        servers = (
            self.forwarding.server_selection.select_servers(request)
            if self.state.now_ns < request.deadline_ns
            else None
        )
        request.excluded_servers -= in_flight_servers
        if servers is not None:
            request.hedge_count += 1
            self.forwarding.send(request, servers, request.deadline_ns - self.state.now_ns)

    def _may_hedge(self, request: InFlightRequest, event: HedgeDue) -> bool:
        retry_policy = request.request.retry_policy
        if retry_policy is None or not event.retry_budget_available:
            return False
        if request.is_closed or request.response_started or not request.attempts_in_flight:
            return False
        if request.hedge_count >= retry_policy.max_hedges:
            return False
        return not self.forwarding.has_used_all_attempts(request)
