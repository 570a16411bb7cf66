"""``kelpcroft rollout``: a change in stages."""

from __future__ import annotations

from pathlib import Path

import click

from kelpcroft.cli.common import Unfit, as_json, format_option, no
from kelpcroft.operator.check import read
from kelpcroft.operator.check import span as words
from kelpcroft.rollout.plan import Plan, load


@click.group()
def rollout() -> None:
    """A change in stages: judged new against old, stopped and taken back where it does worse."""


def planned(path: str, form: str) -> Plan:
    """A rollout file that may be used; its faults and exit code 1 where it may not."""
    try:
        plan, faults = load(read(Path(path)))
    except OSError as error:
        raise Unfit(f"{path}: {error.strerror}") from error
    if not faults:
        return plan
    if form == "json":
        as_json({"file": path, "good": False, "faults": [
            {"line": f.place.line, "column": f.place.column, "code": f.code, "reason": f.reason}
            for f in faults]})
    else:
        for fault in faults:
            click.echo(fault.text(path))
        click.echo(f"{len(faults)} fault{'s' * (len(faults) != 1)}", err=True)
    no()


def worst_out(plan: Plan) -> dict[str, float]:
    """The largest share of each zone's routers that may be out at once."""
    sizes: dict[str, int] = {}
    for router in plan.routers:
        sizes[router.zone] = sizes.get(router.zone, 0) + 1
    return {zone: round(min(plan.per_zone, plan.at_once, size) / size, 3) for zone, size in sizes.items()}


@rollout.command(epilog="Example:  kelpcroft rollout plan examples/rollout.kdl")
@click.argument("file")
@format_option
def plan(file: str, form: str) -> None:
    """Check a rollout FILE and print what it would do: nothing is touched.

    Each stage with the routers that it changes, the shortest and longest time, the worst share of each zone
    that is out at once, and where nothing of the old is left to compare with.  Exit code 1 where there is a
    fault.
    """
    found = planned(file, form)
    stages = found.by_stage()
    changed: set[str] = set()
    rows = []
    for stage, routers in zip(found.stages, stages, strict=True):
        changed |= {r.name for r in routers}
        left = {r.zone for r in found.routers if r.name not in changed}
        rows.append({
            "stage": stage.name, "routers": [r.name for r in routers],
            "least_s": stage.least_ns / 10**9, "most_s": stage.most_ns / 10**9,
            "nothing_to_compare_in": sorted({r.zone for r in routers} - left)})
    shortest = sum(s.least_ns for s in found.stages) + found.slowest_ns + sum(
        -(-len(r) // found.at_once) for r in stages) * found.cold_ns
    if form == "json":
        as_json({"file": file, "good": True, "change": dict(found.change), "stages": rows,
                 "shortest_s": shortest / 10**9, "longest_s": found.longest_ns() / 10**9,
                 "worst_share_out": worst_out(found), "then": "take-back" if found.take_back else "hold"})
        return
    click.echo("changes " + ", ".join(f"{what} to {digest}" for what, digest in found.change))
    for row, stage in zip(rows, found.stages, strict=True):
        names = ", ".join(row["routers"])  # type: ignore[arg-type]
        alone = ", ".join(row["nothing_to_compare_in"])  # type: ignore[arg-type]
        click.echo(f"stage {stage.name!r}: {names}; {words(stage.least_ns)} to {words(stage.most_ns)}"
                   + (f"; no old router left to compare with in {alone}" if alone else ""))
    click.echo(f"shortest {words(shortest)}, longest {words(found.longest_ns())}")
    click.echo("out at once at the worst: " + ", ".join(
        f"{share * 100:g}% of {zone}" for zone, share in worst_out(found).items()))
    click.echo("harm is " + ("taken back" if found.take_back else "held for people to decide"))
