"""Connections that became silent while their server answers on others, or with many attempts in flight."""

from __future__ import annotations

from kelpcroft.core.attempts import Attempts
from kelpcroft.core.connection_pool import PooledConnection
from kelpcroft.core.effects import CloseServerConnection
from kelpcroft.core.inputs import ServerConnectionLost
from kelpcroft.core.messages import TimerKind
from kelpcroft.core.response_times import MIN_SILENCE_LIMIT_NS
from kelpcroft.core.state import State

SUSPECT_LOAD = 3  # with so many in flight on it, the server need not have answered on another connection
CHECK_ANSWER_NS = MIN_SILENCE_LIMIT_NS // 2  # a health check has this long before silence counts again
MIN_TIMER_NS = MIN_SILENCE_LIMIT_NS // 4


class SilenceDetector:
    """Closes a connection on which nothing comes while its server answers on others.

    It does so too with SUSPECT_LOAD in flight on it, and never where one that must not run twice is (an
    exclusive connection).

    The answers may never come though it stays open, and it would draw more requests as the fullest.

    Slow fills look just so: the copies that are there are answered, what waits for the origin gathers on
    one connection.  Given up and sent again, it asks the slow origin for all of it once more.  So where
    health checks are allowed the connection itself is asked first, and stays if it answers.
    """

    def __init__(self, state: State, attempts: Attempts) -> None:
        self.state = state
        self.attempts = attempts

    def on_timer(self, number: int) -> None:
        """Look whether anything has come on a connection."""
        state = self.state
        connection = state.connections.by_number.get(number)
        if connection is None:
            return
        connection.has_silence_timer = False
        started = [state.attempts[n].started_ns for n in connection.in_flight.values() if n in state.attempts]
        if connection.is_exclusive or not started:
            return
        silent_since_ns = max(min(started), connection.last_response_ns)
        silence_ns = state.now - silent_since_ns
        limit_ns = self.attempts.response_times.silence_limit_ns()
        may_check = state.settings.limits.may_probe
        is_suspect = self.answers_elsewhere(connection, silent_since_ns) or len(started) >= SUSPECT_LOAD
        was_checked = connection.last_check_ns > silent_since_ns
        if may_check and is_suspect and not was_checked and silence_ns >= limit_ns // 2:
            was_checked = True
            self.check(connection)
        awaits_check = may_check and state.now - connection.last_check_ns < CHECK_ANSWER_NS
        if silence_ns >= limit_ns and is_suspect and not awaits_check:
            self.close(connection)
            return
        wait_ns = limit_ns // 2 if may_check and not was_checked else limit_ns
        connection.has_silence_timer = True
        state.schedule(
            max(silent_since_ns + wait_ns - state.now, MIN_TIMER_NS), TimerKind.CONNECTION_SILENCE, number
        )

    def answers_elsewhere(self, connection: PooledConnection, since_ns: int) -> bool:
        """Whether the server has answered on another connection since a time."""
        for other in self.state.connections.by_server[connection.server]:
            if other is not connection and other.last_response_ns > since_ns:
                return True
        return False

    def check(self, connection: PooledConnection) -> None:
        """Ask on the connection itself whether it answers at all."""
        connection.last_check_ns = self.state.now
        self.state.counters["connections asked"] += 1
        self.attempts.health_checks.send(connection)

    def close(self, connection: PooledConnection) -> None:
        """Give up a connection and what is out on it."""
        self.state.counters["quiet connections"] += 1
        self.state.effects.append(CloseServerConnection(connection.number))
        self.attempts.on_connection_lost(ServerConnectionLost(connection.number, "nothing has come on it"))
