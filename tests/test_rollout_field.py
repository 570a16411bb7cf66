"""A rollout over real processes: routers of two zones under load, a controller of its own, and faults that
fire on events."""

from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
import tempfile
import time
import unittest
from collections import Counter
from pathlib import Path
from typing import Any

from kelpcroft.store.identity import program_digest
from testbed.field import ClientLoad, Relay, RouterField, build_program
from testbed.field.relay import LinkMode
from testbed.stand_ins import PROGRAM_DIR, ROOT

LONGEST_S = 150.0  # a run that takes so long has failed


class Controller:
    """`kelpcroft rollout start` as a process, on a store of its own."""

    def __init__(self, folder: Path, plan: str) -> None:
        self.folder = folder
        (folder / "plan.kdl").write_text(plan)
        self.processes: list[subprocess.Popen[str]] = []

    def start(self) -> subprocess.Popen[str]:
        words = ["rollout", "start", str(self.folder / "plan.kdl"), "--store", str(self.folder / "store.db")]
        with (self.folder / "out").open("a") as out:
            self.processes.append(
                subprocess.Popen(
                    [sys.executable, "-c", f"from kelpcroft.cli import main; main({words!r})"],
                    cwd=ROOT,
                    stdout=out,
                    stderr=out,
                    env={**os.environ, "PYTHONPATH": str(ROOT)},
                    text=True,
                )
            )
        return self.processes[-1]

    def verb(self, *words: str) -> str:
        done = subprocess.run(
            [sys.executable, "-c", f"from kelpcroft.cli import main; main({['rollout', *words]!r})"],
            cwd=ROOT,
            capture_output=True,
            text=True,
            timeout=30,
        )
        return done.stdout + done.stderr

    def history(self) -> list[dict[str, Any]]:
        path = self.folder / "store.db"
        if not path.exists():
            return []
        told = self.verb("history", "--store", str(path), "--format", "json")
        return json.loads(told) if told.startswith("[") else []  # type: ignore[no-any-return]

    def said(self) -> str:
        return (self.folder / "out").read_text()

    def end(self) -> None:
        for process in self.processes:
            process.kill()
            process.wait()


class Rollouts(unittest.TestCase):
    """A field and a controller for each test, ended with it."""

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)

    def field(self, defect: str, zones: int = 2, each: int = 3, **more: Any) -> tuple[RouterField, str]:
        builds = {"old": PROGRAM_DIR, "new": build_program(self.folder / "new", defect)}
        field = RouterField(zones, each, builds, **more)
        field.__enter__()
        self.addCleanup(field.__exit__)
        return field, program_digest(builds["new"] / "kelpcroft")

    def controller(self, plan: str) -> Controller:
        made = Controller(self.folder, plan)
        self.addCleanup(made.end)
        return made

    def finish(self, process: subprocess.Popen[str], controller: Controller) -> int:
        try:
            return process.wait(LONGEST_S)
        except subprocess.TimeoutExpired:
            self.fail(f"not over: {controller.said()}")


class OnAField(Rollouts):
    def test_a_sound_change_with_a_controller_that_is_killed_twice(self) -> None:
        """Killed when the third router is being changed, and again when the fifth is: each router is changed
        once, no request is lost, and the history has every decision."""
        field, digest = self.field("sound")
        controller = self.controller(field.rollout_plan(digest))
        killed: list[int] = []

        def kill(node: object) -> None:
            applied = sum(verb == "apply" for verb, _ in field.orders)
            if applied in (3, 5) and applied not in killed:
                killed.append(applied)
                controller.processes[-1].send_signal(signal.SIGKILL)

        field.on_order["apply"] = kill
        with ClientLoad(field) as load:
            code = -signal.SIGKILL
            while code == -signal.SIGKILL and len(controller.processes) < 4:
                code = self.finish(controller.start(), controller)
                if code == 2 and "led by another" in controller.said():
                    time.sleep(1)  # the lease of the killed one has not ended
                    code = -signal.SIGKILL
                    controller.processes.pop()
        self.assertEqual(code, 0, controller.said())
        self.assertEqual(killed, [3, 5])
        self.assertEqual(
            {n: node.started_builds for n, node in field.nodes.items()},
            dict.fromkeys(field.nodes, ["old", "new"]),
        )
        self.assertEqual(load.counts["lost"], 0, load.counts)
        self.assertGreater(load.counts["served"], 1_000)
        names = Counter(row["name"] for row in controller.history())
        self.assertEqual((names["begun"], names["stage-good"], names["done"], names["resumed"]), (6, 3, 1, 2))

    def test_a_build_that_refuses_is_taken_back_after_one_router(self) -> None:
        field, digest = self.field("refuses")
        controller = self.controller(field.rollout_plan(digest))
        with ClientLoad(field) as load:
            self.assertEqual(self.finish(controller.start(), controller), 1, controller.said())
        touched = [name for name, node in field.nodes.items() if "new" in node.started_builds]
        self.assertEqual(len(touched), 1)
        self.assertEqual(field.nodes[touched[0]].started_builds, ["old", "new", "old"])
        self.assertIn("does worse in zone", controller.said())
        self.assertIn("the harm is gone", controller.said())
        self.assertEqual(load.counts["lost"], 0, load.counts)
        worse = next(row for row in controller.history() if row["name"] == "worse")
        self.assertTrue(any(x["verdict"] == "worse" and x["mean"] > 0.1 for x in worse["figures"].values()))

    def test_signs_that_need_no_statistics_and_links_that_lie(self) -> None:
        """A build that is never ready is taken back; the link to another router answers garbage meanwhile,
        which is never taken for good or bad."""
        field, digest = self.field("never-ready")
        with Relay(field.nodes["z1-2"].control_address) as relay:
            plan = field.rollout_plan(digest, control={"z1-2": relay.address}).replace(
                'ready="15s"', 'ready="4s"'
            )
            controller = self.controller(plan)
            field.on_order["apply"] = lambda node: relay.change(LinkMode.GARBAGE)
            self.assertEqual(self.finish(controller.start(), controller), 1, controller.said())
        self.assertIn("not-ready", controller.said())
        self.assertEqual(sum("new" in node.started_builds for node in field.nodes.values()), 1)
        self.assertEqual({node.started_builds[-1] for node in field.nodes.values()}, {"old"})

    def test_two_controllers_and_people(self) -> None:
        """The second cannot lead; hold, status and revert do what they say."""
        field, digest = self.field("sound", zones=1, each=3)
        controller = self.controller(field.rollout_plan(digest).replace('least="3s"', 'least="20s"'))
        first = controller.start()
        store = ["--store", str(self.folder / "store.db")]
        while not any(row["name"] == "begun" for row in controller.history()):
            self.assertIsNone(first.poll(), controller.said())
            time.sleep(0.2)
        second = controller.start()
        self.assertEqual(self.finish(second, controller), 2)
        self.assertIn("led by another controller", controller.said())
        self.assertIn("said to run 1", controller.verb("hold", *store))
        while "held" not in controller.verb("status", *store):
            time.sleep(0.2)
        controller.verb("revert", *store)
        self.assertEqual(self.finish(first, controller), 1)
        self.assertEqual({node.started_builds[-1] for node in field.nodes.values()}, {"old"})
        self.assertIn("is over", controller.verb("hold", *store))
