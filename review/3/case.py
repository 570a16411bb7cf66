"""A client writes a request slowly, in pieces, while an earlier request of the same connection is open.

The earlier request is answered by its cache after 2.6 s, as after a long fill.  The pieces of the slow
request follow each other every 0.4 s.
"""

from __future__ import annotations

import asyncio
import sys

import world
from world import Command, Reply, World

CLIENTS = 3
FILL_S = 2.6
VIDEO_PATIENCE_S = 6.0
ORDER_PATIENCE_S = 3.0
ORDER_BODY = b"x" * 40_000  # a write carries up to 48,000 bytes
PIECES = 7
PIECE_INTERVAL_S = 0.4
ANSWER_LIMIT_S = VIDEO_PATIENCE_S + 0.5


def script(command: Command) -> Reply:
    """Videos are answered when their fill has come, orders soon."""
    if command.fields["cls"] == "recipe-video":
        return Reply("DONE", FILL_S, "parent", b"x" * 20_000)
    return Reply("DONE", 0.05, "origin", b"confirmed")


async def write_order(run: World, client: world.Client, pieces: int) -> None:
    """Write an order in pieces; it is taken once the last one is written."""
    number, sent, data = client.encode("order-place", ORDER_PATIENCE_S, ORDER_BODY)
    size = -(-len(data) // pieces)
    for start in range(0, len(data), size):
        if start:
            await asyncio.sleep(PIECE_INTERVAL_S)
        if client.has_ended:
            run.record.note(f"{client.name} stops writing order {sent.request_id}: its connection has ended")
            return
        await client.write(data[start : start + size])
        run.record.note(f"{client.name} wrote a piece of order {sent.request_id}")
    client.enter(number, sent)


async def case(run: World) -> list[str]:
    """Each client sends a video request, then an order; each taken request must have an answer."""
    clients = [await run.client(f"client{number}") for number in range(1, CLIENTS + 1)]
    for client in clients:
        await client.send("recipe-video", VIDEO_PATIENCE_S)
    await asyncio.sleep(0.1)
    pieces = PIECES if run.has_trouble else 1
    await asyncio.gather(*(write_order(run, client, pieces) for client in clients))
    await asyncio.sleep(ANSWER_LIMIT_S)
    return [
        f"request {sent.request_id} of {sent.request_class} got no answer: {sent.lost or 'none came'}"
        for sent in run.sent()
        if not sent.answers
    ]


if __name__ == "__main__":
    sys.exit(world.main(script, case))
