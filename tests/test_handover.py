"""The file that an upgrade hands over: every reason not to take it, and what the reducer makes of it."""

from __future__ import annotations

import unittest

import orjson
from test_parts import NOW, only, router

from kelpcroft import messages as m
from kelpcroft.core.state import SECOND
from kelpcroft.store.handover import AGE_MOST_NS, SIZE_MOST, Handed, decode, encode, path_of


class File(unittest.TestCase):
    def test_what_is_written_is_read(self) -> None:
        data = encode("n3", 4711, NOW, False, NOW - SECOND)
        self.assertEqual(decode(data, "n3", NOW + SECOND), (Handed(False, NOW - SECOND, NOW, 4711), ""))
        self.assertEqual(path_of("/run/x/", "n3"), "/run/x/kelpcroft-n3.json")

    def test_what_is_not_taken(self) -> None:
        good = orjson.loads(encode("n3", 4711, NOW, True, NOW))
        cases = [
            (b"x" * (SIZE_MOST + 1), "is over"), (b"{", "is not JSON"), (b"[]", "is not a JSON object"),
            (orjson.dumps({**good, "v": 2}), "not a version known"),
            (orjson.dumps({**good, "name": "n4"}), "another router's"),
            (orjson.dumps({**good, "pid": "4711"}), "pid:"),
            (orjson.dumps({**good, "since_ms": True}), "since_ms:"),
            (orjson.dumps({**good, "service": "maybe"}), "neither in nor out"),
            (orjson.dumps({k: v for k, v in good.items() if k != "written_ms"}), "written_ms:"),
        ]
        for data, why in cases:
            with self.subTest(why=why):
                found, said = decode(data, "n3", NOW)
                self.assertIsNone(found)
                self.assertIn(why, said)
        self.assertIn("ago", decode(encode("n3", 1, NOW, True, NOW), "n3", NOW + AGE_MOST_NS + SECOND)[1])
        self.assertIn("future", decode(encode("n3", 1, NOW + 60 * SECOND, True, NOW), "n3", NOW)[1])


class Reducer(unittest.TestCase):
    def test_a_drain_is_left_behind_and_taken_up(self) -> None:
        r = router()
        self.assertEqual(only(m.Keep, r.handle(NOW, m.Control(1, m.Verb.OUT))), [m.Keep(False, NOW)])
        back = r.handle(NOW + SECOND, m.Control(2, m.Verb.IN))
        self.assertEqual(only(m.Keep, back), [m.Keep(True, NOW + SECOND)])
        self.assertEqual(only(m.Keep, r.handle(NOW + SECOND, m.Control(3, m.Verb.IN))), [])   # no change
        fresh = router()
        effects = fresh.handle(NOW, m.Handover(False, NOW - SECOND))
        self.assertEqual(only(m.Release, effects), [m.Release(True)])
        (reply,) = only(m.Reply, fresh.handle(NOW, m.Control(4, m.Verb.READY)))
        assert isinstance(reply, m.Reply)
        self.assertFalse(reply.ok)
        self.assertEqual(fresh.handle(NOW, m.Handover(True, NOW)), [])
        self.assertEqual(len(only(m.Log, router().handle(NOW, m.Handover(None, why="x: is not JSON")))), 1)


if __name__ == "__main__":
    unittest.main()
