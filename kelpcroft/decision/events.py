"""Events: what goes into the decisions.

The caller hands events over in the order in which they happen.  Times are integer nanoseconds of one clock
that never runs back (names end in ``_ns``); sizes are KB.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum, IntEnum

from kelpcroft.decision.settings import Settings


class Role(Enum):
    """What a server is: an edge cache, a parent at a hub, or the origin."""

    CACHE = "cache"
    PARENT = "parent"
    ORIGIN = "origin"


class Outcome(IntEnum):
    """How an attempt ended.

    The values are those of the wires; counters and the log write the names, so neither may change.
    """

    OK = 100
    MISS = 101  # the server holds no copy, and none was filled
    ERROR = 301
    FULL = 302  # rejected: the server is at capacity
    TIMEOUT = 303
    CONNECT_FAILED = 304
    RESET = 305  # the connection was lost
    CANCELLED = 306
    MOOT = 307  # withdrawn before it was sent

    @property
    def proves_not_executed(self) -> bool:
        """True if the attempt certainly had no effect."""
        return self in (Outcome.MISS, Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.MOOT)


class FillResult(IntEnum):
    """What an answer tells of its fill.

    The values are those of the wires; the log writes the names, so neither may change.
    """

    NONE = 0  # not reported
    HIT = 1
    FILLED = 2
    FILLED_FROM_ORIGIN = 3
    JOINED = 4  # answered by a fill that was under way
    STALE = 5
    SOURCE_REFUSED = 6
    SOURCE_BROKE = 7
    SOURCE_LACKS = 8  # the source was asked for what it holds, and holds no copy
    NO_FILL_PLACE = 9  # the cache has as many fills under way as it can have
    ORIGIN_FAILED = 10


@dataclass(frozen=True, slots=True)
class Server:
    """One line of the list of servers.

    Attributes:
        name: Its name, which a replacement never takes over.
        role: What it is.
        zone: Where it is.
        cell: Its failure domain within the zone.
        state: "in_service", "terminating" or "terminated".
        weight: Its capacity relative to others, above 0.
        started_ns: Clock time of its last start; 0 for long ago.
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
    """An attempt that may have executed: at a server of this zone and cell, sent at this time."""

    zone: str
    cell: int
    sent_ns: int


@dataclass(frozen=True, slots=True)
class RouteRetryPolicy:
    """What a route lets one request cost.  The defaults bound nothing.

    Attributes:
        attempt_timeout_ns: One attempt's time at the most; 0 for no bound.
        max_attempts: Attempts that may have executed, hedges apart; 0 for no bound.
        retry_on: Of the ends that may have executed, those that are retried; None for all.
        max_reroutes: Further attempts after an end that proves that nothing was executed; -1 for no bound.
        max_hedges: Second attempts while one is out.
        backoff_ns: The waits before each retry; the last one holds for all further ones.
        retry_after_ns: How long a client whose request is given up is asked to wait before a retry.
        has_retry_budget: The route pays for further attempts: see ``AttemptEnded.retry_budget_available``.
        concurrency_limit_reached: Too many requests of the route are in flight: this one is to be rejected.
        shortens_deadline: ``Request.time_remaining_ns`` ends before the client's own wait does.
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
class ServerList:
    """News of the servers.

    Attributes:
        form: "update" (changes), "replace" or "restored" (all there are), "unavailable" (discovery has
            failed).
        servers: Their lines.
    """

    form: str
    servers: tuple[Server, ...] = ()


@dataclass(frozen=True, slots=True)
class Request:
    """A client's request: this router owes it one final answer within ``time_remaining_ns``.

    Attributes:
        id: Its id, by which all later events and actions refer to it.
        class_name: The name of its class.
        time_remaining_ns: How long its client still waits.
        object_id: The object.
        part: The part of the object; 0 where it has none.
        purge_group: The group with which the object may be purged.
        size_kb: The object's size; 0 where that is not known.
        is_write: True if it changes something.
        is_retry: True if its client has sent it before.
        tenant: Whose it is.
        retry_policy: What its route lets it cost; None for the router's own way in all.
        prior_execution: An earlier request of the same idempotency key that may have executed.
        prior_attempt_unknown: Keyed: a retry of what this router has not seen, so where and when it was sent
            is unknown.
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
    """Streamed classes: the answer has begun, and the client owns the attempt."""

    id: str
    attempt: int
    server: str
    elapsed_ns: int


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """One attempt's end.

    Attributes:
        id: The request.
        attempt: The attempt's number within it, from 0.
        server: The server that was asked.
        outcome: How it ended.
        elapsed_ns: How long it took.
        is_final: True if the request needs no answer any more.
        fill_result: What the answer tells of its fill.
        first_byte_ns: The wait for the fill source's first byte or failure; 0 where that is not known.
        load_report: The server's load, by the names of ``Settings.load_report_fields``.
        retry_budget_available: True if the route's budget pays for one more attempt.
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
    """An attempt has been out for so long that its route wants a second one beside it."""

    id: str
    retry_budget_available: bool


@dataclass(frozen=True, slots=True)
class BackoffElapsed:
    """The wait that a ``BackOff`` asked for is over."""

    id: str


@dataclass(frozen=True, slots=True)
class ClientDisconnected:
    """The client has left: its request is over without an answer."""

    id: str


@dataclass(frozen=True, slots=True)
class TimerExpired:
    """A timer that a ``SetTimer`` asked for."""

    label: int


@dataclass(frozen=True, slots=True)
class ProbeFinished:
    """A probe's end."""

    server: str
    outcome: Outcome
    elapsed_ns: int
    load_report: dict[str, float] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class PeerMessage:
    """Bytes from another router."""

    sender: int
    payload: str


@dataclass(frozen=True, slots=True)
class Purged:
    """An object (or, with None, each object of a group) was purged ``ago_ns`` before now."""

    object_id: int | None
    purge_group: int
    ago_ns: int


@dataclass(frozen=True, slots=True)
class SettingsChanged:
    """Settings were read again while the router runs: from now on its classes and limits are these.

    A request in flight keeps the class it came with, and the attempts it was allowed then if those are fewer.
    """

    settings: Settings


@dataclass(frozen=True, slots=True)
class RouterShare:
    """What this process may spend of its router's budgets.

    Attributes:
        share: Its part of the budgets for cold servers: under 1 while another process of the same router may
            be sending too.
        origin_fills_allowed: Whether the origin may be asked for one more copy that is kept: not while a
            process begins and has as many out there as it may.
    """

    share: float
    origin_fills_allowed: bool = True


RequestEvent = ResponseStarted | HedgeDue | BackoffElapsed | ClientDisconnected
Event = (
    ServerList
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
    | SettingsChanged
    | RouterShare
)
