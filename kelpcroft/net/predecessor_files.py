"""Reading and writing the file that one process of a router leaves for the next (``store/handover.py``)."""

from __future__ import annotations

import os
import time

from kelpcroft.core import effects, inputs
from kelpcroft.startup import crash_loop_backoff
from kelpcroft.store import handover


def content(path: str) -> bytes:
    """What lies there, up to one byte more than is taken."""
    with open(path, "rb") as file:
        return file.read(handover.MAX_FILE_BYTES + 1)


def read_handover(folder: str, name: str) -> inputs.PredecessorState | None:
    """What the router's last process left, if there is a folder for it (``$TMPDIR``)."""
    if not folder:
        return None
    path = handover.file_path(folder, name)
    try:
        data = content(path)
    except FileNotFoundError:
        return None
    except OSError as error:
        return inputs.PredecessorState(None, reason=f"{path}: {error.strerror}")
    found, why = handover.decode(data, name, time.time_ns())
    if found is None:
        return inputs.PredecessorState(None, reason=f"{path}: {why}")
    return inputs.PredecessorState(found.in_service, found.since_ns, ended_at_ns=found.ended_ns)


def crash_loop_delay_ns(folder: str, name: str, now_ns: int) -> int:
    """Note a start, and how long the first call of the list waits by the earlier ones.  A folder that does
    not last, or cannot be written, remembers nothing and costs nothing."""
    if not folder:
        return 0
    path = crash_loop_backoff.file_path(folder, name)
    try:
        earlier = crash_loop_backoff.decode(content(path), name, now_ns)
    except OSError:
        earlier = []
    try:
        with open(f"{path}.{os.getpid()}", "wb") as file:
            file.write(crash_loop_backoff.encode(name, earlier, now_ns))
        os.replace(f"{path}.{os.getpid()}", path)
    except OSError:
        return 0
    return crash_loop_backoff.crash_loop_delay_ns(earlier)


def write_handover(folder: str, name: str, now_ns: int, keep: effects.PersistServiceState) -> None:
    """Whole under another name, then put in place.  Raises OSError.  An end is added to what the next process
    has written since, whose state of service it is by then."""
    path, pid = handover.file_path(folder, name), os.getpid()
    data = handover.encode(name, pid, now_ns, keep.is_in_service, keep.since_ns, keep.ended_at_ns)
    if keep.ended_at_ns:
        try:
            last, _ = handover.decode(content(path), name, now_ns)
        except OSError:
            last = None
        if last is not None and last.pid != pid and last.written_ns > keep.shutdown_began_ns:
            data = handover.encode(name, last.pid, now_ns, last.in_service, last.since_ns, keep.ended_at_ns)
    with open(f"{path}.{pid}", "wb") as file:
        file.write(data)
    os.replace(f"{path}.{pid}", path)
