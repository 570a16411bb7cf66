"""Four bad clients send cancels at once and go; the requests of other clients are not read for seconds."""

from __future__ import annotations

import sys
import threading
import time
from collections.abc import Iterator
from contextlib import suppress
from functools import partial
from pathlib import Path

import msgpack

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from world_2 import (
    TT_KITS,
    Answer,
    CannotRunError,
    Client,
    Platform,
    Pull,
    Record,
    Server,
    ask_in_turn,
    has_trouble,
    lost_requests,
    main,
    run_all,
    served,
)

GOOD_CLIENTS = 8
BAD_CLIENTS = 4
BYTES_OF_BAD_CLIENT = 3_000_000
CANCEL = msgpack.packb([2, "cancel", [1] * 1_024])  # of a request that the bad client never sent
ASK_S = 8.0  # how long the good clients ask


def play(record: Record, platforms: list[Platform]) -> Iterator[str]:
    """Play the case; yield each broken rule."""

    def behave(pull: Pull) -> Answer:
        return served(pull, 1_000)

    servers = [Server(role, number, record, behave) for role, number in SERVERS]
    platform = Platform(record, TT_KITS, servers)
    platforms.append(platform)
    process = platform.start()
    process.wait_until_ready()
    time.sleep(1.0)
    if has_trouble():
        for number in range(BAD_CLIENTS):
            bad = Client(record, platform.listen, f"bad client {number}")
            threading.Thread(target=send_much_and_go, args=(record, bad), daemon=True).start()
        time.sleep(0.2)
    until_s = record.now_s() + ASK_S
    clients = [
        partial(ask_in_turn, record, platform.listen, f"client {number}", "menu-item", 2.5, until_s)
        for number in range(GOOD_CLIENTS)
    ]
    asked = [asked for of_client in run_all(clients) for asked in of_client]
    if not asked:
        raise CannotRunError("nothing was asked")
    yield from lost_requests(record, asked)


SERVERS = (("cache", 1), ("cache", 2), ("cache", 3), ("parent", 1), ("origin", 1))


def send_much_and_go(record: Record, bad: Client) -> None:
    """Write cancels as fast as the connection takes them, then leave."""
    data = CANCEL * (BYTES_OF_BAD_CLIENT // len(CANCEL))
    record.write(f"{bad.name} sends {len(data)} bytes of cancels")
    with suppress(OSError):
        bad.sock.sendall(data)
    bad.close()
    record.write(f"{bad.name} has gone")


if __name__ == "__main__":
    main(Path(__file__).resolve().parent, play)
