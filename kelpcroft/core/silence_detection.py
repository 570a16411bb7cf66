"""Detection of connections that are silent while their server responds on others, or while heavily loaded."""

from __future__ import annotations

from kelpcroft.core.attempts import Attempts
from kelpcroft.core.connection_pool import PooledConnection
from kelpcroft.core.effects import CloseServerConnection
from kelpcroft.core.inputs import ServerConnectionLost
from kelpcroft.core.messages import TimerKind
from kelpcroft.core.response_times import MIN_SILENCE_TIMEOUT_NS
from kelpcroft.core.state import State

# With this many attempts in flight on a silent connection, it is suspect even if the server has not responded
# on another one.
SUSPECT_LOAD = 3
CHECK_TIMEOUT_NS = MIN_SILENCE_TIMEOUT_NS // 2  # after a health check, how long to wait for its response
MIN_TIMER_NS = MIN_SILENCE_TIMEOUT_NS // 4  # shortest interval between two checks of a connection for silence


class SilenceDetector:
    """Closes a connection that is silent for the silence timeout while its server responds on others.

    A connection with SUSPECT_LOAD attempts in flight is closed even if the server does not respond on others.
    An exclusive connection is never closed: it carries an attempt that must not be executed twice.

    A connection can stay open although its responses will never arrive, and as the fullest connection it
    would be given more attempts.

    Slow fills have the same symptom: hits receive their responses, while attempts that wait for the origin
    gather on one connection.  If those were abandoned and sent again, the slow origin would receive all the
    fetches a second time.  If health checks are allowed, a health check is therefore sent on the connection
    first, and the connection stays open if the server responds to it.
    """

    def __init__(self, state: State, attempts: Attempts) -> None:
        self.state = state
        self.attempts = attempts

    def on_timer(self, number: int) -> None:
        """Check a connection for silence: send a health check on it, close it, or schedule the next check."""
        state = self.state
        connection = state.connections.by_number.get(number)
        if connection is None:
            return
        connection.has_silence_timer = False
        start_times_ns = [
            state.attempts[n].started_ns for n in connection.in_flight.values() if n in state.attempts
        ]
        if connection.is_exclusive or not start_times_ns:
            return
        silent_since_ns = max(min(start_times_ns), connection.last_response_ns)
        silence_ns = state.now - silent_since_ns
        timeout_ns = self.attempts.response_times.silence_timeout_ns()
        may_check = state.settings.limits.may_probe
        is_suspect = (
            self.responds_elsewhere(connection, silent_since_ns) or len(start_times_ns) >= SUSPECT_LOAD
        )
        was_checked = connection.last_check_ns > silent_since_ns
        if may_check and is_suspect and not was_checked and silence_ns >= timeout_ns // 2:
            was_checked = True
            self.send_check(connection)
        is_awaiting_check = may_check and state.now - connection.last_check_ns < CHECK_TIMEOUT_NS
        if silence_ns >= timeout_ns and is_suspect and not is_awaiting_check:
            self.close(connection)
            return
        wait_ns = timeout_ns // 2 if may_check and not was_checked else timeout_ns
        connection.has_silence_timer = True
        state.schedule(
            max(silent_since_ns + wait_ns - state.now, MIN_TIMER_NS), TimerKind.CONNECTION_SILENCE, number
        )

    def responds_elsewhere(self, connection: PooledConnection, since_ns: int) -> bool:
        """Whether the server has responded on another connection since ``since_ns``."""
        for other in self.state.connections.by_server[connection.server]:
            if other is not connection and other.last_response_ns > since_ns:
                return True
        return False

    def send_check(self, connection: PooledConnection) -> None:
        """Send a health check on the connection."""
        connection.last_check_ns = self.state.now
        self.state.counters["connections asked"] += 1
        self.attempts.health_checks.send(connection)

    def close(self, connection: PooledConnection) -> None:
        """Close a connection; its attempts are reported as reset."""
        self.state.counters["quiet connections"] += 1
        self.state.effects.append(CloseServerConnection(connection.number))
        self.attempts.on_connection_lost(ServerConnectionLost(connection.number, "silence timeout"))
