"""Codec of the file in which a process leaves the settings that it replaced last for its successor.

For some time after a reload, clients may use the settings of either file, so the stricter of both apply.  A
process that starts within that time has read the new file only.  The functions here perform no I/O.

    {"v": 1, "name": "n3", "pid": 4711, "replaced": [{"settings": {...}, "at_ns": 1764576000123000000}]}

Unknown fields are ignored.  A later version of the format declares with ``"least": 1`` that readers of
version 1 can still use it.
"""

from __future__ import annotations

from typing import Any, Final

import orjson

from kelpcroft.core.inputs import ReplacedSettings
from kelpcroft.store.handover import UnusableFileError, check_name, check_version, parse_object

VERSION: Final = 1  # version of the file's format
MAX_FILE_BYTES: Final = 1 << 20  # a larger file is neither written nor read


class SettingsTooLargeError(ValueError):
    """The replaced settings are over MAX_FILE_BYTES."""


def encode_replaced_settings(name: str, pid: int, replaced: tuple[ReplacedSettings, ...]) -> bytes:
    """Encode the replaced settings of the process ``pid`` of the router ``name``.

    Raises:
        SettingsTooLargeError: The encoded settings are too large.
    """
    entries = [{"settings": entry.settings, "at_ns": entry.replaced_ns} for entry in replaced]
    data = orjson.dumps({"v": VERSION, "name": name, "pid": pid, "replaced": entries}) + b"\n"
    if len(data) > MAX_FILE_BYTES:
        raise SettingsTooLargeError(f"{len(data)} bytes are over {MAX_FILE_BYTES}")
    return data


def decode_replaced_settings(data: bytes, name: str) -> tuple[ReplacedSettings, ...]:
    """Decode the file that a process of the router ``name`` left.

    Raises:
        UnusableFileError: The file is too large, is not JSON, has an unknown version, is another router's, or
            has a field of the wrong type.
    """
    raw = parse_object(data, MAX_FILE_BYTES)
    check_version(raw, VERSION)
    check_name(raw, name)
    entries = raw.get("replaced")
    if not isinstance(entries, list):
        raise UnusableFileError("replaced: is not a list")
    return tuple(_decode_entry(entry) for entry in entries)


def _decode_entry(entry: Any) -> ReplacedSettings:
    """Decode one entry of the list.

    Raises:
        UnusableFileError: A field is missing or has the wrong type.
    """
    if not isinstance(entry, dict):
        raise UnusableFileError("replaced: an entry is not an object")
    settings, at_ns = entry.get("settings"), entry.get("at_ns")
    if not isinstance(settings, dict):
        raise UnusableFileError("settings: is not an object")
    if isinstance(at_ns, bool) or not isinstance(at_ns, int) or at_ns < 0:
        raise UnusableFileError("at_ns: is not a whole number of at least 0")
    return ReplacedSettings(settings, at_ns)
