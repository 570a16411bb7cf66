"""What of a list event is used, where the list service may be wrong.  Pure.

Departures and drains are always obeyed: to spare a server that is well costs little, to send to one that goes
breaks a rule.  What is new is used unless it is doubtful:

- a whole list that names no server in service is none: the last good view is kept;
- a line that gives a known server's address to another id, while that server is in service, is left out,
  unless it says that it has started since (a new server may take the address of one that has gone);
- of an event whose number is not above what was heard (a repeat, or numbers that went back) no server comes
  back that is known to drain or to be gone, unless it says that it has started since.

Numbers that go back mean that the service has begun to count anew, or that two halves of it disagree: the
whole list is asked for, at most once in RESYNC_NS.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from kelpcroft.core.inputs import EndpointRecord

MIN_SNAPSHOT_INTERVAL_NS = 5 * 10**9  # between two askings for the whole list
IN_SERVICE = "in_service"


class EndpointView:
    """What is known of each server, and up to which event."""

    def __init__(self) -> None:
        self.last_event_number = 0  # the last event's number
        self.endpoints: dict[str, EndpointRecord] = {}  # by id, as last taken; gone ones too for a while
        self.resynced_ns = -MIN_SNAPSHOT_INTERVAL_NS
        self.back = False  # the answer's numbers went back

    def begin_response(self, last: int) -> None:
        """An answer comes, with this last number."""
        self.back = last < self.last_event_number

    def record_progress(self, number: int) -> None:
        """Events up to this number are taken, and the answer goes on."""
        self.last_event_number = max(self.last_event_number, number)

    def end_response(self, now: int, last: int) -> bool:
        """The answer's events are taken: True if the whole list is to be asked for."""
        if not self.back:
            self.last_event_number = last
        elif now - self.resynced_ns >= MIN_SNAPSHOT_INTERVAL_NS:
            self.resynced_ns, self.last_event_number = now, 0
            return True
        return False

    def select_usable(
        self, endpoints: Iterable[EndpointRecord], whole: bool, number: int
    ) -> tuple[list[EndpointRecord], list[str]]:
        """Of a list event: the lines to use, and why others are not.  Nothing is used of a whole list where
        there is a reason and no line."""
        found, faults = list(endpoints), list[str]()
        if whole and not any(e.state == IN_SERVICE for e in found):
            return [], [f"event {number}: a whole list of {len(found)} with none in service"]
        old = self.back or 0 < number <= self.last_event_number
        homes = {e.address: e for e in self.endpoints.values() if e.state == IN_SERVICE}
        leaving = {e.name for e in found if e.state != IN_SERVICE}
        if whole:
            leaving |= set(self.endpoints) - {e.name for e in found}
        used = []
        for e in found:
            known = self.endpoints.get(e.name)
            if e.state == IN_SERVICE:
                other = homes.get(e.address)
                if (
                    other is not None
                    and other.name != e.name
                    and other.name not in leaving
                    and e.started_ns <= other.started_ns
                ):
                    faults.append(f"event {number}: {e.name} at the address of {other.name}, in service")
                    continue
                gone = known is not None and known.state != IN_SERVICE
                if old and gone and known is not None and e.started_ns <= known.started_ns:
                    faults.append(f"event {number}: {e.name} is known to be going, by a later one")
                    continue
            used.append(e)
        return used, faults

    def apply(self, endpoints: Iterable[EndpointRecord], whole: bool) -> None:
        """Lines that are used from now on."""
        if whole:
            self.endpoints = {}
        for e in endpoints:
            self.endpoints[e.name] = e
        # Those that are gone are forgotten with the next whole list, or when there are as many as live ones.
        gone = [name for name, e in self.endpoints.items() if e.state == "terminated"]
        for name in gone[: max(0, len(gone) - max(1_000, len(self.endpoints) - len(gone)))]:
            del self.endpoints[name]

    def states(self) -> Mapping[str, str]:
        return {name: e.state for name, e in self.endpoints.items()}
