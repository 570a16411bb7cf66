"""The README's example runs as printed."""

import re
import tomllib
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent.parent


def test_example_runs(capsys: pytest.CaptureFixture[str]) -> None:
    code = re.search(r"```python\n(.*?)```", (ROOT / "README.md").read_text(), re.S)
    assert code
    exec(compile(code.group(1), "README.md", "exec"), {})
    assert "fills from 10.9.0.1:80" in capsys.readouterr().out


def test_deciding_modules_are_listed_for_the_bench() -> None:
    """``policy`` lists every module of the decision package; it replaces a line limit that was lifted."""
    listed = set(tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["policy"])
    deciding = {str(path.relative_to(ROOT)) for path in (ROOT / "kelpcroft/decision").glob("*.py")}
    assert listed == deciding - {"kelpcroft/decision/__init__.py", "kelpcroft/decision/interface.py"}
    for name in listed:
        assert max(map(len, (ROOT / name).read_text().splitlines())) <= 110, name
