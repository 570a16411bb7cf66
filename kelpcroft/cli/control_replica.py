"""The ``kelpcroft control-replica`` command: a control replica between the list service and many routers."""

from __future__ import annotations

import os
import signal
import sys
from pathlib import Path
from typing import TYPE_CHECKING

import click

from kelpcroft.cli.common import CommandError, config_option, exit_negative, read_settings
from kelpcroft.operator_file.replica import ControlReplicaFile, load
from kelpcroft.operator_file.text import MAX_FILE_BYTES

if TYPE_CHECKING:
    from kelpcroft.control_log.messages import ReplicaOptions

NS_PER_S = 1e9
EXIT_STOPPED = 0
EXIT_NO_ADDRESS = 2

HELP = """\
Follow the list service or another replica, as FILE states, and serve the list of servers and the purges
to routers in the same form.  CONFIG is the configuration of any of the routers: it sets how long purges
are retained.

Serves until SIGTERM.  GET /control/state on its address returns its status and counters.
"""


def load_usable_replica_file(path: str) -> ControlReplicaFile:
    """Return a usable control replica's file; for an unusable one, print its errors and exit with code 1."""
    try:
        with Path(path).open("rb") as stream:
            file, diagnostics = load(stream.read(MAX_FILE_BYTES + 1))
    except OSError as error:
        raise CommandError(f"{path}: {error.strerror}") from error
    for diagnostic in diagnostics:
        click.echo(diagnostic.format_for(path), err=True)
    if diagnostics:
        exit_negative()
    return file


@click.command(
    "control-replica",
    help=HELP,
    epilog="Example:  kelpcroft control-replica replica.kdl --config examples/config.json",
)
@click.argument("file")
@config_option(required=True)
@click.option("--name", default="control-replica", show_default=True, help="Name of the replica in the log.")
@click.option("--dry-run", is_flag=True, help="Only check FILE and CONFIG, and print what would be served.")
@click.option(
    "--format",
    "log_format",
    type=click.Choice(["auto", "text", "json"]),
    default="auto",
    show_default=True,
    help="How log lines are printed; auto is text on a terminal.",
)
def control_replica(file: str, config: str, name: str, dry_run: bool, log_format: str) -> None:
    """Check FILE and CONFIG, and serve until a signal ends the process."""
    options = load_usable_replica_file(file)
    purge_lifetime_ns = read_settings(config).rules.purge_retention_ns
    if dry_run:
        click.echo(f"{file}: good; would serve {describe(options, purge_lifetime_ns)}")
        return
    sys.exit(serve(options, purge_lifetime_ns, name, "" if log_format == "auto" else log_format))


def describe(file: ControlReplicaFile, purge_lifetime_ns: int) -> str:
    """Return one line with the address, the upstreams and the limits of a replica with this file."""
    upstreams = ", ".join(f"{host}:{port}" for host, port in (*file.list_services, *file.peers))
    return (
        f"{file.watches} watchers at {file.listen[0]}:{file.listen[1]} from {upstreams}; "
        f"a purge matters for {purge_lifetime_ns / NS_PER_S:g} s"
    )


def serve(file: ControlReplicaFile, purge_lifetime_ns: int, name: str, log_format: str) -> int:
    """Serve until a signal ends the process.

    Returns:
        The exit code: 0 after a signal, 2 if the address cannot be bound.
    """
    # Imported here, so that the other commands start sooner.
    from kelpcroft.config import ConfigError
    from kelpcroft.control_log.replica import ControlReplica
    from kelpcroft.core.effects import LogEvent
    from kelpcroft.log import EventLog
    from kelpcroft.net.clock import Clock
    from kelpcroft.net.control_replica_server import ControlReplicaServer
    from kelpcroft.net.listeners import bind_listener, listening_address

    signals = open_signal_pipe()
    try:
        listener = bind_listener("listen", file.listen)
    except ConfigError as error:
        click.echo(str(error), err=True)
        return EXIT_NO_ADDRESS
    with listener:
        clock = Clock()
        event_log = EventLog(name, log_format=log_format)
        address = listening_address(listener)
        text = f"{name} listens on {address}"
        event_log.write(clock.now(), LogEvent("replica.listens", text, "info", {"at": address}))
        replica = ControlReplica(replica_options(file, purge_lifetime_ns), clock.now() ^ os.getpid())
        ControlReplicaServer(replica, listener, clock, event_log).run(signals)
    return EXIT_STOPPED


def replica_options(file: ControlReplicaFile, purge_lifetime_ns: int) -> ReplicaOptions:
    """Return the options of a replica with this file."""
    from kelpcroft.control_log.messages import ReplicaOptions

    return ReplicaOptions(
        upstreams=(*file.list_services, *file.peers),
        peers=frozenset(file.peers),
        lease_ns=file.lease_ns,
        batch_ns=file.batch_ns,
        max_watches=file.watches,
        purge_lifetime_ns=purge_lifetime_ns,
    )


def open_signal_pipe() -> int:
    """Have signal numbers written to a pipe and return its reading end.

    Both ends stay open until the process ends.
    """
    read_end, write_end = os.pipe()
    for end in (read_end, write_end):
        os.set_blocking(end, False)
    signal.set_wakeup_fd(write_end, warn_on_full_buffer=False)
    for signal_number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        signal.signal(signal_number, lambda *_: None)
    return read_end
