"""What a deployment does not have, in the words of one log line.  Each means that something is done by
measurement, or not at all."""

from __future__ import annotations

from kelpcroft.decision.interface import Role, Settings


def missing_features(s: Settings, roles: frozenset[Role] | None = None) -> tuple[str, ...]:
    """Names of what is missing; ``roles``: the kinds of servers on the list, where one is known."""
    found = (
        ("cancels", not s.limits.may_cancel),
        ("probes", not s.limits.may_probe),
        ("peers", not s.limits.may_message_peers),
        ("second copies", not s.limits.may_hedge),
        ("pauses", not s.limits.may_send_retry_after),
        ("weights", s.weight_source == "off"),
        ("load reports", s.load_report_mode == "off" or not s.load_report_fields),
        ("reports of load", s.load_report_mode != "off" and "utilization" not in s.load_report_fields),
        ("reports of hits", s.load_report_mode != "off" and "x0" not in s.load_report_fields),
        ("reports of links", s.load_report_mode != "off" and "x1" not in s.load_report_fields),
        ("notes of fills", s.notes == "off"),
        ("joined fills", not s.coalesces_fills),
        ("siblings", s.siblings == "off"),
        ("direct requests", not s.allows_cache_bypass),
        ("link sizes", s.fill_link_kb_per_s <= 0),
        ("pace", s.max_transfer_kb_per_s <= 0),
        ("a bound on open requests", s.limits.max_open_requests == 0),
        ("parents", roles is not None and Role.PARENT not in roles),
        ("an origin", roles is not None and Role.ORIGIN not in roles),
        ("caches", roles is not None and Role.CACHE not in roles),
    )
    return tuple(name for name, missing in found if missing)
