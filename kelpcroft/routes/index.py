"""The first route that takes a request, at a cost that does not grow with the number of routes.

Routes are put by the object prefixes that they name (none: the empty one); a request looks under each prefix
length in use, 17 at the most.  Under a prefix, routes of a class, retry and write are laid out in the plane
of groups and parts once one such request comes: in runs of parts that one route takes, for each run of groups
that are treated alike.  Two bisections find the earliest of them.
"""

from __future__ import annotations

from array import array
from bisect import bisect_right
from collections.abc import Iterable, Sequence

from kelpcroft.decision.interface import RequestClass
from kelpcroft.operator_file.model import GROUP_RANGE, PART_RANGE, Range, Route

NOBODY = 0xFFFFFFFF
Placed = list[tuple[int, Route]]  # with their places in the file
CELLS_MOST = 40_000  # of a plane, runs of groups times routes; see too_complex


class Plane:
    """Routes of one prefix, class, retry and write, by group and part."""

    def __init__(self, routes: Sequence[tuple[int, Route]]) -> None:
        self.groups = [GROUP_RANGE[0]]
        edges = {GROUP_RANGE[0]}
        for _, route in routes:
            for low, high in route.match.groups:
                edges |= {low, high + 1}
        self.groups = sorted(edge for edge in edges if edge <= GROUP_RANGE[1])
        self.starts: list[array[int]] = []
        self.orders: list[array[int]] = []
        drawn: dict[tuple[int, ...], int] = {}
        for low in self.groups:
            here = [(order, route) for order, route in routes if in_any_range(route.match.groups, low)]
            key = tuple(order for order, _ in here)
            at = drawn.setdefault(key, len(self.starts))
            if at == len(self.starts):  # runs of groups that are treated alike share theirs
                starts, orders = paint((order, route.match.parts) for order, route in here)
            else:
                starts, orders = self.starts[at], self.orders[at]
            self.starts.append(starts)
            self.orders.append(orders)
        self.uniform = len(self.groups) == 1 and len(self.orders[0]) == 1
        self.only = self.orders[0][0]

    def first(self, group: int, part: int) -> int:
        """The place of the earliest route, or NOBODY."""
        at = bisect_right(self.groups, group) - 1
        return self.orders[at][bisect_right(self.starts[at], part) - 1]


def in_any_range(ranges: Sequence[Range], value: int) -> bool:
    """Whether a value lies in one of them; in none at all, any does."""
    return not ranges or any(low <= value <= high for low, high in ranges)


def paint(routes: Iterable[tuple[int, Sequence[Range]]]) -> tuple[array[int], array[int]]:
    """Runs of parts: where each starts, and the earliest route that takes it.  Routes come in their order; a
    part once painted stays, and ``after`` leaps over what is."""
    ranges = [(order, low, high + 1) for order, parts in routes for low, high in parts or (PART_RANGE,)]
    edges = sorted({PART_RANGE[0], PART_RANGE[1] + 1, *(e for _, low, high in ranges for e in (low, high))})
    place = {edge: at for at, edge in enumerate(edges)}
    colour = array("L", [NOBODY]) * (len(edges) - 1)
    after = list(range(len(edges)))

    def unpainted(at: int) -> int:
        while after[at] != at:
            after[at] = after[after[at]]
            at = after[at]
        return at

    for order, low, high in ranges:
        at, end = unpainted(place[low]), place[high]
        while at < end:
            colour[at], after[at] = order, at + 1
            at = unpainted(at)
    starts, orders = array("L"), array("L")
    for at, order in enumerate(colour):
        if not orders or orders[-1] != order:
            starts.append(edges[at])
            orders.append(order)
    return starts, orders


class Kind:
    """Routes for one class, retry and write: by length of prefix, then by prefix.  Planes are laid out when
    they are first wanted; their number is bounded by the file."""

    def __init__(self, by_prefix: dict[str, Placed], cls: RequestClass, retry: bool, write: bool) -> None:
        self.cls = cls
        levels: dict[int, dict[str, Placed]] = {}
        for prefix, routes in by_prefix.items():
            here = [
                (order, route)
                for order, route in routes
                if route.match.accepts_class(cls)
                and route.match.retry in (None, retry)
                and route.match.write in (None, write)
            ]
            if here:
                levels.setdefault(len(prefix), {})[prefix] = here
        self.waiting = levels
        self.planes: dict[int, dict[str, Plane | None]] = {
            length: dict.fromkeys(found) for length, found in sorted(levels.items())
        }

    def first(self, object: str, group: int, part: int) -> int:
        """The place of the earliest route, or NOBODY."""
        best = NOBODY
        for length, planes in self.planes.items():
            prefix = object[:length]
            if prefix in planes:
                plane = planes[prefix]
                if plane is None:
                    plane = planes[prefix] = Plane(self.waiting[length].pop(prefix))
                found = plane.only if plane.uniform else plane.first(group, part)
                if found < best:
                    best = found
        return best


class RouteIndex:
    """All routes of a file, for requests of one zone."""

    def __init__(self, routes: Sequence[Route], zone: str) -> None:
        self.by_prefix: dict[str, Placed] = {}
        for order, route in enumerate(routes):
            if route.match.zones and zone not in route.match.zones:
                continue
            for prefix in set(route.match.objects) or {""}:
                self.by_prefix.setdefault(prefix, []).append((order, route))
        self.kinds: dict[tuple[str, bool, bool], Kind] = {}  # of classes that there are, four each

    def find(
        self, request_class: RequestClass, object_id: str, group: int, part: int, retry: bool, write: bool
    ) -> int:
        """The place of the first route that takes a request, or -1.  ``object`` is 16 hex digits.  A class
        may become another under its name in service."""
        key = request_class.name, retry, write
        kind = self.kinds.get(key)
        if kind is None or kind.cls is not request_class:
            kind = self.kinds[key] = Kind(self.by_prefix, request_class, retry, write)
        best = kind.first(object_id, group, part)
        return -1 if best == NOBODY else best


def too_complex(routes: Sequence[Route]) -> int:
    """Cells of the largest plane that these routes may need, where that is over CELLS_MOST; else 0."""
    worst = 0
    prefixes: dict[str, list[Route]] = {}
    for route in routes:
        for prefix in set(route.match.objects) or {""}:
            prefixes.setdefault(prefix, []).append(route)
    for found in prefixes.values():
        edges = {e for r in found for low, high in r.match.groups for e in (low, high + 1)} | {GROUP_RANGE[0]}
        spans = sum(
            max(1, len(r.match.parts))
            * min(len(edges), sum(high - low + 1 for low, high in r.match.groups) or len(edges))
            for r in found
        )
        worst = max(worst, spans)
    return worst if worst > CELLS_MOST else 0
