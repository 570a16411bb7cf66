"""Codec of a control replica's watchers: decodes requests and encodes responses, in the feed's protocol.

    GET /v1/events?SUB=<event number>&wait=<ms>[&mark=<fingerprint>]
    GET /control/state

A router sends ``mark``, a fingerprint of the log (``kelpcroft.control_log.log``).  For a watcher that sends
no ``mark`` the position is the event number alone.  No socket here.
"""

from __future__ import annotations

import re
from dataclasses import dataclass

import httptools

from kelpcroft.control_log.follower import LogPosition

MAX_HEAD_BYTES = 4_096  # size of one request's head
MAX_PIPELINED_REQUESTS = 4  # requests that one read of a connection may complete
EVENTS_PATH = b"/v1/events"
STATE_PATH = b"/control/state"
EVENTS_QUERY = re.compile(rb"SUB=(\d{1,18})&wait=(\d{1,9})(?:&mark=([0-9a-f]{0,32}))?")
NS_PER_MS = 1_000_000


class WatchRequestError(ValueError):
    """Bytes that are not a valid request; the text gives the reason and is sent to the watcher."""


@dataclass(frozen=True, slots=True)
class EventsRequest:
    """A watch request for the events after a position."""

    position: LogPosition
    has_fingerprint: bool  # the request has a fingerprint, which may be ""
    wait_ns: int  # how long the replica may wait for an event before it sends a response


@dataclass(frozen=True, slots=True)
class StateRequest:
    """A request for the status of the replica."""


class WatchServerCodec:
    """Decodes the requests of one connection.  httptools calls the ``on_...`` methods while it parses."""

    def __init__(self) -> None:
        self._parser = httptools.HttpRequestParser(self)
        self._url = b""
        self._head_bytes = 0  # bytes of the current request so far
        self._completed: list[EventsRequest | StateRequest] = []

    def receive_data(self, data: bytes) -> list[EventsRequest | StateRequest]:
        """Decodes bytes and returns the requests that they complete.

        Raises:
            WatchRequestError: the bytes are not a supported request, or a request is too long.
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
        """Handles some bytes of the request's path and query."""
        self._url += url

    def on_body(self, _body: bytes) -> None:
        """Raises an error: a request has no body."""
        raise WatchRequestError("a call with a body")

    def on_message_complete(self) -> None:
        """Handles the end of a request."""
        url = self._url
        self._url = b""
        self._head_bytes = 0
        if self._parser.get_method() != b"GET":
            raise WatchRequestError("only GET is known here")
        if len(self._completed) >= MAX_PIPELINED_REQUESTS:
            raise WatchRequestError(f"over {MAX_PIPELINED_REQUESTS} calls at once")
        self._completed.append(parse_request(url))


def parse_request(url: bytes) -> EventsRequest | StateRequest:
    """Parses the path and query of a request.

    Raises:
        WatchRequestError: it is not a supported request.
    """
    path, _, query = url.partition(b"?")
    if path == STATE_PATH:
        return StateRequest()
    match = EVENTS_QUERY.fullmatch(query)
    if path != EVENTS_PATH or match is None:
        raise WatchRequestError(
            f"{path[:40]!r} with {query[:60]!r} is not {EVENTS_PATH.decode()}?SUB=N&wait=MS"
        )
    number, wait_ms, fingerprint = match.groups()
    position = LogPosition(int(number), (fingerprint or b"").decode())
    return EventsRequest(position, fingerprint is not None, int(wait_ms) * NS_PER_MS)


def encode_response(body: bytes) -> bytes:
    """Encodes a response with a JSON body."""
    return b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s" % (
        len(body),
        body,
    )


def encode_unavailable(reason: str, retry_after_s: int) -> bytes:
    """Encodes the response to a request that is rejected for now; the connection stays usable."""
    text = reason.encode()
    return b"HTTP/1.1 503 Service Unavailable\r\nRetry-After: %d\r\nContent-Length: %d\r\n\r\n%s" % (
        retry_after_s,
        len(text),
        text,
    )


def encode_bad_request(reason: str) -> bytes:
    """Encodes the response to malformed bytes; the connection is closed after it."""
    text = reason.encode()
    return b"HTTP/1.1 400 Bad Request\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s" % (
        len(text),
        text,
    )
