"""How much memory this process has had at its peak."""

from __future__ import annotations

import resource
from pathlib import Path

STATUS = Path("/proc/self/status")


def peak_kb(status: Path = STATUS) -> int:
    """The most resident memory of this process since it began, kB.

    From the system's own page on the process (``VmHWM``, proc(5)).  ``ru_maxrss`` begins at what the process
    that started this one had at its peak: under a large supervisor it hides any growth, so it stands in only
    where that page cannot be read.
    """
    try:
        for line in status.read_text().splitlines():
            if line.startswith("VmHWM:"):
                return int(line.split()[1])
    except (OSError, ValueError, IndexError):
        pass
    return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
