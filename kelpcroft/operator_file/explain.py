"""Explains the route and the policy of one request, and compares the routing of all requests by two files."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass
from itertools import takewhile
from typing import Any, NamedTuple

from kelpcroft.decision import interface as api
from kelpcroft.diagnostics import NO_POSITION, FilePosition
from kelpcroft.operator_file.match_regions import (
    ALL_REQUESTS,
    OBJECT_DIGITS,
    OBJECT_RANGE,
    Region,
    intersect,
    overlaps,
    regions_of,
    subtract,
)
from kelpcroft.operator_file.model import (
    GROUP_RANGE,
    PART_RANGE,
    AdaptiveDuration,
    Backoff,
    BudgetSettings,
    Hedging,
    OperatorFile,
    Range,
    ResponseTimeout,
    Route,
    RoutePolicy,
)
from kelpcroft.operator_file.values import format_duration
from kelpcroft.routes.index import RouteIndex

MAX_REGIONS_OF_CLASS = 20_000  # regions into which one class is divided for a comparison
MAX_COMPARED_PAIRS = 50 * MAX_REGIONS_OF_CLASS  # pairs of regions of two files, in one class
MAX_SHOWN_REGIONS = 4  # regions shown for one difference
ANY_OBJECT = "0" * OBJECT_DIGITS  # the object of a request for which none is given


@dataclass(frozen=True, slots=True)
class RequestAttributes:
    """The attributes of a request that routes match."""

    request_class: api.RequestClass
    object_id: str = ANY_OBJECT
    part: int = 0
    group: int = 0
    retry: bool = False
    write: bool = False


class PolicyRow(NamedTuple):
    """One field of a policy in words, and its position in the file."""

    name: str
    text: str
    position: FilePosition


class TooManyRegionsError(ValueError):
    """A class is divided into more regions than are compared; the text is for operators."""


def find_route(file: OperatorFile, zone: str, request: RequestAttributes) -> Route | None:
    """The first route that matches a request."""
    index = RouteIndex(file.routes, zone).find(
        request.request_class,
        request.object_id,
        request.group,
        request.part,
        request.retry,
        request.write,
    )
    return file.routes[index] if index >= 0 else None


# A policy in words ----------------------------------------------------------------------------------------


def describe_policy(policy: RoutePolicy) -> Iterator[PolicyRow]:
    """Each stated field of a policy in words, with its position."""
    for field, name, format_value in POLICY_TEXTS:
        value = getattr(policy, field)
        if value is not None:
            yield PolicyRow(name, format_value(value), policy.positions.get(field, NO_POSITION))


def response_timeout_text(timeout: ResponseTimeout) -> str:
    """A duration or a share in words."""
    return format_duration(timeout.ns) if timeout.ns else f"{timeout.share * 100:g}% of the client's timeout"


def adaptive_duration_text(duration: AdaptiveDuration) -> str:
    """A duration or a quantile in words."""
    if not duration.quantile:
        return format_duration(duration.ns)
    lower_bound = f", at least {format_duration(duration.min_ns)}" if duration.min_ns else ""
    upper_bound = f", at most {format_duration(duration.max_ns)}" if duration.max_ns else ""
    return f"p{duration.quantile * 100:g} of recent latencies{lower_bound}{upper_bound}"


def backoff_text(backoff: Backoff) -> str:
    """A back-off in words."""
    jitter_text = ", drawn from 0 to that" if backoff.full_jitter else ""
    return (
        f"from {format_duration(backoff.initial_ns)}, "
        f"doubled up to {format_duration(backoff.max_ns)}{jitter_text}"
    )


def hedging_text(hedging: Hedging) -> str:
    """Hedges in words."""
    if not hedging.max_hedges:
        return "none"
    budget_text = f", from budget {hedging.budget!r}" if hedging.budget else ""
    return f"{hedging.max_hedges} after {adaptive_duration_text(hedging.delay)}{budget_text}"


# Fields of RoutePolicy, their names for operators, and the formats of their values.
POLICY_TEXTS: tuple[tuple[str, str, Callable[[Any], str]], ...] = (
    ("answer_timeout", "timeout", response_timeout_text),
    ("attempt_timeout", "attempt timeout", adaptive_duration_text),
    ("max_attempts", "attempts", "{} that may have run".format),
    ("retry_on", "tried again on", lambda outcomes: ", ".join(sorted(outcomes))),
    ("retry_budget", "budget", "further attempts from {!r}".format),
    ("max_reroutes", "moves", "{} after proof that nothing ran".format),
    ("backoff", "backoff", backoff_text),
    ("hedging", "copies", hedging_text),
    ("max_open_requests", "limit", "{} open at once".format),
    ("retry_after_ns", "pause", format_duration),
)

# Limits for one request -----------------------------------------------------------------------------------


def longest_wait_ns(policy: RoutePolicy, request_class: api.RequestClass) -> int:
    """The longest time in ns that a client of a class waits for its response; 0 = the class states none."""
    deadline_ns = request_class.deadline_ns
    if not policy.answer_timeout or not deadline_ns:
        return deadline_ns
    return policy.answer_timeout.resolve_ns(deadline_ns)


def max_sends(policy: RoutePolicy, request_class: api.RequestClass, limits: api.Limits) -> int:
    """The maximum number of sends for one request of a class."""
    max_attempts = limits.max_attempts
    attempts = 1
    hedges = 0
    if request_class.idempotency is not api.Idempotency.UNSAFE:
        attempts = max_attempts if policy.max_attempts is None else policy.max_attempts
    if request_class.idempotency is api.Idempotency.SAFE and policy.hedging:
        hedges = policy.hedging.max_hedges
    reroutes = max_attempts if policy.max_reroutes is None else policy.max_reroutes
    return min(max_attempts, attempts + hedges + reroutes)


# Comparison -----------------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class Change:
    """Requests of a class that two files treat differently."""

    class_name: str
    where: str  # the regions of the requests, in words
    old: str  # the name of the route in the old file; "" = no route
    new: str  # the name of the route in the new file; "" = no route
    changes: tuple[str, ...]  # the fields of the policy that differ, in words


class RoutedRegion(NamedTuple):
    """A region of a class, and the first route that matches it."""

    region: Region
    route: Route | None


class Difference(NamedTuple):
    """The names of two routes ("" = no route), and the fields of their policies that differ."""

    old: str
    new: str
    changes: tuple[str, ...]


def routed_regions(file: OperatorFile, zone: str, request_class: api.RequestClass) -> list[RoutedRegion]:
    """Divide a class into disjoint regions, each with its first route.  Raises TooManyRegionsError."""
    remaining = [ALL_REQUESTS]
    routed: list[RoutedRegion] = []
    for route in file.routes:
        if not route.match.accepts_class(request_class) or not route.match.accepts_zone(zone):
            continue
        for region in regions_of(route):
            overlapping = [rest for rest in remaining if overlaps(rest, region)]
            if not overlapping:
                continue
            remaining = [rest for rest in remaining if not overlaps(rest, region)]
            for rest in overlapping:
                routed.append(RoutedRegion(intersect(rest, region), route))
                remaining.extend(subtract(rest, region))
        if len(remaining) + len(routed) > MAX_REGIONS_OF_CLASS:
            raise TooManyRegionsError(
                f"class {request_class.name!r} is divided into over {MAX_REGIONS_OF_CLASS} regions; "
                "compare smaller files"
            )
    return routed + [RoutedRegion(rest, None) for rest in remaining]


def region_text(region: Region) -> str:
    """A region in the syntax of a match."""
    retry, write, group, part, objects = region
    texts = [
        *flag_texts("retry", retry),
        *flag_texts("write", write),
        *range_texts("group", group, GROUP_RANGE),
        *range_texts("part", part, PART_RANGE),
    ]
    if objects != OBJECT_RANGE:
        texts.append(object_text(objects))
    return " ".join(texts) or "all of it"


def flag_texts(name: str, values: Range) -> list[str]:
    """A flag in the syntax of a match; empty where both values match."""
    low, high = values
    return [f"{name}=#{'true' if low else 'false'}"] if low == high else []


def range_texts(name: str, values: Range, full_range: Range) -> list[str]:
    """A range in the syntax of a match; empty for the full range."""
    if values == full_range:
        return []
    low, high = values
    return [f'{name}="{low}"'] if low == high else [f'{name}="{low}..{high}"']


def object_text(objects: Range) -> str:
    """A range of objects: their common prefix, where the range has all objects with it, or else both ends."""
    low, high = objects
    first = f"{low:0{OBJECT_DIGITS}x}"
    last = f"{high:0{OBJECT_DIGITS}x}"
    prefix_length = sum(1 for _ in takewhile(lambda pair: pair[0] == pair[1], zip(first, last, strict=True)))
    if set(first[prefix_length:]) <= {"0"} and set(last[prefix_length:]) <= {"f"}:
        return f'object="{first[:prefix_length]}"'
    return f"objects {first} to {last}"


def route_texts(route: Route | None, budgets: dict[str, BudgetSettings]) -> dict[str, str]:
    """The policy of a route in words, and the settings of the budgets that it names."""
    if route is None:
        return {}
    policy = route.policy
    texts = {row.name: row.text for row in describe_policy(policy)}
    hedge_budget = policy.hedging.budget if policy.hedging else None
    for name in {policy.retry_budget, hedge_budget} - {None}:
        budget = budgets[name or ""]
        texts[f"budget {name!r}"] = (
            f"ratio {budget.ratio:g}, least {budget.min_per_s:g}/s, burst {budget.burst:g}"
        )
    return texts


def differences(
    old: OperatorFile, new: OperatorFile, zone: str, classes: Iterable[api.RequestClass]
) -> Iterator[Change]:
    """The requests of these classes that two files treat differently.

    Raises:
        TooManyRegionsError: A class is divided into more regions than are compared.
    """
    for request_class in classes:
        for difference, regions in differences_of_class(old, new, zone, request_class).items():
            hidden_count = len(regions) - MAX_SHOWN_REGIONS
            more = f" and {hidden_count} more" if hidden_count > 0 else ""
            where = "; ".join(regions[:MAX_SHOWN_REGIONS]) + more
            yield Change(request_class.name, where, difference.old, difference.new, difference.changes)


def differences_of_class(
    old: OperatorFile, new: OperatorFile, zone: str, request_class: api.RequestClass
) -> dict[Difference, list[str]]:
    """Each difference in one class, with its regions in words."""
    old_budgets = {budget.name: budget for budget in old.budgets}
    new_budgets = {budget.name: budget for budget in new.budgets}
    old_regions = routed_regions(old, zone, request_class)
    new_regions = routed_regions(new, zone, request_class)
    if len(old_regions) * len(new_regions) > MAX_COMPARED_PAIRS:
        raise TooManyRegionsError(
            f"class {request_class.name!r} is divided into too many regions; compare smaller files"
        )
    regions_by_difference: dict[Difference, list[str]] = {}
    for old_region, old_route in old_regions:
        old_texts = route_texts(old_route, old_budgets)
        for new_region, new_route in new_regions:
            if not overlaps(old_region, new_region):
                continue
            changes = changed_texts(old_texts, route_texts(new_route, new_budgets))
            if changes:
                difference = Difference(route_name(old_route), route_name(new_route), changes)
                region = region_text(intersect(old_region, new_region))
                regions_by_difference.setdefault(difference, []).append(region)
    return regions_by_difference


def route_name(route: Route | None) -> str:
    """The name of a route; empty for None."""
    return route.name if route else ""


def changed_texts(old: dict[str, str], new: dict[str, str]) -> tuple[str, ...]:
    """The fields that differ between two policies in words, by name."""
    return tuple(
        f"{name}: {old.get(name, 'not said')} -> {new.get(name, 'not said')}"
        for name in sorted({*old, *new})
        if old.get(name) != new.get(name)
    )
