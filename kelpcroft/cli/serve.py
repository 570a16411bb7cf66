"""The ``kelpcroft serve`` command: run the router with its configuration and an optional operator's file."""

from __future__ import annotations

import os
import sys

import click

LOG_FORMATS = ("auto", "text", "json")


@click.command(epilog="Example:  kelpcroft serve --config examples/config.json --file examples/operator.kdl")
@click.option("--config", metavar="CONFIG", help="The JSON configuration; else $ROUTER_CONFIG.")
@click.option("--file", metavar="FILE", help="The operator's file; else $ROUTER_RULES, else none.")
@click.option("--name", help="Name of the router; else $ROUTER_NAME, else the configuration's.")
@click.option(
    "--listen",
    metavar="HOST:PORT",
    help="Address for clients; else $ROUTER_LISTEN, else the configuration's.",
)
@click.option("--release", is_flag=True, help="Count broken invariants instead of stopping at the first.")
@click.option(
    "--format",
    "log_format",
    type=click.Choice(LOG_FORMATS),
    default="auto",
    show_default=True,
    help="How log lines are printed; auto is text on a terminal.",
)
def serve(
    config: str | None, file: str | None, name: str | None, listen: str | None, release: bool, log_format: str
) -> None:
    """Run the router until SIGTERM.  On SIGHUP it reads the configuration and the operator's file again."""
    options = {
        "ROUTER_CONFIG": config,
        "ROUTER_RULES": file,
        "ROUTER_NAME": name,
        "ROUTER_LISTEN": listen,
        "ROUTER_LOG": None if log_format == "auto" else log_format,
    }
    environment = dict(os.environ)
    environment.update({key: value for key, value in options.items() if value is not None})
    interpreter_options = ["-O"] if release else []
    # Replaces the process image, so that no memory of the command line stays in the router's process.
    command = [sys.executable, *interpreter_options, "-m", "kelpcroft"]
    sys.stdout.flush()
    os.execve(sys.executable, command, environment)
