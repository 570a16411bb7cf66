"""Rules that a route's policy must keep: by itself, in a deployment, and for each class that it takes.

Each function notes what breaks a rule in a DiagnosticCollector, at the position where the file states it.
"""

from __future__ import annotations

from kelpcroft.decision import interface as api
from kelpcroft.operator_file.diagnostics import DiagnosticCollector, abbreviated
from kelpcroft.operator_file.model import Route
from kelpcroft.operator_file.values import format_duration

MIN_ATTEMPTS_WITH_A_BACKOFF = 2  # a back-off in a route without a number of attempts waits at least once
RISK_BY_IDEMPOTENCY = {
    api.Idempotency.UNSAFE: "must never run twice",
    api.Idempotency.KEYED: "may be repeated only where its repeats are dropped",
}


class RouteRules:
    """The rules for one route."""

    def __init__(self, route: Route, diagnostics: DiagnosticCollector) -> None:
        self.route = route
        self.policy = route.policy
        self.diagnostics = diagnostics

    def note(self, field: str, code: str, message: str) -> None:
        """Note a diagnostic at the position of a field of the policy; the route's where it has none."""
        position = self.policy.positions.get(field, self.route.position)
        self.diagnostics.add(position, code, f"route {abbreviated(self.route.name)}: {message}")

    def longest_backoff_ns(self) -> int:
        """All waits between attempts together; 0 without a back-off."""
        if not self.policy.backoff:
            return 0
        return self.policy.backoff.longest_total_ns(self.attempts_with_backoff())

    def attempts_with_backoff(self) -> int:
        """Attempts that a back-off is reckoned with."""
        return self.policy.max_attempts or MIN_ATTEMPTS_WITH_A_BACKOFF

    # By itself ----------------------------------------------------------------------------------------------

    def check_alone(self) -> None:
        """The parts of the policy against each other, as far as that needs no deployment."""
        policy = self.policy
        answer_ns = policy.answer_timeout.ns if policy.answer_timeout else 0
        attempt_ns = policy.attempt_timeout.longest_ns() if policy.attempt_timeout else 0
        self.check_attempt_alone(answer_ns, attempt_ns)
        self.check_hedging_alone(answer_ns, attempt_ns)
        longest_ns = self.longest_backoff_ns()
        if policy.backoff and answer_ns and longest_ns >= answer_ns:
            self.note(
                "backoff",
                "backoff-over-wait",
                f"its waits between {self.attempts_with_backoff()} attempts come to "
                f"{format_duration(longest_ns)}, the whole answer has {format_duration(answer_ns)}",
            )

    def check_attempt_alone(self, answer_ns: int, attempt_ns: int) -> None:
        """An attempt's time against the whole answer's; 0 = not stated."""
        timeout = self.policy.attempt_timeout
        if not answer_ns:
            return
        if attempt_ns > answer_ns:
            self.note(
                "attempt_timeout",
                "attempt-over-route",
                f"an attempt may take {format_duration(attempt_ns)} "
                f"and the whole answer {format_duration(answer_ns)}",
            )
        elif timeout and timeout.min_ns > answer_ns:
            self.note(
                "attempt_timeout",
                "attempt-over-route",
                f"an attempt has {format_duration(timeout.min_ns)} at the least, "
                f"the whole answer {format_duration(answer_ns)}",
            )

    def check_hedging_alone(self, answer_ns: int, attempt_ns: int) -> None:
        """When a copy is due, against an attempt's time and the whole answer's; 0 = not stated."""
        hedging = self.policy.hedging
        if not hedging or not hedging.max_hedges:
            return
        delay_ns = hedging.delay.shortest_ns()
        if attempt_ns and delay_ns >= attempt_ns:
            self.note(
                "hedging",
                "copy-after-attempt",
                f"a copy is due after {format_duration(delay_ns)}, when the attempt has ended at its "
                f"time-out of {format_duration(attempt_ns)}",
            )
        if answer_ns and delay_ns >= answer_ns:
            self.note(
                "hedging",
                "copy-after-attempt",
                f"a copy is due after {format_duration(delay_ns)}, "
                f"past the whole wait of {format_duration(answer_ns)}",
            )

    # In a deployment ----------------------------------------------------------------------------------------

    def check_deployment(self, limits: api.Limits) -> None:
        """The policy against the limits of a deployment."""
        policy = self.policy
        max_sends = limits.max_attempts
        if policy.max_attempts is not None and policy.max_attempts > max_sends:
            self.note(
                "max_attempts",
                "attempts-over-deployment",
                f"{policy.max_attempts} attempts; the deployment allows {max_sends} sends for a request",
            )
        if policy.max_reroutes is not None and policy.max_reroutes > max_sends - 1:
            self.note(
                "max_reroutes",
                "moves-over-deployment",
                f"{policy.max_reroutes} moves behind the first send; "
                f"the deployment allows {max_sends} in all",
            )
        self.check_hedging_in_deployment(limits)
        self.check_pause_in_deployment(limits)

    def check_hedging_in_deployment(self, limits: api.Limits) -> None:
        """Whether second copies are allowed, and so many."""
        hedging = self.policy.hedging
        if not hedging or not hedging.max_hedges:
            return
        if not limits.may_hedge:
            self.note("hedging", "copies-forbidden", "the deployment allows no second copies")
        elif hedging.max_hedges > limits.max_attempts - 1:
            self.note(
                "hedging",
                "attempts-over-deployment",
                f"{hedging.max_hedges} copies; "
                f"the deployment allows {limits.max_attempts} sends for a request",
            )

    def check_pause_in_deployment(self, limits: api.Limits) -> None:
        """Whether clients may be asked to pause, and for that long."""
        pause_ns = self.policy.retry_after_ns
        if not pause_ns:
            return
        if not limits.may_send_retry_after:
            self.note("retry_after_ns", "pause-forbidden", "the deployment tells clients no pause")
        elif pause_ns > limits.max_retry_after_ns > 0:
            self.note(
                "retry_after_ns",
                "pause-too-long",
                f"a pause of {format_duration(pause_ns)}, of which "
                f"the deployment allows {format_duration(limits.max_retry_after_ns)}",
            )

    # For a class --------------------------------------------------------------------------------------------

    def check_class(self, request_class: api.RequestClass) -> None:
        """The policy against one class whose requests the route takes."""
        if request_class.idempotency is not api.Idempotency.SAFE:
            self.check_repeats(request_class)
        if request_class.deadline_ns:
            self.check_deadline(request_class)

    def check_repeats(self, request_class: api.RequestClass) -> None:
        """A class whose requests must not run twice: no second attempt and no second copy."""
        policy = self.policy
        named = f"class {abbreviated(request_class.name)}"
        risk = RISK_BY_IDEMPOTENCY[request_class.idempotency]
        effect = request_class.idempotency.value
        is_unsafe = request_class.idempotency is api.Idempotency.UNSAFE
        if is_unsafe and policy.max_attempts is not None and policy.max_attempts > 1:
            self.note(
                "max_attempts",
                "second-attempt",
                f"{policy.max_attempts} attempts at {named}, which {risk} "
                f"(its effect is {effect!r}); write attempts most=1 in a route of its own",
            )
        if policy.hedging and policy.hedging.max_hedges:
            self.note(
                "hedging",
                "second-copy",
                f"a second copy of {named}, which {risk} "
                f"(its effect is {effect!r}); write copies most=0 in a route of its own",
            )

    def check_deadline(self, request_class: api.RequestClass) -> None:
        """The policy against the time after which clients of a class give up."""
        timeout = self.policy.answer_timeout
        deadline_ns = request_class.deadline_ns
        if timeout and timeout.ns > deadline_ns:
            self.note(
                "answer_timeout",
                "wait-over-class",
                f"a wait of {format_duration(timeout.ns)}, but clients of class "
                f"{abbreviated(request_class.name)} give up after {format_duration(deadline_ns)}",
            )
        elif not timeout or not timeout.ns:  # else check_alone compared its parts with it
            answer_ns = timeout.within(deadline_ns) if timeout else deadline_ns
            self.check_parts_within(answer_ns, request_class)

    def check_parts_within(self, answer_ns: int, request_class: api.RequestClass) -> None:
        """The parts of the policy against the time for the whole answer of a class."""
        policy = self.policy
        whole = (
            f"the whole answer of class {abbreviated(request_class.name)} has {format_duration(answer_ns)}"
        )
        attempt_ns = 0
        if policy.attempt_timeout:
            attempt_ns = max(policy.attempt_timeout.longest_ns(), policy.attempt_timeout.min_ns)
        if attempt_ns > answer_ns:
            self.note(
                "attempt_timeout",
                "attempt-over-route",
                f"an attempt may take {format_duration(attempt_ns)}; {whole}",
            )
        hedging = policy.hedging
        if hedging and hedging.max_hedges and hedging.delay.shortest_ns() >= answer_ns:
            self.note(
                "hedging",
                "copy-after-attempt",
                f"a copy is due after {format_duration(hedging.delay.shortest_ns())}; {whole}",
            )
        longest_ns = self.longest_backoff_ns()
        if policy.backoff and longest_ns >= answer_ns:
            self.note(
                "backoff",
                "backoff-over-wait",
                f"its waits between attempts come to {format_duration(longest_ns)}; {whole}",
            )
