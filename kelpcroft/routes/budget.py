"""Retry budget: limits further attempts and hedges to a share of recent requests.

A token bucket that is filled by requests, as in Finagle's and Envoy's retry budgets, and slowly by time.  The
number of tokens is limited.
"""

from __future__ import annotations

from typing import Final

from kelpcroft.operator_file.model import BudgetSettings

NS_PER_S: Final = 1_000_000_000


class RetryBudget:
    """A token bucket.  Each request adds ``ratio`` tokens and each second ``min_per_s``, up to ``burst``.

    A further attempt or a hedge takes one token.  The bucket is never overdrawn: only ``spend`` takes tokens,
    one at a time, and none from a bucket with less than one token.
    """

    def __init__(self, settings: BudgetSettings, now: int) -> None:
        self.ratio = settings.ratio
        self.min_per_s = settings.min_per_s
        self.burst = settings.burst
        self.tokens = settings.burst
        self.refilled_ns = now
        self.spent = 0
        self.denied = 0

    def reconfigure(self, settings: BudgetSettings, now: int) -> None:
        """Apply new settings.  The tokens are kept, up to the new burst."""
        self.refill(now)
        self.ratio = settings.ratio
        self.min_per_s = settings.min_per_s
        self.burst = settings.burst
        self.tokens = min(self.tokens, self.burst)

    def refill(self, now: int) -> None:
        """Add the tokens for the time up to ``now``, in ns; none if the clock has not advanced."""
        if now > self.refilled_ns:
            earned = self.min_per_s * (now - self.refilled_ns) / NS_PER_S
            self.tokens = min(self.burst, self.tokens + earned)
            self.refilled_ns = now

    def earn(self, now: int) -> None:
        """Add the tokens for one request."""
        self.refill(now)
        self.tokens = min(self.burst, self.tokens + self.ratio)

    def can_spend(self, now: int) -> bool:
        """Whether a token is available."""
        self.refill(now)
        return self.tokens >= 1

    def spend(self, now: int) -> bool:
        """Take a token.  Returns False, and takes nothing, if none is available."""
        if not self.can_spend(now):
            self.denied += 1
            return False
        self.tokens -= 1
        self.spent += 1
        return True
