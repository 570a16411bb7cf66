"""Purge floors (the newest purge that matches a request), compared with their direct definition."""

from __future__ import annotations

import unittest
from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st

from kelpcroft.purge.floors import NEVER, PurgeFloors, PurgeTarget
from kelpcroft.purge.order import PurgeStamp

objects = st.sampled_from([0, 1, 0x7F << 56, (0x7F << 56) + 5, (1 << 64) - 1])
parts = st.integers(0, 12)
spans = st.tuples(parts, parts).map(lambda p: (min(p), max(p))) | st.just((0, 9_999)) | st.just((5, 9_999))
targets = (
    st.builds(PurgeTarget, object_id=objects)
    | st.builds(PurgeTarget, group=st.integers(0, 2))
    | st.builds(PurgeTarget, tag=st.sampled_from(["nut", "egg"]))
    | st.builds(
        PurgeTarget,
        request_class=st.sampled_from([None, "page", "clip"]),
        parts=spans,
        prefix=st.sampled_from(["", "0", "7f", "7f00", "f" * 16]),
    )
)
stamps = st.builds(PurgeStamp, st.integers(1, 40), st.integers(0, 1), st.integers(0, 2))
purges = st.lists(st.tuples(stamps, targets), max_size=25)
requests = st.tuples(st.sampled_from(["page", "clip"]), objects, parts, st.integers(0, 3))
tags_by_part = st.dictionaries(
    st.tuples(objects, parts), st.frozensets(st.sampled_from(["nut", "egg", "oat"]))
)


def matches(
    target: PurgeTarget, request: tuple[str, int, int, int], tags: dict[tuple[int, int], frozenset[str]]
) -> bool:
    request_class, object_id, part, group = request
    if target.object_id is not None:
        return target.object_id == object_id
    if target.group is not None:
        return target.group == group
    if target.tag is not None:
        return target.tag in tags.get((object_id, part), {target.tag})
    return (
        target.request_class in (None, request_class)
        and f"{object_id:016x}".startswith(target.prefix)
        and target.parts[0] <= part <= target.parts[1]
    )


class Floors(unittest.TestCase):
    @settings(max_examples=200, deadline=None, derandomize=True)
    @given(purges, tags_by_part, st.lists(requests, min_size=1, max_size=8), st.integers(0, 10**6), stamps)
    def test_the_floor_is_the_newest_matching_purge_in_any_order(
        self,
        applied: list[tuple[PurgeStamp, PurgeTarget]],
        tags: dict[tuple[int, int], frozenset[str]],
        sample: list[tuple[str, int, int, int]],
        seed: int,
        horizon: PurgeStamp,
    ) -> None:
        """Purges that are applied once or twice, in any order, give the same floors.

        After ``drop_before``, the floors are those of the purges that remain.
        """
        shuffled = applied + applied[::2]
        Random(seed).shuffle(shuffled)
        floors = PurgeFloors()
        for key, part_tags in tags.items():
            floors.record_tags(*key, part_tags)
        for stamp, target in shuffled:
            floors.add(stamp, target)
        for request in sample:
            expected = max([s for s, target in applied if matches(target, request, tags)], default=NEVER)
            assert floors.floor(*request) == expected, request
        floors.drop_before(horizon)
        for request in sample:
            expected = max(
                [s for s, target in applied if s >= horizon and matches(target, request, tags)], default=NEVER
            )
            assert floors.floor(*request) == expected, request

    def test_a_wider_and_newer_purge_replaces_narrower_ones(self) -> None:
        floors = PurgeFloors()
        for part in range(5_000):
            floors.add(PurgeStamp(part + 1, 0, 0), PurgeTarget(parts=(part * 2, part * 2)))
        floors.add(PurgeStamp(9_999, 0, 0), PurgeTarget())
        assert len(floors.patterns[0][""][None].starts) == 1

    def test_parts_whose_tags_were_discarded_count_as_purged(self) -> None:
        floors = PurgeFloors(max_tagged_parts=2)
        for object_id in range(3):
            floors.record_tags(object_id, 0, {"oat"})
        floors.add(PurgeStamp(5, 0, 0), PurgeTarget(tag="nut"))
        newest = [floors.floor("page", object_id, 0, 0) for object_id in range(3)]
        assert newest == [PurgeStamp(5, 0, 0), NEVER, NEVER]

    def test_dropping_all_purges_leaves_no_state(self) -> None:
        floors = PurgeFloors()
        for n in range(300):
            floors.add(
                PurgeStamp(n + 1, 0, 0),
                (
                    PurgeTarget(object_id=n),
                    PurgeTarget(group=n % 7),
                    PurgeTarget(tag=str(n)),
                    PurgeTarget(prefix=f"{n:04x}", parts=(n, n + 3)),
                )[n % 4],
            )
        floors.drop_before(PurgeStamp(10_000, 0, 0))
        assert (floors.objects, floors.groups, floors.tags, floors.patterns) == ({}, {}, {}, {})


if __name__ == "__main__":
    unittest.main()
