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
from kelpcroft.rollout.events import CommandKind, Event, NoAnswer, RouterCommand, Tick
from kelpcroft.rollout.phases import RolloutOutcome
from kelpcroft.rollout.plan import RolloutPlan, RouterTarget
from kelpcroft.rollout.plan_file import load_plan
from kelpcroft.rollout.router_drivers import CommandDriver, LocalProcessDriver, RouterDriver
from kelpcroft.rollout.snapshot import from_snapshot as restored
from kelpcroft.rollout.snapshot import to_snapshot
from kelpcroft.store.rollouts import LeaseLostError, RolloutStore, StoredRun
from testbed.rollouts import S, SimulatedFleet, make_plan
from testbed.stand_ins import ROOT

QUICK = (
    'stage "one" count=1 least="5s" most="300s"\nstage "half" share="50%" least="5s" most="300s"\n'
    'stage "all" share="100%" least="5s" most="300s"\n',
    'limits at-once=2 per-zone=1\nwatch every="1s" slowest="5s" ready="10s" cold="2s" unknown=1\n'
    'stop harm=0.15\nact repeat=#true { apply "a"; undo "b" }\n',
)


class Dead(BaseException):
    """Simulates the death of the controller's process; not an Exception, so that no handler catches it."""


class At_once:
    """Executor that runs each task immediately in the submitting thread."""

    def submit(self, do: Any, *words: Any) -> Future[Any]:
        future: Future[Any] = Future()
        future.set_result(do(*words))
        return future

    def shutdown(self, **_: object) -> None:
        pass


class Routers(SimulatedFleet):
    """Simulated routers of a plan, led by the controller under test instead of a rollout of their own."""

    def deliver(self, event: Event) -> None:
        pass


class Fake(RouterDriver):
    """Driver of the simulated routers; the controller dies at the command with the number ``dies_at``."""

    def __init__(self, plan: RolloutPlan, world: Routers, dies_at: int = 0) -> None:
        super().__init__(plan)
        self.world, self.dies_at, self.orders = world, dies_at, 0

    def poll(self, target: RouterTarget) -> Event:
        return self.world.answer(self.world.routers[target.name])

    def execute(self, target: RouterTarget, kind: CommandKind) -> str:
        self.orders += 1
        if self.orders == self.dies_at:
            raise Dead
        self.world.carry_out(RouterCommand(target.name, kind))
        return ""


class Mortal(RolloutStore):
    """Store whose user dies at a numbered step, before or after its commit, without releasing the lease."""

    def __init__(self) -> None:
        super().__init__(":memory:")
        self.steps, self.dies_before, self.dies_behind, self.dead = 0, 0, 0, False

    def commit_step(self, *words: Any, **more: Any) -> None:
        self.steps += 1
        if self.steps == self.dies_before:
            raise Dead
        super().commit_step(*words, **more)
        if self.steps == self.dies_behind:
            raise Dead

    def release_lease(self, run: int, owner: str) -> None:
        if not self.dead:
            super().release_lease(run, owner)


class InVirtualTime(unittest.TestCase):
    def setUp(self) -> None:
        self.plan = make_plan(2, 3, *QUICK)
        self.world = Routers(self.plan, 1, lambda *_: 0.0, rate=60.0)
        self.store = Mortal()
        self.addCleanup(self.store.close)
        self.owed = 0.0

    def sleep(self, seconds: float) -> None:
        self.owed += seconds
        if self.world.now > 3_000 * S:
            run = self.store.newest_run()
            self.fail(f"run not over: {run.snapshot['why'] if run else ''}: {self.store.history(1)[-6:]}")
        while self.owed >= 1:
            self.owed -= 1
            self.world.run_second()

    def controller(self, hands: RouterDriver, run: StoredRun | None = None) -> RolloutController:
        run = run or begin_or_continue_run(self.store, b"plan", self.plan, lambda: self.world.now)
        made = RolloutController(
            self.store, run, self.plan, lambda note: None, hands, lambda: self.world.now, self.sleep
        )
        made.pool = cast(ThreadPoolExecutor, At_once())
        return made

    def lead(self, dies_at: int = 0) -> RolloutOutcome:
        return self.controller(Fake(self.plan, self.world, dies_at)).lead()

    def survives(self, what: str, at: int) -> bool:
        """Kill the controller at a place; its successor must finish the run, with each router changed once.

        Args:
            what: Before or behind the commit of a step, or at an order to a router.
            at: The number of the step or order.

        Returns:
            Whether the run was long enough for the controller to die at this place.
        """
        self.setUp()
        self.store.dies_before = at if what == "before" else 0
        self.store.dies_behind = at if what == "behind" else 0
        self.store.dead = True  # a process that dies does not release its lease
        died = False
        try:
            assert self.lead(at if what == "order" else 0) == RolloutOutcome.DONE
        except Dead:
            died = True
        self.store.dead = False
        last = self.store.newest_run()
        if died and last is not None and last.outcome != "done":
            with pytest.raises(LeaseLostError) as raised:
                self.lead()  # the lease of the dead controller has not expired
            assert (raised.value.path, raised.value.run_id) == (self.store.path, last.id)
            assert str(raised.value) == f"run {last.id} is led by another controller"
            self.sleep(16.0)
            assert self.lead() == RolloutOutcome.DONE, (what, at)
        for p in self.world.routers.values():
            assert (p.build, p.instance, p.in_service) == ("beef", 2, True), (what, at, p.name)
        names = [row["name"] for row in self.store.history(1)]
        assert (names.count("done"), names.count("begun")) == (1, 6), (what, at)
        return died

    def test_killed_between_any_two_effects(self) -> None:
        for what in ("before", "behind", "order"):
            at = 1
            while self.survives(what, at):
                at += 1
            assert at > 18, f"{what}: fewer places than commands and the steps between them"

    def test_one_that_stood_still_past_its_lease_orders_nothing(self) -> None:
        """A controller that stalled for 30 s, while its successor led, must not send commands afterwards."""
        hands = Fake(self.plan, self.world)
        first, orders = self.controller(hands), []

        def stand_still(seconds: float) -> None:
            self.sleep(seconds)
            if hands.orders >= 4 and not orders:
                orders.append(hands.orders)
                self.sleep(30.0)
                assert self.lead() == RolloutOutcome.DONE

        first.sleep = stand_still
        with pytest.raises(LeaseLostError):
            first.lead()
        assert [hands.orders] == orders, "the stalled controller sent a command afterwards"
        assert {(p.build, p.instance) for p in self.world.routers.values()} == {("beef", 2)}

    def test_a_third_of_the_links_is_late_or_cut(self) -> None:
        """More silent routers than ``unknown`` hold the rollout, which names them and then finishes."""

        class Deaf(Fake):
            cut = False

            def poll(self, target: RouterTarget) -> Event:
                return NoAnswer(target.name) if self.cut and target.zone == "z0" else super().poll(target)

        hands = Deaf(self.plan, self.world)
        controller = self.controller(hands)
        turns = [0]

        def sleep(seconds: float) -> None:
            self.sleep(seconds)
            turns[0] += 1
            hands.cut = 60 <= turns[0] < 140
            if turns[0] == 139:
                run = self.store.newest_run()
                assert run is not None
                assert run.outcome == "held"
                assert "do not answer: n0-0, n0-1" in run.snapshot["why"]
            if turns[0] == 160:
                self.store.add_operator_command(1, self.world.now, "resume")

        controller.sleep = sleep
        assert controller.lead() == RolloutOutcome.DONE
        assert {p.instance for p in self.world.routers.values()} == {2}


class Touching(unittest.TestCase):
    """The drivers with real processes."""

    def plan(self, act: str, folder: Path, control: int, more: str = "") -> RolloutPlan:
        text = (
            'rollout version=1\nchange { program build="beef"; }\nrouter "n1" zone="edge-1" '
            f'control="127.0.0.1:{control}" config="{folder}/config.json" rules="{folder}/rules.kdl"\n'
            f'stage "all" share="100%" least="60s" most="5m"\n{act}\n{more}'
        )
        plan, faults = load_plan(text.encode())
        assert faults == []
        return plan

    def test_a_tool_that_fails_or_hangs_is_told_with_its_output(self) -> None:
        with tempfile.TemporaryDirectory() as name:
            python = sys.executable
            plan = self.plan(
                f'act timeout="400ms" {{ apply "{python}" "-c" "print(\'no {{router}}\'); exit(3)"; '
                f'undo "{python}" "-c" "import time; time.sleep(9)"; restart "/nowhere/at/all" }}',
                Path(name),
                1,
            )
            hands, target = CommandDriver(plan), plan.routers[0]
            assert "ended with 3: no n1" in hands.execute(target, CommandKind.APPLY)
            assert "timed out" in hands.execute(target, CommandKind.UNDO)
            assert "No such file" in hands.execute(target, CommandKind.RESTART)

    def test_local_processes(self) -> None:
        """A process is started if none runs, left alone if it is as commanded, and replaced otherwise."""
        with (
            tempfile.TemporaryDirectory() as name,
            socket.create_server(("127.0.0.1", 0)) as a,
            socket.create_server(("127.0.0.1", 0)) as b,
        ):
            folder, ports = Path(name), (a.getsockname()[1], b.getsockname()[1])
            a.close()
            b.close()
            raw = json.loads((ROOT / "examples/config.json").read_text())
            raw |= {"name": "n1", "listen": f"127.0.0.1:{ports[0]}", "mgmt": f"127.0.0.1:{ports[1]}"}
            (folder / "config.json").write_text(json.dumps(raw))
            (folder / "rules.kdl").write_text(
                'kelpcroft version=1\ncontrol state=#true\nroute "rest" { match; }\n'
            )
            plan = self.plan(f'act local=#true {{ old "{ROOT}"; new "{ROOT}" }}', folder, ports[1])
            hands, target = LocalProcessDriver(plan), plan.routers[0]
            try:
                assert hands.execute(target, CommandKind.UNDO) == ""
                first = self.instance(hands, target)
                assert hands.execute(target, CommandKind.UNDO) == ""
                assert self.instance(hands, target) == first, "the old build already runs there"
                assert hands.execute(target, CommandKind.RESTART) == ""
                second = self.instance(hands, target)
                assert second != first
                assert hands.execute(target, CommandKind.APPLY) == "", (
                    "its digest is not that of the new build"
                )
                assert self.instance(hands, target) != second
                plan = self.plan(f'act local=#true {{ old "{ROOT}"; new "/nowhere" }}', folder, ports[1])
                assert "/nowhere" in LocalProcessDriver(plan).start_process(target, Path("/nowhere"))
            finally:
                os.kill(int(self.instance(hands, target).partition("-")[0]), signal.SIGKILL)
                for child in hands.children:
                    child.wait()

    def instance(self, hands: RouterDriver, target: RouterTarget) -> str:
        until = time.monotonic() + 20
        while time.monotonic() < until:
            try:
                raw = hands.call_control(target, "GET", "state")
                if raw["ready"] or raw["why"] == "no list of servers yet":
                    return str(raw["instance"])
            except (OSError, ValueError):
                pass
            time.sleep(0.05)
        raise AssertionError("the router does not respond within 20 s")

    def test_an_ended_process_that_nobody_has_asked_about_has_ended(self) -> None:
        """A zombie process counts as ended.

        The pid of a process stays in use until its parent collects the exit status.  A slow parent made the
        driver report that the process did not end, so that the change counted as failed.
        """
        child = subprocess.Popen([sys.executable, "-c", "import time; time.sleep(60)"])
        try:
            with tempfile.TemporaryDirectory() as name:
                hands = LocalProcessDriver(
                    self.plan(f'act local=#true {{ old "{ROOT}"; new "{ROOT}" }}', Path(name), 1)
                )
                assert hands.stop_process(child.pid) == ""
        finally:
            child.kill()
            child.wait()

    def test_another_router_at_the_address_is_left_alone(self) -> None:
        with tempfile.TemporaryDirectory() as name:
            plan = self.plan(f'act local=#true {{ old "{ROOT}"; new "{ROOT}" }}', Path(name), 1)
            hands = LocalProcessDriver(plan)
            hands.call_control = lambda *_: {"name": "n2", "build": "x", "instance": f"{os.getpid()}-1"}  # type: ignore
            assert "is another router" in hands.execute(plan.routers[0], CommandKind.APPLY)


class Homes(unittest.TestCase):
    """The share of objects that two builds place on different caches; each build prints its placement."""

    def plan(self, old: str, new: str) -> str:
        python = sys.executable
        ask = '"{}" "-c" "from kelpcroft.cli import main; main()" "homes" "--config" "{}" "--format" "json"'
        return (
            'rollout version=1\nchange { settings digest="beef"; }\nrouter "n1" zone="edge-1"\n'
            'stage "all" share="100%" least="60s" most="5m"\n'
            f"homes {{ old {ask.format(python, old)}; new {ask.format(python, new)} }}\n"
        )

    def shown(self, change: Any) -> str:
        with tempfile.TemporaryDirectory() as name:
            raw = json.loads((ROOT / "examples/config.json").read_text())
            lines = raw["known"]["events"][0]["members"]["endpoints"]
            for n in range(3):
                lines.append({**lines[0], "name": f"s-more-{n}", "address": f"127.0.0.1:{9_500 + n}"})
            (Path(name) / "old.json").write_text(json.dumps(raw))
            change(raw)
            (Path(name) / "new.json").write_text(json.dumps(raw))
            (Path(name) / "plan.kdl").write_text(self.plan(f"{name}/old.json", f"{name}/new.json"))
            done = subprocess.run(
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
            assert done.returncode == 0, done.stdout + done.stderr
            return done.stdout

    def test_the_share_that_moves(self) -> None:
        assert "0.0% of objects have another home" in self.shown(lambda raw: None)

        def one_less(raw: dict[str, Any]) -> None:
            del raw["known"]["events"][0]["members"]["endpoints"][-1]

        share = float(self.shown(one_less).split("edge-1: ")[1].split("%")[0])
        assert 20 < share < 30, "one of four caches is removed, so a quarter of the objects moves"

        def weighted(raw: dict[str, Any]) -> None:
            raw["settings"]["weight_source"] = "nominal"
            raw["known"]["events"][0]["members"]["endpoints"][-1]["weight"] = 3

        share = float(self.shown(weighted).split("edge-1: ")[1].split("%")[0])
        assert 15 < share < 40, "the cache with weight 3 gets half of the objects instead of a quarter"

    def test_what_cannot_be_asked_is_said(self) -> None:
        assert "homes not known: zone edge-1" in self.shown(lambda raw: raw.update(settings=5))

    def test_one_build_tells_its_own(self) -> None:
        done = CliRunner().invoke(
            main, ["homes", "--config", str(ROOT / "examples/config.json"), "--objects", "50"]
        )
        assert "s-cache: 50" in done.output


class Groups(unittest.TestCase):
    """Control groups and memory, in virtual time."""

    STAGES = (
        'stage "one" count=1 least="30s" most="900s" control=1\n'
        'stage "half" share="50%" least="30s" most="900s"\n'
        'stage "all" share="100%" least="30s" most="900s"\n'
    )
    MORE = (
        'limits at-once=3 per-zone=2\nact { apply "a"; undo "b"; restart "c" }\n'
        'watch every="1s" slowest="30s" ready="10s" cold="60s" unknown=1\n'
    )

    def run_with(self, harm: Any) -> SimulatedFleet:
        world = SimulatedFleet(make_plan(2, 4, self.STAGES, self.MORE), 1, harm)
        world.run()
        return world

    def test_a_cold_start_as_such_is_no_harm_and_a_worse_one_is(self) -> None:
        def cold(world: SimulatedFleet, p: Any, cls: str) -> float:
            return 0.3 if p.instance > 1 and world.now - p.started < 50 * S else 0.0

        world = self.run_with(cold)
        assert world.rollout.outcome == RolloutOutcome.DONE, world.rollout.reason
        restarted = [name for _, name, act in world.commands if act is CommandKind.RESTART]
        assert len(restarted) == 1
        assert all(p.in_service and p.build == "beef" for p in world.routers.values())

        def colder(world: SimulatedFleet, p: Any, cls: str) -> float:
            return 0.6 if p.build == "beef" and world.now - p.started < 50 * S else cold(world, p, cls)

        world = self.run_with(colder)
        assert world.rollout.outcome == RolloutOutcome.ROLLED_BACK
        assert "worse" in [n.name for n in world.history]
        assert {p.build for p in world.routers.values()} == {"old"}
        assert all(p.in_service for p in world.routers.values())
        assert max(world.max_unavailable.get(f"z{n}", 0) for n in range(2)) <= 2

    def test_its_limits_are_checked(self) -> None:
        good = f'rollout version=1\nchange {{ program build="beef"; }}\n{self.STAGES}{self.MORE}' + "".join(
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

    def test_a_leak_is_seen_and_a_larger_process_is_none(self) -> None:
        for growth, due in ((0.5, RolloutOutcome.ROLLED_BACK), (0.0, RolloutOutcome.DONE)):
            world = SimulatedFleet(make_plan(2, 3), 1, lambda *_: 0.0)
            for _ in range(3_000):
                world.run_second()
                for p in world.routers.values():
                    if p.build == "beef":
                        p.memory_mb = max(p.memory_mb, 40.0) + growth
                if world.rollout.outcome in (
                    RolloutOutcome.DONE,
                    RolloutOutcome.ROLLED_BACK,
                    RolloutOutcome.HELD,
                ):
                    break
            assert world.rollout.outcome == due, world.rollout.reason
            assert ("memory" in [n.name for n in world.history]) == (growth > 0)
            if growth:
                assert len(world.changed_routers) == 1

    def test_it_goes_on_after_a_restart_in_the_middle_of_a_control_group(self) -> None:
        world = SimulatedFleet(make_plan(2, 4, self.STAGES, self.MORE), 1, lambda *_: 0.0)
        for n in range(3_000):
            if n % 11 == 10:
                raw = json.loads(json.dumps(to_snapshot(world.rollout)))
                world.rollout = restored(world.plan, raw)
                for effect in world.rollout.resume_after_takeover(world.now, True):
                    if isinstance(effect, RouterCommand) and effect.kind is not CommandKind.RESTART:
                        world.carry_out(effect)
            world.run_second()
            if world.rollout.outcome is not RolloutOutcome.RUNNING:
                break
        world.deliver(Tick())
        assert world.rollout.outcome == RolloutOutcome.DONE, world.rollout.reason


if __name__ == "__main__":
    unittest.main()
