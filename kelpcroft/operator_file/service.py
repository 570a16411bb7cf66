"""The operator's file as the serving process reads it: whole at its start, in steps while it serves."""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path

from kelpcroft.config import ConfigError
from kelpcroft.core.inputs import OperatorFileRead
from kelpcroft.decision import interface as api
from kelpcroft.operator_file.check import check, load, read_bytes, read_steps
from kelpcroft.store.identity import hex_digest


def load_at_start(path: str, settings: api.Settings) -> OperatorFileRead:
    """The file with which a router starts.

    Raises:
        ConfigError: It cannot be used; a line for each fault.  Nobody wants a router that starts without the
            bounds it was given.
    """
    try:
        data = read_bytes(Path(path))
    except OSError as error:
        raise ConfigError(f"ROUTER_RULES: {path}: {error.strerror}") from error
    file, diagnostics = load(data)
    diagnostics = diagnostics or check(file, settings)
    if diagnostics:
        raise ConfigError("\n".join(diagnostic.format_for(path) for diagnostic in diagnostics))
    return OperatorFileRead(file, digest=hex_digest(data) if file.exposes_state else "")


def reload_steps(path: str, settings: api.Settings) -> Iterator[OperatorFileRead | None]:
    """A file that is read again: None for each step, then what came of it."""
    file_read = yield from read_steps(Path(path), settings)
    yield file_read
