"""The operator's file as the serving process reads it: whole at its start, in steps while it serves."""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path

from kelpcroft.config import ConfigError
from kelpcroft.core.inputs import OperatorFileRead
from kelpcroft.decision import interface as api
from kelpcroft.operator_file.check import check, load, read, reading
from kelpcroft.store.identity import hex_digest


def load_at_start(path: str, settings: api.Settings) -> OperatorFileRead:
    """A file at the start.  Raises ConfigError with a line for each fault: nobody wants a router that starts
    without the bounds it was given."""
    try:
        data = read(Path(path))
        file, faults = load(data)
    except OSError as error:
        raise ConfigError(f"ROUTER_RULES: {path}: {error.strerror}") from error
    faults = faults or check(file, settings)
    if faults:
        raise ConfigError("\n".join(fault.format_for(path) for fault in faults))
    return OperatorFileRead(file, digest=hex_digest(data) if file.exposes_state else "")


def reload_steps(path: str, settings: api.Settings) -> Iterator[OperatorFileRead | None]:
    """A file that is read again: None for each step, then what came of it."""
    rules = yield from reading(Path(path), settings)
    yield rules
