"""Routers of several zones as real processes, each with its own configuration and folder, and their clients.

Everything started ends with the field, also when the test that made it fails; ports come from the kernel.  A
router keeps its addresses over restarts.  ``agent`` listens for the orders of a rollout: ``apply`` starts a
router with the field's new build, ``undo`` with the old one.
"""

from __future__ import annotations

import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
from collections import Counter
from pathlib import Path
from typing import Any

from kelplab.standin import ROOT, SERVERS, WAIT_S, Client, Script, World, well

RULES = 'kelpcroft version=1\ncontrol state=#true\nroute "rest" { match; }\n'


def free() -> int:
    with socket.create_server(("127.0.0.1", 0)) as sock:
        return int(sock.getsockname()[1])


class Zones(World):
    """Stand-ins with a cache in every zone, a parent and the origin."""

    def __init__(self, zones: tuple[str, ...], script: Script = well) -> None:
        super().__init__(script, (*(f"cache-{zone}" for zone in zones), "parent", "origin"))
        self.zones = zones

    def members(self) -> dict[str, Any]:
        rows = [(f"cache-{zone}", f"s-{zone}", zone, "box") for zone in self.zones]
        rows += [(name, *SERVERS[name]) for name in ("parent", "origin")]
        endpoints = [
            {
                "name": id,
                "address": self.at(name),
                "zone": zone,
                "type": kind,
                "status": "active",
                "weight": 1,
            }
            for name, id, zone, kind in rows
        ]
        return {"n": 1, "members": {"index": 1, "snapshot": True, "endpoints": endpoints}}


class Node:
    """One router, over all its processes."""

    def __init__(self, field: Field, name: str, zone: str) -> None:
        self.field, self.name, self.zone = field, name, zone
        self.folder = Path(field.folder.name) / name
        self.folder.mkdir()
        self.address, self.mgmt = ("127.0.0.1", free()), ("127.0.0.1", free())
        self.starts: list[str] = []  # builds, in the order in which they were started
        self.process: subprocess.Popen[bytes] | None = None
        raw = json.loads((ROOT / "examples/config.json").read_text())
        at = field.zones.index(zone)
        info = {
            **raw["settings"]["family_info"],
            "hub_of": [len(field.zones)] * (len(field.zones) + 1),
            "instances_by_zone": [field.each] * len(field.zones) + [0],
        }
        settings = {
            **raw["settings"],
            "az": zone,
            "dcs": [*field.zones, "hub"],
            "family_info": info,
            "instances": field.each * len(field.zones),
            "self_index": at,
        }
        config = {
            **raw,
            "name": name,
            "listen": f"127.0.0.1:{self.address[1]}",
            "mgmt": f"127.0.0.1:{self.mgmt[1]}",
            "feed": field.world.at("feed"),
            "known": {"n": 1, "events": [field.world.members()]},
            "settings": settings,
        }
        (self.folder / "config.json").write_text(json.dumps(config))
        (self.folder / "rules.kdl").write_text(RULES)

    def start(self, build: str) -> None:
        """A process of this build; the one before has ended."""
        self.starts.append(build)
        env = {
            **os.environ,
            "ROUTER_CONFIG": str(self.folder / "config.json"),
            "ROUTER_RULES": str(self.folder / "rules.kdl"),
            "ROUTER_LOG": "json",
        }
        with (self.folder / "log").open("a") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-O", "-m", "kelpcroft"],
                cwd=self.field.builds[build],
                env=env,
                stdout=log,
                stderr=log,
            )

    def end(self, number: int = signal.SIGTERM) -> None:
        """Ask the process to end, and wait for it; one that does not is killed."""
        if self.process and self.process.poll() is None:
            self.process.send_signal(number)
            try:
                self.process.wait(WAIT_S)
            except subprocess.TimeoutExpired:
                self.process.kill()
                self.process.wait()

    def change(self, build: str) -> None:
        """What an apply or undo does: nothing where that build runs already."""
        if not self.starts or self.starts[-1] != build or not self.process or self.process.poll() is not None:
            self.end()
            self.start(build)


class Field:
    """Zones of routers, their stand-ins, and the agent.  A context manager."""

    def __init__(self, zones: int, each: int, builds: dict[str, Path], script: Script = well) -> None:
        self.zones, self.each, self.builds = tuple(f"z{n}" for n in range(zones)), each, builds
        self.folder = tempfile.TemporaryDirectory()
        self.world = Zones(self.zones, script)
        self.agent = socket.create_server(("127.0.0.1", 0))
        self.nodes: dict[str, Node] = {}
        self.orders: list[tuple[str, str]] = []
        self.on_order: dict[str, Any] = {}  # by verb: called with the node before the order is carried out

    def __enter__(self) -> Field:
        self.world.__enter__()
        for zone in self.zones:
            for n in range(self.each):
                self.nodes[f"{zone}-{n}"] = Node(self, f"{zone}-{n}", zone)
        for node in self.nodes.values():
            node.start("old")
        threading.Thread(target=self.serve, daemon=True).start()
        for node in self.nodes.values():
            self.wait_ready(node)
        return self

    def __exit__(self, *_: object) -> None:
        self.agent.close()
        for node in self.nodes.values():
            node.end(signal.SIGKILL)
        self.world.__exit__()
        self.folder.cleanup()

    def wait_ready(self, node: Node) -> None:
        until = time.monotonic() + WAIT_S
        while time.monotonic() < until:
            try:
                socket.create_connection(node.address, 1).close()
                return
            except OSError:
                time.sleep(0.02)
        raise RuntimeError(f"{node.name} does not serve: {(node.folder / 'log').read_text()[-2_000:]}")

    def serve(self) -> None:
        """The agent's orders, one at a time."""
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
                node.change("new" if verb == "apply" else "old")
                try:
                    sock.sendall(b"ok\n")
                except OSError:
                    pass

    def plan(self, digest: str, more: str = "", control: dict[str, tuple[str, int]] | None = None) -> str:
        """A rollout file for these routers, quick enough for a test."""
        at = {name: node.mgmt for name, node in self.nodes.items()} | (control or {})
        rows = [
            f'router "{name}" zone="{node.zone}" control="127.0.0.1:{at[name][1]}"'
            for name, node in self.nodes.items()
        ]
        agent = f'"{sys.executable}" "-m" "kelplab.field.agent" "{self.agent.getsockname()[1]}"'
        return "\n".join(
            [
                "rollout version=1",
                f'change {{ program build="{digest}"; }}',
                *rows,
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
        )


class Load:
    """Clients of every router, who go to another of its zone while theirs is away.  A context manager.

    ``lost`` counts requests that a router had taken and never answered: connections that ended with one open,
    but for those that crossed the close and were answered when they were sent again on a new one."""

    def __init__(self, field: Field, per_s: float = 25.0) -> None:
        self.field, self.every_s = field, 1 / per_s
        self.count: Counter[str] = Counter()
        self.stopping = threading.Event()
        self.threads = [
            threading.Thread(target=self.drive, args=(node, n), daemon=True)
            for n, node in enumerate(field.nodes.values())
        ]

    def __enter__(self) -> Load:
        for thread in self.threads:
            thread.start()
        return self

    def __exit__(self, *_: object) -> None:
        self.stopping.set()
        for thread in self.threads:
            thread.join(WAIT_S)

    def connect(self, node: Node) -> tuple[Client | None, bool]:
        """A connection to this router, or to another of its zone; and whether it is this one's."""
        here = [n for n in self.field.nodes.values() if n.zone == node.zone and n is not node]
        for other in (node, *here):
            try:
                return Client(socket.create_connection(other.address, 2)), other is node
            except OSError:
                continue
        return None, False

    def drive(self, node: Node, number: int) -> None:
        client, own, made = None, False, 0
        while not self.stopping.is_set():
            if client is None or not own and made % 10 == 0:  # back to its own as soon as that serves
                if client:
                    client.sock.close()
                client, own = self.connect(node)
            if client is None:
                self.count["no router"] += 1
                time.sleep(0.1)
                continue
            made += 1
            item = f"{number:08x}{made % 50:08x}"
            for again in (False, True):
                try:
                    client.sock.settimeout(5)
                    answer = client.ask("page", object=item, part=0, patience_ms=2_000, retry=again)
                    self.count[answer.kind] += 1
                    break
                except (OSError, ConnectionError):
                    client, own = self.connect(node)
                    if again or client is None:
                        self.count["lost"] += 1
                        break
            time.sleep(self.every_s)
