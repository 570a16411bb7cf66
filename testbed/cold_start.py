"""Hundreds of routers that start in the same second, in virtual time, around the program's reducer.

Every router is a ``Reducer``. Models with limits carry out its effects (``cold_start_models``,
``cold_start_servers``): a list service that responds to a limited number of watch requests a second, queues
more and crashes when its queue is full; caches and parents that start cold and empty, accept few connections
and collapse under the combined load of all routers; an origin that slows down as its queue fills. A fleet can
include failures: a list service that is down, is slow or restarts its numbering; caches that are down from
the start; routers that are killed and restart. The same seed gives exactly the same run.
"""

from __future__ import annotations

import copy
import heapq
import json
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from typing import NamedTuple

from kelpcroft.config import parse_config
from kelpcroft.core import effects, inputs
from kelpcroft.core.reducer import Reducer
from kelpcroft.decision.interface import Outcome
from testbed.cold_start_models import (
    CACHE_WARM_UP,
    MS,
    PARENT_WARM_UP,
    PART_TRANSFER_NS,
    START,
    WARM_CACHE_OBJECTS_SHARE,
    WARM_UP_NS,
    ListServiceModel,
    OriginModel,
    S,
    ServerModel,
    WaitingWatch,
)
from testbed.cold_start_servers import (
    HUB_ZONE,
    TENTHS_PER_S,
    WITHIN_ZONE_NS,
    SimulatedServers,
    respond,
    tenth_of,
)
from testbed.stand_ins import ROOT

__all__ = ["MS", "START", "ColdStartFleet", "ListServiceModel", "S"]

ROUTERS_PER_ZONE = 4
CACHES_PER_ZONE = 4
ZONES_PER_PARENT = 10
MIN_PARENTS = 2
MIN_CACHE_WEIGHT = 2.0
PARENT_HEADROOM = 1.3  # capacity of warm parents, as a multiple of the load of warm caches' misses
ORIGIN_HEADROOM = 2  # capacity of the origin, as a multiple of its load in a warm fleet
LATENCY_OBJECTIVE_NS = 250 * MS + 2 * PART_TRANSFER_NS
OBJECTS = 20_000
POPULARITY_TAIL = 0.7  # exponent of the Pareto distribution from which objects are drawn
ORDERS_SHARE = 0.05  # share of orders among requests; they run at the origin and must not run twice
PAGE_TIMEOUT_NS = 2_400 * MS
ORDER_TIMEOUT_NS = 3_000 * MS
PAGE_WEIGHT = 1.0
ORDER_WEIGHT = 3.0  # priority weight of an order, relative to a page
FEED_DELAY_NS = 1 * MS  # one way
FOREVER_NS = 10_000 * S
COLD_CONTRACT = {
    "cold_from": CACHE_WARM_UP.cold_capacity_share,
    "cold_ns": WARM_UP_NS,
    "fall_multiple": CACHE_WARM_UP.collapse_multiple,
    "fall_ns": S,
}
COLD_PARENT_CONTRACT = {
    "parent_cold_from": PARENT_WARM_UP.cold_capacity_share,
    "parent_warms_in_ns": WARM_UP_NS,
    "parent_fall_multiple": PARENT_WARM_UP.collapse_multiple,
}
EXAMPLE = json.loads((ROOT / "examples/config.json").read_bytes())


@dataclass(frozen=True)
class RouterStarts:
    """A router's process starts."""


@dataclass(frozen=True)
class ClientSends:
    """A client of a router sends its next request."""


@dataclass(frozen=True)
class ServiceReady:
    """The list service processes a watch request, or the request's wait ends."""

    received_ns: int


Fault = Callable[["ColdStartFleet"], None]
FleetEvent = RouterStarts | ClientSends | ServiceReady | inputs.Input | Fault


class Scheduled(NamedTuple):
    """A scheduled event; ``process`` numbers a router's processes, and events of ended ones are dropped."""

    at_ns: int
    sequence: int  # breaks ties, so that events are never compared
    router: int
    process: int
    event: FleetEvent


class OpenRequest(NamedTuple):
    """A client's request that has no response yet."""

    began_ns: int
    weight: float


class RequestOutcomes:
    """Priority weight of requests sent and of those served in time, by tenth of a second."""

    def __init__(self) -> None:
        self.sent_weight: Counter[int] = Counter()
        self.in_time_weight: Counter[int] = Counter()  # by the time of the request
        self._open: dict[tuple[int, int], OpenRequest] = {}  # by router and client

    def record_request(self, router: int, client: int, now_ns: int, weight: float) -> None:
        """Record that a client sends a request."""
        self._open[router, client] = OpenRequest(now_ns, weight)

    def record_response(self, router: int, client: int, now_ns: int, is_served: bool) -> None:
        """Record a request's final response."""
        request = self._open.pop((router, client), None)
        if request and is_served and now_ns - request.began_ns <= LATENCY_OBJECTIVE_NS:
            self.in_time_weight[tenth_of(request.began_ns)] += int(request.weight)

    def drop_router(self, router: int) -> None:
        """Discard the open requests of a router that was killed."""
        for key in [key for key in self._open if key[0] == router]:
            del self._open[key]

    def share_in_time(self, first_s: int, last_s: int) -> float:
        """The share, by priority weight, of the requests sent between two seconds that was served in time."""
        tenths = range(first_s * TENTHS_PER_S, last_s * TENTHS_PER_S)
        return sum(self.in_time_weight[k] for k in tenths) / max(1, sum(self.sent_weight[k] for k in tenths))

    def seconds_to_recover(self, seconds: int) -> int:
        """The first of three successive seconds whose share in time reaches 0.95 of the level near the end.

        Returns ``seconds`` if there are no such seconds.
        """
        level = 0.95 * self.share_in_time(seconds - 5, seconds - 2)
        for start in range(seconds - 4):
            if all(self.share_in_time(k, k + 1) >= level for k in (start, start + 1, start + 2)):
                return start
        return seconds


class ColdStartFleet:
    """All routers, their clients, the servers and the list service."""

    def __init__(
        self,
        routers: int,
        seed: int = 1,
        *,
        cold: bool = True,
        cold_parents: bool = True,
        rate: float = 8.0,
        load: float = 0.5,
        service: ListServiceModel | None = None,
        configured_routers: int = 0,
        max_connections: int = 64,
        down_cache_every: int = 0,
        configure_router: Callable[[Reducer], None] | None = None,
    ) -> None:
        """Build the fleet; ``run`` starts its time.

        Args:
            routers: Number of routers, which all start within the first second.
            seed: Seed of all random draws.
            cold: Caches start at the same time as the routers, cold and empty.
            cold_parents: Parents start at the same time as the routers, cold and empty.
            rate: Requests a second of one router's clients.
            load: Load of warm caches, as a share of their capacity.
            service: The list service; by default one that is up.
            configured_routers: Number of routers in the settings; 0 = the actual number.
            max_connections: Connections that a cache accepts from all routers together.
            down_cache_every: One cache in this many is listed but down; 0 = none.
            configure_router: Function that is called with each router before it starts.
        """
        self.random = Random(seed)
        self.now = START
        self.sequence = 0  # of events and of clients' requests
        self.configured_routers = configured_routers or routers
        self.rate = rate
        self.service = service or ListServiceModel()
        self.outcomes = RequestOutcomes()
        self.first_response_ns: dict[int, int] = {}  # by router: time of the first watch response
        self.servers = simulated_servers(
            routers, rate, load, max_connections, is_cold=cold, parents_are_cold=cold_parents
        )
        if down_cache_every:
            self._take_down_caches(down_cache_every)
        self._configure_router = configure_router
        self._heap: list[Scheduled] = []
        self._server_by_connection: list[dict[int, str]] = [{} for _ in range(routers)]
        self._process = [0] * routers
        self.routers: list[Reducer] = [self._make_router(n) for n in range(routers)]
        for router in range(routers):
            start_ns = START + self.random.randrange(S)
            self._schedule(start_ns, router, RouterStarts())
            self._schedule(start_ns + self.random.randrange(S), router, ClientSends())

    def _take_down_caches(self, every: int) -> None:
        for n, cache in enumerate(self.servers.caches.values()):
            if n % every == 1:
                cache.down_until_ns = START + FOREVER_NS

    def _make_router(self, number: int) -> Reducer:
        """Make a router whose first endpoint list is the present one."""
        zone = f"z{number // ROUTERS_PER_ZONE}"
        raw = copy.deepcopy(EXAMPLE)
        settings = raw["settings"]
        in_zone = max(1, round(ROUTERS_PER_ZONE * self.configured_routers / len(self._process)))
        settings.update(
            az=zone,
            dcs=[zone, HUB_ZONE],
            instances=self.configured_routers,
            self_index=number,
            weight_source="nominal",
        )
        settings["family_info"].update(
            hub_of=[1, 1], instances_by_zone=[in_zone, 0], pace_kb_per_s=1e3, **COLD_PARENT_CONTRACT
        )
        settings["contract"].update(COLD_CONTRACT)
        members = {"index": 1, "snapshot": True, "endpoints": self.servers.lines_for(zone)}
        raw["known"] = {"n": 1, "events": [{"n": 1, "members": members}]}
        raw["name"] = f"n{number}"
        raw["seed"] = f"{number + 1:x}"
        router = Reducer(parse_config(raw, {}))
        if self._configure_router is not None:
            self._configure_router(router)
        return router

    def _schedule(self, at_ns: int, router: int, event: FleetEvent) -> None:
        self.sequence += 1
        heapq.heappush(self._heap, Scheduled(at_ns, self.sequence, router, self._process[router], event))

    # Events -----------------------------------------------------------------------------------------------

    def run(self, seconds: float, faults: dict[int, Fault] | None = None) -> None:
        """Run for ``seconds`` seconds; ``faults`` has the faults to inject, by time in ns after the start."""
        for after_ns, fault in (faults or {}).items():
            self._schedule(START + after_ns, 0, fault)
        end_ns = START + int(seconds * S)
        while self._heap and self._heap[0].at_ns < end_ns:
            due = heapq.heappop(self._heap)
            self.now = due.at_ns
            if callable(due.event):
                due.event(self)
            elif due.process == self._process[due.router]:
                self._dispatch(due.router, due.event)

    def _dispatch(self, router: int, event: RouterStarts | ClientSends | ServiceReady | inputs.Input) -> None:
        if isinstance(event, RouterStarts):
            self._carry_out(router, self.start_router(router))
            self._deliver(router, inputs.ListenersReady())
        elif isinstance(event, ClientSends):
            self._send_client_request(router)
        elif isinstance(event, ServiceReady):
            self._respond_to_watch_request(router, event.received_ns)
        else:
            self._deliver_from_server(router, event)

    def _deliver_from_server(self, router: int, message: inputs.Input) -> None:
        """Deliver an input, unless it belongs to a connection that the router has closed."""
        if isinstance(message, (inputs.ServerResponse, inputs.ServerConnected)):
            if message.connection not in self._server_by_connection[router]:
                return
        elif isinstance(message, inputs.ServerConnectionLost):
            self._disconnect(router, message.connection)
        self._deliver(router, message)

    def _deliver(self, router: int, message: inputs.Input) -> None:
        self._carry_out(router, self.routers[router].handle(self.now, message))

    def start_router(self, router: int) -> list[effects.Effect]:
        """Start a router's process; benchmarks override this to pass other options."""
        return self.routers[router].start(self.now)

    def kill(self, router: int, restart_after_ns: int) -> None:
        """Kill a router's process: its connections and its clients' requests are lost.

        Its successor starts ``restart_after_ns`` later with no state but the list in its configuration.
        """
        self._process[router] += 1
        for connection in list(self._server_by_connection[router]):
            self._disconnect(router, connection)
        self.service.waiting_watches.pop(router, None)
        self.outcomes.drop_router(router)
        self.routers[router] = self._make_router(router)
        self._schedule(self.now + restart_after_ns, router, RouterStarts())
        self._schedule(self.now + restart_after_ns, router, ClientSends())

    def _send_client_request(self, router: int) -> None:
        """Send a client's request and schedule the next one."""
        gap_ns = int(self.random.expovariate(self.rate) * S)
        self._schedule(self.now + gap_ns, router, ClientSends())
        object_number = int(self.random.paretovariate(POPULARITY_TAIL) * 10) % OBJECTS
        is_order = self.random.random() < ORDERS_SHARE
        weight = ORDER_WEIGHT if is_order else PAGE_WEIGHT
        self.outcomes.sent_weight[tenth_of(self.now)] += int(weight)
        self.sequence += 1
        client = self.sequence
        self.outcomes.record_request(router, client, self.now, weight)
        self._deliver(router, client_request(client, object_number, is_order=is_order))

    # The list service -------------------------------------------------------------------------------------

    def _receive_watch_request(self, router: int, after_event: int, wait_ms: int) -> None:
        """Deliver a watch request to the list service."""
        service = self.service
        arrives_ns = self.now + FEED_DELAY_NS
        service.calls.append(arrives_ns)
        if arrives_ns < service.down_until_ns:
            self._schedule(arrives_ns + FEED_DELAY_NS, router, inputs.WatchFailed("refused"))
        elif service.accept(arrives_ns):
            until_ns = arrives_ns + wait_ms * MS
            service.waiting_watches[router] = WaitingWatch(arrives_ns, after_event, until_ns)
            self._schedule(service.free_at_ns, router, ServiceReady(arrives_ns))
        else:
            # The iteration order of this set of routers determines the seeded runs on record.
            watchers = {*service.waiting_watches, router}
            service.crash(arrives_ns)
            for watcher in watchers:
                self._schedule(arrives_ns + FEED_DELAY_NS, watcher, inputs.WatchFailed("reset"))

    def _respond_to_watch_request(self, router: int, received_ns: int) -> None:
        """Respond to a watch request if there are new events or its wait is over; otherwise let it wait."""
        watch = self.service.waiting_watches.get(router)
        if watch is None or watch.received_ns != received_ns:
            return
        if watch.after_event != self.service.last_event or self.now >= watch.until_ns:
            del self.service.waiting_watches[router]
            self.first_response_ns.setdefault(router, self.now)
            response = inputs.WatchResponse(self.service.last_event, ())
            self._schedule(self.now + FEED_DELAY_NS, router, response)
        else:
            self._schedule(watch.until_ns, router, ServiceReady(received_ns))

    # Effects of the routers -------------------------------------------------------------------------------

    def _carry_out(self, router: int, effect_list: list[effects.Effect]) -> None:
        for e in effect_list:
            if isinstance(e, effects.ScheduleTimer):
                self._schedule(max(e.at_ns, self.now), router, inputs.TimerFired(e.key))
            elif isinstance(e, effects.SendWatchRequest):
                self._receive_watch_request(router, e.after_event, e.wait_ms)
            elif isinstance(e, effects.OpenServerConnection):
                self._connect(router, e)
            elif isinstance(e, effects.CloseServerConnection):
                self._disconnect(router, e.connection)
            elif isinstance(e, effects.SendAttempt):
                self._send_attempt(router, e)
            elif isinstance(e, effects.SendHealthCheck):
                self._schedule(self.now + WITHIN_ZONE_NS, router, respond(e, Outcome.OK))
            elif isinstance(e, (effects.SendResponse, effects.RejectRequest, effects.FailRequest)):
                is_served = isinstance(e, effects.SendResponse)
                self.outcomes.record_response(router, e.client, self.now, is_served)

    def _connect(self, router: int, e: effects.OpenServerConnection) -> None:
        name = e.address.rpartition(":")[0]
        self._server_by_connection[router][e.connection] = name
        result_ns, failure = self.servers.connect(self.now, name)
        if failure:
            self._schedule(result_ns, router, inputs.ServerConnectionLost(e.connection, failure, True))
        else:
            self._schedule(result_ns, router, inputs.ServerConnected(e.connection))

    def _disconnect(self, router: int, connection: int) -> None:
        self.servers.disconnect(self._server_by_connection[router].pop(connection, None))

    def _send_attempt(self, router: int, e: effects.SendAttempt) -> None:
        name = self._server_by_connection[router].get(e.connection, "")
        timed_response = self.servers.respond_to_attempt(self.now, name, e)
        if timed_response is not None:
            self._schedule(timed_response.at_ns, router, timed_response.response)

    # Figures ----------------------------------------------------------------------------------------------

    def figures(self, seconds: int) -> dict[str, float]:
        """Figures of a run of ``seconds`` seconds, by column head of the table."""
        caches = list(self.servers.caches.values())
        parents = list(self.servers.parents.values())
        origin = self.servers.origin
        calls = Counter((at - START) // S for at in self.service.calls)
        origin_requests = Counter((at - START) // S for at in origin.request_times)
        share = self.outcomes.share_in_time
        return {
            "watch requests": len(self.service.calls),
            "most in 1 s": max(calls.values(), default=0),
            "service crashes": self.service.crashes,
            "all responded s": self._seconds_until_all_listed(),
            "cache collapses": sum(cache.collapses for cache in caches),
            "parent collapses": sum(parent.collapses for parent in parents),
            "max cold use, caches": round(max(cache.max_cold_use for cache in caches), 2),
            "max cold use, parents": round(max(parent.max_cold_use for parent in parents), 2),
            "connection attempts per cache": round(
                sum(cache.connection_attempts for cache in caches) / len(caches), 1
            ),
            "refused connections": sum(cache.refused_connections for cache in caches),
            "origin load, max in 1 s": round(
                max(origin_requests.values(), default=0) / origin.requests_per_s, 2
            ),
            "in time 5 s": round(share(0, 5), 3),
            "in time 10 s": round(share(0, 10), 3),
            "in time 30 s": round(share(0, min(30, seconds - 2)), 3),
            "recovery to 95% s": self.outcomes.seconds_to_recover(seconds),
            "orders executed twice": sum(count > 1 for count in self.servers.order_runs.values()),
        }

    def _seconds_until_all_listed(self) -> float:
        """Seconds until every router had received a watch response; -1 if some router received none."""
        if len(self.first_response_ns) < len(self.routers):
            return -1
        return round((max(self.first_response_ns.values()) - START) / S, 1)


def simulated_servers(
    routers: int,
    rate: float,
    load: float,
    max_connections: int,
    *,
    is_cold: bool,
    parents_are_cold: bool,
) -> SimulatedServers:
    """Servers that, once warm, carry ``routers`` routers with ``rate`` requests a second each."""
    zones = -(-routers // ROUTERS_PER_ZONE)
    cache_weight = max(
        MIN_CACHE_WEIGHT, ROUTERS_PER_ZONE * rate * PART_TRANSFER_NS / S / CACHES_PER_ZONE / load
    )
    fills_per_s = routers * rate * (1 - WARM_CACHE_OBJECTS_SHARE)
    parent_count = max(MIN_PARENTS, zones // ZONES_PER_PARENT)
    parent_weight = fills_per_s * PART_TRANSFER_NS / S / parent_count * PARENT_HEADROOM
    caches = {
        f"z{zone}-b{n}": ServerModel(cache_weight, False, START if is_cold else 0, max_connections)
        for zone in range(zones)
        for n in range(CACHES_PER_ZONE)
    }
    parents = {
        f"h{n}": ServerModel(parent_weight, True, START if parents_are_cold else 0)
        for n in range(parent_count)
    }
    origin_per_s = (
        fills_per_s * (1 - WARM_CACHE_OBJECTS_SHARE) + routers * rate * ORDERS_SHARE
    ) * ORIGIN_HEADROOM
    return SimulatedServers(caches, parents, OriginModel(origin_per_s))


def client_request(client: int, object_number: int, *, is_order: bool) -> inputs.ClientRequest:
    """A request for a part of a page, or an order that must not run twice, on a connection of its own."""
    return inputs.ClientRequest(
        client,
        1,
        "order" if is_order else "page",
        f"{client:016x}",
        ORDER_TIMEOUT_NS if is_order else PAGE_TIMEOUT_NS,
        f"{object_number:016x}",
        "0",
        object_number,
        0,
        0,
        False,
        "",
        b"x" if is_order else b"",
        size_kb=0.0 if is_order else PART_TRANSFER_NS / S * 1_000,
    )
