"""Acceptance of clients' connections, and eviction of idle clients when there is no room for new ones."""

from __future__ import annotations

import socket
from typing import Final

from kelpcroft.core import effects, inputs
from kelpcroft.net.client_connections import ClientConnection, ClientConnections
from kelpcroft.net.client_memory import enlarge_receive_buffer
from kelpcroft.net.listeners import LISTEN_QUEUE_LENGTH, Listener, bind_listener, listening_address
from kelpcroft.net.transport import (
    MAX_ACCEPTS_PER_ITERATION,
    OUT_OF_DESCRIPTORS_ERRORS,
    READABLE,
    SECOND,
    Transport,
)

# A client that connected or sent a message within this time is not evicted for a new one.
EVICTION_GRACE_NS: Final = SECOND // 10


class ClientAcceptor:
    """Accepts clients on their listening socket, and selects the client to evict for a new one."""

    def __init__(self, transport: Transport, listener: Listener, clients: ClientConnections) -> None:
        self.transport = transport
        self.listener = listener
        self.clients = clients

    def listen(self, sock: socket.socket | None) -> None:
        """Starts to accept clients on a given socket; None binds one at the configured address."""
        config = self.transport.config
        if sock is None:
            sock = bind_listener("listen", config.listen_address)
        self.listener.open(sock)
        address = listening_address(sock)
        listener_source = "bound" if config.inherited_listener_fd is None else "inherited"
        self.transport.log(
            "router.listens",
            f"{config.name} listens on {address} ({listener_source})",
            {"at": address, "socket": listener_source},
        )

    def accept(self) -> bool:
        """Accepts waiting clients, up to a limit per call; returns whether more may be waiting."""
        for _ in range(MAX_ACCEPTS_PER_ITERATION):
            if len(self.clients.open) >= self.clients.max_open and not self.evict_idle_client():
                self.listener.set_registered(False)
                return False
            try:
                sock = self.listener.accept()
            except BlockingIOError:
                return False
            except OSError as error:
                if not self._recover_from_failed_accept(error):
                    return False
                continue
            enlarge_receive_buffer(sock)
            number = self.transport.next_number()
            client = ClientConnection(self.clients, number, sock, self.transport.clock.now())
            self.clients.open[number] = client
            self.transport.set_interest(client, READABLE)
            self.transport.handle_input(inputs.ClientConnected(number))
        return True

    def _recover_from_failed_accept(self, error: OSError) -> bool:
        """Handles a failed accept; returns whether to try the next client."""
        is_out_of_descriptors = error.errno in OUT_OF_DESCRIPTORS_ERRORS
        if is_out_of_descriptors and self.free_descriptor():
            return True
        self.listener.log_failed_accept("accept", error)
        if is_out_of_descriptors:
            self.listener.set_registered(False)
            return False
        return True  # the failed connection has left the accept queue

    def stop_accepting(self, _effect: effects.StopAccepting) -> None:
        """Closes the listening socket.

        Clients in the accept queue are already connected, and the close of a socket bound by this process
        would reset them; they are accepted first.  On an inherited socket, another process accepts them.
        """
        if self.listener.sock is None:
            return
        if self.transport.config.inherited_listener_fd is None:
            for _ in range(LISTEN_QUEUE_LENGTH // MAX_ACCEPTS_PER_ITERATION):
                if not self.accept():
                    break
        self.listener.close()

    def evict_idle_client(self) -> bool:
        """Closes the connection of one idle client; returns whether there was one.

        Clients that have not sent a message are evicted first, the longest connected before the others; then
        the client whose last message is the oldest.
        """
        idle_before_ns = self.transport.clock.now() - EVICTION_GRACE_NS
        idle = [
            client
            for client in self.clients.open.values()
            if client.last_message_ns < idle_before_ns
            and not client.unread_since_ns
            and self.clients.is_idle(client)
        ]
        now = self.transport.clock.now()
        for client in sorted(idle, key=_eviction_order):
            if not client.has_unread_input() and client.read_estimate.has_read_all(now, client.sock):
                self.clients.close_gracefully(client)
                return True
        return False

    def free_descriptor(self) -> bool:
        """Frees a client's descriptor immediately; returns whether that was possible.

        A connection in a lingering close is closed first, otherwise that of an idle client.
        """
        lingering = self.clients.lingering
        if lingering.clients or self.evict_idle_client():
            lingering.close_oldest()
            return True
        return False


def _eviction_order(client: ClientConnection) -> tuple[bool, int]:
    return client.has_sent_message, client.last_message_ns
