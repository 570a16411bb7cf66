"""One seeded run of a router under crowds of clients and series of signals, and the faults that it shows.

The seed decides the memory limit, the crowds and the signals: reloads, kills with a restart a second later,
or upgrades, in which SIGTERM is followed by SIGKILL at the earliest time that the platform promises.  Clients
that behave use their open connections throughout.
"""

from __future__ import annotations

import random
import signal
import socket
import subprocess
import threading
import time
from contextlib import ExitStack
from dataclasses import dataclass, field
from pathlib import Path

from testbed.crowds import KINDS, BehavingClients, Crowd, CrowdResult, RequestRecord, crowd_server
from testbed.router_process import RouterProcess, resident_mb
from testbed.stand_ins import ROOT, StandInServers

LIMITS_MB = (32, 48, 64, 96, 192)
MIN_UPGRADE_LIMIT_MB = 64  # two idle processes pass a lower one
DESCRIPTORS = 1_024
BACKLOG = 1_024
LONGEST_DEADLINE_S = 3.0
KILL_AFTER_S = LONGEST_DEADLINE_S + 0.7  # from SIGTERM to SIGKILL
RESTART_S = 1.0  # from a kill to the next start
READY_S = 2.0  # the new process of an upgrade serves by then
SAMPLE_S = 0.005
LATE_S = 2.0  # clients may notice a kill this much later
CROWDS = (1, 2)  # number of crowds, one after the other
SIGNALS = ("reload", "kill", "upgrade")


@dataclass
class SoakResult:
    """What one run showed.

    Attributes:
        plan: What the seed has decided.
        peak_mb: The highest sum of the memory of all processes.
        faults: What must not happen and did.
    """

    plan: str
    peak_mb: float = 0.0
    faults: list[str] = field(default_factory=list)


class MemorySoak:
    """One run.  ``run`` returns its result."""

    def __init__(self, seed: int, program: Path) -> None:
        chance = random.Random(seed)
        self.program = program
        self.signal = chance.choice(SIGNALS)
        limits = [limit for limit in LIMITS_MB if self.signal != "upgrade" or limit >= MIN_UPGRADE_LIMIT_MB]
        self.limit_mb = chance.choice(limits)
        self.crowds = [
            tuple(chance.sample(KINDS, chance.choice((1, 2, 3, len(KINDS)))))
            for _ in range(chance.choice(CROWDS))
        ]
        self.signal_times_s = sorted(chance.uniform(0.3, 4.0) for _ in range(chance.choice((1, 2))))
        self.crowd_seeds = [chance.getrandbits(32) for _ in self.crowds]
        crowds = ", then ".join("+".join(kinds) for kinds in self.crowds)
        times = ", ".join(f"{at_s:.2f}" for at_s in self.signal_times_s)
        self.result = SoakResult(f"{self.limit_mb} MB, {self.signal} at {times} s, {crowds}")
        self.routers: list[RouterProcess] = []
        self.kill_times_s: list[float] = []
        self.crowd_results: list[CrowdResult] = []

    def run(self) -> SoakResult:
        """Run the crowds and the signals, and check what came of them."""
        with ExitStack() as stack:
            self.stack = stack
            self.servers = stack.enter_context(StandInServers(crowd_server))
            self.listener = stack.enter_context(socket.create_server(("127.0.0.1", 0), backlog=BACKLOG))
            self.address = self.listener.getsockname()[:2]
            self.start()
            self.routers[0].client().sock.close()
            stop = threading.Event()
            sampler = threading.Thread(target=self.sample_memory, args=(stop,))
            sampler.start()
            try:
                with BehavingClients(self.address, orders=2) as clients:
                    self.play()
            finally:
                stop.set()
                sampler.join()
            self.check_processes()
            self.check_behaving(clients.records)
            self.check_crowds()
        return self.result

    def start(self, predecessor: RouterProcess | None = None) -> RouterProcess:
        """Start a process."""
        router = self.stack.enter_context(
            RouterProcess(
                self.servers,
                rules=(ROOT / "deploy/routes.kdl").read_text(),
                program=self.program,
                release=True,
                listener=self.listener,
                predecessor=predecessor,
                limits={"memory_mb": self.limit_mb, "sockets": DESCRIPTORS},
            )
        )
        self.routers.append(router)
        return router

    def play(self) -> None:
        """Run the crowds beside the signals."""
        signals = threading.Thread(target=self.send_signals)
        signals.start()
        for kinds, seed in zip(self.crowds, self.crowd_seeds, strict=True):
            self.crowd_results.append(Crowd(self.address, kinds, seed).run())
        signals.join()

    def send_signals(self) -> None:
        """Send the signals of the plan."""
        began_s = time.monotonic()
        for at_s in self.signal_times_s:
            time.sleep(max(0.0, began_s + at_s - time.monotonic()))
            {"reload": self.reload, "kill": self.kill, "upgrade": self.upgrade}[self.signal]()

    def reload(self) -> None:
        """Have the configuration read again."""
        self.routers[-1].process.send_signal(signal.SIGHUP)

    def kill(self) -> None:
        """Kill the process, and start it again."""
        router = self.routers[-1]
        if router.process.poll() is not None:
            self.result.faults.append("the process had ended before the kill")
        self.kill_times_s.append(time.monotonic())
        router.process.kill()
        router.process.wait()
        time.sleep(RESTART_S)
        self.start(self.routers[0])

    def upgrade(self) -> None:
        """Start a second process, and end the first."""
        old = self.routers[-1]
        new = self.start(self.routers[0])
        self.wait_until_listening(new)
        old.process.terminate()
        try:
            old.process.wait(KILL_AFTER_S)
        except subprocess.TimeoutExpired:
            self.kill_times_s.append(time.monotonic())
            old.process.kill()
        old.process.wait()

    def wait_until_listening(self, router: RouterProcess) -> None:
        """Wait until a process accepts clients."""
        end_s = time.monotonic() + READY_S
        while time.monotonic() < end_s:
            if any(event["event"] == "router.listens" for event in router.log_events()):
                return
            time.sleep(0.01)

    def sample_memory(self, stop: threading.Event) -> None:
        """Record the highest sum of the memory of all processes."""
        while not stop.wait(SAMPLE_S):
            used_mb = sum(resident_mb(router) for router in list(self.routers))
            self.result.peak_mb = max(self.result.peak_mb, used_mb)

    # Checks -----------------------------------------------------------------------------------------------

    def check_processes(self) -> None:
        """Check that no process ended by itself, and that the memory limit held."""
        faults = self.result.faults
        if self.result.peak_mb > self.limit_mb:
            faults.append(f"{self.result.peak_mb:.1f} MB are over the limit of {self.limit_mb} MB")
        for router in self.routers[:-1]:
            if router.process.poll() not in (0, -signal.SIGKILL):
                faults.append(f"a process ended with {router.process.poll()}")
        if self.routers[-1].process.poll() is not None:
            faults.append(f"the last process ended with {self.routers[-1].process.poll()}")

    def check_behaving(self, records: list[RequestRecord]) -> None:
        """Check that each request has one response, unless a kill came between, and no order ran twice."""
        for record in records:
            is_lost = record.end in ("closed", "unanswered")
            if is_lost and not self.was_killed(record.started_s, record.ended_s):
                self.result.faults.append(f"a {record.kind} request was {record.end}")
            if record.kind == "order" and len(self.servers.requests(record.trace)) > 1:
                self.result.faults.append(f"the order {record.trace} was sent twice")

    def check_crowds(self) -> None:
        """Check that each complete request of the crowds has a response, unless a kill came between."""
        if self.kill_times_s:
            return
        for crowd in self.crowd_results:
            if crowd.unanswered or crowd.closed:
                missing = f"{crowd.unanswered} unanswered, {crowd.closed} closed"
                self.result.faults.append(f"of {crowd.complete} requests of a crowd: {missing}")

    def was_killed(self, started_s: float, ended_s: float) -> bool:
        """Whether a process was killed, and not yet replaced, while a request was open."""
        return any(started_s - LATE_S <= killed_s <= ended_s for killed_s in self.kill_times_s)
