"""The ``kelpcroft diff`` command: the requests that two operator's files treat differently."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import replace
from itertools import product
from typing import NamedTuple

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
from kelpcroft.decision.interface import Idempotency, RequestClass
from kelpcroft.operator_file.explain import Change, TooManyRegionsError, differences
from kelpcroft.operator_file.model import OperatorFile, RouteMatch

ANY_OTHER_CLASS = "any other"


class LabelledClass(NamedTuple):
    """A class to compare by, and its label in the output."""

    label: str
    request_class: RequestClass


def classes_from_matches(matches: Iterable[RouteMatch]) -> list[LabelledClass]:
    """Return classes to compare by if no deployment is given.

    They have the names that the matches contain, and one further name.  If any match has a condition on the
    effect, there is a class of each effect for each name; the same holds for the conditions on uncacheable
    classes and on classes whose objects have several parts.
    """
    matches = list(matches)
    idempotencies = list(Idempotency) if any(m.effects for m in matches) else [Idempotency.SAFE]
    uncacheable_values = (False, True) if any(m.uncacheable is not None for m in matches) else (False,)
    multipart_values = (False, True) if any(m.multipart is not None for m in matches) else (False,)
    names = sorted({name for match in matches for name in match.classes})
    labelled_classes = []
    for name in [*names, ANY_OTHER_CLASS]:
        for idempotency, uncacheable, multipart in product(
            idempotencies, uncacheable_values, multipart_values
        ):
            qualifiers = [idempotency.value] if len(idempotencies) > 1 else []
            if uncacheable:
                qualifiers.append("through")
            if multipart:
                qualifiers.append("multipart")
            label = f"{name} ({', '.join(qualifiers)})" if qualifiers else name
            request_class = RequestClass(name, idempotency, uncacheable=uncacheable, multipart=multipart)
            labelled_classes.append(LabelledClass(label, request_class))
    return labelled_classes


@click.command(
    epilog="Example:  kelpcroft diff deploy/routes.kdl examples/operator.kdl --config examples/config.json"
)
@click.argument("old")
@click.argument("new")
@config_option()
@click.option("--zone", help="Zone of the routers to compare for; else the configuration's.")
@format_option
def diff(old: str, new: str, config: str | None, zone: str | None, output_format: str) -> None:
    """Print which requests the files OLD and NEW treat differently, and how.

    Without --config the classes are those that the files name, and one that neither names.  Exit code 1 if
    there is a difference.
    """
    settings = read_settings(config) if config else None
    before = load_usable_file(old, settings)
    after = load_usable_file(new, settings)
    own_zone = zone or (settings.zone if settings else "")
    changes = compare(before, after, own_zone, classes_to_compare(before, after, settings))
    if output_format == "json":
        print_json({"same": not changes, "changes": [change_json(change) for change in changes]})
    else:
        echo_changes(changes)
    if changes:
        exit_negative()


def classes_to_compare(
    before: OperatorFile, after: OperatorFile, settings: api.Settings | None
) -> list[LabelledClass]:
    """Return the deployment's classes or, without a deployment, classes derived from both files."""
    if settings:
        return [LabelledClass(c.name, c) for c in settings.classes]
    return classes_from_matches(route.match for file in (before, after) for route in file.routes)


def compare(
    before: OperatorFile, after: OperatorFile, zone: str, classes: Iterable[LabelledClass]
) -> list[Change]:
    """Return all differences, each with the label of its class.

    Raises:
        CommandError: The files divide the requests into too many regions.
    """
    try:
        return [
            replace(change, class_name=label)
            for label, request_class in classes
            for change in differences(before, after, zone, [request_class])
        ]
    except TooManyRegionsError as error:
        raise CommandError(str(error)) from error


def change_json(change: Change) -> dict[str, object]:
    """Return a difference as a JSON object."""
    return {
        "class": change.class_name,
        "where": change.where,
        "old": change.old or None,
        "new": change.new or None,
        "what": list(change.changes),
    }


def echo_changes(changes: list[Change]) -> None:
    """Print all differences as text."""
    if not changes:
        click.echo("both files treat every request the same")
    for change in changes:
        click.echo(f"class {change.class_name}: {change.where}")
        click.echo(f"  {change.old or 'no route'} -> {change.new or 'no route'}")
        for difference in change.changes:
            click.echo(f"  {difference}")
