"""Cost of a cold start of real router processes that start together while the list service is down.

    python -m benchmarks.cold_start_field [--processes 10 50 200] [--dead 5] [--seconds 20]

Each size runs without a budget for requests to the list service and with ``start list-calls=50``, with the
same stand-ins (testbed/field) and with clients at every router. The table has: watch requests at the list
service in total, in the worst second, and in the worst second after its return; the time until every router
had a response from it; the share served of the requests sent in the first 5 and 10 s; memory and CPU of a
router, with the CPU from exec to ready in a column of its own. 200 routers need about 6 GB and take a minute
for each of the two runs.
"""

from __future__ import annotations

import argparse
import os
import time
from collections import Counter
from pathlib import Path

from testbed.field import ClientLoad, RouterField
from testbed.field.field import RULES
from testbed.stand_ins import MS, ROOT

S = 1_000 * MS
TICKS = os.sysconf("SC_CLK_TCK")
WAYS = {"none": RULES, "budget": RULES + "start list-calls=50\n"}


def cpu_s(pid: int) -> float:
    """CPU time of a process so far, in seconds."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS


def memory_mb(pid: int) -> float:
    """Resident memory of a process, in MB."""
    status = Path(f"/proc/{pid}/status").read_text().split()
    return int(status[status.index("VmRSS:") + 1]) / 1024


def max_per_second(calls: list[int]) -> int:
    """The highest number of watch requests in one second."""
    return max(Counter(at // S for at in calls).values(), default=0)


def run_field(routers: int, way: str, dead_s: float, seconds: float) -> dict[str, float]:
    """Run one field: its figures."""
    field = RouterField(max(1, routers // 4), min(4, routers), {"old": ROOT}, rules=WAYS[way])
    servers = field.servers
    servers.feed_down_until_ns = time.monotonic_ns() + int(dead_s * S)
    try:
        field.__enter__()
        pids = [n.process.pid for n in field.nodes.values() if n.process]
        began, ready, start_cpu = field.started_ns, time.monotonic_ns(), sum(map(cpu_s, pids))
        back = max(servers.feed_down_until_ns, ready)
        servers.feed_down_until_ns = back  # the outage lasts at least until all are ready
        heard = 0
        with ClientLoad(field, per_s=2.0) as load:
            while time.monotonic_ns() < began + seconds * S or not heard:
                ports = {port for at, after, port in list(servers.feed_requests) if after >= 0 and at > back}
                if len(ports) >= len(pids) and not heard:
                    heard = time.monotonic_ns()
                if time.monotonic_ns() > back + 60 * S:
                    break
                time.sleep(0.05)
            cost, held = sum(map(cpu_s, pids)) - start_cpu, sum(map(memory_mb, pids)) / len(pids)
            span = (time.monotonic_ns() - ready) / S
        calls = [at for at, _, _ in servers.feed_requests]
        shares = []
        for first in (5, 10):
            asked = [a for a in load.requests if a.at_ns < ready + first * S]
            shares.append(sum(any(k == "served" for _, k in a.responses) for a in asked) / max(1, len(asked)))
        return {
            "routers": len(pids),
            "all ready s": round((ready - began) / S, 1),
            "calls": len(calls),
            "calls in the worst s": max_per_second(calls),
            "after its return": max_per_second([at for at in calls if at >= back]),
            "all heard s": round((heard - back) / S, 1) if heard else -1.0,
            "served 5 s": round(shares[0], 3),
            "10 s": round(shares[1], 3),
            "MB a router": round(held, 1),
            "CPU to ready ms": round(1_000 * start_cpu / len(pids)),
            "CPU share after": round(cost / span / len(pids), 4),
        }
    finally:
        field.__exit__()


def main() -> None:
    """Run all combinations and print the table."""
    parser = argparse.ArgumentParser(description="What a cold start of real processes costs.")
    parser.add_argument("--processes", type=int, nargs="*", default=[10, 50, 200])
    parser.add_argument("--dead", type=float, default=5.0, help="seconds that the list service is dead for")
    parser.add_argument("--seconds", type=float, default=20.0)
    args = parser.parse_args()
    head = None
    for count in args.processes:
        for way in WAYS:
            row = {"way": way, **run_field(count, way, args.dead, args.seconds)}
            if head is None:
                head = list(row)
                print("| " + " | ".join(head) + " |\n|" + " --- |" * len(head))
            print("| " + " | ".join(str(v) for v in row.values()) + " |", flush=True)


if __name__ == "__main__":
    main()
