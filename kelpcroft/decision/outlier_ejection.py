"""Outlier ejection: who is to blame for a failure, and trial requests for those that are ejected.

The evidence of one server is kept in its ``OutlierState``.  An answer that failed may be the fault of the
cache that was asked, of the server it filled from, or of the origin behind that; where the answer does not
tell, a server that has answered since the attempt was sent is not to blame.
"""

from __future__ import annotations

from typing import Final

from kelpcroft.decision.actions import Log
from kelpcroft.decision.endpoint import ENDPOINT_GAIN, Endpoint
from kelpcroft.decision.events import AttemptEnded, FillResult, Outcome, Role
from kelpcroft.decision.outlier_state import EJECTION_FAILURE_SCORE
from kelpcroft.decision.requests import Attempt, InFlightRequest
from kelpcroft.decision.router_state import RouterState
from kelpcroft.decision.settings import Idempotency
from kelpcroft.decision.statistics import MeanDeviation

# An error that blames nobody: the server lives, the request may be at fault
UNATTRIBUTED_ERROR_SCORE: Final = 0.3
FAILURE_SCORE: Final = 1  # one failure that its server is to blame for


class OutlierEjection:
    """Ejects servers that fail, and takes them back when a trial request succeeds."""

    def __init__(self, state: RouterState) -> None:
        self.state = state

    def is_trial_due(self, request: InFlightRequest, endpoint: Endpoint) -> bool:
        """Return True if an ejected server may be tried with this request: a safe one, not tried before."""
        is_safe = request.request_class.idempotency is Idempotency.SAFE
        has_no_attempt = request.attempts_sent == 0
        return is_safe and has_no_attempt and self.state.now_ns >= endpoint.outlier_state.next_trial_ns

    def ejected_origin(self) -> Endpoint | None:
        """Return the first origin that is ejected, if any."""
        return next((origin for origin in self.state.directory.origins if origin.is_ejected), None)

    def record_success(self, endpoint: Endpoint) -> None:
        """Record an answer of a server; an ejected one is back.

        If its process was lost, it is cold until shown otherwise, though the list does not show a start
        yet.
        """
        if not endpoint.outlier_state.record_success(self.state.now_ns):
            return
        self.state.actions.append(Log(f"endpoint restored: {_label(endpoint)}"))
        if endpoint.outlier_state.process_stopped:
            endpoint.record_restart(self.state.now_ns)
            endpoint.slowdown = MeanDeviation(1.0, ENDPOINT_GAIN)
            self.state.histories.drop_known_copies(endpoint.server.name)

    def record_failure(self, endpoint: Endpoint, weight: float, process_stopped: bool) -> None:
        """Record a failure that a server is to blame for, which may eject it."""
        if endpoint.outlier_state.record_failure(self.state.now_ns, weight, process_stopped):
            self.state.actions.append(Log(f"endpoint ejected, trial requests only: {_label(endpoint)}"))

    def record_unattributed_failure(self, attempt: Attempt, weight: int) -> None:
        """Record a failure without a cause: a server that has answered since is not to blame."""
        suspect = attempt.endpoint
        if suspect.outlier_state.last_success_ns > attempt.sent_ns:
            suspect = attempt.fill_source
        was_silent = suspect.outlier_state.last_success_ns <= attempt.sent_ns
        if was_silent and suspect.server.role is not Role.ORIGIN:
            self.record_failure(suspect, weight, False)

    def attribute_failure(self, attempt: Attempt, event: AttemptEnded) -> None:
        """Record the failure of an attempt against the server that is to blame, if any can be."""
        if event.outcome in (Outcome.MISS, Outcome.CANCELLED, Outcome.MOOT, Outcome.RESET):
            return  # a lost connection is no lost server: whether one is there, the next connection tells
        source = attempt.fill_source
        is_unreported = self.is_unreported_source_failure(attempt, event)
        if event.outcome is Outcome.CONNECT_FAILED:
            self.record_failure(attempt.endpoint, EJECTION_FAILURE_SCORE, True)
        elif event.fill_result is FillResult.ORIGIN_FAILED or (
            source.server.role is Role.ORIGIN
            and (is_unreported or event.fill_result is FillResult.SOURCE_REFUSED)
        ):
            for origin in self.state.directory.origins:
                self.record_failure(origin, FAILURE_SCORE, False)
        elif event.fill_result is FillResult.SOURCE_BROKE or (
            is_unreported and self._took_connect_timeout(event)
        ):
            # One that was not reached is lost; one that broke off may have met a fill's time limit in a jam.
            weight = EJECTION_FAILURE_SCORE if event.outcome is Outcome.FULL else FAILURE_SCORE
            self.record_failure(source, weight, True)
        elif event.fill_result is FillResult.NONE and event.outcome is Outcome.ERROR:
            self.record_failure(attempt.endpoint, UNATTRIBUTED_ERROR_SCORE, False)
        elif event.fill_result is FillResult.NONE and event.outcome is not Outcome.FULL:
            self.record_unattributed_failure(attempt, FAILURE_SCORE)

    def is_unreported_source_failure(self, attempt: Attempt, event: AttemptEnded) -> bool:
        """Return True if a fill source failed, though answers do not tell it: the cache has answered."""
        return (
            attempt.is_filled()
            and self.state.settings.notes != "all"
            and event.outcome is Outcome.FULL
            and event.fill_result is FillResult.NONE
        )

    def _took_connect_timeout(self, event: AttemptEnded) -> bool:
        return 0 < self.state.settings.limits.connect_timeout_ns <= event.elapsed_ns


def _label(endpoint: Endpoint) -> str:
    """Return what a log line calls a server."""
    return f"{endpoint.server.role.value} {endpoint.server.name}"
