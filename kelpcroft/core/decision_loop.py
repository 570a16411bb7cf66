"""Loop that passes events to the decision package and carries out the actions it returns."""

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
from kelpcroft.invariants import check_invariant


class DecisionLoop:
    """The only part of the core that passes events to the decision package and runs its actions."""

    def __init__(self, state: State, requests: ClientRequests, attempts: Attempts) -> None:
        self.state = state
        self.requests = requests
        self.attempts = attempts
        self.action_handlers = self.handlers_by_type()

    def start(self) -> None:
        """Start the decision package at the time of the current input."""
        self.perform(self.state.policy.start(self.state.now))

    def handlers_by_type(self) -> dict[type[Any], Callable[[Any], None]]:
        """The handler of each type of action that the decision package returns.

        ``Subscribe`` has no handler and is ignored, because the feed is always watched.
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
        """Pass events to the decision package until none is left, including those that its actions cause.

        Then check the progress of each request in ``requests_to_check``.
        """
        state = self.state
        while state.events:
            event = state.events.popleft()
            if state.routes is not None and isinstance(event, api.AttemptEnded):
                event = self.with_retry_budget(event)
            self.perform(state.policy.handle(state.now, event))
        if state.requests_to_check:
            requests, state.requests_to_check = state.requests_to_check, []
            for request in requests:
                self.check_progress(request)

    def check_progress(self, request: OpenRequest) -> None:
        """Fail a request that has neither a final response nor an attempt, nor waits for its next attempt.

        Rule 1: the decision package either makes another attempt or ends the request, and never holds one
        without either.
        """
        if request.has_final_response or request.attempts_in_flight or request.is_backing_off:
            return
        if not check_invariant(False, "an open request has an attempt or a back-off"):
            message = request.message
            self.requests.finish(request, FailRequest(message.client, message.request_number))

    def with_retry_budget(self, event: api.AttemptEnded) -> api.AttemptEnded:
        """Return the end of an attempt, updated with what the route's retry budget allows now.

        If many attempts end together, as on a lost connection, the retries of the earlier ones have already
        used some of the budget.
        """
        request = self.state.requests.get(int(event.id))
        if request is None or request.allowance is None or request.allowance.can_retry(self.state.now):
            return event
        return replace(event, retry_budget_available=False)

    def perform(self, actions: list[api.Action]) -> None:
        """Carry out the decision package's actions, in their order."""
        for action in actions:
            handler = self.action_handlers.get(type(action))
            if handler is not None:
                handler(action)

    def set_timer(self, action: api.SetTimer) -> None:
        """Schedule a timer of the decision package."""
        key = TimerKey(TimerKind.DECISION, action.label, 0)
        self.state.effects.append(ScheduleTimer(action.at_ns, key))

    def log(self, action: api.Log) -> None:
        """Log a message of the decision package."""
        self.state.log("module.says", action.text)
