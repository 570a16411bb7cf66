"""The state machine of a control replica: it follows one upstream and answers many watchers.  Pure.

Upstream is the list service or another replica (``upstream``).  Watchers are routers and other replicas
(``watchers``).  What is told says as of when it is known to be complete, and past its lease that it is stale
(``lease``).

Times are Unix nanoseconds that do not run back; the time is an argument.
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
    """One control replica.  ``start`` and ``on_*`` are its inputs; each returns what is to be done, in order.

    Attributes:
        options: its settings.
        log: what it knows.
        upstream: whom it follows, up to which position and as of when.
        watches: the calls that wait here.
        counters: what it did since its start.
    """

    def __init__(self, options: ReplicaOptions, seed: int) -> None:
        """Begin knowing nothing.

        Args:
            options: its settings.
            seed: another for each replica and each of its starts.
        """
        self.options = options
        self.counters = ReplicaCounters()
        self.log = ControlLog(options.purge_span_ns // MS)
        self._effects = EffectList()
        self.upstream = UpstreamSession(options, seed, self.log, self._effects, self.counters)
        follower = self.upstream.follower
        self._lease = StateLease(follower, options.lease_ns)
        self.watches = WatchQueue(options, self.log, follower, self._lease, self._effects, self.counters)

    @property
    def is_stale(self) -> bool:
        """Whether its state is older than the lease, and watchers are told so."""
        return self._lease.is_stale

    def start(self, now: int) -> list[Effect]:
        """Make the first call."""
        self.upstream.call(now)
        return self._effects.take()

    def on_upstream_response(self, now: int, response: UpstreamResponse) -> list[Effect]:
        """An answer from upstream, in whole or in pieces."""
        self.upstream.on_response(now, response)
        self.watches.drop_cached_bodies()
        self._review(now)
        return self._effects.take()

    def on_upstream_failed(self, now: int, reason: str) -> list[Effect]:
        """A call failed: another address is asked, and what is known stays."""
        self.upstream.move_on(now, reason)
        self._review(now)
        return self._effects.take()

    def on_watch(self, now: int, request: WatchRequest) -> list[Effect]:
        """A watcher calls.  A second call replaces the first."""
        self.watches.add(now, request)
        return self._effects.take()

    def on_watcher_disconnected(self, watcher_id: int) -> None:
        """A watcher's connection has ended."""
        self.watches.remove(watcher_id)

    def on_timer(self, now: int) -> list[Effect]:
        """Answer the calls whose time has come; the lease may have run out."""
        if self._lease.has_run_out(now):
            self._review(now)
        self.watches.on_timer(now)
        return self._effects.take()

    def next_timer_ns(self) -> int | None:
        """When ``on_timer`` is to be called next: a watcher's time, or the end of the lease."""
        candidates = (self.watches.next_timer_ns(), self._lease.expires_ns())
        return min((at_ns for at_ns in candidates if at_ns is not None), default=None)

    def _review(self, now: int) -> None:
        """Something changed for all watchers."""
        self._lease.review(now, self.log.last_event_number, self._effects)
        self.watches.on_change(now)
