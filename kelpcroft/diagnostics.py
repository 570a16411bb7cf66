"""Diagnostics of all files that operators write for this program: each has a text, a level and a place.

Three packages report them: ``operator_file`` for the operator's file and files of the same format,
``deployment_check`` for the JSON configuration at the start, and ``config_reload`` for the JSON configuration
when it is read again.  A JSON value is located by its path of keys, a KDL value by line and column.  Pure: no
file, socket or clock, and few imports, because every router loads this module.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import NamedTuple


class FilePosition(NamedTuple):
    """Line and column in a text file, both from 1; columns count characters.  0, 0 means no position."""

    line: int = 0
    column: int = 0


NO_POSITION = FilePosition()


class Severity(StrEnum):
    """Level of a diagnostic.  ``kelpcroft check`` prints the values, also as JSON."""

    ERROR = "fault"  # an error: the file cannot be used
    WARNING = "doubt"  # a warning: the file can be used, but an operator should check the place
    UNKNOWN = "unknown"  # an unknown feature: a key that no version up to this one supports, which is ignored


@dataclass(frozen=True, slots=True)
class Diagnostic:
    """One error, warning or unknown feature in a file.

    Attributes:
        place: Path of keys and indices in a JSON configuration, such as ``settings.classes[2].give_up_ns``;
            for a file that is not JSON the line and column as text; empty for the whole file, and for KDL.
        found: Text about the value in the file; for KDL the complete message.
        expected: Requirement that the value does not meet, mostly ``must be ...`` with the place as subject;
            for an unknown key a suggestion or the consequence; may be empty.
        level: Consequence for the program.
        position: Line and column in a KDL file.
        code: Name of the violated rule of a KDL file.  It is stable, because scripts may rely on it.

    ``kelpcroft check`` prints these attributes as JSON under their names, but ``expected`` as ``wanted``.
    """

    place: str = ""
    found: str = ""
    expected: str = ""
    level: Severity = Severity.ERROR
    position: FilePosition = NO_POSITION
    code: str = ""

    @property
    def message(self) -> str:
        """Returns the text about the value found and the value expected, without the place."""
        return f"{self.found}; {self.expected}" if self.expected else self.found

    def __str__(self) -> str:
        """Returns ``PLACE: found; expected``, the line of a JSON configuration's diagnostic."""
        # An error without a place concerns the whole file; for an unknown key it is the key "".
        is_whole_file = not self.place and self.level is Severity.ERROR
        return f"{'the file' if is_whole_file else self.place}: {self.found}; {self.expected}"

    def format_for(self, path: str) -> str:
        """Returns ``PATH:LINE:COL: CODE: message``, the line of a KDL file's diagnostic.

        Characters that cannot be printed are escaped, so it is one line whatever the file contains.
        """
        message = "".join(c if c.isprintable() else f"\\u{ord(c):04x}" for c in self.message)
        return f"{path}:{self.position.line}:{self.position.column}: {self.code}: {message}"
