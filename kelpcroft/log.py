"""Structured log: one line for each log event, JSON or plain text, rate-limited by event name.

JSON lines have ``time`` (UTC), ``level``, ``router``, ``event``, ``text`` and the event's own fields.  On a
terminal a line is ``time LEVEL event: text``.  At most MAX_LINES_PER_EVENT lines of one event are written in
RATE_WINDOW_NS; further lines are suppressed and counted, and the next written line of the event has their
count as ``suppressed``.  Traced steps (ROUTER_TRACE=1) are JSON lines of another format, and none of them is
suppressed.
"""

from __future__ import annotations

import logging
import sys
import time
from dataclasses import dataclass
from typing import IO

import orjson

from kelpcroft.core.effects import LogEvent

RATE_WINDOW_NS = 10 * 10**9  # length of the window in which lines are counted
MAX_LINES_PER_EVENT = 40  # lines of one event in a window
LEVELS = {"info": logging.INFO, "warning": logging.WARNING}  # levels of ``logging`` by the event's level
TRACE_PREFIX = "trace."  # prefix of the event names of traced steps


@dataclass(slots=True)
class EventRate:
    """The lines of one event in the current window."""

    window_start_ns: int
    written: int = 0
    suppressed: int = 0


class RateLimiter:
    """Limits the rate of lines by event name.  ``rates`` has one entry for each of the few event names."""

    def __init__(self) -> None:
        self.rates: dict[str, EventRate] = {}

    def admit(self, now: int, event: str) -> int | None:
        """Returns how many lines of an event were suppressed before this one; None if this one is as well."""
        rate = self.rates.get(event)
        if rate is None:
            rate = self.rates[event] = EventRate(now)
        if now - rate.window_start_ns >= RATE_WINDOW_NS:
            rate.window_start_ns = now
            rate.written = 0
        if rate.written >= MAX_LINES_PER_EVENT:
            rate.suppressed += 1
            return None
        rate.written += 1
        suppressed, rate.suppressed = rate.suppressed, 0
        return suppressed


class LogFormatter(logging.Formatter):
    """Formats a record as JSON or as plain text."""

    def __init__(self, router: str, is_plain_text: bool) -> None:
        super().__init__()
        self.router = router
        self.is_plain_text = is_plain_text

    def format(self, record: logging.LogRecord) -> str:
        """Returns one line, without its line end."""
        event, now, fields = record.__dict__["event"], record.__dict__["now"], record.__dict__["fields"]
        timestamp = self.timestamp(now)
        if self.is_plain_text:
            suppressed = f" ({fields['suppressed']} left out before)" if "suppressed" in fields else ""
            return f"{timestamp} {record.levelname} {event}: {record.getMessage()}{suppressed}"
        head = {
            "time": timestamp,
            "level": record.levelname.lower(),
            "router": self.router,
            "event": event,
            "text": record.getMessage(),
        }
        # The head's keys come first, and a field of the event cannot replace one of them.
        line = {**head, **fields, **head}
        return orjson.dumps(line, default=str, option=orjson.OPT_NON_STR_KEYS).decode()

    def timestamp(self, now: int) -> str:
        """Formats Unix time in ns as UTC, in microseconds."""
        seconds, fraction_ns = divmod(now, 10**9)
        timestamp = self.formatTime(logging.makeLogRecord({"created": seconds}), "%Y-%m-%dT%H:%M:%S")
        return f"{timestamp}.{fraction_ns // 1000:06d}Z"


class EventLog:
    """Writes events to a stream."""

    def __init__(self, router: str, stream: IO[str] | None = None, log_format: str = "") -> None:
        """Creates the log.

        Args:
            router: The router's name.
            stream: The stream to write to; None = standard error.
            log_format: "text" or "json"; "" = plain text on a terminal, else JSON.
        """
        stream = stream or sys.stderr
        self.stream = stream
        self.router = router
        self.limiter = RateLimiter()
        self.logger = logging.Logger("kelpcroft", logging.INFO)
        handler = logging.StreamHandler(stream)
        formatter = LogFormatter(router, log_format == "text" if log_format else stream.isatty())
        formatter.converter = time.gmtime
        handler.setFormatter(formatter)
        self.logger.addHandler(handler)

    def write(self, now: int, log: LogEvent) -> None:
        """Writes one event, unless too many lines of its name were written in the current window.

        Args:
            now: Unix time in ns.
            log: The event.
        """
        if log.event.startswith(TRACE_PREFIX):
            self.write_trace(now, log)
            return
        suppressed = self.limiter.admit(now, log.event)
        if suppressed is None:
            return
        fields = {**log.fields, "suppressed": suppressed} if suppressed else log.fields
        extra = {"event": log.event, "now": now, "fields": fields}
        self.logger.log(LEVELS[log.level], "%s", log.text, extra=extra)

    def write_trace(self, now: int, log: LogEvent) -> None:
        """Writes a traced step, without a rate limit: a trace is enabled on purpose and must be complete."""
        step = log.event.removeprefix(TRACE_PREFIX)
        line = {"t": now, "router": self.router, "event": step, **log.fields}
        self.stream.write(orjson.dumps(line, default=str).decode() + "\n")
