"""The order of purge stamps when clocks are skewed, stand still or jump."""

from __future__ import annotations

import unittest

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from kelpcroft.purge.order import MAX_CLOCK_LEAD_MS, MS, ClockAheadError, HybridClock, PurgeStamp

NOW = 1_764_576_000_000 * MS
steps = st.lists(st.tuples(st.integers(0, 3), st.integers(0, 3), st.integers(0, 50)), max_size=80)


class Order(unittest.TestCase):
    @settings(max_examples=150, deadline=None, derandomize=True)
    @given(steps, st.lists(st.integers(-2_000, 2_000), min_size=4, max_size=4), st.integers(0, 79))
    def test_a_stamp_follows_all_observed_stamps(
        self, messages: list[tuple[int, int, int]], skew: list[int], jump: int
    ) -> None:
        """Clocks are up to two seconds off either way, and one of them jumps back in the middle."""
        clocks = [HybridClock(n) for n in range(4)]
        stamps: list[PurgeStamp] = []
        now = NOW
        for index, (sender, receiver, wait) in enumerate(messages):
            now += wait * MS
            if index == jump:
                skew = [-skew[0], *skew[1:]]
            before = clocks[sender].last
            stamp = clocks[sender].next_stamp(now + skew[sender] * MS)
            assert stamp[:2] > before[:2]
            clocks[receiver].observe(now + skew[receiver] * MS, stamp)
            if receiver != sender:
                assert clocks[receiver].next_stamp(now + skew[receiver] * MS) > stamp
            stamps.append(stamp)
        assert len(set(stamps)) == len(stamps), "no two purges have the same stamp"

    def test_overlapping_purges_a_second_apart_keep_their_order(self) -> None:
        fast_clock, slow_clock = HybridClock(1), HybridClock(0)
        first = fast_clock.next_stamp(NOW + 2_000 * MS)  # two seconds fast
        slow_clock.observe(NOW, first)
        second = slow_clock.next_stamp(NOW + 1_000 * MS - 2_000 * MS)  # a second later, two seconds slow
        assert second > first

    def test_a_stamp_too_far_ahead_is_rejected(self) -> None:
        clock = HybridClock(1)
        clock.observe(NOW, PurgeStamp(NOW // MS + MAX_CLOCK_LEAD_MS, 0, 2))
        before = clock.last
        with pytest.raises(ClockAheadError):
            clock.observe(NOW, PurgeStamp(NOW // MS + MAX_CLOCK_LEAD_MS + 1, 0, 2))
        assert clock.last == before

    def test_more_stamps_in_a_millisecond_than_the_counter_holds(self) -> None:
        clock = HybridClock(1)
        stamps = [clock.next_stamp(NOW) for _ in range(70_000)]
        assert stamps == sorted(set(stamps))


if __name__ == "__main__":
    unittest.main()
