"""Connections to servers as the reducer keeps them: which stand, and what is out on each.  Pure."""

from __future__ import annotations

from dataclasses import dataclass, field

from kelpcroft.core.inputs import EndpointRecord
from kelpcroft.decision.statistics import mix64

ATTEMPTS_BEFORE_NEW_CONNECTION = 8  # that one connection carries, before one more is opened
# For attempts that share connections: past so many, those that are open carry more.  No hard bound: one that
# needs a connection of its own, or finds no room on these, may still open one.
MAX_CONNECTIONS_PER_SERVER = 8
# A server that has no place for one more connection is called again after so long, doubling with each refusal
# in a row, half more or less by chance.
REFUSAL_BACKOFF_NS = 100_000_000
MAX_REFUSAL_BACKOFF_NS = 6_400_000_000


@dataclass(slots=True)
class PooledConnection:
    """One connection to a server.  Ids on it are the clients' trace ids, or a health check's own.

    Attributes:
        number: The pool's own, never used twice.
        server: The server's name.
        is_connected: It is established.
        unsent: Numbers by id of what waits until it is established.
        in_flight: Numbers by id of what is written and unanswered.
        retired_ids: Ids that ended without a final answer, and when.
        last_response_ns: When the last answer came on it, or it was established.
        idle_since_ns: When it last became idle, or was established.
        is_retiring: It takes nothing new, and is closed once it is empty.
        last_check_ns: When a health check was last sent because it was silent.
        has_silence_timer: A timer looks whether it has fallen silent.
        is_exclusive: It carries one that must not fail with others.
        has_partial_response: Part of an answer has come.
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
        """Whether one more may go out here.

        An id that was given up or answered here must not be used here again: an answer that crossed the
        cancellation, or a second copy, would be taken for the second attempt's.  On a connection that is
        idle with half an answer nothing goes out: the rest may never come.
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
    """A server that has refused a connection while it answers on others."""

    until_ns: int  # no connection is tried before
    backoff_ns: int  # the last wait, before chance


class ConnectionPool:
    """All connections to servers.

    Attributes:
        by_number: Those that are open or being opened.
        by_server: The same, by the server's name; a server without any has no entry.
        refusals: Servers without a place for one more.
    """

    def __init__(self, max_connections: int, max_attempts_per_connection: int, seed: int = 0) -> None:
        """Make an empty pool; ``seed``: the router's own, so that no two of them call again in step."""
        self.max_connections = max_connections
        self.max_attempts_per_connection = max_attempts_per_connection
        self.seed = seed
        self.refusals: dict[str, Refusal] = {}
        self.by_number: dict[int, PooledConnection] = {}
        self.by_server: dict[str, list[PooledConnection]] = {}
        self.created_count = 0

    def record_refusal(self, server: str, now: int) -> None:
        """A server that answers on other connections has refused one more: its places are taken."""
        last = self.refusals.get(server)
        backoff_ns = REFUSAL_BACKOFF_NS
        if last is not None:
            backoff_ns = min(2 * last.backoff_ns, MAX_REFUSAL_BACKOFF_NS)
        chance = mix64(self.seed ^ mix64(self.created_count)) / 2**64
        self.refusals[server] = Refusal(now + int(backoff_ns * (0.5 + chance)), backoff_ns)

    def may_connect(self, server: str, now: int) -> bool:
        """Whether one more connection may be opened there, as far as the server is concerned."""
        refusal = self.refusals.get(server)
        return refusal is None or now >= refusal.until_ns

    def find(
        self, server: str, attempt_id: str, exclusive: bool = False, now: int = 0
    ) -> PooledConnection | None:
        """A connection with room, the fullest first, so that few are open and the rest become idle.

        One that is established goes before one that is being opened.  Few attempts share one, as an answer
        that cannot be read fails all in flight on its connection: past ATTEMPTS_BEFORE_NEW_CONNECTION one
        more is opened, and where that may not be, the least loaded carries more.

        Returns:
            None where one more is to be opened, or none has room.
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
        """A new connection, to be opened; None when there are too many."""
        if len(self.by_number) >= self.max_connections:
            return None
        self.created_count += 1
        connection = PooledConnection(self.created_count, endpoint.name)
        self.by_number[connection.number] = connection
        self.by_server.setdefault(endpoint.name, []).append(connection)
        return connection

    def remove(self, number: int) -> PooledConnection | None:
        """Take out a connection that has ended; None where it is none of the pool's any more."""
        connection = self.by_number.pop(number, None)
        if connection is not None:
            others = self.by_server[connection.server]
            others.remove(connection)
            if not others:
                del self.by_server[connection.server]
        return connection


def is_preferred(connection: PooledConnection, other: PooledConnection) -> bool:
    """Whether a connection is established and the other is not, or carries more where both are alike."""
    if connection.is_connected is not other.is_connected:
        return connection.is_connected
    return connection.load() > other.load()
