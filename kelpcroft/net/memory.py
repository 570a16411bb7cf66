"""Memory use of this process."""

from __future__ import annotations

import os
import resource

PROCESS_STATUS_PATH = "/proc/self/status"
PROCESS_MEMORY_PATH = "/proc/self/statm"


def peak_kb(status_path: str | os.PathLike[str] = PROCESS_STATUS_PATH) -> int:
    """Returns the peak resident memory of this process since its start, in kB.

    The value is the kernel's ``VmHWM`` in ``/proc/self/status`` (proc(5)).  ``ru_maxrss`` starts at the peak
    of the process that started this one, so under a large supervisor it hides any growth; it is the fallback
    only if that file cannot be read.
    """
    try:
        with open(status_path) as status_file:
            lines = status_file.read().splitlines()
        for line in lines:
            if line.startswith("VmHWM:"):
                return int(line.split()[1])
    except (OSError, ValueError, IndexError):
        pass
    return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss


def resident_bytes(memory_path: str | os.PathLike[str] = PROCESS_MEMORY_PATH) -> int:
    """Returns the resident memory of this process, in bytes; 0 if it cannot be read (proc(5), ``statm``)."""
    try:
        with open(memory_path) as memory_file:
            return int(memory_file.read().split()[1]) * resource.getpagesize()
    except (OSError, ValueError, IndexError):
        return 0
