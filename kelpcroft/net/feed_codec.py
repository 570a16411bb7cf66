"""The feed of servers and purges: polls out as HTTP/1.1, responses in.  No socket here.

A response is ``{"n": LAST, "events": [...]}``; a control replica adds ``mark`` and ``as_of``.  One of up to
``MAX_WHOLE_RESPONSE_BYTES`` is parsed as one.  A longer one, as for a router that was cut off for hours, is
taken event by event while it comes: each piece is a ``WatchResponse`` with ``has_more``, so that what came
before a response breaks off is kept, and memory holds one piece.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import replace
from http import HTTPStatus
from typing import Any, Final, Generic, TypeVar

import httptools
import orjson

from kelpcroft.core.inputs import EndpointRecord, EndpointUpdate, Purge, WatchResponse
from kelpcroft.net.errors import ProtocolError
from kelpcroft.net.event_stream import EventSplitter

NS_PER_MS: Final = 1_000_000
NS_PER_S: Final = 1_000 * NS_PER_MS
MAX_RETRY_AFTER_S: Final = 3_600
MAX_WHOLE_RESPONSE_BYTES: Final = 256 << 10  # that is parsed as one: some 3,000 purges
MAX_SNAPSHOT_BYTES: Final = 4 << 20  # the same of a control replica, whose responses are bounded
MAX_RESPONSE_BYTES: Final = 16 << 20  # what came until then is kept, the rest is asked for anew
# A server's state, by the word on the wire.
ENDPOINT_STATES = {"active": "in_service", "leaving": "terminating", "left": "terminated"}

FeedEvent = EndpointUpdate | Purge
T = TypeVar("T")


class FeedError(ProtocolError):
    """A response that cannot be used."""


def encode_poll(
    address: tuple[str, int], after_event: int, wait_ms: int, log_fingerprint: str | None = None
) -> bytes:
    """One long poll.

    Args:
        address: the feed's host and port.
        after_event: what comes after the event of this number is asked for.
        wait_ms: how long the feed may wait for news before it answers.
        log_fingerprint: of that event, for a control replica; None = the feed is no such.
    """
    mark = f"&mark={log_fingerprint}" if log_fingerprint is not None else ""
    return (
        f"GET /v1/events?SUB={after_event}&wait={wait_ms}{mark} HTTP/1.1\r\n"
        f"Host: {address[0]}:{address[1]}\r\nAccept: application/json\r\n\r\n"
    ).encode()


# Events ---------------------------------------------------------------------------------------------------


def _parse_endpoint(line: dict[str, Any]) -> EndpointRecord:
    """One line of the list.

    Raises:
        FeedError: a value cannot be used; other errors of the same meaning come from the conversions, see
            ``_parse_event_or_reason``.
    """
    state = line["status"]
    if state not in ENDPOINT_STATES:
        raise FeedError(f"status: {state!r} is not one of {', '.join(ENDPOINT_STATES)}")
    if int(line.get("since_ms") or 0) < 0 or float(line.get("weight") or 1) < 0:
        raise FeedError("since_ms or weight: is under 0")
    host, colon, port = str(line["address"]).rpartition(":")
    if not host or not colon or not port.isdigit():
        raise FeedError(f"address: {line['address']!r} is not host:port")
    weight = line.get("weight")
    return EndpointRecord(
        name=str(line["name"]),
        address=str(line["address"]),
        zone=str(line["zone"]),
        kind=str(line["type"]),
        cell=int(line.get("group") or 0),
        state=ENDPOINT_STATES[state],
        weight=float(weight) if weight else 1.0,
        started_ns=int(line.get("since_ms") or 0) * NS_PER_MS,
    )


def _parse_event(raw: dict[str, Any]) -> FeedEvent | None:
    """One event; None for a kind that is not known here."""
    if "members" in raw:
        members = raw["members"]
        endpoints = tuple(map(_parse_endpoint, members["endpoints"]))
        repeated = [name for name, count in Counter(e.name for e in endpoints).items() if count > 1]
        if repeated:
            raise FeedError(f"endpoints: {repeated[0]!r} is named twice")
        return EndpointUpdate(bool(members.get("snapshot")), endpoints, int(raw.get("n") or 0))
    if "purge" in raw:
        purge = raw["purge"]
        key = purge.get("key")
        return Purge(
            int(key, 16) if key is not None else None,
            int(purge.get("group") or 0),
            int(purge["at"]) * NS_PER_MS,
        )
    return None


def _parse_event_or_reason(raw: Any) -> tuple[FeedEvent | None, str]:
    """One event, or why it cannot be used."""
    try:
        return _parse_event(raw), ""
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        number = raw.get("n") if isinstance(raw, dict) else None
        reason = str(error) if isinstance(error, FeedError) else f"{type(error).__name__}: {error}"
        return None, f"event {number}: {reason}"


class _Events:
    """Events of one response: those that can be used, and why others cannot.

    What cannot be used is left out whole, as an event behind it may tell of a drain.
    """

    def __init__(self) -> None:
        self.events: list[FeedEvent] = []
        self.unusable: list[str] = []

    def add(self, raw: Any) -> None:
        event, reason = _parse_event_or_reason(raw)
        if reason:
            self.unusable.append(reason)
        elif event is not None:
            self.events.append(event)


def parse_watch_response(raw: Any) -> WatchResponse:
    """The feed's response, or ``known`` of the configuration, as decoded JSON.

    Raises:
        FeedError: it is no response; an event that cannot be used is named in ``unusable_events`` instead.
    """
    try:
        last_event, raw_events = int(raw["n"]), list(raw["events"])
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        raise FeedError(f"{type(error).__name__}: {error}") from error
    found = _Events()
    for raw_event in raw_events:
        found.add(raw_event)
    mark = raw.get("mark")
    as_of = raw.get("as_of")
    return WatchResponse(
        last_event,
        tuple(found.events),
        tuple(found.unusable),
        log_fingerprint=mark if isinstance(mark, str) else "",
        as_of_ms=as_of if type(as_of) is int else 0,
    )


def _parse_piece(texts: list[bytes | None]) -> WatchResponse:
    """Events of a response that goes on, up to the highest number among them."""
    last_event = 0
    found = _Events()
    for text in texts:
        try:
            raw = None if text is None else orjson.loads(text)
        except orjson.JSONDecodeError as error:
            found.unusable.append(f"an event: {error}")
            continue
        if raw is None:
            found.unusable.append("an event: it is too long")
            continue
        found.add(raw)
        if isinstance(raw, dict) and type(raw.get("n")) is int:
            last_event = max(last_event, raw["n"])
    return WatchResponse(last_event, tuple(found.events), tuple(found.unusable), has_more=True)


# Responses ------------------------------------------------------------------------------------------------


class FeedResponseCodec(Generic[T]):
    """The responses of one connection, in turn, as values of one kind.

    Its ``on_...`` methods are called by httptools while it parses; what they raise comes out of
    ``receive_data``.
    """

    def __init__(self, max_whole_bytes: int = MAX_WHOLE_RESPONSE_BYTES) -> None:
        """``max_whole_bytes``: a response up to this is parsed as one."""
        self.max_whole_bytes = max_whole_bytes
        self.parser = httptools.HttpResponseParser(self)
        self.body = bytearray()
        self.splitter: EventSplitter | None = None  # of a response that is too long to be parsed as one
        self.body_bytes_read = 0  # of the response that is coming
        self.completed: list[T] = []  # by the bytes that were received last
        self.keeps_alive = True  # the connection stays open after this response
        self.retry_after_ns = 0  # of a response that is an error

    def parse_response(self, raw: Any) -> T:
        """A response, or what is left of one whose events came in pieces.

        Raises:
            FeedError: it cannot be used.
        """
        raise NotImplementedError

    def parse_piece(self, found: list[bytes | None]) -> T:
        """Events of a response that goes on; None for one that was too long to keep."""
        raise NotImplementedError

    def receive_data(self, data: memoryview) -> list[T]:
        """The responses, or pieces of them, that these bytes complete.

        Raises:
            FeedError: they are no response, or an error; what came whole before is in ``completed``.
        """
        self.completed = []
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserCallbackError as error:
            raise FeedError(str(error.__context__ or error)) from error
        except httptools.HttpParserError as error:
            raise FeedError(str(error)) from error
        return self.completed

    def on_message_begin(self) -> None:
        """A response begins."""
        self.body.clear()
        self.splitter = None
        self.body_bytes_read = 0

    def on_header(self, name: bytes, value: bytes) -> None:
        """One header; Retry-After is known in seconds only, not as a date."""
        if name.lower() == b"retry-after" and value.strip().isdigit():
            self.retry_after_ns = min(int(value), MAX_RETRY_AFTER_S) * NS_PER_S

    def on_body(self, body: bytes) -> None:
        """Some bytes of the body."""
        self.body_bytes_read += len(body)
        if self.parser.get_status_code() != HTTPStatus.OK:
            return
        if self.body_bytes_read > MAX_RESPONSE_BYTES:
            raise FeedError(f"the answer is over {MAX_RESPONSE_BYTES} bytes")
        if self.splitter is None:
            self.body += body
            if len(self.body) <= self.max_whole_bytes:
                return
            self.splitter = EventSplitter()
            body = bytes(self.body)
            self.body.clear()
        found = self.splitter.receive_data(body)
        if found:
            self.completed.append(self.parse_piece(found))
        if self.splitter.error:
            raise FeedError(self.splitter.error)

    def on_message_complete(self) -> None:
        """A response is all there."""
        self.keeps_alive = bool(self.parser.should_keep_alive())
        if self.parser.get_status_code() != HTTPStatus.OK:
            raise FeedError(f"status {self.parser.get_status_code()}")
        text = self.splitter.end() if self.splitter is not None else self.body
        if self.splitter is not None and self.splitter.error:
            raise FeedError(self.splitter.error)
        try:
            self.completed.append(self.parse_response(orjson.loads(text)))
            self.body_bytes_read = 0
        except orjson.JSONDecodeError as error:
            raise FeedError(str(error)) from error


class FeedCodec(FeedResponseCodec[WatchResponse]):
    """A router's: events as it knows them."""

    def parse_response(self, raw: Any) -> WatchResponse:
        """A response with the bytes that its body took."""
        return replace(parse_watch_response(raw), bytes_read=self.body_bytes_read)

    def parse_piece(self, found: list[bytes | None]) -> WatchResponse:
        """Events of a response that goes on."""
        return _parse_piece(found)
