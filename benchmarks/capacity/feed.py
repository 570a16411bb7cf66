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

SETTLE_S = 3.0  # wait after the start of all routers, before anything is counted
ONE = FleetSize(routers=1)


def quantile(found: list[float], share: float) -> float:
    """The value that a share of all values does not exceed."""
    ordered = sorted(found)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))] if ordered else 0.0


def in_force(born: dict[int, int], seen: list[list[list[int]]]) -> list[list[float]]:
    """For each event, the time that each router took to apply it, in ms."""
    found: list[list[float]] = [[] for _ in born]
    numbers = sorted(born)
    for router in seen:
        at = 0
        for known, when in router:
            while at < len(numbers) and numbers[at] <= known:
                found[at].append((when - born[numbers[at]]) / 1e6)
                at += 1
    return found


def counted(size: FleetSize, before: dict[str, Any], after: dict[str, Any], took: float) -> dict[str, Any]:
    """The list service's figures between two readings of its stats."""
    calls = (after["calls"] - before["calls"]) / took
    return {
        "seconds": round(took, 2),
        "service_calls_per_s": calls,
        "calls_per_router_s": calls / size.routers,
        "service_bytes_out_per_s": (after["bytes_out"] - before["bytes_out"]) / took,
        "service_bytes_in_per_s": (after["bytes_in"] - before["bytes_in"]) / took,
        "service_cpu_share": (after["cpu_s"] - before["cpu_s"]) / took,
        "service_memory_kb": after["memory_kb"],
        "watches": after["watches"],
        "accepted": after["accepted"] - before["accepted"],
    }


def spread(size: FleetSize, rate: float, seconds: float, rules: str = "", feed: str = "") -> dict[str, Any]:
    """Measure how long purges take until every router has applied them."""
    with list_service(size) as service:
        at = feed or f"127.0.0.1:{service.first_line['port']}"
        with hollow_routers(size, at, rules) as fleet:
            return watched(service, fleet, size, rate, seconds)


def watched(
    service: LineProcess, fleet: list[LineProcess], size: FleetSize, rate: float, seconds: float
) -> dict[str, Any]:
    """Publish purges at a rate, and measure their cost and the time until routers apply them."""
    time.sleep(SETTLE_S)
    for process in fleet:
        process.ask()
    before = service.ask(do="stats")
    cpu = sum(process.ask()["cpu_s"] for process in fleet)
    began = time.monotonic()
    service.ask(do="purge", rate=rate, seconds=seconds)
    time.sleep(seconds)
    after, took = service.ask(do="stats"), time.monotonic() - began
    time.sleep(2.0)  # the last events reach the last routers
    reports = [process.ask() for process in fleet]
    told = service.ask(do="stats")
    born = dict(enumerate(told["born"], told["n"] - len(told["born"]) + 1))
    born = {number: at for number, at in born.items() if number > before["n"]}
    times = in_force(born, [router for report in reports for router in report["seen"]])
    whole = [event for event in times if len(event) == size.routers]
    every, last = [x for event in whole for x in event], [max(event) for event in whole]
    return {
        **counted(size, before, after, took),
        "events": len(born),
        "events_everywhere": len(whole),
        "router_cpu_share": (sum(r["cpu_s"] for r in reports) - cpu) / (took + 2.0) / size.routers,
        "router_memory_kb": sum(r["memory_kb"] for r in reports) / size.routers,
        "in_force_ms": {
            "median": median(every) if every else 0,
            "p99": quantile(every, 0.99),
            "p999": quantile(every, 0.999),
        },
        "last_router_ms": {
            "median": median(last) if last else 0,
            "p99": quantile(last, 0.99),
            "most": max(last, default=0),
        },
    }


def real(size: FleetSize, rate: float, seconds: float, program: Path) -> dict[str, Any]:
    """Measure real routers, started as `run` starts them, with purges: figures as of hollow ones."""
    with ExitStack() as stack:
        service, scratch = stack.enter_context(list_service(size)), stack.enter_context(temporary_folder())
        at = f"127.0.0.1:{service.first_line['port']}"
        routers = [
            stack.enter_context(RealRouter(size, n, at, program, scratch)) for n in range(size.routers)
        ]
        assert wait_for(lambda: service.ask(do="stats")["watches"] == size.routers, 60)
        time.sleep(SETTLE_S)
        before, cpu = service.ask(do="stats"), sum(router.cpu_s() for router in routers)
        began = time.monotonic()
        service.ask(do="purge", rate=rate, seconds=seconds)
        time.sleep(seconds)
        after, took = service.ask(do="stats"), time.monotonic() - began
        spent = sum(router.cpu_s() for router in routers) - cpu
        memory = sum(router.memory_kb() for router in routers) / size.routers
        return {
            **counted(size, before, after, took),
            "router_cpu_share": spent / took / size.routers,
            "router_memory_kb": memory,
        }


def behind(
    events: int, age_s: float, program: Path, longest_s: float, rules: str = "", size: FleetSize = ONE
) -> dict[str, Any]:
    """Measure how a router, started as `run` starts it, catches up with ``events`` missed events."""
    with list_service(size) as service, temporary_folder() as scratch:
        feed = f"127.0.0.1:{service.first_line['port']}"
        with RealRouter(size, 0, feed, program, scratch, rules) as router:
            assert wait_for(lambda: service.ask(do="stats")["calls"] >= 3, 30), router.log.read_text()
            service.ask(do="mute", on=True)
            usual_kb, cpu = router.memory_kb(), router.cpu_s()
            last = service.ask(do="history", purges=events, age_s=age_s)["n"]
            before = service.ask(do="stats")
            began = time.monotonic()
            service.ask(do="mute", on=False)
            # It has caught up once a watch request names the last event.
            done = wait_for(lambda: service.ask(do="look")["reached"] >= last, longest_s)
            took, after = time.monotonic() - began, service.ask(do="stats")
            return {
                "events": events,
                "caught_up": done,
                "seconds": round(took, 2),
                "calls": after["calls"] - before["calls"],
                "bytes": after["bytes_out"] - before["bytes_out"],
                "usual_memory_kb": usual_kb,
                "memory_kb_most": router.memory_kb(peak=True),
                "cpu_s": round(router.cpu_s() - cpu, 2),
                "log_lines": sum("feed." in line for line in router.log.read_text().splitlines()),
            }
