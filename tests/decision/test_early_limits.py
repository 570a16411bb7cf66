"""Limits that follow the current load, before any response is late.

Late responses alone show an overload only seconds after its queue has built up.  With this signal alone, the
links of an overloaded zone alternated between full and idle in both deployments.
"""

from __future__ import annotations

import unittest
from dataclasses import replace
from typing import Any

from kelpcroft.decision import interface as api
from kelpcroft.decision.admission import MAX_PRICE_THRESHOLD, MAX_SOURCE_WAIT_SHARE, AdmissionController
from kelpcroft.decision.interface import FillResult, Outcome
from kelpcroft.decision.policy import TICK_TIMER, RoutingPolicy
from kelpcroft.decision.requests import InFlightRequest
from kelpcroft.decision.statistics import DecayingGauge
from tests.support.policy_fixtures import (
    MS,
    S,
    end_attempt,
    forwarded_attempts,
    make_policy,
    send_request,
    servers,
)

CACHE_CAPACITY = 20.0  # parallel transfers at full rate that the four caches of ``servers`` have capacity for


def burst(p: RoutingPolicy, now: int, count: int, kb: float, name: str = "b") -> list[bool]:
    """Send ``count`` requests of one size at the same time; return for each whether it was forwarded."""
    return [
        bool(forwarded_attempts(send_request(p, now, f"{name}{n}", n + 1000 * len(name), size_kb=kb)))
        for n in range(count)
    ]


class CapacityLimits(unittest.TestCase):
    def test_weights_limit_admission_before_any_response_is_late(self) -> None:
        p = make_policy()
        sent = burst(p, S, 200, 400.0)
        assert all(sent[: int(CACHE_CAPACITY)]), "requests within capacity are admitted"
        assert sum(sent) < 5 * CACHE_CAPACITY, "most of a burst of ten times the capacity is rejected"

    def test_small_requests_are_admitted_when_large_ones_are_not(self) -> None:
        p = make_policy()
        burst(p, S, 60, 400.0)
        small, large = burst(p, S, 20, 10.0, "small"), burst(p, S, 20, 2_000.0, "large")
        assert sum(small) > 15
        assert sum(large) == 0

    def test_all_are_admitted_again_after_the_attempts_in_flight_end(self) -> None:
        p = make_policy()
        forwards = [
            f for n in range(200) for f in forwarded_attempts(send_request(p, S, f"r{n}", n, size_kb=400.0))
        ]
        for f in forwards:
            end_attempt(p, S + 900 * MS, f, Outcome.OK, elapsed_ns=900 * MS, fill_result=FillResult.HIT)
        assert all(burst(p, S + 950 * MS, int(CACHE_CAPACITY) // 2, 400.0, "after"))

    def test_attempts_at_an_ejected_cache_do_not_count_as_load(self) -> None:
        """Attempts at a silent cache stayed in flight until timeout; the zone rejected 2 of 5 requests."""
        p = make_policy()
        forwards = [
            f for n in range(60) for f in forwarded_attempts(send_request(p, S, f"r{n}", n, size_kb=400.0))
        ]
        for f in forwards:
            if f.server != "c0":
                end_attempt(p, S + 400 * MS, f, Outcome.OK, elapsed_ns=400 * MS, fill_result=FillResult.HIT)
        assert p.endpoints["c0"].requests_in_flight > 8
        p.ejection.record_failure(p.endpoints["c0"], 3, True)
        assert all(burst(p, S + 500 * MS, 10, 400.0, "after"))
        assert p.admission.all_requests.cache_load.value < 1.0

    def test_requests_beyond_the_caches_capacity_go_to_a_parent(self) -> None:
        """A zone with only two caches left rejected two thirds of its requests for half a minute, while a
        third of its fill link was used.  Requests must not bypass the caches if the link is full, or if the
        deployment does not allow it.
        """
        for bypass_allowed, link_load, expects_bypass in (
            (True, 0.4, True),
            (True, 3.0, False),
            (False, 0.4, False),
        ):
            with self.subTest(allows_cache_bypass=bypass_allowed, link_load=link_load):
                p = make_policy(allows_cache_bypass=bypass_allowed)
                burst(p, S, 60, 400.0)
                for _ in range(50):
                    p.admission.fills.link_load.record(S, link_load)
                later = [
                    f
                    for n in range(20)
                    for f in forwarded_attempts(send_request(p, S, f"l{n}", 5_000 + n, size_kb=400.0))
                ]
                assert any(f.server.startswith("p") for f in later) == expects_bypass
                assert not any(f.server == "o" for f in later)

    def test_requests_beyond_the_caches_capacity_never_go_to_the_origin(self) -> None:
        """While parents were empty or down, the fleet's excess load overloaded the origin."""
        p = make_policy(allows_cache_bypass=True)
        burst(p, S, 60, 400.0)
        for name in ("p0", "p1"):
            p.ejection.record_failure(p.endpoints[name], 3, True)
        later = [
            f
            for n in range(20)
            for f in forwarded_attempts(send_request(p, S, f"l{n}", 5_000 + n, size_kb=400.0))
        ]
        assert not any(f.server == "o" for f in later)

    def test_a_burst_that_is_cancelled_immediately_does_not_count_as_load(self) -> None:
        """Hundreds of requests that a client sent and cancelled counted as offered work of four seconds."""
        rejected = {}
        for is_cancelled in (True, False):
            p = make_policy()
            for n in range(400):
                for f in forwarded_attempts(send_request(p, S, f"b{n}", n, size_kb=400.0)):
                    if is_cancelled:
                        p.handle(S + MS, api.ClientDisconnected(f.id))
                    end_attempt(
                        p, S + 2 * MS, f, Outcome.CANCELLED if is_cancelled else Outcome.OK, elapsed_ns=MS
                    )
                if is_cancelled and f"b{n}" in p.requests_in_flight:
                    p.handle(S + MS, api.ClientDisconnected(f"b{n}"))
            rejected[is_cancelled] = sum(not sent for sent in burst(p, S + 50 * MS, 10, 600.0, "after"))
        assert rejected[True] == 0
        assert rejected[False] > 0, "completed work counts as load"

    def test_routers_share_the_capacity(self) -> None:
        alone, one_of_four = make_policy(), make_policy(zone_instances=4)
        assert sum(burst(alone, S, 100, 400.0)) > 2 * sum(burst(one_of_four, S, 100, 400.0))


class SlowOrigin(unittest.TestCase):
    """While the origin was slow, fills waited two seconds at their caches.  They counted as transfers over
    the caches' links and as late hits, and for twelve seconds 2 of 5 requests that a copy could have served
    were rejected.
    """

    def policy_with_waiting_requests(self, has_later_hits: bool) -> RoutingPolicy:
        """Return a policy with 60 requests in flight that wait for their fill source.

        Args:
            has_later_hits: Whether hits that were requested later have already been served.
        """
        p = make_policy()
        for n in range(60):
            send_request(p, S, f"w{n}", n, size_kb=300.0)
        for n in range(40 if has_later_hits else 0):
            for f in forwarded_attempts(send_request(p, S + 500 * MS, f"h{n}", 1_000 + n, size_kb=10.0)):
                end_attempt(p, S + 510 * MS, f, Outcome.OK, fill_result=FillResult.HIT)
        p.handle(S + 550 * MS, api.TimerExpired(TICK_TIMER))
        return p

    def test_attempts_that_wait_for_their_source_use_no_cache_capacity(self) -> None:
        for has_later_hits in (True, False):
            p = self.policy_with_waiting_requests(has_later_hits)
            hits = [
                bool(forwarded_attempts(send_request(p, S + 600 * MS, f"n{n}", 2_000 + n, size_kb=600.0)))
                for n in range(10)
            ]
            assert all(hits) == has_later_hits, "without later hits, the caches themselves may be overloaded"

    def test_a_late_fill_is_not_recorded_as_a_late_hit(self) -> None:
        for has_later_hits in (True, False):
            p = self.policy_with_waiting_requests(has_later_hits)
            for request in p.requests_in_flight.values():
                request.expects_fill = False  # as if copies were known, so that hits are expected
            p.handle(S + 2_500 * MS, api.TimerExpired(TICK_TIMER))
            assert (p.admission.all_requests.price_threshold < MAX_PRICE_THRESHOLD) == (not has_later_hits)
            assert (p.admission.fills.price_threshold < MAX_PRICE_THRESHOLD) == has_later_hits


class ColdBudget(unittest.TestCase):
    """Rule 4 limits work, not requests.  With the class's mean as the cost of each request, a few large
    requests overloaded a cold server, and the work completed before a restart counted as capacity after it.
    """

    def cold_policy(self, **changes: Any) -> RoutingPolicy:
        """Return a policy whose caches all started at 100 s: each has a budget of 1.2 s of work per second.

        The budget is 0.6 * 2 * 0.2 * 5 = 1.2.
        """
        listed_servers = [
            replace(s, started_ns=100 * S) if s.role is api.Role.CACHE else s for s in servers()
        ]
        return make_policy(listed_servers, **changes)

    def test_known_sizes_count(self) -> None:
        p = self.cold_policy()
        for n in range(60):
            kb = 20.0 if n % 3 else 1_500.0
            for f in forwarded_attempts(send_request(p, 100 * S + n * MS, f"r{n}", n, size_kb=kb)):
                request = p.requests_in_flight[f.id]
                if f.server in ("c0", "c1", "c2", "c3"):
                    sent = p.endpoints[f.server].work_sent.total
                    assert sent <= 1.2 * S, "requests of 0.02 s and of 1.5 s have different costs"
                    assert p.latency_model.expected_transfer_ns(request) < 1.2 * S
        assert sum(p.endpoints[f"c{n}"].work_sent.total > 0 for n in range(4)) > 2, (
            "small requests are sent to the cold caches"
        )

    def test_a_request_larger_than_the_budget_is_sent_alone(self) -> None:
        p = self.cold_policy()
        sent = [
            (now, f.server)
            for now in range(100, 118)
            for n in range(20)
            for f in forwarded_attempts(
                send_request(p, now * S + n * 50 * MS, f"{now}/{n}", 20 * now + n, size_kb=2_500.0)
            )
            if f.server.startswith("c")
            and p.endpoints[f.server].warm_fraction(p.state.now_ns, p.settings.rules) < 0.3
        ]
        assert sent, "a cold zone that receives only large requests must serve some of them"
        assert len(sent) == len(set(sent)), "no server receives two large requests in one second"

    def test_a_restart_resets_the_measured_capacity(self) -> None:
        p = make_policy()
        endpoint = p.endpoints["c0"]
        endpoint.work_completed.add(100 * S, 200.0 * S)
        assert endpoint.spare_capacity(100 * S) > 10
        listed_servers = tuple(replace(s, started_ns=100 * S) if s.name == "c0" else s for s in servers())
        p.handle(100 * S, api.EndpointListChanged("update", listed_servers))
        assert endpoint.spare_capacity(100 * S) == 0.0
        endpoint.work_completed.add(100 * S, 2.0 * S)
        p.handle(101 * S, api.EndpointListChanged("update", listed_servers))
        assert endpoint.spare_capacity(101 * S) > 0.0, "a start that was already recorded resets nothing"


class RankBySize(unittest.TestCase):
    def retention_rank_of(self, object_id: int, kb: float) -> int:
        """Return the retention rank of an object of this size at its third request."""
        p = make_policy()
        for n in range(40):
            (f,) = forwarded_attempts(send_request(p, S + n * MS, f"w{n}", 1_000 + n, size_kb=400.0))
            end_attempt(p, S + n * MS, f, Outcome.OK, fill_result=FillResult.FILLED)
        for n in range(3):
            (f,) = forwarded_attempts(send_request(p, 2 * S + n * MS, f"r{n}", object_id, size_kb=kb))
            end_attempt(p, 2 * S + n * MS, f, Outcome.OK, fill_result=FillResult.FILLED)
        return f.retention_rank

    def test_small_objects_are_kept_longer_than_large_ones(self) -> None:
        """Sizes vary widely: a large copy takes the space of many small ones."""
        assert [self.retention_rank_of(1, kb) for kb in (100.0, 400.0, 0.0, 3000.0)] == [3, 2, 2, 1]


class SourceWaits(unittest.TestCase):
    def complete_fills(self, p: RoutingPolicy, start: int, wait_ms: int) -> None:
        """Complete 30 fills, each after a wait of ``wait_ms`` for its fill source."""
        for n in range(30):
            now = start + n * 20 * MS
            (f,) = forwarded_attempts(
                send_request(p, now, f"w{start}-{n}", 5_000 + n + start // S * 100, size_kb=100.0)
            )
            p.handle(
                now + MS,
                api.AttemptEnded(
                    f.id,
                    0,
                    f.server,
                    Outcome.OK,
                    (wait_ms + 100) * MS,
                    True,
                    FillResult.FILLED_FROM_ORIGIN,
                    wait_ms * MS,
                ),
            )

    def hit_only_count(self, p: RoutingPolicy, now: int) -> int:
        """Return how many of 20 requests for large objects without known copies are sent without a fill."""
        forwards = [
            forwarded_attempts(send_request(p, now, f"l{now}-{n}", 90_000 + n, size_kb=900.0))
            for n in range(20)
        ]
        return sum(bool(f) and f[0].fill_source == f[0].server for f in forwards)

    def test_a_long_queue_at_the_source_prevents_large_fills(self) -> None:
        for wait_ms, expects_limit in ((20, False), (580, True)):
            p = make_policy()
            self.complete_fills(p, S, wait_ms)
            assert (self.hit_only_count(p, 2 * S) >= 15) == expects_limit, (
                f"the wait for the fill source is {wait_ms} ms"
            )

    def test_large_fills_are_admitted_again_without_a_new_measurement(self) -> None:
        p = make_policy()
        self.complete_fills(p, S, 5_000)
        assert self.hit_only_count(p, 2 * S) == 20
        assert self.hit_only_count(p, 8 * S) == 0, (
            "the limit decays, because without fills nothing measures the shorter queue"
        )

    def test_one_extreme_wait_does_not_block_fills(self) -> None:
        controller = AdmissionController()
        controller.record_source_wait(S, 1e12)
        assert controller.source_wait.value_at(S) <= 1 / MAX_SOURCE_WAIT_SHARE


class LoadSignals(unittest.TestCase):
    def test_a_gauge_falls_by_one_per_decay_time(self) -> None:
        gauge = DecayingGauge(S)
        gauge.record(5 * S, 3.0)
        assert [gauge.value_at(t * S) for t in (5, 6, 8)] == [3.0, 2.0, 0.0]

    def test_idle_caches_attract_no_objects_if_weights_are_known(self) -> None:
        """A cache that restarted empty was idle while it waited for fills, and got four times its share."""
        moved_counts = {}
        for weight_source in ("rough", "off"):
            p = make_policy(weight_source=weight_source)
            homes_before = [
                p.caches.ranked_caches(self.completed_request(p, n))[0].server.name for n in range(400)
            ]
            for name, utilization in (("c0", 0.05), ("c1", 0.5), ("c2", 0.5), ("c3", 0.5)):
                p.feedback.record_load_report(p.endpoints[name], {"utilization": utilization})
            homes_after = [
                p.caches.ranked_caches(self.completed_request(p, n))[0].server.name for n in range(400)
            ]
            moved_counts[weight_source] = sum(a != b for a, b in zip(homes_before, homes_after, strict=True))
        assert moved_counts["rough"] < 20
        assert moved_counts["off"] > 60, "without weights, load reports are the only measure of capacity"

    def completed_request(self, p: RoutingPolicy, object_id: int) -> InFlightRequest:
        (f,) = forwarded_attempts(
            send_request(p, S, f"h{len(p.requests_in_flight)}-{object_id}", object_id, size_kb=1.0)
        )
        request = p.requests_in_flight[f.id]
        end_attempt(p, S, f, Outcome.OK, fill_result=FillResult.HIT, elapsed_ns=MS)
        return request


if __name__ == "__main__":
    unittest.main()
