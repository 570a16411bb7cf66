"""Rules for settings that are each usable but contradict one another."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import Any

from kelpcroft.deployment_check.json_values import JsonObject, abbreviated_json, list_at, object_at
from kelpcroft.diagnostics import Diagnostic, Severity

# Lists of ``family_info`` with a value for each class.
LISTS_BY_CLASS = ("goes_through", "multi_part", "max_age_ns", "usable_after_ns", "old_copy_worth")
# Lists of ``family_info`` with a value for each zone.
LISTS_BY_ZONE = ("hub_of", "instances_by_zone", "zone_link_kb_per_s")
# Keys of ``family_info`` whose value is an index into ``machine_types``.
MACHINE_KIND_KEYS = ("master_kind", "shield_kind")


class SettingsView:
    """The sections of the settings; a section that is missing or of another type is empty."""

    def __init__(self, settings: JsonObject) -> None:
        self.settings = settings
        self.family_info = object_at(settings, "family_info")
        self.limits = object_at(settings, "limits")
        self.contract = object_at(settings, "contract")
        self.report = object_at(settings, "report")
        self.zones = list_at(settings, "dcs")
        self.machine_types = list_at(settings, "machine_types")
        self.class_entries = list_at(settings, "classes")
        self.classes = [entry for entry in self.class_entries if isinstance(entry, dict)]


def contradictions(settings: JsonObject) -> Iterator[Diagnostic]:
    """Yield a diagnostic for each contradiction, in the order of RULES."""
    view = SettingsView(settings)
    for rule in RULES:
        yield from rule(view)


def warning(place: str, found: str, expected: str) -> Diagnostic:
    """Return a warning; the router starts with such settings."""
    return Diagnostic(place, found, expected, Severity.WARNING)


def check_zone(view: SettingsView) -> Iterator[Diagnostic]:
    """Check that the router's own zone is in the list of zones."""
    zone = view.settings.get("az")
    if isinstance(view.settings.get("dcs"), list) and zone is not None and zone not in view.zones:
        yield Diagnostic(
            "settings.az",
            f"{abbreviated_json(zone)} is not one of dcs",
            "must be the router's own zone",
        )


def check_class_names(view: SettingsView) -> Iterator[Diagnostic]:
    """Check that no two classes have the same name."""
    names = [entry.get("name") for entry in view.classes]
    for index, name in enumerate(names):
        if name in names[:index]:
            yield Diagnostic(
                f"settings.classes[{index}].name",
                f"{abbreviated_json(name)} is the name of another class",
                "must be unique",
            )


def check_class_times(view: SettingsView) -> Iterator[Diagnostic]:
    """Check that a class's objective is within its deadline, and that a keyed class has a window."""
    for index, entry in enumerate(view.classes):
        place = f"settings.classes[{index}]"
        aim_ns: Any = entry.get("aim_ns")
        deadline_ns: Any = entry.get("give_up_ns")
        are_numbers = isinstance(aim_ns, (int, float)) and isinstance(deadline_ns, (int, float))
        if are_numbers and aim_ns > deadline_ns > 0:
            yield warning(
                f"{place}.aim_ns",
                "clients cancel before a response is late",
                "must be at most give_up_ns",
            )
        if entry.get("idempotency") == "keyed" and not entry.get("dedup_window_ns"):
            yield warning(
                f"{place}.dedup_window_ns",
                "no window for a keyed class",
                "must be the time in which repeats are dropped; without it a request is never sent again",
            )


def check_list_lengths(view: SettingsView) -> Iterator[Diagnostic]:
    """Check that lists by class or by zone have one value for each."""
    for keys, entries, entry_kind in (
        (LISTS_BY_CLASS, view.class_entries, "classes"),
        (LISTS_BY_ZONE, view.zones, "zones in dcs"),
    ):
        for key in keys:
            values = view.family_info.get(key)
            if isinstance(values, list) and entries and len(values) != len(entries):
                yield warning(
                    f"settings.family_info.{key}",
                    f"{len(values)} values for {len(entries)} {entry_kind}",
                    "must be a list with one value for each; a missing value means the default",
                )


def check_machine_kinds(view: SettingsView) -> Iterator[Diagnostic]:
    """Check that the kinds of servers are indices into the list of machine types."""
    kind_count = len(view.machine_types)
    for key in MACHINE_KIND_KEYS:
        index = view.family_info.get(key)
        if isinstance(index, int) and index >= kind_count:
            yield warning(
                f"settings.family_info.{key}",
                f"{index} is not an index into machine_types",
                f"must be from 0 to {kind_count - 1}, or -1 for none",
            )


def check_hubs(view: SettingsView) -> Iterator[Diagnostic]:
    """Check that the zones' hubs are indices into the list of zones."""
    zone_count = len(view.zones)
    for index, hub in enumerate(list_at(view.family_info, "hub_of")):
        if isinstance(hub, int) and zone_count and hub >= zone_count:
            yield warning(
                f"settings.family_info.hub_of[{index}]",
                f"{hub} is not an index into dcs",
                f"must be from 0 to {zone_count - 1}",
            )


def check_router_index(view: SettingsView) -> Iterator[Diagnostic]:
    """Check that the router's own index is less than the number of routers."""
    index = view.settings.get("self_index")
    instances = view.settings.get("instances")
    if isinstance(index, int) and isinstance(instances, int) and index >= instances:
        yield warning(
            "settings.self_index", f"{index} of {instances} instances", "must be less than instances"
        )


def check_zone_instances(view: SettingsView) -> Iterator[Diagnostic]:
    """Check that the number of routers in this router's zone is not 0."""
    instances_by_zone = view.family_info.get("instances_by_zone")
    zone = view.settings.get("az")
    if (
        not isinstance(instances_by_zone, list)
        or len(instances_by_zone) != len(view.zones)
        or zone not in view.zones
    ):
        return
    if not instances_by_zone[view.zones.index(zone)]:
        yield warning(
            "settings.family_info.instances_by_zone",
            "no instance in this router's zone",
            "must be at least 1 there; 1 is used",
        )


def check_second_copies(view: SettingsView) -> Iterator[Diagnostic]:
    """Check that hedging is allowed only with at least two attempts."""
    if view.limits.get("second_copies") is True and view.limits.get("most_tries", 1) == 1:
        yield warning(
            "settings.limits.second_copies", "allowed, but most_tries is 1", "most_tries must be at least 2"
        )


def check_retry_after(view: SettingsView) -> Iterator[Diagnostic]:
    """Check that a longest pause is set only if ``retry_after`` is allowed."""
    if view.limits.get("max_retry_after_ns") and not view.limits.get("retry_after"):
        yield warning(
            "settings.limits.max_retry_after_ns",
            "a longest pause, but retry_after is not allowed",
            "retry_after must be true",
        )


def check_cold_start(view: SettingsView) -> Iterator[Diagnostic]:
    """Check that caches that start cold have a time after which they are warm."""
    cold_capacity_share = view.contract.get("cold_from")
    if (
        isinstance(cold_capacity_share, (int, float))
        and cold_capacity_share < 1
        and not view.contract.get("cold_ns")
    ):
        yield warning(
            "settings.contract.cold_ns",
            "caches start cold and never warm",
            "must be the time until they are warm; without it they count as warm",
        )


def check_reports(view: SettingsView) -> Iterator[Diagnostic]:
    """Check that report fields are named only if reports are on."""
    if view.report.get("fields") and view.report.get("how", "off") == "off":
        yield warning(
            "settings.report.how",
            "fields are named, but reports are off",
            "must be one of inline, on_probe",
        )


RULES: tuple[Callable[[SettingsView], Iterator[Diagnostic]], ...] = (
    check_zone,
    check_class_names,
    check_class_times,
    check_list_lengths,
    check_machine_kinds,
    check_hubs,
    check_router_index,
    check_zone_instances,
    check_second_copies,
    check_retry_after,
    check_cold_start,
    check_reports,
)
