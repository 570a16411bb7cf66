"""Parts of the program on their own: one test for each failure found, and for what guards against one."""

from __future__ import annotations

import socket
import unittest
from dataclasses import replace

import msgpack
from player import EXAMPLE

from kelpcroft import messages as m
from kelpcroft.config import parse
from kelpcroft.core.links import SHARED, Links
from kelpcroft.core.reducer import Reducer
from kelpcroft.core.state import MS, SECOND
from kelpcroft.net.buffers import SIZE, Backlog, BufferPool
from kelpcroft.net.clock import Clock
from kelpcroft.net.connections import ClientConnection, ServerConnection
from kelpcroft.net.front import FrontCodec, FrontError
from kelpcroft.net.loop import CLIENTS_NS, IDLE_NS, SILENT_NS, STALLED_NS, Loop
from kelpcroft.net.shelf import ShelfCodec
from zincgrade.interface import Note, Outcome

TRACE = "00000000000000ab"
GOOD = b"*4\r\n$1\r\ng\r\n$4\r\nDONE\r\n$1\r\n-\r\n$2\r\nby\r\n"
NOW = 1_764_576_000 * 1_000 * MS


def call(number: int, item: str = "0a", patience: int = 2_000, client: int = 1, cls: str = "page") -> m.Call:
    trace = f"{number:016x}"
    return m.Call(client, number, cls, trace, patience * MS, item, "0", int(item, 16), 0, 17, False, "", b"")


def router() -> Reducer:
    made = Reducer(parse(EXAMPLE, {}))
    made.start(NOW)
    made.handle(NOW, m.Listening())
    return made


def only(kind: type, effects: list[m.Effect]) -> list[m.Effect]:
    return [e for e in effects if isinstance(e, kind)]


class Parts(unittest.TestCase):
    def test_patience_counts_from_the_send(self) -> None:
        """Requests that had waited unread in a busy router were answered after their clients had gone."""
        data = msgpack.packb([0, 1, "page", [{"trace": TRACE, "patience": "900", "entity": TRACE}, b""]])
        (taken,) = FrontCodec(1, SIZE).feed(memoryview(data), 400 * MS)
        assert isinstance(taken, m.Call)
        self.assertEqual(taken.patience_ns, 500 * MS)

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
            with self.subTest(message=str(message)[:200]), self.assertRaises(FrontError):
                FrontCodec(1, SIZE).feed(memoryview(msgpack.packb(message)))
        r = router()
        self.assertEqual(len(only(m.Dial, r.handle(NOW, call(1)))), 1)
        for other in (call(1, client=2), call(2, cls="none"), call(3, patience=90_000)):
            self.assertEqual(r.handle(NOW, other), [m.Break(other.client, other.call)])
        for number in range(4, 4 + 31):
            self.assertEqual(only(m.HangUp, r.handle(NOW, call(number))), [])
        self.assertEqual(len(only(m.HangUp, r.handle(NOW, call(99)))), 1)

    def test_a_message_has_an_end(self) -> None:
        """Nested lists grow in memory as they come, far past the bytes that wait to be decoded; and hundreds
        of requests at once, withdrawn or not, were each sent on."""
        codec = FrontCodec(1, SIZE)
        with self.assertRaises(FrontError):
            for _ in range(8):
                self.assertEqual(codec.feed(memoryview((b"\x9f" + b"\x90" * 14) * 1_024)), [])
                self.assertTrue(codec.partial())
        good = {"trace": TRACE, "patience": "900", "entity": TRACE}
        calls = [msgpack.packb([0, n, "page", [good, b""]]) for n in range(1, 34)]
        self.assertEqual(len(FrontCodec(1, SIZE).feed(memoryview(b"".join(calls[:32])))), 32)
        with self.assertRaises(FrontError):
            FrontCodec(1, SIZE).feed(memoryview(b"".join([*calls, msgpack.packb([2, "cancel", [1]])])))

    def test_silent_and_idle_clients_make_room(self) -> None:
        """Clients that asked once and stayed held every place; no one else was taken until they went."""
        loop = Loop(parse(EXAMPLE, {}), Clock(lambda: NOW))
        self.addCleanup(loop.selector.close)
        loop.reducer.start(NOW)
        for number, said, age in (
            (1, False, SILENT_NS),
            (2, True, IDLE_NS),
            (3, True, SILENT_NS),
            (4, True, 0),
        ):
            client = ClientConnection(number, socket.socket(), loop.pool, NOW - age - MS)
            loop.clients[number] = client
            client.said = said
            self.addCleanup(client.sock.close)
        loop.clients[3].begun_ns = NOW - MS
        loop.clean(NOW)
        self.assertEqual(list(loop.clients), [3, 4])
        loop.reducer.handle(NOW, call(1, client=3))
        self.assertFalse(loop.make_room(), "one is served, the other was heard just now")
        loop.reducer.handle(NOW, m.CallOff(3, 1))
        self.assertTrue(loop.make_room())
        self.assertEqual(list(loop.clients), [4])
        loop.clients[4].begun_ns = NOW - SILENT_NS - MS
        loop.clean(NOW)
        self.assertEqual(list(loop.clients), [], "half a message, and then nothing")

    def test_requests_are_read_for_a_bounded_time(self) -> None:
        """All clients were read before the feed was looked at again; turns grew longer than the purge rule
        allows.  What is left over remembers since when it may have waited."""
        ticks = iter(range(NOW, NOW + 10**12, CLIENTS_NS // 2))
        loop = Loop(parse(EXAMPLE, {}), Clock(lambda: next(ticks)))
        self.addCleanup(loop.selector.close)
        served: list[int] = []
        loop.serve = lambda peer, events: served.append(peer.number)  # type: ignore[method-assign]
        peers = [ClientConnection(n, socket.socket(), loop.pool, NOW) for n in range(6)]
        for peer in peers:
            self.addCleanup(peer.sock.close)
        loop.take_requests([(peer, 1) for peer in peers], NOW - 5)
        self.assertTrue(0 < len(served) < 6)
        self.assertTrue(all(p.ready_ns == NOW - 5 for p in peers[len(served) :]))

    def test_waits_for_a_connection_are_chosen_anew_on_a_purge(self) -> None:
        """An attempt without an age limit must not be sent up to a dial's time after the purge was told."""
        r = router()
        (dial,) = only(m.Dial, r.handle(NOW, call(1)))
        r.handle(NOW + MS, m.News(2, (m.Purge(10, 0, NOW),)))
        (pull,) = only(m.Pull, r.handle(NOW + 2 * MS, m.LinkUp(2)))
        self.assertGreater(pull.age_limit_ms, 0)

    def test_a_given_up_id_is_kept_off_its_connection(self) -> None:
        """An answer that crossed its KILL would pass for that of the next attempt with the same id."""
        r = router()
        (dial,) = only(m.Dial, r.handle(NOW, call(1)))
        r.handle(NOW, m.LinkUp(dial.link))
        (kill,) = only(m.Kill, r.handle(NOW, m.CallOff(1, 1)))
        self.assertIsNone(r.state.links.find(r.state.links.by_number[dial.link].server, kill.id))
        late = m.Answer(dial.link, kill.id, Outcome.OK, Note.HIT, 0, {}, False, b"late")
        self.assertEqual(r.handle(NOW, late), [])

    def test_an_answered_id_is_kept_off_its_connection(self) -> None:
        """A second copy of a miss ended the next attempt, which ran on: one that must not run twice did."""
        r = router()
        (dial,) = only(m.Dial, r.handle(NOW, call(1)))
        r.handle(NOW, m.LinkUp(dial.link))
        miss = m.Answer(dial.link, call(1).trace, Outcome.MISS, Note.SOURCE_LACKS, 0, {}, False, b"")
        (other,) = only(m.Dial, r.handle(NOW, miss))
        self.assertNotEqual(other.link, dial.link)
        self.assertEqual(r.handle(NOW, miss), [])
        self.assertEqual(len(r.state.attempts), 1)

    def test_a_connection_reset_when_new_tells_nothing(self) -> None:
        """It counted as refused: the server was dead, and cold when it was back."""
        r = router()
        (dial,) = only(m.Dial, r.handle(NOW, call(1)))
        (again,) = only(m.Dial, r.handle(NOW, m.LinkLost(dial.link, "ECONNRESET")))
        self.assertEqual(again.address, dial.address)
        self.assertEqual(len(only(m.Pull, r.handle(NOW, m.LinkUp(again.link)))), 1)
        self.assertFalse(any(n.health.dead for n in r.state.policy.nodes.values()))
        r = router()
        (dial,) = only(m.Dial, r.handle(NOW, call(1)))
        r.handle(NOW, m.LinkLost(dial.link, "ECONNREFUSED", True))
        self.assertTrue(any(n.health.dead for n in r.state.policy.nodes.values()))

    def test_a_quiet_connection_is_given_up(self) -> None:
        """Its answers never came though it stayed open; as the fullest it drew all its server was sent."""
        r = router()
        (dial,) = only(m.Dial, r.handle(NOW, call(1, patience=4_900)))
        (wake,) = [e for e in r.handle(NOW, m.LinkUp(dial.link)) if isinstance(e, m.Wake)]
        self.assertEqual(wake.key, (m.Timer.QUIET, dial.link, 0))
        for number in (2, 3):
            r.handle(NOW + MS, call(number, patience=4_900))
        later = wake.at_ns + SECOND
        heard = m.Answer(dial.link, call(2).trace, Outcome.OK, Note.HIT, 0, {}, False, b"two")
        r.handle(NOW + 2 * MS, heard)
        self.assertEqual(only(m.Drop, r.handle(later, m.Due(wake.key))), [], "one on its own may be slow")
        r.handle(later, call(4))
        effects = r.handle(later + SECOND, m.Due(wake.key))
        self.assertEqual(only(m.Drop, effects), [m.Drop(dial.link)])
        (again,) = only(m.Dial, effects)
        self.assertEqual(again.address, dial.address, "what may run again is tried on the same server")
        self.assertEqual(len(only(m.Pull, r.handle(later + SECOND, m.LinkUp(again.link)))), 3)

    def test_a_connection_behind_slow_fills_is_asked_before_it_is_given_up(self) -> None:
        """While the store was slow, what waited for it gathered on a few connections.  Each was given up
        after half a second and all of it asked for once more, at every cache of the zone, for twelve seconds:
        352 of 3,533 attempts in one router, and half of all requests in time."""
        for answers in (True, False):
            r = router()
            r.state.settings = replace(
                r.state.settings, limits=replace(r.state.settings.limits, may_probe=True)
            )
            (dial,) = only(m.Dial, r.handle(NOW, call(1, patience=4_900)))
            (wake,) = [e for e in r.handle(NOW, m.LinkUp(dial.link)) if isinstance(e, m.Wake)]
            self.assertEqual(wake.at_ns, NOW + r.attempts.quiet_ns() // 2)
            for number in (2, 3, 4):
                r.handle(NOW + MS, call(number, patience=4_900))
            effects = r.handle(wake.at_ns, m.Due(wake.key))
            (check,) = only(m.Check, effects)
            self.assertEqual((check.link, only(m.Drop, effects)), (dial.link, []))
            if answers:
                fit = m.Answer(dial.link, check.id, Outcome.OK, Note.NONE, 0, {}, False, b"")
                r.handle(wake.at_ns + MS, fit)
            due = NOW + r.attempts.quiet_ns()
            effects = r.handle(due, m.Due(wake.key))
            self.assertEqual(bool(only(m.Drop, effects)), not answers)
            self.assertEqual(len(r.state.attempts), 4, "what was out is out, or goes out anew")
            if answers:  # and again where nothing comes for as long after the answer
                due = wake.at_ns + MS + r.attempts.quiet_ns()
                (check,) = only(m.Check, r.handle(due, m.Due(wake.key)))
                self.assertTrue(only(m.Drop, r.handle(due + 200 * MS, m.Due(wake.key))))

    def test_few_share_a_connection_and_an_order_shares_none(self) -> None:
        """One answer that could not be read failed 28 requests, and orders among them for good."""
        links = Links(64, 32)
        endpoint = m.Endpoint("s", "127.0.0.1:1", "edge-1", "box", 0, "in_service", 1.0, 0)
        for n in range(2 * SHARED):
            link = links.find("s", str(n)) or links.add(endpoint)
            assert link
            link.out[str(n)] = n
        self.assertEqual([link.load() for link in links.by_number.values()], [SHARED, SHARED])
        self.assertIsNone(links.find("s", "order", alone=True))
        link = links.add(endpoint)
        assert link
        link.alone, link.out = True, {"order": 99}
        self.assertIsNone(links.find("s", "next"))
        links.most = 3
        self.assertEqual(links.find("s", "next"), links.by_number[1])

    def test_an_answer_that_stops_short_gives_its_connection_up(self) -> None:
        """Its connection stayed open and all that was out on it waited until their clients had gone."""
        loop = Loop(parse(EXAMPLE, {}), Clock(lambda: NOW))
        self.addCleanup(loop.selector.close)
        for number, data in ((1, GOOD), (2, GOOD[:9])):
            server = ServerConnection(number, socket.socket(), loop.pool, NOW - STALLED_NS - MS)
            loop.servers[number] = server
            self.addCleanup(server.sock.close)
            server.codec.feed(memoryview(data))
        loop.clean(NOW)
        self.assertEqual(list(loop.servers), [1])

    def test_a_small_age_limit_is_never_none(self) -> None:
        """0 on the wire means the fresh time: a limit under a millisecond would have allowed any copy."""
        r = router()
        (dial,) = only(m.Dial, r.handle(NOW, call(1)))
        r.handle(NOW, m.LinkUp(dial.link))
        r.handle(NOW + MS, m.News(2, (m.Purge(10, 0, NOW + MS),)))
        (pull,) = only(m.Pull, r.handle(NOW + MS, call(2)))
        self.assertEqual(pull.age_limit_ms, 1)

    def test_answers_in_any_pieces(self) -> None:
        """mypyc once took the codec's body for absent for good; each cut of the bytes gives the same."""
        data = (
            b"*4\r\n$1\r\na\r\n$4\r\nDONE\r\n$8\r\ntell=old\r\n$5\r\nby\r\nt\r\n"
            b"*4\r\n$1\r\nb\r\n$4\r\nLACK\r\n$1\r\n-\r\n$0\r\n\r\n"
        )
        for cut in range(len(data)):
            codec = ShelfCodec(1)
            found = codec.feed(memoryview(data)[:cut]) + codec.feed(memoryview(data)[cut:])
            self.assertEqual(
                [(a.id, a.outcome, a.note, bytes(a.body)) for a in found],
                [("a", Outcome.OK, Note.STALE, b"by\r\nt"), ("b", Outcome.MISS, Note.NONE, b"")],
            )

    def test_what_is_no_answer(self) -> None:
        for bad in (
            b"*900000000\r\n",
            b"+OK\r\n",
            b"*4\r\n$2\r\na\r\n$4\r\nDONE\r\n$1\r\n-\r\n$0\r\n\r\n",
            b"*4\r\n$1\r\na\r\n$4\r\nDONE\r\n$1\r\n-\r\n$999999\r\n",
            b"*4\r\n$" + b"1" * 5_000,
        ):
            with self.subTest(bad=bad[:40]):
                codec = ShelfCodec(1)
                found = codec.feed(memoryview(GOOD + bad))
                # What came whole ahead of it is good, if what follows begins as an answer does.
                self.assertEqual([a.id for a in found], ["g"] if bad.startswith(b"*") else [])
                self.assertNotEqual(codec.fault, "")

    def test_a_body_said_to_be_longer_is_not_passed_on(self) -> None:
        """It took four bytes from the next answer's head, and those end as a body does."""
        codec = ShelfCodec(1)
        self.assertEqual(codec.feed(memoryview(GOOD.replace(b"$2\r\n", b"$6\r\n") + GOOD)), [])
        self.assertNotEqual(codec.fault, "")

    def test_backlog_keeps_bytes_and_gives_buffers_back(self) -> None:
        pool = BufferPool(64)
        ours, theirs = socket.socketpair()
        self.addCleanup(ours.close)
        self.addCleanup(theirs.close)
        ours.setblocking(False)
        backlog, sent = Backlog(pool), [bytes([n]) * 300_000 for n in range(8)]
        for piece in sent:
            backlog.add([piece])
            self.assertTrue(backlog.write(ours))
        self.assertGreater(pool.out, 0)
        got = b""
        while len(got) < 8 * 300_000:
            got += theirs.recv(1 << 20)
            self.assertTrue(backlog.write(ours))
        self.assertEqual(got, b"".join(sent))
        self.assertEqual((pool.out, backlog.size()), (0, 0))


if __name__ == "__main__":
    unittest.main()
