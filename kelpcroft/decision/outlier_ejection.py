"""Outlier ejection: attribution of failures to servers, and trial requests for ejected servers.

The failures of each server are counted in its ``OutlierState``.  A failed attempt may have been caused by the
cache that received it, by the fill source of that cache, or by the origin behind the fill source.  If the
response does not report the cause, the failure is not attributed to a server that has succeeded since the
attempt was sent.
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

# Weight of an error without a reported cause: the server has responded, and the request may be the cause
UNATTRIBUTED_ERROR_SCORE: Final = 0.3
FAILURE_SCORE: Final = 1  # weight of one failure that is attributed to a server


class OutlierEjection:
    """Ejects servers that fail, and restores them when a trial request succeeds."""

    def __init__(self, state: RouterState) -> None:
        self.state = state

    def is_trial_due(self, request: InFlightRequest, endpoint: Endpoint) -> bool:
        """Return True if a trial of an ejected server is due and the request is safe and unsent."""
        is_safe = request.request_class.idempotency is Idempotency.SAFE
        has_no_attempt = request.attempts_sent == 0
        return is_safe and has_no_attempt and self.state.now_ns >= endpoint.outlier_state.next_trial_ns

    def ejected_origin(self) -> Endpoint | None:
        """Return the first ejected origin, if there is one."""
        return next((origin for origin in self.state.directory.origins if origin.is_ejected), None)

    def record_success(self, endpoint: Endpoint) -> None:
        """Record a success of a server, which restores an ejected server.

        If its process had stopped, the server counts as started now and therefore cold, even if the endpoint
        list does not show the start yet.
        """
        if not endpoint.outlier_state.record_success(self.state.now_ns):
            return
        self.state.actions.append(Log(f"endpoint restored: {_label(endpoint)}"))
        if endpoint.outlier_state.process_stopped:
            endpoint.record_restart(self.state.now_ns)
            endpoint.slowdown = MeanDeviation(1.0, ENDPOINT_GAIN)
            self.state.histories.drop_known_copies(endpoint.server.name)

    def record_failure(self, endpoint: Endpoint, weight: float, process_stopped: bool) -> None:
        """Record a failure that is attributed to a server, which may eject the server."""
        if endpoint.outlier_state.record_failure(self.state.now_ns, weight, process_stopped):
            self.state.actions.append(Log(f"endpoint ejected, trial requests only: {_label(endpoint)}"))

    def record_unattributed_failure(self, attempt: Attempt, weight: int) -> None:
        """Record a failure without a reported cause.

        The failure is attributed to the server of the attempt, or to the fill source if that server has
        succeeded since the attempt was sent.  If both have, or if the suspect is the origin, nothing is
        recorded.
        """
        suspect = attempt.endpoint
        if suspect.outlier_state.last_success_ns > attempt.sent_ns:
            suspect = attempt.fill_source
        was_silent = suspect.outlier_state.last_success_ns <= attempt.sent_ns
        if was_silent and suspect.server.role is not Role.ORIGIN:
            self.record_failure(suspect, weight, False)

    def attribute_failure(self, attempt: Attempt, event: AttemptEnded) -> None:
        """Record the failure of an attempt for the server that caused it, if that can be determined."""
        if event.outcome in (Outcome.MISS, Outcome.CANCELLED, Outcome.MOOT, Outcome.RESET):
            return  # after a lost connection, the next connect shows whether the server is available
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
            is_unreported and self._reached_connect_timeout(event)
        ):
            # Outcome FULL: the cache could not reach the source, so the source has stopped.  Any other
            # outcome: the transfer broke off, which may only be the time limit of a fill under overload.
            weight = EJECTION_FAILURE_SCORE if event.outcome is Outcome.FULL else FAILURE_SCORE
            self.record_failure(source, weight, True)
        elif event.fill_result is FillResult.NONE and event.outcome is Outcome.ERROR:
            self.record_failure(attempt.endpoint, UNATTRIBUTED_ERROR_SCORE, False)
        elif event.fill_result is FillResult.NONE and event.outcome is not Outcome.FULL:
            self.record_unattributed_failure(attempt, FAILURE_SCORE)

    def is_unreported_source_failure(self, attempt: Attempt, event: AttemptEnded) -> bool:
        """Return True if the cache responded that a fill failed, in a deployment that reports no causes."""
        return (
            attempt.has_fill_source()
            and self.state.settings.notes != "all"
            and event.outcome is Outcome.FULL
            and event.fill_result is FillResult.NONE
        )

    def _reached_connect_timeout(self, event: AttemptEnded) -> bool:
        return 0 < self.state.settings.limits.connect_timeout_ns <= event.elapsed_ns


def _label(endpoint: Endpoint) -> str:
    """Return the label of a server in log lines."""
    return f"{endpoint.server.role.value} {endpoint.server.name}"
