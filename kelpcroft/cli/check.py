"""``kelpcroft check``: may this operator's file be used?"""

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
    """Name every fault of an operator's FILE with its line, column, code and reason, and of a router's
    CONFIG every setting that is unusable (fault), odd (doubt) or unknown, with what would do.

    Without --config only what needs no deployment is checked: names of classes and zones, give-up times and
    the deployment's limits are not.  Without FILE only CONFIG is looked at.  Exit code 1 where there is a
    fault.
    """  # noqa: D205 - the text of --help
    if file is None and config is None:
        raise CommandError("nothing to check: name a FILE, or --config CONFIG, or both")
    config_diagnostics = diagnose_configuration(config) if config else []
    is_usable = not any(diagnostic.level is Severity.ERROR for diagnostic in config_diagnostics)
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
    """The answer where only a configuration was looked at; its diagnostics as text are printed already."""
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
    """The answer for a file, as JSON."""
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
    """The answer for a file, as text."""
    if faults:
        echo_diagnostics(path, faults)
        click.echo(f"{len(faults)} fault{'s' if len(faults) != 1 else ''}", err=True)
        return
    scope = "held against the deployment" if has_deployment else "without a deployment"
    click.echo(f"{path}: good, {len(model.routes)} routes, {scope}")
