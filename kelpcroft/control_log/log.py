"""Log of control events in bounded memory: its compacted state, and its tail.  Pure.

The state is the newest record of each server and the purges that are still relevant, however long the history
is.  The tail is the last events as they were received.  A follower whose position is within the tail gets the
events after it.  Any other follower gets a snapshot: one event with the complete list, and one purge event
for each relevant purge, all under the last event's number.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from hashlib import blake2b
from typing import Any, NamedTuple

import orjson

MAX_TAIL_EVENTS = 8_192  # at most this many events in the tail: 27 minutes of 5 purges a second
MAX_TAIL_BYTES = 2 << 20  # at most this many bytes of canonical JSON in the tail
MAX_SERVERS = 10_000  # with more servers than this, no snapshot is made
MAX_PURGES = 20_000  # at most this many relevant purges at a time: 300 a second for a minute
FINGERPRINT_BYTES = 8  # length of a fingerprint before its hex encoding
# A snapshot is reused for at most an eighth of ``purge_lifetime_ms``.
SNAPSHOT_LIFETIMES_PER_PURGE_LIFETIME = 8

JsonObject = dict[str, Any]  # a JSON object of the feed; any field may be missing or of another type


class SnapshotIncompleteError(ValueError):
    """More servers or purges than the limit: a snapshot would have to omit some of them.

    Attributes:
        limit: The greatest number that is kept.
        kind: What exceeds the limit: servers or purges.
    """

    def __init__(self, limit: int, kind: str) -> None:
        super().__init__(f"over {limit} {kind}")  # sent to watchers: part of the protocol
        self.limit = limit
        self.kind = kind


@dataclass(frozen=True, slots=True)
class TailEvent:
    """One event of the tail."""

    number: int
    encoded: bytes  # canonical JSON
    fingerprint: str


class PurgeKey(NamedTuple):
    """The object that a purge removes, or the group of objects."""

    object_hash: str  # 16 hex digits; "" where a group is purged
    group: int  # 0 where an object is purged


def canonical_json(event: Any) -> bytes:
    """Returns an event as JSON with sorted keys: the same bytes whichever process encoded it."""
    return orjson.dumps(event, option=orjson.OPT_SORT_KEYS)


def event_fingerprint(encoded: bytes) -> str:
    """Returns the log's fingerprint at an event: a BLAKE2b hash, in hex, of the event's canonical JSON.

    It covers that event alone.  A position holds the event's number as well: two logs with the same event
    under the same number are regarded as identical up to that event.
    """
    return blake2b(encoded, digest_size=FINGERPRINT_BYTES).hexdigest()


class ControlLog:
    """One log, up to the last event that was received."""

    def __init__(self, purge_lifetime_ms: int) -> None:
        """Creates an empty log.

        Args:
            purge_lifetime_ms: How long a purge stays relevant, counted from the time that it states.
        """
        self.purge_lifetime_ms = purge_lifetime_ms
        self.servers: dict[str, JsonObject] = {}  # by name: the newest record as received
        self.purges: dict[PurgeKey, int] = {}  # by target: when the purge was made, in Unix ms
        self.tail: deque[TailEvent] = deque()
        self.tail_bytes = 0
        self._base_number = 0  # number of the event before the tail
        self._base_fingerprint = ""
        self._incomplete_until_ms = 0  # no snapshot before this time: a purge exceeded ``MAX_PURGES``
        self._snapshot: list[bytes] = []  # the last snapshot, kept for list requests that follow soon
        self._snapshot_number = -1  # number of the last event in that snapshot
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
        """Resets the log because the replica switches to another one, whose complete list follows.

        Purges are kept: they expire by their own times, and a purge that has been received stays in effect
        whichever log is followed.
        """
        self.servers = {}
        self.set_base(0, "")

    def set_base(self, number: int, fingerprint: str) -> None:
        """Sets the position of the state that was applied from another replica's snapshot."""
        self.tail.clear()
        self.tail_bytes = 0
        self._base_number = number
        self._base_fingerprint = fingerprint
        self._snapshot = []

    def append(self, event: Any, now_ms: int) -> str:
        """Applies the next event and appends it to the tail.

        Returns:
            Why the event's content is unusable, or "".  An event with unusable content is forwarded all the
            same, because a follower may support kinds of events that this process does not.
        """
        number = event.get("n") if isinstance(event, dict) else None
        if type(number) is not int or number < 0:
            return f"an event without a number: {str(event)[:80]}"
        reason = self.apply(event, now_ms)
        encoded = canonical_json(event)
        self.tail.append(TailEvent(number, encoded, event_fingerprint(encoded)))
        self.tail_bytes += len(encoded)
        self._shorten_tail()
        return reason

    def _shorten_tail(self) -> None:
        """Drops the oldest events of a tail that exceeds its bounds."""
        while len(self.tail) > MAX_TAIL_EVENTS or self.tail_bytes > MAX_TAIL_BYTES:
            dropped = self.tail.popleft()
            self.tail_bytes -= len(dropped.encoded)
            self._base_number = dropped.number
            self._base_fingerprint = dropped.fingerprint

    def apply(self, event: JsonObject, now_ms: int) -> str:
        """Applies an event to the state only; the tail does not change.

        Returns:
            Why the event is unusable, or "".
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
        records = {str(record["name"]): record for record in members["endpoints"]}
        if members.get("snapshot"):
            self.servers = records
        else:
            self.servers.update(records)
        if len(self.servers) > MAX_SERVERS:  # up to this bound, records of servers that left are kept
            self.servers = {name: record for name, record in self.servers.items() if not has_left(record)}

    def _apply_purge(self, purge: JsonObject, now_ms: int) -> None:
        purged_ms = int(purge["at"])
        key = purge_key(purge)
        if now_ms - purged_ms > self.purge_lifetime_ms:
            return
        if key not in self.purges and len(self.purges) >= MAX_PURGES:
            self._drop_expired_purges(now_ms)
            if len(self.purges) >= MAX_PURGES:
                self._incomplete_until_ms = max(self._incomplete_until_ms, purged_ms + self.purge_lifetime_ms)
                return
        self.purges[key] = max(purged_ms, self.purges.pop(key, 0))  # ``pop`` moves the key to the end

    def _drop_expired_purges(self, now_ms: int) -> None:
        oldest_ms = now_ms - self.purge_lifetime_ms
        self.purges = {key: purged_ms for key, purged_ms in self.purges.items() if purged_ms >= oldest_ms}

    # Reading ----------------------------------------------------------------------------------------------

    def contains(self, number: int, fingerprint: str) -> bool:
        """Returns whether this log has the event at a position under the same fingerprint.

        If it has, ``events_after`` returns the events that follow the position.
        """
        if number == self._base_number and fingerprint == self._base_fingerprint:
            return True
        for event in reversed(self.tail):
            if event.number <= number:
                return event.number == number and event.fingerprint == fingerprint
        return False

    def contains_number(self, number: int) -> bool:
        """Returns whether ``events_after`` can continue from a position without a fingerprint."""
        return self._base_number <= number <= self.last_event_number

    def events_after(self, number: int) -> list[bytes]:
        """Returns the events after a position that the log contains, oldest first."""
        events = []
        for event in reversed(self.tail):  # most followers are close to the end, so there are few iterations
            if event.number <= number:
                break
            events.append(event.encoded)
        return events[::-1]

    def snapshot(self, now_ms: int) -> list[bytes]:
        """Returns the complete state as events, all under the last event's number.

        Raises:
            SnapshotIncompleteError: There are more servers or purges than are kept.
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
        """Returns whether the last snapshot is of the last event and includes few expired purges."""
        reused_for_ms = self.purge_lifetime_ms // SNAPSHOT_LIFETIMES_PER_PURGE_LIFETIME
        return (
            bool(self._snapshot)
            and self._snapshot_number == self.last_event_number
            and 0 <= now_ms - self._snapshot_made_ms < reused_for_ms
        )

    def _encode_snapshot(self) -> list[bytes]:
        last_number = self.last_event_number
        records = [record for record in self.servers.values() if not has_left(record)]
        events = [
            orjson.dumps(
                {"n": last_number, "members": {"index": last_number, "snapshot": True, "endpoints": records}}
            )
        ]
        for key, purged_ms in self.purges.items():
            target: dict[str, object] = {"key": key.object_hash} if key.object_hash else {"group": key.group}
            events.append(orjson.dumps({"n": last_number, "purge": {**target, "at": purged_ms}}))
        return events


def has_left(record: JsonObject) -> bool:
    """Returns whether a server's record states that the server has left permanently."""
    return record.get("status") == "left"


def purge_key(purge: JsonObject) -> PurgeKey:
    """Returns the object or group that a purge event names.

    Raises:
        TypeError: The key or group is of another type.
        ValueError: The key is no hexadecimal number, or the group no integer.
    """
    object_hash = purge.get("key")
    if object_hash is None:
        return PurgeKey("", int(purge.get("group") or 0))
    return PurgeKey(f"{int(object_hash, 16):016x}", 0)
