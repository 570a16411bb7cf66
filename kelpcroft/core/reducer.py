"""Reducer of the router: it applies each input to the state and returns the effects to carry out.

The reducer reads no socket and no clock, and makes no routing decisions.  The decision package selects
servers and fill sources, and decides when to stop trying and which requests to reject; it receives every
input that concerns it as an event.

Start reading at ``Reducer.handle``: each type of input has one handler, in ``Reducer.handlers``.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from kelpcroft.config import Config
from kelpcroft.core import inputs
from kelpcroft.core.attempts import Attempts
from kelpcroft.core.client_requests import ClientRequests
from kelpcroft.core.clients import Clients
from kelpcroft.core.config_reload import ConfigReload
from kelpcroft.core.control_requests import ControlRequests
from kelpcroft.core.decision_loop import DecisionLoop
from kelpcroft.core.effects import Effect
from kelpcroft.core.endpoint_list import EndpointList
from kelpcroft.core.feed_catch_up import FeedCatchUp
from kelpcroft.core.feed_position import FeedPosition
from kelpcroft.core.feed_recorder import FeedRecorder
from kelpcroft.core.feed_watch import FeedWatch
from kelpcroft.core.housekeeping import Housekeeping
from kelpcroft.core.inputs import Input
from kelpcroft.core.memory_limit import MemoryLimit
from kelpcroft.core.messages import TimerKind
from kelpcroft.core.operator_settings import OperatorSettings
from kelpcroft.core.predecessor import Predecessor
from kelpcroft.core.process_log import log_deployment
from kelpcroft.core.process_status import ProcessStatus
from kelpcroft.core.service_state import ServiceState
from kelpcroft.core.shutdown import Shutdown
from kelpcroft.core.silence_detection import SilenceDetector
from kelpcroft.core.state import State
from kelpcroft.core.timers import Timers
from kelpcroft.startup import RestartOverlap, StartupOptions

if TYPE_CHECKING:
    from kelpcroft.operator_file.model import ControlReplicas


class Reducer:
    """Dispatches each input to the component that owns it.

    After ``start``, only ``handle`` changes the state.
    """

    def __init__(self, config: Config) -> None:
        self.state = State(config)
        self.service_state = ServiceState(shares_listener=config.inherited_listener_fd is not None)
        self.process = ProcessStatus(self.service_state)
        self.requests = ClientRequests(self.state)
        self.attempts = Attempts(self.state, self.requests)
        self.decisions = DecisionLoop(self.state, self.requests, self.attempts)
        self.silence_detector = SilenceDetector(self.state, self.attempts)
        self.position = FeedPosition(self.state)
        self.endpoint_list = EndpointList(self.state, self.position, self.attempts, self.decisions)
        self.watch = FeedWatch(self.state, self.position, self.endpoint_list)
        self.feed_recorder = FeedRecorder(self.state, self.position, self.endpoint_list, self.process)
        self.catch_up = FeedCatchUp(
            self.state, self.process, self.position, self.endpoint_list, self.watch, self.feed_recorder
        )
        self.config_reload = ConfigReload(self.state, self.watch)
        self.memory_limit = MemoryLimit(self.state)
        self.operator_settings = OperatorSettings(self.state, self.process, self.watch)
        self.restart_overlap = RestartOverlap(config.settings, self.service_state.shares_listener)
        self.predecessor = Predecessor(self.state, self.process, self.restart_overlap)
        self.clients = Clients(self.state, self.process, self.requests, self.attempts, self.endpoint_list)
        self.control_requests = ControlRequests(self.state, self.process, self.endpoint_list)
        self.housekeeping = Housekeeping(
            self.state, self.attempts.connections, self.operator_settings, self.memory_limit
        )
        self.shutdown = Shutdown(self.state, self.process, self.housekeeping)
        self.timers = Timers(
            self.state, self.attempts, self.numbered_timer_handlers(), self.unnumbered_timer_handlers()
        )
        self.handlers = self.input_handlers()

    def input_handlers(self) -> dict[type[Any], Callable[[Any], None]]:
        """The handler of each type of input."""
        return {
            inputs.ClientRequest: self.clients.on_request,
            inputs.CancelRequest: self.clients.on_cancel,
            inputs.HealthRequest: self.clients.on_health_request,
            inputs.ClientConnected: self.clients.on_connected,
            inputs.ClientDisconnected: self.clients.on_disconnected,
            inputs.ServerResponse: self.attempts.on_response,
            inputs.ServerConnected: self.on_server_connected,
            inputs.ServerConnectionLost: self.attempts.on_connection_lost,
            inputs.PartialResponse: self.on_partial_response,
            inputs.TimerFired: self.timers.on_fired,
            inputs.WatchResponse: self.on_watch_response,
            inputs.WatchFailed: self.watch.on_failed,
            inputs.ProcessStalled: self.watch.on_stalled,
            inputs.ControlRequest: self.control_requests.on_request,
            inputs.ListenersReady: self.on_listeners_ready,
            inputs.ProcessIdentity: self.on_process_identity,
            inputs.PredecessorState: self.predecessor.on_state,
            inputs.PredecessorFeed: self.catch_up.on_predecessor_feed,
            inputs.PredecessorSettings: self.config_reload.on_predecessor_settings,
            inputs.PredecessorEnded: self.predecessor.on_ended,
            inputs.ConfigFileRead: self.config_reload.on_file_read,
            inputs.OperatorFileRead: self.operator_settings.on_file_read,
            inputs.IdleMemory: self.memory_limit.on_idle_memory,
            inputs.ShutdownRequested: self.shutdown.on_requested,
        }

    def numbered_timer_handlers(self) -> dict[TimerKind, Callable[[int], None]]:
        """The handler of each kind of timer that is scheduled with a number."""
        return {
            TimerKind.ATTEMPT_TIMEOUT: self.attempts.on_timeout,
            TimerKind.CONNECT_TIMEOUT: self.attempts.on_connect_timeout,
            TimerKind.HEALTH_CHECK_TIMEOUT: self.attempts.health_checks.on_timeout,
            TimerKind.CONNECTION_SILENCE: self.silence_detector.on_timer,
            TimerKind.RETRY_BACKOFF: self.attempts.on_backoff_elapsed,
            TimerKind.SETTINGS_TRANSITION: self.config_reload.on_transition_over,
            TimerKind.SHUTDOWN: self.shutdown.on_timer,
            TimerKind.FEED_CATCH_UP: self.catch_up.on_timer,
        }

    def unnumbered_timer_handlers(self) -> dict[TimerKind, Callable[[], None]]:
        """The handler of each kind of which there is only one timer."""
        return {
            TimerKind.SEND_WATCH_REQUEST: self.position.send_watch_request,
            TimerKind.HOUSEKEEPING: self.housekeeping.on_timer,
            TimerKind.FEED_RECORD: self.feed_recorder.on_timer,
            TimerKind.RESTART_OVERLAP: self.predecessor.update_budget_share,
        }

    @property
    def is_shutting_down(self) -> bool:
        """Whether SIGTERM was received."""
        return self.process.is_shutting_down

    def start(
        self,
        now: int,
        options: StartupOptions | None = None,
        crash_loop_delay_ns: int = 0,
        replicas: ControlReplicas | None = None,
        predecessor_feed: inputs.PredecessorFeed | None = None,
    ) -> list[Effect]:
        """Apply the endpoints of the configuration, and schedule the first watch request.

        Args:
            now: Unix time in ns.
            options: The start options of the operator's file.
            crash_loop_delay_ns: Added to the delay of the first watch request if the router restarts
                repeatedly.
            replicas: The control replicas of the operator's file; None = none are named.
            predecessor_feed: The feed record that the predecessor process left; None = there is no file.

        Returns:
            The first effects, in the order in which they are to be carried out.
        """
        options = options or StartupOptions()
        self.state.now = now
        self.state.effects = []
        self.process.started_ns = now
        self.decisions.start()
        self.predecessor.start()
        self.operator_settings.apply_start_options(options)
        self.watch.apply_configured_endpoints()
        self.feed_recorder.start()
        self.catch_up.start(predecessor_feed)
        self.watch.start(options, crash_loop_delay_ns, replicas)
        log_deployment(self.state)
        self.housekeeping.start()
        self.config_reload.start()
        self.decisions.run()
        return self.state.effects

    def handle(self, now: int, message: Input) -> list[Effect]:
        """Process one input.

        Args:
            now: Unix time in ns, which never runs backwards.
            message: The input.

        Returns:
            The effects, in the order in which they are to be carried out.
        """
        self.state.now = now
        self.state.effects = []
        self.handlers[type(message)](message)
        self.decisions.run()
        return self.state.effects

    def on_server_connected(self, message: inputs.ServerConnected) -> None:
        """Handle an established connection to a server."""
        self.attempts.on_connected(message.connection)

    def on_partial_response(self, message: inputs.PartialResponse) -> None:
        """Record whether an incomplete response is pending on a connection to a server."""
        connection = self.state.connections.by_number.get(message.connection)
        if connection is not None:
            connection.has_partial_response = message.is_incomplete

    def on_watch_response(self, message: inputs.WatchResponse) -> None:
        """Handle a response of the watched feed."""
        self.watch.on_response(message)
        self.catch_up.on_watch_response()

    def on_listeners_ready(self, _message: inputs.ListenersReady) -> None:
        """Record that clients can connect."""
        self.process.is_listening = True
        self.restart_overlap.on_serving(self.state.now)
        self.catch_up.on_listening()

    def on_process_identity(self, message: inputs.ProcessIdentity) -> None:
        """Store the digest of the program and the process's name, which SetStateEndpoint requests."""
        self.process.identity = message
