"""Upgrades of real processes beside a silent list service: what the successor knows, and when it serves."""

from __future__ import annotations

import signal
import time

import pytest

from tests.support.upgrade import PURGED, is_ready, upgrade, wait_for

OTHER = "00000000000000bb"
READY_LIMIT_S = 10.0  # nine in ten restarted routers must be ready by then
NEWS_COUNTS_S = 2.0  # the feed's news counts as told this long after the yes
GRACE_S = 0.35  # of purges, on sockets


def test_a_successor_knows_the_purges_and_drains_of_its_predecessor() -> None:
    """After an upgrade beside a silent list service, purged copies were served and a drained cache used."""
    with upgrade() as deployment:
        deployment.purge_and_drain()
        deployment.servers.feed_is_silent = True
        second = deployment.start(deployment.first)
        assert wait_for(lambda: is_ready(second), "the successor") < READY_LIMIT_S
        ready_s = time.monotonic()
        deployment.first.process.send_signal(signal.SIGTERM)
        wait_for(lambda: deployment.first.process.poll() is not None, "the end of the first process")
        assert deployment.first.process.returncode == 0
        served_by = {deployment.request(f"{number:016x}").server for number in range(8)}
        assert served_by == {"cache2"}
        assert deployment.age_limit_ms(PURGED) > 0
        time.sleep(max(0.0, ready_s + NEWS_COUNTS_S + GRACE_S - time.monotonic()))
        limit_ms = deployment.age_limit_ms(OTHER)
        assert 0 < limit_ms < (time.monotonic() - ready_s) * 1_000
        deployment.servers.feed_is_silent = False
        wait_for(lambda: any(e["event"] == "feed.heard" for e in second.log_events()), "the feed")
        assert deployment.age_limit_ms(PURGED) > 0
        assert deployment.age_limit_ms(OTHER) == 0


@pytest.mark.parametrize("killed_after_s", [-0.3, 1.0])
def test_a_successor_of_a_killed_process_serves_and_knows_its_purges(killed_after_s: float) -> None:
    """The record outlives a process that is killed before the successor starts, or beside it."""
    with upgrade() as deployment:
        deployment.purge_and_drain()
        deployment.servers.feed_is_silent = True
        if killed_after_s < 0:
            deployment.first.process.kill()
            time.sleep(-killed_after_s)
        second = deployment.start(deployment.first)
        if killed_after_s > 0:
            time.sleep(killed_after_s)
            deployment.first.process.kill()
        assert wait_for(lambda: is_ready(second), "the successor") < READY_LIMIT_S
        assert deployment.age_limit_ms(PURGED) > 0
        assert deployment.request(OTHER).server == "cache2"


def test_a_successor_that_hears_from_the_feed_is_ready_at_once_and_limits_nothing() -> None:
    """With a list service that answers, an upgrade costs neither time nor copies."""
    with upgrade() as deployment:
        deployment.purge_and_drain()
        second = deployment.start(deployment.first)
        assert wait_for(lambda: is_ready(second), "the successor") < READY_LIMIT_S
        deployment.first.process.send_signal(signal.SIGTERM)
        wait_for(lambda: deployment.first.process.poll() is not None, "the end of the first process")
        time.sleep(NEWS_COUNTS_S + GRACE_S)
        assert deployment.age_limit_ms(OTHER) == 0
        assert deployment.age_limit_ms(PURGED) > 0
        assert not [e for e in second.log_events() if e["event"] == "feed.silent"]
