"""Support for known failures: tests listed in ``KNOWN-RED.txt`` at the root (``tests.support.known_red``).

The listed tests run.  A failure is printed and does not fail the run; a listed test that passes fails the run
until its line is removed.  A malformed line, an unknown test or too many lines end the run with an error that
names the expected form.
"""

from __future__ import annotations

from collections.abc import Generator
from pathlib import Path
from typing import Any

import pytest

pytest.register_assert_rewrite("tests.support")

from tests.support.known_red import LIST_FILE, ListedTest, missing_tests, parse

ROOT = Path(__file__).parent.parent


class KnownFailures:
    """Plugin that changes the reports of the listed tests."""

    def __init__(self, listed: list[ListedTest]) -> None:
        self.listed = {entry.test: entry for entry in listed}
        self.failed: dict[str, str] = {}  # listed tests that failed, with the first line of the error
        self.passed: list[str] = []

    @pytest.hookimpl(wrapper=True)
    def pytest_runtest_makereport(self, item: pytest.Item, call: Any) -> Generator[None, Any, Any]:
        report = yield
        if item.nodeid in self.listed:
            if report.failed:
                self.failed[item.nodeid] = str(call.excinfo.value).splitlines()[0] if call.excinfo else ""
                report.outcome, report.wasxfail = "skipped", self.listed[item.nodeid].cause
            elif report.when == "call" and item.nodeid not in self.failed:
                self.passed.append(item.nodeid)
                report.outcome, report.longrepr = (
                    "failed",
                    f"{item.nodeid} passes: take it out of {LIST_FILE}",
                )
        return report

    def pytest_terminal_summary(self, terminalreporter: Any) -> None:
        for test, message in self.failed.items():
            entry = self.listed[test]
            terminalreporter.write_line(
                f"KNOWN RED {test}: {message} (cause: {entry.cause}; issue {entry.issue})"
            )


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    path = Path(config.getoption("--known-red"))
    if not path.exists():
        return
    listed, errors = parse(path.read_text())
    known = {item.nodeid for item in items}
    files = {item.nodeid.partition("::")[0] for item in items}
    # A run of some files checks only the listed tests of these files, and of files that do not exist.
    relevant = [
        entry
        for entry in listed
        if entry.test.partition("::")[0] in files or not (ROOT / entry.test.partition("::")[0]).exists()
    ]
    errors += missing_tests(relevant, known if not config.getoption("keyword") else None)
    if errors:
        raise pytest.UsageError("\n".join(f"{path.name}: {error}" for error in errors))
    config.pluginmanager.register(KnownFailures(listed), "known-red")


def pytest_addoption(parser: pytest.Parser) -> None:
    parser.addoption("--known-red", default=str(ROOT / LIST_FILE), help="the list of known failures")
