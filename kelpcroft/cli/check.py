"""``kelpcroft check``: may this operator's file be used?"""

from __future__ import annotations

from dataclasses import asdict

import click

from kelpcroft.cli.common import (
    CommandError,
    config_option,
    exit_negative,
    faults_of,
    findings,
    format_option,
    print_json,
    read_settings,
)
from kelpcroft.deployment_check import missing_features


def missing(config: str | None) -> str:
    """What the deployment lacks, in words."""
    return ", ".join(missing_features(read_settings(config or ""))) or "lack"


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
    """
    if file is None and config is None:
        raise CommandError("nothing to check: name a FILE, or --config CONFIG, or both")
    found = findings(config) if config else []
    broken = any(f.level == "fault" for f in found)
    if form == "text":
        for f in found:
            click.echo(f"{config}: {f.level}: {f}")
    if broken or file is None:
        if form == "json":
            print_json({"config": config, "good": not broken, "settings": [asdict(f) for f in found]})
        elif broken:
            held = f", so {file} was not held against it" if file else ""
            click.echo(f"{config}: not usable{held}", err=True)
        else:
            click.echo(f"{config}: good, {len(found)} to look at; it has no {missing(config)}")
        if broken:
            exit_negative()
        return
    model, faults = faults_of(file, read_settings(config) if config else None)
    if form == "json":
        print_json(
            {
                "file": file,
                "good": not faults,
                "routes": len(model.routes),
                "deployment": bool(config),
                "settings": [asdict(f) for f in found],
                "faults": [
                    {
                        "line": f.position.line,
                        "column": f.position.column,
                        "code": f.code,
                        "reason": f.message,
                    }
                    for f in faults
                ],
            }
        )
    elif faults:
        for fault in faults:
            click.echo(fault.format_for(file))
        click.echo(f"{len(faults)} fault{'s' * (len(faults) != 1)}", err=True)
    else:
        held = "held against the deployment" if config else "without a deployment"
        click.echo(f"{file}: good, {len(model.routes)} routes, {held}")
    if faults:
        exit_negative()
