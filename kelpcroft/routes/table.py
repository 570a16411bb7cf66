"""The routes of a file in service: what each request is granted, and what its route has seen."""

from __future__ import annotations

from random import Random

from kelpcroft.decision import interface as api
from kelpcroft.decision.interface import Outcome
from kelpcroft.operator_file.model import AdaptiveDuration, Backoff, OperatorFile, Route
from kelpcroft.routes.budget import RetryBudget
from kelpcroft.routes.index import RouteIndex
from kelpcroft.routes.sketch import LatencySketch

OUTCOMES = {"error": Outcome.ERROR, "reset": Outcome.RESET, "timeout": Outcome.TIMEOUT}


class RouteState:
    """One route in service.  Open requests hold on to theirs when the file is read again."""

    def __init__(self, route: Route, budgets: dict[str, RetryBudget]) -> None:
        self.name = route.name
        self.sketch: LatencySketch | None = None
        self.open_requests = self.taken = self.crowded = 0
        self.declare(route, budgets)

    def declare(self, route: Route, budgets: dict[str, RetryBudget]) -> None:
        """What the file says now; what was seen stays."""
        b = self.bounds = route.bounds
        self.budget = budgets.get(b.budget or "")
        self.copy_budget = budgets.get(b.copies.budget or "") if b.copies else None
        copies = b.copies.most if b.copies else 0
        after = b.copies.after if copies and b.copies else None
        self.learns = any(m is not None and m.quantile > 0 for m in (b.attempt, after))
        again = None if b.on is None else frozenset(OUTCOMES[word] for word in b.on)
        self.plain = api.RouteRetryPolicy(
            attempt_timeout_ns=b.attempt.ns if b.attempt else 0,
            max_attempts=b.attempts or 0,
            retry_on=again,
            max_reroutes=-1 if b.moves is None else b.moves,
            max_hedges=copies,
            retry_after_ns=b.pause_ns or 0,
            has_retry_budget=self.budget is not None,
        )
        whole = b.timeout is None or b.timeout.share >= 1
        self.steady = whole and not b.backoff and not (b.attempt and b.attempt.quantile)

    def moment(self, now: int, m: AdaptiveDuration) -> int:
        """A duration, or the quantile as it stands; 0 while too little is known and no most is given."""
        if not m.quantile:
            return m.ns
        found = self.sketch.quantile(now, m.quantile) if self.sketch else 0
        if not found:
            return m.most_ns
        found = max(found, m.least_ns)
        return min(found, m.most_ns) if m.most_ns else found


class RequestAllowance:
    """What one request may cost, and the lane that it is in."""

    __slots__ = (
        "route",
        "bounds",
        "answer_timeout_ns",
        "hedge_delay_ns",
        "retry_budget",
        "hedge_budget",
        "records_latency",
    )

    def __init__(self, lane: RouteState, bounds: api.RouteRetryPolicy, wait_ns: int, copy_ns: int) -> None:
        self.route, self.bounds = lane, bounds
        self.answer_timeout_ns = wait_ns  # for the whole answer, from now
        self.hedge_delay_ns = copy_ns  # after which a copy of an attempt is due; 0 = none
        self.retry_budget, self.hedge_budget, self.records_latency = (
            lane.budget,
            lane.copy_budget,
            lane.learns,
        )

    def can_retry(self, now: int) -> bool:
        """Whether a further attempt is paid for."""
        return self.retry_budget is None or self.retry_budget.can_spend(now)

    def can_hedge(self, now: int) -> bool:
        """Whether a copy is paid for."""
        return self.hedge_budget is None or self.hedge_budget.can_spend(now)

    def spend_retry(self, now: int) -> bool:
        """A further attempt is made; False would overdraw."""
        return self.retry_budget is None or self.retry_budget.spend(now)

    def spend_hedge(self, now: int) -> bool:
        """A copy is sent; False would overdraw."""
        return self.hedge_budget is None or self.hedge_budget.spend(now)

    def record_latency(self, now: int, took_ns: int) -> None:
        """An answer took so long, or was given up after so long: it would have taken longer still.  Without
        the latter a quantile that ends attempts would fall with each that it ends."""
        if self.route.learns:
            if self.route.sketch is None:
                self.route.sketch = LatencySketch(now)
            self.route.sketch.record(now, took_ns)

    def release(self) -> None:
        """The request is over."""
        self.route.open_requests -= 1


class RouteTable:
    """All routes of a file, for one router."""

    def __init__(self, file: OperatorFile, zone: str, seed: int, now: int) -> None:
        self.zone, self.random = zone, Random(seed)
        self.budgets: dict[str, RetryBudget] = {}
        self.routes: list[RouteState] = []
        self.index = RouteIndex((), zone)
        self.replace(file, now)

    def replace(self, file: OperatorFile, now: int) -> None:
        """Another file.  Routes and budgets that keep their name keep what they know."""
        old_budgets, old_lanes = self.budgets, {lane.name: lane for lane in self.routes}
        self.budgets = {}
        for declared in file.budgets:
            kept = old_budgets.get(declared.name)
            if kept:
                kept.reconfigure(declared, now)
            self.budgets[declared.name] = kept or RetryBudget(declared, now)
        self.routes = []
        for route in file.routes:
            lane = old_lanes.get(route.name)
            if lane:
                lane.declare(route, self.budgets)
            self.routes.append(lane or RouteState(route, self.budgets))
        self.index = RouteIndex(file.routes, self.zone)

    def admit(
        self,
        now: int,
        cls: api.RequestClass,
        object: str,
        group: int,
        part: int,
        retry: bool,
        write: bool,
        patience_ns: int,
        waited_ns: int,
    ) -> RequestAllowance | None:
        """What a request is granted; None where no route takes it.  ``patience_ns`` is what is left of the
        client's, ``waited_ns`` what is gone.  The grant counts as open until it is released."""
        at = self.index.find(cls, object, group, part, retry, write)
        if at < 0:
            return None
        lane = self.routes[at]
        b, bounds, wait = lane.bounds, lane.plain, patience_ns
        lane.taken += 1
        crowded = b.open is not None and lane.open_requests >= b.open
        lane.open_requests += 1
        if crowded:
            lane.crowded += 1
            return RequestAllowance(
                lane,
                api.RouteRetryPolicy(retry_after_ns=bounds.retry_after_ns, concurrency_limit_reached=True),
                wait,
                0,
            )
        if lane.budget:
            lane.budget.earn(now)
        if lane.copy_budget and lane.copy_budget is not lane.budget:
            lane.copy_budget.earn(now)
        if not lane.steady:
            attempt = lane.moment(now, b.attempt) if b.attempt else 0
            if b.timeout:
                wait = max(0, min(patience_ns, b.timeout.within(patience_ns + waited_ns) - waited_ns))
            waits = self.waits(b.backoff, b.attempts) if b.backoff else ()
            p = bounds
            bounds = api.RouteRetryPolicy(
                attempt,
                p.max_attempts,
                p.retry_on,
                p.max_reroutes,
                p.max_hedges,
                waits,
                p.retry_after_ns,
                p.has_retry_budget,
                False,
                wait < patience_ns,
            )
        copy = lane.moment(now, b.copies.after) if b.copies and bounds.max_hedges else 0
        return RequestAllowance(lane, bounds, wait, copy)

    def waits(self, backoff: Backoff, attempts: int | None) -> tuple[int, ...]:
        """The waits before each further attempt of one request."""
        waits = []
        for n in range((attempts or 3) - 1):
            top = min(backoff.most_ns, backoff.first_ns << min(n, 40))
            waits.append(self.random.randint(0, top) if backoff.jitter else top)
        return tuple(waits)

    def counters(self) -> list[tuple[str, dict[str, int]]]:
        """Counters of each route that was used, and of each budget, for the log."""
        rows = [
            (f"route {lane.name}", {"taken": lane.taken, "open": lane.open_requests, "crowded": lane.crowded})
            for lane in self.routes
            if lane.taken
        ]
        return rows + [
            (f"budget {name}", {"left": int(b.tokens), "taken": b.spent, "denied": b.denied})
            for name, b in self.budgets.items()
        ]
