"""Control replicas, a list service and routers as real processes, with failures injected between them.

After each failure the list service publishes a purge and a drain.  All routers must apply both, and the rate
of watch requests must stay bounded.
"""

from __future__ import annotations

import signal
import time
import unittest
from pathlib import Path
from tempfile import TemporaryDirectory

from testbed.field import ClientLoad, LinkMode, RouterField, build_program
from testbed.field.field import RULES
from testbed.hollow.configuration import FleetSize
from testbed.hollow.field import ControlField
from testbed.hollow.processes import ControlReplica, wait_for
from testbed.stand_ins import PROGRAM_DIR

SIZE = FleetSize(routers=12, servers=40, zones=3)
LEASE = 'lease "2s"'
# Watch requests of one router in a second: one per batch interval of 400 ms, and moves to another replica.
MAX_WATCH_REQUESTS_PER_S = 6


class Failures(unittest.TestCase):
    def field(self, replicas: int = 2, services: int = 1) -> ControlField:
        field = ControlField(SIZE, replicas, services, LEASE)
        field.__enter__()
        self.addCleanup(field.__exit__)
        self.drained = 0
        assert field.is_caught_up(1, SIZE.servers), "at the start"
        return field

    def publish_purge_and_drain(self, field: ControlField) -> int:
        """Publishes a purge and a drain; returns the event number of the drain."""
        field.send_service_command(do="history", purges=1, age_s=0)
        self.drained += 1
        return field.send_service_command(do="status", server=f"s-{self.drained:04x}", status="leaving")

    def assert_caught_up(self, field: ControlField, description: str) -> None:
        number = self.publish_purge_and_drain(field)
        assert field.is_caught_up(number, SIZE.servers - self.drained), description

    def assert_request_rate_bounded(self, field: ControlField, duration_s: float = 3.0) -> None:
        """Checks that for some seconds each replica receives at most the requests allowed to its watchers."""

        def received_requests() -> list[int]:
            states = [replica.state() for replica in field.replicas]
            return [state["answers"] + state["refusals"] if state else 0 for state in states]

        before, started_s = received_requests(), time.monotonic()
        time.sleep(duration_s)
        after, elapsed_s = received_requests(), time.monotonic() - started_s
        for count_before, count_after in zip(before, after, strict=True):
            assert (count_after - count_before) / elapsed_s <= MAX_WATCH_REQUESTS_PER_S * SIZE.routers

    def test_a_replica_killed_and_started_again(self) -> None:
        field = self.field()
        field.replicas[0].end()
        self.assert_caught_up(field, "one of two replicas is killed")
        assert field.watchers()[0] == 0, "a killed replica has no watchers"
        self.assert_request_rate_bounded(field)
        field.replicas[0].start()
        field.replicas[1].end()
        self.assert_caught_up(field, "the second replica is killed, the first has restarted")

    def test_a_replica_suspended_and_continued(self) -> None:
        """A replica is suspended and then continues; its watch connections stay open in the meantime.

        Its first responses afterwards show that it has no new events.
        """
        field = self.field()
        field.replicas[0].signal(signal.SIGSTOP)
        self.assert_caught_up(field, "one of two replicas is suspended")
        time.sleep(3.0)
        field.replicas[0].signal(signal.SIGCONT)
        self.assert_caught_up(field, "it has continued")
        self.assert_request_rate_bounded(field)

    def test_a_replica_cut_from_upstream(self) -> None:
        """A replica that is disconnected from upstream continues to respond.

        It reports that it is stale, and its watchers move to another replica.
        """
        field = self.field()
        field.upstream_relays[0].change(LinkMode.SILENT)
        self.assert_caught_up(field, "one of two replicas is disconnected from upstream")
        assert wait_for(lambda: (field.replicas[0].state() or {}).get("stale"), 10), (
            "it reports that it is stale"
        )
        assert wait_for(lambda: field.watchers()[0] == 0, 10), "its watchers have moved to the other replica"
        field.upstream_relays[0].change(LinkMode.PASS)
        field.upstream_relays[0].drop()
        assert wait_for(lambda: not (field.replicas[0].state() or {}).get("stale", True), 10)
        self.assert_caught_up(field, "it is connected again")

    def test_links_to_watchers_that_fail(self) -> None:
        """A link to a replica is silent, delayed or one-way, sends garbage, or cuts responses off.

        Routers move from a replica with such a link to the other one.
        """
        field = self.field()
        for mode in (LinkMode.SILENT, LinkMode.GARBAGE, LinkMode.CUT, LinkMode.DELAY, LinkMode.ONE_WAY):
            with self.subTest(mode=mode.value):
                field.watcher_relays[0].change(mode)
                self.assert_caught_up(field, mode.value)
                self.assert_request_rate_bounded(field, 1.0)
                field.watcher_relays[0].change(LinkMode.PASS)
                field.watcher_relays[0].drop()
                self.assert_caught_up(field, f"after {mode.value}")

    def test_a_list_service_that_numbers_from_one_again(self) -> None:
        field = self.field()
        self.assert_caught_up(field, "before")
        self.assert_caught_up(field, "before")
        field.send_service_command(do="restart")
        self.assert_caught_up(field, "numbers are lower than before the restart")
        self.assert_caught_up(field, "numbers are higher than before the restart")
        self.assert_request_rate_bounded(field)

    def test_half_of_the_routers_on_a_replica_that_lags(self) -> None:
        """One replica's upstream link has a round trip of 0.3 to 0.6 s.

        A drain still reaches all routers.  Routers that move between the two replicas neither revert to an
        earlier state nor apply an event twice.
        """
        field = self.field()
        field.upstream_relays[0].change(LinkMode.DELAY)
        for _ in range(3):
            self.assert_caught_up(field, "one replica lags")
        field.watcher_relays[1].drop()  # the routers of the fast replica try the other one
        self.assert_caught_up(field, "some routers have moved to the replica that lags")
        self.assert_request_rate_bounded(field)

    def test_two_replicas_that_disagree(self) -> None:
        """Two replicas watch different list services, and each has a drain that the other does not have."""
        field = self.field(services=2)
        first_service, second_service = field.services
        field.send_service_command(first_service, do="status", server="s-0001", status="leaving")
        field.send_service_command(second_service, do="status", server="s-0002", status="leaving")
        assert wait_for(lambda: set(field.routers.request()["in_service"]) == {SIZE.servers - 1}, 10)
        field.replicas[0].end()
        number = field.send_service_command(second_service, do="status", server="s-0003", status="leaving")
        assert field.is_caught_up(number, SIZE.servers - 2), (
            "all routers have the state of the second replica"
        )

    def test_an_upstream_that_stays_down(self) -> None:
        """Without an upstream, routers keep their endpoint list, and the request rate stays bounded."""
        field = self.field()
        self.assert_caught_up(field, "before")
        field.service.end()
        time.sleep(4.0)  # longer than the lease
        assert all((replica.state() or {}).get("stale") for replica in field.replicas)
        self.assert_request_rate_bounded(field)
        assert set(field.routers.request()["in_service"]) == {SIZE.servers - 1}, (
            "routers keep their endpoint list"
        )


class Counts(unittest.TestCase):
    def test_requests_bytes_and_state_of_a_small_fleet(self) -> None:
        """30 purges at 10 a second: the load of the list service depends on replicas and purges only.

        The load of a replica depends on its routers and the batch interval only.  The test checks counts and
        no times.
        """
        purges, rate = 30, 10.0
        with ControlField(SIZE, 2) as field:
            assert field.is_caught_up(1, SIZE.servers)
            before = field.service.request(do="stats")
            states_before = [replica.state() or {} for replica in field.replicas]
            field.service.request(do="purge", rate=rate, seconds=purges / rate)
            assert field.is_caught_up(purges + 1, SIZE.servers)
            after = field.service.request(do="stats")
            states_after = [replica.state() or {} for replica in field.replicas]
            elapsed_s = (after["now_ns"] - before["now_ns"]) / 1e9
            assert after["n"] == purges + 1
            watch_requests = after["calls"] - before["calls"]
            assert watch_requests <= 2 * (purges + 2 * elapsed_s + 2)
            assert after["bytes_out"] - before["bytes_out"] <= watch_requests * 60 + 2 * purges * 100
            responses = sum(
                b["answers"] - a["answers"] for a, b in zip(states_before, states_after, strict=True)
            )
            assert responses <= SIZE.routers * (2.5 * elapsed_s + 2)
            bytes_sent = sum(
                b["bytes_out"] - a["bytes_out"] for a, b in zip(states_before, states_after, strict=True)
            )
            snapshots = sum(
                b["snapshots"] - a["snapshots"] for a, b in zip(states_before, states_after, strict=True)
            )
            assert bytes_sent <= responses * 90 + SIZE.routers * purges * 100 + snapshots * 12000
            assert {s["purges"] for s in states_after} == {purges}
            assert {s["servers"] for s in states_after} == {SIZE.servers}


class UnderLoad(unittest.TestCase):
    def test_rules_hold_while_a_replica_is_killed_and_a_server_drains(self) -> None:
        """Routers serve clients while the replica of half of them is killed and a server starts to drain.

        The requests of clients break no rule and none is lost.
        """
        folder = TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        builds = {"old": PROGRAM_DIR, "new": build_program(Path(folder.name) / "new", "sound")}
        field = RouterField(2, 2, builds, caches_per_zone=3)
        replicas = [
            ControlReplica(Path(folder.name), f"r{n}", [field.servers.address_of("feed")]) for n in range(2)
        ]
        field.node_rules = RULES + "replicas " + " ".join(f'"{r.address}"' for r in replicas) + "\n"
        for replica in replicas:
            self.addCleanup(replica.end)
            replica.start()
        field.__enter__()
        self.addCleanup(field.__exit__)
        with ClientLoad(field) as load:
            assert wait_for(lambda: load.counts["served"] > 200, 30), load.counts
            watch_counts: list[int] = []

            def all_watch() -> bool:
                watch_counts[:] = [(replica.state() or {"watches": 0})["watches"] for replica in replicas]
                return sum(watch_counts) == 4

            assert wait_for(all_watch, 20), "all routers watch replicas"
            killed_replica = watch_counts.index(max(watch_counts))
            replicas[killed_replica].end()
            number = field.servers.change("cache-z0", "leaving")
            other_replica = replicas[1 - killed_replica]
            assert wait_for(lambda: (other_replica.state() or {}).get("last", 0) >= number, 20)
            served = load.counts["served"]
            assert wait_for(lambda: load.counts["served"] > served + 200, 30), load.counts
        assert load.counts["lost"] == 0, load.counts
        assert field.check_contract(load).violations == []


if __name__ == "__main__":
    unittest.main()
