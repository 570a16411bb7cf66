"""Parser of the settings in JSON, under the keys of the simulator's wire, which ``config.json`` uses too.

Unknown keys are ignored; ``deployment_check`` reports them to the operator.
"""

from __future__ import annotations

from typing import Any, TypedDict

from kelpcroft.decision import interface as api

JsonObject = dict[str, Any]  # values may be of any type until they are parsed


def parse_settings(options: JsonObject, seed: int) -> api.Settings:
    """Return the settings in a JSON object.

    Args:
        options: The object.
        seed: Seed of random numbers, which is not part of the object.

    Raises:
        SettingsError: A value cannot be used.
        KeyError: A class has no name.
        TypeError, ValueError: A value is of a wrong type.
    """
    family: JsonObject = options.get("family_info") or {}
    limits: JsonObject = options.get("limits") or {}
    contract: JsonObject = options.get("contract") or {}
    report: JsonObject = options.get("report") or {}
    classes = tuple(
        _parse_class(entry, family, index) for index, entry in enumerate(options.get("classes") or [])
    )
    zones = tuple(options.get("dcs") or [])
    zone = options.get("az") or ""
    zone_index = zones.index(zone) if zone in zones else 0
    instances = int(options.get("instances") or 1)
    return api.Settings(
        zone=zone,
        zones=zones,
        classes=classes,
        seed=seed,
        limits=_parse_limits(limits),
        rules=_parse_rules(contract, family),
        router_index=int(options.get("self_index") or 0),
        instances=instances,
        **_parse_family(family, zone_index, instances),
        discovery=options.get("discovery") or "push",
        weight_source=options.get("weight_source") or "off",
        load_report_mode=report.get("how") or "off",
        load_report_fields=tuple(report.get("fields") or []),
        clock_tick_ns=int(options.get("tick_ns") or 1),
    )


class FamilySettings(TypedDict):
    """The settings from ``family_info``; see ``Settings``."""

    zone_instances: int
    hub_index_by_zone: tuple[int, ...]
    fill_link_kb_per_s: float
    max_transfer_kb_per_s: float
    allows_cache_bypass: bool
    siblings: str
    coalesces_fills: bool
    notes: str


def _parse_family(family: JsonObject, zone_index: int, instances: int) -> FamilySettings:
    """Return the settings of ``family_info``; some are lists by zone."""
    return FamilySettings(
        zone_instances=max(1, int(_item_or_default(family.get("instances_by_zone"), zone_index, instances))),
        hub_index_by_zone=tuple(family.get("hub_of") or []),
        fill_link_kb_per_s=float(_item_or_default(family.get("zone_link_kb_per_s"), zone_index, 0)),
        max_transfer_kb_per_s=float(family.get("pace_kb_per_s") or 0),
        allows_cache_bypass=bool(family.get("may_pass_by")),
        siblings=family.get("sideways") or "off",
        coalesces_fills=bool(family.get("merges_fills")),
        notes=family.get("notes_given") or "off",
    )


def _parse_class(entry: JsonObject, family: JsonObject, index: int) -> api.RequestClass:
    """Return one class; some of its values are in lists of ``family_info``, at its index."""
    idempotency_name = entry.get("idempotency") or "safe"
    try:
        idempotency = api.Idempotency(idempotency_name)
    except ValueError as error:
        reason = "is not safe, keyed or unsafe"
        raise api.SettingsError(f"classes[{index}].idempotency: {idempotency_name!r} {reason}") from error
    return api.RequestClass(
        name=entry["name"],
        idempotency=idempotency,
        dedup_scope=entry.get("group") or "all",
        dedup_window_ns=int(entry.get("dedup_window_ns") or 0),
        latency_objective_ns=int(entry.get("aim_ns") or 0),
        objective_transfer_multiple=float(entry.get("aim_stretch") or 0),
        deadline_ns=int(entry.get("give_up_ns") or 0),
        priority_weight=float(_or_default(entry.get("credit"), 1)),
        late_value_share=float(entry.get("late_value") or 0),
        streamed=bool(entry.get("stream")),
        uncacheable=bool(_item_or_default(family.get("goes_through"), index, False)),
        multipart=bool(_item_or_default(family.get("multi_part"), index, False)),
        freshness_lifetime_ns=int(_item_or_default(family.get("max_age_ns"), index, 0)),
        stale_grace_ns=int(_item_or_default(family.get("usable_after_ns"), index, 0)),
        stale_value_share=float(_item_or_default(family.get("old_copy_worth"), index, 1)),
    )


def _parse_limits(limits: JsonObject) -> api.Limits:
    return api.Limits(
        may_cancel=bool(limits.get("may_cancel")),
        may_probe=bool(limits.get("probing")),
        may_message_peers=bool(limits.get("peers")),
        may_hedge=bool(limits.get("second_copies")),
        may_send_retry_after=bool(limits.get("retry_after")),
        max_retry_after_ns=int(limits.get("max_retry_after_ns") or 0),
        max_attempts=int(_or_default(limits.get("most_tries"), 1)),
        max_open_requests=int(limits.get("max_open") or 0),
        connect_timeout_ns=int(limits.get("dial_timeout_ns") or 0),
    )


def _parse_rules(contract: JsonObject, family: JsonObject) -> api.Rules:
    return api.Rules(
        response_slack_ns=int(contract.get("answer_slack_ns") or 0),
        drain_grace_ns=int(contract.get("drain_grace_ns") or 0),
        cold_capacity_share=float(_or_default(contract.get("cold_from"), 1)),
        warm_up_ns=int(contract.get("cold_ns") or 0),
        overload_collapse_multiple=float(_or_default(contract.get("fall_multiple"), 1)),
        overload_collapse_ns=int(contract.get("fall_ns") or 0),
        parent_cold_capacity_share=float(_or_default(family.get("parent_cold_from"), 1)),
        parent_warm_up_ns=int(family.get("parent_warms_in_ns") or 0),
        parent_overload_collapse_multiple=float(_or_default(family.get("parent_fall_multiple"), 1)),
        purge_grace_ns=int(family.get("purge_grace_ns") or 0),
        purge_sweep_ns=int(family.get("purge_takes_ns") or 0),
        discovery_poll_limit_ns=int(contract.get("ask_within_ns") or 0),
    )


class MachineKinds:
    """The kinds of machines in one router's settings, and which of them are parents or the origin.

    Attributes:
        names: All kinds that the settings name.
        parent: The kind of the parents; None where there are none.
        origin: The kind of the origin; None where there is none.
    """

    def __init__(self, options: JsonObject) -> None:
        family = options.get("family_info") or {}
        kinds = options.get("machine_types") or []
        self.names = frozenset(kinds)
        self.parent = self._name_at(kinds, family.get("shield_kind"))
        self.origin = self._name_at(kinds, family.get("master_kind"))

    @staticmethod
    def _name_at(kinds: list[str], index: int | None) -> str | None:
        return kinds[index] if index is not None and 0 <= index < len(kinds) else None

    def role_of(self, kind: str) -> api.Role:
        """Return the role of a kind of machine; a kind that the settings do not name is a cache."""
        if kind == self.origin:
            return api.Role.ORIGIN
        return api.Role.PARENT if kind == self.parent else api.Role.CACHE


def _or_default(value: Any, default: Any) -> Any:
    """Return a value, which may be 0, or the default if it is absent."""
    return default if value is None else value


def _item_or_default(values: Any, index: int, default: Any) -> Any:
    """Return a list's value at an index, or the default if the list or the value is absent."""
    return values[index] if values and index < len(values) and values[index] is not None else default
