"""Splits a long response of the feed into events as they arrive, so that memory holds one event at a time.

The response is ``{"n":LAST,"events":[...]}`` with its keys in any order and any white space.  The splitter
examines brackets and strings only; the JSON parser handles the rest, one event at a time.  An element of
``events`` that is neither an object nor an array is not an event and is skipped.  No socket here.
"""

from __future__ import annotations

import re
from typing import Final

MAX_EVENT_BYTES: Final = 2 << 20  # an event with a list of 10,000 servers fits; a longer event is left out
MAX_ENVELOPE_BYTES: Final = 1 << 16  # size of everything outside the events
MAX_STRING_BYTES: Final = 1 << 16  # size of a string; an incomplete string is scanned again with each read
EVENTS_KEY: Final = b'"events"'  # the key of the array of events, as a JSON string
EVENTS_DEPTH: Final = 2  # open brackets inside the array of events: the response's object, and the array
# A string, a bracket, or the opening quotation mark of a string that is still incomplete.
TOKEN = re.compile(rb'"[^"\\]*(?:\\.[^"\\]*)*"|["{}\[\]]', re.DOTALL)


class EventSplitter:
    """Splits one response."""

    def __init__(self) -> None:
        self.envelope = b""  # the response without its events
        self.pending = b""  # received bytes that are neither in the envelope nor part of a complete event
        self.scanned_bytes = 0  # how many bytes of ``pending`` have been scanned
        self.depth = 0  # number of open brackets
        self.last_string = b""  # the last string in the response's object
        self.in_events = False  # the array of events is open
        self.in_event = False  # an event is open: ``pending`` begins with it
        self.is_discarding = False  # the open event is too long and is discarded
        self.error = ""  # why the response cannot be split any further; empty if it can

    def receive_data(self, data: bytes) -> list[bytes | None]:
        """Returns the events that these bytes complete, None for one that is too long; sets ``error``."""
        buffer = self.pending + data
        events = list[bytes | None]()
        start = 0  # offset of the first byte that is in neither the envelope nor ``events``
        scan_end = self.scanned_bytes
        for match in TOKEN.finditer(buffer, self.scanned_bytes):
            token = match[0]
            if token == b'"':  # this string is incomplete
                scan_end = match.start()
                break
            scan_end = match.end()
            if token in b"{[":
                start = self._open_bracket(token, buffer, start, scan_end)
            elif token in b"}]":
                self.depth -= 1
                if self.depth < 0:
                    self.error = "more brackets are closed than opened"
                    return events
                start = self._close_bracket(buffer, start, scan_end, events)
            elif self.depth == 1:
                self.last_string = token
        else:
            scan_end = len(buffer)
        self._keep_pending(buffer, start, scan_end)
        return events

    def _open_bracket(self, token: bytes, buffer: bytes, start: int, end: int) -> int:
        """Handles an opening bracket that ends at ``end``; returns the new ``start`` of ``receive_data``."""
        if self.in_events and self.depth == EVENTS_DEPTH:
            start = end - len(token)
            self.in_event = True
            self.is_discarding = False
        self.depth += 1
        if self.depth == EVENTS_DEPTH and token == b"[" and self.last_string == EVENTS_KEY:
            self.envelope += buffer[start:end]
            start = end
            self.in_events = True
        return start

    def _close_bracket(self, buffer: bytes, start: int, end: int, events: list[bytes | None]) -> int:
        """Handles a closing bracket that ends at ``end``; returns the new ``start`` of ``receive_data``."""
        if self.in_event and self.depth == EVENTS_DEPTH:
            is_too_long = self.is_discarding or end - start > MAX_EVENT_BYTES
            events.append(None if is_too_long else buffer[start:end])
            self.in_event = False
            return end
        if self.in_events and self.depth < EVENTS_DEPTH:
            self.in_events = False
            return end - 1
        return start

    def _keep_pending(self, buffer: bytes, start: int, end: int) -> None:
        """Keeps the remaining bytes until the next bytes arrive, within the limits of this module."""
        if self.in_event:
            if self.is_discarding or end - start > MAX_EVENT_BYTES:
                self.is_discarding = True
                start = end
        elif self.in_events:
            start = end  # commas and white space between events
        else:
            self.envelope += buffer[start:end]
            start = end
        self.pending = buffer[start:]
        self.scanned_bytes = end - start
        if len(self.pending) - self.scanned_bytes > MAX_STRING_BYTES:
            self.error = f"a string is over {MAX_STRING_BYTES} bytes"
        if len(self.envelope) > MAX_ENVELOPE_BYTES:
            self.error = f"the response has over {MAX_ENVELOPE_BYTES} bytes outside its events"

    def end(self) -> bytes:
        """Ends the response and returns it without its events; sets ``error`` if it is incomplete."""
        if self.depth or self.pending:
            self.error = "the response is incomplete"
        return self.envelope
