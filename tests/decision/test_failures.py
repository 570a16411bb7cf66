"""Regression tests of single decisions: one test for each failure that was found."""

from __future__ import annotations

import io
import json

import pytest

from kelpcroft.decision import interface as api
from kelpcroft.decision.admission import MAX_PRICE_THRESHOLD, MIN_PRICE_THRESHOLD, AdmissionController
from kelpcroft.decision.interface import FillResult, Outcome
from kelpcroft.simulator_adapter import SimulatorHost
from tests.support.policy_fixtures import (
    MS,
    S,
    end_attempt,
    forwarded_attempts,
    make_policy,
    send_request,
    settings,
)


def test_large_objects_are_not_cut_short() -> None:
    """With timeouts derived from the usual time of a class, large objects of unknown size timed out and were
    sent again.
    """
    p = make_policy()
    for n in range(50):
        (f,) = forwarded_attempts(send_request(p, S + n * 100 * MS, f"r{n}", n))
        end_attempt(
            p, S + n * 100 * MS + 20 * MS, f, Outcome.OK, elapsed_ns=20 * MS, fill_result=FillResult.HIT
        )
    (f,) = forwarded_attempts(send_request(p, 10 * S, "large", 99))
    assert f.timeout_ns == 3 * S


def test_overload_rejects_the_highest_price_first() -> None:
    controller = AdmissionController()
    for n in range(200):
        controller.record_arrival(float(1 + n % 2), 1.0, n)
    for n in range(400):
        controller.record_latency(True, n, n)
    assert controller.price_threshold == MIN_PRICE_THRESHOLD
    controller.price_threshold = 1.0
    assert controller.admits(1.0)
    assert not controller.admits(20.0)


def test_backlog_of_late_responses_lowers_the_threshold_once() -> None:
    """Late responses to requests admitted before the threshold was lowered kept lowering it, until the links
    were idle.
    """
    controller = AdmissionController()
    for _ in range(100):
        controller.record_latency(True, 5, 10)
    assert MIN_PRICE_THRESHOLD < controller.price_threshold < MAX_PRICE_THRESHOLD


def test_threshold_rises_again() -> None:
    controller = AdmissionController()
    controller.price_threshold = MIN_PRICE_THRESHOLD
    for n in range(300):
        controller.record_latency(False, n, n)
    assert controller.price_threshold == MAX_PRICE_THRESHOLD


def test_threshold_rises_with_few_responses() -> None:
    """At a low threshold there are few responses.  When the rise depended on their number alone, links were
    idle for half a day.
    """
    controller = AdmissionController()
    controller.price_threshold = MIN_PRICE_THRESHOLD
    for n in range(1, 16):
        controller.record_latency(False, n * S, n * S)
    assert controller.price_threshold == MAX_PRICE_THRESHOLD


def test_threshold_that_admits_nothing_rises_again() -> None:
    """After a period of errors, requests that all had the same price were rejected permanently: at the lowest
    threshold none was admitted whose response could have raised it.
    """
    controller = AdmissionController()
    controller.price_threshold = MIN_PRICE_THRESHOLD
    controller.lowered_ns = S
    admitted = []
    for n in range(100):
        now = 2 * S + n * 100 * MS
        controller.record_arrival(20.0, 20.0, now)
        admitted.append(controller.admits(20.0))
    assert not any(admitted[:10])
    assert any(admitted[10:60])
    controller.record_latency(True, 99 * S, 99 * S)  # arrivals raise the threshold only without responses
    threshold = controller.price_threshold
    controller.record_arrival(20.0, 20.0, 99 * S + 500 * MS)
    assert controller.price_threshold == threshold


def test_fill_beyond_capacity_is_sent_for_a_hit_before_rejection() -> None:
    """Rejection of expected fills also rejected requests for objects that the cache held."""
    p = make_policy()
    p.admission.fills.price_threshold = 1e-9
    (f,) = forwarded_attempts(send_request(p, S, "r", 5, size_kb=100.0))
    assert f.fill_source == f.server
    assert api.Reject("r") in end_attempt(p, S + MS, f, Outcome.MISS)


def test_failing_origin_receives_only_trial_requests_through_parents() -> None:
    p = make_policy()
    for n in range(3):
        (f, *_) = forwarded_attempts(send_request(p, S + n * MS, f"r{n}", n))
        end_attempt(p, S + n * MS, f, Outcome.FULL, fill_result=FillResult.ORIGIN_FAILED)
    later = [f for n in range(10, 20) for f in forwarded_attempts(send_request(p, S + n * MS, f"q{n}", n))]
    assert any(f.cached_only for f in later)
    assert all(f.cached_only for f in later if f.fill_source != f.server)
    trials = [
        f for n in range(10) for f in forwarded_attempts(send_request(p, 3 * S + n * MS, f"t{n}", 50 + n))
    ]
    assert sum(not f.cached_only for f in trials if f.fill_source != f.server) == 1


def test_silent_cache_is_ejected_and_then_receives_only_trials() -> None:
    p = make_policy(weight_source="off")
    request_ids = [f"r{n}" for n in range(40)]
    sent = {
        n: forwarded_attempts(send_request(p, S, n, i, time_remaining_ns=60 * S))[0]
        for i, n in enumerate(request_ids)
    }
    silent_cache = sent["r0"].server
    for f in sent.values():
        if f.server != silent_cache:
            end_attempt(p, S + 100 * MS, f, Outcome.OK, fill_result=FillResult.HIT)
    actions = p.handle(10 * S, api.TimerExpired(0))
    assert p.endpoints[silent_cache].is_ejected
    # A cancellation would end transfers of large objects before they are complete.
    assert not any(isinstance(a, api.Cancel) for a in actions)
    trials = [
        f
        for n in range(100)
        for f in forwarded_attempts(send_request(p, 12 * S + n * MS, f"q{n}", n))
        if f.server == silent_cache
    ]
    assert len(trials) == 1
    end_attempt(p, 12 * S + 200 * MS, trials[0], Outcome.OK, fill_result=FillResult.HIT)
    assert not p.endpoints[silent_cache].is_ejected


def test_restarted_server_is_cold_before_the_list_shows_it() -> None:
    p = make_policy()
    endpoint = p.endpoints["c0"]
    p.ejection.record_failure(endpoint, 2, True)
    p.ejection.record_failure(endpoint, 2, True)
    assert endpoint.is_ejected
    p.ejection.record_success(endpoint)
    assert endpoint.warm_fraction(p.state.now_ns, p.settings.rules) == p.settings.rules.cold_capacity_share


def test_sibling_that_holds_the_object_is_the_first_fill_source() -> None:
    p = make_policy()
    (f,) = forwarded_attempts(send_request(p, S, "r", 1))
    end_attempt(p, S + MS, f, Outcome.OK, fill_result=FillResult.HIT)
    p.handle(S, api.EndpointListChanged("update", (api.Server(f.server, api.Role.CACHE, "a", weight=1e-6),)))
    (g,) = forwarded_attempts(send_request(p, 2 * S, "s", 1))
    assert g.server != f.server
    assert g.fill_source == f.server
    assert g.cached_only
    (h,) = forwarded_attempts(send_request(p, 30 * S, "t", 1))
    assert h.fill_source.startswith("p")


def test_memory_is_bounded() -> None:
    p = make_policy()
    for n in range(21_000):
        for f in forwarded_attempts(send_request(p, S + n * MS, f"r{n}", n)):
            end_attempt(p, S + n * MS, f, Outcome.OK, fill_result=FillResult.HIT)
    assert len(p.state.histories) <= 20_000
    assert not p.requests_in_flight


def test_failed_subscription_is_repeated_later() -> None:
    p = make_policy(discovery="ask")
    (timer,) = p.handle(S, api.EndpointListChanged("unavailable"))
    assert isinstance(timer, api.SetTimer)
    assert timer.at_ns > S
    assert p.handle(timer.at_ns, api.TimerExpired(timer.label)) == [api.Subscribe()]


def test_bad_setting_names_its_key() -> None:
    with pytest.raises(api.SettingsError, match="siblings.*'all'"):
        settings(siblings="all")


@pytest.mark.parametrize("text", ['["Turn",1,1]\n["Nonsense",1]\n', '["Turn",1,1]\n["Abandoned",1]\n', "{\n"])
def test_malformed_line_is_named_and_ends_the_adapter(text: str, capsys: pytest.CaptureFixture[str]) -> None:
    with pytest.raises(SystemExit) as stopped:
        SimulatorHost(io.StringIO()).run(io.StringIO(text))
    assert stopped.value.code == 2
    assert "line " in capsys.readouterr().err


def test_error_in_the_decision_package_is_reported_on_the_wire() -> None:
    out = io.StringIO()
    options = {"az": "a", "dcs": ["a"], "classes": [{"name": "x"}], "limits": {"most_tries": 2}}
    lines = [
        ["Turn", 1, 1],
        ["Hello", 0, 5, options],
        ["Ingress", 0, "id", 10, False, 0, False, 1, 0, 0, None, "unheard-of"],
        ["End"],
    ]
    SimulatorHost(out).run(json.dumps(x) for x in lines)
    assert json.loads(out.getvalue().splitlines()[-2])[0] == "Exception"


def test_recent_sends_are_summed_incrementally() -> None:
    """With one cold cache, each request added up all work sent to warm peers: 324 us instead of 91 us."""
    p = make_policy(weight_source="off")
    for n in range(200):
        (f,) = forwarded_attempts(send_request(p, S + n * 20 * MS, f"r{n}", n))
        end_attempt(p, S + n * 20 * MS + MS, f, Outcome.OK, elapsed_ns=MS, fill_result=FillResult.HIT)
    now = 6 * S
    for endpoint in p.endpoints.values():
        expected = sum(w for t, w in endpoint.work_sent.samples if t > now - S // 2)
        assert abs(endpoint.work_sent.sum_since(now - S // 2) - expected) < 1e-3
        assert len(endpoint.work_sent.samples) <= 200
        assert endpoint.work_sent.sum_since(now) == 0.0
        assert not endpoint.work_sent.samples
