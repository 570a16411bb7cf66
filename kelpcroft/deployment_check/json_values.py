"""Access to values of a JSON configuration by type, and their text in diagnostics."""

from __future__ import annotations

from typing import Any

import orjson

MAX_SHOWN_CHARACTERS = 60  # length of a value in a diagnostic
JsonObject = dict[str, Any]  # as parsed, before any check


def object_at(parent: JsonObject, key: str) -> JsonObject:
    """Return the object at a key; empty if the key is absent or its value is no object."""
    value = parent.get(key)
    return value if isinstance(value, dict) else {}


def list_at(parent: JsonObject, key: str) -> list[Any]:
    """Return the list at a key; empty if the key is absent or its value is no list."""
    value = parent.get(key)
    return value if isinstance(value, list) else []


def abbreviated_json(value: Any) -> str:
    """Return a value as JSON text, cut after MAX_SHOWN_CHARACTERS."""
    try:
        text = orjson.dumps(value).decode()
    except TypeError:
        text = repr(value)
    return text[:MAX_SHOWN_CHARACTERS] + ("..." if len(text) > MAX_SHOWN_CHARACTERS else "")
