"""The wire of a control replica's watchers: calls in, answers out, in the feed's form.  No socket here."""

from __future__ import annotations

import re
from dataclasses import dataclass

import httptools

from kelpcroft.control_log.follower import LogPosition

HEAD_MOST = 4_096  # bytes of one call's head
CALLS_MOST = 4  # calls of one connection that may come at once
EVENTS_PATH = b"/v1/events"
STATE_PATH = b"/control/state"
QUERY = re.compile(rb"SUB=(\d{1,18})&wait=(\d{1,9})(?:&mark=([0-9a-f]{0,32}))?")
NS_PER_MS = 1_000_000


class WatchRequestError(ValueError):
    """Bytes that are no call; the text says why."""


@dataclass(frozen=True, slots=True)
class EventsRequest:
    """A call for events after a position."""

    position: LogPosition
    knows_fingerprints: bool
    wait_ns: int


@dataclass(frozen=True, slots=True)
class StateRequest:
    """A call for what the replica is and did."""


class WatchServerCodec:
    """Calls of one connection."""

    def __init__(self) -> None:
        self.parser = httptools.HttpRequestParser(self)
        self.url = b""
        self.head = 0  # bytes of the call that has begun
        self.done: list[EventsRequest | StateRequest] = []

    def feed(self, data: bytes) -> list[EventsRequest | StateRequest]:
        """The calls that these bytes complete.  Raises CallError."""
        self.done = []
        self.head += len(data)
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserCallbackError as error:
            raise WatchRequestError(str(error.__context__ or error)) from error
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            raise WatchRequestError(str(error)) from error
        if self.head > HEAD_MOST:
            raise WatchRequestError(f"a head of over {HEAD_MOST} bytes")
        return self.done

    def on_url(self, url: bytes) -> None:
        self.url += url

    def on_body(self, body: bytes) -> None:
        raise WatchRequestError("a call with a body")

    def on_message_complete(self) -> None:
        url, self.url, self.head = self.url, b"", 0
        if self.parser.get_method() != b"GET":
            raise WatchRequestError("only GET is known here")
        if len(self.done) >= CALLS_MOST:
            raise WatchRequestError(f"over {CALLS_MOST} calls at once")
        path, _, query = url.partition(b"?")
        found = QUERY.fullmatch(query)
        if path == STATE_PATH:
            self.done.append(StateRequest())
        elif path == EVENTS_PATH and found:
            position = LogPosition(int(found[1]), (found[3] or b"").decode())
            self.done.append(EventsRequest(position, found[3] is not None, int(found[2]) * NS_PER_MS))
        else:
            raise WatchRequestError(
                f"{path[:40]!r} with {query[:60]!r} is not {EVENTS_PATH.decode()}?SUB=N&wait=MS"
            )


def answered(body: bytes) -> bytes:
    """An answer."""
    return b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s" % (
        len(body),
        body,
    )


def refused(why: str, retry_s: int) -> bytes:
    """A watcher is turned away for now; its connection may go on."""
    text = why.encode()
    return b"HTTP/1.1 503 Service Unavailable\r\nRetry-After: %d\r\nContent-Length: %d\r\n\r\n%s" % (
        retry_s,
        len(text),
        text,
    )


def bad(why: str) -> bytes:
    """A call that cannot be read; the connection ends after it."""
    text = why.encode()
    return b"HTTP/1.1 400 Bad Request\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s" % (
        len(text),
        text,
    )
