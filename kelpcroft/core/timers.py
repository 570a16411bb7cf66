"""Dispatch of expired timers: one handler for each kind of timer."""

from __future__ import annotations

from collections.abc import Callable

from kelpcroft.core.attempts import Attempts
from kelpcroft.core.config_reload import ConfigReload
from kelpcroft.core.feed_catch_up import FeedCatchUp
from kelpcroft.core.feed_position import FeedPosition
from kelpcroft.core.feed_recorder import FeedRecorder
from kelpcroft.core.housekeeping import Housekeeping
from kelpcroft.core.inputs import TimerFired
from kelpcroft.core.messages import TimerKind
from kelpcroft.core.predecessor import Predecessor
from kelpcroft.core.shutdown import Shutdown
from kelpcroft.core.silence_detection import SilenceDetector
from kelpcroft.core.state import State
from kelpcroft.decision import interface as api


class Timers:
    """Passes each expired timer to the component that scheduled it."""

    def __init__(
        self,
        state: State,
        attempts: Attempts,
        silence_detector: SilenceDetector,
        position: FeedPosition,
        housekeeping: Housekeeping,
        predecessor: Predecessor,
        config_reload: ConfigReload,
        shutdown: Shutdown,
        feed_recorder: FeedRecorder,
        catch_up: FeedCatchUp,
    ) -> None:
        self.state = state
        self.attempts = attempts
        # Handlers that receive the number with which the timer was scheduled.
        self.numbered_handlers: dict[TimerKind, Callable[[int], None]] = {
            TimerKind.ATTEMPT_TIMEOUT: attempts.on_timeout,
            TimerKind.DECISION: self.on_decision_timer,
            TimerKind.CONNECT_TIMEOUT: attempts.on_connect_timeout,
            TimerKind.HEALTH_CHECK_TIMEOUT: attempts.health_checks.on_timeout,
            TimerKind.CONNECTION_SILENCE: silence_detector.on_timer,
            TimerKind.RETRY_BACKOFF: attempts.on_backoff_elapsed,
            TimerKind.SETTINGS_TRANSITION: config_reload.on_transition_over,
            TimerKind.SHUTDOWN: shutdown.on_timer,
            TimerKind.FEED_CATCH_UP: catch_up.on_timer,
        }
        # Handlers of the kinds that have only one timer.
        self.unnumbered_handlers: dict[TimerKind, Callable[[], None]] = {
            TimerKind.SEND_WATCH_REQUEST: position.send_watch_request,
            TimerKind.HOUSEKEEPING: housekeeping.on_timer,
            TimerKind.FEED_RECORD: feed_recorder.on_timer,
            TimerKind.RESTART_OVERLAP: predecessor.update_budget_share,
        }

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
