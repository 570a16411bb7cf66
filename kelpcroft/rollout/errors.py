"""Errors for unusable input of a rollout.

Each error has a message for operators; its fields hold the details that are known where it is raised.
"""

from __future__ import annotations


class RolloutError(ValueError):
    """Base class of the errors for unusable input of a rollout."""


class StopCriteriaError(RolloutError):
    """A value of the stop criteria is out of its range.

    Attributes:
        key: The field of ``StopCriteria``, which is also the key in the rollout file with ``_`` for ``-``.
        value: The value that was given.
        limit: The upper end of its range.
    """

    def __init__(self, message: str, *, key: str, value: float, limit: float) -> None:
        super().__init__(message)
        self.key = key
        self.value = value
        self.limit = limit


class SnapshotError(RolloutError):
    """A snapshot cannot be used; the message gives the reason.

    Attributes:
        key: The snapshot's key that is missing or does not fit; "" if only the cause is known.
    """

    def __init__(self, message: str, *, key: str = "") -> None:
        super().__init__(message)
        self.key = key


class PlacementError(RolloutError):
    """Placements cannot be determined or compared; the message gives the reason.

    Attributes:
        zone: The zone of the placement; "" if placements are compared without their zone.
        command: The argument list of the command that failed, as in the plan; () if no command was run.
        object_counts: The numbers of objects that the old and the new build placed, if they differ.
    """

    def __init__(
        self,
        message: str,
        *,
        zone: str = "",
        command: tuple[str, ...] = (),
        object_counts: tuple[int, int] | None = None,
    ) -> None:
        super().__init__(message)
        self.zone = zone
        self.command = command
        self.object_counts = object_counts
