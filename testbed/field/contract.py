"""Contract checker: checks five rules on the recorded traffic; imports nothing of the router.

It reads the stand-ins' records of commands and of feed responses, and the clients' records of requests. All
times are of one monotonic clock, in ns. Each violation begins with the name of its rule:

    answered  an accepted request has exactly one final response, sent before its deadline
    once      an unsafe request is sent again only if its attempt is proven not executed, a keyed one also
              within its key's window; unless it is hedged, a request has at most one attempt in flight
    drained   after the grace period no request is sent to a server that is listed as draining or terminated,
              or names it as fill source
    cold      the work that all routers together send to a server after its start stays below the amount that
              overloads it
    purged    after the grace period no request allows a copy older than a purge of its object
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
PURGE_CHECKED_NS = 4 * S  # time after a purge's delivery in which requests are checked against it


@dataclass
class ClientRequest:
    """One request of a client and its responses."""

    trace: str
    cls: str
    object: str
    at_ns: int
    patience_ms: int
    size_kb: float = 0.0
    responses: list[tuple[int, str]] = field(default_factory=list)  # time and kind: served, refused or failed
    connection_ended: bool = False  # its connection ended before a response


class WarmUpContract(NamedTuple):
    """The load that a server bears after its start."""

    cold_share: float  # share of the full capacity at the start
    warm_up_ns: int  # time until the full capacity
    collapse_multiple: float  # of the present capacity; more load within the collapse time overloads it


@dataclass(frozen=True)
class ContractRules:
    """Parameters of the rules in this deployment, from its settings."""

    effects: dict[str, tuple[str, int]]  # by class: idempotency, and the key's window in ns
    drain_grace_ns: int
    purge_grace_ns: int
    cold_cache: WarmUpContract
    cold_parent: WarmUpContract
    collapse_ns: int
    default_work_ns: int  # work of a request whose size is unknown
    pace_kb_per_s: float
    allows_hedging: bool

    @staticmethod
    def of(settings: dict[str, Any], default_work_ns: int) -> ContractRules:
        """Read the parameters from the settings of a router's configuration."""
        contract, family = settings["contract"], settings["family_info"]
        return ContractRules(
            effects={
                cls["name"]: (cls["idempotency"], cls.get("dedup_window_ns", 0))
                for cls in settings["classes"]
            },
            drain_grace_ns=contract["drain_grace_ns"],
            purge_grace_ns=family["purge_grace_ns"],
            cold_cache=WarmUpContract(contract["cold_from"], contract["cold_ns"], contract["fall_multiple"]),
            cold_parent=WarmUpContract(
                family["parent_cold_from"], family["parent_warms_in_ns"], family["parent_fall_multiple"]
            ),
            collapse_ns=contract["fall_ns"],
            default_work_ns=default_work_ns,
            pace_kb_per_s=family.get("pace_kb_per_s", 0.0),
            allows_hedging=bool(settings["limits"].get("second_copies")),
        )


class ContractChecker:
    """Checks one run; ``violations`` lists all violations."""

    def __init__(
        self,
        stand_ins: StandInServers,
        requests: list[ClientRequest],
        rules: ContractRules,
        servers: dict[str, tuple[str, float]],
        routers_were_killed: bool = False,
        links_were_cut: bool = False,
        cold_starts_ns: dict[str, int] | None = None,
        parents: frozenset[str] = frozenset(),
    ) -> None:
        """Check a run.

        Args:
            stand_ins: The stand-ins with their records.
            requests: The clients' requests.
            rules: Parameters of the rules.
            servers: Id in the list and weight, by the stand-in's name.
            routers_were_killed: Routers were killed, so requests that they had accepted may have no response.
            links_were_cut: Links lost bytes, so an attempt that a router had abandoned may look as if it were
                in flight.
            cold_starts_ns: Start times by id of servers that started with the routers. The routers have these
                starts in their first list.
            parents: Ids of the parents.
        """
        self.rules = rules
        self.violations: list[str] = []
        self.routers_were_killed = routers_were_killed
        self.links_were_cut = links_were_cut
        self.parents = parents
        self._ids = {name: server_id for name, (server_id, _) in servers.items()}
        self._weights = dict(servers.values())
        self._sizes_kb = {request.trace: request.size_kb for request in requests}
        self._read(stand_ins)
        for request in requests:
            self._check_answered(request)
        self._check_attempts()
        self._check_events()
        for server_id, started_ns in (cold_starts_ns or {}).items():
            self._check_cold(server_id, started_ns - SLACK_NS, started_ns)

    def _read(self, stand_ins: StandInServers) -> None:
        """Copy the stand-ins' records so far."""
        with stand_ins.lock:
            self._commands = [c for c in stand_ins.commands if c.verb in ("PULL", "KILL")]
            self._requests = [c for c in self._commands if c.verb == "PULL"]
            self._events = {event["n"]: event for event in stand_ins.feed_events}
            times = zip(stand_ins.feed_events, stand_ins.feed_event_times_ns, strict=True)
            self._published_ns = {event["n"]: at_ns for event, at_ns in times}
            self._delivered_ns: dict[int, int] = {}  # last delivery to a router connected at publication
            for number, at_ns in stand_ins.feed_deliveries:
                if at_ns < self._published_ns[number] + CONNECTED_NS:
                    self._delivered_ns[number] = max(at_ns, self._delivered_ns.get(number, 0))
            self._ends: dict[RequestKey, RequestEnd] = dict(stand_ins.settled_requests)

    def broken_rules(self) -> set[str]:
        """The names of the rules that were broken."""
        return {line.split(":")[0] for line in self.violations}

    def _report(self, rule: str, text: str) -> None:
        self.violations.append(f"{rule}: {text}")

    # Responses and attempts -------------------------------------------------------------------------------

    def _check_answered(self, request: ClientRequest) -> None:
        deadline_ns = request.at_ns + request.patience_ms * MS + SLACK_NS
        if len(request.responses) > 1:
            self._report("answered", f"{request.trace} has {len(request.responses)} responses")
        elif request.responses and request.responses[0][0] > deadline_ns:
            late_ms = (request.responses[0][0] - deadline_ns) / MS
            self._report("answered", f"the response to {request.trace} is {late_ms:.0f} ms late")
        elif not request.responses and not request.connection_ended:
            self._report("answered", f"{request.trace} has no response")
        elif not request.responses and not self.routers_were_killed:
            self._report(
                "answered", f"{request.trace} was accepted, but its connection ended without a response"
            )

    def _check_attempts(self) -> None:
        """Check each request's attempts in the order in which servers received them."""
        by_id: dict[str, list[ServerCommand]] = defaultdict(list)
        for command in self._commands:
            by_id[command.request_id].append(command)
        for commands in by_id.values():
            attempts = [c for c in commands if c.verb == "PULL"]
            first = attempts[0]  # a KILL without a PULL is an error in the record
            for previous, attempt in pairwise(attempts):
                self._check_next_attempt(commands, first, previous, attempt)

    def _check_next_attempt(
        self,
        commands: list[ServerCommand],
        first: ServerCommand,
        previous: ServerCommand,
        attempt: ServerCommand,
    ) -> None:
        """Check that a request was allowed to be sent again, given how its previous attempt ended."""
        request_id = attempt.request_id
        effect, window_ns = self.rules.effects.get(first.fields.get("cls", ""), ("safe", 0))
        end = self._ends.get(
            RequestKey(request_id, previous.server, previous.received_ns), RequestEnd(0, False)
        )
        was_cancelled = any(
            c.verb == "KILL" and c.server == previous.server and previous.received_ns <= c.received_ns
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
            self._report("once", f"{request_id} was sent again after its key's window")

    # The feed's events ------------------------------------------------------------------------------------

    def _check_events(self) -> None:
        """Check drains, starts and purges, each from its event's last delivery to a connected router."""
        for number, event in self._events.items():
            delivered_ns = self._delivered_ns.get(number)
            if delivered_ns is None:
                continue
            for line in event.get("members", {}).get("endpoints", ()):
                if line["status"] != "active":
                    self._check_drained(line["name"], number, delivered_ns)
                elif line.get("since_ms"):
                    self._check_cold(line["name"], delivered_ns, self._published_ns[number])
            if "purge" in event:
                self._check_purged(event["purge"]["key"], delivered_ns, self._published_ns[number])

    def _sent_to(self, server_id: str) -> list[ServerCommand]:
        """Requests that were sent to a server or named it as fill source."""
        return [
            c
            for c in self._requests
            if self._ids.get(c.server) == server_id or c.fields.get("next") == server_id
        ]

    def _next_in_service_ns(self, server_id: str, number: int) -> int:
        """Time at which a server was first listed in service again after an event; 0 = never."""
        times_ns = [
            self._published_ns[later]
            for later, event in self._events.items()
            if later > number
            for line in event.get("members", {}).get("endpoints", ())
            if line["name"] == server_id and line["status"] == "active"
        ]
        return min(times_ns, default=0)

    def _check_drained(self, server_id: str, number: int, delivered_ns: int) -> None:
        grace_end_ns = delivered_ns + self.rules.drain_grace_ns + SLACK_NS
        next_in_service_ns = self._next_in_service_ns(server_id, number)
        violating = [
            c
            for c in self._sent_to(server_id)
            if c.received_ns > grace_end_ns and (not next_in_service_ns or c.received_ns < next_in_service_ns)
        ]
        if violating:
            self._report("drained", f"{server_id} was sent {len(violating)} requests after its drain's grace")

    def _check_cold(self, server_id: str, delivered_ns: int, started_ns: int) -> None:
        contract = self.rules.cold_parent if server_id in self.parents else self.rules.cold_cache
        cold_share = contract.cold_share
        # Requests in flight when the routers received the start are not counted, as with a drain.
        sends = [
            c
            for c in self._sent_to(server_id)
            if delivered_ns + SLACK_NS <= c.received_ns < started_ns + contract.warm_up_ns
        ]
        for index, last in enumerate(sends):
            since_ns = last.received_ns - self.rules.collapse_ns
            work = [self._work_ns(c) for c in sends[: index + 1] if c.received_ns > since_ns]
            warm_fraction = (
                cold_share + (1 - cold_share) * (last.received_ns - started_ns) / contract.warm_up_ns
            )
            limit_ns = (
                contract.collapse_multiple * warm_fraction * self._weights[server_id] * self.rules.collapse_ns
            )
            if sum(work) - max(work) > limit_ns:
                sent_s, limit_s = sum(work) / S, limit_ns / S
                self._report("cold", f"{server_id} was sent {sent_s:.2f} s of work, over {limit_s:.2f} s")
                return

    def _work_ns(self, command: ServerCommand) -> float:
        size_kb = self._sizes_kb.get(command.request_id, 0.0)
        pace = self.rules.pace_kb_per_s
        return size_kb / pace * S if size_kb and pace else self.rules.default_work_ns

    def _check_purged(self, object_id: str, delivered_ns: int, published_ns: int) -> None:
        """Check an object's requests against its purge; age limit 0 on the wire allows any fresh copy."""
        grace_end_ns = delivered_ns + self.rules.purge_grace_ns + SLACK_NS
        violating = [
            c
            for c in self._requests
            if c.fields["item"] == object_id
            and grace_end_ns < c.received_ns < delivered_ns + PURGE_CHECKED_NS
            and not 0 < int(c.fields.get("agelim", 0)) * MS <= c.received_ns - published_ns
        ]
        if violating:
            self._report(
                "purged", f"{len(violating)} requests for purged object {object_id} allow an older copy"
            )
