"""The clock of a process."""

from __future__ import annotations

import time
from collections.abc import Callable


class Clock:
    """Unix nanoseconds that never run back."""

    def __init__(self, source: Callable[[], int] = time.time_ns) -> None:
        self.source = source
        self.latest_ns = 0

    def now(self) -> int:
        """The time, or the latest one returned where the source has run back."""
        self.latest_ns = max(self.latest_ns, self.source())
        return self.latest_ns
