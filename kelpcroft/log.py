"""The structured log: one line for each event, JSON or plain, rate-limited by event name.

JSON lines have ``time`` (UTC), ``level``, ``router``, ``event``, ``text`` and the event's own fields.  On a
terminal a line is ``time LEVEL event: text``.  Of one event MAX_LINES_PER_EVENT lines are written in
RATE_WINDOW_NS; what is left out is counted, and the count comes with the next line of that event,
as ``suppressed``.  Traced steps (ROUTER_TRACE=1) are JSON lines of their own form, and none is left out.
"""

from __future__ import annotations

import logging
import sys
import time
from dataclasses import dataclass
from typing import IO

import orjson

from kelpcroft.core.effects import LogEvent

RATE_WINDOW_NS = 10 * 10**9
MAX_LINES_PER_EVENT = 40  # in a window
LEVELS = {"info": logging.INFO, "warning": logging.WARNING}
TRACE_PREFIX = "trace."  # of the names of traced steps


@dataclass(slots=True)
class EventRate:
    """The lines of one event in the present window."""

    window_began_ns: int
    written: int = 0
    suppressed: int = 0


class RateLimiter:
    """Which lines are written.  Its table has one entry for each event name, of which there are few."""

    def __init__(self) -> None:
        self.rates: dict[str, EventRate] = {}

    def admit(self, now: int, event: str) -> int | None:
        """How many lines of an event were left out before this one; None where this one is left out too."""
        rate = self.rates.get(event)
        if rate is None:
            rate = self.rates[event] = EventRate(now)
        if now - rate.window_began_ns >= RATE_WINDOW_NS:
            rate.window_began_ns = now
            rate.written = 0
        if rate.written >= MAX_LINES_PER_EVENT:
            rate.suppressed += 1
            return None
        rate.written += 1
        suppressed, rate.suppressed = rate.suppressed, 0
        return suppressed


class LogFormatter(logging.Formatter):
    """A record as JSON, or as plain text."""

    def __init__(self, router: str, is_plain: bool) -> None:
        super().__init__()
        self.router = router
        self.is_plain = is_plain

    def format(self, record: logging.LogRecord) -> str:
        """One line, without its end."""
        event, now, fields = record.__dict__["event"], record.__dict__["now"], record.__dict__["fields"]
        timestamp = self.timestamp(now)
        if self.is_plain:
            suppressed = f" ({fields['suppressed']} left out before)" if "suppressed" in fields else ""
            return f"{timestamp} {record.levelname} {event}: {record.getMessage()}{suppressed}"
        head = {
            "time": timestamp,
            "level": record.levelname.lower(),
            "router": self.router,
            "event": event,
            "text": record.getMessage(),
        }
        # The head's keys come first, and an event's own field can't take the place of one.
        line = {**head, **fields, **head}
        return orjson.dumps(line, default=str, option=orjson.OPT_NON_STR_KEYS).decode()

    def timestamp(self, now: int) -> str:
        """Unix time in ns as UTC to the microsecond."""
        seconds, rest_ns = divmod(now, 10**9)
        stamp = self.formatTime(logging.makeLogRecord({"created": seconds}), "%Y-%m-%dT%H:%M:%S")
        return f"{stamp}.{rest_ns // 1000:06d}Z"


class EventLog:
    """Writes events to a stream."""

    def __init__(self, router: str, stream: IO[str] | None = None, form: str = "") -> None:
        """Write to a stream, standard error if None.

        Args:
            router: The router's name.
            stream: Where to.
            form: "text" or "json"; "" = plain text on a terminal, else JSON.
        """
        stream = stream or sys.stderr
        self.stream = stream
        self.router = router
        self.limiter = RateLimiter()
        self.logger = logging.Logger("kelpcroft", logging.INFO)
        handler = logging.StreamHandler(stream)
        formatter = LogFormatter(router, form == "text" if form else stream.isatty())
        formatter.converter = time.gmtime
        handler.setFormatter(formatter)
        self.logger.addHandler(handler)

    def write(self, now: int, log: LogEvent) -> None:
        """Write one event, unless too many of its name were written of late.

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
        """Write a traced step.  They are asked for one by one, and all of them are wanted."""
        step = log.event.removeprefix(TRACE_PREFIX)
        line = {"t": now, "router": self.router, "event": step, **log.fields}
        self.stream.write(orjson.dumps(line, default=str).decode() + "\n")
