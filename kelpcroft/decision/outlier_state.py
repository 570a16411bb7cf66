"""Outlier ejection state of one server, which follows from the successes and failures recorded for it.

A server is ejected when the failures since its last success reach ``EJECTION_FAILURE_SCORE``.  It is then
half open: it receives single trial requests at increasing intervals until one succeeds (the circuit breaker
of Nygard's "Release It!", with the outlier detection of service meshes).  ``outlier_ejection`` decides which
server a failure is attributed to.
"""

from __future__ import annotations

from typing import Final

from kelpcroft.decision.units import SECOND_NS

# Sum of failure weights without a success that ejects a server; one refused connection has this weight
EJECTION_FAILURE_SCORE: Final = 3
# Interval before the first trial request to an ejected server; it doubles with each further trial
MIN_TRIAL_INTERVAL_NS: Final = SECOND_NS
MAX_TRIAL_INTERVAL_NS: Final = 8 * SECOND_NS  # longest interval between trial requests


class OutlierState:
    """Whether one server is ejected; no other object stores this.

    Attributes:
        failure_score: Sum of the weights of the failures since the last success.
        is_ejected: True while the server receives only trial requests.
        last_success_ns: When a success of the server was last recorded.
        next_trial_ns: The earliest time of the next trial request to an ejected server.
        trial_interval_ns: The interval between the next two trial requests.
        process_stopped: True if the last failure shows that the server's process has stopped, so that the
            server will be cold when it is available again.
    """

    def __init__(self) -> None:
        self.failure_score = 0.0
        self.is_ejected = False
        self.last_success_ns = 0
        self.next_trial_ns = 0
        self.trial_interval_ns: int = MIN_TRIAL_INTERVAL_NS
        self.process_stopped = False

    def record_success(self, now_ns: int) -> bool:
        """Record a success, which ends an ejection; return True if the server was ejected."""
        was_ejected = self.is_ejected
        self.failure_score = 0.0
        self.is_ejected = False
        self.last_success_ns = now_ns
        self.trial_interval_ns = MIN_TRIAL_INTERVAL_NS
        return was_ejected

    def record_trial(self, now_ns: int) -> None:
        """Record that a trial request was sent, and schedule the next one.

        The intervals grow because each trial may cost a client its request, and every router sends its own.
        """
        self.next_trial_ns = now_ns + self.trial_interval_ns
        self.trial_interval_ns = min(2 * self.trial_interval_ns, MAX_TRIAL_INTERVAL_NS)

    def record_failure(self, now_ns: int, weight: float, process_stopped: bool) -> bool:
        """Record a failure that is attributed to the server; return True if it ejects the server."""
        self.failure_score = self.failure_score + weight
        self.process_stopped = process_stopped
        if not self.is_ejected and self.failure_score >= EJECTION_FAILURE_SCORE:
            self.is_ejected = True
            self.next_trial_ns = now_ns + MIN_TRIAL_INTERVAL_NS
            return True
        return False
