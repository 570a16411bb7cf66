"""Many hollow routers in one process: real event loops without clients and servers.

The routers have real connections to the list service and control addresses of their own.

    python -m testbed.hollow.routers --first 0 --count 100 --feed HOST:PORT

``--rules FILE`` names the operator's file of all routers. The process prints one line once all routers have
started. For each line on standard input it prints a report: CPU time, memory, and for each router the events
of the feed that it has applied since the previous report, with their times.
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

TIMER_CHECK_S = 0.05  # longest interval between two checks for due timers


class HollowRouter:
    """One router's event loop, which runs an iteration when a socket is ready or a timer is due."""

    def __init__(self, size: FleetSize, number: int, feed: str, rules: str) -> None:
        host = f"127.2.{number // 250}.{number % 250 + 1}"
        raw = configuration(size, number, feed, f"{host}:7000", f"{host}:7001")
        config = parse_config(raw, {})
        reload = partial(reload_steps, rules) if rules else None
        self.loop = EventLoop(
            config, Clock(), read_operator_file=reload, event_log=EventLog(config.name, log_format="json")
        )
        self.loop.start(operator_file=load_at_start(rules, config.settings) if rules else None)
        # Numbers of the router's last events, and when it applied each (Unix ns).
        self.applied_events: list[tuple[int, int]] = []

    def has_due_timer(self, now_ns: int) -> bool:
        """Whether one of its timers is due."""
        heap = self.loop.timers
        return bool(heap) and heap[0][0] <= now_ns

    def run_iteration(self) -> None:
        """Run one iteration of its loop, and record the number of its last event if that has changed.

        The router waited outside of its loop since the previous iteration; setting ``last_select_ns`` keeps
        the loop from counting that wait as a process stall.
        """
        self.loop.last_select_ns = self.loop.clock.now()
        self.loop.run_iteration()
        last_event = self.loop.reducer.endpoint_list.last_event
        if not self.applied_events or self.applied_events[-1][0] != last_event:
            self.applied_events.append((last_event, time.time_ns()))


class Fleet:
    """The routers of this process."""

    def __init__(self, size: FleetSize, first: int, count: int, feed: str, rules: str) -> None:
        self.routers = [HollowRouter(size, number, feed, rules) for number in range(first, first + count)]
        self.selector = selectors.DefaultSelector()
        for router in self.routers:
            self.selector.register(router.loop.selector.fileno(), selectors.EVENT_READ, router)
        self.selector.register(sys.stdin, selectors.EVENT_READ, None)
        self.ended = False

    def run_iteration(self) -> None:
        """Wait for a ready socket or a due timer, then run one iteration of each router that has one."""
        now_ns = time.time_ns()
        next_ns = min(
            (router.loop.timers[0][0] for router in self.routers if router.loop.timers),
            default=now_ns,
        )
        for key, _ in self.selector.select(min(TIMER_CHECK_S, max(0, next_ns - now_ns) / 1e9)):
            if key.data is None:
                self.handle_line()
            else:
                key.data.run_iteration()
        now_ns = time.time_ns()
        for router in self.routers:
            if router.has_due_timer(now_ns):
                router.run_iteration()

    def handle_line(self) -> None:
        """Read a line from standard input and print a report; at end of input, stop."""
        if not sys.stdin.readline():
            self.ended = True
            return
        print(json.dumps(self.report()), flush=True)

    def report(self) -> dict[str, Any]:
        """The routers' activity since the last report."""
        times = os.times()
        pages = int(Path("/proc/self/statm").read_text().split()[1])
        applied_events = [router.applied_events for router in self.routers]
        for router in self.routers:
            router.applied_events = router.applied_events[-1:]

        return {
            "cpu_s": times.user + times.system,
            "memory_kb": pages * os.sysconf("SC_PAGE_SIZE") // 1024,
            "seen": applied_events,
            "in_service": [len(r.loop.reducer.state.endpoints) for r in self.routers],
            "at": [r.loop.feed_address[1] for r in self.routers],
            "now_ns": time.time_ns(),
        }


def main() -> None:
    """Run the routers until standard input ends."""
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
        fleet.run_iteration()


if __name__ == "__main__":
    main()
