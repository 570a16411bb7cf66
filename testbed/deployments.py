"""Deployments made by chance, and a day in one of them: the core in virtual time through restarts of servers
and of the router, drains, purges, lost answers and clients that retry.  What went over the wires is written
down for a watch that knows the rules and nothing of the router.  A seed replays a day to the byte."""

from __future__ import annotations

import heapq
from dataclasses import dataclass, field
from random import Random
from typing import Any

from kelpcroft.config import parse_config
from kelpcroft.core import effects, inputs
from kelpcroft.core.reducer import Reducer
from kelpcroft.decision.interface import FillResult, Outcome

MS, S = 10**6, 10**9
START = 1_764_576_000 * S
OUTCOME_BY_FATE = {"done": Outcome.OK, "lack": Outcome.MISS, "wait": Outcome.FULL, "broke": Outcome.ERROR}
FATES_NOT_EXECUTED = ("lack", "wait", "refused")


def generate_configuration(seed: int) -> dict[str, Any]:
    """A configuration: one to five hubs, one to forty boxes, any effects, groups, windows and features."""
    r = Random(seed)
    hubs = [f"h{n}" for n in range(r.randint(1, 5))]
    edges = [f"e{n}" for n in range(r.randint(1, 3))]
    classes, write = [], []
    for _ in range(r.randint(1, 4)):
        effect = r.choice(["safe", "keyed", "unsafe"])
        deadline = r.choice([800, 2_000, 5_000]) * MS
        classes.append(
            {
                "name": f"class-{r.getrandbits(16):04x}",
                "idempotency": effect,
                "credit": r.choice([1, 2, 5]),
                "group": r.choice(["all", "zone", "cell"]),
                "dedup_window_ns": r.choice([300, 1_500, 5_000]) * MS,
                "aim_ns": deadline // r.choice([3, 8]),
                "aim_stretch": r.choice([0, 2]),
                "give_up_ns": deadline,
            }
        )
        write.append(effect != "safe" and r.random() < 0.7)
    boxes = [(f"b{n}", r.choice(edges), "box") for n in range(r.randint(1, 40))]
    boxes += [(f"p{n}", r.choice(hubs), "hub") for n in range(r.randint(0, 3))]
    boxes.append(("store", hubs[0], "store"))
    told = r.choice(["off", "nominal", "rough"])
    endpoints = [
        {
            "name": name,
            "address": f"127.0.0.1:{9_000 + n}",
            "zone": zone,
            "type": kind,
            "status": "active",
            "group": n // 3,
            "weight": 1 if told == "off" else r.choice([4, 9.5, 40]),
        }
        for n, (name, zone, kind) in enumerate(boxes)
    ]
    fields = r.sample(["outstanding", "utilization", "x0", "x1"], r.randint(0, 4))
    return {
        "name": "n",
        "listen": "127.0.0.1:9",
        "feed": "127.0.0.1:8",
        "seed": f"{seed:x}",
        "limits": {"sockets": r.choice([64, 128, 1_024]), "memory_mb": 64},
        "known": {"n": 1, "events": [{"n": 1, "members": {"snapshot": True, "endpoints": endpoints}}]},
        "settings": {
            "az": edges[0],
            "dcs": hubs + edges,
            "classes": classes,
            "instances": 1,
            "self_index": 0,
            "machine_types": ["box", "hub", "store"],
            "weight_source": told,
            "tick_ns": r.choice([1, 2 * MS]),
            "report": {"how": "inline" if fields else "off", "fields": fields},
            "limits": {
                "most_tries": r.randint(1, 8),
                "may_cancel": r.random() < 0.8,
                "max_streams": r.choice([1, 32]),
                "second_copies": r.random() < 0.5,
                "retry_after": r.random() < 0.5,
                "max_open": r.choice([0, 5, 1_000]),
                "max_retry_after_ns": 2 * S,
            },
            "contract": {
                "drain_grace_ns": r.choice([0, 250, 500]) * MS,
                "cold_from": r.choice([0.1, 0.5, 1]),
                "cold_ns": 15 * S,
                "fall_multiple": 2.5,
                "fall_ns": r.choice([1, 2]) * S,
            },
            "family_info": {
                "goes_through": write,
                "max_age_ns": [r.choice([0, 8 * S]) for _ in classes],
                "hub_of": [r.randrange(len(hubs)) for _ in hubs + edges],
                "master_kind": 2,
                "shield_kind": 1,
                "instances_by_zone": [0] * len(hubs) + [1] + [0] * (len(edges) - 1),
                "zone_link_kb_per_s": [r.choice([0, 9_000])] * len(hubs + edges),
                "pace_kb_per_s": r.choice([0, 1_000]),
                "may_pass_by": r.random() < 0.7,
                "sideways": r.choice(["off", "location"]),
                "merges_fills": r.random() < 0.5,
                "notes_given": r.choice(["all", "hit", "off"]),
                "parent_cold_from": 0.1,
                "parent_warms_in_ns": 15 * S,
                "parent_fall_multiple": 2.0,
                "purge_grace_ns": r.choice([0, 300, 500]) * MS,
                "purge_takes_ns": 6 * S,
            },
        },
    }


@dataclass
class AttemptRecord:
    """One attempt on the wire, and how it ended for the router."""

    sent_ns: int
    command: effects.SendAttempt
    server: str
    router_life: int  # of the router: counts its starts
    fate: str
    service_ns: int = 0  # time its server takes for it, in ns
    ended_ns: int = 0  # its answer was read, it was killed, or its connection or the router ended


@dataclass
class RequestRecord:
    """One call of a client and all that came of it."""

    arrived_ns: int
    request: inputs.ClientRequest
    router_life: int
    final_effects: list[tuple[int, effects.Effect]] = field(default_factory=list)
    gone_ns: int = 0  # the client cancelled, or the router was killed


class SimulatedDay:
    """One router at one deployment, its servers, its feed and its clients."""

    def __init__(self, seed: int, seconds: int = 12) -> None:
        self.random, self.raw_config = Random(seed + 1_000_003), generate_configuration(seed)
        self.config = parse_config(self.raw_config, {})
        self.endpoints = {
            e["name"]: dict(e) for e in self.raw_config["known"]["events"][0]["members"]["endpoints"]
        }
        self.classes = {c["name"]: c for c in self.raw_config["settings"]["classes"]}
        self.silent = self.random.choice([0.0, 0.05, 0.3])
        self.heap: list[tuple[int, int, int, Any]] = []
        self.made = self.router_life = 0
        self.now = START
        self.attempts: list[AttemptRecord] = []
        self.requests: dict[tuple[int, int], RequestRecord] = {}
        self.requests_by_trace: dict[str, RequestRecord] = {}
        self.notices: list[tuple[int, str, Any]] = []  # drains, restarts and purges, when the router heard
        self.up = True
        self.start_router()
        end = START + seconds * S
        for _ in range(seconds * 25):
            self.schedule(START + self.random.randrange(seconds * S), ("ask", "", False, 0))
        for what, count in (("drain", 2), ("restart", 3), ("purge", 6), ("kill", 1)):
            for _ in range(count):
                self.schedule(START + S + self.random.randrange((seconds - 2) * S), (what,))
        while self.heap and self.heap[0][0] < end + 8 * S:
            self.now, _, life, event = heapq.heappop(self.heap)
            if isinstance(event, tuple):
                getattr(self, f"do_{event[0]}")(*event[1:])
            elif life == self.router_life and self.up:
                self.deliver(event)

    def schedule(self, at: int, event: Any) -> None:
        self.made += 1
        heapq.heappush(self.heap, (at, self.made, self.router_life, event))

    def start_router(self) -> None:
        """A router that knows its list and nothing else."""
        self.router_life += 1
        self.up = True
        self.links: dict[int, str] = {}
        self.open: dict[tuple[int, str], AttemptRecord] = {}  # by link and id
        self.reducer = Reducer(self.config)
        self.carry_out(self.reducer.start(self.now))
        gone = [e for e in self.endpoints.values() if e["status"] != "active" or e.get("since_ms")]
        if gone:
            self.members(gone)
        self.deliver(inputs.ListenersReady())

    def deliver(self, message: inputs.Input) -> None:
        if (
            isinstance(message, (inputs.ServerConnected, inputs.ServerConnectionLost, inputs.ServerResponse))
            and message.connection not in self.links
        ):
            return
        if isinstance(message, inputs.ServerConnectionLost):
            del self.links[message.connection]
            for key in [k for k in self.open if k[0] == message.connection]:
                self.open.pop(key).ended_ns = self.now
        if isinstance(message, inputs.ServerResponse):
            sent = self.open.pop((message.connection, message.attempt_id), None)
            if sent is None:
                return
            sent.ended_ns = self.now
        self.carry_out(self.reducer.handle(self.now, message))

    def members(self, rows: list[dict[str, Any]]) -> None:
        states = {"active": "in_service", "leaving": "terminating", "left": "terminated"}
        self.deliver(
            inputs.WatchResponse(
                9,
                (
                    inputs.EndpointUpdate(
                        False,
                        tuple(
                            inputs.EndpointRecord(
                                e["name"],
                                e["address"],
                                e["zone"],
                                e["type"],
                                e["group"],
                                states[e["status"]],
                                e["weight"],
                                e.get("since_ms", 0) * MS,
                            )
                            for e in rows
                        ),
                    ),
                ),
            )
        )

    # What happens -----------------------------------------------------------------------------------------

    def do_ask(self, nonce: str, retry: bool, since: int) -> None:
        r = self.random
        if not self.up:
            return
        cls = self.classes[r.choice(sorted(self.classes))] if not retry else self.classes[nonce.split("/")[0]]
        keyed = cls["idempotency"] == "keyed"
        nonce = nonce or (f"{cls['name']}/{self.made}" if keyed else "")
        left = cls["give_up_ns"] - (self.now - since if retry else 0)
        patience = int(left * r.uniform(0.5, 1.0)) // MS
        if patience < 1:
            return
        self.made += 1
        item = r.choice([7, 8, 9, r.randrange(10**6)])
        call = inputs.ClientRequest(
            self.made,
            1,
            cls["name"],
            f"{self.made:016x}",
            patience * MS,
            f"{item:016x}",
            "0",
            item,
            0,
            item % 4,
            retry,
            "",
            b"x" if cls["idempotency"] != "safe" else b"",
            idempotency_key=nonce,
            size_kb=r.choice([0.0, 1.0, 200.0, 5_000.0]),
        )
        ask = self.requests[self.made, 1] = self.requests_by_trace[call.trace_id] = RequestRecord(
            self.now, call, self.router_life
        )
        self.schedule(self.now + patience * MS + 51 * MS, ("leave", ask, since or self.now))
        self.deliver(call)

    def do_leave(self, ask: RequestRecord, since: int) -> None:
        """The client's patience is over; it may come again as its class allows."""
        cls = self.classes[ask.request.request_class]
        if not ask.final_effects and not ask.gone_ns:
            ask.gone_ns = self.now
            if ask.router_life == self.router_life and self.up:
                self.deliver(inputs.CancelRequest(ask.request.client, 1))
        refused = any(isinstance(f, effects.RejectRequest) for _, f in ask.final_effects)
        served = any(isinstance(f, effects.SendResponse) for _, f in ask.final_effects)
        again = (
            cls["idempotency"] == "keyed"
            and not served
            and (refused or cls["group"] == "all" and self.now - since < cls["dedup_window_ns"])
        )
        if again and self.random.random() < 0.7:
            self.schedule(self.now + 100 * MS, ("ask", ask.request.idempotency_key, True, since))

    def do_drain(self) -> None:
        self.change("leaving", self.random.choice(["leaving", "left"]))

    def do_restart(self) -> None:
        name = self.change("active", "active")
        for link in [k for k, at in self.links.items() if name and at == name]:
            self.deliver(inputs.ServerConnectionLost(link, "reset"))

    def change(self, what: str, status: str) -> str:
        names = [
            e["name"] for e in self.endpoints.values() if e["status"] == "active" and e["name"] != "store"
        ]
        if not names:
            return ""
        e = self.endpoints[self.random.choice(names)]
        e["status"] = status
        if what == "active":
            e["since_ms"] = self.now // MS
        self.notices.append((self.now, what, e["name"]))
        if self.up:
            self.members([e])
        return str(e["name"])

    def do_purge(self) -> None:
        item, group = self.random.choice([(7, 0), (8, 0), (None, 3)])
        self.notices.append((self.now, "purge", (item, group, self.now - 50 * MS)))
        if self.up:
            self.deliver(inputs.WatchResponse(9, (inputs.Purge(item, group, self.now - 50 * MS),)))

    def do_kill(self) -> None:
        """The router dies; its clients' connections end, and it starts again from nothing."""
        self.up = False
        for sent in self.open.values():
            sent.ended_ns = self.now
        for ask in self.requests.values():
            if not ask.final_effects and not ask.gone_ns:
                ask.gone_ns = self.now
        self.schedule(self.now + 300 * MS, ("start",))

    def do_start(self) -> None:
        self.notices = [t for t in self.notices if t[1] != "purge" or self.now - t[0] < 6 * S]
        self.start_router()
        for at, what, more in list(self.notices):
            if what == "purge":  # it is told those of the last seconds at its start
                self.deliver(inputs.WatchResponse(9, (inputs.Purge(more[0], more[1], more[2]),)))
                self.notices.append((self.now, "purge", more))
                self.notices.remove((at, what, more))

    # What the router does ---------------------------------------------------------------------------------

    def carry_out(self, effect_list: list[effects.Effect]) -> None:
        for e in effect_list:
            if isinstance(e, effects.ScheduleTimer):
                self.schedule(max(e.at_ns, self.now), inputs.TimerFired(e.key))
            elif isinstance(e, effects.OpenServerConnection):
                name = next(n for n, x in self.endpoints.items() if x["address"] == e.address)
                self.links[e.connection] = name
                up = self.random.random() > 0.03
                self.schedule(
                    self.now + self.random.randint(1, 30) * MS,
                    inputs.ServerConnected(e.connection)
                    if up
                    else inputs.ServerConnectionLost(e.connection, "refused", True),
                )
            elif isinstance(e, effects.CloseServerConnection):
                self.links.pop(e.connection, None)
                for key in [k for k in self.open if k[0] == e.connection]:
                    self.open.pop(key).ended_ns = self.now
            elif isinstance(e, effects.CancelAttempt):
                sent = self.open.pop((e.connection, e.attempt_id), None)
                if sent:
                    sent.ended_ns = self.now
            elif isinstance(e, effects.SendAttempt):
                self.pull(e)
            elif isinstance(e, (effects.SendResponse, effects.RejectRequest, effects.FailRequest)):
                self.requests[e.client, e.request_number].final_effects.append((self.now, e))

    def pull(self, e: effects.SendAttempt) -> None:
        r = self.random
        fate = (
            "silent"
            if r.random() < self.silent
            else r.choices(["done", "lack", "wait", "broke", "reset"], [0.8, 0.05, 0.05, 0.05, 0.02])[0]
        )
        took = int(r.lognormvariate(4, 1)) * MS + MS
        sent = AttemptRecord(self.now, e, self.links[e.connection], self.router_life, fate, took)
        self.attempts.append(sent)
        self.open[e.connection, e.attempt_id] = sent
        took += self.now
        if fate == "reset":
            self.schedule(took, inputs.ServerConnectionLost(e.connection, "reset"))
        elif fate != "silent":
            report = {k: r.random() for k in self.config.settings.load_report_fields}
            note = (
                r.choice([FillResult.HIT, FillResult.FILLED, FillResult.FILLED_FROM_ORIGIN])
                if fate == "done"
                else FillResult.NONE
            )
            self.schedule(
                took,
                inputs.ServerResponse(
                    e.connection, e.attempt_id, OUTCOME_BY_FATE[fate], note, 5 * MS, report, False, b"x"
                ),
            )
