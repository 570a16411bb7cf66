"""Options, file access and output as text or JSON, shared by the subcommands."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from pathlib import Path
from typing import Any, NoReturn, TypedDict, TypeVar

import click
import orjson

from kelpcroft.config import ConfigError, parse_config, require_object
from kelpcroft.decision import interface as api
from kelpcroft.deployment_check import check_configuration
from kelpcroft.diagnostics import Diagnostic
from kelpcroft.operator_file.check import check, load, read_bytes
from kelpcroft.operator_file.model import OperatorFile

# The command ran and its result is negative, for example a file with a fault or two files that differ.
EXIT_NEGATIVE = 1
# The command cannot run as it was given.
EXIT_USAGE_ERROR = 2
# Placeholder for the addresses that a configuration may lack if only its settings are used.
PLACEHOLDER_ADDRESS = "127.0.0.1:1"

F = TypeVar("F", bound=Callable[..., Any])


class CommandError(click.ClickException):
    """The command cannot run as it was given: one line on standard error, exit code 2."""

    exit_code = EXIT_USAGE_ERROR


class KdlDiagnosticJson(TypedDict):
    """A diagnostic of a KDL file in JSON output."""

    line: int
    column: int
    code: str
    reason: str


class ConfigDiagnosticJson(TypedDict):
    """A diagnostic of a JSON configuration in JSON output."""

    level: str
    place: str
    found: str
    wanted: str


def format_option(command: F) -> F:
    """Add the option ``--format text|json`` to a command."""
    return click.option(
        "--format",
        "output_format",
        type=click.Choice(["text", "json"]),
        default="text",
        show_default=True,
        help="How the result is printed.",
    )(command)


def config_option(required: bool = False) -> Callable[[F], F]:
    """Return a decorator that adds the option ``--config CONFIG`` to a command."""
    return click.option(
        "--config",
        required=required,
        metavar="CONFIG",
        help="The router's JSON configuration: its classes, zones and limits.",
    )


def read_configuration(path: str) -> dict[str, Any]:
    """Return a router's configuration as parsed, unchecked.  Raises CommandError if it cannot be read."""
    try:
        return require_object("the file", orjson.loads(Path(path).read_bytes()))
    except OSError as error:
        raise CommandError(f"{path}: {error.strerror}") from error
    except (orjson.JSONDecodeError, ConfigError) as error:
        raise CommandError(f"{path}: {error}") from error


def diagnose_configuration(path: str) -> list[Diagnostic]:
    """Return the diagnostics of a router's configuration, the same as the router reports at its start."""
    return check_configuration(read_configuration(path))


def read_settings(path: str) -> api.Settings:
    """Return the deployment's settings from a router's configuration, whose addresses may be missing.

    Raises:
        CommandError: The configuration cannot be used.
    """
    placeholders = {
        "name": "n",
        "listen": PLACEHOLDER_ADDRESS,
        "feed": PLACEHOLDER_ADDRESS,
        "known": {"n": 0, "events": []},
    }
    try:
        return parse_config({**placeholders, **read_configuration(path)}, {}).settings
    except ConfigError as error:
        raise CommandError(f"{path}: {error}") from error


def diagnose_file(path: str, settings: api.Settings | None) -> tuple[OperatorFile, list[Diagnostic]]:
    """Return an operator's file and its diagnostics, including those for the deployment if one is given.

    The checks for the deployment run only on a file without other diagnostics.
    """
    try:
        data = read_bytes(path)
    except OSError as error:
        raise CommandError(f"{path}: {error.strerror}") from error
    file, diagnostics = load(data)
    if not diagnostics and settings is not None:
        diagnostics = check(file, settings)
    return file, diagnostics


def load_usable_file(path: str, settings: api.Settings | None) -> OperatorFile:
    """Return a usable operator's file; for an unusable one, print its errors and exit with code 1."""
    file, diagnostics = diagnose_file(path, settings)
    if diagnostics:
        echo_diagnostics(path, diagnostics, err=True)
        exit_negative()
    return file


def echo_diagnostics(path: str, diagnostics: Iterable[Diagnostic], *, err: bool = False) -> None:
    """Print one line for each diagnostic of a KDL file, on standard error if ``err`` is set."""
    for diagnostic in diagnostics:
        click.echo(diagnostic.format_for(path), err=err)


def kdl_diagnostic_json(diagnostic: Diagnostic) -> KdlDiagnosticJson:
    """Return a diagnostic of a KDL file as a JSON object."""
    return {
        "line": diagnostic.position.line,
        "column": diagnostic.position.column,
        "code": diagnostic.code,
        "reason": diagnostic.message,
    }


def config_diagnostic_json(diagnostic: Diagnostic) -> ConfigDiagnosticJson:
    """Return a diagnostic of a JSON configuration as a JSON object."""
    return {
        "level": diagnostic.level.value,
        "place": diagnostic.place,
        "found": diagnostic.found,
        "wanted": diagnostic.expected,
    }


def print_json(value: Any) -> None:
    """Print one JSON document on standard output."""
    click.echo(orjson.dumps(value, option=orjson.OPT_INDENT_2).decode())


def exit_negative() -> NoReturn:
    """Exit with the code for a negative result."""
    raise SystemExit(EXIT_NEGATIVE)
