"""Reads the stored data and wire documents of tests/golden/stored, and writes the same state again.

A build of commit 5862b4a wrote these files (tools/golden_stored_data.py).  A build must read the data that
its predecessor stored, and the messages that older builds send during a rollout.  So these files are not made
again when a test fails: the failure shows that a stored format has changed.
"""

from __future__ import annotations

import dataclasses
import hashlib
import shutil
import sqlite3
from pathlib import Path
from typing import Any

import orjson
import pytest

from kelpcroft.control_log.follower import LogPosition
from kelpcroft.control_log.messages import ReplicaOptions, SendWatchResponse, UpstreamResponse, WatchRequest
from kelpcroft.control_log.replica import ControlReplica
from kelpcroft.net.feed_codec import FeedCodec, FeedError
from kelpcroft.net.upstream_codec import UpstreamCodec
from kelpcroft.net.watch_codec import EventsRequest, WatchServerCodec, encode_response
from kelpcroft.rollout.events import HistoryEntry, OperatorCommand, RouterReport
from kelpcroft.rollout.judge import RequestSample
from kelpcroft.rollout.plan import RolloutPlan, RouterTarget
from kelpcroft.rollout.plan_file import load_plan

# Of the program's names, this file uses only those imported here and the attributes that are read below.
from kelpcroft.rollout.router_drivers import parse_state
from kelpcroft.rollout.snapshot import from_snapshot as load_snapshot
from kelpcroft.rollout.snapshot import to_snapshot
from kelpcroft.rollout.state_machine import Rollout
from kelpcroft.startup.crash_loop_backoff import decode as decode_starts
from kelpcroft.startup.crash_loop_backoff import encode as encode_starts
from kelpcroft.startup.crash_loop_backoff import file_path as path_of_starts
from kelpcroft.store.handover import decode as decode_service
from kelpcroft.store.handover import encode as encode_service
from kelpcroft.store.handover import file_path as path_of_service
from kelpcroft.store.rollouts import RolloutStore
from tools import golden_stored_data as generator

ROOT = Path(__file__).parent.parent.parent
STORED = ROOT / "tests/golden/stored"
MS, SECOND = 10**6, 10**9
NOW = 1_764_576_000 * SECOND
FINGERPRINT_4 = "b05a0f1811469659"  # of the last event
SNAPSHOTS = ("done", "held", "phases", "reverting", "running", "silent", "taken_back")


def golden(name: str) -> bytes:
    """Return a committed file."""
    return (STORED / name).read_bytes()


def body_of(name: str) -> bytes:
    """Return the body of a committed HTTP response."""
    return golden(name).partition(b"\r\n\r\n")[2]


@pytest.fixture(scope="module")
def written_files() -> dict[str, bytes]:
    """Return the deterministic files as this build writes them."""
    return generator.deterministic_files()


@pytest.fixture(scope="module")
def plan() -> RolloutPlan:
    """Return the plan of the snapshots and runs."""
    rollout_plan, diagnostics = load_plan(golden("plan.kdl"))
    assert diagnostics == []
    return rollout_plan


@pytest.fixture
def store(tmp_path: Path) -> RolloutStore:
    """Return a copy of the committed database."""
    shutil.copy(STORED / "rollouts.db", tmp_path / "rollouts.db")
    return RolloutStore(str(tmp_path / "rollouts.db"))


def test_no_golden_file_is_missing_or_unknown() -> None:
    """Each committed file is read by a test of this module."""
    expected = {*DETERMINISTIC, *(f"snapshot_{name}.json" for name in SNAPSHOTS)}
    expected |= {"plan.kdl", "config.json", "rollouts.db", "digests.txt"}
    assert {p.name for p in STORED.iterdir()} == expected


# Written again ----------------------------------------------------------------------------------------------

DETERMINISTIC = (
    "control_state.http",
    "replica_bad.http",
    "replica_none.http",
    "replica_refused.http",
    "replica_state.http",
    "replica_tail.http",
    "service_drained.json",
    "service_ended.json",
    "service_in.json",
    "starts_loop.starts",
    "starts_one.starts",
    "watch_marked.http",
    "watch_unmarked.http",
)


@pytest.mark.parametrize("name", DETERMINISTIC)
def test_the_same_state_is_written_with_the_same_bytes(name: str, written_files: dict[str, bytes]) -> None:
    """The writer is deterministic and writes the committed bytes."""
    assert set(written_files) == set(DETERMINISTIC)
    assert written_files[name] == golden(name)


# State of service -------------------------------------------------------------------------------------------


@pytest.mark.parametrize(
    ("name", "in_service", "since_ns", "written_ns", "pid", "ended_ns"),
    [
        ("service_drained.json", False, NOW - 2 * SECOND, NOW + 123 * MS, 4711, 0),
        ("service_in.json", True, NOW + 400 * MS, NOW + 456 * MS, 4712, 0),
        ("service_ended.json", False, NOW - 2 * SECOND, NOW + 789 * MS, 4711, NOW + 788 * MS),
    ],
)
def test_the_state_of_service_is_read(
    name: str, in_service: bool, since_ns: int, written_ns: int, pid: int, ended_ns: int
) -> None:
    """Each field of the file is read, and the same fields are written as the same bytes."""
    record, reason = decode_service(golden(name), "n3", NOW + SECOND)
    assert reason == ""
    assert record is not None
    assert record.in_service is in_service
    assert record.since_ns == since_ns
    assert record.written_ns == written_ns
    assert record.pid == pid
    assert record.ended_ns == ended_ns
    assert encode_service("n3", pid, written_ns, in_service, since_ns, ended_ns) == golden(name)


def test_the_state_of_service_is_of_one_router_for_one_hour() -> None:
    """The file is valid for one hour, for the router that it names."""
    data, written = golden("service_drained.json"), NOW + 123 * MS
    assert decode_service(data, "n3", written + 3_600 * SECOND)[0] is not None
    assert decode_service(data, "n3", written + 3_600 * SECOND + 1)[0] is None
    assert decode_service(data, "n4", written)[0] is None


def test_the_paths_of_a_router_are_unchanged() -> None:
    """The next build reads files with the same names."""
    assert path_of_service("/tmp/", "n/3") == "/tmp/kelpcroft-n_3.json"
    assert path_of_starts("/tmp/", "n/3") == "/tmp/kelpcroft-n_3.starts"


# Starts -----------------------------------------------------------------------------------------------------

LOOP = [NOW + n * 2_027 * MS for n in range(6)]


@pytest.mark.parametrize(
    ("name", "starts"), [("starts_one.starts", [NOW + 123 * MS]), ("starts_loop.starts", LOOP)]
)
def test_the_record_of_starts_is_read(name: str, starts: list[int]) -> None:
    """Each start of the last minute is read; adding the last start to the others writes the same bytes."""
    assert decode_starts(golden(name), "n3", NOW + 20 * SECOND) == starts
    assert decode_starts(golden(name), "n4", NOW + 20 * SECOND) == []
    assert encode_starts("n3", starts[:-1], starts[-1]) == golden(name)


def test_starts_over_a_minute_ago_are_ignored() -> None:
    """Starts are counted within one minute before now."""
    assert decode_starts(golden("starts_loop.starts"), "n3", LOOP[2] + 60 * SECOND) == LOOP[3:]


# Rollout snapshots ------------------------------------------------------------------------------------------


@pytest.mark.parametrize("name", SNAPSHOTS)
def test_a_snapshot_is_read_and_written_with_the_same_bytes(name: str, plan: RolloutPlan) -> None:
    """A snapshot that is loaded and stored again is the same."""
    data = golden(f"snapshot_{name}.json")
    assert orjson.dumps(to_snapshot(load_snapshot(plan, orjson.loads(data)))) == data


@pytest.mark.parametrize(
    (
        "name",
        "now_s",
        "stage",
        "stage_s",
        "outcome",
        "reason",
        "hold_cause",
        "regression_zone_class",
        "after_ns",
    ),
    [
        ("done", 1738, 2, 1677, "done", "", "", None, -1),
        ("held", 1060, 0, 1030, "held", "ordered", "people", None, -1),
        ("phases", 1020, -1, 1000, "running", "", "", None, -1),
        ("running", 1200, 0, 1030, "running", "", "", None, -1),
        ("silent", 1060, -1, 1000, "held", "2 routers do not answer: n1-1, n2-1", "silence", None, -1),
        (
            "taken_back",
            1112,
            0,
            1030,
            "taken back",
            "class 'reads' does worse in zone 'z0'",
            "",
            ("z0", "reads"),
            1063 * SECOND,
        ),
    ],
)
def test_the_state_of_a_rollout_is_read(
    plan: RolloutPlan,
    name: str,
    now_s: int,
    stage: int,
    stage_s: int,
    outcome: str,
    reason: str,
    hold_cause: str,
    regression_zone_class: tuple[str, str] | None,
    after_ns: int,
) -> None:
    """Each field of the rollout is read."""
    rollout = load_snapshot(plan, orjson.loads(golden(f"snapshot_{name}.json")))
    assert rollout.now_ns == now_s * SECOND
    assert rollout.stage_index == stage
    assert rollout.stage_since_ns == stage_s * SECOND
    assert rollout.outcome.value == outcome
    assert rollout.reason == reason
    assert rollout.hold_cause.value == hold_cause
    assert rollout.regression_zone_class == regression_zone_class
    assert rollout.rolled_back_ns == after_ns
    assert rollout.old_peak_memory_kb == 30_720
    assert len(rollout.routers) == 12


def test_every_phase_is_read(plan: RolloutPlan) -> None:
    """Phases have their stored words, their start times and the instance before a restart."""
    rollout = load_snapshot(plan, orjson.loads(golden("snapshot_phases.json")))
    assert [router.phase.value for router in rollout.routers.values()] == [
        "waiting",
        "out of service",
        "changed",
        "cold",
        "judged",
        "kept",
        "leaving",
        "undone",
        "taken back",
        "out, to be restarted",
        "restarted",
        "control",
    ]
    assert [router.phase_since_ns for router in rollout.routers.values()] == [
        1_000 * SECOND + n for n in range(12)
    ]
    assert [router.instance_before_restart for router in rollout.routers.values()] == [
        f"was-{n}" for n in range(12)
    ]
    assert rollout.routers["n0-0"].last_report is None


def test_a_router_of_a_rollout_is_read(plan: RolloutPlan) -> None:
    """Each field of one router and of its last report is read."""
    router = load_snapshot(plan, orjson.loads(golden("snapshot_running.json"))).routers["n0-0"]
    assert router.target == RouterTarget("n0-0", "z0", "127.0.0.1:9101")
    assert router.phase.value == "judged"
    assert router.phase_since_ns == 1_045 * SECOND
    assert router.last_report_ns == 1_200 * SECOND
    assert router.original_digests == {"program": "old"}
    assert router.invariant_baseline == 0
    assert router.instance_before_restart == ""
    assert router.baseline == {
        "reads": RequestSample(831, 831.0, 813.0),
        "writes": RequestSample(313, 313.0, 309.0),
    }
    report = router.last_report
    assert report is not None
    assert report.router == "n0-0"
    assert report.instance == "n0-0-2"
    assert report.digests == {"program": "beef"}
    assert report.ready is True
    assert report.in_service is True
    assert report.invariant_violations == 0
    assert report.samples_by_class == {
        "reads": RequestSample(5_031, 5_031.0, 4_874.0),
        "writes": RequestSample(1_740, 1_740.0, 1_680.0),
    }
    assert report.peak_memory_kb == 30_720


def test_the_judgement_of_a_rollout_is_read(plan: RolloutPlan) -> None:
    """Tests by zone and class, and the baseline of each side, are read."""
    judge = load_snapshot(plan, orjson.loads(golden("snapshot_running.json"))).judge
    assert list(judge.tests) == [("z0", "reads"), ("z0", "writes")]
    test = judge.tests["z0", "reads"]
    assert test.regression_log_evidence == [-0.2788744566068176, -1.1784762737527568, -3.2742667084917647]
    assert test.no_regression_log_evidence == [1.262360825809707, 4.932609433476921, 11.794103535871887]
    assert test.interval_count == 152
    assert test.difference_sum == 0.7076121874246415
    assert test.verdict.value == "fine"
    assert judge.tests["z0", "writes"].verdict.value == "open"
    assert len(judge.sides) == 12
    assert judge.sides[("z0", "reads"), True].baseline == RequestSample(831, 831.0, 813.0)


def test_a_verdict_of_regression_is_read(plan: RolloutPlan) -> None:
    """A rollout that is being rolled back has the statistical test that found the regression."""
    rollout = load_snapshot(plan, orjson.loads(golden("snapshot_reverting.json")))
    assert rollout.outcome.value == "reverting"
    assert rollout.regression_zone_class == ("z0", "reads")
    assert rollout.judge.tests["z0", "reads"].verdict.value == "worse"


def test_a_snapshot_of_an_older_build_is_read(plan: RolloutPlan) -> None:
    """Keys that later builds added may be missing: memory, hold cause, instance before a restart."""
    raw = orjson.loads(golden("snapshot_running.json"))
    del raw["hold_cause"], raw["memory"]
    for router in raw["routers"].values():
        del router["was"], router["report"]["memory"]
    rollout = load_snapshot(plan, raw)
    assert rollout.hold_cause.value == ""
    assert rollout.old_peak_memory_kb == 0
    assert rollout.routers["n0-0"].instance_before_restart == ""
    assert rollout.routers["n0-0"].last_report is not None
    assert rollout.routers["n0-0"].last_report.peak_memory_kb == 0


# Rollout database -------------------------------------------------------------------------------------------


def rows_of(path: Path) -> dict[str, Any]:
    """Return the content of an SQLite file: the statements of its tables, and their rows in order."""
    db = sqlite3.connect(path)
    tables = dict(db.execute("select name, sql from sqlite_master order by name"))
    rows = {name: db.execute(f"select rowid, * from {name} order by rowid").fetchall() for name in tables}
    db.close()
    return {"tables": tables, "rows": rows}


def test_the_last_run_is_read(store: RolloutStore) -> None:
    """The running rollout is read, with its lease and the operator commands not yet processed."""
    run = store.newest_run()
    assert run is not None
    assert run.id == 2
    assert run.plan == golden("plan.kdl")
    assert run.began_ns == NOW + 60 * SECOND
    assert run.snapshot == orjson.loads(golden("snapshot_running.json"))
    assert run.outcome == "running"
    assert run.owner == "4712-0badcafe"
    assert run.lease_ns == NOW + 85 * SECOND
    assert store.pending_operator_commands(2) == [(2, "resume"), (3, "revert"), (4, "stop")]
    assert store.pending_operator_commands(1) == []
    assert [OperatorCommand(word).value for word in ("hold", "resume", "revert")] == [
        "hold",
        "resume",
        "revert",
    ]


def test_the_history_of_a_run_is_read(store: RolloutStore) -> None:
    """Every decision is read, with its time, name, text and figures."""
    history = store.history(1)
    assert [(h["name"], h["text"]) for h in history] == [
        ("stage", "stage 'one' begins"),
        ("begun", "n0-0 is changed"),
        ("worse", "class 'reads' does worse in zone 'z0'"),
        ("reverting", "taken back: class 'reads' does worse in zone 'z0'"),
        ("taken-back", "all that was changed is taken back"),
        ("ended", "taken back; the harm is gone"),
    ]
    assert {h["at_ns"] for h in history} == {NOW + 2 * SECOND}
    assert history[0]["figures"] == {"routers": ["n0-0"]}
    assert history[1]["figures"] == {"router": "n0-0"}
    assert set(history[2]["figures"]) == {"z0/reads", "z0/writes"}
    assert set(history[2]["figures"]["z0/reads"]) == {"slices", "mean", "verdict", "worse", "fine"}
    assert history[2]["figures"]["z0/reads"]["verdict"] == "worse"
    assert store.history(2) == []


def test_another_controller_continues_the_run_of_the_database(store: RolloutStore, plan: RolloutPlan) -> None:
    """After the lease has expired, another controller leads the run, handles the commands and ends it."""
    with pytest.raises(RuntimeError, match="led by another"):
        store.acquire_lease(2, "5000-11", NOW + 85 * SECOND)
    store.acquire_lease(2, "5000-11", NOW + 85 * SECOND + 1)
    run = store.newest_run()
    assert run is not None
    rollout: Rollout = load_snapshot(plan, run.snapshot)
    for _, word in store.pending_operator_commands(2)[:2]:
        rollout.handle(NOW + 86 * SECOND, OperatorCommand(word))
    assert rollout.outcome.value == "reverting"
    entries = [HistoryEntry("ended", "taken back", {"z0": 1})]
    store.commit_step(2, "5000-11", NOW + 86 * SECOND, to_snapshot(rollout), "taken back", entries, 4)
    assert store.pending_operator_commands(2) == []
    assert store.history(2) == [
        {"at_ns": NOW + 86 * SECOND, "name": "ended", "text": "taken back", "figures": {"z0": 1}}
    ]
    assert store.create_run(NOW + 90 * SECOND, golden("plan.kdl"), {}) == 3


def test_the_same_runs_are_written_with_the_same_rows(store: RolloutStore, tmp_path: Path) -> None:
    """The calls that made the database make the same tables and rows again."""
    history = [HistoryEntry(h["name"], h["text"], h["figures"]) for h in store.history(1)]
    (taken_back,) = store.database.execute("select snapshot from run where id = 1").fetchone()
    store.close()
    path, text = tmp_path / "again.db", golden("plan.kdl")
    copy = RolloutStore(str(path))
    copy.create_run(NOW, text, orjson.loads(taken_back))
    copy.acquire_lease(1, "4711-00c0ffee", NOW + SECOND)
    copy.commit_step(1, "4711-00c0ffee", NOW + 2 * SECOND, orjson.loads(taken_back), "taken back", history)
    copy.release_lease(1, "4711-00c0ffee")
    running = orjson.loads(golden("snapshot_running.json"))
    copy.create_run(NOW + 60 * SECOND, text, running)
    copy.acquire_lease(2, "4712-0badcafe", NOW + 61 * SECOND)
    for n, verb in enumerate(("hold", "resume", "revert", "stop")):
        copy.add_operator_command(2, NOW + (62 + n) * SECOND, verb)
    copy.commit_step(2, "4712-0badcafe", NOW + 70 * SECOND, running, "running", [], 1)
    copy.close()
    assert rows_of(path) == rows_of(tmp_path / "rollouts.db")


# The control address ----------------------------------------------------------------------------------------


def test_the_keys_of_the_control_state_are_unchanged(written_files: dict[str, bytes]) -> None:
    """All keys that this build reports, in their order, and the keys of a class."""
    raw = orjson.loads(written_files["control_state.http"].partition(b"\r\n\r\n")[2])
    assert list(raw) == [
        "name",
        "instance",
        "build",
        "settings",
        "rules",
        "started_ms",
        "now_ms",
        "ready",
        "why",
        "service",
        "since_ms",
        "open",
        "attempts",
        "connections",
        "clients",
        "invariants",
        "classes",
        "memory_kb",
    ]
    assert list(raw["classes"]["page"]) == [
        "asked",
        "served",
        "late",
        "refused",
        "failed",
        "gone",
        "attempts",
        "worth",
        "in_time",
    ]


def test_a_controller_reads_the_control_state_of_an_older_build() -> None:
    """Each field that a rollout uses is read; a response of another router is no report."""
    raw = orjson.loads(body_of("control_state.http"))
    report = parse_state(RouterTarget("n1", "z0"), raw)
    assert isinstance(report, RouterReport)
    assert report.router == "n1"
    assert report.instance == "0123456789abcdef"
    assert report.digests == {"program": "5f2c09e1a7b3d480", "settings": "75b9c0cdbd682b9a", "rules": ""}
    assert report.ready is True
    assert report.in_service is False
    assert report.invariant_violations == 0
    assert report.samples_by_class == {"page": RequestSample(6, 12.5, 2.5)}
    assert report.peak_memory_kb == 31_744
    assert not isinstance(parse_state(RouterTarget("n2", "z0"), raw), RouterReport)


# Control replicas -------------------------------------------------------------------------------------------


def upstream_response(name: str) -> UpstreamResponse:
    """Return a committed response as the codec of a following replica reads it."""
    (response,) = UpstreamCodec().receive_data(memoryview(golden(name)))
    return response


@pytest.mark.parametrize(("name", "events"), [("state", 3), ("tail", 2), ("none", 0)])
def test_a_replica_reads_the_response_of_an_older_one(name: str, events: int) -> None:
    """Each field of a response is read; its events are kept as received."""
    response = upstream_response(f"replica_{name}.http")
    assert response.last_event_number == 4
    assert response.fingerprint == FINGERPRINT_4
    assert response.as_of_ms == NOW // MS
    assert response.has_more is False
    assert len(response.events) == events
    assert list(response.events) == orjson.loads(body_of(f"replica_{name}.http"))["events"]


def test_a_router_reads_the_state_of_an_older_replica() -> None:
    """Each field of a list of servers, of a purge of an object and of a purge of a group is read."""
    (response,) = FeedCodec().receive_data(memoryview(golden("replica_state.http")))
    assert response.last_event == 4
    assert response.unusable_events == ()
    assert response.log_fingerprint == FINGERPRINT_4
    assert response.as_of_ms == NOW // MS
    members, by_object, by_group = (dataclasses.astuple(event) for event in response.events)
    assert members == (
        True,
        (
            ("s-c1", "10.0.0.1:7001", "edge-1", "box", 0, "in_service", 2.5, 1_764_575_000 * SECOND),
            ("s-c3", "10.0.0.1:7001", "edge-1", "box", 0, "terminating", 1.0, 0),
        ),
        4,
    )
    assert by_object == (0x7F3A9C21E0B4D655, 0, NOW - 2 * SECOND)
    assert by_group == (None, 17, NOW - SECOND)


def test_a_router_reads_the_tail_of_an_older_replica() -> None:
    """An update of the list with a server that has left is read."""
    (response,) = FeedCodec().receive_data(memoryview(golden("replica_tail.http")))
    purge, members = (dataclasses.astuple(event) for event in response.events)
    assert purge == (None, 17, NOW - SECOND)
    assert members == (False, (("s-c2", "10.0.0.1:7001", "edge-1", "box", 3, "terminated", 1.0, 0),), 4)


def test_a_replica_that_follows_an_older_one_sends_the_same_state() -> None:
    """Events read from another replica are forwarded with the same bytes."""
    upstream = ("10.0.0.8", 7000)
    replica = ControlReplica(ReplicaOptions((upstream,), frozenset((upstream,))), 1)
    replica.start(NOW)
    replica.on_upstream_response(NOW, upstream_response("replica_state.http"))
    for watcher, (name, position) in enumerate(
        {"state": LogPosition(), "none": LogPosition(4, FINGERPRINT_4)}.items()
    ):
        (effect,) = replica.on_watch(NOW, WatchRequest(watcher, position, True, 0))
        assert isinstance(effect, SendWatchResponse)
        assert encode_response(effect.body) == golden(f"replica_{name}.http")


@pytest.mark.parametrize(
    ("name", "expected"),
    [
        ("watch_unmarked.http", EventsRequest(LogPosition(41, ""), False, SECOND)),
        ("watch_marked.http", EventsRequest(LogPosition(42, "a0b1c2d3e4f50617"), True, 5 * SECOND)),
    ],
)
def test_a_replica_reads_the_watch_request_of_an_older_router(name: str, expected: EventsRequest) -> None:
    """The position, its fingerprint and the wait are read."""
    assert WatchServerCodec().receive_data(golden(name)) == [expected]


@pytest.mark.parametrize(
    ("name", "reason", "retry_after_ns"),
    [("replica_refused.http", "status 503", SECOND), ("replica_bad.http", "status 400", 0)],
)
def test_a_router_reads_the_rejection_of_an_older_replica(
    name: str, reason: str, retry_after_ns: int
) -> None:
    """The response has no state; the time after which the router may retry is read."""
    codec = FeedCodec()
    with pytest.raises(FeedError, match=reason):
        codec.receive_data(memoryview(golden(name)))
    assert codec.retry_after_ns == retry_after_ns


# Recorded exchanges and operators' files --------------------------------------------------------------------


def test_recorded_exchanges_and_operators_files_are_unchanged() -> None:
    """Each file's SHA-256 is the committed one.

    A new file adds its line and raises the number below; existing lines stay.
    """
    committed = {line[66:]: line[:64] for line in golden("digests.txt").decode().splitlines()}
    folders = ("tests/exchanges", "tests/faulty", "tests/valid")
    paths = [p for folder in folders for p in (ROOT / folder).rglob("*") if p.is_file()]
    found = {p.relative_to(ROOT).as_posix(): hashlib.sha256(p.read_bytes()).hexdigest() for p in paths}
    assert len(committed) == 131
    assert found == committed
