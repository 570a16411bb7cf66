"""Routers of several zones as real processes, each with its own configuration and folder, and their clients.

Everything started ends with the field, also when the test that made it fails; ports come from the kernel.  A
router keeps its addresses over restarts, and in a field that upgrades its listening socket as well, which
each of its processes inherits.  ``agent`` listens for the orders of a rollout: ``apply`` starts a
router with the field's new build, ``undo`` with the old one.
"""

from __future__ import annotations

import http.client
import json
import os
import secrets
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

from testbed.field.relay import Relay
from testbed.field.watch import SLACK_NS, ClientCall, ContractChecker, ContractRules
from testbed.router_process import RouterClient
from testbed.stand_ins import MAX_WAIT_S, MS, ROOT, SERVERS, ServerScript, StandInServers, answer_at_once

PACE_KB_PER_S = 1_000.0
SIZE_KB = 20.0  # of every page that Load asks for
RULES = 'kelpcroft version=1\ncontrol state=#true\nroute "rest" { match; }\n'


def free(host: str) -> tuple[str, int]:
    """A port that is free there, now and later: nothing goes out from an address that is one node's own."""
    with socket.create_server((host, 0)) as sock:
        return host, int(sock.getsockname()[1])


class ZonedServers(StandInServers):
    """Stand-ins with caches in every zone, parents and the origin; each may be listed behind a relay."""

    def __init__(
        self, zones: tuple[str, ...], script: ServerScript = answer_at_once, boxes: int = 1, hubs: int = 1
    ) -> None:
        caches = [
            (f"cache-{zone}" + (f"-{n}" if n else ""), f"s-{zone}" + (f"-{n}" if n else ""), zone, "box")
            for zone in zones
            for n in range(boxes)
        ]
        parents = [(f"parent{n or ''}", f"s-p{n or ''}", "hub", "parent") for n in range(hubs)]
        self.rows = [*caches, *parents, ("origin", *SERVERS["origin"])]
        super().__init__(script, tuple(name for name, *_ in self.rows))
        self.zones = zones
        self.relays: dict[str, Relay] = {}
        self.weight = 1.0
        self.lines_told: dict[str, dict[str, Any]] = {}  # lines as last told

    def line(self, name: str, status: str = "active", since_ms: int = 0) -> dict[str, Any]:
        """A server's line of the list."""
        _, id, zone, kind = next(row for row in self.rows if row[0] == name)
        relay = self.relays.get(name)
        return {
            "name": id,
            "address": f"127.0.0.1:{relay.address[1]}" if relay else self.address_of(name),
            "zone": zone,
            "type": kind,
            "status": status,
            "weight": self.weight,
            "since_ms": since_ms,
        }

    def endpoint_snapshot(self) -> dict[str, Any]:
        lines = [self.lines_told.get(name) or self.line(name) for name, *_ in self.rows]
        return {"n": 1, "members": {"index": 1, "snapshot": True, "endpoints": lines}}

    def change(self, name: str, status: str = "active", since_ms: int = 0) -> int:
        """The feed tells of one server."""
        line = self.lines_told[name] = self.line(name, status, since_ms)
        return self.publish(members={"index": 2, "snapshot": False, "endpoints": [line]})

    def relay(self, names: list[str], delay_s: float) -> None:
        """Put a relay before each of these, before any router starts."""
        for name in names:
            port = self.listeners[name].getsockname()[1]
            self.relays[name] = Relay(("127.0.0.1", port), delay_s, seed=len(self.relays))


class RouterNode:
    """One router, over all its processes."""

    def __init__(self, field: RouterField, name: str, zone: str) -> None:
        self.field, self.name, self.zone = field, name, zone
        self.folder = Path(field.folder.name) / name
        self.folder.mkdir()
        self.host = f"127.1.{len(field.nodes) // 250}.{len(field.nodes) % 250 + 1}"
        self.address, self.control_address = free(self.host), free(self.host)
        self.listener: socket.socket | None = None
        self.control_relay: Relay | None = (
            None  # the control address, wherever the newest process has its own
        )
        if field.inherited:
            self.listener = socket.create_server((self.host, 0), backlog=128)
            self.address, self.control_relay = self.listener.getsockname()[:2], Relay(self.control_address)
        self.started_builds: list[str] = []  # builds, in the order in which they were started
        self.process: subprocess.Popen[bytes] | None = None
        raw = json.loads((ROOT / "examples/config.json").read_text())
        number = field.zones.index(zone) * field.each + int(name.rpartition("-")[2])
        info = {
            **raw["settings"]["family_info"],
            "hub_of": [len(field.zones)] * (len(field.zones) + 1),
            "instances_by_zone": [field.each] * len(field.zones) + [0],
        }
        settings = {
            **raw["settings"],
            "az": zone,
            "dcs": [*field.zones, "hub"],
            "family_info": {**info, "pace_kb_per_s": PACE_KB_PER_S},
            "instances": field.each * len(field.zones),
            "self_index": number,
            "weight_source": "nominal",
        }
        settings["classes"] = [{**c, "aim_ns": 150 * MS} for c in settings["classes"]]
        settings["limits"] = {**settings["limits"], "probing": True}
        for key, value in field.settings.items():
            settings[key] = {**settings[key], **value} if isinstance(value, dict) else value
        config = {
            **raw,
            "name": name,
            "listen": f"{self.host}:{self.address[1]}",
            "mgmt": f"{self.host}:{self.control_address[1]}",
            "feed": (
                f"127.0.0.1:{field.servers.relays['feed'].address[1]}"
                if "feed" in field.servers.relays
                else field.servers.address_of("feed")
            ),
            "known": {"n": 1, "events": [field.servers.endpoint_snapshot()]},
            "settings": settings,
        }
        self.config = config
        self.write(config)
        (self.folder / "rules.kdl").write_text(field.node_rules)

    def write(self, config: dict[str, Any]) -> None:
        (self.folder / "config.json").write_text(json.dumps(config))

    def log(self) -> str:
        return (self.folder / "log").read_text()

    def start(self, build: str, keep: bool = False) -> None:
        """A process of this build, with the list as it is by now; the one before has ended.  ``keep``: with
        the configuration as it lies there."""
        self.started_builds.append(build)
        self.config["known"]["events"] = [self.field.servers.endpoint_snapshot()]
        if len(self.started_builds) > 1 and not keep:
            self.write(self.config)
        env = {
            **os.environ,
            "ROUTER_CONFIG": str(self.folder / "config.json"),
            "ROUTER_RULES": str(self.folder / "rules.kdl"),
            "ROUTER_LOG": "json",
            "TMPDIR": str(self.folder),
        }
        if self.listener:
            env |= {
                "ROUTER_FD": str(self.listener.fileno()),
                "ROUTER_MGMT": f"{self.host}:{self.control_address[1]}",
            }
        with (self.folder / "log").open("a") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-O", "-m", "kelpcroft"],
                cwd=self.field.builds[build],
                env=env,
                stdout=log,
                stderr=log,
                pass_fds=(self.listener.fileno(),) if self.listener else (),
            )

    def serves(self) -> bool:
        """Whether the newest process says that it takes clients, or would if it were in service."""
        connection = http.client.HTTPConnection(*self.control_address, timeout=2)
        try:
            connection.request("GET", "/control/state")
            told = json.loads(connection.getresponse().read())
            return bool(told["ready"] or told["why"] == "out of service")
        except (OSError, http.client.HTTPException, ValueError):
            return False
        finally:
            connection.close()

    def upgrade(self, build: str) -> None:
        """The new process beside the old on one socket; the old is told to end once the new one serves, and
        killed past the longest deadline.  ``field.on_step`` may strike between any two of these."""
        old, running = self.process, bool(self.process and self.process.poll() is None)
        if running and self.started_builds[-1] == build:
            return
        self.control_address = free(self.host)
        self.start(build)
        new, until = self.process, time.monotonic() + MAX_WAIT_S
        while new and new.poll() is None and not self.serves() and time.monotonic() < until:
            time.sleep(0.02)
        assert self.control_relay is not None
        self.control_relay.target = self.control_address
        self.field.strike("ready", self, old, new)
        if old and old.poll() is None:
            old.send_signal(signal.SIGTERM)
            self.field.strike("told", self, old, new)
            try:
                old.wait(3.7)
            except subprocess.TimeoutExpired:
                old.kill()
                old.wait()
        self.field.strike("gone", self, old, new)

    def end(self, number: int = signal.SIGTERM) -> None:
        """Ask the process to end, and wait for it; one that does not is killed."""
        if self.process and self.process.poll() is None:
            self.process.send_signal(number)
            try:
                self.process.wait(MAX_WAIT_S)
            except subprocess.TimeoutExpired:
                self.process.kill()
                self.process.wait()

    def change(self, build: str) -> None:
        """What an apply or undo does: nothing where that build runs already."""
        if (
            not self.started_builds
            or self.started_builds[-1] != build
            or not self.process
            or self.process.poll() is not None
        ):
            self.end()
            self.start(build)


class RouterField:
    """Zones of routers, their stand-ins, and the agent.  A context manager."""

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
        """``inherited``: each router has a listening socket that all its processes share, as in upgrades.
        ``rules``: the operator's file.  ``cold``: all boxes and hubs start with the routers."""
        self.inherited, self.node_rules = inherited, rules
        self.zones, self.each, self.builds = tuple(f"z{n}" for n in range(zones)), each, builds
        self.settings = settings or {}
        self.folder = tempfile.TemporaryDirectory()
        self.servers = ZonedServers(self.zones, script, boxes, hubs)
        self.servers.weight = weight
        if relayed:
            self.servers.relay([name for name, *_ in self.servers.rows], delay_s)
        self.cold = cold
        self.order_action = self.upgrade if inherited else self.program  # what an order does at a node
        self.on_upgrade_step: dict[
            str, Any
        ] = {}  # by step of an upgrade: called with the node, the old and the new
        self.agent = socket.create_server(("127.0.0.1", 0))
        self.nodes: dict[str, RouterNode] = {}
        self.orders: list[tuple[str, str]] = []
        self.on_order: dict[str, Any] = {}  # by verb: called with the node before the order is carried out

    def __enter__(self) -> RouterField:
        if self.cold:
            at = time.time_ns() // MS
            self.servers.lines_told = {
                name: self.servers.line(name, since_ms=at)
                for name, *_ in self.servers.rows
                if name != "origin"
            }
        self.began_ns = time.monotonic_ns()
        self.servers.__enter__()
        for zone in self.zones:
            for n in range(self.each):
                self.nodes[f"{zone}-{n}"] = RouterNode(self, f"{zone}-{n}", zone)
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
            if node.listener and node.control_relay:
                node.listener.close()
                node.control_relay.__exit__()
        for relay in self.servers.relays.values():
            relay.__exit__()
        self.servers.__exit__()
        self.folder.cleanup()

    def wait_ready(self, node: RouterNode) -> None:
        until = time.monotonic() + MAX_WAIT_S
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
                self.order_action(node, verb)
                try:
                    sock.sendall(b"ok\n")
                except OSError:
                    pass

    def program(self, node: RouterNode, verb: str) -> None:
        """Another build."""
        node.change("new" if verb == "apply" else "old")

    def upgrade(self, node: RouterNode, verb: str) -> None:
        """Another build beside the one that runs."""
        node.upgrade("new" if verb == "apply" else "old")

    def strike(self, step: str, *what: Any) -> None:
        if step in self.on_upgrade_step:
            self.on_upgrade_step[step](*what)

    def reload_config(self, node: RouterNode, verb: str) -> None:
        """Another configuration: ``new`` where it is applied, and SIGHUP."""
        assert node.process is not None
        node.started_builds.append("new" if verb == "apply" else "old")
        node.write(self.changed_config(node.config) if verb == "apply" else node.config)
        node.process.send_signal(signal.SIGHUP)

    def changed_config(self, config: dict[str, Any]) -> dict[str, Any]:
        """The new configuration from the old; a test puts its own here."""
        raise NotImplementedError

    def check_contract(self, load: ClientLoad, killed: bool = False, cut: bool = False) -> ContractChecker:
        """What passed on the wires so far, held against the rules."""
        settings = next(iter(self.nodes.values())).config["settings"]
        servers = {name: (id, self.servers.weight) for name, id, *_ in self.servers.rows}
        cold = {id: self.began_ns for name, (id, _) in servers.items() if name != "origin"}
        return ContractChecker(
            self.servers,
            load.calls,
            ContractRules.of(settings, 20 * MS),
            servers,
            killed,
            cut,
            cold if self.cold else {},
            frozenset(id for _, id, _, kind in self.servers.rows if kind == "parent"),
        )

    def rollout_plan(
        self,
        digest: str,
        more: str = "",
        control: dict[str, tuple[str, int]] | None = None,
        what: str = 'program build="{}"',
    ) -> str:
        """A rollout file for these routers, quick enough for a test."""
        at = {
            name: node.control_relay.address if node.control_relay else node.control_address
            for name, node in self.nodes.items()
        }
        at |= control or {}
        rows = [
            f'router "{name}" zone="{node.zone}" control="{at[name][0]}:{at[name][1]}"'
            for name, node in self.nodes.items()
        ]
        agent = f'"{sys.executable}" "-m" "testbed.field.agent" "{self.agent.getsockname()[1]}"'
        return "\n".join(
            [
                "rollout version=1",
                f"change {{ {what.format(digest)}; }}",
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


class ClientLoad:
    """Clients of every router, who go to another of its zone while theirs is away.  A context manager.

    ``lost`` counts requests that a router had taken and never answered: connections that ended with one open,
    but for those that crossed the close and were answered when they were sent again on a new one."""

    def __init__(self, field: RouterField, per_s: float = 25.0, orders: int = 0) -> None:
        """``orders``: one in so many requests is one that must not run twice; 0 = none."""
        self.field, self.every_s, self.orders = field, 1 / per_s, orders
        self.calls: list[ClientCall] = []
        self.crossed: list[ClientCall] = []
        self.counts: Counter[str] = Counter()
        self.stopping = threading.Event()
        self.threads = [
            threading.Thread(target=self.drive, args=(node, n), daemon=True)
            for n, node in enumerate(field.nodes.values())
        ]

    def __enter__(self) -> ClientLoad:
        for thread in self.threads:
            thread.start()
        return self

    def __exit__(self, *_: object) -> None:
        self.stopping.set()
        for thread in self.threads:
            thread.join(MAX_WAIT_S)
        # A call that crossed a close and was answered when it was sent again was never taken.  By one thread:
        # while one looks for its own, another's removal would move it on.
        crossed = set(map(id, self.crossed))
        self.calls = [asked for asked in self.calls if id(asked) not in crossed]

    def connect(self, node: RouterNode) -> tuple[RouterClient | None, bool]:
        """A connection to this router, or to another of its zone; and whether it is this one's."""
        here = [n for n in self.field.nodes.values() if n.zone == node.zone and n is not node]
        for other in (node, *here):
            try:
                return RouterClient(socket.create_connection(other.address, 2)), other is node
            except OSError:
                continue
        return None, False

    def drive(self, node: RouterNode, number: int) -> None:
        client, own, made = None, False, 0
        while not self.stopping.is_set():
            if client is None or not own and made % 10 == 0:  # back to its own as soon as that serves
                if client:
                    client.sock.close()
                client, own = self.connect(node)
            if client is None:
                self.counts["no router"] += 1
                time.sleep(0.1)
                continue
            made += 1
            cls = "order" if self.orders and made % self.orders == 0 else "page"
            item = f"{number:08x}{made % 50:08x}"
            for again in (False, True):
                asked = ClientCall(secrets.token_hex(8), cls, item, time.monotonic_ns(), 2_000, SIZE_KB)
                self.calls.append(asked)
                try:
                    client.sock.settimeout(5)
                    client.send_request(
                        cls,
                        2_000,
                        item,
                        retry=again,
                        trace=asked.trace,
                        body=b"x" if cls == "order" else b"",
                        more={"size": f"{SIZE_KB:g}"},
                    )
                    answer = next(client.responses(1))
                    asked.answers.append((time.monotonic_ns(), answer.kind))
                    self.counts[answer.kind] += 1
                    break
                except TimeoutError:
                    client = None
                    self.counts["lost"] += 1
                    break
                except (OSError, ConnectionError):
                    asked.gave_up = True
                    client, own = self.connect(node)
                    if again or client is None:
                        self.counts["lost"] += 1
                        break
                    if time.monotonic_ns() - asked.at_ns < SLACK_NS:
                        self.crossed.append(asked)
            time.sleep(self.every_s)
