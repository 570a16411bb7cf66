"""Signals at every step of a request: it gets exactly one final response, whenever a signal arrives."""

from __future__ import annotations

import json
import signal
import socket
import unittest

from kelpcroft.core import inputs
from tests.support.loop_harness import MS, LoopHarness, Peer, client_request, server_response

TERM, HUP = signal.SIGTERM, signal.SIGHUP
STEPS = 8  # at least the iterations from a client's first byte to its response


class Signals(unittest.TestCase):
    def run_request(self, signal_step: int, signals: tuple[int, ...], is_valid_file: bool = False) -> None:
        """Serve one request in two attempts, with signals before one iteration of the event loop.

        Args:
            signal_step: The iteration before which the signals arrive.
            signals: The signals.
            is_valid_file: The reloaded file is valid: it equals the one in use.
        """
        harness = LoopHarness(self)
        if is_valid_file:
            harness.loop.signals.read_config = lambda: inputs.ConfigFileRead(
                "config.json", json.dumps(harness.raw).encode()
            )
        client = Peer(socket.create_connection(harness.address))
        self.addCleanup(client.close)
        client.send(client_request(1))
        caches: list[Peer] = []
        handled_attempts: set[tuple[int, str]] = set()
        for step in range(3 * STEPS):
            if step == signal_step:
                harness.loop.signals.handle(bytes(signals))
            harness.iterate()
            for name in ("cache1", "parent", "origin"):
                try:
                    caches.append(Peer(harness.listeners[name].accept()[0]))
                    self.addCleanup(caches[-1].close)
                except BlockingIOError:
                    pass
            for n, cache in enumerate(caches):
                for attempt_id in cache.attempt_ids():
                    if (n, attempt_id) not in handled_attempts:
                        cache.send(
                            server_response(attempt_id)
                            if handled_attempts
                            else server_response(attempt_id, b"", b"LACK", b"-")
                        )
                        handled_attempts.add((n, attempt_id))
        assert client.responses() == [[1, 1, None, [b"by", {}]]]
        assert len(handled_attempts) == 2, "one attempt that failed and one that succeeded"
        harness.iterate(1_000 * MS)
        assert harness.loop.is_stopping == (TERM in signals)
        if harness.loop.is_stopping:
            harness.tick_ns = 10 * MS
            harness.loop.flush_and_close()
            client.read()
            assert client.ended
            assert not client.reset
        assert len(client.responses()) == 1

    def test_at_every_step(self) -> None:
        for step in range(STEPS):
            for signals in ((TERM,), (HUP,), (TERM, TERM), (HUP, TERM), (TERM, HUP)):
                with self.subTest(step=step, signals=signals):
                    self.run_request(step, signals)
            with self.subTest(step=step, signals="SIGHUP with a valid file"):
                self.run_request(step, (HUP,), is_valid_file=True)
