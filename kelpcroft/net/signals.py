"""Signal handling: SIGHUP reloads the configuration and the operator's file; others shut the router down."""

from __future__ import annotations

import os
import signal
from collections.abc import Callable, Iterator
from contextlib import suppress
from typing import Final

from kelpcroft.core import inputs
from kelpcroft.decision.interface import Settings
from kelpcroft.net.buffers import BUFFER_BYTES
from kelpcroft.net.transport import Transport

MAX_OPERATOR_FILE_READ_NS: Final = 3_000_000  # maximum time for the operator's file in one iteration

ReadConfig = Callable[[], inputs.ConfigFileRead]
# Reads the operator's file in steps and checks it against the settings in use; yields None for each step
# except the last.
ReadOperatorFile = Callable[[Settings], Iterator[inputs.OperatorFileRead | None]]


class Signals:
    """Reads signals from a pipe, and reads the files that SIGHUP reloads."""

    def __init__(
        self,
        transport: Transport,
        read_config: ReadConfig | None,
        read_operator_file: ReadOperatorFile | None,
    ) -> None:
        self.transport = transport
        self.read_config = read_config or _no_config_file
        self.read_operator_file = read_operator_file
        self.pipe_fd: int | None = None  # read end of the pipe
        # Remaining steps of the reload of the operator's file; None = no reload is in progress.
        self.operator_file_steps: Iterator[inputs.OperatorFileRead | None] | None = None

    def read(self) -> None:
        """Handles the signals received since the last call."""
        if self.pipe_fd is not None:
            with suppress(BlockingIOError):
                self.handle(os.read(self.pipe_fd, BUFFER_BYTES))

    def handle(self, signal_numbers: bytes) -> None:
        """Handles signals; each byte is a signal number."""
        if signal.SIGHUP in signal_numbers:
            self.transport.handle_input(self.read_config())
            self.operator_file_steps = None
            if self.read_operator_file is not None:
                # The check uses the classes now in use, including those of the configuration just read.
                self.operator_file_steps = self.read_operator_file(self.transport.reducer.state.settings)
        if any(number != signal.SIGHUP for number in signal_numbers):
            self.transport.handle_input(inputs.ShutdownRequested())

    def is_reading_operator_file(self) -> bool:
        """Whether a reload of the operator's file is in progress."""
        return self.operator_file_steps is not None

    def continue_reading_operator_file(self, iteration_started_ns: int) -> None:
        """Reads the operator's file for a bounded time, as a large file would delay drains and purges."""
        deadline_ns = iteration_started_ns + MAX_OPERATOR_FILE_READ_NS
        for operator_file in self.operator_file_steps or ():
            if operator_file is not None:
                self.operator_file_steps = None
                self.transport.handle_input(operator_file)
                return
            if self.transport.clock.now() > deadline_ns:
                return


def _no_config_file() -> inputs.ConfigFileRead:
    return inputs.ConfigFileRead("", None, "there is no configuration file")
