"""Records of the requests in flight and of their attempts.  Nothing is decided here."""

from __future__ import annotations

from kelpcroft.decision.endpoint import Endpoint
from kelpcroft.decision.events import Request, Role
from kelpcroft.decision.object_history import ObjectHistory
from kelpcroft.decision.settings import RequestClass


class Attempt:
    """One attempt that is in flight.

    No dataclass: one is made for each request that is sent on, and compiled, a plain class is made faster.

    Attributes:
        endpoint: The server that was asked.
        fill_source: The server from which a miss is filled; ``endpoint`` itself where nothing is filled.
        sent_ns: When it was sent.
        is_trial: True if it tries an ejected server.
    """

    __slots__ = ("endpoint", "fill_source", "is_trial", "sent_ns")

    def __init__(
        self, endpoint: Endpoint, fill_source: Endpoint, sent_ns: int, is_trial: bool = False
    ) -> None:
        self.endpoint = endpoint
        self.fill_source = fill_source
        self.sent_ns = sent_ns
        self.is_trial = is_trial

    def is_filled(self) -> bool:
        """Return True if a miss at the server is filled from another one."""
        return self.fill_source is not self.endpoint

    def filling_endpoint(self) -> Endpoint:
        """Return who fills it: the fill source, or the parent or origin that was asked directly."""
        return self.fill_source if self.endpoint.server.role is Role.CACHE else self.endpoint


class InFlightRequest:
    """A request that is still owed its answer, or whose attempts are still in flight.

    Attributes:
        request: The request as it came.
        request_class: Its class as of then: a change of settings leaves it alone.
        object_hash: What places its object at a cache and a parent.
        start_ns: When it came.
        deadline_ns: When its client stops waiting.
        attempts_in_flight: Its attempts that are out, by their number.
        attempts_sent: How many were sent.
        max_attempts: How many were allowed when it came.
        is_closed: True once it has its final answer; attempts may still be out.
        response_started: True once a streamed answer has begun.
        timeliness_recorded: True once the admission controller knows whether it is late.
        expects_fill: True if no cache is known to hold the object.
        cache_only: True if there is no room for its fill: only a hit is wanted.
        bypasses_cache: True if its zone's caches have no room for it: it goes straight to a parent.
        reset_count: Attempts lost with their connection.
        retry_count: Attempts sent after one that may have executed.
        reroute_count: Attempts sent after one that certainly has not.
        hedge_count: Second attempts sent while another was out.
        excluded_servers: Names of the servers that it should not be sent to again.
        excluded_sources: Names of the fill sources that have failed for it.
        history: What is remembered of the object; None where it can't be cached.
        possible_execution: The first attempt that may have executed, of any request of its idempotency key.
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
