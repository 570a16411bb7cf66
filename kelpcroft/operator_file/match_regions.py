"""Algebra of match regions: finds unreachable routes and requests without a route.

A request is a point: class, retry, write, group, part, object.  Within a class a region is a product of
ranges, one for each of the other five attributes, and a route matches a union of regions.  The uncovered rest
of each class is kept as disjoint regions, from which the regions of every route are subtracted in file order.
A route that covers nothing of the rest is unreachable.  A class with a rest at the end has requests without a
route.

The work is limited by a count of subtractions, not by a clock.  Beyond that limit a route is reported as
unreachable, and a class as not covered, only where this is certain without subtractions.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import replace
from itertools import product

from kelpcroft.decision import interface as api
from kelpcroft.operator_file.model import GROUP_RANGE, PART_RANGE, Range, Route, RouteMatch

OBJECT_DIGITS = 16  # hex digits of an object identifier
BITS_PER_DIGIT = 4
OBJECT_RANGE: Range = (0, (1 << OBJECT_DIGITS * BITS_PER_DIGIT) - 1)
FLAG_RANGES: dict[bool | None, Range] = {None: (0, 1), False: (0, 0), True: (1, 1)}
MAX_SUBTRACTIONS = 100_000  # so many take some tenths of a second in Python
MAX_REGIONS_OF_CLASS = 2_000  # regions in the uncovered rest of one class
Region = tuple[Range, ...]  # retry, write, group, part, object
ALL_REQUESTS: Region = (FLAG_RANGES[None], FLAG_RANGES[None], GROUP_RANGE, PART_RANGE, OBJECT_RANGE)


def objects_with_prefix(prefix: str) -> Range:
    """The range of the objects that begin with these hex digits."""
    free_bits = BITS_PER_DIGIT * (OBJECT_DIGITS - len(prefix))
    low = int(prefix, 16) << free_bits
    return low, low + (1 << free_bits) - 1


def overlaps(region: Region, other: Region) -> bool:
    """Whether two regions share a point."""
    for (region_low, region_high), (other_low, other_high) in zip(region, other):  # noqa: B905 - in the innermost loop
        if region_low > other_high or other_low > region_high:
            return False
    return True


def intersect(region: Region, other: Region) -> Region:
    """The intersection of two regions that overlap."""
    return tuple(
        (max(region_low, other_low), min(region_high, other_high))
        for (region_low, region_high), (other_low, other_high) in zip(region, other, strict=True)
    )


def subtract(region: Region, other: Region) -> Iterator[Region]:
    """Subtract from a region another that overlaps it.  Yields the rest as disjoint regions."""
    for axis, (low, high) in enumerate(other):
        region_low, region_high = region[axis]
        if low <= region_low and region_high <= high:
            continue
        if region_low < low:
            yield (*region[:axis], (region_low, low - 1), *region[axis + 1 :])
        if region_high > high:
            yield (*region[:axis], (high + 1, region_high), *region[axis + 1 :])
        region = (*region[:axis], (max(low, region_low), min(high, region_high)), *region[axis + 1 :])


def region_count(route: Route) -> int:
    """The number of regions of a class that a route matches."""
    match = route.match
    return max(1, len(match.groups)) * max(1, len(match.parts)) * max(1, len(match.objects))


def regions_of(route: Route) -> list[Region]:
    """The regions of a class that a route matches."""
    match = route.match
    return list(
        product(
            (FLAG_RANGES[match.retry],),
            (FLAG_RANGES[match.write],),
            match.groups or (GROUP_RANGE,),
            match.parts or (PART_RANGE,),
            tuple(map(objects_with_prefix, match.objects)) or (OBJECT_RANGE,),
        )
    )


def matches_complete_classes(match: RouteMatch) -> bool:
    """Whether a match has no conditions other than on the class and the zone."""
    other_conditions = replace(match, classes=(), zones=(), effects=(), uncacheable=None, multipart=None)
    return other_conditions.matches_everything()


class RouteCoverage:
    """The uncovered rest of each class, while routes are added in file order.

    Attributes:
        covered: The regions of each class that routes cover, with the names of the routes.
        limit_exceeded: MAX_SUBTRACTIONS or MAX_REGIONS_OF_CLASS was exceeded; from then on nothing is
            subtracted.
        covering_routes: Names of the earlier routes that match the requests of the last unreachable route.
    """

    def __init__(self, settings: api.Settings) -> None:
        self.zone = settings.zone
        self.classes = settings.classes
        self.remaining: dict[str, list[Region]] = {c.name: [ALL_REQUESTS] for c in settings.classes}
        self.covered: dict[str, list[tuple[str, Region]]] = {c.name: [] for c in settings.classes}
        self.subtractions = 0
        self.limit_exceeded = False
        self.covering_routes: list[str] = []

    def add_route(self, route: Route) -> set[str]:
        """Add the next route.

        Returns:
            Names of the classes of which it covers something new; empty for a route that can never match.
        """
        class_names = tuple(c.name for c in self.classes if route.match.accepts_class(c))
        if not route.match.accepts_zone(self.zone):
            return set(class_names)  # the coverage of other zones is not computed here
        regions = [] if self.limit_exceeded else regions_of(route)
        covered_classes: set[str] = set()
        for name in class_names:
            covers = (
                self.cover_without_subtracting(name, route)
                if self.limit_exceeded
                else self.cover(name, regions)
            )
            if covers:
                covered_classes.add(name)
        if not covered_classes and not self.limit_exceeded:
            self.covering_routes = self.routes_covering(class_names, regions)
        for name in covered_classes:
            self.covered[name].extend((route.name, region) for region in regions)
        return covered_classes

    def cover(self, class_name: str, regions: list[Region]) -> bool:
        """Subtract regions from the rest of a class.  Returns whether they cover, or may cover, any of it."""
        remaining = self.remaining[class_name]
        covers = False
        for region in regions:
            self.subtractions += len(remaining) + 1
            if self.subtractions > MAX_SUBTRACTIONS:
                covers = True
                break
            overlapping = [rest for rest in remaining if overlaps(rest, region)]
            if overlapping:
                covers = True
                remaining = [rest for rest in remaining if not overlaps(rest, region)]
                for rest in overlapping:
                    remaining.extend(subtract(rest, region))
        self.remaining[class_name] = remaining
        if len(remaining) > MAX_REGIONS_OF_CLASS or self.subtractions > MAX_SUBTRACTIONS:
            self.limit_exceeded = True
        return covers

    def cover_without_subtracting(self, class_name: str, route: Route) -> bool:
        """Replace ``cover`` beyond the limits: without subtractions, a route may cover some of any rest."""
        has_rest = bool(self.remaining[class_name])
        if matches_complete_classes(route.match):
            self.remaining[class_name] = []
        return has_rest

    def routes_covering(self, class_names: tuple[str, ...], regions: list[Region]) -> list[str]:
        """Names of the routes, in file order, that cover something of these regions of these classes."""
        found = (
            route_name
            for class_name in class_names
            for route_name, region in self.covered[class_name]
            if any(overlaps(region, other) for other in regions)
        )
        return list(dict.fromkeys(found))

    def uncovered(self) -> list[str]:
        """Names of the classes that have requests without a route."""
        if self.limit_exceeded:
            # Several routes together may cover a class.  Only a class of which nothing was subtracted is
            # certainly not covered.
            return [name for name, rest in self.remaining.items() if rest == [ALL_REQUESTS]]
        return [name for name, rest in self.remaining.items() if rest]
