"""Inputs and effects of a control replica's state machine.  Pure.

Fields with the suffix ``_ns`` are durations unless their comment states something else.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from kelpcroft.control_log.follower import LogPosition
from kelpcroft.control_log.upstream_selection import Address

MS = 1_000_000
SECOND = 1_000 * MS
UPSTREAM_TIMEOUT_MARGIN_NS = 400 * MS  # a watch request times out this long after its wait has ended
RETRY_AFTER_S = 1  # Retry-After value of the response that rejects a watcher


@dataclass(frozen=True, slots=True)
class ReplicaOptions:
    """Settings of one replica."""

    upstreams: tuple[Address, ...]
    peers: frozenset[Address] = frozenset()  # the upstreams that are replicas; the others are list services
    lease_ns: int = 3 * SECOND  # a state is stale once it was last complete longer ago than this
    batch_ns: int = 400 * MS  # minimum interval between two responses to one watcher
    max_watches: int = 1_000  # greatest number of watch requests that wait at the same time
    purge_lifetime_ns: int = 66 * SECOND  # how long a purge stays relevant


# Inputs ---------------------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class UpstreamResponse:
    """A watch response from upstream, or a chunk of one (``has_more``)."""

    last_event_number: int
    events: tuple[Any, ...]  # the events as parsed from JSON
    fingerprint: str = ""  # fingerprint of the last event; a list service sends none
    # Unix ms as of which the state is complete; None from a list service, which is complete when it responds.
    as_of_ms: int | None = None
    has_more: bool = False  # whether further chunks of the response follow


@dataclass(frozen=True, slots=True)
class WatchRequest:
    """A watcher's request for the events after a position."""

    watcher_id: int  # identifies the watcher's connection
    position: LogPosition
    has_fingerprint: bool  # if false, the position is an event number alone
    wait_ns: int  # how long the watcher waits for new events


# Effects --------------------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class SendWatchResponse:
    """Send a watcher the response to its watch request."""

    watcher_id: int
    body: bytes


@dataclass(frozen=True, slots=True)
class RejectWatcher:
    """Reject a watcher's request for now.  The reason is sent to the watcher."""

    watcher_id: int
    reason: str
    retry_after_s: int = RETRY_AFTER_S


@dataclass(frozen=True, slots=True)
class SendUpstreamRequest:
    """Send an upstream address a watch request for the events after a position, ``delay_ns`` from now.

    ``on_new_connection``: send it on another connection, because the rest of the response that is being
    received on the present one is not used.
    """

    address: Address
    position: LogPosition
    wait_ns: int
    delay_ns: int = 0
    on_new_connection: bool = False


@dataclass(frozen=True, slots=True)
class WriteLogEvent:
    """Write a record to the process log."""

    event: str
    text: str
    fields: dict[str, object]
    level: str = "info"


Effect = SendWatchResponse | RejectWatcher | SendUpstreamRequest | WriteLogEvent


@dataclass(slots=True)
class ReplicaCounters:
    """Counters of a replica since its start.  The fields' names are keys of ``GET /control/state``."""

    answers: int = 0
    snapshots: int = 0
    refusals: int = 0
    upstream_calls: int = 0
    moves: int = 0


class EffectList:
    """The effects of the input that is being handled, in their order."""

    def __init__(self) -> None:
        self._effects: list[Effect] = []

    def add(self, effect: Effect) -> None:
        """Appends an effect."""
        self._effects.append(effect)

    def log(self, event: str, text: str, fields: dict[str, object], level: str = "info") -> None:
        """Appends the effect that writes a record to the process log."""
        self._effects.append(WriteLogEvent(event, text, fields, level))

    def take(self) -> list[Effect]:
        """Returns all effects and clears the list for the next input."""
        effects, self._effects = self._effects, []
        return effects
