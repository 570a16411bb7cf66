"""What the reducer asks for: the loop carries it out, in this order.

No codec's field names appear here.  Names that end in ``_ns`` are nanoseconds of the Unix clock, or spans.
"""

from __future__ import annotations

from kelpcroft.core.messages import Body, TimerKey, message

# To clients -----------------------------------------------------------------------------------------------


@message
class SendResponse:
    """Final answer: served; ``not_modified`` tells the client that the copy it holds is the one."""

    client: int
    request_number: int
    body: Body
    not_modified: bool


@message
class RejectRequest:
    """Final answer: refused; a retry is harmless, after ``retry_after_ns`` if that is above 0."""

    client: int
    request_number: int
    retry_after_ns: int


@message
class FailRequest:
    """Final answer: failed; nothing is promised of a retry."""

    client: int
    request_number: int


@message
class SendHealth:
    """Answer to HealthRequest."""

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
    """Close each client once it has no answer pending and nothing half read (a drain), or keep them."""

    is_enabled: bool


@message
class StopAccepting:
    """Take no new connections."""


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
        connection: An established one.
        attempt_id: The request's trace id.
        request_class: Name of its class.
        object_id: As it came.
        part_id: As it came.
        timeout_ms: How long the server may take.
        source: Server that a miss is filled from; "" = no fill.
        retention_rank: How long the server should keep the copy; 0 = not at all.
        max_age_ms: Oldest copy that will do; 0 = the fresh time of the class.
        join_fill: Wait for a fill of the same that is under way.
        cache_only: The source gives only what it holds.
        no_parent_copy: The parent keeps no copy of what it passes on.
        refresh_behind: Serve an ageing copy and fetch it anew behind.
        etag: Of the copy that the client holds; "" = none.
        body: As it came.
        idempotency_key: As it came; "" = none.
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
    cache_only: bool
    no_parent_copy: bool
    refresh_behind: bool
    etag: str
    body: Body
    idempotency_key: str = ""


@message
class CancelAttempt:
    """Give an attempt up at its server."""

    connection: int
    attempt_id: str


@message
class SendHealthCheck:
    """Ask a server for its load."""

    connection: int
    attempt_id: str


@message
class CloseServerConnection:
    """Close a connection to a server."""

    connection: int


# To the feed ----------------------------------------------------------------------------------------------


@message
class PollFeed:
    """Ask the feed for what comes after an event.

    Attributes:
        after_event: Its number.
        wait_ms: How long the feed may wait for news before it answers.
        response_timeout_ns: Past that wait, its answer has begun by then, and goes on so soon.
        log_fingerprint: Of that event, for a control replica; None = the feed is no such.
    """

    after_event: int
    wait_ms: int = 1_000
    response_timeout_ns: int = 400_000_000
    log_fingerprint: str | None = None


@message
class SwitchFeed:
    """Leave the feed where it is, and find it at another address from now on."""

    address: tuple[str, int]


# To the process -------------------------------------------------------------------------------------------


@message
class ScheduleTimer:
    """Deliver TimerFired with this key at a time."""

    at_ns: int
    key: TimerKey


@message
class LogEvent:
    """An event for the people on call: its name, a sentence, a level and what it is about."""

    event: str
    text: str
    level: str  # "info" or "warning"
    fields: dict[str, object]


@message
class ControlResponse:
    """The answer to a request on the control address: yes or no, and the fields of its JSON body."""

    caller: int
    ok: bool
    fields: dict[str, object]


@message
class PersistServiceState:
    """Leave the state of service for the router's next process (an upgrade).

    Attributes:
        is_in_service: Or drained by an operator.
        since_ns: Since then.
        ended_at_ns: This process ends now; 0 = it does not.
        shutdown_began_ns: With an end: when SIGTERM came.
    """

    is_in_service: bool
    since_ns: int
    ended_at_ns: int = 0
    shutdown_began_ns: int = 0


@message
class ReadPredecessorState:
    """Look for the predecessor's record of its end; if there is one, deliver PredecessorEnded."""


@message
class SetStateEndpoint:
    """Serve the state on the control address, or no more; the first time, deliver ProcessIdentity."""

    is_enabled: bool


@message
class Exit:
    """Flush what is written, then end with success."""


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
    | PollFeed
    | SwitchFeed
    | ScheduleTimer
    | LogEvent
    | StopAccepting
    | ControlResponse
    | PersistServiceState
    | ReadPredecessorState
    | SetStateEndpoint
    | DrainClients
    | Exit
)
