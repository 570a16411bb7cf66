"""Health checks, which request a server's load on a connection that attempts use too."""

from __future__ import annotations

from kelpcroft.core.connection_pool import PooledConnection
from kelpcroft.core.effects import SendHealthCheck
from kelpcroft.core.messages import TimerKind
from kelpcroft.core.server_connections import ServerConnections
from kelpcroft.core.state import HealthCheck, State
from kelpcroft.decision import interface as api
from kelpcroft.decision.interface import Outcome


class HealthChecks:
    """Sends health checks, and reports the end of each one to the decision package once."""

    def __init__(self, state: State, connections: ServerConnections) -> None:
        self.state = state
        self.connections = connections

    def check_server(self, action: api.Probe) -> None:
        """Send a health check on any connection to a server."""
        connection = self.connections.acquire(action.server, None)
        if connection is None:
            self.state.events.append(api.ProbeFinished(action.server, Outcome.MOOT, 0))
        else:
            self.send(connection)

    def send(self, connection: PooledConnection) -> None:
        """Send a check on a connection, now or when it is established.  It has the connect timeout."""
        state = self.state
        state.last_number += 1
        number = state.last_number
        check_id = f"probe-{number}"
        state.health_checks[number] = HealthCheck(connection.server, connection, check_id, state.now)
        state.schedule(state.config.connect_timeout_ns, TimerKind.HEALTH_CHECK_TIMEOUT, number)
        if connection.is_connected:
            connection.in_flight[check_id] = number
            state.effects.append(SendHealthCheck(connection.number, check_id))
        else:
            connection.unsent[check_id] = number

    def on_timeout(self, number: int) -> None:
        """End a check that timed out."""
        check = self.state.health_checks.pop(number, None)
        if check is not None:
            check.connection.in_flight.pop(check.id, None)
            check.connection.unsent.pop(check.id, None)
            self.finish(check, Outcome.TIMEOUT)

    def finish(
        self, check: HealthCheck, outcome: Outcome, load_report: dict[str, float] | None = None
    ) -> None:
        """Report a check's end to the decision package."""
        elapsed_ns = self.state.now - check.started_ns
        self.state.events.append(api.ProbeFinished(check.server, outcome, elapsed_ns, load_report or {}))
