"""Phases of a router, outcomes of a rollout, and the sets of phases that are handled alike.

The values of the enums are stored in the rollout database and printed by ``kelpcroft rollout status``; the
names of the members are not.
"""

from __future__ import annotations

from enum import Enum


class Phase(Enum):
    """Phase of one router in the rollout."""

    WAITING = "waiting"  # runs the old build; the rollout has not changed or restarted it
    DRAINING = "out of service"  # commanded to drain; the change follows
    CHANGING = "changed"  # the change was commanded; the rollout waits until the router is ready
    WARMING_UP = "cold"  # in service with the new build, not compared yet
    COMPARED = "judged"  # warm; its requests are compared with those of the old build
    ACCEPTED = "kept"  # its stage has ended without a regression
    ROLLBACK_DRAINING = "leaving"  # commanded to drain; the change back follows
    ROLLING_BACK = "undone"  # the change back was commanded; the rollout waits until the router is ready
    ROLLED_BACK = "taken back"  # runs the old build again, or was drained and never changed
    CONTROL_DRAINING = "out, to be restarted"  # old build, commanded to drain for a stage's control group
    CONTROL_RESTARTING = "restarted"  # the restart was commanded; the rollout waits until the router is ready
    CONTROL = "control"  # runs the old build after a restart, so it is as cold as the stage's new routers


UNAVAILABLE_PHASES = frozenset(  # routers in these phases count against the limits of unavailable routers
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
# A command that ends the process is in progress or follows; a new instance is then not a crash.
COMMAND_IN_PROGRESS_PHASES = frozenset(
    (
        Phase.CHANGING,
        Phase.ROLLING_BACK,
        Phase.DRAINING,
        Phase.ROLLBACK_DRAINING,
        Phase.CONTROL_DRAINING,
        Phase.CONTROL_RESTARTING,
    )
)
# The router is silent while its new process starts.
BUILD_REPLACED_PHASES = frozenset((Phase.CHANGING, Phase.ROLLING_BACK))


class RolloutOutcome(Enum):
    """Present outcome of a rollout."""

    RUNNING = "running"
    HELD = "held"  # no new change begins; a change in progress at a router is completed
    ROLLING_BACK = "reverting"
    DONE = "done"
    ROLLED_BACK = "taken back"

    @property
    def is_final(self) -> bool:
        """Whether the rollout has ended, so that the outcome no longer changes."""
        return self in (RolloutOutcome.DONE, RolloutOutcome.ROLLED_BACK)


FINAL_OUTCOME_VALUES = frozenset(outcome.value for outcome in RolloutOutcome if outcome.is_final)


class HoldCause(Enum):
    """Cause of a hold, which determines how the hold ends."""

    NONE = ""
    SILENCE = "silence"  # too many routers do not respond; the hold ends once enough respond again
    # An operator's command, or a state that needs one; the hold ends by an operator's command.
    OPERATORS = "people"
