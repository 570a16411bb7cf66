"""An upgrade within two seconds of a reload: the successor continues its predecessor's transition."""

from __future__ import annotations

import copy
from dataclasses import replace
from typing import Any

import orjson
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from kelpcroft.config import parse_config
from kelpcroft.config_reload import TRANSITION_NS
from kelpcroft.core import effects, inputs
from kelpcroft.core.messages import TimerKind
from kelpcroft.core.reducer import Reducer
from kelpcroft.core.state import MS, SECOND
from kelpcroft.decision.interface import Idempotency
from kelpcroft.net.replaced_settings_codec import (
    MAX_FILE_BYTES,
    SettingsTooLargeError,
)
from kelpcroft.net.replaced_settings_codec import (
    decode_replaced_settings as decode,
)
from kelpcroft.net.replaced_settings_codec import (
    encode_replaced_settings as encode,
)
from kelpcroft.store.handover import UnusableFileError
from tests.support.exchange_player import EXAMPLE
from tests.support.reducer_fixtures import NOW, effects_of_type

ORDERS = 1  # index of the class of orders


def with_orders(idempotency: str, max_attempts: int = 6) -> dict[str, Any]:
    """The example configuration with another effect of orders and another attempt limit."""
    raw = copy.deepcopy(EXAMPLE)
    raw["settings"]["classes"][ORDERS]["idempotency"] = idempotency
    raw["settings"]["limits"]["most_tries"] = max_attempts
    return raw


def without_orders() -> dict[str, Any]:
    """The example configuration without the class of orders."""
    raw = copy.deepcopy(EXAMPLE)
    del raw["settings"]["classes"][ORDERS]
    return raw


def process(raw: dict[str, Any], now: int, descriptor: int | None = 3) -> Reducer:
    """A process that starts with a configuration, on a shared listening socket."""
    config = replace(parse_config(raw, {}), inherited_listener_fd=descriptor, state_dir="/run/x")
    reducer = Reducer(config)
    reducer.start(now)
    return reducer


def reload(reducer: Reducer, now: int, raw: dict[str, Any]) -> list[effects.Effect]:
    return reducer.handle(now, inputs.ConfigFileRead("config.json", orjson.dumps(raw)))


def upgraded(start: dict[str, Any], files: list[tuple[int, dict[str, Any]]], at_ns: int) -> Upgraded:
    """A successor that starts after its predecessor has read files at given times."""
    first = process(start, NOW)
    replaced: tuple[inputs.ReplacedSettings, ...] = ()
    for read_ns, raw in files:
        for effect in reload(first, read_ns, raw):
            if isinstance(effect, effects.PersistReplacedSettings):
                replaced = decode(encode("n1", 1, effect.replaced), "n1")
    return Upgraded(files[-1][1], replaced, at_ns)


class Upgraded:
    """A successor with the replaced settings of its predecessor."""

    def __init__(self, raw: dict[str, Any], replaced: tuple[inputs.ReplacedSettings, ...], now: int) -> None:
        self.reducer = process(raw, now)
        self.done = self.reducer.handle(now, inputs.PredecessorSettings(replaced))

    def idempotency(self) -> Idempotency:
        """The effect of orders that is in force."""
        return self.reducer.state.classes["order"].idempotency

    def end_transition(self) -> int:
        """Fire the timer of the transition, and return when it was due."""
        (timer,) = (
            e
            for e in effects_of_type(effects.ScheduleTimer, self.done)
            if isinstance(e, effects.ScheduleTimer) and e.key.kind is TimerKind.SETTINGS_TRANSITION
        )
        self.reducer.handle(timer.at_ns, inputs.TimerFired(timer.key))
        return timer.at_ns


def test_a_less_strict_class_waits_for_the_end_of_the_transition_in_the_successor() -> None:
    """A successor that started within the transition repeated orders that the replaced file forbids to."""
    successor = upgraded(EXAMPLE, [(NOW, with_orders("safe"))], NOW + SECOND)
    assert successor.idempotency() is Idempotency.UNSAFE
    assert successor.reducer.state.policy.settings.classes[ORDERS].idempotency is Idempotency.UNSAFE
    assert successor.end_transition() == NOW + TRANSITION_NS
    assert successor.idempotency() is Idempotency.SAFE


def test_a_removed_class_is_served_to_the_end_of_the_transition_by_the_successor() -> None:
    """Clients still send requests of it; without its class the successor failed them."""
    successor = upgraded(EXAMPLE, [(NOW, without_orders())], NOW + SECOND)
    assert successor.idempotency() is Idempotency.UNSAFE
    successor.end_transition()
    assert "order" not in successor.reducer.state.classes


def test_all_files_of_the_last_two_seconds_count_in_the_successor() -> None:
    """Clients may use any of them."""
    files = [(NOW, with_orders("unsafe", 1)), (NOW + SECOND, with_orders("safe", 5))]
    successor = upgraded(with_orders("safe", 3), files, NOW + 1_500 * MS)
    assert successor.idempotency() is Idempotency.UNSAFE
    assert successor.reducer.state.settings.limits.max_attempts == 1
    assert successor.end_transition() == NOW + SECOND + TRANSITION_NS
    assert successor.reducer.state.settings.limits.max_attempts == 5


def test_a_reload_in_a_continued_transition_begins_another() -> None:
    """The successor's own file replaces what is pending, and its successor hears of both."""
    successor = upgraded(EXAMPLE, [(NOW, with_orders("safe"))], NOW + SECOND)
    performed = reload(successor.reducer, NOW + SECOND, with_orders("safe", 2))
    (persisted,) = effects_of_type(effects.PersistReplacedSettings, performed)
    assert isinstance(persisted, effects.PersistReplacedSettings)
    assert [entry.replaced_ns for entry in persisted.replaced] == [NOW, NOW + SECOND]
    successor.end_transition()  # the timer of the first transition has no effect any more
    assert successor.idempotency() is Idempotency.UNSAFE


@pytest.mark.parametrize("after_ns", [TRANSITION_NS, 3_600 * SECOND])
def test_settings_that_were_replaced_long_ago_have_no_effect(after_ns: int) -> None:
    """A file of an earlier reload stays in the folder."""
    successor = upgraded(EXAMPLE, [(NOW, with_orders("safe"))], NOW + after_ns)
    assert successor.done == []
    assert successor.idempotency() is Idempotency.SAFE


def test_unusable_settings_are_logged_and_have_no_effect() -> None:
    """The process starts with its own file."""
    successor = Upgraded(with_orders("safe"), (inputs.ReplacedSettings({"classes": 7}, NOW),), NOW)
    (line,) = effects_of_type(effects.LogEvent, successor.done)
    assert isinstance(line, effects.LogEvent)
    assert line.event == "handover.refused"
    assert successor.idempotency() is Idempotency.SAFE
    refused = successor.reducer.handle(NOW, inputs.PredecessorSettings((), "x: is not JSON"))
    assert len(refused) == 1


def test_a_process_with_its_own_socket_writes_no_settings() -> None:
    """It has no successor beside it."""
    reducer = process(EXAMPLE, NOW, descriptor=None)
    assert effects_of_type(effects.PersistReplacedSettings, reload(reducer, NOW, with_orders("safe"))) == []


JSON_OBJECTS = st.dictionaries(st.text(max_size=5), st.integers(0, 9) | st.text(max_size=5), max_size=4)
ENTRIES = st.lists(st.builds(inputs.ReplacedSettings, JSON_OBJECTS, st.integers(0, 2**62)), max_size=4)


@settings(max_examples=100, deadline=None, derandomize=True)
@given(ENTRIES.map(tuple))
def test_a_file_is_read_back_and_a_cut_one_is_rejected(entries: tuple[inputs.ReplacedSettings, ...]) -> None:
    """A file that is cut off anywhere must not be taken for a shorter one."""
    data = encode("n1", 1, entries)
    assert decode(data, "n1") == entries
    for length in range(0, len(data) - 1, max(1, len(data) // 10)):
        with pytest.raises(UnusableFileError):
            decode(data[:length], "n1")


GOOD = orjson.loads(encode("n1", 1, (inputs.ReplacedSettings({}, NOW),)))


@pytest.mark.parametrize(
    ("change", "expected"),
    [
        ({"v": 2}, "not a version known"),
        ({"name": "n2"}, "another router's"),
        ({"replaced": {}}, "is not a list"),
        ({"replaced": [7]}, "not an object"),
        ({"replaced": [{"settings": 7, "at_ns": 1}]}, "settings:"),
        ({"replaced": [{"settings": {}, "at_ns": True}]}, "at_ns:"),
        ({"replaced": [{"settings": {}, "at_ns": -1}]}, "at_ns:"),
        ({"padding": "x" * MAX_FILE_BYTES}, "is over"),
    ],
)
def test_an_unusable_file_is_rejected(change: dict[str, Any], expected: str) -> None:
    """The message names what was found."""
    with pytest.raises(UnusableFileError, match=expected):
        decode(orjson.dumps({**GOOD, **change}), "n1")


def test_settings_over_the_limit_are_not_written() -> None:
    """The file counts as memory."""
    with pytest.raises(SettingsTooLargeError):
        encode("n1", 1, (inputs.ReplacedSettings({"padding": "x" * MAX_FILE_BYTES}, NOW),))
