"""The final answers that the reducer gives clients, as bytes on their connections."""

from __future__ import annotations

from kelpcroft.core import effects
from kelpcroft.net import client_codec
from kelpcroft.net.client_connections import ClientConnections


class ClientResponses:
    """Encodes answers; one whose client has left by now is dropped."""

    def __init__(self, clients: ClientConnections) -> None:
        self.clients = clients

    def send_response(self, effect: effects.SendResponse) -> None:
        """A request was served."""
        pieces = client_codec.encode_response(effect.request_number, effect.body, effect.not_modified)
        self.clients.send(effect.client, pieces)

    def reject_request(self, effect: effects.RejectRequest) -> None:
        """A request was rejected; trying again is harmless."""
        answer = client_codec.encode_rejection(effect.request_number, effect.retry_after_ns)
        self.clients.send(effect.client, (answer,))

    def fail_request(self, effect: effects.FailRequest) -> None:
        """A request has failed."""
        self.clients.send(effect.client, (client_codec.encode_failure(effect.request_number),))

    def send_health(self, effect: effects.SendHealth) -> None:
        """A client asked whether this router is ready."""
        answer = client_codec.encode_health(effect.request_number, effect.is_ready)
        self.clients.send(effect.client, (answer,))
