"""Whether a configuration read again may be used: all of it or nothing.

A file read at SIGHUP is refused for any of these, each named by its place, all of them in one pass:

- it is empty, or not whole JSON (the place is the line and column where reading stopped);
- a key that the file in use has is missing, at the top or anywhere in ``settings`` (for the list of classes:
  a key that every class in use has); ``known`` is read at the start only, and not looked into;
- a class's ``give_up_ns`` is not a positive number of nanoseconds, or ``limits.most_tries`` not a positive
  whole number of attempts;
- a class has no name, or one that another class has, or an effect that is not ``safe``, ``keyed`` or
  ``unsafe``; there is no class at all;
- ``feed`` is not an address as host:port.

The start reads its file more loosely (``kelpcroft.config.parse_config``), so that a file that started the
router before still does; this check is for the file that is to replace one in use.
"""

from __future__ import annotations

import math
from typing import Any

import orjson

from kelpcroft.deployment_check.known_keys import parse_host_port
from kelpcroft.diagnostics import Diagnostic

MAX_DIAGNOSTICS = 100  # returned of one file; further ones are left out, and not counted
MAX_SHOWN_CHARACTERS = 60  # of a value that cannot be used
IDEMPOTENCY_NAMES = ("safe", "keyed", "unsafe")


def decode_config(data: bytes) -> tuple[dict[str, Any] | None, list[Diagnostic]]:
    """The JSON object of a file, or None and why there is none."""
    if not data.strip():
        return None, [Diagnostic("", "is empty", "a JSON object with the configuration would do")]
    try:
        raw = orjson.loads(data)
    except orjson.JSONDecodeError as error:
        place = f"line {error.lineno} column {error.colno}"
        return None, [Diagnostic(place, f"not JSON: {error.msg}", "a whole JSON object would do")]
    if not isinstance(raw, dict):
        return None, [Diagnostic("", f"is a JSON {type(raw).__name__}", "a JSON object would do")]
    return raw, []


def validate_reload(new: dict[str, Any], used: dict[str, Any]) -> list[Diagnostic]:
    """What is wrong with ``new``, a file that is to replace ``used``; nothing where it may be used."""
    return ReloadCheck().run(new, used)


class ReloadCheck:
    """One pass over a file that is to replace the one in use."""

    def __init__(self) -> None:
        self._found: list[Diagnostic] = []

    def run(self, new: dict[str, Any], used: dict[str, Any]) -> list[Diagnostic]:
        """The diagnostics of ``new``, in the order in which the file is looked through."""
        for key in used:
            if key not in new:
                self._note(key, "is missing", "the file in use has it")
        if "settings" in new:
            self._check_settings(new["settings"], used.get("settings"))
        if "feed" in new and parse_host_port(new["feed"]) is None:
            self._note("feed", unusable_words(new["feed"]), "an address as host:port would do")
        return self._found[:MAX_DIAGNOSTICS]

    def _note(self, place: str, found: str, expected: str) -> None:
        self._found.append(Diagnostic(place, found, expected))

    def _check_settings(self, settings: Any, used: Any) -> None:
        if not isinstance(settings, dict):
            self._note("settings", unusable_words(settings), "an object would do")
            return
        self._check_keys(settings, used, "settings")
        self._check_classes(settings.get("classes"))
        self._check_limits(settings.get("limits"))

    def _check_limits(self, limits: Any) -> None:
        if not isinstance(limits, dict) or "most_tries" not in limits:
            return
        most_tries = limits["most_tries"]
        if not is_positive_whole(most_tries):
            expected = "a positive whole number of attempts would do"
            self._note("settings.limits.most_tries", unusable_words(most_tries), expected)

    def _check_keys(self, new: Any, used: Any, place: str) -> None:
        """Keys of ``used`` that ``new`` lacks, through objects and the items of lists of objects."""
        if isinstance(used, dict) and isinstance(new, dict):
            for key, value in used.items():
                if key not in new:
                    self._note(f"{place}.{key}", "is missing", "the file in use has it")
                else:
                    self._check_keys(new[key], value, f"{place}.{key}")
        elif isinstance(used, list) and isinstance(new, list) and is_list_of_objects(used):
            common = set.intersection(*(set(entry) for entry in used))
            self._check_entries(new, common, place)

    def _check_entries(self, entries: list[Any], common: set[str], place: str) -> None:
        """Keys that every entry in use has, in each entry of a list."""
        for index, entry in enumerate(entries):
            if not isinstance(entry, dict):
                self._note(f"{place}[{index}]", unusable_words(entry), "an object would do")
                continue
            for key in sorted(common - set(entry)):
                self._note(f"{place}[{index}].{key}", "is missing", "every entry in use has it")

    def _check_classes(self, classes: Any) -> None:
        """The list of classes: each named once, with a deadline and an effect that can be used."""
        if not isinstance(classes, list) or not classes:
            expected = "a list of at least one class would do"
            self._note("settings.classes", unusable_words(classes), expected)
            return
        names: set[str] = set()
        for index, entry in enumerate(classes):
            if isinstance(entry, dict):  # others are named with the keys, where the file in use has objects
                self._check_class(entry, f"settings.classes[{index}]", names)

    def _check_class(self, entry: dict[str, Any], place: str, names: set[str]) -> None:
        """One class.  Its name is added to those of the classes before it."""
        name = entry.get("name")
        if not isinstance(name, str) or not name:
            self._note(f"{place}.name", unusable_words(name), "a name of at least one character would do")
        elif name in names:
            self._note(f"{place}.name", f"{name!r} is named twice", "one class of each name would do")
        else:
            names.add(name)
        if "give_up_ns" in entry and not is_positive(entry["give_up_ns"]):
            expected = "a positive number of nanoseconds would do"
            self._note(f"{place}.give_up_ns", unusable_words(entry["give_up_ns"]), expected)
        effect = entry.get("idempotency")
        if effect is not None and effect not in IDEMPOTENCY_NAMES:
            expected = f"one of {', '.join(IDEMPOTENCY_NAMES)} would do"
            self._note(f"{place}.idempotency", unusable_words(effect), expected)


def is_list_of_objects(entries: list[Any]) -> bool:
    """Whether a list of the file holds objects, and at least one."""
    return bool(entries) and all(isinstance(entry, dict) for entry in entries)


def is_positive(value: Any) -> bool:
    """Whether it is a number above 0 that is neither true nor false, nor infinite."""
    if isinstance(value, bool) or not isinstance(value, (int, float)):
        return False
    return value > 0 and math.isfinite(value)


def is_positive_whole(value: Any) -> bool:
    """Whether it is a whole number above 0."""
    return is_positive(value) and float(value).is_integer()


def unusable_words(value: Any) -> str:
    """``VALUE is not usable``, the value as JSON and cut where it is long; None is missing or null."""
    if value is None:
        return "is missing or null"
    is_json = isinstance(value, (dict, list, str, int, float, bool))
    text = orjson.dumps(value).decode() if is_json else repr(value)
    ellipsis = "..." if len(text) > MAX_SHOWN_CHARACTERS else ""
    return f"{text[:MAX_SHOWN_CHARACTERS]}{ellipsis} is not usable"
