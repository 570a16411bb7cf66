"""Files under ``$TMPDIR`` that one process of a router leaves for the next.

The service state (its form: ``kelpcroft.store.handover``) and the times of earlier starts (its form:
``kelpcroft.startup.crash_loop_backoff``).  Each is written whole under another name, then put in place.
"""

from __future__ import annotations

import os
import time
from pathlib import Path

from kelpcroft.core import effects, inputs
from kelpcroft.net.transport import Transport
from kelpcroft.startup import crash_loop_backoff
from kelpcroft.store import handover


class PredecessorFiles:
    """Carries out the reducer's effects on the service state."""

    def __init__(self, transport: Transport) -> None:
        self.transport = transport

    def persist_service_state(self, effect: effects.PersistServiceState) -> None:
        """Leaves the service state for the router's next process."""
        config = self.transport.config
        if not config.state_dir:
            return
        try:
            write_handover(config.state_dir, config.name, self.transport.clock.now(), effect)
        except OSError as error:
            self.transport.log(
                "handover.unwritten",
                f"state of service not left for the next process: {error}",
                {"why": str(error)},
                "warning",
            )

    def read_predecessor_state(self, _effect: effects.ReadPredecessorState) -> None:
        """Tells the reducer if the process beside this one has left word of its end."""
        config = self.transport.config
        left = read_handover(config.state_dir, config.name)
        if left is not None and left.ended_at_ns:
            self.transport.handle_input(inputs.PredecessorEnded(left.ended_at_ns))


def read_handover(folder: str, name: str) -> inputs.PredecessorState | None:
    """What the router's last process left, if there is a folder for it (``$TMPDIR``)."""
    if not folder:
        return None
    path = handover.file_path(folder, name)
    try:
        data = _read(path)
    except FileNotFoundError:
        return None
    except OSError as error:
        return inputs.PredecessorState(None, reason=f"{path}: {error.strerror}")
    found, reason = handover.decode(data, name, time.time_ns())
    if found is None:
        return inputs.PredecessorState(None, reason=f"{path}: {reason}")
    return inputs.PredecessorState(found.in_service, found.since_ns, ended_at_ns=found.ended_ns)


def write_handover(folder: str, name: str, now_ns: int, state: effects.PersistServiceState) -> None:
    """Writes the service state.

    An end is added to what the next process has written since, whose service state it is by then.

    Raises:
        OSError: it could not be written.
    """
    path = handover.file_path(folder, name)
    pid = os.getpid()
    data = handover.encode(name, pid, now_ns, state.is_in_service, state.since_ns, state.ended_at_ns)
    if state.ended_at_ns:
        try:
            last, _ = handover.decode(_read(path), name, now_ns)
        except OSError:
            last = None
        if last is not None and last.pid != pid and last.written_ns > state.shutdown_began_ns:
            data = handover.encode(name, last.pid, now_ns, last.in_service, last.since_ns, state.ended_at_ns)
    _replace(path, data)


def crash_loop_delay_ns(folder: str, name: str, now_ns: int) -> int:
    """Notes a start, and says how long the first call of the list waits by the earlier ones.

    A folder that does not last, or cannot be written, remembers nothing and costs nothing.
    """
    if not folder:
        return 0
    path = crash_loop_backoff.file_path(folder, name)
    try:
        earlier = crash_loop_backoff.decode(_read(path), name, now_ns)
    except OSError:
        earlier = []
    try:
        _replace(path, crash_loop_backoff.encode(name, earlier, now_ns))
    except OSError:
        return 0
    return crash_loop_backoff.crash_loop_delay_ns(earlier)


def _read(path: str) -> bytes:
    """What lies there, up to one byte more than is taken."""
    with Path(path).open("rb") as file:
        return file.read(handover.MAX_FILE_BYTES + 1)


def _replace(path: str, data: bytes) -> None:
    """Writes a file whole under another name, then puts it in place."""
    scratch = Path(f"{path}.{os.getpid()}")
    scratch.write_bytes(data)
    scratch.replace(path)
