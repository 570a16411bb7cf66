"""Long-poll subscription of a router to control replicas: its position and its choice of replica.  Pure."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from kelpcroft.control_log.follower import LogFollower, LogPosition, ResponseHead, ResponseVerdict
from kelpcroft.control_log.upstream_selection import Address, UpstreamSelector

MS = 1_000_000


class NextRequest(Enum):
    """Where the router sends the watch request that follows a response."""

    SAME_REPLICA = "call"  # immediately
    HOME_REPLICA = "home"  # immediately
    NEXT_REPLICA = "move"  # after a delay; see ``Subscription.select_next_replica``


@dataclass(frozen=True, slots=True)
class ResponseOutcome:
    """What to do with a watch response, and where the next watch request goes."""

    verdict: ResponseVerdict
    next_request: NextRequest
    reason: str = ""  # why the router leaves the replica; "" if it does not


class Subscription:
    """One router's position in the log, and its choice of a replica."""

    def __init__(self, now: int, addresses: tuple[Address, ...], stale_after_ns: int, seed: int) -> None:
        """Starts without a position.

        Args:
            now: Unix ns.  The state that the router already has may be as late as this.
            addresses: The replicas; at least one.
            stale_after_ns: The router leaves a replica whose state was last complete longer ago than this.
            seed: A different number for each router and each of its starts.
        """
        self.follower = LogFollower(now // MS)
        self.selector = UpstreamSelector(addresses, seed)
        self.stale_after_ns = stale_after_ns

    @property
    def current_address(self) -> Address:
        """The replica that receives the watch requests now."""
        return self.selector.current_address

    def requested_position(self) -> LogPosition:
        """Returns the position that the next watch request states."""
        return self.follower.requested_position()

    def record_response(self, now: int, head: ResponseHead) -> ResponseOutcome:
        """Judges a response from the current replica, and updates the position and the choice of replica."""
        if not head.as_of_ms:
            reason = "not a control replica, or one without a state yet"
            return ResponseOutcome(ResponseVerdict.OUTDATED, NextRequest.NEXT_REPLICA, reason)
        verdict = self.follower.judge(head)
        self.follower.record_verdict(head, verdict)
        if verdict is ResponseVerdict.OUTDATED:
            return ResponseOutcome(verdict, NextRequest.NEXT_REPLICA, "its state is behind")
        if now - head.as_of_ms * MS > self.stale_after_ns:
            return ResponseOutcome(verdict, NextRequest.NEXT_REPLICA, "its state is stale")
        if self.selector.record_success(now):
            return ResponseOutcome(verdict, NextRequest.HOME_REPLICA)
        return ResponseOutcome(verdict, NextRequest.SAME_REPLICA)

    def select_next_replica(self, now: int) -> int:
        """Leaves the current replica: the next watch request goes to another address.

        Returns:
            How long to wait before that request, in ns.
        """
        return self.selector.record_failure(now)
