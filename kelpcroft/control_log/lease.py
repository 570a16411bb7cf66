"""Lease of a control replica's state: whether the state is recent enough to be sent as current.  Pure.

Every watch response states the time at which the state was last confirmed as complete.  Once the lease has
expired, the replica is stale.  It then responds to all watchers immediately, with that time, because a
watcher that still waited for a stale replica would conclude that there are no new events.
"""

from __future__ import annotations

from kelpcroft.control_log.follower import LogFollower
from kelpcroft.control_log.messages import MS, SECOND, EffectList


class StateLease:
    """The lease of one replica's state.

    Attributes:
        is_stale: Whether the state was stale at the last ``review``; true at the start.
    """

    def __init__(self, follower: LogFollower, lease_ns: int) -> None:
        self._follower = follower
        self._lease_ns = lease_ns
        self.is_stale = True

    def is_current(self, now: int) -> bool:
        """Returns whether the state was complete within the lease."""
        as_of_ms = self._follower.as_of_ms
        return bool(as_of_ms) and now - as_of_ms * MS <= self._lease_ns

    def has_expired(self, now: int) -> bool:
        """Returns whether the state has become stale since the last ``review``."""
        return not self.is_stale and not self.is_current(now)

    def expires_ns(self) -> int | None:
        """Returns the first time at which the state is stale; None where it already is."""
        return None if self.is_stale else self._follower.as_of_ms * MS + self._lease_ns + 1

    def review(self, now: int, last_event_number: int, effects: EffectList) -> None:
        """Updates ``is_stale``, and logs when the state becomes stale or current again."""
        is_stale = not self.is_current(now)
        if is_stale == self.is_stale:
            return
        self.is_stale = is_stale
        if is_stale:
            age_s = (now - self._follower.as_of_ms * MS) / SECOND
            effects.log(
                "replica.stale",
                f"state last complete {age_s:.1f} s ago: stale until upstream responds",
                {"age_s": round(age_s, 3)},
                "warning",
            )
        else:
            effects.log(
                "replica.fresh",
                f"state is current again, up to event {last_event_number}",
                {"last": last_event_number},
            )
