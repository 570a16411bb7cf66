"""Request completion: final responses, and cancellation of the remaining attempts."""

from __future__ import annotations

from kelpcroft.decision.actions import Cancel, Fail, Reject
from kelpcroft.decision.requests import InFlightRequest
from kelpcroft.decision.router_state import RouterState
from kelpcroft.decision.settings import Idempotency

NO_ATTEMPT = -1  # value of ``except_number`` that matches no attempt, so that all attempts are cancelled


class RequestCompletion:
    """Ends requests: each receives one final response, and its attempts are tracked until they end."""

    def __init__(self, state: RouterState) -> None:
        self.state = state

    def close(self, request: InFlightRequest) -> None:
        """Close a request that has its final response.

        Its attempts in flight are cancelled; the request is removed once the last of them has ended.
        """
        request.is_closed = True
        self.cancel_attempts(request, NO_ATTEMPT)
        if not request.attempts_in_flight:
            self.state.requests_in_flight.pop(request.request.id, None)

    def cancel_attempts(self, request: InFlightRequest, except_number: int) -> None:
        """Cancel all attempts of a request in flight but one, if the deployment allows cancellation."""
        if not self.state.settings.limits.may_cancel:
            return
        for number in request.attempts_in_flight:
            if number != except_number:
                self.state.actions.append(Cancel(request.request.id, number))

    def fail(self, request: InFlightRequest) -> None:
        """Send the final response "failed"; the request may or may not have been executed."""
        self.state.actions.append(Fail(request.request.id))
        self.close(request)

    def reject_or_fail(self, request: InFlightRequest) -> None:
        """Send the final response of a request without further attempts: a rejection if a retry is safe."""
        if self._is_client_retry_safe(request):
            self.state.actions.append(Reject(request.request.id, self._retry_after_ns(request)))
            self.close(request)
        else:
            self.fail(request)

    def _is_client_retry_safe(self, request: InFlightRequest) -> bool:
        """Return True if a retry by the client is safe."""
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
        """Return the delay before a retry that the rejection states; 0 for none."""
        retry_policy = request.request.retry_policy
        limits = self.state.settings.limits
        if retry_policy is None or not limits.may_send_retry_after:
            return 0
        return min(retry_policy.retry_after_ns, limits.max_retry_after_ns)
