"""Codec of the handover file, in which a process of a router leaves the service state for its successor.

The service state is whether an operator has taken the router out of service.  The functions here perform no
I/O: they convert bytes and take the time as an argument.  ``kelpcroft.net`` writes the file (completely,
under another name, then renamed over the old one).  It reads the file when a process starts, before it
records the end of a process there, and to find out whether the predecessor has ended.

    {"v": 1, "name": "n3", "pid": 4711, "written_ms": 1764576000123, "service": "out",
     "since_ms": 1764575998000, "ended_ms": 1764576000123}

``ended_ms`` is present once a process has ended while another one of the router was running; it is set after
the last send of the ended process.  Unknown fields are ignored.  A later version of the file declares
with ``"least": 1`` that readers of version 1 can still use it.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import Any

import orjson

VERSION = 1  # version of the file's format
MAX_FILE_BYTES = 4_096  # a larger file is rejected
MAX_AGE_NS = 3_600 * 10**9  # an older file no longer describes the router and is rejected
MAX_CLOCK_STEP_MS = 1_000  # a file written this far in the future is still accepted, as after a clock step
MAX_SHOWN_CHARACTERS = 20  # length to which a message shortens an unusable value
MAX_SHOWN_NAME_CHARACTERS = 40  # length to which a message shortens another router's name
NS_PER_MS = 1_000_000
NS_PER_S = 10**9


@dataclass(frozen=True, slots=True)
class HandoverRecord:
    """Content of the handover file: the service state that the last process of this router recorded.

    Times are Unix nanoseconds.
    """

    in_service: bool
    since_ns: int  # when the service state began
    written_ns: int
    pid: int
    ended_ns: int = 0  # when a process last ended while another one was running; 0 = not recorded


class UnusableFileError(ValueError):
    """The file is rejected; the message gives the reason and is to be shown after the file's path."""


def file_path(folder: str, name: str) -> str:
    """The path of a router's handover file; a slash in the name, which the platform gives, is replaced."""
    return f"{folder.rstrip('/')}/kelpcroft-{name.replace('/', '_')}.json"


def encode(name: str, pid: int, now_ns: int, in_service: bool, since_ns: int, ended_ns: int = 0) -> bytes:
    """Encode the file's content.

    Args:
        name: The name of the router.
        pid: The id of the process that writes.
        now_ns: The current time in Unix nanoseconds, as are ``since_ns`` and ``ended_ns``.
        in_service: Whether the router is in service; False if an operator has taken it out.
        since_ns: When the service state began.
        ended_ns: When a process of this router ended while another one was running; 0 = not recorded.
    """
    record: dict[str, object] = {
        "v": VERSION,
        "name": name,
        "pid": pid,
        "written_ms": now_ns // NS_PER_MS,
        "service": "in" if in_service else "out",
        "since_ms": since_ns // NS_PER_MS,
    }
    if ended_ns:
        record["ended_ms"] = ended_ns // NS_PER_MS
    return orjson.dumps(record) + b"\n"


def decode(data: bytes, name: str, now_ns: int) -> tuple[HandoverRecord | None, str]:
    """Decode the file: its record and "", or None and the reason why it is rejected.

    Reasons are: the file is too large, is not JSON, has an unknown version, is another router's, lacks a
    field or has one of the wrong type, or was written in the future or too long ago.
    """
    try:
        return parse(data, name, now_ns), ""
    except UnusableFileError as error:
        return None, str(error)


def parse(data: bytes, name: str, now_ns: int) -> HandoverRecord:
    """Decode the file.

    Raises:
        UnusableFileError: The file is rejected.
    """
    raw = parse_object(data, MAX_FILE_BYTES)
    check_version(raw, VERSION)
    check_name(raw, name)
    check_fields(raw)
    written_ns = raw["written_ms"] * NS_PER_MS
    if written_ns > now_ns + NS_PER_MS * MAX_CLOCK_STEP_MS or not math.isfinite(written_ns):
        raise UnusableFileError("was written in the future")
    if now_ns - written_ns > MAX_AGE_NS:
        raise UnusableFileError(f"was written {(now_ns - written_ns) // NS_PER_S} s ago")
    return HandoverRecord(
        in_service=raw["service"] == "in",
        since_ns=raw["since_ms"] * NS_PER_MS,
        written_ns=written_ns,
        pid=raw["pid"],
        ended_ns=raw.get("ended_ms", 0) * NS_PER_MS,
    )


def parse_object(data: bytes, max_bytes: int) -> dict[str, Any]:
    """Decode the JSON object of a file of at most ``max_bytes``.

    Raises:
        UnusableFileError: The file is too large, or is not a JSON object.
    """
    if len(data) > max_bytes:
        raise UnusableFileError(f"is over {max_bytes} bytes")
    try:
        raw: Any = orjson.loads(data)
    except orjson.JSONDecodeError as error:
        raise UnusableFileError(f"is not JSON: {error.msg}") from error
    if not isinstance(raw, dict):
        raise UnusableFileError("is not a JSON object")
    return raw


def check_version(raw: dict[str, Any], supported: int) -> None:
    """Raise UnusableFileError for a version of a file's format that this reader does not support."""
    version = raw.get("v")
    min_version = raw.get("least", version)
    is_current_or_later = isinstance(version, int) and not isinstance(version, bool) and version >= supported
    if not is_current_or_later or isinstance(min_version, bool) or min_version != supported:
        shown = str(version)[:MAX_SHOWN_CHARACTERS]
        raise UnusableFileError(f"v: {shown!r} is not a version known here ({supported})")


def check_name(raw: dict[str, Any], name: str) -> None:
    """Raise UnusableFileError for a file of another router."""
    if raw.get("name") != name:
        shown = str(raw.get("name"))[:MAX_SHOWN_NAME_CHARACTERS]
        raise UnusableFileError(f"name: {shown!r} is another router's")


def check_fields(raw: dict[str, Any]) -> None:
    """Raise UnusableFileError for a field that is missing, of the wrong type or out of range."""
    for key in ("pid", "written_ms", "since_ms"):
        value = raw.get(key)
        if isinstance(value, bool) or not isinstance(value, int) or value < 0:
            raise unusable_field(key, value, "not a whole number of at least 0")
    ended_ms = raw.get("ended_ms", 0)
    if isinstance(ended_ms, bool) or not isinstance(ended_ms, int) or not 0 <= ended_ms <= raw["written_ms"]:
        raise unusable_field("ended_ms", ended_ms, "not a time before it was written")
    if raw.get("service") not in ("in", "out"):
        raise unusable_field("service", raw.get("service"), "neither in nor out")


def unusable_field(key: str, value: object, reason: str) -> UnusableFileError:
    """The error for an unusable field."""
    return UnusableFileError(f"{key}: {str(value)[:MAX_SHOWN_CHARACTERS]!r} is {reason}")
