"""Codec of the control address: HTTP/1.1, one control request per connection.  No socket here.

It decodes the bytes of a connection to one control request or one error response, and encodes responses.

    GET /control/ready            200 if this process accepts clients, else 503
    GET /control/state            200: the state of this process, if the operator's file enables this request
    PUT /control/out-of-service   200: the clients are drained
    PUT /control/in-service       200: clients are accepted again

The codec itself responds to all other bytes, and the reducer is not involved: with status 431 to a head over
``MAX_HEAD_BYTES``, 413 to a body over ``MAX_BODY_BYTES``, 404 to an unknown path, 405 to a known path with
another method, and 400 to anything else that HTTP/1.1 does not allow.  Every response closes the connection.
"""

from __future__ import annotations

from collections.abc import Mapping
from http import HTTPStatus
from typing import Final, NamedTuple

import httptools
import orjson

from kelpcroft.core.inputs import ControlOperation

MAX_HEAD_BYTES: Final = 4_096  # size of the request line and the headers together
MAX_BODY_BYTES: Final = 1_024  # size of a body, which is ignored
READ_BYTES: Final = 4_096  # most bytes of one read, and so the only buffer of a connection
MAX_ERROR_CHARS: Final = 200  # length of a parser's error in a response


class ControlTarget(NamedTuple):
    """The control request that one path stands for, and its method."""

    method: bytes
    kind: ControlOperation


CONTROL_TARGETS = {
    b"/control/ready": ControlTarget(b"GET", ControlOperation.READY),
    b"/control/state": ControlTarget(b"GET", ControlOperation.STATE),
    b"/control/out-of-service": ControlTarget(b"PUT", ControlOperation.OUT_OF_SERVICE),
    b"/control/in-service": ControlTarget(b"PUT", ControlOperation.IN_SERVICE),
}


class _LimitExceededError(Exception):
    """Raised by a callback to stop the parser; ``ControlCodec.exceeded_limit`` has the status code."""


class ControlCodec:
    """Decodes the request of one control client's connection.

    ``receive_data`` is called until it returns a control request or a response; later bytes are ignored.
    httptools calls the ``on_...`` methods while it parses.
    """

    def __init__(self, serves_state: bool = False) -> None:
        """``serves_state``: the operator's file enables GET /control/state."""
        self.serves_state = serves_state
        self.parser = httptools.HttpRequestParser(self)
        self.head_bytes = 0  # bytes of the head so far
        self.body_bytes = 0  # bytes of the body so far
        self.url = b""
        self.is_head_complete = False
        self.is_complete = False
        self.is_done = False  # a control request or a response has been returned
        self.omits_body = False  # the method is HEAD: the response has no body
        # The status code of an exceeded limit: a callback, which can only raise, sets it first.
        self.exceeded_limit: HTTPStatus | None = None

    def on_url(self, url: bytes) -> None:
        """Handles some bytes of the target."""
        self.url += url
        if len(self.url) > MAX_HEAD_BYTES:
            self._raise_limit_exceeded(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Handles one header."""
        if name.lower() == b"content-length" and value.strip().isdigit() and int(value) > MAX_BODY_BYTES:
            self._raise_limit_exceeded(HTTPStatus.REQUEST_ENTITY_TOO_LARGE)

    def on_headers_complete(self) -> None:
        """Handles the end of the head."""
        self.is_head_complete = True

    def on_body(self, body: bytes) -> None:
        """Handles some bytes of the body."""
        self.body_bytes += len(body)
        if self.body_bytes > MAX_BODY_BYTES:
            self._raise_limit_exceeded(HTTPStatus.REQUEST_ENTITY_TOO_LARGE)

    def on_message_complete(self) -> None:
        """Handles the end of the request."""
        self.is_complete = True

    def _raise_limit_exceeded(self, status: HTTPStatus) -> None:
        self.exceeded_limit = status
        raise _LimitExceededError

    def receive_data(self, data: bytes | memoryview) -> ControlOperation | bytes | None:
        """Decodes bytes of the request.

        Each byte of the head is counted before the parser can store it.

        Returns:
            A control request for the reducer, or a response after which the connection is closed, or None if
            the request is still incomplete.
        """
        if self.is_done:
            return None
        data = bytes(data)
        result = self._reject_long_head(data) or self._parse(data)
        self.is_done = result is not None
        return result

    def _reject_long_head(self, data: bytes) -> bytes | None:
        """Counts the bytes of the head; returns an error response if there are too many."""
        if self.is_head_complete:
            return None
        end = data.find(b"\r\n\r\n")
        head_bytes = len(data) if end < 0 else end + 4
        if self.head_bytes + head_bytes > MAX_HEAD_BYTES:
            return _encode_error(
                HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE, f"the head is over {MAX_HEAD_BYTES} bytes"
            )
        self.head_bytes += head_bytes
        return None

    def _parse(self, data: bytes) -> ControlOperation | bytes | None:
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            return _encode_error(HTTPStatus.BAD_REQUEST, "no upgrade is offered here")
        except (httptools.HttpParserError, _LimitExceededError) as error:
            return self._encode_parse_error(error)
        return self._find_request() if self.is_complete else None

    def _encode_parse_error(self, error: Exception) -> bytes:
        """Encodes the response to bytes that the parser or one of its callbacks has rejected."""
        if self.exceeded_limit is HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE:
            return _encode_error(self.exceeded_limit, f"the head is over {MAX_HEAD_BYTES} bytes")
        if self.exceeded_limit is HTTPStatus.REQUEST_ENTITY_TOO_LARGE:
            return _encode_error(
                self.exceeded_limit, f"a body is not used; this one is over {MAX_BODY_BYTES} bytes"
            )
        return _encode_error(HTTPStatus.BAD_REQUEST, f"not HTTP/1.1: {error}"[:MAX_ERROR_CHARS])

    def _find_request(self) -> ControlOperation | bytes:
        """Returns the control request that the complete request stands for, or an error response."""
        try:
            path = httptools.parse_url(self.url).path
        except httptools.HttpParserInvalidURLError:
            return _encode_error(HTTPStatus.BAD_REQUEST, "the target is not a path")
        targets = {
            known_path: known_target
            for known_path, known_target in CONTROL_TARGETS.items()
            if self.serves_state or known_target.kind is not ControlOperation.STATE
        }
        target = targets.get(path.rstrip(b"/") if len(path) > 1 else path)
        if target is None:
            supported = [
                f"{known_target.method.decode()} {known_path.decode()}"
                for known_path, known_target in targets.items()
            ]
            return _encode_response(HTTPStatus.NOT_FOUND, {"error": "no such call", "calls": supported})
        method = self.parser.get_method()
        self.omits_body = method == b"HEAD"
        if method == target.method or (self.omits_body and target.method == b"GET"):
            return target.kind
        allowed = target.method + (b", HEAD" if target.method == b"GET" else b"")
        return _encode_response(
            HTTPStatus.METHOD_NOT_ALLOWED,
            {"error": f"{path.decode()} takes {target.method.decode()}"},
            (b"Allow", allowed),
            omits_body=self.omits_body,
        )

    def has_partial_message(self) -> bool:
        """Whether an incomplete request has been received."""
        return self.head_bytes > 0 and not self.is_done


def encode_control_response(ok: bool, fields: Mapping[str, object], omits_body: bool = False) -> bytes:
    """Encodes the response to a control request that the reducer handled: 200, or 503 if not ``ok``."""
    status = HTTPStatus.OK if ok else HTTPStatus.SERVICE_UNAVAILABLE
    return _encode_response(status, fields, omits_body=omits_body)


def _encode_error(status: HTTPStatus, reason: str) -> bytes:
    return _encode_response(status, {"error": reason})


def _encode_response(
    status: HTTPStatus, fields: Mapping[str, object], *headers: tuple[bytes, bytes], omits_body: bool = False
) -> bytes:
    """Encodes a complete response with a JSON body, after which the connection is closed."""
    body = orjson.dumps(fields) + b"\n"
    lines = [
        f"HTTP/1.1 {status.value} {status.phrase}".encode(),
        b"Content-Type: application/json",
        b"Content-Length: %d" % len(body),
        b"Connection: close",
        b"Cache-Control: no-store",
        *(name + b": " + value for name, value in headers),
    ]
    return b"\r\n".join(lines) + b"\r\n\r\n" + (b"" if omits_body else body)
