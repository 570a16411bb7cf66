"""Other clients while one floods a router with messages: ``python -m benchmarks.flooding_client``.

For each kind of message, one client sends it at full speed on one connection (a new one after each close),
while four clients request one object after another.  Prints how these were answered, and the router's peak
memory before and after; exits with 1 if one was not answered in time or the memory passes its limit.
"""

from __future__ import annotations

import argparse
import contextlib
import secrets
import socket
import sys
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import msgpack

from benchmarks.client_memory import LIMIT_MB
from testbed.router_process import RouterProcess
from testbed.stand_ins import PROGRAM_DIR, StandInServers

DURATION_S = 4.0
CLIENTS = 4
PATIENCE_MS = 1_500
MAX_LATENCY_S = 2.0  # half a second after the end of the patience
PAUSE_S = 0.05  # between two requests of one client
BATCH = 16  # messages in one write: fewer than a client may send at once
BATCH_PAUSE_S = 0.000_5


def request(number: int, cls: str = "page", **fields: str) -> bytes:
    """A request with a trace id and an object that are new."""
    own = {"trace": secrets.token_hex(8), "entity": secrets.token_hex(8), "patience": str(PATIENCE_MS)}
    return bytes(msgpack.packb([0, number, cls, [{**own, "block": "0", "family": "17", **fields}, b""]]))


MESSAGES: dict[str, Callable[[int], bytes]] = {
    "health checks": lambda n: bytes(msgpack.packb([0, n, "health", [{}]])),
    "requests": request,
    "requests and their cancels": lambda n: request(n) + msgpack.packb([2, "cancel", [n]]),
    "empty cancels": lambda _: bytes(msgpack.packb([2, "cancel", []])),
    "requests of new classes": lambda n: request(n, secrets.token_hex(8)),
    "requests with new keys": lambda n: request(n, "order", nonce=secrets.token_hex(8)),
    "requests with an invalid key": lambda n: request(n, "order", nonce="a,b"),
    "requests with too much patience": lambda n: request(n, patience="60000"),
    "malformed bytes": lambda _: b"\xc1" * 20,
}


@dataclass
class Result:
    """What the other clients saw, and the router's peak memory."""

    sent: int = 0
    latencies_s: list[float] = field(default_factory=list)
    failures: list[str] = field(default_factory=list)
    memory_before_mb: float = 0.0
    memory_mb: float = 0.0

    def holds(self) -> bool:
        """Whether each request was answered in time, and the memory stays under its limit."""
        is_in_time = bool(self.latencies_s) and max(self.latencies_s) < MAX_LATENCY_S
        return is_in_time and not self.failures and self.memory_mb < LIMIT_MB


def flood(address: Any, message: Callable[[int], bytes], until_s: float, result: Result) -> None:
    """Send messages at full speed."""
    while time.monotonic() < until_s:
        with contextlib.suppress(OSError), socket.create_connection(address) as sock:
            number = 0
            while time.monotonic() < until_s:
                sock.settimeout(DURATION_S)
                sock.sendall(b"".join(message(number + n) for n in range(1, BATCH + 1)))
                number += BATCH
                result.sent += BATCH
                sock.setblocking(False)
                with contextlib.suppress(BlockingIOError):
                    while sock.recv(1 << 16):
                        pass
                    break  # the router has closed the connection
                time.sleep(BATCH_PAUSE_S)


def ask(router: RouterProcess, until_s: float, result: Result) -> None:
    """Request one object after another."""
    client = router.client()
    client.sock.settimeout(MAX_LATENCY_S)
    while time.monotonic() < until_s:
        started_s = time.monotonic()
        try:
            client.send_request("page", object=secrets.token_hex(8), patience_ms=PATIENCE_MS)
            next(client.responses(1))
        except (OSError, RuntimeError, StopIteration) as error:
            result.failures.append(repr(error))
            return
        result.latencies_s.append(time.monotonic() - started_s)
        time.sleep(PAUSE_S)


def measure(program: Path, message: Callable[[int], bytes], duration_s: float) -> Result:
    """Play one kind of message."""
    result = Result()
    with StandInServers() as servers, RouterProcess(servers, program=program, release=True) as router:
        router.client().sock.close()  # the router accepts clients from here on
        result.memory_before_mb = router.peak_memory_mb()
        until_s = time.monotonic() + duration_s
        threads = [threading.Thread(target=flood, args=(router.address, message, until_s, result))]
        threads += [threading.Thread(target=ask, args=(router, until_s, result)) for _ in range(CLIENTS)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        result.memory_mb = router.peak_memory_mb()
    return result


def main() -> int:
    """Play each kind of message, and return the exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--program", type=Path, default=PROGRAM_DIR, help="folder of the program")
    parser.add_argument("--seconds", type=float, default=DURATION_S, help="duration of each kind")
    arguments = parser.parse_args()
    exit_code = 0
    for kind, message in MESSAGES.items():
        result = measure(arguments.program, message, arguments.seconds)
        worst_ms = max(result.latencies_s, default=0.0) * 1_000
        print(
            f"{kind}: {result.sent} sent; {len(result.latencies_s)} requests of others answered, the slowest "
            f"after {worst_ms:.0f} ms, {len(result.failures)} not; memory {result.memory_before_mb:.0f} to "
            f"{result.memory_mb:.0f} MB: {'holds' if result.holds() else 'FAILS'}"
        )
        exit_code |= not result.holds()
    return int(exit_code)


if __name__ == "__main__":
    sys.exit(main())
