"""Names of the features that a deployment does not have, for one log line.

For each missing feature the router uses measurements instead, or leaves a function out.
"""

from __future__ import annotations

from kelpcroft.decision.interface import Role, Settings


def missing_features(settings: Settings, roles: frozenset[Role] | None = None) -> tuple[str, ...]:
    """Return the names of the features that are missing.

    Args:
        settings: The deployment's settings.
        roles: Roles of the servers on the endpoint list; None if there is no list yet.
    """
    limits = settings.limits
    has_reports = settings.load_report_mode != "off"
    report_fields = settings.load_report_fields
    features = (
        ("cancels", limits.may_cancel),
        ("probes", limits.may_probe),
        ("peers", limits.may_message_peers),
        ("second copies", limits.may_hedge),
        ("pauses", limits.may_send_retry_after),
        ("weights", settings.weight_source != "off"),
        ("load reports", has_reports and bool(report_fields)),
        ("reports of load", not has_reports or "utilization" in report_fields),
        ("reports of hits", not has_reports or "x0" in report_fields),
        ("reports of links", not has_reports or "x1" in report_fields),
        ("notes of fills", settings.notes != "off"),
        ("joined fills", settings.coalesces_fills),
        ("siblings", settings.siblings != "off"),
        ("direct requests", settings.allows_cache_bypass),
        ("link sizes", settings.fill_link_kb_per_s > 0),
        ("pace", settings.max_transfer_kb_per_s > 0),
        ("a bound on open requests", limits.max_open_requests != 0),
        ("parents", roles is None or Role.PARENT in roles),
        ("an origin", roles is None or Role.ORIGIN in roles),
        ("caches", roles is None or Role.CACHE in roles),
    )
    return tuple(name for name, is_present in features if not is_present)
