"""Signals: SIGHUP has the configuration and the operator's file read again, the others end the program."""

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

OPERATOR_FILE_TURN_NS: Final = 3_000_000  # the operator's file is read for so long in one turn

ReadConfig = Callable[[], inputs.ConfigFileRead]
# Reads the operator's file, checked against the settings in use, in steps: None for each but the last.
ReadOperatorFile = Callable[[Settings], Iterator[inputs.OperatorFileRead | None]]


class Signals:
    """The pipe that signals are written to, and the files that are read at SIGHUP."""

    def __init__(
        self,
        transport: Transport,
        read_config: ReadConfig | None,
        read_operator_file: ReadOperatorFile | None,
    ) -> None:
        self.transport = transport
        self.read_config = read_config or _no_config_file
        self.read_operator_file = read_operator_file
        self.fd: int | None = None  # the reading end of the pipe
        self.operator_file_steps: Iterator[inputs.OperatorFileRead | None] | None = None  # being read

    def read(self) -> None:
        """Handles the signals that have come."""
        if self.fd is not None:
            with suppress(BlockingIOError):
                self.handle(os.read(self.fd, BUFFER_BYTES))

    def handle(self, numbers: bytes) -> None:
        """Handles signals by their numbers, each a byte."""
        if signal.SIGHUP in numbers:
            self.transport.handle_input(self.read_config())
            self.operator_file_steps = None
            if self.read_operator_file is not None:
                # Checked against the classes now in use: those of a configuration just read are among them.
                self.operator_file_steps = self.read_operator_file(self.transport.reducer.state.settings)
        if any(number != signal.SIGHUP for number in numbers):
            self.transport.handle_input(inputs.ShutdownRequested())

    def is_reading_operator_file(self) -> bool:
        """Whether the operator's file is being read."""
        return self.operator_file_steps is not None

    def read_operator_file_on(self, turn_started_ns: int) -> None:
        """Reads a part of the operator's file: all of a large one would keep drains and purges waiting."""
        until_ns = turn_started_ns + OPERATOR_FILE_TURN_NS
        for operator_file in self.operator_file_steps or ():
            if operator_file is not None:
                self.operator_file_steps = None
                self.transport.handle_input(operator_file)
                return
            if self.transport.clock.now() > until_ns:
                return


def _no_config_file() -> inputs.ConfigFileRead:
    return inputs.ConfigFileRead("", None, "there is no file")
