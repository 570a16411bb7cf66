"""Following a log through replicas that may lag, restart, or follow another log.  Pure.

A position is an event's number and its fingerprint, a hash of that event's canonical JSON.  Two replicas
whose fingerprints agree at a number hold the same log up to there, so a position is carried from one replica
to another by both, and the new one goes on from it.  Where the fingerprints differ, or the replica no longer
has that event, it answers with a snapshot.

Numbers of two logs cannot be compared: after a restart of the list service they begin at 1 again.  What tells
which state is the later one is ``as_of_ms``: the time, by its own clock, at which a replica last knew that it
had all that the list service had.  A replica that lags or is cut off cannot claim a recent one.  So a state
replaces what is known only if it is later by more than clocks may differ.  Anything else may add removals and
purges, which are obeyed whoever tells them, and undoes nothing.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

MAX_CLOCK_SKEW_MS = 1_000  # clocks of two control machines differ by less


@dataclass(frozen=True, slots=True)
class LogPosition:
    """Up to where a log is known."""

    event_number: int = 0  # 0: nothing is known, and the whole state is wanted
    fingerprint: str = ""  # of that event; see ``log.event_fingerprint``


@dataclass(frozen=True, slots=True)
class ResponseHead:
    """What an answer says of itself."""

    last_event_number: int
    fingerprint: str  # of the last event
    as_of_ms: int  # Unix ms at which the answering replica's state was last known to be complete
    is_snapshot: bool  # it holds the whole list


class ResponseVerdict(Enum):
    """What to do with an answer."""

    APPLY = "take"  # as it stands; the position moves
    APPLY_REMOVALS_ONLY = "departures"  # and purges, until a state is known to be later
    REQUEST_SNAPSHOT = "resync"  # it is of a later log: ask this replica for the whole state
    OUTDATED = "behind"  # it is of an earlier state than what is known: ask another replica


class LogFollower:
    """One follower's position in the log, and the time of the state that it has taken."""

    def __init__(self, as_of_ms: int = 0) -> None:
        """Start with no position.

        Args:
            as_of_ms: what is known from elsewhere, such as a configuration, may be as late as this
                (Unix ms); 0 where nothing is known.
        """
        self.position = LogPosition()
        self.as_of_ms = as_of_ms  # of the latest state that was applied
        self.needs_snapshot = False  # the next call asks for the whole state
        self.is_unconfirmed = False  # the position is of a log whose state has not been applied

    def requested_position(self) -> LogPosition:
        """The position that the next call names."""
        return LogPosition() if self.needs_snapshot else self.position

    def judge(self, head: ResponseHead) -> ResponseVerdict:
        """What an answer to a call from ``requested_position`` is good for."""
        is_later = not self.as_of_ms or head.as_of_ms > self.as_of_ms + MAX_CLOCK_SKEW_MS
        if head.is_snapshot:
            return ResponseVerdict.APPLY if is_later else ResponseVerdict.APPLY_REMOVALS_ONLY
        if self.needs_snapshot or head.last_event_number < self.position.event_number:
            return ResponseVerdict.REQUEST_SNAPSHOT if is_later else ResponseVerdict.OUTDATED
        if self.is_unconfirmed:
            return ResponseVerdict.REQUEST_SNAPSHOT if is_later else ResponseVerdict.APPLY_REMOVALS_ONLY
        return ResponseVerdict.APPLY

    def record_verdict(self, head: ResponseHead, verdict: ResponseVerdict) -> None:
        """The answer was dealt with as its verdict says: move the position."""
        self.needs_snapshot = verdict is ResponseVerdict.REQUEST_SNAPSHOT
        if verdict in (ResponseVerdict.APPLY, ResponseVerdict.APPLY_REMOVALS_ONLY):
            self.position = LogPosition(head.last_event_number, head.fingerprint)
            self.is_unconfirmed = verdict is ResponseVerdict.APPLY_REMOVALS_ONLY
        if verdict is ResponseVerdict.APPLY:
            self.as_of_ms = max(self.as_of_ms, head.as_of_ms)
