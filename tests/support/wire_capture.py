"""Digests of all output of a router, a rollout or the decision package in a seeded run in virtual time.

Each effect is recorded in its wire form: encoded by the program's own codec if there is one, otherwise as a
word that is defined here, followed by the effect's field values in order as JSON.  Names of classes, fields,
enum members and modules are not part of a digest, so a rename changes no digest.  Log effects are left out,
and so are the reasons that only the log contains (of a closed client connection).

The tables ``EFFECTS``, ``TIMERS`` and ``COMMAND_WORDS`` name all classes of the program that a digest
distinguishes.
"""

from __future__ import annotations

import hashlib
import heapq
import io
import json
from collections.abc import Callable
from pathlib import Path
from random import Random
from typing import Any

import orjson

from kelpcroft.core import effects, inputs, messages
from kelpcroft.net import (
    client_codec as client_codec,
)
from kelpcroft.net import (
    control_codec as control_codec,
)
from kelpcroft.net import (
    feed_codec as feed,
)
from kelpcroft.net import (
    server_codec as server_codec,
)
from kelpcroft.rollout.events import CommandKind, Event, HistoryEntry, OperatorCommand, RouterCommand
from kelpcroft.rollout.snapshot import to_snapshot
from kelpcroft.rollout.state_machine import Rollout
from kelpcroft.simulator_adapter import SimulatorHost
from testbed.deployments import SimulatedDay, generate_configuration
from testbed.rollouts import SimulatedFleet, SimulatedRouter, make_plan
from testbed.virtual import START, VirtualRouter

ROOT = Path(__file__).parent.parent.parent
MS, S = 10**6, 10**9
FEED = ("127.0.0.1", 8)  # address of the feed until the router switches to a control replica

TIMERS = {
    messages.TimerKind.DECISION: "decision",
    messages.TimerKind.ATTEMPT_TIMEOUT: "attempt",
    messages.TimerKind.CONNECT_TIMEOUT: "connect",
    messages.TimerKind.CONNECTION_SILENCE: "silence",
    messages.TimerKind.HEALTH_CHECK_TIMEOUT: "probe",
    messages.TimerKind.SEND_WATCH_REQUEST: "poll",
    messages.TimerKind.HEDGE: "second",
    messages.TimerKind.RETRY_BACKOFF: "retry",
    messages.TimerKind.HOUSEKEEPING: "periodic",
    messages.TimerKind.RESTART_OVERLAP: "alone",
    messages.TimerKind.SHUTDOWN: "shutdown",
    messages.TimerKind.SETTINGS_TRANSITION: "settings",
}
COMMAND_WORDS = {
    CommandKind.POLL: "poll",
    CommandKind.DRAIN: "out-of-service",
    CommandKind.APPLY: "apply",
    CommandKind.UNDO: "undo",
    CommandKind.RESTART: "restart",
    CommandKind.ENABLE: "in-service",
}


def fields(*values: object) -> bytes:
    """Encodes the field values of an effect that has no codec."""
    return json.dumps(values, separators=(",", ":")).encode()


class Digest:
    """The hash of a sequence of records with their virtual times."""

    def __init__(self) -> None:
        self.hash = hashlib.sha256()
        self.count = 0
        self.words: set[str] = set()
        self.feed_address = FEED

    def add(self, now: int, word: str, peer: int, payload: bytes) -> None:
        """Adds a record: its time, its word, the number of its connection (0 = none) and its bytes."""
        self.hash.update(f"{now} {word} {peer} {len(payload)}\n".encode() + payload + b"\n")
        self.count += 1
        self.words.add(word)

    def effects(self, now: int, effect_list: list[effects.Effect]) -> None:
        """Adds the effects that the reducer returned for one input."""
        for e in effect_list:
            word, encode = EFFECTS[type(e)]
            if word != "log":
                self.add(now, word, *encode(self, e))

    def hex(self) -> str:
        """Returns the digest; fails if nothing was recorded."""
        assert self.count > 0, "nothing was recorded"
        return self.hash.hexdigest()


def encode_watch_request(digest: Digest, e: effects.SendWatchRequest) -> tuple[int, bytes]:
    """Encodes a watch request as it is sent to the feed, and its response timeout."""
    return 0, feed.encode_watch_request(
        digest.feed_address, e.after_event, e.wait_ms, e.log_fingerprint
    ) + fields(e.response_timeout_ns)


def encode_feed_switch(digest: Digest, e: effects.SwitchFeed) -> tuple[int, bytes]:
    """Encodes a switch of the feed's address, which later watch requests contain."""
    digest.feed_address = e.address
    return 0, fields(*e.address)


Encode = Callable[[Digest, Any], tuple[int, bytes]]
EFFECTS: dict[type, tuple[str, Encode]] = {
    effects.SendResponse: (
        "answer",
        lambda _, e: (
            e.client,
            b"".join(client_codec.encode_response(e.request_number, e.body, e.not_modified)),
        ),
    ),
    effects.RejectRequest: (
        "answer",
        lambda _, e: (e.client, client_codec.encode_rejection(e.request_number, e.retry_after_ns)),
    ),
    effects.FailRequest: ("answer", lambda _, e: (e.client, client_codec.encode_failure(e.request_number))),
    effects.SendHealth: (
        "answer",
        lambda _, e: (e.client, client_codec.encode_health(e.request_number, e.is_ready)),
    ),
    effects.CloseClient: ("close-client", lambda _, e: (e.client, b"")),
    effects.OpenServerConnection: ("connect", lambda _, e: (e.connection, fields(e.address))),
    effects.SendAttempt: ("server", lambda _, e: (e.connection, b"".join(server_codec.encode_attempt(e)))),
    effects.CancelAttempt: ("server", lambda _, e: (e.connection, b"".join(server_codec.encode_cancel(e)))),
    effects.SendHealthCheck: (
        "server",
        lambda _, e: (e.connection, b"".join(server_codec.encode_health_check(e))),
    ),
    effects.CloseServerConnection: ("close-server", lambda _, e: (e.connection, b"")),
    effects.SendWatchRequest: ("poll", encode_watch_request),
    effects.SwitchFeed: ("move-feed", encode_feed_switch),
    effects.ScheduleTimer: ("timer", lambda _, e: (0, fields(e.at_ns, TIMERS[e.key[0]], *e.key[1:]))),
    effects.LogEvent: ("log", lambda _, e: (0, b"")),
    effects.StopAccepting: ("stop-listening", lambda _, e: (0, b"")),
    effects.ControlResponse: (
        "control",
        lambda _, e: (e.control_client, control_codec.encode_control_response(e.ok, e.fields)),
    ),
    effects.PersistServiceState: (
        "keep",
        lambda _, e: (0, fields(e.is_in_service, e.since_ns, e.ended_at_ns, e.shutdown_began_ns)),
    ),
    effects.ReadPredecessorState: ("look", lambda _, e: (0, b"")),
    effects.SetStateEndpoint: ("expose", lambda _, e: (0, fields(e.is_enabled))),
    effects.DrainClients: ("release", lambda _, e: (0, fields(e.is_enabled))),
    effects.Exit: ("exit", lambda _, e: (0, b"")),
}


# A router -------------------------------------------------------------------------------------------------


class RecordedDay(SimulatedDay):
    """A day in a generated deployment whose effects are recorded."""

    def __init__(self, seed: int) -> None:
        self.digest = Digest()
        super().__init__(seed)

    def carry_out(self, effect_list: list[effects.Effect]) -> None:
        self.digest.effects(self.now, effect_list)
        super().carry_out(effect_list)


class OperatedDay(RecordedDay):
    """A recorded day with control requests, health checks and a planned shutdown."""

    def start_router(self) -> None:
        super().start_router()
        self.deliver(inputs.ProcessIdentity("0123456789abcdef", f"process-{self.process_number}"))
        self.deliver(inputs.ClientConnected(10**6))
        operations = (
            inputs.ControlOperation.READY,
            inputs.ControlOperation.STATE,
            inputs.ControlOperation.OUT_OF_SERVICE,
            inputs.ControlOperation.READY,
            inputs.ControlOperation.STATE,
            inputs.ControlOperation.IN_SERVICE,
            inputs.ControlOperation.STATE,
        )
        for n, operation in enumerate(operations, 1):
            self.schedule(self.now + n * 700 * MS, inputs.ControlRequest(n, operation))
            self.schedule(self.now + n * 700 * MS + MS, inputs.HealthRequest(10**6, n))
        self.schedule(self.now + 6 * S, inputs.WatchFailed("reset", 2 * S))
        self.schedule(self.now + 7 * S, inputs.ClientDisconnected(10**6))
        self.schedule(START + 14 * S, inputs.ShutdownRequested())


class RecordedVirtual(VirtualRouter):
    """A router in the deployment of examples/config.json whose effects are recorded."""

    def __init__(self, rules: str | None, seed: int, outcomes: dict[str, float]) -> None:
        self.digest = Digest()
        super().__init__(rules, seed, outcomes)

    def carry_out(self, effect_list: list[effects.Effect]) -> None:
        self.digest.effects(self.now, effect_list)
        super().carry_out(effect_list)


OUTCOME_WEIGHTS = {
    "done": 0.7,
    "lack": 0.06,
    "wait": 0.06,
    "broke": 0.08,
    "past": 0.02,
    "reset": 0.04,
    "silent": 0.04,
}
RULES: dict[int, str | None] = {  # the operator's file for each seed
    1: None,
    2: None,
    3: "examples/operator.kdl",
    4: "examples/operator.kdl",
    5: "tests/valid/page.kdl",
    6: "tests/valid/replicas.kdl",
}


def day(seed: int) -> Digest:
    """Returns the digest of a day of ``testbed.deployments``."""
    return RecordedDay(seed).digest


def operated_day(seed: int) -> Digest:
    """Returns the digest of a day with control requests and a shutdown."""
    return OperatedDay(seed).digest


def virtual(seed: int) -> Digest:
    """Returns the digest of some seconds of ``testbed.virtual`` with the operator's file of this seed."""
    path, random = RULES[seed], Random(seed)
    router = RecordedVirtual(
        None if path is None else (ROOT / path).read_text(), seed, {**OUTCOME_WEIGHTS, "refuse": 0.05}
    )
    for n in range(500):
        request_class = random.choice(["page", "page", "page", "order"])
        router.schedule_request(
            n * 12 * MS,
            request_class,
            random.choice([300, 900, 2_400]),
            random.randrange(30),
            random.randrange(12),
        )
    for n in range(1, 6):
        router.schedule(
            START + n * S,
            inputs.WatchResponse(
                n + 1, (inputs.Purge(n, 17, START + n * S - 20 * MS),), log_fingerprint=f"m{n}"
            ),
        )
    router.schedule(START + 2 * S, inputs.WatchFailed("reset", 0))
    router.run()
    return router.digest


# A rollout ------------------------------------------------------------------------------------------------


class RecordedRollout(Rollout):
    """A rollout that records every command, and the stored state after each event."""

    def __init__(self, fleet: SimulatedFleet) -> None:
        super().__init__(fleet.plan, fleet.now)
        self.digest, self.history = Digest(), Digest()

    def handle(self, now: int, event: Event) -> list[RouterCommand | HistoryEntry]:
        outputs = super().handle(now, event)
        for e in outputs:
            if isinstance(e, HistoryEntry):
                figures = orjson.dumps(dict(e.figures), option=orjson.OPT_NON_STR_KEYS)
                self.history.add(now, "note", 0, fields(e.name, e.text) + figures)
            else:
                self.digest.add(now, "command", 0, fields(e.router, COMMAND_WORDS[e.kind]))
        snapshot = to_snapshot(self)
        self.history.add(now, "why", 0, fields(snapshot.pop("why")))
        for key, names in (("bets", 2), ("sides", 3)):  # rows by zone and class, which have no order
            snapshot[key].sort(key=lambda row, names=names: row[:names])
        self.digest.add(now, "snapshot", 0, orjson.dumps(snapshot))
        return outputs


def recorded_rollout(seed: int) -> RecordedRollout:
    """Runs a rollout of ``testbed.rollouts``; the seed selects the injected failures."""
    late_share = {1: 0.0, 2: 0.3, 3: 0.08, 4: 0.3, 5: 0.0, 6: 0.0}[seed]

    def late_share_of(_: SimulatedFleet, router: SimulatedRouter, request_class: str) -> float:
        return late_share if router.build == "beef" and (seed != 4 or request_class == "writes") else 0.0

    fleet = SimulatedFleet(make_plan(2, 3), seed, late_share_of)
    fleet.rollout = recorded = RecordedRollout(fleet)
    if seed == 5:
        fleet.lost_command_share = 0.02
    operator_commands = (
        {40: OperatorCommand.HOLD, 60: OperatorCommand.RESUME}
        if seed == 1
        else {230: OperatorCommand.REVERT}
        if seed == 5
        else None
    )
    if seed == 6:  # two routers are silent for a while in a later stage, then new processes crash
        fleet.run(150)
        for name in ("n1-0", "n0-2"):
            fleet.routers[name].silent_until_ns = fleet.now + 12 * S
        fleet.run(100, {99: OperatorCommand.RESUME})
        fleet.new_build_crash_after_ns = 20 * S
    outcome = fleet.run(2_000, operator_commands)
    recorded.digest.add(fleet.now, "outcome", 0, fields(outcome.value))
    return recorded


def rollout(seed: int) -> Digest:
    """Returns the digest of a rollout's commands, its stored state after each event, and its outcome."""
    return recorded_rollout(seed).digest


def rollout_history(seed: int) -> Digest:
    """Returns the digest of the texts for operators in a rollout's stored history."""
    return recorded_rollout(seed).history


# The decision package alone --------------------------------------------------------------------------------


class AdapterConversation:
    """The simulator's side of the adapter's protocol: one router with random servers and clients."""

    def __init__(self, seed: int) -> None:
        self.random, self.digest, self.now = Random(seed), Digest(), S
        self.out = io.StringIO()
        self.host = SimulatorHost(self.out)
        raw = generate_configuration(seed)
        self.options: dict[str, Any] = raw["settings"]
        self.options["limits"]["probing"] = True
        self.options["limits"]["dial_timeout_ns"] = 400 * MS
        self.options["discovery"] = self.random.choice(["push", "ask"])
        self.classes: list[dict[str, Any]] = self.options["classes"]
        endpoints = raw["known"]["events"][0]["members"]["endpoints"]
        self.servers = {
            e["address"]: [e["address"], e["zone"], e["type"], e["group"], "in_service", e["weight"], None]
            for e in endpoints
        }
        self.heap: list[tuple[int, int, list[Any]]] = []
        self.scheduled_count = self.batch = 0
        self.attempt_counts: dict[str, int] = {}
        self.servers_in_flight: dict[tuple[str, int], str] = {}
        self.finished_requests: set[str] = set()
        self.outcomes: set[int] = set()

    def schedule(self, delay_ns: int, line: list[Any]) -> None:
        self.scheduled_count += 1
        heapq.heappush(self.heap, (self.now + delay_ns, self.scheduled_count, line))

    def send_batch(self, *lines: list[Any]) -> None:
        """Sends one batch and carries out the actions in its response."""
        self.batch += 1
        start = self.out.tell()
        self.host.run(json.dumps(x) for x in (["Turn", self.now, self.batch], *lines, ["End"]))
        self.out.seek(start)
        text = self.out.read()
        action_lines = [line for line in text.splitlines(True) if not line.startswith('["WriteLog"')]
        self.digest.add(self.now, "reply", 0, "".join(action_lines).encode())
        for line in text.splitlines():
            self.carry_out(json.loads(line))

    def carry_out(self, action: list[Any]) -> None:
        r = self.random
        assert action[0] != "Exception", action
        if action[0] == "Get":
            number = self.attempt_counts.get(action[2], 0)
            self.attempt_counts[action[2]] = number + 1
            self.servers_in_flight[action[2], number] = action[3]
            outcome = r.choices(
                [100, 101, 301, 302, 303, 304, 305, 307], [0.74, 0.05, 0.05, 0.05, 0.05, 0.03, 0.02, 0.01]
            )[0]
            elapsed_ns = (
                action[4] if outcome == 303 else min(action[4], int(r.lognormvariate(4, 1)) * MS + MS)
            )
            self.schedule(elapsed_ns, ["end", action[2], number, outcome, elapsed_ns])
        elif action[0] == "Revoke":
            self.schedule(MS, ["end", action[2], action[3], 306, MS])
        elif action[0] in ("Refuse", "Lose"):
            self.finished_requests.add(action[2])
        elif action[0] == "Schedule":
            self.schedule(max(0, action[3] - self.now), ["DeadlineHit", 0, action[2]])
        elif action[0] == "Probe":
            report = [r.random() for _ in self.options["report"]["fields"]]
            self.schedule(5 * MS, ["ProbeResult", 0, r.choice([100, 100, 303]), action[2], 5 * MS, report])

    def event(self, line: list[Any]) -> None:
        """Sends the batch for one simulated event."""
        r = self.random
        if line[0] == "end":
            _, id, number, outcome, elapsed_ns = line
            server = self.servers_in_flight.pop((id, number), None)
            if server is None:
                return
            final = outcome == 100 or id in self.finished_requests
            note = r.randrange(11) if r.random() < 0.7 else 0
            report = [r.random() for _ in self.options["report"]["fields"]]
            if final:
                self.finished_requests.add(id)
            self.outcomes.add(outcome)
            self.send_batch(
                [
                    "AttemptEnd",
                    0,
                    id,
                    number,
                    server,
                    outcome,
                    elapsed_ns,
                    final,
                    note,
                    elapsed_ns // 3,
                    report,
                ]
            )
        elif line[0] == "gone":
            if line[1] not in self.finished_requests:
                self.finished_requests.add(line[1])
                self.send_batch(["Abandoned", 0, line[1]])
        elif line[0] == "list":
            name = r.choice(sorted(self.servers))
            server_line = self.servers[name]
            server_line[4] = r.choice(["in_service", "terminating", "terminated"])
            server_line[6] = self.now if server_line[4] == "in_service" else server_line[6]
            self.send_batch(["Roster", 1, [list(server_line)]], ["Sync", 0, 1, "update", 2])
        elif line[0] == "none":
            self.send_batch(["Sync", 0, None, "unavailable", 2])
        else:
            self.send_batch(line)

    def run(self) -> Digest:
        """Runs ten seconds and returns the digest."""
        r = self.random
        self.send_batch(
            ["Hello", 0, r.getrandbits(40), self.options],
            ["Roster", 0, [list(x) for x in self.servers.values()]],
            ["Sync", 0, 0, "restored", 1],
        )
        for n in range(600):
            at_ns, index = r.randrange(10 * S), r.randrange(len(self.classes))
            class_settings = self.classes[index]
            remaining_ns = int(class_settings["give_up_ns"] * r.uniform(0.3, 1.0))
            write = class_settings["idempotency"] != "safe"
            id, size = f"{n:036x}", r.choice([None, 1, 200.0, 5_000.0])
            object_number = r.choice([7, 8, 9, r.randrange(10**6)])
            retry = r.random() < 0.1
            self.schedule(
                at_ns,
                [
                    "Ingress",
                    0,
                    id,
                    remaining_ns,
                    retry,
                    n % 4,
                    write,
                    object_number,
                    object_number % 5,
                    size,
                    None,
                    class_settings["name"],
                ],
            )
            self.schedule(at_ns + int(remaining_ns * r.uniform(0.2, 1.5)), ["gone", id])
        for _ in range(12):
            self.schedule(r.randrange(10 * S), ["list"])
            purged: int | None = r.choice([7, 8, None])
            self.schedule(r.randrange(10 * S), ["Purged", 0, purged, 20 * MS, 3])
        self.schedule(5 * S, ["none"])
        while self.heap and self.heap[0][0] < 14 * S:
            self.now, _, line = heapq.heappop(self.heap)
            self.event(line)
        self.send_batch(["Down", 0])
        return self.digest


def decision(seed: int) -> Digest:
    """Returns the digest of a conversation with the decision package through the simulator's adapter."""
    return AdapterConversation(seed).run()


KINDS: dict[str, tuple[Callable[[int], Digest], tuple[int, ...]]] = {
    "day": (day, tuple(range(1, 13))),
    "operated-day": (operated_day, (1, 2, 3, 4)),
    "virtual": (virtual, tuple(RULES)),
    "rollout": (rollout, (1, 2, 3, 4, 5, 6)),
    "rollout-history": (rollout_history, (1, 2, 3, 4, 5, 6)),
    "decision": (decision, (1, 2, 3, 4)),
}
