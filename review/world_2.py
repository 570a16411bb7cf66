"""Stand-ins and harness for the review's cases 6 and up: platform, list service, servers and clients.

Everything is on 127.0.0.1 with ports from the kernel.  Times in the record are seconds since the start of the
script.  A case calls ``main`` with a function that plays it and returns the broken rules that were seen.
"""

from __future__ import annotations

import http.client
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
import traceback
from collections.abc import Callable, Iterator
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import msgpack

ROOT = Path(__file__).resolve().parent.parent
HOST = "127.0.0.1"
BROKEN, HELD, COULD_NOT_RUN = 1, 0, 2
MAX_SECONDS = 110  # a script that runs longer ends itself with exit code 2
READY_S = 30  # the pages' limit for a start
ZONE, HUB = "edge-1", "north-hub"
KINDS = {"cache": "small-box", "parent": "parent", "origin": "origin"}


class CannotRunError(Exception):
    """The case could not be played: a missing build, a start that failed, or nothing to judge."""


# Record ---------------------------------------------------------------------------------------------------


class Record:
    """Lines of ``record.txt``: what was sent, answered and run, each with its time."""

    def __init__(self, path: Path) -> None:
        self.start_s = time.monotonic()
        self.file = path.open("w", encoding="utf-8")
        self.lock = threading.Lock()

    def now_s(self) -> float:
        """Seconds since the start of the script."""
        return time.monotonic() - self.start_s

    def write(self, text: str) -> None:
        """Write one line, with the time."""
        with self.lock:
            self.file.write(f"{self.now_s():9.3f}  {text}\n")
            self.file.flush()


# List service ---------------------------------------------------------------------------------------------


class ListService:
    """The control feed over HTTP/1.1: it answers a watch when later events exist, or after its wait."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.events: list[dict[str, Any]] = []
        self.changed = threading.Condition()
        self.delay_s = 0.0  # how much later than due each call is answered
        self.sock = socket.create_server((HOST, 0), backlog=64)
        self.address = f"{HOST}:{self.sock.getsockname()[1]}"
        threading.Thread(target=self.accept, daemon=True).start()

    def add(self, event: dict[str, Any]) -> None:
        """Tell an event."""
        with self.changed:
            event = {"n": len(self.events) + 1, **event}
            self.events.append(event)
            self.changed.notify_all()
        self.record.write(f"list service tells {json.dumps(event)[:300]}")

    def accept(self) -> None:
        """Serve each connection in a thread."""
        while True:
            sock, _ = self.sock.accept()
            threading.Thread(target=self.serve, args=(sock,), daemon=True).start()

    def serve(self, sock: socket.socket) -> None:
        """Answer the calls of one connection."""
        with suppress(OSError), sock, sock.makefile("rb") as lines:
            while request := lines.readline():
                while lines.readline().strip():
                    pass
                query = dict(p.split("=") for p in request.split()[1].decode().partition("?")[2].split("&"))
                after, wait_s = int(query["SUB"]), min(5.0, int(query["wait"]) / 1000)
                with self.changed:
                    self.changed.wait_for(lambda known=after: len(self.events) > known, wait_s)
                    answer = {"n": len(self.events), "events": self.events[after:]}
                time.sleep(self.delay_s)
                body = json.dumps(answer).encode()
                head = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"
                sock.sendall(head % len(body) + body)


# Servers --------------------------------------------------------------------------------------------------


@dataclass
class Pull:
    """One request as a server received it."""

    server: str
    id: str
    fields: dict[str, str]
    body: bytes
    at_s: float
    is_given_up: threading.Event = field(default_factory=threading.Event)


@dataclass
class Answer:
    """What a server answers; ``word`` "" answers nothing."""

    word: str = "DONE"
    body: bytes = b""
    fields: str = "-"


class Server:
    """A cache, a parent or the origin; ``behave`` is called in a thread of its own for each request."""

    def __init__(self, role: str, number: int, record: Record, behave: Callable[[Pull], Answer]) -> None:
        self.name = f"s-{role}-{number}"
        self.role, self.record, self.behave = role, record, behave
        self.after_answer: Callable[[socket.socket, threading.Lock, Pull, Answer], None] = lambda *_: None
        self.sock = socket.create_server((HOST, 0), backlog=256)
        self.address = f"{HOST}:{self.sock.getsockname()[1]}"
        threading.Thread(target=self.accept, daemon=True).start()

    def entry(self, status: str = "active") -> dict[str, Any]:
        """The server's row of the list."""
        return {
            "name": self.name,
            "address": self.address,
            "zone": ZONE if self.role == "cache" else HUB,
            "type": KINDS[self.role],
            "group": 0,
            "status": status,
            "weight": 1,
            "since_ms": 0,
        }

    def accept(self) -> None:
        """Serve each connection in a thread."""
        while True:
            sock, _ = self.sock.accept()
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self.serve, args=(sock,), daemon=True).start()

    def serve(self, sock: socket.socket) -> None:
        """Read the commands of one connection."""
        pulls: dict[str, Pull] = {}
        lock = threading.Lock()
        with suppress(OSError, ValueError), sock, sock.makefile("rb") as stream:
            while strings := read_array(stream):
                word, request_id = strings[0].decode(), strings[1].decode()
                if word == "PULL":
                    fields = dict(
                        pair.split("=", 1) for pair in strings[2].decode().split(",") if "=" in pair
                    )
                    pull = Pull(self.name, request_id, fields, strings[3], self.record.now_s())
                    pulls[request_id] = pull
                    self.record.write(f"{self.name} gets {fields['cls']} {request_id}")
                    threading.Thread(target=self.answer, args=(sock, lock, pull), daemon=True).start()
                elif word == "KILL" and request_id in pulls:
                    self.record.write(f"{self.name} is told to give up {request_id}")
                    pulls.pop(request_id).is_given_up.set()
                elif word in ("ECHO", "METER"):
                    send_answer(sock, lock, request_id, Answer("FIT"))
        for pull in pulls.values():
            pull.is_given_up.set()

    def answer(self, sock: socket.socket, lock: threading.Lock, pull: Pull) -> None:
        """Answer one request, unless it was given up."""
        answer = self.behave(pull)
        if answer.word and not pull.is_given_up.is_set():
            with suppress(OSError):
                send_answer(sock, lock, pull.id, answer)
                self.record.write(f"{self.name} answers {pull.id}: {answer.word}, {len(answer.body)} bytes")
                self.after_answer(sock, lock, pull, answer)


REPORTED = {"outstanding": "1", "utilization": "0.2", "x0": "0.7", "x1": "0.2"}
reported_fields: list[str] = []  # those that the settings name, set by the platform


def meter() -> str:
    """The load report of an answer, with the fields that the settings name."""
    return "meter=" + ";".join(f"{name}:{REPORTED[name]}" for name in reported_fields)


def served(pull: Pull, size: int, tell: str = "mem", age_s: float = 0.5) -> Answer:
    """An answer with the bytes of the part that was asked for, from a copy of this age."""
    given_out_ms = int((time.time() - age_s) * 1000)
    tag = int(pull.fields["item"], 16) ^ (int(pull.fields["chunk"]) + 1)
    fields = f"sum={tag:016x},t0={given_out_ms},tell={tell},slow=0,{meter()}"
    return Answer("DONE", object_bytes(pull.fields["item"], pull.fields["chunk"], size), fields)


def read_array(stream: Any) -> list[bytes]:
    """Read one RESP array of bulk strings; empty at the end of the connection."""
    head = stream.readline()
    if not head:
        return []
    strings = []
    for _ in range(int(head[1:])):
        size = int(stream.readline()[1:])
        strings.append(stream.read(size + 2)[:-2])
    return strings


def send_answer(sock: socket.socket, lock: threading.Lock, request_id: str, answer: Answer) -> None:
    """Write one answer."""
    data = encode_answer(request_id, answer)
    with lock:
        sock.sendall(data)


def encode_answer(request_id: str, answer: Answer) -> bytes:
    """One answer as a RESP array."""
    strings = [request_id.encode(), answer.word.encode(), answer.fields.encode(), answer.body]
    return b"*4\r\n" + b"".join(b"$%d\r\n%s\r\n" % (len(string), string) for string in strings)


def object_bytes(item: str, part: str, size: int) -> bytes:
    """The bytes of one part of an object: its name, repeated."""
    name = f"{item}/{part};".encode()
    return (name * (size // len(name) + 1))[:size]


# Configuration --------------------------------------------------------------------------------------------

SECOND_NS = 1_000_000_000


def request_class(name: str, give_up_s: float, effect: str = "safe", **more: Any) -> dict[str, Any]:
    """One class of the settings."""
    return {
        "name": name,
        "idempotency": effect,
        "group": "all",
        "dedup_window_ns": 5 * SECOND_NS,
        "aim_ns": int(give_up_s * SECOND_NS / 5),
        "give_up_ns": int(give_up_s * SECOND_NS),
        "credit": 1.0,
        "late_value": 0.0,
        "stream": False,
        **more,
    }


TT_KITS = {
    "classes": [
        request_class("recipe-video", 6, aim_ns=600_000_000, aim_stretch=2.0, credit=2.0, late_value=0.15),
        request_class("menu-item", 2.5, aim_ns=250_000_000, aim_stretch=2.0, late_value=0.2),
        request_class("order-place", 3, "unsafe", aim_ns=700_000_000, credit=3.0),
    ],
    "goes_through": [False, False, True],
    "multi_part": [True, False, False],
    "max_age_ns": [0, 8 * SECOND_NS, 0],
    "fields": ["outstanding", "utilization", "x0", "x1"],
    "limits": {"most_tries": 6, "peers": True, "second_copies": True, "conn_idle_ns": 30 * SECOND_NS},
    "contract": {
        "cold_from": 0.17,
        "cold_ns": 15 * SECOND_NS,
        "fall_multiple": 2.5,
        "fall_ns": 2 * SECOND_NS,
    },
    "drain_grace_ns": 500_000_000,
    "purge_grace_ns": 300_000_000,
    "merges_fills": True,
}
GYAKORLO = {
    "classes": [
        request_class("material", 5, aim_ns=500_000_000, aim_stretch=2.0, credit=2.0, late_value=0.15),
        request_class("submit", 3, "keyed", aim_ns=700_000_000, credit=3.0, dedup_window_ns=3 * SECOND_NS),
    ],
    "goes_through": [False, True],
    "multi_part": [True, False],
    "max_age_ns": [0, 0],
    "fields": ["utilization", "outstanding", "x1"],
    "limits": {"most_tries": 8, "peers": False, "second_copies": False, "conn_idle_ns": 15 * SECOND_NS},
    "contract": {"cold_from": 0.18, "cold_ns": 18 * SECOND_NS, "fall_multiple": 2.5, "fall_ns": SECOND_NS},
    "drain_grace_ns": 250_000_000,
    "purge_grace_ns": 500_000_000,
    "merges_fills": False,
}


def settings_of(site: dict[str, Any]) -> dict[str, Any]:
    """The settings of a small deployment of a site: one depot, one router, one hub."""
    return {
        "az": ZONE,
        "dcs": [HUB, ZONE],
        "instances": 1,
        "self_index": 0,
        "tick_ns": 2_000_000,
        "discovery": "push",
        "family": "edge",
        "stage": 0,
        "stages": ["cache"],
        "weight_source": "off",
        "worth_by": "request",
        "machine_types": ["small-box", "parent", "origin"],
        "classes": site["classes"],
        "customers": [],
        "client_habits": {"marks_retry": True},
        "contract": {
            "answer_slack_ns": 8_000_000,
            "ask_within_ns": 10 * SECOND_NS,
            "drain_grace_ns": site["drain_grace_ns"],
            **site["contract"],
        },
        "limits": {
            "dial_timeout_ns": 400_000_000,
            "max_open": 21_977,
            "max_streams": 32,
            "may_cancel": True,
            "probing": True,
            "retry_after": True,
            "max_retry_after_ns": SECOND_NS,
            **site["limits"],
        },
        "report": {"how": "inline", "fields": site["fields"]},
        "family_info": {
            "goes_through": site["goes_through"],
            "multi_part": site["multi_part"],
            "max_age_ns": site["max_age_ns"],
            "usable_after_ns": [0] * len(site["classes"]),
            "old_copy_worth": [0.7] * len(site["classes"]),
            "hub_of": [0, 0],
            "instances_by_zone": [0, 1],
            "shield_kind": 1,
            "master_kind": 2,
            "may_pass_by": True,
            "merges_fills": site["merges_fills"],
            "notes_given": "all",
            "sideways": "location",
            "pace_kb_per_s": 5_700.0,
            "parent_cold_from": 0.1,
            "parent_warms_in_ns": 19 * SECOND_NS,
            "parent_fall_multiple": 2.0,
            "purge_grace_ns": site["purge_grace_ns"],
            "purge_takes_ns": 6 * SECOND_NS,
        },
    }


# The router -----------------------------------------------------------------------------------------------


def free_port() -> int:
    """A port that is free now."""
    with socket.create_server((HOST, 0)) as sock:
        return int(sock.getsockname()[1])


class Platform:
    """Starts and ends the processes of one router, by ``run`` of the deploy file."""

    def __init__(
        self, record: Record, site: dict[str, Any], servers: list[Server], holds_listener: bool = False
    ) -> None:
        """``holds_listener``: the platform holds the clients' listening socket, as in an upgrade."""
        if not (ROOT / ".compiled" / "now" / "kelpcroft").is_dir() or not (ROOT / ".venv").is_dir():
            raise CannotRunError("the build of the deploy file is missing")
        reported_fields[:] = site["fields"]
        self.record = record
        self.folder = Path(tempfile.mkdtemp(prefix="kelpcroft-review-"))
        self.processes: list[Process] = []
        self.listener = socket.create_server((HOST, 0), backlog=1024) if holds_listener else None
        port = self.listener.getsockname()[1] if self.listener else free_port()
        self.listen = (HOST, port)
        self.list_service = ListService(record)
        members = {"index": 1, "snapshot": True, "endpoints": [server.entry() for server in servers]}
        self.list_service.add({"members": members})
        self.config = {
            "name": "n1",
            "listen": f"{HOST}:{port}",
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "feed": self.list_service.address,
            "known": {"n": 1, "events": list(self.list_service.events)},
            "settings": settings_of(site),
        }
        self.config_path = self.folder / "config.json"
        self.write_config(json.dumps(self.config).encode())
        (self.folder / "tmp").mkdir()
        deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text(encoding="utf-8"))
        self.run_command = deploy["run"]

    def write_config(self, data: bytes) -> None:
        """Replace the configuration file in one step."""
        temporary = self.config_path.with_suffix(".new")
        temporary.write_bytes(data)
        temporary.replace(self.config_path)

    def start(self) -> Process:
        """Start one process with a control address of its own."""
        process = Process(self)
        self.processes.append(process)
        return process

    def end_all(self) -> None:
        """End the processes that still run, and remove the folder."""
        for process in self.processes:
            process.kill()
        shutil.rmtree(self.folder, ignore_errors=True)


class Process:
    """One process of the router."""

    def __init__(self, platform: Platform) -> None:
        self.platform, self.record = platform, platform.record
        self.name = f"process {len(platform.processes) + 1}"
        self.mgmt = (HOST, free_port())
        self.log_path = platform.folder / f"log-{len(platform.processes) + 1}.txt"
        environment = {
            "PATH": os.environ.get("PATH", ""),
            "TMPDIR": str(platform.folder / "tmp"),
            "ROUTER_NAME": "n1",
            "ROUTER_LISTEN": f"{HOST}:{platform.listen[1]}",
            "ROUTER_CONFIG": str(platform.config_path),
            "ROUTER_MGMT": f"{HOST}:{self.mgmt[1]}",
        }
        inherited = ()
        if platform.listener is not None:
            inherited = (platform.listener.fileno(),)
            environment["ROUTER_FD"] = str(inherited[0])
        with self.log_path.open("wb") as log:
            self.popen = subprocess.Popen(
                ["/bin/sh", "-c", platform.run_command],
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                pass_fds=inherited,
            )
        self.record.write(f"{self.name} is started")

    def call(self, method: str, path: str) -> bool:
        """One call on the control address; whether the answer is yes."""
        try:
            connection = http.client.HTTPConnection(*self.mgmt, timeout=1)
            connection.request(method, path)
            return 200 <= connection.getresponse().status < 300
        except OSError:
            return False

    def wait_until_ready(self, seconds: float = READY_S) -> None:
        """Ask every 0.1 s whether the process is ready, until it says yes."""
        end_s = time.monotonic() + seconds
        while not self.call("GET", "/control/ready"):
            if self.popen.poll() is not None or time.monotonic() > end_s:
                raise CannotRunError(f"{self.name} does not get ready: {self.log_tail()}")
            time.sleep(0.1)
        self.record.write(f"{self.name} says yes to ready")

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal, if the process runs."""
        if self.popen.poll() is None:
            self.popen.send_signal(number)
            self.record.write(f"{self.name} receives {number.name}")

    def kill(self) -> None:
        """Kill the process, if it runs, and take its log into the record."""
        if self.popen.poll() is None:
            self.popen.kill()
        self.popen.wait()
        self.record.write(f"{self.name}: exit code {self.popen.returncode}; its log:")
        for line in self.log_path.read_text(encoding="utf-8", errors="replace").splitlines()[-40:]:
            self.record.write(f"    {line[:300]}")

    def log_tail(self) -> str:
        """The end of the log, for an error."""
        return self.log_path.read_text(encoding="utf-8", errors="replace")[-400:]

    def peak_memory_mb(self) -> float:
        """The highest resident memory so far, in MB of 2**20 bytes; 0 if the process has ended."""
        with suppress(OSError):
            for line in Path(f"/proc/{self.popen.pid}/status").read_text(encoding="utf-8").splitlines():
                if line.startswith("VmHWM:"):
                    return int(line.split()[1]) / 1024
        return 0.0


# Clients --------------------------------------------------------------------------------------------------


@dataclass
class Asked:
    """One request of a client, and its answer."""

    number: int
    trace: str
    label: str
    sent_s: float
    patience_s: float
    is_cancelled: bool = False
    answers: list[tuple[float, str, bytes]] = field(default_factory=list)  # time, kind and bytes of each

    @property
    def kind(self) -> str:
        """How it was answered: served, refused, failed, or nothing."""
        return self.answers[0][1] if self.answers else "nothing"


class Client:
    """One connection of a client, read in a thread of its own, at ``bytes_per_s`` at most (0: no limit)."""

    def __init__(
        self,
        record: Record,
        address: tuple[str, int],
        name: str,
        bytes_per_s: int = 0,
        receive_buffer: int = 0,
    ) -> None:
        """``receive_buffer``: SO_RCVBUF of the socket; 0 leaves it as the system has it."""
        self.record, self.name, self.bytes_per_s = record, name, bytes_per_s
        self.sock = socket.socket()
        if receive_buffer:
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
        self.sock.settimeout(5)
        self.sock.connect(address)
        self.sock.settimeout(None)
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.asked: dict[int, Asked] = {}
        self.end = ""  # how the connection ended, as this client saw it; empty while it is open
        self.ended_s = 0.0
        self.received_bytes = 0
        self.thread = threading.Thread(target=self.receive, daemon=True)
        self.thread.start()

    def ask(
        self, service: str, patience_s: float, label: str = "", body: bytes = b"", **fields: str
    ) -> Asked:
        """Send one request; ``fields`` are added to its trace, patience and object."""
        asked, data = self.encode(service, patience_s, label, body, fields)
        try:
            self.sock.sendall(data)
            self.record.write(f"{self.name} asks {asked.number} {service} {asked.label} ({asked.trace})")
        except OSError as error:
            self.record.write(f"{self.name} cannot write {asked.number} {asked.label}: {error}")
        return asked

    def encode(
        self, service: str, patience_s: float, label: str, body: bytes, fields: dict[str, str]
    ) -> tuple[Asked, bytes]:
        """Encode one request and remember it."""
        number = len(self.asked) + 1
        trace = os.urandom(8).hex()
        asked = Asked(number, trace, label, self.record.now_s(), patience_s)
        self.asked[number] = asked
        own = {"trace": trace, "patience": str(int(patience_s * 1000)), "entity": os.urandom(8).hex()}
        return asked, msgpack.packb(
            [0, number, service, [{**own, "block": "0", "family": "17", **fields}, body]]
        )

    def cancel(self, asked: Asked) -> None:
        """Stop waiting for a request."""
        asked.is_cancelled = True
        with suppress(OSError):
            self.sock.sendall(msgpack.packb([2, "cancel", [asked.number]]))
        self.record.write(f"{self.name} cancels {asked.number} {asked.label}")

    def receive(self) -> None:
        """Read answers until the connection ends."""
        unpacker = msgpack.Unpacker(raw=False, max_buffer_size=1 << 20)
        step_bytes = self.bytes_per_s // 100 if self.bytes_per_s else 1 << 16
        start_s = time.monotonic()
        try:
            while data := self.sock.recv(step_bytes):
                self.received_bytes += len(data)
                unpacker.feed(data)
                for message in unpacker:
                    self.take(message)
                if self.bytes_per_s:
                    due_s = start_s + self.received_bytes / self.bytes_per_s
                    idle_s = time.monotonic() - due_s
                    if idle_s > 0.1:  # an idle time is no credit for a higher rate later
                        start_s += idle_s
                    time.sleep(max(0.0, -idle_s))
            self.end = "closed by the router"
        except OSError as error:
            self.end = f"{error.strerror or error}"
        self.ended_s = self.record.now_s()
        self.record.write(f"{self.name}: connection ended: {self.end}, after {self.received_bytes} bytes")

    def take(self, message: Any) -> None:
        """Note one answer."""
        _, number, error, result = message
        kind = "served" if error is None else "refused" if error[0] == "Shed" else "failed"
        body = result[0] if error is None else b""
        asked = self.asked[number]
        asked.answers.append((self.record.now_s(), kind, body if isinstance(body, bytes) else b""))
        self.record.write(f"{self.name} receives {number} {asked.label}: {kind}, {len(body or b'')} bytes")

    def close(self) -> None:
        """Leave."""
        with suppress(OSError):
            self.sock.shutdown(socket.SHUT_RDWR)
        self.sock.close()


ANSWER_SLACK_S = 0.55  # a request is lost if it has no answer by half a second (and 50 ms) after its time


def ask_in_turn(
    record: Record, address: tuple[str, int], name: str, service: str, patience_s: float, until_s: float
) -> list[Asked]:
    """A client that asks for one thing after another on one connection; return what it asked.

    It sends its next request 0.2 s after an answer.  It stops waiting, and sends a cancel, when a request is
    lost by the pages: half a second after its time.
    """
    client = Client(record, address, name)
    while record.now_s() < until_s and not client.end:
        asked = client.ask(service, patience_s, f"no. {len(client.asked) + 1}")
        while (
            not asked.answers
            and not client.end
            and record.now_s() < asked.sent_s + patience_s + ANSWER_SLACK_S
        ):
            time.sleep(0.01)
        if not asked.answers:
            client.cancel(asked)
        time.sleep(0.2)
    asked_of_client = list(client.asked.values())
    client.close()
    return asked_of_client


def lost(asked: Asked) -> str:
    """Why a request is lost by the pages; "" if it is not."""
    if not asked.answers:
        return f"no answer {asked.patience_s + ANSWER_SLACK_S:.2f} s after it was sent"
    late_s = asked.answers[0][0] - asked.sent_s - asked.patience_s
    if late_s > ANSWER_SLACK_S:
        return f"answered {late_s:.3f} s after its time"
    return "" if len(asked.answers) == 1 else f"{len(asked.answers)} answers"


def lost_requests(record: Record, asked: list[Asked]) -> Iterator[str]:
    """A line for each request that is lost by the pages."""
    record.write(f"{len(asked)} requests, {sum(one.kind == 'served' for one in asked)} served")
    for one in asked:
        if lost(one):
            yield f"Every request answered: {one.trace}, sent at {one.sent_s:.3f}: {lost(one)}"


def run_all(functions: list[Callable[[], Any]]) -> list[Any]:
    """Run functions in a thread each, and return their results."""
    results: list[Any] = [None] * len(functions)

    def run(index: int) -> None:
        results[index] = functions[index]()

    threads = [threading.Thread(target=run, args=(index,), daemon=True) for index in range(len(functions))]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return results


# Harness --------------------------------------------------------------------------------------------------


def has_trouble() -> bool:
    """Whether the disruption is to be played (not with TROUBLE=0)."""
    return os.environ.get("TROUBLE") != "0"


class Pulse:
    """Finds out whether the script itself stood still; then its stand-ins were not sound."""

    def __init__(self) -> None:
        self.longest_s = 0.0
        threading.Thread(target=self.beat, daemon=True).start()

    def beat(self) -> None:
        """Sleep for short times, and note the longest time by which one was exceeded."""
        while True:
            start_s = time.monotonic()
            time.sleep(PULSE_S)
            self.longest_s = max(self.longest_s, time.monotonic() - start_s - PULSE_S)

    def check(self) -> None:
        """Raise CannotRunError if the script stood still for longer than ``MAX_STILL_S``."""
        if self.longest_s > MAX_STILL_S:
            raise CannotRunError(
                f"the script stood still for {self.longest_s:.3f} s: the machine is too busy"
            )


PULSE_S = 0.02
MAX_STILL_S = 0.5  # a script that stood still for longer could not run


def main(folder: Path, play: Callable[[Record, list[Platform]], Iterator[str]]) -> None:
    """Play a case, judge it, end what it started, and exit with 1, 0 or 2.

    Args:
        folder: Where ``record.txt`` is written.
        play: Plays the case; it appends each platform that it makes to the list, and yields a line for each
            time that a rule was broken.
    """
    record = Record(folder / "record.txt")
    platforms: list[Platform] = []
    code = COULD_NOT_RUN

    def stop(*_: object) -> None:
        raise CannotRunError("ended by a signal, or not over in time")

    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGALRM):
        signal.signal(number, stop)
    signal.alarm(MAX_SECONDS)
    pulse = Pulse()
    try:
        record.write(f"trouble: {has_trouble()}")
        broken = list(play(record, platforms))
        record.write(f"the script stood still for {pulse.longest_s:.3f} s at most")
        pulse.check()
        for line in broken:
            record.write(f"BROKEN: {line}")
            print(f"broken: {line}")
        code = BROKEN if broken else HELD
    except CannotRunError as error:
        record.write(f"could not run: {error}")
        print(f"could not run: {error}")
    except Exception:
        record.write(f"could not run:\n{traceback.format_exc()}")
        print(traceback.format_exc())
    finally:
        signal.alarm(0)
        for platform in platforms:
            platform.end_all()
        record.write(f"exit code {code}")
    sys.stdout.flush()
    os._exit(code)  # the threads of the stand-ins are not waited for
