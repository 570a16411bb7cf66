"""Retry budget: further attempts and hedges as a share of recent requests.

A token bucket that requests fill, as in Finagle's and Envoy's retry budgets, and that time fills a little.
What is saved is bounded.
"""

from __future__ import annotations

from typing import Final

from kelpcroft.operator_file.model import BudgetSettings

NS_PER_S: Final = 1_000_000_000


class RetryBudget:
    """Tokens.  Each request earns ``ratio``, each second ``min_per_s``; up to ``burst`` are kept.

    A further attempt or a hedge takes one.  Never overdrawn: ``spend`` is the only way down, and takes
    whole tokens.
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
        """New figures; what is kept stays, up to the new burst."""
        self.refill(now)
        self.ratio = settings.ratio
        self.min_per_s = settings.min_per_s
        self.burst = settings.burst
        self.tokens = min(self.tokens, self.burst)

    def refill(self, now: int) -> None:
        """What time has earned up to ``now``, in ns; a clock that stood still earns nothing."""
        if now > self.refilled_ns:
            earned = self.min_per_s * (now - self.refilled_ns) / NS_PER_S
            self.tokens = min(self.burst, self.tokens + earned)
            self.refilled_ns = now

    def earn(self, now: int) -> None:
        """One more request."""
        self.refill(now)
        self.tokens = min(self.burst, self.tokens + self.ratio)

    def can_spend(self, now: int) -> bool:
        """Whether a token may be taken."""
        self.refill(now)
        return self.tokens >= 1

    def spend(self, now: int) -> bool:
        """Take a token; False, and nothing taken, where there is none."""
        if not self.can_spend(now):
            self.denied += 1
            return False
        self.tokens -= 1
        self.spent += 1
        return True
