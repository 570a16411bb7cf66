"""Slow start: limits the work that is sent to a server while it warms up.

A cold cache or parent collapses if it receives more than ``overload_collapse_multiple`` times its current
capacity for ``overload_collapse_ns``.  Each router sends at most its own share of that, because no router
can observe the requests of the others.
"""

from __future__ import annotations

import math
from typing import Final

from kelpcroft.decision.admission import Admission
from kelpcroft.decision.endpoint import WORK_TIME_CONSTANT_NS, Endpoint
from kelpcroft.decision.events import Role
from kelpcroft.decision.latency_model import LatencyModel
from kelpcroft.decision.requests import InFlightRequest
from kelpcroft.decision.router_state import RouterState
from kelpcroft.decision.statistics import mix64

# All routers together may send a server this share of the work under which it would collapse.  The rest is a
# margin, because the routers' estimates of that work differ
MAX_COLLAPSE_BUDGET_SHARE: Final = 0.6
# Capacity assumed for a server without a weight, as a share of this router's load on the server's peers:
# under overload, peers receive more than they have capacity for
ASSUMED_CAPACITY_OVER_LOAD: Final = 0.5
# Intervals per cycle of turns, as a multiple of a request's cost over the router's budget: any window of
# overload_collapse_ns overlaps two turns, and the hashes of router numbers cluster
TURNS_PER_REQUEST: Final = 3


class SlowStart:
    """Budgets for servers that are not warm."""

    def __init__(self, state: RouterState, latency_model: LatencyModel, admission: Admission) -> None:
        self.state = state
        self.latency_model = latency_model
        self.admission = admission

    def has_budget(self, endpoint: Endpoint, request: InFlightRequest) -> bool:
        """Return True if one more request may be sent to a server; for a warm server this is always True.

        Trial requests and requests that the server rejected count as sent.
        """
        warm_fraction = endpoint.warm_fraction(self.state.now_ns, self.state.settings.rules)
        return self.has_budget_at(endpoint, request, warm_fraction)

    def has_budget_at(self, endpoint: Endpoint, request: InFlightRequest, warm_fraction: float) -> bool:
        """Return ``has_budget`` for a warm fraction that the caller has already computed."""
        rules = self.state.settings.rules
        work_sent_ns = endpoint.work_sent.sum_since(self.state.now_ns - rules.overload_collapse_ns)
        if warm_fraction >= 1:
            return True
        budget_ns = self._budget_ns(endpoint, warm_fraction)
        cost_ns = self.latency_model.budget_cost(request)
        # Two processes of the same router have the same turns, so neither of them may use a turn.
        if budget_ns >= cost_ns or not budget_ns or self.state.router_share < 1:
            return work_sent_ns + cost_ns <= budget_ns
        return not endpoint.work_sent.samples and self._has_turn(cost_ns, budget_ns)

    def _budget_ns(self, endpoint: Endpoint, warm_fraction: float) -> float:
        """Return the transfer time that this router may send to a server per ``overload_collapse_ns``."""
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
            capacity = self.assumed_capacity_share(endpoint) * routers
        share = self.state.router_share * MAX_COLLAPSE_BUDGET_SHARE * multiple * warm_fraction
        rule_budget_ns = share * capacity * rules.overload_collapse_ns / routers
        return max(rule_budget_ns, endpoint.spare_capacity(self.state.now_ns) * rules.overload_collapse_ns)

    def _has_turn(self, cost_ns: float, budget_ns: float) -> bool:
        """Return True if it is this router's turn to send one request.

        If a router's budget is less than one request, the routers take turns.  A turn lasts
        ``overload_collapse_ns``, and a hash of the router's number determines which turns it has.
        """
        settings = self.state.settings
        turns = math.ceil(TURNS_PER_REQUEST * cost_ns / budget_ns)
        interval_index = self.state.now_ns // settings.rules.overload_collapse_ns
        return (interval_index + mix64(settings.router_index)) % turns == 0

    def assumed_capacity_share(self, endpoint: Endpoint) -> float:
        """Return this router's share of the capacity assumed for a server if the list has no weights.

        It is ``ASSUMED_CAPACITY_OVER_LOAD`` times the transfer time per unit of time that this router sends
        to a warm peer on average, and at least this router's share of one transfer.
        """
        settings = self.state.settings
        now_ns = self.state.now_ns
        is_parent = endpoint.server.role is Role.PARENT
        peers = self.state.directory.parents if is_parent else self.state.directory.zone_caches
        routers = settings.instances if is_parent else settings.zone_instances
        window_ns = max(1, settings.rules.overload_collapse_ns)
        loads = [
            peer.work_sent.sum_since(now_ns - window_ns) / window_ns
            for peer in peers
            if peer is not endpoint and peer.warm_fraction(now_ns, settings.rules) >= 1
        ]
        if not loads and endpoint.server.role is Role.CACHE:
            # No peer is warm: assume that the zone's caches have capacity for the load of its clients.
            offered = self.admission.all_requests.offered_work.value_at(now_ns)
            loads = [offered / WORK_TIME_CONSTANT_NS / len(self.state.directory.zone_caches)]
        assumed_share = ASSUMED_CAPACITY_OVER_LOAD * sum(loads) / len(loads) if loads else 0.0
        return max(assumed_share, 1 / routers)
