"""The reducer's table of connections to servers, with the attempts that each one carries.

The module is pure: the current time is an argument.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from kelpcroft.core.inputs import EndpointRecord
from kelpcroft.decision.statistics import mix64

ATTEMPTS_BEFORE_NEW_CONNECTION = 8  # attempts on one connection before another connection is opened
# Once a server has this many connections, attempts share them instead of opening another.  It is not a hard
# limit: an attempt that needs a connection of its own, or finds no room on the open ones, may still open one.
MAX_CONNECTIONS_PER_SERVER = 8
# Back-off after a server at its connection limit refuses a connection.  It doubles with each consecutive
# refusal, with a random jitter of plus or minus half.
REFUSAL_BACKOFF_NS = 100_000_000
MAX_REFUSAL_BACKOFF_NS = 6_400_000_000  # upper limit of the back-off, before jitter


@dataclass(slots=True)
class PooledConnection:
    """One connection to a server.  Attempt ids on it are clients' trace ids or health check ids.

    Attributes:
        number: Number that the pool gave it; never reused.
        server: The server's name.
        is_connected: It is established.
        unsent: Attempts and health checks that wait until it is established: their numbers by id.
        in_flight: Attempts and health checks that were sent and have no response yet: their numbers by id.
        retired_ids: Ids that were cancelled or received a response other than OK, and when; they may not be
            used again on it yet.
        last_response_ns: When the last response was received on it, or it was established.
        idle_since_ns: When it last became idle, or was established.
        is_retiring: Nothing new is sent on it, and it is closed once it is empty.
        last_check_ns: When a health check was last sent because it was silent.
        has_silence_timer: A timer that checks for silence is scheduled.
        is_exclusive: It carries an attempt that must not share a connection.
        has_partial_response: A response has been received in part.
    """

    number: int
    server: str
    is_connected: bool = False
    unsent: dict[str, int] = field(default_factory=dict)
    in_flight: dict[str, int] = field(default_factory=dict)
    retired_ids: dict[str, int] = field(default_factory=dict)
    last_response_ns: int = 0
    idle_since_ns: int = 0
    is_retiring: bool = False
    last_check_ns: int = 0
    has_silence_timer: bool = False
    is_exclusive: bool = False
    has_partial_response: bool = False

    def load(self) -> int:
        """How many attempts and health checks it carries."""
        return len(self.unsent) + len(self.in_flight)

    def can_carry(self, attempt_id: str, max_load: int, exclusive: bool) -> bool:
        """Whether one more attempt may be sent on this connection.

        A retired id must not be used here again: a response that crossed the cancellation on the wire, or a
        duplicate response, would be matched to the new attempt.
        Nothing is sent on an idle connection with a partial response: the rest may never arrive.
        """
        load = self.load()
        if self.is_retiring or load >= max_load:
            return False
        if load and (exclusive or self.is_exclusive):
            return False
        if self.has_partial_response and not load:
            return False
        return (
            attempt_id not in self.unsent
            and attempt_id not in self.in_flight
            and attempt_id not in self.retired_ids
        )


@dataclass(slots=True)
class Refusal:
    """A server that refused a connection while it responds on others."""

    until_ns: int  # no connection is attempted before this time
    backoff_ns: int  # the latest back-off, before jitter


class ConnectionPool:
    """All connections to servers.

    Attributes:
        by_number: Connections that are open or being opened.
        by_server: The same connections by server name; a server without connections has no entry.
        refusals: Servers at their connection limit, by name.
    """

    def __init__(self, max_connections: int, max_attempts_per_connection: int, seed: int = 0) -> None:
        """Create an empty pool; ``seed`` differs per router, so that routers do not reconnect in step."""
        self.max_connections = max_connections
        self.max_attempts_per_connection = max_attempts_per_connection
        self.seed = seed
        self.refusals: dict[str, Refusal] = {}
        self.by_number: dict[int, PooledConnection] = {}
        self.by_server: dict[str, list[PooledConnection]] = {}
        self.created_count = 0

    def record_refusal(self, server: str, now: int) -> None:
        """Record that a server that responds on other connections refused one more: it is at its limit."""
        previous = self.refusals.get(server)
        backoff_ns = REFUSAL_BACKOFF_NS
        if previous is not None:
            backoff_ns = min(2 * previous.backoff_ns, MAX_REFUSAL_BACKOFF_NS)
        jitter = mix64(self.seed ^ mix64(self.created_count)) / 2**64
        self.refusals[server] = Refusal(now + int(backoff_ns * (0.5 + jitter)), backoff_ns)

    def may_connect(self, server: str, now: int) -> bool:
        """Whether the server's refusal back-off, if any, is over; the pool's own limits are not checked."""
        refusal = self.refusals.get(server)
        return refusal is None or now >= refusal.until_ns

    def find(
        self, server: str, attempt_id: str, exclusive: bool = False, now: int = 0
    ) -> PooledConnection | None:
        """The fullest connection with room, so that few are open and the others become idle.

        An established connection is preferred to one that is being opened.  Few attempts share a
        connection, because a response that cannot be decoded fails all attempts in flight on it: from
        ATTEMPTS_BEFORE_NEW_CONNECTION attempts on, another connection is opened.  If none may be opened, the
        least loaded connection carries more.

        Returns:
            None if another connection is to be opened, or if no connection has room.
        """
        best: PooledConnection | None = None
        least_loaded: PooledConnection | None = None
        connections = self.by_server.get(server, ())
        for connection in connections:
            if not connection.can_carry(attempt_id, self.max_attempts_per_connection, exclusive):
                continue
            if connection.load() >= ATTEMPTS_BEFORE_NEW_CONNECTION:
                if least_loaded is None or connection.load() < least_loaded.load():
                    least_loaded = connection
            elif best is None or is_preferred(connection, best):
                best = connection
        if best is not None:
            return best
        may_open = (
            len(connections) < MAX_CONNECTIONS_PER_SERVER
            and len(self.by_number) < self.max_connections
            and self.may_connect(server, now)
        )
        return None if may_open else least_loaded

    def add(self, endpoint: EndpointRecord) -> PooledConnection | None:
        """Add a connection that is to be opened; None if the pool is full."""
        if len(self.by_number) >= self.max_connections:
            return None
        self.created_count += 1
        connection = PooledConnection(self.created_count, endpoint.name)
        self.by_number[connection.number] = connection
        self.by_server.setdefault(endpoint.name, []).append(connection)
        return connection

    def remove(self, number: int) -> PooledConnection | None:
        """Remove a connection that has ended; None if it is no longer in the pool."""
        connection = self.by_number.pop(number, None)
        if connection is not None:
            server_connections = self.by_server[connection.server]
            server_connections.remove(connection)
            if not server_connections:
                del self.by_server[connection.server]
        return connection


def is_preferred(connection: PooledConnection, other: PooledConnection) -> bool:
    """Whether only this connection is established or, if both or neither are, it carries more."""
    if connection.is_connected is not other.is_connected:
        return connection.is_connected
    return connection.load() > other.load()
