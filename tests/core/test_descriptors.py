"""Descriptor exhaustion: the router keeps running, and closes idle clients to accept and serve others."""

from __future__ import annotations

import os
import socket
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path

import orjson
import pytest

from kelpcroft.config import ConfigError, limit_to_system_descriptors, parse_config
from kelpcroft.core.descriptors import MIN_DESCRIPTORS, allocate_descriptors
from tests.support.exchange_player import EXAMPLE, ROOT, WAIT_S
from tests.support.loop_harness import MS, SECOND, LoopHarness, client_request, server_response


class Shares(unittest.TestCase):
    def test_shares_leave_descriptors_for_the_process(self) -> None:
        """Control clients had no share: with all other kinds at their limits the total was exceeded."""
        for descriptors in range(MIN_DESCRIPTORS, 5_000):
            shares = allocate_descriptors(descriptors)
            kinds = (shares.clients, shares.draining_clients, shares.control_clients, shares.servers)
            assert all(kind > 0 for kind in kinds), (descriptors, shares)
            assert sum(kinds) < descriptors, "some descriptors are left for the process itself"
            assert shares.clients >= descriptors // 3, (
                "the platform promises only that clients use no more than a third of the descriptors"
            )

    def test_a_lower_system_limit_applies(self) -> None:
        """The configured number was used unchecked: under a lower system limit a connect to a server found no
        descriptor and ended the process.
        """
        config = parse_config(EXAMPLE, {})
        assert limit_to_system_descriptors(config, 1024) is config
        limited = limit_to_system_descriptors(config, 100)
        assert (limited.max_descriptors, [d.place for d in limited.warnings]) == (100, ["limits.sockets"])
        with pytest.raises(ConfigError) as caught:
            limit_to_system_descriptors(config, MIN_DESCRIPTORS - 1)
        assert "the system gives this process 63 descriptors; must be at least 64" in str(caught.value)

    def test_a_process_under_a_low_limit_reports_it(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "config.json"
            path.write_bytes(orjson.dumps({**EXAMPLE, "listen": "127.0.0.1:9"}))
            run = subprocess.run(
                ["sh", "-c", f"ulimit -n 63 && exec {sys.executable} -m kelpcroft"],
                cwd=ROOT,
                text=True,
                env={**os.environ, "ROUTER_CONFIG": str(path)},
                capture_output=True,
                timeout=WAIT_S,
            )
        assert (run.returncode, run.stderr.count("\n")) == (2, 1), run.stderr
        assert "limits.sockets" in run.stderr


class Exhaustion(unittest.TestCase):
    def test_a_connect_closes_an_idle_client(self) -> None:
        """``dial`` created a new socket in the handler of the error that reports missing descriptors.  The
        error was raised again and ended the process with all its open requests.
        """
        harness = LoopHarness(self)
        harness.run_until(harness.accept_from_router("feed").read, "a watch request is sent")
        idle, active = harness.client(), harness.client()
        harness.iterate(SECOND)
        active.send(client_request(1))
        with harness.no_descriptors():
            harness.run_until(lambda: idle.read() or idle.ended, "the idle client is closed")
        cache = harness.accept_from_router("cache1")
        harness.run_until(cache.attempt_ids, "the attempt arrives")
        cache.send(server_response(*cache.attempt_ids()))
        harness.run_until(active.responses, "the request is served")
        assert active.responses() == [[1, 1, None, [b"by", {}]]]

    def test_a_connect_without_descriptors_ends_in_a_rejection(self) -> None:
        harness = LoopHarness(self)
        harness.run_until(harness.accept_from_router("feed").read, "a watch request is sent")
        client = harness.client()
        client.send(client_request(1))
        with harness.no_descriptors():
            harness.run_until(client.responses, "the request ends immediately")
        assert client.responses()[0][2][0] == "Shed"
        client.send(client_request(2))
        harness.run_until(
            harness.accept_from_router("cache1").attempt_ids, "later requests are sent to a server"
        )

    def test_watch_requests_resume_once_a_descriptor_is_free(self) -> None:
        """The handler of a failed watch request created a new socket, as that of a failed connect did.

        The error of that socket ended the process.
        """
        harness = LoopHarness(self, feed=False)
        harness.run_until(
            lambda: harness.loop.feed.connection is None and not harness.loop.transport.failed_opens,
            "the connect has failed",
        )
        with harness.no_descriptors():
            for _ in range(5):
                # Each attempt to send a watch request finds no descriptor.
                harness.iterate(500 * MS, iterations=3)
        assert harness.loop.feed.connection is None
        host, port = harness.loop.feed_address
        harness.listeners["feed"] = listener = socket.create_server((host, port))
        self.addCleanup(listener.close)
        listener.setblocking(False)
        harness.iterate(500 * MS)
        harness.run_until(harness.accept_from_router("feed").read, "a watch request is sent")

    def test_a_listener_that_cannot_accept_is_paused(self) -> None:
        """The listener was ready in every iteration, and the loop logged a line each time without a pause."""
        harness = LoopHarness(self)
        clients = [harness.client()]
        clients[0].send(client_request(1))  # no client is idle, so none is closed
        harness.run_until(lambda: harness.loop.reducer.state.requests_by_client, "the request is admitted")
        pending = socket.create_connection(harness.address, WAIT_S)
        self.addCleanup(pending.close)
        with harness.no_descriptors():
            harness.run_until(
                lambda: not harness.loop.acceptor.listener.is_registered, "the listener is paused"
            )
            harness.iterate(iterations=20)
            assert len([log for log in harness.logged if log.event == "accept.failed"]) == 1
        harness.iterate(200 * MS)
        harness.run_until(lambda: len(harness.loop.clients.open) == 2, "accepting is resumed")
