"""Hypothesis strategies for route matches."""

from __future__ import annotations

from typing import Any

from hypothesis import strategies as st

from kelpcroft.operator_file.model import (
    EFFECT_NAMES,
    RouteMatch,
)


def optional(strategy: st.SearchStrategy[Any]) -> st.SearchStrategy[Any]:
    return st.none() | strategy


def ranges(maximum: int) -> st.SearchStrategy[Any]:
    pair = st.tuples(st.integers(0, maximum), st.integers(0, maximum)).map(lambda p: (min(p), max(p)))
    return st.lists(pair, max_size=3).map(tuple)


matches = st.builds(
    RouteMatch,
    classes=st.lists(st.sampled_from(["page", "order"]), max_size=2).map(tuple),
    groups=ranges(255),
    objects=st.lists(st.text("0123456789abcdef", min_size=1, max_size=16), max_size=3).map(tuple),
    parts=ranges(9_999),
    zones=st.just(()),
    retry=optional(st.booleans()),
    write=optional(st.booleans()),
    effects=st.lists(st.sampled_from(EFFECT_NAMES), max_size=2).map(tuple),
    uncacheable=optional(st.booleans()),
    multipart=optional(st.booleans()),
)
