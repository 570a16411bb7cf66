"""What the decision module is told and what it may ask for, in caching terms.

Types only: no decision and no tuned value stands here.  Times are integer nanoseconds of one clock that
never runs back (names end in ``_ns``); sizes are KB.  The caller hands events over in the order in which
they happen and carries actions out in the order in which they are returned.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum, IntEnum
from typing import Union


class SettingsError(ValueError):
    """A setting that cannot be used; the message names its key and the reason."""


class Role(Enum):
    """What a server is: an edge cache, a parent at a hub, or the origin."""

    CACHE = "cache"
    PARENT = "parent"
    ORIGIN = "origin"


class Idempotency(Enum):
    """Whether a request may run more than once."""

    SAFE = "safe"
    KEYED = "keyed"
    UNSAFE = "unsafe"


class Outcome(IntEnum):
    """How an attempt ended."""

    OK = 100
    MISS = 101
    ERROR = 301
    FULL = 302
    TIMEOUT = 303
    CONNECT_FAILED = 304
    RESET = 305
    CANCELLED = 306
    MOOT = 307

    @property
    def proves_not_executed(self) -> bool:
        """True if the attempt certainly had no effect."""
        return self in (Outcome.MISS, Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.MOOT)


class FillResult(IntEnum):
    """What an answer says of its fill; NONE where the deployment does not tell."""

    NONE = 0
    HIT = 1
    FILLED = 2
    FILLED_FROM_ORIGIN = 3
    JOINED = 4
    STALE = 5
    SOURCE_REFUSED = 6
    SOURCE_BROKE = 7
    SOURCE_LACKS = 8
    NO_FILL_PLACE = 9
    ORIGIN_FAILED = 10


@dataclass(frozen=True, slots=True)
class RequestClass:
    """One class of requests."""

    name: str
    idempotency: Idempotency = Idempotency.SAFE
    dedup_scope: str = "all"  # keyed: caches that drop each other's repeats: "all", "zone" or "cell"
    dedup_window_ns: int = 0  # keyed: repeats are dropped this long after the first send that may run
    latency_objective_ns: int = 0  # an answer within this earns full worth ...
    objective_transfer_multiple: float = 0.0  # ... plus this many times the request's own sending time
    deadline_ns: int = 0  # the client's whole patience
    priority_weight: float = 1.0
    late_value_share: float = 0.0  # share of the worth after the aim
    streamed: bool = False
    uncacheable: bool = False  # runs at the origin and leaves no copy
    multipart: bool = False
    freshness_lifetime_ns: int = 0  # a copy is good this long; 0 = until purged
    stale_grace_ns: int = 0  # and may still be served this long after
    stale_value_share: float = 1.0


@dataclass(frozen=True, slots=True)
class Limits:
    """What the deployment allows."""

    may_cancel: bool = False
    may_probe: bool = False
    may_message_peers: bool = False
    may_hedge: bool = False  # two attempts of one request may be out together
    may_send_retry_after: bool = False  # clients are told when to come back
    max_retry_after_ns: int = 0
    max_attempts: int = 1
    max_open_requests: int = 0  # 0 = not told
    connect_timeout_ns: int = 0


MAX_LATE_FILL_NS = 60 * 10**9  # after the servers' sweep: the longest that a client, and so a fill, may wait


@dataclass(frozen=True, slots=True)
class Rules:
    """Figures of the five rules."""

    response_slack_ns: int = 0
    drain_grace_ns: int = 0
    cold_capacity_share: float = 1.0  # share of its capacity a cache has at its start, at least
    warm_up_ns: int = 0  # by then it has all
    overload_collapse_multiple: float = 1.0  # more than this times its present capacity ...
    overload_collapse_ns: int = 0  # ... for this long topples it (parents too)
    parent_cold_capacity_share: float = 1.0
    parent_warm_up_ns: int = 0
    parent_overload_collapse_multiple: float = 1.0
    purge_grace_ns: int = 0
    purge_sweep_ns: int = 0  # by then servers have dropped purged copies themselves
    discovery_poll_limit_ns: int = 0  # ask discovery: the list counts as told after this

    @property
    def purge_retention_ns(self) -> int:
        """How long a purge matters: past the servers' own sweep, a fill that was under way may still land."""
        return self.purge_sweep_ns + MAX_LATE_FILL_NS


@dataclass(frozen=True, slots=True)
class Settings:
    """All that an instance is told at its start; a missing setting has the default's meaning."""

    zone: str
    zones: tuple[str, ...]
    classes: tuple[RequestClass, ...]
    limits: Limits = field(default_factory=Limits)
    rules: Rules = field(default_factory=Rules)
    seed: int = 0
    router_index: int = 0
    instances: int = 1  # routers in all zones
    zone_instances: int = 1  # routers in this zone
    hub_index_by_zone: tuple[int, ...] = ()  # per zone, the place of its hub
    fill_link_kb_per_s: float = 0.0  # this zone's link for fills; 0 = not told
    max_transfer_kb_per_s: float = 0.0  # one transfer to a client runs at most at this pace; 0 = not told
    allows_cache_bypass: bool = False  # parents and the origin take requests straight
    siblings: str = "off"  # caches that may be a fill's source: "off", "location" or "any"
    coalesces_fills: bool = False  # a request may join a fill under way
    notes: str = "off"  # "all", "hit" or "off"
    discovery: str = "push"  # "push" or "ask"
    weight_source: str = "off"  # meaning of Server.weight: "off", "nominal", "rough" or "live"
    load_report_mode: str = "off"  # "inline", "on_probe" or "off"
    load_report_fields: tuple[str, ...] = ()
    clock_tick_ns: int = 1

    def __post_init__(self) -> None:
        for key, bad, why in (
            ("zone", self.zone not in self.zones, "is not one of zones"),
            ("classes", not self.classes, "is empty"),
            ("instances", self.instances < 1, "is under 1"),
            ("siblings", self.siblings not in ("off", "location", "any"), "is not off, location or any"),
            ("notes", self.notes not in ("all", "hit", "off"), "is not all, hit or off"),
            ("discovery", self.discovery not in ("push", "ask"), "is not push or ask"),
            ("limits.max_attempts", self.limits.max_attempts < 1, "is under 1"),
        ):
            if bad:
                raise SettingsError(f"{key}: {getattr(self, key, '')!r} {why}")


@dataclass(frozen=True, slots=True)
class Server:
    """One line of the list of servers."""

    name: str
    role: Role
    zone: str
    cell: int = 0
    state: str = "in_service"  # "in_service", "terminating" or "terminated"
    weight: float = 1.0  # above 0
    started_ns: int = 0  # clock time of its last start; 0 = long ago


@dataclass(frozen=True, slots=True)
class PossibleExecution:
    """A send that may have run: at a server of this zone and cell, at this time."""

    zone: str
    cell: int
    sent_ns: int


@dataclass(frozen=True, slots=True)
class RouteRetryPolicy:
    """What a route lets one request cost.  The defaults bound nothing."""

    attempt_timeout_ns: int = 0  # one attempt's time at the most; 0 = not bounded
    max_attempts: int = 0  # sends that may have run, copies apart; 0 = not bounded
    retry_on: frozenset[Outcome] | None = None  # of the ends that may have run: tried again; None = after any
    max_reroutes: int = -1  # further sends after an end that proves that nothing ran; -1 = not bounded
    max_hedges: int = 0  # second copies while an attempt is out
    backoff_ns: tuple[int, ...] = ()  # before each further attempt, in ns; the last counts on
    retry_after_ns: int = 0  # told to a client whose request is given up
    has_retry_budget: bool = False  # further attempts are paid for by the route: see AttemptEnded.room
    concurrency_limit_reached: bool = False  # too many of its route are open: refuse it
    shortens_deadline: bool = False  # patience_ns ends before the client's patience does


# Events ---------------------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class ServerList:
    """News of the servers: form is "update" (changes), "replace" or "restored" (all), "unavailable"."""

    form: str
    servers: tuple[Server, ...] = ()


@dataclass(frozen=True, slots=True)
class Request:
    """A client's request: this instance owes it one final answer within patience_ns."""

    id: str
    class_name: str
    time_remaining_ns: int
    object_id: int
    part: int = 0
    purge_group: int = 0
    size_kb: float = 0.0  # 0 = not told
    is_write: bool = False
    is_retry: bool = False
    tenant: str = ""
    retry_policy: RouteRetryPolicy | None = None  # None = the module's own way in all
    prior_execution: PossibleExecution | None = (
        None  # an earlier request of the same idempotency key that may have run
    )
    prior_attempt_unknown: bool = (
        False  # keyed: a retry of what this router has not seen: where and when is unknown
    )


@dataclass(frozen=True, slots=True)
class ResponseStarted:
    """Streamed classes: the answer has begun, the client owns the attempt."""

    id: str
    attempt: int
    server: str
    elapsed_ns: int


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """One attempt's end; ``final`` where the request needs no answer any more."""

    id: str
    attempt: int
    server: str
    outcome: Outcome
    elapsed_ns: int
    is_final: bool
    fill_result: FillResult = FillResult.NONE
    first_byte_ns: int = 0  # wait for the source's first byte or failure; 0 = not told
    load_report: dict[str, float] = field(default_factory=dict)
    retry_budget_available: bool = True  # the route's budget pays for one more attempt


@dataclass(frozen=True, slots=True)
class HedgeDue:
    """An attempt has been out for so long that its route wants a second copy."""

    id: str
    retry_budget_available: bool  # its budget pays for one


@dataclass(frozen=True, slots=True)
class BackoffElapsed:
    """What Wait asked for."""

    id: str


@dataclass(frozen=True, slots=True)
class ClientDisconnected:
    """The request is over without an answer."""

    id: str


@dataclass(frozen=True, slots=True)
class TimerExpired:
    """A timer of this instance."""

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
    """Bytes from another instance."""

    sender: int
    payload: str


@dataclass(frozen=True, slots=True)
class Purged:
    """An object (or, with None, each object of a group) was purged ago_ns before now."""

    object_id: int | None
    purge_group: int
    ago_ns: int


@dataclass(frozen=True, slots=True)
class SettingsChanged:
    """Settings read again while the instance runs: from now on its classes and limits are these.  A request
    under way keeps the class it came with, and the attempts it was allowed then, if they are fewer."""

    settings: Settings


@dataclass(frozen=True, slots=True)
class RouterShare:
    """Which part of its router's budgets for cold servers this instance has: less than 1 while another
    process of the same router may be sending too.  And whether the origin may be asked for one more that is
    kept: not while an instance begins and has as many out there as it may."""

    share: float
    origin_fills_allowed: bool = True


Event = Union[
    ServerList,
    Request,
    ResponseStarted,
    AttemptEnded,
    HedgeDue,
    BackoffElapsed,
    ClientDisconnected,
    TimerExpired,
    ProbeFinished,
    PeerMessage,
    Purged,
    SettingsChanged,
    RouterShare,
]


# Actions --------------------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class ForwardRequest:
    """One attempt at a cache (or straight at a parent or the origin), with what to do on a miss."""

    id: str
    server: str
    timeout_ns: int
    fill_source: str  # where a miss is filled from; the same server: nothing is filled
    max_age_ns: int = 0  # oldest copy that will do; 0 = the class's fresh time
    retention_rank: int = 0  # 0 = pass through, 1 to 3 = keep at this rank
    coalesce: bool = False  # wait for a fill under way
    cached_only: bool = False  # the source gives only what it holds
    no_parent_copy: bool = False
    refresh_in_background: bool = False  # serve an ageing copy and fetch it anew behind


@dataclass(frozen=True, slots=True)
class Cancel:
    """Stop waiting for an attempt."""

    id: str
    attempt: int


@dataclass(frozen=True, slots=True)
class Reject:
    """Final answer: no; a new try does no harm."""

    id: str
    retry_after_ns: int = 0


@dataclass(frozen=True, slots=True)
class Fail:
    """Final answer: failed; nothing is promised."""

    id: str


@dataclass(frozen=True, slots=True)
class BackOff:
    """A request will be tried again at a clock time, of which WaitOver tells; its route has paid for it."""

    id: str
    until_ns: int


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Ask for TimerDue at a clock time."""

    label: int
    at_ns: int


@dataclass(frozen=True, slots=True)
class Probe:
    """Check a server."""

    server: str


@dataclass(frozen=True, slots=True)
class Subscribe:
    """Ask discovery for changes from now on."""


@dataclass(frozen=True, slots=True)
class Log:
    """A line for the people on call."""

    text: str


Action = Union[ForwardRequest, Cancel, Reject, Fail, BackOff, SetTimer, Probe, Subscribe, Log]
