"""The control address's codec on bytes, and the drain as the reducer carries it out."""

from __future__ import annotations

import unittest

from test_parts import NOW, call, only, router

from kelpcroft import messages as m
from kelpcroft.core.service import DRAIN_CUT_NS, END_CUT_NS, END_HOLD_NS, Mode, Service
from kelpcroft.core.state import MS, SECOND
from kelpcroft.net.control import BODY_MOST, HEAD_MOST, ControlCodec

READY = b"GET /control/ready HTTP/1.1\r\nHost: r\r\n\r\n"


def status(answer: object) -> int:
    assert isinstance(answer, bytes), answer
    return int(answer.split(b" ", 2)[1])


class Codec(unittest.TestCase):
    def test_calls_in_any_pieces(self) -> None:
        for size in (1, 2, 7, len(READY)):
            codec, said = ControlCodec(), []
            for at in range(0, len(READY), size):
                said.append(codec.feed(READY[at : at + size]))
            with self.subTest(size=size):
                self.assertEqual([s for s in said if s is not None], [m.Verb.READY])
                self.assertFalse(codec.partial())
        out = b"PUT /control/out-of-service HTTP/1.1\r\nContent-Length: 2\r\n\r\n{}"
        for text, verb in (
            (out, m.Verb.OUT),
            (b"PUT /control/in-service/ HTTP/1.1\r\n\r\n", m.Verb.IN),
            (b"GET /control/ready?now=1 HTTP/1.0\r\n\r\n", m.Verb.READY),
        ):
            self.assertIs(ControlCodec().feed(text), verb)

    def test_what_is_no_call_is_answered_and_nothing_more_is_read(self) -> None:
        cases = [
            (b"GET /control HTTP/1.1\r\n\r\n", 404),
            (b"GET /control/out-of-service HTTP/1.1\r\n\r\n", 405),
            (b"DELETE /control/ready HTTP/1.1\r\n\r\n", 405),
            (b"hello\r\n\r\n", 400),
            (b"GET /control/ready HTTP/1.1\r\nHost: a\r\nHost\r\n\r\n", 400),
            (b"GET /control/ready HTTP/1.1\r\nUpgrade: h2c\r\nConnection: Upgrade\r\n\r\n", 400),
            (b"GET /control/ready HTTP/1.1\r\nX: " + b"a" * HEAD_MOST + b"\r\n\r\n", 431),
            (b"GET /" + b"a" * (HEAD_MOST + 10), 431),
            (b"PUT /control/in-service HTTP/1.1\r\nContent-Length: %d\r\n\r\n" % (BODY_MOST + 1), 413),
            (
                b"PUT /control/in-service HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
                + b"%x\r\n" % (BODY_MOST + 1)
                + b"a" * (BODY_MOST + 1)
                + b"\r\n0\r\n\r\n",
                413,
            ),
        ]
        for text, code in cases:
            with self.subTest(text=text[:60], code=code):
                codec = ControlCodec()
                answer = codec.feed(text)
                self.assertEqual(status(answer), code)
                assert isinstance(answer, bytes)
                self.assertIn(b"Connection: close\r\n", answer)
                self.assertIsNone(codec.feed(READY))
        allowed = ControlCodec().feed(b"POST /control/ready HTTP/1.1\r\n\r\n")
        assert isinstance(allowed, bytes)
        self.assertIn(b"Allow: GET, HEAD\r\n", allowed)

    def test_a_head_is_counted_before_it_is_kept(self) -> None:
        """A caller who sends a head without end is answered at the bound, not when memory runs out."""
        codec = ControlCodec()
        answer = codec.feed(b"GET /control/ready HTTP/1.1\r\n")
        for _ in range(HEAD_MOST // 100 + 2):
            answer = codec.feed(b"X-Filler: " + b"b" * 88 + b"\r\n") if answer is None else answer
        self.assertEqual(status(answer), 431)
        self.assertLessEqual(codec.head, HEAD_MOST)

    def test_half_a_call_is_partial(self) -> None:
        codec = ControlCodec()
        self.assertIsNone(codec.feed(b"GET /control/re"))
        self.assertTrue(codec.partial())


class Modes(unittest.TestCase):
    def test_a_drain_refuses_after_its_cut_and_never_exits(self) -> None:
        service = Service()
        self.assertTrue(service.drain(NOW))
        self.assertFalse(service.drain(NOW + 1))
        self.assertTrue(service.letting_go)
        self.assertTrue(service.admits(NOW + DRAIN_CUT_NS - 1))
        self.assertFalse(service.admits(NOW + DRAIN_CUT_NS))
        self.assertFalse(service.may_exit(NOW + 60 * SECOND, 0, 0))
        self.assertTrue(service.resume(NOW + 5 * SECOND))
        self.assertTrue(service.admits(NOW + 5 * SECOND))
        self.assertFalse(service.letting_go)

    def test_an_end_beside_another_process_waits_for_clients_up_to_its_hold(self) -> None:
        shared, alone = Service(shared=True), Service()
        for service in (shared, alone):
            service.end(NOW)
            self.assertFalse(service.resume(NOW + 1))
            self.assertIs(service.mode, Mode.ENDING)
            self.assertFalse(service.may_exit(NOW + 10 * SECOND, 1, 0))
        self.assertFalse(shared.admits(NOW + END_CUT_NS))
        self.assertTrue(alone.admits(NOW + END_CUT_NS))
        self.assertFalse(shared.may_exit(NOW + MS, 0, 3))
        self.assertTrue(shared.may_exit(NOW + MS, 0, 0))
        self.assertTrue(shared.may_exit(NOW + END_HOLD_NS, 0, 3))
        self.assertTrue(alone.may_exit(NOW + MS, 0, 3))


class Drain(unittest.TestCase):
    def test_a_drain_through_the_reducer(self) -> None:
        r = router()
        r.handle(NOW, m.ClientCame(1))
        self.assertEqual(
            r.handle(NOW, m.Control(7, m.Verb.READY)), [m.Reply(7, True, {"ready": True, "service": "in"})]
        )
        effects = r.handle(NOW, m.Control(8, m.Verb.OUT))
        self.assertEqual(only(m.Release, effects), [m.Release(True)])
        self.assertEqual(
            only(m.Reply, effects),
            [m.Reply(8, True, {"ready": False, "service": "out", "why": "out of service"})],
        )
        self.assertEqual(
            only(m.Reply, r.handle(NOW, m.Control(9, m.Verb.READY)))[0],
            m.Reply(9, False, {"ready": False, "service": "out", "why": "out of service"}),
        )
        self.assertEqual(r.handle(NOW, m.AskHealth(1, 1)), [m.TellHealth(1, 1, False)])
        # Requests on kept connections are served for a while, then refused, at once.
        self.assertEqual(only(m.Dial, r.handle(NOW + MS, call(2))) != [], True)
        late = NOW + DRAIN_CUT_NS
        self.assertEqual(r.handle(late, call(3)), [m.Decline(1, 3, 0)])
        effects = r.handle(late + SECOND, m.Control(10, m.Verb.IN))
        self.assertEqual(only(m.Release, effects), [m.Release(False)])
        self.assertEqual(r.handle(late + SECOND, m.AskHealth(1, 4)), [m.TellHealth(1, 4, True)])
        self.assertEqual(only(m.Decline, r.handle(late + SECOND, call(5))), [])
        self.assertEqual(only(m.Exit, r.handle(late + 9 * SECOND, m.Control(11, m.Verb.READY))), [])


if __name__ == "__main__":
    unittest.main()
