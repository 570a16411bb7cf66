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

from tests.support.known_red import LISTED, Listed, faults, read

ROOT = Path(__file__).parent.parent


class Red:
    """Plugin that changes the reports of the listed tests."""

    def __init__(self, listed: list[Listed]) -> None:
        self.listed = {one.test: one for one in listed}
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
                report.outcome, report.longrepr = "failed", f"{item.nodeid} passes: take it out of {LISTED}"
        return report

    def pytest_terminal_summary(self, terminalreporter: Any) -> None:
        for test, how in self.failed.items():
            one = self.listed[test]
            terminalreporter.write_line(f"KNOWN RED {test}: {how} (cause: {one.cause}; issue {one.issue})")


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    path = Path(config.getoption("--known-red"))
    if not path.exists():
        return
    listed, wrong = read(path.read_text())
    known = {item.nodeid for item in items}
    files = {item.nodeid.partition("::")[0] for item in items}
    # A run of some files checks only the listed tests of these files, and of files that do not exist.
    here = [
        one
        for one in listed
        if one.test.partition("::")[0] in files or not (ROOT / one.test.partition("::")[0]).exists()
    ]
    wrong += faults(here, known if not config.getoption("keyword") else None)
    if wrong:
        raise pytest.UsageError("\n".join(f"{path.name}: {why}" for why in wrong))
    config.pluginmanager.register(Red(listed), "known-red")


def pytest_addoption(parser: pytest.Parser) -> None:
    parser.addoption("--known-red", default=str(ROOT / LISTED), help="the list of known failures")
