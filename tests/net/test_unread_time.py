"""How long a request counts as having waited unread, which is subtracted from its client's remaining time."""

from __future__ import annotations

import selectors
import unittest

from kelpcroft.core import inputs
from kelpcroft.core.state import MS
from kelpcroft.net.event_loop import PROCESS_STALL_THRESHOLD_NS
from kelpcroft.net.feed_client import FEED_ONLY_NS
from tests.support.loop_harness import LoopHarness, NonBlockingSelector, Peer, client_request

PATIENCE_MS = 600


class WaitingSelector(NonBlockingSelector):
    """A selector whose next call takes time, as one that waits for input or is suspended."""

    def __init__(self, harness: LoopHarness) -> None:
        super().__init__()
        self.harness = harness
        self.wait_ns = 0

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        """Let time pass, then report what is ready."""
        self.harness.now += self.wait_ns
        self.wait_ns = 0
        return super().select(timeout)


class UnreadTime(unittest.TestCase):
    def setUp(self) -> None:
        self.harness = LoopHarness(self)
        self.client: Peer = self.harness.client()
        loop = self.harness.loop
        self.selector = WaitingSelector(self.harness)
        for key in list(loop.transport.selector.get_map().values()):
            self.selector.register(key.fileobj, key.events, key.data)
        loop.transport.selector.close()
        loop.transport.selector = self.selector
        loop.run_iteration()

    def remaining_ms(self) -> int:
        """The remaining time of the request, as the reducer received it."""
        requests = self.harness.loop.reducer.state.requests
        self.harness.run_until(lambda: requests, "the request is admitted")
        (request,) = requests.values()
        message: inputs.ClientRequest = request.message
        return message.remaining_time_ns // MS

    def test_time_in_which_the_router_waits_for_input_is_not_subtracted(self) -> None:
        """A request to an idle router was refused: the wait for it counted as time that it had waited."""
        self.client.send(client_request(1, remaining_ms=PATIENCE_MS))
        self.selector.wait_ns = 900 * MS
        assert self.remaining_ms() == PATIENCE_MS

    def test_time_in_which_the_router_is_busy_is_subtracted(self) -> None:
        """The request may have arrived right after the previous select."""
        self.client.send(client_request(1, remaining_ms=PATIENCE_MS))
        self.harness.now += 200 * MS
        assert self.remaining_ms() == PATIENCE_MS - 200

    def test_time_in_which_the_process_stands_still_is_subtracted(self) -> None:
        """A select that returns long after its timeout was suspended; the request may be as old."""
        patience_ms = 5 * PATIENCE_MS
        self.client.send(client_request(1, remaining_ms=patience_ms))
        self.selector.wait_ns = 1_000 * MS + PROCESS_STALL_THRESHOLD_NS + MS
        passed_ns = self.selector.wait_ns + FEED_ONLY_NS
        self.harness.loop.run_iteration()
        self.harness.now += FEED_ONLY_NS
        assert self.remaining_ms() == patience_ms - passed_ns // MS
        assert self.harness.loop.reducer.state.counters["stalls"] == 1


if __name__ == "__main__":
    unittest.main()
