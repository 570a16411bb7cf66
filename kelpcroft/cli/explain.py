"""The ``kelpcroft explain`` command: the route of one request, and the lines that set its bounds."""

from __future__ import annotations

import re

import click

from kelpcroft.cli.common import (
    CommandError,
    config_option,
    exit_negative,
    format_option,
    load_usable_file,
    print_json,
    read_settings,
)
from kelpcroft.decision import interface as api
from kelpcroft.operator_file.diagnostics import suggestion
from kelpcroft.operator_file.explain import (
    ANY_OBJECT,
    PolicyRow,
    RequestAttributes,
    describe_policy,
    find_route,
    longest_wait_ns,
    max_sends,
)
from kelpcroft.operator_file.model import GROUP_RANGE, PART_RANGE, Route
from kelpcroft.operator_file.values import MS, format_duration

OBJECT_ID = re.compile(r"[0-9a-f]{16}")


@click.command(
    epilog="Example:  kelpcroft explain examples/operator.kdl --config examples/config.json "
    "--class page --part 9"
)
@click.argument("file")
@config_option(required=True)
@click.option("--class", "class_name", required=True, help="Class of the request.")
@click.option("--object", "object_id", default=ANY_OBJECT, help="Object of the request, 16 hex digits.")
@click.option("--part", type=click.IntRange(*PART_RANGE), default=0, help="Part of the object.")
@click.option("--group", type=click.IntRange(*GROUP_RANGE), default=0, help="Group of the object.")
@click.option("--retry", is_flag=True, help="The request is a client's own retry.")
@click.option("--write", is_flag=True, help="The request has a body.")
@format_option
def explain(
    file: str,
    config: str,
    class_name: str,
    object_id: str,
    part: int,
    group: int,
    retry: bool,
    write: bool,
    output_format: str,
) -> None:
    """Print the route that matches a request, and its bounds.

    Each bound is printed with the line of FILE that it comes from.  The longest wait and the largest number
    of sends that follow from the bounds are printed last.
    """
    settings = read_settings(config)
    request_class = find_class(settings, class_name)
    if not OBJECT_ID.fullmatch(object_id):
        raise CommandError(f"--object: {object_id!r} is not 16 hex digits in lower case")
    request = RequestAttributes(request_class, object_id, part, group, retry, write)
    route = find_route(load_usable_file(file, settings), settings.zone, request)
    if route is None:
        report_no_route(output_format)
        exit_negative()
    if output_format == "json":
        print_route_json(route, request_class, settings.limits)
    else:
        echo_route(route, request_class, settings.limits)


def find_class(settings: api.Settings, name: str) -> api.RequestClass:
    """Return the class with a name.  Raises CommandError if there is none."""
    classes_by_name = {request_class.name: request_class for request_class in settings.classes}
    if name not in classes_by_name:
        raise CommandError(f"--class: there is no class {name!r}{suggestion(name, classes_by_name)}")
    return classes_by_name[name]


def report_no_route(output_format: str) -> None:
    """Print that no route matches the request."""
    if output_format == "json":
        print_json({"route": None})
    else:
        click.echo("no route matches the request: the file sets no bounds for it")


def print_route_json(route: Route, request_class: api.RequestClass, limits: api.Limits) -> None:
    """Print the route and its bounds as JSON."""
    print_json(
        {
            "route": route.name,
            "line": route.position.line,
            "bounds": [policy_row_json(row) for row in describe_policy(route.policy)],
            "longest_wait_ms": longest_wait_ns(route.policy, request_class) / MS,
            "most_sends": max_sends(route.policy, request_class, limits),
            "effect": request_class.idempotency.value,
        }
    )


def policy_row_json(row: PolicyRow) -> dict[str, object]:
    """Return a row of the policy as a JSON object."""
    return {"bound": row.name, "value": row.text, "line": row.position.line}


def echo_route(route: Route, request_class: api.RequestClass, limits: api.Limits) -> None:
    """Print the route and its bounds as text."""
    click.echo(f"route {route.name!r}, line {route.position.line}")
    rows = list(describe_policy(route.policy))
    width = max((len(row.name) for row in rows), default=0)
    for row in rows:
        click.echo(f"  {row.name:<{width}}  {row.text}  (line {row.position.line})")
    wait_ns = longest_wait_ns(route.policy, request_class)
    click.echo(f"longest wait: {format_duration(wait_ns) if wait_ns else 'set by the client'}")
    is_unsafe = request_class.idempotency is api.Idempotency.UNSAFE
    unsafe_note = ", one of which may have run" if is_unsafe else ""
    click.echo(f"most sends:   {max_sends(route.policy, request_class, limits)}{unsafe_note}")
