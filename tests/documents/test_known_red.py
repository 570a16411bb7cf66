"""The list of known failures cannot hide another failure: each incorrect line fails the run."""

from __future__ import annotations

import subprocess
import sys
import tempfile
import unittest
from pathlib import Path

from tests.support.exchange_player import ROOT, WAIT_S
from tests.support.known_red import MAX_LINES, parse

SAMPLE = """
import unittest

class Sample(unittest.TestCase):
    def test_red(self) -> None:
        self.assertEqual(1, 2)

    def test_green(self) -> None:
        self.assertEqual(1, 1)
"""


class KnownRed(unittest.TestCase):
    def run_with(self, listed: str) -> tuple[int, str]:
        """Run one failing and one passing test with a list; return the exit code and the output."""
        with tempfile.TemporaryDirectory(dir=ROOT / "tests", prefix="red-") as folder:
            sample, path = Path(folder) / "test_sample.py", Path(folder) / "list.txt"
            sample.write_text(SAMPLE)
            path.write_text(listed.replace("SAMPLE", str(sample.relative_to(ROOT))))
            completed = subprocess.run(
                [
                    sys.executable,
                    "-m",
                    "pytest",
                    "-q",
                    "-p",
                    "no:cacheprovider",
                    f"--known-red={path}",
                    str(sample),
                ],
                cwd=ROOT,
                capture_output=True,
                text=True,
                timeout=3 * WAIT_S,
            )
        return completed.returncode, completed.stdout + completed.stderr

    def test_a_listed_failure_is_printed_and_passes(self) -> None:
        code, output = self.run_with("SAMPLE::Sample::test_red | one is not two | 27\n")
        assert code == 0, output
        assert "KNOWN RED" in output
        assert "(cause: one is not two; issue 27)" in output

    def test_any_other_failure_fails(self) -> None:
        assert self.run_with("# none\n")[0] == 1

    def test_a_listed_test_that_passes_fails_the_run(self) -> None:
        failing_line = "SAMPLE::Sample::test_red | one is not two | 27\n"
        code, output = self.run_with(failing_line + "SAMPLE::Sample::test_green | was red | 27\n")
        assert code == 1, output
        assert "take it out of KNOWN-RED.txt" in output

    def test_an_unusable_line_fails_the_run(self) -> None:
        for line, message in (
            ("test_red", "is not 'tests/"),
            ("SAMPLE::Sample::test_red | | 27", "is not 'tests/"),
            ("SAMPLE::Sample::test_red | why | soon", "is not 'tests/"),
            ("SAMPLE::Sample::test_gone | why | 27", "no such test"),
            ("tests/test_gone.txt.py::test_x | why | 27", "no such test"),
        ):
            with self.subTest(line=line):
                code, output = self.run_with(line + "\n")
                assert code == 4, output
                assert message in output

    def test_the_list_has_a_maximum_length(self) -> None:
        lines = "".join(f"tests/test_x.py::test_{n} | why | 27\n" for n in range(MAX_LINES + 1))
        assert len(parse(lines)[1]) == 1
        assert parse(lines.splitlines()[0])[1] == []
        assert len(parse(2 * lines.splitlines(True)[0])[1]) == 1
