"""Write tests/golden/stored: stored data and wire documents of every kind, as the program writes them.

    python tools/golden_stored_data.py

The files were made at commit 5862b4a.  They represent the data that older builds have left on disks and the
messages that they send to newer builds during a rollout, so they must not be regenerated to make a test pass:
a test that fails means that this build no longer reads or writes the forms of that one.  Existing files are
therefore not overwritten.  A new kind of file is added to them, and the commit that made it is named here.

``deterministic_files`` returns the files that the tests compare with the committed files byte for byte.  The
rollout snapshots and the database come from a simulated rollout and are made once: the tests read them and
write their state again.
"""

from __future__ import annotations

import hashlib
import json
import sys
from pathlib import Path
from typing import Any

import orjson

ROOT = Path(__file__).parent.parent
sys.path[:0] = [str(ROOT)]

from kelpcroft.config import parse_config  # noqa: E402
from kelpcroft.control_log.follower import LogPosition  # noqa: E402
from kelpcroft.control_log.messages import (  # noqa: E402
    ReplicaOptions,
    SendWatchResponse,
    UpstreamResponse,
    WatchRequest,
)
from kelpcroft.control_log.replica import ControlReplica  # noqa: E402
from kelpcroft.core import effects, inputs  # noqa: E402
from kelpcroft.core.reducer import Reducer  # noqa: E402
from kelpcroft.core.request_statistics import RequestStatistics  # noqa: E402
from kelpcroft.net.control_codec import encode_control_response  # noqa: E402
from kelpcroft.net.feed_codec import encode_watch_request  # noqa: E402
from kelpcroft.net.watch_codec import encode_bad_request, encode_response, encode_unavailable  # noqa: E402
from kelpcroft.rollout.events import OperatorCommand  # noqa: E402
from kelpcroft.rollout.phases import HoldCause, Phase, RolloutOutcome  # noqa: E402
from kelpcroft.rollout.plan_file import load_plan  # noqa: E402
from kelpcroft.rollout.snapshot import to_snapshot  # noqa: E402
from kelpcroft.startup.crash_loop_backoff import encode as encode_starts  # noqa: E402
from kelpcroft.store.handover import encode as encode_service  # noqa: E402
from kelpcroft.store.rollouts import RolloutStore  # noqa: E402
from testbed.rollouts import SimulatedFleet, SimulatedRouter  # noqa: E402

FOLDER = ROOT / "tests/golden/stored"
RECORDED = ("tests/exchanges", "tests/faulty", "tests/valid")
MS, SECOND = 10**6, 10**9
NOW = 1_764_576_000 * SECOND
PLAN = """rollout version=1
change { program build="beef"; }
router "n0-0" zone="z0" control="127.0.0.1:9101"
router "n0-1" zone="z0"
router "n0-2" zone="z0"
router "n0-3" zone="z0"
router "n1-0" zone="z1"
router "n1-1" zone="z1"
router "n1-2" zone="z1"
router "n1-3" zone="z1"
router "n2-0" zone="z2"
router "n2-1" zone="z2"
router "n2-2" zone="z2"
router "n2-3" zone="z2"
stage "one" count=1 least="30s" most="900s"
stage "half" share="50%" least="30s" most="900s"
stage "all" share="100%" least="30s" most="900s"
limits at-once=3 per-zone=1
watch every="1s" slowest="30s" ready="10s" cold="10s" unknown=1
"""


def server_entry(name: str, status: str = "active", **more_fields: Any) -> dict[str, Any]:
    """Return one server's entry in a list event."""
    return {
        "name": name,
        "address": "10.0.0.1:7001",
        "zone": "edge-1",
        "type": "box",
        "status": status,
        **more_fields,
    }


def list_event(number: int, *entries: dict[str, Any], snapshot: bool = False) -> dict[str, Any]:
    """Return an event with entries of the list."""
    return {"n": number, "members": {"index": number, "snapshot": snapshot, "endpoints": list(entries)}}


EVENTS: tuple[dict[str, Any], ...] = (
    list_event(
        1,
        server_entry("s-c1", weight=2.5, since_ms=1_764_575_000_000),
        server_entry("s-c2", group=3),
        server_entry("s-c3", "leaving"),
        snapshot=True,
    ),
    {"n": 2, "purge": {"key": "7f3a9c21e0b4d655", "at": NOW // MS - 2_000}},
    {"n": 3, "purge": {"group": 17, "at": NOW // MS - 1_000}},
    list_event(4, server_entry("s-c2", "left", group=3)),
)


def replica_responses() -> dict[str, bytes]:
    """Return a control replica's responses: the complete state, the tail of the log, and no events."""
    replica = ControlReplica(ReplicaOptions((("10.0.0.9", 7000),)), 1)
    replica.start(NOW)
    replica.on_upstream_response(NOW, UpstreamResponse(4, EVENTS))
    fingerprints = {entry.number: entry.fingerprint for entry in replica.log.tail}
    positions = {
        "state": LogPosition(),
        "tail": LogPosition(2, fingerprints[2]),
        "none": LogPosition(4, fingerprints[4]),
    }
    files = {}
    for number, (name, position) in enumerate(positions.items()):
        effect_list = replica.on_watch(NOW, WatchRequest(number, position, True, 0))
        (body,) = [e.body for e in effect_list if isinstance(e, SendWatchResponse)]
        files[f"replica_{name}.http"] = encode_response(body)
    return files


def control_state() -> bytes:
    """Return the response to GET /control/state of a drained process, after requests with different ends."""
    reducer = Reducer(parse_config(json.loads((FOLDER / "config.json").read_bytes()), {}))
    reducer.start(NOW)
    reducer.handle(NOW, inputs.ProcessIdentity("5f2c09e1a7b3d480", "0123456789abcdef"))
    reducer.state.statistics = statistics = RequestStatistics()
    for outcome, attempts, in_time in (
        ("served", 1, True),
        ("served", 2, False),
        ("refused", 0, False),
        ("failed", 3, False),
        ("gone", 1, True),
        ("gone", 1, False),
    ):
        statistics.record_end("page", outcome, attempts, 2.5, in_time)
    reducer.handle(NOW + SECOND, inputs.ControlRequest(7, inputs.ControlOperation.OUT_OF_SERVICE))
    effect_list = reducer.handle(NOW + 3 * SECOND, inputs.ControlRequest(8, inputs.ControlOperation.STATE))
    (response,) = [e for e in effect_list if isinstance(e, effects.ControlResponse)]
    return encode_control_response(
        response.ok, {**response.fields, "memory_kb": 31_744}
    )  # the event loop adds the memory


def deterministic_files() -> dict[str, bytes]:
    """Return the deterministic files, by name."""
    return {
        "service_drained.json": encode_service("n3", 4711, NOW + 123 * MS, False, NOW - 2 * SECOND),
        "service_in.json": encode_service("n3", 4712, NOW + 456 * MS, True, NOW + 400 * MS),
        "service_ended.json": encode_service(
            "n3", 4711, NOW + 789 * MS, False, NOW - 2 * SECOND, NOW + 788 * MS
        ),
        "starts_one.starts": encode_starts("n3", [], NOW + 123 * MS),
        "starts_loop.starts": encode_starts(
            "n3", [NOW + n * 2_027 * MS for n in range(5)], NOW + 5 * 2_027 * MS
        ),
        "control_state.http": control_state(),
        "watch_unmarked.http": encode_watch_request(("10.0.0.9", 7000), 41, 1_000),
        "watch_marked.http": encode_watch_request(("10.0.0.9", 7000), 42, 5_000, "a0b1c2d3e4f50617"),
        "replica_refused.http": encode_unavailable("stale", 1),
        "replica_bad.http": encode_bad_request("a call with a body"),
        **replica_responses(),
    }


def rollouts() -> tuple[dict[str, bytes], SimulatedFleet]:
    """Return the files of rollouts in all outcomes and router phases, and the fleet that was rolled back."""

    def regression_of_new_build(fleet: SimulatedFleet, node: SimulatedRouter, request_class: str) -> float:
        return 0.3 if node.build == "beef" else 0.0

    plan, diagnostics = load_plan(PLAN.encode())
    assert not diagnostics, diagnostics
    running = SimulatedFleet(plan, 1, lambda fleet, node, request_class: 0.0)
    for _ in range(200):
        running.run_second()
    assert running.rollout.outcome is RolloutOutcome.RUNNING
    assert running.rollout.judge.tests
    held_by_operator = SimulatedFleet(plan, 2, lambda fleet, node, request_class: 0.0)
    for _ in range(60):
        held_by_operator.run_second()
    held_by_operator.deliver(OperatorCommand.HOLD)
    held_for_silence = SimulatedFleet(plan, 5, lambda fleet, node, request_class: 0.0)
    for name in ("n1-1", "n2-1"):
        held_for_silence.routers[name].silent_until_ns = 1 << 80
    for _ in range(60):
        held_for_silence.run_second()
    assert held_for_silence.rollout.outcome is RolloutOutcome.HELD
    assert held_for_silence.rollout.hold_cause is HoldCause.SILENCE
    done = SimulatedFleet(plan, 6, lambda fleet, node, request_class: 0.0)
    assert done.run() is RolloutOutcome.DONE
    rolled_back = SimulatedFleet(plan, 3, regression_of_new_build)
    while rolled_back.rollout.outcome is RolloutOutcome.RUNNING:
        rolled_back.run_second()
    reverting = orjson.dumps(to_snapshot(rolled_back.rollout))
    assert rolled_back.rollout.outcome is RolloutOutcome.ROLLING_BACK
    assert rolled_back.run() is RolloutOutcome.ROLLED_BACK
    phases = SimulatedFleet(plan, 4, lambda fleet, node, request_class: 0.0)
    for _ in range(20):
        phases.run_second()
    assert len(phases.rollout.routers) == len(Phase)
    for n, (router, phase) in enumerate(zip(phases.rollout.routers.values(), Phase, strict=True)):
        router.phase, router.phase_since_ns = phase, 1_000 * SECOND + n
        router.instance_before_restart = f"was-{n}"
    next(iter(phases.rollout.routers.values())).last_report = None
    fleets = {
        "running": running,
        "held": held_by_operator,
        "silent": held_for_silence,
        "done": done,
        "taken_back": rolled_back,
        "phases": phases,
    }
    files = {
        f"snapshot_{name}.json": orjson.dumps(to_snapshot(fleet.rollout)) for name, fleet in fleets.items()
    }
    return {"plan.kdl": PLAN.encode(), "snapshot_reverting.json": reverting, **files}, rolled_back


def write_database(path: Path, rolled_back: SimulatedFleet, running: dict[str, Any]) -> None:
    """Write a rolled back run with its history, and a running one with a lease and three pending commands."""
    store = RolloutStore(str(path))
    plan = PLAN.encode()
    first = store.create_run(NOW, plan, to_snapshot(rolled_back.rollout))
    store.acquire_lease(first, "4711-00c0ffee", NOW + SECOND)
    store.commit_step(
        first,
        "4711-00c0ffee",
        NOW + 2 * SECOND,
        to_snapshot(rolled_back.rollout),
        rolled_back.rollout.outcome.value,
        rolled_back.history,
    )
    store.release_lease(first, "4711-00c0ffee")
    second = store.create_run(NOW + 60 * SECOND, plan, running)
    store.acquire_lease(second, "4712-0badcafe", NOW + 61 * SECOND)
    for n, verb in enumerate(("hold", "resume", "revert", "stop")):
        store.add_operator_command(second, NOW + (62 + n) * SECOND, verb)
    store.commit_step(second, "4712-0badcafe", NOW + 70 * SECOND, running, "running", [], 1)
    store.close()


def digests() -> bytes:
    """Return the SHA-256 of the tests' recorded exchanges and operator's files, one per line, by path."""
    paths = [p for folder in RECORDED for p in (ROOT / folder).rglob("*") if p.is_file()]
    return "".join(
        f"{hashlib.sha256(p.read_bytes()).hexdigest()}  {p.relative_to(ROOT).as_posix()}\n"
        for p in sorted(paths)
    ).encode()


def main() -> int:
    FOLDER.mkdir(parents=True, exist_ok=True)
    if not (FOLDER / "config.json").exists():
        (FOLDER / "config.json").write_bytes((ROOT / "examples/config.json").read_bytes())
    snapshots, rolled_back = rollouts()
    for name, data in {**deterministic_files(), **snapshots, "digests.txt": digests()}.items():
        if not (FOLDER / name).exists():
            (FOLDER / name).write_bytes(data)
    database = FOLDER / "rollouts.db"
    if not database.exists():
        write_database(database, rolled_back, orjson.loads(snapshots["snapshot_running.json"]))
    return 0


if __name__ == "__main__":
    sys.exit(main())
