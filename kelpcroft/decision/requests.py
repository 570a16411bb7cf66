"""What the module keeps of a request, its attempts and its object.  Records: nothing is decided here."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from kelpcroft.decision import interface as api
from kelpcroft.decision.interface import Role

if TYPE_CHECKING:
    from kelpcroft.decision.policy import Endpoint


@dataclass(slots=True)
class ObjectHistory:
    """What is remembered of one part of an object."""

    request_count: float = 0.0  # requests, halving with time
    requested_ns: int = 0
    min_response_ns: float = 0.0  # least time an answer took, 0 = none yet
    known_copies: dict[str, int] = field(default_factory=dict)  # caches shown to hold it, and when


class Attempt:
    """One attempt that is out."""

    # No dataclass: compiled, its annotations would want Node before the module that has it is there.
    __slots__ = ("node", "source", "sent_ns", "trial")

    def __init__(self, node: Endpoint, source: Endpoint, sent_ns: int, trial: bool = False) -> None:
        self.node, self.source, self.sent_ns, self.trial = node, source, sent_ns, trial

    def filling_endpoint(self) -> Endpoint:
        """Who fills it: the source, or the parent or origin that was asked straight."""
        return self.source if self.node.server.role is Role.CACHE else self.node


class InFlightRequest:
    """A request that still owes its answer, or whose attempts are still out."""

    def __init__(self, now: int, request: api.Request, cls: api.RequestClass, key: int, most: int) -> None:
        self.request, self.request_class, self.object_hash = request, cls, key
        self.start_ns, self.deadline_ns = now, now + request.time_remaining_ns
        self.attempts_in_flight: dict[int, Attempt] = {}
        self.attempts_sent, self.max_attempts = 0, most  # attempts sent; allowed when it came
        self.is_closed = self.response_started = self.timeliness_recorded = False
        self.expects_fill = self.cache_only = False  # looks like a fill; only a hit is wanted
        self.bypasses_cache = False  # its zone's caches have no room for it: straight to a parent
        self.reset_count = 0  # attempts lost with their connection
        self.retry_count = self.reroute_count = self.hedge_count = (
            0  # sends after one that may have run, or had not; copies
        )
        self.excluded_servers: set[str] = set()
        self.excluded_sources: set[str] = set()
        self.history: ObjectHistory | None = None
        self.possible_execution = (
            request.prior_execution
        )  # first send that may have run, of any request of its key
