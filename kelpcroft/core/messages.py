"""Types that inputs and effects share: their class decorator, the body type, and the keys of timers."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import NamedTuple, TypeVar, dataclass_transform

Body = bytes | bytearray | memoryview
T = TypeVar("T")


@dataclass_transform(frozen_default=True)
def message(cls: type[T]) -> type[T]:
    """Make a class a frozen dataclass with slots.

    In a release build (``python -O``) the dataclass is not frozen, and only mypy rejects assignments: under
    high load the constructors of frozen dataclasses took a tenth of a router's CPU time.
    """
    return dataclass(frozen=__debug__, slots=True)(cls)


class TimerKind(Enum):
    """Purpose of a timer."""

    DECISION = "module"  # a timer of the decision package
    ATTEMPT_TIMEOUT = "attempt"
    CONNECT_TIMEOUT = "dial"  # latest time at which a connection must be established
    CONNECTION_SILENCE = "quiet"  # checks whether a response has arrived on a connection
    HEALTH_CHECK_TIMEOUT = "probe"
    SEND_WATCH_REQUEST = "feed"
    HEDGE = "copy"  # a request's hedge is due
    RETRY_BACKOFF = "again"  # the delay between two attempts of a request has elapsed
    HOUSEKEEPING = "house"  # closes idle connections and logs counters
    RESTART_OVERLAP = "part"  # checks whether the predecessor has ended
    FEED_RECORD = "record"  # stores what the process knows from the feed for its successor
    FEED_CATCH_UP = "behind"  # the next step of a process that has not heard from the feed yet
    SHUTDOWN = "lame"  # the next step of the shutdown
    SETTINGS_TRANSITION = "retune"  # the transition to reloaded settings is over


class TimerKey(NamedTuple):
    """Key of a timer: its kind and the numbers with which it was scheduled.

    Attributes:
        kind: Purpose of the timer.
        number: Number of a request, an attempt, a connection, a shutdown step, a settings transition or a
            timer of the decision package; 0 if only one timer of the kind exists.
        detail: For a hedge, the number of attempts made when it was scheduled; otherwise 0.
    """

    kind: TimerKind
    number: int
    detail: int
