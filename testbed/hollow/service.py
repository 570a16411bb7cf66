"""A list service in a process of its own, so that its CPU time and memory can be measured separately.

    python -m testbed.hollow.service --servers 150 --zones 19

Prints ``{"port": N}``, then reads commands from standard input, one JSON object a line, and responds to each
with one line:

    {"do": "purge", "rate": 5.1, "seconds": 10}     publish purges at this rate; responds immediately
    {"do": "history", "purges": 1000, "age_s": 60}  append purges with times spread over the last ``age_s``
    {"do": "status", "server": "s-0001", "status": "leaving"}  change a server's status
    {"do": "restart"}                               number events from 1 again, with the present list
    {"do": "mute", "on": true}                      read watch requests without responding to them
    {"do": "look"}                                  report the highest position in a watch request
    {"do": "stats"}                                 report counters; ``born`` has the time of each event
    {"do": "end"}                                   end the process
"""

from __future__ import annotations

import argparse
import json
import os
import re
import selectors
import socket
import sys
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, NamedTuple

from testbed.hollow.configuration import FleetSize, endpoints

QUERY = re.compile(rb"GET /v1/events\?SUB=(\d+)&wait=(\d+)")
READ_SIZE = 1 << 16  # bytes
EARLY_NS = 100 * 10**6  # without new events, a watch response is sent this long before the wait ends
SECOND = 10**9
SELECT_TIMEOUT_S = 0.02  # longest wait of one loop iteration
PURGING_SELECT_TIMEOUT_S = 0.002  # the same while purges are published at a rate
STATS_EVENTS = 20_000  # newest events whose times the stats contain
MAX_CACHED_RESPONSES = 64  # encoded watch responses cached for watchers at the same position


@dataclass
class Watcher:
    """The connection of one watcher."""

    sock: socket.socket
    received: bytes = b""
    unsent: list[bytes] = field(default_factory=list)  # data that the socket did not accept yet
    position: int = -1  # position in the outstanding watch request; -1 = none
    until_ns: int = 0


class PurgeRate(NamedTuple):
    """Rate and interval of purges to be published; times are Unix ns."""

    per_s: float
    from_ns: int
    until_ns: int


NO_PURGES = PurgeRate(0.0, 0, 0)


class ListService:
    """The event log and its watchers."""

    def __init__(self, size: FleetSize, port: int = 0) -> None:
        self.lines = {line["name"]: line for line in endpoints(size)}
        self.events: list[bytes] = []  # encoded; the first has number 2
        self.event_times_ns: list[int] = []  # time of each event, Unix ns
        self.index = 1
        self.watchers: dict[int, Watcher] = {}
        self.cached_responses: dict[int, bytes] = {}
        self.muted = False
        self.watch_requests = 0
        self.bytes_in = 0
        self.bytes_out = 0
        self.accepted_connections = 0
        self.max_watches = 0  # highest number of connections at a time
        self.purging = NO_PURGES
        self.purge_count = 0
        self.purges_at_rate = 0  # purges already published at the present rate
        self.highest_position = 0  # highest position in a watch request
        self.selector = selectors.DefaultSelector()
        self.listener = socket.create_server(("127.0.0.1", port), backlog=1024)
        self.listener.setblocking(False)
        self.selector.register(self.listener, selectors.EVENT_READ, None)

    @property
    def last_event(self) -> int:
        """The number of the last event."""
        return len(self.events) + 1

    def append_event(self, event: dict[str, Any]) -> int:
        """Append an event and return its number."""
        number = self.last_event + 1
        self.events.append(json.dumps({"n": number, **event}, separators=(",", ":")).encode())
        self.event_times_ns.append(time.time_ns())
        self.cached_responses.clear()
        return number

    def purge(self, at_ms: int) -> int:
        """Append a purge of an object that no other purge names, and return the event's number."""
        self.purge_count += 1
        return self.append_event({"purge": {"key": f"{0x7F3A << 48 | self.purge_count:016x}", "at": at_ms}})

    def watch_response(self, position: int) -> bytes:
        """The watch response with the events after a position, preceded by a snapshot if it is below 1."""
        response = self.cached_responses.get(position)
        if response is None:
            events = self.events[max(0, position - 1) :] if position <= self.last_event else []
            if position < 1:
                snapshot = {
                    "n": 1,
                    "members": {
                        "index": self.index,
                        "snapshot": True,
                        "endpoints": list(self.lines.values()),
                    },
                }
                events = [json.dumps(snapshot, separators=(",", ":")).encode(), *events]
            payload = b'{"n":%d,"events":[%s]}' % (self.last_event, b",".join(events))
            response = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(payload), payload)
            if len(self.cached_responses) >= MAX_CACHED_RESPONSES:
                self.cached_responses.clear()
            self.cached_responses[position] = response
        return response

    def command(self, raw: dict[str, Any]) -> dict[str, Any]:
        """Carry out one command from standard input and return its response.

        A command that has no entry in ``COMMANDS`` does nothing and gets the default response.
        """
        now_ns = time.time_ns()
        handler = COMMANDS.get(raw["do"])
        response = handler(self, raw, now_ns) if handler else None
        if response is not None:
            return response
        return {"n": self.last_event, "now_ns": now_ns, "reached": self.highest_position}

    def _publish_purges(self, raw: dict[str, Any], now_ns: int) -> dict[str, Any]:
        """Start publishing purges at a rate."""
        self.purging = PurgeRate(float(raw["rate"]), now_ns, now_ns + int(raw["seconds"] * SECOND))
        return {"until_ns": self.purging.until_ns}

    def _append_history(self, raw: dict[str, Any], now_ns: int) -> None:
        """Append purges whose times are spread over the last ``age_s`` seconds."""
        for n in range(raw["purges"]):
            ago_ms = int(raw["age_s"] * 1_000 * (raw["purges"] - n) / raw["purges"])
            self.purge(now_ns // 10**6 - ago_ms)

    def _change_status(self, raw: dict[str, Any], _: int) -> None:
        """Change a server's status."""
        line = self.lines[raw["server"]] = {**self.lines[raw["server"]], "status": raw["status"]}
        if "since_ms" in raw:
            line["since_ms"] = raw["since_ms"]
        self.index += 1
        self.append_event({"members": {"index": self.index, "snapshot": False, "endpoints": [line]}})

    def _restart(self, _: dict[str, Any], __: int) -> None:
        """Number events from 1 again, and close all connections."""
        self.events = []
        self.event_times_ns = []
        self.cached_responses = {}
        for watcher in list(self.watchers.values()):
            self.drop(watcher)

    def _mute(self, raw: dict[str, Any], _: int) -> None:
        """Stop or resume responding to watch requests, which are read in any case."""
        self.muted = bool(raw["on"])

    def _report_stats(self, _: dict[str, Any], __: int) -> dict[str, Any]:
        return self.stats()

    def stats(self) -> dict[str, Any]:
        """Counters since the start."""
        times = os.times()
        pages = int(Path("/proc/self/statm").read_text().split()[1])
        return {
            "n": self.last_event,
            "calls": self.watch_requests,
            "bytes_in": self.bytes_in,
            "bytes_out": self.bytes_out,
            "accepted": self.accepted_connections,
            "reached": self.highest_position,
            "watches": len(self.watchers),
            "cpu_s": times.user + times.system,
            "watches_most": self.max_watches,
            "memory_kb": pages * os.sysconf("SC_PAGE_SIZE") // 1024,
            "born": self.event_times_ns[-STATS_EVENTS:],
            "now_ns": time.time_ns(),
        }

    # Sockets ----------------------------------------------------------------------------------------------

    def run_iteration(self) -> None:
        """Run one loop iteration: wait, read, publish due purges, send watch responses."""
        timeout_s = PURGING_SELECT_TIMEOUT_S if self.purging.per_s else SELECT_TIMEOUT_S
        for key, events in self.selector.select(timeout_s):
            if key.fileobj is self.listener:
                self.accept()
            elif isinstance(key.data, Watcher):
                self.handle_ready(key.data, events)
            else:
                key.data()
        self.publish_due_purges()
        self.send_watch_responses()

    def publish_due_purges(self) -> None:
        """Publish the purges that are due."""
        rate, from_ns, until_ns = self.purging
        if not rate:
            return
        now_ns = time.time_ns()
        due = int(rate * (min(now_ns, until_ns) - from_ns) / SECOND)
        for _ in range(due - self.purges_at_rate):
            self.purge(now_ns // 10**6)
        self.purges_at_rate = due
        if now_ns >= until_ns:
            self.purging = NO_PURGES
            self.purges_at_rate = 0

    def send_watch_responses(self) -> None:
        """Send new events to watchers that are behind, and an empty response to those whose wait is over."""
        if self.muted:
            return
        now_ns, last_event = time.time_ns(), self.last_event
        for watcher in list(self.watchers.values()):
            if watcher.position >= 0 and (watcher.position != last_event or now_ns >= watcher.until_ns):
                position, watcher.position = watcher.position, -1
                self.write(watcher, self.watch_response(position))

    def accept(self) -> None:
        """Accept all pending connections."""
        while True:
            try:
                sock, _ = self.listener.accept()
            except OSError:
                return
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self.accepted_connections += 1
            self.watchers[sock.fileno()] = Watcher(sock)
            self.max_watches = max(self.max_watches, len(self.watchers))
            self.selector.register(sock, selectors.EVENT_READ, self.watchers[sock.fileno()])

    def drop(self, watcher: Watcher) -> None:
        """Close a watcher's connection."""
        self.selector.unregister(watcher.sock)
        self.watchers.pop(watcher.sock.fileno(), None)
        watcher.sock.close()

    def handle_ready(self, watcher: Watcher, events: int) -> None:
        """Handle the selector events of one connection."""
        if events & selectors.EVENT_WRITE:
            data, watcher.unsent = b"".join(watcher.unsent), []
            self.write(watcher, data)
            if watcher.sock.fileno() < 0:
                return
        if not events & selectors.EVENT_READ:
            return
        try:
            data = watcher.sock.recv(READ_SIZE)
        except BlockingIOError:
            return
        except OSError:
            data = b""
        if not data:
            self.drop(watcher)
            return
        self.bytes_in += len(data)
        watcher.received += data
        while b"\r\n\r\n" in watcher.received:
            head, _, watcher.received = watcher.received.partition(b"\r\n\r\n")
            self.handle_watch_request(watcher, head)

    def handle_watch_request(self, watcher: Watcher, head: bytes) -> None:
        """Record one watch request; any other request closes the connection."""
        match = QUERY.match(head)
        if match is None:
            self.drop(watcher)
            return
        self.watch_requests += 1
        watcher.position = int(match[1])
        self.highest_position = max(self.highest_position, watcher.position)
        watcher.until_ns = time.time_ns() + max(0, int(match[2]) * 10**6 - EARLY_NS)

    def write(self, watcher: Watcher, data: bytes) -> None:
        """Send bytes to a watcher; what its socket does not accept is queued."""
        if watcher.unsent:
            watcher.unsent.append(data)
            return
        try:
            sent = watcher.sock.send(data)
        except BlockingIOError:
            sent = 0
        except OSError:
            self.drop(watcher)
            return
        self.bytes_out += sent
        if sent < len(data):
            watcher.unsent.append(data[sent:])
        self.selector.modify(
            watcher.sock, selectors.EVENT_READ | (selectors.EVENT_WRITE if watcher.unsent else 0), watcher
        )


CommandHandler = Callable[[ListService, dict[str, Any], int], dict[str, Any] | None]
COMMANDS: dict[str, CommandHandler] = {
    "purge": ListService._publish_purges,
    "history": ListService._append_history,
    "status": ListService._change_status,
    "restart": ListService._restart,
    "mute": ListService._mute,
    "stats": ListService._report_stats,
}


def main() -> None:
    """Serve until the command ``end`` or the end of standard input."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--servers", type=int, default=150)
    parser.add_argument("--zones", type=int, default=19)
    parser.add_argument("--port", type=int, default=0)
    options = parser.parse_args()
    service = ListService(FleetSize(servers=options.servers, zones=options.zones), options.port)
    ended: list[bool] = []

    def handle_line() -> None:
        line = sys.stdin.readline()
        raw = json.loads(line) if line.strip() else {"do": "end"}
        if raw["do"] == "end":
            ended.append(True)
            return
        print(json.dumps(service.command(raw)), flush=True)

    service.selector.register(sys.stdin, selectors.EVENT_READ, handle_line)
    print(json.dumps({"port": service.listener.getsockname()[1]}), flush=True)
    while not ended:
        service.run_iteration()


if __name__ == "__main__":
    main()
