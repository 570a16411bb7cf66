"""Crash-loop back-off: delay of the first request to the list service after repeated starts.  Pure.

The record of earlier starts can only increase that wait.  The file is in ``$TMPDIR``.  Where that directory
does not persist, or the file is missing or invalid, the router has no record of earlier starts and sends its
first request without a wait.

    {"v": 1, "name": "n3", "starts_ms": [1764576000123, 1764576002150]}
"""

from __future__ import annotations

from typing import Any

import orjson

VERSION = 1  # version of the file's format
MAX_FILE_BYTES = 4_096  # a larger file is ignored
MAX_REMEMBERED_STARTS = 32  # the newest starts that the file keeps
HISTORY_NS = 60 * 10**9  # starts longer ago than this are ignored
STARTS_WITHOUT_DELAY = 2  # this many starts within that time have no wait
FIRST_DELAY_NS = 500 * 10**6  # wait of the next start's first request; doubles with each further start
MAX_DELAY_NS = 4 * 10**9  # longest wait: a drain must be received within 7 s
MAX_DOUBLINGS = 8  # after more doublings the delay exceeds its bound anyway
NS_PER_MS = 1_000_000


def file_path(folder: str, name: str) -> str:
    """Returns the path of a router's file."""
    return f"{folder.rstrip('/')}/kelpcroft-{name.replace('/', '_')}.starts"


def decode(data: bytes, name: str, now_ns: int) -> list[int]:
    """Decodes a router's earlier starts within ``HISTORY_NS``.

    Returns:
        Unix ns, oldest first; empty where the file is unusable.
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
    return [start_ns for start_ns in starts_ns if now_ns - HISTORY_NS < start_ns <= now_ns]


def encode(name: str, starts_ns: list[int], now_ns: int) -> bytes:
    """Returns the file's bytes after one more start, now."""
    kept_ns = [*starts_ns, now_ns][-MAX_REMEMBERED_STARTS:]
    starts_ms = [start_ns // NS_PER_MS for start_ns in kept_ns]
    return orjson.dumps({"v": VERSION, "name": name, "starts_ms": starts_ms}) + b"\n"


def crash_loop_delay_ns(starts_ns: list[int]) -> int:
    """Returns how long the first request to the list service waits after these earlier starts."""
    excess = len(starts_ns) - STARTS_WITHOUT_DELAY
    if excess < 0:
        return 0
    return min(FIRST_DELAY_NS << min(excess, MAX_DOUBLINGS), MAX_DELAY_NS)
