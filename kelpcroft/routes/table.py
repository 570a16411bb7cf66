"""The table of routes at run time: the allowance of each request, and the state of each route."""

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
NO_REROUTE_LIMIT: Final = -1  # RouteRetryPolicy.max_reroutes without a limit
# Attempts for which waits are drawn, if a route states no number of attempts.
DEFAULT_BACKOFF_ATTEMPTS: Final = 3


class RouteState:
    """The state of one route.  Open requests keep a reference to it when the file is read again.

    Attributes:
        open_requests: The number of requests that are open now.
        matched: The total number of requests that matched.
        rejected: The number of requests that were rejected because of ``max_open_requests``.
        base_policy: The policy of each request, without values that depend on time or randomness.
        is_fixed: Whether each request gets ``base_policy`` unchanged, and all of its remaining time.
        needs_latencies: Whether the policy needs a quantile of recent latencies.
    """

    def __init__(self, route: Route, budgets: dict[str, RetryBudget]) -> None:
        self.name = route.name
        self.sketch: LatencySketch | None = None
        self.open_requests = 0
        self.matched = 0
        self.rejected = 0
        self.configure(route, budgets)

    def configure(self, route: Route, budgets: dict[str, RetryBudget]) -> None:
        """Apply the settings of a file; counts and recorded latencies are kept."""
        policy = route.policy
        hedging = policy.hedging
        attempt_timeout = policy.attempt_timeout
        max_hedges = hedging.max_hedges if hedging else 0
        hedge_delay = hedging.delay if hedging and max_hedges else None
        self.policy = policy
        self.retry_budget = budgets.get(policy.retry_budget or "")
        self.hedge_budget = budgets.get(hedging.budget or "") if hedging else None
        self.needs_latencies = is_quantile(attempt_timeout) or is_quantile(hedge_delay)
        self.base_policy = api.RouteRetryPolicy(
            attempt_timeout_ns=attempt_timeout.ns if attempt_timeout else 0,
            max_attempts=policy.max_attempts or 0,
            retry_on=None
            if policy.retry_on is None
            else frozenset(OUTCOMES[name] for name in policy.retry_on),
            max_reroutes=NO_REROUTE_LIMIT if policy.max_reroutes is None else policy.max_reroutes,
            max_hedges=max_hedges,
            retry_after_ns=policy.retry_after_ns or 0,
            has_retry_budget=self.retry_budget is not None,
        )
        allows_full_time = policy.answer_timeout is None or policy.answer_timeout.share >= 1
        self.is_fixed = allows_full_time and not policy.backoff and not is_quantile(attempt_timeout)

    def is_full(self) -> bool:
        """Whether the limit of open requests is reached."""
        limit = self.policy.max_open_requests
        return limit is not None and self.open_requests >= limit

    def earn(self, now: int) -> None:
        """Add the tokens for one request to the budgets of the route; only once to a budget used for both."""
        if self.retry_budget:
            self.retry_budget.earn(now)
        if self.hedge_budget and self.hedge_budget is not self.retry_budget:
            self.hedge_budget.earn(now)

    def duration_ns(self, now: int, duration: AdaptiveDuration) -> int:
        """A fixed duration, or the present quantile within its bounds.

        With too few samples the upper bound is used; 0 if there is none.
        """
        if not duration.quantile:
            return duration.ns
        latency_ns = self.sketch.quantile(now, duration.quantile) if self.sketch else 0
        if not latency_ns:
            return duration.max_ns
        latency_ns = max(latency_ns, duration.min_ns)
        return min(latency_ns, duration.max_ns) if duration.max_ns else latency_ns

    def attempt_timeout_ns(self, now: int) -> int:
        """The attempt timeout; 0 = no limit."""
        timeout = self.policy.attempt_timeout
        return self.duration_ns(now, timeout) if timeout else 0

    def hedge_delay_ns(self, now: int) -> int:
        """The delay after which an attempt is hedged; 0 = no hedge."""
        hedging = self.policy.hedging
        return self.duration_ns(now, hedging.delay) if hedging and hedging.max_hedges else 0

    def response_timeout_ns(self, remaining_ns: int, elapsed_ns: int) -> int:
        """The time left for the complete response, from the client's remaining and elapsed time."""
        timeout = self.policy.answer_timeout
        if not timeout:
            return remaining_ns
        from_send_ns = timeout.resolve_ns(remaining_ns + elapsed_ns)  # counts from the client's send
        return max(0, min(remaining_ns, from_send_ns - elapsed_ns))


def is_quantile(duration: AdaptiveDuration | None) -> bool:
    """Whether a duration is a quantile of recent latencies."""
    return duration is not None and duration.quantile > 0


class RequestAllowance:
    """The limits of one request, and its route.

    Attributes:
        policy: The policy that is passed to the decision package with the request.
        response_timeout_ns: The time for the complete response, from the admission of the request.
        hedge_delay_ns: The delay after which an attempt is hedged; 0 = no hedge.
        records_latency: Whether the route needed latencies when the request was admitted.
    """

    __slots__ = (
        "hedge_budget",
        "hedge_delay_ns",
        "policy",
        "records_latency",
        "response_timeout_ns",
        "retry_budget",
        "route",
    )

    def __init__(
        self, route: RouteState, policy: api.RouteRetryPolicy, response_timeout_ns: int, hedge_delay_ns: int
    ) -> None:
        self.route = route
        self.policy = policy
        self.response_timeout_ns = response_timeout_ns
        self.hedge_delay_ns = hedge_delay_ns
        # The request keeps these budgets even if a reload of the file gives its route others.
        self.retry_budget = route.retry_budget
        self.hedge_budget = route.hedge_budget
        self.records_latency = route.needs_latencies

    def can_retry(self, now: int) -> bool:
        """Whether the budget allows a further attempt."""
        return self.retry_budget is None or self.retry_budget.can_spend(now)

    def can_hedge(self, now: int) -> bool:
        """Whether the budget allows a hedge."""
        return self.hedge_budget is None or self.hedge_budget.can_spend(now)

    def spend_retry(self, now: int) -> bool:
        """Charge a further attempt to the budget; False if the budget does not allow it."""
        return self.retry_budget is None or self.retry_budget.spend(now)

    def spend_hedge(self, now: int) -> bool:
        """Charge a hedge to the budget; False if the budget does not allow it."""
        return self.hedge_budget is None or self.hedge_budget.spend(now)

    def record_latency(self, now: int, latency_ns: int) -> None:
        """Record that a response was received, or an attempt abandoned, after ``latency_ns``.

        Abandoned attempts count too: without them, an attempt timeout that is a quantile would decrease with
        each attempt that it ends.
        """
        route = self.route
        if route.needs_latencies:  # a reload of the file may have changed this
            if route.sketch is None:
                route.sketch = LatencySketch(now)
            route.sketch.record(now, latency_ns)

    def release(self) -> None:
        """End the request: it no longer counts as open."""
        self.route.open_requests -= 1


class RouteTable:
    """The routes and budgets of a file, for one router."""

    def __init__(self, file: OperatorFile, zone: str, seed: int, now: int) -> None:
        self.zone = zone
        self.random = Random(seed)
        self.budgets: dict[str, RetryBudget] = {}
        self.routes: list[RouteState] = []
        self.index = RouteIndex((), zone)
        self.replace(file, now)

    def replace(self, file: OperatorFile, now: int) -> None:
        """Apply another file.  Routes and budgets whose name remains keep their state."""
        self.budgets = self.budgets_for(file, now)
        old_states = {state.name: state for state in self.routes}
        self.routes = []
        for route in file.routes:
            state = old_states.get(route.name)
            if state:
                state.configure(route, self.budgets)
            else:
                state = RouteState(route, self.budgets)
            self.routes.append(state)
        self.index = RouteIndex(file.routes, self.zone)

    def budgets_for(self, file: OperatorFile, now: int) -> dict[str, RetryBudget]:
        """The budgets of another file by name: existing ones, reconfigured, and new ones."""
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
        """Admit a request to its route.  Returns its allowance, or None if no route matches.

        The request counts as open until its allowance is released.

        Args:
            now: The present time in ns.
            request_class: Its class.
            object_id: Its object, as 16 hex digits.
            group: The group of the object.
            part: The part of the object.
            retry: Whether it is a retry by the client.
            write: Whether it has a body.
            remaining_ns: The remaining time of the client.
            elapsed_ns: The time since the client's send.
        """
        place = self.index.find(request_class, object_id, group, part, retry, write)
        if place == NOT_FOUND:
            return None
        route = self.routes[place]
        is_full = route.is_full()
        route.matched += 1
        route.open_requests += 1
        if is_full:
            route.rejected += 1
            return rejection(route, remaining_ns)
        route.earn(now)
        if route.is_fixed:
            return RequestAllowance(route, route.base_policy, remaining_ns, route.hedge_delay_ns(now))
        return self.compute_allowance(now, route, remaining_ns, elapsed_ns)

    def compute_allowance(
        self, now: int, route: RouteState, remaining_ns: int, elapsed_ns: int
    ) -> RequestAllowance:
        """The allowance from a route whose policy depends on time, the remaining time or randomness."""
        attempt_timeout_ns = route.attempt_timeout_ns(now)
        response_timeout_ns = route.response_timeout_ns(remaining_ns, elapsed_ns)
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
            response_timeout_ns < remaining_ns,
        )
        return RequestAllowance(route, policy, response_timeout_ns, route.hedge_delay_ns(now))

    def draw_backoff(self, backoff: Backoff, max_attempts: int | None) -> tuple[int, ...]:
        """Draw the waits before each further attempt of one request, in ns."""
        backoff_ns = []
        for retry in range((max_attempts or DEFAULT_BACKOFF_ATTEMPTS) - 1):
            max_wait_ns = backoff.step_ns(retry)
            backoff_ns.append(self.random.randint(0, max_wait_ns) if backoff.full_jitter else max_wait_ns)
        return tuple(backoff_ns)

    def counters(self) -> list[tuple[str, dict[str, int]]]:
        """Counters for the log, of each route that has matched a request and of each budget."""
        rows = [
            (
                f"route {route.name}",
                {"taken": route.matched, "open": route.open_requests, "crowded": route.rejected},
            )
            for route in self.routes
            if route.matched
        ]
        return rows + [
            (f"budget {name}", {"left": int(budget.tokens), "taken": budget.spent, "denied": budget.denied})
            for name, budget in self.budgets.items()
        ]


def rejection(route: RouteState, remaining_ns: int) -> RequestAllowance:
    """The allowance of a request that is rejected, as too many requests of its route are open."""
    policy = api.RouteRetryPolicy(
        retry_after_ns=route.base_policy.retry_after_ns, concurrency_limit_reached=True
    )
    return RequestAllowance(route, policy, remaining_ns, 0)
