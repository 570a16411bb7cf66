"""Tests of the rollout plan, the sequential test and the state machine, in virtual time."""

from __future__ import annotations

import json
import tempfile
import unittest
from pathlib import Path

import pytest
from click.testing import CliRunner
from hypothesis import given, settings
from hypothesis import strategies as st

from kelpcroft.cli import main
from kelpcroft.rollout.errors import PlacementError, SnapshotError, StopCriteriaError
from kelpcroft.rollout.events import CommandKind, OperatorCommand, RouterCommand, RouterReport
from kelpcroft.rollout.judge import (
    RegressionJudge,
    RequestSample,
    SequentialTest,
    StopCriteria,
    Verdict,
    ZoneClass,
)
from kelpcroft.rollout.phases import Phase, RolloutOutcome
from kelpcroft.rollout.placement import compare_placements
from kelpcroft.rollout.plan_file import load_plan
from kelpcroft.rollout.snapshot import from_snapshot as restored
from kelpcroft.rollout.snapshot import to_snapshot
from kelpcroft.rollout.state_machine import Rollout
from testbed.rollouts import S, SimulatedFleet, SimulatedRouter, make_plan
from testbed.stand_ins import ROOT

VERSION_NODE = "rollout version=1\n"
VALID_PLAN = (
    VERSION_NODE
    + """change { program build="5f2c09e1"; }
router "a1" zone="a"; router "a2" zone="a"; router "b1" zone="b"; router "b2" zone="b"
stage "one" count=1 least="30s" most="5m"
stage "two" count=2 least="30s" most="5m"
stage "all" share="100%" least="30s" most="5m"
limits at-once=1 per-zone=1
"""
)


def codes(text: str) -> list[str]:
    return [f.code for f in load_plan(text.encode())[1]]


class Plans(unittest.TestCase):
    def test_a_valid_plan(self) -> None:
        plan, diagnostics = load_plan(VALID_PLAN.encode())
        assert diagnostics == []
        assert [[t.name for t in s] for s in plan.routers_by_stage()] == [["a1"], ["b1"], ["a2", "b2"]]
        assert plan.longest_ns() > 600 * S

    def test_each_error_by_its_code(self) -> None:
        for old, new, expected_code in (
            (VERSION_NODE, "", "no-version"),
            ("version=1", "version=7", "unknown-version"),
            ('change { program build="5f2c09e1"; }', "change { }", "no-change"),
            ('change { program build="5f2c09e1"; }', "", "no-change"),
            ('"5f2c09e1"', '"master"', "bad-digest"),
            ('router "a2"', 'router "a1"', "duplicate-name"),
            ('zone="a"; router "a2"', 'zone="a" control="here"; router "a2"', "bad-address"),
            ('"one" count=1', '"one" count=4', "stage-shrinks"),
            ('"one" count=1', '"one"', "missing-value"),
            ('"one" count=1', '"one" count=1 share="9%"', "count-and-share"),
            ('share="100%"', 'share="75%"', "not-all"),
            ('share="100%"', 'share="150%"', "bad-share"),
            ('count=1 least="30s"', 'count=1 least="5s"', "bake-too-short"),
            ('count=1 least="30s" most="5m"', 'count=1 least="30s" most="20s"', "least-over-most"),
            ("per-zone=1", "per-zone=2", "zone-out"),
            ("limits", 'order "c"\nlimits', "unknown-zone"),
            ("limits", "limit", "unknown-node"),
            ("at-once=1", "at-onc=1", "unknown-key"),
            ("limits", "stop harm=0.9\nlimits", "bad-rate"),
            ("limits", 'then "pray"\nlimits', "unknown-word"),
            ('"one" count=1', '"one" count=0', "bad-count"),
            ("limits", "limits;limits", "duplicate-node"),
        ):
            with self.subTest(new=new):
                assert expected_code in codes(VALID_PLAN.replace(old, new, 1))

    def test_a_stage_that_takes_a_complete_zone_is_an_error(self) -> None:
        assert "whole-zone" in codes(VALID_PLAN.replace('stage "two" count=2 least="30s" most="5m"\n', ""))
        single_router_zone = VALID_PLAN.replace('; router "b2" zone="b"', "").replace(
            "count=2", 'share="50%"'
        )
        assert codes(single_router_zone) == [], (
            "b1 is the only router of its zone, so its stage must take the complete zone"
        )

    @settings(max_examples=150, deadline=None, derandomize=True)
    @given(st.binary(max_size=60), st.integers(0, len(VALID_PLAN)))
    def test_a_broken_file_never_crashes(self, inserted: bytes, offset: int) -> None:
        load_plan(VALID_PLAN[:offset].encode() + inserted + VALID_PLAN[offset:].encode())


class JudgeTests(unittest.TestCase):
    def test_a_regression_of_one_class_in_one_zone_is_detected(self) -> None:
        judge = RegressionJudge(StopCriteria())
        for _ in range(300):
            new = {
                ZoneClass("a", "x"): RequestSample(30, 30.0, 29.0),
                ZoneClass("a", "y"): RequestSample(30, 30.0, 24.0),
                ZoneClass("b", "x"): RequestSample(30, 30.0, 29.0),
            }
            judge.add_interval(new, {zone_class: RequestSample(90, 90.0, 87.0) for zone_class in new})
        assert judge.verdict(frozenset(new)) == (Verdict.REGRESSION, ZoneClass("a", "y"))
        assert judge.tests[ZoneClass("b", "x")].verdict is Verdict.NO_REGRESSION

    def test_failures_of_both_sides_or_from_before_are_no_regression(self) -> None:
        judge, zone_class = RegressionJudge(StopCriteria()), ZoneClass("a", "x")
        judge.add_baseline(True, {zone_class: RequestSample(3_000, 3_000.0, 2_400.0)})
        judge.add_baseline(False, {zone_class: RequestSample(9_000, 9_000.0, 8_550.0)})
        for n in range(400):
            common_failure_share = 0.5 if 100 < n < 160 else 0.0
            judge.add_interval(
                {zone_class: RequestSample(100, 100.0, 80 * (1 - common_failure_share))},
                {zone_class: RequestSample(300, 300.0, 285 * (1 - common_failure_share))},
            )
        assert judge.tests[zone_class].verdict is Verdict.NO_REGRESSION

    def test_few_requests_are_no_evidence(self) -> None:
        judge, zone_class = RegressionJudge(StopCriteria()), ZoneClass("a", "x")
        judge.add_interval(
            {zone_class: RequestSample(3, 3.0, 0.0)}, {zone_class: RequestSample(900, 900.0, 900.0)}
        )
        assert judge.verdict(frozenset((zone_class,))) == (Verdict.UNDECIDED, zone_class)
        assert judge.verdict(frozenset()) == (Verdict.UNDECIDED, None), (
            "without a required comparison there is no evidence"
        )

    def test_differences_that_are_not_finite_are_ignored(self) -> None:
        test = SequentialTest(StopCriteria())
        for value in (float("nan"), float("inf"), -float("inf")):
            test.add_difference(value)
        assert (test.interval_count, test.verdict) == (0, Verdict.UNDECIDED)
        for wrong in ({"harm": 0.5}, {"tolerance": 0.2}, {"false_stop": 0.0}, {"missed_harm": 0.7}):
            with pytest.raises(ValueError):
                StopCriteria(**wrong)

    def test_stop_criteria_out_of_range_name_key_value_and_limit(self) -> None:
        for wrong, expected, text in (
            (
                {"harm": 0.5},
                ("harm", 0.5, 0.15),
                "harm: 0.5 is not above tolerance 0.0 and at most 0.15",
            ),
            (
                {"missed_harm": 0.7},
                ("missed_harm", 0.7, 0.5),
                "missed_harm: 0.7 is not between 0 and 0.5",
            ),
        ):
            with pytest.raises(StopCriteriaError) as raised:
                StopCriteria(**wrong)
            error = raised.value
            assert (error.key, error.value, error.limit) == expected
            assert str(error) == text

    def test_placements_of_different_length_name_both_counts(self) -> None:
        with pytest.raises(PlacementError) as raised:
            compare_placements(["c1"], ["c1", "c2"])
        assert raised.value.object_counts == (1, 2)
        assert str(raised.value) == "the old placed 1 objects, the new 2"


def sound(fleet: SimulatedFleet, router: SimulatedRouter, cls: str) -> float:
    return 0.0


def with_regression(share: float, cls: str = "", zone: str = "") -> object:
    def late_share(fleet: SimulatedFleet, router: SimulatedRouter, request_class: str) -> float:
        return (
            share
            if router.build == "beef" and cls in ("", request_class) and zone in ("", router.zone)
            else 0.0
        )

    return late_share


class SimulatedRollouts(unittest.TestCase):
    """Rollouts to twelve simulated routers in three zones."""

    def make_fleet(self, late_share: object, seed: int = 1) -> SimulatedFleet:
        return SimulatedFleet(make_plan(3, 4), seed, late_share)  # type: ignore[arg-type]

    def test_a_sound_change_is_done_within_the_limits(self) -> None:
        for seed in range(4):
            fleet = self.make_fleet(sound, seed)
            assert fleet.run() == RolloutOutcome.DONE, fleet.rollout.reason
            assert {router.build for router in fleet.routers.values()} == {"beef"}
            assert [a for _, _, a in fleet.commands].count(CommandKind.APPLY) == 12, (
                "each router is changed once"
            )
            assert fleet.max_unavailable[""] <= 3
            assert max(fleet.max_unavailable[f"z{n}"] for n in range(3)) <= 1

    def test_a_failure_of_a_complete_zone_does_not_stop_the_rollout(self) -> None:
        def parent_lost(fleet: SimulatedFleet, router: SimulatedRouter, cls: str) -> float:
            return 0.4 if router.zone == "z0" and 60 <= fleet.now / S - 1_000 < 120 else 0.0

        fleet = self.make_fleet(parent_lost)
        assert fleet.run() == RolloutOutcome.DONE, fleet.rollout.reason

    def test_a_regression_stops_the_first_stage_that_can_show_it(self) -> None:
        for late_share, max_changed in (
            (with_regression(0.3), 1),
            (with_regression(0.08), 1),
            (with_regression(0.3, cls="writes"), 1),
            (with_regression(0.3, zone="z2"), 6),
        ):
            fleet = self.make_fleet(late_share)
            assert fleet.run() == RolloutOutcome.ROLLED_BACK, fleet.rollout.reason
            assert len(fleet.changed_routers) <= max_changed
            assert {router.build for router in fleet.routers.values()} == {"old"}
            assert "the harm is gone" in fleet.history[-1].text
            assert all(router.in_service for router in fleet.routers.values())

    def test_crashes_and_routers_never_ready_stop_the_rollout(self) -> None:
        def crash(defective_fleet: SimulatedFleet) -> None:
            defective_fleet.new_build_crash_after_ns = 5 * S

        def never(defective_fleet: SimulatedFleet) -> None:
            defective_fleet.new_build_never_ready = True

        for defect, expected_entry in ((crash, "crash"), (never, "not-ready")):
            fleet = self.make_fleet(sound)
            defect(fleet)
            assert fleet.run() == RolloutOutcome.ROLLED_BACK
            assert expected_entry in [n.name for n in fleet.history]
            assert len(fleet.changed_routers) == 1

    def test_a_broken_invariant_and_another_build(self) -> None:
        for change, expected_entry in (({"invariants": 1}, "invariant"), ({"build": "cafe"}, "wrong-digest")):
            fleet = self.make_fleet(sound)
            for _ in range(400):
                fleet.run_second()
                for router in fleet.routers.values():
                    if router.build == "beef" and fleet.rollout.routers[router.name].phase is Phase.COMPARED:
                        for key, value in change.items():
                            setattr(router, key, value)
                if fleet.rollout.outcome is not RolloutOutcome.RUNNING:
                    break
            assert expected_entry in [n.name for n in fleet.history]

    def test_a_regression_that_outlasts_the_rollback_is_not_the_changes(self) -> None:
        def broken_router(fleet: SimulatedFleet, router: SimulatedRouter, cls: str) -> float:
            applied_ns = next((at for at, _, kind in fleet.commands if kind is CommandKind.APPLY), 0)
            return 0.3 if router.name == "n0-0" and applied_ns and fleet.now > applied_ns else 0.0

        fleet = self.make_fleet(broken_router)
        assert fleet.run() == RolloutOutcome.ROLLED_BACK
        assert "not the change's" in fleet.history[-1].text

    def test_missing_evidence_holds_the_rollout_and_is_named(self) -> None:
        fleet = SimulatedFleet(make_plan(3, 4), 1, sound, rate=0.3)
        assert fleet.run() == RolloutOutcome.HELD
        assert "not enough evidence of class" in fleet.rollout.reason
        assert len(fleet.changed_routers) == 1

    def test_a_new_router_without_requests_is_not_good(self) -> None:
        """New routers without requests must not pass a stage.

        Clients that move to other routers during the change stay there, so the new routers get no requests.
        A build with a regression passed every stage in this way.
        """

        class WithoutNewRequests(SimulatedFleet):
            def run_second(self) -> None:
                for router in self.routers.values():
                    if router.build == "beef":
                        router.classes = {}
                super().run_second()
                for router in self.routers.values():
                    if router.build == "beef":
                        router.classes = {}

        for rate in (30.0, 0.0):
            fleet = WithoutNewRequests(make_plan(3, 4), 1, sound, rate=rate)
            assert fleet.run() == RolloutOutcome.HELD
            assert "not enough evidence" in fleet.rollout.reason
            assert len(fleet.changed_routers) == 1

    def test_a_successor_continues_at_any_instant(self) -> None:
        """A takeover after any step, with the commands of that step lost, changes each router exactly once.

        Guards against counting the time without a controller as silence of the routers, which held the
        rollout immediately.
        """
        for takeover_interval in (7, 23, 61):
            fleet = SimulatedFleet(make_plan(2, 3), 3, sound)
            for n in range(3_000):
                if n % takeover_interval == takeover_interval - 1:
                    raw = json.loads(json.dumps(to_snapshot(fleet.rollout)))
                    fleet.now += 20 * S  # the lease of the predecessor expires first
                    fleet.rollout = restored(fleet.plan, raw)
                    for effect in fleet.rollout.resume_after_takeover(fleet.now, True):
                        if isinstance(effect, RouterCommand):
                            fleet.carry_out(effect)
                fleet.run_second()
                if fleet.rollout.outcome is not RolloutOutcome.RUNNING:
                    break
            assert fleet.rollout.outcome == RolloutOutcome.DONE, (takeover_interval, fleet.rollout.reason)
            assert {router.instance for router in fleet.routers.values()} == {2}, (
                "each router is changed once"
            )

    def test_an_unusable_snapshot_is_an_error(self) -> None:
        fleet = SimulatedFleet(make_plan(2, 3), 1, sound)
        good = to_snapshot(fleet.rollout)
        for change in ({"v": 9}, {"routers": {}}, {"outcome": "lost"}, {"bets": [[1]]}, {"stage": "x"}):
            with pytest.raises(SnapshotError):
                restored(fleet.plan, {**good, **change})

    def test_a_snapshot_error_names_the_key(self) -> None:
        fleet = SimulatedFleet(make_plan(2, 3), 1, sound)
        good = to_snapshot(fleet.rollout)
        without_stage = {key: value for key, value in good.items() if key != "stage"}
        for raw, key, text in (
            ({**good, "v": 9}, "v", "version 9 is not known here; version 1 is"),
            ({**good, "routers": {}}, "routers", "it is of other routers than the plan's"),
            (without_stage, "stage", "KeyError: 'stage'"),
            ({**good, "outcome": "lost"}, "", "ValueError: 'lost' is not a valid RolloutOutcome"),
        ):
            with pytest.raises(SnapshotError) as raised:
                restored(fleet.plan, raw)
            assert (raised.value.key, str(raised.value)) == (key, text)

    def test_silent_routers_hold_the_rollout(self) -> None:
        fleet = self.make_fleet(sound)
        for n, router in enumerate(fleet.routers.values()):
            router.silent_until_ns = (1_050 + 100) * S if n < 5 else 0
        while fleet.now < 1_045 * S:
            fleet.run_second()
        assert fleet.rollout.outcome == RolloutOutcome.HELD
        assert "do not answer" in fleet.rollout.reason
        fleet.run(200, {150: OperatorCommand.RESUME})
        assert fleet.run() == RolloutOutcome.DONE, fleet.rollout.reason

    def test_a_hold_for_silence_ends_once_the_routers_respond(self) -> None:
        """A hold for silence ends without a command; a hold that an operator commanded meanwhile stays."""
        for is_commanded in (False, True):
            with self.subTest(is_commanded=is_commanded):
                fleet = self.make_fleet(sound)
                for n, router in enumerate(fleet.routers.values()):
                    router.silent_until_ns = 1_150 * S if n < 5 else 0
                while fleet.now < 1_045 * S:
                    fleet.run_second()
                assert fleet.rollout.outcome == RolloutOutcome.HELD
                fleet.rollout = restored(
                    fleet.plan, to_snapshot(fleet.rollout)
                )  # the hold's cause is part of the snapshot
                begun_count = sum(entry.name == "begun" for entry in fleet.history)
                if is_commanded:
                    fleet.deliver(OperatorCommand.HOLD)
                while fleet.now < 1_150 * S:
                    fleet.run_second()
                    assert fleet.rollout.outcome == RolloutOutcome.HELD
                assert sum(entry.name == "begun" for entry in fleet.history) == begun_count
                expected = RolloutOutcome.HELD if is_commanded else RolloutOutcome.DONE
                assert fleet.run(4000, {10000: OperatorCommand.HOLD}) == expected, fleet.rollout.reason

    def test_a_stall_of_the_controller_is_no_silence_of_the_routers(self) -> None:
        """A process stall of the controller must neither hold the rollout nor roll a router back.

        The stall lasts 20 s, which is longer than a step of a change may take, and happens at various steps.
        """
        fleet = self.make_fleet(sound)
        stall_count = 0
        while fleet.rollout.outcome is RolloutOutcome.RUNNING and fleet.now < 5_000 * S:
            fleet.run_second()
            if stall_count < 20 and fleet.now % (7 * S) == 0:
                stall_count += 1
                fleet.now += 20 * S
        assert (fleet.rollout.outcome, stall_count) == (RolloutOutcome.DONE, 20), fleet.rollout.reason
        assert "held" not in [entry.name for entry in fleet.history]

    def test_a_router_that_crashes_in_its_change_is_rolled_back(self) -> None:
        """A router that crashes during its change is rolled back without a drain.

        Guards against a rollback that waits for the router to report that it is out of service: it never
        responds, so the rollback hung.
        """

        class CrashingFleet(SimulatedFleet):
            def start(self, router: SimulatedRouter, build: str) -> None:
                super().start(router, build)
                router.alive = build != "beef"

        fleet = CrashingFleet(make_plan(3, 4), 1, sound)
        assert fleet.run() == RolloutOutcome.ROLLED_BACK, fleet.rollout.reason
        assert "not-ready" in [n.name for n in fleet.history]
        assert len(fleet.changed_routers) == 1
        assert {(router.build, router.alive) for router in fleet.routers.values()} == {("old", True)}

    def test_a_router_that_crashes_while_cold_holds_the_rollout(self) -> None:
        """A router that crashes while it is cold holds the rollout.

        Guards against a router that is neither compared nor counted as missing: the stage waited for it
        forever.
        """

        class CrashingFleet(SimulatedFleet):
            def run_second(self) -> None:
                super().run_second()
                for router in self.routers.values():
                    if router.build == "beef" and self.rollout.routers[router.name].phase is Phase.WARMING_UP:
                        router.alive = False

        fleet = CrashingFleet(make_plan(3, 4), 1, sound)
        assert fleet.run(300) == RolloutOutcome.HELD
        assert "n0-0 has not answered since its change" in fleet.rollout.reason
        fleet.deliver(OperatorCommand.REVERT)
        assert fleet.run() == RolloutOutcome.ROLLED_BACK
        assert {(router.build, router.alive) for router in fleet.routers.values()} == {("old", True)}

    def test_lost_commands_hold_and_change_no_router_twice(self) -> None:
        for seed in range(4):
            fleet = self.make_fleet(sound, seed)
            fleet.lost_command_share = 0.2
            fleet.run(3_000)
            assert fleet.rollout.outcome in (
                RolloutOutcome.HELD,
                RolloutOutcome.DONE,
                RolloutOutcome.ROLLED_BACK,
                RolloutOutcome.ROLLING_BACK,
            )
            starts = {router.name: router.instance for router in fleet.routers.values()}
            assert max(starts.values()) <= 3, "each router is changed once and rolled back at most once"
            assert fleet.max_unavailable[""] <= 4, "three, and one whose ENABLE command was lost"

    def test_operators_hold_resume_and_revert(self) -> None:
        fleet = self.make_fleet(sound)
        assert (
            fleet.run(
                2000, {60: OperatorCommand.HOLD, 90: OperatorCommand.RESUME, 200: OperatorCommand.REVERT}
            )
            == RolloutOutcome.ROLLED_BACK
        )
        assert {router.build for router in fleet.routers.values()} == {"old"}

    def test_contradictions_and_unknown_routers_are_not_used(self) -> None:
        rollout = Rollout(make_plan(1, 4), 0)
        digests = {"program": "old"}
        rollout.handle(
            S, RouterReport("n0-0", "i", digests, True, True, 0, {"x": RequestSample(50, 50.0, 50.0)})
        )
        effects = rollout.handle(
            2 * S, RouterReport("n0-0", "i", digests, True, True, 0, {"x": RequestSample(40, 40.0, 40.0)})
        )
        assert "contradiction" in [getattr(e, "name", "") for e in effects]
        rollout.handle(3 * S, RouterReport("who", "i", digests, True, True))
        assert rollout.routers["n0-0"].last_report_ns == S
        assert "who" not in rollout.routers

    @settings(max_examples=12, deadline=None, derandomize=True)
    @given(
        st.integers(0, 10**6),
        st.lists(
            st.tuples(
                st.integers(0, 500),
                st.sampled_from(["silent", "crash", "kill", "hold", "resume", "revert", "defect"]),
                st.integers(0, 11),
            ),
            max_size=8,
        ),
    )
    def test_random_failures_and_commands(self, seed: int, actions: list[tuple[int, str, int]]) -> None:
        """Random failures and commands: the rollout keeps its limits, and a final outcome does not change."""
        defect = [0.0]
        fleet = SimulatedFleet(
            make_plan(3, 4),
            seed,
            lambda _fleet, router, c: defect[0] if router.build == "beef" else 0.0,
            rate=10.0,
        )
        names = list(fleet.routers)
        for second in range(700):
            for action_second, kind, router_index in actions:
                if action_second != second:
                    continue
                router = fleet.routers[names[router_index]]
                if kind == "silent":
                    router.silent_until_ns = fleet.now + 20 * S
                elif kind == "crash":
                    fleet.start(router, router.build)
                elif kind == "kill":
                    router.alive = False
                elif kind == "defect":
                    defect[0] = 0.4
                else:
                    fleet.deliver(OperatorCommand(kind))
            before = fleet.rollout.outcome
            fleet.run_second()
            phases = [r.phase for r in fleet.rollout.routers.values()]
            under_way = sum(
                x
                in (
                    Phase.DRAINING,
                    Phase.CHANGING,
                    Phase.WARMING_UP,
                    Phase.ROLLBACK_DRAINING,
                    Phase.ROLLING_BACK,
                )
                for x in phases
            )
            if fleet.rollout.outcome is not RolloutOutcome.ROLLING_BACK:
                assert under_way <= 3
            if before in (RolloutOutcome.DONE, RolloutOutcome.ROLLED_BACK):
                assert fleet.rollout.outcome is before
            if fleet.rollout.outcome is RolloutOutcome.DONE:
                assert set(phases) == {Phase.ACCEPTED}


class Command(unittest.TestCase):
    def test_plan_is_a_dry_run_that_names_everything(self) -> None:
        path = str(ROOT / "examples/rollout.kdl")
        result = CliRunner().invoke(main, ["rollout", "plan", path])
        assert result.exit_code == 0, result.output
        assert "stage 'one': n4; 120s to 1200s" in result.output
        assert "no old router left to compare with in edge-1, edge-2" in result.output
        preview = json.loads(CliRunner().invoke(main, ["rollout", "plan", path, "--format", "json"]).output)
        assert [s["routers"] for s in preview["stages"]] == [["n4"], ["n1", "n5"], ["n2", "n6", "n3"]]
        assert preview["worst_share_out"] == {"edge-1": 0.333, "edge-2": 0.333}
        assert preview["shortest_s"] < preview["longest_s"]

    def test_errors_and_wrong_use(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "bad.kdl"
            path.write_text(VALID_PLAN.replace("per-zone=1", "per-zone=2"))
            result = CliRunner().invoke(main, ["rollout", "plan", str(path)])
            assert result.exit_code == 1
            assert "zone-out" in result.output
        assert CliRunner().invoke(main, ["rollout", "plan", "/nowhere"]).exit_code == 2
