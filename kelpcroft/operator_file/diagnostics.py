"""What is wrong with a file: where, which rule, what was found and what would do."""

from __future__ import annotations

import re
from bisect import bisect_right
from collections.abc import Iterable
from dataclasses import dataclass
from difflib import get_close_matches
from typing import NamedTuple

MAX_DIAGNOSTICS = 1_000  # of one file; what follows is not read


class FilePosition(NamedTuple):
    """Line and column in the file, both from 1; columns count characters."""

    line: int = 0
    column: int = 0


NEWLINE = r"\r\n|[\n\r\x85\x0b\x0c\u2028\u2029]"


class SourceText:
    """A text that knows its lines.  Offsets become places only where they are wanted."""

    def __init__(self, text: str) -> None:
        self.text = text
        self.line_starts = [0, *(match.end() for match in re.finditer(NEWLINE, text))]

    def position_of(self, at: int) -> FilePosition:
        """Line and column of an offset."""
        line = bisect_right(self.line_starts, at)
        return FilePosition(line, at - self.line_starts[line - 1] + 1)


@dataclass(frozen=True, slots=True)
class Diagnostic:
    """One fault.  ``code`` is stable: scripts may rely on it."""

    position: FilePosition
    code: str
    message: str

    def format_for(self, path: str) -> str:
        """``FILE:LINE:COL: CODE: reason``, on one line whatever the file held."""
        reason = "".join(c if c.isprintable() else f"\\u{ord(c):04x}" for c in self.message)
        return f"{path}:{self.position.line}:{self.position.column}: {self.code}: {reason}"


class TooManyDiagnostics(Exception):
    """FAULTS_MOST of them; what follows is not read."""


class DiagnosticCollector:
    """Collects them, up to FAULTS_MOST: a broken file of 1 MB may hold more than anyone reads."""

    def __init__(self, source: SourceText | None = None) -> None:
        self.found: list[Diagnostic] = []
        self.count = 0
        self.source = source or SourceText("")

    def add(self, place: FilePosition | int, code: str, reason: str) -> None:
        """One more, at a place or at an offset into the source."""
        self.count += 1
        self.found.append(Diagnostic(self.position_of(place), code, reason))
        if self.count >= MAX_DIAGNOSTICS:
            raise TooManyDiagnostics

    def position_of(self, place: FilePosition | int) -> FilePosition:
        """The place of an offset."""
        return self.source.position_of(place) if isinstance(place, int) else place

    def in_file_order(self) -> list[Diagnostic]:
        """In the order of the file."""
        return sorted(self.found, key=lambda fault: fault.position)


def abbreviated(value: object) -> str:
    """A value for a message, cut where it is long."""
    text = repr(value)
    return text if len(text) <= 60 else text[:57] + "..."


def suggestion(word: str, known: Iterable[str]) -> str:
    """What to write in place of a word that is not known: the nearest one, or the whole choice if short."""
    choice = sorted(known)
    near = get_close_matches(word[:64], choice, 1, 0.6)
    if near:
        return f"; did you mean {near[0]!r}?"
    if not choice:
        return ""
    more = f" and {len(choice) - 12} more" if len(choice) > 12 else ""
    return f"; there is {', '.join(choice[:12])}{more}"
