"""Configuration files that are read in quick succession: the last valid one alone is in force in the end."""

from __future__ import annotations

import copy
from dataclasses import dataclass, replace
from typing import Any

import orjson
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from kelpcroft.config_reload import TRANSITION_NS
from kelpcroft.config_reload.plan import IDEMPOTENCY_STRICTNESS
from kelpcroft.core import effects, inputs
from kelpcroft.core.config_reload import RELOADED_FAMILY_KEYS
from kelpcroft.core.messages import TimerKind
from kelpcroft.core.reducer import Reducer
from kelpcroft.core.state import MS, SECOND
from kelpcroft.decision.interface import Idempotency
from kelpcroft.settings_wire import parse_settings
from tests.support.exchange_player import EXAMPLE
from tests.support.reducer_fixtures import NOW, effects_of_type, make_reducer

ORDER = "order"  # the unsafe class of the example configuration
PAGES, ORDERS = 0, 1  # indices of its classes, of which orders have the fewer keys
BROKEN_FILE = b'{"settings": '


@dataclass
class ReadFile:
    """A file that a router read, and when."""

    raw: dict[str, Any]
    read_ns: int


class ReloadedRouter:
    """A reducer whose files are read, and whose transition timers fire, in the order of time."""

    def __init__(self) -> None:
        self.reducer: Reducer = make_reducer()
        self.now = NOW
        self.timers: list[effects.ScheduleTimer] = []
        self.files = [ReadFile(EXAMPLE, 0)]

    def read(self, at_ns: int, raw: dict[str, Any] | bytes) -> list[effects.Effect]:
        """Read a file at a time, after the timers that are due by then."""
        self.advance(at_ns)
        data = raw if isinstance(raw, bytes) else orjson.dumps(raw)
        applied = self.reducer.handle(self.now, inputs.ConfigFileRead("config.json", data))
        for effect in effects_of_type(effects.ScheduleTimer, applied):
            assert isinstance(effect, effects.ScheduleTimer)
            if effect.key.kind is TimerKind.SETTINGS_TRANSITION:
                self.timers.append(effect)
        if not isinstance(raw, bytes):
            self.files.append(ReadFile(raw, self.now))
        return applied

    def advance(self, at_ns: int) -> None:
        """Fire the timers that are due by a time."""
        for timer in sorted(self.timers, key=lambda t: t.at_ns):
            if timer.at_ns <= at_ns:
                self.timers.remove(timer)
                self.reducer.handle(timer.at_ns, inputs.TimerFired(timer.key))
        self.now = at_ns

    def idempotency(self) -> Idempotency:
        """The effect of orders that is in force."""
        return self.reducer.state.classes[ORDER].idempotency

    def has_settings_of(self, raw: dict[str, Any]) -> bool:
        """Whether the classes and limits of a file are in force, in the core and in the decision package."""
        wanted = parse_settings(raw["settings"], self.reducer.state.settings.seed)
        in_force = [self.reducer.state.settings, self.reducer.state.policy.settings]
        return all((s.classes, s.limits) == (wanted.classes, wanted.limits) for s in in_force)


def with_orders(idempotency: str, max_attempts: int = 6) -> dict[str, Any]:
    """The example configuration with another effect of orders and another attempt limit."""
    raw = copy.deepcopy(EXAMPLE)
    raw["settings"]["classes"][1]["idempotency"] = idempotency
    raw["settings"]["limits"]["most_tries"] = max_attempts
    return raw


def without_class(index: int) -> dict[str, Any]:
    """The example configuration without one of its two classes."""
    raw = copy.deepcopy(EXAMPLE)
    del raw["settings"]["classes"][index]
    family_info = raw["settings"]["family_info"]
    for key in RELOADED_FAMILY_KEYS:
        if isinstance(family_info.get(key), list):
            del family_info[key][index]
    return raw


def with_open_requests(max_open: int) -> dict[str, Any]:
    """The example configuration with safe orders and another limit of open requests."""
    raw = with_orders("safe")
    raw["settings"]["limits"]["max_open"] = max_open
    return raw


@pytest.mark.parametrize("taken_back_after_ns", [0, MS, SECOND, TRANSITION_NS - 1, TRANSITION_NS])
def test_a_file_that_is_taken_back_is_not_in_force_after_its_transition(taken_back_after_ns: int) -> None:
    """Orders that may not run twice were repeated: the file taken back came into force two seconds later."""
    router = ReloadedRouter()
    router.read(NOW, with_orders("safe"))
    router.read(NOW + taken_back_after_ns, EXAMPLE)
    for after_ns in (MS, TRANSITION_NS, 2 * TRANSITION_NS):
        router.advance(NOW + taken_back_after_ns + after_ns)
        assert router.idempotency() is Idempotency.UNSAFE
    assert router.has_settings_of(EXAMPLE)


@pytest.mark.parametrize("index", [PAGES, ORDERS])
def test_a_removed_class_that_is_taken_back_stays(index: int) -> None:
    """The file of the start was rejected if the class with the fewest keys had been removed meanwhile."""
    router = ReloadedRouter()
    router.read(NOW, without_class(index))
    router.read(NOW + SECOND, EXAMPLE)
    router.advance(NOW + 3 * TRANSITION_NS)
    assert router.has_settings_of(EXAMPLE)


def test_a_key_that_only_a_later_file_has_can_be_taken_back() -> None:
    """The file of the start was rejected because it lacks a key that the file in use has."""
    with_key = copy.deepcopy(EXAMPLE)
    with_key["settings"]["limits"]["max_open"] = 99
    with_key["settings"]["a later key"] = {}
    router = ReloadedRouter()
    router.read(NOW, with_key)
    router.read(NOW + SECOND, EXAMPLE)
    router.advance(NOW + 3 * TRANSITION_NS)
    assert router.reducer.state.counters["files refused"] == 0
    assert router.has_settings_of(EXAMPLE)


def test_a_limit_of_the_file_before_does_not_outlive_the_file_that_replaces_it() -> None:
    """Files whose classes and attempts are equal may differ in another limit, such as open requests."""
    router = ReloadedRouter()
    router.read(NOW, with_open_requests(7))
    router.read(NOW + SECOND, with_open_requests(9))
    router.advance(NOW + 3 * TRANSITION_NS)
    assert router.has_settings_of(with_open_requests(9))


def test_a_broken_file_does_not_end_or_extend_a_transition() -> None:
    """The pending settings of the last valid file come into force at their time."""
    router = ReloadedRouter()
    router.read(NOW, with_orders("safe"))
    router.read(NOW + SECOND, BROKEN_FILE)
    router.advance(NOW + TRANSITION_NS - 1)
    assert router.idempotency() is Idempotency.UNSAFE
    router.advance(NOW + TRANSITION_NS)
    assert router.has_settings_of(with_orders("safe"))


def test_the_same_file_again_does_not_extend_the_transition() -> None:
    """SIGHUP twice for one file is one change."""
    router = ReloadedRouter()
    router.read(NOW, with_orders("safe"))
    router.read(NOW + SECOND, with_orders("safe"))
    router.advance(NOW + TRANSITION_NS)
    assert router.has_settings_of(with_orders("safe"))


def test_routers_counted_during_a_transition_are_kept_after_it() -> None:
    """The end of a transition must not restore the number of routers from its beginning."""
    router = ReloadedRouter()
    router.read(NOW, with_orders("safe"))
    state = router.reducer.state
    counted = state.settings.zone_instances + 3
    state.change_settings(replace(state.settings, zone_instances=counted))
    router.advance(NOW + TRANSITION_NS)
    assert state.settings.zone_instances == counted
    assert router.has_settings_of(with_orders("safe"))


FILES = [
    with_orders("safe"),
    with_orders("unsafe"),
    with_orders("safe", 1),
    without_class(PAGES),
    BROKEN_FILE,
]
reads = st.lists(
    st.tuples(st.integers(0, 3 * TRANSITION_NS // MS), st.sampled_from(range(len(FILES)))), max_size=6
)


@settings(max_examples=300, deadline=None, derandomize=True)
@given(reads)
def test_any_succession_of_files_is_strict_while_it_lasts_and_ends_with_the_last(
    steps: list[tuple[int, int]],
) -> None:
    """For two seconds after a file the router is as strict as it and the one before; then as the last one."""
    router = ReloadedRouter()
    now = NOW
    for wait_ms, index in steps:
        now += wait_ms * MS
        router.read(now, FILES[index])
        assert_as_strict_as_recent_files(router)
    router.advance(now + TRANSITION_NS)
    assert router.has_settings_of(router.files[-1].raw)


def assert_as_strict_as_recent_files(router: ReloadedRouter) -> None:
    """Check effect and attempts against all files that clients may use: the last, and those it replaced."""
    recent = [file.raw for file in router.files if router.now - file.read_ns < TRANSITION_NS]
    replaced = [file.raw for file in router.files if router.now - file.read_ns >= TRANSITION_NS][-1:]
    for raw in replaced + recent:
        wanted = parse_settings(raw["settings"], 0)
        state = router.reducer.state
        assert state.settings.limits.max_attempts <= wanted.limits.max_attempts
        for request_class in wanted.classes:
            in_force = state.classes[request_class.name].idempotency
            assert IDEMPOTENCY_STRICTNESS[in_force] >= IDEMPOTENCY_STRICTNESS[request_class.idempotency]
