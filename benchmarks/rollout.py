"""Cost of a bad change that is made at all routers at once, one by one, or in judged stages.

    python -m benchmarks.rollout [--seeds 3] [--large]

In virtual time (testbed/rollouts.py), with the state machine and the judge of the program. Harm is the number
of requests that failed because of the change, and the number of changed routers. `--large` adds the duration
of a rollout and the controller's CPU time at 10, 100 and 1,000 routers.
"""

from __future__ import annotations

import sys
from collections.abc import Callable
from time import perf_counter

from kelpcroft.rollout.phases import RolloutOutcome
from testbed.rollouts import S, SimulatedFleet, SimulatedRouter, make_plan

Defect = Callable[[SimulatedFleet, SimulatedRouter, str], float]
SECONDS = 1_500


def defect(share: float, request_class: str = "", zone: str = "") -> Defect:
    """A regression of the new build by a share of requests, optionally in one class or zone only."""
    return lambda _, router, actual_class: (
        share
        if router.build == "beef" and request_class in ("", actual_class) and zone in ("", router.zone)
        else 0.0
    )


DEFECTS: tuple[tuple[str, Defect], ...] = (
    ("none", defect(0.0)),
    ("1 in 20", defect(0.05)),
    ("3 in 10", defect(0.3)),
    ("3 in 10, writes only", defect(0.3, request_class="writes")),
    ("3 in 10, one zone", defect(0.3, zone="z2")),
)


def at_once(fleet: SimulatedFleet) -> tuple[float, int, int]:
    """Change every router in the first second; operators roll back after ten minutes."""
    for router in fleet.routers.values():
        fleet.start(router, "beef")
    for second in range(SECONDS):
        if second == 600:
            for router in fleet.routers.values():
                fleet.start(router, "old")
        run_second_without_rollout(fleet)
    return fleet.harmed_requests, len(fleet.routers), SECONDS


def one_by_one(fleet: SimulatedFleet) -> tuple[float, int, int]:
    """Change one router every 30 s without a judge; operators roll back after ten minutes as well."""
    names = list(fleet.routers)
    for second in range(SECONDS):
        if second % 30 == 0 and second // 30 < len(names) and second < 600:
            fleet.start(fleet.routers[names[second // 30]], "beef")
        if second == 600:
            for router in fleet.routers.values():
                if router.build == "beef":
                    fleet.start(router, "old")
        run_second_without_rollout(fleet)
    return fleet.harmed_requests, min(len(names), 20), SECONDS


def run_second_without_rollout(fleet: SimulatedFleet) -> None:
    """Run one second of requests in which the rollout does nothing."""
    rollout, fleet.rollout.outcome = fleet.rollout, RolloutOutcome.DONE
    fleet.run_second()
    fleet.rollout = rollout


def staged(fleet: SimulatedFleet) -> tuple[float, int, int]:
    """Run the judged rollout; if it is held, operators roll back after ten minutes."""
    outcome = fleet.run(SECONDS)
    seconds = (fleet.now - 1_000 * S) // S
    if outcome is RolloutOutcome.HELD:
        for _ in range(600):
            run_second_without_rollout(fleet)
    return fleet.harmed_requests, len(fleet.changed_routers), seconds


def main(arguments: list[str]) -> int:
    """Run all cases and print the tables."""
    seeds = int(arguments[arguments.index("--seeds") + 1]) if "--seeds" in arguments else 3
    print(f"12 routers in 3 zones, {seeds} seeds; requests harmed, routers changed, seconds\n")
    print(f"{'defect':24}{'all at once':>22}{'one by one':>22}{'staged':>22}{'staged/at once':>16}")
    for name, regression in DEFECTS:
        cells, harm_by_strategy = [], []
        for run_case in (at_once, one_by_one, staged):
            results = [run_case(SimulatedFleet(make_plan(3, 4), seed, regression)) for seed in range(seeds)]
            harmed_requests, changed_routers, duration_s = (
                sum(result[n] for result in results) / seeds for n in range(3)
            )
            harm_by_strategy.append(harmed_requests)
            cells.append(f"{harmed_requests:.0f}, {changed_routers:.0f}, {duration_s:.0f}")
        ratio = f"{harm_by_strategy[2] / harm_by_strategy[0]:.3f}" if harm_by_strategy[0] else "-"
        print(f"{name:24}" + "".join(f"{cell:>22}" for cell in cells) + f"{ratio:>16}", flush=True)
    if "--large" not in arguments:
        return 0
    print(f"\n{'routers':>8}{'outcome':>10}{'seconds':>9}{'controller us per router and second':>36}")
    for zones, routers_per_zone in ((2, 5), (10, 10), (20, 50)):
        router_count = zones * routers_per_zone
        extra_lines = (
            f"limits at-once={max(2, router_count // 10)} per-zone={max(1, routers_per_zone // 5)}\n"
            'watch every="1s" slowest="30s" ready="10s" cold="10s" unknown=1\n'
        )
        stages = (
            'stage "one" count=1 least="30s" most="900s"\n'
            'stage "fifth" share="20%" least="30s" most="900s"\n'
            'stage "half" share="50%" least="30s" most="900s"\n'
            'stage "all" share="100%" least="30s" most="900s"\n'
        )
        fleet = SimulatedFleet(make_plan(zones, routers_per_zone, stages, extra_lines), 1, defect(0.0))
        controller_s = [0.0]
        handle = fleet.rollout.handle

        def timed(now_ns: int, event: object, handle=handle, controller_s=controller_s):  # type: ignore[no-untyped-def]
            began = perf_counter()
            try:
                return handle(now_ns, event)
            finally:
                controller_s[0] += perf_counter() - began

        fleet.rollout.handle = timed  # type: ignore[method-assign]
        outcome = fleet.run(4_000)
        seconds = (fleet.now - 1_000 * S) // S
        controller_us = controller_s[0] / seconds / router_count * 1e6
        print(f"{router_count:>8}{outcome.value:>10}{seconds:>9}{controller_us:>36.1f}", flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
