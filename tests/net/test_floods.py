"""Peers that send slowly, too much, incompletely or twice: a defined result, and no loss for other peers."""

from __future__ import annotations

import contextlib
import unittest

from kelpcroft.net.client_codec import MAX_REQUESTS_PER_READ
from kelpcroft.net.server_connections import PARTIAL_RESPONSE_TIMEOUT_NS
from tests.support.loop_harness import MS, LoopHarness, Peer, client_request, server_response


class Floods(unittest.TestCase):
    def assert_nothing_left(self, t: LoopHarness) -> None:
        """Checks that no buffer, pending message or open request is left, nor memory charged for one."""
        memory = t.loop.reducer.state.memory
        for use in (memory.unfinished_messages, memory.open_requests, memory.unfinished_responses):
            assert (use.held_bytes, use.held_by_peer) == (0, {})
        assert (
            t.loop.transport.pool.in_use,
            t.loop.clients.clients_with_pending,
            t.loop.reducer.state.requests_by_client,
        ) == (0, {}, {})

    def connected_servers(self, t: LoopHarness) -> list[str]:
        """Returns the servers to which a connection is open."""
        ports = {sock.getsockname()[1]: name for name, sock in t.listeners.items()}
        return [ports[s.sock.getpeername()[1]] for s in t.loop.servers.open.values()]

    def assert_served(self, t: LoopHarness, client: Peer, cache: Peer, number: int) -> None:
        """Checks that another client's request is still served."""
        client.send(client_request(number, trace=f"{0xBEE0 + number:016x}"))
        t.run_until(lambda: f"{0xBEE0 + number:016x}" in cache.attempt_ids(), "the request is forwarded")
        cache.send(server_response(f"{0xBEE0 + number:016x}"))
        t.run_until(lambda: [1, number, None, [b"by", {}]] in client.responses(), "the response arrives")

    def test_one_byte_per_iteration(self) -> None:
        """The client and the server each send one byte per iteration."""
        t = LoopHarness(self)
        client = t.client()
        for byte in client_request(1):
            client.send(bytes([byte]))
            t.iterate(MS)
        cache = t.accept_from_router("cache1")
        t.run_until(cache.attempt_ids, "the attempt arrives")
        for byte in server_response(cache.attempt_ids()[0]):
            cache.send(bytes([byte]))
            t.iterate(MS)
        t.run_until(client.responses, "the response arrives")
        assert client.responses() == [[1, 1, None, [b"by", {}]]]
        self.assert_nothing_left(t)

    def test_many_requests_and_an_immediate_close(self) -> None:
        """A client sends hundreds of requests, the last one incomplete, and closes: none is forwarded."""
        t = LoopHarness(self)
        other, cache = t.served_client()
        flooding = t.client()
        with contextlib.suppress(BlockingIOError):
            flooding.send(
                b"".join(
                    client_request(n, trace=f"{n + 99:016x}") for n in range(1, 10 * MAX_REQUESTS_PER_READ)
                )
            )
        flooding.close()
        t.iterate(iterations=5)
        t.iterate(100 * MS)
        assert len(cache.attempt_ids()) == 1
        self.assert_served(t, other, cache, 2)
        self.assert_nothing_left(t)
        assert len([log for log in t.logged if log.event == "client.lost"]) <= 1

    def test_a_response_that_never_ends(self) -> None:
        """A server announces a quarter of a megabyte and then stops sending.

        The router closes the connection, serves other requests, and retries the request if it may run again.
        """
        t = LoopHarness(self)
        other, cache = t.served_client()
        other.send(client_request(2))
        t.run_until(lambda: len(cache.attempt_ids()) == 2, "the attempt arrives")
        cache.send(server_response(cache.attempt_ids()[1], b"x" * 240_000)[:5_000])
        t.iterate(PARTIAL_RESPONSE_TIMEOUT_NS + 200 * MS)
        (server_name,) = self.connected_servers(t)
        retry_peer = t.accept_from_router(server_name)
        t.run_until(retry_peer.attempt_ids, "the retry arrives")
        retry_peer.send(server_response(retry_peer.attempt_ids()[0]))
        t.run_until(lambda: len(other.responses()) == 2, "the response arrives")
        self.assert_nothing_left(t)

    def test_a_second_response_some_milliseconds_later(self) -> None:
        t = LoopHarness(self)
        client, cache = t.served_client()
        cache.send(server_response(cache.attempt_ids()[0], b"other"))
        t.iterate(5 * MS)
        self.assert_served(t, client, cache, 2)
        assert len(client.responses()) == 2
        self.assert_nothing_left(t)

    def test_a_client_that_resets_within_a_request(self) -> None:
        t = LoopHarness(self)
        other, cache = t.served_client()
        partial_sender = t.client()
        partial_sender.send(client_request(1, trace=f"{7:016x}", body=b"x" * 40_000)[:20_000])
        t.iterate(MS)
        partial_sender.close(reset=True)
        t.iterate(MS, iterations=3)
        self.assert_served(t, other, cache, 2)
        assert len(t.loop.clients.open) == 1
        self.assert_nothing_left(t)
