"""Idempotency keys of repeated requests: no repeat outside the deduplication scope or window."""

from __future__ import annotations

import copy
import unittest
from random import Random

import orjson
from hypothesis import given, settings
from hypothesis import strategies as st

from kelpcroft.core import effects, inputs
from kelpcroft.core.idempotency_keys import IdempotencyKeys
from kelpcroft.decision import interface as api
from testbed.virtual import EXAMPLE, MS, START, S, VirtualRouter
from tests.support.exchange_player import KEYED, ONE, Player

CLS = api.RequestClass("order", api.Idempotency.KEYED, dedup_window_ns=3 * S, deadline_ns=5 * S)
STEPS = st.sampled_from(["sent", "not run", "wait"])
steps = st.lists(st.tuples(STEPS, st.integers(0, 3), st.integers(1, 9)), max_size=40)


class Table(unittest.TestCase):
    @settings(max_examples=200, deadline=None, derandomize=True)
    @given(steps)
    def test_first_send_that_may_have_run(self, found: list[tuple[str, int, int]]) -> None:
        """The table agrees with a model that keeps a list of all sends."""
        keys, now, sends, made = IdempotencyKeys(), 0, [], 0
        for what, nonce, amount in found:
            now += S // 10
            if what == "wait":
                now += amount * S
            elif what == "sent":
                made += 1
                keys.record_send(now, CLS, str(nonce), made, "z", 0)
                live = [x for x in sends if x[0] == nonce and now < x[2] + 5 * S]
                if not live:
                    sends = [x for x in sends if x[0] != nonce]
                    sends.append((nonce, made, now))
            else:
                last = [x for x in sends if x[0] == nonce][-1:]
                if last:
                    keys.record_not_executed("order", str(nonce), last[0][1])
                    sends.remove(last[0])
            for n in range(4):
                live = [x for x in sends if x[0] == n and now < x[2] + 5 * S]
                ran = keys.find(now, "order", str(n))
                assert (ran.sent_ns if ran else None) == (live[0][2] if live else None)

    def test_it_has_an_end(self) -> None:
        keys = IdempotencyKeys(3)
        for n in range(3):
            assert not keys.is_full(n)
            keys.record_send(n, CLS, str(n), n, "z", 0)
        assert keys.is_full(S), "no valid record is evicted: a retry of its key may still arrive"
        assert not keys.is_full(5 * S)
        assert len(keys.records) == 2


def world(group: str, fates: dict[str, float], seed: int = 1, window: int = 3 * S) -> VirtualRouter:
    classes = [dict(c) for c in EXAMPLE["settings"]["classes"]]
    classes[1].update(idempotency="keyed", group=group, dedup_window_ns=window)
    return VirtualRouter(None, seed, fates, settings={"classes": classes})


def order(
    v: VirtualRouter, when: int, nonce: str, patience_ms: int = 900, retry: bool = False
) -> inputs.ClientRequest:
    """Schedules a request of the class ``order``; its record is in ``records`` under its trace id."""
    story = v.schedule_request(when, "order", patience_ms)
    c = story.request
    call = inputs.ClientRequest(
        c.client,
        c.request_number,
        c.request_class,
        c.trace_id,
        c.remaining_time_ns,
        c.object_id,
        c.part_id,
        c.object_number,
        c.part_number,
        c.group,
        retry,
        "",
        b"order",
        idempotency_key=nonce,
    )
    for n, event in enumerate(v.heap):
        if event.message is c:
            v.heap[n] = event._replace(message=call)
    story.request = call
    return call


class Retries(unittest.TestCase):
    def sends(self, v: VirtualRouter) -> list[tuple[int, str, str]]:
        return sorted((x.sent_ns, x.server, x.fate) for s in v.records.values() for x in s.attempts)

    def test_a_retry_goes_to_the_group_of_the_first_within_its_window(self) -> None:
        """Requests with the same key were routed independently: a retry was sent to any cache, a second after
        a cache of another zone or cell may have executed the first request, and also after the window.
        """
        for group in ("zone", "cell"):
            for seed in range(30):
                v = world(group, {"silent": 0.5, "done": 0.2, "broke": 0.2, "wait": 0.1}, seed, 1500 * MS)
                for n in range(5):
                    order(v, n * 550 * MS, "k", patience_ms=500)
                v.run(20 * S)
                sends = self.sends(v)
                ran = [x for x in sends if x[2] not in ("wait", "lack", "past")]
                if not ran:
                    continue
                first = ran[0]
                homes = {e.address: (e.zone, e.cell) for e in v.reducer.state.endpoints.values()}
                for at, server, _ in sends:
                    if at > first[0]:
                        assert at < first[0] + 1500 * MS, (group, seed)
                        mine, other = homes[first[1]], homes[server]
                        assert (mine if group == "cell" else mine[0]) == (
                            other if group == "cell" else other[0]
                        ), (group, seed)

    def test_past_the_window_it_is_refused_or_fails_without_a_send(self) -> None:
        for group, due in (("all", effects.RejectRequest), ("zone", effects.FailRequest)):
            v = world(group, {"silent": 1.0}, window=S)
            first, late = order(v, 0, "k"), order(v, 2 * S, "k")
            v.run(10 * S)
            assert len(v.records[first.trace_id].attempts) == 1
            assert v.records[late.trace_id].attempts == []
            assert isinstance(v.records[late.trace_id].final_effects[0][1], due)

    def test_what_certainly_did_not_run_binds_nothing(self) -> None:
        v = world("zone", {"wait": 1.0}, window=S)
        order(v, 0, "k")
        late = order(v, 2 * S, "k")
        v.run(10 * S)
        assert v.records[late.trace_id].attempts

    def test_a_retry_of_a_key_not_seen_here_is_sent_once(self) -> None:
        """The first request was sent by another process, because the router was upgraded or killed in
        between.  The place and time of that send are unknown: a second send may be after the window or
        outside the deduplication scope.
        """
        for group, due in (("all", effects.RejectRequest), ("zone", effects.FailRequest)):
            for retry, least in ((True, 1), (False, 2)):
                sends = 0
                for seed in range(20):
                    v = world(group, {"broke": 0.8, "wait": 0.2}, seed)
                    call = order(v, 0, "k", retry=retry)
                    v.run(10 * S)
                    ran = [x for x in v.records[call.trace_id].attempts if x.fate == "broke"]
                    sends = max(sends, len(ran))
                    if retry and ran:
                        assert isinstance(v.records[call.trace_id].final_effects[0][1], due)
                (self.assertEqual if retry else self.assertGreaterEqual)(sends, least, group)

    def test_two_of_one_key_are_never_out_together(self) -> None:
        for group, due in (("all", effects.RejectRequest), ("zone", effects.FailRequest)):
            v = world(group, {"silent": 1.0})
            first, second = order(v, 0, "k"), order(v, 100 * MS, "k")
            v.run(10 * S)
            assert len(v.records[first.trace_id].attempts) == 1
            assert v.records[second.trace_id].attempts == []
            assert isinstance(v.records[second.trace_id].final_effects[0][1], due)

    def test_tables_are_empty_after_a_storm(self) -> None:
        v, random = world("all", {"silent": 0.3, "done": 0.5, "broke": 0.2}), Random(4)
        for _ in range(300):
            order(v, random.randrange(20 * S), str(random.randrange(60)))
        v.run(40 * S)
        assert v.reducer.state.idempotency_keys.in_use == set()
        v.reducer.state.idempotency_keys.drop_expired(v.now + 60 * S)
        assert len(v.reducer.state.idempotency_keys.records) == 0


class Retuned(unittest.TestCase):
    """Reloads (SIGHUP) while keys are recorded: sends before the reload limit retries after it."""

    def retuned(self, v: VirtualRouter, when: int, **change: object) -> None:
        raw = copy.deepcopy(v.config.raw)
        raw["settings"]["classes"][1].update(change)
        v.schedule(START + when, inputs.ConfigFileRead("config.json", orjson.dumps(raw)))

    def finals(self, v: VirtualRouter, call: inputs.ClientRequest) -> list[type]:
        return [type(f) for _, f in v.records[call.trace_id].final_effects]

    def test_a_class_that_becomes_keyed_takes_clients_with_and_without_a_key(self) -> None:
        """Requests of clients that did not send a key yet failed immediately after the reload."""
        v = world("all", {"done": 1.0})
        self.retuned(v, 0, idempotency="safe", dedup_window_ns=0)
        self.retuned(v, 10 * S, idempotency="keyed", dedup_window_ns=3 * S)
        early, late, keyed = order(v, 10_500 * MS, ""), order(v, 13 * S, ""), order(v, 10_500 * MS, "k")
        v.run(20 * S)
        assert [self.finals(v, c) for c in (early, late, keyed)] == [
            [effects.SendResponse],
            [effects.FailRequest],
            [effects.SendResponse],
        ]

    def test_within_the_passage_it_runs_once_and_its_retry_after_it_is_bound(self) -> None:
        v = world("zone", {"silent": 1.0}, window=S)
        self.retuned(v, 0, idempotency="safe", dedup_window_ns=0)
        self.retuned(v, 10 * S, idempotency="keyed", dedup_window_ns=S)
        first, again = order(v, 11 * S, "k"), order(v, 12_500 * MS, "k")
        v.run(20 * S)
        assert [len(v.records[c.trace_id].attempts) for c in (first, again)] == [1, 0]
        assert self.finals(v, again) == [effects.FailRequest], (
            "a rejection would let the client execute it through another router"
        )

    def test_a_window_that_shrinks_binds_at_once(self) -> None:
        for window, sends in ((5 * S, 1), (S, 0)):
            v = world("all", {"silent": 1.0}, window=5 * S)
            first = order(v, 0, "k")
            self.retuned(v, 1_500 * MS, dedup_window_ns=window)
            again = order(v, 2 * S, "k")
            v.run(20 * S)
            assert [len(v.records[c.trace_id].attempts) for c in (first, again)] == [1, sends], window

    def test_a_class_that_goes_and_comes_back_remembers_its_keys(self) -> None:
        v = world("all", {"silent": 1.0}, window=S)
        order(v, 0, "k")
        raw = copy.deepcopy(v.config.raw)
        raw["settings"]["classes"][1] = {**raw["settings"]["classes"][0], **raw["settings"]["classes"][1]}
        gone = copy.deepcopy(raw)
        del gone["settings"]["classes"][1]
        v.schedule(START + 10 * MS, inputs.ConfigFileRead("config.json", orjson.dumps(gone)))
        v.schedule(START + 2_200 * MS, inputs.ConfigFileRead("config.json", orjson.dumps(raw)))
        late = order(v, 2_500 * MS, "k")
        v.run(20 * S)
        assert v.records[late.trace_id].attempts == []
        assert self.finals(v, late) == [effects.RejectRequest]


class OnTheWire(unittest.TestCase):
    def test_retry_of_a_key(self) -> None:
        Player(self, ONE, orders={**KEYED, "dedup_window_ns": S, "group": "zone"}).play("nonce_retry.txt")
