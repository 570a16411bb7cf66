"""Stateful test of the control log: replicas, routers, restarts, cut links and renumbering, in virtual time.

A published drain or purge must be in force at every connected router within a bounded time.  No earlier state
may revert what a router has applied, and the request rate at each replica must stay bounded.
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
HEALED_NS = 12 * SECOND  # a lease, the moves past all replicas, and twice the clock difference
CALLS_MOST = 12  # watch requests of one router at all replicas in a second: one per batch interval, and moves
PURGE_SPAN_NS = 66 * SECOND  # of the example's settings


def fleet() -> VirtualNetwork:
    """Returns two replicas that watch the list service, and one that watches these two."""
    first = ReplicaOptions((SERVICE,), purge_span_ns=PURGE_SPAN_NS)
    peers = (address_of(1), address_of(2))
    behind = ReplicaOptions(peers, frozenset(peers), batch_ns=200 * MS, purge_span_ns=PURGE_SPAN_NS)
    return VirtualNetwork(SIZE, [first, first, behind], SKEWS_NS)


class ControlMachine(RuleBasedStateMachine):
    def __init__(self) -> None:
        super().__init__()
        self.net = fleet()
        self.net.run(2 * SECOND)
        self.gone: set[str] = set()  # drained and not started again
        self.purges: dict[int, int] = {}  # by object: when it was purged
        self.known_gone: dict[str, set[str]] = {r.name: set() for r in self.net.routers}
        self.known_purges: dict[str, dict[int, int]] = {r.name: {} for r in self.net.routers}
        self.made = 0

    # Rules ------------------------------------------------------------------------------------------------

    @rule(ms=st.sampled_from([20, 150, 700, 3_000]))
    def time_passes(self, ms: int) -> None:
        self.net.run(ms * MS)

    @precondition(lambda self: self.net.service.up)
    @rule(count=st.integers(1, 3))
    def purge(self, count: int) -> None:
        for _ in range(count):
            self.made += 1
            self.purges[self.made] = self.net.now
            self.net.service.tell(purge={"key": f"{self.made:016x}", "at": self.net.now // MS})

    @precondition(lambda self: self.net.service.up and len(self.gone) < 8)
    @rule(number=st.integers(0, 1))
    def drain(self, number: int) -> None:
        name = sorted(set(self.net.service.lines) - self.gone - {"origin"})[number]
        self.gone.add(name)
        self.net.service.change(name, "leaving")

    @precondition(lambda self: self.net.service.up and self.gone)
    @rule()
    def come_back(self) -> None:
        """A drained server starts again."""
        name = min(self.gone)
        self.gone.discard(name)
        for known in self.known_gone.values():
            known.discard(name)
        self.net.service.change(name, "active", self.net.now // MS)

    @rule(a=st.integers(0, 3), b=st.integers(1, 3), router=st.integers(-1, 3))
    def cut(self, a: int, b: int, router: int) -> None:
        """Cuts or restores a link between a router and a replica, or between a replica and its upstream."""
        one = f"router-{router}" if router >= 0 else "service" if a == 0 else f"replica-{a}"
        self.net.cut ^= {frozenset((one, f"replica-{b}"))}

    @rule(number=st.integers(0, 2))
    def kill_or_start(self, number: int) -> None:
        replica = self.net.replicas[number]
        replica.kill() if replica.up else replica.start()

    @rule()
    def restart_service(self) -> None:
        """Restarts the list service, which counts from 1 and no longer sends earlier purges.

        Those purges are required only at routers that already have them.
        """
        self.net.service.restart()
        self.purges.clear()

    @rule()
    def stop_or_start_service(self) -> None:
        service = self.net.service
        service.up = not service.up
        if not service.up:
            for call in service.waiting[:]:
                service.waiting.remove(call)
                self.net.fail(call)

    @rule(number=st.integers(0, 3))
    def restart_router(self, number: int) -> None:
        router = self.net.routers[number]
        router.start()
        self.known_gone[router.name], self.known_purges[router.name] = set(), {}

    # Invariants -------------------------------------------------------------------------------------------

    @invariant()
    def nothing_is_undone(self) -> None:
        for router in self.net.routers:
            serving, known = router.serving(), self.known_gone[router.name]
            assert not serving & known, (router.name, serving & known)
            known |= self.gone - serving
            purged, told = router.purged(), self.known_purges[router.name]
            for number, at in told.items():
                assert number in purged or self.net.now - at > PURGE_SPAN_NS, (router.name, number)
            told.update({n: self.purges[n] for n in purged if n in self.purges})

    @invariant()
    def calls_are_bounded(self) -> None:
        for replica in self.net.replicas:
            late = [at for at in replica.calls if at > self.net.now - SECOND]
            assert len(late) <= CALLS_MOST * (SIZE.routers + 1), len(late)
            replica.calls = late

    def teardown(self) -> None:
        """Restores everything; every router must catch up soon."""
        self.net.cut.clear()
        self.net.service.up = True
        for replica in self.net.replicas:
            if not replica.up:
                replica.start()
        self.net.run(HEALED_NS)
        self.nothing_is_undone()
        active = {name for name, line in self.net.service.lines.items() if line["status"] == "active"}
        for router in self.net.routers:
            assert router.serving() == active, (router.name, router.serving() ^ active)
            if router.starts == 1:
                due = {n for n, at in self.purges.items() if self.net.now - at < PURGE_SPAN_NS - SECOND}
                assert due <= router.purged(), (router.name, due - router.purged())


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
