"""Player of recorded byte exchanges against the program.  It handles sockets and bytes, and no protocol.

A recording is a text file.  Each line has the name of a peer (or ``program``), an operation and its argument.
Data are Python bytes literals, in which {NAME} is replaced by the bytes that an earlier line captured.

    client > b'...'      the peer writes; its connection is made when it is first needed, and a peer named
                         mgmt or mgmt-NAME connects to the control address
    client < b'...'      the peer reads exactly these bytes
    client ~ b'...'      the peer reads bytes that match a regular expression; (?P<name>...) captures some
    client x             the peer closes its connection
    client .             the program has closed the connection
    program term         send SIGTERM to the program
    program exit N       the program exits with this code
    program feed NAME    write a configuration that names this peer as the feed, then send SIGHUP
    program spoil        write a configuration that cannot be used, then send SIGHUP
    program file KIND    write the file of this kind from RELOAD_FILES, then send SIGHUP
    program log TEXT     wait until the program's log contains TEXT once more than before
    program second       (with ``inherit``) start a second process on the same listening socket, with a
                         control address of its own for peers named mgmt2 or mgmt2-NAME; term and exit
                         still apply to the first process
"""

from __future__ import annotations

import ast
import contextlib
import copy
import json
import os
import re
import signal
import socket
import subprocess
import sys
import tempfile
import time
import unittest
from collections.abc import Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).parent.parent.parent
EXAMPLE = json.loads((ROOT / "examples/config.json").read_bytes())
PROGRAM = ROOT / os.environ.get("KELPCROFT_FROM", ".")  # .compiled/now: test the compiled program
KEYED_CLASS = {"idempotency": "keyed", "group": "all", "dedup_window_ns": 3 * 10**9}
ONE_CACHE = (
    "cache1",
    "parent",
    "origin",
)  # one cache in the zone, so that the path of a request is determined
WAIT_S = 20  # a test that waits this long has failed; no test result depends on a shorter time
SERVERS = {
    "cache1": ("s-c1", "edge-1", "box"),
    "cache2": ("s-c2", "edge-1", "box"),
    "parent": ("s-p", "hub", "parent"),
    "origin": ("s-o", "hub", "origin"),
}


def _with_changed_classes(raw: dict[str, Any], change: Callable[[list[dict[str, Any]]], object]) -> bytes:
    raw = copy.deepcopy(raw)
    change(raw["settings"]["classes"])
    return json.dumps(raw).encode()


# Configuration files for reloads: one of each kind of invalid file, and a valid one that adds a class.
RELOAD_FILES: dict[str, Callable[[dict[str, Any]], bytes]] = {
    "empty": lambda raw: b"",
    "half": lambda raw: json.dumps(raw).encode()[:200],
    "unkeyed": lambda raw: json.dumps({k: v for k, v in raw.items() if k != "settings"}).encode(),
    "deadline": lambda raw: _with_changed_classes(raw, lambda c: c[0].update(give_up_ns=-5)),
    "attempts": lambda raw: json.dumps(
        {**raw, "settings": {**raw["settings"], "limits": {**raw["settings"]["limits"], "most_tries": 0}}}
    ).encode(),
    "fresh": lambda raw: _with_changed_classes(raw, lambda c: c.append({**c[0], "name": "fresh"})),
}


class Player:
    """One run of the program, with the listening sockets of its feed and its servers."""

    def __init__(
        self,
        case: unittest.TestCase,
        listed: tuple[str, ...] = tuple(SERVERS),
        inherit: bool = False,
        order_class: dict[str, Any] | None = None,
    ) -> None:
        """Starts the program.

        Args:
            case: The test, which cleans up after the run.
            listed: Names of the servers in the endpoint list.
            inherit: The client listening socket is created here, and inherited as ROUTER_FD.
            order_class: Settings of the order class that differ from the example.
        """
        self.case = case
        self.listeners: dict[str, socket.socket] = {}
        self.connections: dict[str, socket.socket] = {}
        self.captured: dict[str, str] = {}
        self.log_counts: dict[str, int] = {}
        for name in (*SERVERS, "feed", "moved"):
            self.listeners[name] = socket.create_server(("127.0.0.1", 0))
            self.listeners[name].settimeout(WAIT_S)
        self.client_listener = socket.create_server(("127.0.0.1", 0)) if inherit else None
        with socket.create_server(("127.0.0.1", 0)) as free:
            self.address = self.client_listener.getsockname() if self.client_listener else free.getsockname()
        self.control_addresses = {"mgmt": self.free_address()}
        endpoints = [
            {"name": server, "address": self.address_of(n), "zone": zone, "type": kind, "status": "active"}
            for n, (server, zone, kind) in SERVERS.items()
            if n in listed
        ]
        endpoint_list = {"index": 1, "snapshot": True, "endpoints": endpoints}
        self.config = {
            **EXAMPLE,
            "listen": f"127.0.0.1:{self.address[1]}",
            "feed": self.address_of("feed"),
            "mgmt": f"127.0.0.1:{self.control_addresses['mgmt'][1]}",
            "known": {"n": 1, "events": [{"n": 1, "members": endpoint_list}]},
        }
        settings = copy.deepcopy(EXAMPLE["settings"])
        settings["classes"][1].update(order_class or {})
        self.config["settings"] = settings
        self.folder = tempfile.TemporaryDirectory()
        case.addCleanup(self.folder.cleanup)
        self.path = Path(self.folder.name) / "config.json"
        self.path.write_text(json.dumps(self.config))
        self.log = (Path(self.folder.name) / "log").open("w+")
        self.programs: list[subprocess.Popen[bytes]] = []
        self.program = self.start({})
        case.addCleanup(self.close)

    @staticmethod
    def free_address() -> tuple[str, int]:
        with socket.create_server(("127.0.0.1", 0)) as free:
            return free.getsockname()[:2]  # type: ignore[no-any-return]

    def start(self, extra_env: dict[str, str]) -> subprocess.Popen[bytes]:
        env = {**os.environ, "ROUTER_CONFIG": str(self.path), "TMPDIR": self.folder.name, **extra_env}
        if self.client_listener:
            env["ROUTER_FD"] = str(self.client_listener.fileno())
        self.programs.append(
            subprocess.Popen(
                [sys.executable, "-m", "kelpcroft"],
                cwd=PROGRAM,
                stderr=self.log,
                env=env,
                pass_fds=(self.client_listener.fileno(),) if self.client_listener else (),
            )
        )
        return self.programs[-1]

    def address_of(self, name: str) -> str:
        return f"127.0.0.1:{self.listeners[name].getsockname()[1]}"

    def close(self) -> None:
        for program in self.programs:
            program.kill()
            program.wait()
        self.log.close()
        for sock in (
            *self.connections.values(),
            *self.listeners.values(),
            *([self.client_listener] if self.client_listener else []),
        ):
            sock.close()

    def connection(self, name: str) -> socket.socket:
        """Returns the connection of a peer: accepted if the peer listens, otherwise opened to the program."""
        if name not in self.connections:
            base = name.split("-")[0]
            if base in self.listeners:
                self.connections[name], _ = self.listeners[base].accept()
            else:
                self.connections[name] = self.connect(self.control_addresses.get(base, self.address))
            self.connections[name].settimeout(WAIT_S)
        return self.connections[name]

    def connect(self, address: tuple[str, int]) -> socket.socket:
        while any(program.poll() is None for program in self.programs):
            try:
                return socket.create_connection(address, WAIT_S)
            except ConnectionRefusedError:
                continue
        self.log.seek(0)
        raise AssertionError(f"the program has exited: {self.log.read()}")

    def wait_for(self, text: str) -> None:
        """Waits until the log contains ``text`` one time more than at the previous call with this text."""
        count = self.log_counts.get(text, 0)
        for _ in range(WAIT_S * 100):
            self.log.seek(0)
            if self.log.read().count(text) > count:
                self.log_counts[text] = count + 1
                return
            time.sleep(0.01)
        self.case.fail(f"within {WAIT_S} s the log did not contain {text!r} once more")

    def read(self, name: str, pattern: re.Pattern[bytes], size: int | None) -> None:
        received = b""
        while (size is None and not pattern.fullmatch(received)) or (
            size is not None and len(received) < size
        ):
            try:
                chunk = self.connection(name).recv(1 if size is None else size - len(received))
            except TimeoutError:
                chunk = b""
            if not chunk:
                break
            received += chunk
        match = pattern.fullmatch(received)
        assert match is not None, f"{name} read {received!r}, expected {pattern.pattern!r}"
        assert match
        self.captured.update({k: v.decode() for k, v in match.groupdict().items()})

    def play(self, recording: str) -> None:
        """Plays all lines of a recording."""
        for number, line in enumerate((ROOT / "tests/exchanges" / recording).read_text().splitlines(), 1):
            if not line.strip() or line.startswith("#"):
                continue
            with self.case.subTest(recording=recording, line=number):
                self.step(*line.split(maxsplit=2))

    def step(self, name: str, operation: str, argument: str = "") -> None:
        data = b""
        if argument and name != "program":
            data = ast.literal_eval(re.sub(r"\{(\w+)\}", lambda m: self.captured[m[1]], argument))
        if operation == ">":
            self.connection(name).sendall(data)
        elif operation == "<":
            self.read(name, re.compile(re.escape(data), re.S), len(data))
        elif operation == "~":
            self.read(name, re.compile(data, re.S), None)
        elif operation == "x":
            self.connections.pop(name).close()
        elif operation == ".":
            with contextlib.suppress(ConnectionResetError):
                assert self.connection(name).recv(1) == b""
        elif operation == "term":
            self.program.send_signal(signal.SIGTERM)
        elif operation == "file":
            self.path.write_bytes(RELOAD_FILES[argument](self.config))
            self.program.send_signal(signal.SIGHUP)
        elif operation == "log":
            self.wait_for(argument)
        elif operation == "second":
            self.control_addresses["mgmt2"] = self.free_address()
            self.start({"ROUTER_MGMT": f"127.0.0.1:{self.control_addresses['mgmt2'][1]}"})
        elif operation in ("feed", "spoil"):
            self.path.write_text(
                json.dumps({**self.config, "feed": self.address_of(argument) if argument else None})
            )
            self.program.send_signal(signal.SIGHUP)
        else:
            assert (operation, self.program.wait(WAIT_S)) == ("exit", int(argument))
