"""Where a build's decision code puts objects, and how many have another home in another build or settings.

Each build is asked on its own (``kelpcroft homes``, run in its folder): a fresh instance of its decision
code gets the list of servers and one request for each of a row of objects, answered at once, and says to
which cache each went.  What a running router has learned since (loads, slowness, ejected caches) moves some
more, in both alike.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from typing import NamedTuple

from kelpcroft.decision import interface as api
from kelpcroft.decision.policy import RoutingPolicy
from kelpcroft.decision.statistics import mix64
from kelpcroft.rollout.errors import PlacementError

START_NS = 10**18  # of the virtual clock; any time that is old enough for SETTLED_NS
STEP_NS = 100 * 10**6  # between two requests: nothing of one is left at the next
SETTLED_NS = 3_600 * 10**9  # age of the list at the first request: no cache warms up
ANSWER_NS = 10**6  # from a request to its answer
DEFAULT_DEADLINE_NS = 10**9  # of a class that has none


def place_objects(settings: api.Settings, servers: Sequence[api.Server], count: int) -> list[str]:
    """The home of each object of a row, which is the same row in every call.

    Args:
        settings: The deployment's.
        servers: The list of servers, as a router would restore it.
        count: How many objects.

    Returns:
        The cache that each object goes to, "" where none takes it.

    Raises:
        PlacementError: No class is kept in caches.
    """
    request_class = _cached_class(settings)
    deadline_ns = request_class.deadline_ns or DEFAULT_DEADLINE_NS
    policy = RoutingPolicy(settings)
    now_ns = START_NS
    policy.start(now_ns)
    policy.handle(now_ns, api.ServerList("restored", tuple(servers)))
    now_ns += SETTLED_NS
    homes = []
    for n in range(count):
        now_ns += STEP_NS
        request = api.Request(str(n), request_class.name, deadline_ns, mix64(n) >> 1)
        homes.append(_home_of(policy, now_ns, request))
    return homes


def _cached_class(settings: api.Settings) -> api.RequestClass:
    """The first class whose answers caches keep."""
    for request_class in settings.classes:
        if request_class.idempotency is api.Idempotency.SAFE and not request_class.uncacheable:
            return request_class
    raise PlacementError("no class is kept in caches", zone=settings.zone)


def _home_of(policy: RoutingPolicy, now_ns: int, request: api.Request) -> str:
    """The cache that a request is sent to, and answered by at once."""
    for action in policy.handle(now_ns, request):
        if isinstance(action, api.ForwardRequest):
            end = api.AttemptEnded(
                action.id, 0, action.server, api.Outcome.OK, ANSWER_NS, True, api.FillResult.HIT
            )
            policy.handle(now_ns + ANSWER_NS, end)
            return action.server
    return ""


class ObjectCounts(NamedTuple):
    """Objects of one cache in two placements."""

    before: int
    after: int


@dataclass(frozen=True, slots=True)
class PlacementDiff:
    """How two placements of the same objects differ.

    Attributes:
        object_count: How many objects were placed.
        moved_count: How many have another home.
        by_cache: The objects of each cache.
    """

    object_count: int
    moved_count: int
    by_cache: dict[str, ObjectCounts]

    @property
    def moved_share(self) -> float:
        """The share of objects that have another home; 0 of none."""
        return self.moved_count / self.object_count if self.object_count else 0.0


def compare_placements(old: Sequence[str], new: Sequence[str]) -> PlacementDiff:
    """Compare two answers to the same question.

    Raises:
        PlacementError: They are of different length.
    """
    if len(old) != len(new):
        raise PlacementError(
            f"the old placed {len(old)} objects, the new {len(new)}", object_counts=(len(old), len(new))
        )
    caches = sorted({*old, *new} - {""})
    return PlacementDiff(
        len(old),
        sum(before != after for before, after in zip(old, new, strict=True)),
        {cache: ObjectCounts(old.count(cache), new.count(cache)) for cache in caches},
    )
