"""Processes of a scale test: the list service, hollow routers, control replicas and real routers.

Each process is killed at the end of the test that started it.
"""

from __future__ import annotations

import http.client
import json
import os
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Iterator
from contextlib import ExitStack, contextmanager
from pathlib import Path
from typing import Any

from testbed.hollow.configuration import FleetSize, configuration
from testbed.stand_ins import ROOT

ROUTERS_PER_PROCESS = 100  # hollow routers in one process
TICKS_PER_S = os.sysconf("SC_CLK_TCK")  # clock ticks per second in /proc/PID/stat


class LineProcess:
    """A process that responds to each line on its standard input with a line of JSON."""

    def __init__(self, arguments: list[str], cwd: Path = ROOT) -> None:
        self.arguments = arguments
        self.process = subprocess.Popen(
            [sys.executable, *arguments],
            cwd=cwd,
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            stderr=subprocess.DEVNULL,
            text=True,
        )
        self.first_line = self.read()

    def read(self) -> dict[str, Any]:
        """Read the next line that the process prints.

        Raises:
            RuntimeError: The process has ended.
        """
        assert self.process.stdout
        line = self.process.stdout.readline()
        if not line:
            raise RuntimeError(f"{self.arguments} has ended")
        return json.loads(line)  # type: ignore[no-any-return]

    def send(self, **command: Any) -> None:
        """Send one command."""
        assert self.process.stdin
        self.process.stdin.write(json.dumps(command) + "\n")
        self.process.stdin.flush()

    def request(self, **command: Any) -> dict[str, Any]:
        """Send one command and wait for its response."""
        self.send(**command)
        return self.read()

    def end(self) -> None:
        """Kill the process and wait for its end."""
        self.process.kill()
        self.process.wait()


@contextmanager
def list_service(size: FleetSize) -> Iterator[LineProcess]:
    """Start the list service of a fleet; it is killed when the context exits."""
    service = LineProcess(
        ["-m", "testbed.hollow.service", "--servers", str(size.servers), "--zones", str(size.zones)]
    )
    try:
        yield service
    finally:
        service.end()


@contextmanager
def hollow_routers(
    size: FleetSize, feed: str, rules: str = "", per_process: int = ROUTERS_PER_PROCESS
) -> Iterator[list[LineProcess]]:
    """Start all routers of a fleet as hollow routers, up to ``per_process`` in one process."""
    with ExitStack() as stack:
        processes = []
        for first in range(0, size.routers, per_process):
            arguments = [
                "-O",
                "-m",
                "testbed.hollow.routers",
                "--first",
                str(first),
                "--count",
                str(min(per_process, size.routers - first)),
                "--routers",
                str(size.routers),
                "--servers",
                str(size.servers),
                "--zones",
                str(size.zones),
                "--feed",
                feed,
            ]
            processes.append(LineProcess([*arguments, *(["--rules", rules] if rules else [])]))
            stack.callback(processes[-1].end)
        yield processes


def free_port() -> int:
    """A loopback port that is free at the time of the call."""
    with socket.create_server(("127.0.0.1", 0)) as sock:
        return int(sock.getsockname()[1])


class ControlReplica:
    """`kelpcroft control-replica` as a process that keeps its address across restarts."""

    def __init__(
        self,
        folder: Path,
        name: str,
        upstreams: list[str],
        peers: list[str] | None = None,
        extra_lines: str = "",
        size: FleetSize | None = None,
    ) -> None:
        """Write the replica's file and configuration; ``start`` starts its process.

        Args:
            folder: Where its files and its log are written.
            name: Its name.
            upstreams: List services, each as HOST:PORT.
            peers: Other replicas, each as HOST:PORT.
            extra_lines: Further lines of its file.
            size: The fleet whose settings it reads; by default the default size.
        """
        self.name, self.port = name, free_port()
        self.file, self.config, self.log = (folder / f"{name}.{suffix}" for suffix in ("kdl", "json", "log"))
        lines = ["control-replica version=1", f'listen "{self.address}"']
        for node_name, addresses in (("list-service", upstreams), ("peer", peers or [])):
            if addresses:
                lines.append(f"{node_name} " + " ".join(f'"{x}"' for x in addresses))
        self.file.write_text("\n".join([*lines, extra_lines]) + "\n")
        raw = configuration(size or FleetSize(), 0, "127.0.0.1:1", "127.0.0.1:1", "127.0.0.1:2")
        self.config.write_text(json.dumps(raw))
        self.process: subprocess.Popen[bytes] | None = None

    @property
    def address(self) -> str:
        """Address at which it listens, as HOST:PORT."""
        return f"127.0.0.1:{self.port}"

    def start(self) -> None:
        """Start a process and wait until it responds.

        Raises:
            RuntimeError: It does not respond within 20 s; the message contains the end of its log.
        """
        arguments = [
            "control-replica",
            str(self.file),
            "--config",
            str(self.config),
            "--name",
            self.name,
            "--format",
            "json",
        ]
        with self.log.open("a") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-O", "-c", f"from kelpcroft.cli import main; main({arguments!r})"],
                cwd=ROOT,
                stdout=log,
                stderr=log,
            )
        if not wait_for(lambda: self.state() is not None, 20):
            raise RuntimeError(f"{self.name} did not respond within 20 s: {self.log.read_text()[-2_000:]}")

    def state(self) -> dict[str, Any] | None:
        """The state that the replica reports, or None if it does not respond."""
        connection = http.client.HTTPConnection("127.0.0.1", self.port, timeout=2)
        try:
            connection.request("GET", "/control/state")
            return json.loads(connection.getresponse().read())  # type: ignore[no-any-return]
        except (OSError, http.client.HTTPException, ValueError):
            return None
        finally:
            connection.close()

    def signal(self, number: int) -> None:
        """Send a signal to the process."""
        assert self.process
        self.process.send_signal(number)

    def end(self) -> None:
        """Kill the process, if one was started, and wait for its end."""
        if self.process:
            self.process.kill()
            self.process.wait()


class RealRouter:
    """A router process, started as `run` starts it; a context manager that kills it on exit."""

    def __init__(
        self,
        size: FleetSize,
        number: int,
        feed: str,
        program: Path,
        folder: Path,
        rules: str = "",
        known: dict[str, Any] | None = None,
        use_example_settings: bool = False,
    ) -> None:
        """Write the configuration and start the process.

        Args:
            size: The fleet that the settings describe.
            number: The router's number in the fleet, which determines its addresses.
            feed: Address of the list service, as HOST:PORT.
            program: Folder of the program.
            folder: Where the configuration and the log are written.
            rules: Path of the operator's file; "" = none.
            known: The first endpoint list; None = the list of a fleet of this size.
            use_example_settings: Use the settings of the example, whose zones are those of the stand-ins.
        """
        host = f"127.3.{number // 250}.{number % 250 + 1}"
        self.listen = f"{host}:7000"
        config = configuration(size, number, feed, self.listen, f"{host}:7001")
        if use_example_settings:
            config["settings"] = json.loads((ROOT / "examples/config.json").read_text())["settings"]
        if known is not None:
            config["known"] = known
        path = folder / f"r{number}.json"
        path.write_text(json.dumps(config))
        env = {**os.environ, "ROUTER_CONFIG": str(path), "ROUTER_LOG": "json"}
        env.pop("ROUTER_RULES", None)
        if rules:
            env["ROUTER_RULES"] = rules
        self.log = folder / f"r{number}.log"
        with self.log.open("w") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-O", "-m", "kelpcroft"], cwd=program, env=env, stdout=log, stderr=log
            )

    def __enter__(self) -> RealRouter:
        return self

    def __exit__(self, *_: object) -> None:
        self.process.kill()
        self.process.wait()

    def accepts_connections(self) -> bool:
        """Whether it accepts connections."""
        host, _, port = self.listen.rpartition(":")
        try:
            socket.create_connection((host, int(port)), 1).close()
        except OSError:
            return False
        return True

    def cpu_s(self) -> float:
        """CPU time so far, in seconds."""
        return cpu_s(self.process.pid)

    def memory_kb(self, peak: bool = False) -> int:
        """Resident memory in KB, at present or at its peak."""
        return memory_kb(self.process.pid, peak)


def cpu_s(pid: int) -> float:
    """CPU time of a process so far, in seconds."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


def memory_kb(pid: int, peak: bool = False) -> int:
    """Resident memory of a process in KB, at present or at its peak."""
    key = "VmHWM:" if peak else "VmRSS:"
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith(key):
            return int(line.split()[1])
    return 0


def wait_for(condition: Any, timeout_s: float, interval_s: float = 0.02) -> bool:
    """Poll a condition until it is true, and return whether it became true within ``timeout_s``."""
    deadline_s = time.monotonic() + timeout_s
    while time.monotonic() < deadline_s:
        if condition():
            return True
        time.sleep(interval_s)
    return False


@contextmanager
def temporary_folder() -> Iterator[Path]:
    """A temporary folder, which is removed when the context exits."""
    with tempfile.TemporaryDirectory() as path:
        yield Path(path)
