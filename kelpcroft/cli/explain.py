"""``kelpcroft explain``: what happens to one request, and which line says so."""

from __future__ import annotations

import re

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
from kelpcroft.operator_file.check import span
from kelpcroft.operator_file.diagnostics import suggestion
from kelpcroft.operator_file.explain import RequestAttributes, find_route, longest_wait, most_sends, rows
from kelpcroft.operator_file.model import GROUP_RANGE, PART_RANGE


@click.command(
    epilog="Example:  kelpcroft explain examples/operator.kdl --config examples/config.json "
    "--class page --part 9"
)
@click.argument("file")
@config_option(required=True)
@click.option("--class", "cls", required=True, help="The class of the request.")
@click.option("--object", "item", default="0" * 16, help="Its object, 16 hex digits.")
@click.option("--part", type=click.IntRange(*PART_RANGE), default=0, help="Its part.")
@click.option("--group", type=click.IntRange(*GROUP_RANGE), default=0, help="Its group.")
@click.option("--retry", is_flag=True, help="It is a client's own retry.")
@click.option("--write", is_flag=True, help="It has a body.")
@format_option
def explain(
    file: str, config: str, cls: str, item: str, part: int, group: int, retry: bool, write: bool, form: str
) -> None:
    """Print the route that takes a request, each bound with the line it came from, and the most that follows:
    the longest wait and the number of sends."""
    settings = read_settings(config)
    known = {c.name: c for c in settings.classes}
    if cls not in known:
        raise CommandError(f"--class: there is no class {cls!r}{suggestion(cls, known)}")
    if not re.fullmatch(r"[0-9a-f]{16}", item):
        raise CommandError(f"--object: {item!r} is not 16 hex digits in lower case")
    route = find_route(
        good(file, settings), settings.zone, RequestAttributes(known[cls], item, part, group, retry, write)
    )
    if route is None:
        print_json({"route": None}) if form == "json" else click.echo(
            "no route takes it: the file bounds nothing"
        )
        exit_negative()
    wait, sends = (
        longest_wait(route.bounds, known[cls]),
        most_sends(route.bounds, known[cls], settings.limits),
    )
    bounds = [
        {"bound": name, "value": words, "line": place.line} for name, words, place in rows(route.bounds)
    ]
    if form == "json":
        print_json(
            {
                "route": route.name,
                "line": route.place.line,
                "bounds": bounds,
                "longest_wait_ms": wait / 10**6,
                "most_sends": sends,
                "effect": known[cls].idempotency.value,
            }
        )
        return
    click.echo(f"route {route.name!r}, line {route.place.line}")
    width = max([len(str(b["bound"])) for b in bounds], default=0)
    for b in bounds:
        click.echo(f"  {b['bound']:<{width}}  {b['value']}  (line {b['line']})")
    click.echo(f"longest wait: {span(wait) if wait else 'as the client says'}")
    click.echo(
        f"most sends:   {sends}"
        + (", one of which may have run" if known[cls].idempotency.value == "unsafe" else "")
    )
