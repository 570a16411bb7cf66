"""Little memory: who is not read, who is closed, and what clients that behave still get."""

from __future__ import annotations

import unittest

from kelpcroft.net.buffers import STORED_BUFFER_BYTES
from kelpcroft.net.client_codec import MAX_MESSAGE_BYTES
from kelpcroft.net.client_memory import SMALL_MESSAGE_BYTES, STALLED_MESSAGE_NS, STOPPED_MESSAGE_NS
from kelpcroft.net.fair_turns import FIRST_CLIENT_READ_BYTES
from kelpcroft.net.server_codec import MAX_BODY_BYTES
from tests.support.loop_harness import MS, LoopHarness, Peer, client_request, server_response

LARGE_BODY = bytes(40_000)


class MemoryPressure(unittest.TestCase):
    def harness(self, reservations: int = 1) -> LoopHarness:
        """Returns a router with memory for so many large incomplete messages."""
        t = LoopHarness(self)
        messages = t.loop.reducer.state.memory.unfinished_messages
        messages.limit_bytes = reservations * MAX_MESSAGE_BYTES
        return t

    def stalled_client(self, t: LoopHarness) -> Peer:
        """Returns a client that has sent half of a large request, and holds a reservation."""
        stalled = t.client()
        stalled.send(client_request(1, trace=f"{0xAAAA:016x}", body=LARGE_BODY)[:20_000])
        memory = t.loop.reducer.state.memory.unfinished_messages
        t.run_until(lambda: memory.held_bytes == MAX_MESSAGE_BYTES, "half of the request is read")
        return stalled

    def waiting_client(self, t: LoopHarness) -> tuple[Peer, bytes]:
        """Returns a client that is not read within its large request, and the rest of the request."""
        waiting = t.client()
        request = client_request(2, trace=f"{0xBBBB:016x}", body=LARGE_BODY)
        waiting.send(request[:20_000])
        t.run_until(lambda: t.loop.transport.paused, "it is not read")
        return waiting, request[20_000:]

    def assert_nothing_held(self, t: LoopHarness) -> None:
        memory = t.loop.reducer.state.memory
        for use in (memory.unfinished_messages, memory.open_requests, memory.unfinished_responses):
            assert (use.held_bytes, use.held_by_peer) == (0, {})
        assert t.loop.transport.pool.in_use == 0
        assert t.loop.transport.paused == {}

    def serve(self, t: LoopHarness, client: Peer, cache: Peer, number: int, trace: int) -> None:
        """Lets a cache respond to a request, and checks that the client receives the response."""
        t.run_until(lambda: f"{trace:016x}" in cache.attempt_ids(), "the request is forwarded")
        cache.send(server_response(f"{trace:016x}"))
        t.run_until(lambda: [1, number, None, [b"by", {}]] in client.responses(), "the response arrives")

    def test_without_memory_a_large_message_waits_in_the_kernel_and_others_are_served(self) -> None:
        t = self.harness()
        other, cache = t.served_client()
        stalled = self.stalled_client(t)
        waiting, rest = self.waiting_client(t)
        waiting_client = next(iter(t.loop.transport.paused))
        assert len(waiting_client.codec.partial) <= SMALL_MESSAGE_BYTES  # type: ignore[attr-defined]
        other.send(client_request(3, trace=f"{0xCCCC:016x}"))
        self.serve(t, other, cache, 3, 0xCCCC)
        stalled.close()
        t.iterate(20 * MS)
        waiting.send(rest)
        t.iterate(20 * MS)
        self.serve(t, waiting, cache, 2, 0xBBBB)
        t.iterate(20 * MS)
        self.assert_nothing_held(t)

    def test_a_message_that_is_complete_in_the_kernel_needs_no_reservation(self) -> None:
        """Clients that stopped within a message kept large requests of others waiting for seconds."""
        t = self.harness()
        _, cache = t.served_client()
        self.stalled_client(t)
        waiting, rest = self.waiting_client(t)
        waiting.send(rest)
        t.iterate(20 * MS)
        self.serve(t, waiting, cache, 2, 0xBBBB)

    def test_a_client_without_a_large_message_keeps_no_reservation(self) -> None:
        """A read that found nothing kept it, and the idle client was closed a second later for others."""
        t = self.harness()
        client, cache = t.served_client()
        request = client_request(2)
        client.send(client_request(2, body=bytes(FIRST_CLIENT_READ_BYTES - len(request) - 1)))
        t.run_until(lambda: f"{2:016x}" in cache.attempt_ids(), "the request is forwarded")
        assert t.loop.reducer.state.memory.unfinished_messages.held_bytes == 0

    def test_a_stalled_client_is_closed_only_if_others_wait(self) -> None:
        t = self.harness()
        stalled = self.stalled_client(t)
        t.iterate(STALLED_MESSAGE_NS + 100 * MS)
        stalled.read()
        assert not stalled.ended
        self.waiting_client(t)
        t.iterate(200 * MS)
        stalled.read()
        assert stalled.ended
        assert not stalled.reset
        assert t.loop.reducer.state.memory.turned_away["clients closed within a message"] == 1

    def test_a_client_that_stops_while_it_is_not_read_is_closed(self) -> None:
        """It would keep its place until the memory is free, for hundreds of such clients."""
        t = self.harness()
        _, cache = t.served_client()
        busy = t.client()
        busy.send(client_request(7, trace=f"{0xDDDD:016x}"))
        t.run_until(lambda: f"{0xDDDD:016x}" in cache.attempt_ids(), "the request is forwarded")
        busy.send(client_request(8, body=LARGE_BODY)[:20_000])  # holds the reservation with a request open
        t.iterate(10 * MS)
        waiting, rest = self.waiting_client(t)
        waiting.send(rest[:10])
        t.iterate(STOPPED_MESSAGE_NS)
        waiting.read()
        assert not waiting.ended
        t.iterate(300 * MS)
        waiting.read()
        assert waiting.ended

    def test_a_client_that_is_closed_while_it_is_not_read_gets_no_reservation(self) -> None:
        t = self.harness()
        self.stalled_client(t)
        self.waiting_client(t)
        waiting_client = next(iter(t.loop.transport.paused))
        t.loop.clients.close_gracefully(waiting_client)  # type: ignore[arg-type]
        messages = t.loop.reducer.state.memory.unfinished_messages
        messages.limit_bytes = 2 * MAX_MESSAGE_BYTES
        t.iterate(30 * MS)
        assert t.loop.transport.paused == {}
        assert messages.held_bytes == MAX_MESSAGE_BYTES, "that of the stalled client"

    def test_a_stalled_client_with_an_open_request_is_not_closed_for_others(self) -> None:
        t = self.harness()
        _, cache = t.served_client()
        stalled = t.client()
        stalled.send(client_request(7, trace=f"{0xDDDD:016x}"))
        t.run_until(lambda: f"{0xDDDD:016x}" in cache.attempt_ids(), "the request is forwarded")
        stalled.send(client_request(8, body=LARGE_BODY)[:20_000])
        t.iterate(10 * MS)
        self.waiting_client(t)
        t.iterate(STALLED_MESSAGE_NS + 300 * MS)
        stalled.read()
        assert not stalled.ended
        cache.send(server_response(f"{0xDDDD:016x}"))
        t.run_until(lambda: [1, 7, None, [b"by", {}]] in stalled.responses(), "its response arrives")

    def test_a_client_that_leaves_while_it_is_not_read_is_noticed(self) -> None:
        """Its open requests would be tried again for nobody."""
        t = self.harness()
        _, cache = t.served_client()
        self.stalled_client(t)
        leaving = t.client()
        leaving.send(client_request(7, trace=f"{0xDDDD:016x}"))
        t.run_until(lambda: f"{0xDDDD:016x}" in cache.attempt_ids(), "the request is forwarded")
        leaving.send(client_request(8, body=LARGE_BODY)[:20_000])
        t.run_until(lambda: t.loop.transport.paused, "it is not read")
        leaving.close()
        t.iterate(200 * MS)
        assert not t.loop.transport.paused
        assert not t.loop.reducer.state.requests

    def test_a_slow_client_that_was_not_read_has_its_full_time_again(self) -> None:
        t = self.harness()
        _, cache = t.served_client()
        stalled = self.stalled_client(t)
        waiting, rest = self.waiting_client(t)
        for _ in range(18):  # the stalled client trickles on
            stalled.send(b"x")
            t.iterate(100 * MS)
        stalled.close()
        t.iterate(400 * MS)
        waiting.read()
        assert not waiting.ended
        waiting.send(rest)
        t.run_until(lambda: f"{0xBBBB:016x}" in cache.attempt_ids() or waiting.responses(), "it is handled")

    def test_a_server_is_not_read_without_memory_for_a_response(self) -> None:
        t = LoopHarness(self)
        client, cache = t.served_client()
        responses = t.loop.reducer.state.memory.unfinished_responses
        responses.charge("another server", responses.limit_bytes - MAX_BODY_BYTES)
        client.send(client_request(2))
        t.run_until(lambda: f"{2:016x}" in cache.attempt_ids(), "the request is forwarded")
        cache.send(server_response(f"{2:016x}", bytes(200_000)))
        t.iterate(10 * MS, 5)
        assert t.loop.transport.paused
        assert len(client.responses()) == 1
        responses.release("another server", responses.limit_bytes - MAX_BODY_BYTES)
        t.iterate(10 * MS)
        t.run_until(lambda: len(client.responses()) == 2, "the response arrives")
        client.close()
        t.iterate(10 * MS)
        self.assert_nothing_held(t)

    def test_the_body_of_an_incomplete_response_is_charged_until_its_connection_ends(self) -> None:
        t = LoopHarness(self)
        client, cache = t.served_client()
        client.send(client_request(2))
        t.run_until(lambda: f"{2:016x}" in cache.attempt_ids(), "the request is forwarded")
        cache.send(server_response(f"{2:016x}", bytes(200_000))[:100])
        responses = t.loop.reducer.state.memory.unfinished_responses
        t.run_until(lambda: responses.held_bytes >= 200_000, "the head is read")
        cache.close()
        t.run_until(lambda: not responses.held_bytes, "the connection ends")

    def test_output_for_a_client_that_does_not_read_gives_way_to_that_of_one_that_reads(self) -> None:
        """Clients that read nothing filled the pool, and the next response to any client was lost."""
        t = LoopHarness(self)
        pool = t.loop.transport.pool
        pool.capacity = 4 * 1024 * 1024 // STORED_BUFFER_BYTES
        silent, reading = t.client(), t.client()
        silent_number, reading_number = list(t.loop.clients.open)
        part = bytes(64 * 1024)
        while pool.free_bytes() > 1024 * 1024:
            t.loop.clients.send(silent_number, (part,))
            t.loop.flush()
        t.iterate(300 * MS)
        reading_client = t.loop.clients.open[reading_number]
        sent = 0
        while silent_number in t.loop.clients.open:
            t.loop.clients.send(reading_number, (part,))
            t.loop.flush()
            sent += len(part)
        assert reading_number in t.loop.clients.open
        t.run_until(lambda: len(reading.read()) == sent, "all of it arrives")
        assert not reading_client.write_buffer.stored_bytes()
        silent.read()
        assert t.loop.reducer.state.memory.turned_away["clients closed that do not read"] == 1

    def response_to_lagging_client(self, pool_bytes: int) -> bytes:
        """Returns the end of what a client receives that asks for more before it has read all responses."""
        t = LoopHarness(self)
        client, cache = t.served_client()
        (number,) = t.loop.clients.open
        t.loop.transport.pool.capacity = pool_bytes // STORED_BUFFER_BYTES
        filler = bytes(64 * 1024)
        expected_bytes = len(client.received)
        while not t.loop.clients.open[number].write_buffer.stored_bytes():
            t.loop.clients.send(number, (filler,))
            t.loop.flush()
            expected_bytes += len(filler)
        client.send(client_request(2))
        t.run_until(lambda: f"{2:016x}" in cache.attempt_ids(), "the request is forwarded")
        cache.send(server_response(f"{2:016x}", b"y" * 240_000))
        t.run_until(lambda: not t.loop.reducer.state.requests, "the server responds")
        t.run_until(lambda: len(client.read()) > expected_bytes, "the response arrives")
        t.run_until(lambda: not t.loop.clients.open[number].write_buffer.stored_bytes(), "all is sent")
        return client.read()[-8:]

    def test_a_response_that_a_client_does_not_read_is_replaced_by_a_failure(self) -> None:
        assert self.response_to_lagging_client(256 * 1024) == b"\xa5Fault\x80\xc0"

    def test_with_enough_memory_a_client_that_reads_slowly_gets_its_response(self) -> None:
        assert self.response_to_lagging_client(4 * 1024 * 1024) == b"y" * 7 + b"\x80"
