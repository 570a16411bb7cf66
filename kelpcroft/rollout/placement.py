"""Placement of objects on caches by a build's decision package, and the comparison of two placements.

``kelpcroft homes``, run in a build's folder, prints the placement of that build.  A new instance of its
decision package receives the list of servers and one request for each object of a fixed sequence; the attempt
is sent to the object's cache and succeeds immediately.  The state that a running router has accumulated
(loads, slow and ejected caches) moves further objects, with either build.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from typing import NamedTuple

from kelpcroft.decision import interface as api
from kelpcroft.decision.policy import RoutingPolicy
from kelpcroft.decision.statistics import mix64
from kelpcroft.rollout.errors import PlacementError

START_NS = 10**18  # start of the virtual clock; any time later than SETTLED_NS is suitable
STEP_NS = 100 * 10**6  # time between two requests, so that the first has no influence on the second
SETTLED_NS = 3_600 * 10**9  # age of the list at the first request, at which no cache is warming up
RESPONSE_NS = 10**6  # time from a request to its response
DEFAULT_DEADLINE_NS = 10**9  # deadline of a class that has none


def place_objects(settings: api.Settings, servers: Sequence[api.Server], count: int) -> list[str]:
    """Place each object of a sequence, which is the same in every call.

    Args:
        settings: The settings of the deployment.
        servers: The list of servers, as a router would restore it.
        count: The number of objects.

    Returns:
        The cache to which each object's request is sent; "" if it is not sent to a server.

    Raises:
        PlacementError: Caches store no class of the deployment.
    """
    request_class = _cached_class(settings)
    deadline_ns = request_class.deadline_ns or DEFAULT_DEADLINE_NS
    policy = RoutingPolicy(settings)
    now_ns = START_NS
    policy.start(now_ns)
    policy.handle(now_ns, api.EndpointListChanged("restored", tuple(servers)))
    now_ns += SETTLED_NS
    placement = []
    for n in range(count):
        now_ns += STEP_NS
        request = api.Request(str(n), request_class.name, deadline_ns, mix64(n) >> 1)
        placement.append(_place_object(policy, now_ns, request))
    return placement


def _cached_class(settings: api.Settings) -> api.RequestClass:
    """The first class whose responses caches store."""
    for request_class in settings.classes:
        if request_class.idempotency is api.Idempotency.SAFE and not request_class.uncacheable:
            return request_class
    raise PlacementError("caches store no class of this deployment", zone=settings.zone)


def _place_object(policy: RoutingPolicy, now_ns: int, request: api.Request) -> str:
    """The server to which the first attempt of a request is sent; the attempt then succeeds immediately."""
    for action in policy.handle(now_ns, request):
        if isinstance(action, api.ForwardRequest):
            end = api.AttemptEnded(
                action.id, 0, action.server, api.Outcome.OK, RESPONSE_NS, True, api.FillResult.HIT
            )
            policy.handle(now_ns + RESPONSE_NS, end)
            return action.server
    return ""


class ObjectCounts(NamedTuple):
    """Numbers of objects that two placements put on one cache."""

    before: int
    after: int


@dataclass(frozen=True, slots=True)
class PlacementDiff:
    """Difference between two placements of the same objects.

    Attributes:
        object_count: The number of objects placed.
        moved_count: The number of objects that the two placements put on different caches.
        by_cache: The number of objects of each cache in both placements.
    """

    object_count: int
    moved_count: int
    by_cache: dict[str, ObjectCounts]

    @property
    def moved_share(self) -> float:
        """The share of objects that are on different caches; 0 if there are no objects."""
        return self.moved_count / self.object_count if self.object_count else 0.0


def compare_placements(old: Sequence[str], new: Sequence[str]) -> PlacementDiff:
    """Compare two placements of the same sequence of objects.

    Raises:
        PlacementError: The placements are of different length.
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
