"""The ``kelpcroft`` command: one module per subcommand.

Exit codes: 0 success, 1 negative result, 2 usage error.
"""

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
    """A request router for caches: run it, check its files and roll out changes.

    Exit codes: 0 success, 1 negative result, 2 usage error.
    """


for subcommand in (serve, check, explain, diff, homes_command, rollout, control_replica):
    main.add_command(subcommand)
