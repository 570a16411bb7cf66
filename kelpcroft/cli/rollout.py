"""``kelpcroft rollout``: a change in stages."""

from __future__ import annotations

import sqlite3
import subprocess
import sys
import time
from collections.abc import Sequence
from dataclasses import replace
from pathlib import Path
from typing import Any

import click
import orjson

from kelpcroft.cli.common import CommandError, F, exit_negative, format_option, print_json
from kelpcroft.cli.controller import RolloutController, begin_or_continue_run
from kelpcroft.operator_file.check import read
from kelpcroft.operator_file.check import span as words
from kelpcroft.rollout.events import HistoryEntry
from kelpcroft.rollout.phases import RolloutOutcome
from kelpcroft.rollout.placement import PlacementDiff, PlacementError, compare_placements
from kelpcroft.rollout.plan import RolloutPlan
from kelpcroft.rollout.plan_file import load_plan
from kelpcroft.rollout.router_drivers import fill_in
from kelpcroft.rollout.snapshot import SnapshotError
from kelpcroft.store.rollouts import LeaseLostError, RolloutStore, StoredRun


@click.group()
def rollout() -> None:
    """A change in stages: judged new against old, stopped and taken back where it does worse."""


def planned(path: str, form: str) -> RolloutPlan:
    """A rollout file that may be used; its faults and exit code 1 where it may not."""
    try:
        plan, faults = load_plan(read(Path(path)))
    except OSError as error:
        raise CommandError(f"{path}: {error.strerror}") from error
    if not faults:
        return plan
    if form == "json":
        print_json(
            {
                "file": path,
                "good": False,
                "faults": [
                    {
                        "line": f.position.line,
                        "column": f.position.column,
                        "code": f.code,
                        "reason": f.message,
                    }
                    for f in faults
                ],
            }
        )
    else:
        for fault in faults:
            click.echo(fault.format_for(path))
        click.echo(f"{len(faults)} fault{'s' * (len(faults) != 1)}", err=True)
    exit_negative()


def worst_out(plan: RolloutPlan) -> dict[str, float]:
    """The largest share of each zone's routers that may be out at once."""
    sizes: dict[str, int] = {}
    for router in plan.routers:
        sizes[router.zone] = sizes.get(router.zone, 0) + 1
    return {
        zone: round(min(plan.max_unavailable_per_zone, plan.max_unavailable, size) / size, 3)
        for zone, size in sizes.items()
    }


@rollout.command(epilog="Example:  kelpcroft rollout plan examples/rollout.kdl")
@click.argument("file")
@format_option
def plan(file: str, form: str) -> None:
    """Check a rollout FILE and print what it would do: nothing is touched.

    Each stage with the routers that it changes, the shortest and longest time, the worst share of each zone
    that is out at once, where nothing of the old is left to compare with, and the share of objects whose home
    differs between the two builds, where the file says how to ask them.  Exit code 1 where there is a fault.
    """
    found = planned(file, form)
    stages = found.routers_by_stage()
    changed: set[str] = set()
    rows = []
    for stage, routers in zip(found.stages, stages, strict=True):
        changed |= {r.name for r in routers}
        left = {r.zone for r in found.routers if r.name not in changed}
        rows.append(
            {
                "stage": stage.name,
                "routers": [r.name for r in routers],
                "least_s": stage.min_ns / 10**9,
                "most_s": stage.max_ns / 10**9,
                "nothing_to_compare_in": sorted({r.zone for r in routers} - left),
            }
        )
    homes, unasked = moved(found)
    shortest = (
        sum(s.min_ns for s in found.stages)
        + found.slowest_signal_ns
        + sum(-(-len(r) // found.max_unavailable) for r in stages) * found.warm_up_ns
    )
    if form == "json":
        print_json(
            {
                "file": file,
                "good": True,
                "change": dict(found.changes),
                "stages": rows,
                "shortest_s": shortest / 10**9,
                "longest_s": found.longest_ns() / 10**9,
                "worst_share_out": worst_out(found),
                "homes": {
                    zone: {
                        "objects": m.object_count,
                        "moved": m.moved_count,
                        "share": round(m.moved_share, 4),
                    }
                    for zone, m in homes.items()
                },
                "homes_unasked": unasked,
                "then": "take-back" if found.rolls_back_on_harm else "hold",
            }
        )
        return
    click.echo("changes " + ", ".join(f"{what} to {digest}" for what, digest in found.changes))
    for row, stage in zip(rows, found.stages, strict=True):
        names = ", ".join(row["routers"])  # type: ignore[arg-type]
        alone = ", ".join(row["nothing_to_compare_in"])  # type: ignore[arg-type]
        click.echo(
            f"stage {stage.name!r}: {names}; {words(stage.min_ns)} to {words(stage.max_ns)}"
            + (f"; no old router left to compare with in {alone}" if alone else "")
        )
    click.echo(f"shortest {words(shortest)}, longest {words(found.longest_ns())}")
    click.echo(
        "out at once at the worst: "
        + ", ".join(f"{share * 100:g}% of {zone}" for zone, share in worst_out(found).items())
    )
    for zone, m in homes.items():
        click.echo(
            f"zone {zone}: {m.moved_share * 100:.1f}% of objects have another home in the new"
            + ("; as many of the copies kept there are filled once more" if m.moved_count else "")
        )
    for why in unasked:
        click.echo(f"homes not known: {why}")
    click.echo("harm is " + ("taken back" if found.rolls_back_on_harm else "held for people to decide"))


def moved(plan: RolloutPlan) -> tuple[dict[str, PlacementDiff], list[str]]:
    """By zone, how many objects have another home in the new build, each build asked by its own command; and
    what could not be asked."""
    main = ["-c", "from kelpcroft.cli import main; main()", "homes", "--config", "{config}"]
    ways: list[tuple[Sequence[str], str | None]]
    if plan.placement_commands:
        ways = [(words, None) for words in plan.placement_commands]
    elif plan.local_builds:
        asks = [sys.executable, *main, "--objects", str(plan.placement_object_count), "--format", "json"]
        ways = [(asks, folder) for folder in plan.local_builds]
    else:
        return {}, []
    found: dict[str, PlacementDiff] = {}
    faults = []
    for target in {r.zone: r for r in plan.routers}.values():
        placed: list[list[str]] = []
        for command, folder in ways:
            at = replace(target, config_path=str(Path(target.config_path).absolute())) if folder else target
            try:
                asked = fill_in(command, at)
                limit = plan.command_timeout_ns / 1e9
                done = subprocess.run(asked, cwd=folder, capture_output=True, timeout=limit, check=True)
                placed.append([str(x) for x in orjson.loads(done.stdout)["homes"]])
            except (OSError, subprocess.SubprocessError, ValueError, KeyError, TypeError) as error:
                faults.append(f"zone {target.zone}: {type(error).__name__}: {str(error)[:200]}")
                break
        if len(placed) == 2:
            try:
                found[target.zone] = compare_placements(*placed)
            except PlacementError as error:
                faults.append(f"zone {target.zone}: {error}")
    return found, faults


def store_option(command: F) -> F:
    """``--store FILE``."""
    return click.option(
        "--store",
        "path",
        default="rollout.db",
        show_default=True,
        metavar="FILE",
        help="The file that holds runs and their history.",
    )(command)


def opened(path: str, must: bool = True) -> RolloutStore:
    """The store; used wrongly where there is none and one is wanted."""
    if must and not Path(path).exists():
        raise CommandError(f"{path}: there is no such store; a rollout that was started makes one")
    try:
        return RolloutStore(path)
    except sqlite3.Error as error:
        raise CommandError(f"{path}: {error}") from error


def current(store: RolloutStore, path: str) -> StoredRun:
    run = store.newest_run()
    if run is None:
        raise CommandError(f"{path}: holds no run")
    return run


@rollout.command(epilog="Example:  kelpcroft rollout start examples/rollout.kdl --store /tmp/rollout.db")
@click.argument("file")
@store_option
@format_option
def start(file: str, path: str, form: str) -> None:
    """Lead the rollout of FILE until it is over or stopped, printing each decision.

    A run of the same FILE that is not over is gone on with: a controller that died is started again just so.
    Exit code 0 for done, 1 for taken back or stopped, 2 where it cannot be led.
    """
    found = planned(file, form)
    missing = [r.name for r in found.routers if not r.control_address]
    if missing or not (found.apply_command or found.local_builds):
        raise CommandError(
            f"{file}: "
            + (
                f"router {missing[0]!r} has no control address"
                if missing
                else "it has no 'act': nothing says how a router is changed"
            )
        )
    store = opened(path, must=False)

    def tell(note: HistoryEntry) -> None:
        if form == "json":
            click.echo(orjson.dumps({"name": note.name, "text": note.text, "figures": dict(note.figures)}))
        else:
            click.echo(f"{note.name}: {note.text}")

    try:
        run = begin_or_continue_run(store, read(Path(file)), found)
        outcome = RolloutController(store, run, found, tell).lead()
    except (LeaseLostError, SnapshotError) as error:
        raise CommandError(str(error)) from error
    except KeyboardInterrupt:
        raise CommandError("left as it stands; start it again to go on") from None
    if outcome is not RolloutOutcome.DONE:
        exit_negative()


def shown(run: StoredRun) -> dict[str, Any]:
    """A run as people and scripts see it."""
    s = run.snapshot
    return {
        "run": run.id,
        "outcome": run.outcome,
        "why": s["why"],
        "stage": s["stage"] + 1,
        "led": run.lease_ns > time.time_ns(),
        "began_ns": run.began_ns,
        "routers": {name: x["phase"] for name, x in s["routers"].items()},
        "evidence": [
            {
                "zone": zone,
                "class": cls,
                "slices": slices,
                "mean": total / slices if slices else 0.0,
                "verdict": verdict,
            }
            for zone, cls, _, _, slices, total, verdict in s["bets"]
        ],
    }


def print_status(run: StoredRun, form: str) -> None:
    told = shown(run)
    if form == "json":
        print_json(told)
        return
    click.echo(
        f"run {told['run']}: {told['outcome']}{': ' + told['why'] if told['why'] else ''}, stage "
        f"{told['stage']}, {'led' if told['led'] else 'nobody leads it'}"
    )
    phases: dict[str, list[str]] = {}
    for name, phase in told["routers"].items():
        phases.setdefault(phase, []).append(name)
    for phase, names in phases.items():
        click.echo(f"  {phase}: {', '.join(names)}")
    for row in told["evidence"]:
        click.echo(
            f"  {row['zone']}, {row['class']}: {row['verdict']} after {row['slices']} slices, "
            f"{row['mean']:+.3f} more harm than the old"
        )


@rollout.command(epilog="Example:  kelpcroft rollout status --store /tmp/rollout.db")
@store_option
@format_option
def status(path: str, form: str) -> None:
    """Print where the newest run stands.  Exit code 1 where it is held or taken back."""
    run = current(opened(path), path)
    print_status(run, form)
    if run.outcome in ("held", "reverting", "taken back"):
        exit_negative()


@rollout.command(epilog="Example:  kelpcroft rollout watch --store /tmp/rollout.db")
@store_option
@format_option
def watch(path: str, form: str) -> None:
    """Print the newest run's decisions as they are made, until it is over."""
    store, seen = opened(path), 0
    while True:
        run = current(store, path)
        found = store.history(run.id)
        for row in found[seen:]:
            click.echo(orjson.dumps(row) if form == "json" else f"{row['name']}: {row['text']}")
        seen = len(found)
        if run.outcome in ("done", "taken back"):
            return
        time.sleep(0.5)


@rollout.command(epilog="Example:  kelpcroft rollout history --store /tmp/rollout.db")
@store_option
@format_option
def history(path: str, form: str) -> None:
    """Print every decision of the newest run, with the figures that it was made on."""
    store = opened(path)
    found = store.history(current(store, path).id)
    if form == "json":
        print_json(found)
        return
    for row in found:
        at = time.strftime("%Y-%m-%dT%H:%M:%SZ", time.gmtime(row["at_ns"] / 1e9))
        click.echo(
            f"{at} {row['name']}: {row['text']}"
            + (f"  {orjson.dumps(row['figures']).decode()}" if row["figures"] else "")
        )


def word(verb: str, text: str) -> click.Command:
    """A verb that only leaves a word for the controller."""

    @click.command(verb, help=text, epilog=f"Example:  kelpcroft rollout {verb} --store /tmp/rollout.db")
    @store_option
    @format_option
    def command(path: str, form: str) -> None:
        store = opened(path)
        run = current(store, path)
        if run.outcome in ("done", "taken back"):
            raise CommandError(f"run {run.id} is over: {run.outcome}")
        store.add_operator_command(run.id, time.time_ns(), verb)
        led = run.lease_ns > time.time_ns()
        if form == "json":
            print_json({"run": run.id, "said": verb, "led": led})
        else:
            click.echo(
                f"said to run {run.id}" + ("" if led else "; nobody leads it: start it to have it heard")
            )

    return command


for verb, text in (
    ("hold", "Begin nothing new; what is under way at a router is finished."),
    ("resume", "Go on with a held run."),
    ("revert", "Take back all that was changed."),
    ("stop", "Have the controller leave the run as it stands."),
):
    rollout.add_command(word(verb, text))
