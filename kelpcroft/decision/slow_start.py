"""Slow start: how much a server that warms up may be sent.

A cold cache or parent collapses if it is sent more than a stated multiple of its present capacity for a
stated time.  Each router spends at most its own part of that, as no router sees what the others send.
"""

from __future__ import annotations

import math
from typing import Final

from kelpcroft.decision.admission import Admission
from kelpcroft.decision.endpoint import WORK_SPAN_NS, Endpoint
from kelpcroft.decision.events import Role
from kelpcroft.decision.latency_model import LatencyModel
from kelpcroft.decision.requests import InFlightRequest
from kelpcroft.decision.router_state import RouterState
from kelpcroft.decision.statistics import mix64

# What routers spend of the work that would collapse a server: their estimates of it differ
MAX_COLLAPSE_BUDGET_SHARE: Final = 0.6
# Without weights, the capacity assumed of a server over this router's load on its peers: in a jam those get
# more than they can do
UNKNOWN_CAPACITY_OVER_LOAD: Final = 0.5
# Routers take this many times the turns that a request needs: a span touches two turns, and hashes cluster
TURNS_PER_REQUEST: Final = 3


class SlowStart:
    """The budgets of servers that are not warm."""

    def __init__(self, state: RouterState, latency_model: LatencyModel, admission: Admission) -> None:
        self.state = state
        self.latency_model = latency_model
        self.admission = admission

    def has_budget(self, endpoint: Endpoint, request: InFlightRequest) -> bool:
        """Return True if a server may be sent one more request; a warm server always may.

        Trial requests and requests that a server rejected are counted as sent.
        """
        warm_fraction = endpoint.warm_fraction(self.state.now_ns, self.state.settings.rules)
        return self.has_budget_at(endpoint, request, warm_fraction)

    def has_budget_at(self, endpoint: Endpoint, request: InFlightRequest, warm_fraction: float) -> bool:
        """Return the same where the warm fraction is at hand."""
        rules = self.state.settings.rules
        sent_ns = endpoint.work_sent.sum_since(self.state.now_ns - rules.overload_collapse_ns)
        if warm_fraction >= 1:
            return True
        budget_ns = self._budget_ns(endpoint, warm_fraction)
        cost_ns = self.latency_model.budget_cost(request)
        # Two processes of one router share its turns, so neither may take one.
        if budget_ns >= cost_ns or not budget_ns or self.state.router_share < 1:
            return sent_ns + cost_ns <= budget_ns
        return not endpoint.work_sent.samples and self._has_turn(cost_ns, budget_ns)

    def _budget_ns(self, endpoint: Endpoint, warm_fraction: float) -> float:
        """Return the transfer time that this router may send within the time that collapses a server."""
        settings = self.state.settings
        rules = settings.rules
        if endpoint.server.role is Role.PARENT:
            multiple = rules.parent_overload_collapse_multiple
            routers = settings.instances
        else:
            multiple = rules.overload_collapse_multiple
            routers = settings.zone_instances
        if settings.weight_source != "off":
            capacity = endpoint.server.weight
        else:
            capacity = self.mean_peer_load(endpoint) * routers
        share = self.state.router_share * MAX_COLLAPSE_BUDGET_SHARE * multiple * warm_fraction
        by_rule_ns = share * capacity * rules.overload_collapse_ns / routers
        return max(by_rule_ns, endpoint.spare_capacity(self.state.now_ns) * rules.overload_collapse_ns)

    def _has_turn(self, cost_ns: float, budget_ns: float) -> bool:
        """Return True if it is this router's turn: budgets under one request are spent in turn, by a hash."""
        settings = self.state.settings
        turns = math.ceil(TURNS_PER_REQUEST * cost_ns / budget_ns)
        span = self.state.now_ns // settings.rules.overload_collapse_ns
        return (span + mix64(settings.router_index)) % turns == 0

    def mean_peer_load(self, endpoint: Endpoint) -> float:
        """Return this router's part of the capacity to assume of a server where the list has no weights.

        It is ``UNKNOWN_CAPACITY_OVER_LOAD`` of the transfer time per unit of time that this router sends a
        warm peer on average, and at the least this router's part of one transfer.
        """
        settings = self.state.settings
        now_ns = self.state.now_ns
        is_parent = endpoint.server.role is Role.PARENT
        peers = self.state.directory.parents if is_parent else self.state.directory.zone_caches
        routers = settings.instances if is_parent else settings.zone_instances
        span_ns = max(1, settings.rules.overload_collapse_ns)
        loads = [
            peer.work_sent.sum_since(now_ns - span_ns) / span_ns
            for peer in peers
            if peer is not endpoint and peer.warm_fraction(now_ns, settings.rules) >= 1
        ]
        if not loads and endpoint.server.role is Role.CACHE:
            # All are cold: the zone was built for what its clients ask.
            offered = self.admission.all_requests.offered_work.value_at(now_ns)
            loads = [offered / WORK_SPAN_NS / len(self.state.directory.zone_caches)]
        mean = UNKNOWN_CAPACITY_OVER_LOAD * sum(loads) / len(loads) if loads else 0.0
        return max(mean, 1 / routers)
