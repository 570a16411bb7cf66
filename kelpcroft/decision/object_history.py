"""Request history of objects: request counts, shortest response times, and caches that hold a copy."""

from __future__ import annotations

from collections import OrderedDict
from typing import Final

from kelpcroft.decision.units import SECOND_NS

# Histories kept, fewer with little memory; the least recently requested object is removed first.
MAX_OBJECT_HISTORIES: Final = 20_000
REQUEST_COUNT_HALF_LIFE_NS: Final = 15 * SECOND_NS  # time in which an object's request count halves


class ObjectHistory:
    """The request history of one object, or of one part of an object that has parts.

    It is not a dataclass: an instance is created for each new object, and in the compiled build instances of
    a plain class are created faster.

    Attributes:
        request_count: Number of requests, halving with time.
        requested_ns: When the object was last requested.
        min_response_ns: The shortest response time, 0 before the first response.
        known_copies: Names of the caches that responses showed to hold the object, each with the time of the
            response.
    """

    def __init__(self, requested_ns: int) -> None:
        self.request_count = 0.0
        self.requested_ns = requested_ns
        self.min_response_ns = 0.0
        self.known_copies: dict[str, int] = {}

    def record_request(self, now_ns: int) -> None:
        """Count one request."""
        age_ns = now_ns - self.requested_ns
        self.request_count = self.request_count * 0.5 ** (age_ns / REQUEST_COUNT_HALF_LIFE_NS) + 1
        self.requested_ns = now_ns


class ObjectHistories:
    """The histories of the most recently requested objects.

    Attributes:
        max_histories: How many are kept.
    """

    def __init__(self, max_histories: int = MAX_OBJECT_HISTORIES) -> None:
        self.max_histories = max_histories
        self.by_hash: OrderedDict[int, ObjectHistory] = OrderedDict()

    def __len__(self) -> int:
        return len(self.by_hash)

    def record_request(self, object_hash: int, now_ns: int) -> ObjectHistory:
        """Count a request of an object and return the object's history."""
        history = self.by_hash.setdefault(object_hash, ObjectHistory(now_ns))
        self.by_hash.move_to_end(object_hash)
        history.record_request(now_ns)
        if len(self.by_hash) > self.max_histories:
            self.by_hash.popitem(last=False)
        return history

    def drop_known_copies(self, server: str) -> None:
        """Remove all known copies of a server that has restarted and is therefore empty."""
        for history in self.by_hash.values():
            history.known_copies.pop(server, None)
