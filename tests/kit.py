"""Helpers of the tests: settings, a list of servers, and short names.  No model of any server."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

from zincgrade import interface as api
from zincgrade.policy import Policy

MS, S = 10**6, 10**9
SAFE = api.RequestClass("safe", aim_ns=500 * MS, deadline_ns=6 * S, aim_stretch=2, worth=2)
KEYED = api.RequestClass(
    "keyed", api.Effect.KEYED, window_ns=3 * S, aim_ns=800 * MS, deadline_ns=3 * S, uncacheable=True
)
UNSAFE = api.RequestClass(
    "unsafe", api.Effect.UNSAFE, window_ns=3 * S, aim_ns=800 * MS, deadline_ns=3 * S, uncacheable=True
)
RULES = api.Rules(
    drain_grace_ns=2 * S,
    cold_from=0.2,
    cold_ns=18 * S,
    fall_multiple=2.0,
    fall_ns=S,
    parent_cold_from=0.07,
    parent_cold_ns=20 * S,
    parent_fall_multiple=2.0,
    purge_grace_ns=300 * MS,
    purge_done_ns=6 * S,
)


def settings(**changes: Any) -> api.Settings:
    limits = api.Limits(may_cancel=True, second_copies=False, max_attempts=6)
    limits = replace(limits, **{k: changes.pop(k) for k in list(changes) if hasattr(limits, k)})
    rules = replace(RULES, **{k: changes.pop(k) for k in list(changes) if hasattr(RULES, k)})
    base: dict[str, Any] = {
        "zone": "a",
        "zones": ("a", "b", "h1", "h2"),
        "classes": (SAFE, KEYED, UNSAFE),
        "limits": limits,
        "rules": rules,
        "siblings": "location",
        "notes": "all",
        "weights": "nominal",
        "pace_kb_per_s": 1000.0,
        "tick_ns": 2 * MS,
    }
    return api.Settings(**{**base, **changes})


def servers() -> list[api.Server]:
    return [
        *(api.Server(f"c{n}", api.Role.CACHE, "a", n // 2, weight=5) for n in range(4)),
        api.Server("x0", api.Role.CACHE, "b", 9, weight=5),
        api.Server("p0", api.Role.PARENT, "h1", 90, weight=20),
        api.Server("p1", api.Role.PARENT, "h2", 91, weight=20),
        api.Server("o", api.Role.ORIGIN, "h1", 99),
    ]


def policy(lines: list[api.Server] | None = None, **changes: Any) -> Policy:
    made = Policy(settings(**changes))
    made.start(S)
    made.handle(S, api.ServerList("restored", tuple(servers() if lines is None else lines)))
    return made


def ask(p: Policy, now: int, name: str, item: int = 1, cls: str = "safe", **more: Any) -> list[api.Action]:
    return p.handle(now, api.Request(name, cls, more.pop("patience_ns", 3 * S), item, **more))


def fetches(actions: list[api.Action]) -> list[api.Fetch]:
    return [a for a in actions if isinstance(a, api.Fetch)]


def end(
    p: Policy,
    now: int,
    f: api.Fetch,
    outcome: api.Outcome,
    attempt: int = 0,
    took: int = 10 * MS,
    note: api.Note = api.Note.NONE,
    final: bool | None = None,
) -> list[api.Action]:
    done = outcome is api.Outcome.OK if final is None else final
    return p.handle(now, api.AttemptEnded(f.id, attempt, f.cache, outcome, took, done, note))
