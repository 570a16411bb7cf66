"""The ``kelpcroft check`` command: whether an operator's file or a configuration can be used."""

from __future__ import annotations

import click

from kelpcroft.cli.common import (
    CommandError,
    config_diagnostic_json,
    config_option,
    diagnose_configuration,
    diagnose_file,
    echo_diagnostics,
    exit_negative,
    format_option,
    kdl_diagnostic_json,
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
def check(file: str | None, config: str | None, output_format: str) -> None:
    """Check an operator's FILE, a router's CONFIG, or both.

    Prints each fault of FILE with its line, column, code and reason.  Prints each setting of CONFIG that is
    unusable (fault), questionable (doubt) or unknown, with a value that would be accepted.

    Without --config the checks that need a deployment are left out: names of classes and zones, deadlines of
    classes, and the deployment's limits.  Without FILE only CONFIG is checked.  Exit code 1 if there is a
    fault.
    """
    if file is None and config is None:
        raise CommandError("nothing to check: name a FILE, or --config CONFIG, or both")
    config_diagnostics = diagnose_configuration(config) if config else []
    is_usable = not any(diagnostic.level is Severity.ERROR for diagnostic in config_diagnostics)
    if output_format == "text":
        for diagnostic in config_diagnostics:
            click.echo(f"{config}: {diagnostic.level}: {diagnostic}")
    if file is None or not is_usable:
        report_configuration(config or "", file, config_diagnostics, is_usable, output_format)
        if not is_usable:
            exit_negative()
        return
    model, file_diagnostics = diagnose_file(file, read_settings(config) if config else None)
    if output_format == "json":
        print_file_json(file, model, file_diagnostics, config_diagnostics, has_deployment=bool(config))
    else:
        echo_file(file, model, file_diagnostics, has_deployment=bool(config))
    if file_diagnostics:
        exit_negative()


def report_configuration(
    config: str, file: str | None, diagnostics: list[Diagnostic], is_usable: bool, output_format: str
) -> None:
    """Print the result if only the configuration was checked; its text diagnostics are printed before."""
    if output_format == "json":
        print_json(
            {
                "config": config,
                "good": is_usable,
                "settings": [config_diagnostic_json(diagnostic) for diagnostic in diagnostics],
            }
        )
    elif is_usable:
        missing = ", ".join(missing_features(read_settings(config))) or "none"
        click.echo(f"{config}: good, {len(diagnostics)} diagnostics; missing features: {missing}")
    else:
        not_checked = f", so {file} was not checked against it" if file else ""
        click.echo(f"{config}: not usable{not_checked}", err=True)


def print_file_json(
    path: str,
    model: OperatorFile,
    file_diagnostics: list[Diagnostic],
    config_diagnostics: list[Diagnostic],
    *,
    has_deployment: bool,
) -> None:
    """Print the result for an operator's file as JSON."""
    print_json(
        {
            "file": path,
            "good": not file_diagnostics,
            "routes": len(model.routes),
            "deployment": has_deployment,
            "settings": [config_diagnostic_json(diagnostic) for diagnostic in config_diagnostics],
            "faults": [kdl_diagnostic_json(diagnostic) for diagnostic in file_diagnostics],
        }
    )


def echo_file(path: str, model: OperatorFile, diagnostics: list[Diagnostic], *, has_deployment: bool) -> None:
    """Print the result for an operator's file as text."""
    if diagnostics:
        echo_diagnostics(path, diagnostics)
        click.echo(f"{len(diagnostics)} fault{'s' if len(diagnostics) != 1 else ''}", err=True)
        return
    scope = "checked against the deployment" if has_deployment else "without a deployment"
    click.echo(f"{path}: good, {len(model.routes)} routes, {scope}")
