"""An upgrade while the list service stalls: objects that were purged before it are served from old copies.

A process of the router runs and receives a purge.  The list service stalls, and the platform starts the
successor on the same listening socket.  Once the successor says yes, the predecessor gets SIGTERM.  The
caches hold old copies until 5.5 s after a purge.  If the start takes long, another object is purged each
second.
"""

from __future__ import annotations

import asyncio
import signal
import sys
from dataclasses import dataclass

import world
from world import CaseError, Command, Reply, World, unix_ms

PURGE_INTERVAL_S = 1.0  # objects are purged 0.38 to 1.2 a second
TELLING_S = 0.1  # routers hear of a purge after 36 to 390 ms
AFTER_TELLING_S = 0.2  # in which the first purge reaches the predecessor
MAX_STALL_S = 7.5  # the stall ends then, whether or not the successor is ready
TOLD_AFTER_YES_MS = 2_000  # news counts as told this long after the successor's yes
PURGE_GRACE_MS = 300
SOCKET_SLACK_MS = 50  # every time limit is this much longer on sockets
MAX_WAY_MS = 100  # a command that arrives was sent at most this long before
DROPPED_AFTER_MS = 5_500  # the caches drop older copies by themselves within 6 s
SENDING_AFTER_YES_S = 5.5
REQUEST_INTERVAL_S = 0.05
VIDEO_PATIENCE_S = 6.0


@dataclass
class OldCopy:
    """An old copy that a cache served.

    Attributes:
        command: The command that it served.
        purged_ms: When its object was purged, in Unix ms.
        arrived_ms: When the command arrived at the cache, in Unix ms.
    """

    command: Command
    purged_ms: int
    arrived_ms: int


copies_made_ms = unix_ms()  # when the origin gave out the copies that the caches hold
purged_ms: dict[str, int] = {}  # time of the purge of each purged object, in Unix ms
served_copies: list[OldCopy] = []


def script(command: Command) -> Reply:
    """A cache serves its old copy if the command allows its age, until it drops the copy by itself."""
    now_ms = unix_ms()
    item = command.fields["item"]
    max_age_ms = int(command.fields.get("agelim", "0"))
    is_held = item not in purged_ms or now_ms - purged_ms[item] < DROPPED_AFTER_MS
    if is_held and (not max_age_ms or now_ms - copies_made_ms <= max_age_ms):
        if item in purged_ms:
            served_copies.append(OldCopy(command, purged_ms[item], now_ms))
        return Reply("DONE", 0.005, "mem", b"old copy", made_ms=copies_made_ms)
    return Reply("DONE", 0.02, "origin", b"new copy")


async def purge(run: World, objects: list[str]) -> None:
    """Purge one more object at the origin; a little later the list service has the purge."""
    item = f"{len(objects) + 1:016x}"
    objects.append(item)
    purged_ms[item] = unix_ms()
    run.record.note(f"{item} is purged")
    await asyncio.sleep(TELLING_S)
    run.list_service.tell(purge={"key": item, "at": purged_ms[item]})
    run.record.note(
        f"{item}: the list service, {'stalled' if run.list_service.is_stalled else 'well'}, has it"
    )


async def end_stall(run: World) -> None:
    """End the stall in time; the list service breaks off first."""
    await asyncio.sleep(MAX_STALL_S)
    if run.list_service.is_stalled:
        run.record.note("the list service breaks off and answers again")
        run.list_service.is_stalled = False
        run.list_service.break_off()


async def case(run: World) -> list[str]:
    """Upgrade the router, request the purged objects, and look for old copies."""
    objects: list[str] = []
    await asyncio.sleep(1.0)
    await purge(run, objects)
    await asyncio.sleep(AFTER_TELLING_S)
    run.list_service.is_stalled = run.has_trouble
    run.record.note(f"the list service {'stalls' if run.has_trouble else 'goes on'}; the upgrade begins")
    stall = asyncio.ensure_future(end_stall(run))
    start = asyncio.ensure_future(run.start_successor())
    while not (await asyncio.wait([start], timeout=PURGE_INTERVAL_S))[0]:
        await purge(run, objects)  # only if the start takes long; the last one may end after the yes
    successor = await start
    yes_ms = unix_ms()
    run.router.signal(signal.SIGTERM)
    client = await run.client("client")
    until_s = run.record.now() + SENDING_AFTER_YES_S
    while run.record.now() < until_s and successor.exit_code() is None:
        try:
            if client.has_ended:  # the predecessor had accepted it
                client = await run.client("client")
            for item in objects:
                await client.send("recipe-video", VIDEO_PATIENCE_S, item=item)
        except OSError:  # the connection ended while it was used
            client = await run.client("client")
        await asyncio.sleep(REQUEST_INTERVAL_S)
    await stall
    await asyncio.sleep(1.0)
    if not any(answer == "served" for sent in run.sent() for answer, _ in sent.answers):
        raise CaseError("no request was served")
    told_ms = yes_ms + TOLD_AFTER_YES_MS
    excused_until_ms = told_ms + PURGE_GRACE_MS + SOCKET_SLACK_MS
    return [
        f"request {copy.command.request_id} for {copy.command.fields['item']}, {copy.arrived_ms - told_ms} ms"
        f" after its purge counted as told: served a copy from before the purge"
        for copy in served_copies
        if copy.arrived_ms - MAX_WAY_MS > excused_until_ms
    ]


if __name__ == "__main__":
    sys.exit(world.main(script, case, holds_listener=True))
