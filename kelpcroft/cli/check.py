"""The ``kelpcroft check`` command: whether an operator's file or a configuration can be used."""

from __future__ import annotations

import click

from kelpcroft.cli.common import (
    CommandError,
    config_option,
    diagnose_configuration,
    diagnose_file,
    echo_diagnostics,
    exit_negative,
    format_option,
    placed_json,
    positioned_json,
    print_json,
    read_settings,
)
from kelpcroft.deployment_check import missing_features
from kelpcroft.diagnostics import Diagnostic, Severity
from kelpcroft.operator_file.model import OperatorFile


@click.command(epilog="Example:  kelpcroft check examples/operator.kdl --config examples/config.json")
@click.argument("file", required=False)
@config_option()
@format_option
def check(file: str | None, config: str | None, form: str) -> None:
    """Check an operator's FILE, a router's CONFIG, or FILE in the deployment of CONFIG.

    Prints each fault of FILE with its line, column, code and reason.  Prints each setting of CONFIG that is
    unusable (fault), questionable (doubt) or unknown, with a value that would be accepted.

    Without --config the checks that need a deployment are left out: names of classes and zones, deadlines of
    classes, and the deployment's limits.  Without FILE only CONFIG is checked.  Exit code 1 if there is a
    fault.
    """
    if file is None and config is None:
        raise CommandError("nothing to check: name a FILE, or --config CONFIG, or both")
    config_diagnostics = diagnose_configuration(config) if config else []
    is_usable = not any(diagnostic.level is Severity.FAULT for diagnostic in config_diagnostics)
    if form == "text":
        for diagnostic in config_diagnostics:
            click.echo(f"{config}: {diagnostic.level}: {diagnostic}")
    if file is None or not is_usable:
        report_configuration(config or "", file, config_diagnostics, is_usable, form)
        if not is_usable:
            exit_negative()
        return
    model, faults = diagnose_file(file, read_settings(config) if config else None)
    if form == "json":
        print_file_json(file, model, faults, config_diagnostics, has_deployment=bool(config))
    else:
        echo_file(file, model, faults, has_deployment=bool(config))
    if faults:
        exit_negative()


def report_configuration(
    config: str, file: str | None, diagnostics: list[Diagnostic], is_usable: bool, form: str
) -> None:
    """Print the result if only the configuration was checked; its text diagnostics are printed before."""
    if form == "json":
        print_json({"config": config, "good": is_usable, "settings": [placed_json(d) for d in diagnostics]})
    elif is_usable:
        missing = ", ".join(missing_features(read_settings(config))) or "lack"
        click.echo(f"{config}: good, {len(diagnostics)} to look at; it has no {missing}")
    else:
        not_checked = f", so {file} was not held against it" if file else ""
        click.echo(f"{config}: not usable{not_checked}", err=True)


def print_file_json(
    path: str,
    model: OperatorFile,
    faults: list[Diagnostic],
    config_diagnostics: list[Diagnostic],
    *,
    has_deployment: bool,
) -> None:
    """Print the result for an operator's file as JSON."""
    print_json(
        {
            "file": path,
            "good": not faults,
            "routes": len(model.routes),
            "deployment": has_deployment,
            "settings": [placed_json(diagnostic) for diagnostic in config_diagnostics],
            "faults": [positioned_json(fault) for fault in faults],
        }
    )


def echo_file(path: str, model: OperatorFile, faults: list[Diagnostic], *, has_deployment: bool) -> None:
    """Print the result for an operator's file as text."""
    if faults:
        echo_diagnostics(path, faults)
        click.echo(f"{len(faults)} fault{'s' if len(faults) != 1 else ''}", err=True)
        return
    scope = "held against the deployment" if has_deployment else "without a deployment"
    click.echo(f"{path}: good, {len(model.routes)} routes, {scope}")
