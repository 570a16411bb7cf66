"""What the reducer is told.

No codec's field names appear here: a codec of another protocol fills in the same messages.  Names that end in
``_ns`` are nanoseconds of the Unix clock, kept from running back.
"""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING, Union

from kelpcroft.core.messages import Body, TimerKey, message
from kelpcroft.decision.interface import FillResult, Outcome

if TYPE_CHECKING:
    from kelpcroft.operator_file.model import OperatorFile


@message
class ClientRequest:
    """A client's request; ``call`` is its number on that connection."""

    client: int
    request_number: int
    request_class: str
    trace_id: str
    remaining_time_ns: int
    object_id: str  # passed on as it came
    part_id: str  # passed on as it came
    object_number: int
    part_number: int
    group: int
    is_retry: bool
    etag: str  # of the copy that the client holds; "" = none
    body: Body
    queued_ns: int = 0  # of the client's patience, gone before this was read
    idempotency_key: str = ""  # the idempotency key, passed on as it came; "" = none
    size_kb: float = 0.0  # of the part, as the settings count; 0 = not told
    validation_error: str = ""  # why it cannot be used, though it could be read


@message
class CancelRequest:
    """The client has stopped waiting for a call."""

    client: int
    request_number: int


@message
class HealthRequest:
    """Is this router ready?"""

    client: int
    request_number: int


@message
class ClientConnected:
    """A client's connection was taken."""

    client: int


@message
class ClientDisconnected:
    """A client's connection has ended; nothing is owed on it any more."""

    client: int


@message
class ServerConnected:
    """A connection to a server stands."""

    connection: int


@message
class ServerConnectionLost:
    """A connection to a server could not be had, or has ended.  Only ``down`` tells that nobody is there: a
    connection is also reset by what lies between, and closed by us when an answer on it cannot be read.
    ``unsent``: ids of attempts of which not all bytes were written, so that they never ran."""

    connection: int
    reason: str
    is_unreachable: bool = False
    unsent_attempt_ids: frozenset[str] = frozenset()


@message
class PartialResponse:
    """Part of an answer has come on a connection to a server, or the rest of it."""

    connection: int
    is_incomplete: bool


@message
class ServerResponse:
    """A server's answer to the attempt or probe that was sent under ``id``."""

    connection: int
    attempt_id: str
    outcome: Outcome
    note: FillResult
    source_wait_ns: int
    load_report: dict[str, float]
    not_modified: bool  # the client's own copy is the one; no bytes
    body: Body
    etag: str = ""  # of KEEP: the tag of the copy that is the one


@message
class EndpointRecord:
    """One line of the list of servers as the feed gives it."""

    name: str
    address: str
    zone: str
    kind: str
    cell: int
    state: str  # as in kelpcroft.decision.interface.Server
    weight: float
    started_ns: int


@message
class EndpointUpdate:
    """The whole list, or what has changed in it."""

    is_full_list: bool
    endpoints: tuple[EndpointRecord, ...]
    event_number: int = 0  # of the event; 0 = not told


@message
class Purge:
    """An object, or with None a whole group, was purged at the origin."""

    object_number: int | None
    group: int
    purged_at_ns: int


@message
class WatchResponse:
    """Events of the feed up to number ``last``."""

    last_event: int
    events: tuple[EndpointUpdate | Purge, ...]
    unusable_events: tuple[str, ...] = ()  # events that could not be used, each with its number and field
    has_more: bool = False  # the same answer goes on: ``last`` is the highest number so far
    bytes_read: int = 0  # bytes of the whole answer
    log_fingerprint: str = ""  # of the last event; of a control replica only, as is the next
    as_of_ms: int = 0  # Unix time at which that replica knew all that there was; 0 = not told


@message
class WatchFailed:
    """The poll of the feed failed."""

    reason: str
    retry_after_ns: int = 0  # the service asks to be left alone for so long
    bytes_read: int = 0  # bytes of an answer that came before


@message
class ProcessStalled:
    """The process stood still for a while: what it knows is as old as that."""


@message
class ListenersReady:
    """Clients can connect."""


class ControlVerb(Enum):
    """A call on the control address."""

    READY = "ready"  # does this process take clients?
    STATE = "state"  # what is it, and what became of its requests?
    OUT_OF_SERVICE = "out-of-service"  # send clients away
    IN_SERVICE = "in-service"  # take them again


@message
class PredecessorState:
    """What the router's last process left at its state of service: in or out since a time; None where no
    file was found (``why`` empty) or it could not be used (``why`` says why)."""

    is_in_service: bool | None
    since_ns: int = 0
    reason: str = ""
    ended_at_ns: int = 0  # when that process ended, if it has said so


@message
class PredecessorEnded:
    """The process beside this one says that it has ended, and when."""

    ended_at_ns: int


@message
class ProcessIdentity:
    """What this process is: the digest of its program, and a name that no other process has."""

    build: str
    instance: str


@message
class ControlRequest:
    """A call on the control address, from the caller with this number."""

    caller: int
    verb: ControlVerb


@message
class TimerFired:
    """A wake-up that was asked for has come."""

    key: TimerKey


@message
class ShutdownRequested:
    """The platform wants this process to end."""


@message
class ConfigFileRead:
    """The configuration was read again (SIGHUP): its bytes, or None and why they could not be read."""

    path: str
    data: bytes | None
    reason: str = ""


@message
class OperatorFileRead:
    """The operator's file was read: what it says, or None, its first fault and how many there are."""

    file: OperatorFile | None
    first_error: str = ""
    error_count: int = 0
    digest: str = ""  # of its bytes


Input = Union[
    ClientRequest,
    CancelRequest,
    HealthRequest,
    ClientConnected,
    ClientDisconnected,
    ServerConnected,
    ServerConnectionLost,
    PartialResponse,
    ServerResponse,
    WatchResponse,
    WatchFailed,
    ListenersReady,
    TimerFired,
    ShutdownRequested,
    ConfigFileRead,
    OperatorFileRead,
    ControlRequest,
    PredecessorState,
    PredecessorEnded,
    ProcessIdentity,
    ProcessStalled,
]
