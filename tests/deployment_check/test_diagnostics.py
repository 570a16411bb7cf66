"""The diagnostic type: its two printed forms, also for empty places and unprintable characters."""

from __future__ import annotations

import pytest

from kelpcroft.diagnostics import Diagnostic, FilePosition, Severity


def test_a_configuration_is_printed_by_its_path_of_keys() -> None:
    diagnostic = Diagnostic("settings.az", '"mars" is not one of dcs', "must be the router's own zone")
    assert str(diagnostic) == 'settings.az: "mars" is not one of dcs; must be the router\'s own zone'


def test_a_fault_without_a_place_is_the_whole_file() -> None:
    assert str(Diagnostic("", "is empty", "must be a JSON object")).startswith("the file: is empty; ")


def test_an_unknown_key_may_be_the_empty_text() -> None:
    diagnostic = Diagnostic("", "is not a key known here", "it is ignored", Severity.UNKNOWN)
    assert str(diagnostic) == ": is not a key known here; it is ignored"


@pytest.mark.parametrize(
    ("message", "printed"),
    [("plain", "plain"), ("two\nlines", "two\\u000alines"), ("\x1b[31m", "\\u001b[31m")],
    ids=["plain", "line end", "escape"],
)
def test_a_kdl_file_is_printed_on_one_line(message: str, printed: str) -> None:
    diagnostic = Diagnostic(position=FilePosition(6, 13), code="bad-duration", found=message)
    assert diagnostic.format_for("a.kdl") == f"a.kdl:6:13: bad-duration: {printed}"


def test_levels_are_printed_by_their_values() -> None:
    assert [f"{level}" for level in Severity] == ["fault", "doubt", "unknown"]
