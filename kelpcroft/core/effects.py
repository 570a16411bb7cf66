"""What the reducer asks for: all that may leave the process or be kept by it.

No codec's field names appear here.  Names that end in ``_ns`` are nanoseconds of the Unix clock.
"""

from __future__ import annotations

from typing import Union

from kelpcroft.core.messages import Body, TimerKey, message


@message
class SendResponse:
    """Final answer: served; ``same`` tells the client that the copy it holds is the one."""

    client: int
    request_number: int
    body: Body
    not_modified: bool


@message
class RejectRequest:
    """Final answer: refused; trying again is harmless, after ``pause_ns`` if that is above 0."""

    client: int
    request_number: int
    retry_after_ns: int


@message
class FailRequest:
    """Final answer: failed."""

    client: int
    request_number: int


@message
class SendHealth:
    """Answer to AskHealth."""

    client: int
    request_number: int
    is_ready: bool


@message
class CloseClient:
    """Close a client's connection."""

    client: int
    reason: str


@message
class OpenServerConnection:
    """Open a connection to a server."""

    connection: int
    address: str


@message
class SendAttempt:
    """Send an attempt."""

    connection: int
    attempt_id: str
    request_class: str
    object_id: str
    part_id: str
    timeout_ms: int
    source: str  # "" = no fill
    retention_rank: int
    max_age_ms: int  # 0 = the fresh time of the class
    join_fill: bool
    cache_only: bool
    no_parent_copy: bool
    refresh_behind: bool
    etag: str
    body: Body
    idempotency_key: str = ""


@message
class CancelAttempt:
    """Give an attempt up."""

    connection: int
    attempt_id: str


@message
class SendHealthCheck:
    """Send a probe."""

    connection: int
    attempt_id: str


@message
class CloseServerConnection:
    """Close a connection to a server."""

    connection: int


@message
class PollFeed:
    """Ask the feed for what comes after an event."""

    after_event: int
    wait_ms: int = 1_000  # how long the feed may wait for news before it answers
    response_timeout_ns: int = 400_000_000  # past that, its answer has begun by then, and goes on so soon
    log_fingerprint: str | None = None  # of that event, for a control replica; None = the feed is no such


@message
class SwitchFeed:
    """Leave the feed where it is, and find it at another address from now on."""

    address: tuple[str, int]


@message
class ScheduleTimer:
    """Say Due at a time."""

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
class StopAccepting:
    """Take no new connections."""


@message
class ControlResponse:
    """The answer to a call on the control address: yes or no, and what is said with it."""

    caller: int
    ok: bool
    fields: dict[str, object]


@message
class PersistServiceState:
    """Leave the state of service for the router's next process (an upgrade)."""

    is_in_service: bool
    since_ns: int
    ended_at_ns: int = 0  # this process ends now
    shutdown_began_ns: int = 0  # with an end: when it was told to


@message
class ReadPredecessorState:
    """Has the process beside this one left word of its end?  If so, tell Ended."""


@message
class SetStateEndpoint:
    """Take calls for the state on the control address from now on, or not; the first time, tell Identity."""

    is_enabled: bool


@message
class DrainClients:
    """Let clients go once nothing is owed them and nothing of theirs is half read (a drain), or keep them."""

    is_enabled: bool


@message
class Exit:
    """Flush what is written, then end with success."""


Effect = Union[
    SendResponse,
    RejectRequest,
    FailRequest,
    SendHealth,
    CloseClient,
    OpenServerConnection,
    SendAttempt,
    CancelAttempt,
    SendHealthCheck,
    CloseServerConnection,
    PollFeed,
    SwitchFeed,
    ScheduleTimer,
    LogEvent,
    StopAccepting,
    ControlResponse,
    PersistServiceState,
    ReadPredecessorState,
    SetStateEndpoint,
    DrainClients,
    Exit,
]
