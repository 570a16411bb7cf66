"""Diagnostics of a configuration: missing, malformed, unknown and contradictory values.

Each diagnostic has a level, see ``kelpcroft.diagnostics.Severity``.  With an error the router does not start.
"""

from __future__ import annotations

from collections.abc import Collection, Iterator
from typing import Any

from kelpcroft.deployment_check.contradictions import contradictions
from kelpcroft.deployment_check.json_values import JsonObject, abbreviated_json
from kelpcroft.deployment_check.known_keys import CONFIGURATION_KEYS
from kelpcroft.diagnostics import Diagnostic, Severity

MAX_DIAGNOSTICS = 100  # returned for one configuration; the most severe are kept
# Paths without which the router does not start; classes are checked separately.
REQUIRED_PATHS = ("feed", "known", "settings.az", "settings.dcs")
# Paths whose value must be an object.
OBJECT_PATHS = (
    "limits",
    "settings",
    "settings.limits",
    "settings.contract",
    "settings.family_info",
    "settings.report",
)
ROOT_PATH = ""  # path of the configuration itself
# Keys whose value is an object or a list of objects, by the path of the object that contains them.  The table
# of known keys has only the keys inside them.
CONTAINER_KEYS = {
    ROOT_PATH: ("limits", "settings"),
    "settings": ("limits", "contract", "family_info", "report", "classes"),
}
# The most severe level first.
LEVELS_BY_SEVERITY = (Severity.ERROR, Severity.WARNING, Severity.UNKNOWN)


def check_configuration(raw: JsonObject) -> list[Diagnostic]:
    """Return at most MAX_DIAGNOSTICS diagnostics, errors first, each level in the order in which it is found.

    A missing ``name`` or ``listen`` is not reported, because ROUTER_NAME and ROUTER_LISTEN may replace them.
    """
    diagnostics = [*missing_values(raw), *malformed_values(raw), *unknown_keys(raw)]
    settings = raw.get("settings")
    if isinstance(settings, dict):
        diagnostics += contradictions(settings)
    return sorted(diagnostics, key=lambda diagnostic: LEVELS_BY_SEVERITY.index(diagnostic.level))[
        :MAX_DIAGNOSTICS
    ]


def values_at(raw: Any, path: str, parent: str = "") -> Iterator[tuple[str, Any]]:
    """Yield each value at a path of the table, with its place; none if it is absent or null.

    Args:
        raw: A JSON object; any other value yields nothing.
        path: Keys joined by dots; ``[]`` after a key means each entry of its list.
        parent: The place of ``raw``.
    """
    step, _, rest = path.partition(".")
    key = step.removesuffix("[]")
    if not isinstance(raw, dict) or raw.get(key) is None:
        return
    value = raw[key]
    place = f"{parent}.{key}" if parent else key
    placed_values = [(place, value)]
    if step.endswith("[]") and isinstance(value, list):
        placed_values = [(f"{place}[{index}]", entry) for index, entry in enumerate(value)]
    for entry_place, entry in placed_values:
        if rest:
            yield from values_at(entry, rest, entry_place)
        else:
            yield entry_place, entry


def missing_values(raw: JsonObject) -> Iterator[Diagnostic]:
    """Yield a diagnostic for each required value that is missing."""
    has_settings = raw.get("settings") is not None
    if not has_settings:
        yield Diagnostic(
            "settings", "is missing", "must be an object, because the program does not start without it"
        )
    for path in REQUIRED_PATHS:
        if not has_settings and path.startswith("settings."):
            continue
        if not any(True for _ in values_at(raw, path)):
            yield Diagnostic(path, "is missing", "must be set, because the program does not start without it")
    if isinstance(raw.get("settings"), dict):
        yield from missing_class_values(raw["settings"].get("classes"))


def missing_class_values(classes: Any) -> Iterator[Diagnostic]:
    """Check that the classes are a list of at least one object, each with a name."""
    if not isinstance(classes, list) or not classes:
        yield Diagnostic("settings.classes", "is missing or empty", "must be a list of at least one class")
        return
    for index, entry in enumerate(classes):
        place = f"settings.classes[{index}]"
        if not isinstance(entry, dict):
            yield Diagnostic(place, abbreviated_json(entry), "must be an object")
        elif "name" not in entry:
            yield Diagnostic(f"{place}.name", "is missing", "must be a text that is not empty")


def malformed_values(raw: JsonObject) -> Iterator[Diagnostic]:
    """Yield a diagnostic for each value of an unusable form: an error, or a warning if no module reads it."""
    for path in OBJECT_PATHS:
        for place, value in values_at(raw, path):
            if not isinstance(value, dict):
                yield Diagnostic(place, abbreviated_json(value), "must be an object")
    for key in CONFIGURATION_KEYS:
        for place, value in values_at(raw, key.path):
            expected = key.form(value)
            if expected:
                level = Severity.ERROR if key.reader else Severity.WARNING
                yield Diagnostic(place, abbreviated_json(value), expected, level)


def unknown_keys(raw: JsonObject) -> Iterator[Diagnostic]:
    """Yield a diagnostic for each key that is not in the table."""
    known: dict[str, set[str]] = {path: set(keys) for path, keys in CONTAINER_KEYS.items()}
    for key in CONFIGURATION_KEYS:
        parent, _, last = key.path.rpartition(".")
        known.setdefault(parent, set()).add(last)
    for path, names in known.items():
        objects = [("", raw)] if path == ROOT_PATH else values_at(raw, path)
        for place, value in objects:
            if isinstance(value, dict):
                yield from unknown_keys_of(place, value, names)


def unknown_keys_of(place: str, value: JsonObject, known: Collection[str]) -> Iterator[Diagnostic]:
    """Yield a diagnostic for each unknown key of one object."""
    for name in value:
        if name not in known:
            from difflib import get_close_matches  # imported only if a key is unknown

            close_matches = get_close_matches(name, known, 1)
            yield Diagnostic(
                f"{place}.{name}" if place else name,
                "is not a key known here",
                f"did you mean {close_matches[0]}?" if close_matches else "it is ignored",
                Severity.UNKNOWN,
            )
