"""The demo of `./demo --rollout`: two rollouts to six routers under load.

The first has a good change, and its controller is killed in the middle. The second has a bad change, which is
rolled back.
"""

from __future__ import annotations

import os
import signal
import subprocess
import sys
import tempfile
import time
from pathlib import Path

from kelpcroft.store.identity import program_digest
from testbed.field import ClientLoad, RouterField, build_program
from testbed.stand_ins import ROOT

TIMEOUT_S = 180.0


def command(*arguments: str) -> list[str]:
    """The command line that runs the program's command with these arguments."""
    return [sys.executable, "-c", f"from kelpcroft.cli import main; main({list(arguments)!r})"]


def print_heading(text: str) -> None:
    """Print a heading for the next step."""
    print(f"\n== {text}", flush=True)


def run(*arguments: str) -> int:
    """Print a command and run it with its output shown; return its exit code."""
    print(f"$ kelpcroft {' '.join(arguments)}", flush=True)
    return subprocess.run(command(*arguments), cwd=ROOT, timeout=TIMEOUT_S).returncode


def run_with_killed_controller(field: RouterField, plan: str, store: str) -> int:
    """Start a rollout, kill its controller at the second router's change, and start the rollout again.

    Returns:
        The exit code of the second controller.
    """
    commands_before = len(field.commands)
    print(f"$ kelpcroft rollout start {plan} --store {store}", flush=True)
    process = subprocess.Popen(command("rollout", "start", plan, "--store", store), cwd=ROOT)
    deadline_s = time.monotonic() + TIMEOUT_S
    while (
        len(field.commands) < commands_before + 2 and process.poll() is None and time.monotonic() < deadline_s
    ):
        time.sleep(0.05)
    process.send_signal(signal.SIGKILL)
    process.wait()
    print_heading("the controller was killed; its lease lasts for 15 s, then another continues")
    run("rollout", "status", "--store", store)
    time.sleep(16)
    return run("rollout", "start", plan, "--store", store)


def main() -> int:
    """Run both rollouts.

    Returns:
        0 if the good change was completed and the bad one rolled back, with no request lost.
    """
    os.environ["PYTHONPATH"] = str(ROOT)
    is_as_expected = True
    for defect in ("sound", "refuses"):
        with tempfile.TemporaryDirectory() as name:
            folder = Path(name)
            new = build_program(folder / "new", defect)
            with RouterField(2, 3, {"old": ROOT, "new": new}) as field:
                plan, store = str(folder / "rollout.kdl"), str(folder / "rollout.db")
                Path(plan).write_text(field.rollout_plan(program_digest(new / "kelpcroft")))
                with ClientLoad(field) as load:
                    if defect == "sound":
                        print_heading("a good change")
                        run("rollout", "plan", plan)
                        is_as_expected &= run_with_killed_controller(field, plan, store) == 0
                    else:
                        print_heading("a bad change: the new build rejects one request in three")
                        is_as_expected &= run("rollout", "start", plan, "--store", store) == 1
                        run("rollout", "history", "--store", store)
                changed = [n for n, node in field.nodes.items() if "new" in node.started_builds]
                print(f"routers changed: {len(changed)}; requests: {dict(load.counts)}", flush=True)
                is_as_expected &= load.counts["lost"] == 0 and len(changed) == (6 if defect == "sound" else 1)
    print("\nboth rollouts ended as expected" if is_as_expected else "\nNOT as expected")
    return 0 if is_as_expected else 1


if __name__ == "__main__":
    sys.exit(main())
