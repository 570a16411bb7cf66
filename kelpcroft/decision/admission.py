"""Admission control by price: under overload the dearest requests are rejected first.

A request's price is its transfer time over its class's priority weight.  There are two controllers, one for
all requests, which caches must carry, and one for requests that look like fills, which parents, links and the
origin must carry too.  Each rejects prices over a threshold, which too many late answers multiply by
``THRESHOLD_DECREASE`` and answers in time by ``THRESHOLD_INCREASE`` or more.  Where the capacity is known, or
gauges show overload before any answer is late, the threshold is lower at once.
"""

from __future__ import annotations

import math
from collections import deque
from typing import Final

from kelpcroft.decision.endpoint import WORK_SPAN_NS, Endpoint
from kelpcroft.decision.latency_model import AVERAGE_GAIN, TRANSFER_TIME_GAIN, LatencyModel
from kelpcroft.decision.requests import InFlightRequest
from kelpcroft.decision.router_state import RouterState
from kelpcroft.decision.statistics import DecayingSum, LinearDecay, MeanDeviation, price_threshold
from kelpcroft.decision.units import SECOND_NS

MAX_COST_THRESHOLD: Final = 6.0  # in mean prices; at this the threshold admits all
MIN_COST_THRESHOLD: Final = 0.4  # in mean prices; some work is always let in
MAX_LATE_SHARE: Final = 0.2  # recent share of late answers that lowers the threshold
LATE_SHARE_GAIN: Final = 0.2  # weight of one answer in that share
THRESHOLD_DECREASE: Final = 0.45  # what too many late answers multiply the threshold by
THRESHOLD_INCREASE: Final = 1.02  # what an answer in time multiplies it by, at the least
# What a second with answers in time multiplies it by, at the least ...
THRESHOLD_INCREASE_PER_SECOND: Final = 1.25
THRESHOLD_INCREASE_PER_SECOND_WITH_SLACK: Final = 2.0  # ... or with answers in a third of the objective
# Threshold, in mean prices, where a gauge shows that what is there just fits ...
FULL_LOAD_THRESHOLD: Final = 3.0
OVERLOAD_DECAY: Final = 1.35  # ... times exp(-OVERLOAD_DECAY) for each 1 by which the gauge is over 1
LOAD_SIGNAL_DECAY_NS: Final = SECOND_NS  # without a new reading a gauge falls by 1 in this time
MAX_SOURCE_WAIT_SHARE: Final = 1 / 3  # of what an answer can spare, a fill source may take this share
MAX_RECENT_ARRIVALS: Final = 64  # requests kept to place the capacity threshold
MAX_PLANNED_CACHE_SHARE: Final = 0.95  # share of the caches' stated capacity that may be planned for
MAX_PLANNED_FILL_SHARE: Final = 1.0  # share of the parents' stated capacity that may be planned for
FILL_SHARE_GAIN: Final = 0.05  # weight of one answer in the share of expected fills that are ones
MIN_PRIORITY_WEIGHT: Final = 1e-9  # a class of no worth has a price too
ANSWERS_WITH_SLACK: Final = 3  # an answer within the objective over this shows slack


class AdmissionController:
    """Rejects the requests with the highest price first when answers come late, or soon will.

    Thresholds are multiples of the mean price, so that they hold for any mix of classes and sizes.

    Attributes:
        cost_threshold: The highest price admitted by the timeliness of answers.
        capacity_threshold: The highest price admitted by the stated capacity, as a price; infinity where all
            fits.
        mean_price: Mean price of the requests that came.
        late_share: Recent share of late answers.
        raised_ns: When the last answer in time raised the threshold.
        lowered_ns: When the threshold was last lowered.
        last_evidence_ns: When the last answer came to a request admitted since the threshold was lowered, or
            when the threshold was raised for want of such answers.
        recent_arrivals: Price and transfer time of the last requests.
        offered_work: Transfer time of the requests that came, fading.
        link_load: Gauge of the link that carries fills, 1 for full.
        cache_load: Gauge of the caches' capacity, 1 for full.
        source_wait: Gauge of the wait for fill sources, 1 for as long as it may be.
        mean_source_wait: Mean of the samples behind that gauge.
    """

    def __init__(self) -> None:
        self.cost_threshold: float = MAX_COST_THRESHOLD
        self.capacity_threshold = math.inf
        self.mean_price = MeanDeviation(0.0, TRANSFER_TIME_GAIN)
        self.late_share = 0.0
        self.raised_ns = 0
        self.lowered_ns = 0
        self.last_evidence_ns = 0
        self.recent_arrivals: deque[tuple[float, float]] = deque(maxlen=MAX_RECENT_ARRIVALS)
        self.offered_work = DecayingSum(WORK_SPAN_NS)
        self.link_load = LinearDecay(LOAD_SIGNAL_DECAY_NS)
        self.cache_load = LinearDecay(LOAD_SIGNAL_DECAY_NS)
        self.source_wait = LinearDecay(LOAD_SIGNAL_DECAY_NS)
        self.mean_source_wait = MeanDeviation(0.0, AVERAGE_GAIN)

    def record_latency(self, is_late: bool, start_ns: int, now_ns: int, has_slack: bool = False) -> None:
        """Take in whether one answer was late.

        Args:
            is_late: Whether it took longer than its latency objective.
            start_ns: When its request came: one admitted before the last cut tells nothing of the cut's
                effect.
            now_ns: The time.
            has_slack: Whether it took less than a third of the objective, which raises the threshold sooner.
        """
        if start_ns < self.lowered_ns:
            return
        self.last_evidence_ns = now_ns
        self.late_share += LATE_SHARE_GAIN * (is_late - self.late_share)
        if self.late_share > MAX_LATE_SHARE:
            self.cost_threshold = max(MIN_COST_THRESHOLD, self.cost_threshold * THRESHOLD_DECREASE)
            self.late_share = 0.0
            self.lowered_ns = now_ns
        elif not is_late:
            self._raise_threshold(now_ns, has_slack)

    def _raise_threshold(self, now_ns: int, has_slack: bool) -> None:
        """Raise the threshold for an answer in time, and by the second: few answers come when it is low."""
        elapsed_s = min(now_ns - self.raised_ns, SECOND_NS) / SECOND_NS
        per_second = THRESHOLD_INCREASE_PER_SECOND_WITH_SLACK if has_slack else THRESHOLD_INCREASE_PER_SECOND
        raised = self.cost_threshold * max(THRESHOLD_INCREASE, per_second**elapsed_s)
        self.cost_threshold = min(MAX_COST_THRESHOLD, raised)
        self.raised_ns = now_ns

    def record_arrival(self, price: float, work_ns: float, now_ns: int) -> None:
        """Take in a request, admitted or not: its price and its transfer time."""
        last_change_ns = max(self.last_evidence_ns, self.lowered_ns)
        if self.cost_threshold < MAX_COST_THRESHOLD and now_ns - last_change_ns > SECOND_NS:
            # Requests of one price may all be rejected at the lowest threshold: no answer would raise it.
            raised = self.cost_threshold * THRESHOLD_INCREASE_PER_SECOND
            self.cost_threshold = min(MAX_COST_THRESHOLD, raised)
            self.last_evidence_ns = now_ns
        self.offered_work.add(now_ns, work_ns)
        self.mean_price.add(price)
        self.recent_arrivals.append((price, work_ns))

    def limit_to_capacity(self, capacity: float) -> None:
        """Admit the cheapest requests that fit a capacity, before any answer is late.

        Args:
            capacity: Transfers that can be carried at a time; infinity where it is not known.
        """
        total = self.offered_work.total
        capacity_share = capacity * WORK_SPAN_NS / total if total else math.inf
        if capacity_share < 1:
            self.capacity_threshold = price_threshold(self.recent_arrivals, capacity_share)
        else:
            self.capacity_threshold = math.inf

    def record_source_wait(self, now_ns: int, share: float) -> None:
        """Take in which share of the time that its answer could spare a fill source took.

        At ``MAX_SOURCE_WAIT_SHARE`` the source's queue is long enough.  A wait past the objective counts no
        more than one up to it: it would keep fills out, and so all news of fill sources, for long after.
        """
        self.mean_source_wait.add(min(1.0, share) / MAX_SOURCE_WAIT_SHARE)
        self.source_wait.record(now_ns, self.mean_source_wait.mean)

    def admits(self, price: float, now_ns: int = 0) -> bool:
        """Return True if a request of this price is admitted.

        A gauge that shows overload counts at once: late answers tell seconds later, and by then the queue is
        there.
        """
        fullest = max(
            self.link_load.value_at(now_ns),
            self.cache_load.value_at(now_ns),
            self.source_wait.value_at(now_ns),
        )
        overload = fullest - 1
        threshold = self.cost_threshold
        if overload > 0:
            threshold = min(threshold, FULL_LOAD_THRESHOLD * math.exp(-OVERLOAD_DECAY * overload))
        if price > self.capacity_threshold:
            return False
        return threshold >= MAX_COST_THRESHOLD or price <= self.mean_price.mean * threshold


class Admission:
    """Decides whether a request is admitted, and feeds the two controllers.

    Attributes:
        all_requests: The controller of all requests that can be cached: they load the caches.
        fills: The controller of those that look like fills: they load links, parents and the origin too.
        actual_fill_share: Share of the expected fills that turn out to be ones.
    """

    def __init__(self, state: RouterState, latency_model: LatencyModel) -> None:
        self.state = state
        self.latency_model = latency_model
        self.all_requests = AdmissionController()
        self.fills = AdmissionController()
        self.actual_fill_share = 0.5

    def controller(self, is_fill: bool) -> AdmissionController:
        """Return the controller that an answer is reported to."""
        return self.fills if is_fill else self.all_requests

    def is_fill_link_full(self) -> bool:
        """Return True if the link that carries fills is full by its last report, less its decay since."""
        return self.fills.link_load.value_at(self.state.now_ns) >= 1

    def admit(self, request: InFlightRequest) -> bool:
        """Decide whether a request is admitted, if only for a hit or past the caches; mark it accordingly."""
        now_ns = self.state.now_ns
        work_ns = self.latency_model.expected_transfer_ns(request)
        price = self._price(request, work_ns)
        self._update_cache_capacity(price, work_ns)
        if request.expects_fill:
            self._update_fill_capacity(price, work_ns)
            # Too dear a fill may still be a hit: ask its cache, without a fill, before it is rejected.
            request.cache_only = not self.fills.admits(price, now_ns)
        fits_caches = self.all_requests.admits(price, now_ns)
        # Exception: what the caches have no room for goes straight to a parent, if link and parents have.
        request.bypasses_cache = (
            not fits_caches
            and self.state.settings.allows_cache_bypass
            and not self.is_fill_link_full()
            and self.fills.admits(price, now_ns)
        )
        return fits_caches or request.bypasses_cache

    def _price(self, request: InFlightRequest, work_ns: float) -> float:
        """Return transfer time over priority weight, times 2/3 to 2 by object: no edge at equal prices."""
        weight = max(request.request_class.priority_weight, MIN_PRIORITY_WEIGHT)
        uniform = (request.object_hash >> 11) / 2**53
        return work_ns / weight / (0.5 + uniform)

    def _update_cache_capacity(self, price: float, work_ns: float) -> None:
        """Take in one request, and what the zone's caches can carry now."""
        now_ns = self.state.now_ns
        settings = self.state.settings
        caches = self.state.directory.zone_caches if settings.weight_source != "off" else []
        capacity = self._capacity(caches) / settings.zone_instances
        if capacity:
            # What waits takes nothing of a cache: for its time-out at an ejected one, for its fill elsewhere.
            active = sum(
                cache.requests_in_flight - cache.requests_awaiting_fill
                for cache in caches
                if not cache.is_ejected
            )
            self.all_requests.cache_load.record(now_ns, active / capacity)
        self.all_requests.record_arrival(price, work_ns, now_ns)
        self.all_requests.limit_to_capacity(MAX_PLANNED_CACHE_SHARE * capacity if capacity else math.inf)

    def _update_fill_capacity(self, price: float, work_ns: float) -> None:
        """Take in one request that looks like a fill, and what parents and the link can carry now."""
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
        """Return the transfers that servers can carry now."""
        rules = self.state.settings.rules
        return sum(endpoint.available_capacity(self.state.now_ns, rules) for endpoint in endpoints)

    def record_timeliness(self, request: InFlightRequest, is_late: bool, is_fill: bool) -> None:
        """Report each request to a controller once, as soon as it is late: in a jam the quick end first."""
        if request.timeliness_recorded:
            return
        request.timeliness_recorded = True
        elapsed_ns = self.state.now_ns - request.start_ns
        has_slack = ANSWERS_WITH_SLACK * elapsed_ns < self.latency_model.latency_objective_ns(request)
        self.controller(is_fill).record_latency(is_late, request.start_ns, self.state.now_ns, has_slack)

    def record_fill_expectation(self, was_fill: bool) -> None:
        """Take in whether a request that looked like a fill was one."""
        change = FILL_SHARE_GAIN * (was_fill - self.actual_fill_share)
        self.actual_fill_share = max(FILL_SHARE_GAIN, self.actual_fill_share + change)

    def withdraw_offered_work(self, request: InFlightRequest) -> None:
        """Take back what a client that has left was not sent: bursts may be called off at once."""
        now_ns = self.state.now_ns
        undone_ns = self.latency_model.expected_transfer_ns(request) - (now_ns - request.start_ns)
        if undone_ns <= 0 or request.request_class.uncacheable:
            return
        controllers = [self.fills, self.all_requests] if request.expects_fill else [self.all_requests]
        for controller in controllers:
            work = controller.offered_work
            work.add(now_ns, -min(undone_ns, work.value_at(now_ns)))
