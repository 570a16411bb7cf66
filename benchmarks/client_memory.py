"""Memory of a router whose clients leave requests unfinished: ``python -m benchmarks.client_memory``.

For each kind of unfinished request, hundreds of clients connect at once to a router process and send it.
Prints the router's peak memory and whether it stays under the limit; exits with 1 if it does not.
"""

from __future__ import annotations

import argparse
import contextlib
import socket
import sys
import time
from pathlib import Path

import msgpack

from testbed.router_process import RouterProcess
from testbed.stand_ins import PROGRAM_DIR, StandInServers

LIMIT_MB = 192  # memory limit of a process
CLIENTS = 340  # a third of the descriptors, which clients may hold
HOLD_S = 1.5  # a router closes a client that stays silent within a message for 2 s
STEP_S = 0.05  # between two bytes of a slow client
MESSAGE_BYTES = 60_000

FIELDS = {"trace": "9b1f03aa5c7e2d41", "patience": "1500", "entity": "7f3a9c21e0b4d655", "block": "0"}
SHORT_FIELDS = msgpack.packb({f"{n:x}": "" for n in range(64)})
ARRAY_OF_1024 = b"\xdc\x04\x00"
REQUEST_START = b"\x94\x00\x01\xa4page"


def unfinished_requests() -> dict[str, bytes]:
    """The start of a request of each kind."""
    whole = msgpack.packb([0, 1, "page", [FIELDS, b"x" * 48_000]])
    maps = ARRAY_OF_1024 + SHORT_FIELDS * (MESSAGE_BYTES // len(SHORT_FIELDS))
    empty_arrays = ARRAY_OF_1024 + (ARRAY_OF_1024 + b"\x90" * 1024) * (MESSAGE_BYTES // 1027)
    return {
        "one byte at a time": whole[:-1],
        "half of a large request": whole[: len(whole) // 2],
        "many short fields": REQUEST_START + maps,
        "many empty arrays": REQUEST_START + empty_arrays,
        "nested array heads": REQUEST_START + ARRAY_OF_1024 * 400,
    }


def send(clients: list[socket.socket], kind: str, data: bytes) -> None:
    """Send the start of a request on each connection, and hold it."""
    until_s = time.monotonic() + HOLD_S
    for client in clients:
        with contextlib.suppress(OSError):
            client.sendall(data[:1] if kind == "one byte at a time" else data)
    for byte in data[1:]:
        if time.monotonic() > until_s:
            return
        time.sleep(STEP_S)
        if kind == "one byte at a time":
            for client in clients:
                with contextlib.suppress(OSError):
                    client.send(bytes([byte]))


def measure(program: Path, kind: str, data: bytes) -> float:
    """Peak memory with one kind of unfinished request, in MB."""
    with StandInServers() as servers, RouterProcess(servers, program=program, release=True) as router:
        router.client().sock.close()  # the router accepts clients from here on
        clients = [socket.create_connection(router.address) for _ in range(CLIENTS)]
        send(clients, kind, data)
        peak_mb = router.peak_memory_mb()
        for client in clients:
            client.close()
    return peak_mb


def main() -> int:
    """Measure each kind, and return the exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--program", type=Path, default=PROGRAM_DIR, help="folder of the program")
    program = parser.parse_args().program
    peaks = {kind: measure(program, kind, data) for kind, data in unfinished_requests().items()}
    for kind, peak_mb in peaks.items():
        answer = "stays under" if 0 < peak_mb < LIMIT_MB else "PASSES"
        print(f"{kind}: {peak_mb:.0f} MB, {answer} the limit of {LIMIT_MB} MB")
    return int(not all(0 < peak_mb < LIMIT_MB for peak_mb in peaks.values()))


if __name__ == "__main__":
    sys.exit(main())
