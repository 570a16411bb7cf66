"""One request router, as its environment describes it.

``ROUTER_CONFIG`` names its configuration, ``ROUTER_RULES`` the operator's file if any, and ``ROUTER_FD`` a
listening socket handed down by the platform (see ``kelpcroft.config``).  Exit codes: 0 asked to end, 2 bad
configuration.
"""

from __future__ import annotations

import gc
import os
import signal
import socket
import sys
import time
from collections.abc import Callable, Iterator
from functools import partial

from kelpcroft.config import Config, ConfigError, load_config, reread_config
from kelpcroft.core import inputs
from kelpcroft.decision.interface import Settings
from kelpcroft.log import EventLog
from kelpcroft.net import listeners, predecessor_files
from kelpcroft.net.clock import Clock
from kelpcroft.net.event_loop import EventLoop

EXIT_ENDED = 0
EXIT_BAD_CONFIGURATION = 2
GC_THRESHOLDS = 50_000, 20, 20  # hardly anything here is cyclic

OperatorFileSteps = Callable[[Settings], Iterator[inputs.OperatorFileRead | None]]


def main() -> int:
    """Serves until SIGTERM or SIGINT; returns the exit code.

    Signals are taken from the first line on: one that comes while the configuration is read waits in the pipe
    until the loop looks.
    """
    signals = _open_signal_pipe()
    try:
        config = load_config(os.environ)
    except ConfigError as error:
        return _bad_configuration(f"configuration: {error}")
    try:
        operator_file, read_again = _read_operator_file(config)
    except ConfigError as error:
        return _bad_configuration(str(error))
    try:
        listener, control_listener = _open_listeners(config)
    except ConfigError as error:
        return _bad_configuration(f"configuration: {error}")
    event_log = EventLog(config.name, form=os.environ.get("ROUTER_LOG", ""))
    loop = EventLoop(config, Clock(), partial(reread_config, os.environ), read_again, event_log)
    gc.freeze()  # what is there by now stays; collections need not look at it
    gc.set_threshold(*GC_THRESHOLDS)
    delay_ns = _crash_loop_delay_ns(config, operator_file)
    predecessor = predecessor_files.read_handover(config.state_dir, config.name)
    loop.start(signals, operator_file, listener, control_listener, predecessor, delay_ns)
    loop.run()
    return EXIT_ENDED


def _open_signal_pipe() -> int:
    """Has signals written to a pipe; returns its reading end.

    A pipe, not a socket pair: only TCP and UDP sockets are to be had.
    """
    reading_end, writing_end = os.pipe()
    for end in (reading_end, writing_end):
        os.set_blocking(end, False)
    signal.set_wakeup_fd(writing_end, warn_on_full_buffer=False)
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        signal.signal(number, lambda *_: None)  # the byte in the pipe is what the loop sees
    return reading_end


def _read_operator_file(config: Config) -> tuple[inputs.OperatorFileRead | None, OperatorFileSteps | None]:
    """The operator's file, if one is named, and what reads it again.

    Raises:
        ConfigError: it cannot be used.
    """
    path = os.environ.get("ROUTER_RULES")
    if not path:
        return None, None
    from kelpcroft.operator_file.service import (  # not even imported without a file
        load_at_start,
        reload_steps,
    )

    return load_at_start(path, config.settings), partial(reload_steps, path)


def _open_listeners(config: Config) -> tuple[socket.socket, socket.socket | None]:
    """The clients' listening socket, inherited or bound, and that of the control address, if any.

    Raises:
        ConfigError: one cannot be had.
    """
    if config.inherited_listener_fd is not None:
        listener = listeners.adopt_listener(config.inherited_listener_fd)
    else:
        listener = listeners.bind_listener("listen", config.listen_address)
    if config.control_address is None:
        return listener, None
    return listener, listeners.bind_listener("mgmt", config.control_address)


def _crash_loop_delay_ns(config: Config, operator_file: inputs.OperatorFileRead | None) -> int:
    """How long the first call of the list waits, where the operator's file limits such calls."""
    if operator_file is None or operator_file.file is None:
        return 0
    if not operator_file.file.start_options.list_requests_per_s:
        return 0
    return predecessor_files.crash_loop_delay_ns(config.state_dir, config.name, time.time_ns())


def _bad_configuration(reason: str) -> int:
    print(reason, file=sys.stderr)
    return EXIT_BAD_CONFIGURATION


if __name__ == "__main__":
    sys.exit(main())
