"""A control plane of real processes: list services, control replicas behind relays, and hollow routers."""

from __future__ import annotations

import tempfile
from contextlib import ExitStack
from pathlib import Path
from typing import Any

from testbed.field.relay import Relay
from testbed.hollow.configuration import FleetSize
from testbed.hollow.processes import ControlReplica, LineProcess, hollow_routers, list_service, wait_for

CATCH_UP_TIMEOUT_S = 20.0  # routers that have not caught up by then count as failed


class ControlField:
    """Control replicas r0, r1, ..., each with a relay towards its watchers and one towards its upstream.

    Entering it as a context manager starts all processes; leaving it ends them.
    """

    def __init__(
        self, size: FleetSize, replicas: int = 2, service_count: int = 1, extra_lines: str = ""
    ) -> None:
        """Prepare the field without starting a process.

        Args:
            size: Numbers of routers, servers and zones.
            replicas: Number of control replicas.
            service_count: Number of independent list services; replica n watches number n modulo this.
            extra_lines: Further lines of the replicas' files.
        """
        self.size, self.replica_count, self.service_count, self.extra_lines = (
            size,
            replicas,
            service_count,
            extra_lines,
        )
        self.stack = ExitStack()

    def __enter__(self) -> ControlField:
        try:
            self.start()
        except BaseException:
            self.stack.close()
            raise
        return self

    def start(self) -> None:
        """Start all processes and relays."""
        self.folder = Path(self.stack.enter_context(tempfile.TemporaryDirectory()))
        self.services = [self.stack.enter_context(list_service(self.size)) for _ in range(self.service_count)]
        self.service = self.services[0]
        self.replicas: list[ControlReplica] = []
        self.upstream_relays: list[Relay] = []
        self.watcher_relays: list[Relay] = []
        for n in range(self.replica_count):
            port = self.services[n % self.service_count].first_line["port"]
            upstream = self.stack.enter_context(Relay(("127.0.0.1", port), delay_s=0.15))
            replica = ControlReplica(
                self.folder,
                f"r{n}",
                [f"127.0.0.1:{upstream.address[1]}"],
                extra_lines=self.extra_lines,
                size=self.size,
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

    def send_service_command(self, service: LineProcess | None = None, **command: Any) -> int:
        """Send a command to a list service, by default the first, and return the number of its last event."""
        return int((service or self.service).request(**command)["n"])

    def is_caught_up(self, number: int, servers: int, timeout_s: float = CATCH_UP_TIMEOUT_S) -> bool:
        """Whether within ``timeout_s`` all routers apply event ``number`` and use ``servers`` servers."""

        def has_caught_up() -> bool:
            report = self.routers.request()
            last_events = [router[-1][0] if router else 0 for router in report["seen"]]
            return min(last_events) >= number and set(report["in_service"]) == {servers}

        return wait_for(has_caught_up, timeout_s, 0.1)

    def watchers(self) -> list[int]:
        """The number of routers that currently watch each replica."""
        feed_ports = self.routers.request()["at"]
        return [feed_ports.count(relay.address[1]) for relay in self.watcher_relays]
