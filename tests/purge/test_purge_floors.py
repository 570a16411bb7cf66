"""The floors of purges, compared with a direct implementation of their definition."""

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
whats = (
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
purges = st.lists(st.tuples(stamps, whats), max_size=25)
asked = st.tuples(st.sampled_from(["page", "clip"]), objects, parts, st.integers(0, 3))
bearing = st.dictionaries(st.tuples(objects, parts), st.frozensets(st.sampled_from(["nut", "egg", "oat"])))


def touches(
    what: PurgeTarget, one: tuple[str, int, int, int], tags: dict[tuple[int, int], frozenset[str]]
) -> bool:
    cls, item, part, group = one
    if what.object_id is not None:
        return what.object_id == item
    if what.group is not None:
        return what.group == group
    if what.tag is not None:
        return what.tag in tags.get((item, part), {what.tag})
    return (
        what.request_class in (None, cls)
        and f"{item:016x}".startswith(what.prefix)
        and what.parts[0] <= part <= what.parts[1]
    )


class Meaning(unittest.TestCase):
    @settings(max_examples=200, deadline=None, derandomize=True)
    @given(purges, bearing, st.lists(asked, min_size=1, max_size=8), st.integers(0, 10**6), stamps)
    def test_newest_that_touches_in_any_order(
        self,
        made: list[tuple[PurgeStamp, PurgeTarget]],
        tags: dict[tuple[int, int], frozenset[str]],
        many: list[tuple[str, int, int, int]],
        seed: int,
        horizon: PurgeStamp,
    ) -> None:
        """Purges that are applied once or twice, in any order, give the same floors.

        After ``drop_before``, the floors are those of the remaining purges.
        """
        shuffled = made + made[::2]
        Random(seed).shuffle(shuffled)
        floors = PurgeFloors()
        for key, bears in tags.items():
            floors.record_tags(*key, bears)
        for stamp, what in shuffled:
            floors.add(stamp, what)
        for one in many:
            due = max([s for s, what in made if touches(what, one, tags)], default=NEVER)
            assert floors.floor(*one) == due, one
        floors.drop_before(horizon)
        for one in many:
            due = max([s for s, what in made if s >= horizon and touches(what, one, tags)], default=NEVER)
            assert floors.floor(*one) == due, one

    def test_wider_and_newer_leaves_nothing_of_the_narrower(self) -> None:
        floors = PurgeFloors()
        for part in range(5_000):
            floors.add(PurgeStamp(part + 1, 0, 0), PurgeTarget(parts=(part * 2, part * 2)))
        floors.add(PurgeStamp(9_999, 0, 0), PurgeTarget())
        assert len(floors.patterns[0][""][None].starts) == 1

    def test_tags_that_were_forgotten_count_as_purged(self) -> None:
        floors = PurgeFloors(max_tagged_parts=2)
        for item in range(3):
            floors.record_tags(item, 0, {"oat"})
        floors.add(PurgeStamp(5, 0, 0), PurgeTarget(tag="nut"))
        found = [floors.floor("page", item, 0, 0) for item in range(3)]
        assert found == [PurgeStamp(5, 0, 0), NEVER, NEVER]

    def test_all_is_given_back(self) -> None:
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
