"""The control address: HTTP/1.1, one call per connection.  Bytes in, one call or one refusal out; answers as
bytes.  No socket here.

    GET /control/ready            200 if this process takes clients, else 503
    PUT /control/out-of-service   200: clients are sent away (a drain)
    PUT /control/in-service       200: clients are taken again

What is not such a call is answered here, before the reducer hears of it: a head over ``HEAD_MOST`` bytes
431, a body over ``BODY_MOST`` 413, an unknown path 404, a known path with another method 405, anything else
that HTTP/1.1 does not allow 400.  Every answer closes the connection.
"""

from __future__ import annotations

from collections.abc import Mapping
from http import HTTPStatus

import httptools
import orjson

from kelpcroft.core.inputs import ControlVerb

MAX_HEAD_BYTES = 4_096  # bytes of the request line and headers together
MAX_BODY_BYTES = 1_024  # bytes of a body, which is not used
READ_SIZE = 4_096  # the one buffer of each connection
CALLS: dict[bytes, tuple[bytes, ControlVerb]] = {
    b"/control/ready": (b"GET", ControlVerb.READY),
    b"/control/state": (b"GET", ControlVerb.STATE),
    b"/control/out-of-service": (b"PUT", ControlVerb.OUT_OF_SERVICE),
    b"/control/in-service": (b"PUT", ControlVerb.IN_SERVICE),
}


class ControlCodec:
    """One caller's connection: ``feed`` until it returns a verb or an answer; nothing more is read then."""

    def __init__(self, state: bool = False) -> None:
        self.state = state  # the operator's file asks for /control/state
        self.parser = httptools.HttpRequestParser(self)
        self.head_bytes = self.body = 0  # bytes of each so far
        self.url = b""
        self.headed = self.complete = False
        self.done = False  # a verb or an answer has been given
        self.head_only = False  # HEAD: the answer has no body
        self.fault: HTTPStatus | None = None  # found by a callback, which can only raise

    # Callbacks of httptools -----------------------------------------------------------------------------

    def on_url(self, url: bytes) -> None:
        self.url += url
        if len(self.url) > MAX_HEAD_BYTES:
            self.fault = HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
            raise _Fault()

    def on_header(self, name: bytes, value: bytes) -> None:
        if name.lower() == b"content-length" and value.strip().isdigit() and int(value) > MAX_BODY_BYTES:
            self.fault = HTTPStatus.REQUEST_ENTITY_TOO_LARGE
            raise _Fault()

    def on_headers_complete(self) -> None:
        self.headed = True

    def on_body(self, body: bytes) -> None:
        self.body += len(body)
        if self.body > MAX_BODY_BYTES:
            self.fault = HTTPStatus.REQUEST_ENTITY_TOO_LARGE
            raise _Fault()

    def on_message_complete(self) -> None:
        self.complete = True

    # ---------------------------------------------------------------------------------------------------

    def receive_data(self, data: bytes | memoryview) -> ControlVerb | bytes | None:
        """What these bytes complete: a verb for the reducer, an answer to write and close with, or None for
        more to come.  Each byte of the head is counted before the parser may keep it."""
        if self.done:
            return None
        data = bytes(data)
        if not self.headed:
            end = data.find(b"\r\n\r\n")
            within = len(data) if end < 0 else end + 4
            if self.head_bytes + within > MAX_HEAD_BYTES:
                return self.finish(
                    answer(
                        HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE,
                        {"error": f"the head is over {MAX_HEAD_BYTES} bytes"},
                    )
                )
            self.head_bytes += within
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            return self.finish(answer(HTTPStatus.BAD_REQUEST, {"error": "no upgrade is offered here"}))
        except (httptools.HttpParserError, _Fault) as error:
            if self.fault is HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE:
                why = f"the head is over {MAX_HEAD_BYTES} bytes"
            elif self.fault is HTTPStatus.REQUEST_ENTITY_TOO_LARGE:
                why = f"a body is not used; this one is over {MAX_BODY_BYTES} bytes"
            else:
                why = f"not HTTP/1.1: {error}"[:200]
            return self.finish(answer(self.fault or HTTPStatus.BAD_REQUEST, {"error": why}))
        if not self.complete:
            return None
        return self.finish(self.call())

    def call(self) -> ControlVerb | bytes:
        """The whole request: which call it is, or why it is none."""
        try:
            path = httptools.parse_url(self.url).path
        except httptools.HttpParserInvalidURLError:
            return answer(HTTPStatus.BAD_REQUEST, {"error": "the target is not a path"})
        method = self.parser.get_method()
        calls = {p: call for p, call in CALLS.items() if self.state or call[1] is not ControlVerb.STATE}
        known = calls.get(path.rstrip(b"/") if len(path) > 1 else path)
        if known is None:
            return answer(
                HTTPStatus.NOT_FOUND,
                {
                    "error": "no such call",
                    "calls": [f"{m.decode()} {p.decode()}" for p, (m, _) in calls.items()],
                },
            )
        wanted, verb = known
        if method != wanted and not (method == b"HEAD" and wanted == b"GET"):
            why = {"error": f"{path.decode()} takes {wanted.decode()}"}
            return answer(
                HTTPStatus.METHOD_NOT_ALLOWED,
                why,
                (b"Allow", wanted + (b", HEAD" if wanted == b"GET" else b"")),
                head_only=method == b"HEAD",
            )
        self.head_only = method == b"HEAD"
        return verb

    def finish(self, result: ControlVerb | bytes) -> ControlVerb | bytes:
        self.done = True
        return result

    def has_partial_message(self) -> bool:
        """Whether a call has begun and not ended."""
        return self.head_bytes > 0 and not self.done


class _Fault(Exception):
    """A callback found a bound passed; ``fault`` says which."""


def reply(ok: bool, fields: Mapping[str, object], head_only: bool = False) -> bytes:
    """The answer to a call that the reducer took: 200, or 503 for a no."""
    return answer(HTTPStatus.OK if ok else HTTPStatus.SERVICE_UNAVAILABLE, fields, head_only=head_only)


def answer(
    status: HTTPStatus, fields: Mapping[str, object], *headers: tuple[bytes, bytes], head_only: bool = False
) -> bytes:
    """A whole answer that closes the connection, with a JSON body."""
    body = orjson.dumps(fields) + b"\n"
    lines = [
        f"HTTP/1.1 {status.value} {status.phrase}".encode(),
        b"Content-Type: application/json",
        b"Content-Length: %d" % len(body),
        b"Connection: close",
        b"Cache-Control: no-store",
        *(name + b": " + value for name, value in headers),
    ]
    return b"\r\n".join(lines) + b"\r\n\r\n" + (b"" if head_only else body)
