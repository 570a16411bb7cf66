"""Effects that the reducer requests; the event loop performs them in the order of the list.

No codec's field names appear here.  Names that end in ``_ns`` are Unix times or durations in nanoseconds.
"""

from __future__ import annotations

from kelpcroft.core.inputs import AcceptedConfig, FeedRecord, ReplacedSettings
from kelpcroft.core.messages import Body, TimerKey, message

# To clients -----------------------------------------------------------------------------------------------


@message
class SendResponse:
    """Final response: served; with ``not_modified`` the copy that the client holds is current."""

    client: int
    request_number: int
    body: Body
    not_modified: bool


@message
class RejectRequest:
    """Final response: rejected; a retry is harmless, after ``retry_after_ns`` if that is above 0."""

    client: int
    request_number: int
    retry_after_ns: int


@message
class FailRequest:
    """Final response: failed; a retry may execute the request a second time."""

    client: int
    request_number: int


@message
class SendHealth:
    """Response to a HealthRequest."""

    client: int
    request_number: int
    is_ready: bool


@message
class CloseClient:
    """Close a client's connection."""

    client: int
    reason: str


@message
class DrainClients:
    """Start or stop a drain: close each client once no response and no partly read message is pending."""

    is_enabled: bool


@message
class StopAccepting:
    """Accept no more client connections."""


# To servers -----------------------------------------------------------------------------------------------


@message
class OpenServerConnection:
    """Open a connection to a server at ``host:port``."""

    connection: int
    address: str


@message
class SendAttempt:
    """Send an attempt.

    Attributes:
        connection: Number of an established connection.
        attempt_id: The request's trace id.
        request_class: Name of the request's class.
        object_id: The object, unchanged from the client's request.
        part_id: The part of the object, unchanged from the client's request.
        timeout_ms: How long the server may take to respond.
        source: Server that a miss is filled from; "" = no fill.
        retention_rank: How long the server should keep the copy; 0 = not at all.
        max_age_ms: Maximum age of a copy that may be served; 0 = the freshness lifetime of the class.
        join_fill: Wait for a fill of the same part that is in progress.
        cached_only: The fill source serves only a copy that it already holds.
        no_parent_copy: The parent keeps no copy of the data that it forwards.
        refresh_in_background: Serve an ageing copy and refresh it in the background.
        etag: ETag of the copy that the client holds; "" = none.
        body: Unchanged from the client's request.
        idempotency_key: Unchanged from the client's request; "" = none.
    """

    connection: int
    attempt_id: str
    request_class: str
    object_id: str
    part_id: str
    timeout_ms: int
    source: str
    retention_rank: int
    max_age_ms: int
    join_fill: bool
    cached_only: bool
    no_parent_copy: bool
    refresh_in_background: bool
    etag: str
    body: Body
    idempotency_key: str = ""


@message
class CancelAttempt:
    """Cancel a sent attempt at its server."""

    connection: int
    attempt_id: str


@message
class SendHealthCheck:
    """Send a health check, which requests the server's load."""

    connection: int
    attempt_id: str


@message
class CloseServerConnection:
    """Close a connection to a server."""

    connection: int


# To the feed ----------------------------------------------------------------------------------------------


@message
class SendWatchRequest:
    """Send the feed a watch request for the events after a given event.

    Attributes:
        after_event: Number of the given event.
        wait_ms: How long the feed may wait for further events before it responds.
        response_timeout_ns: How long the feed may be silent after that wait, or within its response.
        log_fingerprint: Log fingerprint at the given event, for a control replica; None = the feed is not a
            control replica.
    """

    after_event: int
    wait_ms: int = 1_000
    response_timeout_ns: int = 400_000_000
    log_fingerprint: str | None = None


@message
class SwitchFeed:
    """Disconnect from the feed, and use another address for it from now on."""

    address: tuple[str, int]


# To the process -------------------------------------------------------------------------------------------


@message
class ScheduleTimer:
    """Deliver TimerFired with this key at the time ``at_ns``."""

    at_ns: int
    key: TimerKey


@message
class LogEvent:
    """A log event for operators: its name, a message, a level and its fields."""

    event: str
    text: str
    level: str  # "info" or "warning"
    fields: dict[str, object]


@message
class ControlResponse:
    """Response to a control request.

    Attributes:
        control_client: Number of the control client's connection.
        ok: Whether the request succeeded.
        fields: The fields of the JSON body.
    """

    control_client: int
    ok: bool
    fields: dict[str, object]


@message
class PersistServiceState:
    """Store the service state for the router's successor process (an upgrade).

    Attributes:
        is_in_service: True = in service, False = drained by an operator.
        since_ns: When that state began.
        ended_at_ns: When this process ends, if that is now; 0 = it continues.
        shutdown_began_ns: With ``ended_at_ns``: when SIGTERM was received.
    """

    is_in_service: bool
    since_ns: int
    ended_at_ns: int = 0
    shutdown_began_ns: int = 0


@message
class ReadPredecessorState:
    """Read the predecessor's record of its end; if there is one, deliver PredecessorEnded."""


@message
class PersistFeedRecord:
    """Store what this process knows from the feed for the router's successor process (an upgrade)."""

    record: FeedRecord


@message
class TouchFeedRecord:
    """Mark the stored feed record as that of a running process."""


@message
class ReadPredecessorFeed:
    """Read the feed record of the predecessor; if there is one, deliver PredecessorFeed."""


@message
class PersistReplacedSettings:
    """Store the settings that this process replaced last, for the router's successor process (an upgrade)."""

    replaced: tuple[ReplacedSettings, ...]


@message
class PersistAcceptedConfig:
    """Store the configuration that this process accepted last, for the router's successor process."""

    accepted: AcceptedConfig


@message
class SetStateEndpoint:
    """Start or stop serving the state on the control address; the first start delivers ProcessIdentity."""

    is_enabled: bool


@message
class LimitUnsentOutput:
    """Bound the memory of output that sockets have not accepted."""

    byte_count: int


@message
class Exit:
    """Flush all pending output, then exit with status 0."""


Effect = (
    SendResponse
    | RejectRequest
    | FailRequest
    | SendHealth
    | CloseClient
    | OpenServerConnection
    | SendAttempt
    | CancelAttempt
    | SendHealthCheck
    | CloseServerConnection
    | SendWatchRequest
    | SwitchFeed
    | ScheduleTimer
    | LogEvent
    | StopAccepting
    | ControlResponse
    | PersistServiceState
    | ReadPredecessorState
    | PersistFeedRecord
    | TouchFeedRecord
    | ReadPredecessorFeed
    | PersistReplacedSettings
    | PersistAcceptedConfig
    | SetStateEndpoint
    | DrainClients
    | LimitUnsentOutput
    | Exit
)
