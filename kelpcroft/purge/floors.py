"""Floors that purges set: for a request, the newest purge that applies to the requested part of an object.

Every table keeps the newest stamp only.  So a purge that is applied twice, or after later ones, changes
nothing: the floors depend on which purges were received and not on when.  Objects, groups and tags are looked
up by hash.  Patterns are looked up by the object prefix that they name (17 lengths at most), then by class,
and then by bisection in runs of parts.  A purge that is wider and newer overwrites the narrower one in its
runs.
"""

from __future__ import annotations

from bisect import bisect_right
from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass
from typing import TypeVar

from kelpcroft.purge.order import PurgeStamp

PARTS_END = 10_000  # parts are numbered 0 to 9,999
NEVER = PurgeStamp(0, 0, 0)  # older than any purge
MAX_TAGGED_PARTS = 100_000  # parts whose tags are kept

K = TypeVar("K")


@dataclass(frozen=True, slots=True)
class PurgeTarget:
    """The target of a purge: an object, a group, a tag, or a pattern (a class alone is a pattern)."""

    object_id: int | None = None
    group: int | None = None
    tag: str | None = None
    request_class: str | None = None  # class of a pattern; None = any class
    prefix: str = ""  # hex digits with which the object ids of a pattern begin
    parts: tuple[int, int] = (0, PARTS_END - 1)  # first and last part of a pattern


class PartRuns:
    """The newest purge of each part, as runs of adjacent parts with the same stamp.

    Attributes:
        starts: The first part of each run.
        stamps: The stamp of each run; adjacent runs differ.
    """

    def __init__(self) -> None:
        self.starts = [0]
        self.stamps = [NEVER]

    def record_purge(self, low: int, high: int, stamp: PurgeStamp) -> None:
        """Records a purge of the parts from ``low`` to ``high``, both included."""
        first = self._split_at(low)
        last = self._split_at(high + 1) if high + 1 < PARTS_END else len(self.starts)
        for index in range(first, last):
            self.stamps[index] = max(self.stamps[index], stamp)
        self._merge(max(0, first - 1), min(len(self.starts), last + 1))

    def drop_before(self, horizon: PurgeStamp) -> bool:
        """Drops the stamps before ``horizon``.

        Returns:
            Whether no purge remains.
        """
        self.stamps = [stamp if stamp >= horizon else NEVER for stamp in self.stamps]
        self._merge(0, len(self.starts))
        return self.stamps == [NEVER]

    def newest(self, part: int) -> PurgeStamp:
        """Returns the newest purge of a part."""
        return self.stamps[bisect_right(self.starts, part) - 1]

    def _split_at(self, part: int) -> int:
        """Returns the index of the run that begins at a part; splits a run for it if necessary."""
        index = bisect_right(self.starts, part) - 1
        if self.starts[index] != part:
            index += 1
            self.starts.insert(index, part)
            self.stamps.insert(index, self.stamps[index - 1])
        return index

    def _merge(self, first: int, last: int) -> None:
        """Merges adjacent runs with the same stamp, among the runs from ``first`` to before ``last``."""
        kept = [
            index
            for index in range(first, last)
            if index == first or self.stamps[index] != self.stamps[index - 1]
        ]
        self.starts[first:last] = [self.starts[index] for index in kept]
        self.stamps[first:last] = [self.stamps[index] for index in kept]


RunsByClass = dict[str | None, PartRuns]  # None: any class


class PurgeFloors:
    """All purges that may still be relevant.

    Attributes:
        objects: The newest purge of each object.
        groups: The newest purge of each group.
        tags: The newest purge of each tag.
        patterns: The newest purges by pattern: by the prefix's length, then by prefix, then by class.
    """

    def __init__(self, max_tagged_parts: int = MAX_TAGGED_PARTS) -> None:
        """Creates floors without purges.

        Args:
            max_tagged_parts: Number of parts whose tags are kept.
        """
        self.objects: dict[int, PurgeStamp] = {}
        self.groups: dict[int, PurgeStamp] = {}
        self.tags: dict[str, PurgeStamp] = {}
        self._newest_of_any_tag = NEVER
        self.patterns: dict[int, dict[str, RunsByClass]] = {}
        self._tagged: OrderedDict[tuple[int, int], frozenset[str]] = OrderedDict()  # by object and part
        self._max_tagged_parts = max_tagged_parts

    def add(self, stamp: PurgeStamp, target: PurgeTarget) -> None:
        """Records a purge, which may arrive at any time and any number of times."""
        if target.object_id is not None:
            self.objects[target.object_id] = max(stamp, self.objects.get(target.object_id, NEVER))
        elif target.group is not None:
            self.groups[target.group] = max(stamp, self.groups.get(target.group, NEVER))
        elif target.tag is not None:
            self.tags[target.tag] = max(stamp, self.tags.get(target.tag, NEVER))
            self._newest_of_any_tag = max(stamp, self._newest_of_any_tag)
        else:
            by_class = self.patterns.setdefault(len(target.prefix), {}).setdefault(target.prefix, {})
            by_class.setdefault(target.request_class, PartRuns()).record_purge(*target.parts, stamp)

    def record_tags(self, object_id: int, part: int, tags: Iterable[str]) -> None:
        """Records the tags of a part from a response.  Beyond the bound, the oldest record is dropped."""
        self._tagged[object_id, part] = frozenset(tags)
        self._tagged.move_to_end((object_id, part))
        if len(self._tagged) > self._max_tagged_parts:
            self._tagged.popitem(last=False)

    def floor(self, request_class: str, object_id: int, part: int, group: int) -> PurgeStamp:
        """Returns the newest purge that applies to a part; NEVER if none does.

        A part without a record of its tags counts as having every tag.  So dropping a record is safe; it
        costs a fill where a copy is older than the newest purge of any tag.
        """
        newest = max(self.objects.get(object_id, NEVER), self.groups.get(group, NEVER))
        newest = max(newest, self._newest_of_tags(object_id, part))
        object_digits = f"{object_id:016x}"
        for length, by_prefix in self.patterns.items():
            by_class = by_prefix.get(object_digits[:length], {})
            for class_name in (request_class, None):
                runs = by_class.get(class_name)
                if runs is not None:
                    newest = max(newest, runs.newest(part))
        return newest

    def _newest_of_tags(self, object_id: int, part: int) -> PurgeStamp:
        """Returns the newest purge of a tag that a part has, or may have."""
        tags = self._tagged.get((object_id, part))
        if tags is None:
            return self._newest_of_any_tag
        return max((self.tags.get(tag, NEVER) for tag in tags), default=NEVER)

    def drop_before(self, horizon: PurgeStamp) -> None:
        """Drops purges before ``horizon``, a stamp before which provably no old copy can return."""
        drop_older(self.objects, horizon)
        drop_older(self.groups, horizon)
        drop_older(self.tags, horizon)
        self._newest_of_any_tag = max(self.tags.values(), default=NEVER)
        self._drop_patterns_before(horizon)

    def _drop_patterns_before(self, horizon: PurgeStamp) -> None:
        for length, by_prefix in list(self.patterns.items()):
            for prefix, by_class in list(by_prefix.items()):
                for class_name in [
                    class_name for class_name, runs in by_class.items() if runs.drop_before(horizon)
                ]:
                    del by_class[class_name]
                if not by_class:
                    del by_prefix[prefix]
            if not by_prefix:
                del self.patterns[length]


def drop_older(stamps: dict[K, PurgeStamp], horizon: PurgeStamp) -> None:
    """Drops the entries whose stamp is before ``horizon``."""
    for key in [key for key, stamp in stamps.items() if stamp < horizon]:
        del stamps[key]
