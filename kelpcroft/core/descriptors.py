"""How a process shares its descriptors out, so that no kind of connection can take those of another.  Pure.

Idle clients may fill their share while the list service is down: connections to the feed, to servers
and from the control address's callers must still be possible.  The shares add up to no more than there are.
"""

from __future__ import annotations

from dataclasses import dataclass

MIN_DESCRIPTORS = 64  # under this no useful number of clients and servers fits
# Clients hold at most one descriptor of so many, as the platform promises, and the spare ones over it: some
# are closed and not yet gone when others come.
CLIENT_DIVISOR = 3
SPARE_CLIENTS = 8
# One descriptor of so many for clients that are being let go ...
DRAINING_DIVISOR = 32
MIN_DRAINING_CLIENTS = 2
# ... and for callers of the control address.
CALLER_DIVISOR = 32
MIN_CALLERS = 4
MAX_CALLERS = 32
# Streams, selector, pipe of signals, two listeners, the feed, files read again.
OWN_DESCRIPTORS = 16


@dataclass(frozen=True, slots=True)
class DescriptorBudget:
    """How many connections of each kind may be open."""

    clients: int
    draining_clients: int
    control_callers: int
    servers: int


def allocate_descriptors(descriptors: int) -> DescriptorBudget:
    """Share out so many descriptors, MIN_DESCRIPTORS at the least."""
    clients = descriptors // CLIENT_DIVISOR + SPARE_CLIENTS
    draining = max(MIN_DRAINING_CLIENTS, descriptors // DRAINING_DIVISOR)
    callers = min(MAX_CALLERS, max(MIN_CALLERS, descriptors // CALLER_DIVISOR))
    servers = descriptors - clients - draining - callers - OWN_DESCRIPTORS
    return DescriptorBudget(clients, draining, callers, servers)
