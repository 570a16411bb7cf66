"""Rollouts to real processes under fault injection, and defective builds that must be stopped.

The quick tests run with all others; `pytest -m long tests/rollout/test_rollout_faults.py` runs the rest.
"""

from __future__ import annotations

import copy
import json
import os
import re
import signal
import threading
import time
import unittest
import urllib.request
from typing import Any

import pytest

from kelpcroft.store.identity import settings_digest
from testbed.field import ClientLoad, LinkMode, Relay, RouterField
from testbed.field.field import RouterNode
from testbed.stand_ins import ROOT
from tests.support.rollout_field import Controller, RolloutTestCase


class FailureTestCase(RolloutTestCase):
    """Base class with a check that the tests of this module share."""

    def run_defective_change(
        self,
        field: RouterField,
        plan: str,
        expected_text: str,
        max_changed: int = 1,
        per_s: float = 40.0,
        order_every: int = 0,
    ) -> ClientLoad:
        """Run a defective change and check that it is stopped for the expected reason and rolled back.

        Args:
            field: The routers and servers.
            plan: The text of the rollout file.
            expected_text: A text that the controller must print.
            max_changed: The change reaches at most this many routers.
            per_s: Requests per second of each client.
            order_every: One in this many requests must not run twice; 0 = none.

        Returns:
            The load that ran meanwhile.
        """
        controller = self.controller(plan)
        with ClientLoad(field, per_s, order_every) as load:
            assert self.wait_for_exit(controller.start(), controller) == 1, controller.output()
        assert expected_text in controller.output()
        changed = [name for name, node in field.nodes.items() if "new" in node.started_builds]
        assert len(changed) <= max_changed, controller.output()
        assert {node.started_builds[-1] for node in field.nodes.values()} == {"old"}
        for node in field.nodes.values():
            assert node.process is not None
            assert node.process.poll() is None, f"{node.name} is not running"
        return load


class Failures(FailureTestCase):
    @pytest.mark.long
    def test_a_sound_change_under_failures_of_all_kinds(self) -> None:
        """Network failures during a sound change must not stop it, lose a request or violate the contract.

        Twelve routers in three zones.  Dropped connections, a slow cache, a cache that resets connections and
        a silent parent are each injected at the change of a router.
        """
        field, digest = self.field("sound", 3, 4, caches_per_zone=2, parents=2, use_relays=True)
        relays, change_count = field.servers.relays, [0]

        def inject_failure(node: RouterNode) -> None:
            """Inject the next failure, at each change of a router."""
            change_count[0] += 1
            for relay in relays.values():
                relay.drop() if change_count[0] % 2 else None
            if change_count[0] < 2:
                return
            {
                2: lambda: relays["cache-z0"].change(LinkMode.DELAY),
                3: lambda: relays["cache-z1"].change(LinkMode.RESET),
                4: lambda: relays["parent1"].change(LinkMode.SILENT),
                7: lambda: relays["cache-z1"].change(LinkMode.PASS),
                9: lambda: relays["parent1"].change(LinkMode.PASS),
                10: lambda: relays["cache-z0"].change(LinkMode.PASS),
            }.get(change_count[0], lambda: None)()

        field.on_command["apply"] = inject_failure
        plan = field.rollout_plan(digest).replace("at-once=2", "at-once=3")
        controller = self.controller(plan)
        with ClientLoad(field, per_s=15.0) as load:
            assert self.wait_for_exit(controller.start(), controller) == 0, controller.output()
        assert change_count[0] == 12
        assert {tuple(n.started_builds) for n in field.nodes.values()} == {("old", "new")}
        assert field.check_contract(load, links_were_cut=True).violations == []
        assert load.counts["lost"] == 0, load.counts
        assert load.counts["served"] > 2000, load.counts

    @pytest.mark.long
    def test_a_settings_file_with_a_regression_and_a_truncated_one(self) -> None:
        """New settings by SIGHUP: valid ones that cause a regression, and a truncated file that is rejected.

        The valid ones reduce the deadline of pages to 20 ms.
        """
        for truncated, expected_text in ((False, "does worse in zone"), (True, "not-ready")):
            with self.subTest(truncated=truncated):
                self.setUp()
                self.run_settings_change(truncated, expected_text)

    def run_settings_change(self, truncated: bool, expected_text: str) -> None:
        field, _ = self.field("sound", 1, 3)

        def with_short_deadline(config: dict[str, Any]) -> dict[str, Any]:
            changed = copy.deepcopy(config)
            changed["settings"]["classes"][0]["give_up_ns"] = 20_000_000
            return changed

        write_complete = RouterNode.write

        def write_truncated(node: RouterNode, config: dict[str, Any]) -> None:
            write_complete(node, config)
            if config is not node.config:
                path = node.folder / "config.json"
                path.write_text(path.read_text()[:200])

        field.changed_config = with_short_deadline  # type: ignore[method-assign]
        field.command_action = field.reload_config
        if truncated:
            RouterNode.write = write_truncated  # type: ignore[method-assign]
            self.addCleanup(setattr, RouterNode, "write", write_complete)
        node = next(iter(field.nodes.values()))
        digest = settings_digest(with_short_deadline(node.config)["settings"])
        plan = field.rollout_plan(digest, change='settings digest="{}"').replace('ready="15s"', 'ready="4s"')
        load = self.run_defective_change(field, plan, expected_text)
        assert load.counts["served"] > 300

    def test_a_build_that_leaks(self) -> None:
        field, digest = self.field("leaks", 1, 3)
        self.run_defective_change(
            field, field.rollout_plan(digest).replace('least="3s"', 'least="8s"'), "memory", per_s=80.0
        )

    def test_upgrades_on_inherited_sockets(self) -> None:
        """Old and new process share each socket: no request is lost and the contract holds."""
        field, load = self.run_upgrades("sound")
        assert {tuple(n.started_builds) for n in field.nodes.values()} == {("old", "new")}
        assert (load.counts["lost"], field.check_contract(load).violations) == (0, []), load.counts
        assert load.counts["served"] > 300, load.counts

    def run_upgrades(
        self, defect: str, exit_code: int = 0, **failures: Any
    ) -> tuple[RouterField, ClientLoad]:
        """Run a rollout by upgrades on inherited sockets, with failures at steps of the first upgrade.

        Args:
            defect: The defect of the new build.
            exit_code: The exit code that the controller must have.
            failures: By name of the step, the function that injects a failure there.

        Returns:
            The routers and the load, once the rollout has ended.
        """
        field, digest = self.field(defect, 1, 3, share_listener=True)
        failed_nodes: list[str] = []

        def on_first_upgrade(inject: Any) -> Any:
            def at_step(node: RouterNode, old: Any, new: Any) -> None:
                if not failed_nodes:
                    failed_nodes.append(node.name)
                    inject(node, old, new)

            return at_step

        field.on_upgrade_step = {step: on_first_upgrade(inject) for step, inject in failures.items()}
        plan = field.rollout_plan(digest).replace('ready="15s"', 'ready="6s"')
        controller = self.controller(plan)
        with ClientLoad(field) as load:
            assert self.wait_for_exit(controller.start(), controller) == exit_code, controller.output()
        assert len(failed_nodes) == len(failures)
        assert {n.started_builds[-1] for n in field.nodes.values()} == {"old" if exit_code else "new"}
        return field, load

    def test_a_stall_of_the_controller_does_not_hold_the_rollout(self) -> None:
        """A process stall of the controller must not count as silence of the routers.

        At each change the controller is suspended for longer than a router may be silent, but shorter than
        its lease.  The rollout must end without a hold.
        """
        field, digest = self.field("sound", 1, 3)
        controller = self.controller(field.rollout_plan(digest))
        suspended: list[str] = []

        def pause(node: RouterNode) -> None:
            suspended.append(node.name)
            process = controller.processes[-1]
            process.send_signal(signal.SIGSTOP)
            time.sleep(2.0)
            process.send_signal(signal.SIGCONT)

        field.on_command["apply"] = pause
        with ClientLoad(field):
            assert self.wait_for_exit(controller.start(), controller) == 0, controller.output()
        assert len(suspended) == 3
        assert "held" not in [row["name"] for row in controller.history()], controller.output()

    @pytest.mark.long
    def test_an_old_process_killed_during_an_upgrade(self) -> None:
        """An old process killed instead of its SIGTERM, or right after it, loses only its own requests.

        The rollout finishes.
        """
        for step in ("ready", "signalled"):
            with self.subTest(step=step):
                self.setUp()
                field, load = self.run_upgrades(
                    "sound", **{step: lambda _, old, new: (old.kill(), old.wait())}
                )
                assert field.check_contract(load, routers_were_killed=True).violations == []
                assert load.counts["lost"] < 10, load.counts

    @pytest.mark.long
    def test_a_new_process_killed_when_the_old_one_has_ended(self) -> None:
        """A new process killed when the old one has ended: the router is silent, and the rollout is held.

        The reason names the router, or the missing evidence if the router was already warm.  An operator
        reverts the change, and the old build runs again.
        """
        field, digest = self.field("sound", 1, 3, share_listener=True)
        killed: list[str] = []

        def kill(node: RouterNode, old: Any, new: Any) -> None:
            if not killed:
                killed.append(node.name)
                new.kill()
                new.wait()

        field.on_upgrade_step["ended"] = kill
        controller = self.controller(field.rollout_plan(digest).replace('ready="15s"', 'ready="4s"'))
        store = ["--store", str(self.folder / "store.db")]
        with ClientLoad(field) as load:
            process = controller.start()
            deadline_s = time.monotonic() + 90
            while "held" not in controller.run_command("status", *store) and time.monotonic() < deadline_s:
                time.sleep(0.2)
            # The router was killed while it was cold, or when it was warm; in the second case the rollout is
            # held at the end of the stage's maximum time.
            assert re.search("has not answered|not enough evidence", controller.run_command("status", *store))
            controller.run_command("revert", *store)
            assert self.wait_for_exit(process, controller) == 1, controller.output()
        assert sum("new" in n.started_builds for n in field.nodes.values()) == 1
        assert {n.started_builds[-1] for n in field.nodes.values()} == {"old"}
        # Clients that connected while no process served the socket get no response; all other rules hold.
        violations = field.check_contract(load, routers_were_killed=True).violations
        assert [x for x in violations if not x.startswith("answered")] == []

    @pytest.mark.long
    def test_a_router_killed_during_its_reload(self) -> None:
        """The platform restarts the killed router with the changed file, and the rollout is done."""
        field, _ = self.field("sound", 1, 3)

        def with_longer_deadline(config: dict[str, Any]) -> dict[str, Any]:
            changed = copy.deepcopy(config)
            changed["settings"]["classes"][0]["give_up_ns"] += 1_000_000
            return changed

        killed: list[str] = []

        def reload_and_kill(node: RouterNode, command: str) -> None:
            field.reload_config(node, command)
            if not killed:
                killed.append(node.name)
                assert node.process is not None
                node.process.kill()
                node.process.wait()
                node.start(node.started_builds.pop(), keep=True)

        field.changed_config = with_longer_deadline  # type: ignore[method-assign]
        field.command_action = reload_and_kill
        digest = settings_digest(with_longer_deadline(next(iter(field.nodes.values())).config)["settings"])
        controller = self.controller(field.rollout_plan(digest, change='settings digest="{}"'))
        with ClientLoad(field) as load:
            code = self.wait_for_exit(controller.start(), controller)
        assert code == 0, controller.output() + "".join(n.log()[-900:] for n in field.nodes.values())
        assert len(killed) == 1
        assert field.check_contract(load, routers_were_killed=True).violations == []

    @pytest.mark.long
    def test_local_processes_of_one_machine(self) -> None:
        """The controller replaces the processes of four routers itself, without an operators' tool.

        All run the new build, no request is lost, and the new processes outlive the controller.
        """
        field, digest = self.field("sound", 2, 2)
        plan = field.rollout_plan(digest)
        plan = plan[: plan.index("act timeout")] + (
            f'act local=#true {{ old "{ROOT}"; new "{self.folder / "new"}" }}\n'
        )
        for name, node in field.nodes.items():
            files = f'config="{node.folder}/config.json" rules="{node.folder}/rules.kdl"'
            plan = plan.replace(f'router "{name}"', f'router "{name}" {files}')
        self.addCleanup(self.kill_all, field)
        controller = self.controller(plan)
        with ClientLoad(field) as load:
            assert self.wait_for_exit(controller.start(), controller) == 0, controller.output()
        states = [self.fetch_state(node) for node in field.nodes.values()]
        assert [state["build"] for state in states] == [digest] * 4
        assert load.counts["lost"] == 0, load.counts
        assert field.check_contract(load).violations == []

    def fetch_state(self, node: RouterNode) -> dict[str, Any]:
        url = f"http://{node.control_address[0]}:{node.control_address[1]}/control/state"
        with urllib.request.urlopen(url, timeout=5) as response:
            state: dict[str, Any] = json.loads(response.read())
            return state

    def kill_all(self, field: RouterField) -> None:
        """Kill the processes that the controller left running."""
        for node in field.nodes.values():
            try:
                os.kill(int(self.fetch_state(node)["instance"].partition("-")[0]), signal.SIGKILL)
            except OSError:
                continue

    def test_a_build_that_breaks_an_invariant(self) -> None:
        field, digest = self.field("breaks an invariant", 1, 3)
        self.run_defective_change(field, field.rollout_plan(digest), "broken invariants")

    @pytest.mark.long
    def test_a_router_killed_in_its_drain(self) -> None:
        """A router that is killed out of service, when its change is commanded, does not stop the rollout."""
        field, digest = self.field("sound", 1, 3)
        controller = self.controller(field.rollout_plan(digest))
        killed: list[str] = []

        def kill_first(node: RouterNode) -> None:
            if not killed:
                killed.append(node.name)
                node.end(signal.SIGKILL)

        field.on_command["apply"] = kill_first
        with ClientLoad(field) as load:
            assert self.wait_for_exit(controller.start(), controller) == 0, controller.output()
        assert len(killed) == 1
        assert {n.started_builds[-1] for n in field.nodes.values()} == {"new"}
        assert field.check_contract(load, routers_were_killed=True).violations == []


@pytest.mark.long
class Long(FailureTestCase):
    """Tests that take minutes."""

    def test_defective_builds(self) -> None:
        for defect, expected_text, max_changed in (
            ("slow", "does worse in zone", 1),
            ("one class", "class 'order' does worse", 1),
            ("one zone", "in zone 'z1'", 3),
            ("crashes", "started again by nobody's order", 1),
        ):
            with self.subTest(defect=defect):
                self.setUp()
                field, digest = self.field(defect, 2, 3)
                if defect == "crashes":  # the platform restarts the process
                    self.supervise(field)
                self.run_defective_change(
                    field,
                    field.rollout_plan(digest),
                    expected_text,
                    max_changed,
                    60.0,
                    3 if defect == "one class" else 0,
                )

    def test_one_in_twenty_rejected(self) -> None:
        """A regression of 0.05, the smallest that the plan has to detect at its error rates."""
        field, digest = self.field("one in twenty", 1, 3)
        plan = (
            field.rollout_plan(digest).replace("harm=0.15", "harm=0.05").replace('most="60s"', 'most="140s"')
        )
        self.run_defective_change(field, plan, "does worse in zone", 1, per_s=100.0)

    def supervise(self, field: RouterField) -> None:
        """Act as a supervisor that restarts each process that has ended, with the same build."""

        def restart_dead_routers() -> None:
            while field.agent.fileno() >= 0:
                for node in field.nodes.values():
                    if node.process and node.process.poll() is not None and node.started_builds:
                        node.start(node.started_builds[-1])
                        node.started_builds.pop()
                time.sleep(0.1)

        threading.Thread(target=restart_dead_routers, daemon=True).start()

    def test_links_of_the_controller(self) -> None:
        """Failures of the control connections to a third of the routers: reset, 2 s delay, garbage.

        The rollout is held, names the routers that do not respond, changes none meanwhile, and continues
        without a command once they respond again.
        """
        for mode in (LinkMode.RESET, LinkMode.DELAY, LinkMode.GARBAGE):
            with self.subTest(mode=mode.value):
                self.setUp()
                field, digest = self.field("sound", 2, 3)
                with (
                    Relay(field.nodes["z0-1"].control_address) as first_relay,
                    Relay(field.nodes["z1-1"].control_address) as second_relay,
                ):
                    self.fail_links(field, digest, mode, first_relay, second_relay)

    def fail_links(
        self, field: RouterField, digest: str, mode: LinkMode, first_relay: Relay, second_relay: Relay
    ) -> None:
        controller = self.controller(
            field.rollout_plan(digest, control={"z0-1": first_relay.address, "z1-1": second_relay.address})
        )
        store = ["--store", str(self.folder / "store.db")]
        changed: list[str] = []

        def fail_on_first_change(node: RouterNode) -> None:
            if not changed:
                changed.append(node.name)
                first_relay.change(mode)
                second_relay.change(mode)

        field.on_command["apply"] = fail_on_first_change
        with ClientLoad(field):
            process = controller.start()
            self.wait_until(lambda: "held" in controller.run_command("status", *store), controller)
            assert "do not answer: z0-1, z1-1" in controller.run_command("status", *store)
            held_command_count = len(field.commands)
            time.sleep(3)
            assert len(field.commands) == held_command_count
            first_relay.change(LinkMode.PASS)
            second_relay.change(LinkMode.PASS)
            assert self.wait_for_exit(process, controller) == 0, controller.output()

    def test_a_controller_that_is_suspended_for_thirty_seconds(self) -> None:
        """A successor takes over when the lease has expired; the first controller must not send commands."""
        field, digest = self.field("sound", 1, 3)
        controller = self.controller(field.rollout_plan(digest))
        with ClientLoad(field):
            first = controller.start()
            self.wait_until(lambda: len(field.commands) >= 1, controller)
            first.send_signal(signal.SIGSTOP)
            time.sleep(16)
            second = controller.start()
            time.sleep(14)
            first.send_signal(signal.SIGCONT)
            assert self.wait_for_exit(first, controller) == 2, controller.output()
            assert self.wait_for_exit(second, controller) == 0, controller.output()
        assert {tuple(n.started_builds) for n in field.nodes.values()} == {("old", "new")}

    def wait_until(self, condition: Any, controller: Controller) -> None:
        for _ in range(300):
            if condition():
                return
            time.sleep(0.2)
        self.fail(controller.output())


if __name__ == "__main__":
    unittest.main()
