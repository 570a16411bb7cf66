"""Cost of the feed by routers, purges a second, servers, and events that a router has missed."""

from __future__ import annotations

import time
from contextlib import ExitStack
from pathlib import Path
from statistics import median
from typing import Any

from testbed.hollow.configuration import FleetSize
from testbed.hollow.processes import (
    LineProcess,
    RealRouter,
    hollow_routers,
    list_service,
    temporary_folder,
    wait_for,
)

SETTLE_S = 3.0  # wait after the start of all routers, before the measurement
ONE_ROUTER = FleetSize(routers=1)


def quantile(values: list[float], share: float) -> float:
    """The value that a share of all values does not exceed."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))] if ordered else 0.0


def delays_until_applied(
    event_times_ns: dict[int, int], applied_by_router: list[list[list[int]]]
) -> list[list[float]]:
    """For each event, the time that each router took to apply it, in ms."""
    delays_ms: list[list[float]] = [[] for _ in event_times_ns]
    numbers = sorted(event_times_ns)
    for router in applied_by_router:
        index = 0
        for last_event, applied_ns in router:
            while index < len(numbers) and numbers[index] <= last_event:
                delays_ms[index].append((applied_ns - event_times_ns[numbers[index]]) / 1e6)
                index += 1
    return delays_ms


def service_figures(
    size: FleetSize, before: dict[str, Any], after: dict[str, Any], seconds: float
) -> dict[str, Any]:
    """The list service's figures between two readings of its stats."""
    calls = (after["calls"] - before["calls"]) / seconds
    return {
        "seconds": round(seconds, 2),
        "service_calls_per_s": calls,
        "calls_per_router_s": calls / size.routers,
        "service_bytes_out_per_s": (after["bytes_out"] - before["bytes_out"]) / seconds,
        "service_bytes_in_per_s": (after["bytes_in"] - before["bytes_in"]) / seconds,
        "service_cpu_share": (after["cpu_s"] - before["cpu_s"]) / seconds,
        "service_memory_kb": after["memory_kb"],
        "watches": after["watches"],
        "accepted": after["accepted"] - before["accepted"],
    }


def measure_hollow_routers(
    size: FleetSize, rate: float, seconds: float, rules: str = "", feed: str = ""
) -> dict[str, Any]:
    """Measure how long purges take until every router has applied them."""
    with list_service(size) as service:
        feed_address = feed or f"127.0.0.1:{service.first_line['port']}"
        with hollow_routers(size, feed_address, rules) as fleet:
            return measure_purges(service, fleet, size, rate, seconds)


def measure_purges(
    service: LineProcess, fleet: list[LineProcess], size: FleetSize, rate: float, seconds: float
) -> dict[str, Any]:
    """Publish purges at a rate, and measure their cost and the time until routers apply them."""
    time.sleep(SETTLE_S)
    for process in fleet:
        process.request()
    before = service.request(do="stats")
    cpu_before_s = sum(process.request()["cpu_s"] for process in fleet)
    started_s = time.monotonic()
    service.request(do="purge", rate=rate, seconds=seconds)
    time.sleep(seconds)
    after, elapsed_s = service.request(do="stats"), time.monotonic() - started_s
    time.sleep(2.0)  # the last events reach the last routers
    reports = [process.request() for process in fleet]
    final_stats = service.request(do="stats")
    event_times_ns = dict(enumerate(final_stats["born"], final_stats["n"] - len(final_stats["born"]) + 1))
    event_times_ns = {number: at for number, at in event_times_ns.items() if number > before["n"]}
    delays_by_event = delays_until_applied(
        event_times_ns, [router for report in reports for router in report["seen"]]
    )
    applied_everywhere = [event for event in delays_by_event if len(event) == size.routers]
    all_delays_ms, last_router_delays_ms = (
        [x for event in applied_everywhere for x in event],
        [max(event) for event in applied_everywhere],
    )
    return {
        **service_figures(size, before, after, elapsed_s),
        "events": len(event_times_ns),
        "events_everywhere": len(applied_everywhere),
        "router_cpu_share": (sum(r["cpu_s"] for r in reports) - cpu_before_s)
        / (elapsed_s + 2.0)
        / size.routers,
        "router_memory_kb": sum(r["memory_kb"] for r in reports) / size.routers,
        "in_force_ms": {
            "median": median(all_delays_ms) if all_delays_ms else 0,
            "p99": quantile(all_delays_ms, 0.99),
            "p999": quantile(all_delays_ms, 0.999),
        },
        "last_router_ms": {
            "median": median(last_router_delays_ms) if last_router_delays_ms else 0,
            "p99": quantile(last_router_delays_ms, 0.99),
            "most": max(last_router_delays_ms, default=0),
        },
    }


def measure_real_routers(size: FleetSize, rate: float, seconds: float, program: Path) -> dict[str, Any]:
    """Measure real routers, started as `run` starts them, while purges are published at a rate."""
    with ExitStack() as stack:
        service, scratch = stack.enter_context(list_service(size)), stack.enter_context(temporary_folder())
        feed_address = f"127.0.0.1:{service.first_line['port']}"
        routers = [
            stack.enter_context(RealRouter(size, n, feed_address, program, scratch))
            for n in range(size.routers)
        ]
        assert wait_for(lambda: service.request(do="stats")["watches"] == size.routers, 60)
        time.sleep(SETTLE_S)
        before, cpu_before_s = service.request(do="stats"), sum(router.cpu_s() for router in routers)
        started_s = time.monotonic()
        service.request(do="purge", rate=rate, seconds=seconds)
        time.sleep(seconds)
        after, elapsed_s = service.request(do="stats"), time.monotonic() - started_s
        router_cpu_s = sum(router.cpu_s() for router in routers) - cpu_before_s
        memory = sum(router.memory_kb() for router in routers) / size.routers
        return {
            **service_figures(size, before, after, elapsed_s),
            "router_cpu_share": router_cpu_s / elapsed_s / size.routers,
            "router_memory_kb": memory,
        }


def measure_catch_up(
    events: int, age_s: float, program: Path, timeout_s: float, rules: str = "", size: FleetSize = ONE_ROUTER
) -> dict[str, Any]:
    """Measure how a router, started as `run` starts it, catches up with ``events`` missed events."""
    with list_service(size) as service, temporary_folder() as scratch:
        feed = f"127.0.0.1:{service.first_line['port']}"
        with RealRouter(size, 0, feed, program, scratch, rules) as router:
            assert wait_for(lambda: service.request(do="stats")["calls"] >= 3, 30), router.log.read_text()
            service.request(do="mute", on=True)
            usual_kb, cpu_before_s = router.memory_kb(), router.cpu_s()
            last_event = service.request(do="history", purges=events, age_s=age_s)["n"]
            before = service.request(do="stats")
            started_s = time.monotonic()
            service.request(do="mute", on=False)
            # It has caught up once a watch request names the last event.
            has_caught_up = wait_for(lambda: service.request(do="look")["reached"] >= last_event, timeout_s)
            elapsed_s, after = time.monotonic() - started_s, service.request(do="stats")
            return {
                "events": events,
                "caught_up": has_caught_up,
                "seconds": round(elapsed_s, 2),
                "calls": after["calls"] - before["calls"],
                "bytes": after["bytes_out"] - before["bytes_out"],
                "usual_memory_kb": usual_kb,
                "memory_kb_most": router.memory_kb(peak=True),
                "cpu_s": round(router.cpu_s() - cpu_before_s, 2),
                "log_lines": sum("feed." in line for line in router.log.read_text().splitlines()),
            }
