"""The control log's state, tail and snapshots, and a replica's responses, in virtual time without network."""

from __future__ import annotations

import unittest
from typing import Any

import orjson
import pytest

from kelpcroft.config import parse_config
from kelpcroft.control_log import log as control_log
from kelpcroft.control_log.follower import LogFollower, LogPosition, ResponseHead, ResponseVerdict
from kelpcroft.control_log.log import ControlLog, SnapshotIncompleteError, canonical_json, event_fingerprint
from kelpcroft.control_log.messages import (
    RejectWatcher,
    ReplicaOptions,
    SendUpstreamRequest,
    SendWatchResponse,
    UpstreamResponse,
    WatchRequest,
)
from kelpcroft.control_log.replica import ControlReplica
from kelpcroft.control_log.upstream_selection import (
    MAX_FIRST_RETRY_DELAY_NS,
    RETRY_PERIOD_NS,
    RETURN_HOME_NS,
    UpstreamSelector,
)
from kelpcroft.core import effects, inputs, messages
from kelpcroft.core.reducer import Reducer
from kelpcroft.operator_file.model import ControlReplicas, OperatorFile
from testbed.hollow.configuration import FleetSize, configuration

MS, SECOND = 10**6, 10**9
NOW = 1_764_576_000 * SECOND
UPSTREAM = ("10.0.0.9", 7000)


def record(name: str, status: str = "active") -> dict[str, Any]:
    return {"name": name, "address": "10.0.0.1:1", "zone": "a", "type": "box", "status": status}


def snapshot_event(number: int, *names: str) -> dict[str, Any]:
    return {"n": number, "members": {"snapshot": True, "endpoints": [record(name) for name in names]}}


def purge_event(number: int, at_ms: int) -> dict[str, Any]:
    return {"n": number, "purge": {"key": f"{number:016x}", "at": at_ms}}


class Log(unittest.TestCase):
    def filled(self, purges: int, at_ms: int = 0) -> ControlLog:
        log = ControlLog(66_000)
        log.append(snapshot_event(1, "a", "b"), 0)
        for n in range(2, purges + 2):
            log.append(purge_event(n, at_ms), 0)
        return log

    def test_the_tail_has_events_by_number_and_fingerprint(self) -> None:
        log = self.filled(5)
        assert (log.last_event_number, log.last_fingerprint) == (
            6,
            event_fingerprint(canonical_json(purge_event(6, 0))),
        )
        assert log.contains(4, event_fingerprint(canonical_json(purge_event(4, 0))))
        assert not log.contains(4, log.last_fingerprint)
        assert [orjson.loads(text)["n"] for text in log.events_after(4)] == [5, 6]

    def test_state_and_tail_are_bounded(self) -> None:
        log = self.filled(3 * control_log.MAX_TAIL_EVENTS, at_ms=-100_000)
        assert len(log.tail) <= control_log.MAX_TAIL_EVENTS
        assert log.tail_bytes <= control_log.MAX_TAIL_BYTES
        assert log.purges == {}, "purges that are no longer relevant are dropped"
        assert not log.contains(3, event_fingerprint(canonical_json(purge_event(3, -100000)))), (
            "its event is older than the tail"
        )
        for n in range(control_log.MAX_PURGES + 10):
            log.apply(purge_event(n, 1_000), 1_000)
        assert len(log.purges) == control_log.MAX_PURGES
        with pytest.raises(SnapshotIncompleteError):
            log.snapshot(1_000)
        assert len(log.snapshot(70000)) == 1, (
            "snapshots are available again once all these purges have expired"
        )

    def test_a_snapshot_has_all_servers_and_the_relevant_purges(self) -> None:
        log = self.filled(2)
        log.append(
            {"n": 4, "members": {"snapshot": False, "endpoints": [record("a", "leaving"), record("c")]}}, 0
        )
        log.append({"n": 5, "members": {"snapshot": False, "endpoints": [record("b", "left")]}}, 0)
        log.append({"n": 6, "purge": {"group": 3, "at": 50_000}}, 50_000)
        events = [orjson.loads(text) for text in log.snapshot(67_000)]
        assert {event["n"] for event in events} == {6}
        status_by_name = {e["name"]: e["status"] for e in events[0]["members"]["endpoints"]}
        assert status_by_name == {"a": "leaving", "c": "active"}
        assert [event["purge"] for event in events[1:]] == [{"group": 3, "at": 50000}]

    def test_unusable_events_are_reported_and_forwarded(self) -> None:
        log = self.filled(0)
        assert "without a number" in log.append({"purge": {}}, 0)
        assert "event 2: KeyError" in log.append({"n": 2, "purge": {"key": "ff"}}, 0)
        assert log.append({"n": 3, "notice": "new kind"}, 0) == ""
        assert len(log.events_after(1)) == 2


class Following(unittest.TestCase):
    def test_verdicts_on_responses(self) -> None:
        for case, head, expected in (
            ("the tail", ResponseHead(12, "m", 10_000, False), ResponseVerdict.APPLY),
            ("nothing new", ResponseHead(10, "k", 10_000, False), ResponseVerdict.APPLY),
            ("a later state", ResponseHead(3, "m", 11_001, True), ResponseVerdict.APPLY),
            (
                "a state that may be earlier",
                ResponseHead(30, "m", 10_900, True),
                ResponseVerdict.APPLY_REMOVALS_ONLY,
            ),
            ("lower numbers, later", ResponseHead(3, "m", 11_001, False), ResponseVerdict.REQUEST_SNAPSHOT),
            ("lower numbers, not later", ResponseHead(9, "m", 10_500, False), ResponseVerdict.OUTDATED),
        ):
            with self.subTest(what=case):
                follower = LogFollower()
                follower.record_verdict(ResponseHead(10, "k", 10_000, True), ResponseVerdict.APPLY)
                verdict = follower.judge(head)
                follower.record_verdict(head, verdict)
                assert verdict is expected
                assert (follower.requested_position() == LogPosition()) == (
                    expected is ResponseVerdict.REQUEST_SNAPSHOT
                )

    def test_only_removals_are_applied_until_a_state_is_certainly_later(self) -> None:
        follower = LogFollower(10_000)
        for head, expected in (
            (ResponseHead(5, "a", 9_000, True), ResponseVerdict.APPLY_REMOVALS_ONLY),
            (ResponseHead(6, "b", 10_500, False), ResponseVerdict.APPLY_REMOVALS_ONLY),
            (ResponseHead(6, "b", 11_001, False), ResponseVerdict.REQUEST_SNAPSHOT),
            (ResponseHead(7, "c", 11_200, True), ResponseVerdict.APPLY),
            (ResponseHead(8, "d", 11_200, False), ResponseVerdict.APPLY),
        ):
            verdict = follower.judge(head)
            follower.record_verdict(head, verdict)
            assert verdict is expected, head
        assert follower.position == LogPosition(8, "d")

    def test_upstreams_are_spread_changed_after_failures_and_returned_to(self) -> None:
        addresses = tuple((f"10.0.0.{n}", 1) for n in range(4))
        selectors = [UpstreamSelector(addresses, seed) for seed in range(400)]
        homes = [selector.current_address for selector in selectors]
        assert all(60 < homes.count(address) < 140 for address in addresses), "homes are spread evenly"
        moving = [selector for selector in selectors if selector.current_address == addresses[0]]
        for selector in moving:
            selector.record_failure(NOW)
        moved = [selector.current_address for selector in moving]
        assert all(moved.count(address) > len(moving) // 5 for address in addresses[1:]), (
            "followers that leave a replica are spread evenly"
        )
        selector = UpstreamSelector(addresses, 7)
        delays = [selector.record_failure(NOW) for _ in range(40)]
        assert all(0 <= delay_ns < MAX_FIRST_RETRY_DELAY_NS for delay_ns in delays[:3])
        assert all(RETRY_PERIOD_NS // 2 <= delay_ns < 2 * RETRY_PERIOD_NS for delay_ns in delays[3:])
        selector.record_failure(NOW)
        assert not selector.record_success(NOW + RETURN_HOME_NS // 4)
        assert selector.record_success(NOW + 2 * RETURN_HOME_NS)
        assert selector.current_index == selector.home_index


class Responses(unittest.TestCase):
    def replica(self, **options: Any) -> ControlReplica:
        replica = ControlReplica(ReplicaOptions((UPSTREAM,), **options), 1)
        replica.start(NOW)
        replica.on_upstream_response(NOW, UpstreamResponse(1, (snapshot_event(1, "a"),)))
        return replica

    def responses(self, replica: ControlReplica, now: int, watch: WatchRequest) -> list[Any]:
        return [
            orjson.loads(e.body) if isinstance(e, SendWatchResponse) else e
            for e in replica.on_watch(now, watch)
            if isinstance(e, (SendWatchResponse, RejectWatcher))
        ]

    def test_watch_requests_are_bounded_at_any_event_rate(self) -> None:
        replica, now, requests = self.replica(), NOW, 0
        position, has_fingerprint, is_outstanding = LogPosition(), True, False
        for n in range(2, 302):  # a purge every 10 ms, for 3 s
            now += 10 * MS
            effect_list = (
                []
                if is_outstanding
                else replica.on_watch(now, WatchRequest(7, position, has_fingerprint, SECOND))
            )
            requests, is_outstanding = requests + (not is_outstanding), True
            effect_list += replica.on_upstream_response(
                now, UpstreamResponse(n, (purge_event(n, now // MS),))
            )
            effect_list += replica.on_timer(now)
            for e in effect_list:
                if isinstance(e, SendWatchResponse):
                    response = orjson.loads(e.body)
                    position, is_outstanding = LogPosition(response["n"], response["mark"]), False
        assert requests <= 3 * SECOND // replica.options.batch_ns + 2
        assert position.event_number > 250

    def test_a_replica_past_its_lease_reports_that_it_is_stale(self) -> None:
        replica = self.replica()
        fingerprint = replica.log.last_fingerprint
        assert self.responses(replica, NOW, WatchRequest(7, LogPosition(1, fingerprint), True, SECOND)) == []
        timer_ns = replica.next_timer_ns()
        assert timer_ns is not None
        after_lease_ns = NOW + replica.options.lease_ns + 1
        sent = [e for e in replica.on_timer(after_lease_ns) if isinstance(e, SendWatchResponse)]
        assert orjson.loads(sent[0].body)["as_of"] == NOW // MS
        assert replica.is_stale
        assert (
            len(
                self.responses(
                    replica,
                    after_lease_ns + SECOND,
                    WatchRequest(7, LogPosition(1, fingerprint), True, SECOND),
                )
            )
            == 1
        )
        rejected = self.responses(
            replica, after_lease_ns + SECOND, WatchRequest(8, LogPosition(1), False, SECOND)
        )
        assert isinstance(rejected[0], RejectWatcher), (
            "a watcher without fingerprints cannot detect a stale state"
        )

    def test_watches_are_bounded(self) -> None:
        replica = self.replica(max_watches=2)
        fingerprint = replica.log.last_fingerprint
        for n in range(2):
            assert (
                self.responses(replica, NOW, WatchRequest(n, LogPosition(1, fingerprint), True, SECOND)) == []
            )
        assert isinstance(
            self.responses(replica, NOW, WatchRequest(9, LogPosition(1, fingerprint), True, SECOND))[0],
            RejectWatcher,
        )
        replica.on_watcher_disconnected(0)
        assert self.responses(replica, NOW, WatchRequest(9, LogPosition(1, fingerprint), True, SECOND)) == []

    def test_a_follower_that_is_ahead_waits_for_the_replica(self) -> None:
        """A follower already has an event that this replica has yet to receive.

        The response to its request comes by the end of the wait and does not repeat that event.
        """
        replica = self.replica()
        next_event = purge_event(2, NOW // MS)
        watch = WatchRequest(7, LogPosition(2, event_fingerprint(canonical_json(next_event))), True, SECOND)
        assert self.responses(replica, NOW, watch) == []
        assert [
            e
            for e in replica.on_upstream_response(NOW + 5 * MS, UpstreamResponse(2, (next_event,)))
            if isinstance(e, SendWatchResponse)
        ] == []
        sent = [e for e in replica.on_timer(NOW + SECOND) if isinstance(e, SendWatchResponse)]
        assert orjson.loads(sent[0].body)["events"] == []

    def test_a_repeated_response_does_not_cause_a_request_loop(self) -> None:
        replica, now, requests = self.replica(), NOW, 0
        effect_list = replica.on_upstream_response(now, UpstreamResponse(1, (snapshot_event(1, "a"),)))
        while now < NOW + 10 * SECOND:
            request = next(e for e in effect_list if isinstance(e, SendUpstreamRequest))
            now, requests = now + request.delay_ns + MS, requests + 1
            effect_list = replica.on_upstream_response(now, UpstreamResponse(1, (snapshot_event(1, "a"),)))
        assert requests < 10 * SECOND // replica.options.batch_ns + 5

    def test_a_history_in_chunks(self) -> None:
        replica = ControlReplica(ReplicaOptions((UPSTREAM,)), 1)
        replica.start(NOW)
        replica.on_upstream_response(
            NOW, UpstreamResponse(0, (snapshot_event(1, "a"), purge_event(2, NOW // MS)), has_more=True)
        )
        replica.on_upstream_response(NOW, UpstreamResponse(0, (purge_event(3, NOW // MS),), has_more=True))
        replica.on_upstream_response(NOW, UpstreamResponse(3, ()))
        assert (replica.log.last_event_number, replica.is_stale, len(replica.log.purges)) == (3, False, 2)


class RouterWithReplicas(unittest.TestCase):
    def test_a_reload_of_the_operators_file_adds_and_removes_replicas(self) -> None:
        """Event numbers of feed and replicas are unrelated, so a router that switches requests a snapshot."""
        raw = configuration(FleetSize(4, 12, 2), 0, "10.0.0.9:1", "127.0.0.1:1", "127.0.0.1:2")
        reducer = Reducer(parse_config(raw, {}))
        reducer.start(NOW)
        endpoints_before = set(reducer.state.endpoints)
        effect_list = reducer.handle(
            NOW, inputs.OperatorFileRead(OperatorFile(control_replicas=ControlReplicas((("10.0.0.1", 1),))))
        )
        assert [e.address for e in effect_list if isinstance(e, effects.SwitchFeed)] == [("10.0.0.1", 1)]
        effect_list = reducer.handle(NOW, inputs.TimerFired((messages.TimerKind.SEND_WATCH_REQUEST, 0, 0)))
        polls = [
            (e.after_event, e.log_fingerprint) for e in effect_list if isinstance(e, effects.SendWatchRequest)
        ]
        assert polls == [(0, "")]
        effect_list = reducer.handle(NOW, inputs.OperatorFileRead(OperatorFile()))
        assert [e.address for e in effect_list if isinstance(e, effects.SwitchFeed)] == [("10.0.0.9", 1)]
        assert [
            (e.after_event, e.log_fingerprint) for e in effect_list if isinstance(e, effects.SendWatchRequest)
        ] == [(0, None)]
        assert set(reducer.state.endpoints) == endpoints_before, "the endpoint list is kept in the meantime"

    def test_a_replica_with_immediate_empty_responses_is_left(self) -> None:
        raw = configuration(FleetSize(4, 12, 2), 0, "10.0.0.9:1", "127.0.0.1:1", "127.0.0.1:2")
        reducer = Reducer(parse_config(raw, {}))
        addresses = (("10.0.0.1", 1), ("10.0.0.2", 1))
        effect_list, now, polls = reducer.start(NOW, None, 0, ControlReplicas(addresses)), NOW, 0
        switched = [e.address for e in effect_list if isinstance(e, effects.SwitchFeed)]
        assert switched[0] in addresses
        effect_list = reducer.handle(now, inputs.TimerFired((messages.TimerKind.SEND_WATCH_REQUEST, 0, 0)))
        while any(isinstance(e, effects.SendWatchRequest) for e in effect_list) and polls < 50:
            now, polls = now + 2 * MS, polls + 1
            response = inputs.WatchResponse(1, (), log_fingerprint="aa", as_of_ms=now // MS)
            effect_list = reducer.handle(now, response)
        assert polls < 10
        assert [e.event for e in effect_list if isinstance(e, effects.LogEvent)] == ["replica.left"]
        assert len([e for e in effect_list if isinstance(e, effects.SwitchFeed)]) == 1


if __name__ == "__main__":
    unittest.main()
