"""The time of a new process in an upgrade before the list service has responded to it for the first time.

The process starts from ``known`` of the configuration and from its predecessor's feed record.  While the list
service does not respond, it may lack news, so it does two things:

- While its predecessor runs and serves, it reports that it is not ready, for at most MAX_READY_DELAY_NS, and
  reads the predecessor's record again at short intervals.
- If the list service has not responded TOLD_AFTER_READY_NS after the process became ready, it limits the age
  of copies: a copy from before the process was ready may have been purged without its knowledge.  The limit
  ends with the first response, or when servers have dropped all copies from before such a purge.

A process that does not share its listening socket has no predecessor beside it, and none of this applies.
"""

from __future__ import annotations

from enum import IntEnum

from kelpcroft.core.effects import ReadPredecessorFeed
from kelpcroft.core.endpoint_list import EndpointList
from kelpcroft.core.feed_position import FeedPosition
from kelpcroft.core.feed_recorder import FeedRecorder
from kelpcroft.core.feed_watch import FeedWatch
from kelpcroft.core.inputs import EndpointUpdate, FeedRecord, PredecessorFeed, Purge, WatchResponse
from kelpcroft.core.messages import TimerKind
from kelpcroft.core.process_status import ProcessStatus
from kelpcroft.core.service_state import ServiceMode
from kelpcroft.core.state import MS, SECOND, State
from kelpcroft.decision import interface as api

MAX_READY_DELAY_NS = 2 * SECOND  # a process is ready by then, whether or not the list service responds
READ_INTERVAL_NS = 250 * MS  # between two readings of the predecessor's record
PREDECESSOR_LOST_NS = 2_500 * MS  # a predecessor that has not touched its record for so long does not run
TOLD_AFTER_READY_NS = 2 * SECOND  # the feed's news count as received this long after the process is ready
READY_SEEN_NS = 500 * MS  # the platform sees within this time that the process is ready


class Step(IntEnum):
    """Steps of the catch-up, as numbers of its timers."""

    READ = 1  # read the predecessor's record again
    READY = 2  # become ready without a response
    LIMIT_AGE = 3  # limit the age of copies without a response


class FeedCatchUp:
    """Steps of a process from its start to the first response of the list service."""

    def __init__(
        self,
        state: State,
        process: ProcessStatus,
        position: FeedPosition,
        endpoint_list: EndpointList,
        watch: FeedWatch,
        recorder: FeedRecorder,
    ) -> None:
        self.state = state
        self.process = process
        self.position = position
        self.endpoint_list = endpoint_list
        self.watch = watch
        self.recorder = recorder
        self.is_catching_up = False
        self.limits_age = False
        self.ready_ns = 0  # when the process became ready, if it was in service

    def start(self, predecessor: PredecessorFeed | None) -> None:
        """Apply the predecessor's record at the start, before the first watch request."""
        if not self.process.service_state.shares_listener:
            return
        self.is_catching_up = True
        if predecessor is None:
            return
        if predecessor.record is None:
            self.log_refused(predecessor.reason)
            return
        self.apply(predecessor.record, is_start=True)
        self.state.schedule(READ_INTERVAL_NS, TimerKind.FEED_CATCH_UP, Step.READ)
        if predecessor.age_ns < PREDECESSOR_LOST_NS:
            self.process.awaits_feed = True
            self.state.schedule(MAX_READY_DELAY_NS, TimerKind.FEED_CATCH_UP, Step.READY)

    def on_listening(self) -> None:
        """Handle the opening of the listening sockets: without a delay, the process is ready now."""
        if self.is_catching_up and not self.process.awaits_feed:
            self.become_ready("without a wait for the list service")

    def on_predecessor_feed(self, predecessor: PredecessorFeed) -> None:
        """Apply what the predecessor has learned since its record was last read."""
        if self.is_catching_up and predecessor.record is not None and self.apply(predecessor.record):
            self.watch.restart_request()

    def on_timer(self, step: int) -> None:
        """Run a step that is due, unless the list service has responded meanwhile."""
        if not self.is_catching_up:
            return
        if step == Step.READ:
            self.state.schedule(READ_INTERVAL_NS, TimerKind.FEED_CATCH_UP, Step.READ)
            self.state.effects.append(ReadPredecessorFeed())
        elif step == Step.READY:
            self.become_ready("without a response of the list service")
        else:
            self.limit_age_when_due()

    def become_ready(self, reason: str) -> None:
        """Be ready without a response of the list service."""
        self.process.awaits_feed = False
        self.ready_ns = self.state.now
        self.log_ready(reason)
        self.state.schedule(TOLD_AFTER_READY_NS, TimerKind.FEED_CATCH_UP, Step.LIMIT_AGE)

    def limit_age_when_due(self) -> None:
        """Limit the age of copies once the process has been ready and in service for long enough."""
        service = self.process.service_state
        if self.limits_age or service.mode is ServiceMode.ENDING:
            return
        in_service_ns = max(self.ready_ns, service.since_ns)
        due_ns = in_service_ns + TOLD_AFTER_READY_NS
        if service.mode is ServiceMode.OUT_OF_SERVICE or self.state.now < due_ns:
            wait_ns = max(READ_INTERVAL_NS, due_ns - self.state.now)
            self.state.schedule(wait_ns, TimerKind.FEED_CATCH_UP, Step.LIMIT_AGE)
            return
        self.limits_age = True
        self.state.log(
            "feed.silent",
            "feed: no response since the start; only copies from after it are used until the next one",
            "warning",
            {"ready_s": round((self.state.now - in_service_ns) / SECOND, 3)},
        )
        self.endpoint_list.assume_unknown_purges(self.state.now - in_service_ns - READY_SEEN_NS)

    def on_watch_response(self) -> None:
        """End the catch-up at the first response that is applied completely."""
        if not self.is_catching_up or not self.position.has_responded:
            return
        self.is_catching_up = False
        if self.process.awaits_feed:
            self.process.awaits_feed = False
            self.log_ready("after the first response of the list service")
        if self.limits_age:
            self.limits_age = False
            self.state.events.append(api.PurgesKnown())
            self.state.log("feed.heard", "feed: first response since the start", "info")

    def apply(self, record: FeedRecord, is_start: bool = False) -> bool:
        """Apply a record; returns whether the position in the feed has changed.

        The purges always apply.  The endpoints and the position refer to the configuration's ``known``; they
        apply only if it is unchanged, and not if this process is further in the feed.  A record without a
        position, that of a watch on control replicas, has endpoints for the start only.
        """
        before = self.position.last_event
        is_same_feed = record.known_digest == self.recorder.known_digest()
        is_ahead = is_same_feed and record.last_event > before
        events: list[EndpointUpdate | Purge] = self.new_purges(record)
        has_usable_endpoints = is_ahead or (is_same_feed and is_start and not record.last_event)
        if record.endpoints and has_usable_endpoints:
            events.insert(0, EndpointUpdate(False, record.endpoints))
        last_event = record.last_event if is_ahead else before
        if not events and not is_ahead:
            return False
        self.watch.configured.apply_response(WatchResponse(last_event, tuple(events)))
        self.state.log(
            "handover.feed",
            f"feed record of the predecessor applied: event {before} to {last_event}, "
            f"{len(record.endpoints)} endpoints, {len(record.purges)} purges",
            "info",
            {
                "before": before,
                "after": last_event,
                "endpoints": len(record.endpoints),
                "purges": len(record.purges),
                "same_configuration": is_same_feed,
            },
        )
        return is_ahead

    def new_purges(self, record: FeedRecord) -> list[EndpointUpdate | Purge]:
        """The purges of a record that this process has not applied yet."""
        applied = {purge_key(received.purge) for received in self.endpoint_list.recent_purges}
        return [purge for purge in record.purges if purge_key(purge) not in applied]

    def log_ready(self, reason: str) -> None:
        """Log that the process is ready, as far as the feed is concerned."""
        after_s = round((self.state.now - self.process.started_ns) / SECOND, 3)
        self.state.log(
            "router.ready", f"ready {reason}, {after_s} s after the start", "info", {"after_s": after_s}
        )

    def log_refused(self, reason: str) -> None:
        """Log that the predecessor's record cannot be used."""
        self.state.log(
            "handover.refused",
            f"predecessor's feed record not applied: {reason}",
            "warning",
            {"why": reason},
        )


def purge_key(purge: Purge) -> tuple[int | None, int, int]:
    """The values by which purges are equal; inputs cannot be hashed in a release build."""
    return purge.object_number, purge.group, purge.purged_at_ns
