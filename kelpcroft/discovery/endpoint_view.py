"""Filter for list events, because the list service may be wrong.  Pure.

Removals and drains are always applied: leaving out a healthy server costs little, but a request to a server
that is leaving violates a rule.  Other records are used except in these cases:

- a complete list without a server in service is discarded, and the last view is kept;
- a record with the address of another server that is in service is left out, unless the record states a later
  start (a new server may take the address of one that has left);
- an event whose number is not above the last received one (a repeat, or numbers that went back) does not put
  a server back in service that drains or has left, unless the record states a later start.

Numbers that go back mean that the list service restarted its count, or that two halves of it disagree.  The
router then sends a list request, at most once in ``MIN_SNAPSHOT_INTERVAL_NS``.
"""

from __future__ import annotations

from collections.abc import Iterable

from kelpcroft.core.inputs import EndpointRecord

MIN_SNAPSHOT_INTERVAL_NS = 5 * 10**9  # minimum interval between two list requests after numbers went back
IN_SERVICE = "in_service"  # state of a server that may receive requests
TERMINATED = "terminated"  # state of a server that has left permanently
MIN_KEPT_TERMINATED = 1_000  # terminated servers that are kept, or as many as there are others if more


class EndpointView:
    """The last used record of each server, and the number of the last event.

    Attributes:
        last_event_number: The last event that was received.
        endpoints: By name, the last used record; those of servers that have left are kept for a while.
    """

    def __init__(self) -> None:
        self.last_event_number = 0
        self.endpoints: dict[str, EndpointRecord] = {}
        self._snapshot_requested_ns = -MIN_SNAPSHOT_INTERVAL_NS
        self._numbers_went_back = False  # whether they did in the current response

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
        self, endpoints: Iterable[EndpointRecord], is_snapshot: bool, event_number: int
    ) -> tuple[list[EndpointRecord], list[str]]:
        """Returns the records of a list event that are usable, and why each other record is not.

        A complete list is discarded as a whole: the result is then no record and one reason.
        """
        records = list(endpoints)
        if is_snapshot and not any(record.state == IN_SERVICE for record in records):
            return [], [f"event {event_number}: a complete list of {len(records)} servers, none in service"]
        is_old = self._numbers_went_back or 0 < event_number <= self.last_event_number
        by_address = {
            existing.address: existing for existing in self.endpoints.values() if existing.state == IN_SERVICE
        }
        leaving_names = self._leaving_names(records, is_snapshot)
        usable: list[EndpointRecord] = []
        reasons: list[str] = []
        for record in records:
            reason = ""
            if record.state == IN_SERVICE:
                reason = address_conflict(record, by_address.get(record.address), leaving_names)
                reason = reason or self._return_conflict(record, is_old)
            if reason:
                reasons.append(f"event {event_number}: {reason}")
            else:
                usable.append(record)
        return usable, reasons

    def _leaving_names(self, records: list[EndpointRecord], is_snapshot: bool) -> set[str]:
        """Returns the servers that a list event takes out of service, by their record or by its absence."""
        leaving_names = {record.name for record in records if record.state != IN_SERVICE}
        if is_snapshot:
            leaving_names |= set(self.endpoints) - {record.name for record in records}
        return leaving_names

    def _return_conflict(self, record: EndpointRecord, is_old: bool) -> str:
        """Returns why a record must not put a server back in service, or "" if it may.

        It must not if a later event removed the server.
        """
        existing = self.endpoints.get(record.name)
        if (
            not is_old
            or existing is None
            or existing.state == IN_SERVICE
            or record.started_ns > existing.started_ns
        ):
            return ""
        return f"{record.name} is leaving or gone according to a later event"

    def apply(self, endpoints: Iterable[EndpointRecord], is_snapshot: bool) -> None:
        """Stores the records that are used from now on."""
        if is_snapshot:
            self.endpoints = {}
        for record in endpoints:
            self.endpoints[record.name] = record
        self._drop_terminated()

    def _drop_terminated(self) -> None:
        """Drops the oldest records of servers that have left, beyond the bound on their number."""
        terminated = [name for name, record in self.endpoints.items() if record.state == TERMINATED]
        kept = max(MIN_KEPT_TERMINATED, len(self.endpoints) - len(terminated))
        for name in terminated[: max(0, len(terminated) - kept)]:
            del self.endpoints[name]


def address_conflict(record: EndpointRecord, holder: EndpointRecord | None, leaving_names: set[str]) -> str:
    """Returns why a server must not use its address: another server in service has it; otherwise ""."""
    if holder is None or holder.name == record.name or holder.name in leaving_names:
        return ""
    if record.started_ns > holder.started_ns:
        return ""
    return f"{record.name} has the address of {holder.name}, which is in service"
