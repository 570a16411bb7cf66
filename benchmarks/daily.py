"""Latency of the control address and of a drain, on loopback with stand-in servers.

    python -m benchmarks.daily [CLIENTS]

1. Latency of `GET /control/ready` in ms (median, 99th percentile, maximum) over 200 control requests: with
   the router idle, with CLIENTS connections (16) that keep it busy with requests, and additionally with 32
   control clients that each hold an incomplete control request open. Also the ratios to idle, and the
   router's resident memory with and without the incomplete requests.
2. A drain under that load. Each client sends a request as soon as it has the response to the last one, on one
   persistent connection, and stops once the router closes it, because the front would then send it to another
   router.
   Printed are the milliseconds from the control request to the last close, and the requests served, refused
   and lost (sent more than 50 ms before the close, without a response).

The program is the one that `run` starts if KELPCROFT_FROM=.compiled/now, else the sources, without
assertions.
"""

from __future__ import annotations

import socket
import statistics
import sys
import threading
import time
from pathlib import Path

import msgpack

from testbed.router_process import RouterProcess
from testbed.stand_ins import StandInServers

CONTROL_REQUESTS = 200
INCOMPLETE_REQUESTS = 32  # incomplete control requests that are held open
READY = b"GET /control/ready HTTP/1.1\r\nHost: bench\r\n\r\n"
OUT_OF_SERVICE = b"PUT /control/out-of-service HTTP/1.1\r\nHost: bench\r\n\r\n"
CROSSING_S = (
    0.050  # a request sent at most this long before a close has crossed it, and the client sends it again
)


def send_control_request(address: tuple[str, int], text: bytes) -> tuple[float, bytes]:
    """Send one control request; return the ms until the complete response, and its first line."""
    began = time.monotonic()
    with socket.create_connection(address, 5) as sock:
        sock.sendall(text)
        received = b""
        while chunk := sock.recv(4096):
            received += chunk
    return (time.monotonic() - began) * 1000, received.split(b"\r\n", 1)[0]


def rss_mb(pid: int) -> float:
    """Resident memory of a process, in MB."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) / 1024
    return 0.0


class Load:
    """Clients on persistent connections with one outstanding request each.

    A client runs until it is stopped or the router closes its connection.
    """

    def __init__(self, router: RouterProcess, count: int) -> None:
        self.router, self.stop = router, threading.Event()
        self.served = self.refused = self.failed = self.lost = self.crossed = 0
        self.closed_at: list[float] = []
        self.lock = threading.Lock()
        self.threads = [threading.Thread(target=self.run, args=(n,), daemon=True) for n in range(count)]
        for thread in self.threads:
            thread.start()

    def run(self, n: int) -> None:
        """Send requests until stopped or the connection is closed; runs in the thread of client ``n``."""
        sock = socket.create_connection(self.router.address, 5)
        unpacker, number = msgpack.Unpacker(raw=False), 0
        while not self.stop.is_set():
            number += 1
            fields = {
                "trace": f"{n:04x}{number:012x}",
                "patience": "2000",
                "entity": f"{number % 97:016x}",
                "block": "0",
                "family": "1",
            }
            sent = time.monotonic()
            try:
                sock.sendall(msgpack.packb([0, number, "page", [fields, b""]]))
                response = None
                while response is None:
                    for message in unpacker:
                        response = message
                    if response is None:
                        data = sock.recv(65536)
                        if not data:
                            raise ConnectionError
                        unpacker.feed(data)
            except OSError:
                with self.lock:
                    self.closed_at.append(time.monotonic())
                    if time.monotonic() - sent <= CROSSING_S:
                        self.crossed += 1
                    else:
                        self.lost += 1
                return
            with self.lock:
                if response[2] is None:
                    self.served += 1
                elif response[2][0] == "Shed":
                    self.refused += 1
                else:
                    self.failed += 1
        sock.close()

    def end(self) -> None:
        """Stop all clients."""
        self.stop.set()
        for thread in self.threads:
            thread.join(5)


def figures(times: list[float]) -> tuple[float, float, float]:
    """Median, 99th percentile and maximum."""
    ordered = sorted(times)
    return statistics.median(ordered), ordered[int(0.99 * (len(ordered) - 1))], ordered[-1]


def main() -> None:
    """Measure the control address and a drain, and print the figures."""
    clients = int(sys.argv[1]) if len(sys.argv) > 1 else 16
    latencies_ms: dict[str, tuple[float, float, float]] = {}
    with StandInServers() as stand_ins, RouterProcess(stand_ins, release=True, mgmt=True) as router:
        router.client().request("page")
        pid = router.process.pid
        latencies_ms["idle"] = figures(
            [send_control_request(router.control_address, READY)[0] for _ in range(CONTROL_REQUESTS)]
        )
        load = Load(router, clients)
        time.sleep(0.5)
        latencies_ms[f"{clients} busy clients"] = figures(
            [send_control_request(router.control_address, READY)[0] for _ in range(CONTROL_REQUESTS)]
        )
        before_mb = rss_mb(pid)
        incomplete = [socket.create_connection(router.control_address, 5) for _ in range(INCOMPLETE_REQUESTS)]
        for sock in incomplete:
            sock.sendall(READY[:20])
        time.sleep(0.2)
        latencies_ms[f"and {INCOMPLETE_REQUESTS} incomplete requests"] = figures(
            [send_control_request(router.control_address, READY)[0] for _ in range(CONTROL_REQUESTS)]
        )
        loaded_mb = rss_mb(pid)
        for sock in incomplete:
            sock.close()
        served_before = load.served
        began = time.monotonic()
        latency_ms, status = send_control_request(router.control_address, OUT_OF_SERVICE)
        for thread in load.threads:
            thread.join(10)
        last_close_s = max(load.closed_at, default=began) - began
        load.end()
    idle = latencies_ms["idle"][0]
    print(f"{'GET /control/ready':28} {'median':>8} {'p99':>8} {'max':>8} {'median/idle':>12}")
    for name, (p50, p99, maximum) in latencies_ms.items():
        print(f"{name:28} {p50:8.2f} {p99:8.2f} {maximum:8.2f} {p50 / idle:12.2f}")
    print(
        f"resident memory: {before_mb:.1f} MB, with {INCOMPLETE_REQUESTS} incomplete requests "
        f"{loaded_mb:.1f} MB (ratio {loaded_mb / before_mb:.3f})"
    )
    print(
        f"drain: {status.decode()} in {latency_ms:.1f} ms; "
        f"last connection closed {last_close_s * 1000:.0f} ms after the request; "
        f"requests after it: served {load.served - served_before}, refused {load.refused}, "
        f"failed {load.failed}, sent again by the client {load.crossed}, lost {load.lost}"
    )


if __name__ == "__main__":
    main()
