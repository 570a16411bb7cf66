"""The ``kelpcroft homes`` command: the cache to which this build's decision package sends each object."""

from __future__ import annotations

import click

from kelpcroft.cli.common import CommandError, config_option, format_option, print_json, read_configuration
from kelpcroft.config import ConfigError, parse_config
from kelpcroft.core.inputs import EndpointUpdate
from kelpcroft.decision import interface as api
from kelpcroft.rollout.errors import PlacementError
from kelpcroft.rollout.placement import place_objects

MAX_OBJECTS = 100_000
DEFAULT_OBJECTS = 2_000


def zone_and_homes(config_path: str, count: int) -> tuple[str, list[str]]:
    """Return the zone of a configuration, and the homes of ``count`` objects in its initial endpoint list."""
    try:
        config = parse_config(read_configuration(config_path), {})
    except ConfigError as error:
        raise CommandError(f"{config_path}: {error}") from error
    servers = [
        api.Server(
            endpoint.name,
            config.machine_kinds.role_of(endpoint.kind),
            endpoint.zone,
            endpoint.cell,
            endpoint.state,
            endpoint.weight,
            endpoint.started_ns,
        )
        for event in config.initial_endpoints.events
        if isinstance(event, EndpointUpdate)
        for endpoint in event.endpoints
    ]
    try:
        return config.settings.zone, place_objects(config.settings, servers, count)
    except PlacementError as error:
        raise CommandError(f"{config_path}: {error}") from error


@click.command("homes", epilog="Example:  kelpcroft homes --config examples/config.json --objects 1000")
@config_option(required=True)
@click.option("--objects", type=click.IntRange(1, MAX_OBJECTS), default=DEFAULT_OBJECTS, show_default=True)
@format_option
def homes_command(config: str, objects: int, output_format: str) -> None:
    """Print how many sample objects each cache is the home of.

    The homes follow from this build and from CONFIG's settings and list of servers.  Every build uses the
    same sample objects, so that `rollout plan` can count the objects that would move.
    """
    zone, homes = zone_and_homes(config, objects)
    if output_format == "json":
        print_json({"zone": zone, "objects": objects, "homes": homes})
        return
    click.echo(f"zone {zone}: {objects} objects")
    for name in sorted(set(homes)):
        click.echo(f"  {name or 'no cache'}: {homes.count(name)}")
