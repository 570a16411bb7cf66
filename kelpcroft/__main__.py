"""One request router, as its environment describes it; ROUTER_RULES names the operator's file if any, and
ROUTER_FD a listening socket handed down by the platform.  Exit codes: 0 asked to end, 2 bad configuration."""

from __future__ import annotations

import gc
import os
import signal
import sys
import time
from functools import partial

from kelpcroft.config import ConfigError, load_config, reread_config
from kelpcroft.log import EventLog
from kelpcroft.net import listeners, predecessor_files
from kelpcroft.net.clock import Clock
from kelpcroft.net.event_loop import EventLoop


def main() -> int:
    """Serve until SIGTERM or SIGINT.  Signals are taken from the first line on: one that comes while the
    configuration is read waits in the pipe until the loop looks."""
    ours, theirs = os.pipe()  # a pipe, not a socket pair: only TCP and UDP sockets are to be had
    for end in (ours, theirs):
        os.set_blocking(end, False)
    signal.set_wakeup_fd(theirs, warn_on_full_buffer=False)
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        signal.signal(number, lambda *_: None)  # the byte in the pipe is what the loop sees
    try:
        config = load_config(os.environ)
    except ConfigError as error:
        print(f"configuration: {error}", file=sys.stderr)
        return 2
    first = rules = None
    if os.environ.get("ROUTER_RULES"):
        from kelpcroft.operator_file.service import (
            load_at_start,
            reload_steps,
        )  # not even imported without a file

        try:
            first = load_at_start(os.environ["ROUTER_RULES"], config.settings)
        except ConfigError as error:
            print(error, file=sys.stderr)
            return 2
        rules = partial(reload_steps, os.environ["ROUTER_RULES"])
    try:
        listener = (
            listeners.adopt_listener(config.inherited_listener_fd)
            if config.inherited_listener_fd is not None
            else listeners.bind_listener("listen", config.listen_address)
        )
        mgmt = (
            listeners.bind_listener("mgmt", config.control_address)
            if config.control_address is not None
            else None
        )
    except ConfigError as error:
        print(f"configuration: {error}", file=sys.stderr)
        return 2
    events = EventLog(config.name, form=os.environ.get("ROUTER_LOG", ""))
    loop = EventLoop(config, Clock(), partial(reread_config, os.environ), rules, events)
    gc.freeze()  # what is there by now stays; collections need not look at it
    gc.set_threshold(50_000, 20, 20)  # hardly anything here is cyclic
    budget = first is not None and first.file is not None and first.file.start_options.list_calls_per_s
    gentle = (
        predecessor_files.crash_loop_delay_ns(config.state_dir, config.name, time.time_ns()) if budget else 0
    )
    loop.run(
        ours, first, listener, mgmt, predecessor_files.read_handover(config.state_dir, config.name), gentle
    )
    return 0


if __name__ == "__main__":
    sys.exit(main())
