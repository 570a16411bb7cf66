"""Dispatch of expired timers: one handler for each kind of timer."""

from __future__ import annotations

from collections.abc import Callable, Mapping

from kelpcroft.core.attempts import Attempts
from kelpcroft.core.inputs import TimerFired
from kelpcroft.core.messages import TimerKind
from kelpcroft.core.state import State
from kelpcroft.decision import interface as api


class Timers:
    """Passes each expired timer to the component that scheduled it."""

    def __init__(
        self,
        state: State,
        attempts: Attempts,
        numbered_handlers: Mapping[TimerKind, Callable[[int], None]],
        unnumbered_handlers: Mapping[TimerKind, Callable[[], None]],
    ) -> None:
        """Create the dispatch.

        Args:
            state: The state, to which the timers of the decision package are passed as events.
            attempts: Handles hedges.
            numbered_handlers: Handlers that receive the number with which the timer was scheduled.
            unnumbered_handlers: Handlers of the kinds that have only one timer.
        """
        self.state = state
        self.attempts = attempts
        self.numbered_handlers = {**numbered_handlers, TimerKind.DECISION: self.on_decision_timer}
        self.unnumbered_handlers = unnumbered_handlers

    def on_fired(self, fired: TimerFired) -> None:
        """Pass an expired timer to its handler."""
        kind, number, detail = fired.key
        handler = self.numbered_handlers.get(kind)
        if handler is not None:
            handler(number)
        elif kind is TimerKind.HEDGE:
            self.attempts.on_hedge_due(number, detail)
        else:
            self.unnumbered_handlers[kind]()

    def on_decision_timer(self, number: int) -> None:
        """Pass an expired timer of the decision package on to it."""
        self.state.events.append(api.TimerExpired(number))
