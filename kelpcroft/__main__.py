"""The router process, configured by its environment.

``ROUTER_CONFIG`` names its configuration, ``ROUTER_RULES`` the operator's file if any, and ``ROUTER_FD`` a
listening socket inherited from the platform (see ``kelpcroft.config``).  Exit codes: 0 after a signal, 2 bad
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
from kelpcroft.net.memory import resident_bytes

EXIT_ENDED = 0
EXIT_BAD_CONFIGURATION = 2
GC_THRESHOLDS = 50_000, 20, 20  # high, because few objects form cycles

OperatorFileSteps = Callable[[Settings], Iterator[inputs.OperatorFileRead | None]]


def main() -> int:
    """Serve until SIGTERM or SIGINT, and return the exit code.

    Signals are received from the first line on: a signal that arrives while the configuration is read stays
    in the pipe until the event loop reads it.
    """
    signal_pipe = _open_signal_pipe()
    try:
        config = load_config(os.environ, predecessor_files.read_accepted_config)
    except ConfigError as error:
        return _bad_configuration(f"configuration: {error}")
    try:
        operator_file, reload_steps = _read_operator_file(config)
    except ConfigError as error:
        return _bad_configuration(str(error))
    try:
        listener, control_listener = _open_listeners(config)
    except ConfigError as error:
        return _bad_configuration(f"configuration: {error}")
    event_log = EventLog(config.name, log_format=os.environ.get("ROUTER_LOG", ""))
    loop = EventLoop(config, Clock(), partial(reread_config, os.environ), reload_steps, event_log)
    gc.freeze()  # objects created so far stay; collections need not visit them
    gc.set_threshold(*GC_THRESHOLDS)
    delay_ns = _crash_loop_delay_ns(config, operator_file)
    predecessor = predecessor_files.read_predecessor(config)
    loop.start(
        signal_pipe,
        operator_file,
        listener,
        control_listener,
        predecessor,
        delay_ns,
        resident_bytes,
    )
    loop.run()
    return EXIT_ENDED


def _open_signal_pipe() -> int:
    """Have signal numbers written to a pipe, and return its reading end.

    It is a pipe and not a socket pair, because only TCP and UDP sockets are available.
    """
    reading_end, writing_end = os.pipe()
    for end in (reading_end, writing_end):
        os.set_blocking(end, False)
    signal.set_wakeup_fd(writing_end, warn_on_full_buffer=False)
    for signal_number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        signal.signal(signal_number, lambda *_: None)  # the event loop reads the byte from the pipe
    return reading_end


def _read_operator_file(config: Config) -> tuple[inputs.OperatorFileRead | None, OperatorFileSteps | None]:
    """Return the operator's file and the steps that read it again; None for both if no file is named.

    Raises:
        ConfigError: The file cannot be used.
    """
    path = os.environ.get("ROUTER_RULES")
    if not path:
        return None, None
    from kelpcroft.operator_file.service import (  # not imported without a file
        load_at_start,
        reload_steps,
    )

    return load_at_start(path, config.settings), partial(reload_steps, path)


def _open_listeners(config: Config) -> tuple[socket.socket, socket.socket | None]:
    """Return the listening socket for clients, inherited or bound, and the one for control clients, or None.

    Raises:
        ConfigError: A socket cannot be opened.
    """
    if config.inherited_listener_fd is not None:
        listener = listeners.adopt_listener(config.inherited_listener_fd)
    else:
        listener = listeners.bind_listener("listen", config.listen_address)
    if config.control_address is None:
        return listener, None
    return listener, listeners.bind_listener("mgmt", config.control_address)


def _crash_loop_delay_ns(config: Config, operator_file: inputs.OperatorFileRead | None) -> int:
    """Return how long the first list request is delayed; 0 if the operator's file does not limit them."""
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
