"""Stateful test of the control log: replicas, routers, restarts, cut links and renumbering, in virtual time.

Every connected router must apply a published drain or purge within a bounded time.  No earlier state may
revert what a router has applied, and the request rate at each replica must stay bounded.
"""

from __future__ import annotations

import unittest

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from kelpcroft.control_log.messages import ReplicaOptions
from testbed.hollow.configuration import FleetSize
from testbed.hollow.virtual import MS, SECOND, VirtualNetwork, address_of

SIZE = FleetSize(routers=4, servers=12, zones=2)
SKEWS_NS = [0, 400 * MS, -400 * MS]
SERVICE = address_of(0)
RECOVERY_NS = 12 * SECOND  # a lease, moves to all other replicas, and twice the clock skew
MAX_REQUESTS_PER_S = 12  # watch requests of one router at all replicas: one per batch interval, and moves
PURGE_LIFETIME_NS = 66 * SECOND  # from the settings of examples/config.json


def fleet() -> VirtualNetwork:
    """Returns two replicas that watch the list service, and one that watches these two."""
    first = ReplicaOptions((SERVICE,), purge_lifetime_ns=PURGE_LIFETIME_NS)
    peers = (address_of(1), address_of(2))
    second_level = ReplicaOptions(
        peers, frozenset(peers), batch_ns=200 * MS, purge_lifetime_ns=PURGE_LIFETIME_NS
    )
    return VirtualNetwork(SIZE, [first, first, second_level], SKEWS_NS)


class ControlMachine(RuleBasedStateMachine):
    def __init__(self) -> None:
        super().__init__()
        self.network = fleet()
        self.network.run(2 * SECOND)
        self.drained: set[str] = set()  # drained and not started again
        self.purges: dict[int, int] = {}  # by object: when it was purged
        self.drained_at_router: dict[str, set[str]] = {r.name: set() for r in self.network.routers}
        self.purges_at_router: dict[str, dict[int, int]] = {r.name: {} for r in self.network.routers}
        self.purge_count = 0

    # Rules ------------------------------------------------------------------------------------------------

    @rule(ms=st.sampled_from([20, 150, 700, 3_000]))
    def time_passes(self, ms: int) -> None:
        self.network.run(ms * MS)

    @precondition(lambda self: self.network.service.up)
    @rule(count=st.integers(1, 3))
    def purge(self, count: int) -> None:
        for _ in range(count):
            self.purge_count += 1
            self.purges[self.purge_count] = self.network.now
            self.network.service.publish(
                purge={"key": f"{self.purge_count:016x}", "at": self.network.now // MS}
            )

    @precondition(lambda self: self.network.service.up and len(self.drained) < 8)
    @rule(number=st.integers(0, 1))
    def drain(self, number: int) -> None:
        name = sorted(set(self.network.service.lines) - self.drained - {"origin"})[number]
        self.drained.add(name)
        self.network.service.change_status(name, "leaving")

    @precondition(lambda self: self.network.service.up and self.drained)
    @rule()
    def come_back(self) -> None:
        """A drained server starts again."""
        name = min(self.drained)
        self.drained.discard(name)
        for drained in self.drained_at_router.values():
            drained.discard(name)
        self.network.service.change_status(name, "active", self.network.now // MS)

    @rule(a=st.integers(0, 3), b=st.integers(1, 3), router=st.integers(-1, 3))
    def cut(self, a: int, b: int, router: int) -> None:
        """Cuts or restores a link between a router and a replica, or between a replica and its upstream."""
        peer = f"router-{router}" if router >= 0 else "service" if a == 0 else f"replica-{a}"
        self.network.cut ^= {frozenset((peer, f"replica-{b}"))}

    @rule(number=st.integers(0, 2))
    def kill_or_start(self, number: int) -> None:
        replica = self.network.replicas[number]
        replica.kill() if replica.up else replica.start()

    @rule()
    def restart_service(self) -> None:
        """Restarts the list service, which counts from 1 and no longer sends earlier purges.

        After that, only routers that already have those purges must keep them.
        """
        self.network.service.restart()
        self.purges.clear()

    @rule()
    def stop_or_start_service(self) -> None:
        service = self.network.service
        service.up = not service.up
        if not service.up:
            for watch in service.waiting[:]:
                service.waiting.remove(watch)
                self.network.fail(watch)

    @rule(number=st.integers(0, 3))
    def restart_router(self, number: int) -> None:
        router = self.network.routers[number]
        router.start()
        self.drained_at_router[router.name], self.purges_at_router[router.name] = set(), {}

    # Invariants -------------------------------------------------------------------------------------------

    @invariant()
    def nothing_is_undone(self) -> None:
        for router in self.network.routers:
            usable, drained = router.usable_servers(), self.drained_at_router[router.name]
            assert not usable & drained, (router.name, usable & drained)
            drained |= self.drained - usable
            purged, known_purges = router.purged_objects(), self.purges_at_router[router.name]
            for number, at in known_purges.items():
                assert number in purged or self.network.now - at > PURGE_LIFETIME_NS, (router.name, number)
            known_purges.update({n: self.purges[n] for n in purged if n in self.purges})

    @invariant()
    def calls_are_bounded(self) -> None:
        for replica in self.network.replicas:
            recent = [at for at in replica.watch_request_times if at > self.network.now - SECOND]
            assert len(recent) <= MAX_REQUESTS_PER_S * (SIZE.routers + 1), len(recent)
            replica.watch_request_times = recent

    def teardown(self) -> None:
        """Restores everything; every router must catch up soon."""
        self.network.cut.clear()
        self.network.service.up = True
        for replica in self.network.replicas:
            if not replica.up:
                replica.start()
        self.network.run(RECOVERY_NS)
        self.nothing_is_undone()
        active = {name for name, line in self.network.service.lines.items() if line["status"] == "active"}
        for router in self.network.routers:
            assert router.usable_servers() == active, (router.name, router.usable_servers() ^ active)
            if router.starts == 1:
                required = {
                    n for n, at in self.purges.items() if self.network.now - at < PURGE_LIFETIME_NS - SECOND
                }
                assert required <= router.purged_objects(), (router.name, required - router.purged_objects())


ControlMachine.TestCase.settings = settings(
    max_examples=40,
    stateful_step_count=30,
    deadline=None,
    derandomize=True,
    suppress_health_check=[HealthCheck.too_slow, HealthCheck.data_too_large],
)
TestControlMachine = ControlMachine.TestCase


if __name__ == "__main__":
    unittest.main()
