"""Plots of a cold start by tenth of a second, with the defaults and with all `start` options.

    pip install -r requirements-lab.txt
    python -m benchmarks.cold_start_plot OUT.png [--routers 200] [--seconds 30]

The simulation is ``testbed/cold_start.py``: all routers start in the same second, caches and parents are cold
and empty, and the list service responds to 200 watch requests a second.
"""

from __future__ import annotations

import argparse
from collections import Counter
from typing import Any

from kelpcroft.core import effects
from kelpcroft.startup import StartupOptions
from testbed.cold_start import START, ColdStartFleet, S

START_KINDS = (
    ("without start options", StartupOptions(), "tab:red"),
    ("start list-calls=50 store=#true count=#true", StartupOptions(50.0, True, True), "tab:blue"),
)


class BenchmarkFleet(ColdStartFleet):
    """A fleet whose routers start with given options."""

    options = StartupOptions()

    def start_router(self, router: int) -> list[effects.Effect]:
        """Start with ``options``."""
        return self.routers[router].start(self.now, self.options)


def tenths(times: list[int]) -> Counter[int]:
    """Counts by tenth of a second since the start."""
    return Counter((at - START) * 10 // S for at in times)


def series(fleet: ColdStartFleet, seconds: int) -> dict[str, list[float]]:
    """By tenth of a second: requests at the list service, at the origin and for fills, and the share in time.

    The first three are rates per second. The share is by priority weight, over the last second.
    """
    service_requests, origin_requests, tenth_count = (
        tenths(fleet.service.calls),
        tenths(fleet.servers.origin.request_times),
        seconds * 10,
    )
    in_time_shares = []
    for tenth in range(tenth_count):
        sent_weight_in_s = sum(fleet.outcomes.sent_weight[j] for j in range(max(0, tenth - 9), tenth + 1))
        in_time_shares.append(
            sum(fleet.outcomes.in_time_weight[j] for j in range(max(0, tenth - 9), tenth + 1))
            / max(1, sent_weight_in_s)
        )
    return {
        "watch requests per second at the list service": [
            10.0 * service_requests[tenth] for tenth in range(tenth_count)
        ],
        "fetches at the origin, as a share of its capacity": [
            10 * origin_requests[tenth] / fleet.servers.origin.requests_per_s for tenth in range(tenth_count)
        ],
        "fills per second at parents": [
            10.0 * fleet.servers.parent_fills[tenth] for tenth in range(tenth_count)
        ],
        "share of requests served in time, by priority weight": in_time_shares,
    }


def main() -> None:
    """Run the simulations and write the plots."""
    parser = argparse.ArgumentParser(description="Plots of a cold start.")
    parser.add_argument("out")
    parser.add_argument("--routers", type=int, default=200)
    parser.add_argument("--seconds", type=int, default=30)
    parser.add_argument("--rate", type=float, default=8.0)
    args = parser.parse_args()
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(4, 1, figsize=(8, 10), sharex=True)
    for label, options, colour in START_KINDS:
        fleet = BenchmarkFleet(args.routers, rate=args.rate)
        fleet.options = options
        fleet.run(args.seconds + 2)
        values_by_title: dict[str, Any] = series(fleet, args.seconds)
        for axis, (title, values) in zip(axes, values_by_title.items(), strict=True):
            axis.plot([k / 10 for k in range(len(values))], values, label=label, color=colour, linewidth=0.9)
            axis.set_title(title, fontsize=10, loc="left")
            axis.grid(alpha=0.3)
    axes[0].legend(fontsize=9)
    axes[-1].set_xlabel(f"seconds after {args.routers} routers start, caches and parents cold and empty")
    figure.tight_layout()
    figure.savefig(args.out, dpi=80)
    print(args.out)


if __name__ == "__main__":
    main()
