"""A router that starts again and again: what it remembers of earlier starts only makes it gentler.  Pure.

The file lies under ``$TMPDIR``; where that does not last, or the file is missing or odd, nothing is
remembered and the router starts as ever.

    {"v": 1, "name": "n3", "starts_ms": [1764576000123, 1764576002150]}
"""

from __future__ import annotations

from typing import Any

import orjson

VERSION = 1
SIZE_MOST = 4_096
KEPT = 32  # starts that are remembered
SPAN_NS = 60 * 10**9  # those longer ago say nothing
FREE = 2  # starts within the span that cost no wait
WAIT_NS = 500 * 10**6  # the first call to the list service waits so long at the next, doubling ...
WAIT_MOST_NS = 4 * 10**9  # ... up to this: a drain must be heard of within 7 s
NS_PER_MS = 1_000_000


def file_path(folder: str, name: str) -> str:
    """Where the file of a router lies."""
    return f"{folder.rstrip('/')}/kelpcroft-{name.replace('/', '_')}.starts"


def decode(data: bytes, name: str, now_ns: int) -> list[int]:
    """Its earlier starts within the span, oldest first, in ns; none where the file is not to be used."""
    if len(data) > SIZE_MOST:
        return []
    try:
        raw: Any = orjson.loads(data)
    except orjson.JSONDecodeError:
        return []
    if not isinstance(raw, dict) or raw.get("v") != VERSION or raw.get("name") != name:
        return []
    found = raw.get("starts_ms")
    if not isinstance(found, list) or not all(type(x) is int for x in found):
        return []
    times = sorted(x * NS_PER_MS for x in found[-KEPT:])
    return [x for x in times if now_ns - SPAN_NS < x <= now_ns]


def encode(name: str, starts: list[int], now_ns: int) -> bytes:
    """The file's bytes after one more start."""
    kept = [*starts, now_ns][-KEPT:]
    return orjson.dumps({"v": VERSION, "name": name, "starts_ms": [x // NS_PER_MS for x in kept]}) + b"\n"


def crash_loop_delay_ns(starts: list[int]) -> int:
    """How long the first call to the list service is to wait, by the earlier starts within the span."""
    over = len(starts) - FREE
    return min(WAIT_NS << min(over, 8), WAIT_MOST_NS) if over >= 0 else 0
