"""Two processes of one router during a restart: together they never overload a cold server."""

from __future__ import annotations

import os
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import unittest
from collections import deque
from dataclasses import replace
from pathlib import Path

import orjson

from kelpcroft.core import effects, inputs
from kelpcroft.core.messages import TimerKind
from kelpcroft.decision import interface as api
from kelpcroft.decision.policy import RoutingPolicy
from kelpcroft.startup import RestartOverlap
from kelpcroft.store.handover import file_path as handover_path
from testbed.router_process import RouterClient
from testbed.stand_ins import MAX_WAIT_S, PROGRAM_DIR, SERVERS, StandInServers
from tests.support.exchange_player import EXAMPLE
from tests.support.policy_fixtures import (
    MS,
    RULES,
    S,
    forwarded_attempts,
    make_policy,
    send_request,
    servers,
    settings,
)
from tests.support.reducer_fixtures import NOW, effects_of_type, make_reducer

COLD = 100 * S


class Overlap(unittest.TestCase):
    def test_without_a_shared_listener_half_the_share_lasts_one_interval(self) -> None:
        overlap = RestartOverlap(settings(), is_shared=False)
        assert overlap.start(COLD) == 0.5
        overlap.on_serving(COLD + MS)
        overlap.on_predecessor_ended(COLD + 2 * MS, COLD)
        assert (
            overlap.budget_share(COLD + RULES.overload_collapse_ns - 1),
            overlap.budget_share(COLD + RULES.overload_collapse_ns),
        ) == (0.5, 1.0)

    def test_beside_a_predecessor_until_it_has_ended_or_must_have(self) -> None:
        overlap = RestartOverlap(settings(), is_shared=True)
        overlap.start(COLD)
        overlap.on_serving(COLD + 5 * S)
        assert overlap.budget_share(COLD + 17 * S) == 0.5, (
            "half until 6 s + 6 s (the longest deadline) + 0.7 s after it serves"
        )
        assert overlap.budget_share(COLD + 18700 * MS) == 1.0
        overlap.on_predecessor_ended(COLD + 9 * S, COLD + 8 * S)
        assert (overlap.budget_share(COLD + 9 * S - 1), overlap.budget_share(COLD + 9 * S)) == (0.5, 1.0)
        overlap.on_serving(COLD + 10 * S)
        assert overlap.budget_share(COLD + 10 * S) == 1.0, "the share never falls again"

    def test_an_end_in_the_future_counts_as_now(self) -> None:
        overlap = RestartOverlap(settings(), is_shared=True)
        overlap.start(COLD)
        overlap.on_predecessor_ended(COLD + S, COLD + 600 * S)
        assert overlap.budget_share(COLD + 2 * S) == 1.0

    def test_the_share_is_full_if_no_server_is_ever_cold(self) -> None:
        overlap = RestartOverlap(
            settings(cold_capacity_share=1.0, parent_cold_capacity_share=1.0), is_shared=False
        )
        assert overlap.start(COLD) == 1.0


def max_overload(policies: list[RoutingPolicy], size_kb: float, interval_ns: int) -> float:
    """Returns the most work that a cold cache is sent within a second, over the work that overloads it.

    Requests go to two processes in turn for four seconds from the cache's start.
    """
    sent: deque[tuple[int, float]] = deque()
    max_ratio = 0.0
    for n in range(4 * S // interval_ns):
        now = COLD + n * interval_ns
        policy = policies[n % 2]
        for attempt in forwarded_attempts(send_request(policy, now, f"r{n}", n, size_kb=size_kb)):
            if attempt.server == "c0":
                sent.append((now, size_kb / 1000 * S))
                policy.handle(
                    now + MS, api.AttemptEnded(attempt.id, 0, attempt.server, api.Outcome.OK, MS, True)
                )
        while sent and sent[0][0] <= now - RULES.overload_collapse_ns:
            sent.popleft()
        share = RULES.cold_capacity_share + (1 - RULES.cold_capacity_share) * (now - COLD) / RULES.warm_up_ns
        capacity = RULES.overload_collapse_multiple * share * 5 * RULES.overload_collapse_ns
        # A server with capacity for less than one request still gets at least one.
        max_ratio = max(
            max_ratio,
            (sum(work for _, work in sent) - (size_kb / 1000 * S if len(sent) == 1 else 0)) / capacity,
        )
    return max_ratio


class TwoProcesses(unittest.TestCase):
    def two_policies(self, *shares: float) -> list[RoutingPolicy]:
        records = [replace(s, started_ns=COLD) for s in servers() if s.name == "c0"]
        records += [s for s in servers() if s.role is not api.Role.CACHE]
        policies = []
        for share in shares:
            policy = make_policy(records)
            policy.handle(COLD, api.RouterShareChanged(share))
            policies.append(policy)
        return policies

    def test_the_sum_stays_below_the_overload(self) -> None:
        """Alone in its zone, a router's two processes together stay below the overload of the cache.

        Guards against each process spending 0.6 of its router's share, which is 1.2 together.
        """
        for size_kb in (20.0, 100.0, 400.0, 1_500.0):
            with self.subTest(size_kb=size_kb):
                assert max_overload(self.two_policies(1.0, 1.0), size_kb, 3 * MS) > 1.0, (
                    "two full shares overload the cache, so the test can fail"
                )
                assert max_overload(self.two_policies(1.0, 0.5), size_kb, 3 * MS) <= 1.0

    def test_the_successor_sends_requests(self) -> None:
        predecessor, successor = self.two_policies(1.0, 0.5)
        max_overload([predecessor, successor], 100.0, 3 * MS)
        assert successor.endpoints["c0"].work_sent.total > 0


class OverlapInTheReducer(unittest.TestCase):
    def test_the_decision_package_receives_half_and_then_the_full_share(self) -> None:
        r = make_reducer()
        assert r.state.policy.router_share == 0.5
        collapse_ns = r.state.settings.rules.overload_collapse_ns
        r.handle(NOW + collapse_ns, inputs.TimerFired((TimerKind.RESTART_OVERLAP, 0, 0)))
        assert r.state.policy.router_share == 1.0

    def test_with_a_shared_listener_it_polls_for_the_end_of_the_predecessor(self) -> None:
        r = make_reducer()
        r.service_state.shares_listener = r.restart_overlap.is_shared = True
        effect_list = r.start(NOW)
        assert effects_of_type(effects.ReadPredecessorState, effect_list)
        r.handle(NOW + S, inputs.PredecessorEnded(NOW - S))
        r.handle(NOW + 4 * S, inputs.TimerFired((TimerKind.RESTART_OVERLAP, 0, 0)))
        assert r.state.policy.router_share == 0.5, (
            "an earlier process has ended, not the predecessor, which still runs"
        )
        r.handle(NOW + 5 * S, inputs.PredecessorEnded(NOW + 5 * S))
        effect_list = r.handle(
            NOW + 5 * S + r.state.settings.rules.overload_collapse_ns,
            inputs.TimerFired((TimerKind.RESTART_OVERLAP, 0, 0)),
        )
        assert r.state.policy.router_share == 1.0
        assert effects_of_type(effects.ReadPredecessorState, effect_list) == []

    def test_its_own_end_is_persisted(self) -> None:
        r = make_reducer()
        r.service_state.shares_listener = True
        r.handle(NOW + S, inputs.ShutdownRequested())
        effect_list = r.handle(NOW + 3 * S, inputs.TimerFired((TimerKind.SHUTDOWN, 2, 0)))
        (persisted,) = effects_of_type(effects.PersistServiceState, effect_list)
        assert isinstance(persisted, effects.PersistServiceState)
        assert (persisted.is_in_service, persisted.ended_at_ns, persisted.shutdown_began_ns) == (
            True,
            NOW + 3 * S,
            NOW + S,
        )


class ColdStandIns(StandInServers):
    """Stand-ins whose list has weights, and in which one cache has just started."""

    def endpoint_snapshot(self) -> dict[str, object]:
        snapshot = super().endpoint_snapshot()
        for e in snapshot["members"]["endpoints"]:
            e["weight"] = 2
            if e["name"] == SERVERS["cache1"][0]:
                e["since_ms"] = time.time_ns() // MS
        return snapshot


class UpgradeOfProcesses(unittest.TestCase):
    """An upgrade while a cache is cold, on a listening socket that both processes inherit."""

    def start(self, folder: Path, listener: socket.socket, config: Path) -> subprocess.Popen[bytes]:
        with (folder / "log").open("a") as log:
            return subprocess.Popen(
                [sys.executable, "-O", "-m", "kelpcroft"],
                cwd=PROGRAM_DIR,
                stdout=log,
                stderr=log,
                pass_fds=(listener.fileno(),),
                env={
                    **os.environ,
                    "ROUTER_CONFIG": str(config),
                    "ROUTER_FD": str(listener.fileno()),
                    "TMPDIR": str(folder),
                },
            )

    def test_an_upgrade_beside_a_cold_cache(self) -> None:
        with (
            tempfile.TemporaryDirectory() as name,
            ColdStandIns(servers=("cache1", "parent", "origin")) as stand_ins,
            socket.create_server(("127.0.0.1", 0), backlog=64) as listener,
        ):
            folder, stop = Path(name), threading.Event()
            raw = {
                **EXAMPLE,
                "listen": "127.0.0.1:1",
                "feed": stand_ins.address_of("feed"),
                "mgmt": None,
                "known": {"n": 1, "events": [stand_ins.endpoint_snapshot()]},
            }
            raw.pop("mgmt")
            info = {**raw["settings"]["family_info"], "pace_kb_per_s": 1_000.0}
            contract = {
                **raw["settings"]["contract"],
                "cold_from": 0.2,
                "cold_ns": 600 * S,
                "fall_ns": S,
                "fall_multiple": 2.0,
            }
            raw["settings"] = {
                **raw["settings"],
                "family_info": info,
                "contract": contract,
                "weight_source": "nominal",
                "instances": 1,
            }
            config = folder / "config.json"
            config.write_bytes(orjson.dumps(raw))
            served = [0]

            def send_requests(number: int) -> None:
                client, sent = None, 0
                while not stop.is_set():
                    try:
                        client = client or RouterClient(
                            socket.create_connection(listener.getsockname()[:2], 2)
                        )
                        client.sock.settimeout(3)
                        sent += 1
                        response = client.request(
                            "page", object=f"{number:08x}{sent:08x}", more={"size": "20"}
                        )
                        served[0] += response.kind == "served"
                        if sent % 5 == 0:
                            raise ConnectionError(
                                "open another connection, which may reach the other process"
                            )
                    except OSError:
                        client = None
                    time.sleep(0.01)

            predecessor = self.start(folder, listener, config)
            processes = [predecessor]
            threads = [threading.Thread(target=send_requests, args=(n,), daemon=True) for n in range(12)]
            try:
                for thread in threads:
                    thread.start()
                deadline_s = time.monotonic() + MAX_WAIT_S
                while not served[0] and time.monotonic() < deadline_s:
                    time.sleep(0.02)
                processes.append(self.start(folder, listener, config))
                received_before = len(stand_ins.requests(server="cache1"))
                time.sleep(3)
                predecessor.send_signal(signal.SIGTERM)
                assert predecessor.wait(MAX_WAIT_S) == 0
                time.sleep(2.5)
            finally:
                stop.set()
                for process in processes:
                    process.kill()
                    process.wait()
            received_ns = [s.received_ns for s in stand_ins.requests(server="cache1")]
            assert len(received_ns) > received_before, "the cold cache is used"
            assert served[0] > 200
            # Each request is 0.02 s of work; 2.0 * 0.21 * 2 = 0.83 s of work in a second overloads the cache.
            max_per_s = max(sum(at <= x < at + S for x in received_ns) for at in received_ns)
            assert max_per_s <= 41, "requests to the cold cache in one second"
            handover = orjson.loads(Path(handover_path(str(folder), raw["name"])).read_bytes())
            assert handover["ended_ms"] > 0


if __name__ == "__main__":
    unittest.main()
