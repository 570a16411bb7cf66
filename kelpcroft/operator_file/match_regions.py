"""Which requests earlier routes have taken already: unreachable routes and classes without one.

A request is a point: class, retry, write, group, part, object.  A route takes a union of boxes of them;
what is left of each class is kept as disjoint boxes, and a route's boxes are cut out of it in turn.
The work is bounded by a count of cuts, not by a clock: past it no route is called unreachable, and no class
without a route, unless that is plain without cutting.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import replace
from itertools import product

from kelpcroft.decision import interface as api
from kelpcroft.operator_file.model import GROUP_RANGE, PART_RANGE, Range, Route

OBJECTS: Range = (0, (1 << 64) - 1)
BOTH: Range = (0, 1)
CUTS_MOST = 100_000  # some tenths of a second of Python
BOXES_MOST = 2_000  # of one class
Box = tuple[Range, ...]  # retry, write, group, part, object
WHOLE: Box = (BOTH, BOTH, GROUP_RANGE, PART_RANGE, OBJECTS)


def within(prefix: str) -> Range:
    """The objects that begin with these hex digits."""
    free = 4 * (16 - len(prefix))
    low = int(prefix, 16) << free
    return low, low + (1 << free) - 1


def meets(a: Box, b: Box) -> bool:
    """Whether two boxes share a point."""
    for (low, high), (other_low, other_high) in zip(a, b):  # noqa: B905 - in the innermost loop
        if low > other_high or other_low > high:
            return False
    return True


def cut(box: Box, away: Box) -> Iterator[Box]:
    """What is left of a box, as disjoint boxes; they meet."""
    for axis, (low, high) in enumerate(away):
        here_low, here_high = box[axis]
        if low <= here_low and here_high <= high:
            continue
        if here_low < low:
            yield (*box[:axis], (here_low, low - 1), *box[axis + 1 :])
        if here_high > high:
            yield (*box[:axis], (high + 1, here_high), *box[axis + 1 :])
        box = (*box[:axis], (max(low, here_low), min(high, here_high)), *box[axis + 1 :])


def count(route: Route) -> int:
    """How many boxes a route's match takes."""
    m = route.match
    return max(1, len(m.groups)) * max(1, len(m.parts)) * max(1, len(m.objects))


def boxes(route: Route) -> list[Box]:
    """All that a route's match takes of a class."""
    m = route.match
    flag = {None: BOTH, False: (0, 0), True: (1, 1)}
    return list(
        product(
            (flag[m.retry],),
            (flag[m.write],),
            m.groups or (GROUP_RANGE,),
            m.parts or (PART_RANGE,),
            tuple(map(within, m.objects)) or (OBJECTS,),
        )
    )


class RouteCoverage:
    """What is left of each class, while routes are added in order."""

    def __init__(self, settings: api.Settings) -> None:
        self.zone, self.classes = settings.zone, settings.classes
        self.left: dict[str, list[Box]] = {c.name: [WHOLE] for c in settings.classes}
        self.taken: dict[str, list[tuple[str, Box]]] = {c.name: [] for c in settings.classes}
        self.cuts = 0
        self.given_up = False
        self.takers: list[str] = []  # of the last route that took nothing: who takes what it matches

    def add_route(self, route: Route) -> set[str]:
        """Classes of which this route takes something.  Empty for one that can never match."""
        names = tuple(c.name for c in self.classes if route.match.accepts_class(c))
        if not self.here(route):
            return set(names)  # another zone's: what is left there is not known here
        taken: set[str] = set()
        mine = [] if self.given_up else boxes(route)
        for name in names:
            left = self.left[name]
            if self.given_up:
                if left:
                    taken.add(name)
                m = route.match
                if replace(
                    m, classes=(), zones=(), effects=(), through=None, multipart=None
                ).matches_everything():
                    self.left[name] = []
                continue
            for box in mine:
                self.cuts += len(left) + 1
                if self.cuts > CUTS_MOST:
                    taken.add(name)
                    break
                hit = [b for b in left if meets(b, box)]
                if hit:
                    taken.add(name)
                    left = [b for b in left if not meets(b, box)]
                    for b in hit:
                        left.extend(cut(b, box))
            self.left[name] = left
            if len(left) > BOXES_MOST or self.cuts > CUTS_MOST:
                self.given_up = True
        if not taken and not self.given_up:
            self.takers = list(
                dict.fromkeys(
                    other
                    for name in names
                    for other, box in self.taken[name]
                    if any(meets(box, b) for b in mine)
                )
            )
        for name in taken:
            self.taken[name].extend((route.name, box) for box in mine)
        return taken

    def here(self, route: Route) -> bool:
        """Whether a route is for this router's zone: others take nothing from those behind them."""
        return not route.match.zones or self.zone in route.match.zones

    def uncovered(self) -> list[str]:
        """Classes of which something is left."""
        if self.given_up:
            # Many routes together may take all of a class, but none takes anything where all is left.
            return [name for name, left in self.left.items() if left == [WHOLE]]
        return [name for name, left in self.left.items() if left]
