"""Checker of five rules over the traffic that clients and stand-ins recorded; imports nothing of the router.

It reads the stand-ins' records of commands and of feed responses, and the clients' records of requests. All
times are of one monotonic clock, in ns. Each violation begins with the name of its rule:

    answered  an accepted request has exactly one final response, sent before its deadline
    once      an unsafe request is sent again only if its attempt was proven not executed, a keyed one also
              within its key's window; unless hedged, a request has one attempt in flight at a time
    drained   past the grace period no request goes to, or names as fill source, a server listed as draining
              or gone
    cold      the work that all routers together send to a server after its start stays below the amount that
              makes it collapse
    purged    past the grace period no request allows a copy older than a purge of its object
"""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, field
from itertools import pairwise
from typing import Any, NamedTuple

from testbed.stand_ins import MS, RequestEnd, RequestKey, ServerCommand, StandInServers

S = 1_000_000_000
SLACK_NS = 150 * MS  # longest delay that a busy machine may add between the wire and a record
CONNECTED_NS = 2 * S  # a router that receives an event later was not connected at its publication
PURGE_CHECKED_NS = 4 * S  # interval after a purge's delivery in which requests are checked against it


@dataclass
class ClientCall:
    """One request of a client and its responses."""

    trace: str
    cls: str
    object: str
    at_ns: int
    patience_ms: int
    size_kb: float = 0.0
    answers: list[tuple[int, str]] = field(default_factory=list)  # time and kind: served, refused or failed
    gave_up: bool = False  # its connection ended before a response


class WarmUpContract(NamedTuple):
    """The load that a server bears after its start."""

    cold_share: float  # share of the full capacity at the start
    warm_up_ns: int  # time until the full capacity
    collapse_multiple: float  # multiple of the present capacity that, within the collapse time, is too much


@dataclass(frozen=True)
class ContractRules:
    """Parameters of the rules in this deployment, from its settings."""

    effects: dict[str, tuple[str, int]]  # by class: idempotency, and the key's window in ns
    drain_grace_ns: int
    purge_grace_ns: int
    cold_cache: WarmUpContract
    cold_parent: WarmUpContract
    collapse_ns: int
    unit_ns: int  # work of a request whose size is unknown
    pace_kb_per_s: float
    allows_hedging: bool

    @staticmethod
    def of(settings: dict[str, Any], unit_ns: int) -> ContractRules:
        """Read the parameters from the settings of a router's configuration."""
        contract, family = settings["contract"], settings["family_info"]
        return ContractRules(
            effects={c["name"]: (c["idempotency"], c.get("dedup_window_ns", 0)) for c in settings["classes"]},
            drain_grace_ns=contract["drain_grace_ns"],
            purge_grace_ns=family["purge_grace_ns"],
            cold_cache=WarmUpContract(contract["cold_from"], contract["cold_ns"], contract["fall_multiple"]),
            cold_parent=WarmUpContract(
                family["parent_cold_from"], family["parent_warms_in_ns"], family["parent_fall_multiple"]
            ),
            collapse_ns=contract["fall_ns"],
            unit_ns=unit_ns,
            pace_kb_per_s=family.get("pace_kb_per_s", 0.0),
            allows_hedging=bool(settings["limits"].get("second_copies")),
        )


class ContractChecker:
    """Checks one run; ``violations`` lists all violations."""

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
        """Check a run.

        Args:
            world: The stand-ins with their records.
            asked: The clients' requests.
            rules: Parameters of the rules.
            servers: Id in the list and weight, by the stand-in's name.
            killed: Routers were killed, so requests that they had accepted may lack a response.
            cut: Links lost bytes, so an attempt that a router had abandoned may look as if it were in flight.
            cold: Start times by id of servers that started with the routers. The routers have these starts in
                their first list.
            hubs: Ids of the parents.
        """
        self.rules = rules
        self.violations: list[str] = []
        self.routers_died = killed
        self.links_were_cut = cut
        self.parents = hubs
        self._ids = {name: server_id for name, (server_id, _) in servers.items()}
        self._weights = dict(servers.values())
        self._sizes_kb = {call.trace: call.size_kb for call in asked}
        self._read(world)
        for call in asked:
            self._check_answered(call)
        self._check_attempts()
        self._check_events()
        for server_id, started_ns in (cold or {}).items():
            self._check_cold(server_id, started_ns - SLACK_NS, started_ns)

    def _read(self, world: StandInServers) -> None:
        """Copy the stand-ins' records so far."""
        with world.lock:
            self._commands = [c for c in world.commands if c.verb in ("PULL", "KILL")]
            self._requests = [c for c in self._commands if c.verb == "PULL"]
            self._events = {event["n"]: event for event in world.feed_events}
            times = zip(world.feed_events, world.feed_event_times_ns, strict=True)
            self._born_ns = {event["n"]: at_ns for event, at_ns in times}
            self._told_ns: dict[int, int] = {}  # last delivery to a router connected at publication
            for number, at_ns in world.feed_deliveries:
                if at_ns < self._born_ns[number] + CONNECTED_NS:
                    self._told_ns[number] = max(at_ns, self._told_ns.get(number, 0))
            self._ends: dict[RequestKey, RequestEnd] = dict(world.settled_requests)

    def broken_rules(self) -> set[str]:
        """The names of the rules that were broken."""
        return {line.split(":")[0] for line in self.violations}

    def _report(self, rule: str, what: str) -> None:
        self.violations.append(f"{rule}: {what}")

    # Responses and attempts -------------------------------------------------------------------------------

    def _check_answered(self, call: ClientCall) -> None:
        due_ns = call.at_ns + call.patience_ms * MS + SLACK_NS
        if len(call.answers) > 1:
            self._report("answered", f"{call.trace} has {len(call.answers)} responses")
        elif call.answers and call.answers[0][0] > due_ns:
            late_ms = (call.answers[0][0] - due_ns) / MS
            self._report("answered", f"the response to {call.trace} is {late_ms:.0f} ms late")
        elif not call.answers and not call.gave_up:
            self._report("answered", f"{call.trace} has no response")
        elif not call.answers and not self.routers_died:
            self._report("answered", f"{call.trace} was accepted and its connection ended without a response")

    def _check_attempts(self) -> None:
        """Check each request's attempts in the order in which servers received them."""
        by_id: dict[str, list[ServerCommand]] = defaultdict(list)
        for command in self._commands:
            by_id[command.request_id].append(command)
        for commands in by_id.values():
            attempts = [c for c in commands if c.verb == "PULL"]
            first = attempts[0]  # a KILL without a PULL is an error in the record
            for before, attempt in pairwise(attempts):
                self._check_next_attempt(commands, first, before, attempt)

    def _check_next_attempt(
        self,
        commands: list[ServerCommand],
        first: ServerCommand,
        before: ServerCommand,
        attempt: ServerCommand,
    ) -> None:
        """Check that a request was allowed to be sent again, given how its previous attempt ended."""
        request_id = attempt.request_id
        effect, window_ns = self.rules.effects.get(first.fields.get("cls", ""), ("safe", 0))
        end = self._ends.get(RequestKey(request_id, before.server, before.received_ns), RequestEnd(0, False))
        was_cancelled = any(
            c.verb == "KILL" and c.server == before.server and before.received_ns <= c.received_ns
            for c in commands
        )
        had_ended = bool(end.ended_ns) and end.ended_ns <= attempt.received_ns + SLACK_NS
        may_hedge = effect == "safe" and self.rules.allows_hedging
        if not was_cancelled and not had_ended and not self.links_were_cut and not may_hedge:
            self._report("once", f"{request_id} has two attempts in flight")
        if effect == "unsafe" and not end.proves_not_executed:
            self._report("once", f"{request_id} was sent again although it may have been executed")
        is_past_window = attempt.received_ns - first.received_ns > window_ns
        if effect == "keyed" and not end.proves_not_executed and is_past_window:
            self._report("once", f"{request_id} was sent again past its key's window")

    # The feed's events ------------------------------------------------------------------------------------

    def _check_events(self) -> None:
        """Check drains, starts and purges, each from its event's last delivery to a connected router."""
        for number, event in self._events.items():
            told_ns = self._told_ns.get(number)
            if told_ns is None:
                continue
            for line in event.get("members", {}).get("endpoints", ()):
                if line["status"] != "active":
                    self._check_drained(line["name"], number, told_ns)
                elif line.get("since_ms"):
                    self._check_cold(line["name"], told_ns, self._born_ns[number])
            if "purge" in event:
                self._check_purged(event["purge"]["key"], told_ns, self._born_ns[number])

    def _sent_to(self, server_id: str) -> list[ServerCommand]:
        """Requests that were sent to a server or named it as fill source."""
        return [
            c
            for c in self._requests
            if self._ids.get(c.server) == server_id or c.fields.get("next") == server_id
        ]

    def _back_in_service_ns(self, server_id: str, number: int) -> int:
        """Time at which a server was first listed in service again after an event; 0 = never."""
        back_ns = [
            self._born_ns[later]
            for later, event in self._events.items()
            if later > number
            for line in event.get("members", {}).get("endpoints", ())
            if line["name"] == server_id and line["status"] == "active"
        ]
        return min(back_ns, default=0)

    def _check_drained(self, server_id: str, number: int, told_ns: int) -> None:
        from_ns = told_ns + self.rules.drain_grace_ns + SLACK_NS
        back_ns = self._back_in_service_ns(server_id, number)
        late = [
            c
            for c in self._sent_to(server_id)
            if c.received_ns > from_ns and (not back_ns or c.received_ns < back_ns)
        ]
        if late:
            self._report("drained", f"{server_id} was sent {len(late)} requests past its drain's grace")

    def _check_cold(self, server_id: str, told_ns: int, started_ns: int) -> None:
        contract = self.rules.cold_parent if server_id in self.parents else self.rules.cold_cache
        low = contract.cold_share
        # Requests in flight when the routers received the start are excused, as with a drain.
        sends = [
            c
            for c in self._sent_to(server_id)
            if told_ns + SLACK_NS <= c.received_ns < started_ns + contract.warm_up_ns
        ]
        for n, last in enumerate(sends):
            since_ns = last.received_ns - self.rules.collapse_ns
            work = [self._work_ns(c) for c in sends[: n + 1] if c.received_ns > since_ns]
            warm_fraction = low + (1 - low) * (last.received_ns - started_ns) / contract.warm_up_ns
            room = (
                contract.collapse_multiple * warm_fraction * self._weights[server_id] * self.rules.collapse_ns
            )
            if sum(work) - max(work) > room:
                sent_s, room_s = sum(work) / S, room / S
                self._report("cold", f"{server_id} was sent {sent_s:.2f} s of work, more than {room_s:.2f} s")
                return

    def _work_ns(self, command: ServerCommand) -> float:
        size_kb = self._sizes_kb.get(command.request_id, 0.0)
        pace = self.rules.pace_kb_per_s
        return size_kb / pace * S if size_kb and pace else self.rules.unit_ns

    def _check_purged(self, item: str, told_ns: int, born_ns: int) -> None:
        """Check an object's requests against its purge; age limit 0 on the wire allows any fresh copy."""
        from_ns = told_ns + self.rules.purge_grace_ns + SLACK_NS
        late = [
            c
            for c in self._requests
            if c.fields["item"] == item
            and from_ns < c.received_ns < told_ns + PURGE_CHECKED_NS
            and not 0 < int(c.fields.get("agelim", 0)) * MS <= c.received_ns - born_ns
        ]
        if late:
            self._report("purged", f"{len(late)} requests for the purged object {item} allow an older copy")
