"""``kelpcroft diff``: which requests would two files treat differently?"""

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
    """A class to compare by, and what the answer calls it."""

    label: str
    request_class: RequestClass


def supposed_classes(matches: Iterable[RouteMatch]) -> list[LabelledClass]:
    """Classes to compare by where no deployment is given.

    They are those that the matches name and one that they do not, of each effect, written through or not,
    in parts or not, as far as any match asks for that.
    """
    matches = list(matches)
    effects = list(Idempotency) if any(m.effects for m in matches) else [Idempotency.SAFE]
    through = (False, True) if any(m.uncacheable is not None for m in matches) else (False,)
    parts = (False, True) if any(m.multipart is not None for m in matches) else (False,)
    names = sorted({name for match in matches for name in match.classes})
    found = []
    for name in [*names, ANY_OTHER_CLASS]:
        for effect, uncacheable, multipart in product(effects, through, parts):
            words = [effect.value] if len(effects) > 1 else []
            if uncacheable:
                words.append("through")
            if multipart:
                words.append("multipart")
            label = f"{name} ({', '.join(words)})" if words else name
            request_class = RequestClass(name, effect, uncacheable=uncacheable, multipart=multipart)
            found.append(LabelledClass(label, request_class))
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
    before = load_usable_file(old, settings)
    after = load_usable_file(new, settings)
    own_zone = zone or (settings.zone if settings else "")
    changes = compare(before, after, own_zone, classes_to_compare(before, after, settings))
    if form == "json":
        print_json({"same": not changes, "changes": [change_json(change) for change in changes]})
    else:
        echo_changes(changes)
    if changes:
        exit_negative()


def classes_to_compare(
    before: OperatorFile, after: OperatorFile, settings: api.Settings | None
) -> list[LabelledClass]:
    """The deployment's classes, or those that the files suppose."""
    if settings:
        return [LabelledClass(c.name, c) for c in settings.classes]
    return supposed_classes(route.match for file in (before, after) for route in file.routes)


def compare(
    before: OperatorFile, after: OperatorFile, zone: str, classes: Iterable[LabelledClass]
) -> list[Change]:
    """All differences, each under its class's label.  Raises CommandError for files in too many pieces."""
    try:
        return [
            replace(change, class_name=label)
            for label, request_class in classes
            for change in differences(before, after, zone, [request_class])
        ]
    except TooManyRegionsError as error:
        raise CommandError(str(error)) from error


def change_json(change: Change) -> dict[str, object]:
    """A difference for the JSON answer."""
    return {
        "class": change.class_name,
        "where": change.where,
        "old": change.old or None,
        "new": change.new or None,
        "what": list(change.what),
    }


def echo_changes(changes: list[Change]) -> None:
    """All differences as text."""
    if not changes:
        click.echo("every request is treated alike")
    for change in changes:
        click.echo(f"class {change.class_name}: {change.where}")
        click.echo(f"  {change.old or 'no route'} -> {change.new or 'no route'}")
        for words in change.what:
            click.echo(f"  {words}")
