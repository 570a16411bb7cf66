"""Watch of a control replica on its upstream: the list service, or another replica.  Pure.

One watch request is outstanding at a time, so the load on upstream does not grow with the number of watchers.
A list service has no fingerprints, and counts from 1 again when it is restarted.  So after a lost connection
the replica requests the last event of its log again, and compares the two.  The state of another replica
may be earlier than this one's: ``follower`` judges how its response is used.
"""

from __future__ import annotations

from typing import Any

from kelpcroft.control_log.follower import LogFollower, LogPosition, ResponseHead, ResponseVerdict
from kelpcroft.control_log.log import ControlLog, canonical_json, event_fingerprint
from kelpcroft.control_log.messages import (
    MS,
    SECOND,
    EffectList,
    ReplicaCounters,
    ReplicaOptions,
    SendUpstreamRequest,
    UpstreamResponse,
)
from kelpcroft.control_log.upstream_selection import UpstreamSelector

# Wait of a watch request for new events.  The state is confirmed as complete at least this often.
UPSTREAM_WAIT_NS = SECOND


class UpstreamSession:
    """The watch requests that one replica sends upstream, and the effect of the responses on its log."""

    def __init__(
        self,
        options: ReplicaOptions,
        seed: int,
        log: ControlLog,
        effects: EffectList,
        counters: ReplicaCounters,
    ) -> None:
        self._options = options
        self._log = log
        self._effects = effects
        self._counters = counters
        self.follower = LogFollower()
        self.selector = UpstreamSelector(options.upstreams, seed)
        self._requested_ns = 0  # when the outstanding watch request was sent, or will be
        self._must_verify_log = False  # the upstream may have another log, as after a lost connection

    def send_request(self, now: int, delay_ns: int = 0, on_new_connection: bool = False) -> None:
        """Sends the current address a watch request, ``delay_ns`` from now."""
        self._requested_ns = now + delay_ns
        self._counters.upstream_calls += 1
        address = self.selector.current_address
        position = self.follower.requested_position()
        if self._must_verify_log and position.event_number and address not in self._options.peers:
            position = LogPosition(self._log.last_event_number - 1)  # the last event is sent again
        self._effects.add(
            SendUpstreamRequest(address, position, UPSTREAM_WAIT_NS, delay_ns, on_new_connection)
        )

    def switch_upstream(self, now: int, reason: str) -> None:
        """Leaves the current upstream for the next one.  The log is kept."""
        host, port = self.selector.current_address
        if not self.selector.consecutive_failures:
            text = f"upstream {host}:{port}: {reason}"
            self._effects.log("upstream.lost", text, {"why": reason}, "warning")
        self._counters.moves += 1
        self._must_verify_log = True
        self.send_request(now, self.selector.record_failure(now))

    def on_response(self, now: int, response: UpstreamResponse) -> None:
        """Handles a watch response from the current address, or a chunk of one."""
        has_new_events = self._has_new_events(response)
        if self.selector.current_address in self._options.peers:
            self._on_peer_response(now, response, has_new_events)
        else:
            self._on_list_service_response(now, response, has_new_events)

    def _has_new_events(self, response: UpstreamResponse) -> bool:
        """Returns whether a response has an event after the last received one, or starts another state."""
        if self.follower.needs_snapshot:
            return True
        numbers = [number for number in map(event_number, response.events) if number is not None]
        return max([response.last_event_number, *numbers]) > self._log.last_event_number

    # Responses of a list service --------------------------------------------------------------------------

    def _on_list_service_response(self, now: int, response: UpstreamResponse, has_new_events: bool) -> None:
        """Handles a list service's response, or a chunk of one.

        The response is complete as of its watch request.  After a restart of the list service, its numbers
        are lower than those received before.
        """
        if self.follower.needs_snapshot or not self.follower.position.event_number:
            self._begin_snapshot()
        if self._is_another_log(response):
            self._request_renumbered_log(now, response)
            return
        self._must_verify_log = False
        self._append_new(now, response.events)
        if response.has_more:
            number = max(self.follower.position.event_number, self._log.last_event_number)
            self.follower.position = LogPosition(number, self._log.last_fingerprint)
            return
        head = ResponseHead(
            response.last_event_number,
            self._log.last_fingerprint,
            self._requested_ns // MS,
            is_snapshot=False,
        )
        self.follower.record_verdict(head, ResponseVerdict.APPLY)
        self._send_next_request(now, has_new_events)

    def _begin_snapshot(self) -> None:
        """Prepares for the complete list, which replaces the stored one."""
        if self._log.last_event_number:
            self._log.start_new_log()
        self.follower.needs_snapshot = False
        self.follower.position = LogPosition(max(1, self._log.last_event_number))

    def _is_another_log(self, response: UpstreamResponse) -> bool:
        """Returns whether the list service's numbers have restarted since its last response."""
        if self._must_verify_log and self._log.last_event_number and not self._repeats_last_event(response):
            return True
        return not response.has_more and response.last_event_number < self._log.last_event_number

    def _repeats_last_event(self, response: UpstreamResponse) -> bool:
        """Returns whether a response has the last received event again, unchanged."""
        return any(
            isinstance(event, dict)
            and event.get("n") == self._log.last_event_number
            and event_fingerprint(canonical_json(event)) == self._log.last_fingerprint
            for event in response.events
        )

    def _request_renumbered_log(self, now: int, response: UpstreamResponse) -> None:
        """Sends a list request for the renumbered log, and ignores the rest of the response."""
        before, after = self._log.last_event_number, response.last_event_number
        self.follower.needs_snapshot = True
        self._must_verify_log = False
        self._effects.log(
            "upstream.renumbered",
            f"event numbers restarted: {after} after {before}; sending a list request",
            {"before": before, "after": after},
            "warning",
        )
        self.send_request(now, on_new_connection=True)

    # Responses of another replica -------------------------------------------------------------------------

    def _on_peer_response(self, now: int, response: UpstreamResponse, has_new_events: bool) -> None:
        """Handles another replica's response, whose state may be earlier than this one's."""
        self._must_verify_log = True  # a list service that is used next must repeat the last event
        if response.has_more or response.as_of_ms is None:
            self.switch_upstream(now, "its response is not a control replica's")
            return
        is_snapshot = any(holds_snapshot(event) for event in response.events)
        head = ResponseHead(response.last_event_number, response.fingerprint, response.as_of_ms, is_snapshot)
        verdict = self.follower.judge(head)
        self.follower.record_verdict(head, verdict)
        self._apply_peer_response(now, response, verdict, is_snapshot)
        if verdict is ResponseVerdict.OUTDATED:
            self.switch_upstream(now, "its state is behind")
        elif verdict is ResponseVerdict.APPLY and self._is_past_lease(now, response.as_of_ms):
            self.switch_upstream(now, "its state is stale")
        else:
            self._send_next_request(now, has_new_events)

    def _is_past_lease(self, now: int, as_of_ms: int) -> bool:
        return now // MS - as_of_ms > self._options.lease_ns // MS

    def _apply_peer_response(
        self, now: int, response: UpstreamResponse, verdict: ResponseVerdict, is_snapshot: bool
    ) -> None:
        """Applies another replica's response to the log as far as the verdict allows."""
        if verdict is ResponseVerdict.APPLY and is_snapshot:
            self._replace_state(now, response)
        elif verdict is ResponseVerdict.APPLY:
            self._append_new(now, response.events)
        elif verdict is ResponseVerdict.APPLY_REMOVALS_ONLY:
            self._apply_purges(now, response.events)

    def _replace_state(self, now: int, response: UpstreamResponse) -> None:
        self._log.start_new_log()
        for event in response.events:
            self._log_unusable(self._log.apply(event, now // MS))
        self._log.set_base(response.last_event_number, response.fingerprint)

    def _apply_purges(self, now: int, events: tuple[Any, ...]) -> None:
        """Applies the purges of an earlier or unconfirmed state.

        They enter the state and so the snapshots, but not the tail.  Watchers that follow the tail receive
        them from a replica with a later state.
        """
        for event in events:
            if "purge" in event:
                self._log_unusable(self._log.apply(event, now // MS))

    # Responses of both kinds of upstream ------------------------------------------------------------------

    def _append_new(self, now: int, events: tuple[Any, ...]) -> None:
        """Appends the events after the last received one; skips those that were received before."""
        for event in events:
            number = event_number(event)
            if number is not None and number <= self._log.last_event_number:
                continue
            self._log_unusable(self._log.append(event, now // MS))

    def _log_unusable(self, reason: str) -> None:
        """Logs why an event was unusable; "" means that it was usable."""
        if reason:
            self._effects.log("upstream.refused", f"event not used: {reason}", {"why": reason}, "warning")

    def _send_next_request(self, now: int, has_new_events: bool) -> None:
        """Sends the next watch request, to the home address where that is due.

        After an early response without new events, the request is delayed by ``batch_ns``: otherwise the
        replica would send watch requests in a tight loop.
        """
        self.selector.record_success(now)
        is_early = now - self._requested_ns < UPSTREAM_WAIT_NS // 2
        self.send_request(now, self._options.batch_ns if is_early and not has_new_events else 0)


def event_number(event: object) -> int | None:
    """Returns the number of an event as it was received; None where it has none."""
    number = event.get("n") if isinstance(event, dict) else None
    return number if type(number) is int else None


def holds_snapshot(event: object) -> bool:
    """Returns whether an event as it was received is a complete list."""
    return isinstance(event, dict) and bool(event.get("members", {}).get("snapshot"))
