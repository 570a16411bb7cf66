"""What inputs and effects are made of: the decorator of both, bodies, and the keys of timers."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import NamedTuple, TypeVar, dataclass_transform

Body = bytes | bytearray | memoryview
T = TypeVar("T")


@dataclass_transform(frozen_default=True)
def message(cls: type[T]) -> type[T]:
    """A frozen dataclass with slots.

    A release build (``python -O``) leaves the freezing to mypy: on a busy day the constructors of frozen
    ones took a tenth of a router's time.
    """
    return dataclass(frozen=__debug__, slots=True)(cls)


class TimerKind(Enum):
    """What a timer is for."""

    DECISION = "module"  # a timer of the decision module
    ATTEMPT_TIMEOUT = "attempt"
    CONNECT_TIMEOUT = "dial"  # a connection must stand by now
    CONNECTION_SILENCE = "quiet"  # has anything come on a connection?
    HEALTH_CHECK_TIMEOUT = "probe"
    POLL_FEED = "feed"  # poll the feed again
    HEDGE = "copy"  # a second copy of a request is due
    RETRY_BACKOFF = "again"  # a request's wait between two attempts is over
    HOUSEKEEPING = "house"  # idle connections, counters
    RESTART_OVERLAP = "part"  # is this process alone by now?
    SHUTDOWN = "lame"  # steps of the planned end
    SETTINGS_TRANSITION = "retune"  # the passage to settings read again is over


class TimerKey(NamedTuple):
    """Which timer: its kind and the numbers that it was scheduled with.

    Attributes:
        kind: What it is for.
        number: Of a request, an attempt, a connection or a step; 0 where there is only one.
        detail: For a hedge, how many attempts had been made; else 0.
    """

    kind: TimerKind
    number: int
    detail: int
