"""Filter for list events, because the list service may be wrong.  Pure.

Removals and drains are always applied: to spare a healthy server costs little, but to send to a server that
leaves breaks a rule.  Other lines are used unless they are suspect:

- a complete list without a server in service is discarded, and the last good view stays;
- a line that gives a known server's address to another name, while that server is in service, is left out,
  unless the line states a later start (a new server may take the address of one that has left);
- an event whose number is not above the last received one (a repeat, or numbers that went back) brings no
  server back that is known to drain or to be gone, unless the line states a later start.

Numbers that go back mean that the list service restarted its count, or that two halves of it disagree.  The
router then sends a list request, at most once in ``MIN_SNAPSHOT_INTERVAL_NS``.
"""

from __future__ import annotations

from collections.abc import Iterable

from kelpcroft.core.inputs import EndpointRecord

MIN_SNAPSHOT_INTERVAL_NS = 5 * 10**9  # minimum interval between two list requests after numbers went back
IN_SERVICE = "in_service"  # state of a server that may receive requests
GONE = "terminated"  # state of a server that has left for good
KEPT_GONE_ENDPOINTS = 1_000  # terminated servers kept at least; more where the others outnumber this


class EndpointView:
    """The last known line of each server, and the number of the last event.

    Attributes:
        last_event_number: The last event that was received.
        endpoints: By name, the last used line; also the lines of servers that are gone, for a while.
    """

    def __init__(self) -> None:
        self.last_event_number = 0
        self.endpoints: dict[str, EndpointRecord] = {}
        self._snapshot_requested_ns = -MIN_SNAPSHOT_INTERVAL_NS
        self._numbers_went_back = False  # in the current response

    def begin_response(self, last_event_number: int) -> None:
        """Starts a response whose last event has this number."""
        self._numbers_went_back = last_event_number < self.last_event_number

    def record_progress(self, event_number: int) -> None:
        """Records that events up to this number are applied while the response continues."""
        self.last_event_number = max(self.last_event_number, event_number)

    def end_response(self, now: int, last_event_number: int) -> bool:
        """Ends a response whose events are applied.

        Returns:
            Whether a list request is due.
        """
        if not self._numbers_went_back:
            self.last_event_number = last_event_number
        elif now - self._snapshot_requested_ns >= MIN_SNAPSHOT_INTERVAL_NS:
            self._snapshot_requested_ns = now
            self.last_event_number = 0
            return True
        return False

    def select_usable(
        self, endpoints: Iterable[EndpointRecord], is_full_list: bool, event_number: int
    ) -> tuple[list[EndpointRecord], list[str]]:
        """Returns the lines of a list event that are usable, and why each other line is not.

        A complete list with a reason and no line is discarded altogether.
        """
        lines = list(endpoints)
        if is_full_list and not any(line.state == IN_SERVICE for line in lines):
            return [], [f"event {event_number}: a complete list of {len(lines)} servers, none in service"]
        is_old = self._numbers_went_back or 0 < event_number <= self.last_event_number
        by_address = {e.address: e for e in self.endpoints.values() if e.state == IN_SERVICE}
        leaving = self._leaving(lines, is_full_list)
        used: list[EndpointRecord] = []
        problems: list[str] = []
        for line in lines:
            problem = ""
            if line.state == IN_SERVICE:
                problem = takes_address(line, by_address.get(line.address), leaving)
                problem = problem or self._comes_back(line, is_old)
            if problem:
                problems.append(f"event {event_number}: {problem}")
            else:
                used.append(line)
        return used, problems

    def _leaving(self, lines: list[EndpointRecord], is_full_list: bool) -> set[str]:
        """Returns the servers that a list event takes out of service: by their line, or by its absence."""
        leaving = {line.name for line in lines if line.state != IN_SERVICE}
        if is_full_list:
            leaving |= set(self.endpoints) - {line.name for line in lines}
        return leaving

    def _comes_back(self, line: EndpointRecord, is_old: bool) -> str:
        """Returns why a line cannot put a server back in service, or "": a later event removed it."""
        known = self.endpoints.get(line.name)
        if not is_old or known is None or known.state == IN_SERVICE or line.started_ns > known.started_ns:
            return ""
        return f"{line.name} is leaving or gone according to a later event"

    def apply(self, endpoints: Iterable[EndpointRecord], is_full_list: bool) -> None:
        """Stores the lines that are used from now on."""
        if is_full_list:
            self.endpoints = {}
        for line in endpoints:
            self.endpoints[line.name] = line
        self._forget_gone()

    def _forget_gone(self) -> None:
        """Drops the oldest lines of servers that are gone, beyond the bound on their number."""
        gone = [name for name, line in self.endpoints.items() if line.state == GONE]
        kept = max(KEPT_GONE_ENDPOINTS, len(self.endpoints) - len(gone))
        for name in gone[: max(0, len(gone) - kept)]:
            del self.endpoints[name]


def takes_address(line: EndpointRecord, holder: EndpointRecord | None, leaving: set[str]) -> str:
    """Returns why a server in service cannot use its address, or "": another server stays there."""
    if holder is None or holder.name == line.name or holder.name in leaving:
        return ""
    if line.started_ns > holder.started_ns:
        return ""
    return f"{line.name} has the address of {holder.name}, which is in service"
