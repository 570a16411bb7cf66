"""The clock of a process."""

from __future__ import annotations

import time
from collections.abc import Callable


class Clock:
    """Unix time in nanoseconds that never goes backwards."""

    def __init__(self, source: Callable[[], int] = time.time_ns) -> None:
        self.source = source
        self.latest_ns = 0

    def now(self) -> int:
        """Returns the time, or the latest time returned before if the source has gone backwards."""
        self.latest_ns = max(self.latest_ns, self.source())
        return self.latest_ns
