"""The five rules of the platform at the interface of the decision package.

Each test checks one safeguard; the tests with random events check all rules on each action.
"""

from __future__ import annotations

import os
import random
import subprocess
import sys
from dataclasses import replace

import pytest

from kelpcroft.decision import interface as api
from kelpcroft.decision.interface import Outcome
from kelpcroft.decision.policy import RoutingPolicy
from tests.support.policy_fixtures import (
    KEYED,
    MS,
    SAFE,
    UNSAFE,
    S,
    end_attempt,
    forwarded_attempts,
    make_policy,
    send_request,
    servers,
    settings,
)


def test_timeout_at_the_deadline_fails_the_request() -> None:
    p = make_policy()
    (f,) = forwarded_attempts(send_request(p, S, "r", time_remaining_ns=S))
    actions = end_attempt(p, 2 * S, f, Outcome.TIMEOUT, elapsed_ns=S)
    assert api.Fail("r") in actions
    assert not forwarded_attempts(actions)


@pytest.mark.parametrize("listed_servers", [[], [replace(s, state="terminating") for s in servers()]])
def test_no_usable_server_gives_one_rejection(listed_servers: list[api.Server]) -> None:
    actions = send_request(make_policy(listed_servers), S, "r")
    assert [a for a in actions if isinstance(a, (api.Reject, api.Fail))] == [api.Reject("r")]


def test_unknown_ids_are_ignored() -> None:
    p = make_policy()
    assert p.handle(S, api.ClientDisconnected("never")) == []
    assert p.handle(S, api.AttemptEnded("never", 0, "c0", Outcome.OK, 1, True)) == []


def test_unsafe_is_never_sent_twice_once_it_may_have_executed() -> None:
    p = make_policy()
    (f,) = forwarded_attempts(send_request(p, S, "r", class_name="unsafe"))
    actions = end_attempt(p, S + MS, f, Outcome.RESET)
    assert actions
    assert not forwarded_attempts(actions)
    assert not any(isinstance(a, api.Reject) for a in actions)


def test_unsafe_is_sent_again_if_it_was_not_executed() -> None:
    p = make_policy()
    (f,) = forwarded_attempts(send_request(p, S, "r", class_name="unsafe"))
    assert forwarded_attempts(end_attempt(p, S + MS, f, Outcome.CONNECT_FAILED))


def test_two_attempts_are_in_flight_only_if_hedging_is_allowed() -> None:
    for allowed in (False, True):
        p = make_policy(may_hedge=allowed)
        send_request(p, S, "safe")
        send_request(p, S, "keyed", class_name="keyed")
        assert p.idempotency.may_send(p.requests_in_flight["safe"], p.endpoints["c0"]) is allowed
        assert not p.idempotency.may_send(p.requests_in_flight["keyed"], p.endpoints["c0"])


@pytest.mark.parametrize("group", ["zone", "cell"])
def test_keyed_stays_in_its_group(group: str) -> None:
    p = make_policy(classes=(SAFE, replace(KEYED, dedup_scope=group)))
    (f,) = forwarded_attempts(send_request(p, S, "r", class_name="keyed"))
    again = forwarded_attempts(end_attempt(p, S + MS, f, Outcome.RESET))
    cell = {s.name: s.cell for s in servers()}
    assert again
    assert all(cell[a.server] == cell[f.server] or group == "zone" for a in again)
    actions = end_attempt(p, S + 2 * MS, again[0], Outcome.RESET, 1)
    assert not any(isinstance(a, api.Reject) for a in actions)


def test_keyed_window_counts_from_the_first_send() -> None:
    p = make_policy(classes=(SAFE, replace(KEYED, dedup_window_ns=100 * MS)))
    (f,) = forwarded_attempts(send_request(p, S, "r", class_name="keyed"))
    assert not forwarded_attempts(end_attempt(p, S + 99 * MS, f, Outcome.RESET))


def test_drain_stops_cache_and_source_immediately() -> None:
    p = make_policy()
    p.handle(
        S,
        api.EndpointListChanged(
            "update", tuple(replace(s, state="terminating") for s in servers() if s.name in ("c0", "p0"))
        ),
    )
    p.handle(S, api.EndpointListChanged("update", (replace(servers()[1], state="terminated"),)))
    for n in range(200):
        for f in forwarded_attempts(send_request(p, S + n * MS, f"r{n}", n)):
            assert not {f.server, f.fill_source} & {"c0", "c1", "p0"}


def test_server_missing_from_a_complete_list_receives_nothing() -> None:
    p = make_policy()
    p.handle(S, api.EndpointListChanged("replace", tuple(servers()[1:])))
    assert all(
        f.server != "c0" for n in range(50) for f in forwarded_attempts(send_request(p, S, f"r{n}", n))
    )


@pytest.mark.parametrize(("server_index", "budget"), [(0, 2.0 * 0.2 * 5), (5, 2.0 * 0.07 * 20)])
def test_cold_server_gets_no_more_than_its_budget(server_index: int, budget: float) -> None:
    """A burst must not overload a cache or a parent that has just started."""
    start = 100 * S
    cold = replace(servers()[server_index], started_ns=start)
    p = make_policy([cold, *(s for s in servers() if s.role is not cold.role or s.name == "c1")])
    sent = 0
    for n in range(400):
        forwards = forwarded_attempts(send_request(p, start + n * MS, f"r{n}", n, size_kb=300.0))
        sent += sum(cold.name in (f.server, f.fill_source) for f in forwards)
    assert 0 < sent * 0.3 <= budget


def test_purge_age_limit_is_younger_than_the_purge_and_never_zero() -> None:
    p = make_policy()
    p.handle(10 * S, api.Purged(7, 3, 200 * MS))
    p.handle(10 * S, api.Purged(None, 4, 0))
    for n, (object_id, group, purged_ns) in enumerate(
        [(7, 3, 9_800 * MS), (8, 4, 10 * S), (7, 3, 9_800 * MS)]
    ):
        now = 10 * S + n * 900 * MS
        (f,) = forwarded_attempts(send_request(p, now, f"r{n}", object_id, purge_group=group))
        assert f.max_age_ns > 0
        assert f.max_age_ns < now - purged_ns or now - purged_ns < 2 * MS
    (f,) = forwarded_attempts(send_request(p, 11 * S, "other", 9, purge_group=5))
    assert f.max_age_ns == 0


def test_purge_limit_outlives_the_servers_own_sweep() -> None:
    """A copy sent by the origin just before the purge was stored after the sweep, and was served later."""
    p = make_policy()
    p.handle(10 * S, api.Purged(7, 3, 200 * MS))
    (f,) = forwarded_attempts(send_request(p, 17 * S, "r", 7, purge_group=3))
    assert 0 < f.max_age_ns < 7_200 * MS


VARIANTS: list[dict[str, object]] = [
    {},
    {"notes": "off", "siblings": "off", "weight_source": "off", "coalesces_fills": True},
    {"notes": "hit", "siblings": "any", "may_hedge": True, "allows_cache_bypass": True, "max_attempts": 8},
    {
        "may_cancel": False,
        "allows_cache_bypass": True,
        "discovery": "ask",
        "overload_collapse_ns": 0,
        "max_transfer_kb_per_s": 0.0,
    },
    {
        "classes": (SAFE, replace(KEYED, dedup_scope="cell"), replace(UNSAFE, streamed=True)),
        "may_cancel": False,
    },
]


def run_random_events(seed: int, variant: int) -> str:
    """Pass random events to a policy, check the rules on each action, and return all actions as text."""
    rng, s = random.Random(seed), settings(**VARIANTS[variant])  # type: ignore[arg-type]
    p, initial_servers, now = RoutingPolicy(s), {x.name: x for x in servers()}, S
    listed, purged, log = dict(initial_servers), {}, []
    open_requests: dict[str, tuple[api.RequestClass, int, int]] = {}
    in_flight: dict[tuple[str, int], tuple[api.ForwardRequest, int]] = {}
    attempt_counts: dict[str, int] = {}
    possible_executions: dict[str, tuple[int, str]] = {}

    def check(actions: list[api.Action]) -> None:
        for a in actions:
            log.append(repr(a))
            if isinstance(a, api.ForwardRequest):
                cls, item, _ = open_requests[a.id]
                assert listed[a.server].state == listed[a.fill_source].state == "in_service"
                assert listed[a.server].role is not api.Role.CACHE or listed[a.server].zone == "a"
                assert listed[a.server].role is api.Role.CACHE or s.allows_cache_bypass
                assert item not in purged or 0 < a.max_age_ns < max(now - purged[item], 2 * MS)
                others_in_flight = [k for k in in_flight if k[0] == a.id]
                assert not others_in_flight or (
                    s.limits.may_hedge and cls.idempotency is api.Idempotency.SAFE
                )
                if a.id in possible_executions:
                    assert cls.idempotency is not api.Idempotency.UNSAFE
                    assert (
                        cls.idempotency is api.Idempotency.SAFE
                        or now < possible_executions[a.id][0] + cls.dedup_window_ns
                    )
                    assert (
                        cls.dedup_scope != "cell"
                        or listed[a.server].cell == listed[possible_executions[a.id][1]].cell
                    )
                in_flight[(a.id, attempt_counts[a.id])] = (a, now)
                attempt_counts[a.id] += 1
                assert attempt_counts[a.id] <= s.limits.max_attempts
            elif isinstance(a, (api.Reject, api.Fail)):
                cls = open_requests.pop(a.id)[0]
                if isinstance(a, api.Reject) and (
                    a.id in possible_executions or any(k[0] == a.id for k in in_flight)
                ):
                    keyed_all = (cls.idempotency, cls.dedup_scope) == (api.Idempotency.KEYED, "all")
                    assert cls.idempotency is api.Idempotency.SAFE or keyed_all
            elif isinstance(a, api.Cancel):
                assert s.limits.may_cancel
                assert a.attempt < attempt_counts[a.id]

    def finish(key: tuple[str, int], outcome: Outcome) -> None:
        f, sent = in_flight.pop(key)
        if not outcome.proves_not_executed and f.id not in possible_executions:
            possible_executions[f.id] = (sent, f.server)
        is_final = f.id not in open_requests or outcome is Outcome.OK
        if outcome is Outcome.OK:
            open_requests.pop(f.id, None)
        fill_result = rng.choice(list(api.FillResult)) if s.notes == "all" else api.FillResult.NONE
        check(
            p.handle(
                now,
                api.AttemptEnded(f.id, key[1], f.server, outcome, now - sent, is_final, fill_result, 5 * MS),
            )
        )

    check(p.start(now))
    check(p.handle(now, api.EndpointListChanged("restored", tuple(initial_servers.values()))))
    for n in range(1500):
        now += rng.randrange(0, 40) * MS
        for key in sorted(in_flight):
            if key in in_flight and now >= in_flight[key][1] + in_flight[key][0].timeout_ns:
                finish(key, Outcome.TIMEOUT)
        for name, (_, _, due) in list(open_requests.items()):
            assert now <= due or any(k[0] == name for k in in_flight), (
                "each request has its final response by its deadline"
            )
        event_choice = rng.random()
        if event_choice < 0.45:
            cls, item = rng.choice(s.classes), rng.randrange(30)
            open_requests[f"r{n}"], attempt_counts[f"r{n}"] = (cls, item, now + S), 0
            size = rng.choice([0, 50.0])
            check(p.handle(now, api.Request(f"r{n}", cls.name, S, item, purge_group=0, size_kb=size)))
        elif event_choice < 0.85 and in_flight:
            finish(rng.choice(sorted(in_flight)), rng.choice([Outcome.OK] * 6 + list(Outcome)))
        elif event_choice < 0.9:
            item = rng.randrange(30)
            purged[item] = now - 50 * MS
            check(p.handle(now, api.Purged(item, 0, 50 * MS)))
        elif event_choice < 0.95:
            x = rng.choice(sorted(initial_servers))
            state = rng.choice(["in_service", "in_service", "terminating", "terminated"])
            listed[x] = replace(initial_servers[x], state=state, started_ns=rng.choice([0, now]))
            check(p.handle(now, api.EndpointListChanged("update", (listed[x],))))
        else:
            check(p.handle(now, api.TimerExpired(0)))
    assert len(p.requests_in_flight) < 400
    assert len(log) > 500
    return "\n".join(log)


@pytest.mark.parametrize("variant", range(len(VARIANTS)))
@pytest.mark.parametrize("seed", range(4))
def test_random_events_keep_the_rules(seed: int, variant: int) -> None:
    assert run_random_events(seed, variant) == run_random_events(seed, variant)


def test_same_actions_under_another_hash_seed() -> None:
    code = (
        "import tests.decision.test_rules as rules, zlib; "
        "print(zlib.crc32(rules.run_random_events(1, 2).encode()))"
    )
    path = os.getcwd()
    outputs = {
        subprocess.run(
            [sys.executable, "-c", code],
            check=True,
            capture_output=True,
            text=True,
            env={**os.environ, "PYTHONHASHSEED": seed, "PYTHONPATH": path},
        ).stdout
        for seed in ("1", "2")
    }
    assert len(outputs) == 1
