"""Hundreds of routers that start in the same second, in virtual time, around the program's very core.

Every router is a ``Reducer``; what it asks for is carried out by models whose limits bite: a list service
that answers so many calls a second, queues and falls over beyond; boxes and hubs that start cold and empty,
have few places for connections, and topple under the sum of all routers; a store that slows when
crowded.  Faults are part of the world's shape: a service that is dead, slow or restarts its numbering, boxes
that are dead from the start, routers that die and come back.  A seed replays a run to the byte."""

from __future__ import annotations

import copy
import heapq
import json
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random
from typing import Any

from kelpcroft.config import parse_config
from kelpcroft.core import effects, inputs
from kelpcroft.core.reducer import Reducer
from kelpcroft.decision.interface import FillResult, Outcome
from kelpcroft.decision.statistics import mix64
from testbed.stand_ins import ROOT

MS, S = 10**6, 10**9
START = 1_764_576_000 * S
ZONE_ROUTERS, ZONE_BOXES, ZONE_HUBS = 4, 4, 10  # routers and boxes a zone; zones a hub
UNIT_NS = 250 * MS  # sending time of a part
AIM_NS = 250 * MS + 2 * UNIT_NS  # within which it is wanted
ITEMS, TAIL = 20_000, 0.7  # objects, and how their popularity falls
KEPT = 0.7  # share of objects that a warm box has; a warm hub has as much of the rest
ORDERS = 0.05  # share of requests that run at the store and must not run twice
COLD = {"cold_from": 0.2, "cold_ns": 15 * S, "fall_multiple": 2.5, "fall_ns": S}
COLD_HUB = {"parent_cold_from": 0.1, "parent_warms_in_ns": 15 * S, "parent_fall_multiple": 2.0}
DOWN_NS = 20 * S  # a toppled box or hub stays away
TRIP_NS = 2 * MS  # there and back within a zone
FAR_NS = 20 * MS  # to the store
QUEUE_NS = 1_500 * MS  # of work that the store lets wait


@dataclass
class ListServiceModel:
    """The list service: it answers ``per_s`` calls a second; with more than ``most`` waiting it falls
    over."""

    calls_per_s: float = 200.0
    max_queued_calls: int = 100
    down_ns: int = 5 * S
    down_until_ns: int = 0
    renumbers_after_crash: bool = False  # after a fall it counts from 1 again
    free_at: int = 0
    crashes: int = 0
    last: int = 2  # its newest event
    calls: list[int] = field(default_factory=list)
    held: dict[int, tuple[int, int, int]] = field(default_factory=dict)  # by router: call, after, until


@dataclass
class ServerModel:
    """A box or a hub: a queue of work, what it can do by now, and which objects it holds."""

    weight: float
    hub: bool
    started: int  # 0 = warm
    places: int = 10**9
    free_at: float = 0.0
    dead_until: int = 0
    collapses: int = 0
    links: int = 0
    dials: int = 0
    refused: int = 0
    fills: int = 0
    room: float = 0.0  # the most of its cold room that was used
    sent: list[int] = field(default_factory=list)
    holds: set[int] = field(default_factory=set)
    out: list[int] = field(default_factory=list)  # when what it holds will be through

    def share(self, now: int) -> float:
        low, span = (0.1, 15 * S) if self.hub else (0.2, 15 * S)
        return 1.0 if now - self.started >= span else low + (1 - low) * max(0, now - self.started) / span

    def take(self, now: int) -> int:
        """One more transfer: how long until it is through, or -1 where it falls over under it."""
        share = self.share(now)
        if share < 1:
            self.sent = [at for at in self.sent if at > now - S] + [now]
            used = (len(self.sent) - 1) * UNIT_NS / ((2.0 if self.hub else 2.5) * share * self.weight * S)
            self.room = max(self.room, used)
            if used > 1:
                self.collapses, self.dead_until = self.collapses + 1, now + DOWN_NS
                self.started, self.sent = now + DOWN_NS, []
                self.holds.clear()
                return -1
        self.free_at = max(self.free_at, now) + UNIT_NS / (self.weight * share)
        return int(self.free_at - now) + UNIT_NS

    def report(self, now: int, until: int) -> dict[str, float]:
        """What an answer tells of it; ``until``: when the request at hand is through."""
        self.out = [at for at in self.out if at > now]
        self.out.append(until)
        return {"outstanding": float(len(self.out))}

    def has(self, item: int, seed: int) -> bool:
        return item in self.holds or not self.started and mix64(item * 65_537 + seed) % 1000 < KEPT * 1000


@dataclass
class OriginModel:
    """The one store: so many answers a second, half as many when its queue is full; past that it refuses."""

    per_s: float
    free_at: float = 0.0
    refused: int = 0
    request_times: list[int] = field(default_factory=list)

    def take(self, now: int) -> int:
        self.request_times.append(now)
        waiting = max(0.0, self.free_at - now) / QUEUE_NS
        if waiting > 1:
            self.refused += 1
            return -1
        self.free_at = max(self.free_at, now) + S / self.per_s * (1 + waiting)
        return int(self.free_at - now) + FAR_NS


class ColdStartFleet:
    """All of it."""

    def __init__(
        self,
        routers: int,
        seed: int = 1,
        *,
        cold: bool = True,
        cold_hubs: bool = True,
        rate: float = 8.0,
        load: float = 0.5,
        service: ListServiceModel | None = None,
        believed: int = 0,
        places: int = 64,
        dead_boxes: int = 0,
        rules: str = "",
        change: Callable[[Reducer], None] | None = None,
    ) -> None:
        """``believed``: the number of routers that the settings say, where it is another.  ``rate``: requests
        a second of a router's clients; ``load``: of warm boxes.  ``dead_boxes``: one in so many is listed and
        answers nothing.  ``rules``: the operator's file.  ``change``: done to each router before it
        starts."""
        self.random, self.now, self.made = Random(seed), START, 0
        self.believed, self.rules, self.change = believed or routers, rules, change
        self.zones, self.rate = -(-routers // ZONE_ROUTERS), rate
        self.service = service or ListServiceModel()
        self.heap: list[tuple[int, int, int, int, Any]] = []
        weight = max(2.0, ZONE_ROUTERS * rate * UNIT_NS / S / ZONE_BOXES / load)
        fills = routers * rate * (1 - KEPT)
        hubs = max(2, self.zones // ZONE_HUBS)
        self.caches = {
            f"z{z}-b{n}": ServerModel(weight, False, START if cold else 0, places)
            for z in range(self.zones)
            for n in range(ZONE_BOXES)
        }
        self.parents = {
            f"h{n}": ServerModel(fills * UNIT_NS / S / hubs * 1.3, True, START if cold_hubs else 0)
            for n in range(hubs)
        }
        for n, box in enumerate(self.caches.values()):
            if dead_boxes and n % dead_boxes == 1:
                box.dead_until = START + 10_000 * S
        self.origin = OriginModel((fills * (1 - KEPT) + routers * rate * ORDERS) * 2)
        self.seeds = {name: mix64(n) for n, name in enumerate([*self.caches, *self.parents])}
        self.first_answer_ns: dict[int, int] = {}  # by router: when it had heard the service
        self.weight_asked: Counter[int] = Counter()  # by tenth of a second, as all that follow
        self.weight_in_time: Counter[int] = Counter()
        self.refused: Counter[int] = Counter()
        self.dials: Counter[int] = Counter()
        self.parent_fills: Counter[int] = Counter()
        self.begun: dict[tuple[int, int], tuple[int, float]] = {}  # open calls: when, worth
        self.links: list[dict[int, str]] = [{} for _ in range(routers)]
        self.epoch = [0] * routers  # of each router's process
        self.up = [False] * routers
        self.order_runs: Counter[str] = Counter()  # orders, by trace, that the store ran
        self.routers: list[Reducer] = [self.router(n) for n in range(routers)]
        for n in range(routers):
            at = START + self.random.randrange(S)
            self.later(at, n, "start")
            self.later(at + self.random.randrange(S), n, "ask")

    def tenth(self) -> int:
        return (self.now - START) * 10 // S

    def later(self, at: int, router: int, event: Any) -> None:
        self.made += 1
        heapq.heappush(self.heap, (at, self.made, router, self.epoch[router], event))

    def router(self, n: int) -> Reducer:
        zone = n // ZONE_ROUTERS
        raw = copy.deepcopy(EXAMPLE)
        zones = [f"z{zone}", "hub"]
        s = raw["settings"]
        share = max(1, round(ZONE_ROUTERS * self.believed / len(self.links)))
        s.update(az=zones[0], dcs=zones, instances=self.believed, self_index=n, weight_source="nominal")
        s["family_info"].update(hub_of=[1, 1], instances_by_zone=[share, 0], pace_kb_per_s=1e3, **COLD_HUB)
        s["contract"].update(COLD)
        lines = [
            self.line(name, zones[0], "box", box)
            for name, box in self.caches.items()
            if name.startswith(f"z{zone}-")
        ]
        lines += [self.line(name, "hub", "parent", box) for name, box in self.parents.items()]
        lines.append(self.line("store", "hub", "origin", None))
        known = {"n": 1, "events": [{"n": 1, "members": {"index": 1, "snapshot": True, "endpoints": lines}}]}
        made = Reducer(parse_config(raw | {"name": f"n{n}", "known": known, "seed": f"{n + 1:x}"}, {}))
        if self.change is not None:
            self.change(made)
        return made

    def line(self, name: str, zone: str, kind: str, box: ServerModel | None) -> dict[str, Any]:
        return {
            "name": name,
            "address": f"{name}:1",
            "zone": zone,
            "type": kind,
            "status": "active",
            "weight": box.weight if box else self.origin.per_s * UNIT_NS / S,
            "group": 0,
            "since_ms": box.started // MS if box else 0,
        }

    def kill(self, n: int, back_ns: int) -> None:
        """A router dies: its connections go, what its clients have asked is lost, and another process of it
        starts later with nothing but the list it began with."""
        self.epoch[n] += 1
        self.up[n] = False
        for link in list(self.links[n]):
            self.drop(n, link)
        self.service.held.pop(n, None)
        for key in [k for k in self.begun if k[0] == n]:
            del self.begun[key]
        self.routers[n] = self.router(n)
        self.later(self.now + back_ns, n, "start")
        self.later(self.now + back_ns, n, "ask")

    def run(self, seconds: float, faults: dict[int, Callable[[ColdStartFleet], None]] | None = None) -> None:
        """``faults``: what happens at a time, in ns after the start."""
        for at, fault in (faults or {}).items():
            self.later(START + at, 0, fault)
        end = START + int(seconds * S)
        while self.heap and self.heap[0][0] < end:
            self.now, _, n, epoch, event = heapq.heappop(self.heap)
            if callable(event):
                event(self)
            elif epoch != self.epoch[n]:
                continue
            elif event == "start":
                self.up[n] = True
                self.carry_out(n, self.start_router(n))
                self.carry_out(n, self.routers[n].handle(self.now, inputs.ListenersReady()))
            elif event == "ask":
                self.ask(n)
            elif isinstance(event, tuple) and event[0] == "turn":
                self.answer_call(n, event[1])
            elif not (
                isinstance(event, (inputs.ServerResponse, inputs.ServerConnected))
                and event.connection not in self.links[n]
            ):
                if isinstance(event, inputs.ServerConnectionLost):
                    self.drop(n, event.connection)
                self.carry_out(n, self.routers[n].handle(self.now, event))

    def start_router(self, n: int) -> list[effects.Effect]:
        return self.routers[n].start(self.now)

    # Clients ----------------------------------------------------------------------------------------------

    def ask(self, n: int) -> None:
        self.later(self.now + int(self.random.expovariate(self.rate) * S), n, "ask")
        item = int(self.random.paretovariate(TAIL) * 10) % ITEMS
        order = self.random.random() < ORDERS
        self.weight_asked[self.tenth()] += 3 if order else 1
        self.call(n, item, order, False)

    def call(self, n: int, item: int, order: bool, again: bool) -> None:
        self.made += 1
        cls, patience = ("order", 3_000 * MS) if order else ("page", 2_400 * MS)
        call = inputs.ClientRequest(
            self.made,
            1,
            cls,
            f"{self.made:016x}",
            patience,
            f"{item:016x}",
            "0",
            item,
            0,
            0,
            again,
            "",
            b"x" if order else b"",
            size_kb=0.0 if order else UNIT_NS / S * 1_000,
        )
        self.begun[n, self.made] = self.now, 3.0 if order else 1.0
        self.carry_out(n, self.routers[n].handle(self.now, call))

    def ended(self, n: int, client: int, served: bool, refused: bool) -> None:
        found = self.begun.pop((n, client), None)
        if found and served and self.now - found[0] <= AIM_NS:
            self.weight_in_time[(found[0] - START) * 10 // S] += int(found[1])
        elif found and refused:
            self.refused[self.tenth()] += int(found[1])

    # The list service -------------------------------------------------------------------------------------

    def poll(self, n: int, after: int, wait_ms: int) -> None:
        s, at = self.service, self.now + MS
        s.calls.append(at)
        if at < s.down_until_ns:
            self.later(at + MS, n, inputs.WatchFailed("refused"))
            return
        s.free_at = max(s.free_at, at) + int(S / s.calls_per_s)
        if (s.free_at - at) / S * s.calls_per_s > s.max_queued_calls:
            s.crashes, s.down_until_ns, s.free_at = s.crashes + 1, at + s.down_ns, at + s.down_ns
            s.last = 1 if s.renumbers_after_crash else s.last
            for other in {*s.held, n}:
                self.later(at + MS, other, inputs.WatchFailed("reset"))
            s.held.clear()
            return
        s.held[n] = s.calls[-1], after, at + wait_ms * MS
        self.later(s.free_at, n, ("turn", s.calls[-1]))

    def answer_call(self, n: int, call: int) -> None:
        """Its turn has come: news at once, or it waits for some."""
        made, after, until = self.service.held.get(n, (0, 0, 0))
        if made != call:
            return
        if after != self.service.last or self.now >= until:
            del self.service.held[n]
            self.first_answer_ns.setdefault(n, self.now)
            self.later(self.now + MS, n, inputs.WatchResponse(self.service.last, ()))
        else:
            self.later(until, n, ("turn", call))

    # Servers ----------------------------------------------------------------------------------------------

    def drop(self, n: int, link: int) -> None:
        name = self.links[n].pop(link, None)
        if name in self.caches:
            self.caches[name].links -= 1

    def carry_out(self, n: int, effect_list: list[effects.Effect]) -> None:
        for e in effect_list:
            if isinstance(e, effects.ScheduleTimer):
                self.later(max(e.at_ns, self.now), n, inputs.TimerFired(e.key))
            elif isinstance(e, effects.PollFeed):
                self.poll(n, e.after_event, getattr(e, "wait_ms", 1_000))
            elif isinstance(e, effects.OpenServerConnection):
                self.dial(n, e)
            elif isinstance(e, effects.CloseServerConnection):
                self.drop(n, e.connection)
            elif isinstance(e, effects.SendAttempt):
                self.pull(n, e)
            elif isinstance(e, effects.SendHealthCheck):
                fit = inputs.ServerResponse(
                    e.connection, e.attempt_id, Outcome.OK, FillResult.NONE, 0, {}, False, b""
                )
                self.later(self.now + TRIP_NS, n, fit)
            elif isinstance(e, (effects.SendResponse, effects.RejectRequest, effects.FailRequest)):
                self.ended(
                    n, e.client, isinstance(e, effects.SendResponse), isinstance(e, effects.RejectRequest)
                )

    def dial(self, n: int, e: effects.OpenServerConnection) -> None:
        name = e.address.rpartition(":")[0]
        self.dials[self.tenth()] += 1
        self.links[n][e.connection] = name
        box = self.caches.get(name) or self.parents.get(name)
        if box is None:
            self.later(self.now + FAR_NS, n, inputs.ServerConnected(e.connection))
            return
        box.dials, box.links = box.dials + 1, box.links + 1
        if self.now < box.dead_until or box.links > box.places:
            box.refused += 1
            self.later(self.now + MS, n, inputs.ServerConnectionLost(e.connection, "refused", True))
        else:
            self.later(self.now + TRIP_NS, n, inputs.ServerConnected(e.connection))

    def pull(self, n: int, e: effects.SendAttempt) -> None:
        name, item = self.links[n].get(e.connection, ""), int(e.object_id, 16)
        answer = inputs.ServerResponse(
            e.connection, e.attempt_id, Outcome.OK, FillResult.HIT, 0, {}, False, b"x"
        )
        box = self.caches.get(name) or self.parents.get(name)
        if box is None:
            took = self.origin.take(self.now)
            if took < 0:
                answer = inputs.ServerResponse(
                    e.connection, e.attempt_id, Outcome.FULL, FillResult.NONE, 0, {}, False, b""
                )
            elif e.request_class == "order":
                self.order_runs[e.attempt_id] += 1
            self.later(self.now + max(took, FAR_NS), n, answer)
            return
        if self.now < box.dead_until:
            return  # silence
        took = box.take(self.now)
        if took < 0:
            return
        if not box.has(item, self.seeds[name]):
            wait, note = self.fill(e, item)
            if wait < 0:
                bad = Outcome.MISS if note is FillResult.SOURCE_LACKS else Outcome.ERROR
                self.later(
                    self.now + TRIP_NS,
                    n,
                    inputs.ServerResponse(e.connection, e.attempt_id, bad, note, 0, {}, False, b""),
                )
                return
            box.holds.add(item)
            took += wait
            answer = inputs.ServerResponse(
                e.connection, e.attempt_id, Outcome.OK, note, wait, {}, False, b"x"
            )
        at = self.now + took + TRIP_NS
        report = box.report(self.now, at)
        self.later(
            at,
            n,
            inputs.ServerResponse(
                e.connection,
                e.attempt_id,
                answer.outcome,
                answer.note,
                answer.source_wait_ns,
                report,
                False,
                b"x",
            ),
        )

    def fill(self, e: effects.SendAttempt, item: int) -> tuple[int, FillResult]:
        """How long a miss waits for its source, and what is said of it; under 0 where it gets nothing."""
        if not e.source:
            return -1, FillResult.SOURCE_LACKS
        hub = self.parents.get(e.source)
        if hub is None:
            if e.source in self.caches:  # a sibling's copy
                held = self.caches[e.source].has(item, self.seeds[e.source])
                return (TRIP_NS, FillResult.FILLED) if held else (-1, FillResult.SOURCE_LACKS)
            took = self.origin.take(self.now)
            return took, FillResult.FILLED_FROM_ORIGIN if took >= 0 else FillResult.SOURCE_REFUSED
        if self.now < hub.dead_until:
            return -1, FillResult.SOURCE_BROKE
        took = hub.take(self.now)
        if took < 0:
            return -1, FillResult.SOURCE_BROKE
        hub.fills += 1
        self.parent_fills[self.tenth()] += 1
        wait = took - UNIT_NS + TRIP_NS  # it passes on what it gets, at a higher pace
        if hub.has(item, self.seeds[e.source]):
            return wait, FillResult.FILLED
        if e.cache_only:
            return -1, FillResult.SOURCE_LACKS
        more = self.origin.take(self.now)
        if more < 0:
            return -1, FillResult.ORIGIN_FAILED
        hub.holds.add(item)
        return wait + more, FillResult.FILLED_FROM_ORIGIN

    # Figures ----------------------------------------------------------------------------------------------

    def share_in_time(self, first: int, last: int) -> float:
        """The share of the worth asked for between two seconds that was answered in time."""
        tenths = range(first * 10, last * 10)
        return sum(self.weight_in_time[k] for k in tenths) / max(1, sum(self.weight_asked[k] for k in tenths))

    def to_95(self, seconds: int) -> int:
        """The second from which on three in a row are within 0.95 of the level at the end; the last where
        none is."""
        level = 0.95 * self.share_in_time(seconds - 5, seconds - 2)
        return next(
            (
                n
                for n in range(seconds - 4)
                if all(self.share_in_time(k, k + 1) >= level for k in (n, n + 1, n + 2))
            ),
            seconds,
        )

    def figures(self, seconds: int) -> dict[str, float]:
        boxes, hubs = list(self.caches.values()), list(self.parents.values())
        peak = Counter((at - START) // S for at in self.service.calls)
        store = Counter((at - START) // S for at in self.origin.request_times)
        late = (
            [max(self.first_answer_ns.values()) - START]
            if len(self.first_answer_ns) == len(self.routers)
            else []
        )
        return {
            "calls": len(self.service.calls),
            "calls in the worst s": max(peak.values(), default=0),
            "falls": self.service.crashes,
            "all listed s": round(late[0] / S, 1) if late else -1,
            "boxes toppled": sum(b.collapses for b in boxes),
            "hubs toppled": sum(b.collapses for b in hubs),
            "cold room": round(max(b.room for b in boxes), 2),
            "hubs' room": round(max(b.room for b in hubs), 2),
            "dials a box": round(sum(b.dials for b in boxes) / len(boxes), 1),
            "refused": sum(b.refused for b in boxes),
            "store in the worst s": round(max(store.values(), default=0) / self.origin.per_s, 2),
            "worth 5 s": round(self.share_in_time(0, 5), 3),
            "10 s": round(self.share_in_time(0, 10), 3),
            "30 s": round(self.share_in_time(0, min(30, seconds - 2)), 3),
            "to 95% s": self.to_95(seconds),
            "orders twice": sum(count > 1 for count in self.order_runs.values()),
        }


EXAMPLE = json.loads((ROOT / "examples/config.json").read_bytes())
