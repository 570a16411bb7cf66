"""The decisions of one router: hands each event to the parts that decide, and returns what they ask for.

The types that go in and come out are listed in kelpcroft/decision/interface.py.

The ordinary path (docs/design.md): a hash of the object picks the edge cache of the own zone
(``cache_selection``); for a miss, a list of sources (holding sibling, quickest parent, backup, origin) is
tried in turn (``fill_sources``); a server that fails is ejected and gets only trial requests until one
succeeds (``outlier_ejection``).  All else here is a guard round that path.
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
    Event,
    HedgeDue,
    PossibleExecution,
    Purged,
    Request,
    RequestEvent,
    ResponseStarted,
    RouterShare,
    ServerList,
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
from kelpcroft.decision.route_selection import RouteSelection
from kelpcroft.decision.router_state import RouterState
from kelpcroft.decision.settings import Settings
from kelpcroft.decision.slow_start import SlowStart
from kelpcroft.decision.statistics import MeanDeviation, mix64
from kelpcroft.decision.units import MS, SECOND_NS

TICK_TIMER: Final = 0  # the timers' labels: the look at what is in flight ...
RESUBSCRIBE_TIMER: Final = 1  # ... and the next call to discovery
TICK_NS: Final = 50 * MS  # between looks at what is in flight
RESUBSCRIBE_DELAY_NS: Final = SECOND_NS  # after a failed call to discovery
PART_HASH_FACTOR: Final = 65_537  # parts of one object are placed apart


class RoutingPolicy:
    """The decisions of one router.

    It does no I/O and reads no clock: ``handle`` is given the time, which never runs back, and returns the
    actions in the order in which they are to be carried out.  The same events at the same times give the same
    actions.
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
        self.routes = RouteSelection(self.state, self.admission, self.idempotency, self.caches, self.sources)
        self.forwarding = Forwarding(
            self.state, self.latency_model, self.ejection, self.freshness, self.routes, self.completion
        )
        self.retries = Retries(self.state, self.forwarding, self.completion)
        self.is_tick_scheduled = False

    # What others may read

    @property
    def settings(self) -> Settings:
        """The settings in use."""
        return self.state.settings

    @property
    def endpoints(self) -> dict[str, Endpoint]:
        """The known servers by name."""
        return self.state.directory.by_name

    @property
    def requests_in_flight(self) -> dict[str, InFlightRequest]:
        """The requests that are owed an answer or have attempts out, by id."""
        return self.state.requests_in_flight

    @property
    def transfer_time(self) -> dict[str, MeanDeviation]:
        """The measured transfer time of each class, in nanoseconds."""
        return self.latency_model.transfer_time

    @property
    def router_share(self) -> float:
        """This process's part of its router's budgets for cold servers."""
        return self.state.router_share

    @property
    def origin_fills_allowed(self) -> bool:
        """False while the origin may not be asked for one more fill that is kept."""
        return self.state.origin_fills_allowed

    # Events

    def start(self, now_ns: int) -> list[Action]:
        """Return the router's first actions."""
        self.state.now_ns = now_ns
        return [Subscribe()] if self.state.settings.discovery == "ask" else []

    def handle(self, now_ns: int, event: Event) -> list[Action]:
        """Take in one event, and return what it makes the router do.

        Args:
            now_ns: The time, which never runs back.
            event: What happened.  One that concerns a request that is gone changes nothing, nor does any
                ``ProbeFinished`` or ``PeerMessage``.
        """
        self.state.now_ns = now_ns
        self.state.actions = []
        # By how often they come: compiled, isinstance is one comparison.
        if isinstance(event, Request):
            self._handle_request(event)
        elif isinstance(event, AttemptEnded):
            self._handle_attempt_ended(event)
        elif isinstance(event, TimerExpired):
            self._handle_timer(event)
        elif isinstance(event, ServerList):
            self._handle_server_list(event)
        elif isinstance(event, Purged):
            self.freshness.record_purge(event)
        elif isinstance(event, SettingsChanged):
            self.state.change_settings(event.settings)
            self.latency_model.follow_classes()
        elif isinstance(event, RouterShare):
            self.state.router_share = event.share
            self.state.origin_fills_allowed = event.origin_fills_allowed
        elif isinstance(event, (ResponseStarted, HedgeDue, BackoffElapsed, ClientDisconnected)):
            self._handle_request_event(event)
        return self.state.actions

    def _handle_request_event(self, event: RequestEvent) -> None:
        """Take in what concerns one request that is in flight."""
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

    def _handle_server_list(self, event: ServerList) -> None:
        if event.form == "unavailable":
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
        self.retries.earn_tokens()
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
        """Learn from an attempt's end; then close its request or try again."""
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
            self.retries.after_failure(request, attempt, event)

    # Timers

    def _handle_timer(self, event: TimerExpired) -> None:
        if event.label == TICK_TIMER:
            self._check_requests_in_flight()
        else:
            self.state.actions.append(Subscribe())

    def _check_requests_in_flight(self) -> None:
        """Look every ``TICK_NS``, while requests are in flight, for silence, lateness and old purges."""
        self.is_tick_scheduled = False
        for cache in self.state.directory.zone_caches:
            cache.requests_awaiting_fill = 0
        for request in list(self.state.requests_in_flight.values()):
            self.feedback.record_silence(request)
        self.freshness.forget_old_purges()
        if self.state.requests_in_flight:
            self._schedule_tick()

    def _schedule_tick(self) -> None:
        if not self.is_tick_scheduled:
            self.is_tick_scheduled = True
            self.state.actions.append(SetTimer(TICK_TIMER, self.state.now_ns + TICK_NS))
