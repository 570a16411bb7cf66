"""Parts of the program on their own: one test for each failure found, and for what guards against one."""

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
from kelpcroft.net.buffers import BUFFER_BYTES, BufferPool, WriteBuffer
from kelpcroft.net.client_codec import ClientCodec, ClientProtocolError
from kelpcroft.net.client_connections import (
    IDLE_CLIENT_TIMEOUT_NS,
    SILENT_CLIENT_TIMEOUT_NS,
    ClientConnection,
)
from kelpcroft.net.clock import Clock
from kelpcroft.net.event_loop import CLIENT_REQUESTS_TURN_NS, EventLoop
from kelpcroft.net.server_codec import ServerCodec
from kelpcroft.net.server_connections import PARTIAL_RESPONSE_TIMEOUT_NS, ServerConnection
from tests.support.exchange_player import EXAMPLE
from tests.support.reducer_fixtures import GOOD, NOW, TRACE, call, only, router


class Parts(unittest.TestCase):
    def test_patience_counts_from_the_send(self) -> None:
        """Requests that had waited unread in a busy router were answered after their clients had gone."""
        data = msgpack.packb([0, 1, "page", [{"trace": TRACE, "patience": "900", "entity": TRACE}, b""]])
        (taken,) = ClientCodec(1, BUFFER_BYTES).receive_data(memoryview(data), 400 * MS)
        assert isinstance(taken, inputs.ClientRequest)
        assert taken.remaining_time_ns == 500 * MS

    def test_bad_requests_are_not_sent_on(self) -> None:
        """Servers answer them with errors or close, which told against servers and others' requests."""
        good = {"trace": TRACE, "patience": "900", "entity": TRACE, "block": "0", "family": "17"}
        bad = [
            {**good, key: value}
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
        bodies = [[0, 1, "page", [good, b"x" * 48_001]]]
        for message in [[0, 1, "page", [fields, b""]] for fields in bad] + bodies:
            with self.subTest(message=str(message)[:200]), pytest.raises(ClientProtocolError):
                ClientCodec(1, BUFFER_BYTES).receive_data(memoryview(msgpack.packb(message)))
        r = router()
        assert len(only(effects.OpenServerConnection, r.handle(NOW, call(1)))) == 1
        for other in (call(1, client=2), call(2, cls="none"), call(3, patience=90_000)):
            assert r.handle(NOW, other) == [effects.FailRequest(other.client, other.request_number)]
        for number in range(4, 4 + 31):
            assert only(effects.CloseClient, r.handle(NOW, call(number))) == []
        assert len(only(effects.CloseClient, r.handle(NOW, call(99)))) == 1

    def test_a_message_has_an_end(self) -> None:
        """Nested lists grow in memory as they come, far past the bytes that wait to be decoded; and hundreds
        of requests at once, withdrawn or not, were each sent on.
        """
        codec = ClientCodec(1, BUFFER_BYTES)
        with pytest.raises(ClientProtocolError):
            for _ in range(8):
                assert codec.receive_data(memoryview((b"\x9f" + b"\x90" * 14) * 1024)) == []
                assert codec.has_partial_message()
        good = {"trace": TRACE, "patience": "900", "entity": TRACE}
        calls = [msgpack.packb([0, n, "page", [good, b""]]) for n in range(1, 34)]
        assert len(ClientCodec(1, BUFFER_BYTES).receive_data(memoryview(b"".join(calls[:32])))) == 32
        with pytest.raises(ClientProtocolError):
            ClientCodec(1, BUFFER_BYTES).receive_data(
                memoryview(b"".join([*calls, msgpack.packb([2, "cancel", [1]])]))
            )

    def test_silent_and_idle_clients_make_room(self) -> None:
        """Clients that asked once and stayed held every place; no one else was taken until they went."""
        loop = EventLoop(parse_config(EXAMPLE, {}), Clock(lambda: NOW))
        self.addCleanup(loop.selector.close)
        loop.reducer.start(NOW)
        for number, said, age in (
            (1, False, SILENT_CLIENT_TIMEOUT_NS),
            (2, True, IDLE_CLIENT_TIMEOUT_NS),
            (3, True, SILENT_CLIENT_TIMEOUT_NS),
            (4, True, 0),
        ):
            client = ClientConnection(loop.clients, number, socket.socket(), NOW - age - MS)
            loop.clients.open[number] = client
            client.has_sent_message = said
            self.addCleanup(client.sock.close)
        loop.clients.open[3].partial_since_ns = NOW - MS
        loop.sweep(NOW)
        assert list(loop.clients.open) == [3, 4]
        loop.reducer.handle(NOW, call(1, client=3))
        assert not loop.acceptor.evict_idle_client(), "one is served, the other was heard just now"
        loop.reducer.handle(NOW, inputs.CancelRequest(3, 1))
        assert loop.acceptor.evict_idle_client()
        assert list(loop.clients.open) == [4]
        loop.clients.open[4].partial_since_ns = NOW - SILENT_CLIENT_TIMEOUT_NS - MS
        loop.sweep(NOW)
        assert list(loop.clients.open) == [], "half a message, and then nothing"

    def test_requests_are_read_for_a_bounded_time(self) -> None:
        """All clients were read before the feed was looked at again; turns grew longer than the purge rule
        allows.  What is left over remembers since when it may have waited.
        """
        ticks = iter(range(NOW, NOW + 10**12, CLIENT_REQUESTS_TURN_NS // 2))
        loop = EventLoop(parse_config(EXAMPLE, {}), Clock(lambda: next(ticks)))
        self.addCleanup(loop.selector.close)
        served: list[int] = []
        loop.handle_ready = lambda peer, events: served.append(peer.number)  # type: ignore[method-assign]
        peers = [ClientConnection(loop.clients, n, socket.socket(), NOW) for n in range(6)]
        for peer in peers:
            self.addCleanup(peer.sock.close)
        loop.dispatch_requests([(peer, 1) for peer in peers], NOW - 5)
        assert 0 < len(served) < 6
        assert all(p.unread_since_ns == NOW - 5 for p in peers[len(served) :])

    def test_waits_for_a_connection_are_chosen_anew_on_a_purge(self) -> None:
        """An attempt without an age limit must not be sent up to a dial's time after the purge was told."""
        r = router()
        (_dial,) = only(effects.OpenServerConnection, r.handle(NOW, call(1)))
        r.handle(NOW + MS, inputs.WatchResponse(2, (inputs.Purge(10, 0, NOW),)))
        (pull,) = only(effects.SendAttempt, r.handle(NOW + 2 * MS, inputs.ServerConnected(2)))
        assert pull.max_age_ms > 0

    def test_a_given_up_id_is_kept_off_its_connection(self) -> None:
        """An answer that crossed its KILL would pass for that of the next attempt with the same id."""
        r = router()
        (dial,) = only(effects.OpenServerConnection, r.handle(NOW, call(1)))
        r.handle(NOW, inputs.ServerConnected(dial.connection))
        (kill,) = only(effects.CancelAttempt, r.handle(NOW, inputs.CancelRequest(1, 1)))
        assert (
            r.state.connections.find(r.state.connections.by_number[dial.connection].server, kill.attempt_id)
            is None
        )
        late = inputs.ServerResponse(
            dial.connection, kill.attempt_id, Outcome.OK, FillResult.HIT, 0, {}, False, b"late"
        )
        assert r.handle(NOW, late) == []

    def test_an_answered_id_is_kept_off_its_connection(self) -> None:
        """A second copy of a miss ended the next attempt, which ran on: one that must not run twice did."""
        r = router()
        (dial,) = only(effects.OpenServerConnection, r.handle(NOW, call(1)))
        r.handle(NOW, inputs.ServerConnected(dial.connection))
        miss = inputs.ServerResponse(
            dial.connection, call(1).trace_id, Outcome.MISS, FillResult.SOURCE_LACKS, 0, {}, False, b""
        )
        (other,) = only(effects.OpenServerConnection, r.handle(NOW, miss))
        assert other.connection != dial.connection
        assert r.handle(NOW, miss) == []
        assert len(r.state.attempts) == 1

    def test_a_connection_reset_when_new_tells_nothing(self) -> None:
        """It counted as refused: the server was dead, and cold when it was back."""
        r = router()
        (dial,) = only(effects.OpenServerConnection, r.handle(NOW, call(1)))
        (again,) = only(
            effects.OpenServerConnection,
            r.handle(NOW, inputs.ServerConnectionLost(dial.connection, "ECONNRESET")),
        )
        assert again.address == dial.address
        assert len(only(effects.SendAttempt, r.handle(NOW, inputs.ServerConnected(again.connection)))) == 1
        assert not any(n.is_ejected for n in r.state.policy.endpoints.values())
        r = router()
        (dial,) = only(effects.OpenServerConnection, r.handle(NOW, call(1)))
        r.handle(NOW, inputs.ServerConnectionLost(dial.connection, "ECONNREFUSED", True))
        assert any(n.is_ejected for n in r.state.policy.endpoints.values())

    def test_a_quiet_connection_is_given_up(self) -> None:
        """Its answers never came though it stayed open; as the fullest it drew all its server was sent."""
        r = router()
        (dial,) = only(effects.OpenServerConnection, r.handle(NOW, call(1, patience=4_900)))
        (wake,) = [
            e
            for e in r.handle(NOW, inputs.ServerConnected(dial.connection))
            if isinstance(e, effects.ScheduleTimer)
        ]
        assert wake.key == (messages.TimerKind.CONNECTION_SILENCE, dial.connection, 0)
        for number in (2, 3):
            r.handle(NOW + MS, call(number, patience=4_900))
        later = wake.at_ns + SECOND
        heard = inputs.ServerResponse(
            dial.connection, call(2).trace_id, Outcome.OK, FillResult.HIT, 0, {}, False, b"two"
        )
        r.handle(NOW + 2 * MS, heard)
        assert only(effects.CloseServerConnection, r.handle(later, inputs.TimerFired(wake.key))) == [], (
            "one on its own may be slow"
        )
        r.handle(later, call(4))
        effect_list = r.handle(later + SECOND, inputs.TimerFired(wake.key))
        assert only(effects.CloseServerConnection, effect_list) == [
            effects.CloseServerConnection(dial.connection)
        ]
        (again,) = only(effects.OpenServerConnection, effect_list)
        assert again.address == dial.address, "what may run again is tried on the same server"
        assert (
            len(only(effects.SendAttempt, r.handle(later + SECOND, inputs.ServerConnected(again.connection))))
            == 3
        )

    def test_a_connection_behind_slow_fills_is_asked_before_it_is_given_up(self) -> None:
        """While the store was slow, what waited for it gathered on a few connections.  Each was given up
        after half a second and all of it asked for once more, at every cache of the zone, for twelve seconds:
        352 of 3,533 attempts in one router, and half of all requests in time.
        """
        for answers in (True, False):
            r = router()
            r.state.settings = replace(
                r.state.settings, limits=replace(r.state.settings.limits, may_probe=True)
            )
            (dial,) = only(effects.OpenServerConnection, r.handle(NOW, call(1, patience=4_900)))
            (wake,) = [
                e
                for e in r.handle(NOW, inputs.ServerConnected(dial.connection))
                if isinstance(e, effects.ScheduleTimer)
            ]
            assert wake.at_ns == NOW + r.attempts.response_times.silence_limit_ns() // 2
            for number in (2, 3, 4):
                r.handle(NOW + MS, call(number, patience=4_900))
            effect_list = r.handle(wake.at_ns, inputs.TimerFired(wake.key))
            (check,) = only(effects.SendHealthCheck, effect_list)
            assert (check.connection, only(effects.CloseServerConnection, effect_list)) == (
                dial.connection,
                [],
            )
            if answers:
                fit = inputs.ServerResponse(
                    dial.connection, check.attempt_id, Outcome.OK, FillResult.NONE, 0, {}, False, b""
                )
                r.handle(wake.at_ns + MS, fit)
            due = NOW + r.attempts.response_times.silence_limit_ns()
            effect_list = r.handle(due, inputs.TimerFired(wake.key))
            assert bool(only(effects.CloseServerConnection, effect_list)) == (not answers)
            assert len(r.state.attempts) == 4, "what was out is out, or goes out anew"
            if answers:  # and again where nothing comes for as long after the answer
                due = wake.at_ns + MS + r.attempts.response_times.silence_limit_ns()
                (check,) = only(effects.SendHealthCheck, r.handle(due, inputs.TimerFired(wake.key)))
                assert only(
                    effects.CloseServerConnection, r.handle(due + 200 * MS, inputs.TimerFired(wake.key))
                )

    def test_few_share_a_connection_and_an_order_shares_none(self) -> None:
        """One answer that could not be read failed 28 requests, and orders among them for good."""
        links = ConnectionPool(64, 32)
        endpoint = inputs.EndpointRecord("s", "127.0.0.1:1", "edge-1", "box", 0, "in_service", 1.0, 0)
        for n in range(2 * ATTEMPTS_BEFORE_NEW_CONNECTION):
            link = links.find("s", str(n)) or links.add(endpoint)
            assert link
            link.in_flight[str(n)] = n
        assert [link.load() for link in links.by_number.values()] == [
            ATTEMPTS_BEFORE_NEW_CONNECTION,
            ATTEMPTS_BEFORE_NEW_CONNECTION,
        ]
        assert links.find("s", "order", exclusive=True) is None
        link = links.add(endpoint)
        assert link
        link.is_exclusive, link.in_flight = True, {"order": 99}
        assert links.find("s", "next") is None
        links.max_connections = 3
        assert links.find("s", "next") == links.by_number[1]

    def test_an_answer_that_stops_short_gives_its_connection_up(self) -> None:
        """Its connection stayed open and all that was out on it waited until their clients had gone."""
        loop = EventLoop(parse_config(EXAMPLE, {}), Clock(lambda: NOW))
        self.addCleanup(loop.selector.close)
        for number, data in ((1, GOOD), (2, GOOD[:9])):
            server = ServerConnection(
                loop.servers, number, socket.socket(), NOW - PARTIAL_RESPONSE_TIMEOUT_NS - MS
            )
            loop.servers.open[number] = server
            self.addCleanup(server.sock.close)
            server.codec.receive_data(memoryview(data))
        loop.sweep(NOW)
        assert list(loop.servers.open) == [1]

    def test_a_small_age_limit_is_never_none(self) -> None:
        """0 on the wire means the fresh time: a limit under a millisecond would have allowed any copy."""
        r = router()
        (dial,) = only(effects.OpenServerConnection, r.handle(NOW, call(1)))
        r.handle(NOW, inputs.ServerConnected(dial.connection))
        r.handle(NOW + MS, inputs.WatchResponse(2, (inputs.Purge(10, 0, NOW + MS),)))
        (pull,) = only(effects.SendAttempt, r.handle(NOW + MS, call(2)))
        assert pull.max_age_ms == 1

    def test_answers_in_any_pieces(self) -> None:
        """Mypyc once took the codec's body for absent for good; each cut of the bytes gives the same."""
        data = (
            b"*4\r\n$1\r\na\r\n$4\r\nDONE\r\n$8\r\ntell=old\r\n$5\r\nby\r\nt\r\n"
            b"*4\r\n$1\r\nb\r\n$4\r\nLACK\r\n$1\r\n-\r\n$0\r\n\r\n"
        )
        for cut in range(len(data)):
            codec = ServerCodec(1)
            found = codec.receive_data(memoryview(data)[:cut]) + codec.receive_data(memoryview(data)[cut:])
            assert [(a.attempt_id, a.outcome, a.note, bytes(a.body)) for a in found] == [
                ("a", Outcome.OK, FillResult.STALE, b"by\r\nt"),
                ("b", Outcome.MISS, FillResult.NONE, b""),
            ]

    def test_what_is_no_answer(self) -> None:
        for bad in (
            b"*900000000\r\n",
            b"+OK\r\n",
            b"*4\r\n$2\r\na\r\n$4\r\nDONE\r\n$1\r\n-\r\n$0\r\n\r\n",
            b"*4\r\n$1\r\na\r\n$4\r\nDONE\r\n$1\r\n-\r\n$999999\r\n",
            b"*4\r\n$" + b"1" * 5_000,
        ):
            with self.subTest(bad=bad[:40]):
                codec = ServerCodec(1)
                found = codec.receive_data(memoryview(GOOD + bad))
                # What came whole ahead of it is good, if what follows begins as an answer does.
                assert [a.attempt_id for a in found] == (["g"] if bad.startswith(b"*") else [])
                assert codec.error != ""

    def test_a_body_said_to_be_longer_is_not_passed_on(self) -> None:
        """It took four bytes from the next answer's head, and those end as a body does."""
        codec = ServerCodec(1)
        assert codec.receive_data(memoryview(GOOD.replace(b"$2\r\n", b"$6\r\n") + GOOD)) == []
        assert codec.error != ""

    def test_backlog_keeps_bytes_and_gives_buffers_back(self) -> None:
        pool = BufferPool(64)
        ours, theirs = socket.socketpair()
        self.addCleanup(ours.close)
        self.addCleanup(theirs.close)
        ours.setblocking(False)
        backlog, sent = WriteBuffer(pool), [bytes([n]) * 300_000 for n in range(8)]
        for piece in sent:
            backlog.add([piece])
            assert backlog.write(ours)
        assert pool.in_use > 0
        got = b""
        while len(got) < 8 * 300_000:
            got += theirs.recv(1 << 20)
            assert backlog.write(ours)
        assert got == b"".join(sent)
        assert (pool.in_use, backlog.stored_bytes()) == (0, 0)


if __name__ == "__main__":
    unittest.main()
