"""Hands events to the decision module, and carries out what it asks for."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from typing import Any

from kelpcroft.core.attempts import Attempts
from kelpcroft.core.client_requests import ClientRequests
from kelpcroft.core.effects import FailRequest, ScheduleTimer
from kelpcroft.core.messages import TimerKey, TimerKind
from kelpcroft.core.state import OpenRequest, State
from kelpcroft.decision import interface as api
from kelpcroft.invariants import holds


class DecisionLoop:
    """The only caller of the decision module."""

    def __init__(self, state: State, requests: ClientRequests, attempts: Attempts) -> None:
        self.state = state
        self.requests = requests
        self.attempts = attempts
        self.action_handlers = self.handlers_by_type()

    def start(self) -> None:
        """Start the decision module at the time of the input in hand."""
        self.perform(self.state.policy.start(self.state.now))

    def handlers_by_type(self) -> dict[type[Any], Callable[[Any], None]]:
        """What carries out each type of the decision module's actions.

        ``Subscribe`` is not among them: it needs nothing, as the feed is polled all the time.
        """
        return {
            api.ForwardRequest: self.attempts.sender.forward,
            api.SetTimer: self.set_timer,
            api.BackOff: self.attempts.back_off,
            api.Cancel: self.attempts.cancel,
            api.Reject: self.requests.reject_or_fail,
            api.Fail: self.requests.reject_or_fail,
            api.Log: self.log,
            api.Probe: self.attempts.health_checks.check_server,
        }

    def run(self) -> None:
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

    def set_timer(self, action: api.SetTimer) -> None:
        """Schedule a timer of the decision module."""
        key = TimerKey(TimerKind.DECISION, action.label, 0)
        self.state.effects.append(ScheduleTimer(action.at_ns, key))

    def log(self, action: api.Log) -> None:
        """Log a message of the decision module."""
        self.state.log("module.says", action.text)
