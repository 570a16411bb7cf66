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

    ``reply`` returns when and how an attempt ends; None means that it times out.
    """

    def __init__(
        self, routers: list[RoutingPolicy], reply: Callable[[int, api.ForwardRequest], ScriptedResult | None]
    ) -> None:
        self.routers, self.reply = routers, reply
        self.heap: list[tuple[int, int, int, api.Event]] = []
        self.made = 0
        self.attempts: list[tuple[int, api.ForwardRequest]] = []
        self.unserved: list[tuple[int, api.Action]] = []
        self.attempt_counts: dict[tuple[int, str], int] = {}

    def schedule(self, when: int, router: int, event: api.Event) -> None:
        """Schedule an event for one router."""
        self.made += 1
        heapq.heappush(self.heap, (when, self.made, router, event))

    def run(self, until: int) -> None:
        """Deliver all events up to a time in ns."""
        while self.heap and self.heap[0][0] <= until:
            now, _, n, event = heapq.heappop(self.heap)
            for a in self.routers[n].handle(now, event):
                if isinstance(a, api.SetTimer):
                    self.schedule(a.at_ns, n, api.TimerExpired(a.label))
                elif isinstance(a, api.ForwardRequest):
                    self.attempts.append((now, a))
                    number = self.attempt_counts.get((n, a.id), 0)
                    self.attempt_counts[n, a.id] = number + 1
                    took, outcome, note, report = self.reply(now, a) or (
                        a.timeout_ns,
                        Outcome.TIMEOUT,
                        FillResult.NONE,
                        {},
                    )
                    self.schedule(
                        now + took,
                        n,
                        api.AttemptEnded(
                            a.id,
                            number,
                            a.server,
                            outcome,
                            took,
                            outcome is Outcome.OK,
                            note,
                            50 * MS,
                            report,
                        ),
                    )
                elif isinstance(a, (api.Reject, api.Fail)):
                    self.unserved.append((now, a))

    def schedule_requests(
        self, start: int, end: int, each_ns: int, random: Random, objects: int = 10**6
    ) -> None:
        """Schedule requests to every router for random objects, one every ``each_ns`` on average."""
        for n in range(len(self.routers)):
            now = start
            while now < end:
                now += int(random.expovariate(1) * each_ns)
                self.made += 1
                self.schedule(
                    now, n, api.Request(f"{n}-{self.made}", "safe", 3 * S, random.randrange(objects))
                )
