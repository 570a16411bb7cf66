"""Cuts a long response of the feed into its events while it comes, so that memory holds one event at a time.

The response is ``{"n":LAST,"events":[...]}`` with its keys in any order and any white space.  Only brackets
and strings are looked at; what stands between them is for the JSON parser, an event at a time, and what is
neither an object nor an array is no event.  No socket here.
"""

from __future__ import annotations

import re
from typing import Final

MAX_EVENT_BYTES: Final = 2 << 20  # a list of 10,000 servers; a longer one is left out
MAX_ENVELOPE_BYTES: Final = 1 << 16  # of all that is not an event
MAX_STRING_BYTES: Final = 1 << 16  # of a string; one that has not ended is looked at again with each read
EVENTS_KEY: Final = b'"events"'
EVENTS_DEPTH: Final = 2  # open brackets within the array of events: the response's object, and the array
# A string, a bracket, or the quotation mark of a string whose end has not come.
TOKEN = re.compile(rb'"[^"\\]*(?:\\.[^"\\]*)*"|["{}\[\]]', re.DOTALL)


class EventSplitter:
    """One response."""

    def __init__(self) -> None:
        self.envelope = b""  # all but the events
        self.rest = b""  # looked at, and neither in the envelope nor a whole event
        self.scanned = 0  # bytes of ``rest``
        self.depth = 0  # open brackets
        self.key = b""  # the last string in the response's object
        self.in_events = False  # the array of events is open
        self.in_event = False  # an event is open: ``rest`` begins with it
        self.is_skipping = False  # and it is too long
        self.error = ""  # why these bytes cannot be cut any further

    def receive_data(self, data: bytes) -> list[bytes | None]:
        """The events that these bytes complete, None for one too long to keep; see ``error``."""
        text = self.rest + data
        events = list[bytes | None]()
        start = 0  # of what is not handed on yet
        at = self.scanned
        for match in TOKEN.finditer(text, self.scanned):
            token = match[0]
            if token == b'"':  # the rest of this string is still to come
                at = match.start()
                break
            at = match.end()
            if token in b"{[":
                start = self._open_bracket(token, text, start, at)
            elif token in b"}]":
                self.depth -= 1
                if self.depth < 0:
                    self.error = "more brackets are closed than opened"
                    return events
                start = self._close_bracket(text, start, at, events)
            elif self.depth == 1:
                self.key = token
        else:
            at = len(text)
        self._keep(text, start, at)
        return events

    def _open_bracket(self, token: bytes, text: bytes, start: int, end: int) -> int:
        """A bracket that ends at ``end``; returns from where on nothing is handed on yet."""
        if self.in_events and self.depth == EVENTS_DEPTH:
            start = end - len(token)
            self.in_event = True
            self.is_skipping = False
        self.depth += 1
        if self.depth == EVENTS_DEPTH and token == b"[" and self.key == EVENTS_KEY:
            self.envelope += text[start:end]
            start = end
            self.in_events = True
        return start

    def _close_bracket(self, text: bytes, start: int, end: int, events: list[bytes | None]) -> int:
        """A bracket that ends at ``end``; returns from where on nothing is handed on yet."""
        if self.in_event and self.depth == EVENTS_DEPTH:
            is_too_long = self.is_skipping or end - start > MAX_EVENT_BYTES
            events.append(None if is_too_long else text[start:end])
            self.in_event = False
            return end
        if self.in_events and self.depth < EVENTS_DEPTH:
            self.in_events = False
            return end - 1
        return start

    def _keep(self, text: bytes, start: int, end: int) -> None:
        """Keeps what is left for the next bytes; nothing of it grows without bound."""
        if self.in_event:
            if self.is_skipping or end - start > MAX_EVENT_BYTES:
                self.is_skipping = True
                start = end
        elif self.in_events:
            start = end  # commas and white space between events
        else:
            self.envelope += text[start:end]
            start = end
        self.rest = text[start:]
        self.scanned = end - start
        if len(self.rest) - self.scanned > MAX_STRING_BYTES:
            self.error = f"a string of over {MAX_STRING_BYTES} bytes"
        if len(self.envelope) > MAX_ENVELOPE_BYTES:
            self.error = f"over {MAX_ENVELOPE_BYTES} bytes that are no events"

    def end(self) -> bytes:
        """The response without its events, once its last byte has come; see ``error``."""
        if self.depth or self.rest:
            self.error = "it ends within an event"
        return self.envelope
