"""Settings of the decisions: what the deployment and its operators tell a router at its start.

Types only: no decision and no tuned value stands here.  Times are integer nanoseconds (names end in ``_ns``);
sizes are KB.  Where a setting has a value for "not known", the router does without it.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import Final

MAX_LATE_FILL_NS: Final = 60 * 10**9  # the longest that a client, and so a fill that was under way, may wait


class SettingsError(ValueError):
    """A setting that cannot be used; the message names its key and the reason."""


class Idempotency(Enum):
    """Whether a request may be executed more than once."""

    SAFE = "safe"  # any number of times
    KEYED = "keyed"  # servers drop repeats of its key, for a time and among some of them
    UNSAFE = "unsafe"  # at most once


@dataclass(frozen=True, slots=True)
class RequestClass:
    """One class of requests.

    Attributes:
        name: Its name, by which requests refer to it.
        idempotency: Whether its requests may be executed more than once.
        dedup_scope: Keyed: the servers that drop each other's repeats: "all", "zone" or "cell".
        dedup_window_ns: Keyed: repeats are dropped for this long after the first send that may have executed.
        latency_objective_ns: An answer within this ...
        objective_transfer_multiple: ... plus this many times the request's own transfer time earns its full
            worth.
        deadline_ns: How long its clients wait at the most.
        priority_weight: The worth of an answer in time.
        late_value_share: The share of that worth which a late answer still earns.
        streamed: An attempt that has begun to answer belongs to the client; no other is then wanted.
        uncacheable: It is executed at the origin and leaves no copy.
        multipart: Its objects have parts, which are cached each by itself.
        freshness_lifetime_ns: How long a copy may be served; 0 for until it is purged.
        stale_grace_ns: How much longer a copy may be served at ``stale_value_share`` of the worth.
        stale_value_share: See ``stale_grace_ns``.
    """

    name: str
    idempotency: Idempotency = Idempotency.SAFE
    dedup_scope: str = "all"
    dedup_window_ns: int = 0
    latency_objective_ns: int = 0
    objective_transfer_multiple: float = 0.0
    deadline_ns: int = 0
    priority_weight: float = 1.0
    late_value_share: float = 0.0
    streamed: bool = False
    uncacheable: bool = False
    multipart: bool = False
    freshness_lifetime_ns: int = 0
    stale_grace_ns: int = 0
    stale_value_share: float = 1.0


@dataclass(frozen=True, slots=True)
class Limits:
    """What the deployment allows.

    Attributes:
        may_cancel: Attempts that are out may be cancelled.
        may_probe: Servers may be probed.
        may_message_peers: Routers may send each other messages.
        may_hedge: Two attempts of one request may be out together.
        may_send_retry_after: A rejection may tell the client when to come back.
        max_retry_after_ns: How far off that may be.
        max_attempts: Attempts of one request.
        max_open_requests: Requests in flight in one router; 0 where that is not known.
        connect_timeout_ns: The servers' own time-out for connections; 0 where that is not known.
    """

    may_cancel: bool = False
    may_probe: bool = False
    may_message_peers: bool = False
    may_hedge: bool = False
    may_send_retry_after: bool = False
    max_retry_after_ns: int = 0
    max_attempts: int = 1
    max_open_requests: int = 0
    connect_timeout_ns: int = 0


@dataclass(frozen=True, slots=True)
class Rules:
    """Figures of the five rules that the platform checks.

    Attributes:
        response_slack_ns: Rule 1: how long after its deadline a request may still be answered.
        drain_grace_ns: Rule 3: how long after it drains a server may still be sent requests.
        cold_capacity_share: Rule 4: the share of its capacity that a cache has at its start, at the least.
        warm_up_ns: By then it has all of it.
        overload_collapse_multiple: More than this times its present capacity ...
        overload_collapse_ns: ... for this long makes it collapse; parents too.
        parent_cold_capacity_share: As ``cold_capacity_share``, of parents.
        parent_warm_up_ns: As ``warm_up_ns``, of parents.
        parent_overload_collapse_multiple: As ``overload_collapse_multiple``, of parents.
        purge_grace_ns: Rule 5: how long after a purge an older copy may still be served.
        purge_sweep_ns: By then servers have dropped purged copies themselves.
        discovery_poll_limit_ns: Where discovery is asked: a change of the list counts as known after this.
    """

    response_slack_ns: int = 0
    drain_grace_ns: int = 0
    cold_capacity_share: float = 1.0
    warm_up_ns: int = 0
    overload_collapse_multiple: float = 1.0
    overload_collapse_ns: int = 0
    parent_cold_capacity_share: float = 1.0
    parent_warm_up_ns: int = 0
    parent_overload_collapse_multiple: float = 1.0
    purge_grace_ns: int = 0
    purge_sweep_ns: int = 0
    discovery_poll_limit_ns: int = 0

    @property
    def purge_retention_ns(self) -> int:
        """How long a purge matters: past the servers' own sweep, a fill that was under way may still land."""
        return self.purge_sweep_ns + MAX_LATE_FILL_NS


@dataclass(frozen=True, slots=True)
class Settings:
    """All that a router is given at its start.

    Attributes:
        zone: Its own zone.
        zones: All zones, in the deployment's order.
        classes: The classes of requests.
        limits: What the deployment allows.
        rules: Figures of the rules.
        seed: Of chance, where any is used.
        router_index: Its number among the routers of all zones, from 0.
        instances: Routers in all zones.
        zone_instances: Routers in its zone.
        hub_index_by_zone: For each zone, the place of its hub in ``zones``.
        fill_link_kb_per_s: The zone's link for fills; 0 where that is not known.
        max_transfer_kb_per_s: The pace of one transfer to a client at the most; 0 where that is not known.
        allows_cache_bypass: Parents and the origin take requests directly.
        siblings: Caches that may be a fill's source: "off", "location" or "any".
        coalesces_fills: A request may join a fill that is under way.
        notes: What answers tell of their fill: "all", "hit" (whether it was a hit) or "off".
        discovery: How the list of servers comes: "push" or "ask".
        weight_source: What a server's weight means: "off", "nominal", "rough" or "live".
        load_report_mode: How servers report their load: "inline", "on_probe" or "off".
        load_report_fields: The names of a load report's values, in order.
        clock_tick_ns: The grain of the clock.

    Raises:
        SettingsError: A value is not among those above.
    """

    zone: str
    zones: tuple[str, ...]
    classes: tuple[RequestClass, ...]
    limits: Limits = field(default_factory=Limits)
    rules: Rules = field(default_factory=Rules)
    seed: int = 0
    router_index: int = 0
    instances: int = 1
    zone_instances: int = 1
    hub_index_by_zone: tuple[int, ...] = ()
    fill_link_kb_per_s: float = 0.0
    max_transfer_kb_per_s: float = 0.0
    allows_cache_bypass: bool = False
    siblings: str = "off"
    coalesces_fills: bool = False
    notes: str = "off"
    discovery: str = "push"
    weight_source: str = "off"
    load_report_mode: str = "off"
    load_report_fields: tuple[str, ...] = ()
    clock_tick_ns: int = 1

    def __post_init__(self) -> None:
        # The messages name fields, some by their name on the simulator's wire: operators read them.
        for key, is_wrong, reason in (
            ("zone", self.zone not in self.zones, "is not one of zones"),
            ("classes", not self.classes, "is empty"),
            ("instances", self.instances < 1, "is under 1"),
            ("siblings", self.siblings not in ("off", "location", "any"), "is not off, location or any"),
            ("notes", self.notes not in ("all", "hit", "off"), "is not all, hit or off"),
            ("discovery", self.discovery not in ("push", "ask"), "is not push or ask"),
            ("limits.max_attempts", self.limits.max_attempts < 1, "is under 1"),
        ):
            if is_wrong:
                raise SettingsError(f"{key}: {getattr(self, key, '')!r} {reason}")
