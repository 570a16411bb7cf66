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
from testbed.stand_ins import ROOT, ScriptedResponse, ServerCommand, StandInServers

STATE_ENABLED = 'kelpcroft version=1\ncontrol state=#true\nroute "rest" { match; }\n'
STATE_DISABLED = 'kelpcroft version=1\nroute "rest" { match; }\n'


def get_state(router: RouterProcess) -> tuple[int, dict[str, Any]]:
    url = f"http://{router.control_address[0]}:{router.control_address[1]}/control/state"
    try:
        with urllib.request.urlopen(url, timeout=20) as response:
            return response.status, json.loads(response.read())
    except urllib.error.HTTPError as error:
        return error.code, json.loads(error.read())


def response_by_object(server: str, command: ServerCommand) -> ScriptedResponse:
    """Selects the response by the object: a response, a late response, an error, or none."""
    item = command.fields["item"][-1]
    return {
        "a": ScriptedResponse(body=b"x"),
        "b": ScriptedResponse(body=b"x", delay_ms=1_100),
        "c": ScriptedResponse("BROKE"),
    }.get(item, ScriptedResponse("silent"))


class Memory(unittest.TestCase):
    def test_peak_memory_excludes_the_parent_process(self) -> None:
        """``ru_maxrss`` starts at the parent process's peak: a large supervisor's would hide a leak."""
        inner = "from kelpcroft.net.memory import peak_kb; print(peak_kb())"
        outer = (
            "import subprocess, sys\nheld = bytearray(b'x' * 200_000_000)\n"
            f"print(subprocess.check_output([sys.executable, '-c', {inner!r}], text=True))"
        )
        reported_kb = subprocess.check_output([sys.executable, "-c", outer], cwd=ROOT, text=True, timeout=60)
        assert 1000 < int(reported_kb) < 100000, reported_kb

    def test_peak_memory_without_proc_status(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            status_file = Path(folder) / "status"
            assert peak_kb(status_file) > 5000
            status_file.write_text("VmHWM:\tsome kB\n")
            assert peak_kb(status_file) > 5000
            status_file.write_text("Name:\tx\nVmHWM:\t  1234 kB\n")
            assert peak_kb(status_file) == 1234


class OnSockets(unittest.TestCase):
    def test_state_reports_the_requests_of_each_class(self) -> None:
        with (
            StandInServers(response_by_object) as servers,
            RouterProcess(servers, STATE_ENABLED, mgmt=True) as router,
        ):
            client = router.client()
            for item, remaining_ms in (("a", 2_000), ("a", 2_000), ("b", 2_400), ("d", 300)):
                client.request("page", object="0" * 15 + item, patience_ms=remaining_ms)
            client.request("order", object="0" * 15 + "c", body=b"x")
            code, report = get_state(router)
            assert code == 200
            page, order = report["classes"]["page"], report["classes"]["order"]
            assert (page["asked"], page["served"], page["worth"]) == (4, 3, 4.0)
            assert page["in_time"] + page["late"] == 3.0
            assert (order["failed"], order["in_time"]) == (1, 0.0)
            identity = [report[k] for k in ("name", "ready", "service", "invariants")]
            assert identity == ["n1", True, "in", 0]
            assert report["build"]
            assert report["settings"]
            assert report["rules"]
            assert report["instance"]
            assert report["memory_kb"] > 5000
            again = get_state(router)[1]
            assert [again[k] for k in ("instance", "build", "settings", "rules")] == [
                report[k] for k in ("instance", "build", "settings", "rules")
            ]

    def test_two_processes_of_one_build_differ_in_their_instance_alone(self) -> None:
        with (
            StandInServers() as servers,
            RouterProcess(servers, STATE_ENABLED, mgmt=True) as first_router,
            RouterProcess(servers, STATE_ENABLED, mgmt=True) as second_router,
        ):
            first_router.client(), second_router.client()
            first_state, second_state = get_state(first_router)[1], get_state(second_router)[1]
            assert [first_state[k] for k in ("build", "settings", "rules")] == [
                second_state[k] for k in ("build", "settings", "rules")
            ]
            assert first_state["instance"] != second_state["instance"]

    def test_the_operators_file_enables_and_disables_the_path(self) -> None:
        with StandInServers() as servers, RouterProcess(servers, STATE_DISABLED, mgmt=True) as router:
            router.client()
            assert get_state(router)[0] == 404
            assert "GET /control/state" not in get_state(router)[1]["calls"]
            assert router.reload_rules(STATE_ENABLED)["event"] == "rules.taken"
            code, report = get_state(router)
            assert (code, report["classes"]) == (200, {})
            first = report["rules"]
            router.reload_rules(STATE_ENABLED + "// another\n")
            assert get_state(router)[1]["rules"] != first
            router.reload_rules(STATE_DISABLED)
            assert get_state(router)[0] == 404

    def test_many_state_requests_do_not_affect_client_requests(self) -> None:
        with StandInServers() as servers, RouterProcess(servers, STATE_ENABLED, mgmt=True) as router:
            client = router.client()
            for _ in range(100):
                get_state(router)
                assert client.request("page").kind == "served"


class CountsAndDigests(unittest.TestCase):
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
    def test_counts_add_up_and_are_bounded(self, ends: list[tuple[int, str, int, bool]]) -> None:
        statistics = RequestStatistics()
        for cls, outcome, attempts, in_time in ends:
            statistics.record_end(str(cls), outcome, attempts, 2.0, in_time)
        report = statistics.as_json()
        assert len(report) <= MAX_CLASSES + 1
        assert sum(c["asked"] for c in report.values()) == len(ends)
        for c in report.values():
            assert c["asked"] == c["served"] + c["refused"] + c["failed"] + c["gone"]
            assert c["in_time"] <= c["worth"]
        if len({cls for cls, *_ in ends}) > MAX_CLASSES:
            assert OTHER_CLASSES in report

    def test_digests_depend_on_content_and_not_on_order(self) -> None:
        assert settings_digest({"a": 1, "b": 2}) == settings_digest({"b": 2, "a": 1})
        assert settings_digest({"a": 1}) != settings_digest({"a": 2})
        assert settings_digest({"a": 1, "az": "x", "self_index": 3}) == settings_digest({"a": 1, "az": "y"})
        files = [("x.py", b"1"), ("y.py", b"2")]
        assert files_digest(files) == files_digest(files[::-1])
        assert files_digest(files) != files_digest([("x.py", b"12"), ("y.py", b"")])
