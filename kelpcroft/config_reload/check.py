"""Check of a configuration file, which is applied completely or not at all.

``check_file`` is the only check of a file, at a start, at a reload (SIGHUP) and in an upgrade.  A file is
rejected for each error of ``kelpcroft.deployment_check`` and for each of the following ones.  One pass
reports all of them, each with its place:

- the file is empty or is not complete JSON (the place is the line and column where decoding stopped);
- a key of the file of the start is missing, at the top level or anywhere in ``settings`` (in the list of
  classes: a key that every class of that file has); the contents of ``known`` are not checked, as only a
  start reads them.  Keys that only a later file has are not required, so that the file of the start can
  always be restored.  In an upgrade, the file of the start is the predecessor's; at any other start no key
  is required;
- a class's ``give_up_ns`` is not a positive number of nanoseconds, or ``limits.most_tries`` is not a positive
  whole number of attempts;
- a class has no name, has the name of another class, or has an idempotency that is not ``safe``, ``keyed`` or
  ``unsafe``; or the file has no class;
- ``feed`` is not an address as host:port.
"""

from __future__ import annotations

import math
from typing import Any

import orjson

from kelpcroft.deployment_check import check_configuration
from kelpcroft.deployment_check.known_keys import parse_host_port
from kelpcroft.diagnostics import Diagnostic, Severity

MAX_DIAGNOSTICS = 100  # reported for one file; further ones are dropped and not counted
MAX_SHOWN_CHARACTERS = 60  # length of an unusable value in a message
IDEMPOTENCY_NAMES = ("safe", "keyed", "unsafe")


def decode_config(data: bytes) -> tuple[dict[str, Any] | None, list[Diagnostic]]:
    """Decode a file's JSON object; returns None and a diagnostic where the file has none."""
    if not data.strip():
        return None, [Diagnostic("", "is empty", "must be a JSON object with the configuration")]
    try:
        raw = orjson.loads(data)
    except orjson.JSONDecodeError as error:
        place = f"line {error.lineno} column {error.colno}"
        return None, [Diagnostic(place, f"not JSON: {error.msg}", "must be a complete JSON object")]
    if not isinstance(raw, dict):
        return None, [Diagnostic("", f"is a JSON {type(raw).__name__}", "must be a JSON object")]
    return raw, []


def check_file(
    data: bytes, required: dict[str, Any] | None
) -> tuple[dict[str, Any] | None, list[Diagnostic]]:
    """Decode and check a configuration file.

    Args:
        data: The file.
        required: The file with which the router started, whose keys are required; None = no key is.

    Returns:
        The file's JSON and its warnings; None and its errors if it has an error.
    """
    raw, diagnostics = decode_config(data)
    if raw is None:
        return None, diagnostics
    errors = validate_config(raw, required)
    places = {error.place for error in errors}
    others = [other for other in check_configuration(raw) if other.place not in places]
    errors += [other for other in others if other.level is Severity.ERROR]
    if errors:
        return None, errors[:MAX_DIAGNOSTICS]
    return raw, others


def validate_config(new: dict[str, Any], required: dict[str, Any] | None) -> list[Diagnostic]:
    """Return the errors of this module's rules in a file.

    Args:
        new: The file.
        required: The file with which the router started, whose keys are required; None = no key is.
    """
    return ConfigCheck().run(new, required or {})


class ConfigCheck:
    """One pass over a configuration file."""

    def __init__(self) -> None:
        self._diagnostics: list[Diagnostic] = []

    def run(self, new: dict[str, Any], start: dict[str, Any]) -> list[Diagnostic]:
        """Return the diagnostics of ``new``, in the order of the checks."""
        for key in start:
            if key not in new:
                self._report(key, "is missing", "must be set, because the file of the start has this key")
        if "settings" in new:
            self._check_settings(new["settings"], start.get("settings"))
        if "feed" in new and parse_host_port(new["feed"]) is None:
            self._report("feed", describe_unusable(new["feed"]), "must be an address as host:port")
        return self._diagnostics[:MAX_DIAGNOSTICS]

    def _report(self, place: str, found: str, expected: str) -> None:
        self._diagnostics.append(Diagnostic(place, found, expected))

    def _check_settings(self, settings: Any, start: Any) -> None:
        if not isinstance(settings, dict):
            self._report("settings", describe_unusable(settings), "must be an object")
            return
        self._check_keys(settings, start, "settings")
        self._check_classes(settings.get("classes"))
        self._check_limits(settings.get("limits"))

    def _check_limits(self, limits: Any) -> None:
        if not isinstance(limits, dict) or "most_tries" not in limits:
            return
        max_attempts = limits["most_tries"]
        if not is_positive_whole(max_attempts):
            expected = "must be a positive whole number of attempts"
            self._report("settings.limits.most_tries", describe_unusable(max_attempts), expected)

    def _check_keys(self, new: Any, start: Any, place: str) -> None:
        """Report the keys of ``start`` that ``new`` lacks, also in nested objects and lists of objects."""
        if isinstance(start, dict) and isinstance(new, dict):
            for key, value in start.items():
                if key not in new:
                    self._report(
                        f"{place}.{key}",
                        "is missing",
                        "must be set, because the file of the start has this key",
                    )
                else:
                    self._check_keys(new[key], value, f"{place}.{key}")
        elif isinstance(start, list) and isinstance(new, list) and is_list_of_objects(start):
            common = set.intersection(*(set(entry) for entry in start))
            self._check_entries(new, common, place)

    def _check_entries(self, entries: list[Any], common: set[str], place: str) -> None:
        """Report, for each entry of a list, the missing keys that every entry of the start has."""
        for index, entry in enumerate(entries):
            if not isinstance(entry, dict):
                self._report(f"{place}[{index}]", describe_unusable(entry), "must be an object")
                continue
            for key in sorted(common - set(entry)):
                self._report(
                    f"{place}[{index}].{key}",
                    "is missing",
                    "must be set, because every entry in the file of the start has this key",
                )

    def _check_classes(self, classes: Any) -> None:
        """Check the list of classes: each has a unique name, a valid deadline and a valid idempotency."""
        if not isinstance(classes, list) or not classes:
            expected = "must be a list of at least one class"
            self._report("settings.classes", describe_unusable(classes), expected)
            return
        names: set[str] = set()
        for index, entry in enumerate(classes):
            if isinstance(entry, dict):  # _check_keys reports entries of other types
                self._check_class(entry, f"settings.classes[{index}]", names)

    def _check_class(self, entry: dict[str, Any], place: str, names: set[str]) -> None:
        """Check one class, and add its name to ``names``, the names of the classes before it."""
        name = entry.get("name")
        if not isinstance(name, str) or not name:
            self._report(f"{place}.name", describe_unusable(name), "must be a name of at least one character")
        elif name in names:
            self._report(f"{place}.name", f"{name!r} is the name of another class", "must be unique")
        else:
            names.add(name)
        if "give_up_ns" in entry and not is_positive(entry["give_up_ns"]):
            expected = "must be a positive number of nanoseconds"
            self._report(f"{place}.give_up_ns", describe_unusable(entry["give_up_ns"]), expected)
        idempotency = entry.get("idempotency")
        if idempotency is not None and idempotency not in IDEMPOTENCY_NAMES:
            expected = f"must be one of {', '.join(IDEMPOTENCY_NAMES)}"
            self._report(f"{place}.idempotency", describe_unusable(idempotency), expected)


def is_list_of_objects(entries: list[Any]) -> bool:
    """Whether a list is not empty and contains only objects."""
    return bool(entries) and all(isinstance(entry, dict) for entry in entries)


def is_positive(value: Any) -> bool:
    """Whether a value is a finite number above 0, and not a boolean."""
    if isinstance(value, bool) or not isinstance(value, (int, float)):
        return False
    return value > 0 and math.isfinite(value)


def is_positive_whole(value: Any) -> bool:
    """Whether a value is a whole number above 0."""
    return is_positive(value) and float(value).is_integer()


def describe_unusable(value: Any) -> str:
    """Describe an unusable value as ``VALUE is not usable``, in JSON and shortened where it is long.

    None is described as missing or null.
    """
    if value is None:
        return "is missing or null"
    is_json = isinstance(value, (dict, list, str, int, float, bool))
    text = orjson.dumps(value).decode() if is_json else repr(value)
    ellipsis = "..." if len(text) > MAX_SHOWN_CHARACTERS else ""
    return f"{text[:MAX_SHOWN_CHARACTERS]}{ellipsis} is not usable"
