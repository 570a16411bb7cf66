"""Every key of a configuration: its form, who reads it, and what its absence means.

``docs/operators/sites.md`` has the same table for people; a test holds the two together.  A key that nobody
reads says why that may be.  ``[]`` stands for each entry of a list.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

Form = Callable[[Any], str]  # what would do in place of a value, or "" where it will do


def number(least: float, most: float = math.inf, whole: bool = False, above: bool = False) -> Form:
    """A finite number in a range; ``above``: not its lower end."""
    what = "a whole number" if whole else "a number"
    span = f"{'above' if above else 'of at least'} {least:g}" + (
        f" and at most {most:g}" if most < math.inf else ""
    )

    def form(value: Any) -> str:
        good = (
            isinstance(value, (int, float))
            and not isinstance(value, bool)
            and math.isfinite(value)
            and least <= value <= most
            and not (above and value == least)
            and (not whole or float(value).is_integer())
        )
        return "" if good else f"{what} {span} would do"

    return form


def word(*words: str) -> Form:
    return lambda value: "" if value in words else f"one of {', '.join(words)} would do"


def text(value: Any) -> str:
    return "" if isinstance(value, str) and value else "a text would do"


def flag(value: Any) -> str:
    return "" if isinstance(value, bool) else "true or false would do"


def listed(form: Form) -> Form:
    def whole(value: Any) -> str:
        if not isinstance(value, list):
            return "a list would do"
        bad = next((why for why in map(form, value) if why), "")
        return f"a list would do in whose every entry {bad}" if bad else ""

    return whole


def parse_host_port(value: Any) -> tuple[str, int] | None:
    """``host:port`` as a socket wants it, or None where it is none.  The one place that reads addresses."""
    host, colon, port = value.rpartition(":") if isinstance(value, str) else ("", "", "")
    good = colon and host and port.isascii() and port.isdigit() and 0 < int(port) < 65_536
    return (host, int(port)) if good else None


def address_form(value: Any) -> str:
    return "" if parse_host_port(value) else "an address as host:port would do"


def hexadecimal(value: Any) -> str:
    try:
        return "" if isinstance(value, str) and int(value, 16) >= 0 else "hex digits in a text would do"
    except ValueError:
        return "hex digits in a text would do"


def anything(value: Any) -> str:
    return ""


NS, COUNT, SHARE = number(0), number(0, whole=True), number(0, 1)
ONE_UP, MULTIPLE = number(1, whole=True), number(1)
KIND = number(-1, whole=True)


@dataclass(frozen=True, slots=True)
class Key:
    """One key of a configuration."""

    path: str
    form: Form
    reader: str  # "" = nobody
    absent: str  # what its absence means; "needed" = the program does not start
    why: str = ""  # where nobody reads it: why that may be


JUDGE = "how the operators judge a day; no decision hangs on it"
PEERS = "routers send one another nothing yet: membership is off"
OWN = "the router keeps no copies of its own"

KEYS = (
    Key("name", text, "config.parse", "needed, unless ROUTER_NAME is set"),
    Key("listen", address_form, "config.parse", "needed, unless ROUTER_LISTEN is set"),
    Key("mgmt", address_form, "config.parse", "no control address"),
    Key("seed", hexadecimal, "config.parse", "0"),
    Key("feed", address_form, "config.parse", "needed"),
    Key("known", anything, "net.feed", "needed"),
    Key("peer_listen", address_form, "", "", PEERS),
    Key("peers", listed(address_form), "", "", PEERS),
    Key("peers_all", address_form, "", "", PEERS),
    Key("flow_bytes_per_s", number(0), "", "", OWN),
    Key("link_bytes_per_s", number(0), "", "", OWN),
    Key("limits.cores", number(0, above=True), "", "", "the platform holds it; there is one loop anyway"),
    Key("limits.memory_mb", number(1), "config.parse, net.buffers", "192"),
    Key("limits.sockets", number(64, whole=True), "config.parse, core.links, net.loop", "1024"),
    Key("settings.az", text, "policy", "needed: one of dcs"),
    Key("settings.dcs", listed(text), "policy, core.members", "needed"),
    Key("settings.instances", ONE_UP, "policy: a router's share of parents", "1"),
    Key("settings.self_index", COUNT, "policy: turns at cold servers", "0"),
    Key("settings.machine_types", listed(text), "simhost.Kinds, core.members", "every server is a cache"),
    Key(
        "settings.weight_source",
        word("off", "nominal", "rough", "live"),
        "policy: limits and cold budgets",
        "off: no weights, capacity is measured",
    ),
    Key("settings.discovery", word("push", "ask"), "policy", "push"),
    Key("settings.tick_ns", ONE_UP, "policy: margin of a key's window", "1"),
    Key(
        "settings.report.how",
        word("inline", "on_probe", "off"),
        "Settings only: reports are read as they come",
        "off",
    ),
    Key("settings.report.fields", listed(text), "policy: utilization, x0, x1, each where it comes", "none"),
    Key("settings.classes[].name", text, "core.requests, policy", "needed"),
    Key(
        "settings.classes[].idempotency", word("safe", "keyed", "unsafe"), "policy, core.keys: rule 2", "safe"
    ),
    Key("settings.classes[].group", word("all", "zone", "cell"), "policy: rule 2; core.requests", "all"),
    Key("settings.classes[].dedup_window_ns", NS, "policy: rule 2; core.keys", "0: never sent again"),
    Key("settings.classes[].aim_ns", NS, "policy: what is late", "0"),
    Key("settings.classes[].aim_stretch", number(0), "policy: what is late", "0"),
    Key("settings.classes[].give_up_ns", NS, "core.requests, operator.check, core.keys", "0: no bound"),
    Key("settings.classes[].credit", number(0), "policy: what is shed first", "1"),
    Key("settings.classes[].late_value", SHARE, "Settings only", "0"),
    Key("settings.classes[].stream", flag, "Settings only: the program's clients have no streams", "false"),
    Key("settings.limits.may_cancel", flag, "policy", "false"),
    Key(
        "settings.limits.probing",
        flag,
        "core.attempts: a quiet connection is asked before it is given up",
        "false",
    ),
    Key("settings.limits.peers", flag, "Settings only: the module sends no messages", "false"),
    Key("settings.limits.second_copies", flag, "policy, operator.check", "false"),
    Key("settings.limits.retry_after", flag, "policy, operator.check", "false"),
    Key("settings.limits.max_retry_after_ns", NS, "policy, operator.check", "0"),
    Key("settings.limits.most_tries", ONE_UP, "policy, operator.check", "1"),
    Key("settings.limits.max_open", COUNT, "core.requests", "0: not bounded by a number"),
    Key("settings.limits.max_streams", ONE_UP, "core.links", "1"),
    Key("settings.limits.conn_idle_ns", NS, "core.reducer", "0: never closed for being idle"),
    Key("settings.limits.dial_timeout_ns", number(1), "core.attempts", "400 ms"),
    Key("settings.limits.cpu_us_per_s", number(0), "", "", "the platform holds it; turns are bounded"),
    Key("settings.limits.cpu_us_per_request", number(0), "", "", "as above; 0 at every deployment so far"),
    Key("settings.contract.answer_slack_ns", NS, "Settings only: answers are due at the deadline", "0"),
    Key(
        "settings.contract.drain_grace_ns",
        NS,
        "Settings only: a draining server gets nothing from the event on",
        "0",
    ),
    Key("settings.contract.cold_from", SHARE, "policy: rule 4", "1: never cold"),
    Key("settings.contract.cold_ns", NS, "policy: rule 4", "0: never cold"),
    Key("settings.contract.fall_multiple", number(0), "policy: rule 4", "1"),
    Key("settings.contract.fall_ns", NS, "policy: rule 4", "0"),
    Key("settings.contract.ask_within_ns", NS, "Settings only: the feed is polled all the time", "0"),
    Key("settings.family_info.goes_through", listed(flag), "policy", "no class runs at the origin"),
    Key("settings.family_info.multi_part", listed(flag), "operator: match multipart", "no class has parts"),
    Key("settings.family_info.max_age_ns", listed(NS), "policy", "copies are good until purged"),
    Key("settings.family_info.usable_after_ns", listed(NS), "Settings only: no old copy is asked for", "0"),
    Key("settings.family_info.old_copy_worth", listed(SHARE), "Settings only, as above", "1"),
    Key(
        "settings.family_info.hub_of",
        listed(COUNT),
        "Settings only: parents go by their answer times",
        "none",
    ),
    Key(
        "settings.family_info.instances_by_zone",
        listed(COUNT),
        "policy: a router's share of caches and links",
        "all instances are of this zone",
    ),
    Key(
        "settings.family_info.zone_link_kb_per_s",
        listed(number(0)),
        "policy: bound of fills",
        "0: not told, reports of x1 bound them",
    ),
    Key(
        "settings.family_info.pace_kb_per_s",
        number(0),
        "policy: sending times of told sizes",
        "0: sizes are of no use, times are measured",
    ),
    Key("settings.family_info.may_pass_by", flag, "policy", "false"),
    Key("settings.family_info.sideways", word("off", "location", "any"), "policy", "off"),
    Key("settings.family_info.merges_fills", flag, "policy", "false"),
    Key(
        "settings.family_info.notes_given",
        word("all", "hit", "off"),
        "Settings only: notes are read as they come",
        "off",
    ),
    Key("settings.family_info.master_kind", KIND, "simhost.Kinds", "-1: no server is an origin"),
    Key("settings.family_info.shield_kind", KIND, "simhost.Kinds", "-1: no server is a parent"),
    Key("settings.family_info.parent_cold_from", SHARE, "policy: rule 4", "1: never cold"),
    Key("settings.family_info.parent_warms_in_ns", NS, "policy: rule 4", "0: never cold"),
    Key("settings.family_info.parent_fall_multiple", number(0), "policy: rule 4", "1"),
    Key("settings.family_info.purge_grace_ns", NS, "Settings only: a purge binds from its event on", "0"),
    Key("settings.family_info.purge_takes_ns", NS, "policy: rule 5", "0"),
    Key("settings.family_info.price_of_link", number(0), "", "", JUDGE),
    Key(
        "settings.family_info.root_fall_multiple",
        number(0),
        "",
        "",
        "0 at every deployment so far; sources' waits bound what the origin is asked",
    ),
    Key("settings.family_info.origin_bears_ns", NS, "", "", "as above"),
    Key("settings.family_info.report_x0", anything, "", "", "words for people: what x0 means"),
    Key("settings.family_info.report_x1", anything, "", "", "words for people: what x1 means"),
    Key("settings.blend", anything, "", "", JUDGE),
    Key("settings.costs", anything, "", "", JUDGE + "; what they price is sent sparingly everywhere"),
    Key("settings.worth_by", anything, "", "", JUDGE),
    Key("settings.over_share_worth", anything, "", "", JUDGE),
    Key("settings.customers", anything, "", "", "no deployment has tenants; their shares are not kept"),
    Key("settings.client_habits", anything, "", "", "a retry is known by its mark, a repeat by its key"),
    Key("settings.family", anything, "", "", "a name"),
    Key("settings.stage", anything, "", "", "a router has one tier, which its list is of"),
    Key("settings.stages", anything, "", "", "as above"),
)
