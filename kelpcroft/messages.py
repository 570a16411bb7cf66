"""What the reducer is told (inputs) and what it asks for (effects).

No codec's field names appear here: a front or a back end of another protocol fills in the same messages.
Names that end in ``_ns`` are nanoseconds of the Unix clock, kept from running back.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING, TypeVar, Union, dataclass_transform

from zincgrade.interface import Note, Outcome

if TYPE_CHECKING:
    from kelpcroft.operator.model import File

Body = Union[bytes, bytearray, memoryview]
T = TypeVar("T")


@dataclass_transform(frozen_default=True)
def message(cls: type[T]) -> type[T]:
    """A frozen dataclass.  A release build leaves that to mypy: on a busy day the constructors of frozen ones
    took a tenth of a router's time."""
    return dataclass(frozen=__debug__, slots=True)(cls)


# Inputs ---------------------------------------------------------------------------------------------------


@message
class Call:
    """A client's request; ``call`` is its number on that connection."""

    client: int
    call: int
    cls: str
    trace: str
    patience_ns: int
    object: str  # passed on as it came
    part: str  # passed on as it came
    object_number: int
    part_number: int
    group: int
    retry: bool
    tag: str  # of the copy that the client holds; "" = none
    body: Body
    waited_ns: int = 0  # of the client's patience, gone before this was read
    nonce: str = ""  # the idempotency key, passed on as it came; "" = none
    size_kb: float = 0.0  # of the part, as the settings count; 0 = not told
    fault: str = ""  # why it cannot be used, though it could be read


@message
class CallOff:
    """The client has stopped waiting for a call."""

    client: int
    call: int


@message
class AskHealth:
    """Is this router ready?"""

    client: int
    call: int


@message
class ClientCame:
    """A client's connection was taken."""

    client: int


@message
class ClientLost:
    """A client's connection has ended; nothing is owed on it any more."""

    client: int


@message
class LinkUp:
    """A connection to a server stands."""

    link: int


@message
class LinkLost:
    """A connection to a server could not be had, or has ended.  Only ``down`` tells that nobody is there: a
    connection is also reset by what lies between, and closed by us when an answer on it cannot be read.
    ``unsent``: ids of attempts of which not all bytes were written, so that they never ran."""

    link: int
    why: str
    down: bool = False
    unsent: frozenset[str] = frozenset()


@message
class LinkHalf:
    """Part of an answer has come on a connection to a server, or the rest of it."""

    link: int
    half: bool


@message
class Answer:
    """A server's answer to the attempt or probe that was sent under ``id``."""

    link: int
    id: str
    outcome: Outcome
    note: Note
    waited_ns: int
    report: dict[str, float]
    same: bool  # the client's own copy is the one; no bytes
    body: Body
    named: str = ""  # of KEEP: the tag of the copy that is the one


@message
class Endpoint:
    """One line of the list of servers as the feed gives it."""

    name: str
    address: str
    zone: str
    kind: str
    cell: int
    state: str  # as in zincgrade.interface.Server
    weight: float
    started_ns: int


@message
class Members:
    """The whole list, or what has changed in it."""

    whole: bool
    endpoints: tuple[Endpoint, ...]
    number: int = 0  # of the event; 0 = not told


@message
class Purge:
    """An object, or with None a whole group, was purged at the origin."""

    object: int | None
    group: int
    at_ns: int


@message
class News:
    """Events of the feed up to number ``last``."""

    last: int
    events: tuple[Members | Purge, ...]
    faults: tuple[str, ...] = ()  # events that could not be used, each with its number and field
    more: bool = False  # the same answer goes on: ``last`` is the highest number so far
    read: int = 0  # bytes of the whole answer
    mark: str = ""  # of the last event; of a control replica only, as is the next
    as_of_ms: int = 0  # Unix time at which that replica knew all that there was; 0 = not told


@message
class FeedLost:
    """The poll of the feed failed."""

    why: str
    retry_after_ns: int = 0  # the service asks to be left alone for so long
    read: int = 0  # bytes of an answer that came before


@message
class Stalled:
    """The process stood still for a while: what it knows is as old as that."""


@message
class Listening:
    """Clients can connect."""


class Verb(Enum):
    """A call on the control address."""

    READY = "ready"  # does this process take clients?
    STATE = "state"  # what is it, and what became of its requests?
    OUT = "out-of-service"  # send clients away
    IN = "in-service"  # take them again


@message
class Handover:
    """What the router's last process left at its state of service: in or out since a time; None where no
    file was found (``why`` empty) or it could not be used (``why`` says why)."""

    in_service: bool | None
    since_ns: int = 0
    why: str = ""
    ended_ns: int = 0  # when that process ended, if it has said so


@message
class Ended:
    """The process beside this one says that it has ended, and when."""

    at_ns: int


@message
class Identity:
    """What this process is: the digest of its program, and a name that no other process has."""

    build: str
    instance: str


@message
class Control:
    """A call on the control address, from the caller with this number."""

    caller: int
    verb: Verb


class Timer(Enum):
    """What a wake-up is for."""

    MODULE = "module"  # a timer of the decision module
    ATTEMPT = "attempt"  # an attempt's time-out
    DIAL = "dial"  # a connection must stand by now
    QUIET = "quiet"  # has anything come on a connection?
    PROBE = "probe"  # a probe's time-out
    FEED = "feed"  # poll the feed again
    COPY = "copy"  # a second copy of a request is due
    AGAIN = "again"  # a request's wait between two attempts is over
    HOUSE = "house"  # idle connections, counters
    PART = "part"  # is this process alone by now?
    LAME = "lame"  # steps of the planned end
    RETUNE = "retune"  # the passage to settings read again is over


Key = tuple[Timer, int, int]


@message
class Due:
    """A wake-up that was asked for has come."""

    key: Key


@message
class Terminate:
    """The platform wants this process to end."""


@message
class Reload:
    """The configuration was read again (SIGHUP): its bytes, or None and why they could not be read."""

    path: str
    data: bytes | None
    why: str = ""


@message
class Rules:
    """The operator's file was read: what it says, or None, its first fault and how many there are."""

    file: File | None
    why: str = ""
    faults: int = 0
    digest: str = ""  # of its bytes


Input = Union[
    Call,
    CallOff,
    AskHealth,
    ClientCame,
    ClientLost,
    LinkUp,
    LinkLost,
    LinkHalf,
    Answer,
    News,
    FeedLost,
    Listening,
    Due,
    Terminate,
    Reload,
    Rules,
    Control,
    Handover,
    Ended,
    Identity,
    Stalled,
]


# Effects --------------------------------------------------------------------------------------------------


@message
class Serve:
    """Final answer: served; ``same`` tells the client that the copy it holds is the one."""

    client: int
    call: int
    body: Body
    same: bool


@message
class Decline:
    """Final answer: refused; trying again is harmless, after ``pause_ns`` if that is above 0."""

    client: int
    call: int
    pause_ns: int


@message
class Break:
    """Final answer: failed."""

    client: int
    call: int


@message
class TellHealth:
    """Answer to AskHealth."""

    client: int
    call: int
    fit: bool


@message
class HangUp:
    """Close a client's connection."""

    client: int
    why: str


@message
class Dial:
    """Open a connection to a server."""

    link: int
    address: str


@message
class Pull:
    """Send an attempt."""

    link: int
    id: str
    cls: str
    object: str
    part: str
    limit_ms: int
    source: str  # "" = no fill
    rank: int
    age_limit_ms: int  # 0 = the fresh time of the class
    join: bool
    held_only: bool
    no_parent_copy: bool
    renew: bool
    tag: str
    body: Body
    nonce: str = ""


@message
class Kill:
    """Give an attempt up."""

    link: int
    id: str


@message
class Check:
    """Send a probe."""

    link: int
    id: str


@message
class Drop:
    """Close a connection to a server."""

    link: int


@message
class Poll:
    """Ask the feed for what comes after an event."""

    after: int
    wait_ms: int = 1_000  # how long the feed may wait for news before it answers
    late_ns: int = 400_000_000  # past that, its answer has begun by then, and goes on so soon
    mark: str | None = None  # of that event, for a control replica; None = the feed is no such


@message
class Move:
    """Leave the feed where it is, and find it at another address from now on."""

    feed: tuple[str, int]


@message
class Wake:
    """Say Due at a time."""

    at_ns: int
    key: Key


@message
class Log:
    """An event for the people on call: its name, a sentence, a level and what it is about."""

    event: str
    text: str
    level: str  # "info" or "warning"
    fields: dict[str, object]


@message
class StopAccepting:
    """Take no new connections."""


@message
class Reply:
    """The answer to a call on the control address: yes or no, and what is said with it."""

    caller: int
    ok: bool
    fields: dict[str, object]


@message
class Keep:
    """Leave the state of service for the router's next process (an upgrade)."""

    in_service: bool
    since_ns: int
    ended_ns: int = 0  # this process ends now
    began_ns: int = 0  # with an end: when it was told to


@message
class Look:
    """Has the process beside this one left word of its end?  If so, tell Ended."""


@message
class Expose:
    """Take calls for the state on the control address from now on, or not; the first time, tell Identity."""

    on: bool


@message
class Release:
    """Let clients go once nothing is owed them and nothing of theirs is half read (a drain), or keep them."""

    on: bool


@message
class Exit:
    """Flush what is written, then end with success."""


Effect = Union[
    Serve,
    Decline,
    Break,
    TellHealth,
    HangUp,
    Dial,
    Pull,
    Kill,
    Check,
    Drop,
    Poll,
    Move,
    Wake,
    Log,
    StopAccepting,
    Reply,
    Keep,
    Look,
    Expose,
    Release,
    Exit,
]
