"""A control plane of real processes: a list service, control replicas behind relays, and hollow routers."""

from __future__ import annotations

import tempfile
from contextlib import ExitStack
from pathlib import Path
from typing import Any

from testbed.field.relay import Relay
from testbed.hollow.configuration import FleetSize
from testbed.hollow.processes import ControlReplica, LineProcess, hollow_routers, list_service, wait_for

LONGEST_S = 20.0  # who is not in step by then never will be


class ControlField:
    """Replicas r0, r1, ...: before each one a relay to its watchers, and one between it and upstream.

    A context manager.
    """

    def __init__(self, size: FleetSize, replicas: int = 2, services: int = 1, more: str = "") -> None:
        """``services``: list services that know nothing of each other; replica n watches the n-th."""
        self.size, self.count, self.services, self.more = size, replicas, services, more
        self.stack = ExitStack()

    def __enter__(self) -> ControlField:
        try:
            self.begin()
        except BaseException:
            self.stack.close()
            raise
        return self

    def begin(self) -> None:
        """Start all of it."""
        self.folder = Path(self.stack.enter_context(tempfile.TemporaryDirectory()))
        self.service_list = [self.stack.enter_context(list_service(self.size)) for _ in range(self.services)]
        self.service = self.service_list[0]
        self.replicas: list[ControlReplica] = []
        self.upstream_relays: list[Relay] = []
        self.watcher_relays: list[Relay] = []
        for n in range(self.count):
            port = self.service_list[n % self.services].first["port"]
            upstream = self.stack.enter_context(Relay(("127.0.0.1", port), delay_s=0.15))
            replica = ControlReplica(
                self.folder, f"r{n}", [f"127.0.0.1:{upstream.address[1]}"], more=self.more, size=self.size
            )
            self.stack.callback(replica.end)
            replica.start()
            self.replicas.append(replica)
            self.upstream_relays.append(upstream)
            relay = Relay(("127.0.0.1", replica.port), delay_s=0.15)
            self.watcher_relays.append(self.stack.enter_context(relay))
        addresses = " ".join(f'"127.0.0.1:{relay.address[1]}"' for relay in self.watcher_relays)
        rules = self.folder / "rules.kdl"
        rules.write_text(f"kelpcroft version=1\nreplicas {addresses}\n")
        fleet = hollow_routers(self.size, "127.0.0.1:1", str(rules), self.size.routers)
        self.routers: LineProcess = self.stack.enter_context(fleet)[0]

    def __exit__(self, *_: object) -> None:
        self.stack.close()

    def order_service(self, service: LineProcess | None = None, **order: Any) -> int:
        """An order to the list service: the number of the last event."""
        return int((service or self.service).ask(**order)["n"])

    def is_caught_up(self, number: int, servers: int, longest_s: float = LONGEST_S) -> bool:
        """Whether in time all routers have an event in force, and use so many servers."""

        def found() -> bool:
            report = self.routers.ask()
            known = [router[-1][0] if router else 0 for router in report["seen"]]
            return min(known) >= number and set(report["in_service"]) == {servers}

        return wait_for(found, longest_s, 0.1)

    def watchers(self) -> list[int]:
        """How many routers watch each replica now."""
        at = self.routers.ask()["at"]
        return [at.count(relay.address[1]) for relay in self.watcher_relays]
