"""The operator's file as typed, frozen values.  Times are integer nanoseconds; None = not said."""

from __future__ import annotations

from dataclasses import dataclass, field

from kelpcroft.decision.interface import RequestClass
from kelpcroft.operator_file.diagnostics import FilePosition
from kelpcroft.startup.options import StartupOptions

Range = tuple[int, int]  # both ends included
GROUP_RANGE: Range = (0, 255)
PART_RANGE: Range = (0, 9_999)
EFFECT_NAMES = ("safe", "keyed", "unsafe")
RETRYABLE_OUTCOMES = ("error", "reset", "timeout")  # may have run; what proves that nothing ran is a move


@dataclass(frozen=True, slots=True)
class AnswerTimeout:
    """A duration, or a share of the client's patience."""

    ns: int = 0
    share: float = 0.0

    def within(self, patience_ns: int) -> int:
        """The wait for a client of this patience, never beyond it."""
        return min(patience_ns, self.ns or int(self.share * patience_ns))


@dataclass(frozen=True, slots=True)
class AdaptiveDuration:
    """A duration, or a quantile (0 to 1) of the route's own recent answers between ``least`` and ``most``."""

    ns: int = 0
    quantile: float = 0.0
    least_ns: int = 0
    most_ns: int = 0

    def longest_ns(self) -> int:
        """The longest that it can be; 0 = no end is stated."""
        return self.ns or self.most_ns

    def shortest_ns(self) -> int:
        """The shortest that it can be; 0 = no such is stated."""
        return self.ns or self.least_ns


@dataclass(frozen=True, slots=True)
class Backoff:
    """Waits between attempts: ``first``, doubled up to ``most``; with jitter each is drawn from 0 to that."""

    first_ns: int
    most_ns: int
    jitter: bool = False

    def longest_total_ns(self, attempts: int) -> int:
        """All waits together, at the longest, of a request with so many attempts."""
        return sum(min(self.most_ns, self.first_ns << min(n, 40)) for n in range(attempts - 1))


@dataclass(frozen=True, slots=True)
class Hedging:
    """Second copies of a request that is still out."""

    most: int
    after: AdaptiveDuration
    budget: str | None = None


@dataclass(frozen=True, slots=True)
class RouteMatch:
    """Which requests a route takes; an empty field takes all."""

    classes: tuple[str, ...] = ()
    groups: tuple[Range, ...] = ()
    objects: tuple[str, ...] = ()  # hex digits that the object begins with
    parts: tuple[Range, ...] = ()
    zones: tuple[str, ...] = ()
    retry: bool | None = None
    write: bool | None = None
    effects: tuple[str, ...] = ()  # what a class is, whatever it is called: see ``fits``
    through: bool | None = None
    multipart: bool | None = None

    def asks_class_properties(self) -> bool:
        """Whether it asks what a class is."""
        return bool(self.effects) or self.through is not None or self.multipart is not None

    def accepts_class(self, cls: RequestClass) -> bool:
        """Whether it takes requests of a class: by its name, its effect, whether it runs at the origin and
        leaves no copy, and whether its objects have parts."""
        return (
            (not self.classes or cls.name in self.classes)
            and (not self.effects or cls.idempotency.value in self.effects)
            and self.through in (None, cls.uncacheable)
            and self.multipart in (None, cls.multipart)
        )

    def matches_everything(self) -> bool:
        """Whether it takes whatever comes."""
        return self == RouteMatch()


@dataclass(frozen=True, slots=True)
class RoutePolicy:
    """What a route, or the defaults, say; None is left to whoever is asked next."""

    timeout: AnswerTimeout | None = None
    attempt: AdaptiveDuration | None = None
    attempts: int | None = None
    on: frozenset[str] | None = None
    budget: str | None = None
    moves: int | None = None
    backoff: Backoff | None = None
    copies: Hedging | None = None
    open: int | None = None
    pause_ns: int | None = None
    places: dict[str, FilePosition] = field(default_factory=dict, compare=False)  # of each that is said

    def over(self, below: RoutePolicy) -> RoutePolicy:
        """These, with what they do not say taken from ``below``."""
        if below == RoutePolicy():
            return self
        merged = {key: getattr(self if getattr(self, key) is not None else below, key) for key in KEYS}
        return RoutePolicy(**merged, places={**below.places, **self.places})


KEYS = ("timeout", "attempt", "attempts", "on", "budget", "moves", "backoff", "copies", "open", "pause_ns")


@dataclass(frozen=True, slots=True)
class BudgetSettings:
    """Further attempts and copies that requests earn: ``ratio`` each, ``least`` a second at the least; up to
    ``burst`` are kept."""

    name: str
    ratio: float
    least_per_s: float
    burst: float
    position: FilePosition = field(default=FilePosition(), compare=False)


@dataclass(frozen=True, slots=True)
class Route:
    """A route with the defaults laid under it."""

    name: str
    match: RouteMatch
    bounds: RoutePolicy
    place: FilePosition = field(default=FilePosition(), compare=False)
    match_place: FilePosition = field(default=FilePosition(), compare=False)


@dataclass(frozen=True, slots=True)
class ControlReplicas:
    """Control replicas that tell the list and the purges, in place of the configuration's feed."""

    addresses: tuple[tuple[str, int], ...]
    stale_after_ns: int = 3 * 10**9  # one that has heard nothing for so long is left for another


@dataclass(frozen=True, slots=True)
class OperatorFile:
    """A whole file.  Without routes it bounds nothing."""

    routes: tuple[Route, ...] = ()
    budgets: tuple[BudgetSettings, ...] = ()
    defaults: RoutePolicy = RoutePolicy()
    exposes_state: bool = False  # the control address tells what this process is and did
    start_options: StartupOptions = StartupOptions()
    control_replicas: ControlReplicas | None = None
    start_position: FilePosition = field(default=FilePosition(), compare=False)
