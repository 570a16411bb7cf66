"""Inputs of the reducer: every event that can affect a router.

The inputs use no codec's field names, so that a front end or back end for another protocol can produce the
same inputs.  Names that end in ``_ns`` are times of the Unix clock in nanoseconds, which never run backwards,
or durations in nanoseconds.  ``client`` is a connection number of the event loop and ``connection`` is one of
the connection pool; neither number is ever reused.
"""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING, Any

from kelpcroft.core.messages import Body, TimerKey, message
from kelpcroft.decision.interface import FillResult, Outcome

if TYPE_CHECKING:
    from kelpcroft.operator_file.model import OperatorFile

# Clients --------------------------------------------------------------------------------------------------


@message
class ClientRequest:
    """A client's request.

    Attributes:
        client: The client's connection.
        request_number: Number of the request on that connection.
        request_class: Name of the request's class in the settings.
        trace_id: The client's id for the request; attempts are sent with the same id.
        remaining_time_ns: How long the client still waits, counted from when the reducer receives this input.
        object_id: Forwarded unchanged.
        part_id: Forwarded unchanged.
        object_number: The object, by the number that purges use.
        part_number: The part of the object.
        group: The group that a purge may name instead of an object.
        is_retry: The client has sent this request before.
        etag: ETag of the copy that the client holds; "" = none.
        body: Forwarded unchanged.
        queued_ns: How much of the client's waiting time passed before the router read the request.
        idempotency_key: Forwarded unchanged; "" = none.
        size_kb: Size of the part, in the unit of the settings; 0 = unknown.
        validation_error: Why a request that could be decoded cannot be served; "" = it can be served.
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
    """A client cancels a request."""

    client: int
    request_number: int


@message
class HealthRequest:
    """A client checks whether this router is ready."""

    client: int
    request_number: int


@message
class ClientConnected:
    """A client's connection was accepted."""

    client: int


@message
class ClientDisconnected:
    """A client's connection has ended; its open requests no longer need a response."""

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
        connection: Number of the connection.
        reason: For the log.
        is_unreachable: The connection could not be established, because no server accepts connections at the
            address or because the connect timeout expired.  False if a device on the network path resets a
            connection, or if the router closes one because it cannot decode a response: these are no evidence
            against the server.
        unsent_attempt_ids: Ids of attempts that were not written completely, so that they never ran.
    """

    connection: int
    reason: str
    is_unreachable: bool = False
    unsent_attempt_ids: frozenset[str] = frozenset()


@message
class PartialResponse:
    """An incomplete response is pending on a connection to a server, or no longer is."""

    connection: int
    is_incomplete: bool


@message
class ServerResponse:
    """A server's response to an attempt or a health check.

    Attributes:
        connection: The connection on which the response arrived.
        attempt_id: The id with which the attempt or check was sent.
        outcome: The server's result for the attempt.
        fill_result: Result of the server's own fetch (fill).
        source_wait_ns: How long the server waited for the source of its fill; 0 = not reported.
        load_report: The server's report of its own load, by the names in the settings.
        not_modified: The copy that the client holds is current, so the response has no body.
        body: The response's bytes.
        etag: With ``not_modified``, the ETag of the copy that is current.
    """

    connection: int
    attempt_id: str
    outcome: Outcome
    fill_result: FillResult
    source_wait_ns: int
    load_report: dict[str, float]
    not_modified: bool
    body: Body
    etag: str = ""


# The feed -------------------------------------------------------------------------------------------------


@message
class EndpointRecord:
    """One endpoint as the feed reports it.

    Attributes:
        name: Unique among the servers.
        address: ``host:port``.
        zone: One of the settings' zones.
        kind: The server's type in the settings.
        cell: The server's cell within the zone.
        state: "in_service", "terminating" or "terminated".
        weight: Capacity relative to the other servers; the settings define its meaning.
        started_ns: When the server last started; 0 = long ago.
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
    """The complete endpoint list, or the changes to it; ``event_number`` 0 = unknown."""

    is_snapshot: bool
    endpoints: tuple[EndpointRecord, ...]
    event_number: int = 0


@message
class Purge:
    """An object was purged at the origin, or all objects of a group if ``object_number`` is None."""

    object_number: int | None
    group: int
    purged_at_ns: int


@message
class WatchResponse:
    """A watch response: the feed's events up to a number.

    Attributes:
        last_event: Number of the last event.
        events: The events that could be decoded, in their order.
        unusable_events: For each event that could not be decoded: the reason, with its number and field.
        has_more: This is one chunk of a response that continues; ``last_event`` is the highest number so far.
        bytes_read: Bytes of the complete response.
        log_fingerprint: Fingerprint of the log up to the last event; sent by control replicas only.
        as_of_ms: Unix time in ms at which the replica's state was last complete; sent by control replicas
            only; 0 = not given.
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
    """A watch request has failed.

    Attributes:
        reason: For the log.
        retry_after_ns: Minimum delay that the list service requests before the next request; 0 = none.
        bytes_read: Bytes of the response that were read before the failure.
    """

    reason: str
    retry_after_ns: int = 0
    bytes_read: int = 0


# The process ----------------------------------------------------------------------------------------------


@message
class ProcessStalled:
    """The process stalled (it was suspended or not scheduled): its feed state dates from before the stall."""


@message
class ListenersReady:
    """Clients can connect."""


class ControlOperation(Enum):
    """The operation of a control request.  The values are on the wire of the control address."""

    READY = "ready"  # reports whether this process accepts clients
    STATE = "state"  # reports the process's identity and its request statistics
    OUT_OF_SERVICE = "out-of-service"  # drains clients
    IN_SERVICE = "in-service"  # accepts clients again


@message
class ControlRequest:
    """A request on the control address.

    Attributes:
        control_client: Number of the control client's connection.
        operation: The requested operation.
    """

    control_client: int
    operation: ControlOperation


@message
class PredecessorState:
    """The service state that the router's predecessor process recorded in its file.

    Attributes:
        is_in_service: None if no file was found or it could not be used.
        since_ns: When the predecessor went in or out of service.
        reason: Why the file could not be used; "" if no file was found.
        ended_at_ns: When the predecessor ended; 0 if it has not recorded its end.
    """

    is_in_service: bool | None
    since_ns: int = 0
    reason: str = ""
    ended_at_ns: int = 0


@message
class AcceptedConfig:
    """The configuration that a process accepted last, at its start or at a reload.

    Attributes:
        config: The configuration, as JSON.
        required: The configuration whose keys a later file must have.
    """

    config: dict[str, Any]
    required: dict[str, Any]


@message
class ReplacedSettings:
    """Settings of a configuration file that a later file replaced while the router ran.

    Attributes:
        settings: ``settings`` of the file, as JSON.
        replaced_ns: When the later file was read.
    """

    settings: dict[str, Any]
    replaced_ns: int


@message
class PredecessorSettings:
    """The settings that the router's predecessor process replaced last.

    Attributes:
        replaced: In the order of the files.
        reason: Why the predecessor's file could not be used; "" if no file was found.
    """

    replaced: tuple[ReplacedSettings, ...]
    reason: str = ""


@message
class FeedRecord:
    """What one process of a router knows from the feed beyond the configuration, for its successor.

    Attributes:
        known_digest: Digest of ``known`` in the configuration file, to which the numbers and endpoints refer.
        last_event: Number of the last event that was applied; 0 if control replicas are watched.
        endpoints: The last record of each server that differs from ``known``.
        purges: The purges that may still concern copies.
    """

    known_digest: str
    last_event: int
    endpoints: tuple[EndpointRecord, ...]
    purges: tuple[Purge, ...]


@message
class PredecessorFeed:
    """The feed record of the router's predecessor process.

    Attributes:
        record: None if no file was found or it could not be used.
        age_ns: Time since the predecessor last touched its file.
        reason: Why the file could not be used; "" if no file was found.
    """

    record: FeedRecord | None
    age_ns: int = 0
    reason: str = ""


@message
class PredecessorEnded:
    """The predecessor, which ran at the same time as this process, has recorded the time of its end."""

    ended_at_ns: int


@message
class ProcessIdentity:
    """Identity of this process: the digest of its program, and a name that is unique to the process."""

    build: str
    instance: str


@message
class IdleMemory:
    """The resident memory of this process before its first client, in bytes."""

    resident_bytes: int


@message
class ShutdownRequested:
    """The platform requested that this process end (SIGTERM)."""


@message
class ConfigFileRead:
    """The configuration file was read again (SIGHUP).

    ``data`` is the file's bytes, or None if it could not be read; ``reason`` is then the error.
    """

    path: str
    data: bytes | None
    reason: str = ""


@message
class OperatorFileRead:
    """The operator's file was read.

    Attributes:
        file: The parsed file; None if it has errors and must not be used.
        first_error: The first error in the file.
        error_count: Number of errors.
        digest: Digest of the file's bytes.
    """

    file: OperatorFile | None
    first_error: str = ""
    error_count: int = 0
    digest: str = ""


# Timers ---------------------------------------------------------------------------------------------------


@message
class TimerFired:
    """A scheduled timer has expired."""

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
    | IdleMemory
    | ShutdownRequested
    | ConfigFileRead
    | OperatorFileRead
    | ControlRequest
    | PredecessorState
    | PredecessorFeed
    | PredecessorSettings
    | PredecessorEnded
    | ProcessIdentity
    | ProcessStalled
)
