"""``kelpcroft check``: may this operator's file be used?"""

from __future__ import annotations

import click

from kelpcroft.cli.common import as_json, config_option, faults_of, format_option, no, settings_of


@click.command(epilog="Example:  kelpcroft check examples/operator.kdl --config examples/config.json")
@click.argument("file")
@config_option()
@format_option
def check(file: str, config: str | None, form: str) -> None:
    """Name every fault of an operator's FILE with its line, column, code and reason.

    Without --config only what needs no deployment is checked: names of classes and zones, give-up times and
    the deployment's limits are not.  Exit code 1 where there is a fault.
    """
    model, faults = faults_of(file, settings_of(config) if config else None)
    if form == "json":
        as_json(
            {
                "file": file,
                "good": not faults,
                "routes": len(model.routes),
                "deployment": bool(config),
                "faults": [
                    {"line": f.place.line, "column": f.place.column, "code": f.code, "reason": f.reason}
                    for f in faults
                ],
            }
        )
    elif faults:
        for fault in faults:
            click.echo(fault.text(file))
        click.echo(f"{len(faults)} fault{'s' * (len(faults) != 1)}", err=True)
    else:
        held = "held against the deployment" if config else "without a deployment"
        click.echo(f"{file}: good, {len(model.routes)} routes, {held}")
    if faults:
        no()
