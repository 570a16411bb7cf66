"""Connection to the feed: watch requests for the endpoint list and purges, one at a time."""

from __future__ import annotations

import socket
from typing import Final

from kelpcroft.core import effects, inputs
from kelpcroft.discovery.watch_timeouts import is_overdue
from kelpcroft.net.connector import Connector
from kelpcroft.net.feed_codec import (
    MAX_SNAPSHOT_BYTES,
    MAX_UNSPLIT_RESPONSE_BYTES,
    FeedCodec,
    FeedError,
    encode_watch_request,
)
from kelpcroft.net.transport import SECOND, WRITABLE, Connection, ConnectionHandler, Transport

NS_PER_MS: Final = 1_000_000
# After a process stall, servers, clients and timers wait at most this long for the feed's response.
FEED_ONLY_NS: Final = SECOND // 25
# Minimum time between the starts of two such waits.
FEED_ONLY_INTERVAL_NS: Final = SECOND


class FeedConnection(Connection):
    """A connection to the feed, with its outstanding watch request."""

    def __init__(self, handler: FeedClient, sock: socket.socket, now: int, is_replica: bool) -> None:
        """``is_replica``: a control replica, whose snapshots are bounded and parsed in one step."""
        super().__init__(handler, sock, now)
        self.codec = FeedCodec(MAX_SNAPSHOT_BYTES if is_replica else MAX_UNSPLIT_RESPONSE_BYTES)
        self.request_sent_ns = now  # when the watch request was sent
        self.watch_wait_ns = 0  # how long the feed may wait for an event before it sends a response
        # How long the feed may be silent after that wait, or within its response.
        self.response_timeout_ns = 0
        self.last_read_ns = 0  # when bytes last arrived
        self.awaits_response = False


class FeedClient(ConnectionHandler[FeedConnection]):
    """Sends watch requests to the feed; after a process stall the feed is read before servers and clients."""

    def __init__(self, transport: Transport, connector: Connector) -> None:
        super().__init__(transport)
        self.connector = connector
        self.address = transport.config.feed_address
        self.connection: FeedConnection | None = None
        self.last_interrupted_ns = 0  # when a process stall last interrupted a watch request
        # Servers and clients are not read before this time, because the endpoint list dates from before a
        # process stall; 0 = all are read.
        self.feed_only_until_ns = 0

    # Effects ----------------------------------------------------------------------------------------------

    def send_watch_request(self, effect: effects.SendWatchRequest) -> None:
        """Sends a watch request, on the open connection or on a new one."""
        now = self.transport.clock.now()
        connection = self.connection
        if connection is not None and connection.awaits_response:
            return  # one watch request at a time: a timer from before a switch may trigger a second one
        if connection is None:
            try:
                sock = self.connector.connect(self.address)
            except OSError as error:
                self.transport.failed_opens.append(inputs.WatchFailed(str(error)))
                return
            connection = FeedConnection(self, sock, now, effect.log_fingerprint is not None)
            self.connection = connection
            self.transport.set_interest(connection, WRITABLE)
        connection.request_sent_ns = now
        connection.awaits_response = True
        connection.watch_wait_ns = effect.wait_ms * NS_PER_MS
        connection.response_timeout_ns = effect.response_timeout_ns
        request = encode_watch_request(
            self.address, effect.after_event, effect.wait_ms, effect.log_fingerprint
        )
        self.transport.queue_write(connection, (request,))

    def switch_feed(self, effect: effects.SwitchFeed) -> None:
        """Closes the connection to the feed; later watch requests go to the new address."""
        self.address = effect.address
        if self.connection is not None:
            self.close(self.connection)

    # Events of the connection -----------------------------------------------------------------------------

    def receive(self, connection: FeedConnection, data: memoryview) -> None:
        """Passes the responses, or chunks of a long one, that these bytes complete to the reducer."""
        connection.last_read_ns = self.transport.clock.now()
        try:
            responses = connection.codec.receive_data(data)
        except FeedError:
            for response in connection.codec.completed:  # the events that were complete before the error
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
        """Closes the connection and reports the failed watch request to the reducer."""
        if connection is not self.connection:
            return
        self.feed_only_until_ns = 0
        self.close(connection)
        codec = connection.codec
        self.transport.handle_input(
            inputs.WatchFailed(reason or "closed by the feed", codec.retry_after_ns, codec.body_bytes_read)
        )

    def close(self, connection: FeedConnection) -> None:
        """Closes the connection; the next watch request opens another."""
        self.transport.close(connection)
        if connection is self.connection:
            self.connection = None

    # Steps of an iteration --------------------------------------------------------------------------------

    def refresh_after_stall(self) -> None:
        """Drops the outstanding watch request after a process stall.

        The reducer sends another without a wait.  This router must apply the events that the feed published
        during the stall, and the response to the dropped request may be older than those events.  Until the
        new response is complete, or for ``FEED_ONLY_NS``, the loop reads no server and no client and fires no
        timer (``EventLoop.run_iteration``).  Control clients, signals, accepts and queued writes are still
        handled.
        """
        now = self.transport.clock.now()
        connection = self.connection
        if now - self.last_interrupted_ns < FEED_ONLY_INTERVAL_NS:
            return
        if connection is None or not connection.awaits_response:
            return
        self.last_interrupted_ns = now
        self.feed_only_until_ns = now + FEED_ONLY_NS
        self.close(connection)  # its request waits for an event, and the response may predate the stall
        self.transport.handle_input(inputs.ProcessStalled())

    def fail_if_overdue(self, now: int) -> None:
        """Fails a watch request whose response is overdue."""
        connection = self.connection
        if (
            connection is not None
            and connection.awaits_response
            and is_overdue(
                now,
                connection.request_sent_ns,
                connection.last_read_ns,
                connection.watch_wait_ns,
                connection.response_timeout_ns,
            )
        ):
            self.connection_failed(connection, "no response in time")
