"""A router process on loopback sockets keeps the limits of its operator's file, whatever the servers do.

Times are compared with lower bounds, or with upper bounds far above the expected value, so that the results
are the same on a slow machine.
"""

from __future__ import annotations

import unittest
from collections.abc import Callable

from testbed.router_process import ClientResponse, RouterProcess
from testbed.stand_ins import MS, ScriptedReply, ServerCommand, StandInServers, answer_at_once

HEAD = 'kelpcroft version=1\nroute "orders" { match class="order"; timeout "1.5s"; attempts most=1; }\n'
ONE = ("cache1", "parent", "origin")
LONG = 10_000  # client timeout in ms, which no test here reaches
SETTINGS = {
    "classes": [
        {
            "name": "page",
            "idempotency": "safe",
            "aim_ns": 250 * MS,
            "aim_stretch": 2.0,
            "give_up_ns": LONG * MS,
            "credit": 1.0,
            "late_value": 0.2,
        },
        {
            "name": "order",
            "idempotency": "unsafe",
            "aim_ns": 700 * MS,
            "give_up_ns": LONG * MS,
            "credit": 3.0,
        },
    ]
}


def always(word: str, after_ms: float = 0.0) -> Callable[[str, ServerCommand], ScriptedReply]:
    return lambda server, seen: ScriptedReply(word, after_ms, cache_status="")


class Loopback(unittest.TestCase):
    def start(self, world: StandInServers, rules: str) -> RouterProcess:
        world.__enter__()
        self.addCleanup(world.__exit__)
        router = RouterProcess(world, HEAD + rules, settings=SETTINGS)
        router.__enter__()
        self.addCleanup(router.__exit__)
        return router

    def ask(
        self,
        script: Callable[[str, ServerCommand], ScriptedReply],
        rules: str,
        cls: str = "page",
        servers: tuple[str, ...] = ("cache1", "cache2", "parent", "origin"),
    ) -> tuple[StandInServers, ClientResponse]:
        world = StandInServers(script, servers)
        router = self.start(world, rules)
        return world, router.client().request(cls, patience_ms=LONG, body=b"dish" if cls == "order" else b"")

    def test_errors_are_tried_again_as_often_as_declared(self) -> None:
        for most in (1, 2):
            with self.subTest(most=most):
                world, answer = self.ask(
                    always("BROKE"), f'route "rest" {{ match; attempts most={most}; pause "120ms"; }}'
                )
                assert (answer.kind, answer.fields) == ("refused", {"pause": "120"})
                assert len(world.requests()) == most

    def test_an_outcome_that_is_not_named_is_not_tried_again(self) -> None:
        world, answer = self.ask(
            always("BROKE"), 'route "rest" { match; attempts most=3 on="timeout,reset"; }'
        )
        assert (answer.kind, len(world.requests())) == ("refused", 1)

    def test_resets_and_cut_answers_count_as_attempts(self) -> None:
        for word in ("reset", "cut"):
            with self.subTest(word=word):
                world, answer = self.ask(always(word), 'route "rest" { match; attempts most=2; }')
                assert (answer.kind, len(world.requests())) == ("refused", 2)

    def test_misses_and_full_servers_are_moves(self) -> None:
        for word in ("LACK", "WAIT", "PAST"):
            for most in (0, 1):
                with self.subTest(word=word, most=most):
                    rules = f'route "rest" {{ match; attempts most=1; moves most={most}; }}'
                    world, answer = self.ask(always(word), rules)
                    assert (answer.kind, len(world.requests())) == ("refused", 1 + most)

    def test_a_refused_connection_is_a_move(self) -> None:
        for most, kind in ((0, "refused"), (4, "served")):
            with self.subTest(most=most):
                world = StandInServers(answer_at_once, ONE)
                world.refuse_connections("cache1")
                router = self.start(world, f'route "rest" {{ match; attempts most=1; moves most={most}; }}')
                assert router.client().request("page", patience_ms=LONG).kind == kind

    def test_a_silent_server_costs_an_attempts_time(self) -> None:
        world, answer = self.ask(
            always("silent"), 'route "rest" { match; attempt timeout="150ms"; attempts most=2; }'
        )
        first, second = world.requests()
        assert second.received_ns - first.received_ns >= 145 * MS
        assert answer.kind == "refused"
        assert 300 <= answer.latency_ms < LONG / 2, answer
        assert int(first.fields["limit"]) <= 150, "the server receives the attempt timeout"

    def test_an_answer_that_comes_late_is_nobodys(self) -> None:
        """A response after the attempt timeout must not end this request or the next one."""
        world = StandInServers(
            lambda server, seen: ScriptedReply("DONE", 300 if seen.fields["chunk"] == "1" else 0)
        )
        router = self.start(world, 'route "rest" { match; attempt timeout="100ms"; attempts most=1; }')
        client = router.client()
        late = client.request("page", patience_ms=LONG, part=1)
        assert late.kind == "refused"
        kinds = [client.request("page", patience_ms=LONG, part=n).kind for n in range(2, 60)]
        assert set(kinds) == {"served"}
        with world.lock:
            assert [s.verb for s in world.commands if s.fields.get("chunk") == "1"] == ["PULL"]
            assert sum(s.verb == "KILL" for s in world.commands) == 1

    def test_the_whole_wait_ends_before_the_client_does(self) -> None:
        for timeout in ("400ms", "4%"):
            with self.subTest(timeout=timeout):
                _world, answer = self.ask(
                    always("silent"), f'route "rest" {{ match; timeout "{timeout}"; pause "90ms"; }}'
                )
                assert (answer.kind, answer.fields) == ("refused", {"pause": "90"})
                assert 395 <= answer.latency_ms < LONG / 2, answer

    def test_back_off_lies_between_attempts(self) -> None:
        world, _answer = self.ask(
            always("BROKE"), 'route "rest" { match; attempts most=2; backoff first="200ms"; }'
        )
        first, second = world.requests()
        assert second.received_ns - first.received_ns >= 195 * MS

    def test_a_copy_is_sent_after_its_time_and_answers_first(self) -> None:
        def script(server: str, seen: ServerCommand) -> ScriptedReply:
            return (
                ScriptedReply(body=server.encode()) if len(world.requests()) > 1 else ScriptedReply("silent")
            )

        world = StandInServers(script)
        router = self.start(world, 'route "rest" { match; copies most=1 after="200ms"; }')
        answer = router.client().request("page", patience_ms=LONG)
        first, second = world.requests()
        assert (answer.kind, answer.body.decode()) == ("served", second.server)
        assert first.server != second.server
        assert second.received_ns - first.received_ns >= 195 * MS
        assert answer.latency_ms >= 195

    def test_a_copy_after_a_quantile_waits_for_its_least(self) -> None:
        """Responses take 5 ms; a request without a response is hedged, but not before 'least'."""

        def script(server: str, seen: ServerCommand) -> ScriptedReply:
            same = list(world.requests(seen.request_id))
            return (
                ScriptedReply("silent")
                if seen.fields["chunk"] == "99" and len(same) < 2
                else ScriptedReply("DONE", 5)
            )

        world = StandInServers(script)
        router = self.start(world, 'route "rest" { match; copies most=1 after="p95" least="120ms"; }')
        client = router.client()
        for part in range(60):
            assert client.request("page", patience_ms=LONG, part=part).kind == "served"
        trace = client.send_request("page", patience_ms=LONG, part=99)
        (answer,) = client.responses(1)
        first, second = world.requests(trace)
        assert answer.kind == "served"
        assert second.received_ns - first.received_ns >= 115 * MS

    def test_a_budget_denies_at_once(self) -> None:
        world = StandInServers(always("BROKE"))
        router = self.start(
            world,
            'budget "b" ratio=0.0 burst=2\nroute "rest" { match; attempts most=2 budget="b"; pause "80ms"; }',
        )
        client = router.client()
        answers = [client.request("page", patience_ms=LONG, object=f"{n:016x}") for n in range(5)]
        assert len(world.requests()) == 5 + 2, "the budget has two tokens for retries"
        assert {(a.kind, a.fields["pause"]) for a in answers} == {("refused", "80")}

    def test_a_limit_refuses_what_is_over_it(self) -> None:
        world = StandInServers(always("DONE", 400))
        router = self.start(world, 'route "rest" { match; limit open=3; pause "70ms"; }')
        client = router.client()
        for part in range(8):
            client.send_request("page", patience_ms=LONG, part=part)
        kinds = [a.kind for a in client.responses(8)]
        assert sorted(kinds) == ["refused"] * 5 + ["served"] * 3
        assert kinds[:5] == ["refused"] * 5, "rejected immediately: before the first is served"
        assert len(world.requests()) == 3
        assert client.request("page", patience_ms=LONG).kind == "served", (
            "the open requests have been released"
        )

    def test_each_request_is_treated_as_its_route_says(self) -> None:
        world = StandInServers(always("BROKE"))
        router = self.start(
            world,
            'route "tails" { match part="8.."; attempts most=1; pause "11ms"; }\n'
            'route "mine" { match object="7f" group="17"; attempts most=2; pause "22ms"; }\n'
            'route "rest" { match; attempts most=1; pause "33ms"; }',
        )
        client = router.client()
        for more, pause in (
            ({"part": 9}, "11"),
            ({"part": 7}, "22"),
            ({"object": "0" * 16}, "33"),
            ({"group": 3}, "33"),
        ):
            assert client.request("page", patience_ms=LONG, **more).fields["pause"] == pause, more

    def test_an_order_reaches_the_store_once_at_most(self) -> None:
        """With every kind of failure, and a reload of the file while the order is in flight."""
        for word in ("silent", "BROKE", "reset", "cut", "LACK", "WAIT", "PAST", "DONE"):
            with self.subTest(word=word):
                world = StandInServers(always(word, 60))
                router = self.start(
                    world, 'route "rest" { match; attempts most=3; copies most=1 after="30ms"; }'
                )
                client = router.client()
                trace = client.send_request("order", patience_ms=2_000, body=b"dish")
                told = router.reload_rules(
                    HEAD.replace("1.5s", "1.2s") + 'route "rest" { match; attempts most=4; }'
                )
                assert told["event"] == "rules.taken"
                (answer,) = client.responses(1)
                runs = [s for s in world.requests(trace) if word not in ("LACK", "WAIT", "PAST")]
                assert len(runs) <= 1
                assert answer.kind == (
                    "served"
                    if word == "DONE"
                    else "refused"
                    if word in ("LACK", "WAIT", "PAST")
                    else "failed"
                )

    def test_a_file_read_again_binds_what_comes_after(self) -> None:
        world = StandInServers(always("BROKE"))
        router = self.start(world, 'route "rest" { match; attempts most=1; pause "10ms"; }')
        client = router.client()
        assert client.request("page", patience_ms=LONG).fields == {"pause": "10"}
        told = router.reload_rules(
            HEAD + 'route "rest" { match; attempts most=1; pause "20"; limit open=0; }'
        )
        assert (told["event"], told["faults"]) == ("rules.refused", 2)
        assert "rules.kdl:3:" in told["first"]
        assert "bad-duration" in told["first"]
        assert client.request("page", patience_ms=LONG).fields == {"pause": "10"}, "nothing has changed"
        assert (
            router.reload_rules(HEAD + 'route "rest" { match; attempts most=1; pause "20ms"; }')["routes"]
            == 2
        )
        assert client.request("page", patience_ms=LONG).fields == {"pause": "20"}

    def test_a_router_does_not_start_with_a_faulty_file(self) -> None:
        with (
            StandInServers() as world,
            RouterProcess(world, HEAD + 'route "rest" { match; attempts most=0; moves; }') as router,
        ):
            assert router.process.wait(20) == 2
            lines = router.log_path.read_text().splitlines()
            assert [line.split(": ")[1] for line in lines] == ["bad-count", "missing-value"]


if __name__ == "__main__":
    unittest.main()
