"""What the module keeps of a request, its attempts and its object.  Records: nothing is decided here."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from zincgrade import interface as api
from zincgrade.interface import Role

if TYPE_CHECKING:
    from zincgrade.policy import Node


@dataclass(slots=True)
class Memo:
    """What is remembered of one part of an object."""

    count: float = 0.0  # requests, halving with time
    last_ns: int = 0
    unit_ns: float = 0.0  # least time an answer took, 0 = none yet
    holders: dict[str, int] = field(default_factory=dict)  # caches shown to hold it, and when


class Attempt:
    """One attempt that is out."""

    # No dataclass: compiled, its annotations would want Node before the module that has it is there.
    __slots__ = ("node", "source", "sent_ns", "trial")

    def __init__(self, node: Node, source: Node, sent_ns: int, trial: bool = False) -> None:
        self.node, self.source, self.sent_ns, self.trial = node, source, sent_ns, trial

    def far(self) -> Node:
        """Who fills it: the source, or the parent or origin that was asked straight."""
        return self.source if self.node.line.role is Role.CACHE else self.node


class Held:
    """A request that still owes its answer, or whose attempts are still out."""

    def __init__(self, now: int, request: api.Request, cls: api.RequestClass, key: int, most: int) -> None:
        self.request, self.cls, self.key = request, cls, key
        self.start_ns, self.deadline_ns = now, now + request.patience_ns
        self.out: dict[int, Attempt] = {}
        self.tries, self.most = 0, most  # attempts sent; allowed when it came
        self.done = self.started = self.judged = False
        self.fills = self.look = False  # looks like a fill; only a hit is wanted
        self.aside = False  # its zone's caches have no room for it: straight to a parent
        self.resets = 0  # attempts lost with their connection
        self.further = self.moved = self.copied = 0  # sends after one that may have run, or had not; copies
        self.bad_caches: set[str] = set()
        self.bad_sources: set[str] = set()
        self.memo: Memo | None = None
        self.ran = request.ran  # first send that may have run, of any request of its key
