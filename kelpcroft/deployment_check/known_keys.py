"""Table of all known keys of a configuration: form of the value, reading modules, meaning of an absent key.

``docs/operators/sites.md`` has the same table for operators; a test compares the two.  A key that no module
reads has a reason for that.  ``[]`` in a path means each entry of a list.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

# Returns a text about the values that would be accepted in place of a value, or "" if the value is accepted.
Form = Callable[[Any], str]
MAX_PORT = 65_535
HEX_EXPECTED = "must be a text of hex digits"  # result of ``hexadecimal`` for an unusable value


def number(
    minimum: float, maximum: float = math.inf, *, is_whole: bool = False, excludes_minimum: bool = False
) -> Form:
    """Return the form of a finite number in a range."""
    type_name = "a whole number" if is_whole else "a number"
    bounds = f"above {minimum:g}" if excludes_minimum else f"of at least {minimum:g}"
    if maximum < math.inf:
        bounds += f" and at most {maximum:g}"

    def form(value: Any) -> str:
        fits = (
            isinstance(value, (int, float))
            and not isinstance(value, bool)
            and math.isfinite(value)
            and minimum <= value <= maximum
            and not (excludes_minimum and value == minimum)
            and (not is_whole or float(value).is_integer())
        )
        return "" if fits else f"must be {type_name} {bounds}"

    return form


def one_of(*choices: str) -> Form:
    """Return the form of a text that is one of ``choices``."""

    def form(value: Any) -> str:
        return "" if value in choices else f"must be one of {', '.join(choices)}"

    return form


def text(value: Any) -> str:
    """Accept a text that is not empty."""
    return "" if isinstance(value, str) and value else "must be a text that is not empty"


def flag(value: Any) -> str:
    """Accept true or false."""
    return "" if isinstance(value, bool) else "must be true or false"


def listed(entry_form: Form) -> Form:
    """Return the form of a list whose entries all have a form."""

    def form(value: Any) -> str:
        if not isinstance(value, list):
            return "must be a list"
        expected = next((expected for expected in map(entry_form, value) if expected), "")
        return f"must be a list, and every entry {expected}" if expected else ""

    return form


def parse_host_port(value: Any) -> tuple[str, int] | None:
    """Parse ``host:port`` into an address for a socket, or return None.  All addresses are parsed here."""
    if not isinstance(value, str):
        return None
    host, colon, port = value.rpartition(":")
    if not colon or not host or not port.isascii() or not port.isdigit():
        return None
    number = int(port)
    return (host, number) if 0 < number <= MAX_PORT else None


def address_form(value: Any) -> str:
    """Accept ``host:port``."""
    return "" if parse_host_port(value) else "must be an address as host:port"


def hexadecimal(value: Any) -> str:
    """Accept a text of hex digits that ``int`` can parse, without a minus sign."""
    try:
        return "" if isinstance(value, str) and int(value, 16) >= 0 else HEX_EXPECTED
    except ValueError:
        return HEX_EXPECTED


def anything(_value: Any) -> str:
    """Accept any value."""
    return ""


NANOSECONDS = number(0)
COUNT = number(0, is_whole=True)
SHARE = number(0, 1)
COUNT_FROM_ONE = number(1, is_whole=True)
KIND = number(-1, is_whole=True)  # index into the list of machine types; -1 = none


@dataclass(frozen=True, slots=True)
class ConfigurationKey:
    """One key of a configuration.

    Attributes:
        path: Keys joined by dots; ``[]`` after a key means each entry of its list.
        form: Check of its value.
        reader: Modules below ``kelpcroft`` that read it, and its use there; "" = no module reads it.
        absent: Meaning of an absent key; "needed" = the router does not start.
        unread_reason: Reason why no module reads it; "" if one does.
    """

    path: str
    form: Form
    reader: str
    absent: str
    unread_reason: str = ""


EVALUATION_ONLY = "used by operators to evaluate a day; no decision depends on it"
MEMBERSHIP_OFF = "routers do not exchange messages yet: membership is off"
NO_OWN_COPIES = "the router itself stores no copies of objects"

CONFIGURATION_KEYS = (
    ConfigurationKey("name", text, "config", "needed, unless ROUTER_NAME is set"),
    ConfigurationKey("listen", address_form, "config", "needed, unless ROUTER_LISTEN is set"),
    ConfigurationKey("mgmt", address_form, "config", "no control address"),
    ConfigurationKey("seed", hexadecimal, "config", "0"),
    ConfigurationKey("feed", address_form, "config", "needed"),
    ConfigurationKey("known", anything, "net.feed_codec", "needed"),
    ConfigurationKey("peer_listen", address_form, "", "", MEMBERSHIP_OFF),
    ConfigurationKey("peers", listed(address_form), "", "", MEMBERSHIP_OFF),
    ConfigurationKey("peers_all", address_form, "", "", MEMBERSHIP_OFF),
    ConfigurationKey("flow_bytes_per_s", number(0), "", "", NO_OWN_COPIES),
    ConfigurationKey("link_bytes_per_s", number(0), "", "", NO_OWN_COPIES),
    ConfigurationKey(
        "limits.cores",
        number(0, excludes_minimum=True),
        "",
        "",
        "the platform enforces it; the router has only one event loop in any case",
    ),
    ConfigurationKey("limits.memory_mb", number(1), "core.memory_limit", "192"),
    ConfigurationKey(
        "limits.sockets", number(64, is_whole=True), "config, core.descriptors, net.event_loop", "1024"
    ),
    ConfigurationKey("settings.az", text, "decision", "needed: one of dcs"),
    ConfigurationKey("settings.dcs", listed(text), "decision, core.endpoint_list", "needed"),
    ConfigurationKey(
        "settings.instances", COUNT_FROM_ONE, "decision: a router's share of the parents' capacity", "1"
    ),
    ConfigurationKey(
        "settings.self_index", COUNT, "decision: turns of the routers at servers in slow start", "0"
    ),
    ConfigurationKey(
        "settings.machine_types",
        listed(text),
        "simulator_adapter, core.endpoint_list",
        "every server is a cache",
    ),
    ConfigurationKey(
        "settings.weight_source",
        one_of("off", "nominal", "rough", "live"),
        "decision: limits, and budgets of servers in slow start",
        "off: no weights; capacity is measured",
    ),
    ConfigurationKey("settings.discovery", one_of("push", "ask"), "decision", "push"),
    ConfigurationKey(
        "settings.tick_ns", COUNT_FROM_ONE, "decision: margin of an idempotency key's window", "1"
    ),
    ConfigurationKey(
        "settings.report.how",
        one_of("inline", "on_probe", "off"),
        "Settings only: load reports are read whenever they arrive",
        "off",
    ),
    ConfigurationKey(
        "settings.report.fields",
        listed(text),
        "decision: utilization, x0 and x1, each if a report has it",
        "none",
    ),
    ConfigurationKey("settings.classes[].name", text, "core.client_requests, decision", "needed"),
    ConfigurationKey(
        "settings.classes[].idempotency",
        one_of("safe", "keyed", "unsafe"),
        "decision, core.idempotency_keys: rule 2",
        "safe",
    ),
    ConfigurationKey(
        "settings.classes[].group",
        one_of("all", "zone", "cell"),
        "decision: rule 2; core.client_requests",
        "all",
    ),
    ConfigurationKey(
        "settings.classes[].dedup_window_ns",
        NANOSECONDS,
        "decision: rule 2; core.idempotency_keys",
        "0: not sent again after a possible execution",
    ),
    ConfigurationKey("settings.classes[].aim_ns", NANOSECONDS, "decision: latency objective", "0"),
    ConfigurationKey("settings.classes[].aim_stretch", number(0), "decision: latency objective", "0"),
    ConfigurationKey(
        "settings.classes[].give_up_ns",
        NANOSECONDS,
        "core.client_requests, operator_file.route_rules, core.idempotency_keys",
        "0: no limit",
    ),
    ConfigurationKey(
        "settings.classes[].credit",
        number(0),
        "decision: which requests are rejected first under overload",
        "1",
    ),
    ConfigurationKey("settings.classes[].late_value", SHARE, "Settings only", "0"),
    ConfigurationKey(
        "settings.classes[].stream",
        flag,
        "Settings only: the client protocol of the program has no streams",
        "false",
    ),
    ConfigurationKey("settings.limits.may_cancel", flag, "decision", "false"),
    ConfigurationKey(
        "settings.limits.probing",
        flag,
        "core.silence_detection: a health check is sent on a silent connection before it is closed",
        "false",
    ),
    ConfigurationKey("settings.limits.peers", flag, "Settings only: no messages are sent to peers", "false"),
    ConfigurationKey("settings.limits.second_copies", flag, "decision, operator_file.route_rules", "false"),
    ConfigurationKey("settings.limits.retry_after", flag, "decision, operator_file.route_rules", "false"),
    ConfigurationKey(
        "settings.limits.max_retry_after_ns", NANOSECONDS, "decision, operator_file.route_rules", "0"
    ),
    ConfigurationKey(
        "settings.limits.most_tries", COUNT_FROM_ONE, "decision, operator_file.route_rules", "1"
    ),
    ConfigurationKey("settings.limits.max_open", COUNT, "core.client_requests", "0: no limit on the number"),
    ConfigurationKey("settings.limits.max_streams", COUNT_FROM_ONE, "core.connection_pool", "1"),
    ConfigurationKey(
        "settings.limits.conn_idle_ns", NANOSECONDS, "core.housekeeping", "0: idle connections stay open"
    ),
    ConfigurationKey(
        "settings.limits.dial_timeout_ns",
        number(1),
        "decision, core.server_connections, core.health_checks",
        "400 ms",
    ),
    ConfigurationKey(
        "settings.limits.cpu_us_per_s",
        number(0),
        "",
        "",
        "the platform enforces it; the work of a loop iteration is bounded",
    ),
    ConfigurationKey(
        "settings.limits.cpu_us_per_request", number(0), "", "", "as above; 0 in every deployment so far"
    ),
    ConfigurationKey(
        "settings.contract.answer_slack_ns",
        NANOSECONDS,
        "Settings only: responses are due at the deadline",
        "0",
    ),
    ConfigurationKey(
        "settings.contract.drain_grace_ns",
        NANOSECONDS,
        "Settings only: a draining server receives no requests once the router has the event",
        "0",
    ),
    ConfigurationKey("settings.contract.cold_from", SHARE, "decision: rule 4", "1: never cold"),
    ConfigurationKey("settings.contract.cold_ns", NANOSECONDS, "decision: rule 4", "0: never cold"),
    ConfigurationKey("settings.contract.fall_multiple", number(0), "decision: rule 4", "1"),
    ConfigurationKey("settings.contract.fall_ns", NANOSECONDS, "decision: rule 4", "0"),
    ConfigurationKey(
        "settings.contract.ask_within_ns",
        NANOSECONDS,
        "Settings only: a watch request to the feed is always outstanding",
        "0",
    ),
    ConfigurationKey(
        "settings.family_info.goes_through",
        listed(flag),
        "decision",
        "no class has to be executed at the origin",
    ),
    ConfigurationKey(
        "settings.family_info.multi_part",
        listed(flag),
        "operator_file: match multipart",
        "no class has parts",
    ),
    ConfigurationKey(
        "settings.family_info.max_age_ns", listed(NANOSECONDS), "decision", "copies are fresh until purged"
    ),
    ConfigurationKey(
        "settings.family_info.usable_after_ns",
        listed(NANOSECONDS),
        "Settings only: stale copies are never requested",
        "0",
    ),
    ConfigurationKey("settings.family_info.old_copy_worth", listed(SHARE), "Settings only, as above", "1"),
    ConfigurationKey(
        "settings.family_info.hub_of",
        listed(COUNT),
        "Settings only: parents are selected by their response times",
        "none",
    ),
    ConfigurationKey(
        "settings.family_info.instances_by_zone",
        listed(COUNT),
        "decision: a router's share of the capacity of caches and links",
        "all instances are in this zone",
    ),
    ConfigurationKey(
        "settings.family_info.zone_link_kb_per_s",
        listed(number(0)),
        "decision: limit on fills",
        "0: unknown; reports of x1 limit the fills",
    ),
    ConfigurationKey(
        "settings.family_info.pace_kb_per_s",
        number(0),
        "decision: transfer times of objects whose size the request gives",
        "0: sizes are not used; transfer times are measured",
    ),
    ConfigurationKey("settings.family_info.may_pass_by", flag, "decision", "false"),
    ConfigurationKey("settings.family_info.sideways", one_of("off", "location", "any"), "decision", "off"),
    ConfigurationKey("settings.family_info.merges_fills", flag, "decision", "false"),
    ConfigurationKey(
        "settings.family_info.notes_given",
        one_of("all", "hit", "off"),
        "Settings only: notes of fills are read whenever they arrive",
        "off",
    ),
    ConfigurationKey(
        "settings.family_info.master_kind", KIND, "simulator_adapter", "-1: no server is an origin"
    ),
    ConfigurationKey(
        "settings.family_info.shield_kind", KIND, "simulator_adapter", "-1: no server is a parent"
    ),
    ConfigurationKey("settings.family_info.parent_cold_from", SHARE, "decision: rule 4", "1: never cold"),
    ConfigurationKey(
        "settings.family_info.parent_warms_in_ns", NANOSECONDS, "decision: rule 4", "0: never cold"
    ),
    ConfigurationKey("settings.family_info.parent_fall_multiple", number(0), "decision: rule 4", "1"),
    ConfigurationKey(
        "settings.family_info.purge_grace_ns",
        NANOSECONDS,
        "Settings only: a purge applies once the router has its event",
        "0",
    ),
    ConfigurationKey("settings.family_info.purge_takes_ns", NANOSECONDS, "decision: rule 5", "0"),
    ConfigurationKey("settings.family_info.price_of_link", number(0), "", "", EVALUATION_ONLY),
    ConfigurationKey(
        "settings.family_info.root_fall_multiple",
        number(0),
        "",
        "",
        "0 in every deployment so far; the waits at fill sources limit the requests to the origin",
    ),
    ConfigurationKey("settings.family_info.origin_bears_ns", NANOSECONDS, "", "", "as above"),
    ConfigurationKey(
        "settings.family_info.report_x0", anything, "", "", "description for operators: the meaning of x0"
    ),
    ConfigurationKey(
        "settings.family_info.report_x1", anything, "", "", "description for operators: the meaning of x1"
    ),
    ConfigurationKey("settings.blend", anything, "", "", EVALUATION_ONLY),
    ConfigurationKey(
        "settings.costs",
        anything,
        "",
        "",
        EVALUATION_ONLY + "; whatever has a cost is sent sparingly in every deployment",
    ),
    ConfigurationKey("settings.worth_by", anything, "", "", EVALUATION_ONLY),
    ConfigurationKey("settings.over_share_worth", anything, "", "", EVALUATION_ONLY),
    ConfigurationKey(
        "settings.customers",
        anything,
        "",
        "",
        "no deployment has tenants; shares of tenants are not enforced",
    ),
    ConfigurationKey(
        "settings.client_habits",
        anything,
        "",
        "",
        "a retry is recognized by its mark, a repeated request by its idempotency key",
    ),
    ConfigurationKey("settings.family", anything, "", "", "a name"),
    ConfigurationKey(
        "settings.stage",
        anything,
        "",
        "",
        "a router has a single tier, whose servers its endpoint list contains",
    ),
    ConfigurationKey("settings.stages", anything, "", "", "as above"),
)
