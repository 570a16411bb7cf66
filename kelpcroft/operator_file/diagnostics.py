"""Diagnostics of a KDL file: offsets to lines and columns, a bound on their number, and wording."""

from __future__ import annotations

import re
from bisect import bisect_right
from collections.abc import Iterable
from difflib import get_close_matches

from kelpcroft.diagnostics import Diagnostic, FilePosition

__all__ = [
    "NEWLINE",
    "Diagnostic",
    "DiagnosticCollector",
    "FilePosition",
    "SourceText",
    "TooManyDiagnostics",
    "abbreviated",
    "suggestion",
]

MAX_DIAGNOSTICS = 1_000  # of one file; what follows is not read
MAX_SHOWN_CHARACTERS = 60  # of a value in a message
MAX_COMPARED_CHARACTERS = 64  # of an unknown word that is compared with the known ones
MAX_SUGGESTED_WORDS = 12  # of all known words, where none is near
MIN_SIMILARITY = 0.6  # of the word that is suggested, see difflib
NEWLINE = r"\r\n|[\n\r\x85\x0b\x0c\u2028\u2029]"  # KDL 2, "Newline"


class SourceText:
    """A text that knows its lines.  Offsets become positions only where they are wanted."""

    def __init__(self, text: str) -> None:
        self.text = text
        self.line_starts = [0, *(match.end() for match in re.finditer(NEWLINE, text))]

    def position_of(self, offset: int) -> FilePosition:
        """Line and column of an offset, in characters, into the text."""
        line = bisect_right(self.line_starts, offset)
        return FilePosition(line, offset - self.line_starts[line - 1] + 1)


class TooManyDiagnostics(Exception):  # noqa: N818 - ends a reading, and is no error of the program
    """MAX_DIAGNOSTICS were found; what follows in the file is not read."""


class DiagnosticCollector:
    """Collects diagnostics up to MAX_DIAGNOSTICS: a broken file of 1 MB may hold more than anyone reads."""

    def __init__(self, source: SourceText | None = None) -> None:
        self.found: list[Diagnostic] = []
        self.source = source or SourceText("")

    @property
    def count(self) -> int:
        """How many there are."""
        return len(self.found)

    def add(self, where: FilePosition | int, code: str, message: str) -> None:
        """Record one, at a position or at an offset into the source.

        Raises:
            TooManyDiagnostics: This was the last that is kept.
        """
        self.found.append(Diagnostic(position=self.position_of(where), code=code, found=message))
        if len(self.found) >= MAX_DIAGNOSTICS:
            raise TooManyDiagnostics

    def position_of(self, where: FilePosition | int) -> FilePosition:
        """The position of an offset; a position stays what it is."""
        return self.source.position_of(where) if isinstance(where, int) else where

    def in_file_order(self) -> list[Diagnostic]:
        """All of them by line and column; those of one position in the order in which they were found."""
        return sorted(self.found, key=lambda diagnostic: diagnostic.position)


def abbreviated(value: object) -> str:
    """A value for a message, cut where it is long."""
    text = repr(value)
    if len(text) <= MAX_SHOWN_CHARACTERS:
        return text
    return text[: MAX_SHOWN_CHARACTERS - 3] + "..."


def suggestion(word: str, known: Iterable[str]) -> str:
    """What to write in place of an unknown word: the nearest known one, or else the beginning of the choice.

    Returns:
        The end of a message, from its semicolon on; empty where nothing is known.
    """
    choice = sorted(known)
    near = get_close_matches(word[:MAX_COMPARED_CHARACTERS], choice, 1, MIN_SIMILARITY)
    if near:
        return f"; did you mean {near[0]!r}?"
    if not choice:
        return ""
    rest = len(choice) - MAX_SUGGESTED_WORDS
    more = f" and {rest} more" if rest > 0 else ""
    return f"; there is {', '.join(choice[:MAX_SUGGESTED_WORDS])}{more}"
