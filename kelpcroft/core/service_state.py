"""Service state of the process: in service, drained by a control request, or shutting down.

The module is pure: the current time is an argument.  Times are Unix nanoseconds.

A drain, and the shutdown of a process that shares its listening socket, close clients' connections in the
same way.  The process immediately reports that it is not ready, and closes each client's connection once no
response is pending on it (the event loop closes it, on the reducer's DrainClients effect).  A client whose
request crosses such a close sends the request again to another router.  Requests that arrive on a connection
that is still busy are served for a grace period and rejected after it.  So no new request is open when the
platform counts them, 4 s after a drain or at the SIGKILL that ends a shutdown.

A drained process never exits.  A process that is shutting down exits once no request is open; on a shared
listening socket it also waits until no client is connected, for MAX_SHUTDOWN_WAIT_NS at most.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

MS = 1_000_000
SECOND = 1_000 * MS
DRAIN_GRACE_NS = 1_500 * MS  # how long after a drain new requests on open connections are still served
# How long after SIGTERM a process on a shared listening socket still serves new requests on open connections.
# Requests accepted later could still be open at the SIGKILL.
SHUTDOWN_GRACE_NS = 700 * MS
MAX_SHUTDOWN_WAIT_NS = 2_500 * MS  # how long a shutdown waits at most for clients to disconnect


class ServiceMode(Enum):
    """Mode of a service state.  The values are on the wire of the control address."""

    IN_SERVICE = "in"  # accepts clients
    OUT_OF_SERVICE = "out"  # drained: closes clients' connections, and keeps running until it is resumed
    ENDING = "ending"  # SIGTERM was received: closes clients' connections, then exits


@dataclass(slots=True)
class ServiceState:
    """The service state of one process.

    Attributes:
        mode: The current mode.
        since_ns: When the current mode began.
        shares_listener: The listening socket is shared with another process (``ROUTER_FD``).
        was_drained: The process was out of service when it received SIGTERM.
    """

    mode: ServiceMode = ServiceMode.IN_SERVICE
    since_ns: int = 0
    shares_listener: bool = False
    was_drained: bool = False

    def drain(self, now: int) -> bool:
        """Go out of service; returns False if the process is not in service."""
        if self.mode is not ServiceMode.IN_SERVICE:
            return False
        self.mode = ServiceMode.OUT_OF_SERVICE
        self.since_ns = now
        return True

    def resume(self, now: int) -> bool:
        """Go in service again; returns False if the process is in service or shuts down.

        A shutdown cannot be undone.
        """
        if self.mode is not ServiceMode.OUT_OF_SERVICE:
            return False
        self.mode = ServiceMode.IN_SERVICE
        self.since_ns = now
        return True

    def begin_shutdown(self, now: int) -> bool:
        """Begin the shutdown (SIGTERM); returns False if it began before."""
        if self.mode is ServiceMode.ENDING:
            return False
        self.was_drained = self.mode is ServiceMode.OUT_OF_SERVICE
        self.mode = ServiceMode.ENDING
        self.since_ns = now
        return True

    @property
    def is_draining_clients(self) -> bool:
        """Whether a client's connection is to be closed once no response is pending on it."""
        if self.mode is ServiceMode.OUT_OF_SERVICE:
            return True
        return self.mode is ServiceMode.ENDING and self.shares_listener

    def rejects_from_ns(self) -> int:
        """When new requests on open connections begin to be rejected; 0 while all are admitted."""
        if self.mode is ServiceMode.OUT_OF_SERVICE:
            return self.since_ns + DRAIN_GRACE_NS
        if self.mode is ServiceMode.ENDING and self.shares_listener:
            return self.since_ns + SHUTDOWN_GRACE_NS
        return 0

    def admits_requests(self, now: int) -> bool:
        """Whether a new request is admitted; it is rejected otherwise."""
        rejects_from_ns = self.rejects_from_ns()
        return not rejects_from_ns or now < rejects_from_ns

    def may_exit(self, now: int, open_requests: int, clients: int) -> bool:
        """Whether a process that is shutting down may exit now.

        It may exit once no request is open and either no client is connected or MAX_SHUTDOWN_WAIT_NS has
        passed.  A process that bound its own socket does not wait for clients: the platform sends none after
        its first SIGTERM, and the exit closes the open connections.
        """
        if self.mode is not ServiceMode.ENDING or open_requests:
            return False
        return not self.shares_listener or not clients or now - self.since_ns >= MAX_SHUTDOWN_WAIT_NS
