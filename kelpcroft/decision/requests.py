"""Records of the requests in flight and of their attempts."""

from __future__ import annotations

from kelpcroft.decision.endpoint import Endpoint
from kelpcroft.decision.events import Request, Role
from kelpcroft.decision.object_history import ObjectHistory
from kelpcroft.decision.settings import RequestClass


class Attempt:
    """One attempt in flight.

    It is not a dataclass: an instance is created for each attempt, and in the compiled build instances of a
    plain class are created faster.

    Attributes:
        endpoint: The server that the attempt was sent to.
        fill_source: The server from which a miss is filled; ``endpoint`` itself if nothing is filled.
        sent_ns: When the attempt was sent.
        is_trial: True if the server or its fill source was ejected when the attempt was sent.
    """

    __slots__ = ("endpoint", "fill_source", "is_trial", "sent_ns")

    def __init__(
        self, endpoint: Endpoint, fill_source: Endpoint, sent_ns: int, is_trial: bool = False
    ) -> None:
        self.endpoint = endpoint
        self.fill_source = fill_source
        self.sent_ns = sent_ns
        self.is_trial = is_trial

    def has_fill_source(self) -> bool:
        """Return True if a miss at the server is filled from another server."""
        return self.fill_source is not self.endpoint

    def filling_endpoint(self) -> Endpoint:
        """Return the fill source, or the parent or origin that the attempt was sent to directly."""
        return self.fill_source if self.endpoint.server.role is Role.CACHE else self.endpoint


class InFlightRequest:
    """A request that awaits its final response, or whose attempts are still in flight.

    Attributes:
        request: The request as it arrived.
        request_class: The request's class at its arrival, which a change of settings does not affect.
        object_hash: The hash by which a cache and a parent are selected for the object.
        start_ns: When the request arrived.
        deadline_ns: When the client stops waiting.
        attempts_in_flight: The attempts in flight, by their number.
        attempts_sent: The number of attempts sent.
        max_attempts: The maximum number of attempts, as of the request's arrival.
        is_closed: True once the request has its final response; attempts may still be in flight.
        response_started: True once a streamed response has begun.
        timeliness_recorded: True once admission control has recorded whether the request is late.
        expects_fill: True if, at the request's arrival, no cache was known to hold the object.
        cache_only: True if there is no capacity for a fill, so that only a hit can serve the request.
        bypasses_cache: True if the zone's caches have no capacity for the request, so that it is sent
            directly to a parent.
        reset_count: The number of retries at the same server after a lost connection.
        retry_count: The number of attempts sent after an attempt that may have executed.
        reroute_count: The number of attempts sent after an attempt that certainly did not execute.
        hedge_count: The number of second attempts sent while another was in flight.
        excluded_servers: Names of the servers that the request should not be sent to again.
        excluded_sources: Names of the fill sources that have failed for this request.
        history: The request history of the object; None if the request is uncacheable.
        possible_execution: The first attempt that may have executed, of any request with the same idempotency
            key.
    """

    def __init__(
        self, now_ns: int, request: Request, request_class: RequestClass, object_hash: int, max_attempts: int
    ) -> None:
        self.request = request
        self.request_class = request_class
        self.object_hash = object_hash
        self.start_ns = now_ns
        self.deadline_ns = now_ns + request.time_remaining_ns
        self.attempts_in_flight: dict[int, Attempt] = {}
        self.attempts_sent = 0
        self.max_attempts = max_attempts
        self.is_closed = False
        self.response_started = False
        self.timeliness_recorded = False
        self.expects_fill = False
        self.cache_only = False
        self.bypasses_cache = False
        self.reset_count = 0
        self.retry_count = 0
        self.reroute_count = 0
        self.hedge_count = 0
        self.excluded_servers: set[str] = set()
        self.excluded_sources: set[str] = set()
        self.history: ObjectHistory | None = None
        self.possible_execution = request.prior_execution
