"""What goes into the state machine and what comes out of it.

In: ``Event`` (a router's report or its missing answer, the passing of time, an operator's command).
Out: ``Effect`` (a command to a router, or an entry of the history).

The values of ``OperatorCommand`` are the verbs of ``kelpcroft rollout`` and are stored; those of
``CommandKind`` stand in stored history texts.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum

from kelpcroft.rollout.judge import RequestSample


@dataclass(frozen=True, slots=True)
class RouterReport:
    """What a router says of itself: cumulative counters of one process instance.

    Attributes:
        router: Its name in the plan.
        instance: Identifies the process; another one after each start.
        digests: Of its ``program``, ``settings`` and ``rules``.
        ready: Whether it could serve.
        in_service: Whether clients are sent to it.
        invariant_violations: Counted since this instance began.
        samples_by_class: Requests by class, counted since this instance began.
        peak_memory_kb: The most resident memory that it has had; 0 where it does not say.
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
class NoAnswer:
    """A router did not answer a poll, or not in a way that can be read."""

    router: str


@dataclass(frozen=True, slots=True)
class Tick:
    """Time has passed."""


class OperatorCommand(Enum):
    """What people order."""

    HOLD = "hold"
    RESUME = "resume"
    REVERT = "revert"


Event = RouterReport | NoAnswer | Tick | OperatorCommand


class CommandKind(Enum):
    """What is to be done at a router.  Each may be ordered again without harm."""

    POLL = "ask"
    DRAIN = "take out of service"
    APPLY = "change"
    UNDO = "change back"
    RESTART = "restart as it is"
    ENABLE = "put in service"


@dataclass(frozen=True, slots=True)
class RouterCommand:
    """One command to one router."""

    router: str
    kind: CommandKind


@dataclass(frozen=True, slots=True)
class HistoryEntry:
    """A decision for the history.

    Attributes:
        name: Stable: scripts may rely on it.
        text: One sentence for people.
        figures: What the decision was made on; JSON values.
    """

    name: str
    text: str
    figures: Mapping[str, object] = field(default_factory=dict)


Effect = RouterCommand | HistoryEntry
