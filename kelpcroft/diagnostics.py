"""One diagnostic type for all files that people write for this program: what is wrong, and where.

Three checkers produce it: the operator's file and its relatives (``operator_file``), the JSON configuration
at the start (``deployment_check``) and the JSON configuration read again (``config_reload``).  A JSON value
is located by its path of keys, a KDL value by line and column.  Pure: no file, socket or clock, and few
imports, as every router loads it.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import NamedTuple


class FilePosition(NamedTuple):
    """Line and column in a text file, both from 1; columns count characters.  0, 0 is no position."""

    line: int = 0
    column: int = 0


NO_POSITION = FilePosition()


class Severity(StrEnum):
    """What a diagnostic means for the program.  ``kelpcroft check`` prints the values, also as JSON."""

    FAULT = "fault"  # it cannot be used
    DOUBT = "doubt"  # it can be used, and somebody should look
    UNKNOWN = "unknown"  # a key that no version so far knows; it is passed over


@dataclass(frozen=True, slots=True)
class Diagnostic:
    """One thing that is wrong or odd.

    Attributes:
        place: Path of keys and indices in a JSON configuration, as ``settings.classes[2].give_up_ns``; for
            a file that is not JSON the line and column in words; empty for the whole file, and for KDL.
        found: What stands there, or for KDL the whole message.
        expected: What would do in its place; may be empty.
        level: What it means for the program.
        position: Line and column in a KDL file.
        code: Name of the rule of a KDL file that is broken.  Stable: scripts may rely on it.

    ``kelpcroft check`` prints them as JSON by these names, ``expected`` as ``wanted``.
    """

    place: str = ""
    found: str = ""
    expected: str = ""
    level: Severity = Severity.FAULT
    position: FilePosition = NO_POSITION
    code: str = ""

    @property
    def message(self) -> str:
        """What was found and what would do, without the place."""
        return f"{self.found}; {self.expected}" if self.expected else self.found

    def __str__(self) -> str:
        """``PLACE: found; expected``: the line of a JSON configuration's diagnostic."""
        # A fault without a place is the whole file's; an unknown key may be the empty text.
        is_whole_file = not self.place and self.level is Severity.FAULT
        return f"{'the file' if is_whole_file else self.place}: {self.found}; {self.expected}"

    def format_for(self, path: str) -> str:
        """``PATH:LINE:COL: CODE: message``: the line of a KDL file's diagnostic.

        It is one line whatever the file contains: what cannot be printed is escaped.
        """
        message = "".join(c if c.isprintable() else f"\\u{ord(c):04x}" for c in self.message)
        return f"{path}:{self.position.line}:{self.position.column}: {self.code}: {message}"
