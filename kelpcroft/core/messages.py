"""What inputs and effects are made of: the decorator of both, bodies, and the keys of timers."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TypeVar, Union, dataclass_transform

Body = Union[bytes, bytearray, memoryview]


T = TypeVar("T")


@dataclass_transform(frozen_default=True)
def message(cls: type[T]) -> type[T]:
    """A frozen dataclass.  A release build leaves that to mypy: on a busy day the constructors of frozen ones
    took a tenth of a router's time."""
    return dataclass(frozen=__debug__, slots=True)(cls)


class TimerKind(Enum):
    """What a wake-up is for."""

    DECISION = "module"  # a timer of the decision module
    ATTEMPT_TIMEOUT = "attempt"  # an attempt's time-out
    CONNECT_TIMEOUT = "dial"  # a connection must stand by now
    CONNECTION_SILENCE = "quiet"  # has anything come on a connection?
    HEALTH_CHECK_TIMEOUT = "probe"  # a probe's time-out
    POLL_FEED = "feed"  # poll the feed again
    HEDGE = "copy"  # a second copy of a request is due
    RETRY_BACKOFF = "again"  # a request's wait between two attempts is over
    HOUSEKEEPING = "house"  # idle connections, counters
    RESTART_OVERLAP = "part"  # is this process alone by now?
    SHUTDOWN = "lame"  # steps of the planned end
    SETTINGS_TRANSITION = "retune"  # the passage to settings read again is over


TimerKey = tuple[TimerKind, int, int]
