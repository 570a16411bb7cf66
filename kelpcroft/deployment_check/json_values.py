"""Values of a JSON configuration: those of one type, and in words."""

from __future__ import annotations

from typing import Any

import orjson

MAX_SHOWN_CHARACTERS = 60
JsonObject = dict[str, Any]  # as it was parsed, before any check


def object_at(parent: JsonObject, key: str) -> JsonObject:
    """An object under a key; empty where there is none."""
    value = parent.get(key)
    return value if isinstance(value, dict) else {}


def list_at(parent: JsonObject, key: str) -> list[Any]:
    """A list under a key; empty where there is none."""
    value = parent.get(key)
    return value if isinstance(value, list) else []


def abbreviated_json(value: Any) -> str:
    """A value as the file has it, cut where it is long."""
    try:
        text = orjson.dumps(value).decode()
    except TypeError:
        text = repr(value)
    return text[:MAX_SHOWN_CHARACTERS] + ("..." if len(text) > MAX_SHOWN_CHARACTERS else "")
