"""Selection of the watched feed: the feed of the configuration, or the operator's control replicas."""

from __future__ import annotations

from typing import TYPE_CHECKING

from kelpcroft.core.configured_feed import ConfiguredFeed
from kelpcroft.core.endpoint_list import EndpointList
from kelpcroft.core.feed_position import FeedPosition
from kelpcroft.core.inputs import ProcessStalled, WatchFailed, WatchResponse
from kelpcroft.core.state import State
from kelpcroft.decision.statistics import mix64
from kelpcroft.discovery.schedule import DiscoverySchedule
from kelpcroft.startup import StartupOptions

if TYPE_CHECKING:  # at run time, imported only where the operator's file names control replicas
    from kelpcroft.core.replica_feed import ReplicaFeed
    from kelpcroft.operator_file.model import ControlReplicas


class FeedWatch:
    """Passes watch responses and failures to the component that watches the feed."""

    def __init__(self, state: State, position: FeedPosition, endpoint_list: EndpointList) -> None:
        self.state = state
        self.position = position
        self.endpoint_list = endpoint_list
        self.configured = ConfiguredFeed(state, position, endpoint_list)
        self.replicas: ControlReplicas | None = None  # as the operator's file names them
        self.replica_feed: ReplicaFeed | None = None  # watches the replicas instead of the configured feed

    def start(
        self, options: StartupOptions, crash_loop_delay_ns: int, replicas: ControlReplicas | None
    ) -> None:
        """Send or schedule the first watch request.

        A process that shares its listening socket may follow another one whose news it lacks, so its first
        request does not wait for events.

        Args:
            options: The start options of the operator's file.
            crash_loop_delay_ns: Added to the delay of the first watch request after repeated restarts, if the
                file sets a budget of requests.
            replicas: The control replicas of the operator's file; None = none are named.
        """
        config = self.state.config
        schedule = DiscoverySchedule(config.settings.instances, self.new_seed(), options.list_requests_per_s)
        self.position.schedule = schedule
        if replicas is not None:
            self.watch_replicas(replicas)
            return
        if schedule.has_budget:
            self.position.schedule_watch_request(schedule.first_request_delay_ns() + crash_loop_delay_ns)
        elif config.inherited_listener_fd is not None:
            self.position.send_immediate_request()
        else:
            self.position.send_watch_request()

    def apply_configured_endpoints(self) -> None:
        """Apply the endpoints and purges of the configuration."""
        self.configured.apply_response(self.state.config.initial_endpoints)

    def restart_request(self) -> None:
        """Send the outstanding watch request again, from the current position in the feed."""
        if self.replica_feed is None:
            self.configured.switch_to(self.configured.address)

    def new_seed(self) -> int:
        """Return a seed that differs between routers and between times."""
        return mix64(self.state.router_seed ^ self.state.now)

    def set_start_options(self, options: StartupOptions) -> None:
        """Apply the start options of an operator's file that was read."""
        self.position.schedule.set_budget(self.state.settings.instances, options.list_requests_per_s)

    def watch_replicas(self, replicas: ControlReplicas | None) -> None:
        """Watch control replicas from now on, or the configuration's feed if none are named.

        The event numbers of the configured feed and of the replicas cannot be compared, so a switch between
        them requests a snapshot.
        """
        if replicas == self.replicas:
            return
        self.replicas = replicas
        self.position.schedule.consecutive_failures = 0
        if replicas is None:
            self.replica_feed = None
            self.position.subscription = None
            self.position.view.last_event_number = 0
            self.configured.switch_to(self.configured.address)
            return
        from kelpcroft.core.replica_feed import ReplicaFeed

        seed = self.new_seed()
        self.replica_feed = ReplicaFeed(self.state, self.position, self.endpoint_list, replicas, seed)
        self.replica_feed.start()

    def on_response(self, response: WatchResponse) -> None:
        """Process a response of the watched feed."""
        if self.replica_feed is not None:
            self.replica_feed.on_response(response)
        else:
            self.configured.on_response(response)

    def on_failed(self, failed: WatchFailed) -> None:
        """Process a failed watch request."""
        if self.replica_feed is not None:
            self.replica_feed.on_failed(failed)
        else:
            self.configured.on_failed(failed)

    def on_stalled(self, _message: ProcessStalled) -> None:
        """Request the current events after a process stall: the feed may have published some meanwhile."""
        self.position.refresh_after_stall()

    def move_feed(self, address: tuple[str, int]) -> str:
        """Apply the feed address of a reloaded configuration.

        Event numbers continue across the move: the next watch request names the last event that was applied.

        Returns:
            A description of the result for the log.
        """
        if address == self.configured.address:
            return "the feed stays where it is"
        if self.replica_feed is not None:
            self.configured.address = address
            return "the feed is not used: the operator's file names control replicas"
        self.configured.switch_to(address)
        return f"the feed address is now {address[0]}:{address[1]}"
