"""The reader of the policy of a route or of the defaults: the nodes from ``timeout`` to ``pause``."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, NamedTuple

from kelpcroft.operator_file import values
from kelpcroft.operator_file.diagnostics import DiagnosticCollector, abbreviated, suggestion
from kelpcroft.operator_file.model import (
    RETRYABLE_OUTCOMES,
    AdaptiveDuration,
    Backoff,
    Hedging,
    ResponseTimeout,
    RoutePolicy,
)
from kelpcroft.operator_file.node_reader import NodeReader, value_offset
from kelpcroft.operator_file.text import KdlNode, Value
from kelpcroft.operator_file.values import InvalidValue

MAX_COUNT = 64  # upper bound of attempts, moves and copies; the deployment has a limit of its own
MAX_OPEN_REQUESTS = 1_000_000  # upper bound of ``limit open=``
# Outcomes that prove that nothing ran.  The next send is then a reroute, which ``moves`` limits.
OUTCOMES_NOT_RUN = {"miss", "full", "refused", "moot", "connect"}
NO_HEDGING = Hedging(0, AdaptiveDuration(ns=1))  # ``copies most=0``; the delay has no effect


class PolicyField(NamedTuple):
    """A field of RoutePolicy as it was read; the value is None where it is missing or invalid."""

    name: str
    value: Any
    offset: int


class BudgetReference(NamedTuple):
    """A reference to a budget by its name, and its offset."""

    name: str
    offset: int


class PolicyReader(NodeReader):
    """Reads the nodes of POLICY_NODES, and records the budgets to which they refer."""

    def __init__(self, diagnostics: DiagnosticCollector) -> None:
        super().__init__(diagnostics)
        self.budget_references: list[BudgetReference] = []

    def read_policy(self, node: KdlNode) -> RoutePolicy:
        """Read the policy from the children of a route or of the defaults."""
        fields: dict[str, Any] = {}
        positions = {}
        for child in node.children:
            if child.name not in POLICY_NODES:
                continue
            for name, value, offset in FIELD_READERS[child.name](self, child):
                if value is not None:
                    fields[name] = value
                    positions[name] = self.diagnostics.position_of(offset)
        return RoutePolicy(**fields, positions=positions)

    def read_timeout(self, node: KdlNode) -> list[PolicyField]:
        """Read ``timeout "2.5s"`` or ``timeout "80%"``."""
        self.check_structure(node, 1, ())
        timeout = self.read_argument(node, parse_response_timeout, 'a wait, as in timeout "2.5s"')
        return [PolicyField("answer_timeout", timeout, node.offset)]

    def read_attempt(self, node: KdlNode) -> list[PolicyField]:
        """Read ``attempt timeout="800ms"``, or a quantile with ``least`` and ``most``."""
        self.check_structure(node, 0, ("timeout", "least", "most"))
        timeout = self.read_adaptive_duration(node, "timeout", 'a time, as in attempt timeout="800ms"')
        return [PolicyField("attempt_timeout", timeout, node.offset)]

    def read_attempts(self, node: KdlNode) -> list[PolicyField]:
        """Read ``attempts most=3 on="error,reset" budget="b"``."""
        self.check_structure(node, 0, ("most", "on", "budget"))
        max_count = self.read_property(node, "most", lambda raw: values.parse_count(raw, 1, MAX_COUNT))
        retry_on = self.read_property(node, "on", parse_retryable_outcomes)
        budget = self.read_budget_reference(node)
        return [
            PolicyField("max_attempts", max_count, value_offset(node, "most")),
            PolicyField("retry_on", retry_on, value_offset(node, "on")),
            PolicyField("retry_budget", budget, value_offset(node, "budget")),
        ]

    def read_moves(self, node: KdlNode) -> list[PolicyField]:
        """Read ``moves most=3``."""
        self.check_structure(node, 0, ("most",))
        max_count = self.read_property(
            node, "most", lambda raw: values.parse_count(raw, 0, MAX_COUNT), "a count, as in most=3"
        )
        return [PolicyField("max_reroutes", max_count, value_offset(node, "most"))]

    def read_backoff(self, node: KdlNode) -> list[PolicyField]:
        """Read ``backoff first="20ms" most="1s" jitter="full"``."""
        self.check_structure(node, 0, ("first", "most", "jitter"))
        initial_ns = self.read_property(
            node, "first", values.parse_duration, 'a first wait, as in first="20ms"'
        )
        max_ns = self.read_property(node, "most", values.parse_duration)
        full_jitter = self.read_property(node, "jitter", parse_jitter)
        if initial_ns is None:
            return []
        if max_ns is not None and initial_ns > max_ns:
            self.diagnostics.add(
                node.properties["first"].value_offset,
                "least-over-most",
                "backoff: 'first' is over 'most'",
            )
            return []
        backoff = Backoff(initial_ns, max_ns or initial_ns, bool(full_jitter))
        return [PolicyField("backoff", backoff, node.offset)]

    def read_copies(self, node: KdlNode) -> list[PolicyField]:
        """Read ``copies most=1 after="p95" least="20ms" budget="b"``; ``copies most=0`` is complete too."""
        self.check_structure(node, 0, ("most", "after", "least", "budget"))
        max_count = self.read_property(
            node, "most", lambda raw: values.parse_count(raw, 0, MAX_COUNT), "a count, as in most=1"
        )
        if max_count == 0:
            return [PolicyField("hedging", NO_HEDGING, node.offset)]
        delay = self.read_adaptive_duration(node, "after", 'a time, as in after="p95"')
        budget = self.read_budget_reference(node)
        hedging = Hedging(max_count, delay, budget) if max_count and delay else None
        return [PolicyField("hedging", hedging, node.offset)]

    def read_limit(self, node: KdlNode) -> list[PolicyField]:
        """Read ``limit open=400``."""
        self.check_structure(node, 0, ("open",))
        max_count = self.read_property(
            node,
            "open",
            lambda raw: values.parse_count(raw, 1, MAX_OPEN_REQUESTS),
            "a count, as in open=400",
        )
        return [PolicyField("max_open_requests", max_count, node.offset)]

    def read_pause(self, node: KdlNode) -> list[PolicyField]:
        """Read ``pause "300ms"``."""
        self.check_structure(node, 1, ())
        retry_after_ns = self.read_argument(node, values.parse_duration, 'a time, as in pause "300ms"')
        return [PolicyField("retry_after_ns", retry_after_ns, node.offset)]

    def read_adaptive_duration(self, node: KdlNode, key: str, expected: str) -> AdaptiveDuration | None:
        """Parse the property ``key``: a duration, or a quantile with the bounds ``least`` and ``most``.

        For ``after`` of a ``copies`` node, ``most`` is not a bound but the number of copies.
        """
        duration: AdaptiveDuration | None = self.read_property(node, key, parse_adaptive_duration, expected)
        bounds = ("least",) if key == "after" else ("least", "most")
        min_ns = self.read_property(node, "least", values.parse_duration)
        max_ns = self.read_property(node, "most", values.parse_duration) if "most" in bounds else None
        if duration is None:
            return None
        if duration.ns:
            for bound in bounds:
                if bound in node.properties:
                    self.diagnostics.add(
                        node.properties[bound].key_offset,
                        "unknown-key",
                        f"{bound!r} goes with a quantile only, and {key!r} is a duration",
                    )
            return duration
        if min_ns and max_ns and min_ns > max_ns:
            self.diagnostics.add(
                node.properties["least"].value_offset,
                "least-over-most",
                f"{node.name}: 'least' is over 'most'",
            )
            return None
        return AdaptiveDuration(quantile=duration.quantile, min_ns=min_ns or 0, max_ns=max_ns or 0)

    def read_budget_reference(self, node: KdlNode) -> str | None:
        """Parse the name of the budget to which a node refers, if any, and record the reference."""
        name: str | None = self.read_property(node, "budget", lambda raw: values.parse_text(raw, "a name"))
        if name is not None:
            self.budget_references.append(BudgetReference(name, node.properties["budget"].value_offset))
        return name


FIELD_READERS: dict[str, Callable[[PolicyReader, KdlNode], list[PolicyField]]] = {
    "timeout": PolicyReader.read_timeout,
    "attempt": PolicyReader.read_attempt,
    "attempts": PolicyReader.read_attempts,
    "moves": PolicyReader.read_moves,
    "backoff": PolicyReader.read_backoff,
    "copies": PolicyReader.read_copies,
    "limit": PolicyReader.read_limit,
    "pause": PolicyReader.read_pause,
}
POLICY_NODES = tuple(FIELD_READERS)


def parse_response_timeout(raw: Value) -> ResponseTimeout:
    """Parse a duration, or a share of the client's own timeout in percent."""
    share = values.parse_share(raw)
    if share is None:
        return ResponseTimeout(ns=values.parse_duration(raw, "a wait"))
    return ResponseTimeout(share=share)


def parse_adaptive_duration(raw: Value) -> AdaptiveDuration:
    """Parse a duration, or a quantile such as ``p95``."""
    quantile = values.parse_quantile(raw)
    if quantile is None:
        return AdaptiveDuration(ns=values.parse_duration(raw, "a moment"))
    return AdaptiveDuration(quantile=quantile)


def parse_jitter(raw: Value) -> bool:
    """Parse the jitter: whether each wait is drawn from 0 to its step."""
    if raw not in ("full", "none"):
        raise InvalidValue("unknown-word", f'jitter must be "full" or "none", not {abbreviated(raw)}')
    return raw == "full"


def parse_retryable_outcomes(raw: Value) -> frozenset[str]:
    """Parse a list of RETRYABLE_OUTCOMES."""
    outcomes = values.parse_list(raw)
    for outcome in outcomes:
        if outcome in OUTCOMES_NOT_RUN:
            raise InvalidValue(
                "unknown-outcome",
                f"{abbreviated(outcome)} proves that nothing ran; 'moves' bounds what follows it",
            )
        if outcome not in RETRYABLE_OUTCOMES:
            raise InvalidValue(
                "unknown-outcome",
                f"unknown outcome {abbreviated(outcome)}{suggestion(outcome, RETRYABLE_OUTCOMES)}",
            )
    return frozenset(outcomes)
