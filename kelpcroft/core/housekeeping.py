"""Periodic work: closing idle connections, expiring retired ids, updating estimates, logging counters."""

from __future__ import annotations

from kelpcroft.core.connection_pool import PooledConnection
from kelpcroft.core.memory_limit import MemoryLimit
from kelpcroft.core.messages import TimerKind
from kelpcroft.core.operator_settings import OperatorSettings
from kelpcroft.core.process_log import log_counters
from kelpcroft.core.server_connections import ServerConnections
from kelpcroft.core.state import SECOND, State

HOUSEKEEPING_INTERVAL_NS = SECOND  # between two rounds of housekeeping
COUNTERS_INTERVAL_NS = 10 * SECOND  # between log lines with the counters
# Idle connections are closed after this share of the servers' idle timeout, so that no attempt is sent while
# the server closes the connection.
IDLE_CLOSE_SHARE = 0.7
RETIRED_ID_NS = 10 * SECOND  # how long a retired id may not be used again on its connection


class Housekeeping:
    """Runs the periodic work of one router."""

    def __init__(
        self,
        state: State,
        connections: ServerConnections,
        operator_settings: OperatorSettings,
        memory_limit: MemoryLimit,
    ) -> None:
        self.state = state
        self.connections = connections
        self.operator_settings = operator_settings
        self.memory_limit = memory_limit
        self.counters_logged_ns = 0

    def start(self) -> None:
        """Schedule the first round."""
        self.state.schedule(HOUSEKEEPING_INTERVAL_NS, TimerKind.HOUSEKEEPING)
        self.counters_logged_ns = self.state.now

    def on_timer(self) -> None:
        """Run one round, and schedule the next one."""
        state = self.state
        state.schedule(HOUSEKEEPING_INTERVAL_NS, TimerKind.HOUSEKEEPING)
        if state.fleet_size is not None:
            self.operator_settings.set_zone_routers(state.fleet_size.estimated_routers(state.now))
        self.memory_limit.follow_growth()
        idle_limit_ns = int(IDLE_CLOSE_SHARE * state.config.server_idle_timeout_ns)
        for connection in list(state.connections.by_number.values()):
            self.expire_retired_ids(connection)
            self.close_if_idle(connection, idle_limit_ns)
        if state.now - self.counters_logged_ns >= COUNTERS_INTERVAL_NS:
            self.log_counters()

    def expire_retired_ids(self, connection: PooledConnection) -> None:
        """Let ids that were retired more than RETIRED_ID_NS ago be used on their connection again."""
        now = self.state.now
        expired_ids = [
            attempt_id
            for attempt_id, ended_ns in connection.retired_ids.items()
            if now - ended_ns > RETIRED_ID_NS
        ]
        for attempt_id in expired_ids:
            del connection.retired_ids[attempt_id]

    def close_if_idle(self, connection: PooledConnection, idle_limit_ns: int) -> None:
        """Close an idle connection before its server does, so that no attempt is sent during that close.

        Args:
            connection: A connection of the pool.
            idle_limit_ns: How long it may be idle; 0 = no limit.
        """
        if not connection.is_connected or connection.load() or not idle_limit_ns:
            return
        if self.state.now - connection.idle_since_ns > idle_limit_ns:
            connection.is_retiring = True
            self.connections.release(connection)

    def log_counters(self) -> None:
        """Log the counters, including violated invariants."""
        self.counters_logged_ns = self.state.now
        log_counters(self.state)
