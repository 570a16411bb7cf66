"""The planned end of the process: what was taken is served first."""

from __future__ import annotations

from kelpcroft.core.effects import DrainClients, Exit, PersistServiceState, StopAccepting
from kelpcroft.core.housekeeping import Housekeeping
from kelpcroft.core.inputs import ShutdownRequested
from kelpcroft.core.messages import TimerKind
from kelpcroft.core.process_status import ProcessStatus
from kelpcroft.core.state import MS, State

ACCEPT_AFTER_SIGTERM_NS = 500 * MS  # connections are taken so long after SIGTERM
MIN_SHUTDOWN_NS = 800 * MS  # and requests on open ones at least so long
EXIT_CHECK_INTERVAL_NS = 10 * MS
STOP_ACCEPTING_STEP = 1  # steps of the end, as the number of the timer
SHUTDOWN_LAST_STEP = 2  # after it the process is over


class Shutdown:
    """Ends the process step by step, from SIGTERM to the exit."""

    def __init__(self, state: State, process: ProcessStatus, housekeeping: Housekeeping) -> None:
        self.state = state
        self.process = process
        self.housekeeping = housekeeping
        self.began_ns = 0

    def on_requested(self, _message: ShutdownRequested) -> None:
        """SIGTERM has come; a second one changes nothing.

        Connections and requests go on coming for a while.
        """
        if self.process.is_shutting_down:
            return
        state = self.state
        self.began_ns = state.now
        count = len(state.requests)
        state.log("router.ending", f"ending: {count} requests open", "info", {"open": count})
        self.process.service_state.begin_shutdown(state.now)
        if self.process.service_state.shares_listener:
            # Another process holds the same listening socket: it takes what queues there from now on.
            state.effects += [StopAccepting(), DrainClients(True)]
        else:
            state.schedule(ACCEPT_AFTER_SIGTERM_NS, TimerKind.SHUTDOWN, STOP_ACCEPTING_STEP)
        state.schedule(MIN_SHUTDOWN_NS, TimerKind.SHUTDOWN, SHUTDOWN_LAST_STEP)

    def on_timer(self, step: int) -> None:
        """A step of the end is due."""
        if step == STOP_ACCEPTING_STEP:
            self.state.effects.append(StopAccepting())
        elif self.process.service_state.may_exit(
            self.state.now, len(self.state.requests), len(self.process.clients)
        ):
            self.exit()
        else:
            self.state.schedule(EXIT_CHECK_INTERVAL_NS, TimerKind.SHUTDOWN, SHUTDOWN_LAST_STEP)

    def exit(self) -> None:
        """Log the last counters, leave the service state to a next process on a shared listener, exit."""
        state, service_state = self.state, self.process.service_state
        self.housekeeping.log_counters()
        if service_state.shares_listener:
            state.effects.append(
                PersistServiceState(
                    not service_state.was_drained, service_state.since_ns, state.now, self.began_ns
                )
            )
        state.effects.append(Exit())
