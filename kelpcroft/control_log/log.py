"""A log of control events in bounded memory: its state, compacted, and its tail.  Pure.

The state is the newest line of each server and the purges that still matter, whatever the length of the
history.  The tail is the last events as they came.  A follower within the tail gets what comes after its
position, any other a snapshot: one event with the whole list, and a purge event for each that matters, all
under the last number.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from hashlib import blake2b
from typing import Any

import orjson

MAX_TAIL_EVENTS = 8_192  # 27 minutes of 5 purges a second
MAX_TAIL_BYTES = 2 << 20
SERVERS_MOST = 10_000
MAX_PURGES = 20_000  # that matter at a time: 300 a second for a minute
MARK_BYTES = 8


class SnapshotIncompleteError(ValueError):
    """More servers or purges than are kept: no snapshot can be given without leaving some out."""


@dataclass(frozen=True, slots=True)
class Entry:
    """One event of the tail."""

    number: int
    text: bytes
    mark: str


def canonical_json(raw: Any) -> bytes:
    """An event's text, the same whoever wrote it."""
    return orjson.dumps(raw, option=orjson.OPT_SORT_KEYS)


def event_fingerprint(text: bytes) -> str:
    """The mark of an event, by its text in canonical form (sorted keys)."""
    return blake2b(text, digest_size=MARK_BYTES).hexdigest()


class ControlLog:
    """One log as far as it is known."""

    def __init__(self, purge_span_ms: int) -> None:
        """``purge_span_ms``: how long a purge matters, counted from its time."""
        self.purge_span_ms = purge_span_ms
        self.lines: dict[str, Any] = {}  # by server's name, as it came
        self.purges: dict[tuple[str, int], int] = {}  # by object, or by group where that is "": when, ms
        self.tail: deque[Entry] = deque()
        self.tail_bytes = 0
        self.base = 0  # the number before the tail, and its mark
        self.base_mark = ""
        self.incomplete_ms = 0  # no snapshot until then: a purge found no room
        self.snapshot_at: tuple[int, int] = (-1, 0)  # number and time of the snapshot that is kept
        self.snapshot_events: list[bytes] = []

    @property
    def last_event_number(self) -> int:
        """The number of the last event."""
        return self.tail[-1].number if self.tail else self.base

    @property
    def last_fingerprint(self) -> str:
        """The mark of the last event."""
        return self.tail[-1].mark if self.tail else self.base_mark

    def begin_anew(self) -> None:
        """Another log is followed from now on: its whole list comes next.  Purges are kept: they are told by
        their own times, and a purge that was told once is in force whatever becomes of the log."""
        self.lines, self.base, self.base_mark = {}, 0, ""
        self.tail.clear()
        self.tail_bytes, self.snapshot_events = 0, []

    def set_base(self, number: int, mark: str) -> None:
        """The state is that of this position, as a snapshot of another replica said."""
        self.tail.clear()
        self.tail_bytes, self.base, self.base_mark, self.snapshot_events = 0, number, mark, []

    def append(self, raw: Any, now_ms: int) -> str:
        """One event in its turn.  Why its content cannot be used, or "": it is then handed on all the same,
        for a follower may know more kinds of events."""
        number = raw.get("n") if isinstance(raw, dict) else None
        if type(number) is not int or number < 0:
            return f"an event without a number: {str(raw)[:80]}"
        fault = self.apply(raw, now_ms)
        text = canonical_json(raw)
        self.tail.append(Entry(number, text, event_fingerprint(text)))
        self.tail_bytes += len(text)
        while len(self.tail) > MAX_TAIL_EVENTS or self.tail_bytes > MAX_TAIL_BYTES:
            gone = self.tail.popleft()
            self.tail_bytes -= len(gone.text)
            self.base, self.base_mark = gone.number, gone.mark
        return fault

    def apply(self, raw: dict[str, Any], now_ms: int) -> str:
        """What an event does to the state.  Why it cannot be used, or ""."""
        try:
            if "members" in raw:
                self.apply_members(raw["members"])
            elif "purge" in raw:
                self.apply_purge(raw["purge"], now_ms)
        except (KeyError, TypeError, ValueError, AttributeError) as error:
            return f"event {raw['n']}: {type(error).__name__}: {error}"
        return ""

    def apply_members(self, members: dict[str, Any]) -> None:
        lines = {str(line["name"]): line for line in members["endpoints"]}
        if members.get("snapshot"):
            self.lines = lines
        else:
            self.lines.update(lines)
        if len(self.lines) > SERVERS_MOST:  # servers that have gone are not listed for good
            self.lines = {name: line for name, line in self.lines.items() if line.get("status") != "left"}

    def apply_purge(self, purge: dict[str, Any], now_ms: int) -> None:
        at, key = int(purge["at"]), purge.get("key")
        place = ("", int(purge.get("group") or 0)) if key is None else (f"{int(key, 16):016x}", 0)
        if now_ms - at > self.purge_span_ms:
            return
        if place not in self.purges and len(self.purges) >= MAX_PURGES:
            self.forget_purges(now_ms)
            if len(self.purges) >= MAX_PURGES:
                self.incomplete_ms = max(self.incomplete_ms, at + self.purge_span_ms)
                return
        self.purges[place] = max(at, self.purges.pop(place, 0))

    def forget_purges(self, now_ms: int) -> None:
        """Those that no longer matter."""
        least = now_ms - self.purge_span_ms
        self.purges = {place: at for place, at in self.purges.items() if at >= least}

    # What a follower gets ---------------------------------------------------------------------------------

    def contains(self, number: int, mark: str) -> bool:
        """Whether a position is in this log, by its mark: what comes after it can be told."""
        if number == self.base and mark == self.base_mark:
            return True
        for entry in reversed(self.tail):
            if entry.number <= number:
                return entry.number == number and entry.mark == mark
        return False

    def plain(self, number: int) -> bool:
        """Whether a position that has no mark can be gone on from: by its number alone."""
        return self.base <= number <= self.last_event_number

    def events_after(self, number: int) -> list[bytes]:
        """The events after a position that is held."""
        found = []
        for entry in reversed(self.tail):
            if entry.number <= number:
                break
            found.append(entry.text)
        return found[::-1]

    def snapshot(self, now_ms: int) -> list[bytes]:
        """The whole state as events, all under the last number.  Raises LogFull."""
        if now_ms < self.incomplete_ms:
            raise SnapshotIncompleteError(f"over {MAX_PURGES} purges that matter")
        if len(self.lines) > SERVERS_MOST:
            raise SnapshotIncompleteError(f"over {SERVERS_MOST} servers")
        number, made_ms = self.snapshot_at
        if (
            number == self.last_event_number
            and 0 <= now_ms - made_ms < self.purge_span_ms // 8
            and self.snapshot_events
        ):
            return self.snapshot_events
        self.forget_purges(now_ms)
        last = self.last_event_number
        lines = [line for line in self.lines.values() if line.get("status") != "left"]
        whole = {"n": last, "members": {"index": last, "snapshot": True, "endpoints": lines}}
        events = [orjson.dumps(whole)]
        for (key, group), at in self.purges.items():
            what = {"key": key, "at": at} if key else {"group": group, "at": at}
            events.append(orjson.dumps({"n": last, "purge": what}))
        self.snapshot_at, self.snapshot_events = (last, now_ms), events
        return events
