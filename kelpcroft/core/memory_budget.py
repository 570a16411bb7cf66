"""Division of the memory limit among the uses for which peers make the process hold memory.

The module is pure.  Each use has a share of its own, so that a crowd of one kind leaves the memory of the
others alone, and the shares add up to what the limit leaves beside the idle process.  Within a share,
``SharedMemory`` bounds the sum over all peers; a peer that holds much gets less than one that holds little.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from typing import Final

MB: Final = 1024 * 1024
# Assumed memory of the idle process, until it is measured.
DEFAULT_IDLE_BYTES: Final = 24 * MB
# From this limit on, tables of remembered objects and keys have their full size.
FULL_TABLES_LIMIT_BYTES: Final = 192 * MB
MIN_TABLE_ENTRIES: Final = 256
# An open connection with its socket, codec and buffers.
CONNECTION_BYTES: Final = 4 * 1024
# Beside all shares: what one iteration of the event loop allocates and releases again.
TRANSIENT_BYTES: Final = 3 * MB // 2
# Of what is left, PEER_SHARE may be held; the rest is for tables that grow and the allocator's unused pieces.
PEER_SHARE: Final = 0.75
# Least sum of the shares; a limit that leaves less cannot be held.
MIN_PEER_BYTES: Final = 3 * MB
# The shares of the uses, which add up to 1.
UNFINISHED_MESSAGES_SHARE: Final = 0.2
OPEN_REQUESTS_SHARE: Final = 0.25
UNFINISHED_RESPONSES_SHARE: Final = 0.3
UNSENT_OUTPUT_SHARE: Final = 0.25

# A peer may hold this part of the free memory with the first thing that it holds, ...
FIRST_DIVISOR: Final = 2
# ... and this part of it in all with each further one.
FURTHER_DIVISOR: Final = 8

# A server in the endpoint list, with its state in the decision package.
ENDPOINT_BYTES: Final = 4 * 1024
# An open request with its attempts, timers and entries in the tables, without its body.
REQUEST_BYTES: Final = 3 * 1024

Peer = int | str  # number of a client's connection, or address of a server


@dataclass(frozen=True, slots=True)
class MemoryBudget:
    """Bytes that peers together may make the process hold, by use.

    Attributes:
        unfinished_messages: Messages of clients that are incomplete.
        open_requests: Requests that are pending or have attempts in flight.
        unfinished_responses: Responses of servers that are incomplete.
        unsent_output: Output that sockets have not accepted.
        missing: How much more the limit would have to be for the least shares; 0 if it can be held.
    """

    unfinished_messages: int
    open_requests: int
    unfinished_responses: int
    unsent_output: int
    missing: int


def plan_memory(limit_bytes: int, idle_bytes: int, connections: int, processes: int = 1) -> MemoryBudget:
    """Divides a memory limit.

    Args:
        limit_bytes: Memory limit of the router.
        idle_bytes: Memory of the process before its first client.
        connections: The maximum number of connections of clients.
        processes: How many processes of the router share the limit during an upgrade.
    """
    left_bytes = limit_bytes // processes - idle_bytes - connections * CONNECTION_BYTES - TRANSIENT_BYTES
    wanted_bytes = int(left_bytes * PEER_SHARE)
    peer_bytes = max(MIN_PEER_BYTES, wanted_bytes)
    return MemoryBudget(
        int(peer_bytes * UNFINISHED_MESSAGES_SHARE),
        int(peer_bytes * OPEN_REQUESTS_SHARE),
        int(peer_bytes * UNFINISHED_RESPONSES_SHARE),
        int(peer_bytes * UNSENT_OUTPUT_SHARE),
        processes * int((peer_bytes - wanted_bytes) / PEER_SHARE),
    )


def table_size(max_entries: int, limit_bytes: int) -> int:
    """Returns how many entries a table has that grows in service, of ``max_entries`` with enough memory."""
    left_bytes = limit_bytes - DEFAULT_IDLE_BYTES
    entries = max_entries * left_bytes // (FULL_TABLES_LIMIT_BYTES - DEFAULT_IDLE_BYTES)
    return min(max_entries, max(MIN_TABLE_ENTRIES, entries))


class SharedMemory:
    """Memory for one use, which peers share: their sum has a limit, and no peer can take all of it.

    Half of it goes to whoever comes first.  Of the rest, a peer that holds something may hold a small part of
    what is free, so that the allowance of each shrinks with the number of those that hold much, and some
    stays free for the others.
    """

    def __init__(self, limit_bytes: int) -> None:
        self.limit_bytes = limit_bytes
        self.held_bytes = 0
        self.held_by_peer: dict[Peer, int] = {}

    def free_bytes(self) -> int:
        """How much is not held; 0 if more than the limit is held."""
        return max(0, self.limit_bytes - self.held_bytes)

    def has_room(self, peer: Peer, byte_count: int) -> bool:
        """Whether a peer may hold so many bytes more."""
        if self.held_bytes + byte_count <= self.limit_bytes // 2:
            return True
        held_bytes = self.held_by_peer.get(peer, 0)
        if not held_bytes:
            return byte_count <= self.free_bytes() // FIRST_DIVISOR
        return held_bytes + byte_count <= self.free_bytes() // FURTHER_DIVISOR

    def fits(self, byte_count: int) -> bool:
        """Whether so many bytes are free."""
        return byte_count <= self.free_bytes()

    def charge(self, peer: Peer, byte_count: int) -> None:
        """Records that a peer holds so many bytes more; ``release`` has to follow."""
        if byte_count:
            self.held_bytes += byte_count
            self.held_by_peer[peer] = self.held_by_peer.get(peer, 0) + byte_count

    def release(self, peer: Peer, byte_count: int) -> None:
        """Records that a peer holds so many bytes less."""
        if not byte_count:
            return
        self.held_bytes -= byte_count
        left_bytes = self.held_by_peer[peer] - byte_count
        if left_bytes:
            self.held_by_peer[peer] = left_bytes
        else:
            del self.held_by_peer[peer]


class MemoryAccount:
    """What peers make the process hold, by use; the pool of unsent output keeps its own account.

    Attributes:
        unfinished_messages: Reservations of clients whose incomplete message is not small.
        open_requests: Requests that are pending or have attempts in flight, by client.
        unfinished_responses: Bodies of servers' incomplete responses, by server.
        turned_away: How often each measure was taken because there was no room.
    """

    def __init__(self, budget: MemoryBudget) -> None:
        self.unfinished_messages = SharedMemory(budget.unfinished_messages)
        self.open_requests = SharedMemory(budget.open_requests)
        self.unfinished_responses = SharedMemory(budget.unfinished_responses)
        self.turned_away: Counter[str] = Counter()

    def set_budget(self, budget: MemoryBudget) -> None:
        """Changes the limits; what is held stays charged."""
        self.unfinished_messages.limit_bytes = budget.unfinished_messages
        self.open_requests.limit_bytes = budget.open_requests
        self.unfinished_responses.limit_bytes = budget.unfinished_responses
