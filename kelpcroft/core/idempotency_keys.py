"""Idempotency keys whose requests may have been executed, each with the place and time.

The module is pure: the current time is an argument.

A client's retry is a new request with the key of the first request.  The servers of one deduplication scope
drop repeats of a key during the deduplication window, which is counted from the first send that may have been
executed.  After the window, or at a server outside the scope, a repeat would be executed again.  The possible
execution of one request therefore limits where and when the next request with the same key may be sent.

A record is kept for the longer of the class's deduplication window and its deadline: after the window no
repeat may be sent, and until the deadline a client may still request a repeat.  The table is bounded: when it
is full, requests with new keys are rejected, which does no harm because nothing was executed for them.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass

from kelpcroft.decision.interface import PossibleExecution, RequestClass

MAX_KEYS = 65_536  # about 10 MB with the longest keys
KeyId = tuple[str, str]  # the request's class and the client's key


@dataclass(slots=True)
class KeyRecord:
    """The first send of a key that may have been executed.

    Attributes:
        execution: Where and when it was sent.
        attempt_number: Number of that attempt; the record is deleted if the attempt proves not executed.
        expires_ns: When the record expires.
    """

    execution: PossibleExecution
    attempt_number: int
    expires_ns: int


class IdempotencyKeys:
    """All keys of one router.

    Attributes:
        records: Records in the order of their first sends.
        in_use: Keys of requests that have no final response yet.
    """

    def __init__(self, max_keys: int = MAX_KEYS) -> None:
        self.max_keys = max_keys
        self.records: OrderedDict[KeyId, KeyRecord] = OrderedDict()
        self.in_use: set[KeyId] = set()

    def is_full(self, now: int) -> bool:
        """Whether the table has no room for another key."""
        self.drop_expired(now)
        return len(self.records) >= self.max_keys

    def find(self, now: int, class_name: str, key: str) -> PossibleExecution | None:
        """The first send of a key that may have been executed; None if there is no valid record."""
        record = self.records.get((class_name, key))
        return record.execution if record and now < record.expires_ns else None

    def record_send(
        self, now: int, request_class: RequestClass, key: str, attempt_number: int, zone: str, cell: int
    ) -> None:
        """Record an attempt sent to a server of this zone and cell, unless the key has a valid record."""
        key_id = request_class.name, key
        record = self.records.get(key_id)
        if record is None or now >= record.expires_ns:
            self.records.pop(key_id, None)
            retention_ns = max(request_class.dedup_window_ns, request_class.deadline_ns)
            execution = PossibleExecution(zone, cell, now)
            self.records[key_id] = KeyRecord(execution, attempt_number, now + retention_ns)

    def record_not_executed(self, class_name: str, key: str, attempt_number: int) -> None:
        """Delete the record of an attempt that was certainly not executed."""
        record = self.records.get((class_name, key))
        if record and record.attempt_number == attempt_number:
            del self.records[class_name, key]

    def drop_expired(self, now: int) -> None:
        """Delete expired records from the front of the table.

        Classes differ in how long records are kept, so an expired record may remain behind a longer-lived
        one.
        """
        while self.records:
            key_id, record = next(iter(self.records.items()))
            if now < record.expires_ns:
                return
            del self.records[key_id]
