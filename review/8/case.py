"""A broken configuration file is refused at SIGHUP, and the successor of the next upgrade takes it."""

from __future__ import annotations

import copy
import json
import signal
import sys
import threading
import time
from collections.abc import Iterator
from pathlib import Path

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
    has_trouble,
    main,
    meter,
    served,
)

ORDERS = 5
MISSING_KEY = "idempotency"  # the key that the broken file lacks, in the class of the orders


def play(record: Record, platforms: list[Platform]) -> Iterator[str]:
    """Play the case; yield each broken rule."""
    runs: dict[str, int] = {}
    lock = threading.Lock()

    def behave(pull: Pull) -> Answer:
        if pull.fields["cls"] != "order-place":
            return served(pull, 1_000)
        order = pull.body.decode()
        with lock:
            runs[order] = runs.get(order, 0) + 1
        record.write(f"store RUNS {order} ({pull.id} by {pull.server}), run {runs[order]}, and answers BROKE")
        time.sleep(0.02)
        return Answer("BROKE", b"", meter())

    servers = [Server(role, number, record, behave) for role, number in SERVERS]
    platform = Platform(record, TT_KITS, servers, holds_listener=True)
    platforms.append(platform)
    old = platform.start()
    old.wait_until_ready()
    time.sleep(1.0)
    if has_trouble():
        broken = copy.deepcopy(platform.config)
        del broken["settings"]["classes"][2][MISSING_KEY]
        platform.write_config(json.dumps(broken).encode())
        record.write(
            f"new configuration, without {MISSING_KEY} of {broken['settings']['classes'][2]['name']}"
        )
        old.send_signal(signal.SIGHUP)
        time.sleep(3.0)
        if "config.refused" not in old.log_path.read_text(encoding="utf-8"):
            record.write("the file was not refused")
    new = platform.start()
    new.wait_until_ready()
    time.sleep(0.5)
    old.send_signal(signal.SIGTERM)
    old.popen.wait(10)
    client = Client(record, platform.listen, "client")
    for number in range(ORDERS):
        client.ask("order-place", 3.0, f"order {number}", f"order {number}".encode())
        time.sleep(0.2)
    time.sleep(3.0)
    if not runs:
        raise CannotRunError("no order ran")
    for order, count in runs.items():
        if count > 1:
            yield f"No duplicate effects: {order} ran {count} times"


SERVERS = (("cache", 1), ("cache", 2), ("parent", 1), ("origin", 1))

if __name__ == "__main__":
    main(Path(__file__).resolve().parent, play)
