"""What the verbs share: options, files, and answers as text or JSON."""

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

EXIT_NEGATIVE = 1  # the answer is no
EXIT_USED_WRONGLY = 2
ANY_ADDRESS = "127.0.0.1:1"

F = TypeVar("F", bound=Callable[..., Any])


class CommandError(click.ClickException):
    """One line on standard error, exit code 2: the command cannot be carried out as it was given."""

    exit_code = EXIT_USED_WRONGLY


class PositionedJson(TypedDict):
    """A diagnostic of a KDL file in JSON answers."""

    line: int
    column: int
    code: str
    reason: str


class PlacedJson(TypedDict):
    """A diagnostic of a JSON configuration in JSON answers."""

    level: str
    place: str
    found: str
    wanted: str


def format_option(command: F) -> F:
    """``--format text|json``."""
    return click.option(
        "--format",
        "form",
        type=click.Choice(["text", "json"]),
        default="text",
        show_default=True,
        help="How the answer is printed.",
    )(command)


def config_option(required: bool = False) -> Callable[[F], F]:
    """``--config CONFIG``."""
    return click.option(
        "--config",
        required=required,
        metavar="CONFIG",
        help="The router's JSON configuration: its classes, zones and limits.",
    )


def read_configuration(path: str) -> dict[str, Any]:
    """A router's configuration as it stands.  Raises CommandError where it cannot be read."""
    try:
        return require_object("the file", orjson.loads(Path(path).read_bytes()))
    except OSError as error:
        raise CommandError(f"{path}: {error.strerror}") from error
    except (orjson.JSONDecodeError, ConfigError) as error:
        raise CommandError(f"{path}: {error}") from error


def diagnose_configuration(path: str) -> list[Diagnostic]:
    """What is wrong or odd in a router's configuration, as its start would say it."""
    return check_configuration(read_configuration(path))


def read_settings(path: str) -> api.Settings:
    """The deployment's settings from a router's configuration.  Its addresses may be missing.

    Raises:
        CommandError: The configuration cannot be used.
    """
    stand_ins = {
        "name": "n",
        "listen": ANY_ADDRESS,
        "feed": ANY_ADDRESS,
        "known": {"n": 0, "events": []},
    }
    try:
        return parse_config({**stand_ins, **read_configuration(path)}, {}).settings
    except ConfigError as error:
        raise CommandError(f"{path}: {error}") from error


def diagnose_file(path: str, settings: api.Settings | None) -> tuple[OperatorFile, list[Diagnostic]]:
    """An operator's file and all that is wrong with it, in a deployment if one is given."""
    try:
        data = read_bytes(Path(path))
    except OSError as error:
        raise CommandError(f"{path}: {error.strerror}") from error
    file, diagnostics = load(data)
    if not diagnostics and settings is not None:
        diagnostics = check(file, settings)
    return file, diagnostics


def load_usable_file(path: str, settings: api.Settings | None) -> OperatorFile:
    """An operator's file that may be used; its faults and exit code 1 where it may not."""
    file, diagnostics = diagnose_file(path, settings)
    if diagnostics:
        echo_diagnostics(path, diagnostics, err=True)
        exit_negative()
    return file


def echo_diagnostics(path: str, diagnostics: Iterable[Diagnostic], *, err: bool = False) -> None:
    """A line for each diagnostic of a KDL file; ``err``: on standard error."""
    for diagnostic in diagnostics:
        click.echo(diagnostic.format_for(path), err=err)


def positioned_json(diagnostic: Diagnostic) -> PositionedJson:
    """A diagnostic of a KDL file for a JSON answer."""
    return {
        "line": diagnostic.position.line,
        "column": diagnostic.position.column,
        "code": diagnostic.code,
        "reason": diagnostic.message,
    }


def placed_json(diagnostic: Diagnostic) -> PlacedJson:
    """A diagnostic of a JSON configuration for a JSON answer."""
    return {
        "level": diagnostic.level.value,
        "place": diagnostic.place,
        "found": diagnostic.found,
        "wanted": diagnostic.expected,
    }


def print_json(value: Any) -> None:
    """One JSON document on standard output."""
    click.echo(orjson.dumps(value, option=orjson.OPT_INDENT_2).decode())


def exit_negative() -> NoReturn:
    """The answer is no."""
    raise SystemExit(EXIT_NEGATIVE)
