"""Stand-in servers on loopback: caches, a parent, the origin and the feed in one thread.

A script decides how servers respond: a function of the server's name and the received command that returns a
``ScriptedResponse``. Everything received is recorded with its time, so that tests can check it. The kernel
assigns the ports. Times are of the monotonic clock, in ns.
"""

from __future__ import annotations

import heapq
import json
import os
import selectors
import socket
import struct
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any, NamedTuple

ROOT = Path(__file__).parent.parent
PROGRAM_DIR = ROOT / os.environ.get("KELPCROFT_FROM", ".")  # .compiled/now is what `run` starts
MS = 1_000_000
MAX_WAIT_S = 20.0  # a test or process that waits longer than this has failed
SELECT_TIMEOUT_S = 0.02  # longest interval between two checks for watch responses that are due
READ_BYTES = 1 << 16
CRASH_DOWN_S = 3.0  # the feed stays down for this long after too many watch requests
EARLY_MS = 100  # without new events, a watch response is sent this long before the wait ends ...
MIN_WAIT_MS = 10  # ... but not earlier than this after the request
SERVERS = {
    "cache1": ("s-c1", "edge-1", "box"),
    "cache2": ("s-c2", "edge-1", "box"),
    "parent": ("s-p", "hub", "parent"),
    "origin": ("s-o", "hub", "origin"),
}
FEED = "feed"
RESPONSE_WORDS = ("DONE", "LACK", "WAIT", "BROKE", "PAST")
PROVE_NOT_EXECUTED = ("LACK", "WAIT", "PAST")
RESET = "reset"
SILENT = "silent"
CUT = "cut"


@dataclass(frozen=True)
class ServerCommand:
    """One command that a server received."""

    server: str
    verb: str  # PULL or KILL
    request_id: str
    fields: dict[str, str]
    received_ns: int


@dataclass(frozen=True)
class ScriptedResponse:
    """How a server treats a request: it responds after a delay, stays silent, or breaks the connection."""

    outcome: str = "DONE"  # one of RESPONSE_WORDS, "silent", "reset", or "cut" (half a response)
    delay_ms: float = 0.0
    cache_status: str = "mem"  # value of the response's field ``tell``
    body: bytes = b""


class Delivery(NamedTuple):
    """One event of the feed was sent to one watcher."""

    event_number: int
    at_ns: int


class FeedRequest(NamedTuple):
    """A watch request that arrived at the feed."""

    at_ns: int
    after_event: int  # position of the watcher; -1 = its connection was reset while the feed was down
    port: int  # source port of the watcher's connection; 0 if it was reset


class WaitingWatch(NamedTuple):
    """A watch request that waits for new events."""

    after_event: int
    until_ns: int


class RequestKey(NamedTuple):
    """One PULL at one server."""

    request_id: str
    server: str
    received_ns: int


class RequestEnd(NamedTuple):
    """How a PULL ended."""

    ended_ns: int
    proves_not_executed: bool


class TimedWrite(NamedTuple):
    """Bytes to be written, or ``RESET_MARK`` for a reset of the connection."""

    due_ns: int
    sequence: int  # breaks ties, so that sockets are never compared
    sock: socket.socket
    data: bytes


RESET_MARK = b"reset"
ServerScript = Callable[[str, ServerCommand], ScriptedResponse]


def respond_immediately(server: str, command: ServerCommand) -> ScriptedResponse:  # noqa: ARG001 - a ServerScript
    """Respond to every request immediately, with the server's name."""
    return ScriptedResponse(body=f"by {server}".encode())


class StandInServers:
    """The servers and the feed. A context manager, whose thread runs while the context is active.

    ``lock`` guards the data that the thread writes and tests read: commands, feed events and the ends of
    requests.
    """

    def __init__(
        self, script: ServerScript = respond_immediately, servers: tuple[str, ...] = tuple(SERVERS)
    ) -> None:
        """Listen on a port for each of ``servers`` (keys of ``SERVERS``) and one for the feed."""
        self.script = script
        self.server_names = servers
        self.commands: list[ServerCommand] = []
        self.settled_requests: dict[RequestKey, RequestEnd] = {}
        self._unanswered_requests: dict[socket.socket, set[RequestKey]] = {}
        self.feed_events: list[dict[str, Any]] = []  # numbered from 2
        self.feed_event_times_ns: list[int] = []  # time of each event's publication
        self.feed_deliveries: list[Delivery] = []
        self.feed_requests: list[FeedRequest] = []
        self.max_feed_requests_per_s = 0  # more watch requests in a second crash the feed; 0 = no limit
        self.feed_down_until_ns = 0  # until then the feed resets every new connection
        self.feed_is_silent = False  # while set, the feed reads watch requests and responds to none
        self.feed_crashes = 0
        self.events_before_restart = 0  # number of events before its last restart
        self.lock = threading.Lock()
        self.listeners = {name: socket.create_server(("127.0.0.1", 0)) for name in (*servers, FEED)}
        self._heap: list[TimedWrite] = []
        self._sequence = 0
        self._buffers: dict[socket.socket, bytes] = {}  # bytes read and not parsed yet
        self._ports: dict[socket.socket, int] = {}  # peer's port of each connection
        self._waiting_watches: dict[socket.socket, WaitingWatch] = {}
        self._stop = threading.Event()
        self._selector = selectors.DefaultSelector()
        for name, listener in self.listeners.items():
            listener.setblocking(False)
            self._selector.register(listener, selectors.EVENT_READ, name)
        self._thread = threading.Thread(target=self._run, daemon=True)

    def __enter__(self) -> StandInServers:
        self._thread.start()
        return self

    def __exit__(self, *_: object) -> None:
        self._stop.set()
        self._thread.join(MAX_WAIT_S)
        for sock in (*self.listeners.values(), *self._buffers):
            sock.close()
        self._selector.close()

    # For tests --------------------------------------------------------------------------------------------

    def address_of(self, name: str) -> str:
        """The address of a server or the feed, as HOST:PORT."""
        return f"127.0.0.1:{self.listeners[name].getsockname()[1]}"

    def publish(self, **event: Any) -> int:
        """Add an event to the feed, which waiting and later watch requests receive; return its number."""
        with self.lock:
            self.feed_events.append({"n": len(self.feed_events) + 2, **event})
            self.feed_event_times_ns.append(time.monotonic_ns())
            return len(self.feed_events) + 1

    def refuse_connections(self, name: str) -> None:
        """Make a server refuse connections from now on; to be called before the thread has started."""
        self._selector.unregister(self.listeners[name])
        port = self.listeners[name].getsockname()[1]
        self.listeners[name].close()
        self.listeners[name] = placeholder = socket.socket()
        placeholder.bind(("127.0.0.1", port))  # bound but not listening, so no other process gets the port

    def requests(self, request_id: str | None = None, server: str | None = None) -> list[ServerCommand]:
        """The received requests, optionally only those of one id or at one server."""
        with self.lock:
            return [
                command
                for command in self.commands
                if command.verb == "PULL"
                and request_id in (None, command.request_id)
                and server in (None, command.server)
            ]

    def endpoint_snapshot(self) -> dict[str, Any]:
        """The list of servers as an event of the feed."""
        endpoints = [
            {
                "name": SERVERS[name][0],
                "address": self.address_of(name),
                "zone": SERVERS[name][1],
                "type": SERVERS[name][2],
                "status": "active",
                "weight": 1,
            }
            for name in self.server_names
        ]
        return {"n": 1, "members": {"index": 1, "snapshot": True, "endpoints": endpoints}}

    def crash_feed(self, down_s: float) -> None:
        """Take the feed down for a while; afterwards it numbers its events from 1 again."""
        self.feed_crashes += 1
        self.events_before_restart = len(self.feed_events)
        self.feed_down_until_ns = time.monotonic_ns() + int(down_s * 1e9)
        for sock in list(self._waiting_watches):
            self._drop(sock, reset=True)

    # The thread -------------------------------------------------------------------------------------------

    def _run(self) -> None:
        while not self._stop.is_set():
            for key, _ in self._selector.select(self._wait_s()):
                sock = key.fileobj
                assert isinstance(sock, socket.socket)
                if key.data in self.listeners and sock is self.listeners[key.data]:
                    self._accept(sock, key.data)
                else:
                    self._read(sock, key.data)
            self._send_watch_responses()
            while self._heap and self._heap[0].due_ns <= time.monotonic_ns():
                due = heapq.heappop(self._heap)
                self._write(due.sock, due.data)

    def _wait_s(self) -> float:
        if not self._heap:
            return SELECT_TIMEOUT_S
        return max(0.0, min(SELECT_TIMEOUT_S, (self._heap[0].due_ns - time.monotonic_ns()) / 1e9))

    def _accept(self, listener: socket.socket, name: str) -> None:
        try:
            sock, address = listener.accept()
        except OSError:
            return
        self._ports[sock] = address[1]
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._buffers[sock] = b""
        self._selector.register(sock, selectors.EVENT_READ, name)
        if name == FEED and time.monotonic_ns() < self.feed_down_until_ns:
            self.feed_requests.append(FeedRequest(time.monotonic_ns(), -1, 0))
            self._drop(sock, reset=True)

    def _drop(self, sock: socket.socket, *, reset: bool = False) -> None:
        """Close a connection; its unanswered requests end without a response."""
        if sock not in self._buffers:
            return
        del self._buffers[sock]
        self._waiting_watches.pop(sock, None)
        self._ports.pop(sock, None)
        with self.lock:
            for key in self._unanswered_requests.pop(sock, ()):
                self.settled_requests[key] = RequestEnd(time.monotonic_ns(), False)
        self._selector.unregister(sock)
        if reset:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        sock.close()

    def _write_later(self, after_ns: int, sock: socket.socket, data: bytes) -> None:
        self._sequence += 1
        heapq.heappush(self._heap, TimedWrite(time.monotonic_ns() + after_ns, self._sequence, sock, data))

    def _write(self, sock: socket.socket, data: bytes) -> None:
        if sock not in self._buffers:
            return
        if data == RESET_MARK:
            self._drop(sock, reset=True)
            return
        try:
            sock.sendall(data)
        except OSError:
            self._drop(sock)

    def _read(self, sock: socket.socket, name: str) -> None:
        try:
            data = sock.recv(READ_BYTES)
        except OSError:
            data = b""
        if not data:
            self._drop(sock)
            return
        self._buffers[sock] += data
        handle_next = self._handle_watch_request if name == FEED else self._handle_command
        while sock in self._buffers and handle_next(sock, name):
            pass

    # The feed ---------------------------------------------------------------------------------------------

    def _handle_watch_request(self, sock: socket.socket, _: str) -> bool:
        """Handle one watch request of the bytes read so far; False if they contain no complete one."""
        head, separator, rest = self._buffers[sock].partition(b"\r\n\r\n")
        if not separator:
            return False
        self._buffers[sock] = rest
        after_event = int(query_value(head, b"SUB=", b"&", b"1"))
        wait_ms = int(query_value(head, b"wait=", b" ", b"900"))
        until_ns = time.monotonic_ns() + max(MIN_WAIT_MS, wait_ms - EARLY_MS) * MS
        self._waiting_watches[sock] = WaitingWatch(after_event, until_ns)
        self._record_watch_request(after_event, self._ports.get(sock, 0))
        return True

    def _record_watch_request(self, after_event: int, port: int) -> None:
        """Record a watch request; too many in a second crash the feed."""
        now_ns = time.monotonic_ns()
        self.feed_requests.append(FeedRequest(now_ns, after_event, port))
        max_requests = self.max_feed_requests_per_s
        recent = [
            request
            for request in self.feed_requests[-4 * max_requests :]
            if request.after_event >= 0 and request.at_ns > now_ns - 1_000 * MS
        ]
        if max_requests and len(recent) > max_requests:
            self.crash_feed(CRASH_DOWN_S)

    def _send_watch_responses(self) -> None:
        """Send due watch responses: new events, or none at the end of the wait."""
        if self.feed_is_silent:
            return
        now_ns = time.monotonic_ns()
        with self.lock:
            last_event = len(self.feed_events) - self.events_before_restart + 1
            for sock, watch in list(self._waiting_watches.items()):
                if watch.after_event != last_event or watch.until_ns <= now_ns:
                    del self._waiting_watches[sock]
                    body = json.dumps(
                        {"n": last_event, "events": self._events_after(watch.after_event, last_event, now_ns)}
                    )
                    head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body.encode())
                    self._write_later(0, sock, head + body.encode())

    def _events_after(self, after_event: int, last_event: int, now_ns: int) -> list[dict[str, Any]]:
        """Events after a position in the feed's present numbering, with a snapshot first below position 1."""
        new_events = []
        if after_event <= last_event:
            new_events = self.feed_events[self.events_before_restart + max(0, after_event - 1) :]
        self.feed_deliveries += [Delivery(event["n"], now_ns) for event in new_events]
        renumbered = [{**event, "n": event["n"] - self.events_before_restart} for event in new_events]
        return [self.endpoint_snapshot(), *renumbered] if after_event < 1 else renumbered

    # Servers ----------------------------------------------------------------------------------------------

    def _handle_command(self, sock: socket.socket, name: str) -> bool:
        """Handle one command of the bytes read so far; False if they contain no complete one."""
        elements, rest = split_resp_array(self._buffers[sock])
        if elements is None:
            return False
        self._buffers[sock] = rest
        fields = (
            dict(pair.split("=", 1) for pair in elements[2].decode().split(",")) if len(elements) > 2 else {}
        )
        command = ServerCommand(name, elements[0].decode(), elements[1].decode(), fields, time.monotonic_ns())
        with self.lock:
            self.commands.append(command)
        if command.verb == "PULL":
            self._respond(sock, command)
        return True

    def _respond(self, sock: socket.socket, command: ServerCommand) -> None:
        """Treat a request as the script decides."""
        response = self.script(command.server, command)
        after_ns = int(response.delay_ms * MS)
        key = RequestKey(command.request_id, command.server, command.received_ns)
        if response.outcome in RESPONSE_WORDS:
            with self.lock:
                self.settled_requests[key] = RequestEnd(
                    command.received_ns + after_ns, response.outcome in PROVE_NOT_EXECUTED
                )
        else:
            self._unanswered_requests.setdefault(sock, set()).add(key)
        if response.outcome == RESET:
            self._write_later(after_ns, sock, RESET_MARK)
        elif response.outcome != SILENT:
            data = encode_response(command.request_id, response)
            self._write_later(after_ns, sock, data[: len(data) // 2] if response.outcome == CUT else data)


def encode_response(request_id: str, response: ScriptedResponse) -> bytes:
    """A response as a RESP array: id, status word, fields and body."""
    status = "DONE" if response.outcome == CUT else response.outcome
    fields = f"sum=4be0c1927d55a6f3,t0={time.time_ns() // MS},tell={response.cache_status}".encode()
    body = response.body if response.outcome in ("DONE", "BROKE") else b""
    elements = (request_id.encode(), status.encode(), fields if status == "DONE" else b"-", body)
    return b"*4\r\n" + b"".join(b"$%d\r\n%s\r\n" % (len(element), element) for element in elements)


def query_value(head: bytes, key: bytes, end: bytes, default: bytes) -> bytes:
    """The value after ``key`` in a request line's query, up to ``end``."""
    return head.split(key, 1)[1].split(end, 1)[0] if key in head else default


def split_resp_array(data: bytes) -> tuple[list[bytes] | None, bytes]:
    """One RESP array and the bytes after it; None while the array is incomplete."""
    head, separator, rest = data.partition(b"\r\n")
    if not separator:
        return None, data
    elements = []
    for _ in range(int(head[1:])):
        size, separator, rest = rest.partition(b"\r\n")
        if not separator or len(rest) < int(size[1:]) + 2:
            return None, data
        elements.append(rest[: int(size[1:])])
        rest = rest[int(size[1:]) + 2 :]
    return elements, rest
