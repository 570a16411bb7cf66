"""What the selector reported in one iteration: connections in the order of handling, and arrival times."""

from __future__ import annotations

from typing import NamedTuple

from kelpcroft.net.client_connections import ClientConnection
from kelpcroft.net.server_connections import ServerConnection
from kelpcroft.net.transport import Connection

ReadyConnection = tuple[Connection, int]  # a connection and the events that the selector reported for it


class Arrival(NamedTuple):
    """When input that the selector reports arrived.

    Attributes:
        earliest_ns: The earliest time: when the previous select returned.
        assumed_ns: The time from which it counts as waiting.  If the select has waited, this is its return,
            as it returns at the first input; otherwise it is the earliest time, as the input may have arrived
            while the process was busy.
    """

    earliest_ns: int
    assumed_ns: int


class ReadyConnections:
    """The connections that the selector reported in one iteration, grouped in the order of handling."""

    def __init__(self) -> None:
        self.control: list[ReadyConnection] = []  # the feed and control clients
        self.servers: list[ReadyConnection] = []
        self.clients: list[ReadyConnection] = []

    def add(self, connection: Connection, events: int) -> None:
        """Adds a connection to the group of its kind."""
        if isinstance(connection, ClientConnection):
            self.clients.append((connection, events))
        elif isinstance(connection, ServerConnection):
            self.servers.append((connection, events))
        else:
            self.control.append((connection, events))
