"""Files under ``$TMPDIR`` that a process of a router leaves for its successor.

They are the service state (format: ``kelpcroft.store.handover``) and the times of earlier starts (format:
``kelpcroft.startup.crash_loop_backoff``).  Each file is written under a temporary name, then renamed.
"""

from __future__ import annotations

import os
import time

from kelpcroft.core import effects, inputs
from kelpcroft.net.transport import Transport
from kelpcroft.startup import crash_loop_backoff
from kelpcroft.store import handover


class PredecessorFiles:
    """Carries out the reducer's effects that write and read the service state."""

    def __init__(self, transport: Transport) -> None:
        self.transport = transport

    def persist_service_state(self, effect: effects.PersistServiceState) -> None:
        """Writes the service state for this process's successor."""
        config = self.transport.config
        if not config.state_dir:
            return
        try:
            write_handover(config.state_dir, config.name, self.transport.clock.now(), effect)
        except OSError as error:
            self.transport.log(
                "handover.unwritten",
                f"service state not written for the next process: {error}",
                {"why": str(error)},
                "warning",
            )

    def read_predecessor_state(self, _effect: effects.ReadPredecessorState) -> None:
        """Reports to the reducer if the predecessor, which ran beside this process, has recorded its end."""
        config = self.transport.config
        state = read_handover(config.state_dir, config.name)
        if state is not None and state.ended_at_ns:
            self.transport.handle_input(inputs.PredecessorEnded(state.ended_at_ns))


def read_handover(folder: str, name: str) -> inputs.PredecessorState | None:
    """Reads the service state that the predecessor left; None without a folder (``$TMPDIR``) or a file."""
    if not folder:
        return None
    path = handover.file_path(folder, name)
    try:
        data = _read_file(path)
    except FileNotFoundError:
        return None
    except OSError as error:
        return inputs.PredecessorState(None, reason=f"{path}: {error.strerror}")
    record, reason = handover.decode(data, name, time.time_ns())
    if record is None:
        return inputs.PredecessorState(None, reason=f"{path}: {reason}")
    return inputs.PredecessorState(record.in_service, record.since_ns, ended_at_ns=record.ended_ns)


def write_handover(folder: str, name: str, now_ns: int, state: effects.PersistServiceState) -> None:
    """Writes the service state.

    If this process ends and its successor has written the file since the shutdown began, the successor's
    service state is kept and only the time of the end is added.

    Raises:
        OSError: the file could not be written.
    """
    path = handover.file_path(folder, name)
    pid = os.getpid()
    data = handover.encode(name, pid, now_ns, state.is_in_service, state.since_ns, state.ended_at_ns)
    if state.ended_at_ns:
        try:
            successor, _ = handover.decode(_read_file(path), name, now_ns)
        except OSError:
            successor = None
        if successor is not None and successor.pid != pid and successor.written_ns > state.shutdown_began_ns:
            data = handover.encode(
                name, successor.pid, now_ns, successor.in_service, successor.since_ns, state.ended_at_ns
            )
    _replace_file(path, data)


def crash_loop_delay_ns(folder: str, name: str, now_ns: int) -> int:
    """Records a start and returns how long earlier starts delay the first request to the list service.

    Where the folder does not persist or cannot be written, no starts are recorded and there is no delay.
    """
    if not folder:
        return 0
    path = crash_loop_backoff.file_path(folder, name)
    try:
        earlier_starts_ns = crash_loop_backoff.decode(_read_file(path), name, now_ns)
    except OSError:
        earlier_starts_ns = []
    try:
        _replace_file(path, crash_loop_backoff.encode(name, earlier_starts_ns, now_ns))
    except OSError:
        return 0
    return crash_loop_backoff.crash_loop_delay_ns(earlier_starts_ns)


def _read_file(path: str) -> bytes:
    """Reads a file up to one byte over its size limit, so that a file over the limit is detected."""
    with open(path, "rb") as file:
        return file.read(handover.MAX_FILE_BYTES + 1)


def _replace_file(path: str, data: bytes) -> None:
    """Writes a file completely under a temporary name, then renames it over the old file."""
    temporary_path = f"{path}.{os.getpid()}"
    with open(temporary_path, "wb") as file:
        file.write(data)
    os.replace(temporary_path, path)
