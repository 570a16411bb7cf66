"""The reducer in virtual time, against servers that do as chance says.  A seed replays a run to the byte."""

from __future__ import annotations

import heapq
import json
from dataclasses import dataclass, field
from random import Random
from typing import Any

from kelpcroft import messages as m
from kelpcroft.config import parse
from kelpcroft.core.reducer import Reducer
from kelpcroft.operator import check, load
from kelplab.standin import ROOT, SERVERS
from zincgrade.interface import Note, Outcome

MS, S = 10**6, 10**9
START = 1_764_576_000 * S
EXAMPLE = json.loads((ROOT / "examples/config.json").read_bytes())
FATES = {
    "done": Outcome.OK,
    "lack": Outcome.MISS,
    "wait": Outcome.FULL,
    "broke": Outcome.ERROR,
    "past": Outcome.MOOT,
}
NOT_RUN = ("lack", "wait", "past")


@dataclass
class Sent:
    """One attempt on the wire."""

    at: int
    server: str
    fate: str
    killed: int = 0


@dataclass
class Story:
    """All that happened to one request."""

    call: m.Call
    at: int
    sends: list[Sent] = field(default_factory=list)
    finals: list[tuple[int, m.Effect]] = field(default_factory=list)
    more: Story | None = None  # the client's own retry, where a world has one


class Virtual:
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
        self.fates, self.slow_ns = fates, slow_ns
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
        self.config = parse(
            {**EXAMPLE, "known": known, "settings": {**EXAMPLE["settings"], **(settings or {})}}, {}
        )
        self.reducer = Reducer(self.config)
        self.heap: list[tuple[int, int, m.Input | str]] = []
        self.made, self.now = 0, START
        self.stories: dict[str, Story] = {}
        self.by_call: dict[tuple[int, int], Story] = {}
        self.links: dict[int, str] = {}
        self.log: list[m.Log] = []
        self.carry_out(self.reducer.start(self.now))
        self.tell(m.Listening())
        if rules is not None:
            self.rules(rules)

    def rules(self, text: str) -> None:
        """An operator's file, held against this deployment."""
        file, faults = load(text.encode())
        assert not faults and not (faults := check(file, self.config.settings)), [f.text("") for f in faults]
        self.tell(m.Rules(file))

    def at(self, when: int, message: m.Input | str) -> None:
        self.made += 1
        heapq.heappush(self.heap, (when, self.made, message))

    def freed(self, server: str) -> None:
        """What a world of its own asked to be told of with ``at``."""

    def tell(self, message: m.Input) -> None:
        self.carry_out(self.reducer.handle(self.now, message))

    def ask(
        self, when: int, cls: str, patience_ms: int, object: int = 7, part: int = 0, group: int = 17
    ) -> Story:
        """A request to come."""
        number = len(self.stories) + 1
        call = m.Call(
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
        story = self.stories[call.trace] = self.by_call[number, 1] = Story(call, START + when)
        self.at(START + when, call)
        return story

    def run(self, until: int = 10**18) -> None:
        """All that comes, up to a time after the start."""
        while self.heap and self.heap[0][0] <= START + until:
            self.now, _, message = heapq.heappop(self.heap)
            if isinstance(message, str):
                self.freed(message)
                continue
            if isinstance(message, (m.Answer, m.LinkLost, m.LinkUp)) and message.link not in self.links:
                continue
            if isinstance(message, m.LinkLost):
                del self.links[message.link]
            self.tell(message)
            if not self.reducer.state.requests and not any(isinstance(x[2], m.Call) for x in self.heap):
                return

    def carry_out(self, effects: list[m.Effect]) -> None:
        for e in effects:
            if isinstance(e, m.Wake):
                self.at(e.at_ns, m.Due(e.key))
            elif isinstance(e, m.Dial):
                self.links[e.link] = e.address
                refused = self.random.random() < self.fates.get("refuse", 0)
                took = self.now + self.random.randint(1, 3) * MS
                self.at(took, m.LinkLost(e.link, "refused", True) if refused else m.LinkUp(e.link))
            elif isinstance(e, m.Drop):
                self.links.pop(e.link, None)
            elif isinstance(e, m.Pull):
                self.pull(e)
            elif isinstance(e, m.Kill):
                for sent in self.stories[e.id].sends:
                    sent.killed = sent.killed or self.now
            elif isinstance(e, (m.Serve, m.Decline, m.Break)):
                self.by_call[e.client, e.call].finals.append((self.now, e))
            elif isinstance(e, m.Log):
                self.log.append(e)

    def pull(self, e: m.Pull) -> None:
        names = [f for f in self.fates if f != "refuse"]
        fate = self.random.choices(names, [self.fates[f] for f in names])[0]
        self.stories[e.id].sends.append(Sent(self.now, self.links[e.link], fate))
        took = self.now + self.random.randint(1, self.slow_ns // MS) * MS
        if fate == "reset":
            self.at(took, m.LinkLost(e.link, "reset"))
        elif fate in FATES:
            self.at(
                took,
                m.Answer(
                    e.link, e.id, FATES[fate], Note.HIT if fate == "done" else Note.NONE, 0, {}, False, b"x"
                ),
            )
