"""Log lines about the process: its deployment at the start, and its counters while it runs."""

from __future__ import annotations

from collections.abc import Mapping

from kelpcroft.core.state import State
from kelpcroft.deployment_check.missing_features import missing_features
from kelpcroft.invariants import violation_summary


def log_deployment(state: State) -> None:
    """Log at the start one line of features that the deployment lacks, and one of its settings' warnings."""
    roles = frozenset(endpoint.server.role for endpoint in state.policy.endpoints.values())
    missing = missing_features(state.settings, roles or None)
    if missing:
        state.log(
            "deployment.lacks",
            f"this deployment has no {', '.join(missing)}",
            "info",
            {"lacks": list(missing)},
        )
    warnings = state.config.warnings
    if warnings:
        state.log(
            "deployment.doubts",
            "; ".join(map(str, warnings)),
            "warning",
            {"doubts": [f"{warning.place}: {warning.found}" for warning in warnings]},
        )


def log_counters(state: State) -> None:
    """Log one line with the router's counters and its broken invariants, and one line for each route."""
    gauges = {
        "open": len(state.requests),
        "attempts": len(state.attempts),
        "connections": len(state.connections.by_number),
    }
    state.log(
        "router.counters",
        f"{counter_text(gauges)}; {counter_text(state.counters)}; "
        f"broken invariants: {violation_summary() or 'none'}",
        "info",
        {**gauges, **state.counters},
    )
    if state.routes is None:
        return
    for name, counters in state.routes.counters():
        state.log("route.counters", f"{name}: {counter_text(counters)}", "info", {"name": name, **counters})


def counter_text(counters: Mapping[str, float]) -> str:
    """Format counters as ``name value, name value``, in the order of the mapping."""
    return ", ".join(f"{name} {value}" for name, value in counters.items())
