"""The preview of a rollout, printed by ``kelpcroft rollout plan``, which changes no router."""

from __future__ import annotations

import subprocess
import sys
from collections.abc import Sequence
from dataclasses import dataclass, replace
from pathlib import Path
from typing import Any, NamedTuple

import click
import orjson

from kelpcroft.operator_file.values import format_duration
from kelpcroft.rollout.errors import PlacementError
from kelpcroft.rollout.placement import PlacementDiff, compare_placements
from kelpcroft.rollout.plan import RolloutPlan, RouterTarget, Stage
from kelpcroft.rollout.router_drivers import fill_in_placeholders

# Length to which the error text of a placement command is cut.
MAX_ERROR_CHARACTERS = 200
# Arguments of the Python interpreter that print a local build's placements.
PLACEMENT_ARGUMENTS = ("-c", "from kelpcroft.cli import main; main()", "homes", "--config", "{config}")


class StagePreview(NamedTuple):
    """Preview of one stage.

    Attributes:
        stage: The stage in the plan.
        router_names: The routers that are changed in this stage.
        uncompared_zones: Zones of these routers in which no old router is left to compare with.
    """

    stage: Stage
    router_names: list[str]
    uncompared_zones: list[str]


@dataclass(frozen=True, slots=True)
class RolloutPreview:
    """Preview of a rollout.

    Attributes:
        plan: The plan.
        stages: Its stages.
        max_unavailable_share: By zone, the largest share of its routers that may be out of service at once.
        placement_diffs: By zone, the number of objects whose home differs in the new build.
        placement_errors: For each zone without a placement diff, the reason.
    """

    plan: RolloutPlan
    stages: list[StagePreview]
    max_unavailable_share: dict[str, float]
    placement_diffs: dict[str, PlacementDiff]
    placement_errors: list[str]


def preview(plan: RolloutPlan) -> RolloutPreview:
    """Return the preview of a plan; runs the commands that print the builds' placements, if there are any."""
    diffs, errors = _compare_builds(plan)
    return RolloutPreview(plan, _preview_stages(plan), _max_unavailable_share(plan), diffs, errors)


def _preview_stages(plan: RolloutPlan) -> list[StagePreview]:
    changed: set[str] = set()
    previews = []
    for stage, routers in zip(plan.stages, plan.routers_by_stage(), strict=True):
        changed |= {router.name for router in routers}
        zones_with_old = {router.zone for router in plan.routers if router.name not in changed}
        uncompared_zones = sorted({router.zone for router in routers} - zones_with_old)
        previews.append(StagePreview(stage, [router.name for router in routers], uncompared_zones))
    return previews


def _max_unavailable_share(plan: RolloutPlan) -> dict[str, float]:
    shares = {}
    for zone, routers in plan.routers_by_zone().items():
        total = len(routers)
        unavailable = min(plan.max_unavailable_per_zone, plan.max_unavailable, total)
        shares[zone] = round(unavailable / total, 3)
    return shares


# Placements: printed by a command of each build -----------------------------------------------------------


class PlacementCommand(NamedTuple):
    """The command that prints where one build places objects.

    Attributes:
        arguments: The arguments of the command; placeholders in braces are filled in for each zone.
        folder: The folder in which it runs; None = the current one.
    """

    arguments: Sequence[str]
    folder: str | None


def _placement_commands(plan: RolloutPlan) -> list[PlacementCommand]:
    """Return the commands of the old and the new build; none if the plan has no commands or builds."""
    if plan.placement_commands:
        return [PlacementCommand(arguments, None) for arguments in plan.placement_commands]
    if plan.local_builds:
        count = str(plan.placement_object_count)
        arguments = [sys.executable, *PLACEMENT_ARGUMENTS, "--objects", count, "--format", "json"]
        return [PlacementCommand(arguments, folder) for folder in plan.local_builds]
    return []


def _compare_builds(plan: RolloutPlan) -> tuple[dict[str, PlacementDiff], list[str]]:
    """Return the placement diff of each zone, and an error text for each zone without one."""
    diffs: dict[str, PlacementDiff] = {}
    errors: list[str] = []
    commands = _placement_commands(plan)
    if not commands:
        return diffs, errors
    router_by_zone = {router.zone: router for router in plan.routers}
    for zone, target in router_by_zone.items():
        try:
            old, new = [_run_placement_command(plan, command, target) for command in commands]
            diffs[zone] = compare_placements(old, new)
        except PlacementError as error:
            errors.append(f"zone {zone}: {error}")
    return diffs, errors


def _run_placement_command(plan: RolloutPlan, command: PlacementCommand, target: RouterTarget) -> list[str]:
    """Run the command of one build and return the home of each object.

    Raises:
        PlacementError: The command cannot be run, fails, times out or prints anything but the homes.
    """
    if command.folder:
        target = replace(target, config_path=str(Path(target.config_path).absolute()))
    try:
        completed = subprocess.run(
            fill_in_placeholders(command.arguments, target),
            cwd=command.folder,
            capture_output=True,
            timeout=plan.command_timeout_ns / 1e9,
            check=True,
        )
        return [str(home) for home in orjson.loads(completed.stdout)["homes"]]
    except (OSError, subprocess.SubprocessError, ValueError, KeyError, TypeError) as error:
        raise PlacementError(
            f"{type(error).__name__}: {str(error)[:MAX_ERROR_CHARACTERS]}",
            zone=target.zone,
            command=tuple(command.arguments),
        ) from error


# Printing --------------------------------------------------------------------------------------------------


def preview_to_json(path: str, rollout_preview: RolloutPreview) -> dict[str, Any]:
    """Return the preview as a JSON object; scripts rely on its keys."""
    plan = rollout_preview.plan
    return {
        "file": path,
        "good": True,
        "change": dict(plan.changes),
        "stages": [
            {
                "stage": row.stage.name,
                "routers": row.router_names,
                "least_s": row.stage.min_ns / 10**9,
                "most_s": row.stage.max_ns / 10**9,
                "nothing_to_compare_in": row.uncompared_zones,
            }
            for row in rollout_preview.stages
        ],
        "shortest_s": plan.shortest_ns() / 10**9,
        "longest_s": plan.longest_ns() / 10**9,
        "worst_share_out": rollout_preview.max_unavailable_share,
        "homes": {
            zone: {
                "objects": diff.object_count,
                "moved": diff.moved_count,
                "share": round(diff.moved_share, 4),
            }
            for zone, diff in rollout_preview.placement_diffs.items()
        },
        "homes_unasked": rollout_preview.placement_errors,
        "then": "take-back" if plan.rolls_back_on_regression else "hold",
    }


def print_preview(rollout_preview: RolloutPreview) -> None:
    """Print the preview as text."""
    plan = rollout_preview.plan
    click.echo("changes " + ", ".join(f"{component} to {digest}" for component, digest in plan.changes))
    for row in rollout_preview.stages:
        uncompared = ", ".join(row.uncompared_zones)
        click.echo(
            f"stage {row.stage.name!r}: {', '.join(row.router_names)}; "
            f"{format_duration(row.stage.min_ns)} to {format_duration(row.stage.max_ns)}"
            + (f"; no old router left to compare with in {uncompared}" if uncompared else "")
        )
    shortest, longest = format_duration(plan.shortest_ns()), format_duration(plan.longest_ns())
    click.echo(f"shortest {shortest}, longest {longest}")
    shares = (f"{share * 100:g}% of {zone}" for zone, share in rollout_preview.max_unavailable_share.items())
    click.echo("largest share out of service at once: " + ", ".join(shares))
    for zone, diff in rollout_preview.placement_diffs.items():
        click.echo(
            f"zone {zone}: {diff.moved_share * 100:.1f}% of objects have another home in the new build"
            + ("; their cached copies are filled again" if diff.moved_count else "")
        )
    for error in rollout_preview.placement_errors:
        click.echo(f"homes not known: {error}")
    click.echo(
        "a regression is "
        + ("rolled back" if plan.rolls_back_on_regression else "held for an operator to decide")
    )
