"""Takes clients' connections, and makes room for them where there is none."""

from __future__ import annotations

import socket
from typing import Final

from kelpcroft.core import effects, inputs
from kelpcroft.net.client_connections import ClientConnection, ClientConnections
from kelpcroft.net.listeners import LISTEN_QUEUE_LENGTH, Listener, bind_listener, listening_address
from kelpcroft.net.transport import MAX_ACCEPTS_PER_TURN, OUT_OF_DESCRIPTORS, READABLE, SECOND, Transport

# When clients are too many, one that sent a message so lately does not go for another.
EVICTION_GRACE_NS: Final = SECOND // 10


class ClientAcceptor:
    """The clients' listening socket, and who goes when another comes."""

    def __init__(self, transport: Transport, listener: Listener, clients: ClientConnections) -> None:
        self.transport = transport
        self.listener = listener
        self.clients = clients

    def listen(self, sock: socket.socket | None) -> None:
        """Takes clients on the socket that is given, or at the address that the configuration names."""
        config = self.transport.config
        if sock is None:
            sock = bind_listener("listen", config.listen_address)
        self.listener.open(sock)
        at = listening_address(sock)
        origin = "bound" if config.inherited_listener_fd is None else "inherited"
        self.transport.log(
            "router.listens",
            f"{config.name} listens on {at} ({origin})",
            {"at": at, "socket": origin},
        )

    def accept(self) -> bool:
        """Takes clients that wait; returns whether more may wait."""
        for _ in range(MAX_ACCEPTS_PER_TURN):
            if len(self.clients.open) >= self.clients.max_open and not self.evict_idle_client():
                self.listener.set_listening(False)
                return False
            try:
                sock = self.listener.accept()
            except BlockingIOError:
                return False
            except OSError as error:
                if not self._recover(error):
                    return False
                continue
            number = self.transport.next_number()
            client = ClientConnection(self.clients, number, sock, self.transport.clock.now())
            self.clients.open[number] = client
            self.transport.set_interest(client, READABLE)
            self.transport.handle_input(inputs.ClientConnected(number))
        return True

    def _recover(self, error: OSError) -> bool:
        """After a client could not be taken: whether the next may be."""
        is_out_of_descriptors = error.errno in OUT_OF_DESCRIPTORS
        if is_out_of_descriptors and self.free_descriptor():
            return True
        self.listener.log_failed_accept("accept", error)
        if is_out_of_descriptors:
            self.listener.set_listening(False)
            return False
        return True  # the one that waited has gone

    def stop_accepting(self, _effect: effects.StopAccepting) -> None:
        """Closes the listening socket.

        Whoever waits on one of our own has connected: the close would reset them, so they are taken first.
        On a shared one another process takes them.
        """
        if self.listener.sock is None:
            return
        if self.transport.config.inherited_listener_fd is None:
            for _ in range(LISTEN_QUEUE_LENGTH // MAX_ACCEPTS_PER_TURN):
                if not self.accept():
                    break
        self.listener.close()

    def evict_idle_client(self) -> bool:
        """Lets one client go for another; returns whether one went.

        The longest silent that never asked goes first, else the longest idle.
        """
        latest_ns = self.transport.clock.now() - EVICTION_GRACE_NS
        idle = [
            client
            for client in self.clients.open.values()
            if client.last_message_ns < latest_ns
            and not client.unread_since_ns
            and self.clients.is_idle(client)
        ]
        for client in sorted(idle, key=_eviction_order):
            if not client.has_unread_input():
                self.clients.close_gracefully(client)
                return True
        return False

    def free_descriptor(self) -> bool:
        """Frees a descriptor at once, if a client can go for it; returns whether one did.

        A client whose connection is being ended goes first, else one that rests.
        """
        lingering = self.clients.lingering
        if lingering.clients or self.evict_idle_client():
            lingering.close_oldest()
            return True
        return False


def _eviction_order(client: ClientConnection) -> tuple[bool, int]:
    return client.has_sent_message, client.last_message_ns
