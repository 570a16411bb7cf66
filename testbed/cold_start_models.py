"""Models with limits for a cold start: the list service, a cache or parent, and the origin.

The models have no clock; callers pass the time. All times are nanoseconds of virtual time, and the same calls
give the same results.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

from kelpcroft.decision.statistics import mix64

MS, S = 10**6, 10**9
START = 1_764_576_000 * S
PART_TRANSFER_NS = 250 * MS
COLLAPSE_DOWN_NS = 20 * S  # a collapsed server is down for this long
WARM_UP_NS = 15 * S
TO_ORIGIN_NS = 20 * MS  # round trip
ORIGIN_QUEUE_NS = 1_500 * MS  # longest queue of the origin, as time of work
WARM_CACHE_OBJECTS_SHARE = 0.7  # share of objects in a warm cache; a warm parent holds as much of the rest


class WarmUp(NamedTuple):
    """Behavior of a cold server, as stated in the router's settings."""

    cold_capacity_share: float
    collapse_multiple: float  # multiple of the present capacity that, sent within a second, makes it collapse


CACHE_WARM_UP = WarmUp(0.2, 2.5)
PARENT_WARM_UP = WarmUp(0.1, 2.0)


class WaitingWatch(NamedTuple):
    """A watch request that the list service has accepted and not yet responded to."""

    received_ns: int
    after_event: int
    until_ns: int


@dataclass
class ListServiceModel:
    """The list service.

    It responds to ``calls_per_s`` watch requests a second, and crashes with over ``max_queued_calls`` queued.
    """

    calls_per_s: float = 200.0
    max_queued_calls: int = 100
    down_ns: int = 5 * S  # after a crash
    down_until_ns: int = 0
    renumbers_after_crash: bool = False  # its events are numbered from 1 again
    free_at_ns: int = 0
    crashes: int = 0
    last_event: int = 2
    calls: list[int] = field(default_factory=list)  # arrival times
    waiting_watches: dict[int, WaitingWatch] = field(default_factory=dict)  # by router

    def accept(self, now_ns: int) -> bool:
        """Queue one more watch request, and return False if it makes the service crash."""
        self.free_at_ns = max(self.free_at_ns, now_ns) + int(S / self.calls_per_s)
        queued = (self.free_at_ns - now_ns) / S * self.calls_per_s
        return queued <= self.max_queued_calls

    def crash(self, now_ns: int) -> None:
        """Crash; the caller resets the watchers' connections."""
        self.crashes += 1
        self.down_until_ns = now_ns + self.down_ns
        self.free_at_ns = now_ns + self.down_ns
        if self.renumbers_after_crash:
            self.last_event = 1
        self.waiting_watches.clear()


@dataclass
class ServerModel:
    """A cache or a parent: its queue of work, its present capacity and the objects that it holds."""

    weight: float  # parts that it transfers concurrently when warm
    is_parent: bool
    started_ns: int  # 0 = warm
    max_connections: int = 10**9
    free_at_ns: float = 0.0
    down_until_ns: int = 0
    collapses: int = 0
    connections: int = 0
    connection_attempts: int = 0
    refused_connections: int = 0
    max_cold_use: float = 0.0  # while cold: the largest load as a share of the load that makes it collapse
    recent_sends: list[int] = field(default_factory=list)  # times of transfers in the last second, while cold
    objects: set[int] = field(default_factory=set)
    transfers_end_ns: list[int] = field(default_factory=list)

    def warm_fraction(self, now_ns: int) -> float:
        """Its share of the full capacity, which rises linearly from the cold share over the warm-up."""
        age_ns = now_ns - self.started_ns
        if age_ns >= WARM_UP_NS:
            return 1.0
        low = self._warm_up.cold_capacity_share
        return low + (1 - low) * max(0, age_ns) / WARM_UP_NS

    @property
    def _warm_up(self) -> WarmUp:
        return PARENT_WARM_UP if self.is_parent else CACHE_WARM_UP

    def transfer(self, now_ns: int) -> int | None:
        """Start one more transfer.

        Returns:
            Nanoseconds until the transfer ends, or None if it makes the server collapse.
        """
        fraction = self.warm_fraction(now_ns)
        if fraction < 1 and self._collapses_at(now_ns, fraction):
            self._collapse(now_ns)
            return None
        self.free_at_ns = max(self.free_at_ns, now_ns) + PART_TRANSFER_NS / (self.weight * fraction)
        return int(self.free_at_ns - now_ns) + PART_TRANSFER_NS

    def _collapses_at(self, now_ns: int, fraction: float) -> bool:
        """Count one more transfer; return whether those of the last second make the cold server collapse."""
        self.recent_sends = [at for at in self.recent_sends if at > now_ns - S] + [now_ns]
        limit_ns = self._warm_up.collapse_multiple * fraction * self.weight * S
        used = (len(self.recent_sends) - 1) * PART_TRANSFER_NS / limit_ns
        self.max_cold_use = max(self.max_cold_use, used)
        return used > 1

    def _collapse(self, now_ns: int) -> None:
        self.collapses += 1
        self.down_until_ns = now_ns + COLLAPSE_DOWN_NS
        self.started_ns = now_ns + COLLAPSE_DOWN_NS
        self.recent_sends = []
        self.objects.clear()

    def load_report(self, now_ns: int, until_ns: int) -> dict[str, float]:
        """The load report of a response; ``until_ns`` is the end of its request's transfer."""
        self.transfers_end_ns = [at for at in self.transfers_end_ns if at > now_ns]
        self.transfers_end_ns.append(until_ns)
        return {"outstanding": float(len(self.transfers_end_ns))}

    def has_object(self, object_number: int, seed: int) -> bool:
        """Whether it holds an object; a server that started warm holds a share drawn by ``seed``."""
        if object_number in self.objects:
            return True
        return (
            not self.started_ns
            and mix64(object_number * 65_537 + seed) % 1000 < WARM_CACHE_OBJECTS_SHARE * 1000
        )


@dataclass
class OriginModel:
    """The origin.

    It serves ``requests_per_s`` requests a second, half of that when its queue is full, and rejects the rest.
    """

    requests_per_s: float
    free_at_ns: float = 0.0
    refused: int = 0
    request_times: list[int] = field(default_factory=list)

    def accept(self, now_ns: int) -> int | None:
        """Accept one more request; return the ns until its response arrives, or None if it is rejected."""
        self.request_times.append(now_ns)
        queue_share = max(0.0, self.free_at_ns - now_ns) / ORIGIN_QUEUE_NS
        if queue_share > 1:
            self.refused += 1
            return None
        self.free_at_ns = max(self.free_at_ns, now_ns) + S / self.requests_per_s * (1 + queue_share)
        return int(self.free_at_ns - now_ns) + TO_ORIGIN_NS
