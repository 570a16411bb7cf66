"""One program and one command line of `run` work in deployments whose classes have any names."""

from __future__ import annotations

import ast
import json
import os
import re
import shlex
import socket
import subprocess
import sys
import tempfile
import unittest
from dataclasses import replace

import msgpack
from click.testing import CliRunner
from hypothesis import given, settings
from hypothesis import strategies as st

from kelpcroft import deployment_check
from kelpcroft.cli import main
from kelpcroft.config import parse_config
from kelpcroft.core.inputs import ClientRequest
from kelpcroft.decision import interface as api
from kelpcroft.net.client_codec import MAX_IDEMPOTENCY_KEY_CHARS, ClientCodec
from kelpcroft.operator_file import check, load
from kelpcroft.routes.index import RouteIndex
from testbed.stand_ins import ROOT
from tests.support.exchange_player import EXAMPLE

EXAMPLE_SETTINGS = parse_config(EXAMPLE, {}).settings
FEW_EXAMPLES = settings(max_examples=80, deadline=None, derandomize=True)
classes = st.lists(
    st.builds(
        api.RequestClass,
        name=st.text("abcxyz-", min_size=1, max_size=8),
        idempotency=st.sampled_from(api.Idempotency),
        dedup_scope=st.sampled_from(["all", "zone", "cell"]),
        uncacheable=st.booleans(),
        multipart=st.booleans(),
        deadline_ns=st.sampled_from([0, 10**9, 6 * 10**9]),
    ),
    min_size=1,
    max_size=5,
    unique_by=lambda c: c.name,
).map(tuple)
limits = st.builds(
    api.Limits, max_attempts=st.integers(1, 9), may_hedge=st.booleans(), may_send_retry_after=st.booleans()
)


class RunLine(unittest.TestCase):
    """Guards against a file of `run` with class names of one deployment.

    With such a file, the router exited with code 2 in every other deployment.
    """

    @FEW_EXAMPLES
    @given(classes, limits)
    def test_the_file_of_run_holds_in_any_deployment(
        self, given_classes: tuple[api.RequestClass, ...], given_limits: api.Limits
    ) -> None:
        run = re.search(r"ROUTER_RULES=\S*(deploy/\S+)", (ROOT / "deploy/balancer.toml").read_text())
        assert run
        file, diagnostics = load((ROOT / run[1]).read_bytes())
        deployment = replace(EXAMPLE_SETTINGS, classes=given_classes, limits=given_limits)
        assert (diagnostics or check(file, deployment)) == []
        for request_class in given_classes:
            route = RouteIndex(file.routes, "edge-1").find(request_class, "0" * 16, 0, 0, False, False)
            assert file.routes[route].policy.max_attempts == (
                1 if request_class.idempotency is api.Idempotency.UNSAFE else None
            )

    def test_a_class_that_is_changed_in_service_is_matched_again(self) -> None:
        file = load(
            b'kelpcroft version=1\nroute "once" { match effect="unsafe"; }\nroute "rest" { match; }\n'
        )[0]
        index = RouteIndex(file.routes, "edge-1")
        page = EXAMPLE_SETTINGS.classes[0]
        routes = [
            index.find(c, "0" * 16, 0, 0, False, False)
            for c in (page, replace(page, idempotency=api.Idempotency.UNSAFE), page)
        ]
        assert routes == [1, 0, 1]

    def test_a_match_on_an_effect_without_a_class_is_allowed(self) -> None:
        file = load(b'kelpcroft version=1\nroute "k" { match effect="keyed"; }\nroute "r" { match; }\n')[0]
        assert check(file, EXAMPLE_SETTINGS) == []
        named = load(
            b'kelpcroft version=1\nroute "k" { match class="page" effect="keyed"; }\nroute "r" { match; }\n'
        )[0]
        assert [f.code for f in check(named, EXAMPLE_SETTINGS)] == ["unreachable-route"]


class PrintedExamples(unittest.TestCase):
    def test_every_printed_example_runs_as_printed(self) -> None:
        """Guards against an example with files of two deployments, whose check reported three errors."""
        for verb in ("check", "explain", "diff", "rollout plan"):
            output = CliRunner().invoke(main, [*verb.split(), "--help"]).output
            example = re.search(r"Example:\s+(kelpcroft .*?)(?:\n\n|\Z)", output, re.S)
            assert example, output
            arguments = shlex.split(example[1])[1:]
            result = CliRunner().invoke(main, [str(ROOT / w) if "/" in w else w for w in arguments])
            assert result.exit_code in ((0, 1) if verb == "diff" else (0,)), result.output
            assert "unknown" not in result.output

    def test_the_example_of_serve_runs_as_printed(self) -> None:
        """The router listens on a free port, because the port of the example may be in use."""
        output = CliRunner().invoke(main, ["serve", "--help"]).output
        example = re.search(r"Example:\s+kelpcroft (serve .*?)(?:\n\n|\Z)", output, re.S)
        assert example, output
        with socket.create_server(("127.0.0.1", 0)) as free:
            port = free.getsockname()[1]
        arguments = shlex.split(example[1])
        process = subprocess.Popen(
            [sys.executable, "-c", f"from kelpcroft.cli import main; main({arguments!r})"],
            cwd=ROOT,
            text=True,
            stderr=subprocess.PIPE,
            env={**os.environ, "ROUTER_LISTEN": f"127.0.0.1:{port}"},
        )
        self.addCleanup(process.wait)
        self.addCleanup(process.kill)
        assert process.stderr
        lines = iter(process.stderr.readline, "")
        assert any("router.listens" in line for line in lines), "the router does not listen"
        process.terminate()
        process.stderr.read()
        assert process.wait(20) == 0

    def test_diff_without_a_deployment_distinguishes_idempotency(self) -> None:
        arguments = ["diff", str(ROOT / "deploy/routes.kdl"), str(ROOT / "examples/operator.kdl")]
        output = CliRunner().invoke(main, arguments).output
        assert "class any other (unsafe): all of it\n  once -> no route\n" in output
        assert "class any other (keyed): all of it\n  rest -> no route\n" in output


class RequestFields(unittest.TestCase):
    def request(self, **more_fields: str) -> ClientRequest:
        fields = {"trace": "0" * 16, "patience": "900", "entity": "0" * 16, **more_fields}
        codec = ClientCodec(1)
        (request,) = codec.receive_data(memoryview(msgpack.packb([0, 1, "page", [fields, b""]])))
        assert isinstance(request, ClientRequest)
        return request

    @FEW_EXAMPLES
    @given(
        st.text(max_size=MAX_IDEMPOTENCY_KEY_CHARS + 9)
        | st.text("!~aZ0.-_:", min_size=1, max_size=MAX_IDEMPOTENCY_KEY_CHARS + 9)
    )
    def test_a_nonce_passes_unchanged_or_is_a_fault(self, nonce: str) -> None:
        request = self.request(nonce=nonce)
        is_valid = 0 < len(nonce) <= MAX_IDEMPOTENCY_KEY_CHARS and all(
            "!" <= c <= "~" and c not in ",=" for c in nonce
        )
        assert (request.idempotency_key, bool(request.validation_error)) == (
            (nonce, False) if is_valid else ("", True)
        )

    @FEW_EXAMPLES
    @given(st.text(max_size=40) | st.floats().map(repr))
    def test_a_size_is_a_positive_finite_number_or_unknown(self, size: str) -> None:
        found = self.request(size=size).size_kb
        assert 0 <= found <= 1000000000.0
        if found:
            assert found == float(size)
        assert self.request(size="412.5").size_kb == 412.5


def constants_of_the_program() -> dict[str, list[object]]:
    """Return the values of all module constants by name; None for a value that is not simple arithmetic."""
    constants: dict[str, list[object]] = {}
    for path in sorted((ROOT / "kelpcroft").rglob("*.py")):
        values: dict[str, object] = {"MS": 10**6, "SECOND": 10**9, "SECOND_NS": 10**9}
        for node in ast.parse(path.read_text()).body:
            target = node.target if isinstance(node, ast.AnnAssign) else None
            if isinstance(node, ast.Assign):
                target = node.targets[0]
            if isinstance(target, ast.Name) and target.id.isupper() and node.value is not None:
                try:
                    value = eval(ast.unparse(node.value), {"__builtins__": {}}, values)
                except Exception:
                    value = None
                values[target.id] = value
                constants.setdefault(target.id, []).append(value)
    return constants


class PageOfFigures(unittest.TestCase):
    """docs/design/sites.md names constants of the code with their values."""

    PAGE = (ROOT / "docs/design/sites.md").read_text()

    def test_each_constant_that_the_page_names_is_one_of_the_code(self) -> None:
        known = constants_of_the_program()
        spans = re.findall(r"`([^`\n]+)`", self.PAGE)
        names = {name for span in spans for name in re.findall(r"\b[A-Z]+(?:_[A-Z]+)+(?![A-Z_*])", span)}
        assert len(names) > 50
        for name in sorted(names - {"SECOND_NS"}):
            with self.subTest(name=name):
                assert len(known.get(name, [])) == 1

    def test_the_figures_are_those_of_the_code(self) -> None:
        known = constants_of_the_program()
        table = self.PAGE.split("## Figures in the code", 1)[1].split("\n## ", 1)[0]
        units = {"": 1, " s": 10**9, " ms": 10**6}
        checked = 0
        for row in table.splitlines():
            first = row.split("|")[1] if row.startswith("| `") else ""
            for name, figure, unit in re.findall(r"`([A-Z_]+)` ([\d.,/]*\d)( m?s)?", first):
                top, _, bottom = figure.replace(",", "").partition("/")
                with self.subTest(name=name):
                    assert known[name] == [float(top) / float(bottom or 1) * units[unit]]
                checked += 1
        assert checked > 25


class PageOfCodes(unittest.TestCase):
    """docs/operators/routes.md has every code of an operator's file's diagnostics."""

    CODE_ARGUMENT = {
        "add": 1,
        "report": 1,
        "InvalidValue": 0,
        "KdlSyntaxError": 2,
        "LimitExceededError": 2,
        "parse_number": 3,
    }

    def test_the_page_has_every_code(self) -> None:
        table = (ROOT / "docs/operators/routes.md").read_text().split("## What is refused, by code", 1)[1]
        on_page, prefix = set(), ""
        for code in re.findall(r"`([a-z0-9-]+)`", table.split("\n## ", 1)[0]):
            if not code.startswith("-"):
                prefix = code.partition("-")[0]
            on_page.add(prefix + code if code.startswith("-") else code)
        written = set()
        for path in (ROOT / "kelpcroft/operator_file").glob("*.py"):
            for node in ast.walk(ast.parse(path.read_text())):
                if isinstance(node, ast.Call):
                    name = getattr(node.func, "attr", getattr(node.func, "id", ""))
                    code = node.args[self.CODE_ARGUMENT[name] :][:1] if name in self.CODE_ARGUMENT else []
                    written |= {c.value for c in code if isinstance(c, ast.Constant) and type(c.value) is str}
        assert len(written) > 40
        assert written - on_page == set()


class Settings(unittest.TestCase):
    """`kelpcroft check --config` and the start report the same diagnostics of a configuration."""

    def levels_and_places(self, change: dict[str, object]) -> list[tuple[str, str]]:
        raw = json.loads(json.dumps(EXAMPLE))
        for path, value in change.items():
            *parents, last = path.split(".")
            node = raw
            for step in parents:
                node = node[int(step)] if step.isdigit() else node[step]
            if value is None:
                node.pop(last, None)
            else:
                node[last] = value
        return [(f.level, f.place) for f in deployment_check.check_configuration(raw)]

    def test_the_example_is_good(self) -> None:
        assert deployment_check.check_configuration(EXAMPLE) == []

    def test_each_diagnostic_names_its_key(self) -> None:
        s, fi = "settings.", "settings.family_info."
        for change, expected in (
            ({"feed": None}, ("fault", "feed")),
            ({"feed": "nowhere"}, ("fault", "feed")),
            ({"seed": "xyz"}, ("fault", "seed")),
            ({"settings": 7}, ("fault", "settings")),
            ({s + "az": "mars"}, ("fault", "settings.az")),
            ({s + "classes": []}, ("fault", "settings.classes")),
            ({s + "classes.0.name": None}, ("fault", "settings.classes[0].name")),
            ({s + "classes.1.name": "page"}, ("fault", "settings.classes[1].name")),
            ({s + "classes.0.idempotency": "sure"}, ("fault", "settings.classes[0].idempotency")),
            ({s + "classes.0.group": "planet"}, ("fault", "settings.classes[0].group")),
            ({s + "classes.0.give_up_ns": -5}, ("fault", "settings.classes[0].give_up_ns")),
            ({s + "classes.0.give_up_ns": 1}, ("doubt", "settings.classes[0].aim_ns")),
            ({s + "classes.1.idempotency": "keyed"}, ("doubt", "settings.classes[1].dedup_window_ns")),
            ({s + "limits.most_tries": 0}, ("fault", "settings.limits.most_tries")),
            ({s + "limits.most_tries": 1}, ("doubt", "settings.limits.second_copies")),
            ({s + "limits.retry_after": False}, ("doubt", "settings.limits.max_retry_after_ns")),
            ({s + "limits.max_steams": 3}, ("unknown", "settings.limits.max_steams")),
            ({s + "contract.cold_from": 1.5}, ("fault", "settings.contract.cold_from")),
            ({s + "contract.cold_ns": 0}, ("doubt", "settings.contract.cold_ns")),
            ({s + "weight_source": "heavy"}, ("fault", "settings.weight_source")),
            ({s + "self_index": 4}, ("doubt", "settings.self_index")),
            ({s + "report.how": "off"}, ("doubt", "settings.report.how")),
            ({fi + "hub_of": [0, 9]}, ("doubt", fi + "hub_of[1]")),
            ({fi + "hub_of": [0]}, ("doubt", fi + "hub_of")),
            ({fi + "max_age_ns": [0]}, ("doubt", fi + "max_age_ns")),
            ({fi + "max_age_ns": [0, "long"]}, ("fault", fi + "max_age_ns")),
            ({fi + "master_kind": 7}, ("doubt", fi + "master_kind")),
            ({fi + "instances_by_zone": [0, 1]}, ("doubt", fi + "instances_by_zone")),
            ({"peers": ["here"]}, ("doubt", "peers")),
        ):
            with self.subTest(change=change):
                assert expected in self.levels_and_places(change)

    @FEW_EXAMPLES
    @given(
        st.recursive(
            st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=4),
            lambda x: (
                st.lists(x, max_size=3)
                | st.dictionaries(
                    st.sampled_from(
                        ["settings", "classes", "limits", "family_info", "dcs", "az", "name", "hub_of"]
                    ),
                    x,
                )
            ),
        )
    )
    def test_the_check_of_any_json_does_not_crash(self, raw: object) -> None:
        deployment_check.check_configuration({"settings": raw} if not isinstance(raw, dict) else raw)

    def test_a_configuration_that_passes_the_check_starts(self) -> None:
        """`parse_config` accepts a configuration without errors: all keys, each with values of many forms."""
        values = [None, 0, 1, -1, 0.5, 1e300, "", "x", "off", True, [], [0], [True], ["a"], {}, {"a": 1}]
        for key in deployment_check.known_keys.CONFIGURATION_KEYS:
            if "[]" in key.path or not key.path.startswith("settings.") or not key.reader:
                continue
            for value in values:
                raw = json.loads(json.dumps(EXAMPLE))
                *parents, last = key.path.split(".")
                node = raw
                for step in parents:
                    node = node[step]
                node[last] = value
                if not any(f.level == "fault" for f in deployment_check.check_configuration(raw)):
                    with self.subTest(key=key.path, value=value):
                        parse_config(raw, {})

    def test_the_page_has_every_key(self) -> None:
        page = (ROOT / "docs/operators/sites.md").read_text()
        for key in deployment_check.known_keys.CONFIGURATION_KEYS:
            assert (
                f"| `{key.path}` | {key.reader or 'nobody: ' + key.unread_reason} | "
                f"{key.absent or 'nothing changes'} |" in page
            )

    def test_the_readers_that_keys_name_exist(self) -> None:
        for key in deployment_check.known_keys.CONFIGURATION_KEYS:
            for module in re.findall(r"\b[a-z_]+\.[a-z_]+\b", key.reader):
                with self.subTest(key=key.path, module=module):
                    assert (ROOT / "kelpcroft" / f"{module.replace('.', '/')}.py").exists()

    def test_every_key_that_is_read_in_settings_is_known(self) -> None:
        source = (ROOT / "kelpcroft/settings_wire.py").read_text()
        known = {key.path.rpartition(".")[2] for key in deployment_check.known_keys.CONFIGURATION_KEYS}
        names = "options|limits|contract|report|family|entry"
        read = set(re.findall(rf'(?:{names})(?:\.get\(|\[)"(\w+)"', source))
        assert len(read) > 40
        assert read - known - {"family_info", "limits", "contract", "report", "classes"} == set()

    def test_the_command_and_the_start_report_the_same_keys(self) -> None:
        raw = json.loads(json.dumps(EXAMPLE))
        raw["settings"]["weight_source"], raw["settings"]["limits"]["most_tries"] = "heavy", 0
        with tempfile.TemporaryDirectory() as folder:
            path = f"{folder}/config.json"
            with open(path, "w") as file:
                json.dump(raw, file)
            result = CliRunner().invoke(main, ["check", "--config", path])
            assert result.exit_code == 1
            started = subprocess.run(
                [sys.executable, "-m", "kelpcroft"],
                cwd=ROOT,
                capture_output=True,
                text=True,
                env={**os.environ, "ROUTER_CONFIG": path},
                timeout=20,
            )
            assert started.returncode == 2
            for key in ("settings.weight_source", "settings.limits.most_tries"):
                assert key in result.output
                assert key in started.stderr
            del raw["feed"]  # when the command added a missing feed, only the start rejected the file
            with open(path, "w") as file:
                json.dump(raw, file)
            result = CliRunner().invoke(main, ["check", "--config", path])
            assert "fault: feed: is missing" in result.output
        assert CliRunner().invoke(main, ["check"]).exit_code == 2
        good_result = CliRunner().invoke(main, ["check", "--config", str(ROOT / "examples/config.json")])
        assert good_result.exit_code == 0
        assert "weights" in good_result.output, "a missing feature"
