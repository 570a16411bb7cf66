"""Whether this process takes clients: in service, drained by a request on the control address, or ending.

Pure: the reducer hands it the time, it answers.  Times are Unix nanoseconds.

A drain and the end of a process that shares its listening socket go the same way.  At once the process says
it is not ready, and closes each client's connection once no answer is pending on it (the event loop does, on
the reducer's DrainClients); a request that crosses such a close is sent again by the client, elsewhere.
Requests that come on a connection that is still busy are served for a grace; after it they are refused, so
that by the time the platform counts (4 s after a drain, the SIGKILL after an end) no connection holds a new
request.
A drained process never exits; an ending one exits once nothing is open and no client is left, or after
MAX_SHUTDOWN_WAIT_NS.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

MS = 1_000_000
SECOND = 1_000 * MS
DRAIN_GRACE_NS = 1_500 * MS  # after a drain, new requests on kept connections are served for so long
SHUTDOWN_GRACE_NS = 700 * MS  # after SIGTERM beside another process: later ones could outlive the SIGKILL
MAX_SHUTDOWN_WAIT_NS = 2_500 * MS  # an ending process waits so long at most for its clients to go


class ServiceMode(Enum):
    """The values are on the wire of the control address."""

    IN_SERVICE = "in"  # takes clients
    OUT_OF_SERVICE = "out"  # drained: sends them away, stays to be taken back
    ENDING = "ending"  # SIGTERM: sends them away, then exits


@dataclass(slots=True)
class ServiceState:
    """The state of service of one process.

    Attributes:
        mode: The present mode.
        since_ns: When it began.
        shares_listener: The listening socket is shared with another process (``ROUTER_FD``).
        was_drained: An operator had it out of service when SIGTERM came.
    """

    mode: ServiceMode = ServiceMode.IN_SERVICE
    since_ns: int = 0
    shares_listener: bool = False
    was_drained: bool = False

    def drain(self, now: int) -> bool:
        """Go out of service; False where it was so already or is ending."""
        if self.mode is not ServiceMode.IN_SERVICE:
            return False
        self.mode = ServiceMode.OUT_OF_SERVICE
        self.since_ns = now
        return True

    def resume(self, now: int) -> bool:
        """Go in service again; False where it was so already, or is ending, which cannot be undone."""
        if self.mode is not ServiceMode.OUT_OF_SERVICE:
            return False
        self.mode = ServiceMode.IN_SERVICE
        self.since_ns = now
        return True

    def begin_shutdown(self, now: int) -> bool:
        """Begin to end (SIGTERM); False where that came before."""
        if self.mode is ServiceMode.ENDING:
            return False
        self.was_drained = self.mode is ServiceMode.OUT_OF_SERVICE
        self.mode = ServiceMode.ENDING
        self.since_ns = now
        return True

    @property
    def is_draining_clients(self) -> bool:
        """Whether clients' connections are to be closed once no answer is pending on them."""
        if self.mode is ServiceMode.OUT_OF_SERVICE:
            return True
        return self.mode is ServiceMode.ENDING and self.shares_listener

    def rejects_from_ns(self) -> int:
        """From when new requests on kept connections are refused; 0 while they are all taken."""
        if self.mode is ServiceMode.OUT_OF_SERVICE:
            return self.since_ns + DRAIN_GRACE_NS
        if self.mode is ServiceMode.ENDING and self.shares_listener:
            return self.since_ns + SHUTDOWN_GRACE_NS
        return 0

    def admits_requests(self, now: int) -> bool:
        """Whether a new request is taken rather than refused."""
        rejects_from_ns = self.rejects_from_ns()
        return not rejects_from_ns or now < rejects_from_ns

    def may_exit(self, now: int, open_requests: int, clients: int) -> bool:
        """Whether an ending process may go now.

        It may once nothing is open, and no client is left or waiting for them to go has taken long enough.
        A process that binds its own socket does not wait for clients: the platform sends none after its
        first SIGTERM, and kept ones are closed at the exit.
        """
        if self.mode is not ServiceMode.ENDING or open_requests:
            return False
        return not self.shares_listener or not clients or now - self.since_ns >= MAX_SHUTDOWN_WAIT_NS
