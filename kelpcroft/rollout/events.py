"""Events and effects of the state machine of a rollout.

Input: ``Event`` (a router's report or a missing response, the passage of time, an operator's command).
Output: ``Effect`` (a command to a router, or a history entry).

The values of ``OperatorCommand`` are the subcommands of ``kelpcroft rollout`` and are stored; those of
``CommandKind`` appear in stored history texts.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum

from kelpcroft.rollout.judge import RequestSample


@dataclass(frozen=True, slots=True)
class RouterReport:
    """Report of a router about itself, with cumulative counters of one process instance.

    Attributes:
        router: The router's name in the plan.
        instance: Identifies the process; it differs after each start.
        digests: The digests of its ``program``, ``settings`` and ``rules``.
        ready: Whether it is able to serve.
        in_service: Whether clients are directed to it.
        invariant_violations: Invariant violations since this instance began.
        samples_by_class: Requests by class since this instance began.
        peak_memory_kb: Its peak resident memory; 0 where it does not report one.
    """

    router: str
    instance: str
    digests: Mapping[str, str]
    ready: bool
    in_service: bool
    invariant_violations: int = 0
    samples_by_class: Mapping[str, RequestSample] = field(default_factory=dict)
    peak_memory_kb: int = 0


@dataclass(frozen=True, slots=True)
class NoResponse:
    """A router did not respond to a poll, or its response could not be used."""

    router: str


@dataclass(frozen=True, slots=True)
class Tick:
    """Time has passed."""


class OperatorCommand(Enum):
    """Command of an operator to the rollout."""

    HOLD = "hold"
    RESUME = "resume"
    REVERT = "revert"


Event = RouterReport | NoResponse | Tick | OperatorCommand


class CommandKind(Enum):
    """Kind of a command to a router.

    POLL, DRAIN and ENABLE are idempotent.  The plan specifies whether APPLY, UNDO and RESTART are.
    """

    POLL = "ask"
    DRAIN = "take out of service"
    APPLY = "change"
    UNDO = "change back"
    RESTART = "restart as it is"
    ENABLE = "put in service"


@dataclass(frozen=True, slots=True)
class RouterCommand:
    """Command to one router."""

    router: str
    kind: CommandKind


@dataclass(frozen=True, slots=True)
class HistoryEntry:
    """Decision or observation that is recorded in the history.

    Attributes:
        name: Identifies the kind of entry; it is stable, so scripts may rely on it.
        text: One sentence for operators.
        figures: The values on which the decision was based, as JSON values.
    """

    name: str
    text: str
    figures: Mapping[str, object] = field(default_factory=dict)


Effect = RouterCommand | HistoryEntry
