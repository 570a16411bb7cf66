"""The connections of the loop by kind: each owns its socket, its codec and what waits to be written."""

from __future__ import annotations

import socket
from collections import deque

from kelpcroft.core import inputs
from kelpcroft.net import client_codec, control_codec, server_codec
from kelpcroft.net.buffers import BUFFER_BYTES, BufferPool, WriteBuffer
from kelpcroft.net.feed_codec import MAX_SNAPSHOT_BYTES, MAX_WHOLE_RESPONSE_BYTES, FeedCodec


class Connection:
    """A connection of any kind."""

    order = 0  # in one turn of the loop, lower ones are read first

    def __init__(self, sock: socket.socket, pool: BufferPool, now: int) -> None:
        self.sock = sock
        self.backlog = WriteBuffer(pool)
        self.is_connected = False
        self.interest = 0  # registered with the selector
        self.unread_since_ns = 0  # no later than this its unread input came; 0 = there is none
        self.moved_ns = now  # when something was last written, or nothing waited


class ClientConnection(Connection):
    """A client's connection."""

    order = 2

    def __init__(self, number: int, sock: socket.socket, pool: BufferPool, now: int) -> None:
        super().__init__(sock, pool, now)
        self.number, self.codec, self.is_connected = (
            number,
            client_codec.ClientCodec(number, BUFFER_BYTES),
            True,
        )
        self.has_sent_message = False  # a whole message has come
        self.last_message_ns = now  # when the last one did, or else the connection
        self.partial_since_ns = 0  # when the message began of which a part has come
        self.pending_messages: deque[tuple[int, inputs.ClientRequest | inputs.HealthRequest]] = (
            deque()
        )  # read, and when; not told yet
        self.is_closing = False  # nothing more is taken from it, and nothing more is owed
        self.parted_ns = 0  # since when its connection is being ended
        self.thrown = 0  # bytes read since then, and thrown away


class ServerConnection(Connection):
    """A connection to a cache, a parent or the origin."""

    order = 1

    def __init__(self, number: int, sock: socket.socket, pool: BufferPool, now: int) -> None:
        super().__init__(sock, pool, now)
        self.number, self.codec = number, server_codec.ServerCodec(number)
        self.read_ns = now  # when bytes last came
        self.put = 0  # bytes handed over to be written, in all
        self.unsent_attempts: deque[tuple[int, str]] = (
            deque()
        )  # attempts not all written: up to which byte, and id
        self.has_partial_response = False  # part of an answer has come


class ControlConnection(Connection):
    """A connection to the control address: one call, one answer, then the end."""

    def __init__(self, number: int, sock: socket.socket, pool: BufferPool, now: int, state: bool) -> None:
        super().__init__(sock, pool, now)
        self.number, self.codec, self.is_connected = number, control_codec.ControlCodec(state), True
        self.opened_ns = now
        self.answered = False  # the answer is written, or waits to be; what comes after is not read


class FeedConnection(Connection):
    """A connection to the feed, with the poll that is out on it."""

    def __init__(self, sock: socket.socket, pool: BufferPool, now: int, replica: bool) -> None:
        """``replica``: it is a control replica, whose snapshots are bounded and taken as one."""
        super().__init__(sock, pool, now)
        self.codec = FeedCodec(MAX_SNAPSHOT_BYTES if replica else MAX_WHOLE_RESPONSE_BYTES)
        self.polled_ns = now
        self.wait_ns = self.late_ns = 0
        self.heard_ns = 0  # when bytes last came
        self.waits = False
