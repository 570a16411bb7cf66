"""Open-loop load: requests at a steady rate over several connections, whether or not responses arrive.

    python -m testbed.hollow.load --to HOST:PORT --rate 800 --seconds 5

Prints the numbers of requests that were sent, served and refused, and the latency of those served.
"""

from __future__ import annotations

import argparse
import json
import secrets
import selectors
import socket
import time
from typing import Any

import msgpack

CONNECTIONS = 32
OBJECTS = 500  # distinct objects, requested in turn
DRAIN_TIMEOUT_S = 2.0  # wait for responses after the last request
REQUEST_TIMEOUT_MS = 2_000


class Connection:
    """One connection and its outstanding requests."""

    def __init__(self, address: tuple[str, int]) -> None:
        self.sock = socket.create_connection(address, 10)
        self.sock.setblocking(False)
        self.unpacker = msgpack.Unpacker(raw=False, max_buffer_size=1 << 24)
        self.sent: dict[int, float] = {}
        self.request_count = 0

    def send(self, number: int) -> None:
        """Send one request."""
        self.request_count += 1
        fields = {
            "trace": secrets.token_hex(8),
            "patience": str(REQUEST_TIMEOUT_MS),
            "entity": f"{number % OBJECTS:016x}",
            "block": "0",
            "family": "1",
        }
        self.sent[self.request_count] = time.monotonic()
        self.sock.send(msgpack.packb([0, self.request_count, "page", [fields, b""]]))


def run_load(address: tuple[str, int], rate: float, seconds: float) -> dict[str, Any]:
    """Send requests at a rate for some seconds, and return their counts and latencies."""
    selector = selectors.DefaultSelector()
    connections = [Connection(address) for _ in range(CONNECTIONS)]
    for connection in connections:
        selector.register(connection.sock, selectors.EVENT_READ, connection)
    started_s, sent, latencies_s, refused = time.monotonic(), 0, list[float](), 0
    while time.monotonic() < started_s + seconds + DRAIN_TIMEOUT_S:
        due = int(min(seconds, time.monotonic() - started_s) * rate)
        while sent < due:
            connections[sent % CONNECTIONS].send(sent)
            sent += 1
        for key, _ in selector.select(0.001):
            connection = key.data
            try:
                connection.unpacker.feed(connection.sock.recv(1 << 18))
            except BlockingIOError:
                continue
            for _, number, error, _ in connection.unpacker:
                sent_s = connection.sent.pop(number)
                refused += error is not None
                if error is None:
                    latencies_s.append(time.monotonic() - sent_s)
        if sent >= rate * seconds and not any(c.sent for c in connections):
            break
    latencies_s.sort()
    return {
        "sent": sent,
        "served": len(latencies_s),
        "refused": refused,
        "median_ms": latencies_s[len(latencies_s) // 2] * 1e3 if latencies_s else 0.0,
        "p99_ms": latencies_s[int(0.99 * len(latencies_s))] * 1e3 if latencies_s else 0.0,
    }


def main() -> None:
    """Run the load and print its figures as JSON."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--to", required=True)
    parser.add_argument("--rate", type=float, default=800)
    parser.add_argument("--seconds", type=float, default=5)
    options = parser.parse_args()
    host, _, port = options.to.rpartition(":")
    print(json.dumps(run_load((host, int(port)), options.rate, options.seconds)))


if __name__ == "__main__":
    main()
