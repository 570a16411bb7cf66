"""Tests of the controller in virtual time, of its drivers with real processes, and of placements.

The controller is killed between any two effects and stalled past the end of its lease.
"""

from __future__ import annotations

import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
import unittest
from concurrent.futures import Future, ThreadPoolExecutor
from pathlib import Path
from typing import Any, cast

import pytest
from click.testing import CliRunner

from kelpcroft.cli import main
from kelpcroft.cli.controller import RolloutController, begin_or_continue_run
from kelpcroft.rollout.events import CommandKind, Event, NoResponse, RouterCommand, Tick
from kelpcroft.rollout.phases import RolloutOutcome
from kelpcroft.rollout.plan import RolloutPlan, RouterTarget
from kelpcroft.rollout.plan_file import load_plan
from kelpcroft.rollout.router_drivers import CommandDriver, LocalProcessDriver, RouterDriver
from kelpcroft.rollout.snapshot import from_snapshot as restored
from kelpcroft.rollout.snapshot import to_snapshot
from kelpcroft.store.rollouts import LeaseLostError, RolloutStore, StoredRun
from testbed.rollouts import S, SimulatedFleet, make_plan
from testbed.stand_ins import ROOT

SHORT_PLAN = (
    'stage "one" count=1 least="5s" most="300s"\nstage "half" share="50%" least="5s" most="300s"\n'
    'stage "all" share="100%" least="5s" most="300s"\n',
    'limits at-once=2 per-zone=1\nwatch every="1s" slowest="5s" ready="10s" cold="2s" unknown=1\n'
    'stop harm=0.15\nact repeat=#true { apply "a"; undo "b" }\n',
)


class ProcessKilled(BaseException):
    """Simulates a kill of the controller's process; not an Exception, so that no handler catches it."""


class ImmediateExecutor:
    """Executor that runs each task immediately in the submitting thread."""

    def submit(self, function: Any, *arguments: Any) -> Future[Any]:
        future: Future[Any] = Future()
        future.set_result(function(*arguments))
        return future

    def shutdown(self, **_: object) -> None:
        pass


class ControlledFleet(SimulatedFleet):
    """Simulated routers of a plan, led by the controller under test instead of a rollout of their own."""

    def deliver(self, event: Event) -> None:
        pass


class FleetDriver(RouterDriver):
    """Driver of the simulated routers; the controller is killed at the command with number ``dies_at``."""

    def __init__(self, plan: RolloutPlan, fleet: ControlledFleet, dies_at: int = 0) -> None:
        super().__init__(plan)
        self.fleet, self.dies_at, self.command_count = fleet, dies_at, 0

    def poll(self, target: RouterTarget) -> Event:
        return self.fleet.poll_router(self.fleet.routers[target.name])

    def execute(self, target: RouterTarget, kind: CommandKind) -> str:
        self.command_count += 1
        if self.command_count == self.dies_at:
            raise ProcessKilled
        self.fleet.carry_out(RouterCommand(target.name, kind))
        return ""


class KillableStore(RolloutStore):
    """Store whose controller is killed at a numbered step, before or after its commit.

    ``keeps_lease`` makes the controller end without releasing its lease, as a killed process does.
    """

    def __init__(self) -> None:
        super().__init__(":memory:")
        self.step_count, self.dies_before, self.dies_after, self.keeps_lease = 0, 0, 0, False

    def commit_step(self, *arguments: Any, **options: Any) -> None:
        self.step_count += 1
        if self.step_count == self.dies_before:
            raise ProcessKilled
        super().commit_step(*arguments, **options)
        if self.step_count == self.dies_after:
            raise ProcessKilled

    def release_lease(self, run_id: int, owner: str) -> None:
        if not self.keeps_lease:
            super().release_lease(run_id, owner)


class ControllerInVirtualTime(unittest.TestCase):
    def setUp(self) -> None:
        self.plan = make_plan(2, 3, *SHORT_PLAN)
        self.fleet = ControlledFleet(self.plan, 1, lambda *_: 0.0, rate=60.0)
        self.store = KillableStore()
        self.addCleanup(self.store.close)
        self.pending_s = 0.0

    def sleep(self, seconds: float) -> None:
        self.pending_s += seconds
        if self.fleet.now > 3_000 * S:
            run = self.store.newest_run()
            self.fail(f"run not over: {run.snapshot['why'] if run else ''}: {self.store.history(1)[-6:]}")
        while self.pending_s >= 1:
            self.pending_s -= 1
            self.fleet.run_second()

    def controller(self, driver: RouterDriver, run: StoredRun | None = None) -> RolloutController:
        run = run or begin_or_continue_run(self.store, b"plan", self.plan, lambda: self.fleet.now)
        controller = RolloutController(
            self.store, run, self.plan, lambda entry: None, driver, lambda: self.fleet.now, self.sleep
        )
        controller.pool = cast(ThreadPoolExecutor, ImmediateExecutor())
        return controller

    def lead(self, dies_at: int = 0) -> RolloutOutcome:
        return self.controller(FleetDriver(self.plan, self.fleet, dies_at)).lead()

    def is_killed_and_continued(self, kind: str, number: int) -> bool:
        """Kill the controller at a place; its successor must finish the run, with each router changed once.

        Args:
            kind: "before" or "after" the commit of a step, or at a "command" to a router.
            number: The number of the step or command.

        Returns:
            Whether the run was long enough for the controller to be killed at this place.
        """
        self.setUp()
        self.store.dies_before = number if kind == "before" else 0
        self.store.dies_after = number if kind == "after" else 0
        self.store.keeps_lease = True  # a killed process does not release its lease
        was_killed = False
        try:
            assert self.lead(number if kind == "command" else 0) == RolloutOutcome.DONE
        except ProcessKilled:
            was_killed = True
        self.store.keeps_lease = False
        run = self.store.newest_run()
        if was_killed and run is not None and run.outcome != "done":
            with pytest.raises(LeaseLostError) as raised:
                self.lead()  # the lease of the killed controller has not expired
            assert (raised.value.path, raised.value.run_id) == (self.store.path, run.id)
            assert str(raised.value) == f"run {run.id} is led by another controller"
            self.sleep(16.0)
            assert self.lead() == RolloutOutcome.DONE, (kind, number)
        for router in self.fleet.routers.values():
            assert (router.build, router.instance, router.in_service) == ("beef", 2, True), (
                kind,
                number,
                router.name,
            )
        names = [row["name"] for row in self.store.history(1)]
        assert (names.count("done"), names.count("begun")) == (1, 6), (kind, number)
        return was_killed

    def test_killed_between_any_two_effects(self) -> None:
        for kind in ("before", "after", "command"):
            number = 1
            while self.is_killed_and_continued(kind, number):
                number += 1
            assert number > 18, f"{kind}: killed at fewer places than a run has commands"

    def test_a_controller_stalled_past_its_lease_sends_no_commands(self) -> None:
        """A controller that stalled for 30 s, while its successor led, must not send commands afterwards."""
        driver = FleetDriver(self.plan, self.fleet)
        first, command_counts = self.controller(driver), []

        def stall(seconds: float) -> None:
            self.sleep(seconds)
            if driver.command_count >= 4 and not command_counts:
                command_counts.append(driver.command_count)
                self.sleep(30.0)
                assert self.lead() == RolloutOutcome.DONE

        first.sleep = stall
        with pytest.raises(LeaseLostError):
            first.lead()
        assert [driver.command_count] == command_counts, "the stalled controller sent a command afterwards"
        assert {(router.build, router.instance) for router in self.fleet.routers.values()} == {("beef", 2)}

    def test_a_zone_without_responses_holds_the_rollout(self) -> None:
        """More silent routers than ``unknown`` hold the rollout, which names them and then finishes."""

        class SilentZoneDriver(FleetDriver):
            is_silent = False

            def poll(self, target: RouterTarget) -> Event:
                return (
                    NoResponse(target.name)
                    if self.is_silent and target.zone == "z0"
                    else super().poll(target)
                )

        driver = SilentZoneDriver(self.plan, self.fleet)
        controller = self.controller(driver)
        iterations = [0]

        def sleep(seconds: float) -> None:
            self.sleep(seconds)
            iterations[0] += 1
            driver.is_silent = 60 <= iterations[0] < 140
            if iterations[0] == 139:
                run = self.store.newest_run()
                assert run is not None
                assert run.outcome == "held"
                assert "do not answer: n0-0, n0-1" in run.snapshot["why"]
            if iterations[0] == 160:
                self.store.add_operator_command(1, self.fleet.now, "resume")

        controller.sleep = sleep
        assert controller.lead() == RolloutOutcome.DONE
        assert {router.instance for router in self.fleet.routers.values()} == {2}


class Drivers(unittest.TestCase):
    """The drivers with real processes."""

    def plan(self, act_node: str, folder: Path, control: int, more_nodes: str = "") -> RolloutPlan:
        text = (
            'rollout version=1\nchange { program build="beef"; }\nrouter "n1" zone="edge-1" '
            f'control="127.0.0.1:{control}" config="{folder}/config.json" rules="{folder}/rules.kdl"\n'
            f'stage "all" share="100%" least="60s" most="5m"\n{act_node}\n{more_nodes}'
        )
        plan, diagnostics = load_plan(text.encode())
        assert diagnostics == []
        return plan

    def test_a_tool_that_fails_or_hangs_is_reported_with_its_output(self) -> None:
        with tempfile.TemporaryDirectory() as name:
            python = sys.executable
            plan = self.plan(
                f'act timeout="400ms" {{ apply "{python}" "-c" "print(\'no {{router}}\'); exit(3)"; '
                f'undo "{python}" "-c" "import time; time.sleep(9)"; restart "/nowhere/at/all" }}',
                Path(name),
                1,
            )
            driver, target = CommandDriver(plan), plan.routers[0]
            assert "ended with 3: no n1" in driver.execute(target, CommandKind.APPLY)
            assert "timed out" in driver.execute(target, CommandKind.UNDO)
            assert "No such file" in driver.execute(target, CommandKind.RESTART)

    def test_local_processes(self) -> None:
        """A process is started if none runs, left alone if it is as commanded, and replaced otherwise."""
        with (
            tempfile.TemporaryDirectory() as name,
            socket.create_server(("127.0.0.1", 0)) as listener,
            socket.create_server(("127.0.0.1", 0)) as control_listener,
        ):
            folder, ports = Path(name), (listener.getsockname()[1], control_listener.getsockname()[1])
            listener.close()
            control_listener.close()
            raw = json.loads((ROOT / "examples/config.json").read_text())
            raw |= {"name": "n1", "listen": f"127.0.0.1:{ports[0]}", "mgmt": f"127.0.0.1:{ports[1]}"}
            (folder / "config.json").write_text(json.dumps(raw))
            (folder / "rules.kdl").write_text(
                'kelpcroft version=1\ncontrol state=#true\nroute "rest" { match; }\n'
            )
            plan = self.plan(f'act local=#true {{ old "{ROOT}"; new "{ROOT}" }}', folder, ports[1])
            driver, target = LocalProcessDriver(plan), plan.routers[0]
            try:
                assert driver.execute(target, CommandKind.UNDO) == ""
                first = self.instance(driver, target)
                assert driver.execute(target, CommandKind.UNDO) == ""
                assert self.instance(driver, target) == first, "the old build already runs there"
                assert driver.execute(target, CommandKind.RESTART) == ""
                second = self.instance(driver, target)
                assert second != first
                assert driver.execute(target, CommandKind.APPLY) == "", (
                    "the running build's digest is not that of the new build"
                )
                assert self.instance(driver, target) != second
                plan = self.plan(f'act local=#true {{ old "{ROOT}"; new "/nowhere" }}', folder, ports[1])
                assert "/nowhere" in LocalProcessDriver(plan).start_process(target, Path("/nowhere"))
            finally:
                os.kill(int(self.instance(driver, target).partition("-")[0]), signal.SIGKILL)
                for child in driver.children:
                    child.wait()

    def instance(self, driver: RouterDriver, target: RouterTarget) -> str:
        deadline_s = time.monotonic() + 20
        while time.monotonic() < deadline_s:
            try:
                raw = driver.request_control(target, "GET", "state")
                if raw["ready"] or raw["why"] == "no list of servers yet":
                    return str(raw["instance"])
            except (OSError, ValueError):
                pass
            time.sleep(0.05)
        raise AssertionError("the router does not respond within 20 s")

    def test_a_zombie_process_counts_as_ended(self) -> None:
        """A zombie process counts as ended.

        The pid of a process stays in use until its parent collects the exit status.  With a slow parent, the
        driver reported that the process had not ended, and the change counted as failed.
        """
        child = subprocess.Popen([sys.executable, "-c", "import time; time.sleep(60)"])
        try:
            with tempfile.TemporaryDirectory() as name:
                driver = LocalProcessDriver(
                    self.plan(f'act local=#true {{ old "{ROOT}"; new "{ROOT}" }}', Path(name), 1)
                )
                assert driver.stop_process(child.pid) == ""
        finally:
            child.kill()
            child.wait()

    def test_another_router_at_the_address_is_left_alone(self) -> None:
        with tempfile.TemporaryDirectory() as name:
            plan = self.plan(f'act local=#true {{ old "{ROOT}"; new "{ROOT}" }}', Path(name), 1)
            driver = LocalProcessDriver(plan)
            driver.request_control = lambda *_: {"name": "n2", "build": "x", "instance": f"{os.getpid()}-1"}  # type: ignore
            assert "is another router" in driver.execute(plan.routers[0], CommandKind.APPLY)


class Placements(unittest.TestCase):
    """The share of objects that two builds place on different caches; each build prints its placement."""

    def plan(self, old: str, new: str) -> str:
        python = sys.executable
        command = (
            '"{}" "-c" "from kelpcroft.cli import main; main()" "homes" "--config" "{}" "--format" "json"'
        )
        return (
            'rollout version=1\nchange { settings digest="beef"; }\nrouter "n1" zone="edge-1"\n'
            'stage "all" share="100%" least="60s" most="5m"\n'
            f"homes {{ old {command.format(python, old)}; new {command.format(python, new)} }}\n"
        )

    def preview_after(self, change: Any) -> str:
        with tempfile.TemporaryDirectory() as name:
            raw = json.loads((ROOT / "examples/config.json").read_text())
            endpoints = raw["known"]["events"][0]["members"]["endpoints"]
            for n in range(3):
                endpoints.append({**endpoints[0], "name": f"s-more-{n}", "address": f"127.0.0.1:{9_500 + n}"})
            (Path(name) / "old.json").write_text(json.dumps(raw))
            change(raw)
            (Path(name) / "new.json").write_text(json.dumps(raw))
            (Path(name) / "plan.kdl").write_text(self.plan(f"{name}/old.json", f"{name}/new.json"))
            completed = subprocess.run(
                [
                    sys.executable,
                    "-c",
                    f"from kelpcroft.cli import main; main(['rollout', 'plan', '{name}/plan.kdl'])",
                ],
                cwd=ROOT,
                capture_output=True,
                text=True,
                timeout=60,
            )
            assert completed.returncode == 0, completed.stdout + completed.stderr
            return completed.stdout

    def test_the_share_that_moves(self) -> None:
        assert "0.0% of objects have another home" in self.preview_after(lambda raw: None)

        def remove_cache(raw: dict[str, Any]) -> None:
            del raw["known"]["events"][0]["members"]["endpoints"][-1]

        share = float(self.preview_after(remove_cache).split("edge-1: ")[1].split("%")[0])
        assert 20 < share < 30, "one of four caches is removed, so a quarter of the objects moves"

        def add_weight(raw: dict[str, Any]) -> None:
            raw["settings"]["weight_source"] = "nominal"
            raw["known"]["events"][0]["members"]["endpoints"][-1]["weight"] = 3

        share = float(self.preview_after(add_weight).split("edge-1: ")[1].split("%")[0])
        assert 15 < share < 40, "the cache with weight 3 gets half of the objects instead of a quarter"

    def test_placements_that_cannot_be_determined_are_reported(self) -> None:
        assert "homes not known: zone edge-1" in self.preview_after(lambda raw: raw.update(settings=5))

    def test_homes_prints_the_placement_of_one_build(self) -> None:
        result = CliRunner().invoke(
            main, ["homes", "--config", str(ROOT / "examples/config.json"), "--objects", "50"]
        )
        assert "s-cache: 50" in result.output


class ControlGroupsAndMemory(unittest.TestCase):
    """Control groups and memory, in virtual time."""

    STAGES = (
        'stage "one" count=1 least="30s" most="900s" control=1\n'
        'stage "half" share="50%" least="30s" most="900s"\n'
        'stage "all" share="100%" least="30s" most="900s"\n'
    )
    LIMITS = (
        'limits at-once=3 per-zone=2\nact { apply "a"; undo "b"; restart "c" }\n'
        'watch every="1s" slowest="30s" ready="10s" cold="60s" unknown=1\n'
    )

    def run_with(self, late_share: Any) -> SimulatedFleet:
        fleet = SimulatedFleet(make_plan(2, 4, self.STAGES, self.LIMITS), 1, late_share)
        fleet.run()
        return fleet

    def test_a_cold_start_is_no_regression_and_a_worse_one_is(self) -> None:
        def late_while_cold(fleet: SimulatedFleet, router: Any, cls: str) -> float:
            return 0.3 if router.instance > 1 and fleet.now - router.started < 50 * S else 0.0

        fleet = self.run_with(late_while_cold)
        assert fleet.rollout.outcome == RolloutOutcome.DONE, fleet.rollout.reason
        restarted = [name for _, name, kind in fleet.commands if kind is CommandKind.RESTART]
        assert len(restarted) == 1
        assert all(router.in_service and router.build == "beef" for router in fleet.routers.values())

        def worse_while_cold(fleet: SimulatedFleet, router: Any, cls: str) -> float:
            return (
                0.6
                if router.build == "beef" and fleet.now - router.started < 50 * S
                else late_while_cold(fleet, router, cls)
            )

        fleet = self.run_with(worse_while_cold)
        assert fleet.rollout.outcome == RolloutOutcome.ROLLED_BACK
        assert "worse" in [n.name for n in fleet.history]
        assert {router.build for router in fleet.routers.values()} == {"old"}
        assert all(router.in_service for router in fleet.routers.values())
        assert max(fleet.max_unavailable.get(f"z{n}", 0) for n in range(2)) <= 2

    def test_the_limits_of_control_groups_are_checked(self) -> None:
        good = f'rollout version=1\nchange {{ program build="beef"; }}\n{self.STAGES}{self.LIMITS}' + "".join(
            f'router "n{n}" zone="z"\n' for n in range(3)
        )
        assert load_plan(good.encode())[1] == []
        for old, new, code in (
            ("per-zone=2", "per-zone=1", "control-room"),
            ('; restart "c"', "", "no-restart"),
            ("count=1 ", "count=2 ", "control-many"),
            ("control=1", "control=3", "control-few"),
        ):
            with self.subTest(code=code):
                assert code in [f.code for f in load_plan(good.replace(old, new).encode())[1]]

    def test_a_leak_is_detected_and_a_larger_process_is_no_leak(self) -> None:
        for growth, expected in ((0.5, RolloutOutcome.ROLLED_BACK), (0.0, RolloutOutcome.DONE)):
            fleet = SimulatedFleet(make_plan(2, 3), 1, lambda *_: 0.0)
            for _ in range(3_000):
                fleet.run_second()
                for router in fleet.routers.values():
                    if router.build == "beef":
                        router.memory_mb = max(router.memory_mb, 40.0) + growth
                if fleet.rollout.outcome in (
                    RolloutOutcome.DONE,
                    RolloutOutcome.ROLLED_BACK,
                    RolloutOutcome.HELD,
                ):
                    break
            assert fleet.rollout.outcome == expected, fleet.rollout.reason
            assert ("memory" in [n.name for n in fleet.history]) == (growth > 0)
            if growth:
                assert len(fleet.changed_routers) == 1

    def test_a_restart_within_a_control_group_continues_the_rollout(self) -> None:
        fleet = SimulatedFleet(make_plan(2, 4, self.STAGES, self.LIMITS), 1, lambda *_: 0.0)
        for n in range(3_000):
            if n % 11 == 10:
                raw = json.loads(json.dumps(to_snapshot(fleet.rollout)))
                fleet.rollout = restored(fleet.plan, raw)
                for effect in fleet.rollout.resume_after_takeover(fleet.now, True):
                    if isinstance(effect, RouterCommand) and effect.kind is not CommandKind.RESTART:
                        fleet.carry_out(effect)
            fleet.run_second()
            if fleet.rollout.outcome is not RolloutOutcome.RUNNING:
                break
        fleet.deliver(Tick())
        assert fleet.rollout.outcome == RolloutOutcome.DONE, fleet.rollout.reason


if __name__ == "__main__":
    unittest.main()
