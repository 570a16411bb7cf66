"""The index, the budgets and the quantiles of routes, each by itself."""

from __future__ import annotations

import unittest
from dataclasses import replace
from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st

from kelpcroft.config import parse_config
from kelpcroft.operator_file import check, load
from kelpcroft.operator_file.explain import differences
from kelpcroft.operator_file.match_regions import RouteCoverage
from kelpcroft.operator_file.model import BudgetSettings as Declared
from kelpcroft.operator_file.model import OperatorFile, Route, RouteMatch, RoutePolicy
from kelpcroft.routes import RouteTable
from kelpcroft.routes.budget import RetryBudget
from kelpcroft.routes.index import RouteIndex, in_any_range
from kelpcroft.routes.sketch import BUCKET_GROWTH, HALF_LIFE_NS, MAX_LATENCY_NS, LatencySketch
from tests.support.exchange_player import EXAMPLE
from tests.support.route_strategies import matches, ranges

MS, S = 10**6, 10**9
CLASSES = {c.name: c for c in parse_config(EXAMPLE, {}).settings.classes}
PAGE = CLASSES["page"]
few = st.lists(st.sampled_from(["0", "00", "7", "7f", "7f3a", "f" * 16]), max_size=2).map(tuple)
routes = st.lists(
    matches | st.builds(RouteMatch, objects=few, parts=ranges(30), groups=ranges(3)), max_size=12
)
asked = st.tuples(
    st.sampled_from(["page", "order"]),
    st.sampled_from(["0" * 16, "7f3a" + "0" * 12, "f" * 16]),
    st.integers(0, 4) | st.integers(0, 255),
    st.integers(0, 31) | st.integers(0, 9_999),
    st.booleans(),
    st.booleans(),
)


def takes(m: RouteMatch, cls: str, item: str, group: int, part: int, retry: bool, write: bool) -> bool:
    """A direct implementation of a match, as the reference for the index."""
    return (
        (not m.classes or cls in m.classes)
        and in_any_range(m.groups, group)
        and in_any_range(m.parts, part)
        and (not m.objects or any(item.startswith(x) for x in m.objects))
        and m.retry in (None, retry)
        and m.write in (None, write)
        and (not m.effects or CLASSES[cls].idempotency.value in m.effects)
        and m.uncacheable in (None, cls == "order")
        and m.multipart in (None, False)
    )


class Indexed(unittest.TestCase):
    @settings(max_examples=150, deadline=None, derandomize=True)
    @given(routes, st.lists(asked, min_size=1, max_size=12))
    def test_the_first_that_matches_wins(
        self, found: list[RouteMatch], many: list[tuple[str, str, int, int, bool, bool]]
    ) -> None:
        index = RouteIndex([Route(str(n), m, RoutePolicy()) for n, m in enumerate(found)], "edge-1")
        for one in many:
            due = next((n for n, m in enumerate(found) if takes(m, *one)), -1)
            assert index.find(CLASSES[one[0]], *one[1:]) == due, one

    @settings(max_examples=80, deadline=None, derandomize=True)
    @given(routes, st.lists(asked, min_size=1, max_size=12))
    def test_cover_agrees_with_the_index(
        self, found: list[RouteMatch], many: list[tuple[str, str, int, int, bool, bool]]
    ) -> None:
        """The index never finds a route that is unreachable, and always one for a class that is covered."""
        cover = RouteCoverage(parse_config(EXAMPLE, {}).settings)
        rows = [Route(str(n), m, RoutePolicy()) for n, m in enumerate(found)]
        reachable = [cover.add_route(row) for row in rows]
        index = RouteIndex(rows, "edge-1")
        for one in many:
            at = index.find(CLASSES[one[0]], *one[1:])
            if at >= 0:
                assert one[0] in reachable[at]
            else:
                assert one[0] in cover.uncovered()

    def test_zones_of_others_are_passed_over(self) -> None:
        rows = [
            Route("a", RouteMatch(zones=("hub",)), RoutePolicy()),
            Route("b", RouteMatch(), RoutePolicy()),
        ]
        assert RouteIndex(rows, "edge-1").find(PAGE, "0" * 16, 0, 0, False, False) == 1
        assert RouteIndex(rows, "hub").find(PAGE, "0" * 16, 0, 0, False, False) == 0


class Budgets(unittest.TestCase):
    @settings(max_examples=100, deadline=None, derandomize=True)
    @given(
        st.floats(0, 2),
        st.floats(0, 50),
        st.floats(1, 30),
        st.lists(st.tuples(st.integers(-5, 400), st.booleans()), max_size=200),
    )
    def test_never_overdrawn(
        self, ratio: float, least: float, burst: float, steps: list[tuple[int, bool]]
    ) -> None:
        """Also with a clock that stands still or goes back."""
        budget, now, latest, earned = RetryBudget(Declared("b", ratio, least, burst), 0), 0, 0, 0
        for step, request in steps:
            now += step * MS
            latest = max(latest, now)
            if request:
                budget.earn(now)
                earned += 1
            else:
                had = budget.can_spend(now)
                assert budget.spend(now) == had
            assert 0 <= budget.tokens <= burst
            assert budget.spent <= burst + ratio * earned + least * latest / S + 1e-06

    def test_a_name_that_stays_keeps_what_it_has(self) -> None:
        text = 'kelpcroft version=1\nbudget "b" ratio=0 burst={}\nroute "r" {{ match; attempts budget="b"; }}'
        old, new = (load(text.format(n).encode())[0] for n in (10, 4))
        table = RouteTable(old, "edge-1", 1, 0)
        grant = table.admit(0, PAGE, "0" * 16, 0, 0, False, False, S, 0)
        assert grant
        for _ in range(8):
            assert grant.spend_retry(0)
        table.replace(new, 0)
        later = table.admit(0, PAGE, "0" * 16, 0, 0, False, False, S, 0)
        assert later
        assert [later.spend_retry(0) for _ in range(3)] == [True, True, False], (
            "two were left, and burst is 4"
        )
        assert table.routes[0].open_requests == 2
        grant.release()
        later.release()
        assert table.routes[0].open_requests == 0, "the route's state is kept when the file is replaced"


class Quantiles(unittest.TestCase):
    def test_error_is_within_what_is_stated(self) -> None:
        for seed in range(8):
            random, sketch = Random(seed), LatencySketch(0)
            samples = sorted(int(random.lognormvariate(4, 1.0) * MS) + MS for _ in range(4_000))
            for value in samples:
                sketch.record(0, value)
            for share in (0.5, 0.9, 0.95, 0.99):
                exact = samples[int(share * len(samples))]
                assert abs(sketch.quantile(0, share) / exact - 1) < BUCKET_GROWTH - 1 + 0.02

    def test_old_samples_fade(self) -> None:
        sketch = LatencySketch(0)
        for _ in range(1_000):
            sketch.record(0, 50 * MS)
        now = 6 * HALF_LIFE_NS
        for _ in range(200):
            sketch.record(now, 800 * MS)
        assert sketch.quantile(now, 0.5) > 700 * MS
        year = 365 * 86_400 * S
        for _ in range(100):
            sketch.record(year, 20 * MS)  # weights are scaled down; nothing overflows
        assert sketch.quantile(year, 0.95) < 25 * MS

    def test_few_samples_tell_nothing(self) -> None:
        sketch = LatencySketch(0)
        for _ in range(19):
            sketch.record(0, 50 * MS)
        assert sketch.quantile(0, 0.95) == 0
        for _ in range(100):
            sketch.record(0, 10**15)
        assert sketch.quantile(S, 0.95) > MAX_LATENCY_NS // 2

    def test_what_is_cut_off_does_not_pull_its_own_limit_down(self) -> None:
        """When only responses in time were counted, a p95 fell with each attempt that it timed out."""
        text = 'kelpcroft version=1\nroute "r" { match; attempt timeout="p95" least="1ms"; }\n'
        table, random, now = RouteTable(load(text.encode())[0], "edge-1", 1, 0), Random(1), 0
        cut = 0
        for n in range(4_000):
            now += 5 * MS
            grant = table.admit(now, PAGE, "0" * 16, 0, 0, False, False, 60 * S, 0)
            assert grant
            took = int(random.lognormvariate(4, 0.5) * MS)
            limit = grant.bounds.attempt_timeout_ns or 60 * S
            cut += n >= 2_000 and took > limit
            grant.record_latency(now, min(took, limit))
            grant.release()
        assert cut / 2000 < 0.1, "about a twentieth times out, and the share does not grow"
        assert cut / 2000 > 0.01


class Rest(unittest.TestCase):
    def test_a_duration_counts_from_the_clients_send(self) -> None:
        text = (
            'kelpcroft version=1\nroute "r" { match class="page"; timeout "2s"; }\n'
            'route "o" { match; timeout "50%"; }\n'
        )
        table = RouteTable(load(text.encode())[0], "edge-1", 1, 0)

        def wait(cls: str, patience: int, waited: int) -> int:
            grant = table.admit(0, CLASSES[cls], "0" * 16, 0, 0, False, False, patience * MS, waited * MS)
            assert grant
            return grant.answer_timeout_ns // MS

        assert [wait("page", 3000, 0), wait("page", 2700, 300), wait("page", 900, 300)] == [2000, 1700, 900]
        assert [wait("order", 3000, 0), wait("order", 2700, 300), wait("order", 100, 2900)] == [1500, 1200, 0]

    def test_diff_names_what_changes_and_nothing_else(self) -> None:
        base = (
            'kelpcroft version=1\nroute "tails" { match part="8.."; moves most=2; }\n'
            'route "rest" { match; moves most=3; }\n'
        )
        old, same, new = (
            load(t.encode())[0]
            for t in (base, base.replace('"tails"', '"ends"'), base.replace("8..", "8..11"))
        )
        assert list(differences(old, same, "edge-1", [PAGE])) == []
        (change,) = differences(old, new, "edge-1", [PAGE])
        assert (change.where, change.old, change.new) == ('part="12..9999"', "tails", "rest")
        assert list(differences(old, OperatorFile(), "edge-1", [PAGE]))[0].new == ""

    def test_a_file_is_held_against_the_deployment_it_meets(self) -> None:
        here = parse_config(EXAMPLE, {}).settings
        file = load(b'kelpcroft version=1\nroute "r" { match; attempts most=1; moves most=3; }\n')[0]
        assert check(file, here) == []
        strict = replace(here, limits=replace(here.limits, max_attempts=3))
        assert [f.code for f in check(file, strict)] == ["moves-over-deployment"]


if __name__ == "__main__":
    unittest.main()
