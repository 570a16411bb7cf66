"""Many instances of the decision package in virtual time, with servers scripted by a function.

Tests use it to check the routers' combined behavior. The same seed gives the same run.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable
from random import Random

from kelpcroft.decision import interface as api
from kelpcroft.decision.interface import FillResult, Outcome
from kelpcroft.decision.policy import RoutingPolicy

MS, S = 10**6, 10**9
# Duration in ns, outcome, fill result and load report of an attempt.
ScriptedResult = tuple[int, Outcome, FillResult, dict[str, float]]


class PolicyFleet:
    """Many routers in virtual time.

    ``script`` returns when and how an attempt ends; None means that it times out.
    """

    def __init__(
        self, routers: list[RoutingPolicy], script: Callable[[int, api.ForwardRequest], ScriptedResult | None]
    ) -> None:
        self.routers, self.script = routers, script
        self.heap: list[tuple[int, int, int, api.Event]] = []
        self.event_count = 0
        self.attempts: list[tuple[int, api.ForwardRequest]] = []
        self.unserved: list[tuple[int, api.Action]] = []
        self.attempt_counts: dict[tuple[int, str], int] = {}

    def schedule(self, at_ns: int, router: int, event: api.Event) -> None:
        """Schedule an event for one router."""
        self.event_count += 1
        heapq.heappush(self.heap, (at_ns, self.event_count, router, event))

    def run(self, until_ns: int) -> None:
        """Deliver all events up to a time in ns."""
        while self.heap and self.heap[0][0] <= until_ns:
            now, _, router, event = heapq.heappop(self.heap)
            for action in self.routers[router].handle(now, event):
                if isinstance(action, api.SetTimer):
                    self.schedule(action.at_ns, router, api.TimerExpired(action.label))
                elif isinstance(action, api.ForwardRequest):
                    self.attempts.append((now, action))
                    attempt_number = self.attempt_counts.get((router, action.id), 0)
                    self.attempt_counts[router, action.id] = attempt_number + 1
                    duration_ns, outcome, fill_result, report = self.script(now, action) or (
                        action.timeout_ns,
                        Outcome.TIMEOUT,
                        FillResult.NONE,
                        {},
                    )
                    self.schedule(
                        now + duration_ns,
                        router,
                        api.AttemptEnded(
                            action.id,
                            attempt_number,
                            action.server,
                            outcome,
                            duration_ns,
                            outcome is Outcome.OK,
                            fill_result,
                            50 * MS,
                            report,
                        ),
                    )
                elif isinstance(action, (api.Reject, api.Fail)):
                    self.unserved.append((now, action))

    def schedule_requests(
        self, start: int, end: int, interval_ns: int, random: Random, objects: int = 10**6
    ) -> None:
        """Schedule requests to every router for random objects, one every ``interval_ns`` on average."""
        for n in range(len(self.routers)):
            now = start
            while now < end:
                now += int(random.expovariate(1) * interval_ns)
                self.event_count += 1
                self.schedule(
                    now, n, api.Request(f"{n}-{self.event_count}", "safe", 3 * S, random.randrange(objects))
                )
