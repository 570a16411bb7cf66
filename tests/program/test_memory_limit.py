"""Real processes under crowds of clients, with the memory limit and descriptors of their settings."""

from __future__ import annotations

import pytest

from benchmarks.memory_limit import SCENARIOS, Bench, Outcome, is_held
from testbed.crowds import crowd_server
from testbed.stand_ins import PROGRAM_DIR, StandInServers

LEAST_LIMIT_MB = 32  # the least that the operators' pages name


def play(scenario: str, limit_mb: int) -> Outcome:
    with StandInServers(crowd_server) as servers:
        return SCENARIOS[scenario](Bench(PROGRAM_DIR, limit_mb, servers))


# Report 363ea5: the sum of what hundreds of clients made the process hold had no bound, and it was killed.
@pytest.mark.parametrize("scenario", ["slow-complete", "large-requests", "mixture"])
def test_a_crowd_of_clients_does_not_take_a_process_over_its_memory_limit(scenario: str) -> None:
    outcome = play(scenario, LEAST_LIMIT_MB)
    assert is_held(outcome, LEAST_LIMIT_MB), outcome
    assert outcome.crowd.complete == outcome.crowd.answered
    assert outcome.behaving["small"].ends["served"] > 0
    assert outcome.behaving["large"].ends["served"] > 0
