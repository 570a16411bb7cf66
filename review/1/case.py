"""Two configurations in quick succession, the second of which takes the first back; then orders are sent.

The first configuration says by mistake that order-place is safe to repeat.  The second, a second later, is
the configuration of the start again.  Orders are sent four seconds after that.
"""

from __future__ import annotations

import asyncio
import signal
import sys

import world
from world import CLASSES, CaseError, Command, Reply, World

BETWEEN_FILES_S = 1.0
AFTER_FILES_S = 4.0  # a router uses both files' stricter values for two seconds
ORDERS = 12
ORDER_INTERVAL_S = 0.25
ORDER_PATIENCE_S = 3.0
ANSWER_LIMIT_S = ORDER_PATIENCE_S + 0.5
MISTAKEN_CLASSES = [*CLASSES[:2], {**CLASSES[2], "idempotency": "safe"}]
first_attempts: list[str] = []  # ids of the orders, as they arrive at a server for the first time


def script(command: Command) -> Reply:
    """Every attempt runs; the first attempt of every third order is then answered "it may have run"."""
    if not command.earlier:
        first_attempts.append(command.request_id)
        if len(first_attempts) % 3 == 1:
            return Reply("BROKE", 0.05, "origin")
    return Reply("DONE", 0.05, "origin", b"confirmed")


async def case(run: World) -> list[str]:
    """Send two configurations, wait, then send orders and count how often each one ran."""
    if run.has_trouble:
        run.router.write_config(MISTAKEN_CLASSES)
        run.router.signal(signal.SIGHUP)
        await asyncio.sleep(BETWEEN_FILES_S)
        run.router.write_config(CLASSES)
        run.router.signal(signal.SIGHUP)
    await asyncio.sleep(AFTER_FILES_S)
    client = await run.client("client")
    for _ in range(ORDERS):
        await client.send("order-place", ORDER_PATIENCE_S, b"one menu")
        await asyncio.sleep(ORDER_INTERVAL_S)
    await asyncio.sleep(ANSWER_LIMIT_S)
    if len(first_attempts) < ORDERS:
        raise CaseError(f"only {len(first_attempts)} of {ORDERS} orders reached a server")
    breaches = []
    for sent in run.sent():
        servers = [command.server for command in run.servers.runs if command.request_id == sent.request_id]
        if len(servers) > 1:
            breaches.append(f"order {sent.request_id} ran {len(servers)} times, sent to {', '.join(servers)}")
    return breaches


if __name__ == "__main__":
    sys.exit(world.main(script, case))
