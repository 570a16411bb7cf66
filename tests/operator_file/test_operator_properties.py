"""Valid files are read correctly in any notation; invalid files are rejected without a crash."""

from __future__ import annotations

import unittest
from typing import Any

import ckdl
from hypothesis import given, settings
from hypothesis import strategies as st

from kelpcroft.operator_file import load
from kelpcroft.operator_file.diagnostics import DiagnosticCollector, SourceText
from kelpcroft.operator_file.locator import KdlSyntaxError, NodeLocator
from kelpcroft.operator_file.model import (
    RETRYABLE_OUTCOMES,
    AdaptiveDuration,
    Backoff,
    BudgetSettings,
    Hedging,
    OperatorFile,
    ResponseTimeout,
    Route,
    RoutePolicy,
)
from kelpcroft.operator_file.text import parse_nodes
from tests.support.route_strategies import matches, optional

MS = 1_000_000
QUICK = settings(max_examples=60, deadline=None, derandomize=True)
times = st.integers(1, 5_000).map(lambda n: n * MS)
names = st.text('abc é"\\{}/;', min_size=1, max_size=6).map(str.strip).filter(bool)


quantiles = st.builds(
    AdaptiveDuration,
    quantile=st.sampled_from([0.5, 0.95, 0.99, 0.999]),
    min_ns=st.integers(0, 9).map(lambda n: n * MS),
)
policies = st.builds(
    RoutePolicy,
    answer_timeout=optional(st.builds(ResponseTimeout, ns=st.integers(10_000, 20_000).map(lambda n: n * MS))),
    attempt_timeout=optional(
        st.builds(AdaptiveDuration, ns=st.integers(9_000, 9_900).map(lambda n: n * MS)) | quantiles
    ),
    max_attempts=optional(st.integers(1, 9)),
    retry_on=optional(st.frozensets(st.sampled_from(RETRYABLE_OUTCOMES), min_size=1)),
    retry_budget=optional(st.just("b")),
    max_reroutes=optional(st.integers(0, 9)),
    backoff=optional(
        st.builds(Backoff, st.just(MS), st.integers(1, 90).map(lambda n: n * MS), st.booleans())
    ),
    hedging=optional(
        st.builds(
            Hedging,
            st.integers(1, 3),
            st.builds(AdaptiveDuration, ns=times) | quantiles,
            optional(st.just("b")),
        )
    ),
    max_open_requests=optional(st.integers(1, 999)),
    retry_after_ns=optional(times),
)


@st.composite
def files(draw: Any) -> OperatorFile:
    rows = st.tuples(names, matches, policies)
    routes = draw(st.lists(rows, min_size=1, max_size=4, unique_by=lambda row: row[0]))
    uses_budget = any(
        policy.retry_budget or (policy.hedging and policy.hedging.budget) for _, _, policy in routes
    )
    budget = BudgetSettings("b", 0.25, draw(st.sampled_from([0.0, 5.0])), 20.0)
    return OperatorFile(tuple(Route(*route) for route in routes), (budget,) if uses_budget else ())


def quoted(text: str) -> str:
    return '"' + text.replace("\\", "\\\\").replace('"', '\\"') + '"'


def file_text(file: OperatorFile, separator: str, terminator: str) -> str:
    """The text of a file, with the given separators between words and between nodes."""

    def duration_text(duration: AdaptiveDuration, key: str) -> str:
        if duration.ns:
            return f'{key}{"" if "/-" in separator else separator}="{duration.ns // MS}ms"'
        return f'{key}="p{duration.quantile * 100:g}"' + (
            f'{separator}least="{duration.min_ns // MS}ms"' if duration.min_ns else ""
        )

    def flag_text(key: str, value: bool | None) -> str:
        return "" if value is None else f"{separator}{key}=#{str(value).lower()}"

    def list_text(key: str, values: Any) -> str:
        items = ",".join(v if isinstance(v, str) else f"{v[0]}..{v[1]}" for v in values)
        return f'{separator}{key}="{items}"' if items else ""

    text = f"kelpcroft{separator}version=1{terminator}"
    for b in file.budgets:
        text += (
            f'budget "{b.name}"{separator}ratio={b.ratio}{separator}'
            f'least="{b.min_per_s}/s" burst={b.burst}{terminator}'
        )
    for r in file.routes:
        m, b = r.match, r.policy
        text += (
            f"route {quoted(r.name)}{separator}{{{terminator}match"
            + list_text("class", m.classes)
            + list_text("group", m.groups)
            + list_text("object", m.objects)
            + list_text("part", m.parts)
            + flag_text("retry", m.retry)
            + flag_text("write", m.write)
            + list_text("effect", m.effects)
            + flag_text("through", m.uncacheable)
            + flag_text("multipart", m.multipart)
            + terminator
        )
        if b.answer_timeout:
            text += f'timeout{separator}"{b.answer_timeout.ns // MS}ms"{terminator}'
        if b.attempt_timeout:
            text += f"attempt{separator}{duration_text(b.attempt_timeout, 'timeout')}{terminator}"
        if b.max_attempts is not None or b.retry_on is not None or b.retry_budget:
            text += "attempts" + (f"{separator}most={b.max_attempts}" if b.max_attempts is not None else "")
            text += (
                list_text("on", sorted(b.retry_on or ()))
                + (f'{separator}budget="{b.retry_budget}"' if b.retry_budget else "")
                + terminator
            )
        if b.max_reroutes is not None:
            text += f"moves{separator}most={b.max_reroutes}{terminator}"
        if b.backoff:
            text += (
                f'backoff first="{b.backoff.initial_ns // MS}ms"{separator}most="{b.backoff.max_ns // MS}ms"'
                f'{separator}jitter="{"full" if b.backoff.full_jitter else "none"}"{terminator}'
            )
        if b.hedging:
            text += f"copies most={b.hedging.max_hedges}{separator}{duration_text(b.hedging.delay, 'after')}"
            text += (f'{separator}budget="{b.hedging.budget}"' if b.hedging.budget else "") + terminator
        if b.max_open_requests is not None:
            text += f"limit{separator}open={b.max_open_requests}{terminator}"
        if b.retry_after_ns is not None:
            text += f'pause "{b.retry_after_ns // MS}ms"{terminator}'
        text += f"}}{terminator}"
    return text


SEPARATORS = st.sampled_from(
    [" ", "\t ", " /* a /* nested */ } */ ", " \\\n  ", " \\ // more\n ", " /-7 ", "\u3000"]
)
TERMINATORS = st.sampled_from(
    ["\n", ";", "\r\n", " // said { so }\n", '\n\n/- route "x" { match; }\n', "\u2028"]
)


class Properties(unittest.TestCase):
    @QUICK
    @given(files(), SEPARATORS, TERMINATORS)
    def test_a_file_reads_back_unchanged(self, file: OperatorFile, separator: str, terminator: str) -> None:
        text = file_text(file, separator, terminator)
        parsed, diagnostics = load(text.encode())
        unexpected = [
            diagnostic
            for diagnostic in diagnostics
            if diagnostic.code not in ("copy-after-attempt", "attempt-over-route", "too-complex")
        ]
        assert unexpected == [], text
        assert parsed == file, text

    @QUICK
    @given(files(), SEPARATORS, TERMINATORS)
    def test_offsets_point_at_the_text_of_names_and_values(
        self, file: OperatorFile, separator: str, terminator: str
    ) -> None:
        text = file_text(file, separator, terminator)
        starts = SourceText(text).line_starts
        for node in parse_nodes(text.encode(), DiagnosticCollector()):
            position = SourceText(text).position_of(node.offset)
            assert text[starts[position.line - 1] + position.column - 1 :].startswith(node.name)
            for child in node.children:
                assert text[child.offset :].startswith(child.name)
                for key, node_property in child.properties.items():
                    assert text[node_property.key_offset :].startswith(key)
                    value = node_property.value
                    value_text = (
                        f'"{value}"'
                        if isinstance(value, str)
                        else f"#{str(value).lower()}"
                        if isinstance(value, bool)
                        else str(value)
                    )
                    assert text[node_property.value_offset :].startswith(value_text), value_text

    @QUICK
    @given(
        files(),
        st.lists(
            st.tuples(
                st.integers(0, 10**6),
                st.sampled_from(
                    [
                        b"",
                        b"{",
                        b"}",
                        b'"',
                        b"\xff",
                        b"\\",
                        b"/-",
                        b"/*",
                        b"(",
                        b"=",
                        b"\x00",
                        b"#inf",
                        b"99e99",
                        b'"""',
                        b'#"',
                        b"\xef\xbb\xbf",
                    ]
                ),
                st.integers(0, 9),
            ),
            min_size=1,
            max_size=5,
        ),
    )
    def test_a_broken_file_never_crashes(
        self, file: OperatorFile, edits: list[tuple[int, bytes, int]]
    ) -> None:
        data = file_text(file, " ", "\n").encode()
        for offset, inserted, deleted_count in edits:
            offset %= len(data) + 1
            data = data[:offset] + inserted + data[offset + deleted_count :]
        _, diagnostics = load(data)
        for diagnostic in diagnostics:
            assert diagnostic.position >= (1, 1)

    @QUICK
    @given(st.text('a"#\\/*-{}();= \n1', max_size=40))
    def test_the_locator_finds_each_node_of_the_parser(self, text: str) -> None:
        """The locator must find each node that ckdl parses, or no offset could be assigned to it."""
        try:
            nodes = ckdl.parse(text, version=2).nodes
        except ValueError:
            return
        try:
            spans = list(NodeLocator(text).top_level_nodes())
        except KdlSyntaxError:
            return  # the file is rejected; the locator may be stricter than the parser
        assert len(spans) == len(nodes), text


if __name__ == "__main__":
    unittest.main()
