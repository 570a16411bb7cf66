"""Actions, the outputs of the decision package.

The caller executes actions in the order in which they are returned.  Times are integer nanoseconds of the
clock of the events (names end in ``_ns``).
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum


class RetentionRank(IntEnum):
    """Rank by which a cache decides how long to keep a copy; the values are sent to the servers."""

    DO_NOT_KEEP = 0
    ONCE = 1
    REUSED = 2
    HOT = 3


@dataclass(frozen=True, slots=True)
class ForwardRequest:
    """Sends one attempt to a cache, or directly to a parent or the origin, with instructions for a miss.

    Attributes:
        id: The request.
        server: The server that the attempt is sent to.
        timeout_ns: The attempt timeout.
        fill_source: The server that a miss is filled from; if it equals ``server``, nothing is filled.
        max_age_ns: The maximum age of an acceptable copy; 0 for the class's freshness lifetime.
        retention_rank: How long to keep the copy: see ``RetentionRank``.
        coalesce: Wait for a fill of the object that is already in progress.
        cached_only: The fill source sends only a copy that it already holds.
        no_parent_copy: The parent keeps no copy of objects that pass through it.
        refresh_in_background: Serve an ageing copy, and fetch a new one afterwards.
    """

    id: str
    server: str
    timeout_ns: int
    fill_source: str
    max_age_ns: int = 0
    retention_rank: int = 0
    coalesce: bool = False
    cached_only: bool = False
    no_parent_copy: bool = False
    refresh_in_background: bool = False


@dataclass(frozen=True, slots=True)
class Cancel:
    """Cancels an attempt."""

    id: str
    attempt: int


@dataclass(frozen=True, slots=True)
class Reject:
    """Sends the final response "rejected": the client may safely retry after ``retry_after_ns``."""

    id: str
    retry_after_ns: int = 0


@dataclass(frozen=True, slots=True)
class Fail:
    """Sends the final response "failed": the request may have been executed."""

    id: str


@dataclass(frozen=True, slots=True)
class BackOff:
    """Requests ``BackoffElapsed`` at a clock time, for a retry that is already charged to its budget."""

    id: str
    until_ns: int


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Requests ``TimerExpired`` at a clock time."""

    label: int
    at_ns: int


@dataclass(frozen=True, slots=True)
class Probe:
    """Requests a health check of a server; a ``ProbeFinished`` event reports its end.

    A probe and a health check are the same thing: the settings and the simulator's wire call it a probe.
    """

    server: str


@dataclass(frozen=True, slots=True)
class Subscribe:
    """Subscribes to changes of the endpoint list at the discovery service."""


@dataclass(frozen=True, slots=True)
class Log:
    """Writes a log line for operators."""

    text: str


Action = ForwardRequest | Cancel | Reject | Fail | BackOff | SetTimer | Probe | Subscribe | Log
