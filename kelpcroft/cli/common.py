"""What the verbs share: options, files, and answers as text or JSON."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path
from typing import Any, NoReturn, TypeVar

import click
import orjson

from kelpcroft.config import ConfigError, parse_config, require_object
from kelpcroft.decision import interface as api
from kelpcroft.deployment_check import ConfigurationDiagnostic
from kelpcroft.deployment_check import check_configuration as deployment_check
from kelpcroft.operator_file.check import check, load, read
from kelpcroft.operator_file.diagnostics import Diagnostic
from kelpcroft.operator_file.model import OperatorFile

F = TypeVar("F", bound=Callable[..., Any])


class CommandError(click.ClickException):
    """One line on standard error, exit code 2: the command cannot be carried out as it was given."""

    exit_code = 2


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
    """A router's configuration as it stands."""
    try:
        return require_object("the file", orjson.loads(Path(path).read_bytes()))
    except OSError as error:
        raise CommandError(f"{path}: {error.strerror}") from error
    except orjson.JSONDecodeError as error:
        raise CommandError(f"{path}: {error}") from error
    except ConfigError as error:
        raise CommandError(f"{path}: {error}") from error


def findings(path: str) -> list[ConfigurationDiagnostic]:
    """What is wrong or odd in a router's configuration, as its start would say it."""
    return deployment_check(read_configuration(path))


def read_settings(path: str) -> api.Settings:
    """The deployment's settings from a router's configuration.  Its addresses may be missing."""
    try:
        at = "127.0.0.1:1"
        filled = {"name": "n", "listen": at, "feed": at, "known": {"n": 0, "events": []}}
        return parse_config({**filled, **read_configuration(path)}, {}).settings
    except ConfigError as error:
        raise CommandError(f"{path}: {error}") from error


def faults_of(path: str, settings: api.Settings | None) -> tuple[OperatorFile, list[Diagnostic]]:
    """A file and all that is wrong with it, in a deployment if one is given."""
    try:
        file, faults = load(read(Path(path)))
    except OSError as error:
        raise CommandError(f"{path}: {error.strerror}") from error
    if not faults and settings is not None:
        faults = check(file, settings)
    return file, faults


def good(path: str, settings: api.Settings | None) -> OperatorFile:
    """A file that may be used; its faults and exit code 1 where it may not."""
    file, faults = faults_of(path, settings)
    if faults:
        for fault in faults:
            click.echo(fault.format_for(path), err=True)
        exit_negative()
    return file


def print_json(value: Any) -> None:
    """One JSON document on standard output."""
    click.echo(orjson.dumps(value, option=orjson.OPT_INDENT_2).decode())


def exit_negative() -> NoReturn:
    """The answer is no."""
    raise SystemExit(1)
