"""Taking a connection to a server for an attempt, and giving it back."""

from __future__ import annotations

from kelpcroft.core.connection_pool import PooledConnection
from kelpcroft.core.effects import CloseServerConnection, OpenServerConnection
from kelpcroft.core.inputs import EndpointRecord
from kelpcroft.core.messages import TimerKind
from kelpcroft.core.state import OpenRequest, State
from kelpcroft.decision import interface as api


class ServerConnections:
    """Opens and closes what the pool keeps: the effects that go with it."""

    def __init__(self, state: State) -> None:
        self.state = state

    def acquire(self, server: str, request: OpenRequest | None) -> PooledConnection | None:
        """A connection that takes one more, opened if need be.

        What must not run twice goes out on one of its own: it could not be repeated if another's answer
        spoilt the connection.

        Args:
            server: Name of the server.
            request: For which request; None for a health check.

        Returns:
            None where no connection has room and no further one may be opened.
        """
        state = self.state
        attempt_id = ""
        exclusive = False
        if request is not None:
            attempt_id = request.message.trace_id
            request_class = state.classes[request.message.request_class]
            exclusive = request_class.idempotency is api.Idempotency.UNSAFE
        connection = state.connections.find(server, attempt_id, exclusive, state.now)
        if connection is None:
            endpoint = state.endpoints.get(server)
            if endpoint is not None and state.connections.may_connect(server, state.now):
                connection = self.open(endpoint)
        if connection is not None and not connection.load():
            connection.is_exclusive = exclusive
        return connection

    def open(self, endpoint: EndpointRecord) -> PooledConnection | None:
        """Open one more connection to a server; None where the pool is full."""
        state = self.state
        connection = state.connections.add(endpoint)
        if connection is None:
            return None
        state.counters["dials"] += 1
        if state.is_tracing:
            state.trace(
                "dial",
                server=endpoint.name,
                link=connection.number,
                standing=len(state.connections.by_server[endpoint.name]) - 1,
            )
        state.effects.append(OpenServerConnection(connection.number, endpoint.address))
        state.schedule(state.config.connect_timeout_ns, TimerKind.CONNECT_TIMEOUT, connection.number)
        return connection

    def release(self, connection: PooledConnection) -> None:
        """Note an idle connection; close it where nothing more may be sent on it."""
        if connection.load() or connection.number not in self.state.connections.by_number:
            return
        connection.idle_since_ns = self.state.now
        if connection.is_retiring:
            self.state.connections.remove(connection.number)
            self.state.effects.append(CloseServerConnection(connection.number))

    def retire_server(self, server: str) -> None:
        """A server takes nothing new: its connections go once they are empty."""
        self.state.connections.refusals.pop(server, None)
        for connection in list(self.state.connections.by_server.get(server, ())):
            connection.is_retiring = True
            self.release(connection)
