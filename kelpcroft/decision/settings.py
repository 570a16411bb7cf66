"""Settings of the decision package, which a router receives from its deployment and operators.

The module defines types only; thresholds and algorithms are in the modules that use them.  Times are integer
nanoseconds (names end in ``_ns``); sizes are in KB.  If a setting has its value for "unknown", the router
works without that setting.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import Final

# Longest wait of a client, and so the longest time that a fill which is in progress may still take
MAX_LATE_FILL_NS: Final = 60 * 10**9


class SettingsError(ValueError):
    """Raised for an invalid setting; the message contains its key and the reason."""


class Idempotency(Enum):
    """Whether a request may be executed more than once."""

    SAFE = "safe"  # any number of times
    KEYED = "keyed"  # servers drop repeats of the request's key, for a limited time and within a scope
    UNSAFE = "unsafe"  # at most once


@dataclass(frozen=True, slots=True)
class RequestClass:
    """One class of requests.

    Attributes:
        name: The name by which requests refer to the class.
        idempotency: Whether requests may be executed more than once.
        dedup_scope: Keyed classes: the servers that drop each other's repeats: "all", "zone" or "cell".
        dedup_window_ns: Keyed classes: how long repeats are dropped, from the first attempt that may have
            executed.
        latency_objective_ns: The fixed component of the latency objective.
        objective_transfer_multiple: The multiple of the request's own transfer time that is added to
            ``latency_objective_ns``; a response within the sum has its full value.
        deadline_ns: The longest time that clients wait.
        priority_weight: The value of a response within the latency objective.
        late_value_share: The share of that value which a late response still has.
        streamed: Once an attempt has begun to respond, the request stays with it: no other attempt is sent.
        uncacheable: Requests are executed at the origin, and no copy is kept.
        multipart: Objects have parts, each of which is cached separately.
        freshness_lifetime_ns: How long a copy may be served; 0 if it may be served until it is purged.
        stale_grace_ns: How much longer a copy may be served at ``stale_value_share`` of the value.
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
    """Features that the deployment allows, and its limits.

    Attributes:
        may_cancel: Attempts in flight may be cancelled.
        may_probe: Health checks may be sent to servers.
        may_message_peers: Routers may send each other messages.
        may_hedge: Two attempts of one request may be in flight at the same time.
        may_send_retry_after: A rejection may state when the client should retry.
        max_retry_after_ns: The maximum delay that a rejection may state.
        max_attempts: The maximum number of attempts of one request.
        max_open_requests: The maximum number of requests in flight in one router; 0 if it is unknown.
        connect_timeout_ns: The servers' own connect timeout; 0 if it is unknown.
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
    """Parameters of the five rules that the platform checks.

    Attributes:
        response_slack_ns: Rule 1: how long after its deadline a request may still receive its response.
        drain_grace_ns: Rule 3: how long after its drain begins a server may still receive requests.
        cold_capacity_share: Rule 4: the minimum share of its capacity that a cache has when it starts.
        warm_up_ns: Rule 4: the time after its start at which a cache has its full capacity.
        overload_collapse_multiple: Rule 4: the multiple of its current capacity above which a cache is
            overloaded.
        overload_collapse_ns: Rule 4: how long a cache or a parent withstands such an overload before it
            collapses.
        parent_cold_capacity_share: As ``cold_capacity_share``, for parents.
        parent_warm_up_ns: As ``warm_up_ns``, for parents.
        parent_overload_collapse_multiple: As ``overload_collapse_multiple``, for parents.
        purge_grace_ns: Rule 5: how long after a purge an older copy may still be served.
        purge_sweep_ns: Rule 5: the time after a purge by which servers have dropped the purged copies
            themselves.
        discovery_poll_limit_ns: With polled discovery, the time after which a router is expected to have
            received a change of the endpoint list.
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
        """How long a purge is kept: after the servers' own sweep, fills in progress may still be stored."""
        return self.purge_sweep_ns + MAX_LATE_FILL_NS


@dataclass(frozen=True, slots=True)
class Settings:
    """All settings of a router.

    Attributes:
        zone: The router's own zone.
        zones: All zones, in the deployment's order.
        classes: The request classes.
        limits: The features that the deployment allows, and its limits.
        rules: Parameters of the rules.
        seed: The seed of random choices, if any are made.
        router_index: The router's number among the routers of all zones, from 0.
        instances: The number of routers in all zones.
        zone_instances: The number of routers in the router's own zone.
        hub_index_by_zone: For each zone, the index of its hub zone in ``zones``.
        fill_link_kb_per_s: The capacity of the zone's link for fills; 0 if it is unknown.
        max_transfer_kb_per_s: The maximum rate of one transfer to a client; 0 if it is unknown.
        allows_cache_bypass: Parents and the origin accept requests directly.
        siblings: The caches that may be fill sources: "off", "location" or "any".
        coalesces_fills: A request may join a fill of its object that is already in progress.
        notes: The fill results that responses report: "all", "hit" (only whether it was a hit) or "off".
        discovery: How the endpoint list is delivered: "push" or "ask" (on request).
        weight_source: The source of the servers' weights: "off", "nominal", "rough" or "live".
        load_report_mode: How servers report their load: "inline", "on_probe" or "off".
        load_report_fields: The names of a load report's values, in order.
        clock_tick_ns: The resolution of the clock.

    Raises:
        SettingsError: A value is not one of those listed above.
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
        # Operators read these messages, so they use the name of the setting, for some of them the name on the
        # simulator's wire.
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
