"""Peak memory of a router under crowds of clients: ``python -m benchmarks.memory_limit``.

Each scenario starts a router process with a memory limit and 1,024 descriptors, and connects a crowd of 340
clients.  It prints the peak of the process, how the crowd's requests ended, and how those of clients that
behave beside the crowd ended.  Exits with 1 if a process passed its limit or ended, or if a request that was
sent completely got no response.
"""

from __future__ import annotations

import argparse
import json
import socket
import sys
import threading
import time
from collections.abc import Callable, Iterator
from contextlib import ExitStack, contextmanager
from dataclasses import dataclass, field
from pathlib import Path

from testbed.crowds import KINDS, BehavingClients, BehavingResult, Crowd, CrowdResult, crowd_server
from testbed.router_process import RouterProcess, resident_mb
from testbed.stand_ins import PROGRAM_DIR, ROOT, StandInServers

LIMITS_MB = (32, 64, 192)
DESCRIPTORS = 1_024
BACKLOG = 1_024
SAMPLE_S = 0.005  # interval at which the memory of two processes is added
SETTLE_S = 0.5  # time between the start of the behaving clients and the crowd
SEED = 363
CROWDS_OF_NEW_OBJECTS = 4  # over 40,000 objects


@dataclass
class Outcome:
    """What one scenario showed.

    Attributes:
        idle_mb: Memory of the process before the crowd.
        peak_mb: Its peak; in an upgrade, the highest sum of both processes.
        crowd: How the crowd's requests ended.
        behaving: How the requests of the clients beside it ended.
        has_ended: A process has ended.
    """

    idle_mb: float = 0.0
    peak_mb: float = 0.0
    crowd: CrowdResult = field(default_factory=CrowdResult)
    behaving: dict[str, BehavingResult] = field(default_factory=dict)
    has_ended: bool = False

    def add(self, crowd: CrowdResult) -> None:
        """Add the result of one more crowd."""
        self.crowd.complete += crowd.complete
        self.crowd.answered += crowd.answered
        self.crowd.unanswered += crowd.unanswered
        self.crowd.closed += crowd.closed

    def unanswered(self) -> int:
        """Requests that got no response."""
        missing = self.crowd.unanswered + self.crowd.closed
        return missing + sum(
            result.ends["unanswered"] + result.ends["closed"] for result in self.behaving.values()
        )


class MemorySampler:
    """Samples the sum of the resident memory of processes.  A context manager."""

    def __init__(self, routers: list[RouterProcess]) -> None:
        self.routers = routers
        self.peak_mb = 0.0
        self.stopping = threading.Event()
        self.thread = threading.Thread(target=self._run, daemon=True)

    def __enter__(self) -> MemorySampler:
        self.thread.start()
        return self

    def __exit__(self, *_: object) -> None:
        self.stopping.set()
        self.thread.join()

    def _run(self) -> None:
        while not self.stopping.wait(SAMPLE_S):
            self.peak_mb = max(self.peak_mb, sum(resident_mb(router) for router in self.routers))


@dataclass
class Bench:
    """What the scenarios share: the program, the limits, and the stand-in servers."""

    program: Path
    memory_mb: int
    servers: StandInServers

    def router(
        self,
        stack: ExitStack,
        listener: socket.socket | None = None,
        predecessor: RouterProcess | None = None,
    ) -> RouterProcess:
        """Start a router process, whose settings do not limit the number of open requests."""
        settings = json.loads((ROOT / "examples/config.json").read_bytes())["settings"]
        limits = {key: value for key, value in settings["limits"].items() if key != "max_open"}
        return stack.enter_context(
            RouterProcess(
                self.servers,
                rules=(ROOT / "deploy/routes.kdl").read_text(),
                program=self.program,
                release=True,
                settings={"limits": limits},
                mgmt=listener is not None,
                listener=listener,
                predecessor=predecessor,
                limits={"memory_mb": self.memory_mb, "sockets": DESCRIPTORS},
            )
        )

    @contextmanager
    def running(self) -> Iterator[RouterProcess]:
        """A router process that accepts clients."""
        with ExitStack() as stack:
            router = self.router(stack)
            router.client().sock.close()
            yield router


def crowds(bench: Bench, *crowds: tuple[str, ...]) -> Outcome:
    """Crowds in a row at one process, each of the given kinds."""
    outcome = Outcome()
    with bench.running() as router:
        outcome.idle_mb = resident_mb(router)
        with behaving_clients(router.address, outcome):
            for index, kinds in enumerate(crowds):
                outcome.add(Crowd(router.address, kinds, SEED + index).run())
        finish(outcome, router)
    return outcome


def start(bench: Bench) -> Outcome:
    """A start into a mixture of crowds: its clients have connected and sent before the process starts."""
    outcome = Outcome()
    with ExitStack() as stack:
        listener = stack.enter_context(socket.create_server(("127.0.0.1", 0), backlog=BACKLOG))
        address = listener.getsockname()[:2]
        crowd = Crowd(address, KINDS, SEED)
        crowd.connect()
        router = bench.router(stack, listener)
        with behaving_clients(address, outcome):
            outcome.add(crowd.run())
        finish(outcome, router)
    return outcome


def upgrade(bench: Bench) -> Outcome:
    """An upgrade under a mixture of crowds: two processes on one listening socket."""
    outcome = Outcome()
    with ExitStack() as stack:
        listener = stack.enter_context(socket.create_server(("127.0.0.1", 0), backlog=BACKLOG))
        address = listener.getsockname()[:2]
        routers = [bench.router(stack, listener)]
        routers[0].client().sock.close()
        time.sleep(SETTLE_S)
        outcome.idle_mb = resident_mb(routers[0])
        with MemorySampler(routers) as sampler, behaving_clients(address, outcome):
            first, second = Crowd(address, KINDS, SEED), Crowd(address, KINDS, SEED + 1)
            thread = threading.Thread(target=lambda: outcome.add(first.run()))
            thread.start()
            time.sleep(SETTLE_S)
            routers.append(bench.router(stack, listener, routers[0]))
            time.sleep(SETTLE_S)
            routers[0].process.terminate()
            thread.join()
            outcome.add(second.run())
        outcome.peak_mb = sampler.peak_mb
        outcome.has_ended = routers[1].process.poll() is not None or bool(routers[0].process.poll())
    return outcome


@contextmanager
def behaving_clients(address: tuple[str, int], outcome: Outcome) -> Iterator[None]:
    """Behaving clients beside a crowd; their results are added to the outcome."""
    clients = BehavingClients(address)
    with clients:
        time.sleep(SETTLE_S)
        yield
    outcome.behaving = clients.results()


def finish(outcome: Outcome, router: RouterProcess) -> None:
    """Record the peak of a process, and whether it has ended."""
    outcome.has_ended = router.process.poll() is not None
    outcome.peak_mb = 0.0 if outcome.has_ended else router.peak_memory_mb()


SCENARIOS: dict[str, Callable[[Bench], Outcome]] = {
    **{kind: lambda bench, kind=kind: crowds(bench, (kind,)) for kind in KINDS},  # type: ignore[misc]
    "mixture": lambda bench: crowds(bench, KINDS),
    "in-a-row": lambda bench: crowds(bench, *[(kind,) for kind in KINDS], KINDS),
    "many-objects": lambda bench: crowds(bench, *[("new-objects",)] * CROWDS_OF_NEW_OBJECTS),
    "start": start,
    "upgrade": upgrade,
}


def is_held(outcome: Outcome, memory_mb: int) -> bool:
    """Whether the processes kept their limit, and answered every request that was sent completely."""
    return not outcome.has_ended and 0 < outcome.peak_mb <= memory_mb and not outcome.unanswered()


def describe(outcome: Outcome) -> str:
    """One line about an outcome."""
    crowd = outcome.crowd
    parts = [
        f"peak {outcome.peak_mb:.1f} MB (idle {outcome.idle_mb:.1f})",
        f"crowd: {crowd.complete} requests, {crowd.answered} answered",
        f"{crowd.unanswered} unanswered, {crowd.closed} closed",
    ]
    for kind, result in outcome.behaving.items():
        ends = ", ".join(f"{count} {end}" for end, count in sorted(result.ends.items()))
        parts.append(f"{kind}: {ends}; slowest {result.slowest_ms:.0f} ms")
    return "; ".join(parts) + ("; A PROCESS HAS ENDED" if outcome.has_ended else "")


def main() -> int:
    """Run the scenarios, and return the exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--program", type=Path, default=PROGRAM_DIR, help="folder of the program")
    parser.add_argument("--limit", type=int, action="append", help="memory limit in MB; may be repeated")
    parser.add_argument("--scenario", choices=SCENARIOS, action="append", help="may be repeated")
    arguments = parser.parse_args()
    failed = False
    for memory_mb in arguments.limit or LIMITS_MB:
        for name in arguments.scenario or SCENARIOS:
            with StandInServers(crowd_server) as servers:
                outcome = SCENARIOS[name](Bench(arguments.program, memory_mb, servers))
            failed = failed or not is_held(outcome, memory_mb)
            verdict = " OVER" if outcome.peak_mb > memory_mb else ""
            print(f"{memory_mb} MB, {name}{verdict}: {describe(outcome)}", flush=True)
    return int(failed)


if __name__ == "__main__":
    sys.exit(main())
