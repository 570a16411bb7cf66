"""Whether a control replica's state is recent enough to be told as it stands.  Pure.

Every answer says as of when the state is known to be complete.  Past the lease the replica is stale: it says
so by that time, at once, so that nobody takes old news for none.
"""

from __future__ import annotations

from kelpcroft.control_log.follower import LogFollower
from kelpcroft.control_log.messages import MS, SECOND, EffectList


class StateLease:
    """The lease of one replica's state.

    Attributes:
        is_stale: by the last ``review``; true at the start.
    """

    def __init__(self, follower: LogFollower, lease_ns: int) -> None:
        self._follower = follower
        self._lease_ns = lease_ns
        self.is_stale = True

    def is_current(self, now: int) -> bool:
        """Whether the state was complete within the lease."""
        as_of_ms = self._follower.as_of_ms
        return bool(as_of_ms) and now - as_of_ms * MS <= self._lease_ns

    def has_run_out(self, now: int) -> bool:
        """Whether the state has become stale since the last ``review``."""
        return not self.is_stale and not self.is_current(now)

    def expires_ns(self) -> int | None:
        """The first time at which the state is stale; None where it is already."""
        return None if self.is_stale else self._follower.as_of_ms * MS + self._lease_ns + 1

    def review(self, now: int, last_event_number: int, effects: EffectList) -> None:
        """Note in the log that the state has become stale, or is no longer."""
        is_stale = not self.is_current(now)
        if is_stale == self.is_stale:
            return
        self.is_stale = is_stale
        if is_stale:
            age_s = (now - self._follower.as_of_ms * MS) / SECOND
            effects.log(
                "replica.stale",
                f"nothing from upstream for {age_s:.1f} s: watchers are told so",
                {"age_s": round(age_s, 3)},
                "warning",
            )
        else:
            effects.log(
                "replica.fresh",
                f"in step with upstream at {last_event_number}",
                {"last": last_event_number},
            )
