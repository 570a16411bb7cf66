"""What clients' connections bring: requests, cancellations, health requests, and their own ends."""

from __future__ import annotations

from kelpcroft.core.attempts import Attempts
from kelpcroft.core.client_requests import ClientRequests
from kelpcroft.core.effects import SendHealth
from kelpcroft.core.endpoint_list import EndpointList
from kelpcroft.core.inputs import (
    CancelRequest,
    ClientConnected,
    ClientDisconnected,
    ClientRequest,
    HealthRequest,
)
from kelpcroft.core.process_status import ProcessStatus
from kelpcroft.core.state import OpenRequest, State


class Clients:
    """Takes clients' inputs, as far as the process takes clients."""

    def __init__(
        self,
        state: State,
        process: ProcessStatus,
        requests: ClientRequests,
        attempts: Attempts,
        endpoint_list: EndpointList,
    ) -> None:
        self.state = state
        self.process = process
        self.requests = requests
        self.attempts = attempts
        self.endpoint_list = endpoint_list

    def on_request(self, message: ClientRequest) -> None:
        """A client's request has come."""
        if self.process.service_state.admits_requests(self.state.now):
            self.requests.on_request(message)
        else:
            self.requests.reject(message, "sent away")

    def on_cancel(self, message: CancelRequest) -> None:
        """A client has stopped waiting for a request."""
        open_here = self.state.requests_by_client.get(message.client, {})
        request = open_here.get(message.request_number)
        if request is not None:
            self.state.counters["cancelled by client"] += 1
            self.abandon(request)

    def on_connected(self, message: ClientConnected) -> None:
        """A client's connection was taken."""
        self.process.clients.add(message.client)

    def on_disconnected(self, message: ClientDisconnected) -> None:
        """A client's connection has ended: its open requests are abandoned."""
        self.process.clients.discard(message.client)
        for request in list(self.state.requests_by_client.get(message.client, {}).values()):
            self.abandon(request)
        self.state.requests_by_client.pop(message.client, None)

    def abandon(self, request: OpenRequest) -> None:
        """A client has stopped waiting: nothing further begins, wherever cancelling is allowed or not."""
        self.requests.client_disconnected(request)
        self.attempts.abandon(request)

    def on_health_request(self, message: HealthRequest) -> None:
        """A client asks whether this router is ready."""
        reason = self.process.not_ready_reason(self.endpoint_list.has_list)
        self.state.effects.append(SendHealth(message.client, message.request_number, not reason))
