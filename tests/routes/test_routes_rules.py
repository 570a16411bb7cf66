"""The limits of a file hold on every schedule: reducer and decision package in virtual time.

The servers fail in random ways.
"""

from __future__ import annotations

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from kelpcroft.core import effects
from testbed.virtual import FATES_NOT_EXECUTED, MS, START, RequestRecord, S, VirtualRouter

ORDERS = (
    'route "orders" {{ match class="order"; timeout "{wait}ms"; attempts most=1; moves most={moves}; }}\n'
)


def file(attempts: int, moves: int, copies: int, wait: int, first: int, limit: int, burst: int) -> str:
    spare = "" if not copies else f'copies most={copies} after="40ms" budget="b"; '
    back = f'backoff first="{first}ms" most="{2 * first}ms" jitter="full"; ' if first else ""
    return (
        f'kelpcroft version=1\nbudget "b" ratio=0.1 least="1/s" burst={burst}\n'
        + ORDERS.format(wait=wait, moves=moves)
        + f'route "rest" {{ match; timeout "{wait}ms"; attempt timeout="{wait // 2}ms"; '
        f'attempts most={attempts} budget="b" on="error,reset,timeout"; moves most={moves}; {spare}{back}'
        f'limit open={limit}; pause "70ms"; }}\n'
    )


files = st.builds(
    file,
    st.integers(1, 4),
    st.integers(0, 4),
    st.integers(0, 2),
    st.integers(400, 2_400),
    st.sampled_from([0, 10, 25]),
    st.integers(1, 30),
    st.integers(1, 10),
)
fates = st.fixed_dictionaries(
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


def declared(text: str, cls: str) -> dict[str, int]:
    """The limits of the route that matches a class."""
    line = next(x for x in text.splitlines() if f'"{"orders" if cls == "order" else "rest"}"' in x)
    words = line.replace(";", " ").replace('"', " ").split()
    found = dict.fromkeys(("attempts", "moves", "copies"), 0)
    found.update(
        {key: int(words[words.index(key) + 1].removeprefix("most=")) for key in found if key in words}
    )
    found["wait"] = int(words[words.index("timeout") + 1].removesuffix("ms")) * MS
    return found


class Rules(unittest.TestCase):
    def hold(self, story: RequestRecord, text: str) -> None:
        """Check one request against the limits of its route."""
        said = declared(text, story.request.request_class)
        assert len(story.final_effects) == 1, "one final response"
        end, final = story.final_effects[0]
        until = story.arrives_ns + min(said["wait"], story.request.remaining_time_ns)
        assert end <= until
        times = [sent.sent_ns for sent in story.attempts]
        assert all(at < until for at in times), "no send after the response timeout"
        assert all(at <= end for at in times), "no send after the final response"
        assert len(times) <= min(6, said["attempts"] + said["moves"] + said["copies"])
        ran = [sent for sent in story.attempts if sent.fate not in FATES_NOT_EXECUTED]
        assert len(ran) <= said["attempts"] + said["copies"]
        if story.request.request_class == "order":
            assert len(ran) <= 1, "an order runs once"
            for before in ran:
                assert not any(at > before.sent_ns for at in times), "nothing is sent after it may have run"
        if isinstance(final, effects.RejectRequest) and story.request.request_class == "page":
            assert final.retry_after_ns == 70 * MS

    @settings(max_examples=150, deadline=None, derandomize=True)
    @given(files, fates, st.integers(0, 2**32), st.integers(2, 60), st.booleans())
    def test_never_more_than_declared(
        self, text: str, odds: dict[str, float], seed: int, gap: int, again: bool
    ) -> None:
        world = VirtualRouter(text, seed, odds)
        stories = [
            world.schedule_request(n * gap * MS, "order" if n % 5 == 0 else "page", 2_400, n % 7)
            for n in range(60)
        ]
        if again:  # the same file is applied halfway: open requests and earned tokens are kept
            world.run(30 * gap * MS)
            world.apply_rules(text)
        world.run()
        for story in stories:
            self.hold(story, text)
        routes = world.reducer.state.routes
        assert routes is not None
        spent = routes.budgets["b"].spent
        burst = int(text.split("burst=")[1].split("\n")[0])
        pages = sum(story.request.request_class == "page" for story in stories)
        assert spent <= burst + 0.1 * pages + (world.now - START) / S, "a budget is never overdrawn"
        extra = sum(
            len([x for x in s.attempts if x.fate not in FATES_NOT_EXECUTED]) - 1
            for s in stories
            if s.attempts
        )
        assert max(0, extra) <= spent
        assert [lane.open_requests for lane in routes.routes] == [0, 0], "all requests are released"

    def test_one_seed_replays_to_the_byte(self) -> None:
        def play() -> list[object]:
            world = VirtualRouter(file(3, 3, 1, 1_000, 25, 20, 5), 11, {"done": 1, "broke": 1, "silent": 0.3})
            stories = [world.schedule_request(n * 20 * MS, "page", 2_000, n) for n in range(40)]
            world.run()
            return [(s.attempts, s.final_effects) for s in stories]

        assert play() == play()

    def test_open_requests_keep_the_bounds_they_came_with(self) -> None:
        world = VirtualRouter(file(1, 0, 0, 2_000, 0, 30, 5), 1, {"silent": 1})
        old = world.schedule_request(0, "page", 2_400)
        world.run(100 * MS)
        world.apply_rules(file(1, 0, 0, 600, 0, 30, 5))
        new = world.schedule_request(200 * MS, "page", 2_400)
        world.run()
        # The attempt timeout is half of the response timeout in these files, and there is one attempt.
        assert [s.final_effects[0][0] - s.arrives_ns for s in (old, new)] == [1000 * MS, 300 * MS]

    def test_a_limit_refuses_at_once_and_forgets(self) -> None:
        world = VirtualRouter(file(1, 0, 0, 1_000, 0, 3, 5), 1, {"silent": 1})
        stories = [world.schedule_request(n * MS, "page", 2_400, n) for n in range(5)]
        later = world.schedule_request(1_500 * MS, "page", 2_400)
        world.run()
        for story in stories[3:]:
            assert story.final_effects[0] == (
                story.arrives_ns,
                effects.RejectRequest(story.request.client, 1, 70 * MS),
            )
            assert story.attempts == []
        assert [len(s.attempts) for s in (*stories[:3], later)] == [1, 1, 1, 1]

    def test_a_wait_that_outlasts_the_client_is_given_up_at_once(self) -> None:
        text = (
            'kelpcroft version=1\nroute "orders" { match class="order"; }\nroute "rest" { match; '
            'timeout "1s"; attempts most=2; backoff first="300ms"; pause "70ms"; }\n'
        )
        world = VirtualRouter(text, 1, {"broke": 1}, slow_ns=MS)
        short, long = world.schedule_request(0, "page", 250), world.schedule_request(0, "page", 2_400, 3)
        world.run()
        assert len(short.attempts) == 1
        assert short.final_effects[0][0] - short.arrives_ns < 100 * MS
        assert len(long.attempts) == 2
        gaps = [b.sent_ns - a.sent_ns for a, b in zip(long.attempts, long.attempts[1:], strict=False)]
        assert all(gap >= 300 * MS for gap in gaps), gaps

    def test_a_copy_goes_elsewhere_after_its_time_and_the_first_answer_counts(self) -> None:
        text = (
            'kelpcroft version=1\nroute "orders" { match class="order"; }\n'
            'route "rest" { match; copies most=1 after="150ms"; }\n'
        )
        world = VirtualRouter(text, 5, {"silent": 1})
        story = world.schedule_request(0, "page", 2_000)
        world.run()
        first, second = story.attempts
        assert first.server != second.server
        assert second.sent_ns - story.arrives_ns >= 150 * MS
        assert second.sent_ns - story.arrives_ns < 160 * MS
        world = VirtualRouter(text, 5, {"done": 1}, slow_ns=MS)
        story = world.schedule_request(0, "page", 2_000)
        world.run()
        assert len(story.attempts) == 1

    def test_no_budget_no_second_attempt(self) -> None:
        text = (
            'kelpcroft version=1\nbudget "b" ratio=0 burst=1\nroute "orders" { match class="order"; }\n'
            'route "rest" { match; attempts most=5 budget="b"; pause "70ms"; }\n'
        )
        world = VirtualRouter(text, 5, {"broke": 1}, slow_ns=MS)
        one, two = (
            world.schedule_request(0, "page", 2_000),
            world.schedule_request(500 * MS, "page", 2_000, 3),
        )
        world.run()
        assert [len(one.attempts), len(two.attempts)] == [2, 1]
        at, final = two.final_effects[0]
        assert isinstance(final, effects.RejectRequest)
        assert at - two.arrives_ns < 20 * MS, "a request whose attempt is denied ends immediately"


if __name__ == "__main__":
    unittest.main()
