"""What the reducer takes in: all that can happen to a router, without a protocol's field names.

No codec's field names appear here: a front or a back end of another protocol fills in the same inputs.
Names that end in ``_ns`` are nanoseconds of the Unix clock, kept from running back, or spans of it.
``client`` and ``connection`` are the loop's and the pool's numbers of connections, never used twice.
"""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

from kelpcroft.core.messages import Body, TimerKey, message
from kelpcroft.decision.interface import FillResult, Outcome

if TYPE_CHECKING:
    from kelpcroft.operator_file.model import OperatorFile

# Clients --------------------------------------------------------------------------------------------------


@message
class ClientRequest:
    """A client's request.

    Attributes:
        client: Its connection.
        request_number: Its number on that connection.
        request_class: Name of its class in the settings.
        trace_id: The client's id of it; attempts go out under the same.
        remaining_time_ns: How long the client still waits, from when this was taken up.
        object_id: Passed on as it came.
        part_id: Passed on as it came.
        object_number: The object, as purges name it.
        part_number: The part of the object.
        group: The group that a purge may name in place of an object.
        is_retry: The client has asked before.
        etag: Of the copy that the client holds; "" = none.
        body: Passed on as it came.
        queued_ns: Of the client's time, gone before this was read.
        idempotency_key: Passed on as it came; "" = none.
        size_kb: Of the part, as the settings count; 0 = unknown.
        validation_error: Why it cannot be used, though it could be read; "" = it can.
    """

    client: int
    request_number: int
    request_class: str
    trace_id: str
    remaining_time_ns: int
    object_id: str
    part_id: str
    object_number: int
    part_number: int
    group: int
    is_retry: bool
    etag: str
    body: Body
    queued_ns: int = 0
    idempotency_key: str = ""
    size_kb: float = 0.0
    validation_error: str = ""


@message
class CancelRequest:
    """The client has stopped waiting for a request."""

    client: int
    request_number: int


@message
class HealthRequest:
    """A client asks whether this router is ready."""

    client: int
    request_number: int


@message
class ClientConnected:
    """A client's connection was taken."""

    client: int


@message
class ClientDisconnected:
    """A client's connection has ended; its open requests need no answer any more."""

    client: int


# Servers --------------------------------------------------------------------------------------------------


@message
class ServerConnected:
    """A connection to a server is established."""

    connection: int


@message
class ServerConnectionLost:
    """A connection to a server could not be established, or has ended.

    Attributes:
        connection: Which.
        reason: For the log.
        is_unreachable: Nobody is there.  A connection is also reset by what lies between, and closed by us
            when an answer on it cannot be read; those are no evidence against the server.
        unsent_attempt_ids: Ids of attempts of which not all bytes were written, so that they never ran.
    """

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
    """A server's answer to an attempt or a health check.

    Attributes:
        connection: Where it came.
        attempt_id: The id under which the attempt or check was sent.
        outcome: The server's verdict on the attempt.
        note: How its own fetch (fill) went.
        source_wait_ns: How long it waited for its fill's source; 0 = not reported.
        load_report: What it reports of itself, by the settings' names.
        not_modified: The client's own copy is the one; no bytes.
        body: The answer's bytes.
        etag: With ``not_modified``: of the copy that is the one.
    """

    connection: int
    attempt_id: str
    outcome: Outcome
    note: FillResult
    source_wait_ns: int
    load_report: dict[str, float]
    not_modified: bool
    body: Body
    etag: str = ""


# The feed -------------------------------------------------------------------------------------------------


@message
class EndpointRecord:
    """One line of the list of servers as the feed gives it.

    Attributes:
        name: Unique among the servers.
        address: ``host:port``.
        zone: One of the settings' zones.
        kind: Its type in the settings.
        cell: Its place within the zone.
        state: "in_service", "terminating" or "terminated".
        weight: Its capacity beside the others', as the settings say what it means.
        started_ns: When it last started; 0 = long ago.
    """

    name: str
    address: str
    zone: str
    kind: str
    cell: int
    state: str
    weight: float
    started_ns: int


@message
class EndpointUpdate:
    """The whole list of servers, or what has changed in it; ``event_number`` 0 = unknown."""

    is_full_list: bool
    endpoints: tuple[EndpointRecord, ...]
    event_number: int = 0


@message
class Purge:
    """An object, or with None a whole group, was purged at the origin."""

    object_number: int | None
    group: int
    purged_at_ns: int


@message
class WatchResponse:
    """An answer of the feed: its events up to a number.

    Attributes:
        last_event: The last event's number.
        events: Those that could be used, in their order.
        unusable_events: Why others could not, each with its number and field.
        has_more: The same answer goes on: ``last_event`` is the highest number so far.
        bytes_read: Of the whole answer.
        log_fingerprint: Of the log up to the last event; from a control replica only, as is the next.
        as_of_ms: Unix time at which that replica knew all that there was; 0 = not given.
    """

    last_event: int
    events: tuple[EndpointUpdate | Purge, ...]
    unusable_events: tuple[str, ...] = ()
    has_more: bool = False
    bytes_read: int = 0
    log_fingerprint: str = ""
    as_of_ms: int = 0


@message
class WatchFailed:
    """A call of the feed has failed.

    Attributes:
        reason: For the log.
        retry_after_ns: The service asks to be left alone for so long.
        bytes_read: Of an answer that came before.
    """

    reason: str
    retry_after_ns: int = 0
    bytes_read: int = 0


# The process ----------------------------------------------------------------------------------------------


@message
class ProcessStalled:
    """The process stalled (it was stopped, or got no processor): what it knows is as old as that."""


@message
class ListenersReady:
    """Clients can connect."""


class ControlVerb(Enum):
    """What is asked on the control address.  The values are on its wire."""

    READY = "ready"  # does this process take clients?
    STATE = "state"  # what is it, and what became of its requests?
    OUT_OF_SERVICE = "out-of-service"  # send clients away
    IN_SERVICE = "in-service"  # take them again


@message
class ControlRequest:
    """A request on the control address, from the caller with this number."""

    caller: int
    verb: ControlVerb


@message
class PredecessorState:
    """What the router's last process left as its state of service.

    Attributes:
        is_in_service: None where no file was found or it could not be used.
        since_ns: In or out since then.
        reason: Why the file could not be used; "" where none was found.
        ended_at_ns: When that process ended, if it has recorded that; else 0.
    """

    is_in_service: bool | None
    since_ns: int = 0
    reason: str = ""
    ended_at_ns: int = 0


@message
class PredecessorEnded:
    """The predecessor, which ran beside this process, has recorded that it ended, and when."""

    ended_at_ns: int


@message
class ProcessIdentity:
    """What this process is: the digest of its program, and a name that no other process has."""

    build: str
    instance: str


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
    """The operator's file was read.

    Attributes:
        file: What it says; None where it may not be used.
        first_error: Its first error.
        error_count: How many there are.
        digest: Of its bytes.
    """

    file: OperatorFile | None
    first_error: str = ""
    error_count: int = 0
    digest: str = ""


# Timers ---------------------------------------------------------------------------------------------------


@message
class TimerFired:
    """A timer that was scheduled has come."""

    key: TimerKey


Input = (
    ClientRequest
    | CancelRequest
    | HealthRequest
    | ClientConnected
    | ClientDisconnected
    | ServerConnected
    | ServerConnectionLost
    | PartialResponse
    | ServerResponse
    | WatchResponse
    | WatchFailed
    | ListenersReady
    | TimerFired
    | ShutdownRequested
    | ConfigFileRead
    | OperatorFileRead
    | ControlRequest
    | PredecessorState
    | PredecessorEnded
    | ProcessIdentity
    | ProcessStalled
)
