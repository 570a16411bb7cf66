"""Files that must be rejected (tests/faulty), with code, line and message; and files that must be accepted.

The first lines of a file state the expected diagnostics: ``//! LINE CODE words of the message``, and
``//@ LIMIT=false`` for a deployment that forbids something.  The list is complete: no other diagnostic may be
reported.
"""

from __future__ import annotations

import subprocess
import sys
import unittest
from dataclasses import replace
from pathlib import Path

from kelpcroft.config import parse_config
from kelpcroft.decision import interface as api
from kelpcroft.operator_file import Diagnostic, OperatorFile, check, load
from kelpcroft.operator_file.locator import MAX_NODES
from kelpcroft.operator_file.text import MAX_FILE_BYTES
from tests.support.exchange_player import EXAMPLE

TESTS = Path(__file__).parent.parent
# Keys of a configuration's limits, as the files of tests/faulty name them, and the fields that hold them.
LIMIT_FIELDS = {"second_copies": "may_hedge", "retry_after": "may_send_retry_after"}
HEAD = "kelpcroft version=1\n"
LISTS = (
    f'route "r" {{ match part="{",".join(map(str, range(0, 9_999, 2)))}" '
    f'object="{",".join(f"{n:04x}" for n in range(0, 65_536, 2))}"; }}'
)  # a file with such lists once took minutes to check


def load_and_check(data: bytes, settings: api.Settings) -> tuple[OperatorFile, list[Diagnostic]]:
    file, diagnostics = load(data)
    return file, diagnostics or check(file, settings)


class Faulty(unittest.TestCase):
    def test_each_file_is_rejected_for_its_reason(self) -> None:
        settings = parse_config(EXAMPLE, {}).settings
        files = sorted((TESTS / "faulty").glob("*.kdl"))
        assert len(files) >= 60
        for path in files:
            data = path.read_bytes()
            header = [line.decode() for line in data.split(b"\n") if line.startswith((b"//!", b"//@"))]
            expected = sorted(
                (int(a), b, c) for a, b, c in (x[4:].split(" ", 2) for x in header if x[2] == "!")
            )
            limits = {LIMIT_FIELDS[x[4:].split("=")[0]]: False for x in header if x[2] == "@"}
            with self.subTest(file=path.name):
                deployment = replace(settings, limits=replace(settings.limits, **limits))
                _, diagnostics = load_and_check(data, deployment)
                found = sorted(
                    (diagnostic.position.line, diagnostic.code, diagnostic.message)
                    for diagnostic in diagnostics
                )
                assert [x[:2] for x in found] == [x[:2] for x in expected], found
                for (_, _, message), (_, _, expected_words) in zip(found, expected, strict=True):
                    assert expected_words in message
                for diagnostic in diagnostics:
                    assert diagnostic.position.column > 0
                    assert diagnostic.format_for("f").count("\n") == 0

    def test_valid_files_are_used(self) -> None:
        settings = parse_config(EXAMPLE, {}).settings
        for path in sorted((TESTS / "valid").glob("*.kdl")):
            with self.subTest(file=path.name):
                assert load_and_check(path.read_bytes(), settings)[1] == []

    def test_large_and_deep_files_are_rejected(self) -> None:
        """The parser took hundreds of MB for such files; the locator rejects them before they are parsed."""
        for data, code in (
            (b"/" * (MAX_FILE_BYTES + 1), "too-large"),
            ((HEAD + "route\n" * 100_000).encode(), "missing-value"),
            ((HEAD + "defaults {" + "moves;" * 100_000 + "}").encode(), "too-many-nodes"),
            ((HEAD + 'route "r" { match ' + 'part="1" ' * 100_000 + "}").encode(), "too-many-nodes"),
            ((HEAD + LISTS).encode(), "too-complex"),
            ((HEAD + "a {" * 10_000 + "}" * 10_000).encode(), "too-deep"),
            ((HEAD + "a " + "/*" * 200_000).encode(), "not-kdl"),
            ((HEAD + 'a "' + "\\\\" * 200_000).encode(), "not-kdl"),
            ((HEAD + "a " + "#" * 200_000).encode(), "not-kdl"),
        ):
            with self.subTest(code=code):
                diagnostics = load(data)[1]
                assert code in {diagnostic.code for diagnostic in diagnostics}
                assert len(diagnostics) <= 1000

    def test_no_file_takes_much_memory(self) -> None:
        """The largest accepted file, in a process whose memory may grow by 64 MB over its start."""
        routes = (MAX_NODES - 2) // 2
        text = HEAD + "".join(f'route "r{n}" {{ match object="{n:04x}"; }}\n' for n in range(routes))
        code = (
            "import resource, sys\nfrom kelpcroft.operator_file import load\nload(b'')\n"
            "before = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss\n"
            "file, faults = load(sys.stdin.buffer.read())\n"
            "after = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss\n"
            "print(len(file.routes), len(faults), after - before)"
        )
        process = subprocess.run(
            [sys.executable, "-c", code],
            input=text.encode(),
            capture_output=True,
            check=True,
            cwd=TESTS.parent,
        )
        count, diagnostics, growth = map(int, process.stdout.split())
        assert (count, diagnostics) == (routes, 0), process.stderr
        unit = 1 if sys.platform == "darwin" else 1024
        assert growth * unit < 64 << 20


if __name__ == "__main__":
    unittest.main()
