"""Planned shutdown of the process: it serves the accepted requests before it exits."""

from __future__ import annotations

from kelpcroft.core.effects import DrainClients, Exit, PersistServiceState, StopAccepting
from kelpcroft.core.housekeeping import Housekeeping
from kelpcroft.core.inputs import ShutdownRequested
from kelpcroft.core.messages import TimerKind
from kelpcroft.core.process_status import ProcessStatus
from kelpcroft.core.state import MS, State

ACCEPT_AFTER_SIGTERM_NS = 500 * MS  # how long connections are accepted after SIGTERM
# How long the process runs at least after SIGTERM, as requests still arrive on open connections.
MIN_SHUTDOWN_NS = 800 * MS
EXIT_CHECK_INTERVAL_NS = 10 * MS  # between checks whether the process may exit
STOP_ACCEPTING_STEP = 1  # timer number of the step that stops accepting connections
SHUTDOWN_LAST_STEP = 2  # timer number of the last step, which exits once the process may exit


class Shutdown:
    """Shuts the process down in steps, from SIGTERM to the exit."""

    def __init__(self, state: State, process: ProcessStatus, housekeeping: Housekeeping) -> None:
        self.state = state
        self.process = process
        self.housekeeping = housekeeping
        self.began_ns = 0

    def on_requested(self, _message: ShutdownRequested) -> None:
        """Begin the shutdown at the first SIGTERM; a later one has no effect.

        New connections and requests continue to arrive for a while.
        """
        if self.process.is_shutting_down:
            return
        state = self.state
        self.began_ns = state.now
        count = len(state.requests)
        state.log("router.ending", f"shutting down: {count} requests open", "info", {"open": count})
        self.process.service_state.begin_shutdown(state.now)
        if self.process.service_state.shares_listener:
            # Another process holds the same listening socket and accepts the connections that queue there.
            state.effects += [StopAccepting(), DrainClients(True)]
        else:
            state.schedule(ACCEPT_AFTER_SIGTERM_NS, TimerKind.SHUTDOWN, STOP_ACCEPTING_STEP)
        state.schedule(MIN_SHUTDOWN_NS, TimerKind.SHUTDOWN, SHUTDOWN_LAST_STEP)

    def on_timer(self, step: int) -> None:
        """Run a step of the shutdown that is due."""
        if step == STOP_ACCEPTING_STEP:
            self.state.effects.append(StopAccepting())
        elif self.process.service_state.may_exit(
            self.state.now, len(self.state.requests), len(self.process.clients)
        ):
            self.exit()
        else:
            self.state.schedule(EXIT_CHECK_INTERVAL_NS, TimerKind.SHUTDOWN, SHUTDOWN_LAST_STEP)

    def exit(self) -> None:
        """Log the final counters and exit.

        On a shared listening socket, also record the service state for the successor.
        """
        state, service_state = self.state, self.process.service_state
        self.housekeeping.log_counters()
        if service_state.shares_listener:
            state.effects.append(
                PersistServiceState(
                    not service_state.was_drained, service_state.since_ns, state.now, self.began_ns
                )
            )
        state.effects.append(Exit())
