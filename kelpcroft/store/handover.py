"""The file that one process of a router leaves for the next: whether an operator has it out of service.

Pure: bytes in and out, and the time as an argument.  The loop writes the file (whole, under another name,
then renamed over the old one) and ``__main__`` reads it once at the start.

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
MAX_FILE_BYTES = 4_096  # bytes of the file; a larger one is not read
MAX_AGE_NS = 3_600 * 10**9  # one written longer ago than this says nothing of the router now
NS_PER_MS = 1_000_000


@dataclass(frozen=True, slots=True)
class HandoverRecord:
    """What the last process of this router said when it last changed its state of service."""

    in_service: bool
    since_ns: int  # when that state began
    written_ns: int
    pid: int
    ended_ns: int = 0  # when a process of this router last ended beside another; 0 = not told


def file_path(folder: str, name: str) -> str:
    """Where the file of a router lies; names are the platform's and have no slash."""
    return f"{folder.rstrip('/')}/kelpcroft-{name.replace('/', '_')}.json"


def encode(name: str, pid: int, now_ns: int, in_service: bool, since_ns: int, ended_ns: int = 0) -> bytes:
    """The file's bytes."""
    ended = {"ended_ms": ended_ns // NS_PER_MS} if ended_ns else {}
    return (
        orjson.dumps(
            {
                "v": VERSION,
                "name": name,
                "pid": pid,
                "written_ms": now_ns // NS_PER_MS,
                "service": "in" if in_service else "out",
                "since_ms": since_ns // NS_PER_MS,
                **ended,
            }
        )
        + b"\n"
    )


def decode(data: bytes, name: str, now_ns: int) -> tuple[HandoverRecord | None, str]:
    """What the file says, or None and why it is not taken: too large, not JSON, an unknown version, another
    router's, a field missing or of the wrong type, written in the future or too long ago."""
    if len(data) > MAX_FILE_BYTES:
        return None, f"is over {MAX_FILE_BYTES} bytes"
    try:
        raw: Any = orjson.loads(data)
    except orjson.JSONDecodeError as error:
        return None, f"is not JSON: {error.msg}"
    if not isinstance(raw, dict):
        return None, "is not a JSON object"
    version, least = raw.get("v"), raw.get("least", raw.get("v"))
    if (
        isinstance(version, bool)
        or not isinstance(version, int)
        or version < VERSION
        or (isinstance(least, bool) or least != VERSION)
    ):
        return None, f"v: {str(raw.get('v'))[:20]!r} is not a version known here ({VERSION})"
    if raw.get("name") != name:
        return None, f"name: {str(raw.get('name'))[:40]!r} is another router's"
    for key in ("pid", "written_ms", "since_ms"):
        value = raw.get(key)
        if isinstance(value, bool) or not isinstance(value, int) or value < 0:
            return None, f"{key}: {str(value)[:20]!r} is not a whole number of at least 0"
    ended = raw.get("ended_ms", 0)
    if isinstance(ended, bool) or not isinstance(ended, int) or not 0 <= ended <= raw["written_ms"]:
        return None, f"ended_ms: {str(ended)[:20]!r} is not a time before it was written"
    if raw.get("service") not in ("in", "out"):
        return None, f"service: {str(raw.get('service'))[:20]!r} is neither in nor out"
    written = raw["written_ms"] * NS_PER_MS
    if written > now_ns + NS_PER_MS * 1_000 or not math.isfinite(written):
        return None, "was written in the future"
    if now_ns - written > MAX_AGE_NS:
        return None, f"was written {(now_ns - written) // 10**9} s ago"
    return HandoverRecord(
        raw["service"] == "in", raw["since_ms"] * NS_PER_MS, written, raw["pid"], ended * NS_PER_MS
    ), ""
