"""Crowds of clients that make a router hold memory, and clients that behave beside them.

A ``Crowd`` drives hundreds of connections from one thread: each sends its bytes at a given pace, reads its
responses or leaves them unread, and stays open until the crowd ends.  ``BehavingClients`` send small and
large requests, one at a time, and record how each of them ended.
"""

from __future__ import annotations

import random
import secrets
import selectors
import socket
import threading
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import msgpack

from testbed.router_process import RouterClient
from testbed.stand_ins import ScriptedResponse, ServerCommand

Address = tuple[str, int]

CLIENTS = 340  # a third of 1,024 descriptors, which clients may hold
MAX_BODY_BYTES = 48_000  # the largest body of a request
SMALL_BODY_BYTES = 1_500
SHORT_BODY_BYTES = 100  # of the small requests of behaving clients
OBJECT_BYTES = 240_000  # the largest object
REQUESTS_PER_CLIENT = 31
PIECES = 48  # pieces of a request that is written slowly
HOLD_S = 2.4  # how long a crowd lasts
SLOW_WRITE_S = 1.5  # a request that is written slowly is complete after this
PATIENCE_MS = 1_500
SILENT_OBJECT = "5111e00000000000"  # servers never respond to requests for it
LARGE_OBJECT = "1a49e00000000000"  # its response has OBJECT_BYTES
CUT_OBJECT = "c070000000000000"  # servers send half of a response of OBJECT_BYTES
READ_BYTES = 1 << 16
# A request without a response after this counts as unanswered, also on a busy machine.
ANSWER_TIMEOUT_S = 12.0
CROSSING_S = 0.05  # a request that crosses the close of an idle connection by less is sent again, once
PAUSE_S = 0.03  # between two requests of a behaving client


def crowd_server(server: str, command: ServerCommand) -> ScriptedResponse:  # noqa: ARG001 - a ServerScript
    """Respond as the requested object says: never, with many bytes, with a cut response, or at once."""
    item = command.fields.get("item")
    if item == SILENT_OBJECT:
        return ScriptedResponse("silent")
    if item == LARGE_OBJECT:
        return ScriptedResponse(body=b"x" * OBJECT_BYTES)
    if item == CUT_OBJECT:
        return ScriptedResponse("cut", body=b"x" * OBJECT_BYTES)
    return ScriptedResponse(body=b"served")


def encode_request(
    number: int, trace: int, object_id: str, body_bytes: int, patience_ms: int = PATIENCE_MS
) -> bytes:
    """Encode a request of the class ``page``."""
    fields = {
        "trace": f"{trace:016x}",
        "patience": str(patience_ms),
        "entity": object_id,
        "block": "0",
        "family": "17",
    }
    return bytes(msgpack.packb([0, number, "page", [fields, bytes(body_bytes)]]))


def encode_requests(first_trace: int, object_id: str, body_bytes: int) -> bytes:
    """Encode as many requests as one client may have open, less one; without an id, each of a new object."""
    return b"".join(
        encode_request(number, first_trace + number, object_id or f"{first_trace + number:016x}", body_bytes)
        for number in range(1, REQUESTS_PER_CLIENT + 1)
    )


@dataclass
class Plan:
    """What one client of a crowd does.

    Attributes:
        data: The bytes that it sends.
        write_s: Over how long it sends them, in PIECES pieces; 0 = at once.
        requests: The number of complete requests in ``data``.
        reads: Whether it reads its responses.
    """

    data: bytes
    write_s: float = 0.0
    requests: int = 0
    reads: bool = True


def _many_short_fields() -> bytes:
    fields: bytes = msgpack.packb({f"{number:x}": "" for number in range(64)})
    return b"\x94\x00\x01\xa4page\xdc\x04\x00" + fields * (60_000 // len(fields))


PLANS: dict[str, Callable[[int], Plan]] = {
    "half": lambda trace: Plan(encode_request(1, trace, SILENT_OBJECT, MAX_BODY_BYTES)[:24_000]),
    "slow": lambda trace: Plan(encode_request(1, trace, SILENT_OBJECT, MAX_BODY_BYTES)[:-1], HOLD_S),
    "slow-complete": lambda trace: Plan(
        encode_request(1, trace, "7f3a9c21e0b4d655", MAX_BODY_BYTES), SLOW_WRITE_S, 1
    ),
    "fields": lambda _: Plan(_many_short_fields()),
    "large-requests": lambda trace: Plan(
        encode_requests(trace, SILENT_OBJECT, MAX_BODY_BYTES), 0.0, REQUESTS_PER_CLIENT
    ),
    "small-requests": lambda trace: Plan(
        encode_requests(trace, SILENT_OBJECT, SMALL_BODY_BYTES), 0.0, REQUESTS_PER_CLIENT
    ),
    "bodiless-requests": lambda trace: Plan(
        encode_requests(trace, SILENT_OBJECT, 0), 0.0, REQUESTS_PER_CLIENT
    ),
    "new-objects": lambda trace: Plan(encode_requests(trace, "", 0), 0.0, REQUESTS_PER_CLIENT),
    "unread-responses": lambda trace: Plan(
        encode_requests(trace, LARGE_OBJECT, 0), 0.0, REQUESTS_PER_CLIENT, reads=False
    ),
    "large-responses": lambda trace: Plan(encode_requests(trace, LARGE_OBJECT, 0), 0.0, REQUESTS_PER_CLIENT),
    "cut-responses": lambda trace: Plan(encode_requests(trace, CUT_OBJECT, 0), 0.0, REQUESTS_PER_CLIENT),
}
KINDS = tuple(PLANS)


@dataclass(eq=False)
class CrowdClient:
    """One connection of a crowd."""

    sock: socket.socket
    plan: Plan
    sent_bytes: int = 0
    responses: int = 0
    is_closed: bool = False  # the router has closed the connection
    unpacker: Any = field(default_factory=lambda: msgpack.Unpacker(raw=False, max_buffer_size=1 << 24))


@dataclass
class CrowdResult:
    """How the requests of a crowd ended.

    Attributes:
        complete: Requests that were written completely, by clients that read their responses.
        answered: Those with a final response.
        unanswered: Those whose client waited until the end of the crowd without one.
        closed: Those whose connection the router closed without one.
    """

    complete: int = 0
    answered: int = 0
    unanswered: int = 0
    closed: int = 0


class Crowd:
    """Hundreds of connections of given kinds.  ``run`` connects, sends, holds and closes them."""

    def __init__(self, address: Address, kinds: tuple[str, ...], seed: int, clients: int = CLIENTS) -> None:
        """``kinds``: the kinds of the clients, in turn."""
        self.address = address
        self.random = random.Random(seed)
        first_trace = self.random.getrandbits(48) << 16
        self.plans = [
            PLANS[kinds[index % len(kinds)]](first_trace + (index << 6)) for index in range(clients)
        ]
        self.clients: list[CrowdClient] = []
        self.selector = selectors.DefaultSelector()

    def run(self, hold_s: float = HOLD_S) -> CrowdResult:
        """Run the crowd for ``hold_s`` after its last connect, and until its requests are answered."""
        if not self.clients:
            self.connect()
        started_s = time.monotonic()
        end_s = started_s + hold_s + ANSWER_TIMEOUT_S
        while time.monotonic() < end_s:
            elapsed_s = time.monotonic() - started_s
            if elapsed_s > hold_s and not self.result().unanswered:
                break
            for key, _ in self.selector.select(0.02):
                self._read(key.data)
            for client in self.clients:
                self._write(client, elapsed_s)
        result = self.result()
        self.close()
        return result

    def connect(self) -> None:
        """Open the connections; the kernel completes them also before the router accepts."""
        for plan in self.plans:
            sock = socket.create_connection(self.address, 10)
            sock.setblocking(False)
            client = CrowdClient(sock, plan)
            self.clients.append(client)
            if plan.reads:
                self.selector.register(sock, selectors.EVENT_READ, client)

    def close(self) -> None:
        """Close all connections."""
        for client in self.clients:
            client.sock.close()
        self.selector.close()

    def _write(self, client: CrowdClient, elapsed_s: float) -> None:
        plan = client.plan
        due_bytes = len(plan.data)
        if plan.write_s:
            pieces_due = min(PIECES, 1 + int(PIECES * elapsed_s / plan.write_s))
            due_bytes = due_bytes * pieces_due // PIECES
        if client.is_closed or client.sent_bytes >= due_bytes:
            return
        try:
            client.sent_bytes += client.sock.send(plan.data[client.sent_bytes : due_bytes])
        except BlockingIOError:
            return
        except OSError:
            client.is_closed = True

    def _read(self, client: CrowdClient) -> None:
        try:
            data = client.sock.recv(READ_BYTES)
        except OSError:
            data = b""
        if not data:
            client.is_closed = True
            self.selector.unregister(client.sock)
            return
        client.unpacker.feed(data)
        client.responses += sum(1 for _ in client.unpacker)

    def result(self) -> CrowdResult:
        """How the requests have ended so far."""
        result = CrowdResult()
        for client in self.clients:
            plan = client.plan
            if not plan.requests or not plan.reads:
                continue
            complete = plan.requests * client.sent_bytes // len(plan.data)
            missing = max(0, complete - client.responses)
            result.complete += complete
            result.answered += client.responses
            if client.is_closed:
                result.closed += missing
            else:
                result.unanswered += missing
        return result


@dataclass(frozen=True)
class RequestRecord:
    """How one request of a behaving client ended.

    Attributes:
        kind: ``small``, ``large`` or ``order``.
        trace: Its trace id.
        end: served, refused, failed, closed or unanswered.
        started_s: When it was sent.
        ended_s: When it ended.
    """

    kind: str
    trace: str
    end: str
    started_s: float
    ended_s: float


@dataclass
class BehavingResult:
    """How the requests of one kind ended."""

    ends: Counter[str] = field(default_factory=Counter)
    slowest_ms: float = 0.0  # of those that were served


class BehavingClients:
    """Clients that send one request at a time on one connection each.  A context manager.

    Small requests have a short body, large ones the largest; an order must not run twice.
    """

    def __init__(self, address: Address, small: int = 3, large: int = 1, orders: int = 0) -> None:
        """``small``, ``large`` and ``orders``: the number of clients that send requests of each kind."""
        self.address = address
        self.records: list[RequestRecord] = []
        self.stopping = threading.Event()
        kinds = ["small"] * small + ["large"] * large + ["order"] * orders
        self.threads = [threading.Thread(target=self._run, args=(kind,), daemon=True) for kind in kinds]

    def __enter__(self) -> BehavingClients:
        for thread in self.threads:
            thread.start()
        return self

    def __exit__(self, *_: object) -> None:
        self.stopping.set()
        for thread in self.threads:
            thread.join(2 * ANSWER_TIMEOUT_S)

    def results(self) -> dict[str, BehavingResult]:
        """How the requests ended, by kind."""
        results: dict[str, BehavingResult] = {}
        for record in self.records:
            result = results.setdefault(record.kind, BehavingResult())
            result.ends[record.end] += 1
            if record.end == "served":
                result.slowest_ms = max(result.slowest_ms, 1_000 * (record.ended_s - record.started_s))
        return results

    def _run(self, kind: str) -> None:
        client: RouterClient | None = None
        while not self.stopping.is_set():
            is_new = client is None
            trace, started_s = secrets.token_hex(8), time.monotonic()
            try:
                client = client or RouterClient(socket.create_connection(self.address, ANSWER_TIMEOUT_S))
                end = send_and_wait(client, kind, trace)
            except TimeoutError:
                end, client = "unanswered", None
            except OSError:
                end, client = "closed", None
            ended_s = time.monotonic()
            # A request that has crossed the close of an idle connection is sent again, once.
            if end != "closed" or is_new or ended_s - started_s > CROSSING_S:
                self.records.append(RequestRecord(kind, trace, end, started_s, ended_s))
                time.sleep(PAUSE_S)


def send_and_wait(client: RouterClient, kind: str, trace: str) -> str:
    """Send a request of a kind, and return how it ended.

    Raises:
        OSError: The connection has ended, or no response came in time.
    """
    body = bytes(MAX_BODY_BYTES if kind == "large" else SHORT_BODY_BYTES)
    client.send_request("order" if kind == "order" else "page", patience_ms=2_400, body=body, trace=trace)
    return next(client.responses(1)).kind
