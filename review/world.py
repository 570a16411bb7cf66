"""Stand-ins for one small deployment, for the cases of the review: list service, servers, clients, platform.

Everything but the routers runs in one asyncio loop.  A router is started with the `run` command of the deploy
file.  All addresses are on 127.0.0.1.  Times in the record are seconds since the start of the case.
"""

from __future__ import annotations

import asyncio
import json
import os
import secrets
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable, Coroutine
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any
from urllib.parse import parse_qs, urlsplit

import msgpack

ROOT = Path(__file__).resolve().parent.parent
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
START_LIMIT_S = 30.0  # a router that is not ready by then has failed to start
CASE_LIMIT_S = 60.0  # a case that takes longer could not run
SECOND_NS = 1_000_000_000
RESPONSE_TAG = "4be0c1927d55a6f3"
INHERITED_FD = 3  # the descriptor of the listening socket that the platform holds in an upgrade
inherited_listener: socket.socket | None = None

# The classes of the deployment, as settings name them; ``uncacheable`` becomes an entry of ``goes_through``.
CLASSES: list[dict[str, Any]] = [
    {"name": "recipe-video", "idempotency": "safe", "aim_s": 0.6, "give_up_s": 6.0, "credit": 2.0},
    {"name": "menu-item", "idempotency": "safe", "aim_s": 0.25, "give_up_s": 2.5, "credit": 1.0},
    {
        "name": "order-place",
        "idempotency": "unsafe",
        "aim_s": 0.7,
        "give_up_s": 3.0,
        "credit": 3.0,
        "uncacheable": True,
    },
]


class CaseError(Exception):
    """The case could not run, so it shows nothing about the rule."""


class Record:
    """The record of a case: one line for each event, with its time."""

    def __init__(self) -> None:
        self.started_s = time.monotonic()
        self.lines: list[str] = []

    def now(self) -> float:
        """Seconds since the start of the case."""
        return time.monotonic() - self.started_s

    def note(self, text: str) -> None:
        """Add a line."""
        self.lines.append(f"{self.now():9.4f} {text}")


@dataclass
class Command:
    """One PULL that a server received.

    Attributes:
        server: Name of the server.
        request_id: The id that the client gave the request.
        fields: The fields of the command.
        body: The body of the command.
        received_s: When it had arrived completely, in seconds since the start of the case.
        earlier: Number of PULLs with the same id that any server received before.
    """

    server: str
    request_id: str
    fields: dict[str, str]
    body: bytes
    received_s: float
    earlier: int


@dataclass
class Reply:
    """How a server answers a PULL: after ``delay_s``; ``ran`` says whether it was carried out."""

    word: str = "DONE"
    delay_s: float = 0.0
    tell: str = "mem"
    body: bytes = b""
    ran: bool = True
    made_ms: int = 0  # when the origin gave out the copy, in Unix ms; 0 = now


Script = Callable[[Command], Reply]


class Servers:
    """Caches, a parent and the origin.  ``script`` decides how each PULL is answered."""

    def __init__(self, record: Record, script: Script) -> None:
        self.record = record
        self.script = script
        self.commands: list[Command] = []
        self.runs: list[Command] = []  # the PULLs that were carried out
        self.endpoints: list[dict[str, Any]] = []
        self.tasks: set[asyncio.Task[None]] = set()

    async def listen(self, name: str, zone: str, kind: str) -> None:
        """Start a server and add it to the endpoint list."""

        async def handle(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await self.serve(name, reader, writer)

        server = await asyncio.start_server(handle, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        self.endpoints.append(
            {
                "name": name,
                "address": f"127.0.0.1:{port}",
                "zone": zone,
                "type": kind,
                "group": 0,
                "status": "active",
                "weight": 1,
                "since_ms": 0,
            }
        )

    async def serve(self, name: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection until the router closes it."""
        pending: dict[str, asyncio.Task[None]] = {}
        try:
            while True:
                count = int((await reader.readuntil(b"\r\n"))[1:])
                words = []
                for _ in range(count):
                    size = int((await reader.readuntil(b"\r\n"))[1:])
                    words.append((await reader.readexactly(size + 2))[:-2])
                verb, request_id = words[0].decode(), words[1].decode()
                if verb == "PULL":
                    task = asyncio.ensure_future(self.answer(name, words, writer))
                    pending[request_id] = task
                    self.tasks.add(task)
                    task.add_done_callback(self.tasks.discard)
                elif verb == "KILL":
                    self.record.note(f"{name} KILL {request_id}")
                    if request_id in pending:
                        pending.pop(request_id).cancel()
                else:
                    write_answer(writer, request_id, "FIT", "meter=outstanding:1;utilization:0.2", b"")
        except (asyncio.IncompleteReadError, OSError):
            pass
        except asyncio.CancelledError:
            return  # the case is over
        finally:
            for task in pending.values():  # closing a connection gives up everything open on it
                task.cancel()
            writer.close()

    async def answer(self, name: str, words: list[bytes], writer: asyncio.StreamWriter) -> None:
        """Answer one PULL as the script says."""
        request_id = words[1].decode()
        fields = dict(pair.split("=", 1) for pair in words[2].decode().split(",") if "=" in pair)
        earlier = sum(command.request_id == request_id for command in self.commands)
        command = Command(name, request_id, fields, words[3], self.record.now(), earlier)
        self.commands.append(command)
        reply = self.script(command)
        self.record.note(
            f"{name} PULL {request_id} {words[2].decode()} body={len(words[3])} "
            f"-> {reply.word} after {reply.delay_s:g} s, {'runs' if reply.ran else 'does not run'}"
        )
        if reply.ran:
            self.runs.append(command)
        await asyncio.sleep(reply.delay_s)
        answer_fields = f"tell={reply.tell},meter=outstanding:1;utilization:0.2"
        if reply.word == "DONE":
            answer_fields = f"sum={RESPONSE_TAG},t0={reply.made_ms or unix_ms()}," + answer_fields
        write_answer(writer, request_id, reply.word, answer_fields, reply.body)


def unix_ms() -> int:
    """The time of the system's Unix clock in ms."""
    return int(time.time() * 1000)


def write_answer(writer: asyncio.StreamWriter, request_id: str, word: str, fields: str, body: bytes) -> None:
    """Write one answer of a server; an answer on a connection that has ended is dropped."""
    strings = (request_id.encode(), word.encode(), fields.encode(), body)
    if not writer.is_closing():
        writer.write(b"*4\r\n" + b"".join(b"$%d\r\n%s\r\n" % (len(s), s) for s in strings))


class ListService:
    """The control feed of one router: numbered events over HTTP/1.1 long polls."""

    def __init__(self, endpoints: list[dict[str, Any]]) -> None:
        self.events: list[dict[str, Any]] = [
            {"n": 1, "members": {"index": 1, "snapshot": True, "endpoints": endpoints}}
        ]
        self.address = ""
        self.is_stalled = False
        self.writers: set[asyncio.StreamWriter] = set()

    def tell(self, **event: Any) -> None:
        """Add an event."""
        self.events.append({"n": self.events[-1]["n"] + 1, **event})

    def break_off(self) -> None:
        """Close all connections of watchers."""
        for writer in self.writers:
            writer.close()

    async def listen(self) -> None:
        """Start the service."""
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection; while the service is stalled, nothing is answered on it."""
        self.writers.add(writer)
        try:
            while line := await reader.readline():
                while (await reader.readline()).strip():
                    pass
                query = parse_qs(urlsplit(line.split()[1].decode()).query)
                after, until_s = int(query["SUB"][0]), time.monotonic() + int(query["wait"][0]) / 1000
                while self.is_stalled or (self.events[-1]["n"] <= after and time.monotonic() < until_s):
                    await asyncio.sleep(0.01)
                events = [event for event in self.events if event["n"] > after]
                body = json.dumps({"n": self.events[-1]["n"], "events": events}).encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))
        except (OSError, IndexError):
            pass
        except asyncio.CancelledError:
            return  # the case is over
        finally:
            self.writers.discard(writer)
            writer.close()


@dataclass
class Sent:
    """A request that a client wrote completely, and what came back for it.

    Attributes:
        request_id: The client's id for it.
        request_class: Its class.
        sent_s: When its last byte was written, in seconds since the start of the case; 0 = it is not.
        answers: Each whole answer, "served", "refused" or "failed", with its time.
        lost: Why no answer can arrive any more; "" while one can.
    """

    request_id: str
    request_class: str
    sent_s: float = 0.0
    answers: list[tuple[str, float]] = field(default_factory=list)
    lost: str = ""


class Client:
    """One connection of a client.  It reads at most ``bytes_per_s``; 0 = as fast as it can."""

    def __init__(self, record: Record, name: str, bytes_per_s: int = 0, receive_buffer: int = 0) -> None:
        self.record = record
        self.name = name
        self.bytes_per_s = bytes_per_s
        self.receive_buffer = receive_buffer
        self.requests: dict[int, Sent] = {}
        self.count = 0
        self.received_bytes = 0
        self.has_ended = False  # the router has closed the connection
        self.is_ready: bool | None = None  # the last answer to ``health``
        self.sock = socket.socket()
        self.reading: asyncio.Task[None] | None = None

    async def connect(self, address: tuple[str, int]) -> None:
        """Connect to a router and start to read its answers."""
        if self.receive_buffer:
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, self.receive_buffer)
        self.sock.setblocking(False)
        await asyncio.get_running_loop().sock_connect(self.sock, address)
        self.reading = asyncio.ensure_future(self.read())

    async def write(self, data: bytes) -> None:
        """Write bytes to the connection."""
        await asyncio.get_running_loop().sock_sendall(self.sock, data)

    def encode(
        self, request_class: str, patience_s: float, body: bytes = b"", item: str = ""
    ) -> tuple[int, Sent, bytes]:
        """Return the number of the next request, its entry and its bytes."""
        self.count += 1
        request_id = secrets.token_hex(8)
        fields = {
            "trace": request_id,
            "patience": str(int(patience_s * 1000)),
            "entity": item or secrets.token_hex(8),
            "block": "0",
            "family": "17",
        }
        data = msgpack.packb([0, self.count, request_class, [fields, body]])
        return self.count, Sent(request_id, request_class), data

    async def send(
        self,
        request_class: str,
        patience_s: float,
        body: bytes = b"",
        item: str = "",
        mark: set[str] | None = None,
    ) -> Sent:
        """Send one request for ``item``, by default a new object; ``mark`` gets its id before it is sent."""
        number, sent, data = self.encode(request_class, patience_s, body, item)
        if mark is not None:
            mark.add(sent.request_id)
        self.requests[number] = sent
        await self.write(data)
        self.enter(number, sent)
        return sent

    def enter(self, number: int, sent: Sent) -> None:
        """Note that the last byte of a request is written."""
        sent.sent_s = self.record.now()
        self.requests[number] = sent
        self.record.note(f"{self.name} sent {sent.request_id} {sent.request_class}")

    async def check_health(self) -> None:
        """Send a health request."""
        self.count += 1
        await self.write(msgpack.packb([0, self.count, "health", [{}]]))

    async def read(self) -> None:
        """Read answers until the connection ends."""
        loop = asyncio.get_running_loop()
        unpacker = msgpack.Unpacker(raw=False, max_buffer_size=1 << 26)
        reason = "the connection was closed"
        try:
            while True:
                size = self.bytes_per_s // 50 if self.bytes_per_s else 1 << 18
                data = await loop.sock_recv(self.sock, size)
                if not data:
                    break
                self.received_bytes += len(data)
                unpacker.feed(data)
                for _, number, error, result in unpacker:
                    self.take(number, error, result)
                if self.bytes_per_s:
                    await asyncio.sleep(len(data) / self.bytes_per_s)
        except OSError as failure:
            reason = f"the connection failed: {failure.strerror}"
        self.has_ended = True
        for sent in self.requests.values():
            if sent.sent_s and not sent.answers:
                sent.lost = reason
                self.record.note(f"{self.name} LOST {sent.request_id} {sent.request_class}: {reason}")

    def take(self, number: int, error: Any, result: Any) -> None:
        """Take one answer."""
        sent = self.requests.get(number)
        if sent is None:
            self.is_ready = error is None and result[0] is True
            return
        kind = "served" if error is None else "refused" if error[0] == "Shed" else "failed"
        sent.answers.append((kind, self.record.now()))
        self.record.note(f"{self.name} answer {sent.request_id} {sent.request_class}: {kind}")

    def close(self) -> None:
        """Close the connection."""
        if self.reading is not None:
            self.reading.cancel()
        if self.sock.fileno() >= 0:
            asyncio.get_running_loop().remove_reader(self.sock)
        self.sock.close()


class Router:
    """A router process, started as the deploy file says, and the platform's calls and signals to it.

    With ``INHERITED_FD`` open, as in an upgrade, the process inherits the clients' listening socket and has a
    control address of its own; otherwise it binds a free port.
    """

    def __init__(self, record: Record, folder: Path, list_service: ListService, name: str = "router") -> None:
        self.record = record
        self.folder = folder
        self.name = name
        self.list_service = list_service
        self.inherits = inherited_listener is not None
        self.address: tuple[str, int] = (
            free_address() if inherited_listener is None else inherited_listener.getsockname()[:2]
        )
        self.control_address = free_address()
        self.config_path = folder / "config.json"
        self.process: subprocess.Popen[bytes] | None = None

    def write_config(self, classes: list[dict[str, Any]]) -> None:
        """Write the configuration file, which all processes of the router share."""
        base = json.loads((ROOT / "examples/config.json").read_bytes())
        config = {
            **base,
            "listen": f"127.0.0.1:{self.address[1]}",
            "feed": self.list_service.address,
            "known": {"n": 1, "events": self.list_service.events[:1]},
            "settings": {**base["settings"], **class_settings(classes)},
        }
        temporary_path = self.config_path.with_suffix(".new")
        temporary_path.write_text(json.dumps(config))
        temporary_path.replace(self.config_path)

    async def start(self) -> None:
        """Start the process and wait until it says that it takes clients."""
        run = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
        (self.folder / "tmp").mkdir(exist_ok=True)
        env = {
            "PATH": os.environ.get("PATH", os.defpath),
            "ROUTER_NAME": "n1",
            "ROUTER_LISTEN": f"127.0.0.1:{self.address[1]}",
            "ROUTER_CONFIG": str(self.config_path),
            "TMPDIR": str(self.folder / "tmp"),
        }
        if self.inherits:
            env["ROUTER_FD"] = str(INHERITED_FD)
            env["ROUTER_MGMT"] = f"127.0.0.1:{self.control_address[1]}"
        descriptors = (INHERITED_FD,) if self.inherits else ()
        with (self.folder / f"{self.name}.log").open("wb") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", run], cwd=ROOT, env=env, stdout=log, stderr=log, pass_fds=descriptors
            )
        until_s = time.monotonic() + START_LIMIT_S
        while time.monotonic() < until_s and self.process.poll() is None:
            if await (self.says_ready() if self.inherits else self.is_healthy()):
                self.record.note(f"{self.name} is ready, process {self.process.pid}")
                return
            await asyncio.sleep(0.1)
        raise CaseError(f"{self.name} did not become ready: {self.log()}")

    async def is_healthy(self) -> bool:
        """Whether the router answers a client's health request with true."""
        client = Client(self.record, "platform")
        try:
            await client.connect(self.address)
            await client.check_health()
            await asyncio.sleep(0.1)
        except OSError:
            return False
        finally:
            client.close()
        return client.is_ready is True

    async def says_ready(self) -> bool:
        """Whether the process answers yes to ``GET /control/ready``."""
        try:
            reader, writer = await asyncio.open_connection(*self.control_address)
            writer.write(b"GET /control/ready HTTP/1.1\r\nHost: router\r\n\r\n")
            status = await reader.readline()
            writer.close()
        except OSError:
            return False
        return status.startswith(b"HTTP/1.1 2")

    def signal(self, number: signal.Signals) -> None:
        """Send the process a signal."""
        assert self.process is not None
        self.record.note(f"platform sends {number.name} to {self.name}")
        self.process.send_signal(number)

    def exit_code(self) -> int | None:
        """The exit code of the process; None while it runs."""
        assert self.process is not None
        return self.process.poll()

    def log(self) -> str:
        """What the router has written."""
        path = self.folder / f"{self.name}.log"
        return path.read_text(errors="replace") if path.exists() else ""

    def end(self) -> None:
        """End the process."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()


def free_address() -> tuple[str, int]:
    """An address that nothing uses at the moment."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        address: tuple[str, int] = listener.getsockname()[:2]
    return address


def hold_listener() -> None:
    """Hold the clients' listening socket, which every process started from now on inherits.

    To be called before anything else is opened.

    Raises:
        CaseError: The descriptor is in use.
    """
    global inherited_listener
    listener = socket.create_server(("127.0.0.1", 0), backlog=128)
    if listener.fileno() != INHERITED_FD:
        try:
            os.fstat(INHERITED_FD)
        except OSError:
            os.dup2(listener.fileno(), INHERITED_FD)
        else:
            raise CaseError(f"descriptor {INHERITED_FD} is in use")
    inherited_listener = listener


def class_settings(classes: list[dict[str, Any]]) -> dict[str, Any]:
    """The keys of the settings that depend on the list of classes."""
    base = json.loads((ROOT / "examples/config.json").read_bytes())["settings"]["family_info"]
    wire_classes = [
        {
            "name": c["name"],
            "idempotency": c["idempotency"],
            "aim_ns": int(c["aim_s"] * SECOND_NS),
            "aim_stretch": 2.0,
            "give_up_ns": int(c["give_up_s"] * SECOND_NS),
            "credit": c["credit"],
            "late_value": 0.0,
            "group": "all",
            "dedup_window_ns": 5 * SECOND_NS,
            "stream": False,
        }
        for c in classes
    ]
    family = {
        **base,
        "goes_through": [bool(c.get("uncacheable")) for c in classes],
        "multi_part": [c["name"].startswith("recipe") for c in classes],
        "max_age_ns": [8 * SECOND_NS if c["name"] == "menu-item" else 0 for c in classes],
        "usable_after_ns": [0 for _ in classes],
        "old_copy_worth": [0.7 for _ in classes],
    }
    return {"classes": wire_classes, "family_info": family}


@dataclass
class World:
    """The parts of a running case."""

    record: Record
    servers: Servers
    list_service: ListService
    router: Router
    has_trouble: bool
    clients: list[Client] = field(default_factory=list)
    successor: Router | None = None  # the process of an upgrade

    async def start_successor(self) -> Router:
        """Start `run` one more time, with another control address and everything else unchanged."""
        self.successor = Router(self.record, self.router.folder, self.list_service, "successor")
        await self.successor.start()
        return self.successor

    async def client(self, name: str, bytes_per_s: int = 0, receive_buffer: int = 0) -> Client:
        """Connect a client."""
        client = Client(self.record, name, bytes_per_s, receive_buffer)
        await client.connect(self.router.address)
        self.clients.append(client)
        return client

    def sent(self) -> list[Sent]:
        """All requests of all clients that were written completely."""
        return [sent for client in self.clients for sent in client.requests.values() if sent.sent_s]


Case = Callable[[World], Awaitable[list[str]]]


async def run_world(record: Record, folder: Path, script: Script, case: Case) -> list[str]:
    """Start a small deployment, run the case in it, and return the breaches of the rule."""
    servers = Servers(record, script)
    for number in range(1, 5):
        await servers.listen(f"s-cache{number}", "edge-1", "box")
    await servers.listen("s-parent", "hub", "parent")
    await servers.listen("s-origin", "hub", "origin")
    list_service = ListService(servers.endpoints)
    await list_service.listen()
    router = Router(record, folder, list_service)
    world = World(record, servers, list_service, router, os.environ.get("TROUBLE", "1") != "0")
    try:
        router.write_config(CLASSES)
        await router.start()
        return await asyncio.wait_for(as_coroutine(case(world)), CASE_LIMIT_S)
    except TimeoutError as error:
        raise CaseError("the case took too long") from error
    finally:
        router.end()
        if world.successor is not None:
            world.successor.end()
        for client in world.clients:
            client.close()


async def as_coroutine(case: Awaitable[list[str]]) -> list[str]:
    """Await a case."""
    return await case


def main(
    script: Script, case: Callable[[World], Coroutine[Any, Any, list[str]]], holds_listener: bool = False
) -> int:
    """Run a case, write its record beside it, and return the exit code.

    With ``holds_listener`` the platform holds the clients' listening socket, as in an upgrade.
    """
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(COULD_NOT_RUN))  # the router is ended on the way out
    record = Record()
    folder = Path(tempfile.mkdtemp(prefix="kelpcroft-review-"))
    try:
        if holds_listener:
            hold_listener()
        breaches = asyncio.run(run_world(record, folder, script, case))
        code = BROKEN if breaches else HELD
        record.lines += [f"BROKEN: {breach}" for breach in breaches] or ["the rule held"]
    except Exception as error:  # whatever it is, the case has shown nothing about the rule
        record.lines.append(f"could not run: {type(error).__name__}: {error}")
        code = COULD_NOT_RUN
    finally:
        for path in sorted(folder.glob("*.log")):
            lines = path.read_text(errors="replace").splitlines()[-60:]
            record.lines += ["", f"log of the {path.stem}:", *lines]
        shutil.rmtree(folder, ignore_errors=True)
    case_folder = Path(sys.argv[0]).resolve().parent
    (case_folder / "record.txt").write_text("\n".join(record.lines) + "\n")
    print("\n".join(line for line in record.lines if line.startswith(("BROKEN", "could", "the rule"))))
    return code
