"""Cost of a defective build on real processes, in a staged rollout and at all routers at once.

    python -m benchmarks.rollout_field [DEFECT ...]

Six routers in two zones under load (testbed/field) run builds with a defect (testbed/field/builds.py). ``at
once`` changes all routers together and reverts them after as many seconds as the staged rollout took. Harm is
the number of requests that were not served within 150 ms; the row of the sound build has the number at the
same load without a defect. Also printed: the number of changed routers, and the ratio of the two harms.
"""

from __future__ import annotations

import subprocess
import sys
import tempfile
import time
from pathlib import Path

from kelpcroft.store.identity import program_digest
from testbed.field import ClientLoad, RouterField, build_program
from testbed.stand_ins import MS, ROOT

DEFECTS = ("sound", "refuses", "one in twenty", "slow", "one class", "crashes", "breaks an invariant")
LATENCY_OBJECTIVE_NS = 150 * MS
PER_S = 50.0
TIMEOUT_S = 240.0


def count_harmed(load: ClientLoad) -> int:
    """The number of requests that were not served in time."""
    return sum(
        not any(kind == "served" and at - a.at_ns <= LATENCY_OBJECTIVE_NS for at, kind in a.responses)
        for a in load.requests
    )


def staged(defect: str, folder: Path) -> tuple[int, int, float, str]:
    """Run a staged rollout; return the requests harmed, routers changed, seconds, and the outcome."""
    builds = {"old": ROOT, "new": build_program(folder / "new", defect)}
    with RouterField(2, 3, builds) as field:
        plan = field.rollout_plan(program_digest(builds["new"] / "kelpcroft"))
        if defect == "one in twenty":
            plan = plan.replace("harm=0.15", "harm=0.05").replace('most="60s"', 'most="140s"')
        (folder / "plan.kdl").write_text(plan)
        arguments = ["rollout", "start", str(folder / "plan.kdl"), "--store", str(folder / "store.db")]
        with ClientLoad(field, PER_S, order_every=5) as load:
            began = time.monotonic()
            process = subprocess.Popen(
                [sys.executable, "-c", f"from kelpcroft.cli import main; main({arguments!r})"],
                cwd=ROOT,
                stdout=subprocess.DEVNULL,
                stderr=subprocess.DEVNULL,
            )
            while process.poll() is None and time.monotonic() - began < TIMEOUT_S:
                for node in field.nodes.values():  # restart ended processes, as a supervisor does
                    if node.process and node.process.poll() is not None and defect == "crashes":
                        node.start(node.started_builds.pop())
                time.sleep(0.1)
            process.kill()
            process.wait()
            elapsed_s = time.monotonic() - began
        changed_routers = sum("new" in node.started_builds for node in field.nodes.values())
        return (
            count_harmed(load),
            changed_routers,
            elapsed_s,
            {0: "done", 1: "rolled back"}.get(process.returncode, "not finished"),
        )


def at_once(defect: str, folder: Path, seconds: float) -> int:
    """Run every router with the defect for ``seconds``, and return the number of requests harmed."""
    with (
        RouterField(2, 3, {"old": ROOT, "new": build_program(folder / "again", defect)}) as field,
        ClientLoad(field, PER_S, order_every=5) as load,
    ):
        time.sleep(2)
        for node in field.nodes.values():
            node.change("new")
        until_s = time.monotonic() + seconds
        while time.monotonic() < until_s:
            for node in field.nodes.values():
                if node.process and node.process.poll() is not None:
                    node.start(node.started_builds.pop())
            time.sleep(0.1)
        for node in field.nodes.values():
            node.change("old")
        time.sleep(1)
    return count_harmed(load)


def main(defects: list[str]) -> int:
    """Run all defects and print the table."""
    print(f"| {'defect':20} | staged | changed | seconds | outcome | at once | staged / at once |")
    print("| --- | --- | --- | --- | --- | --- | --- |")
    for defect in defects or DEFECTS:
        with tempfile.TemporaryDirectory() as name:
            harmed_requests, changed_routers, elapsed_s, ended = staged(defect, Path(name))
            all_at_once = at_once(defect, Path(name), elapsed_s)
        ratio = f"{harmed_requests / all_at_once:.3f}" if all_at_once else "-"
        print(
            f"| {defect:20} | {harmed_requests} | {changed_routers} | {elapsed_s:.0f} | {ended} "
            f"| {all_at_once} | {ratio} |",
            flush=True,
        )
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
