"""The ``kelpcroft rollout`` commands: change routers in stages."""

from __future__ import annotations

import sqlite3
import time
from collections.abc import Callable
from pathlib import Path
from typing import NoReturn

import click
import orjson

from kelpcroft.cli.common import CommandError, F, exit_negative, format_option, print_json
from kelpcroft.cli.controller import RolloutController, begin_or_continue_run
from kelpcroft.cli.rollout_preview import preview, preview_to_json, print_preview
from kelpcroft.cli.rollout_status import is_led, print_status, run_status
from kelpcroft.diagnostics import Diagnostic
from kelpcroft.operator_file.check import read_bytes
from kelpcroft.rollout.errors import SnapshotError
from kelpcroft.rollout.events import HistoryEntry
from kelpcroft.rollout.phases import FINAL_OUTCOME_VALUES, RolloutOutcome
from kelpcroft.rollout.plan import RolloutPlan
from kelpcroft.rollout.plan_file import load_plan
from kelpcroft.store.rollouts import LeaseLostError, RolloutStore, StoredRun

NEGATIVE_OUTCOME_VALUES = frozenset(  # for these, `status` exits with code 1
    outcome.value
    for outcome in (RolloutOutcome.HELD, RolloutOutcome.ROLLING_BACK, RolloutOutcome.ROLLED_BACK)
)
WATCH_INTERVAL_S = 0.5  # time between two reads of the store by `watch`


@click.group()
def rollout() -> None:
    """Change routers in stages: compare new with old, and hold or roll back on a regression."""


def load_usable_plan(path: str, output_format: str) -> RolloutPlan:
    """Return the plan of a rollout file; for an unusable file, print its errors and exit with code 1."""
    try:
        plan, diagnostics = load_plan(read_bytes(path))
    except OSError as error:
        raise CommandError(f"{path}: {error.strerror}") from error
    if diagnostics:
        report_diagnostics(path, diagnostics, output_format)
    return plan


def report_diagnostics(path: str, diagnostics: list[Diagnostic], output_format: str) -> NoReturn:
    """Print the errors of a file and exit with code 1."""
    if output_format == "json":
        rows = [
            {
                "line": diagnostic.position.line,
                "column": diagnostic.position.column,
                "code": diagnostic.code,
                "reason": diagnostic.message,
            }
            for diagnostic in diagnostics
        ]
        print_json({"file": path, "good": False, "faults": rows})
    else:
        for diagnostic in diagnostics:
            click.echo(diagnostic.format_for(path))
        click.echo(f"{len(diagnostics)} fault{'s' * (len(diagnostics) != 1)}", err=True)
    exit_negative()


@rollout.command(epilog="Example:  kelpcroft rollout plan examples/rollout.kdl")
@click.argument("file")
@format_option
def plan(file: str, output_format: str) -> None:
    """Check a rollout FILE and print a preview of it, without changing any router.

    The preview has each stage with the routers that it changes, the shortest and longest time, the largest
    share of each zone that is out of service at once, the zones without an old router to compare with, and
    the share of objects whose home differs between the two builds, if FILE has the commands that print it.
    Exit code 1 if there is a fault.
    """
    plan_preview = preview(load_usable_plan(file, output_format))
    if output_format == "json":
        print_json(preview_to_json(file, plan_preview))
    else:
        print_preview(plan_preview)


def store_option(command: F) -> F:
    """Add the option ``--store FILE`` to a command."""
    return click.option(
        "--store",
        "path",
        default="rollout.db",
        show_default=True,
        metavar="FILE",
        help="The file that holds runs and their history.",
    )(command)


def open_store(path: str, must_exist: bool = True) -> RolloutStore:
    """Open the store.

    Raises:
        CommandError: The file must exist and does not, or it cannot be opened.
    """
    if must_exist and not Path(path).exists():
        raise CommandError(f"{path}: there is no such store; `kelpcroft rollout start` creates it")
    try:
        return RolloutStore(path)
    except sqlite3.Error as error:
        raise CommandError(f"{path}: {error}") from error


def newest_run(store: RolloutStore, path: str) -> StoredRun:
    """Return the newest run.

    Raises:
        CommandError: The store has no run.
    """
    run = store.newest_run()
    if run is None:
        raise CommandError(f"{path}: contains no run")
    return run


def check_can_be_led(file: str, plan: RolloutPlan) -> None:
    """Check that a plan can be led; `rollout plan` accepts plans that cannot.

    Raises:
        CommandError: A router has no control address, or the plan has no way to change a router.
    """
    without_address = [target.name for target in plan.routers if not target.control_address]
    if without_address:
        raise CommandError(f"{file}: router {without_address[0]!r} has no control address")
    if not (plan.apply_command or plan.local_builds):
        raise CommandError(f"{file}: has no 'act', which states how a router is changed")


def entry_printer(output_format: str) -> Callable[[HistoryEntry], None]:
    """Return a function that prints a decision of a run on one line."""

    def print_entry(entry: HistoryEntry) -> None:
        if output_format == "json":
            figures = dict(entry.figures)
            click.echo(orjson.dumps({"name": entry.name, "text": entry.text, "figures": figures}))
        else:
            click.echo(f"{entry.name}: {entry.text}")

    return print_entry


@rollout.command(epilog="Example:  kelpcroft rollout start examples/rollout.kdl --store /tmp/rollout.db")
@click.argument("file")
@store_option
@format_option
def start(file: str, path: str, output_format: str) -> None:
    """Lead the rollout of FILE until it is over or stopped, printing each decision.

    An unfinished run of the same FILE is continued, so the same command replaces a controller that failed.
    Exit code 0 for done, 1 for taken back or stopped, 2 if the run cannot be led.
    """
    rollout_plan = load_usable_plan(file, output_format)
    check_can_be_led(file, rollout_plan)
    store = open_store(path, must_exist=False)
    try:
        run = begin_or_continue_run(store, read_bytes(file), rollout_plan)
        outcome = RolloutController(store, run, rollout_plan, entry_printer(output_format)).lead()
    except (LeaseLostError, SnapshotError) as error:
        raise CommandError(str(error)) from error
    except KeyboardInterrupt:
        raise CommandError("interrupted; the run is left as it is, start it again to continue") from None
    if outcome is not RolloutOutcome.DONE:
        exit_negative()


@rollout.command(epilog="Example:  kelpcroft rollout status --store /tmp/rollout.db")
@store_option
@format_option
def status(path: str, output_format: str) -> None:
    """Print the state of the newest run.  Exit code 1 if it is held, reverting or taken back."""
    run = newest_run(open_store(path), path)
    current_status = run_status(run)
    if output_format == "json":
        print_json(current_status)
    else:
        print_status(current_status)
    if run.outcome in NEGATIVE_OUTCOME_VALUES:
        exit_negative()


@rollout.command(epilog="Example:  kelpcroft rollout watch --store /tmp/rollout.db")
@store_option
@format_option
def watch(path: str, output_format: str) -> None:
    """Print the newest run's decisions as they are made, until it is over."""
    store = open_store(path)
    printed_count = 0
    while True:
        run = newest_run(store, path)
        rows = store.history(run.id)
        for row in rows[printed_count:]:
            click.echo(orjson.dumps(row) if output_format == "json" else f"{row['name']}: {row['text']}")
        printed_count = len(rows)
        if run.outcome in FINAL_OUTCOME_VALUES:
            return
        time.sleep(WATCH_INTERVAL_S)


@rollout.command(epilog="Example:  kelpcroft rollout history --store /tmp/rollout.db")
@store_option
@format_option
def history(path: str, output_format: str) -> None:
    """Print every decision of the newest run, with the figures behind it."""
    store = open_store(path)
    rows = store.history(newest_run(store, path).id)
    if output_format == "json":
        print_json(rows)
        return
    for row in rows:
        at = time.strftime("%Y-%m-%dT%H:%M:%SZ", time.gmtime(row["at_ns"] / 1e9))
        figures = f"  {orjson.dumps(row['figures']).decode()}" if row["figures"] else ""
        click.echo(f"{at} {row['name']}: {row['text']}{figures}")


def operator_subcommand(name: str, help_text: str) -> click.Command:
    """Return a subcommand that stores an operator command for the controller."""

    @click.command(name, help=help_text, epilog=f"Example:  kelpcroft rollout {name} --store /tmp/rollout.db")
    @store_option
    @format_option
    def store_command(path: str, output_format: str) -> None:
        store = open_store(path)
        run = newest_run(store, path)
        if run.outcome in FINAL_OUTCOME_VALUES:
            raise CommandError(f"run {run.id} is over: {run.outcome}")
        store.add_operator_command(run.id, time.time_ns(), name)
        has_leader = is_led(run)
        if output_format == "json":
            print_json({"run": run.id, "said": name, "led": has_leader})
        else:
            remark = (
                "" if has_leader else "; no controller leads the run: `kelpcroft rollout start` starts one"
            )
            click.echo(f"said to run {run.id}{remark}")

    return store_command


for command_name, help_text in (
    ("hold", "Begin no further change; a change in progress at a router is finished."),
    ("resume", "Continue a held run."),
    ("revert", "Roll back all that was changed."),
    ("stop", "Stop the controller and leave the run as it is."),
):
    rollout.add_command(operator_subcommand(command_name, help_text))
