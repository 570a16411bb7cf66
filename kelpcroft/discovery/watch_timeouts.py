"""Timeouts of a watch on the list: how long it may stay silent before it is sent again.  Pure.

A watch on a broken connection cannot be distinguished from one without new events.  So a watch request waits
for a bounded time.  If its response has not begun ``MAX_SILENCE_NS`` after that, the router regards the
connection as lost and sends the request again on another one.  A drain sent during the silence is received
after both times and one more request.

The settings bound both times: an event that was listed ``discovery_poll_limit_ns`` ago counts as received by
a router that has sent no request since, and is in effect there one grace period later.  Half of that total is
for the wait, a quarter for the silence, and a quarter for the request that follows.  Where the settings set
no such limit, or a long one, the request's own wait and ``MAX_SILENCE_NS`` apply.

A response that has begun and continues to arrive is not late, for at most ``MAX_TRANSFER_NS``.  Otherwise the
router would abandon and repeat the request forever at a list service that takes longer than
``MAX_SILENCE_NS`` to send its list.
"""

from __future__ import annotations

from dataclasses import dataclass

from kelpcroft.decision.interface import Rules

MS = 1_000_000
MAX_SILENCE_NS = 400 * MS  # longest silence: after the wait until the response begins, and then between bytes
MIN_TIMEOUT_NS = 20 * MS  # no timeout is shorter: one round trip may take this long
MAX_TRANSFER_NS = 5_000 * MS  # a response must be complete this long after the wait


@dataclass(frozen=True, slots=True)
class WatchTimeouts:
    """The wait of a watch request for events, and the longest silence after it or between bytes."""

    wait_ns: int
    silence_ns: int


def watch_timeouts(rules: Rules, wait_ns: int) -> WatchTimeouts:
    """Returns the timeouts of a watch request with the wait ``wait_ns``, within the bounds of the rules."""
    if not rules.discovery_poll_limit_ns:
        return WatchTimeouts(wait_ns, MAX_SILENCE_NS)
    graces_ns = [grace_ns for grace_ns in (rules.drain_grace_ns, rules.purge_grace_ns) if grace_ns > 0]
    available_ns = rules.discovery_poll_limit_ns + min(graces_ns, default=0)
    return WatchTimeouts(
        max(MIN_TIMEOUT_NS, min(wait_ns, available_ns // 2)),
        max(MIN_TIMEOUT_NS, min(MAX_SILENCE_NS, available_ns // 4)),
    )


def is_overdue(now: int, requested_ns: int, last_received_ns: int, wait_ns: int, silence_ns: int) -> bool:
    """Returns whether the router abandons a watch request.

    Args:
        now: Unix ns, as ``requested_ns`` and ``last_received_ns``.
        requested_ns: When the request was sent.
        last_received_ns: When bytes of its response last arrived; at most ``requested_ns`` where none
            arrived.
        wait_ns: How long it waits for events.
        silence_ns: How long it may be silent after that.
    """
    if last_received_ns <= requested_ns:
        return now - requested_ns > wait_ns + silence_ns
    return now - last_received_ns > silence_ns or now - requested_ns > wait_ns + MAX_TRANSFER_NS
