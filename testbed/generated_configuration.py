"""Randomly generated configurations with varying numbers of zones, servers and classes.

The draws are made in a fixed order, so a seed gives the same configuration as long as no draw is inserted
before another. The keys are those of ``config.json``.
"""

from __future__ import annotations

from random import Random
from typing import Any

MS, S = 10**6, 10**9
FIRST_PORT = 9_000
SERVERS_PER_GROUP = 3


def generate_configuration(seed: int) -> dict[str, Any]:
    """A configuration with 1 to 5 hub zones, 1 to 40 caches, and random classes, limits and features."""
    r = Random(seed)
    hubs = [f"h{n}" for n in range(r.randint(1, 5))]
    edges = [f"e{n}" for n in range(r.randint(1, 3))]
    classes, goes_through = _classes(r)
    servers = [(f"b{n}", r.choice(edges), "box") for n in range(r.randint(1, 40))]
    servers += [(f"p{n}", r.choice(hubs), "hub") for n in range(r.randint(0, 3))]
    servers.append(("store", hubs[0], "store"))
    weight_source = r.choice(["off", "nominal", "rough"])
    endpoints = _endpoints(r, servers, weight_source)
    report_fields = r.sample(["outstanding", "utilization", "x0", "x1"], r.randint(0, 4))
    return {
        "name": "n",
        "listen": "127.0.0.1:9",
        "feed": "127.0.0.1:8",
        "seed": f"{seed:x}",
        "limits": {"sockets": r.choice([64, 128, 1_024]), "memory_mb": 64},
        "known": {"n": 1, "events": [{"n": 1, "members": {"snapshot": True, "endpoints": endpoints}}]},
        "settings": {
            "az": edges[0],
            "dcs": hubs + edges,
            "classes": classes,
            "instances": 1,
            "self_index": 0,
            "machine_types": ["box", "hub", "store"],
            "weight_source": weight_source,
            "tick_ns": r.choice([1, 2 * MS]),
            "report": {"how": "inline" if report_fields else "off", "fields": report_fields},
            "limits": _limits(r),
            "contract": _contract(r),
            "family_info": _family_info(r, hubs, edges, goes_through),
        },
    }


def _classes(r: Random) -> tuple[list[dict[str, Any]], list[bool]]:
    """One to four request classes, and for each whether its requests go through to the origin."""
    classes, goes_through = [], []
    for _ in range(r.randint(1, 4)):
        idempotency = r.choice(["safe", "keyed", "unsafe"])
        deadline_ns = r.choice([800, 2_000, 5_000]) * MS
        classes.append(
            {
                "name": f"class-{r.getrandbits(16):04x}",
                "idempotency": idempotency,
                "credit": r.choice([1, 2, 5]),
                "group": r.choice(["all", "zone", "cell"]),
                "dedup_window_ns": r.choice([300, 1_500, 5_000]) * MS,
                "aim_ns": deadline_ns // r.choice([3, 8]),
                "aim_stretch": r.choice([0, 2]),
                "give_up_ns": deadline_ns,
            }
        )
        goes_through.append(idempotency != "safe" and r.random() < 0.7)
    return classes, goes_through


def _endpoints(r: Random, servers: list[tuple[str, str, str]], weight_source: str) -> list[dict[str, Any]]:
    """Lines of the list service for servers that are given as name, zone and type."""
    return [
        {
            "name": name,
            "address": f"127.0.0.1:{FIRST_PORT + n}",
            "zone": zone,
            "type": kind,
            "status": "active",
            "group": n // SERVERS_PER_GROUP,
            "weight": 1 if weight_source == "off" else r.choice([4, 9.5, 40]),
        }
        for n, (name, zone, kind) in enumerate(servers)
    ]


def _limits(r: Random) -> dict[str, Any]:
    return {
        "most_tries": r.randint(1, 8),
        "may_cancel": r.random() < 0.8,
        "max_streams": r.choice([1, 32]),
        "second_copies": r.random() < 0.5,
        "retry_after": r.random() < 0.5,
        "max_open": r.choice([0, 5, 1_000]),
        "max_retry_after_ns": 2 * S,
    }


def _contract(r: Random) -> dict[str, Any]:
    return {
        "drain_grace_ns": r.choice([0, 250, 500]) * MS,
        "cold_from": r.choice([0.1, 0.5, 1]),
        "cold_ns": 15 * S,
        "fall_multiple": 2.5,
        "fall_ns": r.choice([1, 2]) * S,
    }


def _family_info(r: Random, hubs: list[str], edges: list[str], goes_through: list[bool]) -> dict[str, Any]:
    return {
        "goes_through": goes_through,
        "max_age_ns": [r.choice([0, 8 * S]) for _ in goes_through],
        "hub_of": [r.randrange(len(hubs)) for _ in hubs + edges],
        "master_kind": 2,
        "shield_kind": 1,
        "instances_by_zone": [0] * len(hubs) + [1] + [0] * (len(edges) - 1),
        "zone_link_kb_per_s": [r.choice([0, 9_000])] * len(hubs + edges),
        "pace_kb_per_s": r.choice([0, 1_000]),
        "may_pass_by": r.random() < 0.7,
        "sideways": r.choice(["off", "location"]),
        "merges_fills": r.random() < 0.5,
        "notes_given": r.choice(["all", "hit", "off"]),
        "parent_cold_from": 0.1,
        "parent_warms_in_ns": 15 * S,
        "parent_fall_multiple": 2.0,
        "purge_grace_ns": r.choice([0, 300, 500]) * MS,
        "purge_takes_ns": 6 * S,
    }
