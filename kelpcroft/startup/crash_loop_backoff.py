"""A router that starts again and again waits before it calls the list service (crash-loop back-off).  Pure.

What it remembers of earlier starts only makes it gentler.  The file lies under ``$TMPDIR``; where that does
not last, or the file is missing or odd, nothing is remembered and the router starts as ever.

    {"v": 1, "name": "n3", "starts_ms": [1764576000123, 1764576002150]}
"""

from __future__ import annotations

from typing import Any

import orjson

VERSION = 1
MAX_FILE_BYTES = 4_096
MAX_REMEMBERED_STARTS = 32
MEMORY_NS = 60 * 10**9  # starts longer ago say nothing
FREE_STARTS = 2  # within that time, that cost no wait
FIRST_DELAY_NS = 500 * 10**6  # the first call to the list service waits so long at the next, doubling ...
MAX_DELAY_NS = 4 * 10**9  # ... up to this: a drain must be heard of within 7 s
MAX_DOUBLINGS = 8  # past them the delay is over its bound anyway
NS_PER_MS = 1_000_000


def file_path(folder: str, name: str) -> str:
    """Where the file of a router lies."""
    return f"{folder.rstrip('/')}/kelpcroft-{name.replace('/', '_')}.starts"


def decode(data: bytes, name: str, now_ns: int) -> list[int]:
    """A router's earlier starts within the time that counts.

    Returns:
        Unix ns, oldest first; none where the file is not to be used.
    """
    if len(data) > MAX_FILE_BYTES:
        return []
    try:
        raw: Any = orjson.loads(data)
    except orjson.JSONDecodeError:
        return []
    if not isinstance(raw, dict) or raw.get("v") != VERSION or raw.get("name") != name:
        return []
    starts_ms = raw.get("starts_ms")
    if not isinstance(starts_ms, list) or not all(type(start_ms) is int for start_ms in starts_ms):
        return []
    starts_ns = sorted(start_ms * NS_PER_MS for start_ms in starts_ms[-MAX_REMEMBERED_STARTS:])
    return [start_ns for start_ns in starts_ns if now_ns - MEMORY_NS < start_ns <= now_ns]


def encode(name: str, starts_ns: list[int], now_ns: int) -> bytes:
    """The file's bytes after one more start, now."""
    kept_ns = [*starts_ns, now_ns][-MAX_REMEMBERED_STARTS:]
    starts_ms = [start_ns // NS_PER_MS for start_ns in kept_ns]
    return orjson.dumps({"v": VERSION, "name": name, "starts_ms": starts_ms}) + b"\n"


def crash_loop_delay_ns(starts_ns: list[int]) -> int:
    """How long the first call to the list service is to wait, by the earlier starts that count."""
    excess = len(starts_ns) - FREE_STARTS
    if excess < 0:
        return 0
    return min(FIRST_DELAY_NS << min(excess, MAX_DOUBLINGS), MAX_DELAY_NS)
