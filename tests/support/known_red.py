"""Parser of the list of known failures: at most three lines of ``test | cause | issue``."""

from __future__ import annotations

import re
from dataclasses import dataclass

LISTED = "KNOWN-RED.txt"
MOST = 3
TEST = re.compile(r"tests/\S+\.py::\S+")
FORM = "tests/test_x.py::Case::test_y | cause in words | number of the issue"


@dataclass(frozen=True)
class Listed:
    """One line of the list."""

    test: str
    cause: str
    issue: str


def read(text: str) -> tuple[list[Listed], list[str]]:
    """Return the usable lines, and an error for each unusable line or for too many lines."""
    found: list[Listed] = []
    wrong: list[str] = []
    for number, line in enumerate(text.splitlines(), 1):
        if not line.strip() or line.startswith("#"):
            continue
        parts = [part.strip() for part in line.split("|")]
        if len(parts) != 3 or not TEST.fullmatch(parts[0]) or not parts[1] or not parts[2].isdigit():
            wrong.append(f"line {number}: {line.strip()[:60]!r} is not '{FORM}'")
        elif parts[0] in [one.test for one in found]:
            wrong.append(f"line {number}: {parts[0]} is listed twice; one line per test is allowed")
        else:
            found.append(Listed(*parts))
    if len(found) > MOST:
        wrong.append(f"{len(found)} lines; at most {MOST} are allowed: fix one first")
    return found, wrong


def faults(listed: list[Listed], known: set[str] | None) -> list[str]:
    """Return an error for each listed test that does not exist; none if ``known`` is None (partial run)."""
    if known is None:
        return []
    return [f"{one.test}: no such test; remove its line" for one in listed if one.test not in known]
