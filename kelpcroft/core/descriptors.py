"""How a process shares its descriptors out, so that no kind of connection can take those of another.  Pure.

Idle clients may fill their share while the list service is down: the feed, the servers and the control
address must still be had.  The shares add up to no more than there are.
"""

from __future__ import annotations

from dataclasses import dataclass

MIN_DESCRIPTORS = 64  # under this no useful number of clients and servers fits
CLIENT_SHARE = 3  # clients hold at most one of so many descriptors, by the platform's word ...
SPARE_CLIENTS = 8  # ... and these over it, for some are closed and not yet gone when others come
PART_SHARE, PART_LEAST = 32, 2  # one of so many for clients that are being let go
CALLER_SHARE, CALLERS_LEAST, CALLERS_MOST = 32, 4, 32  # and for callers of the control address
OWN = 16  # streams, selector, pipe of signals, two listeners, the feed, files read again


@dataclass(frozen=True, slots=True)
class DescriptorBudget:
    """How many of each kind may be open."""

    clients: int
    draining_clients: int
    control_callers: int
    servers: int


def allocate_descriptors(descriptors: int) -> DescriptorBudget:
    """The shares of so many descriptors, LEAST at the least."""
    clients = descriptors // CLIENT_SHARE + SPARE_CLIENTS
    parting = max(PART_LEAST, descriptors // PART_SHARE)
    callers = min(CALLERS_MOST, max(CALLERS_LEAST, descriptors // CALLER_SHARE))
    return DescriptorBudget(clients, parting, callers, descriptors - clients - parting - callers - OWN)
