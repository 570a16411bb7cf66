"""Encoding and sending of the reducer's final responses to clients."""

from __future__ import annotations

from kelpcroft.core import effects
from kelpcroft.net import client_codec
from kelpcroft.net.client_connections import ClientConnections


class ClientResponses:
    """Encodes responses; a response to a client that has disconnected is dropped."""

    def __init__(self, clients: ClientConnections) -> None:
        self.clients = clients

    def send_response(self, effect: effects.SendResponse) -> None:
        """Sends the response to a request that was served.

        If there is no memory for the response of a client that does not read the ones before it, the client
        receives a failure in its place.
        """
        client = self.clients.open.get(effect.client)
        if client is None:
            return
        if not self.clients.memory.has_room_for_response(client, len(effect.body)):
            self.clients.send(effect.client, (client_codec.encode_failure(effect.request_number),))
            return
        chunks = client_codec.encode_response(effect.request_number, effect.body, effect.not_modified)
        self.clients.send(effect.client, chunks)

    def reject_request(self, effect: effects.RejectRequest) -> None:
        """Sends the rejection of a request; a retry is safe."""
        response = client_codec.encode_rejection(effect.request_number, effect.retry_after_ns)
        self.clients.send(effect.client, (response,))

    def fail_request(self, effect: effects.FailRequest) -> None:
        """Sends the failure of a request."""
        self.clients.send(effect.client, (client_codec.encode_failure(effect.request_number),))

    def send_health(self, effect: effects.SendHealth) -> None:
        """Sends the response to a client's health request: whether this router is ready."""
        response = client_codec.encode_health(effect.request_number, effect.is_ready)
        self.clients.send(effect.client, (response,))
