"""Where a build's decision module puts objects, and how many have another home in another build or settings.

Each build is asked on its own (``kelpcroft homes``, run in its folder): a fresh instance of its decision
module gets the list and one request for each of a row of objects, answered at once, and says to which cache
each went.  What a running router has learned since (loads, slowness, dead caches) moves some more, in both
alike.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from kelpcroft.decision import interface as api
from kelpcroft.decision.policy import RoutingPolicy
from kelpcroft.decision.statistics import mix64

STEP_NS = 100 * 10**6  # between two requests: nothing of one is left at the next
SETTLED_NS = 3_600 * 10**9  # the list is taken to be so old: no cache is cold


class NoHomes(ValueError):
    """Nothing can be asked; the message says why."""


def homes(settings: api.Settings, servers: Sequence[api.Server], count: int) -> list[str]:
    """The cache that each of so many objects goes to, "" where none takes it.  The objects are the same in
    every call.  Raises NoHomes where no class is kept in caches."""
    cls = next(
        (c for c in settings.classes if c.idempotency is api.Idempotency.SAFE and not c.uncacheable), None
    )
    if cls is None:
        raise NoHomes("no class is kept in caches")
    policy, now = RoutingPolicy(settings), 10**18
    policy.start(now)
    policy.handle(now, api.ServerList("restored", tuple(servers)))
    now += SETTLED_NS
    found = []
    for n in range(count):
        now += STEP_NS
        request = api.Request(str(n), cls.name, cls.deadline_ns or 10**9, mix64(n) >> 1)
        fetch = next((a for a in policy.handle(now, request) if isinstance(a, api.ForwardRequest)), None)
        if fetch is None:
            found.append("")
            continue
        found.append(fetch.server)
        end = api.AttemptEnded(fetch.id, 0, fetch.server, api.Outcome.OK, 10**6, True, api.FillResult.HIT)
        policy.handle(now + 10**6, end)
    return found


@dataclass(frozen=True, slots=True)
class Moved:
    """How two placements of the same objects differ."""

    objects: int
    moved: int
    by_cache: dict[str, tuple[int, int]]  # objects before, after

    @property
    def share(self) -> float:
        return self.moved / self.objects if self.objects else 0.0


def compare(old: Sequence[str], new: Sequence[str]) -> Moved:
    """Two answers to the same question.  Raises NoHomes where they are of different length."""
    if len(old) != len(new):
        raise NoHomes(f"the old placed {len(old)} objects, the new {len(new)}")
    names = sorted({*old, *new} - {""})
    return Moved(
        len(old),
        sum(a != b for a, b in zip(old, new, strict=True)),
        {name: (old.count(name), new.count(name)) for name in names},
    )
