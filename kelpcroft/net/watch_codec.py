"""The wire of a control replica's watchers: calls in, answers out, in the feed's form.  No socket here.

    GET /v1/events?SUB=<event number>&wait=<ms>[&mark=<fingerprint>]
    GET /control/state

A router asks with ``mark``, which is a fingerprint of the log (``kelpcroft.control_log.log``).  Who asks
without it is served by the number alone.
"""

from __future__ import annotations

import re
from dataclasses import dataclass

import httptools

from kelpcroft.control_log.follower import LogPosition

MAX_HEAD_BYTES = 4_096  # of one call
MAX_PIPELINED_CALLS = 4  # of one connection that may come at once
EVENTS_PATH = b"/v1/events"
STATE_PATH = b"/control/state"
EVENTS_QUERY = re.compile(rb"SUB=(\d{1,18})&wait=(\d{1,9})(?:&mark=([0-9a-f]{0,32}))?")
NS_PER_MS = 1_000_000


class WatchRequestError(ValueError):
    """Bytes that are no call; the text says why, and is sent to the caller."""


@dataclass(frozen=True, slots=True)
class EventsRequest:
    """A call for events after a position."""

    position: LogPosition
    knows_fingerprints: bool  # the position has one, which may be ""
    wait_ns: int  # how long to wait for news


@dataclass(frozen=True, slots=True)
class StateRequest:
    """A call for what the replica is and did."""


class WatchServerCodec:
    """Calls of one connection.  Its ``on_...`` methods are called by httptools while it parses."""

    def __init__(self) -> None:
        self._parser = httptools.HttpRequestParser(self)
        self._url = b""
        self._head_bytes = 0  # of the call that has begun
        self._completed: list[EventsRequest | StateRequest] = []

    def receive_data(self, data: bytes) -> list[EventsRequest | StateRequest]:
        """The calls that these bytes complete.

        Raises:
            WatchRequestError: they are no call that is known here, or too long.
        """
        self._completed = []
        self._head_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserCallbackError as error:
            raise WatchRequestError(str(error.__context__ or error)) from error
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            raise WatchRequestError(str(error)) from error
        if self._head_bytes > MAX_HEAD_BYTES:
            raise WatchRequestError(f"a head of over {MAX_HEAD_BYTES} bytes")
        return self._completed

    def on_url(self, url: bytes) -> None:
        """Part of the call's path and query."""
        self._url += url

    def on_body(self, _body: bytes) -> None:
        """A call has none."""
        raise WatchRequestError("a call with a body")

    def on_message_complete(self) -> None:
        """A call is whole."""
        url = self._url
        self._url = b""
        self._head_bytes = 0
        if self._parser.get_method() != b"GET":
            raise WatchRequestError("only GET is known here")
        if len(self._completed) >= MAX_PIPELINED_CALLS:
            raise WatchRequestError(f"over {MAX_PIPELINED_CALLS} calls at once")
        self._completed.append(parse_request(url))


def parse_request(url: bytes) -> EventsRequest | StateRequest:
    """A call by its path and query.  Raises WatchRequestError."""
    path, _, query = url.partition(b"?")
    if path == STATE_PATH:
        return StateRequest()
    found = EVENTS_QUERY.fullmatch(query)
    if path != EVENTS_PATH or found is None:
        raise WatchRequestError(
            f"{path[:40]!r} with {query[:60]!r} is not {EVENTS_PATH.decode()}?SUB=N&wait=MS"
        )
    number, wait_ms, fingerprint = found.groups()
    position = LogPosition(int(number), (fingerprint or b"").decode())
    return EventsRequest(position, fingerprint is not None, int(wait_ms) * NS_PER_MS)


def encode_response(body: bytes) -> bytes:
    """An answer with a JSON body."""
    return b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s" % (
        len(body),
        body,
    )


def encode_refusal(reason: str, retry_after_s: int) -> bytes:
    """A watcher is turned away for now; its connection may go on."""
    text = reason.encode()
    return b"HTTP/1.1 503 Service Unavailable\r\nRetry-After: %d\r\nContent-Length: %d\r\n\r\n%s" % (
        retry_after_s,
        len(text),
        text,
    )


def encode_bad_request(reason: str) -> bytes:
    """A call that cannot be read; the connection ends after it."""
    text = reason.encode()
    return b"HTTP/1.1 400 Bad Request\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s" % (
        len(text),
        text,
    )
