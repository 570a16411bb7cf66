"""Servers that accept few connections: a refusal does not eject them, and retries are spread over time."""

from __future__ import annotations

import unittest

from kelpcroft.core import effects, inputs
from kelpcroft.core.connection_pool import (
    ATTEMPTS_BEFORE_NEW_CONNECTION,
    MAX_REFUSAL_BACKOFF_NS,
    REFUSAL_BACKOFF_NS,
    ConnectionPool,
)
from kelpcroft.core.reducer import Reducer
from kelpcroft.core.state import MS, SECOND
from kelpcroft.decision.interface import FillResult, Outcome
from testbed import cold_start
from testbed.cold_start import ColdStartFleet
from tests.support.reducer_fixtures import NOW, client_request, effects_of_type, make_reducer


class RefusedConnections(unittest.TestCase):
    """One connection is open and full; the next is refused."""

    def refuse_second_connection(
        self, since_response_ns: int
    ) -> tuple[Reducer, effects.OpenServerConnection, list[effects.Effect]]:
        """Return the router, the first connection's effect, and the effects of the second one's refusal.

        The refusal comes ``since_response_ns`` after the last response on the first connection.
        """
        reducer = make_reducer()
        now = NOW + 10 * SECOND
        (first,) = effects_of_type(effects.OpenServerConnection, reducer.handle(now, client_request(1)))
        assert isinstance(first, effects.OpenServerConnection)
        reducer.handle(now, inputs.ServerConnected(first.connection))
        for n in range(2, ATTEMPTS_BEFORE_NEW_CONNECTION + 1):
            reducer.handle(now, client_request(n))
        reducer.handle(
            now + MS,
            inputs.ServerResponse(
                first.connection, f"{1:016x}", Outcome.OK, FillResult.HIT, 0, {}, False, b"x"
            ),
        )
        reducer.handle(now + 2 * MS, client_request(ATTEMPTS_BEFORE_NEW_CONNECTION + 1))
        (second,) = effects_of_type(
            effects.OpenServerConnection,
            reducer.handle(now + 3 * MS, client_request(ATTEMPTS_BEFORE_NEW_CONNECTION + 2)),
        )
        assert isinstance(second, effects.OpenServerConnection)
        reducer.state.connections.by_number[first.connection].last_response_ns = (
            now + 4 * MS - since_response_ns
        )
        return (
            reducer,
            first,
            reducer.handle(now + 4 * MS, inputs.ServerConnectionLost(second.connection, "refused", True)),
        )

    def test_a_waiting_request_takes_the_open_connection_after_a_refusal(self) -> None:
        """Guards against an ejection of the server because of one refused connection.

        The ejection discarded the record of its copies, and clients were rejected for at least a second.
        """
        reducer, first, effect_list = self.refuse_second_connection(0)
        (attempt,) = effects_of_type(effects.SendAttempt, effect_list)
        assert isinstance(attempt, effects.SendAttempt)
        assert (attempt.connection, attempt.attempt_id) == (
            first.connection,
            f"{ATTEMPTS_BEFORE_NEW_CONNECTION + 2:016x}",
        )
        assert reducer.state.counters["no place"] == 1
        assert not any(n.is_ejected for n in reducer.state.policy.endpoints.values())
        effect_list = reducer.handle(NOW + 10 * SECOND + 5 * MS, client_request(40))
        assert (
            len(effects_of_type(effects.OpenServerConnection, effect_list)),
            len(effects_of_type(effects.SendAttempt, effect_list)),
        ) == (0, 1), "no connection is opened yet"
        later = NOW + 10 * SECOND + 4 * MS + 2 * REFUSAL_BACKOFF_NS
        assert (
            len(effects_of_type(effects.OpenServerConnection, reducer.handle(later, client_request(41)))) == 1
        ), "one is opened after the backoff"

    def test_a_refusing_server_without_a_recent_response_is_ejected(self) -> None:
        reducer, _, _effect_list = self.refuse_second_connection(2 * SECOND)
        assert reducer.state.counters["no place"] == 0
        assert any(n.is_ejected for n in reducer.state.policy.endpoints.values())

    def test_a_request_that_must_not_run_twice_does_not_share_a_connection(self) -> None:
        pool = ConnectionPool(64, 32)
        pool.record_refusal("s", NOW)
        assert pool.find("s", "order", True, NOW) is None
        assert not pool.may_connect("s", NOW)


class RefusalBackoffs(unittest.TestCase):
    def test_backoffs_double_up_to_a_limit_and_differ_between_routers(self) -> None:
        backoffs_ns = {}
        for seed in range(40):
            pool, now = ConnectionPool(64, 32, seed), NOW
            for _ in range(10):
                pool.created_count += 1
                pool.record_refusal("s", now)
                now = pool.refusals["s"].until_ns
                assert pool.may_connect("s", now)
                assert not pool.may_connect("s", now - 1)
            backoffs_ns[seed] = now - NOW
            last_backoff_ns = pool.refusals["s"].backoff_ns
            assert last_backoff_ns == MAX_REFUSAL_BACKOFF_NS
        assert len(set(backoffs_ns.values())) == 40

    def test_many_routers_with_caches_of_few_connections(self) -> None:
        """Forty routers use caches with 32 connections each.

        Guards against the ejection of a cache by a router whose connection it refused.
        """
        before, cold_start.ROUTERS_PER_ZONE = cold_start.ROUTERS_PER_ZONE, 40
        try:
            fleet = ColdStartFleet(40, rate=4.0, max_connections=32, cold=False, cold_parents=False)
            fleet.run(12)
        finally:
            cold_start.ROUTERS_PER_ZONE = before
        assert sum(r.state.counters["no place"] for r in fleet.routers) > 10
        assert fleet.outcomes.share_in_time(0, 10) > 0.9


if __name__ == "__main__":
    unittest.main()
