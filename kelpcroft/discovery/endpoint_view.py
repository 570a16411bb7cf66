"""What of a list event is used, where the list service may be wrong.  Pure.

Departures and drains are always obeyed: to spare a server that is well costs little, to send to one that goes
breaks a rule.  What is new is used unless it is doubtful:

- a whole list that names no server in service is none: the last good view is kept;
- a line that gives a known server's address to another name, while that server is in service, is left out,
  unless it says that it has started since (a new server may take the address of one that has gone);
- of an event whose number is not above what was heard (a repeat, or numbers that went back) no server comes
  back that is known to drain or to be gone, unless it says that it has started since.

Numbers that go back mean that the service has begun to count anew, or that two halves of it disagree: the
whole list is asked for, at most once in ``MIN_SNAPSHOT_INTERVAL_NS``.
"""

from __future__ import annotations

from collections.abc import Iterable

from kelpcroft.core.inputs import EndpointRecord

MIN_SNAPSHOT_INTERVAL_NS = 5 * 10**9  # between two askings for the whole list
IN_SERVICE = "in_service"
GONE = "terminated"
KEPT_GONE_ENDPOINTS = 1_000  # remembered at least; beyond, as many as there are live ones


class EndpointView:
    """What is known of each server, and up to which event.

    Attributes:
        last_event_number: of the last event that was heard.
        endpoints: by name, as last taken; those that are gone too, for a while.
    """

    def __init__(self) -> None:
        self.last_event_number = 0
        self.endpoints: dict[str, EndpointRecord] = {}
        self._snapshot_requested_ns = -MIN_SNAPSHOT_INTERVAL_NS
        self._numbers_went_back = False  # in the answer at hand

    def begin_response(self, last_event_number: int) -> None:
        """An answer comes, with this last number."""
        self._numbers_went_back = last_event_number < self.last_event_number

    def record_progress(self, event_number: int) -> None:
        """Events up to this number are taken, and the answer goes on."""
        self.last_event_number = max(self.last_event_number, event_number)

    def end_response(self, now: int, last_event_number: int) -> bool:
        """The answer's events are taken.

        Returns:
            Whether the whole list is to be asked for.
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
        """Of a list event: the lines to use, and why others are not.

        Nothing is used of a whole list where there is a reason and no line.
        """
        lines = list(endpoints)
        if is_full_list and not any(line.state == IN_SERVICE for line in lines):
            return [], [f"event {event_number}: a whole list of {len(lines)} with none in service"]
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
        """Names of servers that a list event takes out of service: by their line, or by their absence."""
        leaving = {line.name for line in lines if line.state != IN_SERVICE}
        if is_full_list:
            leaving |= set(self.endpoints) - {line.name for line in lines}
        return leaving

    def _comes_back(self, line: EndpointRecord, is_old: bool) -> str:
        """Why a server in service cannot be so: a later event said that it goes.  "" where none did."""
        known = self.endpoints.get(line.name)
        if not is_old or known is None or known.state == IN_SERVICE or line.started_ns > known.started_ns:
            return ""
        return f"{line.name} is known to be going, by a later one"

    def apply(self, endpoints: Iterable[EndpointRecord], is_full_list: bool) -> None:
        """Lines that are used from now on."""
        if is_full_list:
            self.endpoints = {}
        for line in endpoints:
            self.endpoints[line.name] = line
        self._forget_gone()

    def _forget_gone(self) -> None:
        """Forget the oldest of those that are gone, where they outnumber the live ones."""
        gone = [name for name, line in self.endpoints.items() if line.state == GONE]
        kept = max(KEPT_GONE_ENDPOINTS, len(self.endpoints) - len(gone))
        for name in gone[: max(0, len(gone) - kept)]:
            del self.endpoints[name]


def takes_address(line: EndpointRecord, holder: EndpointRecord | None, leaving: set[str]) -> str:
    """Why a server in service cannot be at its address: another one stays there.  "" where none does."""
    if holder is None or holder.name == line.name or holder.name in leaving:
        return ""
    if line.started_ns > holder.started_ns:
        return ""
    return f"{line.name} at the address of {holder.name}, in service"
