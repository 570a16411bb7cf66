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

The start reads its file more loosely (``kelpcroft.config.parse``), so that a file that started the router
before still does; this check is for the file that is to replace one in use."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import Any

import orjson

from kelpcroft.deployment_check.known_keys import parse_host_port

FAULTS_MOST = 100  # named in one pass; the rest are counted
EFFECTS = ("safe", "keyed", "unsafe")


@dataclass(frozen=True, slots=True)
class Diagnostic:
    """One reason why a file cannot be used: where, what was found there, and what would do."""

    place: str  # a path of keys and indices, as settings.classes[2].give_up_ns
    found: str
    expected: str

    def __str__(self) -> str:
        return f"{self.place or 'the file'}: {self.found}; {self.expected}"


def decode_config(data: bytes) -> tuple[dict[str, Any] | None, list[Diagnostic]]:
    """The JSON object of a file, or why there is none."""
    if not data.strip():
        return None, [Diagnostic("", "is empty", "a JSON object with the configuration would do")]
    try:
        raw = orjson.loads(data)
    except orjson.JSONDecodeError as error:
        return None, [
            Diagnostic(
                f"line {error.lineno} column {error.colno}",
                f"not JSON: {error.msg}",
                "a whole JSON object would do",
            )
        ]
    if not isinstance(raw, dict):
        return None, [Diagnostic("", f"is a JSON {type(raw).__name__}", "a JSON object would do")]
    return raw, []


def validate_reload(new: dict[str, Any], used: dict[str, Any]) -> list[Diagnostic]:
    """Every fault of ``new``, a file that is to replace ``used``; none where it may be used."""
    faults: list[Diagnostic] = []
    for key in used:
        if key not in new:
            faults.append(Diagnostic(key, "is missing", "the file in use has it"))
    if isinstance(new.get("settings"), dict):
        missing(new["settings"], used.get("settings"), "settings", faults)
    settings = new.get("settings")
    if isinstance(settings, dict):
        classes(settings.get("classes"), faults)
        limits = settings.get("limits")
        if isinstance(limits, dict) and "most_tries" in limits and not whole(limits["most_tries"]):
            faults.append(
                Diagnostic(
                    "settings.limits.most_tries",
                    shown(limits["most_tries"]),
                    "a positive whole number of attempts would do",
                )
            )
    elif "settings" in new:
        faults.append(Diagnostic("settings", shown(settings), "an object would do"))
    feed = new.get("feed")
    if "feed" in new and parse_host_port(feed) is None:
        faults.append(Diagnostic("feed", shown(feed), "an address as host:port would do"))
    return faults[:FAULTS_MOST]


def missing(new: Any, used: Any, place: str, faults: list[Diagnostic]) -> None:
    """Keys of ``used`` that ``new`` lacks, through objects and the items of lists of objects."""
    if isinstance(used, dict) and isinstance(new, dict):
        for key, value in used.items():
            at = f"{place}.{key}" if place else key
            if key not in new:
                faults.append(Diagnostic(at, "is missing", "the file in use has it"))
            else:
                missing(new[key], value, at, faults)
    elif isinstance(used, list) and isinstance(new, list) and used and all(isinstance(u, dict) for u in used):
        common = set.intersection(*(set(u) for u in used))
        for n, item in enumerate(new):
            if not isinstance(item, dict):
                faults.append(Diagnostic(f"{place}[{n}]", shown(item), "an object would do"))
                continue
            for key in sorted(common - set(item)):
                faults.append(Diagnostic(f"{place}[{n}].{key}", "is missing", "every entry in use has it"))


def classes(found: Any, faults: list[Diagnostic]) -> None:
    """The list of classes: each named once, with a deadline and an effect that can be used."""
    if not isinstance(found, list) or not found:
        faults.append(Diagnostic("settings.classes", shown(found), "a list of at least one class would do"))
        return
    names: set[str] = set()
    for n, c in enumerate(found):
        at = f"settings.classes[{n}]"
        if not isinstance(c, dict):
            continue  # named by ``missing`` where the file in use has objects there
        name = c.get("name")
        if not isinstance(name, str) or not name:
            faults.append(Diagnostic(f"{at}.name", shown(name), "a name of at least one character would do"))
        elif name in names:
            faults.append(
                Diagnostic(f"{at}.name", f"{name!r} is named twice", "one class of each name would do")
            )
        else:
            names.add(name)
        if "give_up_ns" in c and not positive(c["give_up_ns"]):
            faults.append(
                Diagnostic(
                    f"{at}.give_up_ns", shown(c["give_up_ns"]), "a positive number of nanoseconds would do"
                )
            )
        effect = c.get("idempotency")
        if effect is not None and effect not in EFFECTS:
            faults.append(
                Diagnostic(f"{at}.idempotency", shown(effect), f"one of {', '.join(EFFECTS)} would do")
            )


def positive(value: Any) -> bool:
    """A number above 0 that is neither true nor false, nor infinite."""
    return (
        not isinstance(value, bool) and isinstance(value, (int, float)) and value > 0 and math.isfinite(value)
    )


def whole(value: Any) -> bool:
    """A whole number above 0."""
    return positive(value) and float(value).is_integer()


def shown(value: Any) -> str:
    """A value as the file has it, cut short."""
    if value is None:
        return "is missing or null"
    plain = isinstance(value, (dict, list, str, int, float, bool))
    text = orjson.dumps(value).decode() if plain else repr(value)
    return f"{text[:60]}{'...' if len(text) > 60 else ''} is not usable"
