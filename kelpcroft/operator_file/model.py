"""The model of an operator's file: frozen values.  Times are integer nanoseconds; None = not stated."""

from __future__ import annotations

from dataclasses import dataclass, field

from kelpcroft.decision.interface import RequestClass
from kelpcroft.diagnostics import NO_POSITION, FilePosition
from kelpcroft.startup.options import StartupOptions

Range = tuple[int, int]  # both ends included
GROUP_RANGE: Range = (0, 255)  # all groups of objects
PART_RANGE: Range = (0, 9_999)  # all parts of an object
EFFECT_NAMES = ("safe", "keyed", "unsafe")  # values of ``effect`` in a match
# Outcomes of an attempt that may have run.  Outcomes that prove that nothing ran lead to a reroute instead,
# see RoutePolicy.
RETRYABLE_OUTCOMES = ("error", "reset", "timeout")
MAX_BACKOFF_DOUBLINGS = 40  # after so many doublings a wait has reached any ``max_ns``


@dataclass(frozen=True, slots=True)
class ResponseTimeout:
    """Response timeout: a duration, or a share of the client's own timeout."""

    ns: int = 0
    share: float = 0.0

    def resolve_ns(self, client_timeout_ns: int) -> int:
        """The timeout in ns for a client with this timeout of its own, which is never exceeded."""
        return min(client_timeout_ns, self.ns or int(self.share * client_timeout_ns))


@dataclass(frozen=True, slots=True)
class AdaptiveDuration:
    """A fixed duration, or a quantile (0 to 1) of the route's recent latencies, limited by two bounds."""

    ns: int = 0
    quantile: float = 0.0
    min_ns: int = 0
    max_ns: int = 0

    def upper_bound_ns(self) -> int:
        """The upper bound; 0 = none is stated."""
        return self.ns or self.max_ns

    def lower_bound_ns(self) -> int:
        """The lower bound; 0 = none is stated."""
        return self.ns or self.min_ns


@dataclass(frozen=True, slots=True)
class Backoff:
    """Exponential back-off: ``initial_ns``, doubled up to ``max_ns``; full jitter draws from 0 to it."""

    initial_ns: int
    max_ns: int
    full_jitter: bool = False

    def step_ns(self, retry: int) -> int:
        """The wait before a retry without jitter; retries are counted from 0."""
        return min(self.max_ns, self.initial_ns << min(retry, MAX_BACKOFF_DOUBLINGS))

    def max_total_ns(self, attempts: int) -> int:
        """The upper bound of the sum of all waits of a request with this number of attempts."""
        return sum(self.step_ns(retry) for retry in range(attempts - 1))


@dataclass(frozen=True, slots=True)
class Hedging:
    """Hedges: further copies of a request that has no response yet (``copies`` in the file)."""

    max_hedges: int
    delay: AdaptiveDuration
    budget: str | None = None


@dataclass(frozen=True, slots=True)
class RouteMatch:
    """The conditions of a route: a request must meet all of them.  An empty field or None is no condition."""

    classes: tuple[str, ...] = ()
    groups: tuple[Range, ...] = ()
    objects: tuple[str, ...] = ()  # prefixes of object identifiers, in hex digits
    parts: tuple[Range, ...] = ()
    zones: tuple[str, ...] = ()
    retry: bool | None = None  # the request is a retry by the client
    write: bool | None = None  # the request has a body
    effects: tuple[str, ...] = ()  # a property of the class, independent of its name, as are the next two
    uncacheable: bool | None = None  # runs at the origin and is not cached (``through`` in the file)
    multipart: bool | None = None  # objects of the class have parts

    def has_class_property_conditions(self) -> bool:
        """Whether it has conditions on properties of the class other than its name."""
        return bool(self.effects) or self.uncacheable is not None or self.multipart is not None

    def accepts_class(self, request_class: RequestClass) -> bool:
        """Whether a class meets the conditions that depend on the class alone."""
        return (
            (not self.classes or request_class.name in self.classes)
            and (not self.effects or request_class.idempotency.value in self.effects)
            and self.uncacheable in (None, request_class.uncacheable)
            and self.multipart in (None, request_class.multipart)
        )

    def accepts_zone(self, zone: str) -> bool:
        """Whether requests that arrive at routers of a zone can match."""
        return not self.zones or zone in self.zones

    def matches_everything(self) -> bool:
        """Whether it has no conditions."""
        return self == RouteMatch()


@dataclass(frozen=True, slots=True)
class RoutePolicy:
    """The limits that a route, or the defaults, set for one request.

    Where a field is None, the defaults apply; where they have None too, the decision package decides.

    Attributes:
        answer_timeout: Response timeout (``timeout`` in the file).
        attempt_timeout: Attempt timeout (``attempt timeout=``).
        max_attempts: Attempts that may have run, without hedges (``attempts most=``).
        retry_on: Outcomes, of RETRYABLE_OUTCOMES, after which another attempt is made (``attempts on=``).
        retry_budget: Name of the budget that pays for further attempts (``attempts budget=``).
        max_reroutes: Further attempts after proof that nothing ran (``moves most=``).
        backoff: Waits between attempts.
        hedging: Hedges (``copies``).
        max_open_requests: Open requests of the route at any time (``limit open=``).
        retry_after_ns: Pause before a retry that is sent to a rejected client (``pause``).
        positions: Positions of the fields in the file, by the names above.
    """

    answer_timeout: ResponseTimeout | None = None
    attempt_timeout: AdaptiveDuration | None = None
    max_attempts: int | None = None
    retry_on: frozenset[str] | None = None
    retry_budget: str | None = None
    max_reroutes: int | None = None
    backoff: Backoff | None = None
    hedging: Hedging | None = None
    max_open_requests: int | None = None
    retry_after_ns: int | None = None
    positions: dict[str, FilePosition] = field(default_factory=dict, compare=False)

    def with_defaults(self, defaults: RoutePolicy) -> RoutePolicy:
        """This policy, with fields that are None taken from the defaults."""
        if defaults == RoutePolicy():
            return self
        merged = {}
        for name in POLICY_FIELDS:
            stated = getattr(self, name)
            merged[name] = getattr(defaults, name) if stated is None else stated
        return RoutePolicy(**merged, positions={**defaults.positions, **self.positions})


# Names of the fields of RoutePolicy that a file may state.
POLICY_FIELDS = (
    "answer_timeout",
    "attempt_timeout",
    "max_attempts",
    "retry_on",
    "retry_budget",
    "max_reroutes",
    "backoff",
    "hedging",
    "max_open_requests",
    "retry_after_ns",
)


@dataclass(frozen=True, slots=True)
class BudgetSettings:
    """A declared retry budget: its tokens pay for further attempts and hedges.

    Each request earns ``ratio`` tokens, and each second ``min_per_s``.  The balance is at most ``burst``.
    """

    name: str
    ratio: float
    min_per_s: float
    burst: float
    position: FilePosition = field(default=NO_POSITION, compare=False)


@dataclass(frozen=True, slots=True)
class Route:
    """A route, with the defaults merged into its policy."""

    name: str
    match: RouteMatch
    policy: RoutePolicy
    position: FilePosition = field(default=NO_POSITION, compare=False)
    match_position: FilePosition = field(default=NO_POSITION, compare=False)


@dataclass(frozen=True, slots=True)
class ControlReplicas:
    """Control replicas that send the endpoint list and the purges, instead of the configuration's feed."""

    addresses: tuple[tuple[str, int], ...]
    stale_after_ns: int = 3 * 10**9  # a replica whose state is older than this is abandoned


@dataclass(frozen=True, slots=True)
class OperatorFile:
    """The contents of a file.  Without routes it limits nothing."""

    routes: tuple[Route, ...] = ()
    budgets: tuple[BudgetSettings, ...] = ()
    defaults: RoutePolicy = RoutePolicy()
    exposes_state: bool = False  # the control address serves the identity and the state of this process
    start_options: StartupOptions = StartupOptions()  # noqa: RUF009 - frozen, so it may be shared
    control_replicas: ControlReplicas | None = None
    start_position: FilePosition = field(default=NO_POSITION, compare=False)
