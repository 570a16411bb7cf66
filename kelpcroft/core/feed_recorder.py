"""Record of what this process knows from the feed, kept for its successor in an upgrade.

A successor starts from ``known`` of the unchanged configuration, which dates from the start of the first
process.  Until the list service has responded to it, the record is all it knows of later drains, starts and
purges.  The record is written only where an upgrade is possible: the listening socket is shared
(``ROUTER_FD``) and ``$TMPDIR`` is set.
"""

from __future__ import annotations

from dataclasses import replace
from typing import Any, NamedTuple

from kelpcroft.core.effects import PersistFeedRecord, TouchFeedRecord
from kelpcroft.core.endpoint_list import EndpointList
from kelpcroft.core.feed_position import FeedPosition
from kelpcroft.core.inputs import EndpointRecord, FeedRecord, Purge
from kelpcroft.core.messages import TimerKind
from kelpcroft.core.process_status import ProcessStatus
from kelpcroft.core.state import MS, SECOND, State
from kelpcroft.discovery.endpoint_view import TERMINATED
from kelpcroft.store.identity import json_digest

WRITE_INTERVAL_NS = 200 * MS  # a change is written within this time
TOUCH_INTERVAL_NS = SECOND  # the record of a running process is touched at least this often


class RecordVersion(NamedTuple):
    """What a record depends on; a record with an equal version is the same."""

    changes: int
    last_event: int
    known_digest: str


class FeedRecorder:
    """Writes the feed record whenever the knowledge of the feed has changed.

    A process that has not heard from the feed knows no more than its predecessor, and one that shuts down no
    more than its successor; neither writes.
    """

    def __init__(
        self, state: State, position: FeedPosition, endpoint_list: EndpointList, process: ProcessStatus
    ) -> None:
        self.state = state
        self.position = position
        self.endpoint_list = endpoint_list
        self.process = process
        self.configured_endpoints: dict[str, EndpointRecord] = {}  # those of ``known``
        self.written: RecordVersion | None = None  # of the last record that was written
        self.touched_ns = 0
        self.digested_config: dict[str, Any] | None = None
        self.digest = ""

    @property
    def is_enabled(self) -> bool:
        """Whether the process may have a successor that reads the record."""
        return self.process.service_state.shares_listener and bool(self.state.config.state_dir)

    def start(self) -> None:
        """Remember the endpoints of the configuration, and schedule the first write."""
        if self.is_enabled:
            self.configured_endpoints = dict(self.position.view.endpoints)
            self.state.schedule(WRITE_INTERVAL_NS, TimerKind.FEED_RECORD)

    def on_timer(self) -> None:
        """Write the record if it has changed, or touch it."""
        if self.process.is_shutting_down:
            return
        state = self.state
        state.schedule(WRITE_INTERVAL_NS, TimerKind.FEED_RECORD)
        version = RecordVersion(self.endpoint_list.changes, self.position.last_event, self.known_digest())
        if self.position.has_responded and version != self.written:
            self.written = version
            self.touched_ns = state.now
            state.effects.append(PersistFeedRecord(self.record()))
        elif state.now - self.touched_ns >= TOUCH_INTERVAL_NS:
            self.touched_ns = state.now
            state.effects.append(TouchFeedRecord())

    def record(self) -> FeedRecord:
        """The current record."""
        has_feed_numbers = self.position.subscription is None
        return FeedRecord(
            self.known_digest(),
            self.position.last_event if has_feed_numbers else 0,
            self.changed_endpoints(),
            self.recent_purges(),
        )

    def known_digest(self) -> str:
        """Digest of ``known`` in the configuration file that a successor would read."""
        if self.digested_config is not self.state.raw_config:
            self.digested_config = self.state.raw_config
            self.digest = json_digest(self.state.raw_config.get("known"))
        return self.digest

    def changed_endpoints(self) -> tuple[EndpointRecord, ...]:
        """The endpoints whose records differ from the configuration; those that are gone as terminated."""
        current, configured = self.position.view.endpoints, self.configured_endpoints
        changed = [record for name, record in current.items() if record != configured.get(name)]
        gone = [
            replace(record, state=TERMINATED) for name, record in configured.items() if name not in current
        ]
        return (*changed, *gone)

    def recent_purges(self) -> tuple[Purge, ...]:
        """The purges that may still concern copies."""
        retention_ns = self.state.settings.rules.purge_retention_ns
        oldest_ns = self.state.now - retention_ns
        return tuple(
            received.purge
            for received in self.endpoint_list.recent_purges
            if received.received_ns >= oldest_ns
        )
