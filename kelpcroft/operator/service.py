"""The operator's file as the serving process reads it: whole at its start, in steps while it serves."""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path

from kelpcroft.config import ConfigError
from kelpcroft.messages import Rules
from kelpcroft.operator.check import check, load, read, reading
from kelpcroft.store.identity import digest
from zincgrade import interface as api


def start(path: str, settings: api.Settings) -> Rules:
    """A file at the start.  Raises ConfigError with a line for each fault: nobody wants a router that starts
    without the bounds it was given."""
    try:
        data = read(Path(path))
        file, faults = load(data)
    except OSError as error:
        raise ConfigError(f"ROUTER_RULES: {path}: {error.strerror}") from error
    faults = faults or check(file, settings)
    if faults:
        raise ConfigError("\n".join(fault.text(path) for fault in faults))
    return Rules(file, digest=digest(data) if file.state else "")


def steps(path: str, settings: api.Settings) -> Iterator[Rules | None]:
    """A file that is read again: None for each step, then what came of it."""
    rules = yield from reading(Path(path), settings)
    yield rules
