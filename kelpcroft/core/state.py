"""What the reducer owns: its tables, the time of the input in hand, and the effects asked for so far.

The parts of the core (requests, attempts, members) share one State; only they and the reducer change it.
"""

from __future__ import annotations

from collections import Counter, deque
from dataclasses import dataclass
from typing import TYPE_CHECKING

from kelpcroft.config import Config
from kelpcroft.core import effects, inputs
from kelpcroft.core.connection_pool import ConnectionPool, PooledConnection
from kelpcroft.core.descriptors import allocate_descriptors
from kelpcroft.core.effects import Effect
from kelpcroft.core.idempotency_keys import IdempotencyKeys
from kelpcroft.core.messages import TimerKind
from kelpcroft.core.request_statistics import RequestStatistics
from kelpcroft.decision import interface as api
from kelpcroft.decision.policy import RoutingPolicy
from kelpcroft.decision.statistics import mix64

if TYPE_CHECKING:  # imported where a file switches them on
    from kelpcroft.routes import RequestAllowance, RouteTable
    from kelpcroft.startup.fleet_size import FleetSizeEstimator
    from kelpcroft.startup.origin_concurrency import OriginConcurrencyLimit

MS = 1_000_000
SECOND = 1_000 * MS


@dataclass(slots=True)
class Attempt:
    """One attempt that is out, or waits for its connection."""

    number: int
    request: OpenRequest
    fetch: api.ForwardRequest
    began_ns: int
    index: int
    link: PooledConnection
    sent: bool = False
    dials: int = 0  # connections that broke before it was sent
    store: bool = False  # counts in the window at the store


@dataclass(slots=True)
class OpenRequest:
    """A call until its final answer has been asked for and its last attempt has ended."""

    id: str
    message: inputs.ClientRequest
    deadline_ns: int
    grant: RequestAllowance | None = None  # what its route lets it cost
    answered: bool = False
    tries: int = 0
    out: int = 0  # attempts
    ran: bool = False  # the last end may have run
    waits: bool = False  # for its next attempt, which is paid for
    patience_ns: int = 0  # of what was left of it when it was taken


@dataclass(slots=True)
class Probe:
    """A probe that is out."""

    server: str
    link: PooledConnection
    id: str
    began_ns: int


class State:
    """The tables.  Each has an end: requests by ``limits.max_open``, connections by the descriptors."""

    def __init__(self, config: Config) -> None:
        self.config = config
        self.policy = RoutingPolicy(config.settings)
        self.settings = config.settings  # as now in use: retuned at SIGHUP
        self.classes = {c.name: c for c in config.settings.classes}
        self.used = config.raw  # the configuration in use, as read
        self.own = mix64(config.settings.seed ^ int.from_bytes(config.name.encode()[-8:], "big"))
        self.connections = ConnectionPool(
            allocate_descriptors(config.max_descriptors).servers, config.max_attempts_per_connection, self.own
        )
        self.endpoints: dict[str, inputs.EndpointRecord] = {}
        self.requests: dict[int, OpenRequest] = {}  # those that owe an answer
        self.requests_by_client: dict[int, dict[int, OpenRequest]] = {}  # the same, by client and call
        self.traces: set[str] = set()  # of those
        self.idempotency_keys = IdempotencyKeys()  # idempotency keys that may have run
        self.attempts: dict[int, Attempt] = {}
        self.tries: dict[tuple[str, int], int] = {}  # the same, by request and the module's number
        self.probes: dict[int, Probe] = {}
        self.routes: RouteTable | None = None  # of the operator's file
        self.last_number = 0  # numbers given to requests, attempts and probes
        self.ledger: RequestStatistics | None = None  # where the operator's file asks for the state
        self.part, self.store = 1.0, True  # as the module was told last: api.Part
        self.origin_limit: OriginConcurrencyLimit | None = None  # at the store, while a router begins
        self.fleet_size: FleetSizeEstimator | None = None  # where the operator's file asks for a count
        self.counters: Counter[str] = Counter()
        self.effects: list[Effect] = []
        self.events: deque[api.Event] = deque()  # for the module, of this input
        self.touched: list[OpenRequest] = []  # new, or with an attempt ended, in this input
        self.now = 0
        self.is_tracing = config.is_tracing  # every attempt's way is told to the log

    def trace(self, event: str, **fields: object) -> None:
        """One step of a request or of a connection, for tools/fleet_counts.py.  Callers look at ``traced``
        first: where nothing is traced, nothing is made for it."""
        self.effects.append(effects.LogEvent(f"trace.{event}", event, "info", fields))

    def retune(self, settings: api.Settings) -> None:
        """Classes and limits from now on, for the reducer's parts and the module alike."""
        self.settings = settings
        self.classes = {c.name: c for c in settings.classes}
        self.events.append(api.SettingsChanged(settings))

    def share(self, part: float) -> None:
        """Tell the module of its part of the router's cold budgets, and of room at the store, where new."""
        store = self.origin_limit is None or self.origin_limit.has_capacity()
        if (part, store) != (self.part, self.store):
            self.part, self.store = part, store
            self.events.append(api.RouterShare(part, store))

    def wake(self, after_ns: int, timer: TimerKind, number: int = 0) -> None:
        self.effects.append(effects.ScheduleTimer(self.now + after_ns, (timer, number, 0)))

    def log(
        self, event: str, text: str, level: str = "info", fields: dict[str, object] | None = None
    ) -> None:
        self.effects.append(effects.LogEvent(event, text, level, fields or {}))
