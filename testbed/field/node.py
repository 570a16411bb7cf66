"""One router of a field and the processes that it runs in turn."""

from __future__ import annotations

import http.client
import json
import os
import signal
import socket
import subprocess
import sys
import time
from pathlib import Path
from typing import TYPE_CHECKING, Any

from testbed.field.relay import Relay
from testbed.stand_ins import MAX_WAIT_S, MS, ROOT

if TYPE_CHECKING:
    from testbed.field.field import RouterField

PACE_KB_PER_S = 1_000.0  # transfer rate that converts a request's size to work
LATENCY_OBJECTIVE_NS = 150 * MS  # of every request class
DRAIN_TIMEOUT_S = 3.7  # longer than the longest deadline; an old process that still runs then is killed
HOSTS_PER_NETWORK = 250  # nodes in one 127.1.x.0/24 network of loopback
POLL_S = 0.02


def reserve_port(host: str) -> socket.socket:
    """Reserve a free port of a node's address: bind a socket to it that does not listen.

    The kernel gives the port to no other socket until this one is closed. A router's listener, which sets
    SO_REUSEADDR as this socket does, can still bind it.
    """
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind((host, 0))
    return sock


class RouterNode:
    """One router, which keeps its addresses and its folder while its processes are replaced."""

    def __init__(self, field: RouterField, name: str, zone: str) -> None:
        """Write the configuration; ``start`` starts the first process."""
        self.field = field
        self.name = name
        self.zone = zone
        self.folder = Path(field.folder.name) / name
        self.folder.mkdir()
        number = len(field.nodes)
        self.host = f"127.1.{number // HOSTS_PER_NETWORK}.{number % HOSTS_PER_NETWORK + 1}"
        self.reserved_ports: list[socket.socket] = []  # bound as long as the node exists
        self.address = self._reserve_address()
        self.control_address = self._reserve_address()
        self.listener: socket.socket | None = None  # inherited by all its processes
        self.control_relay: Relay | None = None  # to the control address of the newest process
        if field.share_listener:
            self.listener = socket.create_server((self.host, 0), backlog=128)
            self.address = self.listener.getsockname()[:2]
            self.control_relay = Relay(self.control_address)
        self.started_builds: list[str] = []  # in the order of their starts
        self.process: subprocess.Popen[bytes] | None = None
        self.config = self._configuration()
        self.write(self.config)
        (self.folder / "rules.kdl").write_text(field.node_rules)

    def _reserve_address(self) -> tuple[str, int]:
        """Reserve a port of this node's address, which stays free over restarts of the router."""
        self.reserved_ports.append(reserve_port(self.host))
        return self.host, int(self.reserved_ports[-1].getsockname()[1])

    def release_ports(self) -> None:
        """Release the reserved ports; call this after the last process has ended."""
        for sock in self.reserved_ports:
            sock.close()

    def _configuration(self) -> dict[str, Any]:
        """The example's configuration, adapted to this field."""
        field = self.field
        example = json.loads((ROOT / "examples/config.json").read_text())
        return {
            **example,
            "name": self.name,
            "listen": f"{self.host}:{self.address[1]}",
            "mgmt": f"{self.host}:{self.control_address[1]}",
            "feed": field.servers.feed_address(),
            "known": {"n": 1, "events": [field.servers.endpoint_snapshot()]},
            "settings": self._settings(example["settings"]),
        }

    def _settings(self, example: dict[str, Any]) -> dict[str, Any]:
        """The example's settings with this field's zones, size and replaced values."""
        field = self.field
        number = field.zones.index(self.zone) * field.routers_per_zone + int(self.name.rpartition("-")[2])
        settings = {
            **example,
            "az": self.zone,
            "dcs": [*field.zones, "hub"],
            "family_info": {
                **example["family_info"],
                "hub_of": [len(field.zones)] * (len(field.zones) + 1),
                "instances_by_zone": [field.routers_per_zone] * len(field.zones) + [0],
                "pace_kb_per_s": PACE_KB_PER_S,
            },
            "instances": field.routers_per_zone * len(field.zones),
            "self_index": number,
            "weight_source": "nominal",
            "classes": [{**c, "aim_ns": LATENCY_OBJECTIVE_NS} for c in example["classes"]],
            "limits": {**example["limits"], "probing": True},
        }
        for key, value in field.settings.items():
            settings[key] = {**settings[key], **value} if isinstance(value, dict) else value
        return settings

    def write(self, config: dict[str, Any]) -> None:
        """Write the configuration file, which the next process reads at its start or this one at SIGHUP."""
        (self.folder / "config.json").write_text(json.dumps(config))

    def log(self) -> str:
        """The log of all its processes."""
        return (self.folder / "log").read_text()

    def start(self, build: str, keep: bool = False) -> None:
        """Start a process of this build.

        The predecessor has ended, or still accepts connections on the same socket.

        Args:
            build: The build's name in the field.
            keep: Leave the configuration file as it is; by default it is written with the present list.
        """
        self.started_builds.append(build)
        self.config["known"]["events"] = [self.field.servers.endpoint_snapshot()]
        if len(self.started_builds) > 1 and not keep:
            self.write(self.config)
        with (self.folder / "log").open("a") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-O", "-m", "kelpcroft"],
                cwd=self.field.builds[build],
                env=self._environment(),
                stdout=log,
                stderr=log,
                pass_fds=(self.listener.fileno(),) if self.listener else (),
            )

    def _environment(self) -> dict[str, str]:
        env = {
            **os.environ,
            "ROUTER_CONFIG": str(self.folder / "config.json"),
            "ROUTER_RULES": str(self.folder / "rules.kdl"),
            "ROUTER_LOG": "json",
            "TMPDIR": str(self.folder),
        }
        if self.listener:
            env["ROUTER_FD"] = str(self.listener.fileno())
            env["ROUTER_MGMT"] = f"{self.host}:{self.control_address[1]}"
        return env

    def is_running(self) -> bool:
        """Whether its newest process is running."""
        return self.process is not None and self.process.poll() is None

    def serves(self) -> bool:
        """Whether the newest process reports that it is ready, or that it is only out of service."""
        connection = http.client.HTTPConnection(*self.control_address, timeout=2)
        try:
            connection.request("GET", "/control/state")
            state = json.loads(connection.getresponse().read())
            return bool(state["ready"] or state["why"] == "out of service")
        except (OSError, http.client.HTTPException, ValueError):
            return False
        finally:
            connection.close()

    def upgrade(self, build: str) -> None:
        """Start a new process beside the old one on the same socket.

        Once the new process serves, the old one receives SIGTERM; it is killed if it still runs after the
        longest deadline. The callbacks of ``field.on_upgrade_step`` run between these steps.
        """
        old = self.process
        if self.is_running() and self.started_builds[-1] == build:
            return
        self.control_address = self._reserve_address()
        self.start(build)
        new = self.process
        deadline_s = time.monotonic() + MAX_WAIT_S
        while new and new.poll() is None and not self.serves() and time.monotonic() < deadline_s:
            time.sleep(POLL_S)
        assert self.control_relay is not None
        self.control_relay.target = self.control_address
        self.field.run_step_callback("ready", self, old, new)
        if old and old.poll() is None:
            old.send_signal(signal.SIGTERM)
            self.field.run_step_callback("signalled", self, old, new)
            wait_or_kill(old, DRAIN_TIMEOUT_S)
        self.field.run_step_callback("ended", self, old, new)

    def end(self, signal_number: int = signal.SIGTERM) -> None:
        """Send a signal to the process and wait for its end; kill it if it does not end in time."""
        if self.process and self.process.poll() is None:
            self.process.send_signal(signal_number)
            wait_or_kill(self.process, MAX_WAIT_S)

    def change(self, build: str) -> None:
        """Restart the router with this build; does nothing if that build is already running."""
        is_same_build = bool(self.started_builds) and self.started_builds[-1] == build
        if not is_same_build or not self.is_running():
            self.end()
            self.start(build)


def wait_or_kill(process: subprocess.Popen[bytes], timeout_s: float) -> None:
    """Wait for a process to end; kill it if it does not end in time."""
    try:
        process.wait(timeout_s)
    except subprocess.TimeoutExpired:
        process.kill()
        process.wait()
