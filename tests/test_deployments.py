"""One program and one `run` line for deployments that call their classes what they like."""

from __future__ import annotations

import re
import shlex
import unittest
from dataclasses import replace

import msgpack
from click.testing import CliRunner
from hypothesis import given, settings
from hypothesis import strategies as st
from player import EXAMPLE

from kelpcroft.cli import main
from kelpcroft.config import parse
from kelpcroft.messages import Call
from kelpcroft.net.front import NONCE_MOST, FrontCodec
from kelpcroft.operator import check, load
from kelpcroft.routes.index import Index
from kelplab.standin import ROOT
from zincgrade import interface as api

HERE = parse(EXAMPLE, {}).settings
QUICK = settings(max_examples=80, deadline=None, derandomize=True)
classes = st.lists(
    st.builds(
        api.RequestClass, name=st.text("abcxyz-", min_size=1, max_size=8), effect=st.sampled_from(api.Effect),
        group=st.sampled_from(["all", "zone", "cell"]), uncacheable=st.booleans(), in_parts=st.booleans(),
        deadline_ns=st.sampled_from([0, 10**9, 6 * 10**9])),
    min_size=1, max_size=5, unique_by=lambda c: c.name).map(tuple)
limits = st.builds(
    api.Limits, max_attempts=st.integers(1, 9), second_copies=st.booleans(), retry_after=st.booleans())


class RunLine(unittest.TestCase):
    """`run` named a file that matched classes by one site's names: at any other the program ended with 2."""

    @QUICK
    @given(classes, limits)
    def test_the_file_of_run_holds_in_any_deployment(
        self, found: tuple[api.RequestClass, ...], allowed: api.Limits
    ) -> None:
        run = re.search(r"ROUTER_RULES=\S*(deploy/\S+)", (ROOT / "deploy/balancer.toml").read_text())
        assert run
        file, faults = load((ROOT / run[1]).read_bytes())
        here = replace(HERE, classes=found, limits=allowed)
        self.assertEqual(faults or check(file, here), [])
        for cls in found:
            at = Index(file.routes, "edge-1").find(cls, "0" * 16, 0, 0, False, False)
            self.assertEqual(file.routes[at].bounds.attempts, 1 if cls.effect is api.Effect.UNSAFE else None)

    def test_a_class_that_becomes_another_in_service_is_matched_anew(self) -> None:
        file = load(b'kelpcroft version=1\nroute "once" { match effect="unsafe"; }\n'
                    b'route "rest" { match; }\n')[0]
        index = Index(file.routes, "edge-1")
        page = HERE.classes[0]
        found = [index.find(c, "0" * 16, 0, 0, False, False)
                 for c in (page, replace(page, effect=api.Effect.UNSAFE), page)]
        self.assertEqual(found, [1, 0, 1])

    def test_a_kind_that_no_class_here_is_waits_for_one(self) -> None:
        file = load(b'kelpcroft version=1\nroute "k" { match effect="keyed"; }\nroute "r" { match; }\n')[0]
        self.assertEqual(check(file, HERE), [])
        named = load(b'kelpcroft version=1\nroute "k" { match class="page" effect="keyed"; }\n'
                     b'route "r" { match; }\n')[0]
        self.assertEqual([f.code for f in check(named, HERE)], ["unreachable-route"])


class Printed(unittest.TestCase):
    def test_every_printed_example_runs_as_printed(self) -> None:
        """They named a file of one site beside another's configuration, and ended with three faults."""
        for verb in ("check", "explain", "diff"):
            told = CliRunner().invoke(main, [verb, "--help"]).output
            example = re.search(r"Example:\s+(kelpcroft .*?)(?:\n\n|\Z)", told, re.S)
            assert example, told
            words = shlex.split(example[1])[1:]
            done = CliRunner().invoke(main, [str(ROOT / w) if "/" in w else w for w in words])
            self.assertIn(done.exit_code, (0, 1) if verb == "diff" else (0,), done.output)
            self.assertNotIn("unknown", done.output)

    def test_diff_without_a_deployment_tells_kinds_apart(self) -> None:
        words = ["diff", str(ROOT / "deploy/routes.kdl"), str(ROOT / "examples/operator.kdl")]
        told = CliRunner().invoke(main, words).output
        self.assertIn("class any other (unsafe): all of it\n  once -> no route\n", told)
        self.assertIn("class any other (keyed): all of it\n  rest -> no route\n", told)


class Fields(unittest.TestCase):
    def call(self, **more: str) -> Call:
        fields = {"trace": "0" * 16, "patience": "900", "entity": "0" * 16, **more}
        codec = FrontCodec(1, 65_536)
        (call,) = codec.feed(memoryview(msgpack.packb([0, 1, "page", [fields, b""]])))
        assert isinstance(call, Call)
        return call

    @QUICK
    @given(st.text(max_size=NONCE_MOST + 9) | st.text("!~aZ0.-_:", min_size=1, max_size=NONCE_MOST + 9))
    def test_a_nonce_passes_unchanged_or_is_a_fault(self, nonce: str) -> None:
        call = self.call(nonce=nonce)
        good = 0 < len(nonce) <= NONCE_MOST and all("!" <= c <= "~" and c not in ",=" for c in nonce)
        self.assertEqual((call.nonce, bool(call.fault)), (nonce, False) if good else ("", True))

    @QUICK
    @given(st.text(max_size=40) | st.floats().map(repr))
    def test_a_size_is_a_finite_number_above_none_or_not_told(self, size: str) -> None:
        found = self.call(size=size).size_kb
        self.assertTrue(0 <= found <= 1e9)
        if found:
            self.assertEqual(found, float(size))
        self.assertEqual(self.call(size="412.5").size_kb, 412.5)
