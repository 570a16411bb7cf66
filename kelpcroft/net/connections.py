"""The connections of the loop by kind: each owns its socket, its codec and what waits to be written."""

from __future__ import annotations

import socket
from collections import deque

from kelpcroft import messages as m
from kelpcroft.net import control, front, shelf
from kelpcroft.net.buffers import SIZE, Backlog, BufferPool
from kelpcroft.net.feed import SNAPSHOT_MOST, WHOLE_MOST, FeedCodec


class Connection:
    """A connection of any kind."""

    order = 0  # in one turn of the loop, lower ones are read first

    def __init__(self, sock: socket.socket, pool: BufferPool, now: int) -> None:
        self.sock = sock
        self.backlog = Backlog(pool)
        self.up = False
        self.events = 0  # registered with the selector
        self.ready_ns = 0  # no later than this its unread input came; 0 = there is none
        self.moved_ns = now  # when something was last written, or nothing waited


class ClientConnection(Connection):
    """A client's connection."""

    order = 2

    def __init__(self, number: int, sock: socket.socket, pool: BufferPool, now: int) -> None:
        super().__init__(sock, pool, now)
        self.number, self.codec, self.up = number, front.FrontCodec(number, SIZE), True
        self.said = False  # a whole message has come
        self.heard_ns = now  # when the last one did, or else the connection
        self.begun_ns = 0  # when the message began of which a part has come
        self.untaken: deque[tuple[int, m.Call | m.AskHealth]] = deque()  # read, and when; not told yet
        self.leaving = False  # nothing more is taken from it, and nothing more is owed
        self.parted_ns = 0  # since when its connection is being ended
        self.thrown = 0  # bytes read since then, and thrown away


class ServerConnection(Connection):
    """A connection to a cache, a parent or the origin."""

    order = 1

    def __init__(self, number: int, sock: socket.socket, pool: BufferPool, now: int) -> None:
        super().__init__(sock, pool, now)
        self.number, self.codec = number, shelf.ShelfCodec(number)
        self.read_ns = now  # when bytes last came
        self.put = 0  # bytes handed over to be written, in all
        self.pulls: deque[tuple[int, str]] = deque()  # attempts not all written: up to which byte, and id
        self.half = False  # part of an answer has come


class ControlConnection(Connection):
    """A connection to the control address: one call, one answer, then the end."""

    def __init__(self, number: int, sock: socket.socket, pool: BufferPool, now: int, state: bool) -> None:
        super().__init__(sock, pool, now)
        self.number, self.codec, self.up = number, control.ControlCodec(state), True
        self.opened_ns = now
        self.answered = False  # the answer is written, or waits to be; what comes after is not read


class FeedConnection(Connection):
    """A connection to the feed, with the poll that is out on it."""

    def __init__(self, sock: socket.socket, pool: BufferPool, now: int, replica: bool) -> None:
        """``replica``: it is a control replica, whose snapshots are bounded and taken as one."""
        super().__init__(sock, pool, now)
        self.codec = FeedCodec(SNAPSHOT_MOST if replica else WHOLE_MOST)
        self.polled_ns = now
        self.wait_ns = self.late_ns = 0
        self.heard_ns = 0  # when bytes last came
        self.waits = False
