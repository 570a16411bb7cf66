"""Closing of clients' connections: input that arrives during a close is neither lost nor partly handled."""

from __future__ import annotations

import contextlib
import signal
import socket
import unittest

from kelpcroft.core import effects, messages
from kelpcroft.net.client_connections import IDLE_CLIENT_TIMEOUT_NS, SILENT_CLIENT_TIMEOUT_NS
from kelpcroft.net.final_flush import SHUTDOWN_LINGER_NS
from kelpcroft.net.lingering_close import LINGERING_CLOSE_MAX_BYTES, LINGERING_CLOSE_TIMEOUT_NS
from tests.support.loop_harness import MS, SECOND, LoopHarness, client_request, server_response


class Closing(unittest.TestCase):
    def test_a_request_that_waits_unread_keeps_its_connection(self) -> None:
        """An idle timeout reset a connection whose next request had arrived but was not reported yet."""
        t = LoopHarness(self)
        client, cache = t.served_client()
        t.selector.hidden.add(t.socket_of(client))
        client.send(client_request(2))
        t.iterate(IDLE_CLIENT_TIMEOUT_NS + SECOND)
        assert len(t.loop.clients.open) == 1
        t.selector.hidden.clear()
        t.run_until(lambda: len(cache.attempt_ids()) == 2, "the request is forwarded")
        cache.send(server_response(cache.attempt_ids()[1]))
        t.run_until(lambda: len(client.responses()) == 2, "the response arrives")

    def test_a_request_that_crosses_the_close_is_not_forwarded(self) -> None:
        """A request that arrives after the router has shut down its side is discarded without a reset.

        The client sends it again on a new connection.  A reset would also discard the responses that the
        client has not read yet.
        """
        t = LoopHarness(self)
        client, cache = t.served_client()
        t.iterate(IDLE_CLIENT_TIMEOUT_NS + SECOND)
        assert (len(t.loop.clients.open), len(t.loop.clients.lingering.clients)) == (0, 1)
        client.send(client_request(2))
        t.iterate(iterations=3)
        client.read()
        assert client.ended
        assert not client.reset
        assert len(cache.attempt_ids()) == 1
        client.close()
        t.run_until(
            lambda: not t.loop.clients.lingering.clients, "the client's close ends the lingering close"
        )

    def test_a_lingering_close_ends_after_its_limit_of_time_or_bytes(self) -> None:
        t = LoopHarness(self)
        idle, flooding = t.client(), t.client()
        t.iterate(SILENT_CLIENT_TIMEOUT_NS + 200 * MS)
        assert len(t.loop.clients.lingering.clients) == 2

        def flood() -> bool:
            try:
                flooding.sock.send(b"\x00" * 65_536)
            except BlockingIOError:
                pass
            except OSError:
                return True
            return len(t.loop.clients.lingering.clients) == 1

        t.run_until(flood, f"the connection that sent over {LINGERING_CLOSE_MAX_BYTES} bytes is closed")
        assert not idle.reset
        t.iterate(LINGERING_CLOSE_TIMEOUT_NS + 200 * MS)
        assert t.loop.clients.lingering.clients == {}

    def test_lingering_closes_are_bounded(self) -> None:
        t = LoopHarness(self, limits={"sockets": 64})
        for _ in range(t.loop.clients.lingering.max_clients + 3):
            t.client().send(b"\xc1")
        t.iterate(iterations=3)
        assert (len(t.loop.clients.open), len(t.loop.clients.lingering.clients)) == (
            0,
            t.loop.clients.lingering.max_clients,
        )

    def test_a_response_in_flight_survives_malformed_input_after_it(self) -> None:
        """A close with unread input reset the connection, and the kernel discarded the unread response."""
        t = LoopHarness(self)
        client = t.client()
        client.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
        client.send(client_request(1))
        cache = t.accept_from_router("cache1")
        t.run_until(cache.attempt_ids, "the attempt arrives")
        body = b"x" * 200_000
        unsent = [server_response(cache.attempt_ids()[0], body)]

        def push() -> bool:
            with contextlib.suppress(BlockingIOError):
                unsent[0] = unsent[0][cache.sock.send(unsent[0]) :]
            return not unsent[0]

        t.run_until(push, "the server's response is sent")
        t.run_until(lambda: not t.loop.reducer.state.requests, "the response arrives")
        client.send(b"\xc1" + b"\x00" * 10_000)
        t.run_until(lambda: t.loop.clients.lingering.clients, "the router closes the connection")
        client.send(b"\x00" * 10_000)
        t.run_until(lambda: client.read() and client.ended, "the complete response and the end arrive")
        assert not client.reset
        assert body in client.received

    def test_a_malformed_client_is_logged_once(self) -> None:
        t = LoopHarness(self)
        client = t.client()
        client.send(b"\xc1")
        t.run_until(lambda: client.read() or client.ended, "the router closes the connection")
        losses = [log for log in t.logged if log.event == "client.lost"]
        assert len(losses) == 1
        assert "malformed" in losses[0].text


class Shutdown(unittest.TestCase):
    def begin_shutdown(self, t: LoopHarness) -> None:
        t.loop.signals.handle(bytes([signal.SIGTERM]))

    def test_a_request_that_waits_unread_delays_the_exit(self) -> None:
        """A router short of CPU exited with unread requests in its sockets, as it counted read ones only."""
        t = LoopHarness(self)
        client, cache = t.served_client()
        self.begin_shutdown(t)
        t.selector.hidden.add(t.socket_of(client))
        client.send(client_request(2))
        t.iterate(900 * MS)
        assert not t.loop.is_stopping
        t.selector.hidden.clear()
        t.run_until(lambda: len(cache.attempt_ids()) == 2, "the request is forwarded")
        cache.send(server_response(cache.attempt_ids()[1]))
        t.run_until(lambda: len(client.responses()) == 2, "the response arrives")
        t.iterate(100 * MS)
        assert t.loop.is_stopping

    def test_delayed_timers_are_never_compared_by_their_keys(self) -> None:
        """Two timers with the same time and number made the heap compare their keys.

        Keys cannot be ordered; this happened for a shutdown step that was delayed.
        """
        t = LoopHarness(self)
        client, _ = t.served_client()
        self.begin_shutdown(t)
        t.selector.hidden.add(t.socket_of(client))
        client.send(client_request(2))
        t.iterate(790 * MS)
        for late in range(1, 60):
            t.loop.transport.perform_effects(
                [effects.ScheduleTimer(t.now + late * MS, (messages.TimerKind.DECISION, 0, 0))]
            )
        numbers = [entry[1] for entry in t.loop.timers]
        t.iterate(30 * MS)
        assert len(set(numbers)) == len(numbers)
        numbers = [entry[1] for entry in t.loop.timers]
        assert len(set(numbers)) == len(numbers)

    def test_the_exit_is_not_delayed_forever(self) -> None:
        t = LoopHarness(self)
        client = t.client()
        self.begin_shutdown(t)
        t.selector.hidden.add(t.socket_of(client))
        client.send(client_request(1))
        t.iterate(3 * SECOND)
        assert t.loop.is_stopping

    def test_clients_in_the_accept_queue_are_served_first(self) -> None:
        """Clients in the accept queue were reset, with their requests unread, when the listener closed."""
        t = LoopHarness(self)
        _, cache = t.served_client()
        assert t.loop.acceptor.listener.sock is not None
        t.selector.hidden.add(t.loop.acceptor.listener.sock)
        queued = [socket.create_connection(t.address) for _ in range(3)]
        for n, sock in enumerate(queued):
            self.addCleanup(sock.close)
            sock.sendall(client_request(1, trace=f"{n + 7:016x}"))
        self.begin_shutdown(t)
        t.iterate(600 * MS)
        assert t.loop.acceptor.listener.sock is None
        t.run_until(lambda: len(cache.attempt_ids()) == 4, "all requests are forwarded")

    def test_a_request_after_the_exit_decision_is_not_forwarded(self) -> None:
        """A request that arrives after the exit decision is discarded.

        The connection ends cleanly without a response, so the client sends the request again.
        """
        t = LoopHarness(self)
        client, cache = t.served_client()
        self.begin_shutdown(t)
        t.iterate(900 * MS)
        assert t.loop.is_stopping
        client.send(client_request(2))
        t.tick_ns = SHUTDOWN_LINGER_NS // 20
        t.loop.flush_and_close()
        client.read()
        assert client.ended
        assert not client.reset
        assert (len(cache.attempt_ids()), len(client.responses())) == (1, 1)

    def test_a_second_signal_changes_nothing(self) -> None:
        t = LoopHarness(self)
        client = t.client()
        client.send(client_request(1))
        cache = t.accept_from_router("cache1")
        t.run_until(cache.attempt_ids, "the attempt arrives")
        self.begin_shutdown(t)
        self.begin_shutdown(t)
        t.iterate(900 * MS)
        self.begin_shutdown(t)
        assert not t.loop.is_stopping, "a request is open"
        cache.send(server_response(cache.attempt_ids()[0]))
        t.run_until(client.responses, "the response arrives")
        t.iterate(100 * MS)
        assert t.loop.is_stopping
        assert len([log for log in t.logged if log.event == "router.ending"]) == 1
