"""The ``kelpcroft`` command: one module per verb.  Exit codes: 0 good, 1 the answer is no, 2 used wrongly."""

from __future__ import annotations

import click

from kelpcroft.cli.check import check
from kelpcroft.cli.control_replica import control_replica
from kelpcroft.cli.diff import diff
from kelpcroft.cli.explain import explain
from kelpcroft.cli.placement import homes_command
from kelpcroft.cli.rollout import rollout
from kelpcroft.cli.serve import serve


@click.group(context_settings={"help_option_names": ["-h", "--help"], "max_content_width": 100})
def main() -> None:
    """A request router for caches: start it, and check what its operator's file says.

    Exit codes: 0 good, 1 the answer is no, 2 used wrongly.
    """


for verb in (serve, check, explain, diff, homes_command, rollout, control_replica):
    main.add_command(verb)
