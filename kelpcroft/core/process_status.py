"""Status of the process: its identity, and its readiness for health requests and the control address."""

from __future__ import annotations

from kelpcroft.core.inputs import ProcessIdentity
from kelpcroft.core.service_state import ServiceMode, ServiceState


class ProcessStatus:
    """Properties of the process that several components of the core read.

    Attributes:
        service_state: In service, drained by an operator, or shutting down.
        identity: Digest of the program and the process's own name; empty until SetStateEndpoint requests it.
        operator_file_digest: Digest of the operator's file in use; "" if there is none.
        started_ns: When the process started.
        is_listening: Clients can connect.
        awaits_feed: The process delays its readiness until the list service responds, in an upgrade.
        clients: Numbers of the open client connections.
    """

    def __init__(self, service_state: ServiceState) -> None:
        self.service_state = service_state
        self.identity = ProcessIdentity("", "")
        self.operator_file_digest = ""
        self.started_ns = 0
        self.is_listening = False
        self.awaits_feed = False
        self.clients: set[int] = set()

    @property
    def is_shutting_down(self) -> bool:
        """Whether SIGTERM was received."""
        return self.service_state.mode is ServiceMode.ENDING

    def not_ready_reason(self, has_endpoint_list: bool) -> str:
        """Why the process is not ready for clients now, or "" if it is ready.

        The texts are on the wire of the control address.
        """
        if self.is_shutting_down:
            return "ending"
        if self.service_state.mode is ServiceMode.OUT_OF_SERVICE:
            return "out of service"
        if not self.is_listening:
            return "not listening yet"
        if not has_endpoint_list:
            return "no list of servers yet"
        if self.awaits_feed:
            return "no response of the list service yet"
        return ""
