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
from kelpcroft.operator_file.model import BudgetSettings, OperatorFile, Route, RouteMatch, RoutePolicy
from kelpcroft.routes import RouteTable
from kelpcroft.routes.budget import RetryBudget
from kelpcroft.routes.index import RouteIndex, in_any_range
from kelpcroft.routes.sketch import BUCKET_GROWTH, HALF_LIFE_NS, MAX_LATENCY_NS, LatencySketch
from tests.support.exchange_player import EXAMPLE
from tests.support.route_strategies import matches, ranges

MS, S = 10**6, 10**9
CLASSES = {c.name: c for c in parse_config(EXAMPLE, {}).settings.classes}
PAGE = CLASSES["page"]
prefixes = st.lists(st.sampled_from(["0", "00", "7", "7f", "7f3a", "f" * 16]), max_size=2).map(tuple)
routes = st.lists(
    matches | st.builds(RouteMatch, objects=prefixes, parts=ranges(30), groups=ranges(3)), max_size=12
)
any_request = st.tuples(
    st.sampled_from(["page", "order"]),
    st.sampled_from(["0" * 16, "7f3a" + "0" * 12, "f" * 16]),
    st.integers(0, 4) | st.integers(0, 255),
    st.integers(0, 31) | st.integers(0, 9_999),
    st.booleans(),
    st.booleans(),
)


def matches_request(
    match: RouteMatch, class_name: str, object_id: str, group: int, part: int, retry: bool, write: bool
) -> bool:
    """A direct implementation of a match, as the reference for the index."""
    return (
        (not match.classes or class_name in match.classes)
        and in_any_range(match.groups, group)
        and in_any_range(match.parts, part)
        and (not match.objects or any(object_id.startswith(prefix) for prefix in match.objects))
        and match.retry in (None, retry)
        and match.write in (None, write)
        and (not match.effects or CLASSES[class_name].idempotency.value in match.effects)
        and match.uncacheable in (None, class_name == "order")
        and match.multipart in (None, False)
    )


class Index(unittest.TestCase):
    @settings(max_examples=150, deadline=None, derandomize=True)
    @given(routes, st.lists(any_request, min_size=1, max_size=12))
    def test_the_first_matching_route_is_found(
        self, route_matches: list[RouteMatch], requests: list[tuple[str, str, int, int, bool, bool]]
    ) -> None:
        index = RouteIndex(
            [Route(str(place), match, RoutePolicy()) for place, match in enumerate(route_matches)], "edge-1"
        )
        for request in requests:
            expected = next(
                (place for place, match in enumerate(route_matches) if matches_request(match, *request)), -1
            )
            assert index.find(CLASSES[request[0]], *request[1:]) == expected, request

    @settings(max_examples=80, deadline=None, derandomize=True)
    @given(routes, st.lists(any_request, min_size=1, max_size=12))
    def test_coverage_agrees_with_the_index(
        self, route_matches: list[RouteMatch], requests: list[tuple[str, str, int, int, bool, bool]]
    ) -> None:
        """The index never finds a route that is unreachable, and always one for a class that is covered."""
        coverage = RouteCoverage(parse_config(EXAMPLE, {}).settings)
        route_list = [Route(str(place), match, RoutePolicy()) for place, match in enumerate(route_matches)]
        reachable = [coverage.add_route(route) for route in route_list]
        index = RouteIndex(route_list, "edge-1")
        for request in requests:
            place = index.find(CLASSES[request[0]], *request[1:])
            if place >= 0:
                assert request[0] in reachable[place]
            else:
                assert request[0] in coverage.uncovered()

    def test_routes_of_other_zones_are_skipped(self) -> None:
        route_list = [
            Route("a", RouteMatch(zones=("hub",)), RoutePolicy()),
            Route("b", RouteMatch(), RoutePolicy()),
        ]
        assert RouteIndex(route_list, "edge-1").find(PAGE, "0" * 16, 0, 0, False, False) == 1
        assert RouteIndex(route_list, "hub").find(PAGE, "0" * 16, 0, 0, False, False) == 0


class Budgets(unittest.TestCase):
    @settings(max_examples=100, deadline=None, derandomize=True)
    @given(
        st.floats(0, 2),
        st.floats(0, 50),
        st.floats(1, 30),
        st.lists(st.tuples(st.integers(-5, 400), st.booleans()), max_size=200),
    )
    def test_never_overdrawn(
        self, ratio: float, min_per_s: float, burst: float, steps: list[tuple[int, bool]]
    ) -> None:
        """A budget is never overdrawn, even if the clock stands still or goes back."""
        budget, now, latest, request_count = (
            RetryBudget(BudgetSettings("b", ratio, min_per_s, burst), 0),
            0,
            0,
            0,
        )
        for step, is_request in steps:
            now += step * MS
            latest = max(latest, now)
            if is_request:
                budget.earn(now)
                request_count += 1
            else:
                could_spend = budget.can_spend(now)
                assert budget.spend(now) == could_spend
            assert 0 <= budget.tokens <= burst
            assert budget.spent <= burst + ratio * request_count + min_per_s * latest / S + 1e-06

    def test_a_reloaded_budget_and_route_keep_their_state(self) -> None:
        text = 'kelpcroft version=1\nbudget "b" ratio=0 burst={}\nroute "r" {{ match; attempts budget="b"; }}'
        old, new = (load(text.format(n).encode())[0] for n in (10, 4))
        table = RouteTable(old, "edge-1", 1, 0)
        allowance = table.admit(0, PAGE, "0" * 16, 0, 0, False, False, S, 0)
        assert allowance
        for _ in range(8):
            assert allowance.spend_retry(0)
        table.replace(new, 0)
        second_allowance = table.admit(0, PAGE, "0" * 16, 0, 0, False, False, S, 0)
        assert second_allowance
        assert [second_allowance.spend_retry(0) for _ in range(3)] == [True, True, False], (
            "two were left, and burst is 4"
        )
        assert table.routes[0].open_requests == 2
        allowance.release()
        second_allowance.release()
        assert table.routes[0].open_requests == 0, "the route's state is kept when the file is replaced"


class Quantiles(unittest.TestCase):
    def test_the_error_is_within_the_stated_bound(self) -> None:
        for seed in range(8):
            random, sketch = Random(seed), LatencySketch(0)
            samples = sorted(int(random.lognormvariate(4, 1.0) * MS) + MS for _ in range(4_000))
            for value in samples:
                sketch.record(0, value)
            for share in (0.5, 0.9, 0.95, 0.99):
                exact = samples[int(share * len(samples))]
                assert abs(sketch.quantile(0, share) / exact - 1) < BUCKET_GROWTH - 1 + 0.02

    def test_old_samples_decay(self) -> None:
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

    def test_few_samples_give_no_quantile(self) -> None:
        sketch = LatencySketch(0)
        for _ in range(19):
            sketch.record(0, 50 * MS)
        assert sketch.quantile(0, 0.95) == 0
        for _ in range(100):
            sketch.record(0, 10**15)
        assert sketch.quantile(S, 0.95) > MAX_LATENCY_NS // 2

    def test_timeouts_do_not_lower_their_own_quantile(self) -> None:
        """When only responses in time were counted, a p95 fell with each attempt that it timed out."""
        text = 'kelpcroft version=1\nroute "r" { match; attempt timeout="p95" least="1ms"; }\n'
        table, random, now = RouteTable(load(text.encode())[0], "edge-1", 1, 0), Random(1), 0
        timed_out = 0
        for n in range(4_000):
            now += 5 * MS
            allowance = table.admit(now, PAGE, "0" * 16, 0, 0, False, False, 60 * S, 0)
            assert allowance
            latency_ns = int(random.lognormvariate(4, 0.5) * MS)
            timeout_ns = allowance.policy.attempt_timeout_ns or 60 * S
            timed_out += n >= 2_000 and latency_ns > timeout_ns
            allowance.record_latency(now, min(latency_ns, timeout_ns))
            allowance.release()
        assert timed_out / 2000 < 0.1, "about a twentieth times out, and the share does not grow"
        assert timed_out / 2000 > 0.01


class TimeoutsAndChecks(unittest.TestCase):
    def test_a_duration_counts_from_the_clients_send(self) -> None:
        text = (
            'kelpcroft version=1\nroute "r" { match class="page"; timeout "2s"; }\n'
            'route "o" { match; timeout "50%"; }\n'
        )
        table = RouteTable(load(text.encode())[0], "edge-1", 1, 0)

        def response_timeout_ms(class_name: str, remaining_ms: int, elapsed_ms: int) -> int:
            allowance = table.admit(
                0, CLASSES[class_name], "0" * 16, 0, 0, False, False, remaining_ms * MS, elapsed_ms * MS
            )
            assert allowance
            return allowance.response_timeout_ns // MS

        assert [
            response_timeout_ms("page", 3000, 0),
            response_timeout_ms("page", 2700, 300),
            response_timeout_ms("page", 900, 300),
        ] == [2000, 1700, 900]
        assert [
            response_timeout_ms("order", 3000, 0),
            response_timeout_ms("order", 2700, 300),
            response_timeout_ms("order", 100, 2900),
        ] == [1500, 1200, 0]

    def test_diff_reports_changes_only(self) -> None:
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

    def test_a_file_is_checked_against_the_limits_of_the_deployment(self) -> None:
        deployment = parse_config(EXAMPLE, {}).settings
        file = load(b'kelpcroft version=1\nroute "r" { match; attempts most=1; moves most=3; }\n')[0]
        assert check(file, deployment) == []
        strict = replace(deployment, limits=replace(deployment.limits, max_attempts=3))
        assert [f.code for f in check(file, strict)] == ["moves-over-deployment"]


if __name__ == "__main__":
    unittest.main()
