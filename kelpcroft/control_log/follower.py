"""Following a log through replicas that may lag, restart, or follow another log.  Pure.

A position is a number and its mark: a digest of the event with that number.  Two replicas whose marks agree
at a number tell the same log up to there, so a position is carried from one replica to another by both, and
the new one goes on from it.  Where the marks differ, or the replica no longer has that event, it answers
with a snapshot.

Numbers of two logs cannot be compared: after a restart of the list service they begin at 1 again.  What tells
which is the later state is ``as_of``: the time, by its own clock, at which a replica last knew that it had
all that the list service had.  A replica that lags or is cut off cannot claim a recent one.  So a state
replaces what is known only if it is later by more than clocks may differ; anything else may add departures
and purges, which are obeyed whoever tells them, and undoes nothing.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

CLOCK_SKEW_MS = 1_000  # clocks of two control machines differ by less


@dataclass(frozen=True, slots=True)
class LogPosition:
    """Up to where a log is known."""

    event_number: int = 0  # 0 = nothing is known: the whole state is wanted
    fingerprint: str = ""


@dataclass(frozen=True, slots=True)
class ResponseHead:
    """What an answer says of itself."""

    last_event_number: int
    fingerprint: str
    as_of_ms: int
    is_snapshot: bool  # it holds the whole list


class ResponseVerdict(Enum):
    """What to do with an answer."""

    APPLY = "take"  # as it stands; the position moves
    APPLY_REMOVALS_ONLY = (
        "departures"  # only what goes and what is purged, until a state is known to be later
    )
    REQUEST_SNAPSHOT = "resync"  # it is of a later log: ask this replica for the whole state
    OUTDATED = "behind"  # it is of an earlier state than what is known: ask another replica


class LogFollower:
    """One follower's position and the time of its state."""

    def __init__(self, as_of_ms: int = 0) -> None:
        """``as_of_ms``: what is known from elsewhere, such as a configuration, may be so late; 0 =
        nothing."""
        self.position = LogPosition()
        self.as_of_ms = as_of_ms  # of the latest state that was taken
        self.resync = False  # the next call asks for the whole state
        self.doubtful = False  # the position is of a log whose state has not been taken

    def requested_position(self) -> LogPosition:
        """The position that the next call names."""
        return LogPosition() if self.resync else self.position

    def judge(self, head: ResponseHead) -> ResponseVerdict:
        """What an answer to a call from ``asks`` is good for."""
        later = not self.as_of_ms or head.as_of_ms > self.as_of_ms + CLOCK_SKEW_MS
        if head.is_snapshot:
            return ResponseVerdict.APPLY if later else ResponseVerdict.APPLY_REMOVALS_ONLY
        if self.resync or head.last_event_number < self.position.event_number:
            return ResponseVerdict.REQUEST_SNAPSHOT if later else ResponseVerdict.OUTDATED
        if self.doubtful:
            return ResponseVerdict.REQUEST_SNAPSHOT if later else ResponseVerdict.APPLY_REMOVALS_ONLY
        return ResponseVerdict.APPLY

    def record_verdict(self, head: ResponseHead, verdict: ResponseVerdict) -> None:
        """The answer was dealt with by its verdict."""
        self.resync = verdict is ResponseVerdict.REQUEST_SNAPSHOT
        if verdict in (ResponseVerdict.APPLY, ResponseVerdict.APPLY_REMOVALS_ONLY):
            self.position = LogPosition(head.last_event_number, head.fingerprint)
            self.doubtful = verdict is ResponseVerdict.APPLY_REMOVALS_ONLY
        if verdict is ResponseVerdict.APPLY:
            self.as_of_ms = max(self.as_of_ms, head.as_of_ms)
