"""Codec of the feed of endpoints and purges: encodes watch requests and decodes responses, as HTTP/1.1.

A response is ``{"n": LAST, "events": [...]}``; a control replica adds ``mark`` and ``as_of``.  A response of
up to ``MAX_UNSPLIT_RESPONSE_BYTES`` is parsed in one step.  A longer response, such as a router receives
after hours without the feed, is parsed event by event while it arrives: each chunk becomes a
``WatchResponse`` with ``has_more``.  So if a response is cut off, the events that have arrived are kept,
and memory holds one chunk at a time.  No socket here.
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
MAX_RETRY_AFTER_S: Final = 3_600  # a longer Retry-After is shortened to this
# A response up to this size is parsed in one step: some 3,000 purges.
MAX_UNSPLIT_RESPONSE_BYTES: Final = 256 << 10
MAX_SNAPSHOT_BYTES: Final = 4 << 20  # the same limit for a control replica, which bounds its responses
# A longer response is an error: its events up to this size are kept, and the rest is requested again.
MAX_RESPONSE_BYTES: Final = 16 << 20
# The state of a server by its ``status`` on the wire.
ENDPOINT_STATES = {"active": "in_service", "leaving": "terminating", "left": "terminated"}

FeedEvent = EndpointUpdate | Purge
T = TypeVar("T")


class FeedError(ProtocolError):
    """A response that cannot be used."""


def encode_watch_request(
    address: tuple[str, int], after_event: int, wait_ms: int, log_fingerprint: str | None = None
) -> bytes:
    """Encodes one watch request.

    Args:
        address: the feed's host and port.
        after_event: the events after the one of this number are requested.
        wait_ms: how long the feed may wait for an event before it sends a response.
        log_fingerprint: the fingerprint of event ``after_event``, for a control replica; None = the feed is
            not a control replica.
    """
    mark = f"&mark={log_fingerprint}" if log_fingerprint is not None else ""
    return (
        f"GET /v1/events?SUB={after_event}&wait={wait_ms}{mark} HTTP/1.1\r\n"
        f"Host: {address[0]}:{address[1]}\r\nAccept: application/json\r\n\r\n"
    ).encode()


# Events ---------------------------------------------------------------------------------------------------


def _parse_endpoint(raw: dict[str, Any]) -> EndpointRecord:
    """Parses one endpoint of the list.

    Raises:
        FeedError: a value cannot be used.  The conversions raise other exceptions for the same cause;
            ``_parse_event_or_reason`` catches them.
    """
    status = raw["status"]
    if status not in ENDPOINT_STATES:
        raise FeedError(f"status: {status!r} is not one of {', '.join(ENDPOINT_STATES)}")
    if int(raw.get("since_ms") or 0) < 0 or float(raw.get("weight") or 1) < 0:
        raise FeedError("since_ms or weight: is less than 0")
    host, colon, port = str(raw["address"]).rpartition(":")
    if not host or not colon or not port.isdigit():
        raise FeedError(f"address: {raw['address']!r} is not host:port")
    weight = raw.get("weight")
    return EndpointRecord(
        name=str(raw["name"]),
        address=str(raw["address"]),
        zone=str(raw["zone"]),
        kind=str(raw["type"]),
        cell=int(raw.get("group") or 0),
        state=ENDPOINT_STATES[status],
        weight=float(weight) if weight else 1.0,
        started_ns=int(raw.get("since_ms") or 0) * NS_PER_MS,
    )


def _parse_event(raw: dict[str, Any]) -> FeedEvent | None:
    """Parses one event; returns None for an event of an unknown kind."""
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
    """Returns one parsed event, or None and the reason why it cannot be used."""
    try:
        return _parse_event(raw), ""
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        number = raw.get("n") if isinstance(raw, dict) else None
        reason = str(error) if isinstance(error, FeedError) else f"{type(error).__name__}: {error}"
        return None, f"event {number}: {reason}"


class _ParsedEvents:
    """The usable events of one response, and for each other event the reason why it cannot be used.

    An unusable event is left out as a whole, and the events after it are used, because one of them may
    announce a drain.
    """

    def __init__(self) -> None:
        self.events: list[FeedEvent] = []
        self.unusable_reasons: list[str] = []

    def add(self, raw: Any) -> None:
        event, reason = _parse_event_or_reason(raw)
        if reason:
            self.unusable_reasons.append(reason)
        elif event is not None:
            self.events.append(event)


def parse_watch_response(raw: Any) -> WatchResponse:
    """Converts a response of the feed, or ``known`` of the configuration, from decoded JSON.

    Raises:
        FeedError: it is not a response.  An event that cannot be used raises nothing: it is reported in
            ``unusable_events``.
    """
    try:
        last_event, raw_events = int(raw["n"]), list(raw["events"])
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        raise FeedError(f"{type(error).__name__}: {error}") from error
    parsed_events = _ParsedEvents()
    for raw_event in raw_events:
        parsed_events.add(raw_event)
    fingerprint = raw.get("mark")
    as_of_ms = raw.get("as_of")
    return WatchResponse(
        last_event,
        tuple(parsed_events.events),
        tuple(parsed_events.unusable_reasons),
        log_fingerprint=fingerprint if isinstance(fingerprint, str) else "",
        as_of_ms=as_of_ms if type(as_of_ms) is int else 0,
    )


def _parse_chunk(encoded_events: list[bytes | None]) -> WatchResponse:
    """Parses events of an incomplete response; ``last_event`` is the highest number among them."""
    last_event = 0
    parsed_events = _ParsedEvents()
    for encoded_event in encoded_events:
        try:
            raw = None if encoded_event is None else orjson.loads(encoded_event)
        except orjson.JSONDecodeError as error:
            parsed_events.unusable_reasons.append(f"an event is not JSON: {error}")
            continue
        if raw is None:
            parsed_events.unusable_reasons.append("an event is too long")
            continue
        parsed_events.add(raw)
        if isinstance(raw, dict) and type(raw.get("n")) is int:
            last_event = max(last_event, raw["n"])
    return WatchResponse(
        last_event, tuple(parsed_events.events), tuple(parsed_events.unusable_reasons), has_more=True
    )


# Responses ------------------------------------------------------------------------------------------------


class FeedResponseCodec(Generic[T]):
    """Decodes the responses of one connection, in order, to values of one type.

    httptools calls the ``on_...`` methods while it parses; ``receive_data`` raises their errors again as
    FeedError.
    """

    def __init__(self, max_unsplit_bytes: int = MAX_UNSPLIT_RESPONSE_BYTES) -> None:
        """``max_unsplit_bytes``: size up to which a response is parsed in one step."""
        self.max_unsplit_bytes = max_unsplit_bytes
        self.parser = httptools.HttpResponseParser(self)
        self.body = bytearray()
        self.splitter: EventSplitter | None = None  # splits a response that is too long for one step
        self.body_bytes_read = 0  # body bytes of the response in progress
        self.completed: list[T] = []  # values completed by the bytes that were received last
        self.keeps_alive = True  # the connection stays open after this response
        self.retry_after_ns = 0  # Retry-After of an error response; 0 if it has none

    def parse_response(self, raw: Any) -> T:
        """Converts a response, or the remainder of a response whose events were split off.

        Raises:
            FeedError: it cannot be used.
        """
        raise NotImplementedError

    def parse_chunk(self, encoded_events: list[bytes | None]) -> T:
        """Converts events of an incomplete response; None stands for an event that was too long to keep."""
        raise NotImplementedError

    def receive_data(self, data: memoryview) -> list[T]:
        """Decodes bytes and returns the responses, or chunks of a response, that they complete.

        Raises:
            FeedError: the bytes are not a valid response, or it is an error response.  Values that were
                completed before the error are in ``completed``.
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
        """Prepares for the next response."""
        self.body.clear()
        self.splitter = None
        self.body_bytes_read = 0

    def on_header(self, name: bytes, value: bytes) -> None:
        """Handles one header; Retry-After is supported in seconds only, not as a date."""
        if name.lower() == b"retry-after" and value.strip().isdigit():
            self.retry_after_ns = min(int(value), MAX_RETRY_AFTER_S) * NS_PER_S

    def on_body(self, body: bytes) -> None:
        """Handles some bytes of the body."""
        self.body_bytes_read += len(body)
        if self.parser.get_status_code() != HTTPStatus.OK:
            return
        if self.body_bytes_read > MAX_RESPONSE_BYTES:
            raise FeedError(f"the response is over {MAX_RESPONSE_BYTES} bytes")
        if self.splitter is None:
            self.body += body
            if len(self.body) <= self.max_unsplit_bytes:
                return
            self.splitter = EventSplitter()
            body = bytes(self.body)
            self.body.clear()
        encoded_events = self.splitter.receive_data(body)
        if encoded_events:
            self.completed.append(self.parse_chunk(encoded_events))
        if self.splitter.error:
            raise FeedError(self.splitter.error)

    def on_message_complete(self) -> None:
        """Handles the end of a response."""
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
    """The codec of a router's connection: decodes the events to inputs of the reducer."""

    def parse_response(self, raw: Any) -> WatchResponse:
        """Converts a response and adds the size of its body."""
        return replace(parse_watch_response(raw), bytes_read=self.body_bytes_read)

    def parse_chunk(self, encoded_events: list[bytes | None]) -> WatchResponse:
        """Converts events of an incomplete response."""
        return _parse_chunk(encoded_events)
