"""What the size of the fleet costs: a request, a list event and a tick, and memory, by caches and parents.

    python tools/compile.py && python -m benchmarks.fleet_cost [COPY]

Runs the compiled copy where there is one, or COPY, a folder with another compiled state of the program,
whose figures can then be set beside these. All caches stand in the router's own zone, which is the
dearest case. Sizes take turns in rounds; ratios are to 20+3 within the same round, medians are printed.
Memory is that of a process of its own.
"""

from __future__ import annotations

import json
import subprocess
import sys
import time
from pathlib import Path
from statistics import median
from typing import Any

ROOT = Path(__file__).parent.parent
ARGS = [a for a in sys.argv[1:] if a != "--memory"]
COPY = Path(ARGS[0]) if ARGS and not ARGS[0].isdigit() else ROOT / ".compiled/now"
if COPY.is_dir():
    sys.path.insert(0, str(COPY))

import msgpack  # noqa: E402

from kelpcroft import messages as m  # noqa: E402
from kelpcroft.config import parse  # noqa: E402
from kelpcroft.core import reducer  # noqa: E402
from kelpcroft.messages import Timer  # noqa: E402
from kelpcroft.net.feed import news_of  # noqa: E402
from kelpcroft.net.front import FrontCodec, served  # noqa: E402
from kelpcroft.net.shelf import ShelfCodec, pull  # noqa: E402

MS = 1_000_000
SIZES = ((4, 2), (20, 3), (60, 10), (200, 20), (2000, 200))
BASE = (20, 3)
ROUNDS, BATCH = 15, 60
READ = 65_536


def line(name: str, n: int, kind: str, zone: str, state: str = "active") -> dict[str, Any]:
    """One line of the feed's list."""
    return {"name": name, "address": f"10.1.{n // 250}.{n % 250 + 1}:9090", "zone": zone, "type": kind,
            "group": n, "status": state, "weight": 1, "since_ms": 0}


class One:
    """A router without sockets, and a fleet of a size."""

    def __init__(self, caches: int, parents: int) -> None:
        self.now = 1_764_576_000 * 10**9
        raw = json.loads((ROOT / "examples/config.json").read_bytes())
        settings = raw["settings"]
        kinds, fam = settings["machine_types"], settings["family_info"]
        parent, origin = kinds[fam["shield_kind"]], kinds[fam["master_kind"]]
        cache = next(k for k in kinds if k not in (parent, origin))
        hub = next(z for z in settings["dcs"] if z != settings["az"])
        self.lines = [*(line(f"c{n}", n, cache, settings["az"]) for n in range(caches)),
                      *(line(f"p{n}", 3000 + n, parent, hub) for n in range(parents)),
                      line("o", 4000, origin, hub)]
        members = {"index": 1, "snapshot": True, "endpoints": self.lines}
        raw["known"] = {"n": 1, "events": [{"n": 1, "members": members}]}
        raw["limits"] = {**raw.get("limits", {}), "sockets": 1024, "memory_mb": 192}
        self.router = reducer.Reducer(parse(raw, {}))
        self.router.start(self.now)
        self.router.handle(self.now, m.Listening())
        self.calls, self.events = 0, 1
        self.client = FrontCodec(1, READ)
        self.links: dict[int, ShelfCodec] = {}

    def request(self) -> int:
        """One page, from its bytes to the bytes of its answer; their number."""
        self.calls += 1
        self.now += 3 * MS
        n = self.calls
        fields = {"trace": f"{n:016x}", "patience": "1500", "entity": f"{0xFFFF - n % 997:016x}"}
        data = msgpack.packb([0, n, "page", [{**fields, "block": str(n % 7), "family": "17"}, b""]])
        return sum(self.effects(self.router.handle(self.now, c)) for c in self.client.feed(memoryview(data)))

    def effects(self, effects: list[m.Effect]) -> int:
        """Carry effects out; the bytes that went to the client."""
        size = 0
        for e in effects:
            if isinstance(e, m.Pull):
                pull(e)
                words = (e.id.encode(), b"DONE", b"sum=4be0c1927d55a6f3,t0=1,tell=parent,slow=20", b"x" * 500)
                data = b"*4\r\n" + b"".join(b"$%d\r\n%s\r\n" % (len(word), word) for word in words)
                for answer in self.links.setdefault(e.link, ShelfCodec(e.link)).feed(memoryview(data)):
                    size += self.effects(self.router.handle(self.now + MS, answer))
            elif isinstance(e, m.Dial):
                size += self.effects(self.router.handle(self.now, m.LinkUp(e.link)))
            elif isinstance(e, m.Serve):
                size += sum(map(len, served(e.call, e.body, e.same)))
        return size

    def change(self) -> None:
        """A list event that names one cache, from its JSON."""
        self.events += 1
        self.now += MS
        state = "leaving" if self.events % 2 else "active"
        members = {"index": self.events, "snapshot": False, "endpoints": [{**self.lines[0], "status": state}]}
        events = [{"n": self.events, "members": members}]
        self.router.handle(self.now, news_of({"n": self.events, "events": events}))

    def tick(self) -> None:
        """The housekeeping wake-up."""
        self.now += MS
        self.router.handle(self.now, m.Due((Timer.HOUSE, 0, 0)))


def cost(work: Any, count: int) -> float:
    """CPU of one, in ns."""
    began = time.process_time_ns()
    for _ in range(count):
        work()
    return (time.process_time_ns() - began) / count


def memory(caches: int, parents: int) -> None:
    """What a process holds after some hundred requests, in KB."""
    one = One(caches, parents)
    for _ in range(300):
        one.request()
    status = Path("/proc/self/status").read_text().split()
    print(status[status.index("VmRSS:") + 1])


def main() -> None:
    """The table."""
    if "--memory" in sys.argv:
        memory(*(int(a) for a in sys.argv[1:] if a.isdigit()))
        return
    fleet = {size: One(*size) for size in SIZES}
    for one in fleet.values():
        assert sum(one.request() > 500 for _ in range(100)) == 100, "every request is served"
    found: dict[tuple[tuple[int, int], str], list[float]] = {}
    for turn in range(ROUNDS):
        for size in SIZES[turn % len(SIZES):] + SIZES[:turn % len(SIZES)]:
            one = fleet[size]
            for name, work in (("request", one.request), ("list event", one.change), ("tick", one.tick)):
                found.setdefault((size, name), []).append(cost(work, BATCH))
    copy = [str(COPY)] if COPY.is_dir() else []
    command = [sys.executable, "-m", "benchmarks.fleet_cost", *copy, "--memory"]
    held = {size: int(subprocess.run([*command, *map(str, size)], cwd=ROOT, capture_output=True, text=True,
                                     check=True).stdout) for size in SIZES}
    print(f"{copy[0] if copy else 'plain'}, {ROUNDS} rounds of {BATCH}; us of CPU, ratio to 20+3")
    for size in SIZES:
        cells = []
        for name in ("request", "list event", "tick"):
            ratio = median(a / b for a, b in zip(found[size, name], found[BASE, name], strict=True))
            cells.append(f"{name} {median(found[size, name]) / 1000:9.1f} {ratio:8.2f}")
        print(f"{f'{size[0]}+{size[1]}':9} {'   '.join(cells)}   memory {held[size] / 1024:6.1f} MB")


if __name__ == "__main__":
    main()
