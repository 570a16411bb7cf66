"""Cost of a cold start: hundreds of routers that start in the same second, in virtual time.

    python -m benchmarks.cold_start                             # 50, 200 and 1,000 routers, all schedules
    python -m benchmarks.cold_start --routers 5000 --rate 1     # one size
    python -m benchmarks.cold_start --ways none budget --boxes  # caches and parents cold as well

The simulation is ``testbed/cold_start.py`` around the program's reducer: a list service that responds to
200 watch requests a second and crashes for 5 s with over 100 queued; caches and parents, warm or cold
and empty; an origin that slows down as its queue fills.

``--service`` selects the list service: up; down for the first 10 s; slow (40 watch requests a second); or one
that responds to 100 a second, crashes with over 40 queued and then numbers its events from 1 again.

``--ways`` selects how routers schedule their watch requests: none (no budget, the default); the budget of
``start list-calls=50`` (or a quarter of the routers a second, if that is more, since an idle fleet sends as
many); and two textbook schedules without a budget, a second with fixed jitter and exponential backoff with
full jitter. All runs have the same seed, so results are the same every time.
"""

from __future__ import annotations

import argparse
import time
from collections.abc import Callable
from random import Random
from typing import Any

from kelpcroft.core.reducer import Reducer
from kelpcroft.discovery.schedule import MS, SECOND, DiscoverySchedule
from kelpcroft.startup.options import StartupOptions
from testbed.cold_start import START, ColdStartFleet, ListServiceModel

CALLS_PER_S = 50.0
SEED_STEP = 7_919  # a prime, so that routers' schedules differ
LONGEST_RUN_S = 600  # the benchmark stops after a run longer than this


class FixedDelay(DiscoverySchedule):
    """Retries after a second plus or minus up to half a second."""

    def retry_delay_ns(self, retry_after_ns: int) -> int:  # noqa: ARG002 - an override
        """The wait after a failure, in ns."""
        return SECOND // 2 + self.random_delay_ns(SECOND)


class ExponentialBackoff(DiscoverySchedule):
    """Exponential backoff with full jitter, up to 30 s."""

    def retry_delay_ns(self, retry_after_ns: int) -> int:  # noqa: ARG002 - an override
        """The wait after a failure, in ns."""
        return self.random_delay_ns(min(100 * MS << min(self.consecutive_failures, 10), 30 * SECOND))


START_KINDS: dict[str, tuple[type[DiscoverySchedule], float]] = {
    "none": (DiscoverySchedule, 0.0),
    "budget": (DiscoverySchedule, CALLS_PER_S),
    "fixed": (FixedDelay, 0.0),
    "exponential": (ExponentialBackoff, 0.0),
}
SERVICES: dict[str, Callable[[], ListServiceModel]] = {
    "up": ListServiceModel,
    "dead 10 s": lambda: ListServiceModel(down_until_ns=START + 10 * SECOND),
    "slow": lambda: ListServiceModel(calls_per_s=40.0),
    "falls, counts anew": lambda: ListServiceModel(
        calls_per_s=100.0, max_queued_calls=40, renumbers_after_crash=True
    ),
}


class BenchmarkFleet(ColdStartFleet):
    """A fleet whose routers start with the operator file's budget, or with a textbook schedule."""

    start_kind = "none"

    def start_router(self, router_number: int) -> list[Any]:
        """Start with the selected budget, and replace the program's schedule if another is selected."""
        schedule_type, calls_per_s = START_KINDS[self.start_kind]
        router: Reducer = self.routers[router_number]
        effects = router.start(
            self.now, StartupOptions(calls_per_s and max(calls_per_s, self.configured_routers / 4))
        )
        if schedule_type is not DiscoverySchedule:
            schedule = schedule_type(self.configured_routers, self.sequence * SEED_STEP + router_number)
            schedule.random = Random(schedule.seed).random
            router.position.schedule = schedule
        return effects


def run_simulation(
    routers: int, start_kind: str, service: str, seconds: int, rate: float, is_cold: bool
) -> dict[str, Any]:
    """Run one simulation and return its figures."""
    fleet = BenchmarkFleet(
        routers, service=SERVICES[service](), rate=rate, cold=is_cold, cold_parents=is_cold
    )
    fleet.start_kind = start_kind
    fleet.run(seconds)
    return fleet.figures(seconds)


def main() -> None:
    """Run all combinations and print the table."""
    parser = argparse.ArgumentParser(description="Cost of a cold start in virtual time.")
    parser.add_argument("--routers", type=int, nargs="*", default=[50, 200, 1_000])
    parser.add_argument("--ways", nargs="*", choices=list(START_KINDS), default=list(START_KINDS))
    parser.add_argument("--service", nargs="*", choices=list(SERVICES), default=["up", "dead 10 s"])
    parser.add_argument("--seconds", type=int, default=32)
    parser.add_argument("--rate", type=float, default=2.0, help="requests a second of a router's clients")
    parser.add_argument("--boxes", action="store_true", help="caches and parents start cold and empty too")
    args = parser.parse_args()
    head = None
    for routers in args.routers:
        for service in args.service:
            for start_kind in args.ways:
                began = time.monotonic()
                row = {
                    "routers": routers,
                    "list service": service,
                    "schedule": start_kind,
                    **run_simulation(routers, start_kind, service, args.seconds, args.rate, args.boxes),
                }
                if head is None:
                    head = list(row)
                    print("| " + " | ".join(head) + " |\n|" + " --- |" * len(head))
                print("| " + " | ".join(str(v) for v in row.values()) + " |", flush=True)
                if time.monotonic() - began > LONGEST_RUN_S:
                    print(
                        f"stopped: a run took over {LONGEST_RUN_S} s; use fewer --routers or a lower --rate"
                    )
                    return


if __name__ == "__main__":
    main()
