"""``kelpcroft diff``: which requests would two files treat differently?"""

from __future__ import annotations

from dataclasses import replace
from itertools import product

import click

from kelpcroft.cli.common import (
    CommandError,
    config_option,
    exit_negative,
    format_option,
    good,
    print_json,
    read_settings,
)
from kelpcroft.decision.interface import Idempotency, RequestClass
from kelpcroft.operator_file.explain import differences
from kelpcroft.operator_file.model import RouteMatch


def supposed(matches: list[RouteMatch]) -> list[tuple[str, RequestClass]]:
    """Classes to compare by where no deployment is given, with what to call them: those that are named and
    one that is not, of each effect, written through or not, in parts or not, as far as the files ask."""
    effects = list(Idempotency) if any(m.effects for m in matches) else [Idempotency.SAFE]
    through = (False, True) if any(m.through is not None for m in matches) else (False,)
    parts = (False, True) if any(m.multipart is not None for m in matches) else (False,)
    found = []
    for name in [*sorted({c for m in matches for c in m.classes}), "any other"]:
        for effect, uncacheable, multi in product(effects, through, parts):
            words = [effect.value] * (len(effects) > 1) + ["through"] * uncacheable + ["multipart"] * multi
            label = name + (f" ({', '.join(words)})" if words else "")
            found.append((label, RequestClass(name, effect, uncacheable=uncacheable, multipart=multi)))
    return found


@click.command(
    epilog="Example:  kelpcroft diff deploy/routes.kdl examples/operator.kdl --config examples/config.json"
)
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
    settings = read_settings(config) if config else None
    before, after = good(old, settings), good(new, settings)
    if settings:
        classes = [(c.name, c) for c in settings.classes]
    else:
        classes = supposed([r.match for f in (before, after) for r in f.routes])
    try:
        here = zone or (settings.zone if settings else "")
        found = [
            replace(change, cls=label)
            for label, cls in classes
            for change in differences(before, after, here, [cls])
        ]
    except ValueError as error:
        raise CommandError(str(error)) from error
    if form == "json":
        print_json(
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
        exit_negative()
