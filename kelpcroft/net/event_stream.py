"""Cuts a long answer of the feed into its events while it comes, so that memory holds one event at a time.

The answer is ``{"n":LAST,"events":[...]}`` with its keys in any order and any white space.  Only brackets
and strings are looked at; what stands between them is for the JSON parser, an event at a time, and what is
neither an object nor an array is no event.  No socket here.
"""

from __future__ import annotations

import re

MAX_EVENT_BYTES = 2 << 20  # bytes of one event: a list of 10,000 servers; a longer one is left out
MAX_ENVELOPE_BYTES = 1 << 16  # bytes of all that is not an event
STRING_MOST = 1 << 16  # bytes of one string; one that has not ended is looked at again with each read
EVENTS_KEY = b'"events"'
EVENTS_DEPTH = 2  # the answer's object, and its array of events
# A string, a bracket, or the quotation mark of a string whose end has not come.
TOKEN = re.compile(rb'"[^"\\]*(?:\\.[^"\\]*)*"|["{}\[\]]', re.DOTALL)


class EventSplitter:
    """One answer."""

    def __init__(self) -> None:
        self.envelope = b""  # all but the events
        self.rest = b""  # looked at, and neither in the envelope nor a whole event
        self.scanned = 0  # of ``rest``
        self.depth = 0
        self.key = b""  # the last string in the answer's object
        self.inside = False  # the array of events is open
        self.begun = False  # an event is open: ``rest`` begins with it
        self.skipping = False  # and it is too long
        self.error = ""  # why these bytes cannot be cut any further

    def receive_data(self, data: bytes) -> list[bytes | None]:
        """The events that these bytes complete, None for one too long to keep; see ``fault``."""
        text, found = self.rest + data, list[bytes | None]()
        start = 0  # of what is not handed on yet
        at = self.scanned
        for match in TOKEN.finditer(text, self.scanned):
            token = match[0]
            if token == b'"':  # the rest of this string is still to come
                at = match.start()
                break
            at = match.end()
            if token in b"{[":
                if self.inside and self.depth == EVENTS_DEPTH:
                    start, self.begun, self.skipping = match.start(), True, False
                self.depth += 1
                if self.depth == EVENTS_DEPTH and token == b"[" and self.key == EVENTS_KEY:
                    self.envelope += text[start:at]
                    start, self.inside = at, True
            elif token in b"}]":
                self.depth -= 1
                if self.depth < 0:
                    self.error = "more brackets are closed than opened"
                    return found
                if self.begun and self.depth == EVENTS_DEPTH:
                    long = self.skipping or at - start > MAX_EVENT_BYTES
                    found.append(None if long else text[start:at])
                    start, self.begun = at, False
                elif self.inside and self.depth < EVENTS_DEPTH:
                    start, self.inside = at - 1, False
            elif self.depth == 1:
                self.key = token
        else:
            at = len(text)
        self.keep(text, start, at)
        return found

    def keep(self, text: bytes, start: int, at: int) -> None:
        """What is left for the next bytes; nothing of it grows without bound."""
        if self.begun:
            if self.skipping or at - start > MAX_EVENT_BYTES:
                self.skipping, start = True, at
        elif self.inside:
            start = at  # commas and white space between events
        else:
            self.envelope += text[start:at]
            start = at
        self.rest, self.scanned = text[start:], at - start
        if len(self.rest) - self.scanned > STRING_MOST:
            self.error = f"a string of over {STRING_MOST} bytes"
        if len(self.envelope) > MAX_ENVELOPE_BYTES:
            self.error = f"over {MAX_ENVELOPE_BYTES} bytes that are no events"

    def end(self) -> bytes:
        """The answer without its events, once its last byte has come; see ``fault``."""
        if self.depth or self.rest:
            self.error = "it ends within an event"
        return self.envelope
