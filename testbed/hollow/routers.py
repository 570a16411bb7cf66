"""Many routers in one process: their real loops, without clients and servers.

They have real connections to the list service, and control addresses of their own.

    python -m testbed.hollow.routers --first 0 --count 100 --feed HOST:PORT

with ``--rules FILE`` for an operator's file.  Prints one line when all of them have begun, and
after each line on standard input what they did since the line before: processor time, memory, and when each
of them had which event of the feed in force.
"""

from __future__ import annotations

import argparse
import gc
import json
import os
import selectors
import sys
import time
from functools import partial
from pathlib import Path
from typing import Any

from kelpcroft.config import parse_config
from kelpcroft.log import EventLog
from kelpcroft.net.clock import Clock
from kelpcroft.net.event_loop import EventLoop
from kelpcroft.operator_file.service import load_at_start, reload_steps
from testbed.hollow.configuration import FleetSize, configuration

LOOK_S = 0.05  # loops with a wake-up that is due are looked for this often at the least


class Hollow:
    """One router's loop, run when it has something to do."""

    def __init__(self, size: FleetSize, number: int, feed: str, rules: str) -> None:
        host = f"127.2.{number // 250}.{number % 250 + 1}"
        raw = configuration(size, number, feed, f"{host}:7000", f"{host}:7001")
        config = parse_config(raw, {})
        reading = partial(reload_steps, rules) if rules else None
        self.loop = EventLoop(config, Clock(), rules=reading, events=EventLog(config.name, log_format="json"))
        self.loop.start(first=load_at_start(rules, config.settings) if rules else None)
        self.seen: list[tuple[int, int]] = []  # up to which event it knew, and since when

    def due(self, now_ns: int) -> bool:
        """Whether a wake-up of its own has come."""
        heap = self.loop.timers
        return bool(heap) and heap[0][0] <= now_ns

    def turn(self) -> None:
        """One turn of its loop; when it came to know more, that is written down.

        The time since its last turn was waited outside of it, and is no stall.
        """
        self.loop.last_select_ns = self.loop.clock.now()
        self.loop.run_iteration()
        known = self.loop.reducer.endpoint_list.last_event
        if not self.seen or self.seen[-1][0] != known:
            self.seen.append((known, time.time_ns()))


class Fleet:
    """The routers of this process."""

    def __init__(self, size: FleetSize, first: int, count: int, feed: str, rules: str) -> None:
        self.routers = [Hollow(size, number, feed, rules) for number in range(first, first + count)]
        self.selector = selectors.DefaultSelector()
        for router in self.routers:
            self.selector.register(router.loop.selector.fileno(), selectors.EVENT_READ, router)
        self.selector.register(sys.stdin, selectors.EVENT_READ, None)
        self.ended = False

    def turn(self) -> None:
        """All routers that have something to do have one turn."""
        now = time.time_ns()
        next_ns = min((r.loop.timers[0][0] for r in self.routers if r.loop.timers), default=now)
        for key, _ in self.selector.select(min(LOOK_S, max(0, next_ns - now) / 1e9)):
            if key.data is None:
                self.order()
            else:
                key.data.turn()
        now = time.time_ns()
        for router in self.routers:
            if router.due(now):
                router.turn()

    def order(self) -> None:
        """A line on standard input: report, or end with the input."""
        if not sys.stdin.readline():
            self.ended = True
            return
        print(json.dumps(self.report()), flush=True)

    def report(self) -> dict[str, Any]:
        """What the routers did since the last report."""
        times = os.times()
        pages = int(Path("/proc/self/statm").read_text().split()[1])
        seen = [router.seen for router in self.routers]
        for router in self.routers:
            router.seen = router.seen[-1:]

        return {
            "cpu_s": times.user + times.system,
            "memory_kb": pages * os.sysconf("SC_PAGE_SIZE") // 1024,
            "seen": seen,
            "in_service": [len(r.loop.reducer.state.endpoints) for r in self.routers],
            "at": [r.loop.feed_address[1] for r in self.routers],
            "now_ns": time.time_ns(),
        }


def main() -> None:
    """Run them until standard input ends."""
    parser = argparse.ArgumentParser()
    for name, default in (("first", 0), ("count", 10), ("routers", 590), ("servers", 150), ("zones", 19)):
        parser.add_argument(f"--{name}", type=int, default=default)
    parser.add_argument("--feed", required=True)
    parser.add_argument("--rules", default="")
    options = parser.parse_args()
    size = FleetSize(options.routers, options.servers, options.zones)
    fleet = Fleet(size, options.first, options.count, options.feed, options.rules)
    gc.freeze()
    print(json.dumps({"routers": len(fleet.routers)}), flush=True)
    while not fleet.ended:
        fleet.turn()


if __name__ == "__main__":
    main()
