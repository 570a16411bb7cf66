"""One check of a configuration file at every start and reload, and what a successor uses instead."""

from __future__ import annotations

import copy
import json
import os
from pathlib import Path
from typing import Any

import pytest

from kelpcroft.config import Config, ConfigError, load_config
from kelpcroft.core.inputs import AcceptedConfig
from kelpcroft.net.accepted_config_codec import (
    MAX_FILE_BYTES,
    ConfigTooLargeError,
    decode_accepted_config,
    encode_accepted_config,
)
from kelpcroft.net.predecessor_files import CONFIG_SUFFIX, read_accepted_config
from kelpcroft.store.handover import UnusableFileError
from tests.support.exchange_player import EXAMPLE

ACCEPTED = AcceptedConfig(EXAMPLE, EXAMPLE)


def without_effect_of_orders() -> dict[str, Any]:
    raw = copy.deepcopy(EXAMPLE)
    del raw["settings"]["classes"][1]["idempotency"]
    return raw


def start(tmp_path: Path, data: bytes, accepted: AcceptedConfig | None, **environ: str) -> Config:
    """Loads a file beside a predecessor that accepted a configuration; None = there is none."""
    path = tmp_path / "config.json"
    path.write_bytes(data)
    base = {"ROUTER_CONFIG": str(path), "ROUTER_NAME": "n1", "ROUTER_FD": "3", "TMPDIR": str(tmp_path)}
    return load_config({**base, **environ}, lambda _folder, _name: accepted)


@pytest.mark.parametrize(
    "data",
    [b"", b"{", b"[]", json.dumps(without_effect_of_orders()).encode(), json.dumps({"name": "n1"}).encode()],
)
def test_a_refused_file_is_replaced_by_what_the_predecessor_accepted(tmp_path: Path, data: bytes) -> None:
    config = start(tmp_path, data, ACCEPTED)
    assert config.raw == EXAMPLE
    assert config.refused is not None
    assert config.refused.diagnostics


def test_a_file_without_errors_is_used(tmp_path: Path) -> None:
    new = copy.deepcopy(EXAMPLE)
    new["settings"]["limits"]["most_tries"] = 2
    config = start(tmp_path, json.dumps(new).encode(), ACCEPTED)
    assert (config.raw, config.refused) == (new, None)


@pytest.mark.parametrize("variable", ["ROUTER_FD", "TMPDIR"])
def test_without_an_upgrade_there_is_no_predecessor(tmp_path: Path, variable: str) -> None:
    """A start has only its file, and no key of another file is required."""
    data = json.dumps(without_effect_of_orders()).encode()
    assert start(tmp_path, data, ACCEPTED, **{variable: ""}).refused is None
    with pytest.raises(ConfigError):
        start(tmp_path, b"{", ACCEPTED, **{variable: ""})


def test_a_refused_file_without_a_record_ends_the_start(tmp_path: Path) -> None:
    with pytest.raises(ConfigError, match="not JSON"):
        start(tmp_path, b"{", None)


def test_a_start_checks_what_a_reload_checks(tmp_path: Path) -> None:
    raw = copy.deepcopy(EXAMPLE)
    raw["settings"]["limits"]["most_tries"] = 0
    with pytest.raises(ConfigError, match=r"settings\.limits\.most_tries"):
        start(tmp_path, json.dumps(raw).encode(), None)


def test_the_record_is_read_back(tmp_path: Path) -> None:
    data = encode_accepted_config("n1", 7, ACCEPTED)
    (tmp_path / f"kelpcroft-n1{CONFIG_SUFFIX}").write_bytes(data)
    accepted = read_accepted_config(str(tmp_path), "n1")
    assert accepted == AcceptedConfig(EXAMPLE, {**EXAMPLE, "known": None})
    assert read_accepted_config(str(tmp_path), "n2") is None


def test_the_record_of_a_process_that_no_longer_runs_is_not_used(tmp_path: Path) -> None:
    path = tmp_path / f"kelpcroft-n1{CONFIG_SUFFIX}"
    path.write_bytes(encode_accepted_config("n1", 7, ACCEPTED))
    os.utime(path, (1_000_000_000, 1_000_000_000))
    assert read_accepted_config(str(tmp_path), "n1") is None


@pytest.mark.parametrize(
    "data", [b"", b"[]", b'{"v":1,"name":"n1"}', b'{"v":1,"name":"n1","config":{},"required":[]}']
)
def test_unusable_records_are_rejected(data: bytes) -> None:
    with pytest.raises(UnusableFileError):
        decode_accepted_config(data, "n1")


def test_a_configuration_over_the_limit_is_not_written() -> None:
    with pytest.raises(ConfigTooLargeError):
        encode_accepted_config("n1", 7, AcceptedConfig({"x": "x" * MAX_FILE_BYTES}, {}))
