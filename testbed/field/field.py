"""Routers of several zones as real processes, each with its own folder, and their stand-ins.

Everything started ends with the field, also when the test that made it fails; ports come from the kernel. A
router keeps its addresses over restarts, and in a field that upgrades its listening socket as well, which
each of its processes inherits. The agent listens for the orders of a rollout: ``apply`` starts a router with
the field's new build, ``undo`` with the old one.
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

from testbed.field.load import ClientLoad
from testbed.field.node import RouterNode
from testbed.field.servers import ZonedServers
from testbed.field.watch import ContractChecker, ContractRules
from testbed.stand_ins import MAX_WAIT_S, MS, ServerScript, answer_at_once

__all__ = ["RULES", "ClientLoad", "RouterField", "RouterNode"]

RULES = 'kelpcroft version=1\ncontrol state=#true\nroute "rest" { match; }\n'
ORIGIN = "origin"
UNIT_NS = 20 * MS  # work of one request at a stand-in
POLL_S = 0.02


class RouterField:
    """Zones of routers, their stand-ins, and the agent. A context manager."""

    def __init__(
        self,
        zones: int,
        each: int,
        builds: dict[str, Path],
        script: ServerScript = answer_at_once,
        boxes: int = 1,
        hubs: int = 1,
        relayed: bool = False,
        weight: float = 8.0,
        settings: dict[str, Any] | None = None,
        delay_s: float = 0.05,
        inherited: bool = False,
        rules: str = RULES,
        cold: bool = False,
    ) -> None:
        """Prepare the field; its processes start when it is entered.

        Args:
            zones: How many there are: z0, z1, ...
            each: Routers of each zone: z0-0, z0-1, ...
            builds: Folders of the program by name; "old" is started, and "new" is what ``apply`` starts.
            script: What stand-ins answer.
            boxes: Caches of each zone.
            hubs: Parents.
            relayed: Put a relay before every stand-in.
            weight: Of every stand-in in the list.
            settings: Other values for keys of the routers' settings; those of tables are merged.
            delay_s: Of the relays.
            inherited: Each router has a listening socket that all its processes share, as in upgrades.
            rules: The operator's file.
            cold: All caches and parents start with the routers.
        """
        self.inherited = inherited
        self.node_rules = rules
        self.zones = tuple(f"z{n}" for n in range(zones))
        self.each = each
        self.builds = builds
        self.settings = settings or {}
        self.folder = tempfile.TemporaryDirectory()
        self.servers = ZonedServers(self.zones, script, boxes, hubs)
        self.servers.weight = weight
        if relayed:
            self.servers.relay([row.name for row in self.servers.rows], delay_s)
        self.is_cold = cold
        self.began_ns = 0
        # What an order does at a router; a test may put ``reload_config`` here.
        self.order_action: Callable[[RouterNode, str], None] = self._upgrade if inherited else self._restart
        # By step of an upgrade: called with the node, the old and the new process.
        self.on_upgrade_step: dict[str, Any] = {}
        self.agent = socket.create_server(("127.0.0.1", 0))
        self.nodes: dict[str, RouterNode] = {}
        self.orders: list[tuple[str, str]] = []  # verb and router, as they came
        self.on_order: dict[str, Any] = {}  # by verb: called with the node before the order is carried out

    def __enter__(self) -> RouterField:
        if self.is_cold:
            now_ms = time.time_ns() // MS
            for row in self.servers.rows:
                if row.name != ORIGIN:
                    self.servers.lines_told[row.name] = self.servers.line(row.name, since_ms=now_ms)
        self.began_ns = time.monotonic_ns()
        self.servers.__enter__()
        for zone in self.zones:
            for n in range(self.each):
                self.nodes[f"{zone}-{n}"] = RouterNode(self, f"{zone}-{n}", zone)
        for node in self.nodes.values():
            node.start("old")
        threading.Thread(target=self._serve_orders, daemon=True).start()
        for node in self.nodes.values():
            self.wait_ready(node)
        return self

    def __exit__(self, *_: object) -> None:
        self.agent.close()
        for node in self.nodes.values():
            node.end(signal.SIGKILL)
            if node.listener and node.control_relay:
                node.listener.close()
                node.control_relay.__exit__()
        for relay in self.servers.relays.values():
            relay.__exit__()
        self.servers.__exit__()
        self.folder.cleanup()

    def wait_ready(self, node: RouterNode) -> None:
        """Wait until a router takes connections.

        Raises:
            RuntimeError: It does not, with the end of its log.
        """
        until = time.monotonic() + MAX_WAIT_S
        while time.monotonic() < until:
            try:
                socket.create_connection(node.address, 1).close()
            except OSError:
                time.sleep(POLL_S)
            else:
                return
        raise RuntimeError(f"{node.name} does not serve: {node.log()[-2_000:]}")

    # Orders -----------------------------------------------------------------------------------------------

    def _serve_orders(self) -> None:
        """Carry out what the agent is told, one order at a time, until its socket is closed."""
        while True:
            try:
                sock, _ = self.agent.accept()
            except OSError:
                return
            with sock:
                verb, name = sock.makefile().readline().split()
                node = self.nodes[name]
                self.orders.append((verb, name))
                if verb in self.on_order:
                    self.on_order[verb](node)
                self.order_action(node, verb)
                with suppress(OSError):  # a controller that was killed does not wait for its answer
                    sock.sendall(b"ok\n")

    def _restart(self, node: RouterNode, verb: str) -> None:
        """Put another build in the place of the one that runs."""
        node.change("new" if verb == "apply" else "old")

    def _upgrade(self, node: RouterNode, verb: str) -> None:
        """Start another build beside the one that runs."""
        node.upgrade("new" if verb == "apply" else "old")

    def strike(self, step: str, *what: Any) -> None:
        """Do what a test wants done at a step of an upgrade."""
        if step in self.on_upgrade_step:
            self.on_upgrade_step[step](*what)

    def reload_config(self, node: RouterNode, verb: str) -> None:
        """Write another configuration, ``changed_config`` of the old where it is applied, and send SIGHUP."""
        assert node.process is not None
        node.started_builds.append("new" if verb == "apply" else "old")
        node.write(self.changed_config(node.config) if verb == "apply" else node.config)
        node.process.send_signal(signal.SIGHUP)

    def changed_config(self, config: dict[str, Any]) -> dict[str, Any]:
        """Make the new configuration from the old; a test puts its own here."""
        raise NotImplementedError

    # What tests ask ---------------------------------------------------------------------------------------

    def check_contract(self, load: ClientLoad, killed: bool = False, cut: bool = False) -> ContractChecker:
        """Hold what passed on the wires so far against the rules; arguments as of ``ContractChecker``."""
        settings = next(iter(self.nodes.values())).config["settings"]
        rows = self.servers.rows
        cold = {row.server_id: self.began_ns for row in rows if row.name != ORIGIN}
        return ContractChecker(
            self.servers,
            load.calls,
            ContractRules.of(settings, UNIT_NS),
            {row.name: (row.server_id, self.servers.weight) for row in rows},
            killed,
            cut,
            cold if self.is_cold else {},
            frozenset(row.server_id for row in rows if row.kind == "parent"),
        )

    def rollout_plan(
        self,
        digest: str,
        more: str = "",
        control: dict[str, tuple[str, int]] | None = None,
        what: str = 'program build="{}"',
    ) -> str:
        """A rollout file for these routers, quick enough for a test.

        Args:
            digest: Of what is rolled out, put into ``what``.
            more: Further lines.
            control: Control addresses of some routers in place of their own.
            what: The change.
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
            f"change {{ {what.format(digest)}; }}",
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
            more,
        ]
        return "\n".join(lines)
