"""One router's reducer in virtual time, with servers whose responses are drawn at random.

Start at ``VirtualRouter``: schedule requests, ``run``, then read ``records``. The same seed gives exactly the
same run.
"""

from __future__ import annotations

import heapq
import json
from dataclasses import dataclass, field
from random import Random
from typing import Any, NamedTuple

from kelpcroft.config import parse_config
from kelpcroft.core import effects, inputs
from kelpcroft.core.reducer import Reducer
from kelpcroft.decision.interface import FillResult, Outcome
from kelpcroft.operator_file import check, load
from testbed.stand_ins import ROOT, SERVERS

MS, S = 10**6, 10**9
START = 1_764_576_000 * S
FIRST_PORT = 9_000
FOREVER = 10**18
EXAMPLE = json.loads((ROOT / "examples/config.json").read_bytes())
OUTCOME_BY_NAME = {
    "done": Outcome.OK,
    "lack": Outcome.MISS,
    "wait": Outcome.FULL,
    "broke": Outcome.ERROR,
    "past": Outcome.MOOT,
}
OUTCOMES_NOT_EXECUTED = ("lack", "wait", "past")
REFUSE = "refuse"  # outcome of a connection; all others are outcomes of attempts
RESET = "reset"
FROM_SERVERS = (inputs.ServerResponse, inputs.ServerConnectionLost, inputs.ServerConnected)
FINAL_EFFECTS = (effects.SendResponse, effects.RejectRequest, effects.FailRequest)


@dataclass
class AttemptRecord:
    """One attempt on the wire; ``outcome`` is a key of ``OUTCOME_BY_NAME``, "reset" or "silent"."""

    sent_ns: int
    server: str  # its address
    outcome: str
    cancelled_ns: int = 0


@dataclass
class RequestRecord:
    """One request with its attempts and its outcome."""

    request: inputs.ClientRequest
    arrives_ns: int
    attempts: list[AttemptRecord] = field(default_factory=list)
    final_effects: list[tuple[int, effects.Effect]] = field(default_factory=list)  # with their times
    client_retry: RequestRecord | None = None  # the client's own retry, if a subclass sends one


class Scheduled(NamedTuple):
    """A scheduled input of the reducer, or a string for ``custom_event``."""

    at_ns: int
    sequence: int  # breaks ties, so that messages are never compared
    message: inputs.Input | str


def listed_endpoints() -> list[dict[str, Any]]:
    """The stand-in servers as lines of the list service."""
    return [
        {
            "name": name,
            "address": f"127.0.0.1:{port}",
            "zone": zone,
            "type": kind,
            "status": "active",
            "weight": 4,
        }
        for port, (name, zone, kind) in enumerate(SERVERS.values(), FIRST_PORT)
    ]


class VirtualRouter:
    """One router in the deployment of examples/config.json, and its servers."""

    def __init__(
        self,
        rules: str | None,
        seed: int,
        outcomes: dict[str, float],
        max_service_ns: int = 200 * MS,
        settings: dict[str, Any] | None = None,
    ) -> None:
        """Start the router.

        Args:
            rules: Content of the operator's file; None = no file.
            seed: Seed of all random draws.
            outcomes: Weights of the outcomes of an attempt; "refuse" is the share of connections refused.
            max_service_ns: Longest service time of a server.
            settings: Values that replace keys of the settings.
        """
        self.random = Random(seed)
        self.outcomes = outcomes
        self.max_service_ns = max_service_ns
        known = {"n": 1, "events": [{"n": 1, "members": {"snapshot": True, "endpoints": listed_endpoints()}}]}
        changed = {**EXAMPLE["settings"], **(settings or {})}
        self.config = parse_config({**EXAMPLE, "known": known, "settings": changed}, {})
        self.reducer = Reducer(self.config)
        self.heap: list[Scheduled] = []
        self.sequence = 0
        self.now = START
        self.records: dict[str, RequestRecord] = {}  # by trace id
        self.records_by_number: dict[tuple[int, int], RequestRecord] = {}  # by client and request number
        self.address_by_connection: dict[int, str] = {}  # of open connections
        self.log: list[effects.LogEvent] = []
        self.carry_out(self.reducer.start(self.now))
        self.deliver(inputs.ListenersReady())
        if rules is not None:
            self.apply_rules(rules)

    def apply_rules(self, text: str) -> None:
        """Give the router an operator's file, which must be valid for this deployment."""
        file, faults = load(text.encode())
        faults = faults or check(file, self.config.settings)
        assert not faults, [fault.format_for("") for fault in faults]
        self.deliver(inputs.OperatorFileRead(file))

    def schedule(self, at_ns: int, message: inputs.Input | str) -> None:
        """Deliver an input at a time; a string is passed to ``custom_event`` instead."""
        self.sequence += 1
        heapq.heappush(self.heap, Scheduled(at_ns, self.sequence, message))

    def custom_event(self, server: str) -> None:
        """Handle a string that a subclass has scheduled."""

    def deliver(self, message: inputs.Input) -> None:
        """Pass an input to the reducer now and carry out its effects."""
        self.carry_out(self.reducer.handle(self.now, message))

    def schedule_request(
        self,
        after_ns: int,
        cls: str,
        patience_ms: int,
        object: int = 7,  # noqa: A002 - name of the request's field
        part: int = 0,
        group: int = 17,
    ) -> RequestRecord:
        """Schedule a client's request, ``after_ns`` ns after the start."""
        number = len(self.records) + 1
        request = inputs.ClientRequest(
            number,
            1,
            cls,
            f"{number:016x}",
            patience_ms * MS,
            f"{object:016x}",
            str(part),
            object,
            part,
            group,
            False,
            "",
            b"order" if cls == "order" else b"",
        )
        record = RequestRecord(request, START + after_ns)
        self.records[request.trace_id] = record
        self.records_by_number[number, 1] = record
        self.schedule(START + after_ns, request)
        return record

    def run(self, until_ns: int = FOREVER) -> None:
        """Run until no request is open or scheduled, or up to a time after the start."""
        while self.heap and self.heap[0].at_ns <= START + until_ns:
            due = heapq.heappop(self.heap)
            self.now = due.at_ns
            if isinstance(due.message, str):
                self.custom_event(due.message)
                continue
            if self._is_of_closed_connection(due.message):
                continue
            if isinstance(due.message, inputs.ServerConnectionLost):
                del self.address_by_connection[due.message.connection]
            self.deliver(due.message)
            if self._is_done():
                return

    def _is_of_closed_connection(self, message: inputs.Input) -> bool:
        return isinstance(message, FROM_SERVERS) and message.connection not in self.address_by_connection

    def _is_done(self) -> bool:
        """Whether no request is open or scheduled."""
        return not self.reducer.state.requests and not any(
            isinstance(event.message, inputs.ClientRequest) for event in self.heap
        )

    def carry_out(self, effect_list: list[effects.Effect]) -> None:
        """Carry out the reducer's effects in their order."""
        for e in effect_list:
            if isinstance(e, effects.ScheduleTimer):
                self.schedule(e.at_ns, inputs.TimerFired(e.key))
            elif isinstance(e, effects.OpenServerConnection):
                self._connect(e)
            elif isinstance(e, effects.CloseServerConnection):
                self.address_by_connection.pop(e.connection, None)
            elif isinstance(e, effects.SendAttempt):
                self.run_attempt(e)
            elif isinstance(e, effects.CancelAttempt):
                for attempt in self.records[e.attempt_id].attempts:
                    attempt.cancelled_ns = attempt.cancelled_ns or self.now
            elif isinstance(e, FINAL_EFFECTS):
                record = self.records_by_number[e.client, e.request_number]
                record.final_effects.append((self.now, e))
            elif isinstance(e, effects.LogEvent):
                self.log.append(e)

    def _connect(self, e: effects.OpenServerConnection) -> None:
        self.address_by_connection[e.connection] = e.address
        is_refused = self.random.random() < self.outcomes.get(REFUSE, 0)
        result_ns = self.now + self.random.randint(1, 3) * MS
        if is_refused:
            self.schedule(result_ns, inputs.ServerConnectionLost(e.connection, "refused", True))
        else:
            self.schedule(result_ns, inputs.ServerConnected(e.connection))

    def run_attempt(self, e: effects.SendAttempt) -> None:
        """Draw an attempt's outcome and its service time; benchmarks override this with other servers."""
        outcomes = [outcome for outcome in self.outcomes if outcome != REFUSE]
        outcome = self.random.choices(outcomes, [self.outcomes[name] for name in outcomes])[0]
        record = AttemptRecord(self.now, self.address_by_connection[e.connection], outcome)
        self.records[e.attempt_id].attempts.append(record)
        ends_ns = self.now + self.random.randint(1, self.max_service_ns // MS) * MS
        if outcome == RESET:
            self.schedule(ends_ns, inputs.ServerConnectionLost(e.connection, "reset"))
        elif outcome in OUTCOME_BY_NAME:
            note = FillResult.HIT if outcome == "done" else FillResult.NONE
            self.schedule(
                ends_ns,
                inputs.ServerResponse(
                    e.connection, e.attempt_id, OUTCOME_BY_NAME[outcome], note, 0, {}, False, b"x"
                ),
            )
