"""Upgrades of real processes beside a silent list service: what the successor knows, and when it serves."""

from __future__ import annotations

import http.client
import signal
import socket
import time
from collections.abc import Callable, Iterator
from contextlib import ExitStack, contextmanager

import pytest

from testbed.router_process import RouterClient, RouterProcess
from testbed.stand_ins import MS, ServerCommand, StandInServers

PURGED, OTHER = "00000000000000aa", "00000000000000bb"
READY_LIMIT_S = 10.0  # nine in ten restarted routers must be ready by then
NEWS_COUNTS_S = 2.0  # the feed's news counts as told this long after the yes
GRACE_S = 0.35  # of purges, on sockets
RECORDED_WITHIN_S = 0.5  # news of the feed is in the file for the successor by then
WAIT_S = 20.0


def wait_for(condition: Callable[[], bool], what: str, limit_s: float = WAIT_S) -> float:
    """Wait until a condition holds, and return how long that took, in seconds."""
    started_s = time.monotonic()
    while not condition():
        assert time.monotonic() - started_s < limit_s, f"{what}: not within {limit_s:g} s"
        time.sleep(0.01)
    return time.monotonic() - started_s


def is_ready(router: RouterProcess) -> bool:
    """Whether the control address says yes."""
    connection = http.client.HTTPConnection(*router.control_address, timeout=1)
    try:
        connection.request("GET", "/control/ready")
        return connection.getresponse().status < 300
    except OSError:
        return False
    finally:
        connection.close()


class Upgrade:
    """Two processes of one router on one listening socket, and its stand-in servers."""

    def __init__(self, stack: ExitStack) -> None:
        self.stack = stack
        self.servers = stack.enter_context(StandInServers())
        self.listener = stack.enter_context(socket.create_server(("127.0.0.1", 0), backlog=64))
        self.first = self.start()
        wait_for(lambda: is_ready(self.first), "the first process")

    def start(self, predecessor: RouterProcess | None = None) -> RouterProcess:
        """Start a process."""
        return self.stack.enter_context(
            RouterProcess(
                self.servers,
                release=True,
                mgmt=True,
                listener=self.listener,
                predecessor=predecessor,
            )
        )

    def purge_and_drain(self) -> None:
        """Purge an object, drain a cache, and give the first process the time to record both."""
        self.servers.publish(purge={"key": PURGED, "at": time.time_ns() // MS})
        endpoint = self.servers.endpoint_snapshot()["members"]["endpoints"][0]
        drained = {**endpoint, "status": "leaving"}
        last = self.servers.publish(members={"index": 2, "snapshot": False, "endpoints": [drained]})
        wait_for(
            lambda: last in [delivery.event_number for delivery in self.servers.feed_deliveries],
            "the first process",
        )
        time.sleep(RECORDED_WITHIN_S)

    def request(self, object_id: str) -> ServerCommand:
        """Send a request to whichever process accepts it, and return the command that a cache received."""
        with socket.create_connection(self.listener.getsockname()[:2], WAIT_S) as sock:
            client = RouterClient(sock)
            trace = client.send_request("page", object=object_id)
            assert next(client.responses(1)).kind == "served"
        return self.servers.requests(trace)[-1]

    def age_limit_ms(self, object_id: str) -> int:
        """The age limit with which an object is requested; 0 without one."""
        return int(self.request(object_id).fields.get("agelim", "0"))


@contextmanager
def upgrade() -> Iterator[Upgrade]:
    """A deployment with one running process."""
    with ExitStack() as stack:
        yield Upgrade(stack)


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
