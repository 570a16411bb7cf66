"""``tools/fleet_counts.py`` on the traces of all routers, and the trace events that routers write."""

from __future__ import annotations

import io
import json
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path

from kelpcroft.core.effects import LogEvent
from kelpcroft.log import EventLog
from testbed.virtual import VirtualRouter

TOOL = Path(__file__).parent.parent.parent / "tools/fleet_counts.py"


def count(*args: str) -> subprocess.CompletedProcess[str]:
    return subprocess.run([sys.executable, str(TOOL), *args], capture_output=True, text=True)


class Counts(unittest.TestCase):
    def test_a_router_in_virtual_time_is_counted(self) -> None:
        virtual_router = VirtualRouter(None, 3, {"done": 1.0})
        virtual_router.reducer.state.is_tracing = True
        for n in range(20):
            virtual_router.schedule_request(n * 100_000_000, "page", 2000, object=n)
        virtual_router.run()
        assert all(len(s.final_effects) == 1 for s in virtual_router.records.values())
        text = io.StringIO()
        log = EventLog("n0", text, "json")
        for n, line in enumerate(virtual_router.log):
            log.write(10**18 + n, line)
        with tempfile.TemporaryDirectory() as folder:
            Path(folder, "n0.log").write_text("no event here\n0.001 " + text.getvalue() + '{"half": ')
            completed = count(folder)
        assert completed.returncode == 0, completed.stderr
        assert "taken 20" in completed.stdout
        assert "final Serve 20" in completed.stdout
        assert "hit OK/HIT 20" in completed.stdout

    def test_nothing_is_traced_by_default(self) -> None:
        virtual_router = VirtualRouter(None, 3, {"done": 1.0})
        virtual_router.schedule_request(0, "page", 2000)
        virtual_router.run()
        assert not [x for x in virtual_router.log if x.event.startswith("trace.")]

    def test_traced_steps_are_not_limited(self) -> None:
        text = io.StringIO()
        log = EventLog("n0", text, "json")
        for n in range(500):
            log.write(n, LogEvent("trace.sent", "sent", "info", {"n": n}))
        rows = [json.loads(line) for line in text.getvalue().splitlines()]
        assert [row["n"] for row in rows] == list(range(500))

    def test_missing_traces_are_reported(self) -> None:
        assert count("/no/such/folder").returncode == 2
        with tempfile.TemporaryDirectory() as folder:
            completed = count(folder)
        assert completed.returncode == 1
        assert "ROUTER_TRACE=1" in completed.stderr


if __name__ == "__main__":
    unittest.main()
