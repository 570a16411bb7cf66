"""Requests that a client cancelled or whose client disconnected: no attempt is sent for them after that."""

from __future__ import annotations

import unittest

import msgpack

from kelpcroft.net.event_loop import LONG_ITERATION_FLUSH_INTERVAL_NS, MAX_DISPATCH_NS
from kelpcroft.net.ready_connections import Arrival
from kelpcroft.net.server_connections import ServerConnection
from kelpcroft.net.transport import Connection as RouterConnection
from tests.support.loop_harness import MS, SECOND, LoopHarness, Peer, client_request, server_response


def cancel(number: int) -> bytes:
    return bytes(msgpack.packb([2, "cancel", [number]]))


class DisconnectedClients(unittest.TestCase):
    def client_with_attempt(self, harness: LoopHarness) -> tuple[Peer, Peer]:
        """Returns a client whose attempt is in flight, and the cache that received the attempt."""
        client = harness.client()
        client.send(client_request(1))
        cache = harness.accept_from_router("cache1")
        harness.run_until(cache.attempt_ids, "the attempt arrives")
        return client, cache

    def assert_no_further_attempt(self, harness: LoopHarness, cache: Peer) -> None:
        """Asserts that no attempt was sent to any server after the first one."""
        harness.iterate(SECOND)
        assert len(cache.attempt_ids()) == 1
        for name in ("cache1", "parent", "origin"):
            harness.assert_no_connect(name)

    def test_no_further_attempt_after_a_close_in_the_same_iteration(self) -> None:
        """An attempt was sent for a disconnected client: servers' sockets were read before clients' sockets,
        so a server's miss led to the next attempt before the client's close was read.
        """
        for data in (b"", cancel(1)):
            with self.subTest(data=data):
                harness = LoopHarness(self)
                client, cache = self.client_with_attempt(harness)
                client.send(data) if data else client.close()
                cache.send(server_response(cache.attempt_ids()[0], b"", b"LACK", b"-"))
                self.assert_no_further_attempt(harness, cache)

    def test_no_further_attempt_after_a_close_in_a_long_iteration(self) -> None:
        """The client closes its connection while responses of other servers are being read."""
        harness = LoopHarness(self, listed=("cache1", "cache2", "parent", "origin"))
        client, other = harness.client(), harness.client()
        for number in range(1, 9):
            (client if number == 1 else other).send(client_request(number, entity=f"{number:016x}"))
        caches = [harness.accept_from_router("cache1"), harness.accept_from_router("cache2")]
        harness.run_until(
            lambda: sum(len(c.attempt_ids()) for c in caches) == 8, "all attempts are in flight"
        )
        (cache_of_client,) = [c for c in caches if f"{1:016x}" in c.attempt_ids()]
        handle_ready, peers_read = harness.loop.handle_ready, []

        def close_client_while_reading(peer: RouterConnection, events: int) -> None:
            if isinstance(peer, ServerConnection) and not peers_read:
                client.close()
                harness.now += LONG_ITERATION_FLUSH_INTERVAL_NS
            peers_read.append(peer)
            handle_ready(peer, events)

        harness.loop.handle_ready = close_client_while_reading  # type: ignore[method-assign]
        (client_cache_connection,) = [
            connection
            for connection in harness.loop.servers.open.values()
            if connection.sock.getpeername() == cache_of_client.sock.getsockname()
        ]
        (other_cache_connection,) = [
            connection
            for connection in harness.loop.servers.open.values()
            if connection is not client_cache_connection
        ]
        for cache in caches:
            for attempt_id in cache.attempt_ids():
                cache.send(
                    server_response(attempt_id, b"", b"LACK", b"-")
                    if attempt_id == f"{1:016x}"
                    else server_response(attempt_id)
                )
        # The client's cache had its turn last, so it is read after the other one.
        client_cache_connection.last_turn = harness.loop.transport.next_turn()
        harness.run_until(lambda: len(other.responses()) == 7, "the other requests have their responses")
        assert peers_read[0] is other_cache_connection
        harness.iterate(SECOND)
        assert sum(len(c.attempt_ids()) for c in caches) == 8
        for name in ("cache1", "cache2", "parent", "origin"):
            harness.assert_no_connect(name)

    def test_a_request_with_its_close_unread_is_not_forwarded(self) -> None:
        """A router short of CPU read a request half a second late, and sent its attempt before it read the
        close that followed the request.
        """
        harness = LoopHarness(self)
        client = harness.client()
        harness.selector.hidden.add(harness.socket_of(client))
        client.send(client_request(1))
        client.close()
        harness.iterate(500 * MS)
        harness.selector.hidden.clear()
        harness.iterate(500 * MS)
        for name in ("cache1", "parent", "origin"):
            harness.assert_no_connect(name)

    def test_an_attempt_that_waits_for_its_connection_is_not_sent(self) -> None:
        """With ``may_cancel`` off, an attempt that waited for its connection was sent when the connection was
        established, although its client had cancelled the request.
        """
        for may_cancel in (False, True):
            with self.subTest(may_cancel=may_cancel):
                harness = LoopHarness(self, settings_limits={"may_cancel": may_cancel})
                client = harness.client()
                set_interest = harness.loop.transport.set_interest

                def hide_from_selector(
                    peer: RouterConnection,
                    events: int,
                    harness: LoopHarness = harness,  # type: ignore[no-untyped-def]
                    set_interest=set_interest,
                ) -> None:
                    if isinstance(peer, ServerConnection):
                        harness.selector.hidden.add(peer.sock)
                    set_interest(peer, events)

                harness.loop.transport.set_interest = hide_from_selector  # type: ignore[method-assign]
                client.send(client_request(1))
                cache = harness.accept_from_router("cache1")
                client.send(cancel(1))
                harness.run_until(
                    lambda harness=harness: not harness.loop.reducer.state.requests, "the request has ended"
                )
                harness.selector.hidden.clear()
                harness.run_until(
                    lambda harness=harness: all(
                        connection.is_connected for connection in harness.loop.servers.open.values()
                    ),
                    "the connection is established",
                )
                harness.iterate(iterations=3)
                assert cache.read() == b""
                assert harness.loop.reducer.state.attempts == {}

    def test_a_request_that_is_read_and_not_admitted_can_be_cancelled(self) -> None:
        harness = LoopHarness(self)
        client, cache = self.client_with_attempt(harness)
        harness.tick_ns = 2 * MAX_DISPATCH_NS  # each clock reading uses up the iteration's time
        client.send(client_request(2))
        harness.run_until(lambda: harness.loop.clients.clients_with_pending, "the request is read")
        client.send(cancel(2))
        harness.run_until(
            lambda: not any(c.pending_messages for c in harness.loop.clients.open.values()), "it is cancelled"
        )
        harness.tick_ns = 0
        harness.iterate(200 * MS)
        assert (len(cache.attempt_ids()), harness.loop.reducer.state.counters["taken"]) == (1, 1)
        client.send(client_request(3))
        harness.run_until(
            lambda: harness.loop.reducer.state.counters["taken"] == 2, "later requests are admitted"
        )

    def test_time_between_reading_and_admission_counts(self) -> None:
        """A request's remaining time counts from when the client sent it, wherever the request waits."""
        harness = LoopHarness(self)
        client, _cache = self.client_with_attempt(harness)
        (connection,) = harness.loop.clients.open.values()
        client.send(client_request(2, remaining_ms=900))
        harness.loop.read_disconnects([(connection, 1)], Arrival(harness.now, harness.now))
        assert len(connection.pending_messages) == 1
        harness.now += 200 * MS
        harness.loop.clients.dispatch_pending(connection)
        (_, second) = harness.loop.reducer.state.requests.values()
        assert second.message.remaining_time_ns == 700 * MS
