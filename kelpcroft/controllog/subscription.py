"""A router's watch on the control replicas: its position, the replica it calls, and when it moves.  Pure."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from kelpcroft.controllog.follower import Follower, Head, Position, Verdict
from kelpcroft.controllog.sources import Address, Sources

MS = 1_000_000


class Next(Enum):
    """What follows an answer."""

    CALL = "call"  # the next call, at once
    HOME = "home"  # the next call, at once and at the home address
    MOVE = "move"  # another address


@dataclass(frozen=True, slots=True)
class Outcome:
    """What to do with an answer, and what then; ``why`` for a move."""

    verdict: Verdict
    next: Next
    why: str = ""


class Subscription:
    """One router's."""

    def __init__(self, now: int, addresses: tuple[Address, ...], stale_ns: int, seed: int) -> None:
        """``stale_ns``: a replica that has heard nothing for so long is left.  What the router knows
        already may be as late as now."""
        self.follower, self.sources = Follower(now // MS), Sources(addresses, seed)
        self.stale_ns = stale_ns

    @property
    def address(self) -> Address:
        """The address that is called now."""
        return self.sources.address

    def asks(self) -> Position:
        """The position that the next call names."""
        return self.follower.asks()

    def answered(self, now: int, head: Head) -> Outcome:
        """An answer came from the address that is called now."""
        if not head.as_of_ms:
            return Outcome(Verdict.BEHIND, Next.MOVE, "it is no control replica, or knows nothing yet")
        verdict = self.follower.judge(head)
        self.follower.act(head, verdict)
        if verdict is Verdict.BEHIND:
            return Outcome(verdict, Next.MOVE, "it is behind")
        if now - head.as_of_ms * MS > self.stale_ns:
            return Outcome(verdict, Next.MOVE, "it is stale")
        return Outcome(verdict, Next.HOME if self.sources.answered(now) else Next.CALL)

    def moved(self, now: int) -> int:
        """Another address is called next: in how long, in ns."""
        return self.sources.failed(now)
