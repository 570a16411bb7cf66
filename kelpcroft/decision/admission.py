"""Admission control by price: under overload the requests with the highest price are rejected first.

A request's price is its transfer time divided by its class's priority weight.  There are two controllers: one
for all cacheable requests, which load the caches, and one for expected fills, which also load parents, links
and the origin.  Each controller rejects requests whose price is above a threshold.  Too many late responses
multiply the threshold by ``THRESHOLD_DECREASE``; each response in time multiplies it by at least
``THRESHOLD_INCREASE``.  If the capacity is known, or a gauge shows overload, a lower threshold applies
immediately, before any response is late.
"""

from __future__ import annotations

import math
from collections import deque
from typing import Final

from kelpcroft.decision.endpoint import WORK_TIME_CONSTANT_NS, Endpoint
from kelpcroft.decision.latency_model import AVERAGE_GAIN, TRANSFER_TIME_GAIN, LatencyModel
from kelpcroft.decision.requests import InFlightRequest
from kelpcroft.decision.router_state import RouterState
from kelpcroft.decision.statistics import DecayingGauge, DecayingSum, MeanDeviation, price_at_work_share
from kelpcroft.decision.units import SECOND_NS

MAX_PRICE_THRESHOLD: Final = 6.0  # highest threshold, in mean prices, at which all requests are admitted
# Lowest threshold, in mean prices, so that some requests are always admitted
MIN_PRICE_THRESHOLD: Final = 0.4
MAX_LATE_SHARE: Final = 0.2  # recent share of late responses above which the threshold is lowered
LATE_SHARE_GAIN: Final = 0.2  # weight of one response in the recent share of late responses
THRESHOLD_DECREASE: Final = 0.45  # factor by which too many late responses lower the threshold
THRESHOLD_INCREASE: Final = 1.02  # smallest factor by which one response in time raises the threshold
# Smallest factor by which the responses in time of one second raise the threshold
THRESHOLD_INCREASE_PER_SECOND: Final = 1.25
# The same if those responses take less than a third of the latency objective
THRESHOLD_INCREASE_PER_SECOND_WITH_SLACK: Final = 2.0
FULL_LOAD_THRESHOLD: Final = 3.0  # threshold, in mean prices, at a gauge value of 1 (exactly full)
OVERLOAD_DECAY: Final = 1.35  # FULL_LOAD_THRESHOLD is multiplied by exp(-OVERLOAD_DECAY * (gauge - 1))
LOAD_SIGNAL_DECAY_NS: Final = SECOND_NS  # time in which a gauge falls by 1 without a new reading
MAX_SOURCE_WAIT_SHARE: Final = 1 / 3  # share of a response's slack that the wait for a fill source may take
MAX_RECENT_ARRIVALS: Final = 64  # number of recent requests from which the capacity threshold is computed
MAX_PLANNED_CACHE_SHARE: Final = 0.95  # share of the caches' stated capacity that may be planned for
MAX_PLANNED_FILL_SHARE: Final = 1.0  # share of the parents' stated capacity that may be planned for
FILL_SHARE_GAIN: Final = 0.05  # weight of one response in the share of expected fills that were fills
MIN_PRIORITY_WEIGHT: Final = 1e-9  # keeps the price of a class with priority weight 0 finite
SLACK_DIVISOR: Final = 3  # a response within the latency objective divided by this has slack


class AdmissionController:
    """Rejects the requests with the highest price first when responses are late or are about to be.

    Thresholds are multiples of the mean price, so that they hold for any mix of classes and sizes.

    Attributes:
        price_threshold: The highest admitted price, in mean prices, as it follows from the timeliness of
            responses.
        capacity_threshold: The highest admitted price, as it follows from the stated capacity; it is an
            absolute price, infinity if all requests fit.
        mean_price: Mean price of the requests that arrived.
        late_share: Recent share of late responses.
        raised_ns: When a response in time last raised the threshold.
        lowered_ns: When the threshold was last lowered.
        last_evidence_ns: When the last response was received to a request admitted since the threshold was
            lowered, or when the threshold was raised because there were no such responses.
        recent_arrivals: Price and transfer time of the most recent requests.
        offered_work: Transfer time of the requests that arrived, decaying with time.
        link_load: Gauge of the load of the link that carries fills; 1 is full.
        cache_load: Gauge of the load of the caches; 1 is full.
        source_wait: Gauge of the wait for fill sources; 1 is the longest acceptable wait.
        mean_source_wait: Running mean of the samples of ``source_wait``.
    """

    def __init__(self) -> None:
        self.price_threshold: float = MAX_PRICE_THRESHOLD
        self.capacity_threshold = math.inf
        self.mean_price = MeanDeviation(0.0, TRANSFER_TIME_GAIN)
        self.late_share = 0.0
        self.raised_ns = 0
        self.lowered_ns = 0
        self.last_evidence_ns = 0
        self.recent_arrivals: deque[tuple[float, float]] = deque(maxlen=MAX_RECENT_ARRIVALS)
        self.offered_work = DecayingSum(WORK_TIME_CONSTANT_NS)
        self.link_load = DecayingGauge(LOAD_SIGNAL_DECAY_NS)
        self.cache_load = DecayingGauge(LOAD_SIGNAL_DECAY_NS)
        self.source_wait = DecayingGauge(LOAD_SIGNAL_DECAY_NS)
        self.mean_source_wait = MeanDeviation(0.0, AVERAGE_GAIN)

    def record_latency(self, is_late: bool, start_ns: int, now_ns: int, has_slack: bool = False) -> None:
        """Record whether one response was late.

        Args:
            is_late: True if the response took longer than its latency objective.
            start_ns: When the request arrived.  A request that was admitted before the threshold was last
                lowered does not show the effect of that change, and is ignored.
            now_ns: The time.
            has_slack: True if the response took less than a third of the objective, which raises the
                threshold faster.
        """
        if start_ns < self.lowered_ns:
            return
        self.last_evidence_ns = now_ns
        self.late_share += LATE_SHARE_GAIN * (is_late - self.late_share)
        if self.late_share > MAX_LATE_SHARE:
            self.price_threshold = max(MIN_PRICE_THRESHOLD, self.price_threshold * THRESHOLD_DECREASE)
            self.late_share = 0.0
            self.lowered_ns = now_ns
        elif not is_late:
            self._raise_threshold(now_ns, has_slack)

    def _raise_threshold(self, now_ns: int, has_slack: bool) -> None:
        """Raise the threshold for a response in time.

        The factor also depends on the time since the last raise, because there are few responses while the
        threshold is low.
        """
        elapsed_s = min(now_ns - self.raised_ns, SECOND_NS) / SECOND_NS
        per_second = THRESHOLD_INCREASE_PER_SECOND_WITH_SLACK if has_slack else THRESHOLD_INCREASE_PER_SECOND
        new_threshold = self.price_threshold * max(THRESHOLD_INCREASE, per_second**elapsed_s)
        self.price_threshold = min(MAX_PRICE_THRESHOLD, new_threshold)
        self.raised_ns = now_ns

    def record_arrival(self, price: float, work_ns: float, now_ns: int) -> None:
        """Record the price and the transfer time of a request that arrived, whether admitted or not."""
        last_change_ns = max(self.last_evidence_ns, self.lowered_ns)
        if self.price_threshold < MAX_PRICE_THRESHOLD and now_ns - last_change_ns > SECOND_NS:
            # If all requests have the same price, all may be rejected at the lowest threshold, and then no
            # response would raise it.
            new_threshold = self.price_threshold * THRESHOLD_INCREASE_PER_SECOND
            self.price_threshold = min(MAX_PRICE_THRESHOLD, new_threshold)
            self.last_evidence_ns = now_ns
        self.offered_work.add(now_ns, work_ns)
        self.mean_price.add(price)
        self.recent_arrivals.append((price, work_ns))

    def limit_to_capacity(self, capacity: float) -> None:
        """Admit only as many of the lowest-priced requests as fit a capacity, before any response is late.

        Args:
            capacity: The number of parallel transfers that there is capacity for; infinity if it is unknown.
        """
        total = self.offered_work.total
        capacity_share = capacity * WORK_TIME_CONSTANT_NS / total if total else math.inf
        if capacity_share < 1:
            self.capacity_threshold = price_at_work_share(self.recent_arrivals, capacity_share)
        else:
            self.capacity_threshold = math.inf

    def record_source_wait(self, now_ns: int, share: float) -> None:
        """Record the wait for a fill source, as a share of the slack of the response.

        At ``MAX_SOURCE_WAIT_SHARE`` the source's queue has its longest acceptable length.  A share above 1
        counts as 1: more would reject fills, and so stop all measurements of fill sources, for a long time
        afterwards.
        """
        self.mean_source_wait.add(min(1.0, share) / MAX_SOURCE_WAIT_SHARE)
        self.source_wait.record(now_ns, self.mean_source_wait.mean)

    def admits(self, price: float, now_ns: int = 0) -> bool:
        """Return True if a request of this price is admitted.

        A gauge that shows overload takes effect immediately: late responses show the overload seconds later,
        when the queue has already built up.
        """
        highest_load = max(
            self.link_load.value_at(now_ns),
            self.cache_load.value_at(now_ns),
            self.source_wait.value_at(now_ns),
        )
        overload = highest_load - 1
        threshold = self.price_threshold
        if overload > 0:
            threshold = min(threshold, FULL_LOAD_THRESHOLD * math.exp(-OVERLOAD_DECAY * overload))
        if price > self.capacity_threshold:
            return False
        return threshold >= MAX_PRICE_THRESHOLD or price <= self.mean_price.mean * threshold


class Admission:
    """Decides whether a request is admitted, and supplies the two controllers with measurements.

    Attributes:
        all_requests: The controller of all cacheable requests, which load the caches.
        fills: The controller of expected fills, which also load links, parents and the origin.
        actual_fill_share: The share of the expected fills that actually were fills.
    """

    def __init__(self, state: RouterState, latency_model: LatencyModel) -> None:
        self.state = state
        self.latency_model = latency_model
        self.all_requests = AdmissionController()
        self.fills = AdmissionController()
        self.actual_fill_share = 0.5

    def controller(self, is_fill: bool) -> AdmissionController:
        """Return the controller that a response is reported to."""
        return self.fills if is_fill else self.all_requests

    def is_fill_link_full(self) -> bool:
        """Return True if the fill link is full by its last report, reduced by the decay since then."""
        return self.fills.link_load.value_at(self.state.now_ns) >= 1

    def admit(self, request: InFlightRequest) -> bool:
        """Decide whether a request is admitted, and set its ``cache_only`` and ``bypasses_cache``.

        A request may be admitted with the restriction that only a hit serves it, or that it bypasses the
        caches.
        """
        now_ns = self.state.now_ns
        work_ns = self.latency_model.expected_transfer_ns(request)
        price = self._price(request, work_ns)
        self._update_cache_capacity(price, work_ns)
        if request.expects_fill:
            self._update_fill_capacity(price, work_ns)
            # An expected fill whose price is too high may still be a hit: it is sent to its cache without a
            # fill source before it is rejected.
            request.cache_only = not self.fills.admits(price, now_ns)
        fits_caches = self.all_requests.admits(price, now_ns)
        # Exception: a request that the caches have no capacity for is sent directly to a parent, if the link
        # and the parents have capacity.
        request.bypasses_cache = (
            not fits_caches
            and self.state.settings.allows_cache_bypass
            and not self.is_fill_link_full()
            and self.fills.admits(price, now_ns)
        )
        return fits_caches or request.bypasses_cache

    def _price(self, request: InFlightRequest, work_ns: float) -> float:
        """Return the transfer time divided by the priority weight, times a factor of 2/3 to 2 by object hash.

        The factor spreads the prices of otherwise equal requests, so that a threshold does not admit or
        reject all of them together.
        """
        weight = max(request.request_class.priority_weight, MIN_PRIORITY_WEIGHT)
        uniform = (request.object_hash >> 11) / 2**53
        return work_ns / weight / (0.5 + uniform)

    def _update_cache_capacity(self, price: float, work_ns: float) -> None:
        """Record one request, and the current load and capacity of the zone's caches."""
        now_ns = self.state.now_ns
        settings = self.state.settings
        caches = self.state.directory.zone_caches if settings.weight_source != "off" else []
        capacity = self._capacity(caches) / settings.zone_instances
        if capacity:
            # Attempts that wait use no capacity of a cache: at an ejected cache they wait for their timeout,
            # at the others for their fill source.
            active = sum(
                cache.requests_in_flight - cache.requests_awaiting_fill
                for cache in caches
                if not cache.is_ejected
            )
            self.all_requests.cache_load.record(now_ns, active / capacity)
        self.all_requests.record_arrival(price, work_ns, now_ns)
        self.all_requests.limit_to_capacity(MAX_PLANNED_CACHE_SHARE * capacity if capacity else math.inf)

    def _update_fill_capacity(self, price: float, work_ns: float) -> None:
        """Record one expected fill, and the current capacity of the parents and the fill link."""
        settings = self.state.settings
        parents = self.state.directory.parents if settings.weight_source != "off" else []
        parent_capacity = MAX_PLANNED_FILL_SHARE * self._capacity(parents) / settings.instances
        link_capacity = 0.0
        if settings.max_transfer_kb_per_s:
            link_capacity = (
                settings.fill_link_kb_per_s / settings.max_transfer_kb_per_s / settings.zone_instances
            )
        self.fills.record_arrival(price, work_ns, self.state.now_ns)
        capacity = min(parent_capacity or math.inf, link_capacity or math.inf)
        self.fills.limit_to_capacity(capacity / self.actual_fill_share)

    def _capacity(self, endpoints: list[Endpoint]) -> float:
        """Return the number of parallel transfers that servers have capacity for now."""
        rules = self.state.settings.rules
        return sum(endpoint.available_capacity(self.state.now_ns, rules) for endpoint in endpoints)

    def record_timeliness(self, request: InFlightRequest, is_late: bool, is_fill: bool) -> None:
        """Report each request to a controller once, as soon as it is late.

        Waiting for its end would bias the share of late responses, because under overload fast requests end
        first.
        """
        if request.timeliness_recorded:
            return
        request.timeliness_recorded = True
        elapsed_ns = self.state.now_ns - request.start_ns
        has_slack = SLACK_DIVISOR * elapsed_ns < self.latency_model.latency_objective_ns(request)
        self.controller(is_fill).record_latency(is_late, request.start_ns, self.state.now_ns, has_slack)

    def record_fill_expectation(self, was_fill: bool) -> None:
        """Record whether an expected fill actually was a fill."""
        change = FILL_SHARE_GAIN * (was_fill - self.actual_fill_share)
        self.actual_fill_share = max(FILL_SHARE_GAIN, self.actual_fill_share + change)

    def withdraw_offered_work(self, request: InFlightRequest) -> None:
        """Subtract the remaining work of a request whose client disconnected from the offered work.

        A client may cancel a burst of requests immediately, and the offered work must not include them.
        """
        now_ns = self.state.now_ns
        remaining_work_ns = self.latency_model.expected_transfer_ns(request) - (now_ns - request.start_ns)
        if remaining_work_ns <= 0 or request.request_class.uncacheable:
            return
        controllers = [self.fills, self.all_requests] if request.expects_fill else [self.all_requests]
        for controller in controllers:
            offered_work = controller.offered_work
            offered_work.add(now_ns, -min(remaining_work_ns, offered_work.value_at(now_ns)))
