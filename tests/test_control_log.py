"""The control log's state, tail and snapshots, and a replica's answers, in virtual time without a network."""

from __future__ import annotations

import unittest
from typing import Any

import orjson

from kelpcroft import messages as m
from kelpcroft.config import parse
from kelpcroft.controllog import log as control_log
from kelpcroft.controllog.follower import Follower, Head, Position, Verdict
from kelpcroft.controllog.log import ControlLog, LogFull, canonical, mark_of
from kelpcroft.controllog.replica import Answer, CallUpstream, Feed, Options, Refuse, Replica, Watch
from kelpcroft.controllog.sources import AGAIN_NS, HOME_NS, SPREAD_NS, Sources
from kelpcroft.core.reducer import Reducer
from kelpcroft.operator.model import File, Replicas
from kelplab.hollow.configuration import Size, configuration

MS, SECOND = 10**6, 10**9
NOW = 1_764_576_000 * SECOND
UPSTREAM = ("10.0.0.9", 7000)


def line(name: str, status: str = "active") -> dict[str, Any]:
    return {"name": name, "address": "10.0.0.1:1", "zone": "a", "type": "box", "status": status}


def whole(number: int, *names: str) -> dict[str, Any]:
    return {"n": number, "members": {"snapshot": True, "endpoints": [line(name) for name in names]}}


def purge(number: int, at_ms: int) -> dict[str, Any]:
    return {"n": number, "purge": {"key": f"{number:016x}", "at": at_ms}}


class Log(unittest.TestCase):
    def filled(self, purges: int, at_ms: int = 0) -> ControlLog:
        log = ControlLog(66_000)
        log.add(whole(1, "a", "b"), 0)
        for n in range(2, purges + 2):
            log.add(purge(n, at_ms), 0)
        return log

    def test_the_tail_is_told_by_number_and_mark(self) -> None:
        log = self.filled(5)
        self.assertEqual((log.last, log.mark), (6, mark_of(canonical(purge(6, 0)))))
        self.assertTrue(log.holds(4, mark_of(canonical(purge(4, 0)))))
        self.assertFalse(log.holds(4, log.mark))
        self.assertEqual([orjson.loads(text)["n"] for text in log.after(4)], [5, 6])

    def test_state_and_tail_are_bounded(self) -> None:
        log = self.filled(3 * control_log.TAIL_EVENTS, at_ms=-100_000)
        self.assertLessEqual(len(log.tail), control_log.TAIL_EVENTS)
        self.assertLessEqual(log.tail_bytes, control_log.TAIL_BYTES)
        self.assertEqual(log.purges, {}, "those that no longer matter are not kept")
        self.assertFalse(log.holds(3, mark_of(canonical(purge(3, -100_000)))), "it is older than the tail")
        for n in range(control_log.PURGES_MOST + 10):
            log.apply(purge(n, 1_000), 1_000)
        self.assertEqual(len(log.purges), control_log.PURGES_MOST)
        with self.assertRaises(LogFull):
            log.snapshot(1_000)
        self.assertEqual(len(log.snapshot(70_000)), 1, "once none of them matters it is whole again")

    def test_a_snapshot_is_the_state_and_what_matters(self) -> None:
        log = self.filled(2)
        log.add({"n": 4, "members": {"snapshot": False, "endpoints": [line("a", "leaving"), line("c")]}}, 0)
        log.add({"n": 5, "members": {"snapshot": False, "endpoints": [line("b", "left")]}}, 0)
        log.add({"n": 6, "purge": {"group": 3, "at": 50_000}}, 50_000)
        events = [orjson.loads(text) for text in log.snapshot(67_000)]
        self.assertEqual({event["n"] for event in events}, {6})
        told = {e["name"]: e["status"] for e in events[0]["members"]["endpoints"]}
        self.assertEqual(told, {"a": "leaving", "c": "active"})
        self.assertEqual([event["purge"] for event in events[1:]], [{"group": 3, "at": 50_000}])

    def test_odd_events_are_named_and_handed_on(self) -> None:
        log = self.filled(0)
        self.assertIn("without a number", log.add({"purge": {}}, 0))
        self.assertIn("event 2: KeyError", log.add({"n": 2, "purge": {"key": "ff"}}, 0))
        self.assertEqual(log.add({"n": 3, "notice": "new kind"}, 0), "")
        self.assertEqual(len(log.after(1)), 2)


class Following(unittest.TestCase):
    def test_what_an_answer_means(self) -> None:
        for what, head, due in (
            ("the tail", Head(12, "m", 10_000, False), Verdict.TAKE),
            ("nothing new", Head(10, "k", 10_000, False), Verdict.TAKE),
            ("a later state", Head(3, "m", 11_001, True), Verdict.TAKE),
            ("a state that may be earlier", Head(30, "m", 10_900, True), Verdict.DEPARTURES),
            ("lower numbers, later", Head(3, "m", 11_001, False), Verdict.RESYNC),
            ("lower numbers, not later", Head(9, "m", 10_500, False), Verdict.BEHIND),
        ):
            with self.subTest(what=what):
                follower = Follower()
                follower.act(Head(10, "k", 10_000, True), Verdict.TAKE)
                verdict = follower.judge(head)
                follower.act(head, verdict)
                self.assertIs(verdict, due)
                self.assertEqual(follower.asks() == Position(), due is Verdict.RESYNC)

    def test_a_doubtful_state_is_followed_until_one_is_later(self) -> None:
        follower = Follower(10_000)
        for head, due in (
            (Head(5, "a", 9_000, True), Verdict.DEPARTURES),
            (Head(6, "b", 10_500, False), Verdict.DEPARTURES),
            (Head(6, "b", 11_001, False), Verdict.RESYNC),
            (Head(7, "c", 11_200, True), Verdict.TAKE),
            (Head(8, "d", 11_200, False), Verdict.TAKE),
        ):
            verdict = follower.judge(head)
            follower.act(head, verdict)
            self.assertIs(verdict, due, head)
        self.assertEqual(follower.position, Position(8, "d"))

    def test_sources_spread_move_and_go_home(self) -> None:
        addresses = tuple((f"10.0.0.{n}", 1) for n in range(4))
        found = [Sources(addresses, seed) for seed in range(400)]
        homes = [sources.address for sources in found]
        self.assertTrue(all(60 < homes.count(address) < 140 for address in addresses), "evenly")
        left = [sources for sources in found if sources.address == addresses[0]]
        for sources in left:
            sources.failed(NOW)
        moved = [sources.address for sources in left]
        self.assertTrue(
            all(moved.count(address) > len(left) // 5 for address in addresses[1:]), "so are they"
        )
        sources = Sources(addresses, 7)
        waits = [sources.failed(NOW) for _ in range(40)]
        self.assertTrue(all(0 <= w < SPREAD_NS for w in waits[:3]))
        self.assertTrue(all(AGAIN_NS // 2 <= w < 2 * AGAIN_NS for w in waits[3:]))
        sources.failed(NOW)
        self.assertFalse(sources.answered(NOW + HOME_NS // 4))
        self.assertTrue(sources.answered(NOW + 2 * HOME_NS))
        self.assertEqual(sources.at, sources.home)


class Answers(unittest.TestCase):
    def replica(self, **more: Any) -> Replica:
        found = Replica(Options((UPSTREAM,), **more), 1)
        found.start(NOW)
        found.on_upstream(NOW, Feed(1, (whole(1, "a"),)))
        return found

    def told(self, replica: Replica, now: int, watch: Watch) -> list[Any]:
        return [
            orjson.loads(e.body) if isinstance(e, Answer) else e
            for e in replica.on_watch(now, watch)
            if isinstance(e, (Answer, Refuse))
        ]

    def test_calls_of_a_watcher_are_bounded_whatever_the_rate_of_events(self) -> None:
        replica, now, calls = self.replica(), NOW, 0
        position, marked, out = Position(), True, False
        for n in range(2, 302):  # a purge each 10 ms, for 3 s
            now += 10 * MS
            effects = [] if out else replica.on_watch(now, Watch(7, position, marked, SECOND))
            calls, out = calls + (not out), True
            effects += replica.on_upstream(now, Feed(n, (purge(n, now // MS),)))
            effects += replica.on_due(now)
            for e in effects:
                if isinstance(e, Answer):
                    told = orjson.loads(e.body)
                    position, out = Position(told["n"], told["mark"]), False
        self.assertLessEqual(calls, 3 * SECOND // replica.options.batch_ns + 2)
        self.assertGreater(position.number, 250)

    def test_past_its_lease_it_says_so_at_once(self) -> None:
        replica = self.replica()
        mark = replica.log.mark
        self.assertEqual(self.told(replica, NOW, Watch(7, Position(1, mark), True, SECOND)), [])
        late = replica.next_due()
        assert late is not None
        end = NOW + replica.options.lease_ns + 1
        told = [e for e in replica.on_due(end) if isinstance(e, Answer)]
        self.assertEqual(orjson.loads(told[0].body)["as_of"], NOW // MS)
        self.assertTrue(replica.stale)
        self.assertEqual(len(self.told(replica, end + SECOND, Watch(7, Position(1, mark), True, SECOND))), 1)
        refused = self.told(replica, end + SECOND, Watch(8, Position(1), False, SECOND))
        self.assertIsInstance(refused[0], Refuse, "one that knows no marks could not tell")

    def test_watches_are_bounded(self) -> None:
        replica = self.replica(watches_most=2)
        mark = replica.log.mark
        for n in range(2):
            self.assertEqual(self.told(replica, NOW, Watch(n, Position(1, mark), True, SECOND)), [])
        self.assertIsInstance(self.told(replica, NOW, Watch(9, Position(1, mark), True, SECOND))[0], Refuse)
        replica.on_gone(0)
        self.assertEqual(self.told(replica, NOW, Watch(9, Position(1, mark), True, SECOND)), [])

    def test_a_follower_that_is_ahead_is_waited_for(self) -> None:
        """News that it has from another replica is on its way; it is answered by the end of its wait."""
        replica = self.replica()
        ahead = purge(2, NOW // MS)
        watch = Watch(7, Position(2, mark_of(canonical(ahead))), True, SECOND)
        self.assertEqual(self.told(replica, NOW, watch), [])
        self.assertEqual(
            [e for e in replica.on_upstream(NOW + 5 * MS, Feed(2, (ahead,))) if isinstance(e, Answer)], []
        )
        told = [e for e in replica.on_due(NOW + SECOND) if isinstance(e, Answer)]
        self.assertEqual(orjson.loads(told[0].body)["events"], [])

    def test_a_list_service_that_repeats_itself_is_not_asked_in_a_loop(self) -> None:
        replica, now, calls = self.replica(), NOW, 0
        effects = replica.on_upstream(now, Feed(1, (whole(1, "a"),)))
        while now < NOW + 10 * SECOND:
            call = next(e for e in effects if isinstance(e, CallUpstream))
            now, calls = now + call.delay_ns + MS, calls + 1
            effects = replica.on_upstream(now, Feed(1, (whole(1, "a"),)))
        self.assertLess(calls, 10 * SECOND // replica.options.batch_ns + 5)

    def test_a_history_in_pieces(self) -> None:
        replica = Replica(Options((UPSTREAM,)), 1)
        replica.start(NOW)
        replica.on_upstream(NOW, Feed(0, (whole(1, "a"), purge(2, NOW // MS)), more=True))
        replica.on_upstream(NOW, Feed(0, (purge(3, NOW // MS),), more=True))
        replica.on_upstream(NOW, Feed(3, ()))
        self.assertEqual((replica.log.last, replica.stale, len(replica.log.purges)), (3, False, 2))


class AtARouter(unittest.TestCase):
    def test_replicas_are_taken_up_and_left_when_the_file_is_read_again(self) -> None:
        """Numbers of the feed and of replicas do not go together: the whole list is asked for."""
        raw = configuration(Size(4, 12, 2), 0, "10.0.0.9:1", "127.0.0.1:1", "127.0.0.1:2")
        reducer = Reducer(parse(raw, {}))
        reducer.start(NOW)
        known = set(reducer.state.endpoints)
        effects = reducer.handle(NOW, m.Rules(File(replicas=Replicas((("10.0.0.1", 1),)))))
        self.assertEqual([e.feed for e in effects if isinstance(e, m.Move)], [("10.0.0.1", 1)])
        effects = reducer.handle(NOW, m.Due((m.Timer.FEED, 0, 0)))
        polls = [(e.after, e.mark) for e in effects if isinstance(e, m.Poll)]
        self.assertEqual(polls, [(0, "")])
        effects = reducer.handle(NOW, m.Rules(File()))
        self.assertEqual([e.feed for e in effects if isinstance(e, m.Move)], [("10.0.0.9", 1)])
        self.assertEqual([(e.after, e.mark) for e in effects if isinstance(e, m.Poll)], [(0, None)])
        self.assertEqual(set(reducer.state.endpoints), known, "what is known stays meanwhile")

    def test_a_replica_that_answers_at_once_with_nothing_is_left(self) -> None:
        raw = configuration(Size(4, 12, 2), 0, "10.0.0.9:1", "127.0.0.1:1", "127.0.0.1:2")
        reducer = Reducer(parse(raw, {}))
        addresses = (("10.0.0.1", 1), ("10.0.0.2", 1))
        effects, now, polls = reducer.start(NOW, None, 0, Replicas(addresses)), NOW, 0
        moved = [e.feed for e in effects if isinstance(e, m.Move)]
        self.assertIn(moved[0], addresses)
        effects = reducer.handle(now, m.Due((m.Timer.FEED, 0, 0)))
        while any(isinstance(e, m.Poll) for e in effects) and polls < 50:
            now, polls = now + 2 * MS, polls + 1
            news = m.News(1, (), mark="aa", as_of_ms=now // MS)
            effects = reducer.handle(now, news)
        self.assertLess(polls, 10)
        self.assertEqual([e.event for e in effects if isinstance(e, m.Log)], ["replica.left"])
        self.assertEqual(len([e for e in effects if isinstance(e, m.Move)]), 1)


if __name__ == "__main__":
    unittest.main()
