"""State machine of a control replica: it follows one upstream and responds to many watchers.  Pure.

Upstream is the list service or another replica (``upstream``).  Watchers are routers and other replicas
(``watchers``).  Every response states the time at which the state was last confirmed as complete.  Once the
lease has expired, the replica is stale (``lease``).

Times are Unix nanoseconds that never decrease; the time is an argument.
"""

from __future__ import annotations

from kelpcroft.control_log.lease import StateLease
from kelpcroft.control_log.log import ControlLog
from kelpcroft.control_log.messages import (
    MS,
    Effect,
    EffectList,
    ReplicaCounters,
    ReplicaOptions,
    UpstreamResponse,
    WatchRequest,
)
from kelpcroft.control_log.upstream import UpstreamSession
from kelpcroft.control_log.watchers import WatchQueue


class ControlReplica:
    """One control replica.  ``start`` and ``on_*`` are its inputs; each returns its effects, in order.

    Attributes:
        options: Its settings.
        log: The log, up to the last event that the replica received.
        upstream: Its watch on the upstream, with the position in the log and the time of the state.
        watches: The watch requests that wait here.
        counters: Counters since its start.
    """

    def __init__(self, options: ReplicaOptions, seed: int) -> None:
        """Starts with an empty log.

        Args:
            options: Its settings.
            seed: A different number for each replica and each of its starts.
        """
        self.options = options
        self.counters = ReplicaCounters()
        self.log = ControlLog(options.purge_lifetime_ns // MS)
        self._effects = EffectList()
        self.upstream = UpstreamSession(options, seed, self.log, self._effects, self.counters)
        follower = self.upstream.follower
        self._lease = StateLease(follower, options.lease_ns)
        self.watches = WatchQueue(options, self.log, follower, self._lease, self._effects, self.counters)

    @property
    def is_stale(self) -> bool:
        """Whether the state is older than the lease; the responses to watchers show this."""
        return self._lease.is_stale

    def start(self, now: int) -> list[Effect]:
        """Sends the first watch request."""
        self.upstream.send_request(now)
        return self._effects.take()

    def on_upstream_response(self, now: int, response: UpstreamResponse) -> list[Effect]:
        """Handles a watch response from upstream, or a chunk of one."""
        self.upstream.on_response(now, response)
        self.watches.drop_cached_bodies()
        self._review(now)
        return self._effects.take()

    def on_upstream_failed(self, now: int, reason: str) -> list[Effect]:
        """Handles a failed watch request: the next one is sent to another address; the log is kept."""
        self.upstream.switch_upstream(now, reason)
        self._review(now)
        return self._effects.take()

    def on_watch(self, now: int, request: WatchRequest) -> list[Effect]:
        """Handles a watcher's request.  A second request of one watcher replaces the first."""
        self.watches.add(now, request)
        return self._effects.take()

    def on_watcher_disconnected(self, watcher_id: int) -> None:
        """Handles the end of a watcher's connection."""
        self.watches.remove(watcher_id)

    def on_timer(self, now: int) -> list[Effect]:
        """Responds to the watch requests that are due, and checks whether the lease has expired."""
        if self._lease.has_expired(now):
            self._review(now)
        self.watches.on_timer(now)
        return self._effects.take()

    def next_timer_ns(self) -> int | None:
        """Returns when ``on_timer`` is due: for a watch request, or at the end of the lease."""
        candidates = (self.watches.next_timer_ns(), self._lease.expires_ns())
        return min((at_ns for at_ns in candidates if at_ns is not None), default=None)

    def _review(self, now: int) -> None:
        """Checks the lease and all waiting watch requests after a change."""
        self._lease.review(now, self.log.last_event_number, self._effects)
        self.watches.on_change(now)
