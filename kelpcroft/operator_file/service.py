"""Reads the operator's file for a serving process: in one go at the start, in steps while it serves."""

from __future__ import annotations

from collections.abc import Iterator

from kelpcroft.config import ConfigError
from kelpcroft.core.inputs import OperatorFileRead
from kelpcroft.decision import interface as api
from kelpcroft.operator_file.check import check, load, read_bytes, read_steps
from kelpcroft.store.identity import hex_digest


def load_at_start(path: str, settings: api.Settings) -> OperatorFileRead:
    """Load the file at the start of a router.

    Raises:
        ConfigError: The file cannot be used; the message has a line for each diagnostic.  The start fails, as
            a router must not serve without the limits that its operators set.
    """
    try:
        data = read_bytes(path)
    except OSError as error:
        raise ConfigError(f"ROUTER_RULES: {path}: {error.strerror}") from error
    file, diagnostics = load(data)
    diagnostics = diagnostics or check(file, settings)
    if diagnostics:
        raise ConfigError("\n".join(diagnostic.format_for(path) for diagnostic in diagnostics))
    return OperatorFileRead(file, digest=hex_digest(data) if file.exposes_state else "")


def reload_steps(path: str, settings: api.Settings) -> Iterator[OperatorFileRead | None]:
    """Read the file again.  Yields None after each step, then the result."""
    file_read = yield from read_steps(path, settings)
    yield file_read
