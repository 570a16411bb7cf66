"""Cost of a cold start of real router processes that start together while the list service is down.

    python -m benchmarks.cold_start_field [--processes 10 50 200] [--dead 5] [--seconds 20]

Each size runs without a budget for requests to the list service and with ``start list-calls=50``, with the
same stand-ins (testbed/field) and with clients at every router. The table has: watch requests at the list
service in total, in the worst second, and in the worst second after its return; the time until every router
had a response from it; the share of the requests sent in the first 5 and 10 s that was served; memory and CPU
of a router, with the CPU from exec to ready in a column of its own. 200 routers need about 6 GB and take a
minute for each of the two runs.
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
START_KINDS = {"none": RULES, "budget": RULES + "start list-calls=50\n"}


def cpu_s(pid: int) -> float:
    """CPU time of a process so far, in seconds."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS


def memory_mb(pid: int) -> float:
    """Resident memory of a process, in MB."""
    status = Path(f"/proc/{pid}/status").read_text().split()
    return int(status[status.index("VmRSS:") + 1]) / 1024


def max_calls_per_second(calls: list[int]) -> int:
    """The highest number of watch requests in one second."""
    return max(Counter(at // S for at in calls).values(), default=0)


def run_field(routers: int, start_kind: str, outage_s: float, seconds: float) -> dict[str, float]:
    """Run one field and return its figures."""
    field = RouterField(max(1, routers // 4), min(4, routers), {"old": ROOT}, rules=START_KINDS[start_kind])
    servers = field.servers
    servers.feed_down_until_ns = time.monotonic_ns() + int(outage_s * S)
    try:
        field.__enter__()
        pids = [n.process.pid for n in field.nodes.values() if n.process]
        began_ns, ready_ns, startup_cpu_s = field.started_ns, time.monotonic_ns(), sum(map(cpu_s, pids))
        returned_ns = max(servers.feed_down_until_ns, ready_ns)
        servers.feed_down_until_ns = returned_ns  # the outage lasts at least until all are ready
        all_responded_ns = 0
        with ClientLoad(field, per_s=2.0) as load:
            while time.monotonic_ns() < began_ns + seconds * S or not all_responded_ns:
                ports = {
                    port for at, after, port in list(servers.feed_requests) if after >= 0 and at > returned_ns
                }
                if len(ports) >= len(pids) and not all_responded_ns:
                    all_responded_ns = time.monotonic_ns()
                if time.monotonic_ns() > returned_ns + 60 * S:
                    break
                time.sleep(0.05)
            cpu_used_s, mean_memory_mb = (
                sum(map(cpu_s, pids)) - startup_cpu_s,
                sum(map(memory_mb, pids)) / len(pids),
            )
            elapsed_s = (time.monotonic_ns() - ready_ns) / S
        calls = [at for at, _, _ in servers.feed_requests]
        served_shares = []
        for window_s in (5, 10):
            requests = [a for a in load.requests if a.at_ns < ready_ns + window_s * S]
            served_shares.append(
                sum(any(kind == "served" for _, kind in a.responses) for a in requests)
                / max(1, len(requests))
            )
        return {
            "routers": len(pids),
            "all ready s": round((ready_ns - began_ns) / S, 1),
            "watch requests": len(calls),
            "most in 1 s": max_calls_per_second(calls),
            "most in 1 s after recovery": max_calls_per_second([at for at in calls if at >= returned_ns]),
            "all responded s": round((all_responded_ns - returned_ns) / S, 1) if all_responded_ns else -1.0,
            "served in 5 s": round(served_shares[0], 3),
            "served in 10 s": round(served_shares[1], 3),
            "MB per router": round(mean_memory_mb, 1),
            "CPU to ready ms": round(1_000 * startup_cpu_s / len(pids)),
            "CPU share when ready": round(cpu_used_s / elapsed_s / len(pids), 4),
        }
    finally:
        field.__exit__()


def main() -> None:
    """Run all combinations and print the table."""
    parser = argparse.ArgumentParser(description="Cost of a cold start of real processes.")
    parser.add_argument("--processes", type=int, nargs="*", default=[10, 50, 200])
    parser.add_argument("--dead", type=float, default=5.0, help="seconds for which the list service is down")
    parser.add_argument("--seconds", type=float, default=20.0)
    args = parser.parse_args()
    head = None
    for count in args.processes:
        for start_kind in START_KINDS:
            row = {"schedule": start_kind, **run_field(count, start_kind, args.dead, args.seconds)}
            if head is None:
                head = list(row)
                print("| " + " | ".join(head) + " |\n|" + " --- |" * len(head))
            print("| " + " | ".join(str(v) for v in row.values()) + " |", flush=True)


if __name__ == "__main__":
    main()
