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
START = 1_764_576_000 * SECOND  # start of virtual time, Unix ns
DELAY_NS = 5 * MS  # delay of a message, one way
SERVICE_PORT = 7_000

Address = tuple[str, int]


def address_of(number: int) -> Address:
    """Address at which replica ``number`` listens; number 0 is the list service."""
    return f"10.0.0.{number + 1}", SERVICE_PORT


@dataclass
class Call:
    """An outstanding watch request, as its sender sees it."""

    caller: str
    target: Address
    after: int
    mark: str | None
    wait_ns: int
    reply: Callable[[bytes | None], None]  # called with None if the request has failed
    over: bool = False


@dataclass
class Service:
    """The list service: the true state of the servers, and an event log whose numbering may restart."""

    net: VirtualNetwork
    lines: dict[str, dict[str, Any]]
    up: bool = True
    starts: int = 1
    events: list[dict[str, Any]] = field(default_factory=list)
    waiting: list[Call] = field(default_factory=list)
    calls: int = 0

    @property
    def last(self) -> int:
        """The number of the last event."""
        return len(self.events) + 1

    def tell(self, **event: Any) -> None:
        """Publish an event."""
        self.events.append({"n": self.last + 1, **event})
        for call in self.waiting[:]:
            self.answer(call)

    def change(self, name: str, status: str, since_ms: int = 0) -> None:
        """Publish a server's new line."""
        self.lines[name] = {**self.lines[name], "status": status, "since_ms": since_ms}
        self.tell(members={"index": self.last, "snapshot": False, "endpoints": [self.lines[name]]})

    def restart(self) -> None:
        """Number events from 1 again; purges published before are not published again."""
        self.events = []
        self.starts += 1
        for call in self.waiting[:]:
            self.waiting.remove(call)
            self.net.fail(call)

    def on_call(self, call: Call) -> None:
        """Take a watch request: respond immediately if it is behind, else let it wait."""
        self.calls += 1
        self.waiting.append(call)
        if call.after != self.last:
            self.answer(call)
        else:
            self.net.at(call.wait_ns - 100 * MS, lambda: self.answer(call))

    def answer(self, call: Call) -> None:
        """Respond to a watch request that still waits, with the events after its position."""
        if call not in self.waiting:
            return
        self.waiting.remove(call)
        found = self.events[max(0, call.after - 1) :] if call.after <= self.last else []
        if call.after < 1:
            whole = {"index": 1, "snapshot": True, "endpoints": list(self.lines.values())}
            found = [{"n": 1, "members": whole}, *found]
        self.net.reply(call, orjson.dumps({"n": self.last, "events": found}))


class ReplicaNode:
    """One control replica and the processes that it runs in turn."""

    def __init__(self, net: VirtualNetwork, number: int, options: ReplicaOptions, skew_ns: int) -> None:
        self.net = net
        self.number = number
        self.options = options
        self.skew_ns = skew_ns
        self.name = f"replica-{number}"
        self.up = False
        self.starts = 0
        self.watches: dict[int, Call] = {}
        self.watchers: dict[str, int] = {}  # by the watcher's name, while its connection is open
        self.calls: list[int] = []  # arrival of each watch request, in true time
        self.notes: list[str] = []
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
        """The process ends: its connections are reset."""
        self.up = False
        for call in self.watches.values():
            self.net.fail(call)
        self.watches.clear()
        self.watchers.clear()

    def tick(self, start: int) -> None:
        """Run due timers every 10 ms, as the process's own loop does."""
        if self.up and start == self.starts:
            due = self.core.next_timer_ns()
            if due is not None and due <= self.now():
                self.carry_out(self.core.on_timer(self.now()))
            self.net.at(10 * MS, lambda: self.tick(start))

    def on_call(self, call: Call) -> None:
        """Take a watch request of a watcher."""
        self.calls.append(self.net.now)
        number = self.watchers.setdefault(call.caller, self.net.made)
        self.watches[number] = call
        position = LogPosition(call.after, call.mark or "")
        watch = core.WatchRequest(number, position, call.mark is not None, call.wait_ns)
        self.carry_out(self.core.on_watch(self.now(), watch))

    def carry_out(self, effect_list: list[core.Effect]) -> None:
        """Carry out the effects of the replica's core in their order."""
        start = self.starts
        for e in effect_list:
            if isinstance(e, (core.SendWatchResponse, core.RefuseWatcher)):
                call = self.watches.pop(e.watcher_id, None)
                if call and isinstance(e, core.SendWatchResponse):
                    self.net.reply(call, e.body)
                elif call:
                    self.net.fail(call)
            elif isinstance(e, core.CallUpstream):
                self.net.at(e.delay_ns, lambda e=e: self.call(e, start))  # type: ignore[misc]
            else:
                self.notes.append(e.event)

    def call(self, e: core.CallUpstream, start: int) -> None:
        """Send a watch request upstream, unless process number ``start`` has ended."""
        if not self.up or start != self.starts:
            return
        mark = e.position.fingerprint if e.address in self.options.peers else None

        def reply(body: bytes | None) -> None:
            if not self.up or start != self.starts:
                return
            if body is None:
                self.carry_out(self.core.on_upstream_failed(self.now(), "lost"))
            else:
                self.carry_out(
                    self.core.on_upstream_response(
                        self.now(), UpstreamCodec().parse_response(orjson.loads(body))
                    )
                )

        self.net.call(
            Call(self.name, e.address, e.position.event_number, mark, e.wait_ns, reply),
            core.UPSTREAM_TIMEOUT_MARGIN_NS,
        )


class RouterNode:
    """One router and the processes that it runs in turn."""

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
        self.calls = 0
        self.start()

    def now(self) -> int:
        """The time by this process's own clock."""
        return self.net.now + self.skew_ns

    def start(self) -> None:
        """Start a new process whose first list is the service's present one."""
        self.starts += 1
        raw = configuration(self.size, self.number, "10.9.9.9:1", "127.0.0.1:1", "127.0.0.1:2")
        raw["known"]["events"][0]["members"]["endpoints"] = list(self.net.service.lines.values())
        self.reducer = Reducer(parse_config(raw, {}))
        self.at: Address = ("", 0)
        self.out: Call | None = None
        self.logged: list[str] = []
        self.carry_out(self.reducer.start(self.now(), None, 0, self.replicas))
        self.tell(inputs.OperatorFileRead(OperatorFile(control_replicas=self.replicas)))

    def tell(self, message: inputs.Input) -> None:
        """Pass an input to the reducer and carry out its effects."""
        self.carry_out(self.reducer.handle(self.now(), message))

    def carry_out(self, effect_list: list[effects.Effect]) -> None:
        """Carry out effects of the feed and the log; this router has no clients and no servers."""
        start = self.starts
        for e in effect_list:
            if isinstance(e, effects.SwitchFeed):
                self.at = e.address
                if self.out is not None:
                    self.out.over = True
                    self.out = None
            elif isinstance(e, effects.PollFeed):
                self.poll(e)
            elif isinstance(e, effects.ScheduleTimer) and e.key[0] is messages.TimerKind.POLL_FEED:
                self.net.at(e.at_ns - self.now(), lambda e=e: self.due(e, start))  # type: ignore[misc]
            elif isinstance(e, effects.LogEvent):
                self.logged.append(e.event)

    def due(self, e: effects.ScheduleTimer, start: int) -> None:
        """Fire a timer, unless the process that set it (number ``start``) has ended."""
        if start == self.starts:
            self.tell(inputs.TimerFired(e.key))

    def poll(self, e: effects.PollFeed) -> None:
        """Send a watch request to the feed, unless one is outstanding."""
        if self.out is not None:
            return
        start = self.starts
        self.calls += 1

        def reply(body: bytes | None) -> None:
            self.out = None
            if start == self.starts:
                self.tell(
                    inputs.WatchFailed("lost") if body is None else parse_watch_response(orjson.loads(body))
                )

        self.out = Call(self.name, self.at, e.after_event, e.log_fingerprint, e.wait_ms * MS, reply)
        self.net.call(self.out, e.response_timeout_ns)

    def serving(self) -> set[str]:
        """Names of the servers that it may use."""
        return set(self.reducer.state.endpoints)

    def purged(self) -> set[int]:
        """Numbers of the objects whose purges it keeps."""
        return set(self.reducer.state.policy.freshness.object_purges)


class VirtualNetwork:
    """The list service, replicas, routers, the links between them, and the true time.

    ``cut`` holds the pairs of names whose link is cut.
    """

    def __init__(self, size: FleetSize, replicas: list[ReplicaOptions], skews_ns: list[int]) -> None:
        self.now = START
        self.made = 0  # number of scheduled events; breaks ties between them
        self.heap: list[tuple[int, int, Callable[[], None]]] = []
        self.cut: set[frozenset[str]] = set()
        self.connections: dict[tuple[str, Address], int] = {}  # the target's process number
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

    def at(self, delay_ns: int, what: Callable[[], None]) -> None:
        """Schedule a callback after a delay."""
        self.made += 1
        heapq.heappush(self.heap, (self.now + max(0, delay_ns), self.made, what))

    def run(self, span_ns: int) -> None:
        """Run for an interval of virtual time."""
        until = self.now + span_ns
        while self.heap and self.heap[0][0] <= until:
            self.now, _, what = heapq.heappop(self.heap)
            what()
        self.now = until

    def node(self, address: Address) -> Service | ReplicaNode:
        """The process that listens at an address."""
        number = int(address[0].rpartition(".")[2]) - 1
        return self.service if number == 0 else self.replicas[number - 1]

    def linked(self, caller: str, target: Address) -> bool:
        """Whether the link between two processes is intact now."""
        node = self.node(target)
        name = "service" if isinstance(node, Service) else node.name
        return frozenset((caller, name)) not in self.cut

    def call(self, call: Call, late_ns: int) -> None:
        """Send a watch request; it times out ``late_ns`` after the end of its wait."""
        connection = call.caller, call.target
        starts = self.connections.setdefault(connection, self.node(call.target).starts)

        def arrive() -> None:
            node = self.node(call.target)
            if not self.linked(call.caller, call.target):
                return
            if node.up and node.starts == starts:  # a successor process resets the old connection
                node.on_call(call)
            else:
                self.connections.pop(connection, None)
                self.fail(call)

        self.at(DELAY_NS, arrive)
        self.at(call.wait_ns + late_ns, lambda: self.given_up(call))

    def given_up(self, call: Call) -> None:
        """Time out: without a response by now, the sender closes the connection."""
        node = self.node(call.target)
        if not call.over and isinstance(node, ReplicaNode):
            number = node.watchers.pop(call.caller, -1)
            node.watches.pop(number, None)
            node.core.on_watcher_disconnected(number)
        self.over(call, None)

    def fail(self, call: Call) -> None:
        """The connection is reset."""
        self.at(DELAY_NS, lambda: self.over(call, None))

    def reply(self, call: Call, body: bytes) -> None:
        """Send a response; it is lost if the link is cut when it arrives."""

        def arrive() -> None:
            if self.linked(call.caller, call.target):
                self.over(call, body)

        self.at(DELAY_NS, arrive)

    def over(self, call: Call, body: bytes | None) -> None:
        """End a watch request once, with its response, or with None if it failed."""
        if not call.over:
            call.over = True
            call.reply(body)
