"""Startup of a process: requests to the list service, suspect lists, and the record of earlier starts."""

from __future__ import annotations

import os
import tempfile
import unittest
from collections import Counter
from collections.abc import Callable
from dataclasses import replace
from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from benchmarks.cold_start import BenchmarkFleet
from kelpcroft.core import effects, inputs, messages
from kelpcroft.core.reducer import Reducer
from kelpcroft.discovery.endpoint_view import MIN_SNAPSHOT_INTERVAL_NS, EndpointView
from kelpcroft.discovery.schedule import (
    MAX_FIRST_REQUEST_DELAY_NS,
    MAX_RETRY_AFTER_NS,
    MS,
    SECOND,
    DiscoverySchedule,
)
from kelpcroft.net import predecessor_files
from kelpcroft.net.feed_codec import FeedCodec, FeedError
from kelpcroft.operator_file import OperatorFile, check, load
from kelpcroft.startup import StartupOptions, crash_loop_backoff
from kelpcroft.startup.fleet_size import FleetSizeEstimator
from kelpcroft.startup.origin_concurrency import OriginConcurrencyLimit
from testbed.cold_start import START, ColdStartFleet, ListServiceModel
from tests.support.reducer_fixtures import NOW, effects_of_type, make_reducer

S = SECOND
STEP_SEQUENCES = st.lists(st.sampled_from(["fail", "retry", "response", "event", "empty"]), max_size=60)


def fleet(count: int, requests_per_s: float = 50.0) -> list[DiscoverySchedule]:
    return [DiscoverySchedule(count, 7_919 * n, requests_per_s) for n in range(count)]


def request_times(
    schedules: list[DiscoverySchedule], seconds: int, serves: Callable[[int], bool]
) -> list[int]:
    """Returns the times of all watch requests of a fleet whose routers all start at the same time.

    ``serves(at)`` returns whether the service responds; a request with a response waits as long as it may.
    """
    times = []
    for schedule in schedules:
        at = schedule.first_request_delay_ns()
        while at < seconds * S:
            times.append(at)
            if serves(at):
                schedule.record_success()
                at += schedule.event_wait_ms() * MS
            else:
                at += 2 * MS + schedule.record_failure()
    return times


def max_requests(times: list[int], interval_ns: int = S) -> int:
    """Returns the most requests in any interval of ``interval_ns``."""
    return max(Counter(at // interval_ns for at in times).values())


class WatchRequests(unittest.TestCase):
    def test_a_dead_service_receives_a_bounded_number_of_requests(self) -> None:
        """A dead list service receives a bounded number of requests whatever the fleet's size.

        Guards against a fixed retry delay: with 400 ms, 200 routers sent it 500 requests a second.
        """
        for count in (20, 120, 200, 1_000):
            times = request_times(fleet(count), 30, lambda at: False)
            after_start = [at for at in times if at > 5 * S]
            assert len(after_start) / 25 < 60, count
            assert max_requests(after_start) < 90, count
            # The first requests are sent within 5 s whatever the fleet's size.
            assert max_requests(times) < max(130, 1.4 * count / 5), count

    def test_without_a_budget_requests_are_sent_immediately(self) -> None:
        """A grace starts when the feed has an event, so without a budget requests are sent immediately."""
        for count in (1, 60, 200, 5_000):
            schedule = DiscoverySchedule(count, 1)
            assert (schedule.first_request_delay_ns(), schedule.event_wait_ms()) == (0, 1000)
            delays = [schedule.record_failure(9 * S) for _ in range(9)]
            assert delays == [0] + [min(25 << n, 400) * MS for n in range(8)]
            assert (schedule.random, schedule.max_delay_ns) == (None, 400 * MS), "``random`` is not imported"

    def test_an_idle_fleet_of_200_sends_as_many_requests_as_one_of_50(self) -> None:
        for count, expected in ((4, 4), (50, 50), (200, 52), (1_000, 260)):
            times = [at for at in request_times(fleet(count), 20, lambda at: True) if at >= 10 * S]
            assert len(times) / 10 <= expected, count

    def test_after_an_outage_routers_return_at_different_times(self) -> None:
        """After 10 s of outage all routers return within a bounded time, and never all at the same time."""
        for count in (24, 120, 200, 500):
            schedules = fleet(count)
            times = request_times(schedules, 40, lambda at: at > 10 * S)
            requests_after_outage = [at for at in times if 10 * S < at < 11 * S]
            assert max_requests(requests_after_outage, S // 10) < 25, count
            assert all(schedule.consecutive_failures == 0 for schedule in schedules)
            first_requests_ns = [
                min(at for at in request_times([schedule], 40, lambda at: False) if at > 10 * S)
                for schedule in fleet(count)
            ]
            assert max(first_requests_ns) < 10 * S + schedules[0].max_delay_ns + 2 * MS, count

    def test_retry_after_is_applied_up_to_its_maximum(self) -> None:
        schedule = DiscoverySchedule(200, 3, 50.0)
        assert schedule.record_failure(2 * S) >= 2 * S
        assert schedule.record_failure(3600 * S) <= MAX_RETRY_AFTER_NS + schedule.cycle_ns

    def test_a_budget_that_changes_in_service(self) -> None:
        schedule = DiscoverySchedule(200, 3)
        schedule.set_budget(200, 10.0)
        assert (schedule.has_budget, schedule.cycle_ns) == (True, 20 * S)
        assert schedule.record_failure() != schedule.record_failure()
        schedule.set_budget(200, 0.0)
        assert (schedule.has_budget, schedule.event_wait_ms()) == (False, 1000)

    @settings(max_examples=150, deadline=None, derandomize=True)
    @given(
        STEP_SEQUENCES, st.integers(1, 5_000), st.integers(0, 2**32), st.sampled_from([0.0, 1.0, 50.0, 1e6])
    )
    def test_any_order_of_responses_and_failures(
        self, events: list[str], count: int, seed: int, per_s: float
    ) -> None:
        schedule = DiscoverySchedule(count, seed, per_s)
        for event in events:
            if event == "retry":
                assert not schedule.has_budget or schedule.record_failure(9 * S) >= 9 * S
            elif event in ("fail", "empty"):
                assert 0 <= schedule.record_failure() <= schedule.max_delay_ns
            else:
                schedule.record_success()
                assert schedule.consecutive_failures == 0
            assert schedule.first_request_delay_ns() <= MAX_FIRST_REQUEST_DELAY_NS
            assert 1000 <= schedule.event_wait_ms() <= 4000
        # After any sequence the next request is sent within a bounded time.
        assert schedule.record_failure() <= schedule.max_delay_ns

    @settings(max_examples=80, deadline=None, derandomize=True)
    @given(st.integers(0, 2**32), st.integers(0, 2**32))
    def test_two_seeds_differ_within_three_failures(self, a: int, b: int) -> None:
        if a == b:
            return
        schedule, other = DiscoverySchedule(160, a, 50.0), DiscoverySchedule(160, b, 50.0)
        assert [schedule.record_failure() for _ in range(3)] != [other.record_failure() for _ in range(3)]


def record(
    name: str, state: str = "in_service", address: str = "", started_ns: int = 0
) -> inputs.EndpointRecord:
    address = address or f"127.0.0.1:{9_000 + sum(name.encode())}"
    return inputs.EndpointRecord(name, address, "edge-1", "box", 0, state, 1.0, started_ns)


class WastedBytes(unittest.TestCase):
    def test_wasted_bytes_delay_the_next_request(self) -> None:
        """Up to 256 KB without progress adds no delay; more adds its time at 64 KB/s, at most a minute."""
        for wasted, expected in ((0, 0), (256 << 10, 0), (1 << 20, 16 * SECOND), (1 << 30, 60 * SECOND)):
            with self.subTest(wasted=wasted):
                schedule = DiscoverySchedule(10, 1)
                assert schedule.record_failure(wasted_bytes=wasted) == expected
                assert schedule.record_failure(wasted_bytes=wasted) >= expected


class SuspectLists(unittest.TestCase):
    def setUp(self) -> None:
        self.view = EndpointView()
        self.view.begin_response(5)
        self.view.apply([record("a"), record("b"), record("c", "terminating")], True)
        self.view.end_response(0, 5)

    def usable(
        self, *records: inputs.EndpointRecord, is_snapshot: bool = False, number: int = 6
    ) -> list[str]:
        usable, _ = self.view.select_usable(records, is_snapshot, number)
        return [f"{e.name} {e.state}" for e in usable]

    def test_a_complete_list_with_no_server_in_service_is_ignored(self) -> None:
        for records in ([], [record("a", "terminated")]):
            usable, reasons = self.view.select_usable(records, True, 6)
            assert (usable, len(reasons)) == ([], 1)
        assert self.usable(record("a", "terminated")) == ["a terminated"], "a removal is applied immediately"

    def test_a_server_at_the_address_of_another(self) -> None:
        address = record("a").address
        assert self.usable(record("x", address=address)) == []
        assert self.usable(record("x", address=address, started_ns=9)) == ["x in_service"], (
            "it has started since"
        )
        assert self.usable(record("a", "terminated"), record("x", address=address)) == [
            "a terminated",
            "x in_service",
        ], "its address is that of a server that is terminated"
        assert self.usable(record("x", address=address), record("b"), is_snapshot=True) == [
            "x in_service",
            "b in_service",
        ]
        assert self.usable(record("x", address=record("c").address)) == ["x in_service"], "c is draining"

    def test_lower_event_numbers_restore_no_drained_server(self) -> None:
        assert self.usable(record("c"), number=4) == [], "a later event drains it"
        assert self.usable(record("c"), number=6) == ["c in_service"]
        assert self.usable(record("c", started_ns=9), number=4) == ["c in_service"], "it has started since"
        assert self.usable(record("a", "terminating"), number=4) == ["a terminating"]
        self.view.begin_response(2)
        assert self.usable(record("c"), number=2) == []
        assert self.view.end_response(S, 2), "a list request is due"
        assert self.view.last_event_number == 0
        self.view.begin_response(7)
        self.view.end_response(S, 7)
        self.view.begin_response(3)
        assert not self.view.end_response(2 * S, 3), "at most once per interval"
        assert self.view.last_event_number == 7
        self.view.begin_response(3)
        assert self.view.end_response(S + MIN_SNAPSHOT_INTERVAL_NS, 3)

    def test_its_memory_is_bounded(self) -> None:
        for n in range(5_000):
            self.view.apply([record(f"gone{n}", "terminated")], False)
        assert len(self.view.endpoints) <= 1100


def watch_response(
    last: int, *records: inputs.EndpointRecord, is_snapshot: bool = False
) -> inputs.WatchResponse:
    return inputs.WatchResponse(
        last, (inputs.EndpointUpdate(is_snapshot, records, last),) if records or is_snapshot else ()
    )


BUDGET = StartupOptions(list_requests_per_s=50.0)


def poll_effects(effect_list: list[effects.Effect]) -> list[effects.SendWatchRequest]:
    return [
        e
        for e in effects_of_type(effects.SendWatchRequest, effect_list)
        if isinstance(e, effects.SendWatchRequest)
    ]


def poll_timers(effect_list: list[effects.Effect]) -> list[effects.ScheduleTimer]:
    return [
        e
        for e in effects_of_type(effects.ScheduleTimer, effect_list)
        if isinstance(e, effects.ScheduleTimer) and e.key[0] is messages.TimerKind.SEND_WATCH_REQUEST
    ]


def logged_events(effect_list: list[effects.Effect]) -> list[str]:
    return [
        e.event for e in effects_of_type(effects.LogEvent, effect_list) if isinstance(e, effects.LogEvent)
    ]


class StartInTheReducer(unittest.TestCase):
    def reducer(self, routers: int = 0) -> Reducer:
        """Returns a reducer under the budget of a fleet of this size; without a budget where it is 0."""
        r = make_reducer()
        if routers:
            r.position.schedule = DiscoverySchedule(routers, 11, 50.0)
        return r

    def test_a_list_service_that_renumbers_its_events(self) -> None:
        for routers in (0, 200):
            r = self.reducer(routers)
            extra = replace(record("s-x"), kind=next(iter(r.state.endpoints.values())).kind)
            r.handle(NOW + 2 * S, watch_response(900, extra))
            assert "s-x" in r.state.endpoints
            effect_list = r.handle(NOW + 4 * S, inputs.WatchResponse(1, ()))
            assert "s-x" in r.state.endpoints, "the last good endpoint list is kept"
            assert logged_events(effect_list) == ["feed.renumbered"]
            if routers:  # the second requests of a fleet are spread as its first ones were
                (timer,) = poll_timers(effect_list)
                effect_list = r.handle(timer.at_ns, inputs.TimerFired(timer.key))
            assert [e.after_event for e in poll_effects(effect_list)] == [0]

    def test_two_halves_of_a_service_that_disagree_receive_a_bounded_rate(self) -> None:
        """One half has counted to 900, the other to 5, and each responds to every second request."""
        r, list_requests = self.reducer(), 0
        for n in range(100):
            effect_list = r.handle(NOW + (n + 1) * S // 5, inputs.WatchResponse(900 if n % 2 else 5, ()))
            list_requests += sum(e.after_event == 0 for e in poll_effects(effect_list))
        assert list_requests <= 5, "in 20 s"
        assert r.state.endpoints

    def test_immediate_empty_responses_cause_no_request_loop(self) -> None:
        for routers, max_requests_made in ((0, 60), (200, 10)):
            r, now, requests = self.reducer(routers), NOW + S, 0
            effect_list = r.handle(now, inputs.WatchResponse(r.endpoint_list.last_event, ()))
            while now < NOW + 11 * S:
                requests += len(poll_effects(effect_list))
                timers = poll_timers(effect_list)
                now = timers[0].at_ns if timers else now + MS
                effect_list = (
                    r.handle(now, inputs.TimerFired(timers[0].key))
                    if timers
                    else r.handle(now, inputs.WatchResponse(r.endpoint_list.last_event, ()))
                )
            assert requests < max_requests_made, "requests in ten seconds"

    def test_an_empty_complete_list_changes_nothing_and_is_logged_once(self) -> None:
        r = self.reducer()
        before = dict(r.state.endpoints)
        effect_list = r.handle(NOW + 2 * S, watch_response(3, is_snapshot=True))
        assert r.state.endpoints == before
        assert logged_events(effect_list) == ["feed.refused"]
        assert [e.after_event for e in poll_effects(effect_list)] == [3], (
            "the next watch request continues after it"
        )

    def test_the_first_request_is_delayed_and_longer_after_many_starts(self) -> None:
        r = make_reducer()
        r.state.config = replace(r.state.config, settings=replace(r.state.config.settings, instances=400))
        (timer,) = poll_timers(r.start(NOW, BUDGET))
        assert 0 < timer.at_ns - NOW < 5 * S
        assert r.state.endpoints, "the known endpoint list is used in the meantime"
        (timer,) = poll_timers(r.start(NOW, BUDGET, 4 * S))
        assert timer.at_ns - NOW >= 4 * S
        assert poll_effects(r.start(NOW, None, 4 * S)), (
            "without a budget the rules require an immediate request"
        )

    def test_a_reloaded_file_changes_the_budget(self) -> None:
        r = make_reducer()
        r.handle(NOW + S, inputs.OperatorFileRead(OperatorFile(start_options=BUDGET)))
        assert r.position.schedule.has_budget
        r.handle(NOW + 2 * S, inputs.OperatorFileRead(OperatorFile()))
        assert not r.position.schedule.has_budget

    def test_retry_after_comes_from_the_response(self) -> None:
        codec = FeedCodec()
        with pytest.raises(FeedError):
            codec.receive_data(
                memoryview(b"HTTP/1.1 503 Busy\r\nRetry-After: 3\r\nContent-Length: 0\r\n\r\n")
            )
        assert codec.retry_after_ns == 3 * S
        r = self.reducer(200)
        (timer,) = poll_timers(r.handle(NOW + S, inputs.WatchFailed("503", 3 * S)))
        assert timer.at_ns >= NOW + 4 * S
        assert poll_effects(self.reducer().handle(NOW + S, inputs.WatchFailed("503", 3 * S)))


class FleetSize(unittest.TestCase):
    """The number of routers in the zone, estimated from the load reports of caches."""

    def test_an_estimate_equal_to_the_settings(self) -> None:
        estimator = FleetSizeEstimator(4)
        assert estimator.estimated_routers(NOW) == 4, "there is no report"
        for n in range(50):
            estimator.record_report(NOW + n * MS, 8.0, 2)
        assert estimator.estimated_routers(NOW + 50 * MS) == 4

    def test_more_and_fewer_routers_than_configured(self) -> None:
        for reported, expected in ((16.0, 8), (2.0, 2), (1_000.0, 64)):
            estimator = FleetSizeEstimator(4)
            for n in range(50):
                estimator.record_report(NOW + n * MS, reported, 2)
            assert estimator.estimated_routers(NOW + 50 * MS) == expected, reported

    def test_impossible_reports_are_ignored(self) -> None:
        estimator = FleetSizeEstimator(4)
        for reported in (float("nan"), float("inf"), -1.0, 1e9):
            for n in range(50):
                estimator.record_report(NOW + n * MS, reported, 2)
        assert estimator.estimated_routers(NOW + S) == 4
        for n in range(50):
            estimator.record_report(
                NOW + S + n * MS, 0.0, 2
            )  # reports from before this router's two requests arrived
        assert estimator.estimated_routers(NOW + S + 50 * MS) == 2, "one router, plus the margin"

    @settings(max_examples=100, deadline=None, derandomize=True)
    @given(st.lists(st.integers(1, 40), min_size=1, max_size=40), st.integers(1, 40))
    def test_the_shares_never_exceed_the_capacity_of_a_zone(self, loads: list[int], configured: int) -> None:
        """The shares of all routers stay within the zone's capacity.

        This holds for up to 16 times the number of routers in the settings, however uneven their load.
        """
        total = sum(loads)
        if len(loads) > 16 * configured or total > 16 * configured * min(loads):
            return
        shares = []
        for own_load in loads:
            estimator = FleetSizeEstimator(configured)
            for n in range(30):
                estimator.record_report(NOW + n * MS, float(total), own_load)
            shares.append(1 / estimator.estimated_routers(NOW + 30 * MS))
        assert sum(shares) <= 1.25 + 0.001, (
            "with the number in the settings the sum would be len(loads) / configured"
        )

    def test_a_deployment_without_that_report_gets_a_diagnostic(self) -> None:
        s = make_reducer().state.settings
        file, _ = load(b'kelpcroft version=1\nstart count=#true\nroute "rest" { match; }\n')
        assert [f.code for f in check(file, s)] == []
        for changed in (replace(s, load_report_mode="off"), replace(s, load_report_fields=("utilization",))):
            assert [f.code for f in check(file, changed)] == ["no-report"]

    def test_in_the_reducer(self) -> None:
        r = make_reducer()
        assert r.state.fleet_size is None
        r.handle(
            NOW + S,
            inputs.OperatorFileRead(OperatorFile(start_options=StartupOptions(estimate_fleet_size=True))),
        )
        assert r.state.fleet_size is not None
        configured = r.state.config.settings
        for n in range(50):
            r.state.fleet_size.record_report(NOW + S + n * MS, 12.0 * configured.zone_instances, 2)
        effect_list = r.handle(NOW + 2 * S, inputs.TimerFired((messages.TimerKind.HOUSEKEEPING, 0, 0)))
        assert logged_events(effect_list) == ["start.routers"]
        assert r.state.settings.zone_instances == 6 * configured.zone_instances
        assert r.state.policy.settings.instances == 6 * configured.instances
        r.handle(NOW + 3 * S, inputs.OperatorFileRead(OperatorFile()))
        assert (r.state.fleet_size, r.state.settings.zone_instances) == (None, configured.zone_instances)

    def test_a_tenth_of_the_configured_routers(self) -> None:
        """A tenth of the configured routers run, and all caches are cold.

        Guards against a share computed from the number in the settings: each router used a fortieth of the
        zone's capacity, and 0.28 of the requests' priority weight was served in time.
        """
        share_in_time = {}
        for count in (False, True):
            fleet = FleetWithStartOptions(24, configured_routers=240, cold_parents=False)
            fleet.start_options = StartupOptions(estimate_fleet_size=count)
            fleet.run(16)
            share_in_time[count] = fleet.outcomes.share_in_time(5, 14)
            assert sum(b.collapses for b in fleet.servers.caches.values()) == 0
        assert share_in_time[True] > 1.5 * share_in_time[False], share_in_time


class OriginLimit(unittest.TestCase):
    def test_the_limit_rises_with_timely_responses_and_falls_with_late_ones(self) -> None:
        origin_limit = OriginConcurrencyLimit(NOW)
        assert origin_limit.has_capacity()
        origin_limit.record_sent()
        assert not origin_limit.has_capacity(), "the limit is one at first"
        origin_limit.record_finished(NOW + MS, NOW, False)
        assert (origin_limit.limit, origin_limit.in_flight) == (2.0, 0)
        origin_limit.limit = 8.0
        for n in range(8):
            origin_limit.record_sent()
            origin_limit.record_finished(NOW + (2 + n) * MS, NOW + MS, False)
        assert round(abs(origin_limit.limit - 9.0), 1) == 0, "it rises by one per round"
        origin_limit.limit = 8.0
        origin_limit.record_finished(NOW + 11 * MS, NOW + 8 * MS, True)
        origin_limit.record_finished(NOW + 12 * MS, NOW + 8 * MS, True)
        assert origin_limit.limit == 4.0, "fetches sent before the reduction do not reduce it again"
        origin_limit.record_finished(NOW + 13 * MS, NOW + 12 * MS, None)
        assert origin_limit.limit == 4.0

    def test_the_limit_is_lifted_after_a_long_time_without_late_responses(self) -> None:
        origin_limit = OriginConcurrencyLimit(NOW)
        for n in range(200):
            origin_limit.record_finished(NOW + n * 100 * MS, NOW, n == 0)
        assert origin_limit.is_lifted
        origin_limit = OriginConcurrencyLimit(NOW)
        for n in range(600):
            origin_limit.record_finished(NOW + n * MS, NOW, False)
        assert origin_limit.is_lifted, "the limit has reached its maximum"
        origin_limit.in_flight = 500
        assert origin_limit.has_capacity()

    @settings(max_examples=100, deadline=None, derandomize=True)
    @given(st.lists(st.sampled_from(["send", "good", "late", "none"]), max_size=200))
    def test_any_order_of_sends_and_results(self, steps: list[str]) -> None:
        origin_limit, now = OriginConcurrencyLimit(NOW), NOW
        for step in steps:
            now += 10 * MS
            if step == "send":
                origin_limit.record_sent()
            else:
                origin_limit.record_finished(
                    now, now - 5 * MS, {"good": False, "late": True, "none": None}[step]
                )
            assert origin_limit.in_flight >= 0
            assert origin_limit.limit >= 1.0
        origin_limit.in_flight = 0
        assert origin_limit.has_capacity(), "one fetch is always allowed"

    def test_the_reducer_applies_the_limit_to_fills_and_not_to_orders(self) -> None:
        r = make_reducer()
        r.handle(
            NOW + S,
            inputs.OperatorFileRead(OperatorFile(start_options=StartupOptions(limit_origin_fetches=True))),
        )
        assert r.state.origin_limit is not None
        r.state.origin_limit.in_flight = 1
        r.handle(NOW + S, inputs.TimerFired((messages.TimerKind.RESTART_OVERLAP, 0, 0)))
        assert not r.state.policy.origin_fills_allowed
        order_request = inputs.ClientRequest(1, 1, "order", "t1", 2 * S, "a", "0", 10, 0, 0, False, "", b"x")
        assert (
            effects_of_type(effects.OpenServerConnection, r.handle(NOW + S, order_request))
            or r.state.attempts
        ), "it is sent"
        r.handle(NOW + 2 * S, inputs.OperatorFileRead(OperatorFile()))
        assert r.state.policy.origin_fills_allowed

    def test_many_routers_with_empty_caches_and_parents(self) -> None:
        """Many routers start beside empty caches and parents.

        Without the limit the origin receives four times the load that it can serve, and for ten seconds few
        responses are in time.
        """
        share_in_time, rejected = {}, {}
        for is_limited in (False, True):
            fleet = FleetWithStartOptions(40)
            fleet.start_options = StartupOptions(limit_origin_fetches=is_limited)
            fleet.run(14)
            share_in_time[is_limited], rejected[is_limited] = (
                fleet.outcomes.share_in_time(0, 12),
                fleet.servers.origin.refused,
            )
            assert not any(count > 1 for count in fleet.servers.order_runs.values()), (
                "an order was executed twice"
            )
        assert share_in_time[True] > 1.5 * share_in_time[False], share_in_time
        assert rejected[False] > 50
        assert rejected[True] == 0


class FleetWithStartOptions(ColdStartFleet):
    start_options = StartupOptions()

    def start_router(self, n: int) -> list[effects.Effect]:
        return self.routers[n].start(self.now, self.start_options)


class StartNode(unittest.TestCase):
    def test_the_start_node_of_the_operators_file(self) -> None:
        file, diagnostics = load(b"kelpcroft version=1\nstart list-calls=50\n")
        assert file is not None
        assert (diagnostics, file.start_options) == ([], BUDGET)
        for text, code in (
            (b"start", "missing-value"),
            (b"start list-calls=0", "bad-rate"),
            (b"start list-calls=50\nstart list-calls=50", "duplicate-node"),
            (b"start calls=50 list-calls=50", "unknown-key"),
            (b'start list-calls="many"', "wrong-type"),
        ):
            _, diagnostics = load(b"kelpcroft version=1\n" + text + b"\n")
            assert [diagnostic.code for diagnostic in diagnostics] == [code], text


class CrashLoop(unittest.TestCase):
    def test_a_crash_loop_sends_the_list_service_few_requests(self) -> None:
        """A router starts every 2 s for a minute; few of the starts send a request before the next crash."""
        data, requests = b"", 0
        for n in range(30):
            now = NOW + n * 2 * S
            earlier = crash_loop_backoff.decode(data, "n3", now)
            requests += crash_loop_backoff.crash_loop_delay_ns(earlier) < 2 * S
            data = crash_loop_backoff.encode("n3", earlier, now)
        assert requests == 4, (
            "4 of 30 starts: the third waits 0.5 s, the fourth 1 s, and all later ones too long"
        )
        assert (
            crash_loop_backoff.crash_loop_delay_ns(crash_loop_backoff.decode(data, "n3", NOW + 180 * S)) == 0
        ), "earlier starts expire"

    def test_an_unusable_file_causes_no_delay(self) -> None:
        good = crash_loop_backoff.encode("n3", [NOW - S], NOW)
        assert len(crash_loop_backoff.decode(good, "n3", NOW)) == 2
        for data in (
            b"",
            b"{",
            b"[]",
            good.replace(b"n3", b"n4"),
            good.replace(b'"v":1', b'"v":2'),
            b'{"v":1,"name":"n3","starts_ms":[true]}',
            b'{"v":1,"name":"n3","starts_ms":"x"}',
            b" " * crash_loop_backoff.MAX_FILE_BYTES + good,
        ):
            assert crash_loop_backoff.decode(data, "n3", NOW) == []
        future = crash_loop_backoff.encode("n3", [], NOW + 3_600 * S)
        assert crash_loop_backoff.decode(future, "n3", NOW) == [], "a start in the future is ignored"
        assert len(crash_loop_backoff.encode("n" * 200, [NOW] * 100, NOW)) < crash_loop_backoff.MAX_FILE_BYTES

    def test_the_record_on_disk(self) -> None:
        with tempfile.TemporaryDirectory() as directory:
            delays = [predecessor_files.crash_loop_delay_ns(directory, "n3", NOW + n * S) for n in range(6)]
            assert delays == [0, 0, S // 2, S, 2 * S, 4 * S]
            assert os.listdir(directory) == ["kelpcroft-n3.starts"]
            Path(crash_loop_backoff.file_path(directory, "n3")).write_bytes(b"\xff" * 9)
            assert predecessor_files.crash_loop_delay_ns(directory, "n3", NOW) == 0
        assert predecessor_files.crash_loop_delay_ns("/nowhere", "n3", NOW) == 0
        assert predecessor_files.crash_loop_delay_ns("", "n3", NOW) == 0


class StartOfAFleet(unittest.TestCase):
    """Two hundred routers in virtual time, and a list service that crashes when 100 requests wait."""

    def test_a_simultaneous_start_crashes_the_service_only_without_a_budget(self) -> None:
        for start_kind, crashes in (("none", True), ("budget", False)):
            fleet = BenchmarkFleet(200, rate=0.2, service=ListServiceModel(), cold=False, cold_parents=False)
            fleet.start_kind = start_kind
            fleet.run(12)
            assert (fleet.service.crashes > 0) == crashes, start_kind
            assert (len(fleet.first_response_ns) == 200) == (not crashes), start_kind

    def test_a_service_that_is_dead_for_ten_seconds_and_renumbers(self) -> None:
        fleet = BenchmarkFleet(
            120,
            rate=0.2,
            cold=False,
            cold_parents=False,
            service=ListServiceModel(
                down_until_ns=START + 10 * S,
                calls_per_s=100.0,
                max_queued_calls=40,
                renumbers_after_crash=True,
            ),
        )
        fleet.start_kind = "budget"
        fleet.run(20)
        assert (fleet.service.crashes, len(fleet.first_response_ns)) == (0, 120)
        assert (
            max(fleet.first_response_ns.values())
            < START + 10 * S + fleet.routers[0].position.schedule.max_delay_ns + S
        )
        assert all(r.state.endpoints for r in fleet.routers)


if __name__ == "__main__":
    unittest.main()
