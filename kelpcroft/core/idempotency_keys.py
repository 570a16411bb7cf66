"""Idempotency keys that may have run: where, and since when.  Pure: the time is an argument.

A client's retry is a new request with the key of the first.  Servers of one group drop its repeats for the
window, counted from the first send that may have run; past it, or at a server outside the group, a repeat
would run again.  So what one request of a key has done binds the next one of that key.

An entry is kept for the longer of the class's window and its client's whole patience: after the first no
repeat may be sent, and until the second one may still be asked for.  The table is bounded: where it is full
no new key is taken, which does no harm, as nothing of it has run.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass

from kelpcroft.decision.interface import PossibleExecution, RequestClass

MAX_KEYS = 65_536  # some 10 MB at the longest keys
Key = tuple[str, str]  # class and nonce


@dataclass(slots=True)
class Entry:
    """A key's first send that may have run."""

    ran: PossibleExecution
    attempt: int  # the number of that attempt: proof that it never ran takes the entry back
    until_ns: int


class IdempotencyKeys:
    """All keys of one router."""

    def __init__(self, most: int = MAX_KEYS) -> None:
        self.most = most
        self.entries: OrderedDict[Key, Entry] = OrderedDict()  # in the order of their first sends
        self.open: set[Key] = set()  # of requests that owe their answer

    def is_full(self, now: int) -> bool:
        """Whether no further key can be taken."""
        self.drop_expired(now)
        return len(self.entries) >= self.most

    def find(self, now: int, cls: str, nonce: str) -> PossibleExecution | None:
        """The first send of a key that may have run."""
        entry = self.entries.get((cls, nonce))
        return entry.ran if entry and now < entry.until_ns else None

    def record_send(
        self, now: int, cls: RequestClass, nonce: str, attempt: int, zone: str, cell: int
    ) -> None:
        """An attempt goes out; only the first that may have run counts."""
        key = cls.name, nonce
        entry = self.entries.get(key)
        if entry is None or now >= entry.until_ns:
            self.entries.pop(key, None)
            keep = max(cls.dedup_window_ns, cls.deadline_ns)
            self.entries[key] = Entry(PossibleExecution(zone, cell, now), attempt, now + keep)

    def record_not_executed(self, cls: str, nonce: str, attempt: int) -> None:
        """An attempt has certainly not run."""
        entry = self.entries.get((cls, nonce))
        if entry and entry.attempt == attempt:
            del self.entries[cls, nonce]

    def drop_expired(self, now: int) -> None:
        """Forget those that can bind nobody any more.  Classes differ in how long, so a short one may wait
        behind a long one."""
        while self.entries:
            key, entry = next(iter(self.entries.items()))
            if now < entry.until_ns:
                return
            del self.entries[key]
