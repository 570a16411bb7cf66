"""Forwarding: sends the next attempt of a request."""

from __future__ import annotations

from typing import Final

from kelpcroft.decision.actions import ForwardRequest, RetentionRank
from kelpcroft.decision.endpoint import Endpoint
from kelpcroft.decision.events import Role
from kelpcroft.decision.freshness import Freshness
from kelpcroft.decision.latency_model import LatencyModel
from kelpcroft.decision.outlier_ejection import OutlierEjection
from kelpcroft.decision.request_completion import RequestCompletion
from kelpcroft.decision.requests import Attempt, InFlightRequest
from kelpcroft.decision.route_selection import AttemptServers, ServerSelection
from kelpcroft.decision.router_state import RouterState

REUSED_REQUEST_COUNT: Final = 1.5  # number of recent requests at which an object's copy is kept longer
HOT_REQUEST_COUNT: Final = 4.0  # number of recent requests at which an object's copy is kept longest


class Forwarding:
    """Sends the attempts of requests."""

    def __init__(
        self,
        state: RouterState,
        latency_model: LatencyModel,
        ejection: OutlierEjection,
        freshness: Freshness,
        server_selection: ServerSelection,
        completion: RequestCompletion,
    ) -> None:
        self.state = state
        self.latency_model = latency_model
        self.ejection = ejection
        self.freshness = freshness
        self.server_selection = server_selection
        self.completion = completion

    def send_next_attempt(self, request: InFlightRequest) -> None:
        """Send the next attempt of a request, or end the request if no further attempt is possible."""
        remaining_ns = request.deadline_ns - self.state.now_ns
        servers = None
        if remaining_ns > 0 and not self.has_used_all_attempts(request):
            servers = self.server_selection.select_servers(request)
        if servers is None:
            self.completion.reject_or_fail(request)
        else:
            self.send(request, servers, remaining_ns)

    def has_used_all_attempts(self, request: InFlightRequest) -> bool:
        """Return True if a request has used all its attempts; the lower of old and new limit applies."""
        return request.attempts_sent >= min(request.max_attempts, self.state.settings.limits.max_attempts)

    def send(self, request: InFlightRequest, servers: AttemptServers, remaining_ns: int) -> None:
        """Send one attempt, and charge it to the budgets of its servers."""
        endpoint = servers.endpoint
        source = servers.fill_source
        is_trial = endpoint.is_ejected or source.is_ejected
        self._charge_budgets(request, endpoint, source)
        number = request.attempts_sent
        request.attempts_in_flight[number] = Attempt(endpoint, source, self.state.now_ns, is_trial)
        endpoint.requests_in_flight += 1
        rank = self._retention_rank(request)
        is_sibling = source.server.role is Role.CACHE and source is not endpoint
        cached_only = self._must_skip_origin(request, source) or is_sibling
        request.attempts_sent = number + 1
        self.state.actions.append(
            ForwardRequest(
                request.request.id,
                endpoint.server.name,
                self.latency_model.attempt_timeout_ns(request, is_trial, remaining_ns),
                source.server.name,
                max_age_ns=self.freshness.max_age_ns(request),
                retention_rank=rank,
                coalesce=self.state.settings.coalesces_fills,
                cached_only=cached_only,
                refresh_in_background=request.request_class.freshness_lifetime_ns > 0
                and rank > RetentionRank.ONCE,
            )
        )

    def _charge_budgets(self, request: InFlightRequest, endpoint: Endpoint, source: Endpoint) -> None:
        charged_endpoints = [endpoint] if source is endpoint else [endpoint, source]
        for charged in charged_endpoints:
            if charged.is_ejected:
                charged.outlier_state.record_trial(self.state.now_ns)
            if charged.server.role is not Role.ORIGIN:
                charged.work_sent.add(self.state.now_ns, self.latency_model.budget_cost(request))
        if source.server.role is Role.PARENT:
            source.fills_requested += 1

    def _retention_rank(self, request: InFlightRequest) -> RetentionRank:
        """Return how long the cache should keep the copy, by the object's recent requests and size."""
        if request.request_class.uncacheable:
            return RetentionRank.DO_NOT_KEEP
        request_count = self._scaled_request_count(request)
        if request_count >= HOT_REQUEST_COUNT:
            return RetentionRank.HOT
        if request_count >= REUSED_REQUEST_COUNT:
            return RetentionRank.REUSED
        return RetentionRank.ONCE

    def _scaled_request_count(self, request: InFlightRequest) -> float:
        """Return the object's recent request count, scaled by the mean size over the object's size."""
        if request.history is None:
            return 0.0
        size_factor = 1.0
        if self.latency_model.has_known_size(request):
            mean_ns = self.latency_model.transfer_time[request.request_class.name].mean
            size_factor = mean_ns / self.latency_model.expected_transfer_ns(request)
        return request.history.request_count * size_factor

    def _must_skip_origin(self, request: InFlightRequest, source: Endpoint) -> bool:
        """Return True if a parent should send only a copy that it holds, as the origin behind it is ejected.

        A request that may be a trial of that origin is not restricted, and is recorded as its trial.
        """
        origin = self.ejection.ejected_origin()
        if origin is None or source.server.role is not Role.PARENT or request.request_class.uncacheable:
            return False
        if self.ejection.is_trial_due(request, origin):
            origin.outlier_state.record_trial(self.state.now_ns)
            return False
        return True
