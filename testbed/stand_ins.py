"""A small world on loopback: caches, a parent, the origin and the feed in one thread, and a client.

Servers do what a script says: a function of the server's name and the request that it got, which returns a
Reply.  Whatever arrives is written down with its time, so that a test can hold it against what was declared.
Ports come from the kernel.
"""

from __future__ import annotations

import heapq
import json
import os
import secrets
import selectors
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import msgpack

ROOT = Path(__file__).parent.parent
PROGRAM_DIR = ROOT / os.environ.get("KELPCROFT_FROM", ".")  # .compiled/now: what `run` starts
MS = 1_000_000
MAX_WAIT_S = 20.0  # whoever waits so long has failed
SERVERS = {
    "cache1": ("s-c1", "edge-1", "box"),
    "cache2": ("s-c2", "edge-1", "box"),
    "parent": ("s-p", "hub", "parent"),
    "origin": ("s-o", "hub", "origin"),
}


@dataclass(frozen=True)
class ServerCommand:
    """One command that a server got."""

    server: str
    verb: str  # PULL or KILL
    request_id: str
    fields: dict[str, str]
    received_ns: int


@dataclass(frozen=True)
class ScriptedReply:
    """What a server does with a request: answers after a time, says nothing, or breaks the connection."""

    fate: str = "DONE"  # DONE, LACK, WAIT, BROKE, PAST; "silent"; "reset"; "cut": half an answer
    delay_ms: float = 0.0
    cache_status: str = "mem"
    body: bytes = b""


ServerScript = Callable[[str, ServerCommand], ScriptedReply]


def answer_at_once(server: str, seen: ServerCommand) -> ScriptedReply:
    """Everything is answered at once."""
    return ScriptedReply(body=f"by {server}".encode())


class StandInServers:
    """The servers and the feed.  A context manager."""

    def __init__(
        self, script: ServerScript = answer_at_once, servers: tuple[str, ...] = tuple(SERVERS)
    ) -> None:
        self.script = script
        self.commands: list[ServerCommand] = []
        self.server_names = servers
        self.selector = selectors.DefaultSelector()
        self.listeners = {n: socket.create_server(("127.0.0.1", 0)) for n in (*servers, "feed")}
        self.heap: list[tuple[int, int, socket.socket, bytes]] = []
        self.buffers: dict[socket.socket, bytes] = {}
        self.feed_events: list[dict[str, Any]] = []  # events of the feed, numbered from 2
        self.polls: dict[socket.socket, tuple[int, int]] = {}  # that wait: after which event, until when
        self.feed_event_times_ns: list[int] = []  # when each came to be
        self.feed_deliveries: list[tuple[int, int]] = []  # which event went out to somebody, and when
        self.settled_requests: dict[
            tuple[str, str, int], tuple[int, bool]
        ] = {}  # how a PULL ended: when, never ran
        self.unanswered_requests: dict[socket.socket, set[tuple[str, str, int]]] = {}  # PULLs that have not
        # Of the feed: when, after which event (-1 = turned away), and from which port.
        self.feed_calls: list[tuple[int, int, int]] = []
        self.ports: dict[socket.socket, int] = {}  # from which each connection comes
        self.max_feed_calls_per_s = 0  # calls of the feed in one second; with more it falls over; 0 = any
        self.feed_down_until_ns = 0  # it resets whoever comes
        self.feed_crashes = 0
        self.events_before_restart = 0  # events that it had when it last began to count anew
        self.made = 0
        self.stop = threading.Event()
        self.lock = threading.Lock()
        for name, listener in self.listeners.items():
            listener.setblocking(False)
            self.selector.register(listener, selectors.EVENT_READ, name)
        self.thread = threading.Thread(target=self.run, daemon=True)

    def __enter__(self) -> StandInServers:
        self.thread.start()
        return self

    def __exit__(self, *_: object) -> None:
        self.stop.set()
        self.thread.join(MAX_WAIT_S)
        for sock in (*self.listeners.values(), *self.buffers):
            sock.close()
        self.selector.close()

    def address_of(self, name: str) -> str:
        """The address of a server or the feed."""
        return f"127.0.0.1:{self.listeners[name].getsockname()[1]}"

    def publish(self, **event: Any) -> int:
        """An event of the feed, to all who poll from now on: its number."""
        with self.lock:
            self.feed_events.append({"n": len(self.feed_events) + 2, **event})
            self.feed_event_times_ns.append(time.monotonic_ns())
            return len(self.feed_events) + 1

    def refuse_connections(self, name: str) -> None:
        """A server that refuses connections from now on.  Before the world has started."""
        self.selector.unregister(self.listeners[name])
        port = self.listeners[name].getsockname()[1]
        self.listeners[name].close()
        self.listeners[name] = held = socket.socket()
        held.bind(("127.0.0.1", port))  # bound and not listening: nobody else gets the port

    def requests(self, id: str | None = None, server: str | None = None) -> list[ServerCommand]:
        """Requests that came, of one id or at one server if so wanted."""
        with self.lock:
            return [
                s
                for s in self.commands
                if s.verb == "PULL" and id in (None, s.request_id) and server in (None, s.server)
            ]

    def endpoint_snapshot(self) -> dict[str, Any]:
        """The list of servers as an event."""
        endpoints = [
            {
                "name": SERVERS[n][0],
                "address": self.address_of(n),
                "zone": SERVERS[n][1],
                "type": SERVERS[n][2],
                "status": "active",
                "weight": 1,
            }
            for n in self.server_names
        ]
        return {"n": 1, "members": {"index": 1, "snapshot": True, "endpoints": endpoints}}

    def crash_feed(self, down_s: float) -> None:
        """The feed is gone for a while, and counts from 1 when it is back."""
        self.feed_crashes, self.events_before_restart = self.feed_crashes + 1, len(self.feed_events)
        self.feed_down_until_ns = time.monotonic_ns() + int(down_s * 1e9)
        for sock in list(self.polls):
            self.drop(sock, True)

    def called(self, after: int, port: int) -> None:
        """One call of the feed; too many in a second push it over."""
        now = time.monotonic_ns()
        self.feed_calls.append((now, after, port))
        late = [
            a
            for at, a, _ in self.feed_calls[-4 * self.max_feed_calls_per_s :]
            if a >= 0 and at > now - 1_000 * MS
        ]
        if self.max_feed_calls_per_s and len(late) > self.max_feed_calls_per_s:
            self.crash_feed(3.0)

    def run(self) -> None:
        """The thread."""
        while not self.stop.is_set():
            wait = (
                0.02 if not self.heap else max(0.0, min(0.02, (self.heap[0][0] - time.monotonic_ns()) / 1e9))
            )
            for key, _ in self.selector.select(wait):
                sock = key.fileobj
                assert isinstance(sock, socket.socket)
                if key.data in self.listeners and sock is self.listeners[key.data]:
                    self.accept(sock, key.data)
                else:
                    self.read(sock, key.data)
            self.answer_polls()
            while self.heap and self.heap[0][0] <= time.monotonic_ns():
                _, _, sock, data = heapq.heappop(self.heap)
                self.send(sock, data)

    def answer_polls(self) -> None:
        """What is new to those who poll, or nothing once they have waited long enough."""
        now = time.monotonic_ns()
        with self.lock:
            last = len(self.feed_events) - self.events_before_restart + 1
            for sock, (after, until) in list(self.polls.items()):
                if after != last or until <= now:
                    del self.polls[sock]
                    found = (
                        self.feed_events[self.events_before_restart + max(0, after - 1) :]
                        if after <= last
                        else []
                    )
                    self.feed_deliveries += [(e["n"], now) for e in found]
                    anew = [{**e, "n": e["n"] - self.events_before_restart} for e in found]
                    whole = [self.endpoint_snapshot()] if after < 1 else []
                    body = json.dumps({"n": last, "events": [*whole, *anew]}).encode()
                    self.later(
                        0, sock, b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)
                    )

    def accept(self, listener: socket.socket, name: str) -> None:
        try:
            sock, address = listener.accept()
        except OSError:
            return
        self.ports[sock] = address[1]
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.buffers[sock] = b""
        self.selector.register(sock, selectors.EVENT_READ, name)
        if name == "feed" and time.monotonic_ns() < self.feed_down_until_ns:
            self.feed_calls.append((time.monotonic_ns(), -1, 0))
            self.drop(sock, True)

    def drop(self, sock: socket.socket, reset: bool = False) -> None:
        if sock in self.buffers:
            del self.buffers[sock]
            self.polls.pop(sock, None)
            self.ports.pop(sock, None)
            with self.lock:
                for key in self.unanswered_requests.pop(sock, ()):
                    self.settled_requests[key] = time.monotonic_ns(), False
            self.selector.unregister(sock)
            if reset:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            sock.close()

    def send(self, sock: socket.socket, data: bytes) -> None:
        if sock not in self.buffers:
            return
        if data == b"reset":
            self.drop(sock, True)
            return
        try:
            sock.sendall(data)
        except OSError:
            self.drop(sock)

    def read(self, sock: socket.socket, name: str) -> None:
        try:
            data = sock.recv(1 << 16)
        except OSError:
            data = b""
        if not data:
            self.drop(sock)
            return
        self.buffers[sock] += data
        while sock in self.buffers:
            if name == "feed":
                if b"\r\n\r\n" not in self.buffers[sock]:
                    return
                head, self.buffers[sock] = self.buffers[sock].split(b"\r\n\r\n", 1)
                after = head.split(b"SUB=", 1)[1].split(b"&", 1)[0] if b"SUB=" in head else b"1"
                wait = head.split(b"wait=", 1)[1].split(b" ", 1)[0] if b"wait=" in head else b"900"
                self.polls[sock] = int(after), time.monotonic_ns() + max(10, int(wait) - 100) * MS
                self.called(int(after), self.ports.get(sock, 0))
                continue
            words, rest = words_of(self.buffers[sock])
            if words is None:
                return
            self.buffers[sock] = rest
            self.command(sock, name, words)

    def command(self, sock: socket.socket, name: str, words: list[bytes]) -> None:
        fields = dict(pair.split("=", 1) for pair in words[2].decode().split(",")) if len(words) > 2 else {}
        seen = ServerCommand(name, words[0].decode(), words[1].decode(), fields, time.monotonic_ns())
        with self.lock:
            self.commands.append(seen)
        if seen.verb != "PULL":
            return
        reply = self.script(name, seen)
        after = int(reply.delay_ms * MS)
        key = seen.request_id, name, seen.received_ns
        if reply.fate in ("DONE", "LACK", "WAIT", "BROKE", "PAST"):
            with self.lock:
                self.settled_requests[key] = seen.received_ns + after, reply.fate in ("LACK", "WAIT", "PAST")
        else:
            self.unanswered_requests.setdefault(sock, set()).add(key)
        if reply.fate == "reset":
            self.later(after, sock, b"reset")
        elif reply.fate != "silent":
            body = reply.body if reply.fate in ("DONE", "BROKE") else b""
            told = f"sum=4be0c1927d55a6f3,t0={time.time_ns() // MS},tell={reply.cache_status}".encode()
            word = "DONE" if reply.fate == "cut" else reply.fate
            parts = (words[1], word.encode(), told if word == "DONE" else b"-", body)
            data = b"*4\r\n" + b"".join(b"$%d\r\n%s\r\n" % (len(part), part) for part in parts)
            self.later(after, sock, data[: len(data) // 2] if reply.fate == "cut" else data)

    def later(self, after_ns: int, sock: socket.socket, data: bytes) -> None:
        self.made += 1
        heapq.heappush(self.heap, (time.monotonic_ns() + after_ns, self.made, sock, data))


def words_of(data: bytes) -> tuple[list[bytes] | None, bytes]:
    """One RESP array and what follows it; None while it is not whole."""
    head, found, rest = data.partition(b"\r\n")
    if not found:
        return None, data
    words = []
    for _ in range(int(head[1:])):
        size, found, rest = rest.partition(b"\r\n")
        if not found or len(rest) < int(size[1:]) + 2:
            return None, data
        words.append(rest[: int(size[1:])])
        rest = rest[int(size[1:]) + 2 :]
    return words, rest


@dataclass
class ClientResponse:
    """A final answer as a client sees it."""

    kind: str  # served, refused or failed
    body: bytes
    fields: dict[str, str]
    latency_ms: float


@dataclass
class RouterClient:
    """One connection to a router.  Not for several threads."""

    sock: socket.socket
    unpacker: Any = field(default_factory=lambda: msgpack.Unpacker(raw=False))
    calls: int = 0
    sent_ns: dict[int, int] = field(default_factory=dict)

    def send_request(
        self,
        cls: str,
        patience_ms: int = 2_400,
        object: str = "7f3a9c21e0b4d655",
        part: int = 0,
        group: int = 17,
        retry: bool = False,
        body: bytes = b"",
        trace: str = "",
        more: dict[str, str] | None = None,
    ) -> str:
        """A request; its trace id.  ``more``: further fields, such as nonce and size."""
        self.calls += 1
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
        self.sent_ns[self.calls] = time.monotonic_ns()
        self.sock.sendall(msgpack.packb([0, self.calls, cls, [fields, body]]))
        return trace

    def responses(self, count: int) -> Iterator[ClientResponse]:
        """So many answers as they come."""
        while count:
            for _, call, error, result in self.unpacker:
                took = (time.monotonic_ns() - self.sent_ns.pop(call)) / MS
                if error is None:
                    yield ClientResponse("served", bytes(result[0]), result[1], took)
                else:
                    yield ClientResponse("refused" if error[0] == "Shed" else "failed", b"", error[1], took)
                count -= 1
                if not count:
                    return
            data = self.sock.recv(1 << 16)
            if not data:
                raise ConnectionError("the router has closed the connection")
            self.unpacker.feed(data)

    def request(self, cls: str, **more: Any) -> ClientResponse:
        """One request and its answer."""
        self.send_request(cls, **more)
        return next(self.responses(1))


class RouterProcess:
    """A router process against a world.  A context manager."""

    def __init__(
        self,
        world: StandInServers,
        rules: str | None = None,
        program: Path = PROGRAM_DIR,
        release: bool = False,
        settings: dict[str, Any] | None = None,
        mgmt: bool = False,
    ) -> None:
        """``mgmt``: with a control address, at ``self.mgmt``."""
        self.folder = tempfile.TemporaryDirectory()
        self.rules = Path(self.folder.name) / "rules.kdl"
        self.log_path = Path(self.folder.name) / "log"
        example = json.loads((ROOT / "examples/config.json").read_bytes())
        with socket.create_server(("127.0.0.1", 0)) as free, socket.create_server(("127.0.0.1", 0)) as other:
            self.address, self.control_address = free.getsockname()[:2], other.getsockname()[:2]
        config = {
            **example,
            "listen": f"127.0.0.1:{self.address[1]}",
            "feed": world.address_of("feed"),
            "known": {"n": 1, "events": [world.endpoint_snapshot()]},
        }
        config["settings"] = {**config["settings"], **(settings or {})}
        if mgmt:
            config["mgmt"] = f"127.0.0.1:{self.control_address[1]}"
        (Path(self.folder.name) / "config.json").write_text(json.dumps(config))
        env = {**os.environ, "ROUTER_CONFIG": f"{self.folder.name}/config.json", "ROUTER_LOG": "json"}
        env.pop("ROUTER_RULES", None)
        if rules is not None:
            self.rules.write_text(rules)
            env["ROUTER_RULES"] = str(self.rules)
        with self.log_path.open("w") as log:
            self.process = subprocess.Popen(
                [sys.executable, *(["-O"] if release else []), "-m", "kelpcroft"],
                cwd=program,
                env=env,
                stderr=log,
                stdout=log,
            )

    def __enter__(self) -> RouterProcess:
        return self

    def __exit__(self, *_: object) -> None:
        self.process.kill()
        self.process.wait()
        self.folder.cleanup()

    def log_events(self) -> list[dict[str, Any]]:
        """The events that it has logged."""
        return [json.loads(line) for line in self.log_path.read_text().splitlines() if line.startswith("{")]

    def reload_rules(self, rules: str) -> dict[str, Any]:
        """Another operator's file, SIGHUP, and what the log says of it."""
        before = len(self.rules_events())
        self.rules.write_text(rules)
        self.process.send_signal(signal.SIGHUP)
        until = time.monotonic() + MAX_WAIT_S
        while time.monotonic() < until:
            told = self.rules_events()
            if len(told) > before:
                return told[-1]
            time.sleep(0.01)
        raise TimeoutError("the operator's file was not read")

    def rules_events(self) -> list[dict[str, Any]]:
        return [line for line in self.log_events() if line["event"].startswith("rules.")]

    def client(self) -> RouterClient:
        """A connection, once it takes some."""
        until = time.monotonic() + MAX_WAIT_S
        while self.process.poll() is None and time.monotonic() < until:
            try:
                return RouterClient(socket.create_connection(self.address, MAX_WAIT_S))
            except ConnectionRefusedError:
                time.sleep(0.01)
        raise RuntimeError(f"the router does not serve: {self.log_path.read_text()}")
