"""What is remembered of objects: how often they are requested, how fast sent, which caches hold them."""

from __future__ import annotations

from collections import OrderedDict
from typing import Final

from kelpcroft.decision.units import SECOND_NS

MAX_OBJECT_HISTORIES: Final = 20_000  # beyond that the least recently requested is forgotten
REQUEST_COUNT_HALF_LIFE_NS: Final = 15 * SECOND_NS  # an object's request count halves in this time


class ObjectHistory:
    """What is remembered of one part of an object.

    No dataclass: one is made for each new object, and compiled, a plain class is made faster.

    Attributes:
        request_count: Requests, halving with time.
        requested_ns: When it was last requested.
        min_response_ns: The least time that an answer took, 0 until there was one.
        known_copies: Names of the caches that answers showed to hold it, each with the time of the answer.
    """

    def __init__(self, requested_ns: int) -> None:
        self.request_count = 0.0
        self.requested_ns = requested_ns
        self.min_response_ns = 0.0
        self.known_copies: dict[str, int] = {}

    def record_request(self, now_ns: int) -> None:
        """Count one more request."""
        age_ns = now_ns - self.requested_ns
        self.request_count = self.request_count * 0.5 ** (age_ns / REQUEST_COUNT_HALF_LIFE_NS) + 1
        self.requested_ns = now_ns


class ObjectHistories:
    """The histories of the objects that were requested last, at most ``MAX_OBJECT_HISTORIES``."""

    def __init__(self) -> None:
        self.by_hash: OrderedDict[int, ObjectHistory] = OrderedDict()

    def __len__(self) -> int:
        return len(self.by_hash)

    def record_request(self, object_hash: int, now_ns: int) -> ObjectHistory:
        """Count a request of an object, and return the object's history."""
        history = self.by_hash.setdefault(object_hash, ObjectHistory(now_ns))
        self.by_hash.move_to_end(object_hash)
        history.record_request(now_ns)
        if len(self.by_hash) > MAX_OBJECT_HISTORIES:
            self.by_hash.popitem(last=False)
        return history

    def drop_known_copies(self, server: str) -> None:
        """Forget what a cache was shown to hold: it has restarted, and is empty."""
        for history in self.by_hash.values():
            history.known_copies.pop(server, None)
