"""Signals at every step of a request: it gets exactly one final response, whenever a signal arrives."""

from __future__ import annotations

import json
import signal
import socket
import unittest

from kelpcroft.core import inputs
from tests.support.loop_turns import MS, LoopHarness, Peer, client_request, server_response

TERM, HUP = signal.SIGTERM, signal.SIGHUP
STEPS = 8  # at least the iterations from a client's first byte to its response


class Signals(unittest.TestCase):
    def run_request(self, at: int, signals: tuple[int, ...], is_valid_file: bool = False) -> None:
        """Serve one request in two attempts, with signals before one iteration of the event loop.

        Args:
            at: The iteration before which the signals arrive.
            signals: The signals.
            is_valid_file: The reloaded file is valid: it equals the one in use.
        """
        t = LoopHarness(self)
        if is_valid_file:
            t.loop.signals.read_config = lambda: inputs.ConfigFileRead(
                "config.json", json.dumps(t.raw).encode()
            )
        client = Peer(socket.create_connection(t.address))
        self.addCleanup(client.close)
        client.send(client_request(1))
        caches: list[Peer] = []
        answered: set[tuple[int, str]] = set()
        for step in range(3 * STEPS):
            if step == at:
                t.loop.signals.handle(bytes(signals))
            t.iterate()
            for name in ("cache1", "parent", "origin"):
                try:
                    caches.append(Peer(t.listeners[name].accept()[0]))
                    self.addCleanup(caches[-1].close)
                except BlockingIOError:
                    pass
            for n, cache in enumerate(caches):
                for attempt_id in cache.attempt_ids():
                    if (n, attempt_id) not in answered:
                        cache.send(
                            server_response(attempt_id)
                            if answered
                            else server_response(attempt_id, b"", b"LACK", b"-")
                        )
                        answered.add((n, attempt_id))
        assert client.responses() == [[1, 1, None, [b"by", {}]]]
        assert len(answered) == 2, "one attempt that failed and one that succeeded"
        t.iterate(1_000 * MS)
        assert t.loop.is_stopping == (TERM in signals)
        if t.loop.is_stopping:
            t.tick_ns = 10 * MS
            t.loop.flush_and_close()
            client.read()
            assert client.ended
            assert not client.reset
        assert len(client.responses()) == 1

    def test_at_every_step(self) -> None:
        for at in range(STEPS):
            for signals in ((TERM,), (HUP,), (TERM, TERM), (HUP, TERM), (TERM, HUP)):
                with self.subTest(at=at, signals=signals):
                    self.run_request(at, signals)
            with self.subTest(at=at, signals="SIGHUP with a valid file"):
                self.run_request(at, (HUP,), is_valid_file=True)
