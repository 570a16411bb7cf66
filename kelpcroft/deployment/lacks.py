"""What a deployment does not have, in the words of one log line.  Each means that something is done by
measurement, or not at all."""

from __future__ import annotations

from zincgrade.interface import Role, Settings


def lacks(s: Settings, roles: frozenset[Role] | None = None) -> tuple[str, ...]:
    """Names of what is missing; ``roles``: the kinds of servers on the list, where one is known."""
    found = (
        ("cancels", not s.limits.may_cancel),
        ("probes", not s.limits.may_probe),
        ("peers", not s.limits.peers),
        ("second copies", not s.limits.second_copies),
        ("pauses", not s.limits.retry_after),
        ("weights", s.weights == "off"),
        ("load reports", s.report_how == "off" or not s.report_fields),
        ("reports of load", s.report_how != "off" and "utilization" not in s.report_fields),
        ("reports of hits", s.report_how != "off" and "x0" not in s.report_fields),
        ("reports of links", s.report_how != "off" and "x1" not in s.report_fields),
        ("notes of fills", s.notes == "off"),
        ("joined fills", not s.joins),
        ("siblings", s.siblings == "off"),
        ("direct requests", not s.direct),
        ("link sizes", s.link_kb_per_s <= 0),
        ("pace", s.pace_kb_per_s <= 0),
        ("a bound on open requests", s.limits.max_open == 0),
        ("parents", roles is not None and Role.PARENT not in roles),
        ("an origin", roles is not None and Role.ORIGIN not in roles),
        ("caches", roles is not None and Role.CACHE not in roles),
    )
    return tuple(name for name, missing in found if missing)
