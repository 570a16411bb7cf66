"""Two processes of one router, one after the other or side by side: their budget for cold servers is one.

A process knows what it has sent to a cold server, and nothing of what its predecessor has.  Each spends 0.6
of its router's part (the decision code's safety margin for cold servers).  So the new one spends half of that
for as long as the other's sends may still count: the two stay at 0.9 of the part, and the old one needs to
know nothing.

- On a socket that is shared (an upgrade) that lasts until the old one is told to have ended (its file under
  ``$TMPDIR``, ``store/handover.py``), and then for one span of the rule; where nothing is told, for as long
  as the platform lets the two run together.
- On a socket of its own it lasts for one span from the start: a router that died and is back within the
  span has sent what it does not remember.

Times are Unix nanoseconds; the time is an argument.
"""

from __future__ import annotations

from kelpcroft.decision import interface as api

SECOND = 1_000_000_000
OVERLAP_BUDGET_SHARE = 0.5  # of the router's cold budgets, for a process that may not be alone
MAX_UNTIL_SIGTERM_NS = 6 * SECOND  # once the new process serves, the old one is told to end within this
MIN_DEADLINE_NS = 3 * SECOND  # and killed after the longest deadline, taken as this at the least ...
KILL_MARGIN_NS = 700_000_000  # ... and so much more


class RestartOverlap:
    """Which part of its router's cold budgets this process has.

    Attributes:
        is_shared: the listening socket was handed over by a process that may still run.
        overlap_ends_ns: until when another process's sends may count.
    """

    def __init__(self, settings: api.Settings, shared: bool) -> None:
        """Begin with the whole of the budgets, until ``start``.

        Args:
            settings: the router's; they say whether servers are cold at all, and for how long.
            shared: the listening socket was handed over by a process that may still run.
        """
        rules = settings.rules
        has_cold_servers = rules.cold_capacity_share < 1 or rules.parent_cold_capacity_share < 1
        self._memory_ns = rules.overload_collapse_ns if has_cold_servers else 0  # for so long sends count
        self.is_shared = shared
        longest_ns = max((c.deadline_ns for c in settings.classes), default=0)
        self._max_overlap_ns = MAX_UNTIL_SIGTERM_NS + max(longest_ns, MIN_DEADLINE_NS) + KILL_MARGIN_NS
        self.overlap_ends_ns = 0

    def start(self, now: int) -> float:
        """The part at the start of the process."""
        self.overlap_ends_ns = now + self._memory_ns + (self._max_overlap_ns if self.is_shared else 0)
        return self.budget_share(now)

    def on_serving(self, now: int) -> None:
        """It takes clients: the platform counts from here how long the other one may stay."""
        if self.is_shared and self.budget_share(now) < 1:
            ends_ns = now + self._memory_ns + self._max_overlap_ns
            self.overlap_ends_ns = max(self.overlap_ends_ns, ends_ns)

    def on_predecessor_ended(self, now: int, ended_ns: int) -> None:
        """The one before has ended, at a time of its own telling: one in the future counts as now."""
        if self.is_shared and self.budget_share(now) < 1:
            self.overlap_ends_ns = min(self.overlap_ends_ns, min(ended_ns, now) + self._memory_ns)

    def budget_share(self, now: int) -> float:
        """1, or ``OVERLAP_BUDGET_SHARE`` while another process's sends may count."""
        return OVERLAP_BUDGET_SHARE if now < self.overlap_ends_ns else 1.0
