"""By when an open watch on the list, on which nothing comes, is doubted and asked anew.  Pure.

A watch that has fallen silent looks like one with no news.  So a call waits for news for a bounded time, and
one whose answer has not begun ``MAX_SILENCE_NS`` past that is lost: the connection is taken for cut, and the
call is made again on another one.  A drain told in the silence is known after both times and one more call.

The settings bound them: what was listed ``discovery_poll_limit_ns`` ago counts as told to who has not asked
since, and binds a grace later.  Half of that is for the wait, a quarter for the silence, and a quarter for
the call that follows.  Where the settings name no such time, or a long one, the calls' own figures hold.

An answer that has begun and goes on coming is not late, ``MAX_TRANSFER_NS`` at the most: a list service that
takes longer than ``MAX_SILENCE_NS`` to hand its list out would else be cut off and asked anew for ever.
"""

from __future__ import annotations

from dataclasses import dataclass

from kelpcroft.decision.interface import Rules

MS = 1_000_000
MAX_SILENCE_NS = 400 * MS  # past its wait an answer begins by then, and goes on so soon
MIN_TIMEOUT_NS = 20 * MS  # nothing is doubted sooner: a call there and back takes as long
MAX_TRANSFER_NS = 5_000 * MS  # past its wait an answer is whole by then


@dataclass(frozen=True, slots=True)
class WatchTimeouts:
    """How long a call waits for news, and how long after that, or between its bytes, it may be silent."""

    wait_ns: int
    silence_ns: int


def watch_timeouts(rules: Rules, wait_ns: int) -> WatchTimeouts:
    """The time-outs of a call that would wait so long, as these rules let it."""
    if not rules.discovery_poll_limit_ns:
        return WatchTimeouts(wait_ns, MAX_SILENCE_NS)
    graces_ns = [grace_ns for grace_ns in (rules.drain_grace_ns, rules.purge_grace_ns) if grace_ns > 0]
    available_ns = rules.discovery_poll_limit_ns + min(graces_ns, default=0)
    return WatchTimeouts(
        max(MIN_TIMEOUT_NS, min(wait_ns, available_ns // 2)),
        max(MIN_TIMEOUT_NS, min(MAX_SILENCE_NS, available_ns // 4)),
    )


def is_overdue(now: int, called_ns: int, last_heard_ns: int, wait_ns: int, silence_ns: int) -> bool:
    """Whether a call's answer is to be given up.

    Args:
        now: Unix ns, as ``called_ns`` and ``last_heard_ns``.
        called_ns: when the call was made.
        last_heard_ns: when bytes of its answer last came; up to ``called_ns`` where none came.
        wait_ns: how long it waits for news.
        silence_ns: how long it may be silent past that.
    """
    if last_heard_ns <= called_ns:
        return now - called_ns > wait_ns + silence_ns
    return now - last_heard_ns > silence_ns or now - called_ns > wait_ns + MAX_TRANSFER_NS
