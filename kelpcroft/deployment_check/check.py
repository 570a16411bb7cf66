"""Whether a configuration can be used, key by key, and where it contradicts itself.

Each diagnostic has a level, see ``kelpcroft.diagnostics.Severity``: with a fault the program does not start.
"""

from __future__ import annotations

from collections.abc import Collection, Iterator
from typing import Any

from kelpcroft.deployment_check.contradictions import contradictions
from kelpcroft.deployment_check.json_values import JsonObject, abbreviated_json
from kelpcroft.deployment_check.known_keys import CONFIGURATION_KEYS
from kelpcroft.diagnostics import Diagnostic, Severity

MAX_DIAGNOSTICS = 100  # returned of one configuration, the worst first
NEEDED_PATHS = ("feed", "known", "settings.az", "settings.dcs")
OBJECT_PATHS = (
    "limits",
    "settings",
    "settings.limits",
    "settings.contract",
    "settings.family_info",
    "settings.report",
)
ROOT_PATH = ""
# Keys that hold others, by the path of their object; they stand in the table only by what they hold.
CONTAINER_KEYS = {
    ROOT_PATH: ("limits", "settings"),
    "settings": ("limits", "contract", "family_info", "report", "classes"),
}
LEVELS_BY_WEIGHT = (Severity.ERROR, Severity.WARNING, Severity.UNKNOWN)


def check_configuration(raw: JsonObject) -> list[Diagnostic]:
    """All diagnostics, faults first, each level in the order of the keys; MAX_DIAGNOSTICS at the most.

    ROUTER_NAME and ROUTER_LISTEN may stand in for ``name`` and ``listen``, so their absence is none.
    """
    found = [*missing_values(raw), *malformed_values(raw), *unknown_keys(raw)]
    settings = raw.get("settings")
    if isinstance(settings, dict):
        found += contradictions(settings)
    return sorted(found, key=lambda d: LEVELS_BY_WEIGHT.index(d.level))[:MAX_DIAGNOSTICS]


def values_at(raw: Any, path: str, parent: str = "") -> Iterator[tuple[str, Any]]:
    """What stands under a path of the table, with its place; nothing where it is absent or null.

    Args:
        raw: A JSON object; anything else holds nothing.
        path: Keys joined by dots; ``[]`` behind one stands for each entry of a list.
        parent: The place of ``raw``.
    """
    step, _, rest = path.partition(".")
    key = step.removesuffix("[]")
    if not isinstance(raw, dict) or raw.get(key) is None:
        return
    value = raw[key]
    place = f"{parent}.{key}" if parent else key
    found = [(place, value)]
    if step.endswith("[]") and isinstance(value, list):
        found = [(f"{place}[{index}]", entry) for index, entry in enumerate(value)]
    for entry_place, entry in found:
        if rest:
            yield from values_at(entry, rest, entry_place)
        else:
            yield entry_place, entry


def missing_values(raw: JsonObject) -> Iterator[Diagnostic]:
    """What the program needs and the configuration does not have."""
    has_settings = raw.get("settings") is not None
    if not has_settings:
        yield Diagnostic("settings", "is missing", "the program does not start without them")
    for path in NEEDED_PATHS:
        if not has_settings and path.startswith("settings."):
            continue
        if not any(True for _ in values_at(raw, path)):
            yield Diagnostic(path, "is missing", "the program does not start without it")
    if isinstance(raw.get("settings"), dict):
        yield from missing_class_values(raw["settings"].get("classes"))


def missing_class_values(classes: Any) -> Iterator[Diagnostic]:
    """Classes are a list of objects with a name each, one at the least."""
    if not isinstance(classes, list) or not classes:
        yield Diagnostic("settings.classes", "is missing or empty", "a list of at least one class would do")
        return
    for index, entry in enumerate(classes):
        place = f"settings.classes[{index}]"
        if not isinstance(entry, dict):
            yield Diagnostic(place, abbreviated_json(entry), "an object would do")
        elif "name" not in entry:
            yield Diagnostic(f"{place}.name", "is missing", "a text would do")


def malformed_values(raw: JsonObject) -> Iterator[Diagnostic]:
    """Values of a form that cannot be used.  Of those that nobody reads it is only doubted."""
    for path in OBJECT_PATHS:
        for place, value in values_at(raw, path):
            if not isinstance(value, dict):
                yield Diagnostic(place, abbreviated_json(value), "an object would do")
    for key in CONFIGURATION_KEYS:
        for place, value in values_at(raw, key.path):
            expected = key.form(value)
            if expected:
                level = Severity.ERROR if key.reader else Severity.WARNING
                yield Diagnostic(place, abbreviated_json(value), expected, level)


def unknown_keys(raw: JsonObject) -> Iterator[Diagnostic]:
    """Keys that the table does not have."""
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
    """Keys of one object that are none of the known ones."""
    for name in value:
        if name not in known:
            from difflib import get_close_matches  # not in a process whose every key is known

            near = get_close_matches(name, known, 1)
            yield Diagnostic(
                f"{place}.{name}" if place else name,
                "is not a key known here",
                f"did you mean {near[0]}?" if near else "it is passed over",
                Severity.UNKNOWN,
            )
