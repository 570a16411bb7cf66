"""Server connections that end while they are selected for an attempt, written to, or read."""

from __future__ import annotations

import socket
import unittest

from tests.support.loop_harness import MS, SECOND, LoopHarness, Peer, client_request, server_response


class ConnectionEnds(unittest.TestCase):
    def send_order(self, t: LoopHarness, client: Peer, number: int, body: bytes = b"dish") -> None:
        client.send(client_request(number, class_name="order", body=body))

    def idle_cache(self, t: LoopHarness) -> tuple[Peer, Peer]:
        """Returns a client, and a cache whose connection has carried one order and is idle."""
        client = t.client()
        self.send_order(t, client, 1)
        cache = t.accept_from_router("cache1")
        t.run_until(cache.attempt_ids, "the order arrives")
        cache.send(server_response(cache.attempt_ids()[0]))
        t.run_until(client.responses, "the response arrives")
        t.iterate(200 * MS)
        return client, cache

    def assert_served_on_new_connection(self, t: LoopHarness, client: Peer, count: int, cache: Peer) -> None:
        """Checks that the order is sent on a new connection, is served, and was not sent on the old one."""
        again = t.accept_from_router("cache1")
        t.run_until(again.attempt_ids, "the order arrives on another connection")
        again.send(server_response(again.attempt_ids()[0], b"taken"))
        t.run_until(lambda: len(client.responses()) == count, "the response arrives")
        assert client.responses()[-1] == [1, count, None, [b"taken", {}]]
        assert len(cache.attempt_ids()) == 1

    def test_an_end_in_the_iteration_that_selects_the_connection(self) -> None:
        """An order was written to a connection that its server had closed without the router noticing.

        An order must not run twice; as the router could not exclude that it had run, the request failed.
        """
        for reset in (False, True):
            with self.subTest(reset=reset):
                t = LoopHarness(self)
                client, cache = self.idle_cache(t)
                t.selector.hidden |= {s.sock for s in t.loop.servers.open.values()}
                cache.read()
                cache.close(reset)
                self.send_order(t, client, 2)
                self.assert_served_on_new_connection(t, client, 2, cache)

    def test_an_attempt_not_completely_written_has_not_run(self) -> None:
        """The connection fails after the server has received only the first bytes of a 48 KB order."""
        t = LoopHarness(self)
        t.listeners["cache1"].setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
        client = t.client()
        self.send_order(t, client, 1, b"x" * 47_000)
        t.run_until(lambda: t.loop.servers.open, "the connect starts")
        for router_end in t.loop.servers.open.values():
            router_end.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4_096)
        first = t.accept_from_router("cache1")
        t.run_until(
            lambda: any(
                s.unsent_attempts and s.write_buffer.sent_bytes for s in t.loop.servers.open.values()
            ),
            "the first bytes are written",
        )
        t.iterate(iterations=3)
        first.close(reset=True)
        t.listeners["cache1"].setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 18)
        again = t.accept_from_router("cache1")
        t.run_until(
            lambda: again.read().endswith(b"x\r\n"), "the complete order arrives on another connection"
        )
        again.send(server_response(again.attempt_ids()[0], b"taken"))
        t.run_until(client.responses, "the response arrives")
        assert client.responses() == [[1, 1, None, [b"taken", {}]]]

    def test_ids_of_attempts_are_dropped_once_written(self) -> None:
        """A connection whose output was never all sent kept the ids of all its attempts."""
        t = LoopHarness(self)
        client = t.client()
        self.send_order(t, client, 1)
        t.run_until(lambda: t.loop.servers.open, "the connect starts")
        (router_end,) = t.loop.servers.open.values()
        router_end.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4_096)
        cache = t.accept_from_router("cache1")
        t.run_until(cache.attempt_ids, "the order arrives")
        for n in range(40):
            t.loop.servers.send(router_end.number, [b"x" * 8_000], f"{n:016x}")
            t.iterate()
            if n % 2:
                cache.read()
        assert router_end.write_buffer.stored_bytes()
        t.run_until(
            lambda: cache.read() and not router_end.write_buffer.stored_bytes(), "all output is written"
        )
        assert len(router_end.unsent_attempts) == 0
        sent = router_end.write_buffer.sent_bytes
        t.loop.servers.send(router_end.number, [b"x" * 2_000_000], "a")
        t.loop.servers.send(router_end.number, [b"x" * 2_000_000], "b")
        t.iterate()
        router_end.write_buffer.sent_bytes = (
            sent + 2_000_000
        )  # as if the kernel had accepted only the first one
        t.loop.transport.write(router_end)
        assert [id for _, id in router_end.unsent_attempts] == ["b"]

    def test_an_attempt_completely_written_may_have_run(self) -> None:
        t = LoopHarness(self)
        client = t.client()
        self.send_order(t, client, 1)
        cache = t.accept_from_router("cache1")
        t.run_until(cache.attempt_ids, "the order arrives")
        cache.close(reset=True)
        t.run_until(client.responses, "the request fails")
        assert client.responses()[0][2][0] == "Fault"
        t.assert_no_connect("cache1")

    def test_no_attempt_is_sent_on_a_connection_with_a_partial_response(self) -> None:
        """An attempt sent after half a response line was lost when the connection then ended."""
        t = LoopHarness(self)
        client, cache = self.idle_cache(t)
        cache.send(b"*4\r\n$16\r\n00000")
        t.run_until(
            lambda: any(x.has_partial_response for x in t.loop.reducer.state.connections.by_number.values()),
            "the partial response is read",
        )
        self.send_order(t, client, 2)
        self.assert_served_on_new_connection(t, client, 2, cache)
        cache.close()
        t.iterate(iterations=3)
        assert len(client.responses()) == 2

    def test_a_completed_response_makes_its_connection_usable_again(self) -> None:
        t = LoopHarness(self)
        client, cache = self.idle_cache(t)
        late = server_response("00000000000000ff")
        cache.send(late[:20])
        t.run_until(
            lambda: any(x.has_partial_response for x in t.loop.reducer.state.connections.by_number.values()),
            "the partial response is read",
        )
        cache.send(late[20:])
        t.run_until(
            lambda: (
                not any(x.has_partial_response for x in t.loop.reducer.state.connections.by_number.values())
            ),
            "the complete response is read",
        )
        self.send_order(t, client, 2)
        t.run_until(lambda: len(cache.attempt_ids()) == 2, "the connection is used again")

    def test_a_response_and_its_timeout_in_one_iteration(self) -> None:
        """A response that has arrived is forwarded; the timeout due in the same iteration has no effect."""
        t = LoopHarness(self)
        client = t.client()
        client.send(client_request(1, remaining_ms=1_000))
        cache = t.accept_from_router("cache1")
        t.run_until(cache.attempt_ids, "the attempt arrives")
        t.iterate(990 * MS)
        cache.send(server_response(cache.attempt_ids()[0]))
        t.now += 20 * MS
        t.iterate()
        t.run_until(client.responses, "the response arrives")
        t.iterate(500 * MS)
        assert client.responses() == [[1, 1, None, [b"by", {}]]]

    def test_a_connect_that_times_out_in_the_iteration_that_completes_it(self) -> None:
        """A connection is established just after its connect timeout: no attempt is sent on it."""
        t = LoopHarness(self)
        client = t.client()
        client.send(client_request(1))
        cache = t.accept_from_router("cache1")
        t.selector.hidden |= {s.sock for s in t.loop.servers.open.values() if not s.is_connected}
        t.iterate(SECOND)
        t.selector.hidden.clear()
        t.iterate(iterations=5)
        assert len(cache.attempt_ids()) <= 1
        assert len(t.loop.servers.open) == len(t.loop.reducer.state.connections.by_number)

    def test_a_keep_response_must_name_the_copy_that_the_client_named(self) -> None:
        """A KEEP response was forwarded although it did not name the copy that the client had named."""
        for cached, named in (
            (None, "4be0c1927d55a6f3"),
            ("4be0c1927d55a6f3", "00000000000000aa"),
            ("4be0c1927d55a6f3", None),
            ("4be0c1927d55a6f3", "4be0c1927d55a6f3"),
        ):
            with self.subTest(cached=cached, named=named):
                t = LoopHarness(self)
                client = t.client()
                client.send(client_request(1, **({"cached": cached} if cached else {})))
                cache = t.accept_from_router("cache1")
                t.run_until(cache.attempt_ids, "the attempt arrives")
                fields = f"sum={named},t0=1764576000123,tell=mem".encode() if named else b"tell=mem"
                cache.send(server_response(cache.attempt_ids()[0], b"", b"KEEP", fields))
                is_current = cached is not None and cached == named
                t.run_until(
                    lambda t=t: (
                        not t.loop.reducer.state.attempts or t.loop.reducer.state.counters["copies not named"]
                    ),
                    "the response is handled",
                )
                t.iterate(iterations=3)
                assert (client.responses() == [[1, 1, None, [b"", {"keep": "1"}]]]) == is_current
