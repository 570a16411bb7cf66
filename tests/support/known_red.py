"""Parser of the list of known failures: at most three lines of ``test | cause | issue``."""

from __future__ import annotations

import re
from dataclasses import dataclass

LIST_FILE = "KNOWN-RED.txt"
MAX_LINES = 3
TEST_ID = re.compile(r"tests/\S+\.py::\S+")
LINE_FORM = "tests/test_x.py::Case::test_y | cause in words | number of the issue"


@dataclass(frozen=True)
class ListedTest:
    """One line of the list."""

    test: str
    cause: str
    issue: str


def parse(text: str) -> tuple[list[ListedTest], list[str]]:
    """Return the usable lines, and an error for each unusable line or for too many lines."""
    found: list[ListedTest] = []
    errors: list[str] = []
    for number, line in enumerate(text.splitlines(), 1):
        if not line.strip() or line.startswith("#"):
            continue
        parts = [part.strip() for part in line.split("|")]
        if len(parts) != 3 or not TEST_ID.fullmatch(parts[0]) or not parts[1] or not parts[2].isdigit():
            errors.append(f"line {number}: {line.strip()[:60]!r} is not '{LINE_FORM}'")
        elif parts[0] in [entry.test for entry in found]:
            errors.append(f"line {number}: {parts[0]} is listed twice; one line per test is allowed")
        else:
            found.append(ListedTest(*parts))
    if len(found) > MAX_LINES:
        errors.append(f"{len(found)} lines; at most {MAX_LINES} are allowed: fix one first")
    return found, errors


def missing_tests(listed: list[ListedTest], known: set[str] | None) -> list[str]:
    """Return an error for each listed test that does not exist; none if ``known`` is None (partial run)."""
    if known is None:
        return []
    return [f"{entry.test}: no such test; remove its line" for entry in listed if entry.test not in known]
