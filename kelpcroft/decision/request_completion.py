"""Final answers, and the end of a request's attempts."""

from __future__ import annotations

from kelpcroft.decision.actions import Cancel, Fail, Reject
from kelpcroft.decision.requests import InFlightRequest
from kelpcroft.decision.router_state import RouterState
from kelpcroft.decision.settings import Idempotency

EVERY_ATTEMPT = -1  # no attempt has this number


class RequestCompletion:
    """Ends requests: each gets one final answer, and no attempt of it is left behind."""

    def __init__(self, state: RouterState) -> None:
        self.state = state

    def close(self, request: InFlightRequest) -> None:
        """End a request that has its answer: attempts in flight are cancelled, and forgotten at their end."""
        request.is_closed = True
        self.cancel_attempts(request, EVERY_ATTEMPT)
        if not request.attempts_in_flight:
            self.state.requests_in_flight.pop(request.request.id, None)

    def cancel_attempts(self, request: InFlightRequest, except_number: int) -> None:
        """Cancel all attempts of a request that are out but one, where the deployment allows it."""
        if not self.state.settings.limits.may_cancel:
            return
        for number in request.attempts_in_flight:
            if number != except_number:
                self.state.actions.append(Cancel(request.request.id, number))

    def fail(self, request: InFlightRequest) -> None:
        """Answer that a request has failed, whatever became of it."""
        self.state.actions.append(Fail(request.request.id))
        self.close(request)

    def reject_or_fail(self, request: InFlightRequest) -> None:
        """Answer where nothing more can be tried: with a rejection, if a client's retry does no harm."""
        if self._may_invite_retry(request):
            self.state.actions.append(Reject(request.request.id, self._retry_after_ns(request)))
            self.close(request)
        else:
            self.fail(request)

    def _may_invite_retry(self, request: InFlightRequest) -> bool:
        """Return True if the client's own retry can do no harm."""
        request_class = request.request_class
        may_have_executed = (
            request.possible_execution is not None
            or len(request.attempts_in_flight) > 0
            or request.request.prior_attempt_unknown
        )
        if request_class.idempotency is Idempotency.SAFE or not may_have_executed:
            return True
        return request_class.idempotency is Idempotency.KEYED and request_class.dedup_scope == "all"

    def _retry_after_ns(self, request: InFlightRequest) -> int:
        """Return how long the client is asked to wait before a retry; 0 to ask nothing."""
        retry_policy = request.request.retry_policy
        limits = self.state.settings.limits
        if retry_policy is None or not limits.may_send_retry_after:
            return 0
        return min(retry_policy.retry_after_ns, limits.max_retry_after_ns)
