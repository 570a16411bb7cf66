"""Peak memory use of this process."""

from __future__ import annotations

import os
import resource

STATUS = "/proc/self/status"


def peak_kb(status: str | os.PathLike[str] = STATUS) -> int:
    """Returns the peak resident memory of this process since its start, in kB.

    The value is the kernel's ``VmHWM`` in ``/proc/self/status`` (proc(5)).  ``ru_maxrss`` starts at the peak
    of the process that started this one, so under a large supervisor it hides any growth; it is the fallback
    only if that file cannot be read.
    """
    try:
        with open(status) as page:
            lines = page.read().splitlines()
        for line in lines:
            if line.startswith("VmHWM:"):
                return int(line.split()[1])
    except (OSError, ValueError, IndexError):
        pass
    return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
