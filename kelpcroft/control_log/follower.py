"""Follower of a log through replicas that may lag, restart, or follow another log.  Pure.

A position is an event's number and its fingerprint, a hash of that event's canonical JSON.  Two replicas
whose fingerprints agree at a number have the same log up to that event.  So a follower can take its position
from one replica to another, and the new one continues from it.  Where the fingerprints differ, or the replica
no longer has that event, it responds with a snapshot.

Numbers of two logs cannot be compared: after a restart of the list service they start at 1 again.
``as_of_ms`` decides which of two states is the later one: the time, by the replica's own clock, at which its
state last included all events of the list service.  A replica that lags or is disconnected never states a
recent time.  So a state replaces the applied one only if it is later by more than the clocks may differ.  Of
a response with any other state, at most the removals and purges are applied, which hold whichever replica
sent them; such a response reverts nothing.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

MAX_CLOCK_SKEW_MS = 1_000  # the clocks of two control machines differ by less than this


@dataclass(frozen=True, slots=True)
class LogPosition:
    """The last event of a log that a follower has received."""

    event_number: int = 0  # 0: nothing has been received; the next request is a list request
    fingerprint: str = ""  # fingerprint of that event; see ``log.event_fingerprint``


@dataclass(frozen=True, slots=True)
class ResponseHead:
    """Metadata of a watch response: the replica's log position, and the time of its state."""

    last_event_number: int
    fingerprint: str  # fingerprint of the last event
    as_of_ms: int  # Unix ms at which the responding replica's state was last confirmed as complete
    is_snapshot: bool  # the response includes the complete list


class ResponseVerdict(Enum):
    """How a follower uses a watch response."""

    APPLY = "take"  # apply all its events and move the position
    APPLY_REMOVALS_ONLY = "departures"  # apply only removals and purges, until a response has a later state
    REQUEST_SNAPSHOT = "resync"  # the response is of a later log: send this replica a list request
    OUTDATED = "behind"  # the response's state is earlier than the applied one: use another replica


class LogFollower:
    """One follower's position in the log, and the time of the state that it has applied."""

    def __init__(self, as_of_ms: int = 0) -> None:
        """Starts without a position.

        Args:
            as_of_ms: A state from another source, such as a configuration, may be as late as this (Unix ms);
                0 where there is none.
        """
        self.position = LogPosition()
        self.as_of_ms = as_of_ms  # time of the latest state that was applied
        self.needs_snapshot = False  # the next request is a list request
        self.is_unconfirmed = False  # the position is in a log whose state has not been applied

    def requested_position(self) -> LogPosition:
        """Returns the position that the next watch request states."""
        return LogPosition() if self.needs_snapshot else self.position

    def judge(self, head: ResponseHead) -> ResponseVerdict:
        """Returns how to use the response to a watch request from ``requested_position``."""
        is_later = not self.as_of_ms or head.as_of_ms > self.as_of_ms + MAX_CLOCK_SKEW_MS
        if head.is_snapshot:
            return ResponseVerdict.APPLY if is_later else ResponseVerdict.APPLY_REMOVALS_ONLY
        if self.needs_snapshot or head.last_event_number < self.position.event_number:
            return ResponseVerdict.REQUEST_SNAPSHOT if is_later else ResponseVerdict.OUTDATED
        if self.is_unconfirmed:
            return ResponseVerdict.REQUEST_SNAPSHOT if is_later else ResponseVerdict.APPLY_REMOVALS_ONLY
        return ResponseVerdict.APPLY

    def record_verdict(self, head: ResponseHead, verdict: ResponseVerdict) -> None:
        """Moves the position after a response has been handled according to its verdict."""
        self.needs_snapshot = verdict is ResponseVerdict.REQUEST_SNAPSHOT
        if verdict in (ResponseVerdict.APPLY, ResponseVerdict.APPLY_REMOVALS_ONLY):
            self.position = LogPosition(head.last_event_number, head.fingerprint)
            self.is_unconfirmed = verdict is ResponseVerdict.APPLY_REMOVALS_ONLY
        if verdict is ResponseVerdict.APPLY:
            self.as_of_ms = max(self.as_of_ms, head.as_of_ms)
