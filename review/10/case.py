"""A router is taken out of service while a slow client still reads answers that it was sent."""

from __future__ import annotations

import sys
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
    object_bytes,
    served,
)

SIZE = 240_000  # bytes of an answer: the protocol's largest object
RATE = 1_000_000  # bytes a second that the slow client reads
FIRST_PARTS = 8  # requests that are open when the router is taken out of service
CROSSING_S = 0.05  # a request that crosses a close within this time is sent again and not judged


def play(record: Record, platforms: list[Platform]) -> Iterator[str]:
    """Play the case; yield each broken rule."""

    def behave(pull: Pull) -> Answer:
        record.write(f"{pull.server} serves {pull.id}")
        return served(pull, SIZE)

    servers = [Server(role, 1, record, behave) for role in ("cache", "parent", "origin")]
    platform = Platform(record, TT_KITS, servers)
    platforms.append(platform)
    process = platform.start()
    process.wait_until_ready()
    client = Client(record, platform.listen, "slow client", RATE)
    for part in range(FIRST_PARTS):
        client.ask("recipe-video", 6.0, f"part {part}", entity="7f3a9c21e0b4d655", block=str(part))
    time.sleep(0.3)
    if has_trouble():
        record.write(f"out of service: {process.call('PUT', '/control/out-of-service')}")
    for part in range(FIRST_PARTS, FIRST_PARTS + 3):  # the parts are asked for one after another
        time.sleep(0.4)
        client.ask("recipe-video", 6.0, f"part {part}", entity="7f3a9c21e0b4d655", block=str(part))
    time.sleep(8.0)
    answered = [asked for asked in client.asked.values() if asked.answers]
    if not answered:
        raise CannotRunError("no request was answered")
    for asked in client.asked.values():
        if client.end and asked.sent_s > client.ended_s - CROSSING_S:
            record.write(f"{asked.label} crossed the close, not judged")
        elif len(asked.answers) != 1:
            count = f"{len(asked.answers)} answers"
            yield f"Every request answered: {asked.label}, sent at {asked.sent_s:.3f}: {count}, {client.end}"
        elif asked.kind == "served" and asked.answers[0][2] != object_bytes(
            "7f3a9c21e0b4d655", asked.label.split()[1], SIZE
        ):
            yield f"Every request answered: {asked.label} is served with other bytes"


if __name__ == "__main__":
    main(Path(__file__).resolve().parent, play)
