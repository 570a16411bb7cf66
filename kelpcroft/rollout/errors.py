"""What can be wrong with what a rollout is given.

Each error has a text for people and, as fields, what the place that raised it knows.
"""

from __future__ import annotations


class RolloutError(ValueError):
    """Base class: something that a rollout was given cannot be used."""


class StopCriteriaError(RolloutError):
    """A figure of the stop criteria is out of its range.

    Attributes:
        key: The field of ``StopCriteria``, which is also the key in the rollout file with ``_`` for ``-``.
        value: What was given.
        limit: The upper end of its range.
    """

    def __init__(self, message: str, *, key: str, value: float, limit: float) -> None:
        super().__init__(message)
        self.key = key
        self.value = value
        self.limit = limit


class SnapshotError(RolloutError):
    """A snapshot that cannot be used; the message says why.

    Attributes:
        key: The snapshot's key that is missing or does not fit; "" where only the cause is known.
    """

    def __init__(self, message: str, *, key: str = "") -> None:
        super().__init__(message)
        self.key = key


class PlacementError(RolloutError):
    """Placements cannot be asked or compared; the message says why.

    Attributes:
        zone: Whose caches were asked about; "" where placements are compared without their zone.
        command: The words, as the plan has them, of the command that failed; () where none was run.
        object_counts: How many objects the old build and the new placed, where they differ.
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
