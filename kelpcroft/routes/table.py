"""The routes of a file in service: what each request is granted, and what its route has seen."""

from __future__ import annotations

from random import Random
from typing import Final

from kelpcroft.decision import interface as api
from kelpcroft.decision.interface import Outcome
from kelpcroft.operator_file.model import AdaptiveDuration, Backoff, OperatorFile, Route
from kelpcroft.routes.budget import RetryBudget
from kelpcroft.routes.index import NOT_FOUND, RouteIndex
from kelpcroft.routes.sketch import LatencySketch

OUTCOMES: Final = {"error": Outcome.ERROR, "reset": Outcome.RESET, "timeout": Outcome.TIMEOUT}
NO_REROUTE_BOUND: Final = -1
DEFAULT_ATTEMPTS_WITH_A_BACKOFF: Final = (
    3  # that waits are drawn for, where a route states no number of attempts
)


class RouteState:
    """One route in service.  Open requests hold on to theirs when the file is read again.

    Attributes:
        open_requests: How many are open now.
        taken: How many requests it took in all.
        rejected: Those of them that came beyond ``max_open_requests``.
        base_policy: What each request is granted, without what depends on the time or on chance.
        is_fixed: Whether every request is granted just ``base_policy`` and its whole patience.
        learns: Whether a quantile of recent answers is asked for.
    """

    def __init__(self, route: Route, budgets: dict[str, RetryBudget]) -> None:
        self.name = route.name
        self.sketch: LatencySketch | None = None
        self.open_requests = 0
        self.taken = 0
        self.rejected = 0
        self.configure(route, budgets)

    def configure(self, route: Route, budgets: dict[str, RetryBudget]) -> None:
        """What the file says now; what was seen stays."""
        policy = route.policy
        hedging = policy.hedging
        attempt_timeout = policy.attempt_timeout
        max_hedges = hedging.max_hedges if hedging else 0
        hedge_delay = hedging.delay if hedging and max_hedges else None
        self.policy = policy
        self.retry_budget = budgets.get(policy.retry_budget or "")
        self.hedge_budget = budgets.get(hedging.budget or "") if hedging else None
        self.learns = asks_quantile(attempt_timeout) or asks_quantile(hedge_delay)
        self.base_policy = api.RouteRetryPolicy(
            attempt_timeout_ns=attempt_timeout.ns if attempt_timeout else 0,
            max_attempts=policy.max_attempts or 0,
            retry_on=None
            if policy.retry_on is None
            else frozenset(OUTCOMES[name] for name in policy.retry_on),
            max_reroutes=NO_REROUTE_BOUND if policy.max_reroutes is None else policy.max_reroutes,
            max_hedges=max_hedges,
            retry_after_ns=policy.retry_after_ns or 0,
            has_retry_budget=self.retry_budget is not None,
        )
        whole_patience = policy.answer_timeout is None or policy.answer_timeout.share >= 1
        self.is_fixed = whole_patience and not policy.backoff and not asks_quantile(attempt_timeout)

    def is_full(self) -> bool:
        """Whether as many requests are open as may be."""
        limit = self.policy.max_open_requests
        return limit is not None and self.open_requests >= limit

    def earn(self, now: int) -> None:
        """One more request: its budgets earn by it, each once."""
        if self.retry_budget:
            self.retry_budget.earn(now)
        if self.hedge_budget and self.hedge_budget is not self.retry_budget:
            self.hedge_budget.earn(now)

    def duration_ns(self, now: int, duration: AdaptiveDuration) -> int:
        """A duration, or the quantile as it stands; 0 while too little is known and no most is given."""
        if not duration.quantile:
            return duration.ns
        found = self.sketch.quantile(now, duration.quantile) if self.sketch else 0
        if not found:
            return duration.max_ns
        found = max(found, duration.min_ns)
        return min(found, duration.max_ns) if duration.max_ns else found

    def attempt_timeout_ns(self, now: int) -> int:
        """The time of one attempt; 0 = not bounded."""
        timeout = self.policy.attempt_timeout
        return self.duration_ns(now, timeout) if timeout else 0

    def hedge_delay_ns(self, now: int) -> int:
        """After which a hedge of an attempt is due; 0 = none."""
        hedging = self.policy.hedging
        return self.duration_ns(now, hedging.delay) if hedging and hedging.max_hedges else 0

    def answer_timeout_ns(self, remaining_ns: int, elapsed_ns: int) -> int:
        """The time that is left for the whole answer, of a client's patience of which some is gone."""
        timeout = self.policy.answer_timeout
        if not timeout:
            return remaining_ns
        from_send_ns = timeout.within(remaining_ns + elapsed_ns)  # a duration counts from the client's send
        return max(0, min(remaining_ns, from_send_ns - elapsed_ns))


def asks_quantile(duration: AdaptiveDuration | None) -> bool:
    """Whether it is a quantile of recent answers."""
    return duration is not None and duration.quantile > 0


class RequestAllowance:
    """What one request may cost, and the route that it is in.

    Attributes:
        bounds: The policy that the decision package gets with the request.
        answer_timeout_ns: For the whole answer, from now.
        hedge_delay_ns: After which a hedge of an attempt is due; 0 = none.
        records_latency: Whether the route wanted to know of answers when the request came.
    """

    __slots__ = (
        "answer_timeout_ns",
        "bounds",
        "hedge_budget",
        "hedge_delay_ns",
        "records_latency",
        "retry_budget",
        "route",
    )

    def __init__(
        self, route: RouteState, bounds: api.RouteRetryPolicy, answer_timeout_ns: int, hedge_delay_ns: int
    ) -> None:
        self.route = route
        self.bounds = bounds
        self.answer_timeout_ns = answer_timeout_ns
        self.hedge_delay_ns = hedge_delay_ns
        # The request keeps these also where a file read again gives its route others.
        self.retry_budget = route.retry_budget
        self.hedge_budget = route.hedge_budget
        self.records_latency = route.learns

    def can_retry(self, now: int) -> bool:
        """Whether a further attempt is paid for."""
        return self.retry_budget is None or self.retry_budget.can_spend(now)

    def can_hedge(self, now: int) -> bool:
        """Whether a hedge is paid for."""
        return self.hedge_budget is None or self.hedge_budget.can_spend(now)

    def spend_retry(self, now: int) -> bool:
        """A further attempt is made; False would overdraw."""
        return self.retry_budget is None or self.retry_budget.spend(now)

    def spend_hedge(self, now: int) -> bool:
        """A hedge is sent; False would overdraw."""
        return self.hedge_budget is None or self.hedge_budget.spend(now)

    def record_latency(self, now: int, took_ns: int) -> None:
        """An answer came, or an attempt was given up, after ``took_ns``.

        Attempts that were given up count too: without them a quantile that ends attempts would fall with
        each that it ends.
        """
        route = self.route
        if route.learns:  # as the file says now
            if route.sketch is None:
                route.sketch = LatencySketch(now)
            route.sketch.record(now, took_ns)

    def release(self) -> None:
        """The request is over."""
        self.route.open_requests -= 1


class RouteTable:
    """All routes of a file, for one router."""

    def __init__(self, file: OperatorFile, zone: str, seed: int, now: int) -> None:
        self.zone = zone
        self.random = Random(seed)
        self.budgets: dict[str, RetryBudget] = {}
        self.routes: list[RouteState] = []
        self.index = RouteIndex((), zone)
        self.replace(file, now)

    def replace(self, file: OperatorFile, now: int) -> None:
        """Another file.  Routes and budgets that keep their name keep what they know."""
        self.budgets = self.next_budgets(file, now)
        known = {state.name: state for state in self.routes}
        self.routes = []
        for route in file.routes:
            state = known.get(route.name)
            if state:
                state.configure(route, self.budgets)
            else:
                state = RouteState(route, self.budgets)
            self.routes.append(state)
        self.index = RouteIndex(file.routes, self.zone)

    def next_budgets(self, file: OperatorFile, now: int) -> dict[str, RetryBudget]:
        """The budgets of another file by name, among them those that there are with new figures."""
        budgets: dict[str, RetryBudget] = {}
        for settings in file.budgets:
            budget = self.budgets.get(settings.name)
            if budget:
                budget.reconfigure(settings, now)
            else:
                budget = RetryBudget(settings, now)
            budgets[settings.name] = budget
        return budgets

    def admit(
        self,
        now: int,
        request_class: api.RequestClass,
        object_id: str,
        group: int,
        part: int,
        retry: bool,
        write: bool,
        remaining_ns: int,
        elapsed_ns: int,
    ) -> RequestAllowance | None:
        """What a request is granted; None where no route takes it.

        It counts as open until it is released.

        Args:
            now: In ns.
            request_class: Its class.
            object_id: 16 hex digits.
            group: Of the object.
            part: Of the object.
            retry: Whether it is a client's own retry.
            write: Whether it has a body.
            remaining_ns: What is left of the client's patience.
            elapsed_ns: What is gone of it.
        """
        place = self.index.find(request_class, object_id, group, part, retry, write)
        if place == NOT_FOUND:
            return None
        route = self.routes[place]
        is_full = route.is_full()
        route.taken += 1
        route.open_requests += 1
        if is_full:
            route.rejected += 1
            return rejection(route, remaining_ns)
        route.earn(now)
        if route.is_fixed:
            return RequestAllowance(route, route.base_policy, remaining_ns, route.hedge_delay_ns(now))
        return self.allow(now, route, remaining_ns, elapsed_ns)

    def allow(self, now: int, route: RouteState, remaining_ns: int, elapsed_ns: int) -> RequestAllowance:
        """What a request is granted by a route whose policy depends on the time, the patience or chance."""
        attempt_timeout_ns = route.attempt_timeout_ns(now)
        answer_timeout_ns = route.answer_timeout_ns(remaining_ns, elapsed_ns)
        backoff = route.policy.backoff
        backoff_ns = self.draw_backoff(backoff, route.policy.max_attempts) if backoff else ()
        base = route.base_policy
        policy = api.RouteRetryPolicy(
            attempt_timeout_ns,
            base.max_attempts,
            base.retry_on,
            base.max_reroutes,
            base.max_hedges,
            backoff_ns,
            base.retry_after_ns,
            base.has_retry_budget,
            False,
            answer_timeout_ns < remaining_ns,
        )
        return RequestAllowance(route, policy, answer_timeout_ns, route.hedge_delay_ns(now))

    def draw_backoff(self, backoff: Backoff, max_attempts: int | None) -> tuple[int, ...]:
        """The waits before each further attempt of one request, in ns."""
        backoff_ns = []
        for retry in range((max_attempts or DEFAULT_ATTEMPTS_WITH_A_BACKOFF) - 1):
            longest_ns = backoff.step_ns(retry)
            backoff_ns.append(self.random.randint(0, longest_ns) if backoff.full_jitter else longest_ns)
        return tuple(backoff_ns)

    def counters(self) -> list[tuple[str, dict[str, int]]]:
        """Counters of each route that was used, and of each budget, for the log."""
        rows = [
            (
                f"route {route.name}",
                {"taken": route.taken, "open": route.open_requests, "crowded": route.rejected},
            )
            for route in self.routes
            if route.taken
        ]
        return rows + [
            (f"budget {name}", {"left": int(b.tokens), "taken": b.spent, "denied": b.denied})
            for name, b in self.budgets.items()
        ]


def rejection(route: RouteState, remaining_ns: int) -> RequestAllowance:
    """What a request is granted where too many of its route are open: to be refused."""
    policy = api.RouteRetryPolicy(
        retry_after_ns=route.base_policy.retry_after_ns, concurrency_limit_reached=True
    )
    return RequestAllowance(route, policy, remaining_ns, 0)
