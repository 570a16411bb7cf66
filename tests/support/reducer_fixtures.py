"""Fixtures: a reducer with the example configuration, client requests for it, and a filter of effects."""

from __future__ import annotations

from kelpcroft.config import parse_config
from kelpcroft.core import effects, inputs
from kelpcroft.core.reducer import Reducer
from kelpcroft.core.state import MS
from tests.support.exchange_player import EXAMPLE

TRACE = "00000000000000ab"
GOOD_RESPONSE = b"*4\r\n$1\r\ng\r\n$4\r\nDONE\r\n$1\r\n-\r\n$2\r\nby\r\n"
NOW = 1_764_576_000 * 1_000 * MS


def client_request(
    number: int, object_id: str = "0a", remaining_ms: int = 2_000, client: int = 1, class_name: str = "page"
) -> inputs.ClientRequest:
    trace = f"{number:016x}"
    return inputs.ClientRequest(
        client,
        number,
        class_name,
        trace,
        remaining_ms * MS,
        object_id,
        "0",
        int(object_id, 16),
        0,
        17,
        False,
        "",
        b"",
    )


def make_reducer() -> Reducer:
    reducer = Reducer(parse_config(EXAMPLE, {}))
    reducer.start(NOW)
    reducer.handle(NOW, inputs.ListenersReady())
    return reducer


def effects_of_type(effect_type: type, effect_list: list[effects.Effect]) -> list[effects.Effect]:
    return [e for e in effect_list if isinstance(e, effect_type)]
