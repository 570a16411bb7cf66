"""The connection to the feed: long polls for the list of servers and purges, one at a time."""

from __future__ import annotations

import socket
from typing import Final

from kelpcroft.core import effects, inputs
from kelpcroft.discovery.watch_timeouts import is_overdue
from kelpcroft.net.connector import Connector
from kelpcroft.net.feed_codec import (
    MAX_SNAPSHOT_BYTES,
    MAX_WHOLE_RESPONSE_BYTES,
    FeedCodec,
    FeedError,
    encode_poll,
)
from kelpcroft.net.transport import SECOND, WRITABLE, Connection, ConnectionHandler, Transport

NS_PER_MS: Final = 1_000_000
# After a stall servers, clients and timers wait at most this long for the feed's response ...
FEED_ONLY_NS: Final = SECOND // 25
# ... and two such waits begin at least this far apart.
FEED_ONLY_INTERVAL_NS: Final = SECOND


class FeedConnection(Connection):
    """A connection to the feed, with the poll that is out on it."""

    def __init__(self, handler: FeedClient, sock: socket.socket, now: int, is_replica: bool) -> None:
        """``is_replica``: it is a control replica, whose snapshots are bounded and parsed as one."""
        super().__init__(handler, sock, now)
        self.codec = FeedCodec(MAX_SNAPSHOT_BYTES if is_replica else MAX_WHOLE_RESPONSE_BYTES)
        self.polled_ns = now  # when the poll was sent
        self.poll_wait_ns = 0  # how long the feed may wait for news before it answers it
        self.response_timeout_ns = 0  # how long it may be silent past that, or within its response
        self.last_read_ns = 0  # when bytes last came
        self.awaits_response = False


class FeedClient(ConnectionHandler[FeedConnection]):
    """Asks the feed; after a stall of the process its response comes before all else."""

    def __init__(self, transport: Transport, connector: Connector) -> None:
        super().__init__(transport)
        self.connector = connector
        self.address = transport.config.feed_address
        self.connection: FeedConnection | None = None
        self.last_stall_ns = 0  # when the process was last seen to have stood still
        # Until then servers and clients are not read, as the list is as old as a stall; 0 = all are read.
        self.feed_only_until_ns = 0

    # Effects ----------------------------------------------------------------------------------------------

    def poll(self, effect: effects.PollFeed) -> None:
        """Sends a poll, on the connection that stands or on a new one."""
        now = self.transport.clock.now()
        connection = self.connection
        if connection is not None and connection.awaits_response:
            return  # one poll at a time: a timer from before a switch may ask for a second
        if connection is None:
            try:
                sock = self.connector.connect(self.address)
            except OSError as error:
                self.transport.failed_opens.append(inputs.WatchFailed(str(error)))
                return
            connection = FeedConnection(self, sock, now, effect.log_fingerprint is not None)
            self.connection = connection
            self.transport.set_interest(connection, WRITABLE)
        connection.polled_ns = now
        connection.awaits_response = True
        connection.poll_wait_ns = effect.wait_ms * NS_PER_MS
        connection.response_timeout_ns = effect.response_timeout_ns
        request = encode_poll(self.address, effect.after_event, effect.wait_ms, effect.log_fingerprint)
        self.transport.queue_write(connection, (request,))

    def switch_feed(self, effect: effects.SwitchFeed) -> None:
        """Leaves the feed where it is, and finds it at another address from now on."""
        self.address = effect.address
        if self.connection is not None:
            self.close(self.connection)

    # Events of the connection -----------------------------------------------------------------------------

    def receive(self, connection: FeedConnection, data: memoryview) -> None:
        """Tells the reducer the responses, or parts of a long one, that these bytes complete."""
        connection.last_read_ns = self.transport.clock.now()
        try:
            responses = connection.codec.receive_data(data)
        except FeedError:
            for response in connection.codec.completed:  # whole events before the error
                self.transport.handle_input(response)
            raise
        for response in responses:
            if not response.has_more:
                connection.awaits_response = False
                self.feed_only_until_ns = 0
                if not connection.codec.keeps_alive:
                    self.close(connection)
            self.transport.handle_input(response)

    def connection_failed(
        self,
        connection: FeedConnection,
        reason: str,
        is_unreachable: bool = False,  # noqa: ARG002
    ) -> None:
        """Closes the connection and tells the reducer that the poll has failed."""
        if connection is not self.connection:
            return
        self.feed_only_until_ns = 0
        self.close(connection)
        codec = connection.codec
        self.transport.handle_input(
            inputs.WatchFailed(reason or "closed", codec.retry_after_ns, codec.body_bytes_read)
        )

    def close(self, connection: FeedConnection) -> None:
        """Closes the connection; the next poll opens another."""
        self.transport.close(connection)
        if connection is self.connection:
            self.connection = None

    # Steps of a turn --------------------------------------------------------------------------------------

    def refresh_after_stall(self) -> None:
        """Closes the poll that is out after the process stood still; the reducer polls anew with no wait.

        What the feed announced meanwhile binds this router, and the response to the old poll may be from
        before that.  Until the new response is whole, or for ``FEED_ONLY_NS``, the loop reads no server and
        no client and fires no timer (``EventLoop.run_turn``).  Control callers, signals, accepts and queued
        writes go on.
        """
        now = self.transport.clock.now()
        connection = self.connection
        if now - self.last_stall_ns < FEED_ONLY_INTERVAL_NS:
            return
        if connection is None or not connection.awaits_response:
            return
        self.last_stall_ns = now
        self.feed_only_until_ns = now + FEED_ONLY_NS
        self.close(connection)  # the poll on it waits for news, and its response is from before
        self.transport.handle_input(inputs.ProcessStalled())

    def give_up_if_overdue(self, now: int) -> None:
        """Gives a poll up whose response does not come in time."""
        connection = self.connection
        if (
            connection is not None
            and connection.awaits_response
            and is_overdue(
                now,
                connection.polled_ns,
                connection.last_read_ns,
                connection.poll_wait_ns,
                connection.response_timeout_ns,
            )
        ):
            self.connection_failed(connection, "no answer in time")
