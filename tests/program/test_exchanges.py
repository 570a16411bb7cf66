"""The complete program over its sockets, against recorded byte exchanges (tests/exchanges)."""

from __future__ import annotations

import os
import signal
import subprocess
import sys
import tempfile
import time
import unittest
from pathlib import Path

import orjson

from testbed.router_process import RouterProcess
from testbed.stand_ins import PROGRAM_DIR, StandInServers
from tests.support.exchange_player import EXAMPLE, KEYED_CLASS, ONE_CACHE, ROOT, WAIT_S, Player


class Exchanges(unittest.TestCase):
    def test_served(self) -> None:
        Player(self, ONE_CACHE).play("served.txt")

    def test_failures(self) -> None:
        """A write whose connection was lost may have been executed: neither repeat nor reject it."""
        Player(self, ONE_CACHE).play("failures.txt")

    def test_write_not_run(self) -> None:
        Player(self, ONE_CACHE).play("write_not_run.txt")

    def test_nonce(self) -> None:
        """The idempotency key of keyed classes is read and forwarded.

        Guards against a router that drops the key: servers, which ignore repeats of a key, then execute each
        attempt as a new request.
        """
        Player(self, ONE_CACHE, order_class=KEYED_CLASS).play("nonce.txt")

    def test_size(self) -> None:
        """A reported size is used, not discarded.  An invalid size is treated as not reported."""
        Player(self, ONE_CACHE).play("size.txt")

    def test_cancel(self) -> None:
        """Closing the connection instead of sending KILL would abandon the other attempts in flight on it."""
        Player(self, ONE_CACHE).play("cancel.txt")

    def test_deadline(self) -> None:
        Player(self, ONE_CACHE).play("deadline.txt")

    def test_feed(self) -> None:
        Player(self, ONE_CACHE).play("feed.txt")

    def test_malformed(self) -> None:
        """No input from a peer may end the process, which serves all other clients."""
        Player(self, ONE_CACHE).play("malformed.txt")

    def test_reload(self) -> None:
        """Guards against a SIGHUP that ends the program, so that all its open requests are lost."""
        player = Player(self, ONE_CACHE)
        player.play("reload.txt")
        player.log.seek(0)
        assert "configuration not taken: feed: " in player.log.read()

    def test_retune(self) -> None:
        """A file with an error is not applied, not even its feed; a file with an added class is applied.

        Guards against a reload that applies part of a faulty file, and one that rejects an added class.
        """
        Player(self, ONE_CACHE).play("retune.txt")

    def test_handover(self) -> None:
        """A successor starts while its predecessor still serves.

        Guards against two processes that both bind the client address, so that the second cannot start.
        """
        Player(self, ONE_CACHE, inherit=True).play("handover.txt")

    def test_handover_of_a_drain(self) -> None:
        """The successor of a drained router stays drained.

        Guards against a successor that reports ready immediately and accepts clients that had been sent to
        other routers.
        """
        Player(self, ONE_CACHE, inherit=True).play("handover_drained.txt")

    def test_planned_end(self) -> None:
        Player(self, ONE_CACHE).play("planned_end.txt")

    def test_control(self) -> None:
        """Control requests for readiness, a drain and its end, and every kind of bad control request."""
        Player(self, ONE_CACHE).play("control.txt")

    def test_refused_connection(self) -> None:
        """A cache that refuses connections has executed nothing: even a write is sent to another server."""
        player = Player(self, ONE_CACHE)
        player.listeners.pop("cache1").close()
        player.play("refused_connection.txt")


class Exit(unittest.TestCase):
    def test_input_of_the_feed_after_the_exit_decision_does_not_fail_the_exit(self) -> None:
        """The compiled program ended with exit code 1 if the list service sent something then."""
        with StandInServers() as servers, RouterProcess(servers, program=PROGRAM_DIR, release=True) as router:
            client = router.client()  # stays connected, so that the router lingers
            assert client.request("page").kind == "served"
            router.process.send_signal(signal.SIGTERM)
            end_s = time.monotonic() + WAIT_S
            while router.process.poll() is None and time.monotonic() < end_s:
                servers.publish(purge={"key": f"{len(servers.feed_events):016x}", "at": 1_764_576_000_000})
                time.sleep(0.01)
            assert router.process.returncode == 0, router.log_path.read_text()[-2_000:]
            client.sock.close()


class Start(unittest.TestCase):
    """Invalid configuration: the program prints one line that names the key and exits with code 2."""

    def assert_start_fails(self, key: str, **changes: object) -> None:
        raw = {**EXAMPLE, **changes}
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "config.json"
            path.write_bytes(orjson.dumps(raw))
            process = subprocess.run(
                [sys.executable, "-m", "kelpcroft"],
                cwd=ROOT,
                capture_output=True,
                text=True,
                timeout=WAIT_S,
                env={**os.environ, "ROUTER_CONFIG": str(path)},
            )
        assert process.returncode == 2, process.stderr
        assert process.stderr.count("\n") == 1, process.stderr
        assert key in process.stderr

    def test_bad_keys(self) -> None:
        settings = EXAMPLE["settings"]
        for key, changes in (
            ("listen", {"listen": "nowhere"}),
            ("feed", {"feed": None}),
            ("seed", {"seed": "xyz"}),
            ("limits.sockets", {"limits": {"sockets": "many"}}),
            ("known", {"known": {"n": 1}}),
            ("settings", {"settings": None}),
            ("settings.az", {"settings": {**settings, "az": "moon"}}),
            ("listen", {"listen": "192.0.2.1:9"}),
        ):
            with self.subTest(key=key):
                self.assert_start_fails(key, **changes)


if __name__ == "__main__":
    unittest.main()
