"""Resident memory and start time of the program that `run` starts, compared with an earlier commit.

    python -m benchmarks.start [COMMIT]

Builds both in temporary folders as deploy/balancer.toml does (about two minutes), starts them alternately,
without and with the operator's file, and prints medians and the ratio to the earlier commit.
"""

from __future__ import annotations

import os
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from statistics import median

from testbed.router_process import RouterProcess
from testbed.stand_ins import ROOT, StandInServers

BEFORE = "fa17234"  # the last commit before routes
ROUNDS = 9


def build(commit: str, folder: Path) -> Path:
    """Build a commit and return the folder of its compiled copy."""
    archive = subprocess.run(["git", "archive", commit], cwd=ROOT, check=True, capture_output=True).stdout
    folder.mkdir()
    subprocess.run(["tar", "x"], cwd=folder, input=archive, check=True)
    subprocess.run([sys.executable, "tools/compile.py"], cwd=folder, check=True)
    return folder / ".compiled/now"


def start_router(program: Path, rules: str | None) -> tuple[float, float]:
    """Start a router; return the ms until it accepts connections, and its MB after 200 served requests."""
    with StandInServers() as stand_ins:
        began = time.monotonic()
        with RouterProcess(stand_ins, rules, program, release=True) as router:
            client = router.client()
            start_ms = (time.monotonic() - began) * 1000
            for part in range(200):
                client.request("page", part=part)
            pages = int(Path(f"/proc/{router.process.pid}/statm").read_text().split()[1])
            return start_ms, pages * os.sysconf("SC_PAGE_SIZE") / 2**20


def main() -> None:
    """Measure both programs and print the table."""
    commit = sys.argv[1] if len(sys.argv) > 1 else BEFORE
    rules = (ROOT / "examples/operator.kdl").read_text()
    with tempfile.TemporaryDirectory() as scratch:
        old, new = build(commit, Path(scratch) / "old"), build("HEAD", Path(scratch) / "new")
        variants = {
            f"commit {commit}": (old, None),
            "HEAD, no file": (new, None),
            "HEAD, with a file": (new, rules),
        }
        measurements: dict[str, list[tuple[float, float]]] = {name: [] for name in variants}
        for _ in range(ROUNDS):
            for name, (program, operator_file) in variants.items():
                measurements[name].append(start_router(program, operator_file))
    base = [median(x[k] for x in measurements[f"commit {commit}"]) for k in (0, 1)]
    print(f"{'':20}{'start ms':>10}{'ratio':>7}{'MB':>8}{'MB +/-':>7}")
    for name, runs in measurements.items():
        start_ms, size = (median(x[k] for x in runs) for k in (0, 1))
        print(f"{name:20}{start_ms:10.0f}{start_ms / base[0]:7.2f}{size:8.1f}{size - base[1]:+7.1f}")


if __name__ == "__main__":
    main()
