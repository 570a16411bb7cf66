"""Failures of about 40 routers that each see little, one test each.  No bench, no socket, no clock."""

from __future__ import annotations

import unittest

from kit import MS, S, ask, fetches, policy, servers

from zincgrade import interface as api
from zincgrade.interface import Note, Outcome
from zincgrade.policy import Policy


def answer(p: Policy, now: int, f: api.Fetch, note: Note, link: float, outcome: Outcome = Outcome.OK,
           took: int = 100 * MS) -> list[api.Action]:
    """An attempt's end with a report of how full the location's link is."""
    return p.handle(now, api.AttemptEnded(f.id, 0, f.cache, outcome, took, outcome is Outcome.OK, note, 0,
                                          {"x1": link}))


def warmed(**changes: object) -> Policy:
    """A router that has seen a few requests of usual size, all hits."""
    p = policy(weights="off", pace_kb_per_s=0.0, direct=True, **changes)
    for n in range(20):
        (f,) = fetches(ask(p, S + n * 50 * MS, f"w{n}", 1000 + n))
        answer(p, S + n * 50 * MS + 100 * MS, f, Note.HIT, 0.5)
    return p


class FullLink(unittest.TestCase):
    """All copies went void at once, and every router of the zone went on asking for fills.  Fills whose
    clients have left run on, so the link held sixty times what fits until the day's end."""

    def test_no_fill_over_a_link_that_is_told_to_be_jammed(self) -> None:
        p = warmed()
        (f,) = fetches(ask(p, 3 * S, "last", 1))
        answer(p, 3 * S + 100 * MS, f, Note.FILLED, 12.0)
        looks = [fetches(ask(p, 3 * S + (n + 3) * 50 * MS, f"n{n}", n)) for n in range(2, 22)]
        self.assertEqual([f.source == f.cache for (f,) in looks], [True] * 20, "looks, and no fills")
        ended = [answer(p, 4500 * MS, f, Note.NONE, 12.0, Outcome.MISS) for (f,) in looks]
        self.assertTrue(all(isinstance(a, api.Refuse) for (a,) in ended), "refused at once")

    def test_what_is_held_is_still_asked_for(self) -> None:
        p = warmed()
        (f,) = fetches(ask(p, 3 * S, "last", 1))
        answer(p, 3 * S + 100 * MS, f, Note.FILLED, 12.0)
        (f,) = fetches(ask(p, 3 * S + 200 * MS, "again", 1000))
        self.assertNotEqual(f.source, f.cache, "held here: the gate of fills has no say")

    def test_fills_go_on_once_the_link_is_free(self) -> None:
        p = warmed()
        (f,) = fetches(ask(p, 3 * S, "last", 1))
        answer(p, 3 * S + 100 * MS, f, Note.FILLED, 12.0)
        (f,) = fetches(ask(p, 3 * S + 200 * MS, "look", 2))
        answer(p, 3 * S + 210 * MS, f, Note.NONE, 0.8, Outcome.MISS)
        (f,) = fetches(ask(p, 3 * S + 300 * MS, "fill", 3))
        self.assertNotEqual(f.source, f.cache)

    def test_an_old_report_tells_nothing(self) -> None:
        p = warmed()
        (f,) = fetches(ask(p, 3 * S, "last", 1))
        answer(p, 3 * S + 100 * MS, f, Note.FILLED, 12.0)
        (f,) = fetches(ask(p, 7 * S, "later", 2))
        self.assertNotEqual(f.source, f.cache)

    def test_no_way_round_a_jammed_link(self) -> None:
        """With no cache to ask, requests went straight to parents, which takes the same link."""
        p = warmed()
        (f,) = fetches(ask(p, 3 * S, "last", 1))
        answer(p, 3 * S + 100 * MS, f, Note.FILLED, 12.0)
        gone = tuple(x for x in servers() if x.role is not api.Role.CACHE)
        p.handle(3 * S + 150 * MS, api.ServerList("replace", gone))
        (a,) = [x for x in ask(p, 3 * S + 200 * MS, "none", 2) if not isinstance(x, api.SetTimer)]
        self.assertIsInstance(a, api.Refuse)


if __name__ == "__main__":
    unittest.main()
