"""Checks of a rollout plan whose nodes are valid one by one: conditions that involve several nodes."""

from __future__ import annotations

from kelpcroft.operator_file.diagnostics import DiagnosticCollector, abbreviated, suggestion
from kelpcroft.rollout.plan import NS_PER_S, RolloutPlan, RouterTarget, Stage

RoutersByZone = dict[str, list[RouterTarget]]


def check_plan(plan: RolloutPlan, diagnostics: DiagnosticCollector) -> None:
    """Add a diagnostic for each violated condition of a plan whose nodes are valid one by one."""
    zones = plan.routers_by_zone()
    for zone in plan.zone_order:
        if zone not in zones:
            diagnostics.add(
                0,
                "unknown-zone",
                f"order: no router is in zone {abbreviated(zone)}{suggestion(zone, zones)}",
            )
    changed_count = 0  # routers that are changed by the end of the stages so far
    for stage, routers in zip(plan.stages, plan.routers_by_stage(), strict=True):
        _check_stage(plan, stage, changed_count, diagnostics)
        _check_old_routers_remain(stage, routers, zones, diagnostics)
        if stage.control_count:
            _check_control_group(plan, stage, routers, zones, diagnostics)
        changed_count = max(changed_count, stage.changed_count(len(plan.routers)))
    if plan.local_builds:
        _check_local(plan, diagnostics)
    if plan.stages and plan.routers and changed_count < len(plan.routers):
        diagnostics.add(
            plan.stages[-1].position,
            "not-all",
            f'the last stage changes {changed_count} of {len(plan.routers)} routers; end with share="100%"',
        )
    _check_zone_limits(plan, zones, diagnostics)


def _stage_title(stage: Stage) -> str:
    return f"stage {abbreviated(stage.name)}"


def _check_stage(
    plan: RolloutPlan, stage: Stage, changed_before: int, diagnostics: DiagnosticCollector
) -> None:
    """Check that a stage changes at least one router and lasts long enough to detect a regression."""
    title = _stage_title(stage)
    changed_count = stage.changed_count(len(plan.routers))
    if changed_count <= changed_before:
        diagnostics.add(
            stage.position,
            "stage-shrinks",
            f"{title} ends with {changed_count} changed routers, and {changed_before} are changed before "
            "it; each stage must change more",
        )
    if stage.min_ns < plan.slowest_signal_ns:
        diagnostics.add(
            stage.position,
            "bake-too-short",
            f"{title} may end after {stage.min_ns / NS_PER_S:g}s, but the "
            f"slowest signal takes {plan.slowest_signal_ns / NS_PER_S:g}s",
        )
    if stage.max_ns < stage.min_ns:
        diagnostics.add(stage.position, "least-over-most", f"{title}: least is longer than most")


def _check_old_routers_remain(
    stage: Stage, routers: list[RouterTarget], zones: RoutersByZone, diagnostics: DiagnosticCollector
) -> None:
    """Check that a stage does not change all routers of a zone that has several.

    Otherwise no router of the old build would be left there to compare with.
    """
    changing_names = {router.name for router in routers}
    for zone, zone_routers in zones.items():
        if len(zone_routers) > 1 and changing_names.issuperset(router.name for router in zone_routers):
            diagnostics.add(
                stage.position,
                "whole-zone",
                f"{_stage_title(stage)} changes all {len(zone_routers)} routers of zone "
                f"{abbreviated(zone)}: no old router would be left there to compare with",
            )


def _check_control_group(
    plan: RolloutPlan,
    stage: Stage,
    routers: list[RouterTarget],
    zones: RoutersByZone,
    diagnostics: DiagnosticCollector,
) -> None:
    """Check that a stage with a control group changes one router per zone and has room for the group.

    A control group is compared from its restart on, so it must restart once, at the same time as the new
    routers.
    """
    title = _stage_title(stage)
    router_zones = [router.zone for router in routers]
    stage_zones = sorted(set(router_zones))
    unavailable_per_zone = 1 + stage.control_count
    unavailable_in_total = len(stage_zones) * unavailable_per_zone
    for zone in stage_zones:
        changing_count = router_zones.count(zone)
        if changing_count > 1:
            diagnostics.add(
                stage.position,
                "control-many",
                f"{title} changes {changing_count} routers of zone {abbreviated(zone)}; a "
                "stage with a control group may change only one",
            )
        if len(zones[zone]) < unavailable_per_zone:
            diagnostics.add(
                stage.position,
                "control-few",
                f"{title}: zone {abbreviated(zone)} has {len(zones[zone])} routers, too few for a control "
                f"group of {stage.control_count} beside the new one",
            )
        elif (
            plan.max_unavailable_per_zone < unavailable_per_zone
            or plan.max_unavailable < unavailable_in_total
        ):
            diagnostics.add(
                stage.position,
                "control-room",
                f"{title}: limits must allow {unavailable_per_zone} unavailable routers in a zone, and "
                f"{unavailable_in_total} in total",
            )
    if not plan.restart_command and not plan.local_builds:
        diagnostics.add(stage.position, "no-restart", f"{title}: a control group needs restart in 'act'")


def _check_local(plan: RolloutPlan, diagnostics: DiagnosticCollector) -> None:
    """Check that each router on this machine has a configuration file, and that only the program changes."""
    for router in plan.routers:
        if not router.config_path:
            diagnostics.add(
                router.position,
                "no-config",
                f"router {abbreviated(router.name)}: a local router needs config, its configuration file",
            )
    if {change.component for change in plan.changes} != {"program"}:
        diagnostics.add(0, "local-program", "a local 'act' changes only the program")


def _check_zone_limits(plan: RolloutPlan, zones: RoutersByZone, diagnostics: DiagnosticCollector) -> None:
    """Check that the limits leave at least one router available in each zone that has several."""
    for zone, routers in zones.items():
        if plan.max_unavailable_per_zone >= len(routers) > 1:
            diagnostics.add(
                0,
                "zone-out",
                f"limits: {plan.max_unavailable_per_zone} routers of zone {abbreviated(zone)} may be "
                f"unavailable at the same time, but it has only {len(routers)}",
            )
