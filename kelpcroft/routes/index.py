"""The first route that takes a request, at a cost that does not grow with the number of routes.

Routes are filed under the object prefixes that they name (none: the empty one); a request looks under each
prefix length in use, 17 at the most.  Under a prefix, the first request of a class, retry and write builds
their plane of groups and parts: for each run of groups that are treated alike, the runs of parts that one
route takes.  Two bisections find the run of a request, and so its route.

A route's place is its position in the file, from 0; of two that match, the one with the lower place counts.
"""

from __future__ import annotations

from array import array
from bisect import bisect_right
from collections.abc import Iterable, Sequence
from typing import Final

from kelpcroft.decision.interface import RequestClass
from kelpcroft.operator_file.model import GROUP_RANGE, PART_RANGE, Range, Route

NO_ROUTE: Final = 0xFFFFFFFF  # beyond the place of any route
NOT_FOUND: Final = -1
MAX_CELLS: Final = 40_000  # of a plane, runs of groups times routes; see largest_plane
PlacedRoute = tuple[int, Route]  # with its place in the file, from 0


class PartRuns:
    """Runs of parts: where each starts, and the place of the earliest route that takes it, or NO_ROUTE."""

    def __init__(self) -> None:
        self.starts: array[int] = array("L")
        self.places: array[int] = array("L")

    def add_cell(self, start: int, place: int) -> None:
        """The cell behind all that were added; neighbouring cells of one route are one run."""
        if not self.places or self.places[-1] != place:
            self.starts.append(start)
            self.places.append(place)

    def find(self, part: int) -> int:
        """The place of the route that takes a part, or NO_ROUTE."""
        return self.places[bisect_right(self.starts, part) - 1]


class GroupPartPlane:
    """Routes of one prefix, class, retry and write, by group and part."""

    def __init__(self, routes: Sequence[PlacedRoute]) -> None:
        self.group_starts = group_run_starts(routes)  # of runs of groups that are treated alike
        self.runs: list[PartRuns] = []  # of parts, for each run of groups
        by_places: dict[tuple[int, ...], PartRuns] = {}
        for group in self.group_starts:
            here = [(place, route) for place, route in routes if in_any_range(route.match.groups, group)]
            key = tuple([place for place, _ in here])
            if key not in by_places:  # runs of groups with the same routes share theirs
                by_places[key] = part_runs([(place, route.match.parts) for place, route in here])
            self.runs.append(by_places[key])
        self.is_uniform = len(self.group_starts) == 1 and len(self.runs[0].places) == 1
        self.first_place = self.runs[0].places[0]

    def find(self, group: int, part: int) -> int:
        """The place of the earliest route, or NO_ROUTE."""
        if self.is_uniform:
            return self.first_place
        return self.runs[bisect_right(self.group_starts, group) - 1].find(part)


def group_run_starts(routes: Sequence[PlacedRoute]) -> list[int]:
    """Where runs of groups start between which no route begins or ends."""
    edges = {GROUP_RANGE[0]}
    for _, route in routes:
        for low, high in route.match.groups:
            edges |= {low, high + 1}
    return sorted(edge for edge in edges if edge <= GROUP_RANGE[1])


def in_any_range(ranges: Sequence[Range], value: int) -> bool:
    """Whether a value lies in one of them; in none at all, any does."""
    return not ranges or any(low <= value <= high for low, high in ranges)


def part_runs(routes: Iterable[tuple[int, Sequence[Range]]]) -> PartRuns:
    """Runs of parts, from routes by place and parts, in their order.

    Each cell between neighbouring edges goes to the first route that takes it, and stays with it.
    ``next_free_cell`` skips cells that are taken by union-find, so the cost hardly grows with overlaps.
    """
    ranges = [(place, low, high + 1) for place, parts in routes for low, high in parts or (PART_RANGE,)]
    edges = sorted({PART_RANGE[0], PART_RANGE[1] + 1, *(e for _, low, high in ranges for e in (low, high))})
    cell_of_edge = {edge: cell for cell, edge in enumerate(edges)}
    place_of_cell = array("L", [NO_ROUTE]) * (len(edges) - 1)
    next_cells = list(range(len(edges)))  # of a cell that is taken: one behind it; of a free one: itself
    for place, low, high in ranges:
        cell = next_free_cell(next_cells, cell_of_edge[low])
        end = cell_of_edge[high]
        while cell < end:
            place_of_cell[cell] = place
            next_cells[cell] = cell + 1
            cell = next_free_cell(next_cells, cell)
    runs = PartRuns()
    for start, place in zip(edges, place_of_cell):  # noqa: B905 - the last edge ends the last cell
        runs.add_cell(start, place)
    return runs


def next_free_cell(next_cells: list[int], cell: int) -> int:
    """The first free cell from ``cell`` on; paths on the way are halved."""
    while next_cells[cell] != cell:
        next_cells[cell] = next_cells[next_cells[cell]]
        cell = next_cells[cell]
    return cell


class ClassRoutes:
    """Routes for one class, retry and write: by length of prefix, then by prefix.

    Planes are laid out when they are first wanted; their number is bounded by the file.
    """

    def __init__(
        self, by_prefix: dict[str, list[PlacedRoute]], request_class: RequestClass, retry: bool, write: bool
    ) -> None:
        self.request_class = request_class
        by_length: dict[int, dict[str, list[PlacedRoute]]] = {}
        for prefix, routes in by_prefix.items():
            here = [
                (place, route)
                for place, route in routes
                if route.match.accepts_class(request_class)
                and route.match.retry in (None, retry)
                and route.match.write in (None, write)
            ]
            if here:
                by_length.setdefault(len(prefix), {})[prefix] = here
        self.not_laid_out = by_length
        self.planes: dict[int, dict[str, GroupPartPlane | None]] = {
            length: dict.fromkeys(found) for length, found in sorted(by_length.items())
        }

    def find(self, object_id: str, group: int, part: int) -> int:
        """The place of the earliest route, or NO_ROUTE."""
        earliest = NO_ROUTE
        for length, planes in self.planes.items():
            prefix = object_id[:length]
            if prefix in planes:
                plane = planes[prefix]
                if plane is None:
                    plane = GroupPartPlane(self.not_laid_out[length].pop(prefix))
                    planes[prefix] = plane
                place = plane.find(group, part)
                if place < earliest:
                    earliest = place
        return earliest


class RouteIndex:
    """All routes of a file, for requests of one zone."""

    def __init__(self, routes: Sequence[Route], zone: str) -> None:
        self.by_prefix: dict[str, list[PlacedRoute]] = {}
        for place, route in enumerate(routes):
            if route.match.accepts_zone(zone):
                for prefix in set(route.match.objects) or {""}:
                    self.by_prefix.setdefault(prefix, []).append((place, route))
        # By name of the class, retry and write: four for each class that there is.
        self.by_class: dict[tuple[str, bool, bool], ClassRoutes] = {}

    def find(
        self, request_class: RequestClass, object_id: str, group: int, part: int, retry: bool, write: bool
    ) -> int:
        """The place in the file of the first route that takes a request, or NOT_FOUND.

        Args:
            request_class: A class may become another under its name in service.
            object_id: 16 hex digits.
            group: In GROUP_RANGE.
            part: In PART_RANGE.
            retry: Whether it is a client's own retry.
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
    """Cells of the largest plane that these routes may need; it should not be over MAX_CELLS."""
    by_prefix: dict[str, list[Route]] = {}
    for route in routes:
        for prefix in set(route.match.objects) or {""}:
            by_prefix.setdefault(prefix, []).append(route)
    return max(map(cell_count, by_prefix.values()), default=0)


def cell_count(routes: Sequence[Route]) -> int:
    """Cells of the plane that these routes need at the most: runs of groups times ranges of parts."""
    group_edges = {edge for route in routes for low, high in route.match.groups for edge in (low, high + 1)}
    group_edges.add(GROUP_RANGE[0])
    cells = 0
    for route in routes:
        groups = sum(high - low + 1 for low, high in route.match.groups) or len(group_edges)
        cells += max(1, len(route.match.parts)) * min(len(group_edges), groups)
    return cells
