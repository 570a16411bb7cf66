"""What the reducer is told (inputs) and what it asks for (effects).

No codec's field names appear here: a front or a back end of another protocol fills in the same messages.
Names that end in ``_ns`` are nanoseconds of the Unix clock, kept from running back.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import Union

from zincgrade.interface import Note, Outcome

Body = Union[bytes, bytearray, memoryview]


# Inputs ---------------------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class Call:
    """A client's request; ``call`` is its number on that connection."""

    client: int
    call: int
    cls: str
    trace: str
    patience_ns: int
    object: str              # passed on as it came
    part: str                # passed on as it came
    object_number: int
    part_number: int
    group: int
    retry: bool
    tag: str                 # of the copy that the client holds; "" = none
    body: Body


@dataclass(frozen=True, slots=True)
class CallOff:
    """The client has stopped waiting for a call."""

    client: int
    call: int


@dataclass(frozen=True, slots=True)
class AskHealth:
    """Is this router ready?"""

    client: int
    call: int


@dataclass(frozen=True, slots=True)
class ClientLost:
    """A client's connection has ended; nothing is owed on it any more."""

    client: int


@dataclass(frozen=True, slots=True)
class LinkUp:
    """A connection to a server stands."""

    link: int


@dataclass(frozen=True, slots=True)
class LinkLost:
    """A connection to a server could not be had, or has ended."""

    link: int
    why: str


@dataclass(frozen=True, slots=True)
class Answer:
    """A server's answer to the attempt or probe that was sent under ``id``."""

    link: int
    id: str
    outcome: Outcome
    note: Note
    waited_ns: int
    report: dict[str, float]
    same: bool               # the client's own copy is the one; no bytes
    body: Body


@dataclass(frozen=True, slots=True)
class Endpoint:
    """One line of the list of servers as the feed gives it."""

    name: str
    address: str
    zone: str
    kind: str
    cell: int
    state: str               # as in zincgrade.interface.Server
    weight: float
    started_ns: int


@dataclass(frozen=True, slots=True)
class Members:
    """The whole list, or what has changed in it."""

    whole: bool
    endpoints: tuple[Endpoint, ...]


@dataclass(frozen=True, slots=True)
class Purge:
    """An object, or with None a whole group, was purged at the origin."""

    object: int | None
    group: int
    at_ns: int


@dataclass(frozen=True, slots=True)
class News:
    """Events of the feed up to number ``last``."""

    last: int
    events: tuple[Members | Purge, ...]


@dataclass(frozen=True, slots=True)
class FeedLost:
    """The poll of the feed failed."""

    why: str


@dataclass(frozen=True, slots=True)
class Listening:
    """Clients can connect."""


class Timer(Enum):
    """What a wake-up is for."""

    MODULE = "module"        # a timer of the decision module
    ATTEMPT = "attempt"      # an attempt's time-out
    OWED = "owed"            # a request's answer must have gone out by now
    DIAL = "dial"            # a connection must stand by now
    PROBE = "probe"          # a probe's time-out
    FEED = "feed"            # poll the feed again
    HOUSE = "house"          # idle connections, counters
    LAME = "lame"            # steps of the planned end


Key = tuple[Timer, int, int]


@dataclass(frozen=True, slots=True)
class Due:
    """A wake-up that was asked for has come."""

    key: Key


@dataclass(frozen=True, slots=True)
class Terminate:
    """The platform wants this process to end."""


Input = Union[Call, CallOff, AskHealth, ClientLost, LinkUp, LinkLost, Answer, News, FeedLost, Listening, Due,
              Terminate]


# Effects --------------------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class Serve:
    """Final answer: served; ``same`` tells the client that the copy it holds is the one."""

    client: int
    call: int
    body: Body
    same: bool


@dataclass(frozen=True, slots=True)
class Decline:
    """Final answer: refused; trying again is harmless, after ``pause_ns`` if that is above 0."""

    client: int
    call: int
    pause_ns: int


@dataclass(frozen=True, slots=True)
class Break:
    """Final answer: failed."""

    client: int
    call: int


@dataclass(frozen=True, slots=True)
class TellHealth:
    """Answer to AskHealth."""

    client: int
    call: int
    fit: bool


@dataclass(frozen=True, slots=True)
class HangUp:
    """Close a client's connection."""

    client: int
    why: str


@dataclass(frozen=True, slots=True)
class Dial:
    """Open a connection to a server."""

    link: int
    address: str


@dataclass(frozen=True, slots=True)
class Pull:
    """Send an attempt."""

    link: int
    id: str
    cls: str
    object: str
    part: str
    limit_ms: int
    source: str              # "" = no fill
    rank: int
    age_limit_ms: int        # 0 = the fresh time of the class
    join: bool
    held_only: bool
    no_parent_copy: bool
    renew: bool
    tag: str
    body: Body


@dataclass(frozen=True, slots=True)
class Kill:
    """Give an attempt up."""

    link: int
    id: str


@dataclass(frozen=True, slots=True)
class Check:
    """Send a probe."""

    link: int
    id: str


@dataclass(frozen=True, slots=True)
class Drop:
    """Close a connection to a server."""

    link: int


@dataclass(frozen=True, slots=True)
class Poll:
    """Ask the feed for what comes after an event."""

    after: int


@dataclass(frozen=True, slots=True)
class Wake:
    """Say Due at a time."""

    at_ns: int
    key: Key


@dataclass(frozen=True, slots=True)
class Log:
    """A line for the people on call."""

    text: str


@dataclass(frozen=True, slots=True)
class StopAccepting:
    """Take no new connections."""


@dataclass(frozen=True, slots=True)
class Exit:
    """Flush what is written, then end with success."""


Effect = Union[Serve, Decline, Break, TellHealth, HangUp, Dial, Pull, Kill, Check, Drop, Poll, Wake, Log,
               StopAccepting, Exit]
