"""The file that one process of a router leaves for the next: whether an operator has it out of service.

Pure: bytes in and out, and the time as an argument.  ``kelpcroft.net`` writes the file (whole, under another
name, then renamed over the old one) and reads it once at the start of a process.

    {"v": 1, "name": "n3", "pid": 4711, "written_ms": 1764576000123, "service": "out",
     "since_ms": 1764575998000, "ended_ms": 1764576000123}

``ended_ms`` is there once a process has ended beside another: after its last send.  Versions: fields that are
not known are passed over, and a later version that this one can still read says so by ``"least": 1``.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import Any

import orjson

VERSION = 1
MAX_FILE_BYTES = 4_096  # a larger file is not read
MAX_AGE_NS = 3_600 * 10**9  # one written longer ago than this says nothing of the router now
MAX_CLOCK_STEP_MS = 1_000  # one written so far in the future still counts
MAX_SHOWN_CHARACTERS = 20  # of a value that cannot be used
MAX_SHOWN_NAME_CHARACTERS = 40
NS_PER_MS = 1_000_000
NS_PER_S = 10**9


@dataclass(frozen=True, slots=True)
class HandoverRecord:
    """What the last process of this router said when it last changed its state of service.

    Times are Unix ns.
    """

    in_service: bool
    since_ns: int  # when that state began
    written_ns: int
    pid: int
    ended_ns: int = 0  # when a process of this router last ended beside another; 0 = not told


class UnusableFileError(ValueError):
    """The file is not taken; the text says why, to go after the file's path."""


def file_path(folder: str, name: str) -> str:
    """Where the file of a router lies; names are the platform's and have no slash."""
    return f"{folder.rstrip('/')}/kelpcroft-{name.replace('/', '_')}.json"


def encode(name: str, pid: int, now_ns: int, in_service: bool, since_ns: int, ended_ns: int = 0) -> bytes:
    """The file's bytes.

    Args:
        name: the router's.
        pid: of the process that writes.
        now_ns: Unix ns, as ``since_ns`` and ``ended_ns``.
        in_service: no operator has it out of service.
        since_ns: when that state began.
        ended_ns: when a process of this router ended beside another; 0 = not told.
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
    """What the file says, or None and why it is not taken.

    That is: too large, not JSON, an unknown version, another router's, a field missing or of the wrong type,
    written in the future or too long ago.
    """
    try:
        return parse(data, name, now_ns), ""
    except UnusableFileError as error:
        return None, str(error)


def parse(data: bytes, name: str, now_ns: int) -> HandoverRecord:
    """What the file says.  Raises UnusableFileError."""
    raw = parse_object(data)
    check_version(raw)
    if raw.get("name") != name:
        found = str(raw.get("name"))[:MAX_SHOWN_NAME_CHARACTERS]
        raise UnusableFileError(f"name: {found!r} is another router's")
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


def parse_object(data: bytes) -> dict[str, Any]:
    """The file's JSON object."""
    if len(data) > MAX_FILE_BYTES:
        raise UnusableFileError(f"is over {MAX_FILE_BYTES} bytes")
    try:
        raw: Any = orjson.loads(data)
    except orjson.JSONDecodeError as error:
        raise UnusableFileError(f"is not JSON: {error.msg}") from error
    if not isinstance(raw, dict):
        raise UnusableFileError("is not a JSON object")
    return raw


def check_version(raw: dict[str, Any]) -> None:
    """Refuse a version that this one cannot read."""
    version = raw.get("v")
    least = raw.get("least", version)
    is_later = isinstance(version, int) and not isinstance(version, bool) and version >= VERSION
    if not is_later or isinstance(least, bool) or least != VERSION:
        found = str(version)[:MAX_SHOWN_CHARACTERS]
        raise UnusableFileError(f"v: {found!r} is not a version known here ({VERSION})")


def check_fields(raw: dict[str, Any]) -> None:
    """Refuse a field that is missing or of the wrong type."""
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
    """The error for a field that cannot be used."""
    return UnusableFileError(f"{key}: {str(value)[:MAX_SHOWN_CHARACTERS]!r} is {reason}")
