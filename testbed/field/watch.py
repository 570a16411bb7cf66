"""Judges the five rules from what passed at clients and stand-ins.  Knows nothing of the router's own code.

What is judged is a World's record of commands and of the feed's answers, and the clients' record of calls.
Times are of one monotonic clock, in ns.  Each finding names its rule first:

    answered  one final answer to what was taken, before its client gave up
    once      what must not run twice is sent once, a key within its window; of one request one attempt is out
    drained   nothing new to, or filled from, a server told to be draining or gone, past the grace
    cold      a server that has started is sent less than pushes it over, by all routers together
    purged    no copy older than a purge, past the grace
"""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, field
from typing import Any

from testbed.stand_ins import MS, RequestKey, ServerCommand, StandInServers

S = 1_000_000_000
SLACK_NS = 150 * MS  # what a busy machine may add between a wire and a record


@dataclass
class ClientCall:
    """One call of a client: all its sends and answers."""

    trace: str
    cls: str
    object: str
    at_ns: int
    patience_ms: int
    size_kb: float = 0.0
    answers: list[tuple[int, str]] = field(default_factory=list)
    gave_up: bool = False  # its connection ended first, or it was told to stop


@dataclass(frozen=True)
class ContractRules:
    """What holds in this deployment, from its settings."""

    effects: dict[str, tuple[str, int]]  # class: effect, window in ns
    drain_grace_ns: int
    purge_grace_ns: int
    cold_from: float
    cold_ns: int
    fall_multiple: float
    fall_ns: int
    unit_ns: int  # work of one request, where sizes are not told
    pace_kb_per_s: float
    copies: bool  # second copies are allowed
    hub_from: float = 1.0  # as cold_from, cold_ns and fall_multiple, of hubs
    hub_ns: int = 0
    hub_multiple: float = 1.0

    @staticmethod
    def of(settings: dict[str, Any], unit_ns: int) -> ContractRules:
        c, f = settings["contract"], settings["family_info"]
        return ContractRules(
            {x["name"]: (x["idempotency"], x.get("dedup_window_ns", 0)) for x in settings["classes"]},
            c["drain_grace_ns"],
            f["purge_grace_ns"],
            c["cold_from"],
            c["cold_ns"],
            c["fall_multiple"],
            c["fall_ns"],
            unit_ns,
            f.get("pace_kb_per_s", 0.0),
            bool(settings["limits"].get("second_copies")),
            f["parent_cold_from"],
            f["parent_warms_in_ns"],
            f["parent_fall_multiple"],
        )


class ContractChecker:
    """All findings over one run.  ``servers``: a stand-in's name, its id in the list and its weight."""

    def __init__(
        self,
        world: StandInServers,
        asked: list[ClientCall],
        rules: ContractRules,
        servers: dict[str, tuple[str, float]],
        killed: bool = False,
        cut: bool = False,
        cold: dict[str, int] | None = None,
        hubs: frozenset[str] = frozenset(),
    ) -> None:
        """``killed``: routers died, so what they had taken may be unanswered.  ``cut``: links lost bytes, so
        what a router had given up may look as if it were out.  ``cold``: servers that started with the
        routers, and when: the routers knew it from the first send.  ``hubs``: ids of those that are."""
        self.rules, self.violations, self.killed, self.cut = rules, list[str](), killed, cut
        self.sizes = {a.trace: a.size_kb for a in asked}
        with world.lock:
            self.seen = [s for s in world.commands if s.verb in ("PULL", "KILL")]
            self.news = {e["n"]: e for e in world.feed_events}
            self.born = {
                e["n"]: at for e, at in zip(world.feed_events, world.feed_event_times_ns, strict=True)
            }
            self.told = dict[int, int]()  # when the last router then there had heard of it
            for n, at in world.feed_deliveries:
                if at < self.born[n] + 2 * S:
                    self.told[n] = max(at, self.told.get(n, 0))
            self.replies = dict(world.settled_requests)
        self.hubs = hubs
        self.ids = {name: id for name, (id, _) in servers.items()}
        self.weights = {id: weight for id, weight in servers.values()}
        for call in asked:
            self.answered(call)
        self.once()
        self.events()
        for id, at in (cold or {}).items():
            self.cold(id, at - SLACK_NS, at)

    def say(self, rule: str, what: str) -> None:
        self.violations.append(f"{rule}: {what}")

    def broken_rules(self) -> set[str]:
        return {line.split(":")[0] for line in self.violations}

    def answered(self, call: ClientCall) -> None:
        due = call.at_ns + call.patience_ms * MS + SLACK_NS
        if len(call.answers) > 1:
            self.say("answered", f"{call.trace} has {len(call.answers)} answers")
        elif call.answers and call.answers[0][0] > due:
            self.say("answered", f"{call.trace} is {(call.answers[0][0] - due) / MS:.0f} ms late")
        elif not call.answers and not call.gave_up:
            self.say("answered", f"{call.trace} has no answer")
        elif not call.answers and not self.killed:
            self.say("answered", f"{call.trace} was taken and its connection ended")

    def once(self) -> None:
        """Sends of one request, and of one key."""
        by_id: dict[str, list[ServerCommand]] = defaultdict(list)
        for seen in self.seen:
            by_id[seen.request_id].append(seen)
        for id, sends in by_id.items():
            pulls = [s for s in sends if s.verb == "PULL"]
            effect, window = self.rules.effects.get(pulls[0].fields.get("cls", ""), ("safe", 0))
            for n, pull in enumerate(pulls[1:], 1):
                before = pulls[n - 1]
                over = self.replies.get(RequestKey(id, before.server, before.received_ns))
                killed = any(
                    s.verb == "KILL" and s.server == before.server and before.received_ns <= s.received_ns
                    for s in sends
                )
                ended, proved = over if over else (0, False)
                out = not killed and not (ended and ended <= pull.received_ns + SLACK_NS)
                if out and not self.cut and not (effect == "safe" and self.rules.copies):
                    self.say("once", f"{id} has two attempts out")
                if effect == "unsafe" and not proved:
                    self.say("once", f"{id} was sent again, which may have run")
                if effect == "keyed" and not proved and pull.received_ns - pulls[0].received_ns > window:
                    self.say("once", f"{id} was sent past its key's window")

    def events(self) -> None:
        """Drains, starts and purges, each from when the feed had told it to whoever heard it last."""
        for n, event in self.news.items():
            told = self.told.get(n)
            if told is None:
                continue
            for line in event.get("members", {}).get("endpoints", ()):
                if line["status"] != "active":
                    back = [
                        self.born[k]
                        for k, e in self.news.items()
                        if k > n
                        for other in e.get("members", {}).get("endpoints", ())
                        if other["name"] == line["name"] and other["status"] == "active"
                    ]
                    late = told + self.rules.drain_grace_ns + SLACK_NS
                    self.drained(line["name"], late, min(back, default=0))
                elif line.get("since_ms"):
                    self.cold(line["name"], told, self.born[n])
            if "purge" in event:
                self.purged(event["purge"]["key"], told, self.born[n])

    def to(self, id: str) -> list[ServerCommand]:
        """What was sent to a server, or was to be filled from it."""
        return [
            s
            for s in self.seen
            if s.verb == "PULL" and (self.ids.get(s.server) == id or s.fields.get("next") == id)
        ]

    def drained(self, id: str, from_ns: int, back_ns: int) -> None:
        """``back_ns``: when it was in service again; 0 = never."""
        late = [
            s for s in self.to(id) if s.received_ns > from_ns and (not back_ns or s.received_ns < back_ns)
        ]
        if late:
            self.say("drained", f"{id} was sent {len(late)} requests past the grace")

    def cold(self, id: str, told: int, started: int) -> None:
        r = self.rules
        low, span, multiple = r.cold_from, r.cold_ns, r.fall_multiple
        if id in self.hubs:
            low, span, multiple = r.hub_from, r.hub_ns, r.hub_multiple
        # What was on its way when the routers heard of it is excused, as with a drain.
        sends = [s for s in self.to(id) if told + SLACK_NS <= s.received_ns < started + span]
        for n, last in enumerate(sends):
            window = [s for s in sends[: n + 1] if s.received_ns > last.received_ns - r.fall_ns]
            work = [self.work(s) for s in window]
            share = low + (1 - low) * (last.received_ns - started) / span
            room = multiple * share * self.weights[id] * r.fall_ns
            if sum(work) - max(work) > room:
                self.say("cold", f"{id} was sent {sum(work) / S:.2f} s of work where {room / S:.2f} s fit")
                return

    def work(self, seen: ServerCommand) -> float:
        size = self.sizes.get(seen.request_id, 0.0)
        pace = self.rules.pace_kb_per_s
        return size / pace * S if size and pace else self.rules.unit_ns

    def purged(self, item: str, told: int, born: int) -> None:
        """``born``: when the feed had it.  An age limit of 0 on the wire allows any fresh copy."""
        late = [
            s
            for s in self.seen
            if s.verb == "PULL"
            and s.fields["item"] == item
            and told + self.rules.purge_grace_ns + SLACK_NS < s.received_ns < told + 4 * S
            and not 0 < int(s.fields.get("agelim", 0)) * MS <= s.received_ns - born
        ]
        if late:
            self.say("purged", f"{len(late)} requests for what was purged allow an old copy")
