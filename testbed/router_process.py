"""A router in a process of its own, connected to stand-in servers, and a client of it."""

from __future__ import annotations

import json
import os
import resource
import secrets
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Iterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import msgpack

from testbed.stand_ins import MAX_WAIT_S, MS, PROGRAM_DIR, ROOT, StandInServers

READ_BYTES = 1 << 16
RETRY_S = 0.01  # interval of polling
KB_PER_MB = 1024


@dataclass
class ClientResponse:
    """A final response, as the client receives it."""

    kind: str  # served, refused or failed
    body: bytes
    fields: dict[str, str]
    latency_ms: float


@dataclass
class RouterClient:
    """One connection to a router, to be used by one thread at a time."""

    sock: socket.socket
    unpacker: Any = field(default_factory=lambda: msgpack.Unpacker(raw=False))
    request_count: int = 0
    sent_ns: dict[int, int] = field(default_factory=dict)

    def send_request(
        self,
        cls: str,
        patience_ms: int = 2_400,
        object: str = "7f3a9c21e0b4d655",  # noqa: A002 - name of the request's field
        part: int = 0,
        group: int = 17,
        retry: bool = False,
        body: bytes = b"",
        trace: str = "",
        more: dict[str, str] | None = None,
    ) -> str:
        """Send a request.

        Args:
            cls: The request's class.
            patience_ms: How long the client waits, in ms.
            object: The object's id, 16 hexadecimal digits.
            part: The number of the object's part.
            group: The number of the object's group.
            retry: Whether the request is marked as the client's retry.
            body: The data to be written.
            trace: The trace id; drawn at random if empty.
            more: Further fields, such as nonce and size.

        Returns:
            The trace id.
        """
        self.request_count += 1
        trace = trace or secrets.token_hex(8)
        fields = {
            "trace": trace,
            "patience": str(patience_ms),
            "entity": object,
            "block": str(part),
            "family": str(group),
            **({"redo": "1"} if retry else {}),
            **(more or {}),
        }
        self.sent_ns[self.request_count] = time.monotonic_ns()
        self.sock.sendall(msgpack.packb([0, self.request_count, cls, [fields, body]]))
        return trace

    def responses(self, count: int) -> Iterator[ClientResponse]:
        """Yield ``count`` responses as they arrive.

        Raises:
            ConnectionError: The router has closed the connection.
        """
        while count:
            for _, number, error, result in self.unpacker:
                latency_ms = (time.monotonic_ns() - self.sent_ns.pop(number)) / MS
                if error is None:
                    yield ClientResponse("served", bytes(result[0]), result[1], latency_ms)
                else:
                    kind = "refused" if error[0] == "Shed" else "failed"
                    yield ClientResponse(kind, b"", error[1], latency_ms)
                count -= 1
                if not count:
                    return
            data = self.sock.recv(READ_BYTES)
            if not data:
                raise ConnectionError("the router has closed the connection")
            self.unpacker.feed(data)

    def request(self, cls: str, **more: Any) -> ClientResponse:
        """Send one request and wait for its response; arguments as for ``send_request``."""
        self.send_request(cls, **more)
        return next(self.responses(1))


class RouterProcess:
    """A router process connected to stand-in servers. A context manager."""

    def __init__(
        self,
        servers: StandInServers,
        rules: str | None = None,
        program: Path = PROGRAM_DIR,
        release: bool = False,
        settings: dict[str, Any] | None = None,
        mgmt: bool = False,
        listener: socket.socket | None = None,
        predecessor: RouterProcess | None = None,
        limits: dict[str, Any] | None = None,
    ) -> None:
        """Start the process.

        Args:
            servers: Its servers and its feed.
            rules: Content of the operator's file; None = no file.
            program: Folder of the program.
            release: Start it as `run` does, without assertions.
            settings: Values that replace keys of the example's settings.
            mgmt: Give it a control address, which is ``self.control_address``.
            listener: The clients' listening socket, which the process inherits; None = it binds its own.
            predecessor: The router's process before this one, whose configuration file and ``$TMPDIR`` it
                uses, as in an upgrade.
            limits: Values that replace keys of the example's limits; ``sockets`` also limits the process.
        """
        self._directory = tempfile.TemporaryDirectory()
        folder = Path(self._directory.name)
        self.rules_path = folder / "rules.kdl"
        self.state_dir: Path = folder if predecessor is None else predecessor.state_dir
        self.config_path = self.state_dir / "config.json"
        self.log_path = folder / "log"
        with (
            socket.create_server(("127.0.0.1", 0)) as client_listener,
            socket.create_server(("127.0.0.1", 0)) as control_listener,
        ):
            self.address = (listener or client_listener).getsockname()[:2]
            self.control_address = control_listener.getsockname()[:2]
        if predecessor is None:
            self.config_path.write_text(
                json.dumps(self._configuration(servers, settings or {}, limits or {}))
            )
        env = {**os.environ, "ROUTER_CONFIG": str(self.config_path), "ROUTER_LOG": "json"}
        env.pop("ROUTER_RULES", None)
        if mgmt:
            env["ROUTER_MGMT"] = f"127.0.0.1:{self.control_address[1]}"
        if listener is not None:
            env["ROUTER_FD"] = str(listener.fileno())
            env["TMPDIR"] = str(self.state_dir)
        if rules is not None:
            self.rules_path.write_text(rules)
            env["ROUTER_RULES"] = str(self.rules_path)
        options = ["-O"] if release else []
        with self.log_path.open("w") as log:
            self.process = subprocess.Popen(
                [sys.executable, *options, "-m", "kelpcroft"],
                cwd=program,
                env=env,
                stderr=log,
                stdout=log,
                pass_fds=() if listener is None else (listener.fileno(),),
            )
        if limits and "sockets" in limits:
            descriptors = limits["sockets"]
            resource.prlimit(self.process.pid, resource.RLIMIT_NOFILE, (descriptors, descriptors))

    def _configuration(
        self, servers: StandInServers, settings: dict[str, Any], limits: dict[str, Any]
    ) -> dict[str, Any]:
        """The example's configuration with the stand-ins' addresses."""
        example = json.loads((ROOT / "examples/config.json").read_bytes())
        return {
            **example,
            "listen": f"127.0.0.1:{self.address[1]}",
            "feed": servers.address_of("feed"),
            "known": {"n": 1, "events": [servers.endpoint_snapshot()]},
            "limits": {**example["limits"], **limits},
            "settings": {**example["settings"], **settings},
        }

    def __enter__(self) -> RouterProcess:
        return self

    def __exit__(self, *_: object) -> None:
        self.process.kill()
        self.process.wait()
        self._directory.cleanup()

    def peak_memory_mb(self) -> float:
        """The highest resident memory of the process, in MB; 0 if it has ended."""
        return _process_status_mb(self.process.pid, "VmHWM:")

    def log_events(self) -> list[dict[str, Any]]:
        """The log events that the router has written."""
        return [json.loads(line) for line in self.log_path.read_text().splitlines() if line.startswith("{")]

    def reload_rules(self, rules: str) -> dict[str, Any]:
        """Replace the operator's file and send SIGHUP; return the log event about it.

        Raises:
            TimeoutError: No such event was logged in time.
        """
        before = len(self.rules_events())
        self.rules_path.write_text(rules)
        self.process.send_signal(signal.SIGHUP)
        deadline_s = time.monotonic() + MAX_WAIT_S
        while time.monotonic() < deadline_s:
            events = self.rules_events()
            if len(events) > before:
                return events[-1]
            time.sleep(RETRY_S)
        raise TimeoutError(f"no log event about the operator's file after SIGHUP within {MAX_WAIT_S:g} s")

    def rules_events(self) -> list[dict[str, Any]]:
        """Its log events about the operator's file."""
        return [line for line in self.log_events() if line["event"].startswith("rules.")]

    def client(self) -> RouterClient:
        """Connect a client, once the router accepts connections.

        Raises:
            RuntimeError: The process has ended or does not accept connections in time.
        """
        deadline_s = time.monotonic() + MAX_WAIT_S
        while self.process.poll() is None and time.monotonic() < deadline_s:
            try:
                return RouterClient(socket.create_connection(self.address, MAX_WAIT_S))
            except ConnectionRefusedError:
                time.sleep(RETRY_S)
        raise RuntimeError(f"the router accepts no connections: {self.log_path.read_text()}")


def resident_mb(router: RouterProcess) -> float:
    """The resident memory of a router's process, in MB; 0 if it has ended."""
    return _process_status_mb(router.process.pid, "VmRSS:")


def _process_status_mb(pid: int, key: str) -> float:
    """A value of ``/proc/PID/status`` in MB (proc(5)); 0 if the process has ended."""
    try:
        text = Path(f"/proc/{pid}/status").read_text(encoding="utf-8")
    except OSError:
        return 0.0
    for line in text.splitlines():
        if line.startswith(key):
            return int(line.split()[1]) / KB_PER_MB
    return 0.0
