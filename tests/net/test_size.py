"""Messages that arrive in chunks, clients that read slowly, and a feed whose connection fails."""

from __future__ import annotations

import contextlib
import socket
import unittest

import msgpack

from kelpcroft.config import parse_config
from kelpcroft.core import effects, inputs
from kelpcroft.discovery.schedule import MAX_RETRY_DELAY_NS, SECOND_RETRY_DELAY_NS
from kelpcroft.net.buffers import STORED_BUFFER_BYTES
from kelpcroft.net.client_codec import ClientCodec
from kelpcroft.net.client_connections import MAX_UNSENT_BYTES_PER_CLIENT, ClientConnection
from kelpcroft.net.clock import Clock
from kelpcroft.net.event_loop import EventLoop
from kelpcroft.net.server_connections import ServerConnection
from tests.support.exchange_player import EXAMPLE
from tests.support.reducer_fixtures import GOOD_RESPONSE, NOW, TRACE, make_reducer


def pair(case: unittest.TestCase, size: int = 0) -> tuple[socket.socket, socket.socket]:
    router_end, peer_end = socket.socketpair()
    for sock in (router_end, peer_end):
        case.addCleanup(sock.close)
        if size:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, size)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, size)
    router_end.setblocking(False)
    return router_end, peer_end


class Chunks(unittest.TestCase):
    def test_a_request_in_chunks_of_any_size(self) -> None:
        fields = {"trace": TRACE, "patience": "900", "entity": TRACE, "block": "2", "family": "3"}
        data = b"".join(
            msgpack.packb([0, n, "page", [fields | {"trace": f"{n:016x}"}, b"x" * n]]) for n in range(1, 4)
        )
        expected = ClientCodec(1).receive_data(memoryview(data))
        for size in (1, 2, 3, 7, 64):
            codec, decoded = ClientCodec(1), []
            for start in range(0, len(data), size):
                decoded += codec.receive_data(memoryview(data)[start : start + size])
            with self.subTest(size=size):
                assert decoded == expected
                assert not codec.has_partial_message()


class SlowReaders(unittest.TestCase):
    def loop(self) -> EventLoop:
        loop = EventLoop(parse_config(EXAMPLE, {"ROUTER_NAME": "n1"}), Clock(lambda: NOW))
        self.addCleanup(loop.selector.close)
        loop.reducer.start(NOW)
        return loop

    def test_connections_are_read_while_the_pool_is_full(self) -> None:
        """Reading needs no pooled buffer.

        Responses to clients that read nothing had filled the pool; the next server to respond lost its
        connection, and all attempts in flight on it, because no buffer was left to read into.
        """
        loop = self.loop()
        while loop.transport.pool.acquire() is not None:
            pass
        router_end, peer_end = pair(self)
        server = loop.servers.open[1] = ServerConnection(loop.servers, 1, router_end, NOW)
        peer_end.sendall(GOOD_RESPONSE)
        loop.servers.read(server)
        assert 1 in loop.servers.open
        assert server.codec.error == ""

    def test_a_client_read_at_a_megabyte_a_second_holds_a_bounded_backlog(self) -> None:
        """Unsent output of a slow client is stored in pooled buffers, never more than its responses need.

        Above MAX_UNSENT_BYTES_PER_CLIENT the client is not read; as it reads, buffers return to the pool.
        """
        loop = self.loop()
        router_end, peer_end = pair(self, 64 * 1024)
        client = loop.clients.open[1] = ClientConnection(loop.clients, 1, router_end, NOW)
        response_bytes = 8 * 240_000
        for n in range(8):
            loop.clients.send(1, (bytes([n]) * 240_000,))
        loop.flush()
        peak_in_use = loop.transport.pool.in_use
        assert peak_in_use * STORED_BUFFER_BYTES <= response_bytes + STORED_BUFFER_BYTES
        assert client.write_buffer.stored_bytes() > MAX_UNSENT_BYTES_PER_CLIENT
        assert loop.clients.interest_of(client) & 1 == 0, "not read while so much output is unsent"
        received = b""
        tick = 0
        while len(received) < response_bytes:
            tick += 1  # a tick is 1/16 s, in which a client with 1 MB/s reads 64 KB
            with contextlib.suppress(BlockingIOError):
                received += peer_end.recv(64 * 1024, socket.MSG_DONTWAIT)
            loop.transport.write(client)
            assert loop.transport.pool.in_use <= peak_in_use
        assert received == b"".join(bytes([n]) * 240000 for n in range(8))
        assert (loop.transport.pool.in_use, client.write_buffer.stored_bytes()) == (0, 0)
        assert loop.clients.interest_of(client) == 1, "read again"
        assert tick < 4 * response_bytes // (64 * 1024)


class Feed(unittest.TestCase):
    def test_a_failed_watch_is_retried_sooner_than_the_rule_needs(self) -> None:
        r = make_reducer()
        first = r.handle(NOW, inputs.WatchFailed("reset"))
        assert [e for e in first if isinstance(e, effects.SendWatchRequest)] == [
            effects.SendWatchRequest(r.endpoint_list.last_event)
        ]
        delays = []
        for n in range(1, 9):
            (timer,) = [
                e
                for e in r.handle(NOW + n, inputs.WatchFailed("refused"))
                if isinstance(e, effects.ScheduleTimer)
            ]
            delays.append(timer.at_ns - NOW - n)
        assert delays[:4] == [
            SECOND_RETRY_DELAY_NS,
            2 * SECOND_RETRY_DELAY_NS,
            4 * SECOND_RETRY_DELAY_NS,
            8 * SECOND_RETRY_DELAY_NS,
        ]
        assert max(delays) == MAX_RETRY_DELAY_NS
        endpoint_count = len(r.state.endpoints)
        assert endpoint_count > 0, "the endpoint list is kept"
        r.handle(NOW + 10, inputs.WatchResponse(r.endpoint_list.last_event, ()))
        (timer,) = [
            e
            for e in r.handle(NOW + 11, inputs.WatchFailed("x")) + r.handle(NOW + 12, inputs.WatchFailed("x"))
            if isinstance(e, effects.ScheduleTimer)
        ]
        assert timer.at_ns - NOW - 12 == SECOND_RETRY_DELAY_NS, "a response resets the retry delay"


if __name__ == "__main__":
    unittest.main()
