"""Closes while a client has yet to read its responses: later requests are answered, or the log has them.

The kernel has taken all bytes of a response long before a slow client reads it, and the client sees a close
only after that.  Until then it sends requests on the connection.
"""

from __future__ import annotations

import contextlib
import signal
import unittest
from typing import Any

from kelpcroft.core import effects
from kelpcroft.net.client_connections import (
    IDLE_CLIENT_TIMEOUT_NS,
    MAX_DRAIN_WAIT_NS,
    ClientConnection,
)
from kelpcroft.net.event_loop import MAX_RESPONSE_DELAY_NS
from kelpcroft.net.read_estimate import (
    MAX_UNREAD_NS,
    MIN_READ_BYTES_PER_S,
    ReadEstimate,
    unacknowledged_bytes,
)
from tests.support.loop_harness import MS, SECOND, LoopHarness, Peer, client_request, server_response

BODY = b"x" * 240_000  # the protocol's largest object
UNREAD_NS = len(BODY) * SECOND // MIN_READ_BYTES_PER_S  # time in which a slow client reads it


class UnreadResponses(unittest.TestCase):
    def setUp(self) -> None:
        self.harness = LoopHarness(self)
        self.client, self.cache = self.harness.served_client()

    @property
    def connection(self) -> ClientConnection:
        (connection,) = self.harness.loop.clients.open.values()
        return connection

    def answer(self, attempt: int, body: bytes) -> None:
        """Sends the cache's response to an attempt, as fast as the router reads it."""
        self.harness.run_until(lambda: len(self.cache.attempt_ids()) > attempt, "the attempt arrives")
        unsent = [server_response(self.cache.attempt_ids()[attempt], body)]

        def push() -> bool:
            with contextlib.suppress(BlockingIOError):
                unsent[0] = unsent[0][self.cache.sock.send(unsent[0]) :]
            return not unsent[0]

        self.harness.run_until(push, "the response is sent")
        self.harness.run_until(lambda: not self.harness.loop.reducer.state.requests, "it is handled")

    def send_unread_response(self) -> None:
        """Sends a large response that the client does not read."""
        self.client.send(client_request(2))
        self.answer(1, BODY)
        self.harness.run_until(lambda: not self.connection.write_buffer.stored_bytes(), "the kernel has it")

    def losses(self) -> list[effects.LogEvent]:
        return [log for log in self.harness.logged if log.event == "client.lost"]

    def response_numbers(self) -> list[Any]:
        return [response[1] for response in self.client.responses()]

    def test_a_drain_waits_for_a_client_that_still_reads(self) -> None:
        """The connection was closed under its answers, and the requests that followed were dropped."""
        self.send_unread_response()
        self.harness.loop.clients.drain(effects.DrainClients(True))
        self.harness.iterate(UNREAD_NS // 2)
        self.client.send(client_request(3))
        self.answer(2, b"by")
        self.harness.run_until(lambda: self.response_numbers() == [1, 2, 3], "all responses arrive")
        self.harness.iterate(UNREAD_NS)
        assert self.harness.loop.clients.open == {}

    def test_a_drain_does_not_wait_for_a_client_without_unread_responses(self) -> None:
        self.harness.loop.clients.drain(effects.DrainClients(True))
        assert self.harness.loop.clients.open == {}

    def test_a_drain_ends_its_wait_and_logs_what_may_be_unread(self) -> None:
        """4 s after the call no idle connection may be held."""
        self.connection.read_estimate.record_sent(self.harness.now, 100_000_000)
        self.harness.loop.clients.drain(effects.DrainClients(True))
        self.harness.iterate(MAX_DRAIN_WAIT_NS - 200 * MS)
        assert self.losses() == []
        self.harness.iterate(400 * MS)
        assert self.harness.loop.clients.open == {}
        (loss,) = self.losses()
        assert "unread" in loss.text

    def test_requests_that_arrive_after_a_close_are_logged(self) -> None:
        """They were discarded without a trace."""
        self.harness.loop.clients.drain(effects.DrainClients(True))
        self.client.send(client_request(2))
        self.harness.iterate(iterations=3)
        self.client.close()
        self.harness.run_until(lambda: not self.harness.loop.clients.lingering.clients, "it is closed")
        (loss,) = self.losses()
        assert f"{len(client_request(2))} bytes arrived after the close" in loss.text

    def test_the_idle_limit_waits_for_a_client_that_still_reads(self) -> None:
        """A client that reads for longer than the idle limit was closed as idle."""
        self.connection.read_estimate.record_sent(self.harness.now, 6 * MIN_READ_BYTES_PER_S)
        self.harness.iterate(IDLE_CLIENT_TIMEOUT_NS + 300 * MS)
        assert len(self.harness.loop.clients.open) == 1
        self.harness.iterate(SECOND)
        assert self.harness.loop.clients.open == {}

    def test_a_client_that_still_reads_is_not_evicted(self) -> None:
        self.send_unread_response()
        self.harness.iterate(UNREAD_NS // 2)
        assert not self.harness.loop.acceptor.evict_idle_client()
        self.client.read()
        self.harness.iterate(UNREAD_NS)
        assert self.harness.loop.acceptor.evict_idle_client()

    def test_sigterm_waits_for_a_client_that_still_reads(self) -> None:
        """The process exited with responses stored that the client had not accepted yet."""
        for attempt in range(1, 21):  # more than the kernel's buffers hold
            self.client.send(client_request(attempt + 1))
            self.answer(attempt, BODY)
        assert self.connection.write_buffer.stored_bytes()
        self.harness.loop.signals.handle(bytes([signal.SIGTERM]))
        self.harness.iterate(SECOND)
        assert not self.harness.loop.is_stopping
        self.harness.run_until(lambda: len(self.response_numbers()) == 21, "all responses arrive")
        self.harness.iterate(MAX_RESPONSE_DELAY_NS)
        assert self.harness.loop.is_stopping
        assert self.losses() == []

    def test_the_exit_does_not_wait_forever_and_logs_what_is_unwritten(self) -> None:
        for attempt in range(1, 21):
            self.client.send(client_request(attempt + 1))
            self.answer(attempt, BODY)
        self.harness.loop.signals.handle(bytes([signal.SIGTERM]))
        self.harness.iterate(SECOND + MAX_RESPONSE_DELAY_NS)
        assert self.harness.loop.is_stopping
        self.harness.tick_ns = MS
        self.harness.loop.flush_and_close()
        (loss,) = self.losses()
        assert "not written in time" in loss.text


class Estimate(unittest.TestCase):
    def test_unread_bytes_fall_at_the_rate_of_a_slow_client(self) -> None:
        estimate = ReadEstimate()
        estimate.record_sent(0, 2 * MIN_READ_BYTES_PER_S)
        assert [estimate.unread_bytes(n * SECOND) for n in range(4)] == [
            2 * MIN_READ_BYTES_PER_S,
            MIN_READ_BYTES_PER_S,
            0,
            0,
        ]

    def test_the_estimate_is_bounded(self) -> None:
        estimate = ReadEstimate()
        estimate.record_sent(0, 1 << 40)
        assert estimate.read_by_ns == MAX_UNREAD_NS

    def test_bytes_that_the_peer_has_not_accepted_are_counted(self) -> None:
        harness = LoopHarness(self)
        peer: Peer = harness.client()
        sock = harness.socket_of(peer)
        assert unacknowledged_bytes(sock) == 0
        with contextlib.suppress(BlockingIOError):
            while True:
                sock.send(BODY)
        assert unacknowledged_bytes(sock) > len(BODY)


if __name__ == "__main__":
    unittest.main()
