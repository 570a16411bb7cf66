"""Feedback from attempts: what their end or their silence shows about cache, fill source and object."""

from __future__ import annotations

import math
from typing import Final

from kelpcroft.decision.admission import Admission
from kelpcroft.decision.endpoint import Endpoint
from kelpcroft.decision.events import AttemptEnded, FillResult, Outcome, Role
from kelpcroft.decision.latency_model import LatencyModel
from kelpcroft.decision.outlier_ejection import OutlierEjection
from kelpcroft.decision.outlier_state import EJECTION_FAILURE_SCORE
from kelpcroft.decision.requests import Attempt, InFlightRequest
from kelpcroft.decision.router_state import RouterState
from kelpcroft.decision.units import MS

AT_CAPACITY_PAUSE_NS: Final = 200 * MS  # how long a cache that rejected a request ranks last
# A cache that reports a smaller share of hits has just started, even if the endpoint list does not show it
MIN_WARM_HIT_SHARE: Final = 0.02
MAX_PLAUSIBLE_LOAD: Final = 1e4  # a higher value in a load report is invalid and ignored


class AttemptFeedback:
    """Passes the results of attempts to the latency model, admission control and outlier ejection."""

    def __init__(
        self, state: RouterState, latency_model: LatencyModel, admission: Admission, ejection: OutlierEjection
    ) -> None:
        self.state = state
        self.latency_model = latency_model
        self.admission = admission
        self.ejection = ejection

    def record_end(self, request: InFlightRequest, attempt: Attempt, event: AttemptEnded) -> None:
        """Record the end of an attempt.

        The order matters: each step before ``_record_success`` compares the attempt with the expected times
        as they were before this end; ``_record_success`` then updates the object's own times.
        """
        if request.expects_fill and (
            event.fill_result is not FillResult.NONE or event.outcome is Outcome.MISS
        ):
            self.admission.record_fill_expectation(event.fill_result is not FillResult.HIT)
        if event.load_report and attempt.endpoint.server.role is Role.CACHE:
            self.record_load_report(attempt.endpoint, event.load_report)
        self._record_timeliness(request, attempt, event)
        self._record_failed_fill(request, attempt, event)
        self._record_latency(request, attempt, event)
        if event.outcome is Outcome.FULL and event.fill_result in (
            FillResult.NONE,
            FillResult.NO_FILL_PLACE,
        ):
            attempt.endpoint.at_capacity_until_ns = self.state.now_ns + AT_CAPACITY_PAUSE_NS
        if event.outcome is Outcome.OK:
            self._record_success(request, attempt, event)
            return
        if event.outcome is Outcome.MISS:
            self.ejection.record_success(attempt.endpoint)
        self.ejection.attribute_failure(attempt, event)

    def _record_timeliness(self, request: InFlightRequest, attempt: Attempt, event: AttemptEnded) -> None:
        """Report to admission control whether the request was late; a server at capacity counts as late."""
        if event.outcome not in (Outcome.OK, Outcome.FULL) or attempt.is_trial:
            return
        if event.fill_result is FillResult.NONE:
            was_fill = request.expects_fill
        else:
            was_fill = event.fill_result is not FillResult.HIT
        is_late = event.outcome is Outcome.FULL or self.latency_model.is_late(request)
        self.admission.record_timeliness(request, is_late, was_fill)

    def _record_failed_fill(self, request: InFlightRequest, attempt: Attempt, event: AttemptEnded) -> None:
        """Record a failed fill as a slow one, for the server that fills."""
        filling_endpoint = attempt.filling_endpoint()
        if event.outcome in (Outcome.TIMEOUT, Outcome.CANCELLED):
            self.record_overdue_response(request, attempt)
        elif (
            self.ejection.is_unreported_source_failure(attempt, event)
            or event.fill_result in (FillResult.SOURCE_BROKE, FillResult.SOURCE_REFUSED)
            or (filling_endpoint is attempt.endpoint and event.outcome in (Outcome.ERROR, Outcome.FULL))
        ):
            # A failed fill counts as one whose time to first byte is the latency objective, even if it failed
            # sooner.
            filling_endpoint.record_first_byte(
                self.state.now_ns, self.latency_model.latency_objective_ns(request)
            )

    def _record_latency(self, request: InFlightRequest, attempt: Attempt, event: AttemptEnded) -> None:
        """Record the latency for the class, and for the server if the object's own transfer time is known."""
        if event.outcome not in (Outcome.OK, Outcome.TIMEOUT):
            return
        slowdown = self.latency_model.record_latency(request, event.elapsed_ns)
        if self.latency_model.has_own_transfer_time(request):
            attempt.endpoint.slowdown.add(slowdown)

    def _record_success(self, request: InFlightRequest, attempt: Attempt, event: AttemptEnded) -> None:
        """Record a successful response: the server is available and now holds the object."""
        now_ns = self.state.now_ns
        endpoint = attempt.endpoint
        self.ejection.record_success(endpoint)
        transfer_ns = self.latency_model.expected_transfer_ns(request)
        endpoint.work_completed.add(now_ns, transfer_ns)
        if self.latency_model.has_known_size(request):
            self.latency_model.record_known_transfer(request, transfer_ns)
        elif event.fill_result in (FillResult.NONE, FillResult.HIT):
            self.latency_model.record_measured_transfer(request, event.elapsed_ns)
        history = request.history
        if history is not None:
            min_response_ns = min(history.min_response_ns or event.elapsed_ns, event.elapsed_ns)
            history.min_response_ns = min_response_ns
            history.known_copies[endpoint.server.name] = now_ns
        if event.fill_result is FillResult.HIT:
            endpoint.last_hit_sent_ns = max(endpoint.last_hit_sent_ns, attempt.sent_ns)
        if attempt.has_fill_source() and event.fill_result in (
            FillResult.FILLED,
            FillResult.FILLED_FROM_ORIGIN,
            FillResult.JOINED,
        ):
            self._record_fill(request, attempt, event, transfer_ns)

    def _record_fill(
        self, request: InFlightRequest, attempt: Attempt, event: AttemptEnded, transfer_ns: float
    ) -> None:
        """Record a successful fill: the fill source is available, and its time to first byte."""
        self.ejection.record_success(attempt.fill_source)
        if event.fill_result is FillResult.FILLED_FROM_ORIGIN:
            for origin in self.state.directory.origins:
                self.ejection.record_success(origin)
        # The delay of the transfer by a congested link counts too, not only the time to first byte.
        # Otherwise a parent that responds to a few requests quickly would keep its rank.
        wait_ns = max(event.first_byte_ns, event.elapsed_ns - transfer_ns)
        attempt.filling_endpoint().record_first_byte(self.state.now_ns, wait_ns)
        slack_ns = self.latency_model.latency_objective_ns(request) - transfer_ns
        self.admission.fills.record_source_wait(self.state.now_ns, wait_ns / max(MS, slack_ns))

    def record_overdue_response(self, request: InFlightRequest, attempt: Attempt) -> None:
        """Record an overdue response as a slow fill, before the attempt ends.

        The time beyond the expected transfer time counts as time to first byte of the parent or origin that
        fills, if it is above that server's mean.
        """
        filling_endpoint = attempt.filling_endpoint()
        overdue_ns = self.state.now_ns - attempt.sent_ns - self.latency_model.expected_transfer_ns(request)
        if overdue_ns <= 0 or filling_endpoint.server.role is Role.CACHE:
            return
        if math.log(overdue_ns) > filling_endpoint.log_first_byte_ns.mean:
            filling_endpoint.record_first_byte(self.state.now_ns, overdue_ns)

    def check_attempts_in_flight(self, request: InFlightRequest) -> None:
        """Check a request's attempts in flight for silence and lateness, without waiting for their end."""
        attempts = request.attempts_in_flight
        for attempt in attempts.values():
            # One attempt that is silent well beyond the usual time ejects a server.  The attempt is not
            # cancelled.
            if self._is_silent(request, attempt):
                self.ejection.record_unattributed_failure(attempt, EJECTION_FAILURE_SCORE)
        expected_ns = self.latency_model.expected_transfer_ns(request)
        # The cache has since served a hit that was requested much later than this attempt, so the attempt
        # waits for its fill source and not for the cache.
        awaiting_fill = [
            attempt
            for attempt in attempts.values()
            if attempt.sent_ns + expected_ns < attempt.endpoint.last_hit_sent_ns
        ]
        for attempt in awaiting_fill:
            attempt.endpoint.requests_awaiting_fill += 1
        if request.is_closed or request.response_started or not self.latency_model.is_late(request):
            return
        if not request.timeliness_recorded:
            for attempt in attempts.values():
                self.record_overdue_response(request, attempt)
        self.admission.record_timeliness(request, True, request.expects_fill or len(awaiting_fill) > 0)

    def _is_silent(self, request: InFlightRequest, attempt: Attempt) -> bool:
        if request.response_started or attempt.is_trial:
            return False
        return self.state.now_ns - attempt.sent_ns > self.latency_model.expected_latency_ns(request)

    def record_load_report(self, endpoint: Endpoint, report: dict[str, float]) -> None:
        """Record a cache's load report.

        The report covers the requests of all routers.  The responses to one router are too few to estimate a
        cache's load.

        Args:
            endpoint: The cache.
            report: ``utilization``, ``x0`` (share of hits) and ``x1`` (load of the cache's link), each of
                which may be absent.
        """
        utilization = report.get("utilization", endpoint.utilization)
        if utilization != endpoint.utilization and 0 <= utilization < MAX_PLAUSIBLE_LOAD:
            endpoint.utilization = utilization
            endpoint.mean_utilization.add(utilization)
        link_load = report.get("x1", -1.0)
        if 0 <= link_load < MAX_PLAUSIBLE_LOAD:
            self.admission.fills.link_load.record(self.state.now_ns, link_load)
        hit_share = report.get("x0", 1.0)
        age_ns = self.state.now_ns - endpoint.started_ns
        if 0 <= hit_share < MIN_WARM_HIT_SHARE and age_ns > self.state.settings.rules.warm_up_ns:
            endpoint.started_ns = self.state.now_ns  # count as started now, whatever the endpoint list shows
