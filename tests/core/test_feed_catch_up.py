"""The feed in an upgrade: what a process leaves for its successor, and one that the feed does not answer."""

from __future__ import annotations

import copy
from dataclasses import replace
from typing import Any

import orjson
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from kelpcroft.config import parse_config
from kelpcroft.core import effects, inputs
from kelpcroft.core.feed_catch_up import MAX_READY_DELAY_NS, PREDECESSOR_LOST_NS, TOLD_AFTER_READY_NS
from kelpcroft.core.feed_recorder import WRITE_INTERVAL_NS
from kelpcroft.core.reducer import Reducer
from kelpcroft.core.state import MS, SECOND
from kelpcroft.net.feed_record_codec import MAX_RECORD_BYTES, decode_feed_record, encode_feed_record
from kelpcroft.store.handover import UnusableFileError
from testbed.virtual import listed_endpoints
from tests.support.exchange_player import EXAMPLE
from tests.support.reducer_fixtures import NOW, client_request, effects_of_type

KNOWN = {"n": 1, "events": [{"n": 1, "members": {"snapshot": True, "endpoints": listed_endpoints()}}]}
CACHES = [endpoint["name"] for endpoint in listed_endpoints() if endpoint["type"] == "box"]
PURGED_OBJECT = "0a"


class UpgradeProcess:
    """A reducer on a shared listening socket, whose timers fire in the order of time."""

    def __init__(
        self, predecessor: inputs.PredecessorFeed | None = None, now: int = NOW, known: Any = None
    ) -> None:
        raw = {**copy.deepcopy(EXAMPLE), "known": known or KNOWN}
        config = replace(parse_config(raw, {}), inherited_listener_fd=3, state_dir="/run/x")
        self.reducer = Reducer(config)
        self.now = now
        self.timers: list[effects.ScheduleTimer] = []
        self.done: list[effects.Effect] = []
        self.add(self.reducer.start(now, predecessor_feed=predecessor))
        self.handle(inputs.ListenersReady())

    def add(self, performed: list[effects.Effect]) -> list[effects.Effect]:
        """Record effects, and schedule their timers."""
        self.done += performed
        self.timers += [e for e in performed if isinstance(e, effects.ScheduleTimer)]
        return performed

    def handle(self, message: inputs.Input) -> list[effects.Effect]:
        """Pass an input to the reducer now."""
        return self.add(self.reducer.handle(self.now, message))

    def advance(self, after_ns: int) -> None:
        """Let time pass, and fire the timers that are due."""
        until_ns = self.now + after_ns
        while due := [timer for timer in self.timers if timer.at_ns <= until_ns]:
            timer = min(due, key=lambda scheduled: scheduled.at_ns)
            self.timers.remove(timer)
            self.now = max(self.now, timer.at_ns)
            self.handle(inputs.TimerFired(timer.key))
        self.now = until_ns

    def respond(self, last_event: int, *events: inputs.EndpointUpdate | inputs.Purge) -> None:
        """Deliver a watch response."""
        self.handle(inputs.WatchResponse(last_event, events))

    def last_record(self) -> inputs.FeedRecord:
        """The last record that was written, as its successor decodes it."""
        written = [e.record for e in self.done if isinstance(e, effects.PersistFeedRecord)]
        return decode_feed_record(encode_feed_record("n1", 1, written[-1]), "n1")

    def is_ready(self) -> bool:
        """Whether the control address says so."""
        (response,) = effects_of_type(
            effects.ControlResponse,
            self.handle(inputs.ControlRequest(1, inputs.ControlOperation.READY)),
        )
        assert isinstance(response, effects.ControlResponse)
        return response.ok

    def send(self, number: int, object_id: str = PURGED_OBJECT) -> effects.SendAttempt:
        """Send a request, connect its server and return its attempt."""
        performed = self.handle(client_request(number, object_id))
        opened = [e for e in performed if isinstance(e, effects.OpenServerConnection)]
        for connection in opened:
            performed = self.handle(inputs.ServerConnected(connection.connection))
        (attempt,) = (e for e in performed if isinstance(e, effects.SendAttempt))
        return attempt

    def server_of(self, attempt: effects.SendAttempt) -> str:
        """Name of the server to which an attempt was sent."""
        return self.reducer.state.connections.by_number[attempt.connection].server

    def watch_requests(self) -> list[effects.SendWatchRequest]:
        """All watch requests."""
        return [e for e in self.done if isinstance(e, effects.SendWatchRequest)]

    def logged(self, event: str) -> list[effects.LogEvent]:
        """All log events of a name."""
        return [e for e in self.done if isinstance(e, effects.LogEvent) and e.event == event]


def purge(object_id: str = PURGED_OBJECT, at_ns: int = NOW) -> inputs.Purge:
    return inputs.Purge(int(object_id, 16), 0, at_ns)


def leaving(process: UpgradeProcess, name: str) -> inputs.EndpointUpdate:
    record = process.reducer.position.view.endpoints[name]
    return inputs.EndpointUpdate(False, (replace(record, state="terminating"),), 2)


def predecessor_with(*events: inputs.EndpointUpdate | inputs.Purge) -> UpgradeProcess:
    """A process that has received events and written its record."""
    process = UpgradeProcess()
    process.respond(1 + len(events), *events)
    process.advance(WRITE_INTERVAL_NS)
    return process


def successor_of(process: UpgradeProcess, age_ns: int = 0, known: Any = None) -> UpgradeProcess:
    """A process that starts with the record of another one."""
    return UpgradeProcess(inputs.PredecessorFeed(process.last_record(), age_ns), process.now, known)


def test_a_purge_before_an_upgrade_limits_the_successors_requests() -> None:
    """Copies from before a purge were served after an upgrade, while the list service was silent."""
    successor = successor_of(predecessor_with(purge()))
    successor.advance(SECOND)
    assert successor.send(1).max_age_ms == (successor.now - NOW) // MS - 1
    assert successor.send(2, "0b").max_age_ms == 0


def test_a_drain_before_an_upgrade_holds_in_the_successor() -> None:
    """A successor sent requests to a server that was drained before it started."""
    first = UpgradeProcess()
    first.respond(2, leaving(first, CACHES[0]))
    first.advance(WRITE_INTERVAL_NS)
    successor = successor_of(first)
    assert {successor.server_of(successor.send(n, f"{n:02x}")) for n in range(1, 9)} == {CACHES[1]}


def test_a_server_that_is_not_in_the_snapshot_is_gone_in_the_successor() -> None:
    """The record must name servers that disappeared without an event of their own."""
    first = UpgradeProcess()
    rest = [record for name, record in first.reducer.position.view.endpoints.items() if name != CACHES[0]]
    first.respond(2, inputs.EndpointUpdate(True, tuple(rest), 2))
    first.advance(WRITE_INTERVAL_NS)
    assert CACHES[0] not in successor_of(first).reducer.state.endpoints


def test_the_successor_asks_at_once_for_the_events_after_its_predecessors() -> None:
    """A response after a wait would delay the yes; from the configuration's position it would be long."""
    successor = successor_of(predecessor_with(purge(), purge("0b")))
    (request,) = successor.watch_requests()
    assert (request.after_event, request.wait_ms) == (3, 1)


def test_the_purges_of_another_configuration_apply_but_not_its_position() -> None:
    """Event numbers and endpoints are comparable only if ``known`` is the same."""
    first = UpgradeProcess()
    first.respond(3, leaving(first, CACHES[0]), purge())
    first.advance(WRITE_INTERVAL_NS)
    successor = successor_of(first, known={**KNOWN, "n": 2})
    assert successor.watch_requests()[0].after_event == 2
    assert CACHES[0] in successor.reducer.state.endpoints
    successor.advance(SECOND)
    assert successor.send(1).max_age_ms > 0


def test_a_successor_waits_for_the_feed_while_its_predecessor_serves() -> None:
    """The first response, or the end of the delay, ends the wait."""
    first = predecessor_with(purge())
    heard, silent = successor_of(first), successor_of(first)
    assert not heard.is_ready()
    heard.respond(2)
    assert heard.is_ready()
    silent.advance(MAX_READY_DELAY_NS - 1)
    assert not silent.is_ready()
    silent.advance(1)
    assert silent.is_ready()


@pytest.mark.parametrize("age_ns", [PREDECESSOR_LOST_NS, 100 * SECOND])
def test_a_process_whose_predecessor_is_gone_does_not_wait(age_ns: int) -> None:
    """Nobody else serves: a wait for a silent list service would lose requests."""
    assert successor_of(predecessor_with(purge()), age_ns).is_ready()


def test_a_first_process_does_not_wait_and_is_not_limited_by_a_feed_that_answers() -> None:
    """A cold start while the list service is down is as before, on a shared socket too."""
    process = UpgradeProcess()
    assert process.is_ready()
    process.respond(1)
    process.advance(10 * SECOND)
    assert process.send(1).max_age_ms == 0
    assert process.logged("feed.silent") == []


def test_a_silent_feed_limits_the_age_of_all_copies_from_the_time_its_news_counts() -> None:
    """A purge that no process could hear counts as told two seconds after the yes."""
    successor = successor_of(predecessor_with())
    successor.advance(MAX_READY_DELAY_NS)
    ready_ns = successor.now
    successor.advance(TOLD_AFTER_READY_NS - 1)
    assert successor.send(1).max_age_ms == 0
    successor.advance(1)
    assert len(successor.logged("feed.silent")) == 1
    for number in range(2, 8):
        attempt = successor.send(number, f"{number:02x}")
        assert 0 < attempt.max_age_ms <= (successor.now - ready_ns) // MS
        successor.advance(SECOND)
    page = successor.reducer.state.classes["page"]
    successor.advance(successor.reducer.state.settings.rules.purge_retention_ns)
    assert successor.send(20).max_age_ms in (0, page.freshness_lifetime_ns // MS)  # no other limit any more


def test_the_first_response_ends_the_limit_but_not_that_of_known_purges() -> None:
    """All purges are known one by one again."""
    successor = successor_of(predecessor_with())
    successor.advance(MAX_READY_DELAY_NS + TOLD_AFTER_READY_NS)
    assert successor.send(1, "0b").max_age_ms > 0
    successor.respond(2, purge(at_ns=successor.now))
    successor.advance(100 * MS)
    assert successor.send(2, "0c").max_age_ms == 0
    assert successor.send(3).max_age_ms > 0
    assert len(successor.logged("feed.heard")) == 1


def test_an_attempt_that_waits_for_its_connection_is_selected_again_at_the_limit() -> None:
    """Without that, it would be sent without the limit up to a connect time-out later."""
    successor = successor_of(predecessor_with())
    successor.advance(MAX_READY_DELAY_NS + TOLD_AFTER_READY_NS - 10 * MS)
    successor.handle(client_request(1))
    successor.advance(20 * MS)
    for connection in effects_of_type(effects.OpenServerConnection, successor.done):
        assert isinstance(connection, effects.OpenServerConnection)
        successor.handle(inputs.ServerConnected(connection.connection))
    sent = [e for e in successor.done if isinstance(e, effects.SendAttempt)]
    assert [attempt.max_age_ms > 0 for attempt in sent] == [True]


def test_a_drained_successor_limits_ages_two_seconds_after_it_is_in_service() -> None:
    """The yes, from which the time counts, comes with the end of the drain."""
    successor = successor_of(predecessor_with(), age_ns=PREDECESSOR_LOST_NS)
    successor.handle(inputs.PredecessorState(False, successor.now))
    successor.advance(5 * SECOND)
    assert successor.logged("feed.silent") == []
    successor.handle(inputs.ControlRequest(2, inputs.ControlOperation.IN_SERVICE))
    successor.advance(TOLD_AFTER_READY_NS - 1)
    assert successor.logged("feed.silent") == []
    successor.advance(1)
    assert len(successor.logged("feed.silent")) == 1


def test_news_that_the_predecessor_still_receives_reaches_its_successor() -> None:
    """One connection to the list service may be silent while another one is not."""
    first = predecessor_with()
    successor = successor_of(first)
    first.respond(2, purge())
    first.advance(WRITE_INTERVAL_NS)
    successor.advance(SECOND)
    assert effects_of_type(effects.ReadPredecessorFeed, successor.done)
    for _ in range(2):  # the same record again changes nothing
        successor.handle(inputs.PredecessorFeed(first.last_record()))
    assert [request.after_event for request in successor.watch_requests()] == [1, 2]
    assert len(successor.logged("handover.feed")) == 1
    assert successor.send(1).max_age_ms > 0
    successor.respond(2)
    assert (
        effects_of_type(effects.SwitchFeed, successor.handle(inputs.PredecessorFeed(first.last_record())))
        == []
    )


def test_only_a_process_that_has_heard_and_serves_writes_the_record() -> None:
    """An older record must not replace that of a process that knows more."""
    successor = successor_of(predecessor_with(purge()))
    successor.advance(2 * SECOND)
    assert effects_of_type(effects.PersistFeedRecord, successor.done) == []
    assert len(effects_of_type(effects.TouchFeedRecord, successor.done)) == 2
    successor.respond(2)
    successor.advance(WRITE_INTERVAL_NS)
    assert successor.last_record().last_event == 2
    successor.handle(inputs.ShutdownRequested())
    before = len(effects_of_type(effects.PersistFeedRecord, successor.done))
    successor.respond(3, purge("0b"))
    successor.advance(500 * MS)
    assert len(effects_of_type(effects.PersistFeedRecord, successor.done)) == before


def test_the_record_holds_the_purges_that_still_matter() -> None:
    """It stays small however long the process runs."""
    process = UpgradeProcess()
    retention_s = process.reducer.state.settings.rules.purge_retention_ns // SECOND
    for number in range(200):
        process.respond(number + 2, purge(f"{number:02x}", process.now))
        process.advance(SECOND)
    kept = [p.object_number for p in process.last_record().purges]
    assert kept == list(range(200 - retention_s, 200))
    assert len(encode_feed_record("n1", 1, process.last_record())) < 8_000


def test_a_process_with_its_own_socket_neither_writes_nor_waits() -> None:
    """Such a process has no successor beside it, and ``$TMPDIR`` is its own."""
    config = replace(parse_config({**EXAMPLE, "known": KNOWN}, {}), state_dir="/run/x")
    reducer = Reducer(config)
    performed = reducer.start(NOW) + reducer.handle(NOW, inputs.ListenersReady())
    (request,) = effects_of_type(effects.SendWatchRequest, performed)
    assert isinstance(request, effects.SendWatchRequest)
    assert request.wait_ms > 1
    kinds = {e.key.kind.name for e in performed if isinstance(e, effects.ScheduleTimer)}
    assert not kinds & {"FEED_RECORD", "FEED_CATCH_UP"}


def test_a_record_that_cannot_be_used_is_logged_and_the_process_starts() -> None:
    """A file of another version or router must not keep a process from serving."""
    process = UpgradeProcess(inputs.PredecessorFeed(None, reason="x: is not JSON"))
    assert process.is_ready()
    assert len(process.logged("handover.refused")) == 1


ENDPOINTS = st.builds(
    inputs.EndpointRecord,
    name=st.text(min_size=1, max_size=8),
    address=st.integers(1, 65_535).map(lambda port: f"127.0.0.1:{port}"),
    zone=st.sampled_from(["edge-1", "hub"]),
    kind=st.sampled_from(["box", "parent"]),
    cell=st.integers(0, 9),
    state=st.sampled_from(["in_service", "terminating", "terminated"]),
    weight=st.floats(0.1, 100),
    started_ns=st.integers(0, 10**9).map(lambda ms: ms * MS),
)
PURGES = st.builds(
    inputs.Purge,
    object_number=st.none() | st.integers(0, 2**64 - 1),
    group=st.integers(0, 255),
    purged_at_ns=st.integers(0, 10**12).map(lambda ms: ms * MS),
)
RECORDS = st.builds(
    inputs.FeedRecord,
    known_digest=st.text(max_size=16),
    last_event=st.integers(0, 2**40),
    endpoints=st.lists(ENDPOINTS, max_size=5, unique_by=lambda e: e.name).map(tuple),
    purges=st.lists(PURGES, max_size=5).map(tuple),
)


@settings(max_examples=200, deadline=None, derandomize=True)
@given(RECORDS)
def test_a_record_is_read_back_and_a_cut_one_is_rejected(record: inputs.FeedRecord) -> None:
    """A file that is cut off anywhere must not be taken for a shorter record."""
    data = encode_feed_record("n1", 4711, record)
    assert decode_feed_record(data, "n1") == record
    for length in range(0, len(data) - 1, max(1, len(data) // 20)):
        with pytest.raises(UnusableFileError):
            decode_feed_record(data[:length], "n1")


GOOD = orjson.loads(encode_feed_record("n1", 4711, inputs.FeedRecord("d", 2, (), (purge(),))))


@pytest.mark.parametrize(
    ("change", "expected"),
    [
        ({"v": 2}, "not a version known"),
        ({"v": True}, "not a version known"),
        ({"name": "n2"}, "another router's"),
        ({"known": 7}, "known:"),
        ({"n": "many"}, "invalid literal"),
        ({"n": -1}, "less than 0"),
        ({"events": [{"purge": {"at": "soon"}}]}, "event"),
        ({"events": [{"members": {"snapshot": True, "endpoints": []}}]}, "is a snapshot"),
        ({"events": [{"members": {"endpoints": [{"name": "x"}]}}]}, "event"),
        ({"padding": "x" * MAX_RECORD_BYTES}, "is over"),
    ],
)
def test_an_unusable_record_is_rejected(change: dict[str, Any], expected: str) -> None:
    """The message names what was found."""
    with pytest.raises(UnusableFileError, match=expected):
        decode_feed_record(orjson.dumps({**GOOD, **change}), "n1")


def test_a_later_version_that_declares_itself_readable_is_read() -> None:
    """As with the handover file, an older build reads what a newer one declares."""
    later = orjson.dumps({**GOOD, "v": 3, "least": 1, "more": []})
    assert decode_feed_record(later, "n1").last_event == 2
