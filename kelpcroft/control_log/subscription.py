"""A router's watch on the control replicas: its position, the replica it calls, and when it moves.  Pure."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from kelpcroft.control_log.follower import LogFollower, LogPosition, ResponseHead, ResponseVerdict
from kelpcroft.control_log.upstream_selection import Address, UpstreamSelector

MS = 1_000_000


class NextCall(Enum):
    """Where the call that follows an answer goes."""

    SAME_REPLICA = "call"  # at once
    HOME_REPLICA = "home"  # at once
    NEXT_REPLICA = "move"  # in a while; see ``Subscription.select_next_replica``


@dataclass(frozen=True, slots=True)
class ResponseOutcome:
    """What to do with an answer, and what then."""

    verdict: ResponseVerdict
    next_call: NextCall
    reason: str = ""  # for leaving the replica


class Subscription:
    """One router's position in the log, and its choice of a replica."""

    def __init__(self, now: int, addresses: tuple[Address, ...], stale_ns: int, seed: int) -> None:
        """Start with no position.

        Args:
            now: Unix ns.  What the router knows already may be as late as this.
            addresses: the replicas; at least one.
            stale_ns: a replica that has heard nothing for so long is left.
            seed: another for each router and each of its starts.
        """
        self.follower = LogFollower(now // MS)
        self.selector = UpstreamSelector(addresses, seed)
        self.stale_ns = stale_ns

    @property
    def current_address(self) -> Address:
        """The address that is called now."""
        return self.selector.current_address

    def requested_position(self) -> LogPosition:
        """The position that the next call names."""
        return self.follower.requested_position()

    def record_response(self, now: int, head: ResponseHead) -> ResponseOutcome:
        """An answer came from the address that is called now."""
        if not head.as_of_ms:
            reason = "it is no control replica, or knows nothing yet"
            return ResponseOutcome(ResponseVerdict.OUTDATED, NextCall.NEXT_REPLICA, reason)
        verdict = self.follower.judge(head)
        self.follower.record_verdict(head, verdict)
        if verdict is ResponseVerdict.OUTDATED:
            return ResponseOutcome(verdict, NextCall.NEXT_REPLICA, "it is behind")
        if now - head.as_of_ms * MS > self.stale_ns:
            return ResponseOutcome(verdict, NextCall.NEXT_REPLICA, "it is stale")
        if self.selector.record_success(now):
            return ResponseOutcome(verdict, NextCall.HOME_REPLICA)
        return ResponseOutcome(verdict, NextCall.SAME_REPLICA)

    def select_next_replica(self, now: int) -> int:
        """Leave the current replica: another address is called next.

        Returns:
            In how long, in ns.
        """
        return self.selector.record_failure(now)
