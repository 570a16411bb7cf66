"""Entry point of the decision package: passes each event to the modules that it concerns.

The types of events and actions are listed in kelpcroft/decision/interface.py.

The ordinary path (docs/design.md): a hash of the object selects an edge cache of the router's own zone
(``cache_selection``).  A miss there is filled from the first usable server of a ranked list: a sibling that
holds the object, the fastest parent, a backup parent, the origin (``fill_sources``).  A server that fails is
ejected and receives only trial requests until one of them succeeds (``outlier_ejection``).  The other modules
protect this path against overload, cold servers, outdated copies and repeated execution.
"""

from __future__ import annotations

from typing import Final

from kelpcroft.decision.actions import Action, SetTimer, Subscribe
from kelpcroft.decision.admission import Admission
from kelpcroft.decision.attempt_feedback import AttemptFeedback
from kelpcroft.decision.cache_selection import CacheSelection
from kelpcroft.decision.endpoint import Endpoint
from kelpcroft.decision.events import (
    AttemptEnded,
    BackoffElapsed,
    ClientDisconnected,
    EndpointListChanged,
    Event,
    HedgeDue,
    PossibleExecution,
    Purged,
    PurgesKnown,
    PurgesUnknown,
    Request,
    RequestEvent,
    ResponseStarted,
    RouterShareChanged,
    SettingsChanged,
    TimerExpired,
)
from kelpcroft.decision.fill_sources import FillSources
from kelpcroft.decision.forwarding import Forwarding
from kelpcroft.decision.freshness import Freshness
from kelpcroft.decision.idempotency import IdempotencyGuard
from kelpcroft.decision.latency_model import LatencyModel
from kelpcroft.decision.outlier_ejection import OutlierEjection
from kelpcroft.decision.request_completion import RequestCompletion
from kelpcroft.decision.requests import InFlightRequest
from kelpcroft.decision.retries import Retries
from kelpcroft.decision.route_selection import ServerSelection
from kelpcroft.decision.router_state import RouterState
from kelpcroft.decision.settings import Settings
from kelpcroft.decision.slow_start import SlowStart
from kelpcroft.decision.statistics import MeanDeviation, mix64
from kelpcroft.decision.units import MS, SECOND_NS

TICK_TIMER: Final = 0  # label of the timer for the periodic check of the requests in flight
RESUBSCRIBE_TIMER: Final = 1  # label of the timer for the next discovery subscription
TICK_NS: Final = 50 * MS  # interval between checks of the requests in flight
RESUBSCRIBE_DELAY_NS: Final = SECOND_NS  # delay before subscribing again after discovery has failed
PART_HASH_FACTOR: Final = 65_537  # gives each part of an object a hash of its own


class RoutingPolicy:
    """Decides for one router which actions follow from each event.

    It does no I/O and reads no clock: the caller passes the time, which never decreases, to ``handle``, which
    returns the actions in the order in which they are to be executed.  The same events at the same times
    produce the same actions.
    """

    def __init__(self, settings: Settings) -> None:
        self.state = RouterState(settings)
        self.latency_model = LatencyModel(self.state)
        self.admission = Admission(self.state, self.latency_model)
        self.ejection = OutlierEjection(self.state)
        self.idempotency = IdempotencyGuard(self.state)
        self.slow_start = SlowStart(self.state, self.latency_model, self.admission)
        self.feedback = AttemptFeedback(self.state, self.latency_model, self.admission, self.ejection)
        self.caches = CacheSelection(self.state, self.slow_start, self.idempotency, self.ejection)
        self.sources = FillSources(self.state, self.slow_start, self.ejection)
        self.freshness = Freshness(self.state)
        self.completion = RequestCompletion(self.state)
        self.server_selection = ServerSelection(
            self.state, self.admission, self.idempotency, self.caches, self.sources
        )
        self.forwarding = Forwarding(
            self.state,
            self.latency_model,
            self.ejection,
            self.freshness,
            self.server_selection,
            self.completion,
        )
        self.retries = Retries(self.state, self.forwarding, self.completion)
        self.is_tick_scheduled = False

    # State that other packages may read

    @property
    def settings(self) -> Settings:
        """The settings in effect."""
        return self.state.settings

    @property
    def endpoints(self) -> dict[str, Endpoint]:
        """The servers of the endpoint list by name, with those that drain or have left the list."""
        return self.state.directory.by_name

    @property
    def requests_in_flight(self) -> dict[str, InFlightRequest]:
        """The requests that await their final response or have attempts in flight, by id."""
        return self.state.requests_in_flight

    @property
    def transfer_time(self) -> dict[str, MeanDeviation]:
        """The running mean of the transfer time of each class, in nanoseconds."""
        return self.latency_model.transfer_time

    @property
    def router_share(self) -> float:
        """This process's share of its router's budgets for cold servers."""
        return self.state.router_share

    @property
    def origin_fills_allowed(self) -> bool:
        """False while no further fill of a cacheable object may be requested from the origin."""
        return self.state.origin_fills_allowed

    # Events

    def start(self, now_ns: int) -> list[Action]:
        """Return the actions of a router that starts."""
        self.state.now_ns = now_ns
        return [Subscribe()] if self.state.settings.discovery == "ask" else []

    def handle(self, now_ns: int, event: Event) -> list[Action]:
        """Apply one event and return the actions that follow from it.

        Args:
            now_ns: The time, which never decreases.
            event: The event.  An event of a request that has already ended is ignored, as are all
                ``ProbeFinished`` and ``PeerMessage`` events.
        """
        self.state.now_ns = now_ns
        self.state.actions = []
        # Ordered by how often each event occurs; in the compiled build an isinstance test is one comparison.
        if isinstance(event, Request):
            self._handle_request(event)
        elif isinstance(event, AttemptEnded):
            self._handle_attempt_ended(event)
        elif isinstance(event, TimerExpired):
            self._handle_timer(event)
        elif isinstance(event, EndpointListChanged):
            self._handle_endpoint_list_changed(event)
        elif isinstance(event, (Purged, PurgesUnknown, PurgesKnown)):
            self.freshness.handle(event)
        elif isinstance(event, SettingsChanged):
            self.state.change_settings(event.settings)
            self.latency_model.update_classes()
        elif isinstance(event, RouterShareChanged):
            self.state.router_share = event.share
            self.state.origin_fills_allowed = event.origin_fills_allowed
        elif isinstance(event, (ResponseStarted, HedgeDue, BackoffElapsed, ClientDisconnected)):
            self._handle_request_event(event)
        return self.state.actions

    def _handle_request_event(self, event: RequestEvent) -> None:
        """Apply an event that concerns one request in flight."""
        request = self.state.requests_in_flight.get(event.id)
        if request is None:
            return
        if isinstance(event, ResponseStarted):
            request.response_started = True
            self.completion.cancel_attempts(request, event.attempt)
        elif isinstance(event, HedgeDue):
            self.retries.hedge(request, event)
        elif isinstance(event, BackoffElapsed):
            if not request.is_closed:
                self.forwarding.send_next_attempt(request)
        else:
            self.admission.withdraw_offered_work(request)
            self.completion.close(request)

    def _handle_endpoint_list_changed(self, event: EndpointListChanged) -> None:
        if event.update_kind == "unavailable":
            at_ns = self.state.now_ns + RESUBSCRIBE_DELAY_NS
            self.state.actions.append(SetTimer(RESUBSCRIBE_TIMER, at_ns))
        else:
            self.state.directory.apply(event)

    def _handle_request(self, event: Request) -> None:
        """Admit a request and send its first attempt, or reject it."""
        request_class = self.state.request_classes[event.class_name]
        object_hash = mix64(event.object_id * PART_HASH_FACTOR + event.part)
        max_attempts = self.state.settings.limits.max_attempts
        request = InFlightRequest(self.state.now_ns, event, request_class, object_hash, max_attempts)
        self.state.requests_in_flight[event.id] = request
        if event.retry_policy and event.retry_policy.concurrency_limit_reached:
            self.completion.reject_or_fail(request)
            return
        self.retries.add_tokens()
        if not request_class.uncacheable:
            history = self.state.histories.record_request(object_hash, self.state.now_ns)
            request.history = history
            request.expects_fill = not history.known_copies
            if not self.admission.admit(request):
                self.completion.reject_or_fail(request)
                return
        self.forwarding.send_next_attempt(request)
        self._schedule_tick()

    def _handle_attempt_ended(self, event: AttemptEnded) -> None:
        """Record the end of an attempt, then close its request or send the next attempt."""
        request = self.state.requests_in_flight.get(event.id)
        if request is None:
            return
        attempt = request.attempts_in_flight.pop(event.attempt, None)
        if attempt is None:
            return
        attempt.endpoint.requests_in_flight -= 1
        if not event.outcome.proves_not_executed and not request.possible_execution:
            server = attempt.endpoint.server
            request.possible_execution = PossibleExecution(server.zone, server.cell, attempt.sent_ns)
        self.feedback.record_end(request, attempt, event)
        if event.is_final or request.is_closed:
            self.completion.close(request)
        elif not request.attempts_in_flight and not request.response_started:
            self.retries.handle_failure(request, attempt, event)

    # Timers

    def _handle_timer(self, event: TimerExpired) -> None:
        if event.label == TICK_TIMER:
            self._check_requests_in_flight()
        else:
            self.state.actions.append(Subscribe())

    def _check_requests_in_flight(self) -> None:
        """Check for silent servers, late requests and expired purges.

        The check runs every ``TICK_NS`` while requests are in flight.
        """
        self.is_tick_scheduled = False
        for cache in self.state.directory.zone_caches:
            cache.requests_awaiting_fill = 0
        for request in list(self.state.requests_in_flight.values()):
            self.feedback.check_attempts_in_flight(request)
        self.freshness.remove_old_purges()
        if self.state.requests_in_flight:
            self._schedule_tick()

    def _schedule_tick(self) -> None:
        if not self.is_tick_scheduled:
            self.is_tick_scheduled = True
            self.state.actions.append(SetTimer(TICK_TIMER, self.state.now_ns + TICK_NS))
