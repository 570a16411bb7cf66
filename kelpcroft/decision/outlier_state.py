"""Outlier ejection of one server: whether it gets requests, by the evidence of its own answers.

A server is ejected after ``EJECTION_FAILURE_SCORE`` of failures in a row.  From then on it is half open: it
gets single trial requests, each after a longer interval, until one succeeds (the circuit breaker of Nygard's
"Release It!", with the outlier detection of service meshes).  Who is to blame for a failure is decided in
``outlier_ejection``.
"""

from __future__ import annotations

from typing import Final

from kelpcroft.decision.units import SECOND_NS

# Failures in a row that eject a server; one refused connection weighs as much
EJECTION_FAILURE_SCORE: Final = 3
MIN_TRIAL_INTERVAL_NS: Final = SECOND_NS  # until an ejected server's first trial request, then doubling ...
MAX_TRIAL_INTERVAL_NS: Final = 8 * SECOND_NS  # ... up to this


class OutlierState:
    """Whether one server is ejected; the only owner of that fact.

    Attributes:
        failure_score: Weight of the failures since the last success.
        is_ejected: True while the server gets trial requests only.
        last_success_ns: When it last answered.
        next_trial_ns: From when an ejected server may get its next trial request.
        trial_interval_ns: The interval between the next two trial requests.
        process_stopped: True if the last failure was that of a stopped process, which comes back cold.
    """

    def __init__(self) -> None:
        self.failure_score = 0.0
        self.is_ejected = False
        self.last_success_ns = 0
        self.next_trial_ns = 0
        self.trial_interval_ns: int = MIN_TRIAL_INTERVAL_NS
        self.process_stopped = False

    def record_success(self, now_ns: int) -> bool:
        """Record an answer, which ends an ejection; return True if there was one to end."""
        was_ejected = self.is_ejected
        self.failure_score = 0.0
        self.is_ejected = False
        self.last_success_ns = now_ns
        self.trial_interval_ns = MIN_TRIAL_INTERVAL_NS
        return was_ejected

    def record_trial(self, now_ns: int) -> None:
        """Record that a trial request was sent, and put the next one off.

        Each trial costs a client's request and every router sends its own, so they grow rarer.
        """
        self.next_trial_ns = now_ns + self.trial_interval_ns
        self.trial_interval_ns = min(2 * self.trial_interval_ns, MAX_TRIAL_INTERVAL_NS)

    def record_failure(self, now_ns: int, weight: float, process_stopped: bool) -> bool:
        """Record a failure that the server is to blame for; return True if it ejects the server."""
        self.failure_score = self.failure_score + weight
        self.process_stopped = process_stopped
        if not self.is_ejected and self.failure_score >= EJECTION_FAILURE_SCORE:
            self.is_ejected = True
            self.next_trial_ns = now_ns + MIN_TRIAL_INTERVAL_NS
            return True
        return False
