"""What a control replica follows: the list service, or another replica.  Pure.

One call is out at a time, so what upstream hears does not grow with the watchers.  A list service knows no
fingerprints, and counts from 1 when it is restarted: after a lost connection the last event that is known is
asked for again and compared with what it was.  Another replica may be of an earlier state than this one:
``follower`` judges what its answer is good for.
"""

from __future__ import annotations

from typing import Any

from kelpcroft.control_log.follower import LogFollower, LogPosition, ResponseHead, ResponseVerdict
from kelpcroft.control_log.log import ControlLog, canonical_json, event_fingerprint
from kelpcroft.control_log.messages import (
    MS,
    SECOND,
    CallUpstream,
    EffectList,
    ReplicaCounters,
    ReplicaOptions,
    UpstreamResponse,
)
from kelpcroft.control_log.upstream_selection import UpstreamSelector

UPSTREAM_WAIT_NS = SECOND  # a call waits so long for news: the state is known to be complete as often


class UpstreamSession:
    """The calls of one replica upstream, and what their answers do to its log."""

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
        self._called_ns = 0  # when the call that is out is made
        self._must_verify_log = False  # the connection was lost: is it the same log still?

    def call(self, now: int, delay_ns: int = 0, on_new_connection: bool = False) -> None:
        """Call the current address, in a while."""
        self._called_ns = now + delay_ns
        self._counters.upstream_calls += 1
        address = self.selector.current_address
        position = self.follower.requested_position()
        if self._must_verify_log and position.event_number and address not in self._options.peers:
            position = LogPosition(self._log.last_event_number - 1)  # the last event is told once more
        self._effects.add(CallUpstream(address, position, UPSTREAM_WAIT_NS, delay_ns, on_new_connection))

    def move_on(self, now: int, reason: str) -> None:
        """Leave the current upstream for the next one.  What is known stays."""
        host, port = self.selector.current_address
        if not self.selector.consecutive_failures:
            text = f"upstream {host}:{port}: {reason}"
            self._effects.log("upstream.lost", text, {"why": reason}, "warning")
        self._counters.moves += 1
        self._must_verify_log = True
        self.call(now, self.selector.record_failure(now))

    def on_response(self, now: int, response: UpstreamResponse) -> None:
        """An answer from the current address, in whole or in pieces."""
        has_news = self._has_new_events(response)
        if self.selector.current_address in self._options.peers:
            self._on_peer_response(now, response, has_news)
        else:
            self._on_list_service_response(now, response, has_news)

    def _has_new_events(self, response: UpstreamResponse) -> bool:
        """Whether an answer holds an event past those that are known, or begins another state."""
        if self.follower.needs_snapshot:
            return True
        numbers = [number for number in map(event_number, response.events) if number is not None]
        return max([response.last_event_number, *numbers]) > self._log.last_event_number

    # Answers of a list service ----------------------------------------------------------------------------

    def _on_list_service_response(self, now: int, response: UpstreamResponse, has_news: bool) -> None:
        """The answer is complete as of the call; its numbers go back when the service was restarted."""
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
            response.last_event_number, self._log.last_fingerprint, self._called_ns // MS, is_snapshot=False
        )
        self.follower.record_verdict(head, ResponseVerdict.APPLY)
        self._call_again(now, has_news)

    def _begin_snapshot(self) -> None:
        """The whole list comes, which replaces what is known."""
        if self._log.last_event_number:
            self._log.start_new_log()
        self.follower.needs_snapshot = False
        self.follower.position = LogPosition(max(1, self._log.last_event_number))

    def _is_another_log(self, response: UpstreamResponse) -> bool:
        """Whether the list service has begun to count anew since it was last heard."""
        if self._must_verify_log and self._log.last_event_number and not self._repeats_last_event(response):
            return True
        return not response.has_more and response.last_event_number < self._log.last_event_number

    def _repeats_last_event(self, response: UpstreamResponse) -> bool:
        """Whether the last event that is known is told again as it was."""
        return any(
            isinstance(event, dict)
            and event.get("n") == self._log.last_event_number
            and event_fingerprint(canonical_json(event)) == self._log.last_fingerprint
            for event in response.events
        )

    def _request_renumbered_log(self, now: int, response: UpstreamResponse) -> None:
        """Ask for the whole list of a log that counts anew; what still comes of this answer is left."""
        before, after = self._log.last_event_number, response.last_event_number
        self.follower.needs_snapshot = True
        self._must_verify_log = False
        self._effects.log(
            "upstream.renumbered",
            f"it counts anew: {after} after {before}: the whole list is asked for",
            {"before": before, "after": after},
            "warning",
        )
        self.call(now, on_new_connection=True)

    # Answers of another replica ---------------------------------------------------------------------------

    def _on_peer_response(self, now: int, response: UpstreamResponse, has_news: bool) -> None:
        """Another replica's answer may be of an earlier state than this one's."""
        self._must_verify_log = True  # a list service that is asked next must repeat the last event
        if response.has_more or response.as_of_ms is None:
            self.move_on(now, "it does not answer as a control replica")
            return
        is_snapshot = any(holds_snapshot(event) for event in response.events)
        head = ResponseHead(response.last_event_number, response.fingerprint, response.as_of_ms, is_snapshot)
        verdict = self.follower.judge(head)
        self.follower.record_verdict(head, verdict)
        self._apply_peer_response(now, response, verdict, is_snapshot)
        if verdict is ResponseVerdict.OUTDATED:
            self.move_on(now, "it is behind")
        elif verdict is ResponseVerdict.APPLY and self._is_past_lease(now, response.as_of_ms):
            self.move_on(now, "it is stale")
        else:
            self._call_again(now, has_news)

    def _is_past_lease(self, now: int, as_of_ms: int) -> bool:
        return now // MS - as_of_ms > self._options.lease_ns // MS

    def _apply_peer_response(
        self, now: int, response: UpstreamResponse, verdict: ResponseVerdict, is_snapshot: bool
    ) -> None:
        """Do to the log what the verdict allows."""
        if verdict is ResponseVerdict.APPLY and is_snapshot:
            self._replace_state(now, response)
        elif verdict is ResponseVerdict.APPLY:
            self._append_new(now, response.events)
        elif verdict is ResponseVerdict.APPLY_REMOVALS_ONLY:
            self._apply_purges(now, response.events)

    def _replace_state(self, now: int, response: UpstreamResponse) -> None:
        self._log.start_new_log()
        for event in response.events:
            self._note_unusable(self._log.apply(event, now // MS))
        self._log.set_base(response.last_event_number, response.fingerprint)

    def _apply_purges(self, now: int, events: tuple[Any, ...]) -> None:
        """Of an earlier or unconfirmed state: its purges.

        They stand in the state and in snapshots; those who follow by the tail hear of them from whoever is
        later.
        """
        for event in events:
            if "purge" in event:
                self._note_unusable(self._log.apply(event, now // MS))

    # Answers of either ------------------------------------------------------------------------------------

    def _append_new(self, now: int, events: tuple[Any, ...]) -> None:
        """Events behind those that are known; one that is known already is not appended again."""
        for event in events:
            number = event_number(event)
            if number is not None and number <= self._log.last_event_number:
                continue
            self._note_unusable(self._log.append(event, now // MS))

    def _note_unusable(self, reason: str) -> None:
        """Name an event in the log that could not be used; "" names none."""
        if reason:
            self._effects.log("upstream.refused", f"not used: {reason}", {"why": reason}, "warning")

    def _call_again(self, now: int, has_news: bool) -> None:
        """Go on with the next call, at home if it is time.

        An answer that came at once and brought nothing would else be asked for in a loop.
        """
        self.selector.record_success(now)
        answered_early = now - self._called_ns < UPSTREAM_WAIT_NS // 2
        self.call(now, self._options.batch_ns if answered_early and not has_news else 0)


def event_number(event: object) -> int | None:
    """The number of an event as it came; None where it has none."""
    number = event.get("n") if isinstance(event, dict) else None
    return number if type(number) is int else None


def holds_snapshot(event: object) -> bool:
    """Whether an event as it came is a whole list."""
    return isinstance(event, dict) and bool(event.get("members", {}).get("snapshot"))
