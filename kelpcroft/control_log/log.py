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
from typing import Any, NamedTuple

import orjson

MAX_TAIL_EVENTS = 8_192  # 27 minutes of 5 purges a second
MAX_TAIL_BYTES = 2 << 20
MAX_SERVERS = 10_000
MAX_PURGES = 20_000  # that matter at a time: 300 a second for a minute
FINGERPRINT_BYTES = 8
SNAPSHOT_LIFETIMES_PER_PURGE_SPAN = 8  # a snapshot is reused for an eighth of the time a purge matters

JsonObject = dict[str, Any]  # part of the feed, as parsed from JSON; anything in it may be missing or odd


class SnapshotIncompleteError(ValueError):
    """More servers or purges than are kept: no snapshot can be given without leaving some out.

    Attributes:
        limit: how many of them are kept.
        what: of what there are more.
    """

    def __init__(self, limit: int, what: str) -> None:
        super().__init__(f"over {limit} {what}")  # told to watchers: on the wire
        self.limit = limit
        self.what = what


@dataclass(frozen=True, slots=True)
class TailEvent:
    """One event of the tail."""

    number: int
    encoded: bytes  # canonical JSON
    fingerprint: str


class PurgeKey(NamedTuple):
    """What a purge removes: one object, or a group of them."""

    object_hash: str  # 16 hex digits; "" where a group is purged
    group: int  # 0 where an object is purged


def canonical_json(event: Any) -> bytes:
    """An event as JSON with sorted keys: the same bytes whoever wrote it."""
    return orjson.dumps(event, option=orjson.OPT_SORT_KEYS)


def event_fingerprint(encoded: bytes) -> str:
    """The log's fingerprint at an event: a BLAKE2b hash, in hex, of the event's canonical JSON.

    It covers that event alone.  The number of the event goes with it, so that two logs with the same event
    under the same number are taken for one up to there.
    """
    return blake2b(encoded, digest_size=FINGERPRINT_BYTES).hexdigest()


class ControlLog:
    """One log as far as it is known."""

    def __init__(self, purge_span_ms: int) -> None:
        """Start with nothing.

        Args:
            purge_span_ms: how long a purge matters, counted from the time that it names.
        """
        self.purge_span_ms = purge_span_ms
        self.servers: dict[str, JsonObject] = {}  # by name: the newest line, as it came
        self.purges: dict[PurgeKey, int] = {}  # when each was made, in Unix ms
        self.tail: deque[TailEvent] = deque()
        self.tail_bytes = 0
        self._base_number = 0  # of the event before the tail
        self._base_fingerprint = ""
        self._incomplete_until_ms = 0  # no snapshot until then: a purge found no room
        self._snapshot: list[bytes] = []  # the last one made, for others that ask soon
        self._snapshot_number = -1  # the last event in it
        self._snapshot_made_ms = 0

    @property
    def last_event_number(self) -> int:
        """The number of the last event; 0 where there is none."""
        return self.tail[-1].number if self.tail else self._base_number

    @property
    def last_fingerprint(self) -> str:
        """The fingerprint of the last event."""
        return self.tail[-1].fingerprint if self.tail else self._base_fingerprint

    # Writing ----------------------------------------------------------------------------------------------

    def start_new_log(self) -> None:
        """Another log is followed from now on: its whole list comes next.

        Purges are kept: they go by their own times, and a purge that was told once is in force whatever
        becomes of the log.
        """
        self.servers = {}
        self.set_base(0, "")

    def set_base(self, number: int, fingerprint: str) -> None:
        """The state is that of this position, as a snapshot of another replica said."""
        self.tail.clear()
        self.tail_bytes = 0
        self._base_number = number
        self._base_fingerprint = fingerprint
        self._snapshot = []

    def append(self, event: Any, now_ms: int) -> str:
        """Take one event in its turn.

        Returns:
            Why its content cannot be used, or "".  An event whose content is not understood is handed on all
            the same, for a follower may know more kinds of events.
        """
        number = event.get("n") if isinstance(event, dict) else None
        if type(number) is not int or number < 0:
            return f"an event without a number: {str(event)[:80]}"
        problem = self.apply(event, now_ms)
        encoded = canonical_json(event)
        self.tail.append(TailEvent(number, encoded, event_fingerprint(encoded)))
        self.tail_bytes += len(encoded)
        self._shorten_tail()
        return problem

    def _shorten_tail(self) -> None:
        """Drop the oldest events of a tail that has grown over its bounds."""
        while len(self.tail) > MAX_TAIL_EVENTS or self.tail_bytes > MAX_TAIL_BYTES:
            dropped = self.tail.popleft()
            self.tail_bytes -= len(dropped.encoded)
            self._base_number = dropped.number
            self._base_fingerprint = dropped.fingerprint

    def apply(self, event: JsonObject, now_ms: int) -> str:
        """What an event does to the state, and nothing to the tail.

        Returns:
            Why it cannot be used, or "".
        """
        try:
            if "members" in event:
                self._apply_members(event["members"])
            elif "purge" in event:
                self._apply_purge(event["purge"], now_ms)
        except (KeyError, TypeError, ValueError, AttributeError) as error:
            return f"event {event['n']}: {type(error).__name__}: {error}"
        return ""

    def _apply_members(self, members: JsonObject) -> None:
        lines = {str(line["name"]): line for line in members["endpoints"]}
        if members.get("snapshot"):
            self.servers = lines
        else:
            self.servers.update(lines)
        if len(self.servers) > MAX_SERVERS:  # servers that have gone are not listed for good
            self.servers = {name: line for name, line in self.servers.items() if not has_left(line)}

    def _apply_purge(self, purge: JsonObject, now_ms: int) -> None:
        purged_ms = int(purge["at"])
        key = purge_key(purge)
        if now_ms - purged_ms > self.purge_span_ms:
            return
        if key not in self.purges and len(self.purges) >= MAX_PURGES:
            self._drop_expired_purges(now_ms)
            if len(self.purges) >= MAX_PURGES:
                self._incomplete_until_ms = max(self._incomplete_until_ms, purged_ms + self.purge_span_ms)
                return
        self.purges[key] = max(purged_ms, self.purges.pop(key, 0))  # popped: it goes to the end

    def _drop_expired_purges(self, now_ms: int) -> None:
        oldest_ms = now_ms - self.purge_span_ms
        self.purges = {key: purged_ms for key, purged_ms in self.purges.items() if purged_ms >= oldest_ms}

    # Reading ----------------------------------------------------------------------------------------------

    def contains(self, number: int, fingerprint: str) -> bool:
        """Whether a position is in this log, so that ``events_after`` gives what comes after it."""
        if number == self._base_number and fingerprint == self._base_fingerprint:
            return True
        for event in reversed(self.tail):
            if event.number <= number:
                return event.number == number and event.fingerprint == fingerprint
        return False

    def contains_number(self, number: int) -> bool:
        """Whether a position without a fingerprint can be gone on from: by its number alone."""
        return self._base_number <= number <= self.last_event_number

    def events_after(self, number: int) -> list[bytes]:
        """The events after a position that the log contains, oldest first."""
        found = []
        for event in reversed(self.tail):  # followers are close to the end: the walk is short
            if event.number <= number:
                break
            found.append(event.encoded)
        return found[::-1]

    def snapshot(self, now_ms: int) -> list[bytes]:
        """The whole state as events, all under the last number.

        Raises:
            SnapshotIncompleteError: there are more servers or purges than are kept.
        """
        if now_ms < self._incomplete_until_ms:
            raise SnapshotIncompleteError(MAX_PURGES, "purges that matter")
        if len(self.servers) > MAX_SERVERS:
            raise SnapshotIncompleteError(MAX_SERVERS, "servers")
        if not self._can_reuse_snapshot(now_ms):
            self._drop_expired_purges(now_ms)
            self._snapshot = self._encode_snapshot()
            self._snapshot_number = self.last_event_number
            self._snapshot_made_ms = now_ms
        return self._snapshot

    def _can_reuse_snapshot(self, now_ms: int) -> bool:
        """Whether the last snapshot is of the last event, and holds few purges that have expired."""
        reused_for_ms = self.purge_span_ms // SNAPSHOT_LIFETIMES_PER_PURGE_SPAN
        return (
            bool(self._snapshot)
            and self._snapshot_number == self.last_event_number
            and 0 <= now_ms - self._snapshot_made_ms < reused_for_ms
        )

    def _encode_snapshot(self) -> list[bytes]:
        last = self.last_event_number
        lines = [line for line in self.servers.values() if not has_left(line)]
        events = [orjson.dumps({"n": last, "members": {"index": last, "snapshot": True, "endpoints": lines}})]
        for key, purged_ms in self.purges.items():
            what: dict[str, object] = {"key": key.object_hash} if key.object_hash else {"group": key.group}
            events.append(orjson.dumps({"n": last, "purge": {**what, "at": purged_ms}}))
        return events


def has_left(line: JsonObject) -> bool:
    """Whether a server's line says that it is gone for good."""
    return line.get("status") == "left"


def purge_key(purge: JsonObject) -> PurgeKey:
    """What a purge event names.  Raises TypeError or ValueError where that cannot be read."""
    object_hash = purge.get("key")
    if object_hash is None:
        return PurgeKey("", int(purge.get("group") or 0))
    return PurgeKey(f"{int(object_hash, 16):016x}", 0)
