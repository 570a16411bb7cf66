"""The ``kelpcroft`` command as scripts use it, the program of ``./demo``, and the form of log lines."""

from __future__ import annotations

import io
import json
import os
import re
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path

from click.testing import CliRunner, Result

from kelpcroft.cli import main
from kelpcroft.core.effects import LogEvent
from kelpcroft.log import MAX_LINES_PER_EVENT, RATE_WINDOW_NS, EventLog
from testbed import demo
from testbed.router_process import RouterProcess
from testbed.stand_ins import ROOT, StandInServers

CONFIG = str(ROOT / "examples/config.json")
EXAMPLE = str(ROOT / "examples/operator.kdl")
FAULTY = str(ROOT / "tests/faulty/two-faults-at-once.kdl")


def run(*arguments: str) -> Result:
    return CliRunner().invoke(main, list(arguments))


class Command(unittest.TestCase):
    def test_help_has_an_example_for_each_subcommand(self) -> None:
        for subcommand in ("serve", "check", "explain", "diff"):
            result = run(subcommand, "--help")
            assert result.exit_code == 0
            assert f"Example:  kelpcroft {subcommand}" in result.output
            assert "--format" in result.output

    def test_check(self) -> None:
        assert run("check", EXAMPLE, "--config", CONFIG).exit_code == 0
        result = run("check", FAULTY, "--config", CONFIG)
        assert result.exit_code == 1
        first_line = result.stdout.splitlines()[0]
        assert re.search(r"two-faults-at-once\.kdl:6:13: bad-duration: timeout: '5' has no unit", first_line)
        output = json.loads(run("check", FAULTY, "--format", "json").stdout)
        assert not output["good"]
        assert [f["code"] for f in output["faults"]] == ["bad-duration", "unknown-key", "bad-range"]

    def test_check_without_a_deployment_checks_the_file_alone(self) -> None:
        path = str(ROOT / "tests/faulty/unknown-class.kdl")
        assert run("check", path).exit_code == 0
        assert run("check", path, "--config", CONFIG).exit_code == 1

    def test_explain_prints_the_route_its_lines_and_the_largest_values(self) -> None:
        lines = Path(EXAMPLE).read_text().splitlines()
        output = json.loads(
            run(
                "explain", EXAMPLE, "--config", CONFIG, "--class", "page", "--part", "9", "--format", "json"
            ).stdout
        )
        assert (output["route"], output["longest_wait_ms"], output["most_sends"]) == ("tails", 2000, 6)
        for bound in output["bounds"]:
            assert (
                bound["bound"].split()[0].replace("tried", "attempts").replace("budget", "budget=")
                in lines[bound["line"] - 1]
            )
        order_result = run("explain", EXAMPLE, "--config", CONFIG, "--class", "order", "--write")
        assert "one of which may have run" in order_result.output
        assert "longest wait: 2.5s" in order_result.output

    def test_diff(self) -> None:
        assert run("diff", EXAMPLE, EXAMPLE, "--config", CONFIG).exit_code == 0
        with tempfile.TemporaryDirectory() as folder:
            other = Path(folder) / "new.kdl"
            other.write_text(Path(EXAMPLE).read_text().replace('part="8.."', 'part="4.."'))
            result = run("diff", EXAMPLE, str(other), "--config", CONFIG)
            assert result.exit_code == 1
            assert 'class page: part="4..7"\n  rest -> tails\n' in result.output
            output = json.loads(run("diff", EXAMPLE, str(other), "--format", "json").stdout)
            assert {c["class"] for c in output["changes"]} == {"page"}

    def test_a_usage_error_is_one_line_and_exit_code_2(self) -> None:
        for arguments in (
            ("check", "/nowhere/file"),
            ("check", EXAMPLE, "--config", "/nowhere/config"),
            ("check", EXAMPLE, "--config", EXAMPLE),
            ("check", str(ROOT)),
            ("explain", EXAMPLE, "--config", CONFIG, "--class", "pge"),
            ("explain", EXAMPLE, "--config", CONFIG, "--class", "page", "--object", "xyz"),
        ):
            with self.subTest(arguments=arguments):
                result = run(*arguments)
                assert result.exit_code == 2, result.output
                assert result.output.strip().count("\n") == 0, result.output
                assert result.output.startswith("Error: ")
        for arguments in (("chek",), ("explain", EXAMPLE), ("explain", EXAMPLE, "--part", "-1")):
            assert run(*arguments).exit_code == 2

    def test_serve_becomes_the_router_process(self) -> None:
        with (
            StandInServers() as stand_ins,
            RouterProcess(stand_ins) as router,
            tempfile.TemporaryDirectory() as folder,
        ):
            router.process.terminate()  # its configuration and port are used by the next process
            router.process.wait(20)
            log = Path(folder) / "log"
            arguments = [
                "serve",
                "--config",
                str(router.config_path),
                "--file",
                EXAMPLE,
                "--name",
                "n7",
                "--format",
                "json",
            ]
            with log.open("w") as stream:
                router.process = subprocess.Popen(
                    [sys.executable, "-c", f"from kelpcroft.cli import main; main({arguments!r})"],
                    cwd=ROOT,
                    stderr=stream,
                    env={**os.environ, "PYTHONPATH": str(ROOT)},
                )
            assert router.client().request("page").kind == "served"
            command_line = Path(f"/proc/{router.process.pid}/cmdline").read_bytes().split(b"\0")
            assert command_line[1:3] == [b"-m", b"kelpcroft"], "the command line replaced its process"
            router.process.terminate()
            assert router.process.wait(20) == 0
            lines = [json.loads(line) for line in log.read_text().splitlines()]
            assert {line["router"] for line in lines} == {"n7"}
            assert "rules.taken" in [line["event"] for line in lines]

    def test_the_demo_succeeds(self) -> None:
        assert demo.main() == 0


NOW = 1_764_576_000_123_456_789


class LogLines(unittest.TestCase):
    def write(self, count: int, form: str) -> list[str]:
        stream = io.StringIO()
        log = EventLog("n1", stream, form)
        for n in range(count):
            log.write(NOW + n, LogEvent("feed.lost", "feed: cut\noff", "warning", {"why": "cut"}))
        log.write(NOW + RATE_WINDOW_NS, LogEvent("feed.lost", "feed: again", "warning", {"level": 7}))
        return stream.getvalue().splitlines()

    def test_json_lines(self) -> None:
        first, last = (json.loads(line) for line in self.write(1, "json"))
        assert first == {
            "time": "2025-12-01T08:00:00.123456Z",
            "level": "warning",
            "router": "n1",
            "event": "feed.lost",
            "text": "feed: cut\noff",
            "why": "cut",
        }
        assert list(first)[0] == "time"
        assert last["level"] == "warning", "a field of an event does not hide the field of the line"

    def test_excess_lines_of_an_event_are_suppressed_and_counted(self) -> None:
        lines = self.write(MAX_LINES_PER_EVENT + 500, "json")
        assert len(lines) == MAX_LINES_PER_EVENT + 1
        assert json.loads(lines[-1])["suppressed"] == 500

    def test_text_lines(self) -> None:
        lines = self.write(MAX_LINES_PER_EVENT + 3, "text")
        expected = "2025-12-01T08:00:10.123456Z WARNING feed.lost: feed: again (3 left out before)"
        assert lines[-1] == expected


if __name__ == "__main__":
    unittest.main()
