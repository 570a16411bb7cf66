"""Base class of rollout tests with real routers and a controller process, which end with their test."""

from __future__ import annotations

import json
import os
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path
from typing import Any

from kelpcroft.store.identity import program_digest
from testbed.field import RouterField, build_program
from testbed.stand_ins import PROGRAM_DIR, ROOT

ROLLOUT_TIMEOUT_S = 150.0  # seconds after which a rollout counts as failed


class Controller:
    """`kelpcroft rollout start` as a process, with its own store."""

    def __init__(self, folder: Path, plan: str) -> None:
        self.folder = folder
        (folder / "plan.kdl").write_text(plan)
        self.processes: list[subprocess.Popen[str]] = []

    def start(self) -> subprocess.Popen[str]:
        arguments = [
            "rollout",
            "start",
            str(self.folder / "plan.kdl"),
            "--store",
            str(self.folder / "store.db"),
        ]
        with (self.folder / "out").open("a") as log:
            self.processes.append(
                subprocess.Popen(
                    [sys.executable, "-c", f"from kelpcroft.cli import main; main({arguments!r})"],
                    cwd=ROOT,
                    stdout=log,
                    stderr=log,
                    env={**os.environ, "PYTHONPATH": str(ROOT)},
                    text=True,
                )
            )
        return self.processes[-1]

    def run_command(self, *arguments: str) -> str:
        completed = subprocess.run(
            [sys.executable, "-c", f"from kelpcroft.cli import main; main({['rollout', *arguments]!r})"],
            cwd=ROOT,
            capture_output=True,
            text=True,
            timeout=30,
        )
        return completed.stdout + completed.stderr

    def history(self) -> list[dict[str, Any]]:
        path = self.folder / "store.db"
        if not path.exists():
            return []
        output = self.run_command("history", "--store", str(path), "--format", "json")
        return json.loads(output) if output.startswith("[") else []  # type: ignore[no-any-return]

    def output(self) -> str:
        return (self.folder / "out").read_text()

    def kill(self) -> None:
        for process in self.processes:
            process.kill()
            process.wait()


class RolloutTestCase(unittest.TestCase):
    """Base class of rollout tests; routers and controller of a test end with it."""

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)

    def field(
        self, defect: str, zones: int = 2, routers_per_zone: int = 3, **options: Any
    ) -> tuple[RouterField, str]:
        builds = {"old": PROGRAM_DIR, "new": build_program(self.folder / "new", defect)}
        field = RouterField(zones, routers_per_zone, builds, **options)
        field.__enter__()
        self.addCleanup(field.__exit__)
        return field, program_digest(builds["new"] / "kelpcroft")

    def controller(self, plan: str) -> Controller:
        controller = Controller(self.folder, plan)
        self.addCleanup(controller.kill)
        return controller

    def wait_for_exit(self, process: subprocess.Popen[str], controller: Controller) -> int:
        try:
            return process.wait(ROLLOUT_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            self.fail(f"the controller has not ended: {controller.output()}")
