"""Rules for the policy of a route: by itself, in a deployment, and for each class that the route matches.

Each broken rule is reported to a DiagnosticCollector, at the position of the policy's field in the file.
"""

from __future__ import annotations

from kelpcroft.decision import interface as api
from kelpcroft.operator_file.diagnostics import DiagnosticCollector, abbreviated
from kelpcroft.operator_file.model import Route
from kelpcroft.operator_file.values import format_duration

# Assumed attempts of a route with a back-off and no number of attempts: it waits at least once.
MIN_BACKOFF_ATTEMPTS = 2
RISK_BY_IDEMPOTENCY = {  # reasons against a second run, for messages
    api.Idempotency.UNSAFE: "must never run twice",
    api.Idempotency.KEYED: "may be repeated only where duplicates are dropped",
}


class RouteRules:
    """Checks the rules for one route."""

    def __init__(self, route: Route, diagnostics: DiagnosticCollector) -> None:
        self.route = route
        self.policy = route.policy
        self.diagnostics = diagnostics

    def report(self, field: str, code: str, message: str) -> None:
        """Report a diagnostic at the position of a field of the policy, or else at the route's."""
        position = self.policy.positions.get(field, self.route.position)
        self.diagnostics.add(position, code, f"route {abbreviated(self.route.name)}: {message}")

    def max_backoff_ns(self) -> int:
        """The upper bound of the sum of all waits between attempts; 0 without a back-off."""
        if not self.policy.backoff:
            return 0
        return self.policy.backoff.max_total_ns(self.backoff_attempts())

    def backoff_attempts(self) -> int:
        """The number of attempts for which waits are computed."""
        return self.policy.max_attempts or MIN_BACKOFF_ATTEMPTS

    # Without a deployment -----------------------------------------------------------------------------------

    def check_without_deployment(self) -> None:
        """Check the fields of the policy against each other, where that needs no deployment."""
        policy = self.policy
        response_timeout_ns = policy.answer_timeout.ns if policy.answer_timeout else 0
        attempt_timeout_ns = policy.attempt_timeout.upper_bound_ns() if policy.attempt_timeout else 0
        self.check_attempt_timeout(response_timeout_ns, attempt_timeout_ns)
        self.check_hedge_delay(response_timeout_ns, attempt_timeout_ns)
        backoff_ns = self.max_backoff_ns()
        if policy.backoff and response_timeout_ns and backoff_ns >= response_timeout_ns:
            self.report(
                "backoff",
                "backoff-over-wait",
                f"its waits between {self.backoff_attempts()} attempts come to "
                f"{format_duration(backoff_ns)}, "
                f"but the response timeout is {format_duration(response_timeout_ns)}",
            )

    def check_attempt_timeout(self, response_timeout_ns: int, attempt_timeout_ns: int) -> None:
        """Check the attempt timeout against the response timeout; 0 = not stated."""
        timeout = self.policy.attempt_timeout
        if not response_timeout_ns:
            return
        if attempt_timeout_ns > response_timeout_ns:
            self.report(
                "attempt_timeout",
                "attempt-over-route",
                f"an attempt may take {format_duration(attempt_timeout_ns)} "
                f"and the whole answer {format_duration(response_timeout_ns)}",
            )
        elif timeout and timeout.min_ns > response_timeout_ns:
            self.report(
                "attempt_timeout",
                "attempt-over-route",
                f"an attempt has {format_duration(timeout.min_ns)} at the least, "
                f"the whole answer {format_duration(response_timeout_ns)}",
            )

    def check_hedge_delay(self, response_timeout_ns: int, attempt_timeout_ns: int) -> None:
        """Check the hedge delay against the attempt timeout and the response timeout; 0 = not stated."""
        hedging = self.policy.hedging
        if not hedging or not hedging.max_hedges:
            return
        delay_ns = hedging.delay.lower_bound_ns()
        if attempt_timeout_ns and delay_ns >= attempt_timeout_ns:
            self.report(
                "hedging",
                "copy-after-attempt",
                f"a copy is due after {format_duration(delay_ns)}, when the attempt has ended at its "
                f"time-out of {format_duration(attempt_timeout_ns)}",
            )
        if response_timeout_ns and delay_ns >= response_timeout_ns:
            self.report(
                "hedging",
                "copy-after-attempt",
                f"a copy is due after {format_duration(delay_ns)}, "
                f"past the whole wait of {format_duration(response_timeout_ns)}",
            )

    # In a deployment ----------------------------------------------------------------------------------------

    def check_deployment(self, limits: api.Limits) -> None:
        """Check the policy against the limits of a deployment."""
        policy = self.policy
        max_sends = limits.max_attempts
        if policy.max_attempts is not None and policy.max_attempts > max_sends:
            self.report(
                "max_attempts",
                "attempts-over-deployment",
                f"{policy.max_attempts} attempts; the deployment allows {max_sends} sends for a request",
            )
        if policy.max_reroutes is not None and policy.max_reroutes > max_sends - 1:
            self.report(
                "max_reroutes",
                "moves-over-deployment",
                f"{policy.max_reroutes} moves after the first send; "
                f"the deployment allows {max_sends} sends in total",
            )
        self.check_hedging_in_deployment(limits)
        self.check_retry_after_in_deployment(limits)

    def check_hedging_in_deployment(self, limits: api.Limits) -> None:
        """Check that the deployment allows hedges, and this number of them."""
        hedging = self.policy.hedging
        if not hedging or not hedging.max_hedges:
            return
        if not limits.may_hedge:
            self.report("hedging", "copies-forbidden", "the deployment allows no second copies")
        elif hedging.max_hedges > limits.max_attempts - 1:
            self.report(
                "hedging",
                "attempts-over-deployment",
                f"{hedging.max_hedges} copies; "
                f"the deployment allows {limits.max_attempts} sends for a request",
            )

    def check_retry_after_in_deployment(self, limits: api.Limits) -> None:
        """Check that the deployment allows a pause in rejections, and one of this length."""
        retry_after_ns = self.policy.retry_after_ns
        if not retry_after_ns:
            return
        if not limits.may_send_retry_after:
            self.report("retry_after_ns", "pause-forbidden", "the deployment tells clients no pause")
        elif retry_after_ns > limits.max_retry_after_ns > 0:
            self.report(
                "retry_after_ns",
                "pause-too-long",
                f"a pause of {format_duration(retry_after_ns)}; "
                f"the deployment allows at most {format_duration(limits.max_retry_after_ns)}",
            )

    # For a class --------------------------------------------------------------------------------------------

    def check_class(self, request_class: api.RequestClass) -> None:
        """Check the policy against a class whose requests the route matches."""
        if request_class.idempotency is not api.Idempotency.SAFE:
            self.check_repeated_runs(request_class)
        if request_class.deadline_ns:
            self.check_deadline(request_class)

    def check_repeated_runs(self, request_class: api.RequestClass) -> None:
        """Check a class that is not safe: no second attempt if it is unsafe, and no hedge in any case."""
        policy = self.policy
        class_text = f"class {abbreviated(request_class.name)}"
        risk = RISK_BY_IDEMPOTENCY[request_class.idempotency]
        effect = request_class.idempotency.value
        is_unsafe = request_class.idempotency is api.Idempotency.UNSAFE
        if is_unsafe and policy.max_attempts is not None and policy.max_attempts > 1:
            self.report(
                "max_attempts",
                "second-attempt",
                f"{policy.max_attempts} attempts at {class_text}, which {risk} "
                f"(its effect is {effect!r}); write attempts most=1 in a route of its own",
            )
        if policy.hedging and policy.hedging.max_hedges:
            self.report(
                "hedging",
                "second-copy",
                f"a second copy of {class_text}, which {risk} "
                f"(its effect is {effect!r}); write copies most=0 in a route of its own",
            )

    def check_deadline(self, request_class: api.RequestClass) -> None:
        """Check the policy against the time after which clients of a class cancel."""
        timeout = self.policy.answer_timeout
        deadline_ns = request_class.deadline_ns
        if timeout and timeout.ns > deadline_ns:
            self.report(
                "answer_timeout",
                "wait-over-class",
                f"a wait of {format_duration(timeout.ns)}, but clients of class "
                f"{abbreviated(request_class.name)} give up after {format_duration(deadline_ns)}",
            )
        elif not timeout or not timeout.ns:  # check_without_deployment checks a stated duration
            response_timeout_ns = timeout.resolve_ns(deadline_ns) if timeout else deadline_ns
            self.check_times_within(response_timeout_ns, request_class)

    def check_times_within(self, response_timeout_ns: int, request_class: api.RequestClass) -> None:
        """Check the times of the policy against the response timeout for a class."""
        policy = self.policy
        timeout_text = (
            f"the whole answer of class {abbreviated(request_class.name)} "
            f"has {format_duration(response_timeout_ns)}"
        )
        attempt_timeout_ns = 0
        if policy.attempt_timeout:
            attempt_timeout_ns = max(policy.attempt_timeout.upper_bound_ns(), policy.attempt_timeout.min_ns)
        if attempt_timeout_ns > response_timeout_ns:
            self.report(
                "attempt_timeout",
                "attempt-over-route",
                f"an attempt may take {format_duration(attempt_timeout_ns)}; {timeout_text}",
            )
        hedging = policy.hedging
        if hedging and hedging.max_hedges and hedging.delay.lower_bound_ns() >= response_timeout_ns:
            self.report(
                "hedging",
                "copy-after-attempt",
                f"a copy is due after {format_duration(hedging.delay.lower_bound_ns())}; {timeout_text}",
            )
        backoff_ns = self.max_backoff_ns()
        if policy.backoff and backoff_ns >= response_timeout_ns:
            self.report(
                "backoff",
                "backoff-over-wait",
                f"its waits between attempts come to {format_duration(backoff_ns)}; {timeout_text}",
            )
