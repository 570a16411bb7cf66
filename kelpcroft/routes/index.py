"""Index of routes: finds the first route that matches a request, at a cost independent of their number.

Routes are stored under their object prefixes (a route without any under the empty prefix).  A lookup tries
each prefix length in use, at most 17.  Under a prefix, the first request of a combination of class, retry and
write builds the plane of groups and parts for that combination: for each run of groups with the same routes,
the runs of parts with the same first route.  Two bisections find the run of a request, and so its route.

The place of a route is its position in the file, from 0; of two routes that match, the lower place wins.
"""

from __future__ import annotations

from array import array
from bisect import bisect_right
from collections.abc import Iterable, Sequence
from typing import Final

from kelpcroft.decision.interface import RequestClass
from kelpcroft.operator_file.model import GROUP_RANGE, PART_RANGE, Range, Route

NO_ROUTE: Final = 0xFFFFFFFF  # greater than the place of any route
NOT_FOUND: Final = -1  # the result of RouteIndex.find for a request without a route
MAX_CELLS: Final = 40_000  # cells of a plane: runs of groups times ranges of parts; see largest_plane
PlacedRoute = tuple[int, Route]  # the place in the file, from 0, and the route


class RoutesByPart:
    """The first route of each part: the starts of runs of parts, and their routes' places or NO_ROUTE."""

    def __init__(self) -> None:
        self.starts: array[int] = array("L")
        self.places: array[int] = array("L")

    def add_cell(self, start: int, place: int) -> None:
        """Append the next cell; adjacent cells of the same route form one run."""
        if not self.places or self.places[-1] != place:
            self.starts.append(start)
            self.places.append(place)

    def find(self, part: int) -> int:
        """The place of the first route that matches a part, or NO_ROUTE."""
        return self.places[bisect_right(self.starts, part) - 1]


class GroupPartPlane:
    """The routes for one prefix, class, retry and write, by group and part."""

    def __init__(self, routes: Sequence[PlacedRoute]) -> None:
        self.group_starts = group_run_starts(routes)  # starts of the runs of groups with the same routes
        self.routes_by_part: list[RoutesByPart] = []  # one mapping of parts for each run of groups
        routes_by_places: dict[tuple[int, ...], RoutesByPart] = {}
        for group in self.group_starts:
            group_routes = [
                (place, route) for place, route in routes if in_any_range(route.match.groups, group)
            ]
            key = tuple([place for place, _ in group_routes])
            if key not in routes_by_places:  # runs of groups with the same routes share one object
                routes_by_places[key] = build_routes_by_part(
                    [(place, route.match.parts) for place, route in group_routes]
                )
            self.routes_by_part.append(routes_by_places[key])
        self.is_uniform = len(self.group_starts) == 1 and len(self.routes_by_part[0].places) == 1
        self.first_place = self.routes_by_part[0].places[0]

    def find(self, group: int, part: int) -> int:
        """The place of the first route that matches, or NO_ROUTE."""
        if self.is_uniform:
            return self.first_place
        return self.routes_by_part[bisect_right(self.group_starts, group) - 1].find(part)


def group_run_starts(routes: Sequence[PlacedRoute]) -> list[int]:
    """The starts of the runs of groups; the same routes match all groups of a run."""
    edges = {GROUP_RANGE[0]}
    for _, route in routes:
        for low, high in route.match.groups:
            edges |= {low, high + 1}
    return sorted(edge for edge in edges if edge <= GROUP_RANGE[1])


def in_any_range(ranges: Sequence[Range], value: int) -> bool:
    """Whether a value lies in one of the ranges; always true without ranges."""
    return not ranges or any(low <= value <= high for low, high in ranges)


def build_routes_by_part(routes: Iterable[tuple[int, Sequence[Range]]]) -> RoutesByPart:
    """Build the mapping of parts from the places of routes and their ranges of parts, in file order.

    Each cell between adjacent edges is assigned to the first route that matches it.  ``next_free_cell`` skips
    assigned cells by union-find, so that overlapping ranges hardly add to the cost.
    """
    ranges = [(place, low, high + 1) for place, parts in routes for low, high in parts or (PART_RANGE,)]
    edges = sorted(
        {PART_RANGE[0], PART_RANGE[1] + 1, *(edge for _, low, high in ranges for edge in (low, high))}
    )
    cell_of_edge = {edge: cell for cell, edge in enumerate(edges)}
    place_of_cell = array("L", [NO_ROUTE]) * (len(edges) - 1)
    next_cells = list(range(len(edges)))  # for an assigned cell: a later one; for a free cell: itself
    for place, low, high in ranges:
        cell = next_free_cell(next_cells, cell_of_edge[low])
        end = cell_of_edge[high]
        while cell < end:
            place_of_cell[cell] = place
            next_cells[cell] = cell + 1
            cell = next_free_cell(next_cells, cell)
    routes_by_part = RoutesByPart()
    for start, place in zip(edges, place_of_cell):  # noqa: B905 - the last edge ends the last cell
        routes_by_part.add_cell(start, place)
    return routes_by_part


def next_free_cell(next_cells: list[int], cell: int) -> int:
    """The first free cell from ``cell`` on.  Halves the paths that it follows (union-find)."""
    while next_cells[cell] != cell:
        next_cells[cell] = next_cells[next_cells[cell]]
        cell = next_cells[cell]
    return cell


class ClassRoutes:
    """The routes for one class, retry and write: by the length of the prefix, then by prefix.

    Planes are built at the first lookup; their number is limited by the prefixes in the file.
    """

    def __init__(
        self, by_prefix: dict[str, list[PlacedRoute]], request_class: RequestClass, retry: bool, write: bool
    ) -> None:
        self.request_class = request_class
        by_length: dict[int, dict[str, list[PlacedRoute]]] = {}
        for prefix, routes in by_prefix.items():
            matching = [
                (place, route)
                for place, route in routes
                if route.match.accepts_class(request_class)
                and route.match.retry in (None, retry)
                and route.match.write in (None, write)
            ]
            if matching:
                by_length.setdefault(len(prefix), {})[prefix] = matching
        self.routes_without_plane = by_length
        self.planes: dict[int, dict[str, GroupPartPlane | None]] = {
            length: dict.fromkeys(prefix_routes) for length, prefix_routes in sorted(by_length.items())
        }

    def find(self, object_id: str, group: int, part: int) -> int:
        """The place of the first route that matches, or NO_ROUTE."""
        earliest = NO_ROUTE
        for length, planes in self.planes.items():
            prefix = object_id[:length]
            if prefix in planes:
                plane = planes[prefix]
                if plane is None:
                    plane = GroupPartPlane(self.routes_without_plane[length].pop(prefix))
                    planes[prefix] = plane
                place = plane.find(group, part)
                if place < earliest:
                    earliest = place
        return earliest


class RouteIndex:
    """All routes of a file, for routers of one zone."""

    def __init__(self, routes: Sequence[Route], zone: str) -> None:
        self.by_prefix: dict[str, list[PlacedRoute]] = {}
        for place, route in enumerate(routes):
            if route.match.accepts_zone(zone):
                for prefix in set(route.match.objects) or {""}:
                    self.by_prefix.setdefault(prefix, []).append((place, route))
        # By the name of the class, retry and write: at most four for each class.
        self.by_class: dict[tuple[str, bool, bool], ClassRoutes] = {}

    def find(
        self, request_class: RequestClass, object_id: str, group: int, part: int, retry: bool, write: bool
    ) -> int:
        """The place in the file of the first route that matches a request, or NOT_FOUND.

        Args:
            request_class: Its class.  A reload may replace a class by another of the same name.
            object_id: Its object, as 16 hex digits.
            group: The group of the object, in GROUP_RANGE.
            part: The part of the object, in PART_RANGE.
            retry: Whether it is a retry by the client.
            write: Whether it has a body.
        """
        key = request_class.name, retry, write
        routes = self.by_class.get(key)
        if routes is None or routes.request_class is not request_class:
            routes = ClassRoutes(self.by_prefix, request_class, retry, write)
            self.by_class[key] = routes
        place = routes.find(object_id, group, part)
        return NOT_FOUND if place == NO_ROUTE else place


def largest_plane(routes: Sequence[Route]) -> int:
    """Cells of the largest plane that these routes can need; must not exceed MAX_CELLS."""
    by_prefix: dict[str, list[Route]] = {}
    for route in routes:
        for prefix in set(route.match.objects) or {""}:
            by_prefix.setdefault(prefix, []).append(route)
    return max(map(cell_count, by_prefix.values()), default=0)


def cell_count(routes: Sequence[Route]) -> int:
    """The maximum number of cells in the plane of these routes: runs of groups times ranges of parts."""
    group_edges = {edge for route in routes for low, high in route.match.groups for edge in (low, high + 1)}
    group_edges.add(GROUP_RANGE[0])
    cells = 0
    for route in routes:
        group_count = sum(high - low + 1 for low, high in route.match.groups) or len(group_edges)
        cells += max(1, len(route.match.parts)) * min(len(group_edges), group_count)
    return cells
