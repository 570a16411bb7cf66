"""A class goes with a new configuration while requests of it are open, and one of them needs another attempt.

The new configuration replaces the class recipe-video by recipe-clip.  Clients use the new class from 1.2 s
after the file.  The caches give up a few fills after 2.5 s.
"""

from __future__ import annotations

import asyncio
import signal
import sys

import world
from world import CLASSES, CaseError, Command, Reply, World

FILL_GIVEN_UP_S = 2.5
SLOW_FILLS_UNTIL_S = 1.0  # requests sent in this time after the file have a first fill that brings nothing
NEW_CLASS_USED_S = 1.2
SENDING_S = 5.0
REQUEST_INTERVAL_S = 0.2
VIDEO_PATIENCE_S = 6.0
MENU_PATIENCE_S = 2.5
ANSWER_LIMIT_S = VIDEO_PATIENCE_S + 0.5
NEW_CLASS = {**CLASSES[0], "name": "recipe-clip"}
slow_requests: set[str] = set()  # ids of the requests whose first fill brings nothing


def script(command: Command) -> Reply:
    """A cache gives up the first fill of some requests; everything else is answered soon."""
    if command.request_id in slow_requests and not command.earlier:
        return Reply("BROKE", FILL_GIVEN_UP_S, "unreached", ran=False)
    return Reply("DONE", 0.05, body=b"x" * 20_000)


async def case(run: World) -> list[str]:
    """Send the new configuration under requests, and check that each request has one answer."""
    client = await run.client("client")
    if run.has_trouble:
        run.router.write_config([NEW_CLASS, *CLASSES[1:]])
        run.router.signal(signal.SIGHUP)
    began_s = run.record.now()
    while (elapsed_s := run.record.now() - began_s) < SENDING_S and run.router.exit_code() is None:
        uses_new_class = run.has_trouble and elapsed_s > NEW_CLASS_USED_S
        video_class = NEW_CLASS["name"] if uses_new_class else CLASSES[0]["name"]
        mark = slow_requests if elapsed_s < SLOW_FILLS_UNTIL_S else None
        try:
            await client.send(video_class, VIDEO_PATIENCE_S, mark=mark)
            await client.send("menu-item", MENU_PATIENCE_S)
        except OSError:
            break  # the record shows why
        await asyncio.sleep(REQUEST_INTERVAL_S)
    await asyncio.sleep(ANSWER_LIMIT_S)
    if not any(command.request_id in slow_requests for command in run.servers.commands):
        raise CaseError("no request met a fill that brings nothing")
    breaches = []
    if run.router.exit_code() is not None:
        breaches.append(f"the router crashed: exit code {run.router.exit_code()}, without a signal to end")
    breaches += [
        f"request {sent.request_id} of {sent.request_class} got {len(sent.answers)} answers: {sent.lost}"
        for sent in run.sent()
        if len(sent.answers) != 1
    ]
    return breaches


if __name__ == "__main__":
    sys.exit(world.main(script, case))
