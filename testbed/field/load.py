"""Clients that send requests to a field's routers."""

from __future__ import annotations

import secrets
import socket
import threading
import time
from collections import Counter
from typing import TYPE_CHECKING

from testbed.field.contract import SLACK_NS, ClientRequest
from testbed.router_process import RouterClient
from testbed.stand_ins import MAX_WAIT_S

if TYPE_CHECKING:
    from testbed.field.field import RouterField
    from testbed.field.node import RouterNode

SIZE_KB = 20.0  # size that every request declares
REQUEST_TIMEOUT_MS = 2_000
RESPONSE_TIMEOUT_S = 5
CONNECT_TIMEOUT_S = 2
OBJECTS_PER_CLIENT = 50  # which the client requests in turn
NO_ROUTER_WAIT_S = 0.1  # wait of a client that could connect to no router, before it tries again
REQUESTS_BEFORE_RETURN = 10  # a client at another router tries its own again after so many requests


class ClientLoad:
    """One client for each router; while that router is down it uses another of the zone. A context manager.

    ``counts`` counts responses by kind. Its ``lost`` counts requests that a router had accepted and that got
    no response, because their connection ended or timed out first. A request that was sent while the router
    closed the connection is not counted if it got a response when it was sent again on a new connection.
    """

    def __init__(self, field: RouterField, per_s: float = 25.0, order_every: int = 0) -> None:
        """Create the clients; entering the context starts them.

        Args:
            field: The field whose routers receive the requests.
            per_s: Requests a second of each client, if responses took no time.
            order_every: One in so many requests is an order, which must not run twice; 0 = none.
        """
        self.field = field
        self.interval_s = 1 / per_s
        self.order_every = order_every
        self.requests: list[ClientRequest] = []
        self.counts: Counter[str] = Counter()
        self._sent_during_close: list[ClientRequest] = []
        self._stop = threading.Event()
        self._threads = [
            threading.Thread(target=self._drive, args=(node, n), daemon=True)
            for n, node in enumerate(field.nodes.values())
        ]

    def __enter__(self) -> ClientLoad:
        for thread in self._threads:
            thread.start()
        return self

    def __exit__(self, *_: object) -> None:
        self._stop.set()
        for thread in self._threads:
            thread.join(MAX_WAIT_S)
        # A request that was sent while the router closed the connection, and that got a response when it was
        # sent again, was never accepted. Only this thread removes requests, after all clients have ended: a
        # removal by one client's thread could shift the list while another thread searches it.
        sent_during_close_ids = set(map(id, self._sent_during_close))
        self.requests = [request for request in self.requests if id(request) not in sent_during_close_ids]

    def _connect(self, node: RouterNode) -> tuple[RouterClient | None, bool]:
        """A connection to this router or else to another of its zone, and whether it is to this router."""
        others = [n for n in self.field.nodes.values() if n.zone == node.zone and n is not node]
        for candidate in (node, *others):
            try:
                sock = socket.create_connection(candidate.address, CONNECT_TIMEOUT_S)
            except OSError:
                continue
            return RouterClient(sock), candidate is node
        return None, False

    def _drive(self, node: RouterNode, number: int) -> None:
        """Send requests until stopped; runs in one client's thread."""
        client: RouterClient | None = None
        is_own = False
        request_count = 0
        while not self._stop.is_set():
            if client is None or (not is_own and request_count % REQUESTS_BEFORE_RETURN == 0):
                if client:
                    client.sock.close()
                client, is_own = self._connect(node)
            if client is None:
                self.counts["no router"] += 1
                time.sleep(NO_ROUTER_WAIT_S)
                continue
            request_count += 1
            cls = "order" if self.order_every and request_count % self.order_every == 0 else "page"
            object_id = f"{number:08x}{request_count % OBJECTS_PER_CLIENT:08x}"
            client, is_own = self._send_with_retry(node, client, is_own, cls, object_id)
            time.sleep(self.interval_s)

    def _send_with_retry(
        self, node: RouterNode, client: RouterClient, is_own: bool, cls: str, object_id: str
    ) -> tuple[RouterClient | None, bool]:
        """Send one request, and again on a new connection if the first ends.

        Returns:
            The connection to use from now on, and whether it is to the client's own router.
        """
        current: RouterClient | None = client
        for is_retry in (False, True):
            assert current is not None
            request = ClientRequest(
                secrets.token_hex(8), cls, object_id, time.monotonic_ns(), REQUEST_TIMEOUT_MS, SIZE_KB
            )
            self.requests.append(request)
            try:
                self._exchange(current, request, is_retry=is_retry)
                break
            except TimeoutError:
                self.counts["lost"] += 1
                return None, is_own
            except OSError:
                request.connection_ended = True
                current, is_own = self._connect(node)
                if is_retry or current is None:
                    self.counts["lost"] += 1
                    break
                if time.monotonic_ns() - request.at_ns < SLACK_NS:
                    self._sent_during_close.append(request)
        return current, is_own

    def _exchange(self, client: RouterClient, request: ClientRequest, *, is_retry: bool) -> None:
        """Send a request and record its response."""
        client.sock.settimeout(RESPONSE_TIMEOUT_S)
        client.send_request(
            request.cls,
            request.patience_ms,
            request.object,
            retry=is_retry,
            trace=request.trace,
            body=b"x" if request.cls == "order" else b"",
            more={"size": f"{request.size_kb:g}"},
        )
        response = next(client.responses(1))
        request.responses.append((time.monotonic_ns(), response.kind))
        self.counts[response.kind] += 1
