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
from tests.support.route_strategies import matches, maybe

MS = 1_000_000
QUICK = settings(max_examples=60, deadline=None, derandomize=True)
times = st.integers(1, 5_000).map(lambda n: n * MS)
names = st.text('abc é"\\{}/;', min_size=1, max_size=6).map(str.strip).filter(bool)


quantiles = st.builds(
    AdaptiveDuration,
    quantile=st.sampled_from([0.5, 0.95, 0.99, 0.999]),
    min_ns=st.integers(0, 9).map(lambda n: n * MS),
)
bounds = st.builds(
    RoutePolicy,
    answer_timeout=maybe(st.builds(ResponseTimeout, ns=st.integers(10_000, 20_000).map(lambda n: n * MS))),
    attempt_timeout=maybe(
        st.builds(AdaptiveDuration, ns=st.integers(9_000, 9_900).map(lambda n: n * MS)) | quantiles
    ),
    max_attempts=maybe(st.integers(1, 9)),
    retry_on=maybe(st.frozensets(st.sampled_from(RETRYABLE_OUTCOMES), min_size=1)),
    retry_budget=maybe(st.just("b")),
    max_reroutes=maybe(st.integers(0, 9)),
    backoff=maybe(st.builds(Backoff, st.just(MS), st.integers(1, 90).map(lambda n: n * MS), st.booleans())),
    hedging=maybe(
        st.builds(
            Hedging, st.integers(1, 3), st.builds(AdaptiveDuration, ns=times) | quantiles, maybe(st.just("b"))
        )
    ),
    max_open_requests=maybe(st.integers(1, 999)),
    retry_after_ns=maybe(times),
)


@st.composite
def files(draw: Any) -> OperatorFile:
    rows = st.tuples(names, matches, bounds)
    found = draw(st.lists(rows, min_size=1, max_size=4, unique_by=lambda r: r[0]))
    used = any(b.retry_budget or (b.hedging and b.hedging.budget) for _, _, b in found)
    budget = BudgetSettings("b", 0.25, draw(st.sampled_from([0.0, 5.0])), 20.0)
    return OperatorFile(tuple(Route(*route) for route in found), (budget,) if used else ())


def quoted(text: str) -> str:
    return '"' + text.replace("\\", "\\\\").replace('"', '\\"') + '"'


def written(file: OperatorFile, gap: str, end: str) -> str:
    """The text of a file, with the given separators between words and between nodes."""

    def moment(m: AdaptiveDuration, key: str) -> str:
        if m.ns:
            return f'{key}{"" if "/-" in gap else gap}="{m.ns // MS}ms"'
        return f'{key}="p{m.quantile * 100:g}"' + (f'{gap}least="{m.min_ns // MS}ms"' if m.min_ns else "")

    def flag(key: str, value: bool | None) -> str:
        return "" if value is None else f"{gap}{key}=#{str(value).lower()}"

    def listed(key: str, values: Any) -> str:
        words = ",".join(v if isinstance(v, str) else f"{v[0]}..{v[1]}" for v in values)
        return f'{gap}{key}="{words}"' if words else ""

    text = f"kelpcroft{gap}version=1{end}"
    for b in file.budgets:
        text += f'budget "{b.name}"{gap}ratio={b.ratio}{gap}least="{b.min_per_s}/s" burst={b.burst}{end}'
    for r in file.routes:
        m, b = r.match, r.policy
        text += (
            f"route {quoted(r.name)}{gap}{{{end}match"
            + listed("class", m.classes)
            + listed("group", m.groups)
            + listed("object", m.objects)
            + listed("part", m.parts)
            + flag("retry", m.retry)
            + flag("write", m.write)
            + listed("effect", m.effects)
            + flag("through", m.uncacheable)
            + flag("multipart", m.multipart)
            + end
        )
        if b.answer_timeout:
            text += f'timeout{gap}"{b.answer_timeout.ns // MS}ms"{end}'
        if b.attempt_timeout:
            text += f"attempt{gap}{moment(b.attempt_timeout, 'timeout')}{end}"
        if b.max_attempts is not None or b.retry_on is not None or b.retry_budget:
            text += "attempts" + (f"{gap}most={b.max_attempts}" if b.max_attempts is not None else "")
            text += (
                listed("on", sorted(b.retry_on or ()))
                + (f'{gap}budget="{b.retry_budget}"' if b.retry_budget else "")
                + end
            )
        if b.max_reroutes is not None:
            text += f"moves{gap}most={b.max_reroutes}{end}"
        if b.backoff:
            text += (
                f'backoff first="{b.backoff.initial_ns // MS}ms"{gap}most="{b.backoff.max_ns // MS}ms"'
                f'{gap}jitter="{"full" if b.backoff.full_jitter else "none"}"{end}'
            )
        if b.hedging:
            text += f"copies most={b.hedging.max_hedges}{gap}{moment(b.hedging.delay, 'after')}"
            text += (f'{gap}budget="{b.hedging.budget}"' if b.hedging.budget else "") + end
        if b.max_open_requests is not None:
            text += f"limit{gap}open={b.max_open_requests}{end}"
        if b.retry_after_ns is not None:
            text += f'pause "{b.retry_after_ns // MS}ms"{end}'
        text += f"}}{end}"
    return text


GAPS = st.sampled_from(
    [" ", "\t ", " /* a /* nested */ } */ ", " \\\n  ", " \\ // more\n ", " /-7 ", "\u3000"]
)
ENDS = st.sampled_from(["\n", ";", "\r\n", " // said { so }\n", '\n\n/- route "x" { match; }\n', "\u2028"])


class Properties(unittest.TestCase):
    @QUICK
    @given(files(), GAPS, ENDS)
    def test_a_file_reads_back_as_it_was_meant(self, file: OperatorFile, gap: str, end: str) -> None:
        text = written(file, gap, end)
        read, faults = load(text.encode())
        wrong = [
            f for f in faults if f.code not in ("copy-after-attempt", "attempt-over-route", "too-complex")
        ]
        assert wrong == [], text
        assert read == file, text

    @QUICK
    @given(files(), GAPS, ENDS)
    def test_places_point_at_what_they_name(self, file: OperatorFile, gap: str, end: str) -> None:
        text = written(file, gap, end)
        starts = SourceText(text).line_starts
        for item in parse_nodes(text.encode(), DiagnosticCollector()):
            place = SourceText(text).position_of(item.offset)
            assert text[starts[place.line - 1] + place.column - 1 :].startswith(item.name)
            for child in item.children:
                assert text[child.offset :].startswith(child.name)
                for key, prop in child.properties.items():
                    assert text[prop.key_offset :].startswith(key)
                    value = prop.value
                    word = (
                        f'"{value}"'
                        if isinstance(value, str)
                        else f"#{str(value).lower()}"
                        if isinstance(value, bool)
                        else str(value)
                    )
                    assert text[prop.value_offset :].startswith(word), word

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
        self, file: OperatorFile, cuts: list[tuple[int, bytes, int]]
    ) -> None:
        data = written(file, " ", "\n").encode()
        for at, put, gone in cuts:
            at %= len(data) + 1
            data = data[:at] + put + data[at + gone :]
        _, faults = load(data)
        for fault in faults:
            assert fault.position >= (1, 1)

    @QUICK
    @given(st.text('a"#\\/*-{}();= \n1', max_size=40))
    def test_what_the_parser_takes_the_locator_finds(self, text: str) -> None:
        """The locator must find each node that ckdl parses, or no offset could be assigned to it."""
        try:
            nodes = ckdl.parse(text, version=2).nodes
        except ValueError:
            return
        try:
            spots = list(NodeLocator(text).top_level_nodes())
        except KdlSyntaxError:
            return  # the file is rejected; the locator may be stricter than the parser
        assert len(spots) == len(nodes), text


if __name__ == "__main__":
    unittest.main()
