"""Scale tests of all kinds of processes, written to docs/capacity/*.json.

    python -m benchmarks.capacity                      all sweeps; about ten minutes
    python -m benchmarks.capacity --quick               a small run of each, about 70 s; writes no files
    python -m benchmarks.capacity --only routers,bytes  selected sweeps
    python -m benchmarks.capacity --before DIR          also sweep `behind` with an earlier compiled program
    python -m benchmarks.capacity --page                rewrite docs/CAPACITY.md from these files

A row has the median, the minimum and the maximum of its rounds. Nothing else may run on the machine at the
same time.
"""

from __future__ import annotations

import argparse
import json
import platform
import subprocess
import sys
import time
from collections.abc import Callable
from pathlib import Path
from statistics import median
from typing import Any

from benchmarks.capacity import feed, page, replicas, requests
from testbed.hollow.configuration import FleetSize
from testbed.stand_ins import ROOT

FOLDER = ROOT / "docs/capacity"
COMPILED = ROOT / ".compiled/now"
RATE = 5.1  # purges a second at the expected fleet size
SECONDS = 5.0  # interval of each run
AGES_S = {
    306: 60,
    3_060: 600,
    18_360: 3_600,
    100_000: 19_600,
    440_640: 86_400,
}  # by number of missed events: the interval over which their times are spread, in s

Run = Callable[[], dict[str, Any]]


def flatten(figures: dict[str, Any], prefix: str = "") -> dict[str, float]:
    """A run's figures without nesting; nested names are joined with dots."""
    rows: dict[str, float] = {}
    for key, value in figures.items():
        if isinstance(value, dict):
            rows |= flatten(value, f"{prefix}{key}.")
        else:
            rows[prefix + key] = float(value)
    return rows


def run_rounds(runs: int, run: Run) -> dict[str, dict[str, float]]:
    """Median, minimum and maximum of each figure over several rounds."""
    results = [flatten(run()) for _ in range(runs)]
    return {
        key: {
            "median": median(row[key] for row in results),
            "least": min(row[key] for row in results),
            "most": max(row[key] for row in results),
        }
        for key in results[0]
    }


def fit_line(points: list[tuple[float, float]]) -> dict[str, float]:
    """The least-squares line through some points, and the largest residual."""
    n = len(points)
    mean_x, mean_y = sum(x for x, _ in points) / n, sum(y for _, y in points) / n
    x_square_sum = sum((x - mean_x) ** 2 for x, _ in points)
    gradient = sum((x - mean_x) * (y - mean_y) for x, y in points) / x_square_sum if x_square_sum else 0.0
    intercept = mean_y - gradient * mean_x
    residual = max(abs(y - intercept - gradient * x) for x, y in points)
    return {"slope": gradient, "intercept": intercept, "residual": residual}


def sweeps(quick: bool, before: Path | None) -> dict[str, tuple[str, dict[float, Run]]]:
    """Every sweep by name, with the quantity that varies and the run for each of its values."""
    run_s, requests_run_s = (2.0, 1.0) if quick else (SECONDS, 3.0)

    def values_of(*values: float) -> tuple[float, ...]:
        return values[1:2] if quick else values

    base_routers = 20 if quick else 100
    return {
        "routers": (
            "routers",
            {
                n: lambda n=n: feed.measure_hollow_routers(FleetSize(routers=int(n)), RATE, run_s)  # type: ignore[misc]
                for n in values_of(50, 150, 300, 590)
            },
        ),
        "real": (
            "routers",
            {
                n: lambda n=n: feed.measure_real_routers(FleetSize(routers=int(n)), RATE, 3 * run_s, COMPILED)  # type: ignore[misc]
                for n in values_of(8, 24, 60)
            },
        ),
        "hollow": (
            "routers",
            {
                n: lambda n=n: feed.measure_hollow_routers(FleetSize(routers=int(n)), RATE, run_s)  # type: ignore[misc]
                for n in values_of(8, 24, 60)
            },
        ),
        "purges": (
            "purges_per_s",
            {
                p: lambda p=p: feed.measure_hollow_routers(FleetSize(routers=base_routers), p, run_s)  # type: ignore[misc]
                for p in values_of(0.5, 2, 5.1, 10, 20)
            },
        ),
        "servers": (
            "servers",
            {
                n: lambda n=n: feed.measure_hollow_routers(FleetSize(base_routers, int(n)), RATE, run_s)  # type: ignore[misc]
                for n in values_of(30, 80, 150)
            },
        ),
        "zones": (
            "zones",
            {
                n: lambda n=n: feed.measure_hollow_routers(FleetSize(base_routers, 150, int(n)), RATE, run_s)  # type: ignore[misc]
                for n in values_of(1, 6, 19)
            },
        ),
        "behind": (
            "events",
            {
                n: lambda n=n: feed.measure_catch_up(int(n), AGES_S[int(n)], COMPILED, 60)  # type: ignore[misc]
                for n in values_of(*AGES_S)
            },
        ),
        **(
            {
                "behind_before": (
                    "events",
                    {
                        n: lambda n=n: feed.measure_catch_up(int(n), AGES_S[int(n)], before, 15)  # type: ignore[misc]
                        for n in values_of(*AGES_S)
                    },
                )
            }
            if before
            else {}
        ),
        "behind_replica": (
            "events",
            {
                n: lambda n=n: replicas.measure_catch_up(int(n), AGES_S[int(n)], COMPILED, 30)  # type: ignore[misc]
                for n in values_of(*AGES_S)
            },
        ),
        "replicas": (
            "routers",
            {
                n: lambda n=n: replicas.measure_purges_through_replicas(
                    FleetSize(routers=int(n)), RATE, run_s, 2 if quick else 4
                )  # type: ignore[misc]
                for n in values_of(150, 590)
            },
        ),
        "replicas_one_dead": (
            "routers",
            {
                n: lambda n=n: replicas.measure_purges_through_replicas(
                    FleetSize(routers=int(n)), RATE, run_s, 4, 1
                )  # type: ignore[misc]
                for n in (590,)
            }
            if not quick
            else {},
        ),
        "replicas_purges": (
            "purges_per_s",
            {
                p: lambda p=p: replicas.measure_purges_through_replicas(
                    FleetSize(routers=base_routers), p, run_s, 2
                )  # type: ignore[misc]
                for p in (0.5, 5.1, 20)
            }
            if not quick
            else {},
        ),
        "requests": (
            "requests_per_s",
            {
                r: lambda r=r: requests.measure_requests(r, 1_000, requests_run_s, COMPILED)  # type: ignore[misc]
                for r in values_of(200, 400, 814, 1_200, 1_600, 2_400)
            },
        ),
        "bytes": (
            "bytes",
            {
                b: lambda b=b: requests.measure_requests(300, int(b), requests_run_s, COMPILED)  # type: ignore[misc]
                for b in values_of(1_000, 20_000, 60_000, 120_000, 240_000)
            },
        ),
    }


def measured_commit() -> str:
    """The measured commit, marked if the working tree differs from it."""
    command = ["git", "describe", "--always", "--dirty", "--abbrev=7", "--exclude=*"]
    return subprocess.run(command, cwd=ROOT, capture_output=True, text=True).stdout.strip()


def run_sweep(name: str, quantity: str, runs: dict[float, Run], count: int) -> dict[str, Any]:
    """Run one sweep and return the content of its file."""
    rows: list[dict[str, Any]] = []
    for x, run in runs.items():
        started_s = time.monotonic()
        rows.append({"x": x, "figures": run_rounds(count, run)})
        print(f"{name} {quantity}={x:g}: {time.monotonic() - started_s:.0f} s", file=sys.stderr, flush=True)
    keys = rows[0]["figures"] if rows else {}
    slopes = (
        {key: fit_line([(row["x"], row["figures"][key]["median"]) for row in rows]) for key in keys}
        if len(rows) > 1
        else {}
    )
    return {
        "sweep": name,
        "by": quantity,
        "commit": measured_commit(),
        "rounds": count,
        "command": f"python -m benchmarks.capacity --only {name}",
        "machine": f"8 cores, {platform.machine()}, Python {platform.python_version()}",
        "rows": rows,
        "slopes": slopes,
    }


def main() -> None:
    """Run the selected sweeps, or regenerate the page."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--quick", action="store_true")
    parser.add_argument("--only", default="")
    parser.add_argument("--before", type=Path)
    parser.add_argument("--rounds", type=int, default=2)
    parser.add_argument("--page", action="store_true")
    options = parser.parse_args()
    if options.page:
        page.PAGE.write_text(page.generate())
        return
    all_sweeps = sweeps(options.quick, options.before)
    selected = options.only.split(",") if options.only else list(all_sweeps)
    for name in selected:
        quantity, runs = all_sweeps[name]
        if not runs:
            continue
        result = run_sweep(name, quantity, runs, 1 if options.quick else options.rounds)
        if options.quick:
            print(json.dumps(result))
            continue
        FOLDER.mkdir(exist_ok=True)
        (FOLDER / f"{name}.json").write_text(json.dumps(result, indent=1) + "\n")


if __name__ == "__main__":
    main()
