"""The reducer in virtual time, in a randomly generated deployment, with injected failures.

Servers restart and drain, purges are published, responses are lost, clients retry, and the router is killed.
The traffic is recorded for a checker, which implements the rules without the router's code. The same seed
gives exactly the same run. Start at ``SimulatedDay``, whose constructor runs the simulation: a "day" takes a
few seconds of virtual time.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from random import Random
from typing import Any, NamedTuple

from kelpcroft.config import parse_config
from kelpcroft.core import effects, inputs
from kelpcroft.core.reducer import Reducer
from kelpcroft.decision.interface import FillResult, Outcome
from testbed.generated_configuration import MS, S, generate_configuration

__all__ = [
    "MS",
    "OUTCOMES_NOT_EXECUTED",
    "START",
    "AttemptRecord",
    "RequestRecord",
    "S",
    "SimulatedDay",
    "generate_configuration",
]

START = 1_764_576_000 * S
OUTCOME_BY_NAME = {"done": Outcome.OK, "lack": Outcome.MISS, "wait": Outcome.FULL, "broke": Outcome.ERROR}
OUTCOMES_NOT_EXECUTED = ("lack", "wait", "refused")
OUTCOME_WEIGHTS = {"done": 0.8, "lack": 0.05, "wait": 0.05, "broke": 0.05, "reset": 0.02}
SILENT = "silent"
LIST_STATES = {"active": "in_service", "leaving": "terminating", "left": "terminated"}
ORIGIN = "store"
REQUESTS_PER_S = 25
EVENT_COUNTS = (("drain", 2), ("restart", 3), ("purge", 6), ("kill", 1))  # of each kind in a day
AFTER_LAST_REQUEST_NS = 8 * S  # the run continues for this long for open requests
CLIENT_SLACK_NS = 51 * MS  # a client waits this much longer than it declares
RETRY_SHARE = 0.7  # of the clients that may retry
RETRY_AFTER_NS = 100 * MS  # from the end of a client's wait to its retry
REFUSED_CONNECTIONS_SHARE = 0.03
RESTART_NS = 300 * MS  # from the router's kill to its next start
REDELIVERED_PURGES_NS = 6 * S  # a new router receives purges that were published at most this long ago
PURGE_AGE_NS = 50 * MS  # age of a purge when it is published
EVENT_NUMBER = 9  # number of every event; its value does not matter here
FROM_SERVERS = (inputs.ServerConnected, inputs.ServerConnectionLost, inputs.ServerResponse)
FINAL_EFFECTS = (effects.SendResponse, effects.RejectRequest, effects.FailRequest)


@dataclass
class AttemptRecord:
    """One attempt on the wire, and its end on the router's side."""

    sent_ns: int
    command: effects.SendAttempt
    server: str
    process_number: int  # of the router's process that sent it
    outcome: str
    service_ns: int = 0  # time that its server takes for it
    ended_ns: int = 0  # when its response was read, it was cancelled, or its connection or the router ended


@dataclass
class RequestRecord:
    """One request of a client and its outcome."""

    arrived_ns: int
    request: inputs.ClientRequest
    process_number: int
    final_effects: list[tuple[int, effects.Effect]] = field(default_factory=list)  # with their times
    aborted_ns: int = 0  # when the client cancelled or the router was killed


class FeedEvent(NamedTuple):
    """A drain, restart or purge that was published to the router, with its time."""

    at_ns: int
    kind: str  # leaving, active or purge
    subject: Any  # a server's name, or a purge's object, group and time


class Scheduled(NamedTuple):
    """A scheduled input of the router, or a step of the day."""

    at_ns: int
    sequence: int  # breaks ties, so that events are never compared
    process_number: int
    event: inputs.Input | Callable[[], None]


class SimulatedDay:
    """One router in one deployment, its servers, its feed and its clients."""

    def __init__(self, seed: int, seconds: int = 12) -> None:
        """Run a day that takes ``seconds`` seconds of virtual time."""
        self.random = Random(seed + 1_000_003)
        self.raw_config = generate_configuration(seed)
        self.config = parse_config(self.raw_config, {})
        listed = self.raw_config["known"]["events"][0]["members"]["endpoints"]
        self.endpoints = {line["name"]: dict(line) for line in listed}
        self.classes: dict[str, dict[str, Any]] = {
            c["name"]: c for c in self.raw_config["settings"]["classes"]
        }
        self.silent_share = self.random.choice([0.0, 0.05, 0.3])
        self._heap: list[Scheduled] = []
        self._sequence = 0  # of events and of clients
        self.process_number = 0
        self.now = START
        self.attempts: list[AttemptRecord] = []
        self.requests: dict[tuple[int, int], RequestRecord] = {}  # by client and request number
        self.requests_by_trace: dict[str, RequestRecord] = {}
        self.feed_events: list[FeedEvent] = []
        self.is_up = True
        self.start_router()
        self._schedule_day(seconds)
        self._play(START + seconds * S + AFTER_LAST_REQUEST_NS)

    def _schedule_day(self, seconds: int) -> None:
        """Schedule the clients' requests, drains, restarts, purges and the router's kill."""
        steps = {
            "drain": self._drain_server,
            "restart": self._restart_server,
            "purge": self._purge,
            "kill": self._kill_router,
        }
        for _ in range(seconds * REQUESTS_PER_S):
            at_ns = START + self.random.randrange(seconds * S)
            self.schedule(at_ns, self._send_request)
        for name, count in EVENT_COUNTS:
            for _ in range(count):
                self.schedule(START + S + self.random.randrange((seconds - 2) * S), steps[name])

    def _play(self, end_ns: int) -> None:
        while self._heap and self._heap[0].at_ns < end_ns:
            due = heapq.heappop(self._heap)
            self.now = due.at_ns
            if callable(due.event):
                due.event()
            elif due.process_number == self.process_number and self.is_up:
                self.deliver(due.event)

    def schedule(self, at: int, event: inputs.Input | Callable[[], None]) -> None:
        """Schedule an input, which is dropped if the router is killed first, or a step of the day."""
        self._sequence += 1
        heapq.heappush(self._heap, Scheduled(at, self._sequence, self.process_number, event))

    # The router's processes -------------------------------------------------------------------------------

    def start_router(self) -> None:
        """Start a router that has only its first list, and deliver the changes since then."""
        self.process_number += 1
        self.is_up = True
        self._server_by_connection: dict[int, str] = {}
        self._open_attempts: dict[tuple[int, str], AttemptRecord] = {}  # by connection and attempt id
        self.reducer = Reducer(self.config)
        self.carry_out(self.reducer.start(self.now))
        changed = [e for e in self.endpoints.values() if e["status"] != "active" or e.get("since_ms")]
        if changed:
            self._deliver_endpoints(changed)
        self.deliver(inputs.ListenersReady())

    def _kill_router(self) -> None:
        """Kill the router: its clients' connections end, and it restarts later with empty state."""
        self.is_up = False
        for attempt in self._open_attempts.values():
            attempt.ended_ns = self.now
        for record in self.requests.values():
            if not record.final_effects and not record.aborted_ns:
                record.aborted_ns = self.now
        self.schedule(self.now + RESTART_NS, self._restart_router)

    def _restart_router(self) -> None:
        """Start the router and deliver the purges of the last seconds."""
        self.feed_events = [
            feed_event
            for feed_event in self.feed_events
            if feed_event.kind != "purge" or self.now - feed_event.at_ns < REDELIVERED_PURGES_NS
        ]
        self.start_router()
        for feed_event in list(self.feed_events):
            if feed_event.kind == "purge":
                self.deliver(inputs.WatchResponse(EVENT_NUMBER, (inputs.Purge(*feed_event.subject),)))
                self.feed_events.append(FeedEvent(self.now, "purge", feed_event.subject))
                self.feed_events.remove(feed_event)

    # The router's inputs ----------------------------------------------------------------------------------

    def deliver(self, message: inputs.Input) -> None:
        """Pass an input to the reducer, unless its connection or attempt has ended."""
        if isinstance(message, FROM_SERVERS) and message.connection not in self._server_by_connection:
            return
        if isinstance(message, inputs.ServerConnectionLost):
            del self._server_by_connection[message.connection]
            self._end_attempts_on(message.connection)
        if isinstance(message, inputs.ServerResponse):
            attempt = self._open_attempts.pop((message.connection, message.attempt_id), None)
            if attempt is None:
                return
            attempt.ended_ns = self.now
        self.carry_out(self.reducer.handle(self.now, message))

    def _end_attempts_on(self, connection: int) -> None:
        for key in [key for key in self._open_attempts if key[0] == connection]:
            self._open_attempts.pop(key).ended_ns = self.now

    def _deliver_endpoints(self, lines: list[dict[str, Any]]) -> None:
        """Deliver a list event with these servers' lines."""
        records = tuple(
            inputs.EndpointRecord(
                line["name"],
                line["address"],
                line["zone"],
                line["type"],
                line["group"],
                LIST_STATES[line["status"]],
                line["weight"],
                line.get("since_ms", 0) * MS,
            )
            for line in lines
        )
        self.deliver(inputs.WatchResponse(EVENT_NUMBER, (inputs.EndpointUpdate(False, records),)))

    def _drain_server(self) -> None:
        self._change_server("leaving", self.random.choice(["leaving", "left"]))

    def _restart_server(self) -> None:
        """Restart a server: it is cold, and its connections are reset."""
        name = self._change_server("active", "active")
        for connection in [c for c, server in self._server_by_connection.items() if name and server == name]:
            self.deliver(inputs.ServerConnectionLost(connection, "reset"))

    def _change_server(self, kind: str, status: str) -> str:
        """Change the status of a random server in service; return its name, or "" if none is in service."""
        names = [
            line["name"]
            for line in self.endpoints.values()
            if line["status"] == "active" and line["name"] != ORIGIN
        ]
        if not names:
            return ""
        line = self.endpoints[self.random.choice(names)]
        line["status"] = status
        if kind == "active":
            line["since_ms"] = self.now // MS
        self.feed_events.append(FeedEvent(self.now, kind, line["name"]))
        if self.is_up:
            self._deliver_endpoints([line])
        return str(line["name"])

    def _purge(self) -> None:
        object_number, group = self.random.choice([(7, 0), (8, 0), (None, 3)])
        purged_ns = self.now - PURGE_AGE_NS
        self.feed_events.append(FeedEvent(self.now, "purge", (object_number, group, purged_ns)))
        if self.is_up:
            self.deliver(inputs.WatchResponse(EVENT_NUMBER, (inputs.Purge(object_number, group, purged_ns),)))

    # Clients ----------------------------------------------------------------------------------------------

    def _send_request(self, retry_key: str = "", since_ns: int = 0) -> None:
        """Send a client's request; with ``retry_key``, a retry of the keyed request of ``since_ns``."""
        if not self.is_up:
            return
        cls = self._class_of(retry_key)
        is_keyed = cls["idempotency"] == "keyed"
        key = retry_key or (f"{cls['name']}/{self._sequence}" if is_keyed else "")
        remaining_ns = cls["give_up_ns"] - (self.now - since_ns if retry_key else 0)
        wait_ms = int(remaining_ns * self.random.uniform(0.5, 1.0)) // MS
        if wait_ms < 1:
            return
        request = self._make_request(cls, key, wait_ms, is_retry=bool(retry_key))
        record = RequestRecord(self.now, request, self.process_number)
        self.requests[request.client, 1] = record
        self.requests_by_trace[request.trace_id] = record
        wait_ends_ns = self.now + wait_ms * MS + CLIENT_SLACK_NS
        self.schedule(wait_ends_ns, partial(self._end_wait, record, since_ns or self.now))
        self.deliver(request)

    def _class_of(self, retry_key: str) -> dict[str, Any]:
        """The class in an idempotency key, or a random one without a key."""
        if retry_key:
            return self.classes[retry_key.split("/")[0]]
        return self.classes[self.random.choice(sorted(self.classes))]

    def _make_request(
        self, cls: dict[str, Any], key: str, wait_ms: int, *, is_retry: bool
    ) -> inputs.ClientRequest:
        self._sequence += 1
        client = self._sequence
        object_number = self.random.choice([7, 8, 9, self.random.randrange(10**6)])
        return inputs.ClientRequest(
            client,
            1,
            cls["name"],
            f"{client:016x}",
            wait_ms * MS,
            f"{object_number:016x}",
            "0",
            object_number,
            0,
            object_number % 4,
            is_retry,
            "",
            b"x" if cls["idempotency"] != "safe" else b"",
            idempotency_key=key,
            size_kb=self.random.choice([0.0, 1.0, 200.0, 5_000.0]),
        )

    def _end_wait(self, record: RequestRecord, since_ns: int) -> None:
        """End a client's wait: it cancels an open request, and may retry if the class allows it."""
        cls = self.classes[record.request.request_class]
        if not record.final_effects and not record.aborted_ns:
            record.aborted_ns = self.now
            if record.process_number == self.process_number and self.is_up:
                self.deliver(inputs.CancelRequest(record.request.client, 1))
        was_refused = any(isinstance(e, effects.RejectRequest) for _, e in record.final_effects)
        was_served = any(isinstance(e, effects.SendResponse) for _, e in record.final_effects)
        within_window = cls["group"] == "all" and self.now - since_ns < cls["dedup_window_ns"]
        may_retry = cls["idempotency"] == "keyed" and not was_served and (was_refused or within_window)
        if may_retry and self.random.random() < RETRY_SHARE:
            retry = partial(self._send_request, record.request.idempotency_key, since_ns)
            self.schedule(self.now + RETRY_AFTER_NS, retry)

    # The router's effects ---------------------------------------------------------------------------------

    def carry_out(self, effect_list: list[effects.Effect]) -> None:
        """Carry out the reducer's effects in their order."""
        for e in effect_list:
            if isinstance(e, effects.ScheduleTimer):
                self.schedule(max(e.at_ns, self.now), inputs.TimerFired(e.key))
            elif isinstance(e, effects.OpenServerConnection):
                self._connect(e)
            elif isinstance(e, effects.CloseServerConnection):
                self._server_by_connection.pop(e.connection, None)
                self._end_attempts_on(e.connection)
            elif isinstance(e, effects.CancelAttempt):
                attempt = self._open_attempts.pop((e.connection, e.attempt_id), None)
                if attempt:
                    attempt.ended_ns = self.now
            elif isinstance(e, effects.SendAttempt):
                self._run_attempt(e)
            elif isinstance(e, FINAL_EFFECTS):
                self.requests[e.client, e.request_number].final_effects.append((self.now, e))

    def _connect(self, e: effects.OpenServerConnection) -> None:
        name = next(name for name, line in self.endpoints.items() if line["address"] == e.address)
        self._server_by_connection[e.connection] = name
        is_up = self.random.random() > REFUSED_CONNECTIONS_SHARE
        result_ns = self.now + self.random.randint(1, 30) * MS
        if is_up:
            self.schedule(result_ns, inputs.ServerConnected(e.connection))
        else:
            self.schedule(result_ns, inputs.ServerConnectionLost(e.connection, "refused", True))

    def _run_attempt(self, e: effects.SendAttempt) -> None:
        """Draw an attempt's outcome and its service time."""
        outcome = self._draw_outcome()
        service_ns = int(self.random.lognormvariate(4, 1)) * MS + MS
        server = self._server_by_connection[e.connection]
        attempt = AttemptRecord(self.now, e, server, self.process_number, outcome, service_ns)
        self.attempts.append(attempt)
        self._open_attempts[e.connection, e.attempt_id] = attempt
        ends_ns = self.now + service_ns
        if outcome == "reset":
            self.schedule(ends_ns, inputs.ServerConnectionLost(e.connection, "reset"))
        elif outcome != SILENT:
            self.schedule(ends_ns, self._response(e, outcome))

    def _draw_outcome(self) -> str:
        if self.random.random() < self.silent_share:
            return SILENT
        return self.random.choices(list(OUTCOME_WEIGHTS), list(OUTCOME_WEIGHTS.values()))[0]

    def _response(self, e: effects.SendAttempt, outcome: str) -> inputs.ServerResponse:
        report = {name: self.random.random() for name in self.config.settings.load_report_fields}
        note = FillResult.NONE
        if outcome == "done":
            note = self.random.choice([FillResult.HIT, FillResult.FILLED, FillResult.FILLED_FROM_ORIGIN])
        reported_outcome = OUTCOME_BY_NAME[outcome]
        return inputs.ServerResponse(
            e.connection, e.attempt_id, reported_outcome, note, 5 * MS, report, False, b"x"
        )
