"""Two processes of one router, one after the other or side by side: its cold budgets are one.

A process knows what it has sent to a cold server, and nothing of what its predecessor has.  Each spends 0.6
of its router's part (``kelpcroft.decision.policy.MAX_COLLAPSE_BUDGET_SHARE``).  So the new one spends half
of that for as long as the other's sends may still count: the two stay at 0.9 of the part, and the old one
needs to know nothing.

- On a socket that is shared (an upgrade) that lasts until the old one is told to have ended (its file under
  ``$TMPDIR``, ``store/handover.py``), and then for one span of the rule; where nothing is told, for as long
  as the platform lets the two run together.
- On a socket of its own it lasts for one span from the start: a router that died and is back within the span
  has sent what it does not remember.

Times are Unix nanoseconds; the time is an argument.
"""

from __future__ import annotations

from kelpcroft.decision import interface as api

SECOND = 1_000_000_000
BESIDE_SHARE = 0.5  # of the router's cold budgets, for a process that may not be alone
YES_NS = 6 * SECOND  # after the new process's yes the old one is told to end within this
END_LEAST_NS = 3 * SECOND  # and killed after the longest deadline, taken as this at the least ...
END_MORE_NS = 700_000_000  # ... and so much more


class RestartOverlap:
    """Which part of its router's cold budgets this process has."""

    def __init__(self, settings: api.Settings, shared: bool) -> None:
        rules = settings.rules
        self.span_ns = (
            rules.overload_collapse_ns
            if rules.cold_capacity_share < 1 or rules.parent_cold_capacity_share < 1
            else 0
        )
        self.shared = shared
        longest = max((c.deadline_ns for c in settings.classes), default=0)
        self.most_ns = YES_NS + max(longest, END_LEAST_NS) + END_MORE_NS
        self.overlap_ends_ns = 0

    def start(self, now: int) -> float:
        """The part at the start of the process."""
        self.overlap_ends_ns = now + self.span_ns + (self.most_ns if self.shared else 0)
        return self.budget_share(now)

    def on_serving(self, now: int) -> None:
        """It takes clients: the platform counts from here how long the other one may stay."""
        if self.shared and self.budget_share(now) < 1:
            self.overlap_ends_ns = max(self.overlap_ends_ns, now + self.span_ns + self.most_ns)

    def on_predecessor_ended(self, now: int, at_ns: int) -> None:
        """The one before has ended, at a time of its own telling: one in the future counts as now."""
        if self.shared and self.budget_share(now) < 1:
            self.overlap_ends_ns = min(self.overlap_ends_ns, min(at_ns, now) + self.span_ns)

    def budget_share(self, now: int) -> float:
        """1, or BESIDE_SHARE while another process's sends may count."""
        return BESIDE_SHARE if now < self.overlap_ends_ns else 1.0
