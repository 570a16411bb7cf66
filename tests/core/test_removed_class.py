"""A class that a reload removes while requests of it are open: each keeps its class to its final response."""

from __future__ import annotations

import copy
from dataclasses import replace

import orjson
import pytest

from kelpcroft.core import effects, inputs
from kelpcroft.core.request_statistics import RequestStatistics
from testbed.virtual import EXAMPLE, MS, START, VirtualRouter
from tests.support.exchange_player import KEYED_CLASS

PAGE, ORDER = 0, 1  # indices of the classes of the example configuration
OBJECT = 7
PATIENCE_MS = 4_900  # the longest that a request of the class may have
AFTER_REMOVAL_NS = 2_500 * MS  # a file that is read at the start has removed its class by then
# Back-offs and hedges need routes; without an operator's file there are none.
RULES = """
kelpcroft version=1
defaults { timeout "100%"; }
route "page" {
    match effect="safe"
    attempts most=4
    backoff first="300ms" most="800ms"
    copies most=1 after="600ms"
}
route "rest" { match; }
"""
MIXED_OUTCOMES = {
    "done": 2.0,
    "broke": 3.0,
    "lack": 1.0,
    "wait": 1.0,
    "reset": 2.0,
    "silent": 1.0,
    "refuse": 0.2,
}


class ScriptedRouter(VirtualRouter):
    """A router whose first attempt ends as scripted; later ones succeed.

    Attributes:
        first_outcome: Outcome of the first attempt, after ``AFTER_REMOVAL_NS``.
        connect_ns: Time until a connection is established.
        waiting: Number of attempts that waited for a connection at each scheduled purge.
    """

    def __init__(self, first_outcome: str, is_keyed: bool = False) -> None:
        self.first_outcome = first_outcome
        self.connect_ns = MS
        self.waiting: list[int] = []
        classes = copy.deepcopy(EXAMPLE["settings"]["classes"])
        if is_keyed:
            classes[ORDER].update(KEYED_CLASS)
        super().__init__(None, 1, {"done": 1.0}, max_service_ns=MS, settings={"classes": classes})

    def run_attempt(self, e: effects.SendAttempt) -> None:
        """Let the first attempt take long and end as scripted."""
        is_first = not self.records[e.attempt_id].attempts
        self.outcomes = {self.first_outcome if is_first else "done": 1.0}
        self.max_service_ns = MS
        now = self.now
        if is_first:
            self.now += AFTER_REMOVAL_NS
        super().run_attempt(e)
        self.now = now

    def _connect(self, e: effects.OpenServerConnection) -> None:
        self.address_by_connection[e.connection] = e.address
        self.schedule(self.now + self.connect_ns, inputs.ServerConnected(e.connection))

    def custom_event(self, server: str) -> None:
        """Slow down connects, or purge the object of the request."""
        if server == "connect slowly":
            self.connect_ns = 300 * MS
            return
        self.waiting.append(sum(not attempt.is_sent for attempt in self.reducer.state.attempts.values()))
        purge = inputs.Purge(OBJECT, 0, self.now)
        self.deliver(inputs.WatchResponse(2, (purge,)))


def remove_class(router: VirtualRouter, after_ns: int, index: int) -> None:
    """Have the router read a file without one of its two classes."""
    raw = copy.deepcopy(router.config.raw)
    name = raw["settings"]["classes"].pop(index)["name"]
    router.schedule(START + after_ns, inputs.ConfigFileRead("config.json", orjson.dumps(raw)))
    assert name in router.reducer.state.classes


def final_types(router: VirtualRouter) -> list[list[type]]:
    """The types of the final effects of each request."""
    return [[type(effect) for _, effect in record.final_effects] for record in router.records.values()]


@pytest.mark.parametrize("outcome", ["broke", "lack", "wait", "reset"])
def test_a_request_is_sent_again_after_its_class_is_gone(outcome: str) -> None:
    """A further attempt after the transition raised KeyError, and the process ended with all its requests."""
    router = ScriptedRouter(outcome)
    record = router.schedule_request(0, "page", PATIENCE_MS, OBJECT)
    remove_class(router, MS, PAGE)
    router.run()
    assert "page" not in router.reducer.state.classes
    assert final_types(router) == [[effects.SendResponse]]
    assert len(record.attempts) == 2


@pytest.mark.parametrize("rules", [None, RULES], ids=["without routes", "back-offs and hedges"])
@pytest.mark.parametrize("seed", range(12))
def test_every_open_request_ends_once_whenever_its_class_goes(seed: int, rules: str | None) -> None:
    """Back-offs, hedges, lost connections and time-outs come before, at and after the end of the class."""
    router = VirtualRouter(rules, seed, MIXED_OUTCOMES, max_service_ns=1_500 * MS)
    for number in range(60):
        router.schedule_request(number * 50 * MS, "page", PATIENCE_MS, object=number)
    remove_class(router, seed * 80 * MS, PAGE)
    router.run()
    assert [len(types) for types in final_types(router)] == [1] * 60
    assert "page" not in router.reducer.state.classes


def test_a_waiting_attempt_is_selected_again_at_a_purge_after_its_class_is_gone() -> None:
    """A purge ends an attempt that waits for its connection, and the next one needs the request's class."""
    ends = []
    for is_class_removed in (False, True):
        router = ScriptedRouter("broke")
        router.schedule_request(0, "page", PATIENCE_MS, OBJECT)
        if is_class_removed:
            remove_class(router, MS, PAGE)
        router.schedule(START + AFTER_REMOVAL_NS, "connect slowly")
        router.schedule(START + AFTER_REMOVAL_NS + 100 * MS, "purge")
        router.run()
        assert router.waiting == [1]
        ends.append(final_types(router))
    assert len(ends[0][0]) == 1
    assert ends[0] == ends[1]


def test_a_keyed_attempt_is_recorded_after_its_class_is_gone() -> None:
    """Without the record, a repeat would not be limited to the window of the key once the class is back."""
    router = ScriptedRouter("wait", is_keyed=True)
    record = router.schedule_request(0, "order", PATIENCE_MS, OBJECT)
    keyed = replace(record.request, idempotency_key="k")
    router.heap = [s._replace(message=keyed) if s.message is record.request else s for s in router.heap]
    remove_class(router, MS, ORDER)
    router.run()
    assert len(record.attempts) == 2
    prior_execution = router.reducer.state.idempotency_keys.find(router.now, "order", "k")
    assert prior_execution is not None
    assert prior_execution.sent_ns == record.attempts[1].sent_ns


def test_the_end_of_a_request_counts_after_its_class_is_gone() -> None:
    """The statistics of the control address left out requests that outlived their class."""
    router = ScriptedRouter("broke")
    statistics = router.reducer.state.statistics = RequestStatistics()
    router.schedule_request(0, "page", PATIENCE_MS, OBJECT)
    remove_class(router, MS, PAGE)
    router.run()
    assert list(statistics.classes) == ["page"]
