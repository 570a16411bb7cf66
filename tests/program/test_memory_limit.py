"""Real processes under crowds of clients, with the memory limit and descriptors of their settings."""

from __future__ import annotations

import pytest

from benchmarks.memory_limit import SCENARIOS, Bench, Outcome, is_held
from testbed.crowds import KINDS, Crowd, crowd_server
from testbed.memory_soak import MemorySoak
from testbed.stand_ins import PROGRAM_DIR, StandInServers
from tests.support.upgrade import wait_for

LEAST_LIMIT_MB = 32  # the least that the operators' pages name
SOAK_SEEDS = range(1, 9)


def play(scenario: str, limit_mb: int) -> Outcome:
    with StandInServers(crowd_server) as servers:
        return SCENARIOS[scenario](Bench(PROGRAM_DIR, limit_mb, servers))


# Report 363ea5: the sum of what hundreds of clients made the process hold had no bound, and it was killed.
@pytest.mark.parametrize("scenario", ["slow-complete", "large-requests", "cut-responses", "mixture", "start"])
def test_a_crowd_of_clients_does_not_take_a_process_over_its_memory_limit(scenario: str) -> None:
    outcome = play(scenario, LEAST_LIMIT_MB)
    assert is_held(outcome, LEAST_LIMIT_MB), outcome
    assert outcome.crowd.complete == outcome.crowd.answered
    assert outcome.behaving["small"].ends["served"] > 0
    assert outcome.behaving["large"].ends["served"] > 0


# The memory of a crowd was kept, and each further kind of crowd added to it.
def test_crowds_in_a_row_do_not_add_up() -> None:
    outcome = play("in-a-row", LEAST_LIMIT_MB)
    assert is_held(outcome, LEAST_LIMIT_MB), outcome


# The table of remembered objects had the same size with any limit.
def test_requests_for_ever_new_objects_stay_within_the_least_limit() -> None:
    outcome = play("many-objects", LEAST_LIMIT_MB)
    assert is_held(outcome, LEAST_LIMIT_MB), outcome


# Both processes of an upgrade count together, and each planned with the whole limit.
def test_an_upgrade_under_a_crowd_stays_within_the_limit_of_both_processes() -> None:
    outcome = play("upgrade", 64)
    assert is_held(outcome, 64), outcome


# The log did not say what a process held before it was killed, nor whom it had turned away.
def test_the_log_says_what_is_held_and_who_was_turned_away_while_memory_is_short() -> None:
    with StandInServers(crowd_server) as servers:
        bench = Bench(PROGRAM_DIR, LEAST_LIMIT_MB, servers)
        with bench.running() as router:
            Crowd(router.address, KINDS, 1).run()
            wait_for(
                lambda: any(event["event"] == "memory.enough" for event in router.log_events()),
                "the end of the pressure",
            )
            events = router.log_events()
    short = [event for event in events if event["event"] == "memory.short"]
    assert sum(short[0]["held_kb"].values()) > 0
    assert short[0]["turned_away"]
    assert 0 < short[0]["resident_kb"] <= LEAST_LIMIT_MB * 1024
    (limit,) = [event for event in events if event["event"] == "memory.limit"]
    assert limit["limit_mb"] == LEAST_LIMIT_MB


# Crowds, signals and limits in combinations that no other test names; `benchmarks.memory_soak` runs more.
@pytest.mark.parametrize("seed", SOAK_SEEDS)
def test_a_process_keeps_its_limit_and_its_promises_under_crowds_and_signals(seed: int) -> None:
    result = MemorySoak(seed, PROGRAM_DIR).run()
    assert result.faults == [], result
