"""Idempotency keys of repeated requests: no repeat is sent outside the deduplication scope or window."""

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
from tests.support.exchange_player import KEYED_CLASS, ONE_CACHE, Player

ORDER_CLASS = api.RequestClass("order", api.Idempotency.KEYED, dedup_window_ns=3 * S, deadline_ns=5 * S)
STEP_NAMES = st.sampled_from(["sent", "not run", "wait"])
step_sequences = st.lists(st.tuples(STEP_NAMES, st.integers(0, 3), st.integers(1, 9)), max_size=40)


class Table(unittest.TestCase):
    @settings(max_examples=200, deadline=None, derandomize=True)
    @given(step_sequences)
    def test_find_returns_the_first_send_that_may_have_executed(
        self, sequence: list[tuple[str, int, int]]
    ) -> None:
        """The table agrees with a model that keeps a list of all sends."""
        keys, now, sends, attempt_number = IdempotencyKeys(), 0, [], 0
        for step, key_number, seconds in sequence:
            now += S // 10
            if step == "wait":
                now += seconds * S
            elif step == "sent":
                attempt_number += 1
                keys.record_send(now, ORDER_CLASS, str(key_number), attempt_number, "z", 0)
                valid = [x for x in sends if x[0] == key_number and now < x[2] + 5 * S]
                if not valid:
                    sends = [x for x in sends if x[0] != key_number]
                    sends.append((key_number, attempt_number, now))
            else:
                latest = [x for x in sends if x[0] == key_number][-1:]
                if latest:
                    keys.record_not_executed("order", str(key_number), latest[0][1])
                    sends.remove(latest[0])
            for number in range(4):
                valid = [x for x in sends if x[0] == number and now < x[2] + 5 * S]
                execution = keys.find(now, "order", str(number))
                assert (execution.sent_ns if execution else None) == (valid[0][2] if valid else None)

    def test_table_is_bounded(self) -> None:
        keys = IdempotencyKeys(3)
        for n in range(3):
            assert not keys.is_full(n)
            keys.record_send(n, ORDER_CLASS, str(n), n, "z", 0)
        assert keys.is_full(S), "no valid record is evicted: a retry of its key may still arrive"
        assert not keys.is_full(5 * S)
        assert len(keys.records) == 2


def keyed_router(group: str, outcomes: dict[str, float], seed: int = 1, window: int = 3 * S) -> VirtualRouter:
    classes = [dict(c) for c in EXAMPLE["settings"]["classes"]]
    classes[1].update(idempotency="keyed", group=group, dedup_window_ns=window)
    return VirtualRouter(None, seed, outcomes, settings={"classes": classes})


def schedule_order(
    router: VirtualRouter, after_ns: int, key: str, remaining_ms: int = 900, retry: bool = False
) -> inputs.ClientRequest:
    """Schedules a request of the class ``order``; its record is in ``records`` under its trace id."""
    record = router.schedule_request(after_ns, "order", remaining_ms)
    template = record.request
    request = inputs.ClientRequest(
        template.client,
        template.request_number,
        template.request_class,
        template.trace_id,
        template.remaining_time_ns,
        template.object_id,
        template.part_id,
        template.object_number,
        template.part_number,
        template.group,
        retry,
        "",
        b"order",
        idempotency_key=key,
    )
    for position, event in enumerate(router.heap):
        if event.message is template:
            router.heap[position] = event._replace(message=request)
    record.request = request
    return request


class Retries(unittest.TestCase):
    def sends(self, router: VirtualRouter) -> list[tuple[int, str, str]]:
        return sorted((x.sent_ns, x.server, x.outcome) for s in router.records.values() for x in s.attempts)

    def test_a_retry_goes_to_the_group_of_the_first_within_its_window(self) -> None:
        """Requests with the same key were routed independently: a retry was sent to any cache, a second
        after a cache of another zone or cell may have executed the first request, and also after the window.
        """
        for group in ("zone", "cell"):
            for seed in range(30):
                router = keyed_router(
                    group, {"silent": 0.5, "done": 0.2, "broke": 0.2, "wait": 0.1}, seed, 1500 * MS
                )
                for n in range(5):
                    schedule_order(router, n * 550 * MS, "k", remaining_ms=500)
                router.run(20 * S)
                sends = self.sends(router)
                executed = [x for x in sends if x[2] not in ("wait", "lack", "past")]
                if not executed:
                    continue
                first = executed[0]
                places = {e.address: (e.zone, e.cell) for e in router.reducer.state.endpoints.values()}
                for sent_ns, server, _ in sends:
                    if sent_ns > first[0]:
                        assert sent_ns < first[0] + 1500 * MS, (group, seed)
                        first_place, place = places[first[1]], places[server]
                        assert (first_place if group == "cell" else first_place[0]) == (
                            place if group == "cell" else place[0]
                        ), (group, seed)

    def test_a_retry_past_the_window_is_rejected_or_fails_without_a_send(self) -> None:
        for group, expected in (("all", effects.RejectRequest), ("zone", effects.FailRequest)):
            router = keyed_router(group, {"silent": 1.0}, window=S)
            first, late = schedule_order(router, 0, "k"), schedule_order(router, 2 * S, "k")
            router.run(10 * S)
            assert len(router.records[first.trace_id].attempts) == 1
            assert router.records[late.trace_id].attempts == []
            assert isinstance(router.records[late.trace_id].final_effects[0][1], expected)

    def test_a_send_that_was_not_executed_does_not_limit_retries(self) -> None:
        router = keyed_router("zone", {"wait": 1.0}, window=S)
        schedule_order(router, 0, "k")
        late = schedule_order(router, 2 * S, "k")
        router.run(10 * S)
        assert router.records[late.trace_id].attempts

    def test_a_retry_of_a_key_not_seen_here_is_sent_once(self) -> None:
        """The first request was sent by another process, because the router was upgraded or killed in
        between.  The place and time of that send are unknown: a second send may be after the window or
        outside the deduplication scope.
        """
        for group, expected in (("all", effects.RejectRequest), ("zone", effects.FailRequest)):
            for retry, expected_sends in ((True, 1), (False, 2)):
                sends = 0
                for seed in range(20):
                    router = keyed_router(group, {"broke": 0.8, "wait": 0.2}, seed)
                    request = schedule_order(router, 0, "k", retry=retry)
                    router.run(10 * S)
                    executed = [x for x in router.records[request.trace_id].attempts if x.outcome == "broke"]
                    sends = max(sends, len(executed))
                    if retry and executed:
                        assert isinstance(router.records[request.trace_id].final_effects[0][1], expected)
                (self.assertEqual if retry else self.assertGreaterEqual)(sends, expected_sends, group)

    def test_two_requests_of_one_key_are_never_in_flight_together(self) -> None:
        for group, expected in (("all", effects.RejectRequest), ("zone", effects.FailRequest)):
            router = keyed_router(group, {"silent": 1.0})
            first, second = schedule_order(router, 0, "k"), schedule_order(router, 100 * MS, "k")
            router.run(10 * S)
            assert len(router.records[first.trace_id].attempts) == 1
            assert router.records[second.trace_id].attempts == []
            assert isinstance(router.records[second.trace_id].final_effects[0][1], expected)

    def test_tables_are_empty_after_many_requests(self) -> None:
        router, random = keyed_router("all", {"silent": 0.3, "done": 0.5, "broke": 0.2}), Random(4)
        for _ in range(300):
            schedule_order(router, random.randrange(20 * S), str(random.randrange(60)))
        router.run(40 * S)
        assert router.reducer.state.idempotency_keys.in_use == set()
        router.reducer.state.idempotency_keys.drop_expired(router.now + 60 * S)
        assert len(router.reducer.state.idempotency_keys.records) == 0


class Reloads(unittest.TestCase):
    """Reloads (SIGHUP) while keys are recorded: sends before the reload limit retries after it."""

    def schedule_reload(self, router: VirtualRouter, after_ns: int, **changes: object) -> None:
        raw = copy.deepcopy(router.config.raw)
        raw["settings"]["classes"][1].update(changes)
        router.schedule(START + after_ns, inputs.ConfigFileRead("config.json", orjson.dumps(raw)))

    def final_response_types(self, router: VirtualRouter, request: inputs.ClientRequest) -> list[type]:
        return [type(f) for _, f in router.records[request.trace_id].final_effects]

    def test_a_class_that_becomes_keyed_admits_requests_with_and_without_a_key(self) -> None:
        """Requests of clients that did not send a key yet failed immediately after the reload."""
        router = keyed_router("all", {"done": 1.0})
        self.schedule_reload(router, 0, idempotency="safe", dedup_window_ns=0)
        self.schedule_reload(router, 10 * S, idempotency="keyed", dedup_window_ns=3 * S)
        early, late, keyed = (
            schedule_order(router, 10_500 * MS, ""),
            schedule_order(router, 13 * S, ""),
            schedule_order(router, 10_500 * MS, "k"),
        )
        router.run(20 * S)
        assert [self.final_response_types(router, c) for c in (early, late, keyed)] == [
            [effects.SendResponse],
            [effects.FailRequest],
            [effects.SendResponse],
        ]

    def test_a_request_in_the_transition_is_executed_once_and_its_later_retry_is_limited(self) -> None:
        router = keyed_router("zone", {"silent": 1.0}, window=S)
        self.schedule_reload(router, 0, idempotency="safe", dedup_window_ns=0)
        self.schedule_reload(router, 10 * S, idempotency="keyed", dedup_window_ns=S)
        first, retry = schedule_order(router, 11 * S, "k"), schedule_order(router, 12_500 * MS, "k")
        router.run(20 * S)
        assert [len(router.records[c.trace_id].attempts) for c in (first, retry)] == [1, 0]
        assert self.final_response_types(router, retry) == [effects.FailRequest], (
            "a rejection would let the client execute it through another router"
        )

    def test_a_shorter_window_applies_immediately(self) -> None:
        for window, sends in ((5 * S, 1), (S, 0)):
            router = keyed_router("all", {"silent": 1.0}, window=5 * S)
            first = schedule_order(router, 0, "k")
            self.schedule_reload(router, 1_500 * MS, dedup_window_ns=window)
            retry = schedule_order(router, 2 * S, "k")
            router.run(20 * S)
            assert [len(router.records[c.trace_id].attempts) for c in (first, retry)] == [1, sends], window

    def test_a_class_that_is_removed_and_added_again_keeps_its_keys(self) -> None:
        router = keyed_router("all", {"silent": 1.0}, window=S)
        schedule_order(router, 0, "k")
        raw = copy.deepcopy(router.config.raw)
        raw["settings"]["classes"][1] = {**raw["settings"]["classes"][0], **raw["settings"]["classes"][1]}
        without_class = copy.deepcopy(raw)
        del without_class["settings"]["classes"][1]
        router.schedule(START + 10 * MS, inputs.ConfigFileRead("config.json", orjson.dumps(without_class)))
        router.schedule(START + 2_200 * MS, inputs.ConfigFileRead("config.json", orjson.dumps(raw)))
        late = schedule_order(router, 2_500 * MS, "k")
        router.run(20 * S)
        assert router.records[late.trace_id].attempts == []
        assert self.final_response_types(router, late) == [effects.RejectRequest]


class OnTheWire(unittest.TestCase):
    def test_retry_of_a_key(self) -> None:
        Player(self, ONE_CACHE, order_class={**KEYED_CLASS, "dedup_window_ns": S, "group": "zone"}).play(
            "nonce_retry.txt"
        )
