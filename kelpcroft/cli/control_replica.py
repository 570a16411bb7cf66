"""``kelpcroft control-replica``: follow the list service for many routers."""

from __future__ import annotations

import os
import signal
import sys
from pathlib import Path

import click

from kelpcroft.cli.common import CommandError, config_option, exit_negative, read_settings
from kelpcroft.operator_file.replica import ControlReplicaFile, load
from kelpcroft.operator_file.text import MAX_FILE_BYTES


def file_of(path: str) -> ControlReplicaFile:
    """A file that may be used; its faults and exit code 1 where it may not."""
    try:
        with Path(path).open("rb") as stream:
            file, faults = load(stream.read(MAX_FILE_BYTES + 1))
    except OSError as error:
        raise CommandError(f"{path}: {error.strerror}") from error
    for fault in faults:
        click.echo(fault.format_for(path), err=True)
    if faults:
        exit_negative()
    return file


@click.command(
    "control-replica",
    epilog="Example:  kelpcroft control-replica replica.kdl --config examples/config.json",
)
@click.argument("file")
@config_option(required=True)
@click.option("--name", default="control-replica", show_default=True, help="Its name in the log.")
@click.option("--dry-run", is_flag=True, help="Only check FILE and CONFIG, and say what would be served.")
@click.option(
    "--format",
    "form",
    type=click.Choice(["auto", "text", "json"]),
    default="auto",
    show_default=True,
    help="How log lines are printed; auto is text on a terminal.",
)
def control_replica(file: str, config: str, name: str, dry_run: bool, form: str) -> None:
    """Follow the list service, or another replica, as FILE says, and tell routers the list of servers and the
    purges in the same form.  CONFIG is the configuration of any of the routers: it tells how long purges
    matter.

    Serves until SIGTERM.  GET /control/state on its address tells what it is and did.
    """
    said = file_of(file)
    span_ns = read_settings(config).rules.purge_retention_ns
    if dry_run:
        up = ", ".join(f"{host}:{port}" for host, port in (*said.list_services, *said.peers))
        click.echo(
            f"{file}: good; would serve {said.watches} watchers at {said.listen[0]}:{said.listen[1]} "
            f"from {up}; a purge matters for {span_ns / 1e9:g} s"
        )
        return
    sys.exit(serve(said, span_ns, name, "" if form == "auto" else form))


def serve(said: ControlReplicaFile, span_ns: int, name: str, form: str) -> int:
    """Until a signal asks for the end.  Exit codes: 0 asked to end, 2 the address cannot be had."""
    from kelpcroft.config import ConfigError
    from kelpcroft.control_log.replica import ControlReplica, ReplicaOptions
    from kelpcroft.core.effects import LogEvent
    from kelpcroft.log import EventLog
    from kelpcroft.net.clock import Clock
    from kelpcroft.net.control_replica_server import ReplicaLoop
    from kelpcroft.net.listeners import bind_listener, listening_address

    ours, theirs = os.pipe()
    for end in (ours, theirs):
        os.set_blocking(end, False)
    signal.set_wakeup_fd(theirs, warn_on_full_buffer=False)
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        signal.signal(number, lambda *_: None)
    options = ReplicaOptions(
        (*said.list_services, *said.peers),
        frozenset(said.peers),
        said.lease_ns,
        said.batch_ns,
        said.watches,
        span_ns,
    )
    try:
        listener = bind_listener("listen", said.listen)
    except ConfigError as error:
        click.echo(str(error), err=True)
        return 2
    clock, events = Clock(), EventLog(name, form=form)
    at = listening_address(listener)
    events.write(clock.now(), LogEvent("replica.listens", f"{name} listens on {at}", "info", {"at": at}))
    ReplicaLoop(ControlReplica(options, clock.now() ^ os.getpid()), listener, clock, events).run(ours)
    return 0
