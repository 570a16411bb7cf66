"""Application of the operator's file: routes, control replicas, start options and the state endpoint."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from kelpcroft.core.effects import SetStateEndpoint
from kelpcroft.core.feed_watch import FeedWatch
from kelpcroft.core.inputs import OperatorFileRead
from kelpcroft.core.process_status import ProcessStatus
from kelpcroft.core.request_statistics import RequestStatistics
from kelpcroft.core.state import State
from kelpcroft.startup import StartupOptions

if TYPE_CHECKING:
    from kelpcroft.operator_file.model import OperatorFile


class OperatorSettings:
    """Applies the operator's file.  The modules of a feature are imported once a file enables it."""

    def __init__(self, state: State, process: ProcessStatus, watch: FeedWatch) -> None:
        self.state = state
        self.process = process
        self.watch = watch

    def on_file_read(self, read: OperatorFileRead) -> None:
        """Apply an operator's file that was read.

        Open requests keep the limits and budgets of the previous file.  A file with errors changes nothing.
        """
        state = self.state
        if read.file is None:
            state.log(
                "rules.refused",
                f"operator's file not applied: {read.first_error}; {read.error_count} errors in total",
                "warning",
                {"first": read.first_error, "faults": read.error_count},
            )
            return
        self.apply_routes(read.file)
        self.process.operator_file_digest = read.digest
        self.watch.set_start_options(read.file.start_options)
        self.watch.watch_replicas(read.file.control_replicas)
        self.apply_start_options(read.file.start_options)
        if read.file.exposes_state != (state.statistics is not None):
            state.statistics = RequestStatistics() if read.file.exposes_state else None
            state.effects.append(SetStateEndpoint(read.file.exposes_state))
        count = len(read.file.routes)
        state.log("rules.taken", f"operator's file applied: {count} routes", "info", {"routes": count})

    def apply_routes(self, file: OperatorFile) -> None:
        """Use the file's routes from now on."""
        state = self.state
        if state.routes is not None:
            state.routes.replace(file, state.now)
        elif file.routes:
            from kelpcroft.routes import RouteTable

            settings = state.config.settings
            state.routes = RouteTable(file, settings.zone, settings.seed, state.now)

    def apply_start_options(self, options: StartupOptions) -> None:
        """Enable or disable the limit on fetches at the origin and the estimate of the zone's routers."""
        self.limit_origin_fetches(options.limit_origin_fetches)
        self.estimate_fleet_size(options.estimate_fleet_size)

    def limit_origin_fetches(self, is_enabled: bool) -> None:
        """Enable or disable the limit on concurrent fetches at the origin during startup."""
        state = self.state
        if not is_enabled:
            state.origin_limit = None
        elif state.origin_limit is None:
            from kelpcroft.startup.origin_concurrency import OriginConcurrencyLimit

            state.origin_limit = OriginConcurrencyLimit(state.now)
        state.set_cold_budget_share(state.cold_budget_share)

    def estimate_fleet_size(self, is_enabled: bool) -> None:
        """Enable or disable the estimate of the zone's routers from the caches' reports."""
        state = self.state
        configured = state.config.settings.zone_instances
        if is_enabled and state.fleet_size is None:
            from kelpcroft.startup.fleet_size import FleetSizeEstimator

            state.fleet_size = FleetSizeEstimator(configured)
        elif not is_enabled and state.fleet_size is not None:
            state.fleet_size = None
            self.set_zone_routers(configured)

    def set_zone_routers(self, routers: int) -> None:
        """Make the decision package assume this number of routers in the zone.

        The number of routers in all zones is scaled by the same factor.
        """
        state = self.state
        configured = state.config.settings
        if routers == state.settings.zone_instances:
            return
        state.log(
            "start.routers",
            f"assuming {routers} routers in this zone, as estimated from caches' reports; "
            f"the settings have {configured.zone_instances}",
            "info",
            {"routers": routers, "said": configured.zone_instances},
        )
        in_all_zones = max(routers, round(configured.instances * routers / configured.zone_instances))
        state.change_settings(replace(state.settings, zone_instances=routers, instances=in_all_zones))
