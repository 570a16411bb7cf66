"""Rollouts to real processes: routers of two zones under load, a controller process, injected failures."""

from __future__ import annotations

import signal
import time
from collections import Counter

from testbed.field import ClientLoad, Relay
from testbed.field.relay import LinkMode
from tests.support.rollout_field import RolloutTestCase


class RealProcesses(RolloutTestCase):
    def test_a_sound_change_with_a_controller_that_is_killed_twice(self) -> None:
        """A controller that is killed twice changes each router once, and the history is complete.

        It is killed while the third router is being changed, and again at the fifth.  No request is lost.
        """
        field, digest = self.field("sound")
        controller = self.controller(field.rollout_plan(digest))
        killed: list[int] = []

        def kill(node: object) -> None:
            applied = sum(command == "apply" for command, _ in field.commands)
            if applied in (3, 5) and applied not in killed:
                killed.append(applied)
                controller.processes[-1].send_signal(signal.SIGKILL)

        field.on_command["apply"] = kill
        with ClientLoad(field) as load:
            code = -signal.SIGKILL
            while code == -signal.SIGKILL and len(controller.processes) < 4:
                code = self.wait_for_exit(controller.start(), controller)
                if code == 2 and "led by another" in controller.output():
                    time.sleep(1)  # the lease of the killed controller has not expired
                    code = -signal.SIGKILL
                    controller.processes.pop()
        assert code == 0, controller.output()
        assert killed == [3, 5]
        assert {n: node.started_builds for n, node in field.nodes.items()} == dict.fromkeys(
            field.nodes, ["old", "new"]
        )
        assert load.counts["lost"] == 0, load.counts
        assert load.counts["served"] > 1000
        names = Counter(row["name"] for row in controller.history())
        assert (names["begun"], names["stage-good"], names["done"], names["resumed"]) == (6, 3, 1, 2)

    def test_a_build_that_rejects_is_rolled_back_after_one_router(self) -> None:
        field, digest = self.field("refuses")
        controller = self.controller(field.rollout_plan(digest))
        with ClientLoad(field) as load:
            assert self.wait_for_exit(controller.start(), controller) == 1, controller.output()
        changed = [name for name, node in field.nodes.items() if "new" in node.started_builds]
        assert len(changed) == 1
        assert field.nodes[changed[0]].started_builds == ["old", "new", "old"]
        assert "does worse in zone" in controller.output()
        assert "the harm is gone" in controller.output()
        assert load.counts["lost"] == 0, load.counts
        worse = next(row for row in controller.history() if row["name"] == "worse")
        assert any(x["verdict"] == "worse" and x["mean"] > 0.1 for x in worse["figures"].values())

    def test_a_build_that_is_never_ready_and_a_connection_with_garbage(self) -> None:
        """A build that never becomes ready is rolled back.

        Meanwhile the control connection to another router returns garbage, which must count as neither a good
        result nor a regression.
        """
        field, digest = self.field("never-ready")
        with Relay(field.nodes["z1-2"].control_address) as relay:
            plan = field.rollout_plan(digest, control={"z1-2": relay.address}).replace(
                'ready="15s"', 'ready="4s"'
            )
            controller = self.controller(plan)
            field.on_command["apply"] = lambda node: relay.change(LinkMode.GARBAGE)
            assert self.wait_for_exit(controller.start(), controller) == 1, controller.output()
        assert "not-ready" in controller.output()
        assert sum("new" in node.started_builds for node in field.nodes.values()) == 1
        assert {node.started_builds[-1] for node in field.nodes.values()} == {"old"}

    def test_two_controllers_and_operators(self) -> None:
        """A second controller cannot lead the run; the commands hold, status and revert take effect."""
        field, digest = self.field("sound", zones=1, routers_per_zone=3)
        controller = self.controller(field.rollout_plan(digest).replace('least="3s"', 'least="20s"'))
        first = controller.start()
        store = ["--store", str(self.folder / "store.db")]
        while not any(row["name"] == "begun" for row in controller.history()):
            assert first.poll() is None, controller.output()
            time.sleep(0.2)
        second = controller.start()
        assert self.wait_for_exit(second, controller) == 2
        assert "led by another controller" in controller.output()
        assert "said to run 1" in controller.run_command("hold", *store)
        while "held" not in controller.run_command("status", *store):
            time.sleep(0.2)
        controller.run_command("revert", *store)
        assert self.wait_for_exit(first, controller) == 1
        assert {node.started_builds[-1] for node in field.nodes.values()} == {"old"}
        assert "is over" in controller.run_command("hold", *store)
