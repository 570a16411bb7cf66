"""The command line of `run` in several deployments, as real processes on loopback with stand-in servers.

The deployments differ in classes, effects, groups, windows, graces, features, reports, weights and known
sizes.  Neither the program nor the file that `run` names contains any of their names.
"""

from __future__ import annotations

import json
import re
import time
import unittest
from typing import Any

from testbed.router_process import RouterProcess
from testbed.stand_ins import ROOT, ScriptedResponse, ServerCommand, StandInServers

S, MS = 10**9, 10**6
EXAMPLE = json.loads((ROOT / "examples/config.json").read_text())["settings"]
RUN_FILE = (ROOT / "deploy/balancer.toml").read_text()
FILE_MATCH = re.search(r"ROUTER_RULES=\S*(deploy/\S+)", RUN_FILE)


def deployment(
    classes: list[dict[str, Any]], uncacheable: list[bool], limits: dict[str, Any], **more: Any
) -> dict[str, Any]:
    class_count = len(classes)
    family_info = {
        **EXAMPLE["family_info"],
        "goes_through": uncacheable,
        "max_age_ns": [0] * class_count,
        "usable_after_ns": [0] * class_count,
        **more.pop("family_info", {}),
    }
    return {
        **EXAMPLE,
        "classes": classes,
        "family_info": family_info,
        "limits": {**EXAMPLE["limits"], **limits},
        **more,
    }


def request_class(name: str, effect: str, deadline_ms: int, **more: Any) -> dict[str, Any]:
    return {
        "name": name,
        "idempotency": effect,
        "aim_ns": deadline_ms * MS // 4,
        "give_up_ns": deadline_ms * MS,
        "credit": 1.0,
        **more,
    }


DEPLOYMENTS = {
    "reads and orders": deployment(
        [request_class("leaf", "safe", 2_500, aim_stretch=2.0), request_class("stamp", "unsafe", 3_000)],
        [False, True],
        {"most_tries": 6, "second_copies": True},
    ),
    "parts and keyed writes": deployment(
        [
            request_class("reel", "safe", 5_000),
            request_class("sheet", "keyed", 3_000, group="all", dedup_window_ns=3 * S),
            request_class("vote", "keyed", 3_000, group="zone", dedup_window_ns=S),
        ],
        [False, True, True],
        {"most_tries": 8, "second_copies": False, "max_retry_after_ns": 0, "retry_after": False},
        weight_source="rough",
        report={"how": "inline", "fields": ["utilization", "x1"]},
        family_info={
            "pace_kb_per_s": 4_000.0,
            "merges_fills": False,
            "purge_grace_ns": 500 * MS,
            "zone_link_kb_per_s": [9_000.0, 9_000.0],
        },
    ),
    "writes alone": deployment(
        [request_class("only", "unsafe", 1_000)], [True], {"most_tries": 1, "second_copies": False}
    ),
}


def servers_that_fail_once(outcome: str) -> tuple[StandInServers, list[ServerCommand]]:
    """Return servers: the first that receives a request ends it with ``outcome``, the others serve it."""
    received: list[ServerCommand] = []

    def script(server: str, command: ServerCommand) -> ScriptedResponse:
        is_first = not any(s.request_id == command.request_id for s in received)
        received.append(command)
        return ScriptedResponse(outcome) if is_first else ScriptedResponse("DONE", body=b"fine")

    return StandInServers(script), received


class Deployments(unittest.TestCase):
    def setUp(self) -> None:
        assert FILE_MATCH
        self.file = (ROOT / FILE_MATCH[1]).read_text()

    def test_each_class_is_served_by_the_same_line(self) -> None:
        for name, settings in DEPLOYMENTS.items():
            with (
                self.subTest(deployment=name),
                StandInServers() as stand_ins,
                RouterProcess(stand_ins, self.file, settings=settings) as router,
            ):
                client = router.client()
                for cls in settings["classes"]:
                    more_fields = {"nonce": "k-1"} if cls["idempotency"] == "keyed" else {}
                    response = client.request(
                        cls["name"], patience_ms=900, body=b"x", more={**more_fields, "size": "40.5"}
                    )
                    assert response.kind == "served", (name, cls["name"])
                    (pull,) = stand_ins.requests()[-1:]
                    assert pull.fields.get("nonce") == more_fields.get("nonce")
                lacks_event = next(
                    line for line in router.log_events() if line["event"] == "deployment.lacks"
                )
                assert ("weights" in lacks_event["lacks"]) == (settings["weight_source"] == "off")
                assert ("second copies" in lacks_event["lacks"]) == (not settings["limits"]["second_copies"])

    def test_what_may_have_run_is_sent_again_only_as_its_class_allows(self) -> None:
        for outcome in ("reset", "BROKE"):
            for name, settings in DEPLOYMENTS.items():
                stand_ins, received = servers_that_fail_once(outcome)
                with (
                    self.subTest(deployment=name, outcome=outcome),
                    stand_ins,
                    RouterProcess(stand_ins, self.file, settings=settings) as router,
                ):
                    client = router.client()
                    for cls in settings["classes"]:
                        more_fields = (
                            {"nonce": f"key-of-{cls['name']}"} if cls["idempotency"] == "keyed" else {}
                        )
                        response = client.request(cls["name"], patience_ms=900, body=b"x", more=more_fields)
                        commands = [s for s in received if s.fields["cls"] == cls["name"]]
                        if cls["idempotency"] == "unsafe":
                            assert (response.kind, len(commands)) == ("failed", 1), cls["name"]
                        else:
                            assert (response.kind, len(commands)) == ("served", 2), cls["name"]
                        assert {s.fields.get("nonce") for s in commands} == {more_fields.get("nonce")}

    def test_a_keyed_retry_at_the_process_that_takes_over(self) -> None:
        """The predecessor completes its request; the client's retry reaches the successor, with its key."""
        settings = DEPLOYMENTS["parts and keyed writes"]
        stand_ins, received = servers_that_fail_once("silent")
        with stand_ins, RouterProcess(stand_ins, self.file, settings=settings) as router:
            client = router.client()
            client.send_request("sheet", patience_ms=600, body=b"x", more={"nonce": "k"})
            while not received:
                time.sleep(0.01)
            with RouterProcess(stand_ins, self.file, settings=settings) as other:
                router.process.terminate()
                assert next(client.responses(1)).kind == "failed"
                stand_ins.script = lambda server, command: (
                    received.append(command),
                    ScriptedResponse("DONE"),
                )[1]
                response = other.client().request(
                    "sheet", patience_ms=900, body=b"x", retry=True, more={"nonce": "k"}
                )
                assert response.kind == "served"
                assert router.process.wait(20) == 0
            assert {s.fields["nonce"] for s in received if s.verb == "PULL"} == {"k"}


if __name__ == "__main__":
    unittest.main()
