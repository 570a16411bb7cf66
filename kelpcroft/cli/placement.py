"""``kelpcroft homes``: to which cache this build's decision module sends objects."""

from __future__ import annotations

import click

from kelpcroft.cli.common import CommandError, config_option, format_option, print_json, read_configuration
from kelpcroft.config import ConfigError, parse_config
from kelpcroft.core.inputs import EndpointUpdate
from kelpcroft.decision import interface as api
from kelpcroft.rollout.placement import NoHomes, homes


def placed(config: str, count: int) -> tuple[str, list[str]]:
    """The zone of a configuration, and the homes of so many objects by its own list of servers."""
    try:
        parsed = parse_config(read_configuration(config), {})
    except ConfigError as error:
        raise CommandError(f"{config}: {error}") from error
    lines = [
        e
        for event in parsed.initial_endpoints.events
        if isinstance(event, EndpointUpdate)
        for e in event.endpoints
    ]
    servers = [
        api.Server(e.name, parsed.kinds.role_of(e.kind), e.zone, e.cell, e.state, e.weight, e.started_ns)
        for e in lines
    ]
    try:
        return parsed.settings.zone, homes(parsed.settings, servers, count)
    except NoHomes as error:
        raise CommandError(f"{config}: {error}") from error


@click.command("homes", epilog="Example:  kelpcroft homes --config examples/config.json --objects 1000")
@config_option(required=True)
@click.option("--objects", type=click.IntRange(1, 100_000), default=2_000, show_default=True)
@format_option
def homes_command(config: str, objects: int, form: str) -> None:
    """Print how many of a row of objects each cache is the home of, by this build and CONFIG's settings and
    list.  Two builds print the same row of objects, so `rollout plan` can tell how many would move."""
    zone, found = placed(config, objects)
    if form == "json":
        print_json({"zone": zone, "objects": objects, "homes": found})
        return
    click.echo(f"zone {zone}: {objects} objects")
    for name in sorted(set(found)):
        click.echo(f"  {name or 'no cache'}: {found.count(name)}")
