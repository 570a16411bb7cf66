"""State of the reducer: its tables, the time of the current input, and the effects requested so far.

The components of the core (requests, attempts, the endpoint list) share one State; only they and the reducer
change it.
"""

from __future__ import annotations

from collections import Counter, deque
from dataclasses import dataclass
from typing import TYPE_CHECKING

from kelpcroft.config import Config
from kelpcroft.core.connection_pool import ConnectionPool, PooledConnection
from kelpcroft.core.descriptors import allocate_descriptors
from kelpcroft.core.effects import Effect, LogEvent, ScheduleTimer
from kelpcroft.core.idempotency_keys import MAX_KEYS, IdempotencyKeys
from kelpcroft.core.inputs import ClientRequest, EndpointRecord
from kelpcroft.core.memory_budget import MB, MemoryAccount, table_size
from kelpcroft.core.memory_limit import initial_budget
from kelpcroft.core.messages import TimerKey, TimerKind
from kelpcroft.core.request_statistics import RequestStatistics
from kelpcroft.decision import interface as api
from kelpcroft.decision.object_history import MAX_OBJECT_HISTORIES
from kelpcroft.decision.policy import RoutingPolicy
from kelpcroft.decision.statistics import mix64

if TYPE_CHECKING:  # at run time, imported only where the operator's file enables them
    from kelpcroft.routes import RequestAllowance, RouteTable
    from kelpcroft.startup.fleet_size import FleetSizeEstimator
    from kelpcroft.startup.origin_concurrency import OriginConcurrencyLimit

MS = 1_000_000  # nanoseconds
SECOND = 1_000 * MS


@dataclass(slots=True)
class Attempt:
    """One attempt that is in flight, or waits for its connection.

    Attributes:
        number: Assigned by the core and never reused.
        request: The request that the attempt belongs to.
        forward: The decision package's action that started the attempt.
        started_ns: When the decision package requested the attempt.
        index: Index among the request's attempts, as the decision package counts them.
        connection: The connection on which the attempt is in flight, or for which it waits.
        is_sent: The attempt's bytes were passed to the event loop.
        failed_connections: Number of connections that failed before the attempt was sent.
        fetches_from_origin: The attempt counts towards the limit on concurrent fetches at the origin.
    """

    number: int
    request: OpenRequest
    forward: api.ForwardRequest
    started_ns: int
    index: int
    connection: PooledConnection
    is_sent: bool = False
    failed_connections: int = 0
    fetches_from_origin: bool = False


@dataclass(slots=True)
class OpenRequest:
    """A client's request, until its final response was requested and its last attempt has ended.

    Attributes:
        id: The request's number as text: its id in the decision package.
        message: The request as decoded.
        request_class: The class with which it was admitted, which a reload does not affect.
        deadline_ns: When the final response is due.
        allowance: The limits and budgets of its route; None without a route.
        has_final_response: The final response was requested, or the client no longer waits for one.
        attempts_made: Number of attempts that were started.
        attempts_in_flight: Number of attempts that have not ended.
        may_have_executed: The attempt that ended last may have run.
        is_backing_off: The request waits for its next attempt, which is already charged to its budget.
        time_allowed_ns: Time from the admission of the request to its deadline.
        charged_bytes: Memory that the request is charged for.
    """

    id: str
    message: ClientRequest
    request_class: api.RequestClass
    deadline_ns: int
    allowance: RequestAllowance | None = None
    has_final_response: bool = False
    attempts_made: int = 0
    attempts_in_flight: int = 0
    may_have_executed: bool = False
    is_backing_off: bool = False
    time_allowed_ns: int = 0
    charged_bytes: int = 0


@dataclass(slots=True)
class HealthCheck:
    """A health check that is in flight, or waits for its connection."""

    server: str
    connection: PooledConnection
    id: str
    started_ns: int


class State:
    """The reducer's tables, each of bounded size.

    Requests are bounded by ``settings.limits.max_open``, if it is set, and by MAX_OPEN_REQUESTS_PER_CLIENT
    for each client; connections to servers by the file descriptors; idempotency keys by MAX_KEYS.
    ``memory`` bounds the sum of what peers make the process hold.
    """

    def __init__(self, config: Config) -> None:
        self.config = config
        self.policy = RoutingPolicy(config.settings)
        self.settings = config.settings  # the settings in use: a reload (SIGHUP) changes them
        # Classes with which new requests are admitted; an open request has its own (``OpenRequest``).
        self.classes = {c.name: c for c in config.settings.classes}
        self.raw_config = config.raw  # JSON of the configuration in use
        # Differs between routers, so that the random choices of a fleet's routers do not coincide.
        self.router_seed = mix64(config.settings.seed ^ int.from_bytes(config.name.encode()[-8:], "big"))
        self.connections = ConnectionPool(
            allocate_descriptors(config.max_descriptors).servers,
            config.max_attempts_per_connection,
            self.router_seed,
        )
        self.endpoints: dict[str, EndpointRecord] = {}  # in service, by name
        self.requests: dict[int, OpenRequest] = {}  # requests without a final response, by number
        # The same requests, by client and the request number on its connection.
        self.requests_by_client: dict[int, dict[int, OpenRequest]] = {}
        self.open_trace_ids: set[str] = set()  # trace ids of the requests without a final response
        limit_bytes = config.memory_mb * MB
        self.idempotency_keys = IdempotencyKeys(table_size(MAX_KEYS, limit_bytes))
        self.policy.state.histories.max_histories = table_size(MAX_OBJECT_HISTORIES, limit_bytes)
        self.attempts: dict[int, Attempt] = {}  # by number
        self.attempt_numbers: dict[tuple[str, int], int] = {}  # attempt numbers, by request id and index
        self.health_checks: dict[int, HealthCheck] = {}  # by number
        self.last_number = 0  # last number assigned to a request, an attempt or a health check
        self.routes: RouteTable | None = None  # the routes of the operator's file
        self.statistics: RequestStatistics | None = None  # only where the operator's file enables them
        self.cold_budget_share = 1.0  # as last reported to the decision package
        self.origin_fills_allowed = True  # as last reported to the decision package
        # Bounds fetches at the origin during startup, only where the operator's file enables it.
        self.origin_limit: OriginConcurrencyLimit | None = None
        self.fleet_size: FleetSizeEstimator | None = None  # only where the operator's file enables it
        self.memory = MemoryAccount(initial_budget(config))
        self.counters: Counter[str] = Counter()
        self.effects: list[Effect] = []
        self.events: deque[api.Event] = deque()  # events of the current input for the decision package
        self.requests_to_check: list[OpenRequest] = []  # admitted, or with an ended attempt, in this input
        self.now = 0  # time of the current input
        self.is_tracing = config.is_tracing  # ROUTER_TRACE=1: each step of a request is logged

    def trace(self, event: str, **fields: object) -> None:
        """Log one step of a request or of a connection, for tools/fleet_counts.py.

        Code that traces a step checks ``is_tracing`` first, so that without tracing no arguments are built.
        """
        self.effects.append(LogEvent(f"trace.{event}", event, "info", fields))

    def log(
        self, event: str, text: str, level: str = "info", fields: dict[str, object] | None = None
    ) -> None:
        """Log an event for the operators; ``level`` is "info" or "warning"."""
        self.effects.append(LogEvent(event, text, level, fields or {}))

    def schedule(self, after_ns: int, kind: TimerKind, number: int = 0) -> None:
        """Schedule a timer that expires ``after_ns`` after the time of the current input."""
        self.effects.append(ScheduleTimer(self.now + after_ns, TimerKey(kind, number, 0)))

    def release_memory(self, request: OpenRequest) -> None:
        """Release the memory of a request once it has a final response and no attempt in flight."""
        if request.has_final_response and not request.attempts_in_flight:
            self.memory.open_requests.release(request.message.client, request.charged_bytes)
            request.charged_bytes = 0

    def change_settings(self, settings: api.Settings) -> None:
        """Use these settings from now on, in the core and in the decision package."""
        self.settings = settings
        self.classes = {c.name: c for c in settings.classes}
        self.events.append(api.SettingsChanged(settings))

    def set_cold_budget_share(self, share: float) -> None:
        """Report this process's share of the router's budgets for cold servers to the decision package.

        The report also says whether the origin's concurrency limit allows one more fetch.  It is sent only
        if one of the two values has changed.
        """
        origin_fills_allowed = self.origin_limit is None or self.origin_limit.has_capacity()
        if (share, origin_fills_allowed) != (self.cold_budget_share, self.origin_fills_allowed):
            self.cold_budget_share = share
            self.origin_fills_allowed = origin_fills_allowed
            self.events.append(api.RouterShareChanged(share, origin_fills_allowed))

    def expected_transfer_ns(self, request_class: str, size_kb: float) -> float:
        """How long the transfer of a response's bytes takes, without the server's processing time.

        It is computed from the size if that is known, otherwise it is the mean of the class.
        """
        max_kb_per_s = self.settings.max_transfer_kb_per_s
        if size_kb and max_kb_per_s:
            return size_kb / max_kb_per_s * SECOND
        transfer_time = self.policy.transfer_time.get(request_class)
        return transfer_time.mean if transfer_time else 0.0
