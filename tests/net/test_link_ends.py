"""Server connections that end while they are selected for an attempt, written to, or read."""

from __future__ import annotations

import socket
import unittest

from tests.support.loop_turns import MS, SECOND, Peer, Turns, call, done


class Ends(unittest.TestCase):
    def send_order(self, t: Turns, client: Peer, number: int, body: bytes = b"dish") -> None:
        client.send(call(number, cls="order", body=body))

    def idle_cache(self, t: Turns) -> tuple[Peer, Peer]:
        """Returns a client, and a cache whose connection has carried one order and is idle."""
        client = t.client()
        self.send_order(t, client, 1)
        cache = t.taken("cache1")
        t.until(cache.pulls, "the order arrives")
        cache.send(done(cache.pulls()[0]))
        t.until(client.answers, "the response arrives")
        t.turn(200 * MS)
        return client, cache

    def assert_served_on_new_connection(self, t: Turns, client: Peer, count: int, cache: Peer) -> None:
        """Checks that the order is sent on a new connection, is served, and was not sent on the old one."""
        again = t.taken("cache1")
        t.until(again.pulls, "the order arrives on another connection")
        again.send(done(again.pulls()[0], b"taken"))
        t.until(lambda: len(client.answers()) == count, "the response arrives")
        assert client.answers()[-1] == [1, count, None, [b"taken", {}]]
        assert len(cache.pulls()) == 1

    def test_an_end_in_the_turn_in_which_the_connection_is_chosen(self) -> None:
        """An order was written to a connection that its server had closed without the router noticing.

        An order must not run twice; as the router could not exclude that it had run, the request failed.
        """
        for reset in (False, True):
            with self.subTest(reset=reset):
                t = Turns(self)
                client, cache = self.idle_cache(t)
                t.selector.hidden |= {s.sock for s in t.loop.servers.open.values()}
                cache.read()
                cache.close(reset)
                self.send_order(t, client, 2)
                self.assert_served_on_new_connection(t, client, 2, cache)

    def test_an_attempt_not_completely_written_has_not_run(self) -> None:
        """The connection fails after the server has received only the first bytes of a 48 KB order."""
        t = Turns(self)
        t.listeners["cache1"].setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
        client = t.client()
        self.send_order(t, client, 1, b"x" * 47_000)
        t.until(lambda: t.loop.servers.open, "the connect starts")
        for router_end in t.loop.servers.open.values():
            router_end.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4_096)
        first = t.taken("cache1")
        t.until(
            lambda: any(
                s.unsent_attempts and s.write_buffer.sent_bytes for s in t.loop.servers.open.values()
            ),
            "the first bytes are written",
        )
        t.turn(turns=3)
        first.close(reset=True)
        t.listeners["cache1"].setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 18)
        again = t.taken("cache1")
        t.until(lambda: again.read().endswith(b"x\r\n"), "the complete order arrives on another connection")
        again.send(done(again.pulls()[0], b"taken"))
        t.until(client.answers, "the response arrives")
        assert client.answers() == [[1, 1, None, [b"taken", {}]]]

    def test_ids_of_attempts_are_dropped_once_written(self) -> None:
        """A connection whose output was never all sent kept the ids of all its attempts."""
        t = Turns(self)
        client = t.client()
        self.send_order(t, client, 1)
        t.until(lambda: t.loop.servers.open, "the connect starts")
        (router_end,) = t.loop.servers.open.values()
        router_end.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4_096)
        cache = t.taken("cache1")
        t.until(cache.pulls, "the order arrives")
        for n in range(40):
            t.loop.servers.send(router_end.number, [b"x" * 8_000], f"{n:016x}")
            t.turn()
            if n % 2:
                cache.read()
        assert router_end.write_buffer.stored_bytes()
        t.until(lambda: cache.read() and not router_end.write_buffer.stored_bytes(), "all output is written")
        assert len(router_end.unsent_attempts) == 0
        sent = router_end.write_buffer.sent_bytes
        t.loop.servers.send(router_end.number, [b"x" * 2_000_000], "a")
        t.loop.servers.send(router_end.number, [b"x" * 2_000_000], "b")
        t.turn()
        router_end.write_buffer.sent_bytes = (
            sent + 2_000_000
        )  # as if the kernel had accepted only the first one
        t.loop.transport.write(router_end)
        assert [id for _, id in router_end.unsent_attempts] == ["b"]

    def test_an_attempt_completely_written_may_have_run(self) -> None:
        t = Turns(self)
        client = t.client()
        self.send_order(t, client, 1)
        cache = t.taken("cache1")
        t.until(cache.pulls, "the order arrives")
        cache.close(reset=True)
        t.until(client.answers, "the request fails")
        assert client.answers()[0][2][0] == "Fault"
        t.none("cache1")

    def test_no_attempt_is_sent_on_a_connection_with_a_partial_response(self) -> None:
        """An attempt sent after half a response line was lost when the connection then ended."""
        t = Turns(self)
        client, cache = self.idle_cache(t)
        cache.send(b"*4\r\n$16\r\n00000")
        t.until(
            lambda: any(x.has_partial_response for x in t.loop.reducer.state.connections.by_number.values()),
            "the partial response is read",
        )
        self.send_order(t, client, 2)
        self.assert_served_on_new_connection(t, client, 2, cache)
        cache.close()
        t.turn(turns=3)
        assert len(client.answers()) == 2

    def test_a_completed_response_makes_its_connection_usable_again(self) -> None:
        t = Turns(self)
        client, cache = self.idle_cache(t)
        late = done("00000000000000ff")
        cache.send(late[:20])
        t.until(
            lambda: any(x.has_partial_response for x in t.loop.reducer.state.connections.by_number.values()),
            "the partial response is read",
        )
        cache.send(late[20:])
        t.until(
            lambda: (
                not any(x.has_partial_response for x in t.loop.reducer.state.connections.by_number.values())
            ),
            "the complete response is read",
        )
        self.send_order(t, client, 2)
        t.until(lambda: len(cache.pulls()) == 2, "the connection is used again")

    def test_an_answer_and_its_deadline_in_one_turn(self) -> None:
        """A response that has arrived is forwarded; the timeout due in the same iteration has no effect."""
        t = Turns(self)
        client = t.client()
        client.send(call(1, patience=1_000))
        cache = t.taken("cache1")
        t.until(cache.pulls, "the attempt arrives")
        t.turn(990 * MS)
        cache.send(done(cache.pulls()[0]))
        t.now += 20 * MS
        t.turn()
        t.until(client.answers, "the response arrives")
        t.turn(500 * MS)
        assert client.answers() == [[1, 1, None, [b"by", {}]]]

    def test_a_connection_given_up_in_the_turn_in_which_it_stands(self) -> None:
        """A connection is established just after its connect timeout: no attempt is sent on it."""
        t = Turns(self)
        client = t.client()
        client.send(call(1))
        cache = t.taken("cache1")
        t.selector.hidden |= {s.sock for s in t.loop.servers.open.values() if not s.is_connected}
        t.turn(SECOND)
        t.selector.hidden.clear()
        t.turn(turns=5)
        assert len(cache.pulls()) <= 1
        assert len(t.loop.servers.open) == len(t.loop.reducer.state.connections.by_number)

    def test_a_keep_response_must_name_the_copy_of_the_client(self) -> None:
        """A KEEP response was forwarded although it did not name the copy that the client had named."""
        for cached, named in (
            (None, "4be0c1927d55a6f3"),
            ("4be0c1927d55a6f3", "00000000000000aa"),
            ("4be0c1927d55a6f3", None),
            ("4be0c1927d55a6f3", "4be0c1927d55a6f3"),
        ):
            with self.subTest(cached=cached, named=named):
                t = Turns(self)
                client = t.client()
                client.send(call(1, **({"cached": cached} if cached else {})))
                cache = t.taken("cache1")
                t.until(cache.pulls, "the attempt arrives")
                fields = f"sum={named},t0=1764576000123,tell=mem".encode() if named else b"tell=mem"
                cache.send(done(cache.pulls()[0], b"", b"KEEP", fields))
                is_current = cached is not None and cached == named
                t.until(
                    lambda t=t: (
                        not t.loop.reducer.state.attempts or t.loop.reducer.state.counters["copies not named"]
                    ),
                    "the response is handled",
                )
                t.turn(turns=3)
                assert (client.answers() == [[1, 1, None, [b"", {"keep": "1"}]]]) == is_current
