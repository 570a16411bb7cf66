"""The floors that purges set: for a request, the newest purge that touches what it asks for.

Every table keeps the newest stamp only, so that a purge applied twice, or after later ones, changes
nothing: the floors depend on which purges were heard of and not on when.  Objects, groups, classes and tags
are found by hash; patterns by the object prefix that they name (17 lengths at most), and under it by
bisection in runs of parts.  A purge that is wider and newer leaves nothing of the narrower in its runs.
"""

from __future__ import annotations

from bisect import bisect_right
from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass

from kelpcroft.purge.order import Stamp

PARTS_END = 10_000  # parts are 0 to 9,999
NEVER = Stamp(0, 0, 0)  # older than any purge
TAGGED_MOST = 100_000  # objects whose tags are remembered


@dataclass(frozen=True, slots=True)
class What:
    """What a purge names: an object, a group, a tag, or a pattern (a class alone is one)."""

    object: int | None = None
    group: int | None = None
    tag: str | None = None
    cls: str | None = None  # of a pattern; None = any
    prefix: str = ""  # of a pattern: hex digits that the object begins with
    parts: tuple[int, int] = (0, PARTS_END - 1)


class Runs:
    """Parts and the newest purge of each, as runs of one stamp."""

    def __init__(self) -> None:
        self.starts = [0]
        self.stamps = [NEVER]

    def cut(self, part: int) -> int:
        """The place of the run that begins at a part, made if need be."""
        at = bisect_right(self.starts, part) - 1
        if self.starts[at] != part:
            at += 1
            self.starts.insert(at, part)
            self.stamps.insert(at, self.stamps[at - 1])
        return at

    def raise_to(self, low: int, high: int, stamp: Stamp) -> None:
        """The parts from low to high, both included, were purged."""
        first = self.cut(low)
        last = self.cut(high + 1) if high + 1 < PARTS_END else len(self.starts)
        for at in range(first, last):
            self.stamps[at] = max(self.stamps[at], stamp)
        self.join(max(0, first - 1), min(len(self.starts), last + 1))

    def forget(self, before: Stamp) -> bool:
        """Drop what is older; True if nothing is left."""
        self.stamps = [stamp if stamp >= before else NEVER for stamp in self.stamps]
        self.join(0, len(self.starts))
        return self.stamps == [NEVER]

    def join(self, first: int, last: int) -> None:
        """Neighbours of one stamp become one run."""
        keep = [at for at in range(first, last) if at == first or self.stamps[at] != self.stamps[at - 1]]
        self.starts[first:last] = [self.starts[at] for at in keep]
        self.stamps[first:last] = [self.stamps[at] for at in keep]

    def newest(self, part: int) -> Stamp:
        """The newest purge of a part."""
        return self.stamps[bisect_right(self.starts, part) - 1]


class Floors:
    """All purges that may still matter."""

    def __init__(self, tagged_most: int = TAGGED_MOST) -> None:
        self.objects: dict[int, Stamp] = {}
        self.groups: dict[int, Stamp] = {}
        self.tags: dict[str, Stamp] = {}
        self.any_tag = NEVER  # the newest purge of any tag
        self.patterns: dict[int, dict[str, dict[str | None, Runs]]] = {}  # by length, prefix, class
        self.tagged: OrderedDict[tuple[int, int], frozenset[str]] = OrderedDict()
        self.tagged_most = tagged_most

    def add(self, stamp: Stamp, what: What) -> None:
        """A purge, heard of at any time and any number of times."""
        if what.object is not None:
            self.objects[what.object] = max(stamp, self.objects.get(what.object, NEVER))
        elif what.group is not None:
            self.groups[what.group] = max(stamp, self.groups.get(what.group, NEVER))
        elif what.tag is not None:
            self.tags[what.tag] = max(stamp, self.tags.get(what.tag, NEVER))
            self.any_tag = max(stamp, self.any_tag)
        else:
            by_class = self.patterns.setdefault(len(what.prefix), {}).setdefault(what.prefix, {})
            by_class.setdefault(what.cls, Runs()).raise_to(*what.parts, stamp)

    def bears(self, object: int, part: int, tags: Iterable[str]) -> None:
        """An answer told the tags of a part.  The memory has an end; what is longest unused goes first."""
        self.tagged[object, part] = frozenset(tags)
        self.tagged.move_to_end((object, part))
        if len(self.tagged) > self.tagged_most:
            self.tagged.popitem(last=False)

    def floor(self, cls: str, object: int, part: int, group: int) -> Stamp:
        """The newest purge that touches a part; NEVER if none does.  A part whose tags are not known counts
        as bearing every tag: forgetting is sound, and costs a fill where a copy is older than that purge."""
        newest = max(self.objects.get(object, NEVER), self.groups.get(group, NEVER))
        if self.any_tag > newest:
            known = self.tagged.get((object, part))
            if known is None:
                newest = self.any_tag
            else:
                newest = max([newest, *(self.tags.get(tag, NEVER) for tag in known)])
        digits = f"{object:016x}"
        for length, found in self.patterns.items():
            by_class = found.get(digits[:length])
            if by_class:
                for wanted in (cls, None):
                    runs = by_class.get(wanted)
                    if runs is not None:
                        newest = max(newest, runs.newest(part))
        return newest

    def forget(self, before: Stamp) -> None:
        """Drop purges older than a place in the order before which provably no old copy can return."""
        for table in (self.objects, self.groups):
            for key in [key for key, stamp in table.items() if stamp < before]:
                del table[key]
        for tag in [tag for tag, stamp in self.tags.items() if stamp < before]:
            del self.tags[tag]
        self.any_tag = max(self.tags.values(), default=NEVER)
        for length, found in list(self.patterns.items()):
            for prefix, by_class in list(found.items()):
                for cls in [cls for cls, runs in by_class.items() if runs.forget(before)]:
                    del by_class[cls]
                if not by_class:
                    del found[prefix]
            if not found:
                del self.patterns[length]
