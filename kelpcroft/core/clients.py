"""Inputs from client connections: requests, cancellations, health requests, connects and disconnects."""

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
    """Handles inputs from clients.  Requests are admitted only while the router is in service."""

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
        """Handle a client's request, or reject it while the router is out of service."""
        if self.process.service_state.admits_requests(self.state.now):
            self.requests.on_request(message)
        else:
            self.requests.reject(message, "sent away")

    def on_cancel(self, message: CancelRequest) -> None:
        """Handle a client's cancellation of a request."""
        requests_of_client = self.state.requests_by_client.get(message.client, {})
        request = requests_of_client.get(message.request_number)
        if request is not None:
            self.state.counters["cancelled by client"] += 1
            self.end_request(request)

    def on_connected(self, message: ClientConnected) -> None:
        """Record an accepted client connection."""
        self.process.clients.add(message.client)

    def on_disconnected(self, message: ClientDisconnected) -> None:
        """Handle the end of a client's connection: its open requests end without a response."""
        self.process.clients.discard(message.client)
        for request in list(self.state.requests_by_client.get(message.client, {}).values()):
            self.end_request(request)
        self.state.requests_by_client.pop(message.client, None)

    def end_request(self, request: OpenRequest) -> None:
        """End a request that its client no longer waits for.

        No further attempt is sent for it, even if the settings do not allow attempts in flight to be
        cancelled.
        """
        self.requests.finish_without_response(request)
        self.attempts.end_unsent(request)

    def on_health_request(self, message: HealthRequest) -> None:
        """Respond to a client's health request: whether this router is ready."""
        reason = self.process.not_ready_reason(self.endpoint_list.has_endpoint_list)
        self.state.effects.append(SendHealth(message.client, message.request_number, not reason))
