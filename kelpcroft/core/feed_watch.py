"""Which feed is watched: the one that the configuration names, or the operator's control replicas."""

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

if TYPE_CHECKING:  # imported where a file names control replicas
    from kelpcroft.core.replica_feed import ReplicaFeed
    from kelpcroft.operator_file.model import ControlReplicas


class FeedWatch:
    """Hands the feed's answers and failures to the part that watches it."""

    def __init__(self, state: State, position: FeedPosition, endpoint_list: EndpointList) -> None:
        self.state = state
        self.position = position
        self.endpoint_list = endpoint_list
        self.configured = ConfiguredFeed(state, position, endpoint_list)
        self.replicas: ControlReplicas | None = None  # named by the operator's file
        self.replica_feed: ReplicaFeed | None = None  # of them, in place of the configured one

    def start(
        self, options: StartupOptions, crash_loop_delay_ns: int, replicas: ControlReplicas | None
    ) -> None:
        """Take up what was known at the start, and make the first call.

        Args:
            options: What the operator's file says of starts.
            crash_loop_delay_ns: The first call comes so much later after many starts.
            replicas: What the operator's file says of the feed.
        """
        config = self.state.config
        schedule = DiscoverySchedule(config.settings.instances, self.draw_seed(), options.list_calls_per_s)
        self.position.schedule = schedule
        self.configured.take_response(config.initial_endpoints)
        if replicas is not None:
            self.follow(replicas)
            return
        wait_ns = schedule.first_call_delay_ns() + crash_loop_delay_ns if schedule.has_budget else 0
        self.position.call_in(wait_ns)

    def draw_seed(self) -> int:
        """Another number for each router and each moment."""
        return mix64(self.state.router_seed ^ self.state.now)

    def set_start_options(self, options: StartupOptions) -> None:
        """The operator's file was read."""
        self.position.schedule.set_budget(self.state.settings.instances, options.list_calls_per_s)

    def follow(self, replicas: ControlReplicas | None) -> None:
        """Watch control replicas from now on, or the configuration's feed where none are named.

        Nothing is known of how its numbers and theirs go together: the whole list is asked for.
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

        seed = self.draw_seed()
        self.replica_feed = ReplicaFeed(self.state, self.position, self.endpoint_list, replicas, seed)
        self.replica_feed.start()

    def on_response(self, response: WatchResponse) -> None:
        """An answer of the feed that is watched."""
        if self.replica_feed is not None:
            self.replica_feed.on_response(response)
        else:
            self.configured.on_response(response)

    def on_failed(self, failed: WatchFailed) -> None:
        """A call of the feed that is watched has failed."""
        if self.replica_feed is not None:
            self.replica_feed.on_failed(failed)
        else:
            self.configured.on_failed(failed)

    def on_stalled(self, _message: ProcessStalled) -> None:
        """The process stalled: what it knows is as old as that."""
        self.position.call_after_stall()

    def move_feed(self, address: tuple[str, int]) -> str:
        """Take up the feed's address of a configuration read again.

        The feed's numbers go on: it is asked for what comes after the last event that is known.

        Returns:
            The words for it in the log.
        """
        if address == self.configured.address:
            return "the feed stays where it is"
        if self.replica_feed is not None:
            self.configured.address = address
            return "the feed is not called: control replicas are named"
        self.configured.switch_to(address)
        return f"the feed is at {address[0]}:{address[1]}"
