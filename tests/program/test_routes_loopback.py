"""A router process on loopback sockets keeps the limits of its operator's file, whatever the servers do.

Times are compared with lower bounds, or with upper bounds far above the expected value, so that the results
are the same on a slow machine.
"""

from __future__ import annotations

import unittest
from collections.abc import Callable

from testbed.router_process import ClientResponse, RouterProcess
from testbed.stand_ins import MS, ScriptedResponse, ServerCommand, StandInServers, respond_immediately

HEAD = 'kelpcroft version=1\nroute "orders" { match class="order"; timeout "1.5s"; attempts most=1; }\n'
ONE_CACHE = ("cache1", "parent", "origin")
LONG_TIMEOUT_MS = 10_000  # client timeout in ms, which no test here reaches
SETTINGS = {
    "classes": [
        {
            "name": "page",
            "idempotency": "safe",
            "aim_ns": 250 * MS,
            "aim_stretch": 2.0,
            "give_up_ns": LONG_TIMEOUT_MS * MS,
            "credit": 1.0,
            "late_value": 0.2,
        },
        {
            "name": "order",
            "idempotency": "unsafe",
            "aim_ns": 700 * MS,
            "give_up_ns": LONG_TIMEOUT_MS * MS,
            "credit": 3.0,
        },
    ]
}


def always(reply: str, after_ms: float = 0.0) -> Callable[[str, ServerCommand], ScriptedResponse]:
    return lambda server, command: ScriptedResponse(reply, after_ms, cache_status="")


class Loopback(unittest.TestCase):
    def start(self, stand_ins: StandInServers, rules: str) -> RouterProcess:
        stand_ins.__enter__()
        self.addCleanup(stand_ins.__exit__)
        router = RouterProcess(stand_ins, HEAD + rules, settings=SETTINGS)
        router.__enter__()
        self.addCleanup(router.__exit__)
        return router

    def request_once(
        self,
        script: Callable[[str, ServerCommand], ScriptedResponse],
        rules: str,
        class_name: str = "page",
        servers: tuple[str, ...] = ("cache1", "cache2", "parent", "origin"),
    ) -> tuple[StandInServers, ClientResponse]:
        stand_ins = StandInServers(script, servers)
        router = self.start(stand_ins, rules)
        return stand_ins, router.client().request(
            class_name, patience_ms=LONG_TIMEOUT_MS, body=b"dish" if class_name == "order" else b""
        )

    def test_errors_are_retried_as_often_as_declared(self) -> None:
        for maximum in (1, 2):
            with self.subTest(most=maximum):
                stand_ins, response = self.request_once(
                    always("BROKE"), f'route "rest" {{ match; attempts most={maximum}; pause "120ms"; }}'
                )
                assert (response.kind, response.fields) == ("refused", {"pause": "120"})
                assert len(stand_ins.requests()) == maximum

    def test_an_outcome_that_is_not_named_is_not_retried(self) -> None:
        stand_ins, response = self.request_once(
            always("BROKE"), 'route "rest" { match; attempts most=3 on="timeout,reset"; }'
        )
        assert (response.kind, len(stand_ins.requests())) == ("refused", 1)

    def test_resets_and_cut_responses_count_as_attempts(self) -> None:
        for reply in ("reset", "cut"):
            with self.subTest(word=reply):
                stand_ins, response = self.request_once(
                    always(reply), 'route "rest" { match; attempts most=2; }'
                )
                assert (response.kind, len(stand_ins.requests())) == ("refused", 2)

    def test_misses_and_full_servers_are_moves(self) -> None:
        for reply in ("LACK", "WAIT", "PAST"):
            for maximum in (0, 1):
                with self.subTest(word=reply, most=maximum):
                    rules = f'route "rest" {{ match; attempts most=1; moves most={maximum}; }}'
                    stand_ins, response = self.request_once(always(reply), rules)
                    assert (response.kind, len(stand_ins.requests())) == ("refused", 1 + maximum)

    def test_a_refused_connection_is_a_move(self) -> None:
        for maximum, kind in ((0, "refused"), (4, "served")):
            with self.subTest(most=maximum):
                stand_ins = StandInServers(respond_immediately, ONE_CACHE)
                stand_ins.refuse_connections("cache1")
                router = self.start(
                    stand_ins, f'route "rest" {{ match; attempts most=1; moves most={maximum}; }}'
                )
                assert router.client().request("page", patience_ms=LONG_TIMEOUT_MS).kind == kind

    def test_a_silent_server_costs_an_attempt_timeout(self) -> None:
        stand_ins, response = self.request_once(
            always("silent"), 'route "rest" { match; attempt timeout="150ms"; attempts most=2; }'
        )
        first, second = stand_ins.requests()
        assert second.received_ns - first.received_ns >= 145 * MS
        assert response.kind == "refused"
        assert 300 <= response.latency_ms < LONG_TIMEOUT_MS / 2, response
        assert int(first.fields["limit"]) <= 150, "the server receives the attempt timeout"

    def test_a_late_response_is_ignored(self) -> None:
        """A response after the attempt timeout must not end this request or the next one."""
        stand_ins = StandInServers(
            lambda server, command: ScriptedResponse("DONE", 300 if command.fields["chunk"] == "1" else 0)
        )
        router = self.start(stand_ins, 'route "rest" { match; attempt timeout="100ms"; attempts most=1; }')
        client = router.client()
        late = client.request("page", patience_ms=LONG_TIMEOUT_MS, part=1)
        assert late.kind == "refused"
        kinds = [client.request("page", patience_ms=LONG_TIMEOUT_MS, part=n).kind for n in range(2, 60)]
        assert set(kinds) == {"served"}
        with stand_ins.lock:
            assert [command.verb for command in stand_ins.commands if command.fields.get("chunk") == "1"] == [
                "PULL"
            ]
            assert sum(command.verb == "KILL" for command in stand_ins.commands) == 1

    def test_the_response_timeout_ends_before_the_client_timeout(self) -> None:
        for timeout in ("400ms", "4%"):
            with self.subTest(timeout=timeout):
                _stand_ins, response = self.request_once(
                    always("silent"), f'route "rest" {{ match; timeout "{timeout}"; pause "90ms"; }}'
                )
                assert (response.kind, response.fields) == ("refused", {"pause": "90"})
                assert 395 <= response.latency_ms < LONG_TIMEOUT_MS / 2, response

    def test_a_backoff_separates_attempts(self) -> None:
        stand_ins, _response = self.request_once(
            always("BROKE"), 'route "rest" { match; attempts most=2; backoff first="200ms"; }'
        )
        first, second = stand_ins.requests()
        assert second.received_ns - first.received_ns >= 195 * MS

    def test_a_hedge_is_sent_after_its_delay_and_responds_first(self) -> None:
        def script(server: str, command: ServerCommand) -> ScriptedResponse:
            return (
                ScriptedResponse(body=server.encode())
                if len(stand_ins.requests()) > 1
                else ScriptedResponse("silent")
            )

        stand_ins = StandInServers(script)
        router = self.start(stand_ins, 'route "rest" { match; copies most=1 after="200ms"; }')
        response = router.client().request("page", patience_ms=LONG_TIMEOUT_MS)
        first, second = stand_ins.requests()
        assert (response.kind, response.body.decode()) == ("served", second.server)
        assert first.server != second.server
        assert second.received_ns - first.received_ns >= 195 * MS
        assert response.latency_ms >= 195

    def test_a_hedge_after_a_quantile_waits_for_its_minimum(self) -> None:
        """Responses take 5 ms; a request without a response is hedged, but not before 'least'."""

        def script(server: str, command: ServerCommand) -> ScriptedResponse:
            same = list(stand_ins.requests(command.request_id))
            return (
                ScriptedResponse("silent")
                if command.fields["chunk"] == "99" and len(same) < 2
                else ScriptedResponse("DONE", 5)
            )

        stand_ins = StandInServers(script)
        router = self.start(stand_ins, 'route "rest" { match; copies most=1 after="p95" least="120ms"; }')
        client = router.client()
        for part in range(60):
            assert client.request("page", patience_ms=LONG_TIMEOUT_MS, part=part).kind == "served"
        request_id = client.send_request("page", patience_ms=LONG_TIMEOUT_MS, part=99)
        (response,) = client.responses(1)
        first, second = stand_ins.requests(request_id)
        assert response.kind == "served"
        assert second.received_ns - first.received_ns >= 115 * MS

    def test_an_exhausted_budget_rejects_immediately(self) -> None:
        stand_ins = StandInServers(always("BROKE"))
        router = self.start(
            stand_ins,
            'budget "b" ratio=0.0 burst=2\nroute "rest" { match; attempts most=2 budget="b"; pause "80ms"; }',
        )
        client = router.client()
        responses = [
            client.request("page", patience_ms=LONG_TIMEOUT_MS, object=f"{n:016x}") for n in range(5)
        ]
        assert len(stand_ins.requests()) == 5 + 2, "the budget has two tokens for retries"
        assert {(a.kind, a.fields["pause"]) for a in responses} == {("refused", "80")}

    def test_a_limit_rejects_requests_over_it(self) -> None:
        stand_ins = StandInServers(always("DONE", 400))
        router = self.start(stand_ins, 'route "rest" { match; limit open=3; pause "70ms"; }')
        client = router.client()
        for part in range(8):
            client.send_request("page", patience_ms=LONG_TIMEOUT_MS, part=part)
        kinds = [a.kind for a in client.responses(8)]
        assert sorted(kinds) == ["refused"] * 5 + ["served"] * 3
        assert kinds[:5] == ["refused"] * 5, "rejected immediately: before the first is served"
        assert len(stand_ins.requests()) == 3
        assert client.request("page", patience_ms=LONG_TIMEOUT_MS).kind == "served", (
            "the open requests have been released"
        )

    def test_each_request_follows_its_own_route(self) -> None:
        stand_ins = StandInServers(always("BROKE"))
        router = self.start(
            stand_ins,
            'route "tails" { match part="8.."; attempts most=1; pause "11ms"; }\n'
            'route "mine" { match object="7f" group="17"; attempts most=2; pause "22ms"; }\n'
            'route "rest" { match; attempts most=1; pause "33ms"; }',
        )
        client = router.client()
        for fields, pause in (
            ({"part": 9}, "11"),
            ({"part": 7}, "22"),
            ({"object": "0" * 16}, "33"),
            ({"group": 3}, "33"),
        ):
            assert client.request("page", patience_ms=LONG_TIMEOUT_MS, **fields).fields["pause"] == pause, (
                fields
            )

    def test_an_order_reaches_a_server_at_most_once(self) -> None:
        """This holds for every kind of failure, and for a reload of the file while the order is in flight."""
        for reply in ("silent", "BROKE", "reset", "cut", "LACK", "WAIT", "PAST", "DONE"):
            with self.subTest(word=reply):
                stand_ins = StandInServers(always(reply, 60))
                router = self.start(
                    stand_ins, 'route "rest" { match; attempts most=3; copies most=1 after="30ms"; }'
                )
                client = router.client()
                request_id = client.send_request("order", patience_ms=2_000, body=b"dish")
                event = router.reload_rules(
                    HEAD.replace("1.5s", "1.2s") + 'route "rest" { match; attempts most=4; }'
                )
                assert event["event"] == "rules.taken"
                (response,) = client.responses(1)
                runs = [
                    command
                    for command in stand_ins.requests(request_id)
                    if reply not in ("LACK", "WAIT", "PAST")
                ]
                assert len(runs) <= 1
                assert response.kind == (
                    "served"
                    if reply == "DONE"
                    else "refused"
                    if reply in ("LACK", "WAIT", "PAST")
                    else "failed"
                )

    def test_a_reloaded_file_applies_to_later_requests(self) -> None:
        stand_ins = StandInServers(always("BROKE"))
        router = self.start(stand_ins, 'route "rest" { match; attempts most=1; pause "10ms"; }')
        client = router.client()
        assert client.request("page", patience_ms=LONG_TIMEOUT_MS).fields == {"pause": "10"}
        event = router.reload_rules(
            HEAD + 'route "rest" { match; attempts most=1; pause "20"; limit open=0; }'
        )
        assert (event["event"], event["faults"]) == ("rules.refused", 2)
        assert "rules.kdl:3:" in event["first"]
        assert "bad-duration" in event["first"]
        assert client.request("page", patience_ms=LONG_TIMEOUT_MS).fields == {"pause": "10"}, (
            "the rejected file changes nothing"
        )
        assert (
            router.reload_rules(HEAD + 'route "rest" { match; attempts most=1; pause "20ms"; }')["routes"]
            == 2
        )
        assert client.request("page", patience_ms=LONG_TIMEOUT_MS).fields == {"pause": "20"}

    def test_a_router_does_not_start_with_a_faulty_file(self) -> None:
        with (
            StandInServers() as stand_ins,
            RouterProcess(stand_ins, HEAD + 'route "rest" { match; attempts most=0; moves; }') as router,
        ):
            assert router.process.wait(20) == 2
            lines = router.log_path.read_text().splitlines()
            assert [line.split(": ")[1] for line in lines] == ["bad-count", "missing-value"]


if __name__ == "__main__":
    unittest.main()
