"""The structured log: one line for each event, JSON or plain, with floods of one event held down.

JSON lines have ``time`` (UTC), ``level``, ``router``, ``event``, ``text`` and the event's own fields.  On a
terminal a line is ``time LEVEL event: text``.  Of one event EACH_MOST lines are written in WINDOW_NS; what is
left out is counted, and the count comes with the next line of that event.
"""

from __future__ import annotations

import logging
import sys
import time
from typing import IO

import orjson

from kelpcroft.core.effects import LogEvent

RATE_WINDOW_NS = 10 * 10**9
MAX_LINES_PER_EVENT = 40  # lines of one event in a window
LEVELS = {"info": logging.INFO, "warning": logging.WARNING}


class Limiter:
    """Which lines are written.  Its table has one entry for each event name, of which there are few."""

    def __init__(self) -> None:
        self.seen: dict[str, tuple[int, int, int]] = {}  # window's start, lines in it, lines left out

    def admits(self, now: int, event: str) -> int:
        """How many lines of an event were left out before this one; -1 where this one is left out too."""
        start, lines, left_out = self.seen.get(event, (now, 0, 0))
        if now - start >= RATE_WINDOW_NS:
            start, lines = now, 0
        if lines >= MAX_LINES_PER_EVENT:
            self.seen[event] = start, lines, left_out + 1
            return -1
        self.seen[event] = start, lines + 1, 0
        return left_out


class Line(logging.Formatter):
    """A record as JSON, or as plain text."""

    def __init__(self, router: str, plain: bool) -> None:
        super().__init__()
        self.router, self.plain = router, plain

    def format(self, record: logging.LogRecord) -> str:
        event, now, fields = record.__dict__["event"], record.__dict__["now"], record.__dict__["fields"]
        seconds, rest = divmod(now, 10**9)
        stamp = self.formatTime(logging.makeLogRecord({"created": seconds}), "%Y-%m-%dT%H:%M:%S")
        when = f"{stamp}.{rest // 1000:06d}Z"
        if self.plain:
            more = f" ({fields['suppressed']} left out before)" if "suppressed" in fields else ""
            return f"{when} {record.levelname} {event}: {record.getMessage()}{more}"
        head = {
            "time": when,
            "level": record.levelname.lower(),
            "router": self.router,
            "event": event,
            "text": record.getMessage(),
        }
        return orjson.dumps({**head, **fields, **head}, default=str, option=orjson.OPT_NON_STR_KEYS).decode()


class EventLog:
    """Writes events to a stream: standard error, as ``form`` says (text, json), else plain on a terminal."""

    def __init__(self, router: str, stream: IO[str] | None = None, form: str = "") -> None:
        stream = stream or sys.stderr
        self.stream, self.router = stream, router
        self.limiter = Limiter()
        self.logger = logging.Logger("kelpcroft", logging.INFO)
        handler = logging.StreamHandler(stream)
        formatter = Line(router, form == "text" if form else stream.isatty())
        formatter.converter = time.gmtime
        handler.setFormatter(formatter)
        self.logger.addHandler(handler)

    def write(self, now: int, log: LogEvent) -> None:
        """One event.  Traced steps are asked for one by one, and all of them are wanted."""
        if log.event.startswith("trace."):
            self.stream.write(
                orjson.dumps(
                    {"t": now, "router": self.router, "event": log.event[6:], **log.fields}, default=str
                ).decode()
                + "\n"
            )
            return
        left_out = self.limiter.admits(now, log.event)
        if left_out < 0:
            return
        fields = {**log.fields, "suppressed": left_out} if left_out else log.fields
        self.logger.log(
            LEVELS[log.level], "%s", log.text, extra={"event": log.event, "now": now, "fields": fields}
        )
