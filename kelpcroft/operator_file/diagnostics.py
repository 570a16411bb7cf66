"""Diagnostics of a KDL file: their positions, the limit on their number, and helpers for their messages."""

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

MAX_DIAGNOSTICS = 1_000  # in one file; the rest of the file is not read
MAX_SHOWN_CHARACTERS = 60  # length of a value in a message
MAX_COMPARED_CHARACTERS = 64  # length of the start of an unknown word that is compared with known words
MAX_SUGGESTED_WORDS = 12  # known words listed in a message if none is similar
MIN_SIMILARITY = 0.6  # similarity of a suggested word, see difflib.get_close_matches
NEWLINE = r"\r\n|[\n\r\x85\x0b\x0c\u2028\u2029]"  # KDL 2, "Newline"


class SourceText:
    """A text and the offsets of its lines.  Offsets are converted to positions on demand."""

    def __init__(self, text: str) -> None:
        self.text = text
        self.line_starts = [0, *(match.end() for match in re.finditer(NEWLINE, text))]

    def position_of(self, offset: int) -> FilePosition:
        """Line and column of an offset in the text, in characters."""
        line = bisect_right(self.line_starts, offset)
        return FilePosition(line, offset - self.line_starts[line - 1] + 1)


class TooManyDiagnostics(Exception):  # noqa: N818 - ends the reading of a file, and is not a program error
    """MAX_DIAGNOSTICS were found; the rest of the file is not read."""


class DiagnosticCollector:
    """Collects diagnostics up to MAX_DIAGNOSTICS: a broken file of 1 MB may have more than anyone reads."""

    def __init__(self, source: SourceText | None = None) -> None:
        self.found: list[Diagnostic] = []
        self.source = source or SourceText("")

    @property
    def count(self) -> int:
        """The number of diagnostics so far."""
        return len(self.found)

    def add(self, where: FilePosition | int, code: str, message: str) -> None:
        """Add a diagnostic at a position, or at an offset in the source.

        Raises:
            TooManyDiagnostics: MAX_DIAGNOSTICS is reached; this diagnostic is kept.
        """
        self.found.append(Diagnostic(position=self.position_of(where), code=code, found=message))
        if len(self.found) >= MAX_DIAGNOSTICS:
            raise TooManyDiagnostics

    def position_of(self, where: FilePosition | int) -> FilePosition:
        """Convert an offset to a position; return a position unchanged."""
        return self.source.position_of(where) if isinstance(where, int) else where

    def in_file_order(self) -> list[Diagnostic]:
        """All diagnostics by line and column; those with the same position in the order of their addition."""
        return sorted(self.found, key=lambda diagnostic: diagnostic.position)


def abbreviated(value: object) -> str:
    """The repr of a value for a message, truncated to MAX_SHOWN_CHARACTERS."""
    text = repr(value)
    if len(text) <= MAX_SHOWN_CHARACTERS:
        return text
    return text[: MAX_SHOWN_CHARACTERS - 3] + "..."


def suggestion(word: str, known: Iterable[str]) -> str:
    """Suggest a replacement for an unknown word: the most similar known word, or else the first known words.

    Returns:
        The end of a message, from its semicolon on; empty where there are no known words.
    """
    sorted_words = sorted(known)
    similar = get_close_matches(word[:MAX_COMPARED_CHARACTERS], sorted_words, 1, MIN_SIMILARITY)
    if similar:
        return f"; did you mean {similar[0]!r}?"
    if not sorted_words:
        return ""
    hidden_count = len(sorted_words) - MAX_SUGGESTED_WORDS
    more = f" and {hidden_count} more" if hidden_count > 0 else ""
    return f"; known: {', '.join(sorted_words[:MAX_SUGGESTED_WORDS])}{more}"
