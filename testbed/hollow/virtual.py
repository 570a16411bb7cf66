"""A list service, control replicas and routers in virtual time, with links that can be cut.

The replicas' and routers' cores are those of the program, and responses are parsed by its codecs. A watch
request over a cut link gets no response, one to a process that is down is refused, and each process has a
clock of its own that differs from the true time.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import orjson

from kelpcroft.config import parse_config
from kelpcroft.control_log import messages as core
from kelpcroft.control_log.follower import LogPosition
from kelpcroft.control_log.messages import ReplicaOptions
from kelpcroft.control_log.replica import ControlReplica
from kelpcroft.core import effects, inputs, messages
from kelpcroft.core.reducer import Reducer
from kelpcroft.net.feed_codec import parse_watch_response
from kelpcroft.net.upstream_codec import UpstreamCodec
from kelpcroft.operator_file.model import ControlReplicas, OperatorFile
from testbed.hollow.configuration import FleetSize, configuration, endpoints

MS = 10**6
SECOND = 10**9
START_NS = 1_764_576_000 * SECOND  # start of virtual time, Unix ns
DELAY_NS = 5 * MS  # delay of a message, one way
SERVICE_PORT = 7_000

Address = tuple[str, int]


def address_of(number: int) -> Address:
    """Address at which replica ``number`` listens; number 0 is the list service."""
    return f"10.0.0.{number + 1}", SERVICE_PORT


@dataclass
class PendingWatch:
    """An outstanding watch request, as its sender sees it."""

    sender: str
    target: Address
    position: int
    fingerprint: str | None
    wait_ns: int
    on_response: Callable[[bytes | None], None]  # called with None if the request has failed
    is_over: bool = False


@dataclass
class Service:
    """The list service: the true state of the servers, and an event log whose numbering may restart."""

    net: VirtualNetwork
    lines: dict[str, dict[str, Any]]
    up: bool = True
    starts: int = 1
    events: list[dict[str, Any]] = field(default_factory=list)
    waiting: list[PendingWatch] = field(default_factory=list)
    watch_requests: int = 0

    @property
    def last_event(self) -> int:
        """The number of the last event."""
        return len(self.events) + 1

    def publish(self, **event: Any) -> None:
        """Publish an event."""
        self.events.append({"n": self.last_event + 1, **event})
        for watch in self.waiting[:]:
            self.respond(watch)

    def change_status(self, name: str, status: str, since_ms: int = 0) -> None:
        """Publish a change of a server's status."""
        self.lines[name] = {**self.lines[name], "status": status, "since_ms": since_ms}
        self.publish(members={"index": self.last_event, "snapshot": False, "endpoints": [self.lines[name]]})

    def restart(self) -> None:
        """Number events from 1 again; purges published before are not published again."""
        self.events = []
        self.starts += 1
        for watch in self.waiting[:]:
            self.waiting.remove(watch)
            self.net.fail(watch)

    def on_watch_request(self, watch: PendingWatch) -> None:
        """Handle a watch request: respond immediately if its position is behind, otherwise let it wait."""
        self.watch_requests += 1
        self.waiting.append(watch)
        if watch.position != self.last_event:
            self.respond(watch)
        else:
            self.net.schedule(watch.wait_ns - 100 * MS, lambda: self.respond(watch))

    def respond(self, watch: PendingWatch) -> None:
        """Respond to a watch request that is still waiting, with the events after its position."""
        if watch not in self.waiting:
            return
        self.waiting.remove(watch)
        events = self.events[max(0, watch.position - 1) :] if watch.position <= self.last_event else []
        if watch.position < 1:
            snapshot = {"index": 1, "snapshot": True, "endpoints": list(self.lines.values())}
            events = [{"n": 1, "members": snapshot}, *events]
        self.net.send_response(watch, orjson.dumps({"n": self.last_event, "events": events}))


class ReplicaNode:
    """One control replica, whose process can be killed and started again."""

    def __init__(self, net: VirtualNetwork, number: int, options: ReplicaOptions, skew_ns: int) -> None:
        self.net = net
        self.number = number
        self.options = options
        self.skew_ns = skew_ns
        self.name = f"replica-{number}"
        self.up = False
        self.starts = 0
        self.watches: dict[int, PendingWatch] = {}
        self.watchers: dict[str, int] = {}  # ids of the watchers with an open connection, by name
        self.watch_request_times: list[int] = []  # arrival of each watch request, in true time
        self.log_events: list[str] = []
        self.core = ControlReplica(options, number)
        self.start()

    def now(self) -> int:
        """The time by this process's own clock."""
        return self.net.now + self.skew_ns

    def start(self) -> None:
        """Start a new process with empty state."""
        self.up = True
        self.starts += 1
        self.core = ControlReplica(self.options, self.number * 1_000 + self.starts)
        self.carry_out(self.core.start(self.now()))
        self.tick(self.starts)

    def kill(self) -> None:
        """End the process; its connections are reset."""
        self.up = False
        for pending in self.watches.values():
            self.net.fail(pending)
        self.watches.clear()
        self.watchers.clear()

    def tick(self, process: int) -> None:
        """Run due timers every 10 ms, as the process's own loop does."""
        if self.up and process == self.starts:
            due = self.core.next_timer_ns()
            if due is not None and due <= self.now():
                self.carry_out(self.core.on_timer(self.now()))
            self.net.schedule(10 * MS, lambda: self.tick(process))

    def on_watch_request(self, pending: PendingWatch) -> None:
        """Handle a watch request of a watcher."""
        self.watch_request_times.append(self.net.now)
        number = self.watchers.setdefault(pending.sender, self.net.event_count)
        self.watches[number] = pending
        position = LogPosition(pending.position, pending.fingerprint or "")
        watch = core.WatchRequest(number, position, pending.fingerprint is not None, pending.wait_ns)
        self.carry_out(self.core.on_watch(self.now(), watch))

    def carry_out(self, effect_list: list[core.Effect]) -> None:
        """Carry out the effects of the replica's core in their order."""
        process = self.starts
        for e in effect_list:
            if isinstance(e, (core.SendWatchResponse, core.RejectWatcher)):
                pending = self.watches.pop(e.watcher_id, None)
                if pending and isinstance(e, core.SendWatchResponse):
                    self.net.send_response(pending, e.body)
                elif pending:
                    self.net.fail(pending)
            elif isinstance(e, core.SendUpstreamRequest):
                self.net.schedule(e.delay_ns, lambda e=e: self.send_upstream_request(e, process))  # type: ignore[misc]
            else:
                self.log_events.append(e.event)

    def send_upstream_request(self, e: core.SendUpstreamRequest, process: int) -> None:
        """Send a watch request upstream, unless process number ``process`` has ended."""
        if not self.up or process != self.starts:
            return
        fingerprint = e.position.fingerprint if e.address in self.options.peers else None

        def on_response(body: bytes | None) -> None:
            if not self.up or process != self.starts:
                return
            if body is None:
                self.carry_out(self.core.on_upstream_failed(self.now(), "lost"))
            else:
                self.carry_out(
                    self.core.on_upstream_response(
                        self.now(), UpstreamCodec().parse_response(orjson.loads(body))
                    )
                )

        self.net.send_watch_request(
            PendingWatch(self.name, e.address, e.position.event_number, fingerprint, e.wait_ns, on_response),
            core.UPSTREAM_TIMEOUT_MARGIN_NS,
        )


class RouterNode:
    """One router, whose process can be restarted."""

    def __init__(
        self, net: VirtualNetwork, number: int, size: FleetSize, replicas: ControlReplicas, skew_ns: int
    ) -> None:
        self.net = net
        self.number = number
        self.size = size
        self.replicas = replicas
        self.skew_ns = skew_ns
        self.name = f"router-{number}"
        self.starts = 0
        self.watch_requests = 0
        self.start()

    def now(self) -> int:
        """The time by this process's own clock."""
        return self.net.now + self.skew_ns

    def start(self) -> None:
        """Start a new process whose first endpoint list is the list service's present one."""
        self.starts += 1
        raw = configuration(self.size, self.number, "10.9.9.9:1", "127.0.0.1:1", "127.0.0.1:2")
        raw["known"]["events"][0]["members"]["endpoints"] = list(self.net.service.lines.values())
        self.reducer = Reducer(parse_config(raw, {}))
        self.feed_address: Address = ("", 0)
        self.outstanding_watch: PendingWatch | None = None
        self.log_events: list[str] = []
        self.carry_out(self.reducer.start(self.now(), None, 0, self.replicas))
        self.deliver(inputs.OperatorFileRead(OperatorFile(control_replicas=self.replicas)))

    def deliver(self, message: inputs.Input) -> None:
        """Pass an input to the reducer and carry out its effects."""
        self.carry_out(self.reducer.handle(self.now(), message))

    def carry_out(self, effect_list: list[effects.Effect]) -> None:
        """Carry out effects of the feed and the log; this router has no clients and no servers."""
        process = self.starts
        for e in effect_list:
            if isinstance(e, effects.SwitchFeed):
                self.feed_address = e.address
                if self.outstanding_watch is not None:
                    self.outstanding_watch.is_over = True
                    self.outstanding_watch = None
            elif isinstance(e, effects.SendWatchRequest):
                self.poll(e)
            elif isinstance(e, effects.ScheduleTimer) and e.key[0] is messages.TimerKind.SEND_WATCH_REQUEST:
                self.net.schedule(e.at_ns - self.now(), lambda e=e: self.on_timer(e, process))  # type: ignore[misc]
            elif isinstance(e, effects.LogEvent):
                self.log_events.append(e.event)

    def on_timer(self, e: effects.ScheduleTimer, process: int) -> None:
        """Fire a timer, unless the process that set it (number ``process``) has ended."""
        if process == self.starts:
            self.deliver(inputs.TimerFired(e.key))

    def poll(self, e: effects.SendWatchRequest) -> None:
        """Send a watch request to the feed, unless one is outstanding."""
        if self.outstanding_watch is not None:
            return
        process = self.starts
        self.watch_requests += 1

        def on_response(body: bytes | None) -> None:
            self.outstanding_watch = None
            if process == self.starts:
                self.deliver(
                    inputs.WatchFailed("lost") if body is None else parse_watch_response(orjson.loads(body))
                )

        self.outstanding_watch = PendingWatch(
            self.name, self.feed_address, e.after_event, e.log_fingerprint, e.wait_ms * MS, on_response
        )
        self.net.send_watch_request(self.outstanding_watch, e.response_timeout_ns)

    def usable_servers(self) -> set[str]:
        """Names of the servers that it may use."""
        return set(self.reducer.state.endpoints)

    def purged_objects(self) -> set[int]:
        """Numbers of the objects whose purges it keeps."""
        return set(self.reducer.state.policy.freshness.object_purges)


class VirtualNetwork:
    """The list service, replicas, routers, the links between them, and the true time.

    ``cut`` holds the pairs of names whose link is cut.
    """

    def __init__(self, size: FleetSize, replicas: list[ReplicaOptions], skews_ns: list[int]) -> None:
        self.now = START_NS
        self.event_count = 0  # number of scheduled events; breaks ties between them
        self.heap: list[tuple[int, int, Callable[[], None]]] = []
        self.cut: set[frozenset[str]] = set()
        self.connections: dict[tuple[str, Address], int] = {}  # the target's process number at connect
        self.service = Service(self, {line["name"]: line for line in endpoints(size)})
        self.replicas = [
            ReplicaNode(self, n + 1, options, skews_ns[n % len(skews_ns)])
            for n, options in enumerate(replicas)
        ]
        named = ControlReplicas(tuple(address_of(r.number) for r in self.replicas))
        self.run(SECOND)
        self.routers = [
            RouterNode(self, n, size, named, -skews_ns[n % len(skews_ns)]) for n in range(size.routers)
        ]

    def schedule(self, delay_ns: int, callback: Callable[[], None]) -> None:
        """Schedule a callback after a delay."""
        self.event_count += 1
        heapq.heappush(self.heap, (self.now + max(0, delay_ns), self.event_count, callback))

    def run(self, interval_ns: int) -> None:
        """Run for an interval of virtual time."""
        end_ns = self.now + interval_ns
        while self.heap and self.heap[0][0] <= end_ns:
            self.now, _, callback = heapq.heappop(self.heap)
            callback()
        self.now = end_ns

    def node(self, address: Address) -> Service | ReplicaNode:
        """The process that listens at an address."""
        number = int(address[0].rpartition(".")[2]) - 1
        return self.service if number == 0 else self.replicas[number - 1]

    def is_linked(self, sender: str, target: Address) -> bool:
        """Whether the link between two processes is intact now."""
        node = self.node(target)
        name = "service" if isinstance(node, Service) else node.name
        return frozenset((sender, name)) not in self.cut

    def send_watch_request(self, watch: PendingWatch, grace_ns: int) -> None:
        """Send a watch request; it times out ``grace_ns`` after the end of its wait."""
        connection = watch.sender, watch.target
        process = self.connections.setdefault(connection, self.node(watch.target).starts)

        def arrive() -> None:
            node = self.node(watch.target)
            if not self.is_linked(watch.sender, watch.target):
                return
            if node.up and node.starts == process:  # a successor process resets the old connection
                node.on_watch_request(watch)
            else:
                self.connections.pop(connection, None)
                self.fail(watch)

        self.schedule(DELAY_NS, arrive)
        self.schedule(watch.wait_ns + grace_ns, lambda: self.time_out(watch))

    def time_out(self, watch: PendingWatch) -> None:
        """End a watch request without a response so far: its sender closes the connection."""
        node = self.node(watch.target)
        if not watch.is_over and isinstance(node, ReplicaNode):
            number = node.watchers.pop(watch.sender, -1)
            node.watches.pop(number, None)
            node.core.on_watcher_disconnected(number)
        self.finish(watch, None)

    def fail(self, watch: PendingWatch) -> None:
        """Fail a watch request: its connection is reset."""
        self.schedule(DELAY_NS, lambda: self.finish(watch, None))

    def send_response(self, watch: PendingWatch, body: bytes) -> None:
        """Send a response; it is lost if the link is cut when it arrives."""

        def arrive() -> None:
            if self.is_linked(watch.sender, watch.target):
                self.finish(watch, body)

        self.schedule(DELAY_NS, arrive)

    def finish(self, watch: PendingWatch, body: bytes | None) -> None:
        """End a watch request with its response, or with None if it failed; a later call has no effect."""
        if not watch.is_over:
            watch.is_over = True
            watch.on_response(body)
