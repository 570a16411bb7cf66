"""Components of the core and of the sockets, one at a time: regression tests and tests of safeguards."""

from __future__ import annotations

import socket
import unittest
from dataclasses import replace

import msgpack
import pytest

from kelpcroft.config import parse_config
from kelpcroft.core import effects, inputs, messages
from kelpcroft.core.connection_pool import ATTEMPTS_BEFORE_NEW_CONNECTION, ConnectionPool
from kelpcroft.core.state import MS, SECOND
from kelpcroft.decision.interface import FillResult, Outcome
from kelpcroft.net.buffers import BUFFER_BYTES, STORED_BUFFER_BYTES, BufferPool, WriteBuffer
from kelpcroft.net.client_codec import ClientCodec, ClientProtocolError
from kelpcroft.net.client_connections import (
    IDLE_CLIENT_TIMEOUT_NS,
    SILENT_CLIENT_TIMEOUT_NS,
    ClientConnection,
)
from kelpcroft.net.clock import Clock
from kelpcroft.net.event_loop import MAX_DISPATCH_NS, EventLoop
from kelpcroft.net.ready_connections import Arrival
from kelpcroft.net.server_codec import ServerCodec
from kelpcroft.net.server_connections import PARTIAL_RESPONSE_TIMEOUT_NS, ServerConnection
from tests.support.exchange_player import EXAMPLE
from tests.support.reducer_fixtures import (
    GOOD_RESPONSE,
    NOW,
    TRACE,
    client_request,
    effects_of_type,
    make_reducer,
)


class Components(unittest.TestCase):
    def test_remaining_time_counts_from_the_send(self) -> None:
        """Requests that had waited unread in a busy router were served after their clients' deadlines."""
        data = msgpack.packb([0, 1, "page", [{"trace": TRACE, "patience": "900", "entity": TRACE}, b""]])
        (request,) = ClientCodec(1).receive_data(memoryview(data), 400 * MS)
        assert isinstance(request, inputs.ClientRequest)
        assert request.remaining_time_ns == 500 * MS

    def test_bad_requests_are_not_forwarded(self) -> None:
        """Servers respond to bad requests with an error or a close, which counted against the servers and
        against other clients' requests.
        """
        valid = {"trace": TRACE, "patience": "900", "entity": TRACE, "block": "0", "family": "17"}
        invalid = [
            {**valid, key: value}
            for key, value in (
                ("trace", "ab"),
                ("entity", TRACE.upper()),
                ("entity", 7),
                ("patience", "0"),
                ("patience", "-5"),
                ("patience", "nan"),
                ("block", "99999999"),
                ("family", "256"),
                ("cached", "a=b"),
            )
        ]
        too_long = [[0, 1, "page", [valid, b"x" * 48_001]]]
        for message in [[0, 1, "page", [fields, b""]] for fields in invalid] + too_long:
            with self.subTest(message=str(message)[:200]), pytest.raises(ClientProtocolError):
                ClientCodec(1).receive_data(memoryview(msgpack.packb(message)))
        reducer = make_reducer()
        assert len(effects_of_type(effects.OpenServerConnection, reducer.handle(NOW, client_request(1)))) == 1
        for request in (
            client_request(1, client=2),
            client_request(2, class_name="none"),
            client_request(3, remaining_ms=90_000),
        ):
            assert reducer.handle(NOW, request) == [
                effects.FailRequest(request.client, request.request_number)
            ]
        for number in range(4, 4 + 31):
            assert effects_of_type(effects.CloseClient, reducer.handle(NOW, client_request(number))) == []
        assert len(effects_of_type(effects.CloseClient, reducer.handle(NOW, client_request(99)))) == 1

    def test_a_message_has_a_maximum_size(self) -> None:
        """Nested lists grew in memory as they were received, far beyond the size of their bytes.  Also,
        hundreds of requests that a client sent at once were all forwarded, whether it cancelled them or not.
        """
        codec = ClientCodec(1)
        with pytest.raises(ClientProtocolError):
            for _ in range(8):
                assert codec.receive_data(memoryview((b"\x9f" + b"\x90" * 14) * 1024)) == []
                assert codec.has_partial_message()
        fields = {"trace": TRACE, "patience": "900", "entity": TRACE}
        requests = [msgpack.packb([0, n, "page", [fields, b""]]) for n in range(1, 34)]
        assert len(ClientCodec(1).receive_data(memoryview(b"".join(requests[:32])))) == 32
        with pytest.raises(ClientProtocolError):
            ClientCodec(1).receive_data(memoryview(b"".join([*requests, msgpack.packb([2, "cancel", [1]])])))

    def test_silent_and_idle_clients_are_closed(self) -> None:
        """Clients that sent one request and stayed connected used up all client connections: no other client
        was accepted until they disconnected.
        """
        loop = EventLoop(parse_config(EXAMPLE, {}), Clock(lambda: NOW))
        self.addCleanup(loop.selector.close)
        loop.reducer.start(NOW)
        for number, has_sent_message, age in (
            (1, False, SILENT_CLIENT_TIMEOUT_NS),
            (2, True, IDLE_CLIENT_TIMEOUT_NS),
            (3, True, SILENT_CLIENT_TIMEOUT_NS),
            (4, True, 0),
        ):
            client = ClientConnection(loop.clients, number, socket.socket(), NOW - age - MS)
            loop.clients.open[number] = client
            client.has_sent_message = has_sent_message
            self.addCleanup(client.sock.close)
        loop.clients.open[3].partial_since_ns = NOW - MS
        loop.sweep(NOW)
        assert list(loop.clients.open) == [3, 4]
        loop.reducer.handle(NOW, client_request(1, client=3))
        assert not loop.acceptor.evict_idle_client(), (
            "one client has an open request, the other was active just now"
        )
        loop.reducer.handle(NOW, inputs.CancelRequest(3, 1))
        assert loop.acceptor.evict_idle_client()
        assert list(loop.clients.open) == [4]
        loop.clients.open[4].partial_since_ns = NOW - SILENT_CLIENT_TIMEOUT_NS - MS
        loop.sweep(NOW)
        assert list(loop.clients.open) == [], "the client was silent after half a message"

    def test_requests_are_read_for_a_bounded_time(self) -> None:
        """All clients were read before the feed was read again, so an iteration could exceed the time that
        the purge rule allows.  For each client that was not read, the time since which its requests may have
        waited is kept.
        """
        ticks = iter(range(NOW, NOW + 10**12, MAX_DISPATCH_NS // 2))
        loop = EventLoop(parse_config(EXAMPLE, {}), Clock(lambda: next(ticks)))
        self.addCleanup(loop.selector.close)
        peers_read: list[int] = []
        loop.handle_ready = lambda peer, events: peers_read.append(peer.number)  # type: ignore[method-assign]
        peers = [ClientConnection(loop.clients, n, socket.socket(), NOW) for n in range(6)]
        for peer in peers:
            self.addCleanup(peer.sock.close)
        loop.dispatch_requests([(peer, 1) for peer in peers], Arrival(NOW - 5, NOW - 5))
        assert 0 < len(peers_read) < 6
        assert all(p.unread_since_ns == NOW - 5 for p in peers[len(peers_read) :])

    def test_attempts_waiting_for_a_connection_are_routed_again_on_a_purge(self) -> None:
        """An attempt that waited for its connection was sent without an age limit, up to a connect timeout
        after the purge was received.
        """
        reducer = make_reducer()
        (_opening,) = effects_of_type(effects.OpenServerConnection, reducer.handle(NOW, client_request(1)))
        reducer.handle(NOW + MS, inputs.WatchResponse(2, (inputs.Purge(10, 0, NOW),)))
        (attempt,) = effects_of_type(
            effects.SendAttempt, reducer.handle(NOW + 2 * MS, inputs.ServerConnected(2))
        )
        assert attempt.max_age_ms > 0

    def test_a_cancelled_id_is_not_reused_on_its_connection(self) -> None:
        """A response that crossed its KILL on the wire would be matched to the next attempt with that id."""
        reducer = make_reducer()
        (opening,) = effects_of_type(effects.OpenServerConnection, reducer.handle(NOW, client_request(1)))
        reducer.handle(NOW, inputs.ServerConnected(opening.connection))
        (cancellation,) = effects_of_type(
            effects.CancelAttempt, reducer.handle(NOW, inputs.CancelRequest(1, 1))
        )
        assert (
            reducer.state.connections.find(
                reducer.state.connections.by_number[opening.connection].server, cancellation.attempt_id
            )
            is None
        )
        late = inputs.ServerResponse(
            opening.connection, cancellation.attempt_id, Outcome.OK, FillResult.HIT, 0, {}, False, b"late"
        )
        assert reducer.handle(NOW, late) == []

    def test_a_completed_id_is_not_reused_on_its_connection(self) -> None:
        """A duplicate of a miss ended the next attempt while its server still executed it, so a request that
        must not be executed twice was.
        """
        reducer = make_reducer()
        (opening,) = effects_of_type(effects.OpenServerConnection, reducer.handle(NOW, client_request(1)))
        reducer.handle(NOW, inputs.ServerConnected(opening.connection))
        miss = inputs.ServerResponse(
            opening.connection,
            client_request(1).trace_id,
            Outcome.MISS,
            FillResult.SOURCE_LACKS,
            0,
            {},
            False,
            b"",
        )
        (next_opening,) = effects_of_type(effects.OpenServerConnection, reducer.handle(NOW, miss))
        assert next_opening.connection != opening.connection
        assert reducer.handle(NOW, miss) == []
        assert len(reducer.state.attempts) == 1

    def test_reset_of_a_new_connection_does_not_eject_its_server(self) -> None:
        """The reset counted as a refused connection: the server was ejected, and later treated as cold."""
        reducer = make_reducer()
        (opening,) = effects_of_type(effects.OpenServerConnection, reducer.handle(NOW, client_request(1)))
        (reopening,) = effects_of_type(
            effects.OpenServerConnection,
            reducer.handle(NOW, inputs.ServerConnectionLost(opening.connection, "ECONNRESET")),
        )
        assert reopening.address == opening.address
        assert (
            len(
                effects_of_type(
                    effects.SendAttempt, reducer.handle(NOW, inputs.ServerConnected(reopening.connection))
                )
            )
            == 1
        )
        assert not any(endpoint.is_ejected for endpoint in reducer.state.policy.endpoints.values())
        reducer = make_reducer()
        (opening,) = effects_of_type(effects.OpenServerConnection, reducer.handle(NOW, client_request(1)))
        reducer.handle(NOW, inputs.ServerConnectionLost(opening.connection, "ECONNREFUSED", True))
        assert any(endpoint.is_ejected for endpoint in reducer.state.policy.endpoints.values())

    def test_a_silent_connection_is_closed(self) -> None:
        """Responses never arrived on a connection that stayed open; as the fullest connection it was given
        all attempts for its server.
        """
        reducer = make_reducer()
        (opening,) = effects_of_type(
            effects.OpenServerConnection, reducer.handle(NOW, client_request(1, remaining_ms=4_900))
        )
        (silence_timer,) = [
            e
            for e in reducer.handle(NOW, inputs.ServerConnected(opening.connection))
            if isinstance(e, effects.ScheduleTimer)
        ]
        assert silence_timer.key == (messages.TimerKind.CONNECTION_SILENCE, opening.connection, 0)
        for number in (2, 3):
            reducer.handle(NOW + MS, client_request(number, remaining_ms=4_900))
        later = silence_timer.at_ns + SECOND
        response = inputs.ServerResponse(
            opening.connection, client_request(2).trace_id, Outcome.OK, FillResult.HIT, 0, {}, False, b"two"
        )
        reducer.handle(NOW + 2 * MS, response)
        assert (
            effects_of_type(
                effects.CloseServerConnection, reducer.handle(later, inputs.TimerFired(silence_timer.key))
            )
            == []
        ), "a single attempt may be slow"
        reducer.handle(later, client_request(4))
        effect_list = reducer.handle(later + SECOND, inputs.TimerFired(silence_timer.key))
        assert effects_of_type(effects.CloseServerConnection, effect_list) == [
            effects.CloseServerConnection(opening.connection)
        ]
        (reopening,) = effects_of_type(effects.OpenServerConnection, effect_list)
        assert reopening.address == opening.address, "repeatable attempts are sent to the same server"
        assert (
            len(
                effects_of_type(
                    effects.SendAttempt,
                    reducer.handle(later + SECOND, inputs.ServerConnected(reopening.connection)),
                )
            )
            == 3
        )

    def test_a_connection_with_slow_fills_is_health_checked_before_it_is_closed(self) -> None:
        """While the origin was slow, attempts that waited for it accumulated on a few connections.  Each
        connection was closed after half a second and all its attempts were sent again, to every cache of the
        zone, for twelve seconds: 352 of 3,533 attempts in one router, with half of all requests served in
        time.
        """
        for responds in (True, False):
            reducer = make_reducer()
            reducer.state.settings = replace(
                reducer.state.settings, limits=replace(reducer.state.settings.limits, may_probe=True)
            )
            (opening,) = effects_of_type(
                effects.OpenServerConnection, reducer.handle(NOW, client_request(1, remaining_ms=4_900))
            )
            (silence_timer,) = [
                e
                for e in reducer.handle(NOW, inputs.ServerConnected(opening.connection))
                if isinstance(e, effects.ScheduleTimer)
            ]
            assert silence_timer.at_ns == NOW + reducer.attempts.response_times.silence_timeout_ns() // 2
            for number in (2, 3, 4):
                reducer.handle(NOW + MS, client_request(number, remaining_ms=4_900))
            effect_list = reducer.handle(silence_timer.at_ns, inputs.TimerFired(silence_timer.key))
            (health_check,) = effects_of_type(effects.SendHealthCheck, effect_list)
            assert (health_check.connection, effects_of_type(effects.CloseServerConnection, effect_list)) == (
                opening.connection,
                [],
            )
            if responds:
                check_response = inputs.ServerResponse(
                    opening.connection,
                    health_check.attempt_id,
                    Outcome.OK,
                    FillResult.NONE,
                    0,
                    {},
                    False,
                    b"",
                )
                reducer.handle(silence_timer.at_ns + MS, check_response)
            due_ns = NOW + reducer.attempts.response_times.silence_timeout_ns()
            effect_list = reducer.handle(due_ns, inputs.TimerFired(silence_timer.key))
            assert bool(effects_of_type(effects.CloseServerConnection, effect_list)) == (not responds)
            assert len(reducer.state.attempts) == 4, (
                "the attempts are still in flight, or wait to be sent again"
            )
            if responds:  # another check follows after the same silence
                due_ns = silence_timer.at_ns + MS + reducer.attempts.response_times.silence_timeout_ns()
                (health_check,) = effects_of_type(
                    effects.SendHealthCheck, reducer.handle(due_ns, inputs.TimerFired(silence_timer.key))
                )
                assert effects_of_type(
                    effects.CloseServerConnection,
                    reducer.handle(due_ns + 200 * MS, inputs.TimerFired(silence_timer.key)),
                )

    def test_few_attempts_share_a_connection_and_an_order_shares_none(self) -> None:
        """One response that could not be decoded failed 28 requests, among them orders, which cannot be
        retried.
        """
        pool = ConnectionPool(64, 32)
        endpoint = inputs.EndpointRecord("s", "127.0.0.1:1", "edge-1", "box", 0, "in_service", 1.0, 0)
        for n in range(2 * ATTEMPTS_BEFORE_NEW_CONNECTION):
            connection = pool.find("s", str(n)) or pool.add(endpoint)
            assert connection
            connection.in_flight[str(n)] = n
        assert [connection.load() for connection in pool.by_number.values()] == [
            ATTEMPTS_BEFORE_NEW_CONNECTION,
            ATTEMPTS_BEFORE_NEW_CONNECTION,
        ]
        assert pool.find("s", "order", exclusive=True) is None
        connection = pool.add(endpoint)
        assert connection
        connection.is_exclusive, connection.in_flight = True, {"order": 99}
        assert pool.find("s", "next") is None
        pool.max_connections = 3
        assert pool.find("s", "next") == pool.by_number[1]

    def test_an_incomplete_response_closes_its_connection(self) -> None:
        """The connection stayed open, and all attempts on it waited until their clients had cancelled."""
        loop = EventLoop(parse_config(EXAMPLE, {}), Clock(lambda: NOW))
        self.addCleanup(loop.selector.close)
        for number, data in ((1, GOOD_RESPONSE), (2, GOOD_RESPONSE[:9])):
            server = ServerConnection(
                loop.servers, number, socket.socket(), NOW - PARTIAL_RESPONSE_TIMEOUT_NS - MS
            )
            loop.servers.open[number] = server
            self.addCleanup(server.sock.close)
            server.codec.receive_data(memoryview(data))
        loop.sweep(NOW)
        assert list(loop.servers.open) == [1]

    def test_a_small_age_limit_is_not_sent_as_0(self) -> None:
        """0 on the wire means the freshness lifetime: an age limit under a millisecond, rounded down to 0,
        would have allowed any fresh copy.
        """
        reducer = make_reducer()
        (opening,) = effects_of_type(effects.OpenServerConnection, reducer.handle(NOW, client_request(1)))
        reducer.handle(NOW, inputs.ServerConnected(opening.connection))
        reducer.handle(NOW + MS, inputs.WatchResponse(2, (inputs.Purge(10, 0, NOW + MS),)))
        (attempt,) = effects_of_type(effects.SendAttempt, reducer.handle(NOW + MS, client_request(2)))
        assert attempt.max_age_ms == 1

    def test_responses_in_any_chunks(self) -> None:
        """Code compiled by mypyc assumed that the codec's body stays absent.  Every split of the bytes must
        decode to the same responses.
        """
        data = (
            b"*4\r\n$1\r\na\r\n$4\r\nDONE\r\n$8\r\ntell=old\r\n$5\r\nby\r\nt\r\n"
            b"*4\r\n$1\r\nb\r\n$4\r\nLACK\r\n$1\r\n-\r\n$0\r\n\r\n"
        )
        for cut in range(len(data)):
            codec = ServerCodec(1)
            responses = codec.receive_data(memoryview(data)[:cut]) + codec.receive_data(
                memoryview(data)[cut:]
            )
            assert [
                (response.attempt_id, response.outcome, response.fill_result, bytes(response.body))
                for response in responses
            ] == [
                ("a", Outcome.OK, FillResult.STALE, b"by\r\nt"),
                ("b", Outcome.MISS, FillResult.NONE, b""),
            ]

    def test_invalid_responses_are_errors(self) -> None:
        for invalid in (
            b"*900000000\r\n",
            b"+OK\r\n",
            b"*4\r\n$2\r\na\r\n$4\r\nDONE\r\n$1\r\n-\r\n$0\r\n\r\n",
            b"*4\r\n$1\r\na\r\n$4\r\nDONE\r\n$1\r\n-\r\n$999999\r\n",
            b"*4\r\n$" + b"1" * 5_000,
        ):
            with self.subTest(invalid=invalid[:40]):
                codec = ServerCodec(1)
                responses = codec.receive_data(memoryview(GOOD_RESPONSE + invalid))
                # A complete response before the bad bytes is used if those begin like a response.
                assert [response.attempt_id for response in responses] == (
                    ["g"] if invalid.startswith(b"*") else []
                )
                assert codec.error != ""

    def test_a_body_with_too_large_a_length_is_not_forwarded(self) -> None:
        """A body with too large a length included the first four bytes of the next response, and those bytes
        end as a body does.
        """
        codec = ServerCodec(1)
        assert (
            codec.receive_data(memoryview(GOOD_RESPONSE.replace(b"$2\r\n", b"$6\r\n") + GOOD_RESPONSE)) == []
        )
        assert codec.error != ""

    def test_a_write_buffer_keeps_bytes_and_releases_buffers(self) -> None:
        pool = BufferPool(64 * BUFFER_BYTES // STORED_BUFFER_BYTES)
        sender, receiver = socket.socketpair()
        self.addCleanup(sender.close)
        self.addCleanup(receiver.close)
        sender.setblocking(False)
        write_buffer, sent = WriteBuffer(pool), [bytes([n]) * 300_000 for n in range(8)]
        for chunk in sent:
            write_buffer.add([chunk])
            assert write_buffer.write(sender)
        assert pool.in_use > 0
        received = b""
        while len(received) < 8 * 300_000:
            received += receiver.recv(1 << 20)
            assert write_buffer.write(sender)
        assert received == b"".join(sent)
        assert (pool.in_use, write_buffer.stored_bytes()) == (0, 0)


if __name__ == "__main__":
    unittest.main()
