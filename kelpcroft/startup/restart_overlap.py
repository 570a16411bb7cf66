"""Budget for cold servers of two processes of one router, which run in succession or side by side.

A process counts the requests that it sends to a cold server, but not those of its predecessor.  Each spends
0.6 of its router's share (the decision package's safety margin for cold servers).  So the new process spends
half of that for as long as the other one's requests may still count: the two stay at 0.9 of the share, and
the old one needs no information about the new one.

- With a shared listening socket (an upgrade), this lasts until the old process is reported to have ended (its
  file under ``$TMPDIR``, ``store/handover.py``), plus one collapse interval (``overload_collapse_ns``).
  Without that report it lasts for as long as the platform lets the two run together, plus that interval.
- With a socket of its own, it lasts for one collapse interval from the start: a router that crashed and
  restarted within the interval has no record of the requests that it sent before.

Times are Unix nanoseconds; the time is an argument.
"""

from __future__ import annotations

from kelpcroft.decision import interface as api

SECOND = 1_000_000_000
OVERLAP_BUDGET_SHARE = 0.5  # share of the router's cold budgets while another process may run
MAX_UNTIL_SIGTERM_NS = 6 * SECOND  # the old process gets SIGTERM at most this long after the new one serves
MIN_DEADLINE_NS = 3 * SECOND  # the old process is killed after the longest deadline, taken as at least this
KILL_MARGIN_NS = 700_000_000  # margin between that deadline and the kill


class RestartOverlap:
    """The share of its router's cold budgets that this process may spend.

    Attributes:
        is_shared: Whether the listening socket came from a process that may still run.
        overlap_ends_ns: When another process's requests no longer count.
    """

    def __init__(self, settings: api.Settings, is_shared: bool) -> None:
        """Starts with the complete budgets, until ``start``.

        Args:
            settings: The router's settings; they determine whether servers are cold at all, and for how long.
            is_shared: Whether the listening socket came from a process that may still run.
        """
        rules = settings.rules
        has_cold_servers = rules.cold_capacity_share < 1 or rules.parent_cold_capacity_share < 1
        # How long a request to a cold server counts.
        self._collapse_interval_ns = rules.overload_collapse_ns if has_cold_servers else 0
        self.is_shared = is_shared
        longest_deadline_ns = max((c.deadline_ns for c in settings.classes), default=0)
        self._max_overlap_ns = (
            MAX_UNTIL_SIGTERM_NS + max(longest_deadline_ns, MIN_DEADLINE_NS) + KILL_MARGIN_NS
        )
        self.overlap_ends_ns = 0

    def start(self, now: int) -> float:
        """Starts the overlap when the process starts, and returns the share."""
        self.overlap_ends_ns = (
            now + self._collapse_interval_ns + (self._max_overlap_ns if self.is_shared else 0)
        )
        return self.budget_share(now)

    def on_serving(self, now: int) -> None:
        """Extends the overlap when the process accepts clients: the platform's limit counts from then."""
        if self.is_shared and self.budget_share(now) < 1:
            ends_ns = now + self._collapse_interval_ns + self._max_overlap_ns
            self.overlap_ends_ns = max(self.overlap_ends_ns, ends_ns)

    def on_predecessor_ended(self, now: int, ended_ns: int) -> None:
        """Shortens the overlap when the predecessor has ended.

        The predecessor wrote ``ended_ns`` by its own clock: a time in the future counts as now.
        """
        if self.is_shared and self.budget_share(now) < 1:
            self.overlap_ends_ns = min(self.overlap_ends_ns, min(ended_ns, now) + self._collapse_interval_ns)

    def budget_share(self, now: int) -> float:
        """Returns 1, or ``OVERLAP_BUDGET_SHARE`` while another process's requests may count."""
        return OVERLAP_BUDGET_SHARE if now < self.overlap_ends_ns else 1.0
