"""CPU time of a request, a list event and a tick, and memory, by number of caches and parents.

    python tools/compile.py && python -m benchmarks.fleet_cost

Runs the compiled copy if there is one, or the copy in KELPCROFT_FROM, whose figures can then be compared
with these. All caches are in the router's own zone, which is the most expensive case. The sizes alternate in
rounds; the printed values are medians, and ratios are to 20+3 in the same round. Memory is measured in a
separate process.
"""

from __future__ import annotations

import json
import subprocess
import sys
import time
from collections.abc import Callable
from pathlib import Path
from statistics import median
from typing import Any

from benchmarks.request_cost import COPY, MS, ROOT, SocketlessRouter
from kelpcroft.core import inputs
from kelpcroft.core.messages import TimerKey, TimerKind
from kelpcroft.net.feed_codec import parse_watch_response

SIZES = ((4, 2), (20, 3), (60, 10), (200, 20), (2000, 200))
BASE = (20, 3)
ROUNDS, BATCH = 15, 60


def line(name: str, n: int, kind: str, zone: str, state: str = "active") -> dict[str, Any]:
    """One server's line in the feed's list."""
    return {
        "name": name,
        "address": f"10.1.{n // 250}.{n % 250 + 1}:9090",
        "zone": zone,
        "type": kind,
        "group": n,
        "status": state,
        "weight": 1,
        "since_ms": 0,
    }


class Fleet(SocketlessRouter):
    """A router without sockets, and a fleet of servers that fill every response from a parent."""

    def __init__(self, caches: int, parents: int) -> None:
        raw = json.loads((ROOT / "examples/config.json").read_bytes())
        settings = raw["settings"]
        kinds, family = settings["machine_types"], settings["family_info"]
        parent, origin = kinds[family["shield_kind"]], kinds[family["master_kind"]]
        cache = next(k for k in kinds if k not in (parent, origin))
        hub = next(z for z in settings["dcs"] if z != settings["az"])
        self.lines = [
            *(line(f"c{n}", n, cache, settings["az"]) for n in range(caches)),
            *(line(f"p{n}", 3000 + n, parent, hub) for n in range(parents)),
            line("o", 4000, origin, hub),
        ]
        members = {"index": 1, "snapshot": True, "endpoints": self.lines}
        raw["known"] = {"n": 1, "events": [{"n": 1, "members": members}]}
        raw["limits"] = {**raw.get("limits", {}), "sockets": 1024, "memory_mb": 192}
        super().__init__(None, raw, b"parent,slow=20")
        self.events = 1

    def change(self) -> None:
        """Handle a list event that changes one cache, including the parsing of its JSON object."""
        self.events += 1
        self.now += MS
        state = "leaving" if self.events % 2 else "active"
        members = {"index": self.events, "snapshot": False, "endpoints": [{**self.lines[0], "status": state}]}
        events = [{"n": self.events, "members": members}]
        self.router.handle(self.now, parse_watch_response({"n": self.events, "events": events}))

    def tick(self) -> None:
        """Handle the housekeeping timer."""
        self.now += MS
        self.router.handle(self.now, inputs.TimerFired(TimerKey(TimerKind.HOUSEKEEPING, 0, 0)))


def cost(work: Callable[[], object], count: int) -> float:
    """CPU time of one execution, in ns."""
    began = time.process_time_ns()
    for _ in range(count):
        work()
    return (time.process_time_ns() - began) / count


def memory(caches: int, parents: int) -> None:
    """Print the process's resident memory after 300 requests, in KB."""
    fleet = Fleet(caches, parents)
    for _ in range(300):
        fleet.request()
    status = Path("/proc/self/status").read_text().split()
    print(status[status.index("VmRSS:") + 1])


def main() -> None:
    """Measure all sizes and print the table."""
    if "--memory" in sys.argv:
        memory(*(int(a) for a in sys.argv[1:] if a.isdigit()))
        return
    fleets = {size: Fleet(*size) for size in SIZES}
    for fleet in fleets.values():
        assert sum(fleet.request() > 500 for _ in range(100)) == 100, "every request is served"
    costs_ns: dict[tuple[tuple[int, int], str], list[float]] = {}
    for round_number in range(ROUNDS):
        for size in SIZES[round_number % len(SIZES) :] + SIZES[: round_number % len(SIZES)]:
            fleet = fleets[size]
            for name, work in (
                ("request", fleet.request),
                ("list event", fleet.change),
                ("tick", fleet.tick),
            ):
                costs_ns.setdefault((size, name), []).append(cost(work, BATCH))
    command = [sys.executable, "-m", "benchmarks.fleet_cost", "--memory"]
    memory_kb = {
        size: int(
            subprocess.run(
                [*command, *map(str, size)], cwd=ROOT, capture_output=True, text=True, check=True
            ).stdout
        )
        for size in SIZES
    }
    kind = "compiled" if COPY.is_dir() else "plain"
    print(f"{kind}, {ROUNDS} rounds of {BATCH}; us of CPU, ratio to 20+3")
    for size in SIZES:
        cells = []
        for name in ("request", "list event", "tick"):
            ratio = median(a / b for a, b in zip(costs_ns[size, name], costs_ns[BASE, name], strict=True))
            cells.append(f"{name} {median(costs_ns[size, name]) / 1000:9.1f} {ratio:8.2f}")
        print(f"{f'{size[0]}+{size[1]}':9} {'   '.join(cells)}   memory {memory_kb[size] / 1024:6.1f} MB")


if __name__ == "__main__":
    main()
