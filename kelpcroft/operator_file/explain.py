"""What a file makes of one request, and what two files make of all requests."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from kelpcroft.decision import interface as api
from kelpcroft.operator_file.check import span
from kelpcroft.operator_file.diagnostics import FilePosition
from kelpcroft.operator_file.match_regions import WHOLE, Box, boxes, cut, meets
from kelpcroft.operator_file.model import (
    GROUP_RANGE,
    PART_RANGE,
    AdaptiveDuration,
    BudgetSettings,
    OperatorFile,
    Range,
    Route,
    RoutePolicy,
)
from kelpcroft.routes.index import RouteIndex

REGIONS_MOST = 20_000  # boxes into which one class is cut for a comparison
Row = tuple[str, str, FilePosition]  # what, its value in words, where it was said


@dataclass(frozen=True, slots=True)
class RequestAttributes:
    """One request, as far as routes look at it."""

    cls: api.RequestClass
    object: str = "0" * 16
    part: int = 0
    group: int = 0
    retry: bool = False
    write: bool = False


def find_route(file: OperatorFile, zone: str, asked: RequestAttributes) -> Route | None:
    """The first route that takes a request."""
    at = RouteIndex(file.routes, zone).find(
        asked.cls, asked.object, asked.group, asked.part, asked.retry, asked.write
    )
    return file.routes[at] if at >= 0 else None


def moment_words(m: AdaptiveDuration) -> str:
    """A duration or a quantile in words."""
    if not m.quantile:
        return span(m.ns)
    least = f", at least {span(m.least_ns)}" if m.least_ns else ""
    most = f", at most {span(m.most_ns)}" if m.most_ns else ""
    return f"p{m.quantile * 100:g} of recent answers{least}{most}"


def rows(b: RoutePolicy) -> Iterator[Row]:
    """Each bound that is said, in words, with its place."""

    def row(key: str, name: str, words: str) -> Row:
        return name, words, b.places.get(key, FilePosition())

    if b.timeout:
        yield row(
            "timeout",
            "timeout",
            span(b.timeout.ns) if b.timeout.ns else f"{b.timeout.share * 100:g}% of the client's patience",
        )
    if b.attempt:
        yield row("attempt", "attempt timeout", moment_words(b.attempt))
    if b.attempts is not None:
        yield row("attempts", "attempts", f"{b.attempts} that may have run")
    if b.on is not None:
        yield row("on", "tried again on", ", ".join(sorted(b.on)))
    if b.budget is not None:
        yield row("budget", "budget", f"further attempts from {b.budget!r}")
    if b.moves is not None:
        yield row("moves", "moves", f"{b.moves} after proof that nothing ran")
    if b.backoff:
        yield row(
            "backoff",
            "backoff",
            f"from {span(b.backoff.first_ns)}, doubled up to {span(b.backoff.most_ns)}"
            + (", drawn from 0 to that" if b.backoff.jitter else ""),
        )
    if b.copies:
        paid = f", from budget {b.copies.budget!r}" if b.copies.budget else ""
        yield row(
            "copies",
            "copies",
            f"{b.copies.most} after {moment_words(b.copies.after)}{paid}" if b.copies.most else "none",
        )
    if b.open is not None:
        yield row("open", "limit", f"{b.open} open at once")
    if b.pause_ns is not None:
        yield row("pause_ns", "pause", span(b.pause_ns))


def longest_wait(b: RoutePolicy, cls: api.RequestClass) -> int:
    """The longest that a client of a class can wait for its answer, in ns; 0 = not told."""
    return b.timeout.within(cls.deadline_ns) if b.timeout and cls.deadline_ns else cls.deadline_ns


def most_sends(b: RoutePolicy, cls: api.RequestClass, limits: api.Limits) -> int:
    """The most sends that one request of a class can cause."""
    most = limits.max_attempts
    if cls.idempotency is api.Idempotency.UNSAFE:
        attempts, copies = 1, 0
    else:
        attempts = most if b.attempts is None else b.attempts
        copies = b.copies.most if b.copies and cls.idempotency is api.Idempotency.SAFE else 0
    moves = most if b.moves is None else b.moves
    return min(most, attempts + copies + moves)


# Comparison -----------------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class Change:
    """Requests of a class that two files treat differently."""

    cls: str
    where: str
    old: str  # the route's name; "" = none
    new: str
    what: tuple[str, ...]  # bounds that differ, in words


def regions(file: OperatorFile, zone: str, cls: api.RequestClass) -> list[tuple[Box, Route | None]]:
    """A class cut into disjoint boxes, each with its first route."""
    left, found = [WHOLE], []
    for route in file.routes:
        m = route.match
        if not m.accepts_class(cls) or m.zones and zone not in m.zones:
            continue
        for box in boxes(route):
            hit = [b for b in left if meets(b, box)]
            if not hit:
                continue
            left = [b for b in left if not meets(b, box)]
            for b in hit:
                found.append((common(b, box), route))
                left.extend(cut(b, box))
        if len(left) + len(found) > REGIONS_MOST:
            raise ValueError(
                f"class {cls.name!r} falls into over {REGIONS_MOST} pieces; compare smaller files"
            )
    return found + [(b, None) for b in left]


def common(a: Box, b: Box) -> Box:
    """What two boxes that meet share."""
    return tuple((max(x[0], y[0]), min(x[1], y[1])) for x, y in zip(a, b, strict=True))


def words_of(box: Box) -> str:
    """A box in the words of a match."""
    flags, rest = box[:2], box[2:]
    said = [
        f"{name}=#{'true' if low else 'false'}"
        for name, (low, high) in zip(("retry", "write"), flags, strict=True)
        if low == high
    ]

    def ranged(name: str, r: Range, whole: Range) -> None:
        if r != whole:
            said.append(f'{name}="{r[0]}..{r[1]}"' if r[0] != r[1] else f'{name}="{r[0]}"')

    ranged("group", rest[0], GROUP_RANGE)
    ranged("part", rest[1], PART_RANGE)
    low, high = rest[2]
    if (low, high) != (0, (1 << 64) - 1):
        first, last = f"{low:016x}", f"{high:016x}"
        prefix = 0
        while prefix < 16 and first[prefix] == last[prefix]:
            prefix += 1
        whole = set(first[prefix:]) <= {"0"} and set(last[prefix:]) <= {"f"}
        said.append(f'object="{first[:prefix]}"' if whole else f"objects {first} to {last}")
    return " ".join(said) or "all of it"


def said(route: Route | None, budgets: dict[str, BudgetSettings]) -> dict[str, str]:
    """A route's bounds in words, those of its budgets with them."""
    if route is None:
        return {}
    found = {name: words for name, words, _ in rows(route.bounds)}
    for name in {route.bounds.budget, route.bounds.copies.budget if route.bounds.copies else None} - {None}:
        b = budgets[name or ""]
        found[f"budget {name!r}"] = f"ratio {b.ratio:g}, least {b.least_per_s:g}/s, burst {b.burst:g}"
    return found


def differences(
    old: OperatorFile, new: OperatorFile, zone: str, classes: Iterable[api.RequestClass]
) -> Iterator[Change]:
    """Which requests of these classes are treated differently.  Raises ValueError for files in too many
    pieces."""
    old_budgets, new_budgets = ({b.name: b for b in file.budgets} for file in (old, new))
    for cls in classes:
        merged: dict[tuple[str, str, tuple[str, ...]], list[str]] = {}
        before, after = regions(old, zone, cls), regions(new, zone, cls)
        if len(before) * len(after) > 50 * REGIONS_MOST:
            raise ValueError(f"class {cls.name!r} falls into too many pieces; compare smaller files")
        for box, a in before:
            mine = said(a, old_budgets)
            for other, b in after:
                if not meets(box, other):
                    continue
                theirs = said(b, new_budgets)
                what = tuple(
                    f"{key}: {mine.get(key, 'not said')} -> {theirs.get(key, 'not said')}"
                    for key in sorted({*mine, *theirs})
                    if mine.get(key) != theirs.get(key)
                )
                if what:
                    key = a.name if a else "", b.name if b else "", what
                    merged.setdefault(key, []).append(words_of(common(box, other)))
        for (old_name, new_name, what), where in merged.items():
            more = f" and {len(where) - 4} more" if len(where) > 4 else ""
            yield Change(cls.name, "; ".join(where[:4]) + more, old_name, new_name, what)
