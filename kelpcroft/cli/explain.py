"""``kelpcroft explain``: what happens to one request, and which line says so."""

from __future__ import annotations

import re

import click

from kelpcroft.cli.common import Unfit, as_json, config_option, format_option, good, no, settings_of
from kelpcroft.operator.check import span
from kelpcroft.operator.explain import Asked, longest_wait, most_sends, route_of, rows
from kelpcroft.operator.faults import instead
from kelpcroft.operator.model import GROUPS, PARTS


@click.command(
    epilog="Example:  kelpcroft explain examples/operator.kdl --config examples/config.json "
    "--class page --part 9"
)
@click.argument("file")
@config_option(required=True)
@click.option("--class", "cls", required=True, help="The class of the request.")
@click.option("--object", "item", default="0" * 16, help="Its object, 16 hex digits.")
@click.option("--part", type=click.IntRange(*PARTS), default=0, help="Its part.")
@click.option("--group", type=click.IntRange(*GROUPS), default=0, help="Its group.")
@click.option("--retry", is_flag=True, help="It is a client's own retry.")
@click.option("--write", is_flag=True, help="It has a body.")
@format_option
def explain(
    file: str, config: str, cls: str, item: str, part: int, group: int, retry: bool, write: bool, form: str
) -> None:
    """Print the route that takes a request, each bound with the line it came from, and the most that follows:
    the longest wait and the number of sends."""
    settings = settings_of(config)
    known = {c.name: c for c in settings.classes}
    if cls not in known:
        raise Unfit(f"--class: there is no class {cls!r}{instead(cls, known)}")
    if not re.fullmatch(r"[0-9a-f]{16}", item):
        raise Unfit(f"--object: {item!r} is not 16 hex digits in lower case")
    route = route_of(good(file, settings), settings.zone, Asked(known[cls], item, part, group, retry, write))
    if route is None:
        as_json({"route": None}) if form == "json" else click.echo(
            "no route takes it: the file bounds nothing"
        )
        no()
    wait, sends = (
        longest_wait(route.bounds, known[cls]),
        most_sends(route.bounds, known[cls], settings.limits),
    )
    bounds = [
        {"bound": name, "value": words, "line": place.line} for name, words, place in rows(route.bounds)
    ]
    if form == "json":
        as_json(
            {
                "route": route.name,
                "line": route.place.line,
                "bounds": bounds,
                "longest_wait_ms": wait / 10**6,
                "most_sends": sends,
                "effect": known[cls].effect.value,
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
        + (", one of which may have run" if known[cls].effect.value == "unsafe" else "")
    )
