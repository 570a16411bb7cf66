"""Latency model: expected response times, by the request's size, the object's history or the class.

There are two times.  The *transfer time* is the time of sending the object itself.  The *latency* is the
complete response time, which is modelled as a ratio to the transfer time plus ``BASE_LATENCY_NS``.
"""

from __future__ import annotations

import math
from typing import Final

from kelpcroft.decision.requests import InFlightRequest
from kelpcroft.decision.router_state import RouterState
from kelpcroft.decision.statistics import MeanDeviation
from kelpcroft.decision.units import MS, SECOND_NS

AVERAGE_GAIN: Final = 0.1  # weight of a new sample in running averages: about the last ten samples count
TRANSFER_TIME_GAIN: Final = 0.01  # weight of a new sample in the mean transfer time, as these vary widely
UNKNOWN_SIZE_FACTOR: Final = 1.5  # multiple of the mean up to which an object of unknown size is usual
UNLOADED_TIME_GROWTH: Final = 1.0005  # largest factor by which a response raises the unloaded transfer time
INITIAL_TRANSFER_NS: Final = 300 * MS  # transfer time that is assumed before the first response
BASE_LATENCY_NS: Final = 100 * MS  # time that a response takes in addition to its transfer
EXPECTED_DEVIATIONS: Final = 2.0  # number of mean deviations over the mean up to which a latency is usual


class LatencyModel:
    """Keeps running means of the times of each class and derives the expected times of a request.

    Attributes:
        latency_ratio: By class: latency divided by the transfer time plus ``BASE_LATENCY_NS``.
        transfer_time: By class: transfer time in nanoseconds.
        unloaded_transfer_time: By class: transfer time in nanoseconds over links that are not congested;
            infinity until it has been estimated.
    """

    def __init__(self, state: RouterState) -> None:
        self.state = state
        self.latency_ratio: dict[str, MeanDeviation] = {}
        self.transfer_time: dict[str, MeanDeviation] = {}
        self.unloaded_transfer_time: dict[str, float] = {}
        self.update_classes()

    def update_classes(self) -> None:
        """Start measurements of new classes; remove those of deleted classes without requests in flight."""
        in_flight = {request.request_class.name for request in self.state.requests_in_flight.values()}
        names = set(self.state.request_classes) | in_flight
        for name in names - set(self.latency_ratio):
            self.latency_ratio[name] = MeanDeviation(1.0, AVERAGE_GAIN)
            self.transfer_time[name] = MeanDeviation(INITIAL_TRANSFER_NS, TRANSFER_TIME_GAIN)
            self.unloaded_transfer_time[name] = math.inf
        for name in set(self.latency_ratio) - names:
            del self.latency_ratio[name]
            del self.transfer_time[name]
            del self.unloaded_transfer_time[name]

    # Expected times

    def has_known_size(self, request: InFlightRequest) -> bool:
        """Return True if the transfer time follows from the request's size and the maximum transfer rate."""
        return request.request.size_kb > 0 and self.state.settings.max_transfer_kb_per_s > 0

    def has_own_transfer_time(self, request: InFlightRequest) -> bool:
        """Return True if the expected transfer time is specific to the object and not the class's mean."""
        if self.has_known_size(request):
            return True
        return request.history is not None and request.history.min_response_ns > 0

    def expected_transfer_ns(self, request: InFlightRequest) -> float:
        """Return the expected transfer time, by size, by the object's history or by the class's mean.

        The first of these that is available is used.
        """
        if self.has_known_size(request):
            return request.request.size_kb / self.state.settings.max_transfer_kb_per_s * SECOND_NS
        if request.history is not None and request.history.min_response_ns:
            return request.history.min_response_ns
        return self.transfer_time[request.request_class.name].mean

    def budget_cost(self, request: InFlightRequest) -> float:
        """Return the cost of a request in a cold server's budget.

        The cost is the class's mean transfer time, or the request's own if its size is known and it is
        longer.
        """
        own_transfer_ns = self.expected_transfer_ns(request) if self.has_known_size(request) else 0.0
        return max(self.transfer_time[request.request_class.name].mean, own_transfer_ns)

    def expected_latency_ns(self, request: InFlightRequest) -> int:
        """Return the latency above which a response is unusually slow for its class.

        ``is_late`` compares with the latency objective instead.
        """
        ratio = self.latency_ratio[request.request_class.name]
        max_ratio = ratio.mean + EXPECTED_DEVIATIONS * ratio.mean_deviation
        return int((self.expected_transfer_ns(request) + BASE_LATENCY_NS) * max_ratio)

    def attempt_timeout_ns(self, request: InFlightRequest, is_trial: bool, remaining_ns: int) -> int:
        """Return the timeout of an attempt: the request's remaining time, or less.

        The route may limit it, and a trial request at an ejected server must leave time for another attempt.
        """
        retry_policy = request.request.retry_policy
        if retry_policy and retry_policy.attempt_timeout_ns:
            remaining_ns = min(remaining_ns, retry_policy.attempt_timeout_ns)
        return min(remaining_ns, self.expected_latency_ns(request)) if is_trial else remaining_ns

    def latency_objective_ns(self, request: InFlightRequest) -> float:
        """Return the latency within which a response has its full value.

        If sizes are unknown, overload must not make objects appear larger than they are, so the transfer time
        is then that over links that are not congested.
        """
        name = request.request_class.name
        transfer_ns = self.expected_transfer_ns(request)
        if not self.has_own_transfer_time(request):
            usual_ns = min(self.unloaded_transfer_time[name], self.transfer_time[name].mean)
            transfer_ns = UNKNOWN_SIZE_FACTOR * usual_ns
        request_class = request.request_class
        return request_class.latency_objective_ns + request_class.objective_transfer_multiple * transfer_ns

    def is_late(self, request: InFlightRequest) -> bool:
        """Return True if more time than the latency objective has passed since a request arrived."""
        return self.state.now_ns - request.start_ns > self.latency_objective_ns(request)

    # Measurements

    def record_latency(self, request: InFlightRequest, elapsed_ns: int) -> float:
        """Record an attempt's latency.

        Returns:
            The latency divided by the expected transfer time plus ``BASE_LATENCY_NS``.
        """
        slowdown = elapsed_ns / (self.expected_transfer_ns(request) + BASE_LATENCY_NS)
        self.latency_ratio[request.request_class.name].add(slowdown)
        return slowdown

    def record_known_transfer(self, request: InFlightRequest, transfer_ns: float) -> None:
        """Record the transfer time of an object of known size."""
        self.transfer_time[request.request_class.name].add(transfer_ns)

    def record_measured_transfer(self, request: InFlightRequest, elapsed_ns: int) -> None:
        """Record a response time as the transfer time of an object of unknown size.

        The caller leaves out responses that report a fill.
        """
        name = request.request_class.name
        self.transfer_time[name].add(float(elapsed_ns))
        if self.transfer_time[name].sample_count > 1 / TRANSFER_TIME_GAIN:
            max_unloaded_ns = self.unloaded_transfer_time[name] * UNLOADED_TIME_GROWTH
            self.unloaded_transfer_time[name] = min(max_unloaded_ns, self.transfer_time[name].mean)
