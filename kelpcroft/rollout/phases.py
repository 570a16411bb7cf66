"""Where a router and the whole rollout are, and which phases belong together.

The values of the enums are stored in the rollout database and printed by ``kelpcroft rollout status``; the
names of the members are not.
"""

from __future__ import annotations

from enum import Enum


class Phase(Enum):
    """Where one router is."""

    WAITING = "waiting"  # runs the old build and has not been touched
    DRAINING = "out of service"  # ordered to let its clients go, to be changed next
    CHANGING = "changed"  # the change was ordered; the rollout waits for it to be ready
    WARMING_UP = "cold"  # in service with the new build, not compared yet
    COMPARED = "judged"  # warm, and compared with the old build
    ACCEPTED = "kept"  # its stage is over
    ROLLBACK_DRAINING = "leaving"  # ordered to let its clients go, to be changed back next
    ROLLING_BACK = "undone"  # the old build was ordered; the rollout waits for it to be ready
    ROLLED_BACK = "taken back"
    CONTROL_DRAINING = "out, to be restarted"  # runs the old build, for the control group of a stage
    CONTROL_RESTARTING = "restarted"  # the restart was ordered; the rollout waits for it to be ready
    CONTROL = "control"  # runs the old build, and is as cold as the new routers of its stage


UNAVAILABLE_PHASES = frozenset(  # count against the plan's limits of unavailable routers
    (
        Phase.DRAINING,
        Phase.CHANGING,
        Phase.WARMING_UP,
        Phase.ROLLBACK_DRAINING,
        Phase.ROLLING_BACK,
        Phase.CONTROL_DRAINING,
        Phase.CONTROL_RESTARTING,
    )
)
OLD_BUILD_PHASES = frozenset((Phase.WAITING, Phase.CONTROL))
NEW_BUILD_PHASES = frozenset((Phase.CHANGING, Phase.WARMING_UP, Phase.COMPARED, Phase.ACCEPTED))
COMMAND_UNDER_WAY_PHASES = frozenset(  # one that ends the router's process: a new instance is no crash
    (
        Phase.CHANGING,
        Phase.ROLLING_BACK,
        Phase.DRAINING,
        Phase.ROLLBACK_DRAINING,
        Phase.CONTROL_DRAINING,
        Phase.CONTROL_RESTARTING,
    )
)
BUILD_REPLACED_PHASES = frozenset((Phase.CHANGING, Phase.ROLLING_BACK))  # silent while it starts


class RolloutOutcome(Enum):
    """Where the whole rollout is."""

    RUNNING = "running"
    HELD = "held"  # begins nothing new; what is under way at a router is finished
    ROLLING_BACK = "reverting"
    DONE = "done"
    ROLLED_BACK = "taken back"

    @property
    def is_final(self) -> bool:
        """Whether nothing changes it any more."""
        return self in (RolloutOutcome.DONE, RolloutOutcome.ROLLED_BACK)


FINAL_OUTCOME_VALUES = frozenset(outcome.value for outcome in RolloutOutcome if outcome.is_final)


class HoldCause(Enum):
    """Why a rollout is held, where that decides how the hold ends."""

    NONE = ""
    SILENCE = "silence"  # too many routers do not answer: ends by itself once they do
    PEOPLE = "people"  # an operator's command, or a finding for people: ends by their command
