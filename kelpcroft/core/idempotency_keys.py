"""Idempotency keys that may have run: where, and since when.  Pure: the time is an argument.

A client's retry is a new request with the key of the first.  Servers of one group drop its repeats for the
window, counted from the first send that may have run; past it, or at a server outside the group, a repeat
would run again.  So what one request of a key has done binds the next one of that key.

A record is kept for the longer of the class's deduplication window and its deadline: after the first no
repeat may be sent, and until the second one may still be asked for.  The table is bounded: where it is full
no new key is taken, which does no harm, as nothing of it has run.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass

from kelpcroft.decision.interface import PossibleExecution, RequestClass

MAX_KEYS = 65_536  # some 10 MB at the longest keys
KeyId = tuple[str, str]  # the request's class and the client's key


@dataclass(slots=True)
class KeyRecord:
    """A key's first send that may have run.

    Attributes:
        execution: Where and when.
        attempt_number: Of that attempt: proof that it never ran takes the record back.
        expires_ns: Until when it binds.
    """

    execution: PossibleExecution
    attempt_number: int
    expires_ns: int


class IdempotencyKeys:
    """All keys of one router.

    Attributes:
        records: In the order of their first sends.
        in_use: Keys of requests that owe their answer.
    """

    def __init__(self, max_keys: int = MAX_KEYS) -> None:
        self.max_keys = max_keys
        self.records: OrderedDict[KeyId, KeyRecord] = OrderedDict()
        self.in_use: set[KeyId] = set()

    def is_full(self, now: int) -> bool:
        """Whether no further key can be taken."""
        self.drop_expired(now)
        return len(self.records) >= self.max_keys

    def find(self, now: int, class_name: str, key: str) -> PossibleExecution | None:
        """The first send of a key that may have run."""
        record = self.records.get((class_name, key))
        return record.execution if record and now < record.expires_ns else None

    def record_send(
        self, now: int, request_class: RequestClass, key: str, attempt_number: int, zone: str, cell: int
    ) -> None:
        """An attempt goes out to a server of this zone and cell; only the first that may have run counts."""
        key_id = request_class.name, key
        record = self.records.get(key_id)
        if record is None or now >= record.expires_ns:
            self.records.pop(key_id, None)
            kept_ns = max(request_class.dedup_window_ns, request_class.deadline_ns)
            execution = PossibleExecution(zone, cell, now)
            self.records[key_id] = KeyRecord(execution, attempt_number, now + kept_ns)

    def record_not_executed(self, class_name: str, key: str, attempt_number: int) -> None:
        """An attempt has certainly not run."""
        record = self.records.get((class_name, key))
        if record and record.attempt_number == attempt_number:
            del self.records[class_name, key]

    def drop_expired(self, now: int) -> None:
        """Forget those that can bind nobody any more.

        Classes differ in how long, so one of a short window may wait behind one of a long window.
        """
        while self.records:
            key_id, record = next(iter(self.records.items()))
            if now < record.expires_ns:
                return
            del self.records[key_id]
