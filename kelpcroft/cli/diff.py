"""``kelpcroft diff``: which requests would two files treat differently?"""

from __future__ import annotations

import click

from kelpcroft.cli.common import Unfit, as_json, config_option, format_option, good, no, settings_of
from kelpcroft.operator.explain import Change, differences


@click.command(epilog="Example:  kelpcroft diff deploy/tt-kits.kdl new.kdl --config examples/config.json")
@click.argument("old")
@click.argument("new")
@config_option()
@click.option("--zone", help="The zone whose routers are meant; else the configuration's.")
@format_option
def diff(old: str, new: str, config: str | None, zone: str | None, form: str) -> None:
    """Tell which requests the files OLD and NEW treat differently, and how.

    Without --config the classes are those that the files name, and one that neither names.  Exit code 1 where
    there is a difference.
    """
    settings = settings_of(config) if config else None
    before, after = good(old, settings), good(new, settings)
    if settings:
        classes = [c.name for c in settings.classes]
    else:
        classes = sorted({c for f in (before, after) for r in f.routes for c in r.match.classes}) + [
            "any other"
        ]
    try:
        found: list[Change] = list(
            differences(before, after, zone or (settings.zone if settings else ""), classes)
        )
    except ValueError as error:
        raise Unfit(str(error)) from error
    if form == "json":
        as_json(
            {
                "same": not found,
                "changes": [
                    {
                        "class": c.cls,
                        "where": c.where,
                        "old": c.old or None,
                        "new": c.new or None,
                        "what": list(c.what),
                    }
                    for c in found
                ],
            }
        )
    elif not found:
        click.echo("every request is treated alike")
    for c in found if form == "text" else ():
        click.echo(f"class {c.cls}: {c.where}")
        click.echo(f"  {c.old or 'no route'} -> {c.new or 'no route'}")
        for words in c.what:
            click.echo(f"  {words}")
    if found:
        no()
