"""Division of the process's descriptors among the kinds of connections.

The module is pure.  Each kind of connection has a share of its own: even if idle clients use up their share
while the list service is down, connections to the feed, to servers and from control clients must still be
possible.  The shares add up to no more than the available descriptors.
"""

from __future__ import annotations

from dataclasses import dataclass

MIN_DESCRIPTORS = 64  # with fewer, no useful number of clients and servers fits
# The platform promises that clients hold at most one in CLIENT_DIVISOR descriptors.
CLIENT_DIVISOR = 3
# Descriptors for clients beyond that: some connections are closed but not yet released when others arrive.
SPARE_CLIENTS = 8
# One in DRAINING_DIVISOR descriptors is for client connections that are being closed.
DRAINING_DIVISOR = 32
MIN_DRAINING_CLIENTS = 2  # lower bound of that share
# One in CONTROL_CLIENT_DIVISOR descriptors is for control clients.
CONTROL_CLIENT_DIVISOR = 32
MIN_CONTROL_CLIENTS = 4  # lower bound of that share
MAX_CONTROL_CLIENTS = 32  # upper bound of that share
# For the standard streams, the selector, the signal pipe, two listeners, the feed and files being reloaded.
PROCESS_DESCRIPTORS = 16


@dataclass(frozen=True, slots=True)
class DescriptorBudget:
    """Maximum number of open connections of each kind."""

    clients: int
    draining_clients: int
    control_clients: int
    servers: int


def allocate_descriptors(descriptors: int) -> DescriptorBudget:
    """Divide the process's descriptors, of which there are at least MIN_DESCRIPTORS."""
    clients = descriptors // CLIENT_DIVISOR + SPARE_CLIENTS
    draining_clients = max(MIN_DRAINING_CLIENTS, descriptors // DRAINING_DIVISOR)
    control_clients = min(
        MAX_CONTROL_CLIENTS, max(MIN_CONTROL_CLIENTS, descriptors // CONTROL_CLIENT_DIVISOR)
    )
    servers = descriptors - clients - draining_clients - control_clients - PROCESS_DESCRIPTORS
    return DescriptorBudget(clients, draining_clients, control_clients, servers)
