"""The reducer in virtual time, against servers that do as chance says.  A seed replays a run to the byte."""

from __future__ import annotations

import heapq
import json
from dataclasses import dataclass, field
from random import Random
from typing import Any

from kelpcroft.config import parse_config
from kelpcroft.core import effects, inputs
from kelpcroft.core.reducer import Reducer
from kelpcroft.decision.interface import FillResult, Outcome
from kelpcroft.operator_file import check, load
from testbed.stand_ins import ROOT, SERVERS

MS, S = 10**6, 10**9
START = 1_764_576_000 * S
EXAMPLE = json.loads((ROOT / "examples/config.json").read_bytes())
OUTCOME_BY_FATE = {
    "done": Outcome.OK,
    "lack": Outcome.MISS,
    "wait": Outcome.FULL,
    "broke": Outcome.ERROR,
    "past": Outcome.MOOT,
}
FATES_NOT_EXECUTED = ("lack", "wait", "past")


@dataclass
class AttemptRecord:
    """One attempt on the wire."""

    sent_ns: int
    server: str
    fate: str
    cancelled_ns: int = 0


@dataclass
class RequestRecord:
    """All that happened to one request."""

    request: inputs.ClientRequest
    arrives_ns: int
    attempts: list[AttemptRecord] = field(default_factory=list)
    final_effects: list[tuple[int, effects.Effect]] = field(default_factory=list)
    client_retry: RequestRecord | None = None  # the client's own retry, where a world has one


class VirtualRouter:
    """One router and its servers."""

    def __init__(
        self,
        rules: str | None,
        seed: int,
        fates: dict[str, float],
        slow_ns: int = 200 * MS,
        settings: dict[str, Any] | None = None,
    ) -> None:
        self.random = Random(seed)
        self.fates, self.max_service_ns = fates, slow_ns
        endpoints = [
            {
                "name": name,
                "address": f"127.0.0.1:{n}",
                "zone": zone,
                "type": kind,
                "status": "active",
                "weight": 4,
            }
            for n, (name, zone, kind) in enumerate(SERVERS.values(), 9_000)
        ]
        known = {"n": 1, "events": [{"n": 1, "members": {"snapshot": True, "endpoints": endpoints}}]}
        self.config = parse_config(
            {**EXAMPLE, "known": known, "settings": {**EXAMPLE["settings"], **(settings or {})}}, {}
        )
        self.reducer = Reducer(self.config)
        self.heap: list[tuple[int, int, inputs.Input | str]] = []
        self.sequence, self.now = 0, START
        self.records: dict[str, RequestRecord] = {}
        self.records_by_call: dict[tuple[int, int], RequestRecord] = {}
        self.address_by_link: dict[int, str] = {}
        self.log: list[effects.LogEvent] = []
        self.carry_out(self.reducer.start(self.now))
        self.deliver(inputs.ListenersReady())
        if rules is not None:
            self.apply_rules(rules)

    def apply_rules(self, text: str) -> None:
        """An operator's file, held against this deployment."""
        file, faults = load(text.encode())
        assert not faults and not (faults := check(file, self.config.settings)), [
            f.format_for("") for f in faults
        ]
        self.deliver(inputs.OperatorFileRead(file))

    def schedule(self, when: int, message: inputs.Input | str) -> None:
        self.sequence += 1
        heapq.heappush(self.heap, (when, self.sequence, message))

    def custom_event(self, server: str) -> None:
        """What a world of its own asked to be told of with ``at``."""

    def deliver(self, message: inputs.Input) -> None:
        self.carry_out(self.reducer.handle(self.now, message))

    def schedule_request(
        self, when: int, cls: str, patience_ms: int, object: int = 7, part: int = 0, group: int = 17
    ) -> RequestRecord:
        """A request to come."""
        number = len(self.records) + 1
        call = inputs.ClientRequest(
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
        story = self.records[call.trace_id] = self.records_by_call[number, 1] = RequestRecord(
            call, START + when
        )
        self.schedule(START + when, call)
        return story

    def run(self, until: int = 10**18) -> None:
        """All that comes, up to a time after the start."""
        while self.heap and self.heap[0][0] <= START + until:
            self.now, _, message = heapq.heappop(self.heap)
            if isinstance(message, str):
                self.custom_event(message)
                continue
            if (
                isinstance(
                    message, (inputs.ServerResponse, inputs.ServerConnectionLost, inputs.ServerConnected)
                )
                and message.connection not in self.address_by_link
            ):
                continue
            if isinstance(message, inputs.ServerConnectionLost):
                del self.address_by_link[message.connection]
            self.deliver(message)
            if not self.reducer.state.requests and not any(
                isinstance(x[2], inputs.ClientRequest) for x in self.heap
            ):
                return

    def carry_out(self, effect_list: list[effects.Effect]) -> None:
        for e in effect_list:
            if isinstance(e, effects.ScheduleTimer):
                self.schedule(e.at_ns, inputs.TimerFired(e.key))
            elif isinstance(e, effects.OpenServerConnection):
                self.address_by_link[e.connection] = e.address
                refused = self.random.random() < self.fates.get("refuse", 0)
                took = self.now + self.random.randint(1, 3) * MS
                self.schedule(
                    took,
                    inputs.ServerConnectionLost(e.connection, "refused", True)
                    if refused
                    else inputs.ServerConnected(e.connection),
                )
            elif isinstance(e, effects.CloseServerConnection):
                self.address_by_link.pop(e.connection, None)
            elif isinstance(e, effects.SendAttempt):
                self.run_attempt(e)
            elif isinstance(e, effects.CancelAttempt):
                for sent in self.records[e.attempt_id].attempts:
                    sent.cancelled_ns = sent.cancelled_ns or self.now
            elif isinstance(e, (effects.SendResponse, effects.RejectRequest, effects.FailRequest)):
                self.records_by_call[e.client, e.request_number].final_effects.append((self.now, e))
            elif isinstance(e, effects.LogEvent):
                self.log.append(e)

    def run_attempt(self, e: effects.SendAttempt) -> None:
        names = [f for f in self.fates if f != "refuse"]
        fate = self.random.choices(names, [self.fates[f] for f in names])[0]
        self.records[e.attempt_id].attempts.append(
            AttemptRecord(self.now, self.address_by_link[e.connection], fate)
        )
        took = self.now + self.random.randint(1, self.max_service_ns // MS) * MS
        if fate == "reset":
            self.schedule(took, inputs.ServerConnectionLost(e.connection, "reset"))
        elif fate in OUTCOME_BY_FATE:
            self.schedule(
                took,
                inputs.ServerResponse(
                    e.connection,
                    e.attempt_id,
                    OUTCOME_BY_FATE[fate],
                    FillResult.HIT if fate == "done" else FillResult.NONE,
                    0,
                    {},
                    False,
                    b"x",
                ),
            )
