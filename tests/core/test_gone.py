"""Requests whose client disconnected or cancelled: no first or further attempt is made for them."""

from __future__ import annotations

import unittest

import msgpack

from kelpcroft.net.event_loop import CLIENT_REQUESTS_TURN_NS, LONG_TURN_FLUSH_INTERVAL_NS
from kelpcroft.net.server_connections import ServerConnection
from kelpcroft.net.transport import Connection as Ours
from tests.support.loop_turns import MS, SECOND, Peer, Turns, call, done


def cancel(number: int) -> bytes:
    return bytes(msgpack.packb([2, "cancel", [number]]))


class Gone(unittest.TestCase):
    def asked(self, t: Turns) -> tuple[Peer, Peer]:
        """A client whose attempt is in flight, and the cache that received it."""
        client = t.client()
        client.send(call(1))
        cache = t.taken("cache1")
        t.until(cache.pulls, "the attempt arrives")
        return client, cache

    def nothing_more(self, t: Turns, cache: Peer) -> None:
        """Asserts that no attempt was sent to any server after the first one."""
        t.turn(SECOND)
        assert len(cache.pulls()) == 1
        for name in ("cache1", "parent", "origin"):
            t.none(name)

    def test_no_further_attempt_behind_a_close_in_the_same_turn(self) -> None:
        """An attempt was sent for a disconnected client: servers' sockets were read before clients' sockets,
        so a server's miss led to the next attempt before the client's close was read.
        """
        for last in (b"", cancel(1)):
            with self.subTest(last=last):
                t = Turns(self)
                client, cache = self.asked(t)
                client.send(last) if last else client.close()
                cache.send(done(cache.pulls()[0], b"", b"LACK", b"-"))
                self.nothing_more(t, cache)

    def test_no_further_attempt_behind_a_close_in_a_long_turn(self) -> None:
        """The client closes its connection while responses of other servers are being read."""
        t = Turns(self, only=("cache1", "cache2", "parent", "origin"))
        client, other = t.client(), t.client()
        for n in range(1, 9):
            (client if n == 1 else other).send(call(n, entity=f"{n:016x}"))
        caches = [t.taken("cache1"), t.taken("cache2")]
        t.until(lambda: sum(len(c.pulls()) for c in caches) == 8, "all attempts are in flight")
        (mine,) = [c for c in caches if f"{1:016x}" in c.pulls()]
        serve, read = t.loop.handle_ready, []

        def slow(peer: Ours, events: int) -> None:
            if isinstance(peer, ServerConnection) and not read:
                client.close()
                t.now += LONG_TURN_FLUSH_INTERVAL_NS
            read.append(peer)
            serve(peer, events)

        t.loop.handle_ready = slow  # type: ignore[method-assign]
        (late,) = [s for s in t.loop.servers.open.values() if s.sock.getpeername() == mine.sock.getsockname()]
        (early,) = [s for s in t.loop.servers.open.values() if s is not late]
        for cache in caches:
            for id in cache.pulls():
                cache.send(done(id, b"", b"LACK", b"-") if id == f"{1:016x}" else done(id))
        look = t.selector.select

        def ordered(timeout: float | None = None) -> list:  # type: ignore[type-arg]
            return sorted(look(timeout), key=lambda found: found[0].data is late)

        t.selector.select = ordered  # type: ignore[method-assign]
        t.until(lambda: len(other.answers()) == 7, "the other requests have their responses")
        assert read[0] is early
        t.turn(SECOND)
        assert sum(len(c.pulls()) for c in caches) == 8
        for name in ("cache1", "cache2", "parent", "origin"):
            t.none(name)

    def test_a_request_with_its_close_unread_is_not_sent_on(self) -> None:
        """A router short of CPU read a request half a second late, and sent its attempt before it read the
        close that followed the request.
        """
        t = Turns(self)
        client = t.client()
        t.selector.hidden.add(t.socket_of(client))
        client.send(call(1))
        client.close()
        t.turn(500 * MS)
        t.selector.hidden.clear()
        t.turn(500 * MS)
        for name in ("cache1", "parent", "origin"):
            t.none(name)

    def test_what_waits_for_its_connection_is_not_sent_on(self) -> None:
        """With ``may_cancel`` off, an attempt that waited for its connection was sent when the connection was
        established, although its client had cancelled the request.
        """
        for may in (False, True):
            with self.subTest(may_cancel=may):
                t = Turns(self, allowed={"may_cancel": may})
                client = t.client()
                watch = t.loop.transport.set_interest

                def hide(
                    peer: Ours,
                    events: int,
                    t: Turns = t,  # type: ignore[no-untyped-def]
                    watch=watch,
                ) -> None:
                    if isinstance(peer, ServerConnection):
                        t.selector.hidden.add(peer.sock)
                    watch(peer, events)

                t.loop.transport.set_interest = hide  # type: ignore[method-assign]
                client.send(call(1))
                cache = t.taken("cache1")
                client.send(cancel(1))
                t.until(lambda t=t: not t.loop.reducer.state.requests, "the request has ended")
                t.selector.hidden.clear()
                t.until(
                    lambda t=t: all(s.is_connected for s in t.loop.servers.open.values()),
                    "the connection is established",
                )
                t.turn(turns=3)
                assert cache.read() == b""
                assert t.loop.reducer.state.attempts == {}

    def test_a_request_that_is_read_and_not_taken_can_be_cancelled(self) -> None:
        t = Turns(self)
        client, cache = self.asked(t)
        t.tick_ns = 2 * CLIENT_REQUESTS_TURN_NS  # each clock reading uses up the iteration's time
        client.send(call(2))
        t.until(lambda: t.loop.clients.with_pending, "the request is read")
        client.send(cancel(2))
        t.until(lambda: not any(c.pending_messages for c in t.loop.clients.open.values()), "it is cancelled")
        t.tick_ns = 0
        t.turn(200 * MS)
        assert (len(cache.pulls()), t.loop.reducer.state.counters["taken"]) == (1, 1)
        client.send(call(3))
        t.until(lambda: t.loop.reducer.state.counters["taken"] == 2, "later requests are admitted")

    def test_time_between_reading_and_taking_counts(self) -> None:
        """A request's remaining time counts from when the client sent it, wherever the request waits."""
        t = Turns(self)
        client, _cache = self.asked(t)
        (ours,) = t.loop.clients.open.values()
        client.send(call(2, patience=900))
        t.loop.read_disconnects([(ours, 1)], t.now)
        assert len(ours.pending_messages) == 1
        t.now += 200 * MS
        t.loop.clients.dispatch_pending(ours)
        (_, second) = t.loop.reducer.state.requests.values()
        assert second.message.remaining_time_ns == 700 * MS
