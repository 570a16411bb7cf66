"""A budget of further attempts and copies: a share of recent requests, with a floor and a store."""

from __future__ import annotations

from kelpcroft.operator_file.model import BudgetSettings as Declared

NS = 1_000_000_000


class RetryBudget:
    """Tokens.  Each request earns ``ratio``, each second ``least_per_s``; up to ``burst`` are kept; a further
    attempt or a copy takes one.  Never overdrawn: ``take`` is the only way down, and takes whole tokens."""

    def __init__(self, declared: Declared, now: int) -> None:
        self.ratio, self.least_per_s, self.burst = declared.ratio, declared.least_per_s, declared.burst
        self.tokens = declared.burst
        self.filled_ns = now
        self.spent = self.denied = 0

    def reconfigure(self, declared: Declared, now: int) -> None:
        """New figures; what is kept stays, up to the new burst."""
        self.fill(now)
        self.ratio, self.least_per_s, self.burst = declared.ratio, declared.least_per_s, declared.burst
        self.tokens = min(self.tokens, self.burst)

    def fill(self, now: int) -> None:
        """What time has earned up to now; a clock that stood still earns nothing."""
        if now > self.filled_ns:
            earned = self.least_per_s * (now - self.filled_ns) / NS
            self.tokens = min(self.burst, self.tokens + earned)
            self.filled_ns = now

    def earn(self, now: int) -> None:
        """One more request."""
        self.fill(now)
        self.tokens = min(self.burst, self.tokens + self.ratio)

    def can_spend(self, now: int) -> bool:
        """Whether one more may be taken."""
        self.fill(now)
        return self.tokens >= 1

    def spend(self, now: int) -> bool:
        """Take one; False, and nothing taken, where there is none."""
        if not self.can_spend(now):
            self.denied += 1
            return False
        self.tokens -= 1
        self.spent += 1
        return True
