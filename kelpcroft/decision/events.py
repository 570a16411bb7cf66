"""Events, the inputs of the decision package.

The caller passes events in the order in which they occur.  Times are integer nanoseconds of one monotonic
clock (names end in ``_ns``); sizes are in KB.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum, IntEnum

from kelpcroft.decision.settings import Settings


class Role(Enum):
    """Role of a server: an edge cache, a parent cache in a hub zone, or the origin."""

    CACHE = "cache"
    PARENT = "parent"
    ORIGIN = "origin"


class Outcome(IntEnum):
    """Outcome of an attempt.

    The values are sent on the wire, and counters and the log contain the names, so neither may change.
    """

    OK = 100
    MISS = 101  # the server holds no copy, and did not fill one
    ERROR = 301
    FULL = 302  # rejected: the server is at capacity
    TIMEOUT = 303
    CONNECT_FAILED = 304
    RESET = 305  # the connection was lost
    CANCELLED = 306
    MOOT = 307  # withdrawn before the attempt was sent

    @property
    def proves_not_executed(self) -> bool:
        """True if the outcome rules out that the attempt had an effect."""
        return self in (Outcome.MISS, Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.MOOT)


class FillResult(IntEnum):
    """Result of the cache lookup or fill behind a response, as the response reports it.

    The values are sent on the wire, and the log contains the names, so neither may change.
    """

    NONE = 0  # not reported
    HIT = 1
    FILLED = 2
    FILLED_FROM_ORIGIN = 3
    JOINED = 4  # served by a fill that was already in progress
    STALE = 5
    SOURCE_REFUSED = 6
    SOURCE_BROKE = 7
    SOURCE_LACKS = 8  # the fill source was to send only a copy that it held, and held none
    NO_FILL_PLACE = 9  # the cache has its maximum number of fills in progress
    ORIGIN_FAILED = 10


@dataclass(frozen=True, slots=True)
class Server:
    """One server of the endpoint list.

    Attributes:
        name: The name, which a replacement server never reuses.
        role: The role.
        zone: The zone.
        cell: The failure domain within the zone.
        state: "in_service", "terminating" or "terminated".
        weight: The capacity relative to other servers, above 0.
        started_ns: Clock time of the last start; 0 for a start long ago.
    """

    name: str
    role: Role
    zone: str
    cell: int = 0
    state: str = "in_service"
    weight: float = 1.0
    started_ns: int = 0


@dataclass(frozen=True, slots=True)
class PossibleExecution:
    """An attempt that may have executed: the zone and cell of its server, and the time it was sent."""

    zone: str
    cell: int
    sent_ns: int


@dataclass(frozen=True, slots=True)
class RouteRetryPolicy:
    """Limits that a route sets on the attempts of one request.  The defaults set no limit.

    Attributes:
        attempt_timeout_ns: The maximum attempt timeout; 0 for no limit.
        max_attempts: The maximum number of attempts that may have executed, not counting hedges; 0 for no
            limit.
        retry_on: The outcomes after which a request that may have executed is retried; None for all.
        max_reroutes: The maximum number of further attempts after outcomes that prove that nothing was
            executed; -1 for no limit.
        max_hedges: The maximum number of second attempts while another attempt is in flight.
        backoff_ns: The delays before the first and each later retry; the last delay applies to all further
            retries.
        retry_after_ns: The delay before a retry that a rejection gives to the client.
        has_retry_budget: True if further attempts are charged to a budget of the route: see
            ``AttemptEnded.retry_budget_available``.
        concurrency_limit_reached: True if too many requests of the route are in flight, so that this request
            is rejected.
        shortens_deadline: True if ``Request.time_remaining_ns`` ends before the client stops waiting.
    """

    attempt_timeout_ns: int = 0
    max_attempts: int = 0
    retry_on: frozenset[Outcome] | None = None
    max_reroutes: int = -1
    max_hedges: int = 0
    backoff_ns: tuple[int, ...] = ()
    retry_after_ns: int = 0
    has_retry_budget: bool = False
    concurrency_limit_reached: bool = False
    shortens_deadline: bool = False


@dataclass(frozen=True, slots=True)
class EndpointListChanged:
    """A change of the endpoint list, or a failure of discovery.

    Attributes:
        update_kind: "update" (only the servers that changed), "replace" or "restored" (the complete list), or
            "unavailable" (discovery has failed).
        servers: The servers that changed, or all servers of the list.
    """

    update_kind: str
    servers: tuple[Server, ...] = ()


@dataclass(frozen=True, slots=True)
class Request:
    """A client's request, which must receive one final response within ``time_remaining_ns``.

    Attributes:
        id: The id by which all later events and actions refer to the request.
        class_name: The name of the request class.
        time_remaining_ns: How long the client still waits.
        object_id: The object.
        part: The part of the object; 0 if the object has no parts.
        purge_group: The group with which the object may be purged.
        size_kb: The object's size; 0 if it is unknown.
        is_write: True for a write.
        is_retry: True if the client has sent the request before.
        tenant: The tenant that the request belongs to.
        retry_policy: The limits of the request's route; None if only the router's own limits apply.
        prior_execution: An earlier request with the same idempotency key that may have executed.
        prior_attempt_unknown: Keyed classes: True for a retry of a request that this router has not received,
            so that the place and time of the earlier attempt are unknown.
    """

    id: str
    class_name: str
    time_remaining_ns: int
    object_id: int
    part: int = 0
    purge_group: int = 0
    size_kb: float = 0.0
    is_write: bool = False
    is_retry: bool = False
    tenant: str = ""
    retry_policy: RouteRetryPolicy | None = None
    prior_execution: PossibleExecution | None = None
    prior_attempt_unknown: bool = False


@dataclass(frozen=True, slots=True)
class ResponseStarted:
    """The response of a streamed class has begun, so the request stays with this attempt."""

    id: str
    attempt: int
    server: str
    elapsed_ns: int


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """The end of an attempt.

    Attributes:
        id: The request.
        attempt: The attempt's number within the request, from 0.
        server: The server that the attempt was sent to.
        outcome: The outcome.
        elapsed_ns: The time from sending the attempt to its end.
        is_final: True if the request needs no further response.
        fill_result: The fill result that the response reports.
        first_byte_ns: The time until the fill source's first byte or failure; 0 if it is unknown.
        load_report: The server's load, by the names of ``Settings.load_report_fields``.
        retry_budget_available: True if the route's retry budget has room for one more attempt.
    """

    id: str
    attempt: int
    server: str
    outcome: Outcome
    elapsed_ns: int
    is_final: bool
    fill_result: FillResult = FillResult.NONE
    first_byte_ns: int = 0
    load_report: dict[str, float] = field(default_factory=dict)
    retry_budget_available: bool = True


@dataclass(frozen=True, slots=True)
class HedgeDue:
    """The hedge delay of a request's route has passed since an attempt was sent; a second attempt is due."""

    id: str
    retry_budget_available: bool


@dataclass(frozen=True, slots=True)
class BackoffElapsed:
    """The delay of a ``BackOff`` action has passed."""

    id: str


@dataclass(frozen=True, slots=True)
class ClientDisconnected:
    """The client has disconnected; its request ends without a response."""

    id: str


@dataclass(frozen=True, slots=True)
class TimerExpired:
    """A timer that was set by a ``SetTimer`` action has expired."""

    label: int


@dataclass(frozen=True, slots=True)
class ProbeFinished:
    """The end of the health check that a ``Probe`` action requested."""

    server: str
    outcome: Outcome
    elapsed_ns: int
    load_report: dict[str, float] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class PeerMessage:
    """A message from another router."""

    sender: int
    payload: str


@dataclass(frozen=True, slots=True)
class Purged:
    """An object (or, with None, each object of a group) was purged ``ago_ns`` before now."""

    object_id: int | None
    purge_group: int
    ago_ns: int


@dataclass(frozen=True, slots=True)
class PurgesUnknown:
    """Purges until ``ago_ns`` before now may be unknown to this router: any object may have been purged."""

    ago_ns: int


@dataclass(frozen=True, slots=True)
class PurgesKnown:
    """The router has received all purges: those of ``PurgesUnknown`` are known one by one."""


@dataclass(frozen=True, slots=True)
class SettingsChanged:
    """The settings were reloaded while the router runs; the new classes and limits take effect immediately.

    A request in flight keeps the class that it arrived with.  It is limited to the number of attempts allowed
    at its arrival, or to the new number if that is lower.
    """

    settings: Settings


@dataclass(frozen=True, slots=True)
class RouterShareChanged:
    """The share of its router's budgets that this process may use has changed.

    Attributes:
        share: The share of the budgets for cold servers, under 1 while another process of the same router may
            be sending requests too.
        origin_fills_allowed: True if one more fill of a cacheable object may be requested from the origin.
            False while the process starts and has the maximum number of fetches from the origin in flight.
    """

    share: float
    origin_fills_allowed: bool = True


PurgeEvent = Purged | PurgesUnknown | PurgesKnown
RequestEvent = ResponseStarted | HedgeDue | BackoffElapsed | ClientDisconnected
Event = (
    EndpointListChanged
    | Request
    | ResponseStarted
    | AttemptEnded
    | HedgeDue
    | BackoffElapsed
    | ClientDisconnected
    | TimerExpired
    | ProbeFinished
    | PeerMessage
    | Purged
    | PurgesUnknown
    | PurgesKnown
    | SettingsChanged
    | RouterShareChanged
)
