"""Helpers for tests of the decision package: settings, an endpoint list and short names.

No server is simulated: the tests pass the events themselves.
"""

from __future__ import annotations

from dataclasses import replace
from typing import Any

from kelpcroft.decision import interface as api
from kelpcroft.decision.policy import RoutingPolicy

MS, S = 10**6, 10**9
SAFE = api.RequestClass(
    "safe", latency_objective_ns=500 * MS, deadline_ns=6 * S, objective_transfer_multiple=2, priority_weight=2
)
KEYED = api.RequestClass(
    "keyed",
    api.Idempotency.KEYED,
    dedup_window_ns=3 * S,
    latency_objective_ns=800 * MS,
    deadline_ns=3 * S,
    uncacheable=True,
)
UNSAFE = api.RequestClass(
    "unsafe",
    api.Idempotency.UNSAFE,
    dedup_window_ns=3 * S,
    latency_objective_ns=800 * MS,
    deadline_ns=3 * S,
    uncacheable=True,
)
RULES = api.Rules(
    drain_grace_ns=2 * S,
    cold_capacity_share=0.2,
    warm_up_ns=18 * S,
    overload_collapse_multiple=2.0,
    overload_collapse_ns=S,
    parent_cold_capacity_share=0.07,
    parent_warm_up_ns=20 * S,
    parent_overload_collapse_multiple=2.0,
    purge_grace_ns=300 * MS,
    purge_sweep_ns=6 * S,
)


def settings(**changes: Any) -> api.Settings:
    limits = api.Limits(may_cancel=True, may_hedge=False, max_attempts=6)
    limits = replace(limits, **{k: changes.pop(k) for k in list(changes) if hasattr(limits, k)})
    rules = replace(RULES, **{k: changes.pop(k) for k in list(changes) if hasattr(RULES, k)})
    values: dict[str, Any] = {
        "zone": "a",
        "zones": ("a", "b", "h1", "h2"),
        "classes": (SAFE, KEYED, UNSAFE),
        "limits": limits,
        "rules": rules,
        "siblings": "location",
        "notes": "all",
        "weight_source": "nominal",
        "max_transfer_kb_per_s": 1000.0,
        "clock_tick_ns": 2 * MS,
    }
    return api.Settings(**{**values, **changes})


def servers() -> list[api.Server]:
    return [
        *(api.Server(f"c{n}", api.Role.CACHE, "a", n // 2, weight=5) for n in range(4)),
        api.Server("x0", api.Role.CACHE, "b", 9, weight=5),
        api.Server("p0", api.Role.PARENT, "h1", 90, weight=20),
        api.Server("p1", api.Role.PARENT, "h2", 91, weight=20),
        api.Server("o", api.Role.ORIGIN, "h1", 99),
    ]


def make_policy(listed_servers: list[api.Server] | None = None, **changes: Any) -> RoutingPolicy:
    routing_policy = RoutingPolicy(settings(**changes))
    routing_policy.start(S)
    routing_policy.handle(
        S, api.EndpointListChanged("restored", tuple(servers() if listed_servers is None else listed_servers))
    )
    return routing_policy


def send_request(
    p: RoutingPolicy, now: int, name: str, object_id: int = 1, class_name: str = "safe", **request_fields: Any
) -> list[api.Action]:
    return p.handle(
        now,
        api.Request(
            name, class_name, request_fields.pop("time_remaining_ns", 3 * S), object_id, **request_fields
        ),
    )


def forwarded_attempts(actions: list[api.Action]) -> list[api.ForwardRequest]:
    return [a for a in actions if isinstance(a, api.ForwardRequest)]


def end_attempt(
    p: RoutingPolicy,
    now: int,
    f: api.ForwardRequest,
    outcome: api.Outcome,
    attempt: int = 0,
    elapsed_ns: int = 10 * MS,
    fill_result: api.FillResult = api.FillResult.NONE,
    final: bool | None = None,
) -> list[api.Action]:
    is_final = outcome is api.Outcome.OK if final is None else final
    return p.handle(
        now, api.AttemptEnded(f.id, attempt, f.server, outcome, elapsed_ns, is_final, fill_result)
    )
