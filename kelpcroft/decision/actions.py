"""Actions: what the decisions ask for.

The caller carries actions out in the order in which they are returned.  Times are integer nanoseconds of the
events' clock (names end in ``_ns``).
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum


class RetentionRank(IntEnum):
    """How long a cache should keep a copy, as the servers' wire puts it."""

    DO_NOT_KEEP = 0
    ONCE = 1
    REUSED = 2
    HOT = 3


@dataclass(frozen=True, slots=True)
class ForwardRequest:
    """Send one attempt to a cache (or directly to a parent or the origin), with what to do on a miss.

    Attributes:
        id: The request.
        server: The server that is asked.
        timeout_ns: How long to wait for the answer.
        fill_source: Where a miss is filled from; with the same server nothing is filled.
        max_age_ns: The oldest copy that will do; 0 for the class's freshness lifetime.
        retention_rank: How long the copy is kept: see ``RetentionRank``.
        coalesce: Wait for a fill that is under way.
        cached_only: The fill source gives only what it holds.
        no_parent_copy: The parent keeps no copy of what passes through it.
        refresh_in_background: Serve an ageing copy, and fetch it anew after that.
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
    """Stop waiting for an attempt."""

    id: str
    attempt: int


@dataclass(frozen=True, slots=True)
class Reject:
    """Final answer: rejected; a new try does no harm, from ``retry_after_ns`` on."""

    id: str
    retry_after_ns: int = 0


@dataclass(frozen=True, slots=True)
class Fail:
    """Final answer: failed; it may have been executed."""

    id: str


@dataclass(frozen=True, slots=True)
class BackOff:
    """A request is retried at a clock time, of which ``BackoffElapsed`` tells; its route has paid for it."""

    id: str
    until_ns: int


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Ask for ``TimerExpired`` at a clock time."""

    label: int
    at_ns: int


@dataclass(frozen=True, slots=True)
class Probe:
    """Probe a server."""

    server: str


@dataclass(frozen=True, slots=True)
class Subscribe:
    """Ask discovery for changes from now on."""


@dataclass(frozen=True, slots=True)
class Log:
    """A line for the people on call."""

    text: str


Action = ForwardRequest | Cancel | Reject | Fail | BackOff | SetTimer | Probe | Subscribe | Log
