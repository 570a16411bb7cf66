"""The servers of a cold start (caches by zone, parents and the origin) and their responses to attempts."""

from __future__ import annotations

from collections import Counter
from typing import Any, NamedTuple

from kelpcroft.core import effects, inputs
from kelpcroft.decision.interface import FillResult, Outcome
from kelpcroft.decision.statistics import mix64
from testbed.cold_start_models import (
    MS,
    PART_TRANSFER_NS,
    START,
    TO_ORIGIN_NS,
    OriginModel,
    S,
    ServerModel,
)

WITHIN_ZONE_NS = 2 * MS  # round trip
REFUSED_NS = 1 * MS  # until the router detects a refused connection
ORIGIN = "store"
HUB_ZONE = "hub"
TENTHS_PER_S = 10


class TimedResponse(NamedTuple):
    """A server's response, and the time at which the router reads it."""

    at_ns: int
    response: inputs.ServerResponse


class Fill(NamedTuple):
    """The fill of a miss: the wait for its source (None if the fill failed), and the reported result."""

    wait_ns: int | None
    result: FillResult


def tenth_of(now_ns: int) -> int:
    """The number of the tenth of a second since the start, by which counts are kept."""
    return (now_ns - START) * TENTHS_PER_S // S


def respond(
    command: effects.SendAttempt | effects.SendHealthCheck,
    outcome: Outcome,
    fill_result: FillResult = FillResult.NONE,
    source_wait_ns: int = 0,
    load_report: dict[str, float] | None = None,
    body: bytes = b"",
) -> inputs.ServerResponse:
    """The response to one attempt or health check."""
    return inputs.ServerResponse(
        command.connection,
        command.attempt_id,
        outcome,
        fill_result,
        source_wait_ns,
        load_report or {},
        False,
        body,
    )


def endpoint_line(name: str, zone: str, kind: str, weight: float, started_ns: int) -> dict[str, Any]:
    """A server's record in the endpoint list."""
    return {
        "name": name,
        "address": f"{name}:1",
        "zone": zone,
        "type": kind,
        "status": "active",
        "weight": weight,
        "group": 0,
        "since_ms": started_ns // MS,
    }


class SimulatedServers:
    """Caches, parents and the origin of a whole fleet, by name."""

    def __init__(
        self, caches: dict[str, ServerModel], parents: dict[str, ServerModel], origin: OriginModel
    ) -> None:
        self.caches = caches
        self.parents = parents
        self.origin = origin
        self.parent_fills: Counter[int] = Counter()  # by tenth of a second
        self.order_runs: Counter[str] = Counter()  # orders that the origin ran, by attempt id
        self._object_seeds = {name: mix64(n) for n, name in enumerate([*caches, *parents])}

    def find(self, name: str) -> ServerModel | None:
        """The cache or parent of a name; None for the origin."""
        return self.caches.get(name) or self.parents.get(name)

    def lines_for(self, zone: str) -> list[dict[str, Any]]:
        """The endpoint list for routers of a zone: its caches, all parents, and the origin."""
        lines = [
            endpoint_line(name, zone, "box", cache.weight, cache.started_ns)
            for name, cache in self.caches.items()
            if name.startswith(f"{zone}-")
        ]
        lines += [
            endpoint_line(name, HUB_ZONE, "parent", parent.weight, parent.started_ns)
            for name, parent in self.parents.items()
        ]
        origin_weight = self.origin.requests_per_s * PART_TRANSFER_NS / S
        lines.append(endpoint_line(ORIGIN, HUB_ZONE, "origin", origin_weight, 0))
        return lines

    def connect(self, now_ns: int, name: str) -> tuple[int, str]:
        """Connect to a server; return when the router learns the result, and the failure ("" = connected)."""
        server = self.find(name)
        if server is None:
            return now_ns + TO_ORIGIN_NS, ""
        server.connection_attempts += 1
        server.connections += 1
        if now_ns < server.down_until_ns or server.connections > server.max_connections:
            server.refused_connections += 1
            return now_ns + REFUSED_NS, "refused"
        return now_ns + WITHIN_ZONE_NS, ""

    def disconnect(self, name: str | None) -> None:
        """Close a connection; parents have no limit, so only caches' connections are counted down."""
        if name in self.caches:
            self.caches[name].connections -= 1

    def respond_to_attempt(
        self, now_ns: int, name: str, command: effects.SendAttempt
    ) -> TimedResponse | None:
        """The response to an attempt, or None if the server does not respond."""
        server = self.find(name)
        if server is None:
            return self._respond_at_origin(now_ns, command)
        if now_ns < server.down_until_ns:
            return None
        transfer_ns = server.transfer(now_ns)
        if transfer_ns is None:
            return None
        object_number = int(command.object_id, 16)
        fill = Fill(0, FillResult.HIT)
        if not server.has_object(object_number, self._object_seeds[name]):
            fill = self._fill(now_ns, command, object_number)
            if fill.wait_ns is None:
                outcome = Outcome.MISS if fill.result is FillResult.SOURCE_LACKS else Outcome.ERROR
                return TimedResponse(now_ns + WITHIN_ZONE_NS, respond(command, outcome, fill.result))
            server.objects.add(object_number)
        wait_ns = fill.wait_ns or 0
        at_ns = now_ns + transfer_ns + wait_ns + WITHIN_ZONE_NS
        report = server.load_report(now_ns, at_ns)
        return TimedResponse(at_ns, respond(command, Outcome.OK, fill.result, wait_ns, report, b"x"))

    def _respond_at_origin(self, now_ns: int, command: effects.SendAttempt) -> TimedResponse:
        response_ns = self.origin.accept(now_ns)
        if response_ns is None:
            return TimedResponse(now_ns + TO_ORIGIN_NS, respond(command, Outcome.FULL))
        if command.request_class == "order":
            self.order_runs[command.attempt_id] += 1
        response = respond(command, Outcome.OK, FillResult.HIT, body=b"x")
        return TimedResponse(now_ns + max(response_ns, TO_ORIGIN_NS), response)

    def _fill(self, now_ns: int, command: effects.SendAttempt, object_number: int) -> Fill:
        """Fill a cache's miss from the source that the router named."""
        if not command.source:
            return Fill(None, FillResult.SOURCE_LACKS)
        parent = self.parents.get(command.source)
        if parent is not None:
            return self._fill_from_parent(now_ns, command, object_number, parent)
        if command.source in self.caches:  # the source is a sibling
            sibling = self.caches[command.source]
            if sibling.has_object(object_number, self._object_seeds[command.source]):
                return Fill(WITHIN_ZONE_NS, FillResult.FILLED)
            return Fill(None, FillResult.SOURCE_LACKS)
        response_ns = self.origin.accept(now_ns)
        return Fill(
            response_ns, FillResult.SOURCE_REFUSED if response_ns is None else FillResult.FILLED_FROM_ORIGIN
        )

    def _fill_from_parent(
        self, now_ns: int, command: effects.SendAttempt, object_number: int, parent: ServerModel
    ) -> Fill:
        if now_ns < parent.down_until_ns:
            return Fill(None, FillResult.SOURCE_BROKE)
        transfer_ns = parent.transfer(now_ns)
        if transfer_ns is None:
            return Fill(None, FillResult.SOURCE_BROKE)
        self.parent_fills[tenth_of(now_ns)] += 1
        # The cache forwards the part while it receives it, so the part's own transfer is counted once.
        wait_ns = transfer_ns - PART_TRANSFER_NS + WITHIN_ZONE_NS
        if parent.has_object(object_number, self._object_seeds[command.source]):
            return Fill(wait_ns, FillResult.FILLED)
        if command.cached_only:
            return Fill(None, FillResult.SOURCE_LACKS)
        origin_ns = self.origin.accept(now_ns)
        if origin_ns is None:
            return Fill(None, FillResult.ORIGIN_FAILED)
        parent.objects.add(object_number)
        return Fill(wait_ns + origin_ns, FillResult.FILLED_FROM_ORIGIN)
