"""Configuration reload on SIGHUP: the check of the file and the transition from old settings to new ones.

The tests cover both, and their use by the reducer, the decision package and the program.
"""

from __future__ import annotations

import copy
import unittest
from typing import Any

import orjson

from kelpcroft.config_reload import (
    TRANSITION_NS,
    decode_config,
    diff_settings,
    final_settings,
    transition_settings,
    validate_config,
)
from kelpcroft.core import effects, inputs
from kelpcroft.core.reducer import Reducer
from kelpcroft.core.state import MS, SECOND
from kelpcroft.decision import interface as api
from kelpcroft.decision.interface import Outcome
from testbed.router_process import RouterProcess
from testbed.stand_ins import StandInServers
from tests.support import policy_fixtures as kit
from tests.support.exchange_player import EXAMPLE
from tests.support.policy_fixtures import S
from tests.support.reducer_fixtures import NOW, client_request, effects_of_type, make_reducer


def variant(change: Any) -> dict[str, Any]:
    raw = copy.deepcopy(EXAMPLE)
    change(raw)
    return raw


def places(raw: dict[str, Any]) -> list[str]:
    return [diagnostic.place for diagnostic in validate_config(raw, EXAMPLE)]


def reload(r: Reducer, now: int, raw: dict[str, Any] | bytes) -> list[effects.Effect]:
    data = raw if isinstance(raw, bytes) else orjson.dumps(raw)
    return r.handle(now, inputs.ConfigFileRead("config.json", data))


def logged(effect_list: list[effects.Effect], event: str) -> list[effects.LogEvent]:
    return [
        e
        for e in effects_of_type(effects.LogEvent, effect_list)
        if isinstance(e, effects.LogEvent) and e.event == event
    ]


class Check(unittest.TestCase):
    def test_the_file_in_use_passes(self) -> None:
        assert validate_config(EXAMPLE, EXAMPLE) == []

    def test_each_kind_of_error_is_reported_at_its_place(self) -> None:
        classes = "settings.classes"
        cases: list[tuple[str, Any]] = [
            ("settings", lambda r: r.pop("settings")),
            ("feed", lambda r: r.pop("feed")),
            ("feed", lambda r: r.update(feed="nowhere")),
            (f"{classes}[0].give_up_ns", lambda r: r["settings"]["classes"][0].update(give_up_ns=-5)),
            (f"{classes}[0].give_up_ns", lambda r: r["settings"]["classes"][0].update(give_up_ns=0)),
            (f"{classes}[0].give_up_ns", lambda r: r["settings"]["classes"][0].update(give_up_ns="3s")),
            (f"{classes}[0].give_up_ns", lambda r: r["settings"]["classes"][0].update(give_up_ns=True)),
            (f"{classes}[0].give_up_ns", lambda r: r["settings"]["classes"][0].pop("give_up_ns")),
            ("settings.limits.most_tries", lambda r: r["settings"]["limits"].update(most_tries=0)),
            ("settings.limits.most_tries", lambda r: r["settings"]["limits"].update(most_tries=1.5)),
            ("settings.limits.most_tries", lambda r: r["settings"]["limits"].pop("most_tries")),
            ("settings.limits", lambda r: r["settings"].pop("limits")),
            (
                f"{classes}[1].name",
                lambda r: r["settings"]["classes"][1].update(name=r["settings"]["classes"][0]["name"]),
            ),
            (f"{classes}[0].idempotency", lambda r: r["settings"]["classes"][0].update(idempotency="twice")),
            (classes, lambda r: r["settings"].update(classes=[])),
        ]
        for place, change in cases:
            with self.subTest(place=place):
                assert place in places(variant(change))

    def test_all_errors_are_reported_in_one_pass(self) -> None:
        def corrupt(raw: dict[str, Any]) -> None:
            raw["settings"]["classes"][0]["give_up_ns"] = -5
            raw["settings"]["limits"]["most_tries"] = 0
            raw.pop("feed")

        assert sorted(places(variant(corrupt))) == [
            "feed",
            "settings.classes[0].give_up_ns",
            "settings.limits.most_tries",
        ]

    def test_a_file_without_a_complete_json_object_is_rejected(self) -> None:
        complete = orjson.dumps(EXAMPLE)
        for data, found in (
            (b"", "is empty"),
            (b"  \n", "is empty"),
            (complete[: len(complete) // 2], "not JSON"),
            (b"[1, 2]", "is a JSON list"),
        ):
            with self.subTest(found=found):
                raw, diagnostics = decode_config(data)
                assert raw is None
                assert found in str(diagnostics[0])
        assert decode_config(complete[:40])[1][0].place.startswith("line 1 column")

    def test_classes_may_be_added_and_removed(self) -> None:
        def change(raw: dict[str, Any]) -> None:
            c = raw["settings"]["classes"]
            c.append({**c[0], "name": "new"})
            del c[0]

        assert places(variant(change)) == []


class Plan(unittest.TestCase):
    def setUp(self) -> None:
        self.safe = api.RequestClass("a", latency_objective_ns=100 * MS, deadline_ns=2 * SECOND)
        self.old = api.Settings(
            zone="z",
            zones=("z",),
            classes=(self.safe, api.RequestClass("gone")),
            limits=api.Limits(max_attempts=4, may_hedge=True, max_open_requests=100),
        )

    def test_the_transition_is_the_stricter_of_both(self) -> None:
        changed = api.RequestClass(
            "a", api.Idempotency.UNSAFE, dedup_window_ns=SECOND, deadline_ns=3 * SECOND
        )
        new = api.Settings(
            zone="other",
            zones=("z", "other"),
            classes=(changed, api.RequestClass("came")),
            limits=api.Limits(max_attempts=6, may_hedge=False, max_open_requests=0),
        )
        transition = transition_settings(self.old, new)
        by_name = {c.name: c for c in transition.classes}
        assert set(by_name) == {"a", "came", "gone"}
        assert by_name["a"].idempotency is api.Idempotency.UNSAFE
        assert (by_name["a"].deadline_ns, by_name["a"].dedup_window_ns) == (2 * SECOND, SECOND)
        assert (
            transition.limits.max_attempts,
            transition.limits.may_hedge,
            transition.limits.max_open_requests,
        ) == (4, False, 100)
        assert transition.zone == "z"  # kept to the next start
        after = final_settings(transition, new)
        assert [c.name for c in after.classes] == ["a", "came"]
        assert (after.limits.max_attempts, after.zone) == (6, "z")
        change = diff_settings(self.old, new)
        assert (change.added, change.removed, change.changed, change.attempts) == (
            ("came",),
            ("gone",),
            ("a",),
            (4, 6),
        )
        assert not diff_settings(self.old, self.old)

    def test_a_keyed_class_has_the_shorter_window_and_the_narrower_scope(self) -> None:
        """With the longer window, the router would send a retry that servers with the old file execute."""

        def transition(a: api.RequestClass, b: api.RequestClass) -> api.RequestClass:
            return transition_settings(
                api.Settings(zone="z", zones=("z",), classes=(a,)),
                api.Settings(zone="z", zones=("z",), classes=(b,)),
            ).classes[0]

        wide = api.RequestClass("a", api.Idempotency.KEYED, dedup_window_ns=3 * SECOND, dedup_scope="all")
        tight = api.RequestClass("a", api.Idempotency.KEYED, dedup_window_ns=SECOND, dedup_scope="cell")
        for pair in ((wide, tight), (tight, wide)):
            assert (transition(*pair).dedup_window_ns, transition(*pair).dedup_scope) == (SECOND, "cell")
        for pair in ((api.RequestClass("a"), wide), (wide, api.RequestClass("a"))):
            assert transition(*pair).idempotency is api.Idempotency.UNSAFE, "not all clients send a key yet"
        assert transition(wide, api.RequestClass("a", api.Idempotency.UNSAFE)).dedup_window_ns == 3 * SECOND

    def test_a_looser_idempotency_applies_after_the_transition(self) -> None:
        unsafe = api.RequestClass("a", api.Idempotency.UNSAFE)
        old = api.Settings(zone="z", zones=("z",), classes=(unsafe,))
        new = api.Settings(zone="z", zones=("z",), classes=(api.RequestClass("a"),))
        assert transition_settings(old, new).classes[0].idempotency is api.Idempotency.UNSAFE
        assert final_settings(old, new).classes[0].idempotency is api.Idempotency.SAFE


class ReducerReload(unittest.TestCase):
    def test_an_unusable_file_changes_nothing_and_is_logged_once(self) -> None:
        r = make_reducer()

        def corrupt(raw: dict[str, Any]) -> None:
            raw["settings"]["classes"][0]["give_up_ns"] = -5
            raw["feed"] = "127.0.0.1:9"

        effect_list = reload(r, NOW, variant(corrupt))
        (line,) = logged(effect_list, "config.refused")
        assert "settings.classes[0].give_up_ns: -5 is not usable" in line.text
        assert "config.json" in line.text
        assert effects_of_type(effects.SwitchFeed, effect_list) == []
        assert effects_of_type(effects.ScheduleTimer, effect_list) == []
        assert r.state.settings == r.state.config.settings
        for data in (b"", b'{"name": "n1", "settings"'):
            assert len(logged(reload(r, NOW, data), "config.refused")) == 1
        assert r.state.counters["files refused"] == 3

    def test_an_added_class_is_accepted_at_once_and_a_removed_one_until_the_transition_ends(self) -> None:
        r = make_reducer()
        first = EXAMPLE["settings"]["classes"][0]["name"]

        def change(raw: dict[str, Any]) -> None:
            c = raw["settings"]["classes"]
            c.append({**c[0], "name": "fresh", "idempotency": "unsafe"})
            del c[0]
            raw["settings"]["limits"]["most_tries"] = 1

        effect_list = reload(r, NOW, variant(change))
        (line,) = logged(effect_list, "config.read")
        assert "came: fresh" in line.text
        assert f"went: {first}" in line.text
        (timer,) = effects_of_type(effects.ScheduleTimer, effect_list)
        assert isinstance(timer, effects.ScheduleTimer)
        assert timer.at_ns == NOW + TRANSITION_NS
        assert effects_of_type(
            effects.OpenServerConnection, r.handle(NOW + MS, client_request(1, class_name="fresh"))
        )
        assert (
            effects_of_type(
                effects.OpenServerConnection,
                r.handle(NOW + MS, client_request(2, object_id="0b", class_name=first)),
            )
            or r.state.requests
        )  # still accepted during the transition
        assert r.state.policy.settings.limits.max_attempts == 1
        settled = r.handle(NOW + TRANSITION_NS, inputs.TimerFired(timer.key))
        assert len(logged(settled, "config.settled")) == 1
        assert r.handle(NOW + TRANSITION_NS + MS, client_request(3, class_name=first)) == [
            effects.FailRequest(1, 3)
        ]
        assert r.state.classes["fresh"].idempotency == api.Idempotency.UNSAFE


class DecisionPackage(unittest.TestCase):
    def test_an_open_request_keeps_its_class_and_gets_the_lower_attempt_limit(self) -> None:
        p = kit.make_policy(max_attempts=2)
        (first,) = kit.forwarded_attempts(kit.send_request(p, S, "r1"))
        fresh = api.RequestClass("fresh", latency_objective_ns=200 * MS, deadline_ns=S)
        grown = kit.settings(max_attempts=6, classes=(fresh, kit.UNSAFE))
        p.handle(S + MS, api.SettingsChanged(grown))
        assert "safe" in p.latency_model.latency_ratio  # the request is open: its class's latency data stays
        (second,) = kit.forwarded_attempts(kit.end_attempt(p, S + 2 * MS, first, Outcome.ERROR))
        assert kit.forwarded_attempts(kit.end_attempt(p, S + 3 * MS, second, Outcome.ERROR, attempt=1)) == []
        p.handle(S + 4 * MS, api.SettingsChanged(grown))
        assert "safe" not in p.latency_model.latency_ratio  # the request ended: the data is dropped
        (one,) = kit.forwarded_attempts(
            kit.send_request(p, S + 5 * MS, "r2", class_name="fresh", time_remaining_ns=S)
        )
        p.handle(S + 6 * MS, api.SettingsChanged(kit.settings(max_attempts=1, classes=(fresh,))))
        assert (
            kit.forwarded_attempts(kit.end_attempt(p, S + 7 * MS, one, Outcome.ERROR)) == []
        )  # the lower limit applies to it

    def test_without_a_reload_the_same_request_is_attempted_again(self) -> None:
        """Control for the test above: with a limit of six attempts throughout, a third attempt is made."""
        p = kit.make_policy(max_attempts=6)
        (first,) = kit.forwarded_attempts(kit.send_request(p, S, "r1"))
        (second,) = kit.forwarded_attempts(kit.end_attempt(p, S + 2 * MS, first, Outcome.ERROR))
        assert (
            len(kit.forwarded_attempts(kit.end_attempt(p, S + 3 * MS, second, Outcome.ERROR, attempt=1))) == 1
        )


class Program(unittest.TestCase):
    def test_the_operators_file_may_name_a_class_that_the_same_sighup_adds(self) -> None:
        """The operator's file must not be checked against the classes of the start: it may name a new one."""
        rules = (
            'kelpcroft version=1\nroute "fresh" {{ match class="{}"; attempts most=1; }}\n'
            'route "rest" {{ match; }}\n'
        )
        with StandInServers() as servers, RouterProcess(servers, rules.format("page")) as router:
            router.client().request("page")
            config = router.config_path
            raw = orjson.loads(config.read_bytes())
            raw["settings"]["classes"].append({**raw["settings"]["classes"][0], "name": "fresh"})
            config.write_bytes(orjson.dumps(raw))
            event = router.reload_rules(rules.format("fresh"))
            assert event["event"] == "rules.taken", event
            assert router.client().request("fresh").kind == "served"


if __name__ == "__main__":
    unittest.main()
