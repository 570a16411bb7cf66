"""Routers of several zones as real processes, each with its own folder, and their stand-in servers.

Everything that the field starts ends with it, also when the test fails. The kernel assigns the ports. A
router keeps its addresses over restarts. In a field with upgrades (``share_listener``) it also keeps its
listening socket, which each of its processes inherits. The agent listens for commands of a rollout:
``apply`` starts a router with the field's new build, ``undo`` with the old one.
"""

from __future__ import annotations

import signal
import socket
import sys
import tempfile
import threading
import time
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path
from typing import Any

from testbed.field.contract import ContractChecker, ContractRules
from testbed.field.load import ClientLoad
from testbed.field.node import RouterNode
from testbed.field.servers import ZonedServers
from testbed.stand_ins import MAX_WAIT_S, MS, ServerScript, respond_immediately

__all__ = ["RULES", "ClientLoad", "RouterField", "RouterNode"]

RULES = 'kelpcroft version=1\ncontrol state=#true\nroute "rest" { match; }\n'
ORIGIN = "origin"
DEFAULT_WORK_NS = 20 * MS  # work of a request whose size is unknown
POLL_S = 0.02


class RouterField:
    """Zones of routers, their stand-in servers, and the agent. A context manager."""

    def __init__(
        self,
        zones: int,
        routers_per_zone: int,
        builds: dict[str, Path],
        script: ServerScript = respond_immediately,
        caches_per_zone: int = 1,
        parents: int = 1,
        use_relays: bool = False,
        weight: float = 8.0,
        settings: dict[str, Any] | None = None,
        delay_s: float = 0.05,
        share_listener: bool = False,
        rules: str = RULES,
        cold: bool = False,
    ) -> None:
        """Prepare the field; entering the context starts its processes.

        Args:
            zones: Number of zones: z0, z1, ...
            routers_per_zone: Number of routers in each zone: z0-0, z0-1, ...
            builds: Folders of the program by build name. The field starts "old", and ``apply`` starts "new".
            script: Decides how stand-ins respond.
            caches_per_zone: Number of caches in each zone.
            parents: Number of parents.
            use_relays: Put a relay in front of every stand-in.
            weight: Weight of every stand-in in the list.
            settings: Values that replace keys of the routers' settings; tables are merged.
            delay_s: Delay of the relays in ``LinkMode.DELAY``.
            share_listener: Each router has a listening socket that all its processes share, for upgrades.
            rules: The operator's file.
            cold: All caches and parents start at the same time as the routers.
        """
        self.share_listener = share_listener
        self.node_rules = rules
        self.zones = tuple(f"z{n}" for n in range(zones))
        self.routers_per_zone = routers_per_zone
        self.builds = builds
        self.settings = settings or {}
        self.folder = tempfile.TemporaryDirectory()
        self.servers = ZonedServers(self.zones, script, caches_per_zone, parents)
        self.servers.weight = weight
        if use_relays:
            self.servers.relay([row.name for row in self.servers.rows], delay_s)
        self.is_cold = cold
        self.started_ns = 0
        # Carries out a command at a router; a test may put ``reload_config`` here.
        self.command_action: Callable[[RouterNode, str], None] = (
            self._upgrade if share_listener else self._restart
        )
        # Callbacks by step of an upgrade, called with the node, the old process and the new one.
        self.on_upgrade_step: dict[str, Any] = {}
        self.agent = socket.create_server(("127.0.0.1", 0))
        self.nodes: dict[str, RouterNode] = {}
        self.commands: list[tuple[str, str]] = []  # command and router, in order of arrival
        self.on_command: dict[str, Any] = {}  # callbacks by command, called with the node before it runs

    def __enter__(self) -> RouterField:
        if self.is_cold:
            now_ms = time.time_ns() // MS
            for row in self.servers.rows:
                if row.name != ORIGIN:
                    self.servers.published_lines[row.name] = self.servers.line(row.name, since_ms=now_ms)
        self.started_ns = time.monotonic_ns()
        self.servers.__enter__()
        for zone in self.zones:
            for number in range(self.routers_per_zone):
                self.nodes[f"{zone}-{number}"] = RouterNode(self, f"{zone}-{number}", zone)
        for node in self.nodes.values():
            node.start("old")
        threading.Thread(target=self._serve_commands, daemon=True).start()
        for node in self.nodes.values():
            self.wait_ready(node)
        return self

    def __exit__(self, *_: object) -> None:
        self.agent.close()
        for node in self.nodes.values():
            node.end(signal.SIGKILL)
            node.release_ports()
            if node.listener and node.control_relay:
                node.listener.close()
                node.control_relay.__exit__()
        for relay in self.servers.relays.values():
            relay.__exit__()
        self.servers.__exit__()
        self.folder.cleanup()

    def wait_ready(self, node: RouterNode) -> None:
        """Wait until a router accepts connections.

        Raises:
            RuntimeError: It does not accept them in time; the message contains the end of its log.
        """
        deadline_s = time.monotonic() + MAX_WAIT_S
        while time.monotonic() < deadline_s:
            try:
                socket.create_connection(node.address, 1).close()
            except OSError:
                time.sleep(POLL_S)
            else:
                return
        raise RuntimeError(
            f"{node.name} accepted no connection within {MAX_WAIT_S:g} s: {node.log()[-2_000:]}"
        )

    # Commands of a rollout --------------------------------------------------------------------------------

    def _serve_commands(self) -> None:
        """Carry out the agent's commands one at a time until its socket is closed."""
        while True:
            try:
                sock, _ = self.agent.accept()
            except OSError:
                return
            with sock:
                command, name = sock.makefile().readline().split()
                node = self.nodes[name]
                self.commands.append((command, name))
                if command in self.on_command:
                    self.on_command[command](node)
                self.command_action(node, command)
                with suppress(OSError):  # a controller that was killed does not read the response
                    sock.sendall(b"ok\n")

    def _restart(self, node: RouterNode, command: str) -> None:
        """Replace the running build with another."""
        node.change("new" if command == "apply" else "old")

    def _upgrade(self, node: RouterNode, command: str) -> None:
        """Start another build beside the running one, which then ends."""
        node.upgrade("new" if command == "apply" else "old")

    def run_step_callback(self, step: str, *arguments: Any) -> None:
        """Run the test's callback for a step of an upgrade, if there is one."""
        if step in self.on_upgrade_step:
            self.on_upgrade_step[step](*arguments)

    def reload_config(self, node: RouterNode, command: str) -> None:
        """Write the changed configuration on ``apply``, else the original one, and send SIGHUP."""
        assert node.process is not None
        node.started_builds.append("new" if command == "apply" else "old")
        node.write(self.changed_config(node.config) if command == "apply" else node.config)
        node.process.send_signal(signal.SIGHUP)

    def changed_config(self, config: dict[str, Any]) -> dict[str, Any]:
        """Make the new configuration from the old one; a test puts its own function here."""
        raise NotImplementedError

    # For tests --------------------------------------------------------------------------------------------

    def check_contract(
        self, load: ClientLoad, routers_were_killed: bool = False, links_were_cut: bool = False
    ) -> ContractChecker:
        """Check the traffic recorded so far; the other arguments are those of ``ContractChecker``."""
        settings = next(iter(self.nodes.values())).config["settings"]
        rows = self.servers.rows
        cold_starts_ns = {row.server_id: self.started_ns for row in rows if row.name != ORIGIN}
        return ContractChecker(
            self.servers,
            load.requests,
            ContractRules.of(settings, DEFAULT_WORK_NS),
            {row.name: (row.server_id, self.servers.weight) for row in rows},
            routers_were_killed,
            links_were_cut,
            cold_starts_ns if self.is_cold else {},
            frozenset(row.server_id for row in rows if row.kind == "parent"),
        )

    def rollout_plan(
        self,
        digest: str,
        extra_lines: str = "",
        control: dict[str, tuple[str, int]] | None = None,
        change: str = 'program build="{}"',
    ) -> str:
        """A rollout file for these routers, with intervals short enough for a test.

        Args:
            digest: Digest of the new build or configuration, formatted into ``change``.
            extra_lines: Further lines of the file.
            control: Control addresses by router that replace the routers' own.
            change: Content of the file's ``change`` node.
        """
        addresses = {name: node.control_address for name, node in self.nodes.items()}
        addresses |= {
            name: node.control_relay.address for name, node in self.nodes.items() if node.control_relay
        }
        addresses |= control or {}
        routers = [
            f'router "{name}" zone="{node.zone}" control="{addresses[name][0]}:{addresses[name][1]}"'
            for name, node in self.nodes.items()
        ]
        agent = f'"{sys.executable}" "-m" "testbed.field.agent" "{self.agent.getsockname()[1]}"'
        lines = [
            "rollout version=1",
            f"change {{ {change.format(digest)}; }}",
            *routers,
            'stage "one" count=1 least="3s" most="60s"',
            'stage "half" share="50%" least="3s" most="60s"',
            'stage "all" share="100%" least="3s" most="60s"',
            "limits at-once=2 per-zone=1",
            'watch every="250ms" slowest="3s" ready="15s" cold="1s" unknown=1',
            "stop harm=0.15 tolerance=0 false-stop=0.01 missed-harm=0.05",
            'act timeout="30s" repeat=#true {',
            f'  apply {agent} "apply" "{{router}}"',
            f'  undo {agent} "undo" "{{router}}"',
            "}",
            extra_lines,
        ]
        return "\n".join(lines)
