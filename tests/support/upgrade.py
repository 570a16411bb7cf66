"""Upgrades of real processes: two processes of one router on one listening socket, and its stand-ins."""

from __future__ import annotations

import http.client
import socket
import time
from collections.abc import Callable, Iterator
from contextlib import ExitStack, contextmanager

from testbed.router_process import RouterClient, RouterProcess
from testbed.stand_ins import MS, ServerCommand, ServerScript, StandInServers, respond_immediately

PURGED = "00000000000000aa"  # the object that ``Upgrade.purge_and_drain`` purges
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

    def __init__(self, stack: ExitStack, script: ServerScript = respond_immediately) -> None:
        self.stack = stack
        self.servers = stack.enter_context(StandInServers(script))
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
def upgrade(script: ServerScript = respond_immediately) -> Iterator[Upgrade]:
    """A deployment with one running process."""
    with ExitStack() as stack:
        yield Upgrade(stack, script)
