"""The limits of an operator's file hold for every request, whatever the servers do.

The reducer and the decision package run in virtual time, and the servers fail in random ways.
"""

from __future__ import annotations

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from kelpcroft.core import effects
from testbed.virtual import MS, OUTCOMES_NOT_EXECUTED, START, RequestRecord, S, VirtualRouter

ORDERS = (
    'route "orders" {{ match class="order"; timeout "{wait}ms"; attempts most=1; moves most={moves}; }}\n'
)


def rules_text(attempts: int, moves: int, copies: int, wait: int, first: int, limit: int, burst: int) -> str:
    copies_text = "" if not copies else f'copies most={copies} after="40ms" budget="b"; '
    backoff_text = f'backoff first="{first}ms" most="{2 * first}ms" jitter="full"; ' if first else ""
    return (
        f'kelpcroft version=1\nbudget "b" ratio=0.1 least="1/s" burst={burst}\n'
        + ORDERS.format(wait=wait, moves=moves)
        + f'route "rest" {{ match; timeout "{wait}ms"; attempt timeout="{wait // 2}ms"; '
        f'attempts most={attempts} budget="b" on="error,reset,timeout"; moves most={moves}; '
        f"{copies_text}{backoff_text}"
        f'limit open={limit}; pause "70ms"; }}\n'
    )


rules_texts = st.builds(
    rules_text,
    st.integers(1, 4),
    st.integers(0, 4),
    st.integers(0, 2),
    st.integers(400, 2_400),
    st.sampled_from([0, 10, 25]),
    st.integers(1, 30),
    st.integers(1, 10),
)
outcome_weights = st.fixed_dictionaries(
    {
        "done": st.just(1.0),
        "lack": st.floats(0, 1),
        "wait": st.floats(0, 1),
        "broke": st.floats(0, 2),
        "past": st.floats(0, 0.5),
        "reset": st.floats(0, 1),
        "silent": st.floats(0, 1),
        "refuse": st.floats(0, 0.5),
    }
)


def declared_limits(text: str, class_name: str) -> dict[str, int]:
    """The limits of the route that matches a class."""
    line = next(
        candidate
        for candidate in text.splitlines()
        if f'"{"orders" if class_name == "order" else "rest"}"' in candidate
    )
    words = line.replace(";", " ").replace('"', " ").split()
    limits = dict.fromkeys(("attempts", "moves", "copies"), 0)
    limits.update(
        {key: int(words[words.index(key) + 1].removeprefix("most=")) for key in limits if key in words}
    )
    limits["wait"] = int(words[words.index("timeout") + 1].removesuffix("ms")) * MS
    return limits


class Rules(unittest.TestCase):
    def check_request(self, record: RequestRecord, text: str) -> None:
        """Check one request against the limits of its route."""
        limits = declared_limits(text, record.request.request_class)
        assert len(record.final_effects) == 1, "one final response"
        ended_ns, final_effect = record.final_effects[0]
        deadline_ns = record.arrives_ns + min(limits["wait"], record.request.remaining_time_ns)
        assert ended_ns <= deadline_ns
        send_times = [sent.sent_ns for sent in record.attempts]
        assert all(at < deadline_ns for at in send_times), "no send after the response timeout"
        assert all(at <= ended_ns for at in send_times), "no send after the final response"
        assert len(send_times) <= min(6, limits["attempts"] + limits["moves"] + limits["copies"])
        executed = [sent for sent in record.attempts if sent.outcome not in OUTCOMES_NOT_EXECUTED]
        assert len(executed) <= limits["attempts"] + limits["copies"]
        if record.request.request_class == "order":
            assert len(executed) <= 1, "an order runs once"
            for before in executed:
                assert not any(at > before.sent_ns for at in send_times), (
                    "nothing is sent after it may have run"
                )
        if isinstance(final_effect, effects.RejectRequest) and record.request.request_class == "page":
            assert final_effect.retry_after_ns == 70 * MS

    @settings(max_examples=150, deadline=None, derandomize=True)
    @given(rules_texts, outcome_weights, st.integers(0, 2**32), st.integers(2, 60), st.booleans())
    def test_no_request_exceeds_the_declared_limits(
        self, text: str, weights: dict[str, float], seed: int, gap: int, reapplies: bool
    ) -> None:
        router = VirtualRouter(text, seed, weights)
        records = [
            router.schedule_request(n * gap * MS, "order" if n % 5 == 0 else "page", 2_400, n % 7)
            for n in range(60)
        ]
        if reapplies:  # the same file is applied halfway: open requests and earned tokens are kept
            router.run(30 * gap * MS)
            router.apply_rules(text)
        router.run()
        for record in records:
            self.check_request(record, text)
        routes = router.reducer.state.routes
        assert routes is not None
        spent = routes.budgets["b"].spent
        burst = int(text.split("burst=")[1].split("\n")[0])
        page_count = sum(record.request.request_class == "page" for record in records)
        assert spent <= burst + 0.1 * page_count + (router.now - START) / S, "a budget is never overdrawn"
        extra_attempts = sum(
            len([x for x in s.attempts if x.outcome not in OUTCOMES_NOT_EXECUTED]) - 1
            for s in records
            if s.attempts
        )
        assert max(0, extra_attempts) <= spent
        assert [route.open_requests for route in routes.routes] == [0, 0], "all requests are released"

    def test_a_seed_reproduces_the_run(self) -> None:
        def play() -> list[object]:
            router = VirtualRouter(
                rules_text(3, 3, 1, 1_000, 25, 20, 5), 11, {"done": 1, "broke": 1, "silent": 0.3}
            )
            records = [router.schedule_request(n * 20 * MS, "page", 2_000, n) for n in range(40)]
            router.run()
            return [(s.attempts, s.final_effects) for s in records]

        assert play() == play()

    def test_open_requests_keep_their_limits_after_a_reload(self) -> None:
        router = VirtualRouter(rules_text(1, 0, 0, 2_000, 0, 30, 5), 1, {"silent": 1})
        old = router.schedule_request(0, "page", 2_400)
        router.run(100 * MS)
        router.apply_rules(rules_text(1, 0, 0, 600, 0, 30, 5))
        new = router.schedule_request(200 * MS, "page", 2_400)
        router.run()
        # The attempt timeout is half of the response timeout in these files, and there is one attempt.
        assert [s.final_effects[0][0] - s.arrives_ns for s in (old, new)] == [1000 * MS, 300 * MS]

    def test_a_limit_rejects_immediately_and_admits_again_later(self) -> None:
        router = VirtualRouter(rules_text(1, 0, 0, 1_000, 0, 3, 5), 1, {"silent": 1})
        records = [router.schedule_request(n * MS, "page", 2_400, n) for n in range(5)]
        later = router.schedule_request(1_500 * MS, "page", 2_400)
        router.run()
        for record in records[3:]:
            assert record.final_effects[0] == (
                record.arrives_ns,
                effects.RejectRequest(record.request.client, 1, 70 * MS),
            )
            assert record.attempts == []
        assert [len(s.attempts) for s in (*records[:3], later)] == [1, 1, 1, 1]

    def test_a_backoff_beyond_the_client_timeout_ends_the_request_immediately(self) -> None:
        text = (
            'kelpcroft version=1\nroute "orders" { match class="order"; }\nroute "rest" { match; '
            'timeout "1s"; attempts most=2; backoff first="300ms"; pause "70ms"; }\n'
        )
        router = VirtualRouter(text, 1, {"broke": 1}, max_service_ns=MS)
        short, long = router.schedule_request(0, "page", 250), router.schedule_request(0, "page", 2_400, 3)
        router.run()
        assert len(short.attempts) == 1
        assert short.final_effects[0][0] - short.arrives_ns < 100 * MS
        assert len(long.attempts) == 2
        gaps = [b.sent_ns - a.sent_ns for a, b in zip(long.attempts, long.attempts[1:], strict=False)]
        assert all(gap >= 300 * MS for gap in gaps), gaps

    def test_a_hedge_is_sent_to_another_server_after_its_delay(self) -> None:
        text = (
            'kelpcroft version=1\nroute "orders" { match class="order"; }\n'
            'route "rest" { match; copies most=1 after="150ms"; }\n'
        )
        router = VirtualRouter(text, 5, {"silent": 1})
        record = router.schedule_request(0, "page", 2_000)
        router.run()
        first, second = record.attempts
        assert first.server != second.server
        assert second.sent_ns - record.arrives_ns >= 150 * MS
        assert second.sent_ns - record.arrives_ns < 160 * MS
        router = VirtualRouter(text, 5, {"done": 1}, max_service_ns=MS)
        record = router.schedule_request(0, "page", 2_000)
        router.run()
        assert len(record.attempts) == 1

    def test_without_budget_there_is_no_second_attempt(self) -> None:
        text = (
            'kelpcroft version=1\nbudget "b" ratio=0 burst=1\nroute "orders" { match class="order"; }\n'
            'route "rest" { match; attempts most=5 budget="b"; pause "70ms"; }\n'
        )
        router = VirtualRouter(text, 5, {"broke": 1}, max_service_ns=MS)
        one, two = (
            router.schedule_request(0, "page", 2_000),
            router.schedule_request(500 * MS, "page", 2_000, 3),
        )
        router.run()
        assert [len(one.attempts), len(two.attempts)] == [2, 1]
        at, final = two.final_effects[0]
        assert isinstance(final, effects.RejectRequest)
        assert at - two.arrives_ns < 20 * MS, "a request whose attempt is denied ends immediately"


if __name__ == "__main__":
    unittest.main()
