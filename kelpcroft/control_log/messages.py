"""What goes into a control replica's state machine, and what comes out of it.  Pure.

Fields with ``_ns`` are durations unless they say otherwise.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from kelpcroft.control_log.follower import LogPosition
from kelpcroft.control_log.upstream_selection import Address

MS = 1_000_000
SECOND = 1_000 * MS
UPSTREAM_TIMEOUT_MARGIN_NS = 400 * MS  # past its wait a call is answered by then, or given up
RETRY_AFTER_S = 1  # in the answer to a watcher that is refused


@dataclass(frozen=True, slots=True)
class ReplicaOptions:
    """One replica's settings."""

    upstreams: tuple[Address, ...]
    peers: frozenset[Address] = frozenset()  # those of them that are replicas; the others are list services
    lease_ns: int = 3 * SECOND  # a state that was complete so long ago is stale
    batch_ns: int = 400 * MS  # between two answers to one watcher
    max_watches: int = 1_000
    purge_span_ns: int = 66 * SECOND  # a purge matters for so long


# Inputs ---------------------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class UpstreamResponse:
    """An answer from upstream, or a piece of one (``has_more``)."""

    last_event_number: int
    events: tuple[Any, ...]  # as parsed from JSON
    fingerprint: str = ""  # of the last event, from a control replica
    as_of_ms: int | None = None  # None: it is a list service's, which is complete when it is given
    has_more: bool = False


@dataclass(frozen=True, slots=True)
class WatchRequest:
    """A watcher's call for what comes after a position."""

    watcher_id: int  # of its connection
    position: LogPosition
    knows_fingerprints: bool  # else its number is all it has
    wait_ns: int  # how long it waits for news


# Effects --------------------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class SendWatchResponse:
    """Answer a watcher's call."""

    watcher_id: int
    body: bytes


@dataclass(frozen=True, slots=True)
class RefuseWatcher:
    """Turn a watcher away for now.  The reason goes out on the wire."""

    watcher_id: int
    reason: str
    retry_after_s: int = RETRY_AFTER_S


@dataclass(frozen=True, slots=True)
class CallUpstream:
    """Call an address for what comes after a position, ``delay_ns`` from now.

    ``on_new_connection``: what still comes on the connection that stands is of no use.
    """

    address: Address
    position: LogPosition
    wait_ns: int
    delay_ns: int = 0
    on_new_connection: bool = False


@dataclass(frozen=True, slots=True)
class WriteLogEvent:
    """Write an event to the log."""

    event: str
    text: str
    fields: dict[str, object]
    level: str = "info"


Effect = SendWatchResponse | RefuseWatcher | CallUpstream | WriteLogEvent


@dataclass(slots=True)
class ReplicaCounters:
    """What a replica did since its start.  The fields' names are keys of ``GET /control/state``."""

    answers: int = 0
    snapshots: int = 0
    refusals: int = 0
    upstream_calls: int = 0
    moves: int = 0


class EffectList:
    """The effects of the input at hand, in their order."""

    def __init__(self) -> None:
        self._effects: list[Effect] = []

    def add(self, effect: Effect) -> None:
        """One more."""
        self._effects.append(effect)

    def log(self, event: str, text: str, fields: dict[str, object], level: str = "info") -> None:
        """One more, for the log."""
        self._effects.append(WriteLogEvent(event, text, fields, level))

    def take(self) -> list[Effect]:
        """All of them; the next input begins with none."""
        effects, self._effects = self._effects, []
        return effects
