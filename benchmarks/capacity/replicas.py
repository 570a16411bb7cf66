"""Cost of a fleet with control replicas between the routers and the list service."""

from __future__ import annotations

import signal
import time
from contextlib import ExitStack
from pathlib import Path
from typing import Any

from benchmarks.capacity.feed import measure_purges
from testbed.hollow.configuration import FleetSize
from testbed.hollow.processes import (
    ControlReplica,
    RealRouter,
    cpu_s,
    hollow_routers,
    list_service,
    memory_kb,
    temporary_folder,
    wait_for,
)

MOVE_S = 4.0  # time within which the routers of a killed replica have moved to other replicas


def measure_purges_through_replicas(
    size: FleetSize, rate: float, seconds: float, count: int = 4, killed_count: int = 0
) -> dict[str, Any]:
    """Measure purges at a rate through ``count`` replicas, of which ``killed_count`` are killed before."""
    with ExitStack() as stack:
        service = stack.enter_context(list_service(size))
        scratch = stack.enter_context(temporary_folder())
        replicas = [
            ControlReplica(scratch, f"r{n}", [f"127.0.0.1:{service.first_line['port']}"], size=size)
            for n in range(count)
        ]
        for replica in replicas:
            stack.callback(replica.end)
            replica.start()
        rules = scratch / "rules.kdl"
        addresses = " ".join(f'"{r.address}"' for r in replicas)
        rules.write_text(f"kelpcroft version=1\nreplicas {addresses}\n")
        fleet = stack.enter_context(hollow_routers(size, "127.0.0.1:1", str(rules)))
        time.sleep(MOVE_S)
        for replica in replicas[:killed_count]:
            replica.end()
        time.sleep(MOVE_S if killed_count else 0)
        surviving = replicas[killed_count:]
        before = [figures(replica) for replica in surviving]
        started_s = time.monotonic()
        purge_figures = measure_purges(service, fleet, size, rate, seconds)
        elapsed_s = time.monotonic() - started_s
        after = [figures(replica) for replica in surviving]
        rates = [
            {key: (b[key] - a[key]) / elapsed_s for key in ("answers", "bytes_out", "cpu_s")}
            for a, b in zip(before, after, strict=True)
        ]
        return {
            **purge_figures,
            "replicas": count,
            "dead": killed_count,
            "replica_calls_per_s": max(x["answers"] for x in rates),
            "replica_bytes_out_per_s": max(x["bytes_out"] for x in rates),
            "replica_cpu_share": max(x["cpu_s"] for x in rates),
            "replica_memory_kb": max(x["memory_kb"] for x in after),
            "router_calls_per_s": sum(x["answers"] for x in rates) / size.routers,
            "router_bytes_per_s": sum(x["bytes_out"] for x in rates) / size.routers,
            "refusals": sum(x["refusals"] for x in after),
        }


def figures(replica: ControlReplica) -> dict[str, float]:
    """A replica's counters, CPU time and memory so far."""
    state = replica.state()
    assert state
    assert replica.process
    return {
        **{key: float(state[key]) for key in ("answers", "bytes_out", "refusals", "watches")},
        "cpu_s": cpu_s(replica.process.pid),
        "memory_kb": memory_kb(replica.process.pid),
    }


def measure_catch_up(events: int, age_s: float, program: Path, timeout_s: float) -> dict[str, Any]:
    """Measure how a router that follows a replica catches up after it was stopped for ``events`` events."""
    size = FleetSize(routers=1)
    with ExitStack() as stack:
        service = stack.enter_context(list_service(size))
        scratch = stack.enter_context(temporary_folder())
        replica = ControlReplica(scratch, "r0", [f"127.0.0.1:{service.first_line['port']}"], size=size)
        stack.callback(replica.end)
        replica.start()
        rules = scratch / "rules.kdl"
        rules.write_text(f'kelpcroft version=1\nreplicas "{replica.address}"\n')
        router = stack.enter_context(RealRouter(size, 0, "127.0.0.1:1", program, scratch, str(rules)))
        time.sleep(5.0)  # until the router has received its first state
        router.process.send_signal(signal.SIGSTOP)
        usual_kb, cpu_before_s = router.memory_kb(), router.cpu_s()
        last_event = service.request(do="history", purges=events, age_s=age_s)["n"]
        assert wait_for(lambda: (replica.state() or {}).get("last") == last_event, 60)
        time.sleep(1.5)  # until the stopped router's outstanding watch request has its response
        before = figures(replica)
        router.process.send_signal(signal.SIGCONT)
        started_s = time.monotonic()
        has_caught_up = wait_for(lambda: (replica.state() or {}).get("in_step") == 1, timeout_s)
        elapsed_s, after = time.monotonic() - started_s, figures(replica)
        return {
            "events": events,
            "caught_up": has_caught_up,
            "seconds": round(elapsed_s, 2),
            "calls": after["answers"] - before["answers"],
            "bytes": after["bytes_out"] - before["bytes_out"],
            "usual_memory_kb": usual_kb,
            "memory_kb_most": router.memory_kb(peak=True),
            "cpu_s": round(router.cpu_s() - cpu_before_s, 2),
        }
