"""Failures of fleets of about 40 routers, each of which receives few requests.

The tests use no testbed processes, no sockets and no real clock.
"""

from __future__ import annotations

import unittest
from dataclasses import replace
from random import Random

import pytest

from kelpcroft.decision import interface as api
from kelpcroft.decision.interface import FillResult, Outcome
from kelpcroft.decision.policy import RoutingPolicy
from kelpcroft.net.feed_codec import FeedError, parse_watch_response
from testbed.fleet import PolicyFleet, ScriptedResult
from testbed.virtual import EXAMPLE, VirtualRouter
from tests.support.policy_fixtures import MS, S, forwarded_attempts, make_policy, send_request, servers


def end_with_report(
    p: RoutingPolicy,
    now: int,
    f: api.ForwardRequest,
    fill_result: FillResult,
    link: float,
    outcome: Outcome = Outcome.OK,
    elapsed_ns: int = 100 * MS,
) -> list[api.Action]:
    """End an attempt, with a load report of the zone's link."""
    return p.handle(
        now,
        api.AttemptEnded(
            f.id, 0, f.server, outcome, elapsed_ns, outcome is Outcome.OK, fill_result, 0, {"x1": link}
        ),
    )


def warm_policy(**changes: object) -> RoutingPolicy:
    """Return a policy that has handled a few requests of usual size, all of them hits."""
    p = make_policy(weight_source="off", max_transfer_kb_per_s=0.0, allows_cache_bypass=True, **changes)
    for n in range(20):
        (f,) = forwarded_attempts(send_request(p, S + n * 50 * MS, f"w{n}", 1000 + n))
        end_with_report(p, S + n * 50 * MS + 100 * MS, f, FillResult.HIT, 0.5)
    return p


NO_WEIGHTS = {"weight_source": "off", "max_transfer_kb_per_s": 0.0, "instances": 40}
COLD = {
    "cold_capacity_share": 0.17,
    "warm_up_ns": 15 * S,
    "overload_collapse_multiple": 2.5,
    "overload_collapse_ns": 2 * S,
}
EQUAL_SERVERS = [replace(x, weight=1.0) for x in servers()]


class SlowParent(unittest.TestCase):
    """One of two parents sent responses at an eighth of its rate.  Each router kept using it for fills,
    because overdue responses were not recorded for the parent before they arrived.
    """

    def test_fills_leave_a_parent_with_overdue_responses(self) -> None:
        random = Random(1)
        slow_from_ns = 10 * S

        def respond(now: int, f: api.ForwardRequest) -> ScriptedResult | None:
            if f.fill_source == "p0" and now >= slow_from_ns and random.random() < 0.7:
                return None
            return int(random.lognormvariate(0, 0.8) * 250 * MS), Outcome.OK, FillResult.FILLED, {}

        fleet = PolicyFleet([make_policy(**NO_WEIGHTS, router_index=n) for n in range(40)], respond)
        fleet.schedule_requests(2 * S, 18 * S, 250 * MS, random)
        fleet.run(22 * S)

        def slow_parent_share(start: int, end: int) -> float:
            fill_sources = [
                f.fill_source
                for sent_ns, f in fleet.attempts
                if start <= sent_ns < end and f.fill_source in ("p0", "p1")
            ]
            return fill_sources.count("p0") / len(fill_sources)

        assert slow_parent_share(5 * S, 10 * S) > 0.35
        assert slow_parent_share(14 * S, 18 * S) < 0.15, "four seconds later, few fills use the slow parent"

    def test_the_origin_shares_fills_when_the_only_parent_is_far_slower(self) -> None:
        random = Random(2)

        def respond(now: int, f: api.ForwardRequest) -> ScriptedResult | None:
            elapsed_ns = 2500 * MS if f.fill_source == "p0" and now > 4 * S else 300 * MS
            return (
                elapsed_ns,
                Outcome.OK,
                FillResult.FILLED_FROM_ORIGIN if f.fill_source == "o" else FillResult.FILLED,
                {},
            )

        listed_servers = [x for x in EQUAL_SERVERS if x.name != "p1"]
        fleet = PolicyFleet(
            [make_policy(listed_servers, **NO_WEIGHTS, router_index=n) for n in range(40)], respond
        )
        for n in range(40):  # writes are executed at the origin, so its time is known
            for k in range(5):
                fleet.schedule(
                    S + k * 100 * MS, n, api.Request(f"w{n}-{k}", "unsafe", 3 * S, k, is_write=True)
                )
        fleet.schedule_requests(2 * S, 14 * S, 250 * MS, random)
        fleet.run(18 * S)
        before = [f.fill_source for sent_ns, f in fleet.attempts if 2 * S < sent_ns < 4 * S]
        after = [f.fill_source for sent_ns, f in fleet.attempts if sent_ns > 9 * S]
        assert before.count("o") == 0
        assert after.count("o") / len(after) > 0.3


class FailingParent(unittest.TestCase):
    """A parent failed many fills, and failed them immediately: its time to first byte stayed as low as that
    of the others, and each successful response in between reset its failure score.
    """

    def test_failed_fills_count_as_late_ones(self) -> None:
        p = make_policy(EQUAL_SERVERS, **NO_WEIGHTS)
        for n in range(60):
            (f,) = forwarded_attempts(send_request(p, S + n * 100 * MS, f"r{n}", n))
            is_failed = f.fill_source == "p0" and n % 2 == 0
            p.handle(
                S + n * 100 * MS + 30 * MS,
                api.AttemptEnded(
                    f.id,
                    0,
                    f.server,
                    Outcome.ERROR if is_failed else Outcome.OK,
                    30 * MS,
                    not is_failed,
                    FillResult.SOURCE_BROKE if is_failed else FillResult.FILLED,
                    20 * MS,
                ),
            )
        assert not p.endpoints["p0"].is_ejected
        sources_after_failures = {
            f.fill_source
            for n in range(40)
            for f in forwarded_attempts(send_request(p, 7 * S, f"now{n}", 1000 + n))
        }
        assert sources_after_failures == {"p1"}
        later_sources = [
            f.fill_source
            for n in range(40)
            for f in forwarded_attempts(send_request(p, 40 * S, f"later{n}", 2000 + n))
        ]
        assert later_sources.count("p0") > 5, "the parent is used again, as it may have recovered"


class UnequalCaches(unittest.TestCase):
    """Small caches reported a utilization of 105% while large or cold ones reported 10 to 30%.  Without
    weights the hash gave each cache the same share, and one router has too few response times to detect the
    difference.
    """

    def test_objects_go_where_less_load_is_reported(self) -> None:
        random = Random(5)
        capacity = {"c0": 7.0, "c1": 7.0, "c2": 15.0, "c3": 15.0}
        sends: dict[str, list[int]] = {name: [] for name in capacity}

        def respond(now: int, f: api.ForwardRequest) -> ScriptedResult | None:
            if f.server not in sends:
                return 250 * MS, Outcome.OK, FillResult.FILLED, {}
            sends[f.server].append(now)
            recent_work = (
                sum(now - 1300 * MS < sent_ns <= now - 300 * MS for sent_ns in sends[f.server][-200:]) * 0.25
            )
            utilization = round(recent_work / capacity[f.server], 3)
            return 250 * MS, Outcome.OK, FillResult.HIT, {"utilization": utilization, "x0": 0.7, "x1": 0.3}

        fleet = PolicyFleet(
            [make_policy(EQUAL_SERVERS, **NO_WEIGHTS, zone_instances=8, router_index=n) for n in range(8)],
            respond,
        )
        fleet.schedule_requests(2 * S, 20 * S, 100 * MS, random, 300)
        fleet.run(24 * S)
        late_load = {
            name: sum(sent_ns > 12 * S for sent_ns in send_times) / capacity[name]
            for name, send_times in sends.items()
        }
        assert max(late_load.values()) / min(late_load.values()) < 1.7, late_load
        homes: dict[int, set[str]] = {}
        for n, router in enumerate(fleet.routers):
            for item in range(100):
                (f,) = forwarded_attempts(send_request(router, 25 * S, f"home{n}-{item}", item))
                homes.setdefault(item, set()).add(f.server)
        objects_with_one_home = sum(len(caches) == 1 for caches in homes.values())
        assert objects_with_one_home > 50, (
            "the routers receive the same reports, so most objects have one home"
        )


class ColdZone(unittest.TestCase):
    """A complete zone restarted cold, together with its routers.  No router had a warm cache to compare with,
    so each cache was assumed to have capacity for one transfer, and was idle while its clients were rejected.
    """

    ROUTERS, CAPACITY, REQUEST_WORK_S = 9, 12.0, 0.25

    def run_fleet(self, start_is_listed: bool) -> tuple[PolicyFleet, int]:
        start, random = 100 * S, Random(3)
        sends_by_server: dict[str, list[int]] = {}

        def respond(now: int, f: api.ForwardRequest) -> ScriptedResult | None:
            sends = sends_by_server.setdefault(f.server, [])
            sends.append(now)
            if f.server not in ("c0", "c1", "c2", "c3"):
                return 300 * MS, Outcome.OK, FillResult.FILLED, {}
            warm_fraction = min(1.0, 0.2 + 0.8 * (now - start) / (15 * S))
            recent_work = (
                sum(now - 1300 * MS < sent_ns <= now - 300 * MS for sent_ns in sends) * self.REQUEST_WORK_S
            )
            utilization = recent_work / (warm_fraction * self.CAPACITY)
            elapsed_ns = int(self.REQUEST_WORK_S * S * max(1.0, utilization))
            return (
                elapsed_ns,
                Outcome.OK,
                FillResult.FILLED,
                {"utilization": utilization, "x0": 0.01, "x1": 0.5},
            )

        listed_servers = [
            replace(x, started_ns=start) if start_is_listed and x.role is api.Role.CACHE else x
            for x in EQUAL_SERVERS
        ]
        fleet = PolicyFleet(
            [
                make_policy(
                    listed_servers,
                    **NO_WEIGHTS,
                    **COLD,
                    allows_cache_bypass=True,
                    router_index=n,
                    zone_instances=self.ROUTERS,
                )
                for n in range(self.ROUTERS)
            ],
            respond,
        )
        fleet.schedule_requests(start, start + 20 * S, 100 * MS, random)
        fleet.run(start + 24 * S)
        return fleet, start

    def check_load(self, fleet: PolicyFleet, start: int, first_window_ns: int) -> None:
        """Check rule 4 over all routers in every window of two seconds, and that the caches are used."""
        for name in ("c0", "c1", "c2", "c3"):
            sends = [sent_ns - start for sent_ns, f in fleet.attempts if f.server == name]
            for step in range(first_window_ns // (100 * MS), 130):
                window_start_ns = step * 100 * MS
                warm_fraction = 0.2 + 0.8 * window_start_ns / (15 * S)
                work_s = (
                    sum(window_start_ns <= sent_ns < window_start_ns + 2 * S for sent_ns in sends)
                    * self.REQUEST_WORK_S
                )
                assert work_s <= 2.5 * warm_fraction * self.CAPACITY * 2, (name, window_start_ns)
            assert sum(10 * S <= sent_ns < 14 * S for sent_ns in sends) / 4 > 6, name

    def test_listed_cold_caches_are_used_within_the_rule(self) -> None:
        self.check_load(*self.run_fleet(start_is_listed=True), 0)

    def test_cold_caches_receive_requests_within_seconds(self) -> None:
        """No router had received a response from them yet, and each router had a turn only every 30 s."""
        fleet, start = self.run_fleet(start_is_listed=True)
        for name in ("c0", "c1", "c2", "c3"):
            early = sum(2 * S <= sent_ns - start < 4 * S for sent_ns, f in fleet.attempts if f.server == name)
            assert early > 2, name

    def test_a_cold_cache_that_reports_little_load_gets_more(self) -> None:
        def admits(utilization: float) -> bool:
            """Return whether a cold cache with 4.5 s of work completed and 1.5 s sent may get one more."""
            p = make_policy(
                [replace(x, started_ns=100 * S) for x in EQUAL_SERVERS],
                **NO_WEIGHTS,
                **COLD,
                zone_instances=8,
            )
            (f,) = forwarded_attempts(send_request(p, 100 * S, "r", 1))
            endpoint = p.endpoints[f.server]
            endpoint.work_completed.add(100 * S, 4.5 * S)
            endpoint.work_sent.add(100 * S, 1.5 * S)
            p.feedback.record_load_report(endpoint, {"utilization": utilization})
            return p.slow_start.has_budget(endpoint, p.requests_in_flight["r"])

        assert (admits(0.2), admits(2.0)) == (True, False)

    def test_a_low_hit_share_makes_a_cache_cold_before_the_list_does(self) -> None:
        fleet, start = self.run_fleet(start_is_listed=False)
        self.check_load(fleet, start, 500 * MS)
        for router in fleet.routers:
            assert all(router.endpoints[f"c{n}"].started_ns > 0 for n in range(4))


class FullLink(unittest.TestCase):
    """All copies became invalid at the same time, and every router of the zone kept requesting fills.  Fills
    continue after their clients have disconnected, so the link carried sixty times its capacity until the end
    of the day.
    """

    def test_no_fill_over_a_link_that_is_reported_as_overloaded(self) -> None:
        p = warm_policy()
        (f,) = forwarded_attempts(send_request(p, 3 * S, "last", 1))
        end_with_report(p, 3 * S + 100 * MS, f, FillResult.FILLED, 12.0)
        hit_only_requests = [
            forwarded_attempts(send_request(p, 3 * S + (n + 3) * 50 * MS, f"n{n}", n)) for n in range(2, 22)
        ]
        assert [f.fill_source == f.server for (f,) in hit_only_requests] == [True] * 20, "sent for a hit only"
        action_lists = [
            end_with_report(p, 4500 * MS, f, FillResult.NONE, 12.0, Outcome.MISS)
            for (f,) in hit_only_requests
        ]
        assert all(isinstance(a, api.Reject) for (a,) in action_lists), "rejected immediately after the miss"

    def test_objects_with_a_known_copy_are_still_requested(self) -> None:
        p = warm_policy()
        (f,) = forwarded_attempts(send_request(p, 3 * S, "last", 1))
        end_with_report(p, 3 * S + 100 * MS, f, FillResult.FILLED, 12.0)
        (f,) = forwarded_attempts(send_request(p, 3 * S + 200 * MS, "again", 1000))
        assert f.fill_source != f.server, "an object with a known copy is not subject to the limit on fills"

    def test_implausible_reports_are_ignored(self) -> None:
        p = warm_policy()
        nan, inf = float("nan"), float("inf")
        implausible_reports = (
            {"x0": 0.5},
            {"utilization": nan, "x1": nan},
            {"utilization": inf, "x1": inf, "x0": nan},
            {"utilization": -1.0, "x1": -9.0},
        )
        for n, report in enumerate(({"utilization": 0.5, "x1": 0.4}, *implausible_reports)):
            (f,) = forwarded_attempts(send_request(p, 3 * S + n * 100 * MS, f"odd{n}", 1000))
            p.handle(
                3 * S + n * 100 * MS + MS,
                api.AttemptEnded(f.id, 0, f.server, Outcome.OK, MS, True, FillResult.HIT, 0, report),
            )
        endpoint = p.endpoints[f.server]
        assert (endpoint.utilization, p.admission.fills.link_load.value) == (0.5, 0.4)
        assert endpoint.mean_utilization.mean < 1.0

    def test_fills_resume_once_the_link_is_free(self) -> None:
        p = warm_policy()
        (f,) = forwarded_attempts(send_request(p, 3 * S, "last", 1))
        end_with_report(p, 3 * S + 100 * MS, f, FillResult.FILLED, 12.0)
        (f,) = forwarded_attempts(send_request(p, 3 * S + 200 * MS, "look", 2))
        end_with_report(p, 3 * S + 210 * MS, f, FillResult.NONE, 0.8, Outcome.MISS)
        (f,) = forwarded_attempts(send_request(p, 3 * S + 300 * MS, "fill", 3))
        assert f.fill_source != f.server

    def test_an_old_report_decays(self) -> None:
        p = warm_policy()
        (f,) = forwarded_attempts(send_request(p, 3 * S, "last", 1))
        end_with_report(p, 3 * S + 100 * MS, f, FillResult.FILLED, 12.0)
        (f,) = forwarded_attempts(send_request(p, 7 * S, "soon", 2))
        assert f.fill_source == f.server
        (f,) = forwarded_attempts(send_request(p, 16 * S, "later", 3))
        assert f.fill_source != f.server

    def test_hit_only_requests_avoid_cold_caches(self) -> None:
        """Requests that only a hit could serve missed at cold caches, and used up the caches' budgets."""
        p = warm_policy()
        (f,) = forwarded_attempts(send_request(p, 3 * S, "last", 1))
        end_with_report(p, 3 * S + 100 * MS, f, FillResult.FILLED, 12.0)
        p.handle(
            3 * S + 110 * MS,
            api.EndpointListChanged(
                "update", tuple(replace(x, started_ns=3 * S) for x in servers() if x.name in ("c0", "c1"))
            ),
        )
        servers_used = {
            f.server
            for n in range(40)
            for f in forwarded_attempts(send_request(p, 3200 * MS, f"l{n}", 2 + n))
        }
        assert servers_used == {"c2", "c3"}

    def test_no_bypass_over_an_overloaded_link(self) -> None:
        """Without a usable cache, requests were sent directly to parents, over the same link."""
        p = warm_policy()
        (f,) = forwarded_attempts(send_request(p, 3 * S, "last", 1))
        end_with_report(p, 3 * S + 100 * MS, f, FillResult.FILLED, 12.0)
        without_caches = tuple(x for x in servers() if x.role is not api.Role.CACHE)
        p.handle(3 * S + 150 * MS, api.EndpointListChanged("replace", without_caches))
        (a,) = [x for x in send_request(p, 3 * S + 200 * MS, "none", 2) if not isinstance(x, api.SetTimer)]
        assert isinstance(a, api.Reject)


class BadListEvents(unittest.TestCase):
    """One event that could not be parsed failed its complete watch request, which was repeated endlessly.
    The events after it, drains and purges, were never received.
    """

    ENDPOINT = {"name": "c9", "address": "127.0.0.1:9", "zone": "a", "type": "small", "status": "active"}
    INVALID_EVENTS = (
        ({"members": {"endpoints": [{**ENDPOINT, "status": "asleep"}]}}, "status"),
        ({"members": {"endpoints": [ENDPOINT, ENDPOINT]}}, "named twice"),
        ({"members": {"endpoints": [{**ENDPOINT, "address": "nowhere"}]}}, "address"),
        ({"members": {"endpoints": [{**ENDPOINT, "since_ms": -5}]}}, "since_ms"),
        ({"members": {"endpoints": [{"name": "c9"}]}}, "status"),
        ({"members": {"endpoints": [{**ENDPOINT, "zone": "elsewhere"}]}}, "zone"),
        (
            {"members": {"endpoints": [{**ENDPOINT, "zone": EXAMPLE["settings"]["az"], "type": "oven"}]}},
            "type",
        ),
        ({"members": 7}, "event 2"),
        ({"purge": {"key": "no hex", "at": 1}}, "event 2"),
        (7, "event None"),
    )

    def test_a_bad_event_is_reported_and_the_events_after_it_are_applied(self) -> None:
        purge_event = {"n": 3, "purge": {"key": "00000000000000ff", "at": 1_764_576_000_000}}
        for invalid, field in self.INVALID_EVENTS:
            with self.subTest(field=field, invalid=invalid):
                event = {"n": 2, **invalid} if isinstance(invalid, dict) else invalid
                virtual_router = VirtualRouter(None, 1, {"done": 1.0})
                before = dict(virtual_router.reducer.state.endpoints)
                virtual_router.deliver(parse_watch_response({"n": 3, "events": [event, purge_event]}))
                assert virtual_router.reducer.state.endpoints == before
                assert virtual_router.reducer.state.counters["purges"] == 1
                assert virtual_router.reducer.endpoint_list.last_event == 3
                (log_event,) = [x for x in virtual_router.log if x.event == "feed.refused"]
                assert field in log_event.text

    def test_an_invalid_watch_response_is_refused(self) -> None:
        for raw in ({}, {"n": 1}, {"n": "x", "events": []}, [], {"n": 1, "events": 3}):
            with self.subTest(raw=raw), pytest.raises(FeedError):
                parse_watch_response(raw)


if __name__ == "__main__":
    unittest.main()
