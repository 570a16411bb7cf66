"""`GET /control/state`: identity and request statistics of a process whose operator's file enables them."""

from __future__ import annotations

import json
import subprocess
import sys
import tempfile
import unittest
import urllib.error
import urllib.request
from pathlib import Path
from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st

from kelpcroft.core.request_statistics import MAX_CLASSES, OTHER_CLASSES, RequestStatistics
from kelpcroft.net.memory import peak_kb
from kelpcroft.store.identity import files_digest, settings_digest
from testbed.router_process import RouterProcess
from testbed.stand_ins import ROOT, ScriptedReply, ServerCommand, StandInServers

ON = 'kelpcroft version=1\ncontrol state=#true\nroute "rest" { match; }\n'
OFF = 'kelpcroft version=1\nroute "rest" { match; }\n'


def state(router: RouterProcess) -> tuple[int, dict[str, Any]]:
    url = f"http://{router.control_address[0]}:{router.control_address[1]}/control/state"
    try:
        with urllib.request.urlopen(url, timeout=20) as answer:
            return answer.status, json.loads(answer.read())
    except urllib.error.HTTPError as error:
        return error.code, json.loads(error.read())


def mixed(server: str, seen: ServerCommand) -> ScriptedReply:
    """Reply by object: a response, a late response, an error, or none."""
    item = seen.fields["item"][-1]
    return {
        "a": ScriptedReply(body=b"x"),
        "b": ScriptedReply(body=b"x", delay_ms=1_100),
        "c": ScriptedReply("BROKE"),
    }.get(item, ScriptedReply("silent"))


class Memory(unittest.TestCase):
    def test_what_the_process_before_the_exec_held_is_not_its_own(self) -> None:
        """``ru_maxrss`` starts at the peak of the parent process: a large supervisor's would hide a leak."""
        inner = "from kelpcroft.net.memory import peak_kb; print(peak_kb())"
        outer = (
            "import subprocess, sys\nheld = bytearray(b'x' * 200_000_000)\n"
            f"print(subprocess.check_output([sys.executable, '-c', {inner!r}], text=True))"
        )
        told = subprocess.check_output([sys.executable, "-c", outer], cwd=ROOT, text=True, timeout=60)
        assert 1000 < int(told) < 100000, told

    def test_without_the_systems_page_there_is_a_figure_too(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            page = Path(folder) / "status"
            assert peak_kb(page) > 5000
            page.write_text("VmHWM:\tsome kB\n")
            assert peak_kb(page) > 5000
            page.write_text("Name:\tx\nVmHWM:\t  1234 kB\n")
            assert peak_kb(page) == 1234


class OnSockets(unittest.TestCase):
    def test_it_tells_what_became_of_each_class(self) -> None:
        with StandInServers(mixed) as world, RouterProcess(world, ON, mgmt=True) as router:
            client = router.client()
            for item, patience in (("a", 2_000), ("a", 2_000), ("b", 2_400), ("d", 300)):
                client.request("page", object="0" * 15 + item, patience_ms=patience)
            client.request("order", object="0" * 15 + "c", body=b"x")
            code, told = state(router)
            assert code == 200
            page, order = told["classes"]["page"], told["classes"]["order"]
            assert (page["asked"], page["served"], page["worth"]) == (4, 3, 4.0)
            assert page["in_time"] + page["late"] == 3.0
            assert (order["failed"], order["in_time"]) == (1, 0.0)
            who = [told[k] for k in ("name", "ready", "service", "invariants")]
            assert who == ["n1", True, "in", 0]
            assert told["build"]
            assert told["settings"]
            assert told["rules"]
            assert told["instance"]
            assert told["memory_kb"] > 5000
            again = state(router)[1]
            assert [again[k] for k in ("instance", "build", "settings", "rules")] == [
                told[k] for k in ("instance", "build", "settings", "rules")
            ]

    def test_two_processes_of_one_build_differ_in_their_instance_alone(self) -> None:
        with (
            StandInServers() as world,
            RouterProcess(world, ON, mgmt=True) as one,
            RouterProcess(world, ON, mgmt=True) as two,
        ):
            one.client(), two.client()
            a, b = state(one)[1], state(two)[1]
            assert [a[k] for k in ("build", "settings", "rules")] == [
                b[k] for k in ("build", "settings", "rules")
            ]
            assert a["instance"] != b["instance"]

    def test_off_the_path_is_unknown_and_a_file_read_again_switches_it(self) -> None:
        with StandInServers() as world, RouterProcess(world, OFF, mgmt=True) as router:
            router.client()
            assert state(router)[0] == 404
            assert "GET /control/state" not in state(router)[1]["calls"]
            assert router.reload_rules(ON)["event"] == "rules.taken"
            code, told = state(router)
            assert (code, told["classes"]) == (200, {})
            first = told["rules"]
            router.reload_rules(ON + "// another\n")
            assert state(router)[1]["rules"] != first
            router.reload_rules(OFF)
            assert state(router)[0] == 404

    def test_a_crowd_of_callers_takes_nothing_from_requests(self) -> None:
        with StandInServers() as world, RouterProcess(world, ON, mgmt=True) as router:
            client = router.client()
            for _ in range(100):
                state(router)
                assert client.request("page").kind == "served"


class Pure(unittest.TestCase):
    @settings(max_examples=100, deadline=None, derandomize=True)
    @given(
        st.lists(
            st.tuples(
                st.integers(0, 99),
                st.sampled_from(["served", "refused", "failed", "gone"]),
                st.integers(0, 8),
                st.booleans(),
            ),
            max_size=300,
        )
    )
    def test_counts_add_up_and_have_an_end(self, ends: list[tuple[int, str, int, bool]]) -> None:
        ledger = RequestStatistics()
        for cls, how, attempts, in_time in ends:
            ledger.record_end(str(cls), how, attempts, 2.0, in_time)
        told = ledger.as_json()
        assert len(told) <= MAX_CLASSES + 1
        assert sum(c["asked"] for c in told.values()) == len(ends)
        for c in told.values():
            assert c["asked"] == c["served"] + c["refused"] + c["failed"] + c["gone"]
            assert c["in_time"] <= c["worth"]
        if len({cls for cls, *_ in ends}) > MAX_CLASSES:
            assert OTHER_CLASSES in told

    def test_digests_tell_what_differs_and_not_in_what_order(self) -> None:
        assert settings_digest({"a": 1, "b": 2}) == settings_digest({"b": 2, "a": 1})
        assert settings_digest({"a": 1}) != settings_digest({"a": 2})
        assert settings_digest({"a": 1, "az": "x", "self_index": 3}) == settings_digest({"a": 1, "az": "y"})
        files = [("x.py", b"1"), ("y.py", b"2")]
        assert files_digest(files) == files_digest(files[::-1])
        assert files_digest(files) != files_digest([("x.py", b"12"), ("y.py", b"")])
