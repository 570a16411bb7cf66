"""Regression tests for large fleets: hundreds of routers that decide alike and share no state."""

from __future__ import annotations

import math
from collections import Counter
from dataclasses import replace

import pytest

from kelpcroft.decision import interface as api
from kelpcroft.decision.admission import MIN_PRICE_THRESHOLD, AdmissionController
from kelpcroft.decision.endpoint import Endpoint
from kelpcroft.decision.interface import FillResult, Outcome
from kelpcroft.decision.outlier_state import MAX_TRIAL_INTERVAL_NS
from kelpcroft.decision.policy import RoutingPolicy
from tests.support.policy_fixtures import (
    MS,
    S,
    end_attempt,
    forwarded_attempts,
    make_policy,
    send_request,
    servers,
)

ROUTERS = 60


def fleet(listed_servers: list[api.Server], index_step: int = 1) -> list[RoutingPolicy]:
    return [
        make_policy(listed_servers, instances=ROUTERS, zone_instances=ROUTERS, router_index=n * index_step)
        for n in range(ROUTERS)
    ]


@pytest.mark.parametrize("index_step", [1, 24])
def test_cold_parent_gets_turns_within_its_budget(index_step: int) -> None:
    """A router's share of the budget was less than one request, so a restarted parent never received a fill.
    With turns by router number alone, the routers of one zone, whose numbers differ by a multiple of the
    number of turns, all had the same turn.
    """
    start, weight, request_work_s = 100 * S, 20.0, 0.3
    listed_servers = [
        replace(x, started_ns=start if x.name == "p0" else 0) for x in servers() if x.name != "p1"
    ]
    sent: Counter[int] = Counter()
    for n, p in enumerate(fleet(listed_servers, index_step)):
        for step in range(40):
            now = start + step * 250 * MS
            for f in forwarded_attempts(send_request(p, now, f"r{step}", n * 1000 + step, size_kb=300.0)):
                sent[step] += f.fill_source == "p0"
    assert sum(sent.values()) > 0
    for step in range(37):
        # The parent's warm fraction at the start of this second
        warm_fraction = 0.07 + 0.93 * step * 0.25 / 20
        assert sum(sent[step + k] for k in range(4)) * request_work_s <= 2.0 * warm_fraction * weight


def test_trials_of_all_routers_do_not_overload_a_server_that_restarts_cold() -> None:
    """Parents that restarted within a second collapsed under the load of routers whose endpoint list did not
    show the restart yet.
    """
    trials, now = 0, 100 * S
    for n, p in enumerate(fleet([x for x in servers() if x.name != "p1"])):
        p.state.now_ns = now
        p.ejection.record_failure(p.endpoints["p0"], 3, True)
        for step in range(4):
            forwards = forwarded_attempts(
                send_request(p, now + 2 * S + step * 250 * MS, f"r{step}", n * 1000 + step, size_kb=300.0)
            )
            trials += sum(f.fill_source == "p0" for f in forwards)
    assert trials * 0.3 <= 2.0 * 0.07 * 20


def test_one_refused_connection_ejects_a_server() -> None:
    p = make_policy()
    (f,) = forwarded_attempts(send_request(p, S, "r", 1))
    (g,) = forwarded_attempts(end_attempt(p, S + MS, f, Outcome.CONNECT_FAILED))
    assert p.endpoints[f.server].is_ejected
    assert g.server != f.server


def test_lost_connections_do_not_eject_a_server() -> None:
    """Each unreadable response ejected its cache, which counted as cold then; the others got its load."""
    p = make_policy()
    (f,) = forwarded_attempts(send_request(p, S, "r", 1))
    (g,) = forwarded_attempts(end_attempt(p, S + MS, f, Outcome.RESET))
    (h,) = forwarded_attempts(end_attempt(p, S + 2 * MS, g, Outcome.RESET, 1))
    (i,) = forwarded_attempts(end_attempt(p, S + 3 * MS, h, Outcome.RESET, 2))
    assert g.server == h.server == f.server != i.server
    assert not p.endpoints[f.server].is_ejected


def test_unreachable_source_is_ejected_immediately() -> None:
    p = make_policy()
    (f,) = forwarded_attempts(send_request(p, S, "r", 1))
    end_attempt(p, S + MS, f, Outcome.FULL, fill_result=FillResult.SOURCE_BROKE)
    assert p.endpoints[f.fill_source].is_ejected
    assert not p.endpoints[f.server].is_ejected


def test_the_interval_between_trials_grows_up_to_a_limit() -> None:
    p = make_policy()
    outlier_state = p.endpoints["c0"].outlier_state
    p.ejection.record_failure(p.endpoints["c0"], 3, False)
    waits = []
    for _ in range(6):
        now = outlier_state.next_trial_ns
        outlier_state.record_trial(now)
        waits.append(outlier_state.next_trial_ns - now)
    assert waits == sorted(waits)
    assert waits[0] < waits[-1] == MAX_TRIAL_INTERVAL_NS
    outlier_state.record_success(0)
    outlier_state.record_trial(0)
    assert outlier_state.next_trial_ns == waits[0]


def test_list_corrects_an_inferred_start() -> None:
    p = make_policy()
    p.state.now_ns = 50 * S
    p.ejection.record_failure(p.endpoints["c0"], 3, True)
    p.ejection.record_success(p.endpoints["c0"])
    corrected = replace(servers()[0], started_ns=45 * S)
    p.handle(52 * S, api.EndpointListChanged("update", (corrected,)))
    assert p.endpoints["c0"].started_ns == 45 * S


def rejections(p: RoutingPolicy, start: int, rate: int, seconds: int) -> int:
    """Send ``rate`` requests of 0.3 s each per second, and complete each admitted one immediately as a hit.

    Returns:
        The number of rejected requests.
    """
    rejected = 0
    for n in range(rate * seconds):
        now = start + n * S // rate
        for a in send_request(p, now, f"q{start}-{n}", n % 40, size_kb=300.0):
            rejected += isinstance(a, api.Reject)
            if isinstance(a, api.ForwardRequest):
                end_attempt(p, now, a, Outcome.OK, elapsed_ns=300 * MS, fill_result=FillResult.HIT)
    return rejected


def test_requests_are_rejected_as_soon_as_caches_drain() -> None:
    """Responses are late only seconds after three of four caches drain; the weights show it immediately."""
    p = make_policy()
    assert rejections(p, 10 * S, 40, 10) == 0  # 12 s of transfers per second with capacity for 20
    p.handle(
        20 * S,
        api.EndpointListChanged("update", tuple(replace(x, state="terminating") for x in servers()[1:4])),
    )
    assert 0.3 < rejections(p, 20 * S, 40, 5) / 200 < 0.8  # 12 s of transfers per second with capacity for 5
    p.handle(25 * S, api.EndpointListChanged("update", tuple(servers()[1:4])))
    assert rejections(p, 26 * S, 40, 5) == 0


def test_without_weights_nothing_is_rejected_in_advance() -> None:
    assert rejections(make_policy(weight_source="off"), 10 * S, 400, 2) == 0


def test_capacity_limit_admits_the_lowest_price() -> None:
    controller = AdmissionController()
    for n in range(64):
        controller.record_arrival(1.0 + n % 2 * 9, 1.0, n)
    controller.limit_to_capacity(0.5 * controller.offered_work.total / (4 * S))
    assert controller.admits(1.0)
    assert not controller.admits(10.1)


def test_threshold_rises_faster_on_responses_with_slack() -> None:
    """After an overload the threshold stayed low for ten seconds while the caches were idle."""
    thresholds = []
    for has_slack in (False, True):
        controller = AdmissionController()
        controller.price_threshold = MIN_PRICE_THRESHOLD
        for n in range(1, 4):
            controller.record_latency(False, n * S, n * S, has_slack)
        thresholds.append(controller.price_threshold)
    assert thresholds[0] * 2 < thresholds[1]


def test_slow_cache_loses_part_of_its_objects() -> None:
    """One of two caches was full because a hot object was hashed to it, while the other was half idle."""
    shares = []
    for slowdown in (1.0, 8.0):
        p = make_policy()
        p.endpoints["c0"].slowdown.add(slowdown)
        shares.append(Counter[str]())
        for n in range(400):
            (f,) = forwarded_attempts(send_request(p, S, f"r{n}", n))
            end_attempt(p, S, f, Outcome.OK, fill_result=FillResult.HIT)
            shares[-1][f.server] += 1
    before, after = shares
    assert 0 < after["c0"] < 0.6 * before["c0"]
    assert all(after[c] >= before[c] for c in ("c1", "c2", "c3"))


def test_parents_share_by_weight_when_equally_quick() -> None:
    """All zones filled from the parent with the fastest link, and the other parents were idle."""
    listed_servers = [replace(x, weight={"p0": 40.0, "p1": 20.0}.get(x.name, x.weight)) for x in servers()]
    p = make_policy(listed_servers)
    sent = Counter(
        f.fill_source for n in range(600) for f in forwarded_attempts(send_request(p, S, f"r{n}", n))
    )
    assert 1.4 < sent["p0"] / sent["p1"] < 2.8


def test_congested_link_counts_although_the_first_byte_is_quick() -> None:
    p = make_policy()
    (f,) = forwarded_attempts(send_request(p, S, "r", 1, size_kb=100.0))
    p.handle(2 * S, api.AttemptEnded("r", 0, f.server, Outcome.OK, S, True, FillResult.FILLED, 20 * MS))
    assert round(math.exp(p.endpoints[f.fill_source].log_first_byte_ns.mean)) == 900 * MS


@pytest.mark.parametrize("remote_cache_count", [10, 200])
def test_no_request_visits_the_whole_fleet(remote_cache_count: int, monkeypatch: pytest.MonkeyPatch) -> None:
    calls_by_zone: Counter[str] = Counter()

    def counted_warm_fraction(self: Endpoint, now: int, rules: api.Rules) -> float:
        calls_by_zone[self.server.zone] += 1
        return 1.0

    remote_caches = [
        api.Server(f"y{n}", api.Role.CACHE, "b", 100 + n, weight=5) for n in range(remote_cache_count)
    ]
    p = make_policy([*servers(), *remote_caches])
    monkeypatch.setattr(Endpoint, "warm_fraction", counted_warm_fraction)
    forwarded_attempts(send_request(p, S, "r", 1))
    p.handle(2 * S, api.TimerExpired(0))
    assert calls_by_zone["a"] > 0
    assert calls_by_zone["b"] == 0
    assert sum(calls_by_zone.values()) < 40


def test_replaced_servers_are_removed() -> None:
    """Replacements have new names, so a long-running router kept a record of every server ever listed."""
    p = make_policy()
    for n in range(300):
        old, new = (api.Server(f"n{k}", api.Role.CACHE, "a", 0, weight=5) for k in (n, n + 1))
        terminated = replace(old, state="terminated")
        p.handle(S + n * S, api.EndpointListChanged("update", (terminated, new)))
        for f in forwarded_attempts(send_request(p, S + n * S, f"r{n}", n)):
            end_attempt(p, S + n * S + MS, f, Outcome.OK, fill_result=FillResult.HIT)
    assert len(p.endpoints) <= len(servers()) + 2
    assert all(len(n.work_sent.samples) <= 300 for n in p.endpoints.values())


def test_a_long_run_of_hits_keeps_the_fill_share_above_zero() -> None:
    """The share of expected fills that actually are fills must stay above 0, as it is a divisor."""
    p = make_policy(siblings="off")
    for n in range(20_000):
        for f in forwarded_attempts(send_request(p, S + n * MS, f"r{n}", n, size_kb=1.0)):
            end_attempt(p, S + n * MS, f, Outcome.OK, fill_result=FillResult.HIT)
    assert p.admission.actual_fill_share > 0
