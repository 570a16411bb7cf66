"""Idempotency: whether another attempt of a request is safe."""

from __future__ import annotations

from kelpcroft.decision.endpoint import Endpoint
from kelpcroft.decision.events import PossibleExecution
from kelpcroft.decision.requests import InFlightRequest
from kelpcroft.decision.router_state import RouterState
from kelpcroft.decision.settings import Idempotency


class IdempotencyGuard:
    """Prevents repeated executions of a request that its class does not allow."""

    def __init__(self, state: RouterState) -> None:
        self.state = state

    def may_send(self, request: InFlightRequest, endpoint: Endpoint) -> bool:
        """Return True if an attempt at this server is safe in addition to the earlier attempts.

        A safe request may always be sent again.  A keyed request may be sent again within its deduplication
        window to the servers that drop repeats of its key.  An unsafe request may be sent again only while no
        attempt may have executed.
        """
        request_class = request.request_class
        is_safe = request_class.idempotency is Idempotency.SAFE
        if request.attempts_in_flight and not (self.state.settings.limits.may_hedge and is_safe):
            return False
        executed = request.possible_execution
        if is_safe or executed is None:
            return True
        if request_class.idempotency is Idempotency.UNSAFE or request.request.prior_attempt_unknown:
            return False
        arrives_ns = self.state.now_ns + self.state.settings.clock_tick_ns
        if arrives_ns >= executed.sent_ns + request_class.dedup_window_ns:
            return False
        return _drops_repeats(request_class.dedup_scope, endpoint, executed)


def _drops_repeats(dedup_scope: str, endpoint: Endpoint, executed: PossibleExecution) -> bool:
    """Return True if a server drops repeats of a request that may have executed in that zone and cell."""
    if dedup_scope == "all":
        return True
    if dedup_scope == "zone":
        return endpoint.server.zone == executed.zone
    return endpoint.server.cell == executed.cell
