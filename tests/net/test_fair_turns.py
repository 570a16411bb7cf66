"""Peers whose input takes all the time of an iteration: others get their turn, and memory is bounded."""

from __future__ import annotations

import contextlib
import selectors
import unittest

import msgpack

from kelpcroft.core import inputs
from kelpcroft.net.buffers import BUFFER_BYTES
from kelpcroft.net.client_connections import MAX_PENDING_BODY_BYTES, ClientConnection
from kelpcroft.net.event_loop import MAX_DISPATCH_NS
from kelpcroft.net.fair_turns import MAX_MESSAGES_PER_READ, MIN_READ_BYTES, ReadPacer
from kelpcroft.net.transport import Connection
from tests.support.loop_harness import LoopHarness, Peer, client_request, server_response

CANCELS = msgpack.packb([2, "cancel", list(range(1_000, 2_024))])  # of requests that are not open
INPUT_BYTES = 200_000  # more than is read in one turn
MAX_ITERATIONS = 8  # in which a request must be admitted


def send_what_fits(peer: Peer, data: bytes) -> None:
    """Writes as much as the socket takes."""
    with contextlib.suppress(BlockingIOError):
        peer.sock.send(data)


class FairTurns(unittest.TestCase):
    def setUp(self) -> None:
        self.harness = LoopHarness(self)
        self.floods: list[tuple[Peer, bytes]] = []  # peers that send without end, and what they send
        self.costly: set[Connection] = set()  # connections whose reads take all the time of an iteration

    def connection_of(self, peer: Peer) -> ClientConnection:
        """Returns the router's connection of a client."""
        sock = self.harness.socket_of(peer)
        return next(c for c in self.harness.loop.clients.open.values() if c.sock is sock)

    def make_costly(self, connection: Connection) -> None:
        """Lets each read of a connection take as long as an iteration dispatches, and reports it first."""
        harness, handler = self.harness, connection.handler
        self.costly.add(connection)
        if len(self.costly) > 1:
            return
        read, select = handler.read, harness.selector.select

        def read_slowly(read_connection: Connection) -> None:
            if read_connection in self.costly:
                harness.now += 2 * MAX_DISPATCH_NS
            read(read_connection)

        def select_costly_first(timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
            return sorted(select(timeout), key=lambda ready: ready[0].data not in self.costly)

        handler.read = read_slowly
        harness.selector.select = select_costly_first  # type: ignore[method-assign]

    def assert_admitted_soon(self, client: Peer, number: int) -> None:
        """Asserts that a client's request is admitted within a few iterations."""
        counters = self.harness.loop.reducer.state.counters
        taken = counters["taken"]
        client.send(client_request(number, trace=f"{0xC0DE + number:016x}"))
        for _ in range(MAX_ITERATIONS):
            for peer, data in self.floods:
                send_what_fits(peer, data)
            self.harness.iterate()
        assert counters["taken"] == taken + 1

    def test_a_client_that_cancels_without_end_does_not_keep_others_unread(self) -> None:
        """The clients behind it were read only when it had gone: they were answered late or never."""
        other = self.harness.client()
        for _ in range(2):
            flooding = self.harness.client()
            self.make_costly(self.connection_of(flooding))
            self.floods.append((flooding, CANCELS * (INPUT_BYTES // len(CANCELS))))
        self.assert_admitted_soon(other, 1)

    def test_a_client_that_cancels_with_a_request_open_does_not_keep_others_unread(self) -> None:
        """Clients with open requests are read first, and used up the time for requests in each iteration."""
        other = self.harness.client()
        for number in (1, 2):
            flooding = self.harness.client()
            trace = f"{0xF100D + number:016x}"
            flooding.send(client_request(number, trace=trace))
            self.harness.iterate(iterations=2)
            self.make_costly(self.connection_of(flooding))
            self.floods.append((flooding, CANCELS * (INPUT_BYTES // len(CANCELS))))
        self.assert_admitted_soon(other, 1)

    def test_a_server_that_sends_without_end_does_not_keep_clients_unread(self) -> None:
        """Servers are read before requests are dispatched, and used up the time for requests."""
        other, cache = self.harness.served_client()
        (connection,) = self.harness.loop.servers.open.values()
        self.make_costly(connection)
        self.floods.append((cache, server_response("0" * 16) * 2_000))
        self.assert_admitted_soon(other, 2)

    def test_cancels_of_requests_that_are_not_open_do_not_reach_the_reducer(self) -> None:
        """Each number in a cancel was an input of its own: megabytes of them took seconds."""
        flooding = self.harness.client()
        transport = self.harness.loop.transport
        received: list[inputs.Input] = []
        handle_input = transport.handle_input

        def record(message: inputs.Input) -> None:
            received.append(message)
            handle_input(message)

        transport.handle_input = record  # type: ignore[method-assign]
        send_what_fits(flooding, CANCELS * 20)
        self.harness.iterate(iterations=MAX_ITERATIONS)
        assert not [message for message in received if isinstance(message, inputs.CancelRequest)]

    def test_request_bodies_that_wait_for_their_dispatch_are_bounded(self) -> None:
        """A client with an open request is read early; its new requests wait, with their bodies."""
        client = self.harness.client()
        client.send(client_request(1))
        self.harness.iterate(iterations=2)
        connection = self.connection_of(client)
        bodies = [client_request(number, f"{number:016x}", body=b"x" * 40_000) for number in range(2, 20)]
        send_what_fits(client, b"".join(bodies))
        self.harness.tick_ns = 2 * MAX_DISPATCH_NS  # no request is dispatched in time
        most_bytes = 0
        for _ in range(MAX_ITERATIONS):
            self.harness.loop.run_iteration()
            pending = [message for _, message in connection.pending_messages]
            most_bytes = max(most_bytes, sum(len(getattr(message, "body", b"")) for message in pending))
        self.harness.tick_ns = 0
        assert 0 < most_bytes <= MAX_PENDING_BODY_BYTES + 2 * BUFFER_BYTES


class ReadSizes(unittest.TestCase):
    def test_a_read_with_many_messages_makes_the_next_one_smaller(self) -> None:
        pacer = ReadPacer()
        pacer.record(BUFFER_BYTES, 64 * MAX_MESSAGES_PER_READ)
        assert (pacer.max_bytes, pacer.is_turn_over) == (MIN_READ_BYTES, True)

    def test_full_reads_with_few_messages_grow_to_a_buffer(self) -> None:
        pacer = ReadPacer(MIN_READ_BYTES)
        sizes = []
        for _ in range(5):
            pacer.record(pacer.max_bytes, 1)
            sizes.append(pacer.max_bytes)
        assert sizes == [4 * MIN_READ_BYTES, 16 * MIN_READ_BYTES, BUFFER_BYTES, BUFFER_BYTES, BUFFER_BYTES]
        assert not pacer.is_turn_over


if __name__ == "__main__":
    unittest.main()
