"""Expected times: how long an answer should take, by the request's size, the object's history or its class.

There are two times.  The *transfer time* is what sending the object itself takes.  The *latency* is the whole
answer time, which is learned as a ratio to the transfer time plus ``BASE_LATENCY_NS``.
"""

from __future__ import annotations

import math
from typing import Final

from kelpcroft.decision.requests import InFlightRequest
from kelpcroft.decision.router_state import RouterState
from kelpcroft.decision.statistics import MeanDeviation
from kelpcroft.decision.units import MS, SECOND_NS

AVERAGE_GAIN: Final = 0.1  # weight of a new sample in running averages: about the last ten
TRANSFER_TIME_GAIN: Final = 0.01  # the same for transfer times, which vary widely
UNKNOWN_SIZE_FACTOR: Final = 1.5  # an object of unknown size may well be this much larger than the mean
UNLOADED_TIME_GROWTH: Final = 1.0005  # how much the transfer time over free links may rise with an answer
INITIAL_TRANSFER_NS: Final = 300 * MS  # transfer time of a request until any answer tells
BASE_LATENCY_NS: Final = 100 * MS  # what an answer takes besides its transfer
EXPECTED_DEVIATIONS: Final = 2.0  # mean deviations over the mean up to which a latency is usual


class LatencyModel:
    """The measured times of each class, and what they make this router expect of a request.

    Attributes:
        latency_ratio: By class: latency over the transfer time plus ``BASE_LATENCY_NS``.
        transfer_time: By class: transfer time in nanoseconds.
        unloaded_transfer_time: By class: the same while links were free; infinity until known.
    """

    def __init__(self, state: RouterState) -> None:
        self.state = state
        self.latency_ratio: dict[str, MeanDeviation] = {}
        self.transfer_time: dict[str, MeanDeviation] = {}
        self.unloaded_transfer_time: dict[str, float] = {}
        self.follow_classes()

    def follow_classes(self) -> None:
        """Begin to measure new classes, and forget those that are gone and have no request in flight."""
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

    # What is expected

    def has_known_size(self, request: InFlightRequest) -> bool:
        """Return True if the transfer time follows from the request's size and the settings' pace."""
        return request.request.size_kb > 0 and self.state.settings.max_transfer_kb_per_s > 0

    def has_own_transfer_time(self, request: InFlightRequest) -> bool:
        """Return True if the expected transfer time is the object's, not its class's."""
        if self.has_known_size(request):
            return True
        return request.history is not None and request.history.min_response_ns > 0

    def expected_transfer_ns(self, request: InFlightRequest) -> float:
        """Return the transfer time to expect: by size, else the object's history, else its class."""
        if self.has_known_size(request):
            return request.request.size_kb / self.state.settings.max_transfer_kb_per_s * SECOND_NS
        if request.history is not None and request.history.min_response_ns:
            return request.history.min_response_ns
        return self.transfer_time[request.request_class.name].mean

    def budget_cost(self, request: InFlightRequest) -> float:
        """Return what a request counts in a cold server's budget: its class's mean, or its own if more."""
        own = self.expected_transfer_ns(request) if self.has_known_size(request) else 0.0
        return max(self.transfer_time[request.request_class.name].mean, own)

    def expected_latency_ns(self, request: InFlightRequest) -> int:
        """Return the latency past which an answer is slow for its class (``is_late``: for its objective)."""
        ratio = self.latency_ratio[request.request_class.name]
        latest_ratio = ratio.mean + EXPECTED_DEVIATIONS * ratio.mean_deviation
        return int((self.expected_transfer_ns(request) + BASE_LATENCY_NS) * latest_ratio)

    def attempt_timeout_ns(self, request: InFlightRequest, is_trial: bool, remaining_ns: int) -> int:
        """Return an attempt's time-out: what the request has left, or less.

        The route may bound it, and a trial request at an ejected server must leave time for another attempt.
        """
        retry_policy = request.request.retry_policy
        if retry_policy and retry_policy.attempt_timeout_ns:
            remaining_ns = min(remaining_ns, retry_policy.attempt_timeout_ns)
        return min(remaining_ns, self.expected_latency_ns(request)) if is_trial else remaining_ns

    def latency_objective_ns(self, request: InFlightRequest) -> float:
        """Return the latency within which an answer earns its full worth.

        Where sizes are not known, a jam must not make slow objects look like large ones: the transfer time is
        then taken from free links.
        """
        name = request.request_class.name
        transfer_ns = self.expected_transfer_ns(request)
        if not self.has_own_transfer_time(request):
            usual_ns = min(self.unloaded_transfer_time[name], self.transfer_time[name].mean)
            transfer_ns = UNKNOWN_SIZE_FACTOR * usual_ns
        objective = request.request_class
        return objective.latency_objective_ns + objective.objective_transfer_multiple * transfer_ns

    def is_late(self, request: InFlightRequest) -> bool:
        """Return True if a request has been here for longer than its latency objective."""
        return self.state.now_ns - request.start_ns > self.latency_objective_ns(request)

    # What is measured

    def record_latency(self, request: InFlightRequest, elapsed_ns: int) -> float:
        """Take in an attempt's latency; return it over expected transfer time plus ``BASE_LATENCY_NS``."""
        slowdown = elapsed_ns / (self.expected_transfer_ns(request) + BASE_LATENCY_NS)
        self.latency_ratio[request.request_class.name].add(slowdown)
        return slowdown

    def record_known_transfer(self, request: InFlightRequest, transfer_ns: float) -> None:
        """Take in the transfer time of an object whose size is known."""
        self.transfer_time[request.request_class.name].add(transfer_ns)

    def record_measured_transfer(self, request: InFlightRequest, elapsed_ns: int) -> None:
        """Take in an answer's time, that of no reported fill, as a transfer time: the size is not known."""
        name = request.request_class.name
        self.transfer_time[name].add(float(elapsed_ns))
        if self.transfer_time[name].sample_count > 1 / TRANSFER_TIME_GAIN:
            risen_ns = self.unloaded_transfer_time[name] * UNLOADED_TIME_GROWTH
            self.unloaded_transfer_time[name] = min(risen_ns, self.transfer_time[name].mean)
