"""All changes to the router's state: an input and the time go in, effects come out.

No socket and no clock is read here, and nothing is decided here: which server, which source, when to give up
and what to refuse are the decision module's, to which each input that concerns it is handed as an event.

Start reading at ``Reducer.handle``: each type of input has one handler, in ``Reducer.handlers``.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from typing import TYPE_CHECKING, Any

from kelpcroft.config import Config
from kelpcroft.core import inputs
from kelpcroft.core.attempts import Attempts
from kelpcroft.core.client_requests import ClientRequests
from kelpcroft.core.config_reload import ConfigReload
from kelpcroft.core.control_requests import ControlRequests
from kelpcroft.core.effects import Effect, FailRequest, ScheduleTimer, SendHealth
from kelpcroft.core.endpoint_list import EndpointList
from kelpcroft.core.feed_position import FeedPosition
from kelpcroft.core.feed_watch import FeedWatch
from kelpcroft.core.housekeeping import Housekeeping
from kelpcroft.core.inputs import Input
from kelpcroft.core.messages import TimerKey, TimerKind
from kelpcroft.core.operator_settings import OperatorSettings
from kelpcroft.core.predecessor import Predecessor
from kelpcroft.core.process_log import log_deployment
from kelpcroft.core.process_status import ProcessStatus
from kelpcroft.core.service_state import ServiceState
from kelpcroft.core.shutdown import Shutdown
from kelpcroft.core.silence_detection import SilenceDetector
from kelpcroft.core.state import OpenRequest, State
from kelpcroft.core.timers import Timers
from kelpcroft.decision import interface as api
from kelpcroft.invariants import holds
from kelpcroft.startup import RestartOverlap, StartupOptions

if TYPE_CHECKING:
    from kelpcroft.operator_file.model import ControlReplicas


class Reducer:
    """Dispatch of inputs to the parts that own them.  ``handle`` is the only way to change the state."""

    def __init__(self, config: Config) -> None:
        self.state = State(config)
        self.service_state = ServiceState(shares_listener=config.inherited_listener_fd is not None)
        self.process = ProcessStatus(self.service_state)
        self.requests = ClientRequests(self.state)
        self.attempts = Attempts(self.state, self.requests)
        self.silence_detector = SilenceDetector(self.state, self.attempts)
        self.position = FeedPosition(self.state)
        self.endpoint_list = EndpointList(self.state, self.position, self.attempts, self.run_decisions)
        self.watch = FeedWatch(self.state, self.position, self.endpoint_list)
        self.config_reload = ConfigReload(self.state, self.watch)
        self.operator_settings = OperatorSettings(self.state, self.process, self.watch)
        self.restart_overlap = RestartOverlap(config.settings, self.service_state.shares_listener)
        self.predecessor = Predecessor(self.state, self.process, self.restart_overlap)
        self.control_requests = ControlRequests(self.state, self.process, self.endpoint_list)
        self.housekeeping = Housekeeping(self.state, self.attempts.connections, self.operator_settings)
        self.shutdown = Shutdown(self.state, self.process, self.housekeeping)
        self.timers = Timers(
            self.state,
            self.attempts,
            self.silence_detector,
            self.position,
            self.housekeeping,
            self.predecessor,
            self.config_reload,
            self.shutdown,
        )
        self.handlers = self.input_handlers()
        self.action_handlers = self.decision_action_handlers()

    def input_handlers(self) -> dict[type[Any], Callable[[Any], None]]:
        """What takes each type of input."""
        return {
            inputs.ClientRequest: self.on_client_request,
            inputs.CancelRequest: self.on_cancel_request,
            inputs.HealthRequest: self.on_health_request,
            inputs.ClientConnected: self.on_client_connected,
            inputs.ClientDisconnected: self.on_client_disconnected,
            inputs.ServerResponse: self.attempts.on_response,
            inputs.ServerConnected: self.on_server_connected,
            inputs.ServerConnectionLost: self.attempts.on_connection_lost,
            inputs.PartialResponse: self.on_partial_response,
            inputs.TimerFired: self.timers.on_fired,
            inputs.WatchResponse: self.watch.on_response,
            inputs.WatchFailed: self.watch.on_failed,
            inputs.ProcessStalled: self.watch.on_stalled,
            inputs.ControlRequest: self.control_requests.on_request,
            inputs.ListenersReady: self.on_listeners_ready,
            inputs.ProcessIdentity: self.on_process_identity,
            inputs.PredecessorState: self.predecessor.on_state,
            inputs.PredecessorEnded: self.predecessor.on_ended,
            inputs.ConfigFileRead: self.config_reload.on_file_read,
            inputs.OperatorFileRead: self.operator_settings.on_file_read,
            inputs.ShutdownRequested: self.shutdown.on_requested,
        }

    def decision_action_handlers(self) -> dict[type[Any], Callable[[Any], None]]:
        """What carries out each type of the decision module's actions.

        ``Subscribe`` is not among them: it needs nothing, as the feed is polled all the time.
        """
        return {
            api.ForwardRequest: self.attempts.sender.forward,
            api.SetTimer: self.set_decision_timer,
            api.BackOff: self.attempts.back_off,
            api.Cancel: self.attempts.cancel,
            api.Reject: self.requests.reject_or_fail,
            api.Fail: self.requests.reject_or_fail,
            api.Log: self.log_decision,
            api.Probe: self.attempts.health_checks.check_server,
        }

    @property
    def is_shutting_down(self) -> bool:
        """Whether the platform has told the process to end."""
        return self.process.is_shutting_down

    def start(
        self,
        now: int,
        options: StartupOptions | None = None,
        crash_loop_delay_ns: int = 0,
        replicas: ControlReplicas | None = None,
    ) -> list[Effect]:
        """Take up what was known at the start, and ask the feed for the rest.

        Args:
            now: Unix time in ns.
            options: What the operator's file says of starts.
            crash_loop_delay_ns: The first call of the list is made so much later where the router starts
                again and again.
            replicas: What the operator's file says of the feed.

        Returns:
            The first effects, in the order in which they are to be carried out.
        """
        options = options or StartupOptions()
        self.state.now = now
        self.state.effects = []
        self.process.started_ns = now
        self.perform(self.state.policy.start(now))
        self.predecessor.start()
        self.operator_settings.apply_start_options(options)
        self.watch.start(options, crash_loop_delay_ns, replicas)
        log_deployment(self.state)
        self.housekeeping.start()
        self.run_decisions()
        return self.state.effects

    def handle(self, now: int, message: Input) -> list[Effect]:
        """Take one input.

        Args:
            now: Unix time in ns, kept from running back.
            message: What has happened.

        Returns:
            What is to be done for it, in this order.
        """
        self.state.now = now
        self.state.effects = []
        self.handlers[type(message)](message)
        self.run_decisions()
        return self.state.effects

    def on_client_request(self, message: inputs.ClientRequest) -> None:
        """A client's request has come."""
        if self.service_state.admits_requests(self.state.now):
            self.requests.on_request(message)
        else:
            self.requests.reject(message, "sent away")

    def on_cancel_request(self, message: inputs.CancelRequest) -> None:
        """A client has stopped waiting for a request."""
        open_here = self.state.requests_by_client.get(message.client, {})
        request = open_here.get(message.request_number)
        if request is not None:
            self.state.counters["cancelled by client"] += 1
            self.abandon(request)

    def on_client_connected(self, message: inputs.ClientConnected) -> None:
        """A client's connection was taken."""
        self.process.clients.add(message.client)

    def on_client_disconnected(self, message: inputs.ClientDisconnected) -> None:
        """A client's connection has ended: nothing is owed on it any more."""
        self.process.clients.discard(message.client)
        for request in list(self.state.requests_by_client.get(message.client, {}).values()):
            self.abandon(request)
        self.state.requests_by_client.pop(message.client, None)

    def abandon(self, request: OpenRequest) -> None:
        """A client has stopped waiting: nothing further begins, wherever cancelling is allowed or not."""
        self.requests.client_disconnected(request)
        self.attempts.abandon(request)

    def on_health_request(self, message: inputs.HealthRequest) -> None:
        """A client asks whether this router is ready."""
        reason = self.process.not_ready_reason(self.endpoint_list.has_list)
        self.state.effects.append(SendHealth(message.client, message.request_number, not reason))

    def on_server_connected(self, message: inputs.ServerConnected) -> None:
        """A connection to a server stands."""
        self.attempts.on_connected(message.connection)

    def on_partial_response(self, message: inputs.PartialResponse) -> None:
        """Part of an answer has come on a connection to a server, or the rest of it."""
        connection = self.state.connections.by_number.get(message.connection)
        if connection is not None:
            connection.has_partial_response = message.is_incomplete

    def on_listeners_ready(self, _: inputs.ListenersReady) -> None:
        """Clients can connect."""
        self.process.is_listening = True
        self.restart_overlap.on_serving(self.state.now)

    def on_process_identity(self, message: inputs.ProcessIdentity) -> None:
        """What this process is, as was asked for."""
        self.process.identity = message

    def run_decisions(self) -> None:
        """Hand events to the decision module until it has seen all that its own actions caused."""
        state = self.state
        while state.events:
            event = state.events.popleft()
            if state.routes is not None and isinstance(event, api.AttemptEnded):
                event = self.with_retry_budget(event)
            self.perform(state.policy.handle(state.now, event))
        if state.touched_requests:
            touched, state.touched_requests = state.touched_requests, []
            for request in touched:
                self.check_progress(request)

    def check_progress(self, request: OpenRequest) -> None:
        """Rule 1: the decision module either tries on or answers; it has no reason to sit on a request."""
        if request.is_answered or request.attempts_in_flight or request.is_backing_off:
            return
        if not holds(False, "a request is tried or answered"):
            message = request.message
            self.requests.finish(request, FailRequest(message.client, message.request_number))

    def with_retry_budget(self, event: api.AttemptEnded) -> api.AttemptEnded:
        """An attempt's end with what the route's budget has now.

        Of many that end at once, as on a lost connection, those before have taken from it.
        """
        request = self.state.requests.get(int(event.id))
        if request is None or request.allowance is None or request.allowance.can_retry(self.state.now):
            return event
        return replace(event, retry_budget_available=False)

    def perform(self, actions: list[api.Action]) -> None:
        """Carry the decision module's actions out, in their order."""
        for action in actions:
            handler = self.action_handlers.get(type(action))
            if handler is not None:
                handler(action)

    def set_decision_timer(self, action: api.SetTimer) -> None:
        """Schedule a timer of the decision module."""
        key = TimerKey(TimerKind.DECISION, action.label, 0)
        self.state.effects.append(ScheduleTimer(action.at_ns, key))

    def log_decision(self, action: api.Log) -> None:
        """The decision module has something to say."""
        self.state.log("module.says", action.text)
