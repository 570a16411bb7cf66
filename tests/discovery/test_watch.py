"""Timeouts of watch requests: a response that never comes, comes slowly, or stops in the middle."""

from __future__ import annotations

import json
import unittest

from hypothesis import given
from hypothesis import strategies as st

from kelpcroft.decision.interface import Rules
from kelpcroft.discovery.schedule import MAX_RETRY_DELAY_NS
from kelpcroft.discovery.watch_timeouts import (
    MAX_SILENCE_NS,
    MAX_TRANSFER_NS,
    MIN_TIMEOUT_NS,
    is_overdue,
    watch_timeouts,
)
from tests.support.loop_harness import MS, SECOND, LoopHarness, Peer


def watch_response(last: int, *events: object) -> bytes:
    body = json.dumps({"n": last, "events": events}).encode()
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)


class Timeouts(unittest.TestCase):
    @given(
        st.integers(0, 60 * SECOND),
        st.integers(0, 5 * SECOND),
        st.integers(0, 5 * SECOND),
        st.integers(MS, 4 * SECOND),
    )
    def test_settings_bound_the_timeouts(
        self, poll_limit_ns: int, drain_grace_ns: int, purge_grace_ns: int, wait_ns: int
    ) -> None:
        """The settings state by when a router must know a published event, which bounds the timeouts.

        Guards against constant timeouts that ignore those settings.
        """
        timeouts = watch_timeouts(
            Rules(
                discovery_poll_limit_ns=poll_limit_ns,
                drain_grace_ns=drain_grace_ns,
                purge_grace_ns=purge_grace_ns,
            ),
            wait_ns,
        )
        assert timeouts.wait_ns <= max(wait_ns, MIN_TIMEOUT_NS)
        assert timeouts.silence_ns <= MAX_SILENCE_NS
        if poll_limit_ns:
            min_grace_ns = min([grace_ns for grace_ns in (drain_grace_ns, purge_grace_ns) if grace_ns] or [0])
            assert timeouts.wait_ns + timeouts.silence_ns <= max(
                2 * MIN_TIMEOUT_NS, poll_limit_ns + min_grace_ns
            )
        else:
            assert (timeouts.wait_ns, timeouts.silence_ns) == (wait_ns, MAX_SILENCE_NS)

    def test_a_response_that_keeps_arriving_is_not_overdue(self) -> None:
        assert not is_overdue(1400, 0, 0, 1000, 400)
        assert is_overdue(1401, 0, 0, 1000, 400)
        assert not is_overdue(1700, 0, 1300, 1000, 400)
        assert is_overdue(1701, 0, 1300, 1000, 400)
        complete_ns = 1_000 + MAX_TRANSFER_NS
        assert is_overdue(complete_ns + 1, 0, complete_ns, 1000, 400)


class WatchRequests(unittest.TestCase):
    def outstanding_watch(self, harness: LoopHarness) -> Peer:
        """Returns the feed connection of the outstanding watch request; earlier ones were abandoned."""
        feed = harness.accept_from_router("feed")
        harness.run_until(feed.read, "the watch request arrives")
        while feed.ended:
            feed = harness.accept_from_router("feed")
            harness.run_until(feed.read, "the watch request arrives")
        return feed

    def drain_event(self, harness: LoopHarness) -> dict[str, object]:
        (event,) = harness.raw["known"]["events"]
        (line,) = [e for e in event["members"]["endpoints"] if e["name"] == "s-c1"]
        return {
            "n": 2,
            "members": {"index": 2, "snapshot": False, "endpoints": [{**line, "status": "leaving"}]},
        }

    def test_a_connection_that_stays_silent(self) -> None:
        """No byte arrives on an open watch, several times in a row.

        Each watch request is repeated in time, and the first response makes a drain known that was published
        in the meantime.
        """
        for poll_limit_ms, timeout_ms in ((0, 1_400), (400, 400)):
            with self.subTest(ask_within_ms=poll_limit_ms):
                contract = {"ask_within_ns": poll_limit_ms * MS, "drain_grace_ns": 500 * MS}
                harness = LoopHarness(self, settings={"contract": contract})
                self.outstanding_watch(harness)
                for _ in range(3):
                    harness.iterate(timeout_ms * MS + MAX_RETRY_DELAY_NS + 100 * MS)
                    feed = self.outstanding_watch(harness)
                feed.send(watch_response(2, self.drain_event(harness)))
                harness.run_until(
                    lambda harness=harness: "s-c1" not in harness.loop.reducer.state.endpoints,
                    "the drain is known",
                )

    def test_silence_in_the_middle_of_a_response(self) -> None:
        harness = LoopHarness(self)
        feed = self.outstanding_watch(harness)
        response = watch_response(2, self.drain_event(harness))
        feed.send(response[:60])
        harness.iterate(300 * MS)
        harness.assert_no_connect("feed")
        harness.iterate(300 * MS)
        next_watch = self.outstanding_watch(harness)
        next_watch.send(response)
        harness.run_until(lambda: "s-c1" not in harness.loop.reducer.state.endpoints, "the drain is known")

    def test_a_slow_response_is_received_completely(self) -> None:
        """A list that takes longer than the silence timeout to arrive must be received completely.

        Guards against a router that abandons and repeats the request each time, and never gets the list.
        """
        harness = LoopHarness(self)
        feed = self.outstanding_watch(harness)
        harness.iterate(SECOND)
        response = watch_response(2, self.drain_event(harness))
        for offset in range(0, len(response), 20):
            feed.send(response[offset : offset + 20])
            harness.iterate(200 * MS)
        assert len(response) // 20 * 200 > 1400
        assert "s-c1" not in harness.loop.reducer.state.endpoints
        harness.assert_no_connect("feed")

    def test_two_responses_to_one_request(self) -> None:
        """A second response to one request arrives while the next request is sent.

        The router keeps watching, and detects a silence after that.
        """
        harness = LoopHarness(self)
        feed = self.outstanding_watch(harness)
        feed.send(watch_response(2) + watch_response(2, self.drain_event(harness)))
        harness.run_until(lambda: "s-c1" not in harness.loop.reducer.state.endpoints, "the drain is known")
        harness.iterate(1_600 * MS)
        self.outstanding_watch(harness)
