"""The operator's file as typed, frozen values.  Times are integer nanoseconds; None = not said."""

from __future__ import annotations

from dataclasses import dataclass, field

from kelpcroft.decision.interface import RequestClass
from kelpcroft.diagnostics import NO_POSITION, FilePosition
from kelpcroft.startup.options import StartupOptions

Range = tuple[int, int]  # both ends included
GROUP_RANGE: Range = (0, 255)
PART_RANGE: Range = (0, 9_999)
EFFECT_NAMES = ("safe", "keyed", "unsafe")
# Of these an attempt may have run; what proves that nothing ran is followed by a reroute, see RoutePolicy.
RETRYABLE_OUTCOMES = ("error", "reset", "timeout")
MAX_BACKOFF_DOUBLINGS = 40  # a wait has reached any ``max_ns`` by then


@dataclass(frozen=True, slots=True)
class AnswerTimeout:
    """Time for the whole answer: a duration, or a share of the client's own patience."""

    ns: int = 0
    share: float = 0.0

    def within(self, patience_ns: int) -> int:
        """The time for a client of this patience, never beyond it, in ns."""
        return min(patience_ns, self.ns or int(self.share * patience_ns))


@dataclass(frozen=True, slots=True)
class AdaptiveDuration:
    """A fixed duration, or a quantile (0 to 1) of the route's own recent answers within two bounds."""

    ns: int = 0
    quantile: float = 0.0
    min_ns: int = 0
    max_ns: int = 0

    def longest_ns(self) -> int:
        """The longest that it can be; 0 = no end is stated."""
        return self.ns or self.max_ns

    def shortest_ns(self) -> int:
        """The shortest that it can be; 0 = no such is stated."""
        return self.ns or self.min_ns


@dataclass(frozen=True, slots=True)
class Backoff:
    """Exponential back-off: ``initial_ns``, doubled up to ``max_ns``; full jitter draws from 0 to that."""

    initial_ns: int
    max_ns: int
    full_jitter: bool = False

    def step_ns(self, retry: int) -> int:
        """The wait before a retry, counted from 0, without jitter."""
        return min(self.max_ns, self.initial_ns << min(retry, MAX_BACKOFF_DOUBLINGS))

    def longest_total_ns(self, attempts: int) -> int:
        """All waits together, at the longest, of a request with so many attempts."""
        return sum(self.step_ns(retry) for retry in range(attempts - 1))


@dataclass(frozen=True, slots=True)
class Hedging:
    """Second copies of a request that is still unanswered (``copies`` in the file)."""

    max_hedges: int
    delay: AdaptiveDuration
    budget: str | None = None


@dataclass(frozen=True, slots=True)
class RouteMatch:
    """Which requests a route takes.  A field that is empty or None takes all; fields are joined by "and"."""

    classes: tuple[str, ...] = ()
    groups: tuple[Range, ...] = ()
    objects: tuple[str, ...] = ()  # hex digits that the object begins with
    parts: tuple[Range, ...] = ()
    zones: tuple[str, ...] = ()
    retry: bool | None = None  # a client's own retry
    write: bool | None = None  # it has a body
    effects: tuple[str, ...] = ()  # the class's, whatever the class is called, as the next two are
    uncacheable: bool | None = None  # it runs at the origin and leaves no copy (``through`` in the file)
    multipart: bool | None = None  # objects of the class have parts

    def asks_class_properties(self) -> bool:
        """Whether it asks what a class is, beside what it is called."""
        return bool(self.effects) or self.uncacheable is not None or self.multipart is not None

    def accepts_class(self, request_class: RequestClass) -> bool:
        """Whether it takes requests of a class, as far as that depends on the class alone."""
        return (
            (not self.classes or request_class.name in self.classes)
            and (not self.effects or request_class.idempotency.value in self.effects)
            and self.uncacheable in (None, request_class.uncacheable)
            and self.multipart in (None, request_class.multipart)
        )

    def accepts_zone(self, zone: str) -> bool:
        """Whether it takes requests of routers in a zone."""
        return not self.zones or zone in self.zones

    def matches_everything(self) -> bool:
        """Whether it takes whatever comes."""
        return self == RouteMatch()


@dataclass(frozen=True, slots=True)
class RoutePolicy:
    """What a route, or the defaults, let one request cost; what is None is left to whoever is asked next.

    Attributes:
        answer_timeout: For the whole answer (``timeout`` in the file).
        attempt_timeout: For one attempt (``attempt timeout=``).
        max_attempts: Sends that may have run, without hedges (``attempts most=``).
        retry_on: Outcomes, of RETRYABLE_OUTCOMES, after which another attempt is made (``attempts on=``).
        retry_budget: Name of the budget that pays for further attempts (``attempts budget=``).
        max_reroutes: Further sends after proof that nothing ran (``moves most=``).
        backoff: Waits between attempts.
        hedging: Second copies (``copies``).
        max_open_requests: Of the route at once (``limit open=``).
        retry_after_ns: Pause that a rejected client is asked to make (``pause``).
        positions: Where the file states each of them, by the names above.
    """

    answer_timeout: AnswerTimeout | None = None
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
        """This policy, with what it does not say taken from the defaults."""
        if defaults == RoutePolicy():
            return self
        merged = {}
        for name in POLICY_FIELDS:
            stated = getattr(self, name)
            merged[name] = getattr(defaults, name) if stated is None else stated
        return RoutePolicy(**merged, positions={**defaults.positions, **self.positions})


# Fields of RoutePolicy that a file may say, by name.
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
    """A retry budget as the file declares it: further attempts and hedges that requests earn.

    Each request earns ``ratio``, and time ``min_per_s`` a second at the least; up to ``burst`` are kept.
    """

    name: str
    ratio: float
    min_per_s: float
    burst: float
    position: FilePosition = field(default=NO_POSITION, compare=False)


@dataclass(frozen=True, slots=True)
class Route:
    """A route with the defaults laid under it."""

    name: str
    match: RouteMatch
    policy: RoutePolicy
    position: FilePosition = field(default=NO_POSITION, compare=False)
    match_position: FilePosition = field(default=NO_POSITION, compare=False)


@dataclass(frozen=True, slots=True)
class ControlReplicas:
    """Control replicas that tell the list and the purges, in place of the configuration's feed."""

    addresses: tuple[tuple[str, int], ...]
    stale_after_ns: int = 3 * 10**9  # after which a replica without news from upstream is left


@dataclass(frozen=True, slots=True)
class OperatorFile:
    """A whole file.  Without routes it bounds nothing."""

    routes: tuple[Route, ...] = ()
    budgets: tuple[BudgetSettings, ...] = ()
    defaults: RoutePolicy = RoutePolicy()
    exposes_state: bool = False  # the control address shows what this process is and did
    start_options: StartupOptions = StartupOptions()  # noqa: RUF009 - frozen, so it may be shared
    control_replicas: ControlReplicas | None = None
    start_position: FilePosition = field(default=NO_POSITION, compare=False)
