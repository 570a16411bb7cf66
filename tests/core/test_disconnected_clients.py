"""Requests that a client cancelled or whose client disconnected: no attempt is sent for them after that."""

from __future__ import annotations

import unittest

import msgpack

from kelpcroft.net.event_loop import LONG_ITERATION_FLUSH_INTERVAL_NS, MAX_DISPATCH_NS
from kelpcroft.net.server_connections import ServerConnection
from kelpcroft.net.transport import Connection as RouterConnection
from tests.support.loop_harness import MS, SECOND, LoopHarness, Peer, client_request, server_response


def cancel(number: int) -> bytes:
    return bytes(msgpack.packb([2, "cancel", [number]]))


class DisconnectedClients(unittest.TestCase):
    def client_with_attempt(self, t: LoopHarness) -> tuple[Peer, Peer]:
        """Returns a client whose attempt is in flight, and the cache that received the attempt."""
        client = t.client()
        client.send(client_request(1))
        cache = t.accept_from_router("cache1")
        t.run_until(cache.attempt_ids, "the attempt arrives")
        return client, cache

    def assert_no_further_attempt(self, t: LoopHarness, cache: Peer) -> None:
        """Asserts that no attempt was sent to any server after the first one."""
        t.iterate(SECOND)
        assert len(cache.attempt_ids()) == 1
        for name in ("cache1", "parent", "origin"):
            t.assert_no_connect(name)

    def test_no_further_attempt_after_a_close_in_the_same_iteration(self) -> None:
        """An attempt was sent for a disconnected client: servers' sockets were read before clients' sockets,
        so a server's miss led to the next attempt before the client's close was read.
        """
        for data in (b"", cancel(1)):
            with self.subTest(data=data):
                t = LoopHarness(self)
                client, cache = self.client_with_attempt(t)
                client.send(data) if data else client.close()
                cache.send(server_response(cache.attempt_ids()[0], b"", b"LACK", b"-"))
                self.assert_no_further_attempt(t, cache)

    def test_no_further_attempt_after_a_close_in_a_long_iteration(self) -> None:
        """The client closes its connection while responses of other servers are being read."""
        t = LoopHarness(self, listed=("cache1", "cache2", "parent", "origin"))
        client, other = t.client(), t.client()
        for number in range(1, 9):
            (client if number == 1 else other).send(client_request(number, entity=f"{number:016x}"))
        caches = [t.accept_from_router("cache1"), t.accept_from_router("cache2")]
        t.run_until(lambda: sum(len(c.attempt_ids()) for c in caches) == 8, "all attempts are in flight")
        (cache_of_client,) = [c for c in caches if f"{1:016x}" in c.attempt_ids()]
        handle_ready, peers_read = t.loop.handle_ready, []

        def close_client_while_reading(peer: RouterConnection, events: int) -> None:
            if isinstance(peer, ServerConnection) and not peers_read:
                client.close()
                t.now += LONG_ITERATION_FLUSH_INTERVAL_NS
            peers_read.append(peer)
            handle_ready(peer, events)

        t.loop.handle_ready = close_client_while_reading  # type: ignore[method-assign]
        (client_server,) = [
            s
            for s in t.loop.servers.open.values()
            if s.sock.getpeername() == cache_of_client.sock.getsockname()
        ]
        (other_server,) = [s for s in t.loop.servers.open.values() if s is not client_server]
        for cache in caches:
            for id in cache.attempt_ids():
                cache.send(
                    server_response(id, b"", b"LACK", b"-") if id == f"{1:016x}" else server_response(id)
                )
        select = t.selector.select

        def client_server_last(timeout: float | None = None) -> list:  # type: ignore[type-arg]
            return sorted(select(timeout), key=lambda ready: ready[0].data is client_server)

        t.selector.select = client_server_last  # type: ignore[method-assign]
        t.run_until(lambda: len(other.responses()) == 7, "the other requests have their responses")
        assert peers_read[0] is other_server
        t.iterate(SECOND)
        assert sum(len(c.attempt_ids()) for c in caches) == 8
        for name in ("cache1", "cache2", "parent", "origin"):
            t.assert_no_connect(name)

    def test_a_request_with_its_close_unread_is_not_forwarded(self) -> None:
        """A router short of CPU read a request half a second late, and sent its attempt before it read the
        close that followed the request.
        """
        t = LoopHarness(self)
        client = t.client()
        t.selector.hidden.add(t.socket_of(client))
        client.send(client_request(1))
        client.close()
        t.iterate(500 * MS)
        t.selector.hidden.clear()
        t.iterate(500 * MS)
        for name in ("cache1", "parent", "origin"):
            t.assert_no_connect(name)

    def test_an_attempt_that_waits_for_its_connection_is_not_sent(self) -> None:
        """With ``may_cancel`` off, an attempt that waited for its connection was sent when the connection was
        established, although its client had cancelled the request.
        """
        for may_cancel in (False, True):
            with self.subTest(may_cancel=may_cancel):
                t = LoopHarness(self, settings_limits={"may_cancel": may_cancel})
                client = t.client()
                set_interest = t.loop.transport.set_interest

                def hide(
                    peer: RouterConnection,
                    events: int,
                    t: LoopHarness = t,  # type: ignore[no-untyped-def]
                    set_interest=set_interest,
                ) -> None:
                    if isinstance(peer, ServerConnection):
                        t.selector.hidden.add(peer.sock)
                    set_interest(peer, events)

                t.loop.transport.set_interest = hide  # type: ignore[method-assign]
                client.send(client_request(1))
                cache = t.accept_from_router("cache1")
                client.send(cancel(1))
                t.run_until(lambda t=t: not t.loop.reducer.state.requests, "the request has ended")
                t.selector.hidden.clear()
                t.run_until(
                    lambda t=t: all(s.is_connected for s in t.loop.servers.open.values()),
                    "the connection is established",
                )
                t.iterate(iterations=3)
                assert cache.read() == b""
                assert t.loop.reducer.state.attempts == {}

    def test_a_request_that_is_read_and_not_admitted_can_be_cancelled(self) -> None:
        t = LoopHarness(self)
        client, cache = self.client_with_attempt(t)
        t.tick_ns = 2 * MAX_DISPATCH_NS  # each clock reading uses up the iteration's time
        client.send(client_request(2))
        t.run_until(lambda: t.loop.clients.clients_with_pending, "the request is read")
        client.send(cancel(2))
        t.run_until(
            lambda: not any(c.pending_messages for c in t.loop.clients.open.values()), "it is cancelled"
        )
        t.tick_ns = 0
        t.iterate(200 * MS)
        assert (len(cache.attempt_ids()), t.loop.reducer.state.counters["taken"]) == (1, 1)
        client.send(client_request(3))
        t.run_until(lambda: t.loop.reducer.state.counters["taken"] == 2, "later requests are admitted")

    def test_time_between_reading_and_admission_counts(self) -> None:
        """A request's remaining time counts from when the client sent it, wherever the request waits."""
        t = LoopHarness(self)
        client, _cache = self.client_with_attempt(t)
        (connection,) = t.loop.clients.open.values()
        client.send(client_request(2, remaining_ms=900))
        t.loop.read_disconnects([(connection, 1)], t.now)
        assert len(connection.pending_messages) == 1
        t.now += 200 * MS
        t.loop.clients.dispatch_pending(connection)
        (_, second) = t.loop.reducer.state.requests.values()
        assert second.message.remaining_time_ns == 700 * MS
