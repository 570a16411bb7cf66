"""What the reducer owns: its tables, the time of the input in hand, and the effects asked for so far.

The parts of the core (requests, attempts, the list of endpoints) share one State; only they and the reducer
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
from kelpcroft.core.idempotency_keys import IdempotencyKeys
from kelpcroft.core.inputs import ClientRequest, EndpointRecord
from kelpcroft.core.messages import TimerKey, TimerKind
from kelpcroft.core.request_statistics import RequestStatistics
from kelpcroft.decision import interface as api
from kelpcroft.decision.policy import RoutingPolicy
from kelpcroft.decision.statistics import mix64

if TYPE_CHECKING:  # imported where a file switches them on
    from kelpcroft.routes import RequestAllowance, RouteTable
    from kelpcroft.startup.fleet_size import FleetSizeEstimator
    from kelpcroft.startup.origin_concurrency import OriginConcurrencyLimit

MS = 1_000_000  # nanoseconds
SECOND = 1_000 * MS


@dataclass(slots=True)
class Attempt:
    """One attempt that is out, or waits for its connection.

    Attributes:
        number: The core's own, never used twice.
        request: The request it is for.
        forward: What the decision module asked for.
        started_ns: When it was asked for.
        index: Its place among the request's attempts, as the decision module counts.
        connection: Where it is out, or waits.
        is_sent: Its bytes were handed to the loop.
        failed_connections: How many broke before it was sent.
        asks_origin: It counts in the limit of fetches at the origin.
    """

    number: int
    request: OpenRequest
    forward: api.ForwardRequest
    started_ns: int
    index: int
    connection: PooledConnection
    is_sent: bool = False
    failed_connections: int = 0
    asks_origin: bool = False


@dataclass(slots=True)
class OpenRequest:
    """A client's request until its final answer has been asked for and its last attempt has ended.

    Attributes:
        id: Its number as text: the decision module's name for it.
        message: As it was read.
        deadline_ns: When its final answer is due.
        allowance: What its route lets it cost; None without a route.
        is_answered: Its final answer has been asked for, or nobody wants one.
        attempts_made: How many were begun.
        attempts_in_flight: How many of them have not ended.
        may_have_executed: The attempt that ended last may have run.
        is_backing_off: It waits for its next attempt, which is paid for.
        time_allowed_ns: From when it was taken to its deadline.
    """

    id: str
    message: ClientRequest
    deadline_ns: int
    allowance: RequestAllowance | None = None
    is_answered: bool = False
    attempts_made: int = 0
    attempts_in_flight: int = 0
    may_have_executed: bool = False
    is_backing_off: bool = False
    time_allowed_ns: int = 0


@dataclass(slots=True)
class HealthCheck:
    """A health check that is out, or waits for its connection."""

    server: str
    connection: PooledConnection
    id: str
    started_ns: int


class State:
    """The tables, each of them bounded.

    Requests: by ``settings.limits.max_open`` where that is set, and MAX_OPEN_REQUESTS_PER_CLIENT of each
    client; connections to servers: by the descriptors; idempotency keys: by MAX_KEYS.
    """

    def __init__(self, config: Config) -> None:
        self.config = config
        self.policy = RoutingPolicy(config.settings)
        self.settings = config.settings  # as now in use: changed at SIGHUP
        self.classes = {c.name: c for c in config.settings.classes}
        self.raw_config = config.raw  # the configuration in use, as read
        # Another for each router: what is drawn by chance from it is not drawn in step.
        self.router_seed = mix64(config.settings.seed ^ int.from_bytes(config.name.encode()[-8:], "big"))
        self.connections = ConnectionPool(
            allocate_descriptors(config.max_descriptors).servers,
            config.max_attempts_per_connection,
            self.router_seed,
        )
        self.endpoints: dict[str, EndpointRecord] = {}  # in service, by name
        self.requests: dict[int, OpenRequest] = {}  # those that owe an answer, by number
        self.requests_by_client: dict[
            int, dict[int, OpenRequest]
        ] = {}  # the same, by client and number there
        self.open_trace_ids: set[str] = set()  # of the requests that owe an answer
        self.idempotency_keys = IdempotencyKeys()
        self.attempts: dict[int, Attempt] = {}  # by number
        self.attempt_numbers: dict[tuple[str, int], int] = {}  # the same, by request and index
        self.health_checks: dict[int, HealthCheck] = {}  # by number
        self.last_number = 0  # given to a request, an attempt or a health check
        self.routes: RouteTable | None = None  # of the operator's file
        self.statistics: RequestStatistics | None = None  # where the operator's file asks for them
        self.cold_budget_share = 1.0  # as last given to the decision module, like the next
        self.origin_available = True
        self.origin_limit: OriginConcurrencyLimit | None = None  # while a router begins
        self.fleet_size: FleetSizeEstimator | None = None  # where the operator's file asks for it
        self.counters: Counter[str] = Counter()
        self.effects: list[Effect] = []
        self.events: deque[api.Event] = deque()  # for the decision module, of this input
        self.touched_requests: list[OpenRequest] = []  # new, or with an attempt ended, in this input
        self.now = 0  # the time of the input in hand
        self.is_tracing = config.is_tracing  # ROUTER_TRACE=1: each step of a request is logged

    def trace(self, event: str, **fields: object) -> None:
        """Log one step of a request or of a connection, for tools/fleet_counts.py.

        Callers check ``is_tracing`` first, so that without tracing no arguments are built.
        """
        self.effects.append(LogEvent(f"trace.{event}", event, "info", fields))

    def log(
        self, event: str, text: str, level: str = "info", fields: dict[str, object] | None = None
    ) -> None:
        """Log an event for the people on call; ``level`` is "info" or "warning"."""
        self.effects.append(LogEvent(event, text, level, fields or {}))

    def schedule(self, after_ns: int, kind: TimerKind, number: int = 0) -> None:
        """Have a timer fire this long after the time of the present input."""
        self.effects.append(ScheduleTimer(self.now + after_ns, TimerKey(kind, number, 0)))

    def change_settings(self, settings: api.Settings) -> None:
        """Use these classes and limits from now on, in the core's parts and in the decision module."""
        self.settings = settings
        self.classes = {c.name: c for c in settings.classes}
        self.events.append(api.SettingsChanged(settings))

    def set_cold_budget_share(self, share: float) -> None:
        """Give the decision module its share of the router's budgets for cold servers, where that is new.

        With it goes whether the origin's concurrency limit has room for one more fetch.
        """
        origin_available = self.origin_limit is None or self.origin_limit.has_capacity()
        if (share, origin_available) != (self.cold_budget_share, self.origin_available):
            self.cold_budget_share = share
            self.origin_available = origin_available
            self.events.append(api.RouterShare(share, origin_available))

    def expected_transfer_ns(self, request_class: str, size_kb: float) -> float:
        """How long an answer's bytes take by themselves: by their number, else as usual in the class."""
        pace_kb_per_s = self.settings.max_transfer_kb_per_s
        if size_kb and pace_kb_per_s:
            return size_kb / pace_kb_per_s * SECOND
        usual = self.policy.transfer_time.get(request_class)
        return usual.mean if usual else 0.0
