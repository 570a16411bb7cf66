"""Acquisition and release of connections to servers, with the effects that open and close them."""

from __future__ import annotations

from kelpcroft.core.connection_pool import PooledConnection
from kelpcroft.core.effects import CloseServerConnection, OpenServerConnection
from kelpcroft.core.inputs import EndpointRecord
from kelpcroft.core.messages import TimerKind
from kelpcroft.core.state import OpenRequest, State
from kelpcroft.decision import interface as api


class ServerConnections:
    """Opens, reuses and closes the connections of the pool."""

    def __init__(self, state: State) -> None:
        self.state = state

    def acquire(self, server: str, request: OpenRequest | None) -> PooledConnection | None:
        """A connection with room for one more attempt; a new one is opened if necessary.

        An attempt of an unsafe class has a connection of its own: it could not be repeated if a response to
        another attempt made the connection unusable.

        Args:
            server: Name of the server.
            request: The request that the attempt is for; None for a health check.

        Returns:
            None if no connection has room and no other may be opened.
        """
        state = self.state
        attempt_id = ""
        exclusive = False
        if request is not None:
            attempt_id = request.message.trace_id
            exclusive = request.request_class.idempotency is api.Idempotency.UNSAFE
        connection = state.connections.find(server, attempt_id, exclusive, state.now)
        if connection is None:
            endpoint = state.endpoints.get(server)
            if endpoint is not None and state.connections.may_connect(server, state.now):
                connection = self.open(endpoint)
        if connection is not None and not connection.load():
            connection.is_exclusive = exclusive
        return connection

    def open(self, endpoint: EndpointRecord) -> PooledConnection | None:
        """Open another connection to a server; None if the pool is full."""
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
        """Mark a connection idle if it is empty, and close it if it is retiring."""
        if connection.load() or connection.number not in self.state.connections.by_number:
            return
        connection.idle_since_ns = self.state.now
        if connection.is_retiring:
            self.state.connections.remove(connection.number)
            self.state.effects.append(CloseServerConnection(connection.number))

    def retire_server(self, server: str) -> None:
        """Retire all connections to a server: each is closed once it is empty."""
        self.state.connections.refusals.pop(server, None)
        for connection in list(self.state.connections.by_server.get(server, ())):
            connection.is_retiring = True
            self.release(connection)
