"""The output of a router, a rollout and the decision package in seeded runs is the same as at commit 5862b4a.

``tools/golden_digests.py`` made the digests in ``golden/digests.json`` before all names were changed.  A test
that fails here means that a byte, a time or an order has changed: find the cause, do not renew the digest.
"""

from __future__ import annotations

import json
import os
import subprocess
import sys
from pathlib import Path

import pytest

from tests.support.wire_capture import EFFECTS, KINDS, ROOT, TIMERS, day, operated_day, virtual

GOLDEN: dict[str, dict[str, str]] = json.loads((Path(__file__).parent / "digests.json").read_bytes())
RUNS = [(kind, seed) for kind, (_, seeds) in KINDS.items() for seed in seeds]


@pytest.mark.parametrize(("kind", "seed"), RUNS, ids=[f"{kind}-{seed}" for kind, seed in RUNS])
def test_seeded_run_has_its_golden_digest(kind: str, seed: int) -> None:
    assert KINDS[kind][0](seed).hex() == GOLDEN[kind][str(seed)]


def test_each_golden_digest_has_its_run() -> None:
    """Without this test, a run that is removed from the table would not be noticed."""
    assert {(kind, int(seed)) for kind, seeds in GOLDEN.items() for seed in seeds} == set(RUNS)
    assert len(RUNS) == 38
    assert len({digest for seeds in GOLDEN.values() for digest in seeds.values()}) == 38


def test_runs_reach_the_kinds_of_effects_that_they_are_for() -> None:
    """The digest of a run without effects would stay the same after any change."""
    always = {"answer", "close-server", "connect", "poll", "server", "timer"}
    operated = {"control", "exit", "keep", "release", "stop-listening"}
    assert day(2).words == always
    assert operated_day(2).words == always | operated
    assert virtual(6).words == always | {"move-feed"}


def test_tables_name_each_effect_and_timer_once() -> None:
    """Two timers with the same word could be exchanged without a change of the digest."""
    assert len(EFFECTS) == 21
    assert len(set(TIMERS.values())) == len(TIMERS) == 12


def test_digests_do_not_depend_on_the_hash_seed() -> None:
    program = "from tests.support.wire_capture import day, decision, rollout as r\n" + (
        "print(day(3).hex(), decision(2).hex(), r(1).hex())"
    )
    expected = [GOLDEN["day"]["3"], GOLDEN["decision"]["2"], GOLDEN["rollout"]["1"]]
    for seed in ("11", "77"):
        env = {**os.environ, "PYTHONHASHSEED": seed, "PYTHONPATH": str(ROOT)}
        run = subprocess.run(
            [sys.executable, "-c", program], cwd=ROOT, env=env, capture_output=True, text=True, check=True
        )
        assert run.stdout.split() == expected
